"""Writes numbered events to the log of a process, each at a limited rate."""

import json
import time
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from typing import Any

import attrs
from absl import logging

from wagtailrun.logs.values import loggable_value

__all__ = [
    "EVENTS_BY_NUMBER",
    "EVENT_LOG",
    "LEVEL_NAMES",
    "Event",
    "EventLog",
    "catalogue_rows",
    "define_event",
]

EVENTS_BY_NUMBER: dict[int, "Event"] = {}
# Window of the rate limit of an event's lines.
LIMIT_WINDOW_S = 1.0
# Lengths to which the texts of a line are cut, until it has at most MAX_LINE_LENGTH. A
# line that is cut itself would be no JSON; others choose some of the texts.
FIELD_LENGTHS = (500, 100, 20, 5)
MAX_LINE_LENGTH = 4_000
LEVEL_NAMES = {
    logging.INFO: "info",
    logging.WARNING: "warning",
    logging.ERROR: "error",
}


@attrs.frozen
class Event:
    """One kind of log line.

    Attributes:
        number: Stable number of the event.
        level: absl logging level.
        meaning: One sentence, also in the catalogue.
        action: What the operator should do, also in the catalogue.
        limited: Whether the rate of lines is limited. Changes of state are not limited:
            they are rare, and each of them must appear in the log.
        per_second: Lines a second that are written before further ones are suppressed.
    """

    number: int
    level: int
    meaning: str
    action: str = "Nothing."
    limited: bool = True
    per_second: int = 1


def define_event(
    number: int,
    level: int,
    meaning: str,
    action: str = "Nothing.",
    *,
    limited: bool = True,
    per_second: int = 1,
) -> Event:
    """Add an event to the catalogue; see ``Event`` for the arguments.

    Raises:
        ValueError: If the number is in use.
    """
    event = Event(number, level, meaning, action, limited, per_second)
    if number in EVENTS_BY_NUMBER:
        raise ValueError(f"event number {number} is already in use; choose another")
    EVENTS_BY_NUMBER[number] = event
    return event


class EventLog:
    """Writes events to the log, with a rate limit for each event.

    Args:
        write: Called with level, format and arguments of a line.
        now_s: Returns monotonic seconds.
    """

    def __init__(
        self,
        write: Callable[..., None] = logging.log,
        now_s: Callable[[], float] = time.monotonic,
    ):
        self.write = write
        self.now_s = now_s
        # Start of the current window of each event, and its lines in that window.
        self.windows_by_number: dict[int, tuple[float | None, int]] = {}
        self.put_line: Callable[[str], None] | None = None
        self.process = ""
        # While no lines are written: the watched events, and the fields of each that
        # was logged.
        self.watched: frozenset[Event] | None = None
        self.seen: list[tuple[Event, dict[str, Any]]] = []
        self.suppressed_by_number: dict[int, int] = {}
        self.counts_by_number: dict[int, int] = {}

    def log(self, event: Event, **fields: Any) -> None:
        """Write one line: number, meaning, then the fields as JSON.

        If lines were suppressed since the event's last line, their number is written as
        the field ``suppressed``.
        """
        number = event.number
        self.counts_by_number[number] = self.counts_by_number.get(number, 0) + 1
        if self.watched is not None:
            if event in self.watched:
                self.seen.append((event, fields))
            return
        if event.limited and not self._is_within_limit(event):
            suppressed = self.suppressed_by_number.get(number, 0) + 1
            self.suppressed_by_number[number] = suppressed
            return
        suppressed = self.suppressed_by_number.pop(number, 0)
        for limit in FIELD_LENGTHS:
            loggable = {
                name: loggable_value(name, value, limit)
                for name, value in fields.items()
            }
            if suppressed:
                loggable["suppressed"] = suppressed
            text = self._line(event, loggable)
            if len(text) <= MAX_LINE_LENGTH:
                break
        if self.put_line is not None:
            self.put_line(text)
            return
        self.write(event.level, "E%04d %s %s", number, event.meaning, text)

    @contextmanager
    def muted(
        self, watched: Iterable[Event]
    ) -> Iterator[list[tuple[Event, dict[str, Any]]]]:
        """Write no lines, as in a play of many emulated processes in one.

        Args:
            watched: Events to keep.

        Returns:
            The watched events that were logged so far, each with its fields.
        """
        self.watched, self.seen = frozenset(watched), []
        try:
            yield self.seen
        finally:
            self.watched = None

    def _is_within_limit(self, event: Event) -> bool:
        """Count a line of the event; return whether the rate limit allows it."""
        now_s = self.now_s()
        started_s, lines = self.windows_by_number.get(event.number, (None, 0))
        if started_s is None or now_s - started_s >= LIMIT_WINDOW_S:
            started_s, lines = now_s, 0
        if lines >= event.per_second:
            return False
        self.windows_by_number[event.number] = (started_s, lines + 1)
        return True

    def _line(self, event: Event, loggable: dict[str, Any]) -> str:
        """Return the JSON of a line: the whole line, or its fields only."""
        if self.put_line is None:
            return json.dumps(loggable, default=str, sort_keys=True)
        line = {
            "time": round(time.time(), 3),
            "process": self.process,
            "event": event.number,
            "level": LEVEL_NAMES[event.level],
            "message": event.meaning,
            **loggable,
        }
        return json.dumps(line, default=str)

    def use_json_lines(self, put_line: Callable[[str], None], process: str) -> None:
        """Write each event as one JSON object from now on.

        Args:
            put_line: Called with each line; must not block.
            process: Name of this process, which is in every line.
        """
        self.put_line = put_line
        self.process = process

    def flush(self) -> None:
        """Write the number of suppressed lines of each event that has any."""
        for number, suppressed in sorted(self.suppressed_by_number.items()):
            event = EVENTS_BY_NUMBER[number]
            text = json.dumps({"suppressed": suppressed})
            self.write(event.level, "E%04d %s %s", number, event.meaning, text)
        self.suppressed_by_number.clear()


EVENT_LOG = EventLog()


def catalogue_rows() -> list[str]:
    """Return the table rows of ``docs/events.md``."""
    return [
        f"| {event.number} | {LEVEL_NAMES[event.level]} | {event.meaning} "
        f"| {event.action} |"
        for _, event in sorted(EVENTS_BY_NUMBER.items())
    ]
