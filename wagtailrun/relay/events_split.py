"""Splits the bytes of a server-sent event stream into complete events, unchanged."""

import re

import attrs

from wagtailrun.exceptions import TargetFailed, Verdict

__all__ = ["EventSplitter", "StreamEvent"]

MAX_EVENT_BYTES = 1024 * 1024
EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
HTTP_HEAD = re.compile(rb"HTTP/1\.[01] \d{3}[^\r\n]*")
EVENT_LINE = re.compile(rb"(?:id|data|event|retry)?:")
EVENT_ID = re.compile(rb"(?:^|[\r\n])id: ?(\d{1,18})(?=[\r\n]|$)")


@attrs.frozen
class StreamEvent:
    """One event as received, with its numeric id if it has one."""

    data: bytes
    event_id: int | None

    @property
    def is_comment(self) -> bool:
        """Whether it has only blank lines and comments."""
        return all(line.startswith(b":") for line in self.data.splitlines() if line)

    @property
    def has_http_head(self) -> bool:
        """Whether the head of an HTTP response is part of it.

        The text of an event may quote one; its lines then have the name of a field.
        """
        found = HTTP_HEAD.search(self.data)
        if found is None:
            return False
        is_first = not self.data[: found.start()].strip()
        lines = self.data[found.end() :].splitlines()
        return is_first or any(line and not EVENT_LINE.match(line) for line in lines)


class EventSplitter:
    """Buffers bytes until an event is complete."""

    def __init__(self) -> None:
        self.buffer = b""

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Return the events that ``chunk`` completes.

        Raises:
            TargetFailed: If an event is larger than ``MAX_EVENT_BYTES``.
        """
        self.buffer += chunk
        found = []
        start = 0
        for end in EVENT_END.finditer(self.buffer):
            data = self.buffer[start : end.end()]
            match = EVENT_ID.search(data)
            found.append(StreamEvent(data, int(match.group(1)) if match else None))
            start = end.end()
        self.buffer = self.buffer[start:]
        if len(self.buffer) > MAX_EVENT_BYTES:
            raise TargetFailed(
                f"an event of the stream exceeds {MAX_EVENT_BYTES} bytes",
                verdict=Verdict.MAY_HAVE_RUN,
            )
        return found
