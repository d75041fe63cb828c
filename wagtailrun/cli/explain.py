"""Collects the log lines of one request from the logs of all processes."""

import json
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

__all__ = ["LogLine", "lines_of_request", "read_lines"]

# Fields that are printed separately, or are the same in all lines of one request.
HIDDEN_FIELDS = ("time", "process", "event", "level", "message", "request_id")


@attrs.frozen
class LogLine:
    """Log line of one event.

    Attributes:
        time_s: Wall-clock time of the process, in seconds since the Unix epoch.
        process: Name of the process.
        event: Event number, as listed in ``docs/events.md``.
        message: Meaning of the event.
        fields: All other fields.
    """

    time_s: float
    process: str
    event: int
    message: str
    fields: dict[str, Any]

    def text(self, start_s: float) -> str:
        """Return the line in readable form, with its time relative to ``start_s``."""
        field_text = " ".join(
            f"{name}={value}" for name, value in self.fields.items() if value != ""
        )
        offset_ms = round((self.time_s - start_s) * 1_000)
        return f"{offset_ms:+7d} ms  {self.process}  E{self.event:04d} {field_text}"


def read_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the events in ``lines``; text before a line's JSON object is ignored."""
    for line in lines:
        start = line.find("{")
        try:
            value = json.loads(line[start:]) if start >= 0 else None
        except ValueError:
            # The line is truncated, as after a kill of its process.
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
    """Return the events of one request, sorted by time.

    The clocks of VMs may differ by some milliseconds, or by seconds after a clock step.
    Lines of one process with the same time keep their order.
    """
    found = [
        line
        for line in read_lines(lines)
        if line.fields.get("request_id") == request_id
    ]
    return sorted(found, key=lambda line: line.time_s)
