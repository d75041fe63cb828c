"""Follows one request through the log lines of all processes."""

import json
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

__all__ = ["LogLine", "lines_of_request", "read_lines"]

# Shown before the fields, or of no use in a list of one request's lines.
HIDDEN_FIELDS = ("time", "process", "event", "level", "message", "request_id")


@attrs.frozen
class LogLine:
    """One event of a process.

    Attributes:
        time_s: Wall time of the process in seconds since the Unix epoch.
        process: Name of the process.
        event: Number of the event, as ``docs/events.md`` lists it.
        message: Meaning of the event.
        fields: All other fields.
    """

    time_s: float
    process: str
    event: int
    message: str
    fields: dict[str, Any]

    def text(self, start_s: float) -> str:
        """Return the line as a person reads it, with its time after ``start_s``."""
        shown = " ".join(
            f"{name}={value}" for name, value in self.fields.items() if value != ""
        )
        offset_ms = round((self.time_s - start_s) * 1_000)
        return f"{offset_ms:+7d} ms  {self.process}  E{self.event:04d} {shown}"


def read_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the events in ``lines``; anything before the JSON object is passed over."""
    for line in lines:
        start = line.find("{")
        try:
            value = json.loads(line[start:]) if start >= 0 else None
        except ValueError:
            # A line that was cut when its process ended.
            continue
        if not isinstance(value, dict) or "event" not in value:
            continue
        fields = {k: v for k, v in value.items() if k not in HIDDEN_FIELDS[:-1]}
        yield LogLine(
            time_s=float(value.get("time", 0.0)),
            process=str(value.get("process", "")),
            event=int(value["event"]),
            message=str(value.get("message", "")),
            fields=fields,
        )


def lines_of_request(request_id: str, lines: Iterable[str]) -> list[LogLine]:
    """Return the events of one request, in order of time.

    Clocks of VMs may differ by some milliseconds, and by seconds after a step; the
    lines of one process stay in order.
    """
    found = [
        line
        for line in read_lines(lines)
        if line.fields.get("request_id") == request_id
    ]
    return sorted(found, key=lambda line: line.time_s)
