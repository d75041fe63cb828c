"""Splits the bytes of an event stream into whole events, unchanged."""

import re

import attrs

from wagtailrun.exceptions import TargetFailed, Verdict

__all__ = ["EventSplitter", "StreamEvent"]

MAX_EVENT_BYTES = 1024 * 1024
EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
EVENT_ID = re.compile(rb"(?:^|[\r\n])id: ?(\d{1,18})(?=[\r\n]|$)")


@attrs.frozen
class StreamEvent:
    """One event as it was received, and its number if it has one."""

    data: bytes
    event_id: int | None


class EventSplitter:
    """Collects bytes until an event is whole."""

    def __init__(self) -> None:
        self.buffer = b""

    def feed(self, piece: bytes) -> list[StreamEvent]:
        """Return the events that ``piece`` completes.

        Raises:
            TargetFailed: If an event is larger than ``MAX_EVENT_BYTES``.
        """
        self.buffer += piece
        found = []
        start = 0
        for end in EVENT_END.finditer(self.buffer):
            data = self.buffer[start : end.end()]
            match = EVENT_ID.search(data)
            found.append(StreamEvent(data, int(match.group(1)) if match else None))
            start = end.end()
        self.buffer = self.buffer[start:]
        if len(self.buffer) > MAX_EVENT_BYTES:
            raise TargetFailed("event too large", verdict=Verdict.MAY_HAVE_RUN)
        return found
