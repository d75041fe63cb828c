"""Names what log files lack: suppressed lines, processes, sums, agreement of clocks."""

from collections import Counter, defaultdict
from collections.abc import Iterator, Sequence

import attrs

from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.logs import events
from wagtailrun.observation.log_files import LogFile, LogLine

__all__ = [
    "MIN_CLOCK_DIFFERENCE_MS",
    "absent_entries",
    "clock_gaps",
    "log_gaps",
    "suppressed_lines",
    "uncounted_steps",
]

# Events whose lines are counted, so that suppressed ones make the counts too low.
COUNTED = {
    event.number
    for event in (
        events.STAGE_CALL_ENDED,
        events.PIECES_ABANDONED,
        events.STEP_ENDED,
        events.RELAY_ENDED,
        events.RELAY_REFUSED,
    )
}
STEP_LINES = {events.PIECES_ABANDONED.number, events.STEP_ENDED.number}
# Clocks that differ by less do not move figures to another second noticeably, and lines
# are written some milliseconds after what they tell.
MIN_CLOCK_DIFFERENCE_MS = 250
# An entry with requests writes lines more often than this, unless it stops.
MAX_SILENCE_S = 5.0


def log_gaps(files: Sequence[LogFile]) -> list[str]:
    """Return what is missing in files, or makes figures inexact, one sentence each."""
    lines = [line for file in files for line in file.lines]
    gaps = [gap for file in files for gap in file.gaps]
    gaps += suppressed_lines(lines)
    gaps += absent_entries(lines)
    gaps += _partial_logs(lines)
    gaps += uncounted_steps(lines)
    gaps += clock_gaps(lines)
    return gaps


def suppressed_lines(lines: Sequence[LogLine]) -> Iterator[str]:
    """Name processes that suppressed lines which are counted."""
    counts: Counter[tuple[str, int]] = Counter()
    for line in lines:
        if line.event in COUNTED and (count := line.number("suppressed")):
            counts[line.process, line.event] += int(count)
    for (process, event), count in sorted(counts.items()):
        yield f"{process}: {count} lines of event {event} were suppressed"


def absent_entries(lines: Sequence[LogLine]) -> Iterator[str]:
    """Name entries that other processes know and that have no log."""
    known: set[str] = set()
    for line in lines:
        if line.event == events.ENTRY_LIVENESS_CHANGED.number and line.word("entry"):
            known.add(line.fields["entry"])
    present = {line.process for line in lines}
    for name in sorted(known - present):
        yield f"{name}: no log of this entry, which other processes know"
    if not known:
        yield "no line of event 611 names the entries: missing logs go unnoticed"


def _partial_logs(lines: Sequence[LogLine]) -> Iterator[str]:
    """Name processes of which the log lacks the start, or the end."""
    lines_by_process: dict[str, list[LogLine]] = defaultdict(list)
    for line in lines:
        lines_by_process[line.process].append(line)
    end_s = max((line.time_s for line in lines), default=0.0)
    for process, own in sorted(lines_by_process.items()):
        numbers = {line.event for line in own}
        if not numbers & COUNTED:
            continue
        if events.PROCESS_STARTED.number not in numbers:
            yield f"{process}: the log does not have the start of the process"
        silence_s = end_s - max(line.time_s for line in own)
        if silence_s > MAX_SILENCE_S and events.PROCESS_STOPPED.number not in numbers:
            yield f"{process}: the log ends {round(silence_s)} s before the last line"


def uncounted_steps(lines: Sequence[LogLine]) -> Iterator[str]:
    """Name what ended after the last sums of a process, or without any."""
    last_s: dict[tuple[str, str], float] = {}
    sums_s: dict[tuple[str, str], float] = {}
    for line in lines:
        if line.event == events.STAGE_CALL_ENDED.number or line.event in STEP_LINES:
            key = (line.word("service") or "", line.process)
            last_s[key] = max(last_s.get(key, 0.0), line.time_s)
            if isinstance(line.fields.get("ended"), dict):
                sums_s[key] = max(sums_s.get(key, 0.0), line.time_s)
    for key, time_s in sorted(last_s.items()):
        service, process = key
        if key not in sums_s:
            yield (
                f"{process}: no line accounts for the steps of {service}; an earlier "
                "version wrote the log, or too few steps ended"
            )
        elif time_s > sums_s[key]:
            left_ms = round((time_s - sums_s[key]) * MS_PER_SECOND)
            yield f"{process}: no sums of {service} in the last {left_ms} ms"


@attrs.define
class _Difference:
    """Bounds of how far the clock of one process is ahead of another one's."""

    low_ms: float = float("-inf")
    high_ms: float = float("inf")


def clock_gaps(lines: Sequence[LogLine]) -> Iterator[str]:
    """Name pairs of processes whose clocks differ, by requests that both logged.

    A step whose results were taken ended after its request arrived, and before the
    stages of the request were complete, by one clock.
    """
    requests: dict[str, LogLine] = {}
    for line in lines:
        is_end = line.event == events.RELAY_ENDED.number
        if is_end and (name := line.word("request_id")) and line.number("staged_ms"):
            requests[name] = line
    differences: dict[tuple[str, str], _Difference] = defaultdict(_Difference)
    for line in lines:
        request = requests.get(line.word("request_id") or "")
        is_done = line.event == events.STEP_ENDED.number and (
            line.fields.get("state") == "done"
        )
        if request is None or not is_done or request.process == line.process:
            continue
        took_ms, staged_ms = request.number("took_ms"), request.number("staged_ms")
        if took_ms is None or staged_ms is None:
            continue
        arrived_ms = request.time_s * MS_PER_SECOND - took_ms
        ahead_ms = line.time_s * MS_PER_SECOND - arrived_ms
        difference = differences[line.process, request.process]
        difference.low_ms = max(difference.low_ms, ahead_ms - staged_ms)
        difference.high_ms = min(difference.high_ms, ahead_ms)
    for (first, second), difference in sorted(differences.items()):
        if difference.low_ms > MIN_CLOCK_DIFFERENCE_MS:
            ahead, behind, by_ms = first, second, difference.low_ms
        elif difference.high_ms < -MIN_CLOCK_DIFFERENCE_MS:
            ahead, behind, by_ms = second, first, -difference.high_ms
        else:
            continue
        yield (
            f"the clock of {ahead} is ahead of that of {behind} by {round(by_ms)} ms "
            "or more: their seconds are not the same"
        )
    compared = {name for pair in differences for name in pair}
    counted = {line.process for line in lines if line.event in COUNTED}
    if len(counted) > 1 and (others := sorted(counted - compared)):
        yield (
            "clocks not compared with others, for lack of steps with lines: "
            + ", ".join(others)
        )
