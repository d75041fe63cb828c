"""Collects the log lines of one request from the logs of all processes."""

from collections.abc import Iterable, Sequence
from typing import Any

from wagtailrun.logs import events
from wagtailrun.logs.step_fields import DURATION_NAMES
from wagtailrun.observation.log_files import LogLine, read_lines

__all__ = ["lines_of_request", "read_lines", "steps_of_request"]


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


def steps_of_request(found: Sequence[LogLine]) -> list[dict[str, Any]]:
    """Return a row for each line that accounts for a step, in the order of the steps.

    A line of an earlier version that names no durations has none in its row. A step
    that an owner handed over has a row for each owner.
    """
    numbers = (events.PIECES_ABANDONED.number, events.STEP_ENDED.number)
    names = ("step", "service", "state", "pieces", "calls", "fill", "total_ms")
    rows = []
    for line in found:
        if line.event in numbers:
            row = {name: line.fields.get(name, "") for name in names}
            has_times = "total_ms" in line.fields
            for name in DURATION_NAMES:
                row[name] = line.fields.get(name, 0 if has_times else "")
            rows.append({**row, "owner": line.process})
    return sorted(rows, key=lambda row: str(row["step"]).zfill(4))
