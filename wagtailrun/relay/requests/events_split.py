"""Splits the bytes of a server-sent event stream into complete events, unchanged."""

import re
from collections.abc import Iterator

import attrs

from wagtailrun.exceptions import TargetFailed

__all__ = ["EventSplitter", "StreamEvent"]

MAX_EVENT_BYTES = 1024 * 1024
# An event ends at its first blank line.
EVENT_END = re.compile(rb"(?:\r\n|\n)(?:\r\n|\n)|\r\r")
# Comments and blank lines that arrive together are one block, as each block costs as
# much as an event. The possessive groups keep the work linear.
COMMENTS = re.compile(rb"(?:(?::[^\r\n]*+(?>\r\n|\n|\r))*+(?>\r\n|\n|\r))++")
NO_LINE_BREAK = re.compile(rb"[^\r\n]")
# An incomplete event ends with at most these bytes of an EVENT_END.
MAX_PARTIAL_END_BYTES = len(b"\r\n\r")
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
        if self.event_id is not None:
            return False
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
    """Buffers bytes until an event is complete.

    The work for each byte does not depend on the size of the event that it belongs to.
    """

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, chunk: bytes) -> Iterator[StreamEvent]:
        """Yield the events that ``chunk`` completes; call again once all were taken.

        Raises:
            TargetFailed: If an event is larger than ``MAX_EVENT_BYTES``.
        """
        scanned = max(len(self.buffer) - MAX_PARTIAL_END_BYTES, 0)
        self.buffer += chunk
        start = 0
        while end := EVENT_END.search(self.buffer, max(scanned, start)):
            comments = COMMENTS.match(self.buffer, start)
            if comments is not None:
                block_end = comments.end()
            else:
                following = NO_LINE_BREAK.search(self.buffer, end.end())
                block_end = following.start() if following else len(self.buffer)
            data = bytes(self.buffer[start:block_end])
            start = block_end
            match = EVENT_ID.search(data)
            yield StreamEvent(data, int(match.group(1)) if match else None)
        del self.buffer[:start]
        if len(self.buffer) > MAX_EVENT_BYTES:
            raise TargetFailed(
                f"an event of the stream exceeds {MAX_EVENT_BYTES} bytes"
            )
