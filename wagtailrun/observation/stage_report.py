"""Report on stage services and routes from the log files of relay daemons."""

import statistics
from collections import Counter, defaultdict
from collections.abc import Iterator, Sequence
from typing import Any

import attrs

from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.logs import events
from wagtailrun.logs.step_fields import DURATION_NAMES, WAIT_NAMES
from wagtailrun.observation.log_files import LogFile, LogLine, number_in
from wagtailrun.observation.log_gaps import log_gaps

__all__ = ["RouteEnds", "ServiceUse", "StageReport"]

# A longer call is no call; targets answer within seconds.
MAX_CALL_MS = 3_600 * MS_PER_SECOND
# Sums are written with the next call; a longer span is none of a busy service.
MAX_SPAN_MS = 3_600 * MS_PER_SECOND
# Statuses from here on are no answers to the request, though a target gave them.
FIRST_FAILED_STATUS = 500


@attrs.define
class ServiceUse:
    """What the log tells of a stage service in a second, or in all.

    Attributes:
        calls: Calls that ended.
        failed_calls: Those that failed.
        pieces: Pieces of all calls.
        call_ms: Time of the calls within the second, in milliseconds.
        left_waiting: Sum of the pieces that still waited when these calls began.
        most_waiting: Largest number of them.
        held_bytes_by_target: Largest size of the results that each target held when a
            call to it began.
        held_bytes: Largest size at all targets that event 723 names.
        steps: Steps that ended, from the sums; a part of a step where sums are spread
            over seconds.
        ms_by_name: Their durations, by the names of ``DURATION_NAMES``.
        abandoned: Steps that were abandoned.
    """

    calls: int = 0
    failed_calls: int = 0
    pieces: int = 0
    call_ms: float = 0.0
    left_waiting: int = 0
    most_waiting: int = 0
    held_bytes_by_target: dict[str, int] = attrs.field(factory=dict)
    held_bytes: int = 0
    steps: float = 0.0
    ms_by_name: dict[str, float] = attrs.field(
        factory=lambda: dict.fromkeys(DURATION_NAMES, 0.0)
    )
    abandoned: int = 0

    def add_call(self, line: LogLine) -> None:
        """Count a call, but for its time."""
        self.calls += 1
        self.failed_calls += bool(line.fields.get("failure"))
        self.pieces += int(line.number("pieces") or 0)
        waiting = int(line.number("left_waiting") or 0)
        self.left_waiting += waiting
        self.most_waiting = max(self.most_waiting, waiting)
        target, held = line.word("target") or "", int(line.number("held_bytes") or 0)
        known = self.held_bytes_by_target.get(target, 0)
        self.held_bytes_by_target[target] = max(known, held)

    def add_sums(self, sums: dict[str, Any], share: float = 1.0) -> None:
        """Add a share of the sums of the steps that ended."""
        self.steps += share * int(number_in(sums, "steps") or 0)
        for name in DURATION_NAMES:
            self.ms_by_name[name] += share * int(number_in(sums, name) or 0)

    def row(self, targets: int, slots: int, batch: int, time_ms: int) -> dict[str, Any]:
        """Return the row of a table.

        Args:
            targets: Number of the targets.
            slots: Calls that each runs at once.
            batch: Places of a call; 0 if the log does not tell.
            time_ms: Time for which the row stands.
        """
        held = max(self.held_bytes, sum(self.held_bytes_by_target.values()))
        room_ms = targets * slots * time_ms
        row: dict[str, Any] = {
            "targets": targets,
            "busy": round(self.call_ms / room_ms, 2) if room_ms else None,
            "calls": self.calls,
            "failed": self.failed_calls,
            "pieces": self.pieces,
            "fill": _ratio(self.pieces, self.calls * batch),
            "waiting": _ratio(self.left_waiting, self.calls),
            "most_waiting": self.most_waiting,
            "held_mb": round(held / 1e6, 2),
            "abandoned": self.abandoned,
        }
        waited_ms = sum(self.ms_by_name[name] for name in WAIT_NAMES)
        row["steps"] = round(self.steps, 1) or None
        row["step_ms"] = _ratio(sum(self.ms_by_name.values()), self.steps, 0)
        row["wait_ms"] = _ratio(waited_ms, self.steps, 0)
        for name in WAIT_NAMES:
            share = name.replace("_ms", "_share")
            row[share] = _ratio(self.ms_by_name[name], waited_ms)
        return row


def _parts(end_s: float, took_ms: float) -> Iterator[tuple[int, float]]:
    """Yield each second of a time that ended at ``end_s``, and the part in it."""
    end_ms = end_s * MS_PER_SECOND
    start_ms = end_ms - took_ms
    second = int(start_ms // MS_PER_SECOND)
    while second * MS_PER_SECOND < end_ms:
        from_ms = max(start_ms, second * MS_PER_SECOND)
        to_ms = min(end_ms, (second + 1) * MS_PER_SECOND)
        yield second, to_ms - from_ms
        second += 1


def _ratio(amount: float, of: float, digits: int = 2) -> float | None:
    """Return a rounded ratio, or None if there is nothing to compare with."""
    return round(amount / of, digits) if of else None


@attrs.define
class RouteEnds:
    """How the requests of a route ended.

    Attributes:
        in_time: Answered within the latency objective.
        late: Answered after it.
        failed: Answers with a status from 500, and outcomes other than an answer or a
            refusal.
        unknown: Answered, but the log does not tell when or by when.
        refused_ms: Time until each refusal, in milliseconds.
        late_ms: Time beyond the objective of each late one, in milliseconds.
    """

    in_time: int = 0
    late: int = 0
    failed: int = 0
    unknown: int = 0
    refused_ms: list[float] = attrs.field(factory=list)
    late_ms: list[float] = attrs.field(factory=list)

    def add(self, line: LogLine) -> None:
        """Count a request.

        The first event counts where an answer has any, else the end.
        """
        outcome, status = line.word("outcome"), line.number("status")
        took_ms, aim_ms = line.number("took_ms"), line.number("aim_ms")
        if line.event == events.RELAY_REFUSED.number or outcome == "refused":
            self.refused_ms.append(took_ms if took_ms is not None else float("nan"))
        elif outcome != "answered" or (status or 0) >= FIRST_FAILED_STATUS:
            self.failed += 1
        elif took_ms is None or aim_ms is None:
            self.unknown += 1
        else:
            late_ms = (line.number("first_ms") or took_ms) - aim_ms
            if late_ms > 0:
                self.late += 1
                self.late_ms.append(late_ms)
            else:
                self.in_time += 1

    def row(self, route: str) -> dict[str, Any]:
        """Return the row of a table."""
        ended = self.in_time + self.late + self.failed + self.unknown
        known_ms = [ms for ms in self.refused_ms if ms == ms]
        return {
            "route": route,
            "ended": ended + len(self.refused_ms),
            "in_time": self.in_time,
            "late": self.late,
            "late_ms_median": _median(self.late_ms),
            "failed": self.failed,
            "unknown": self.unknown,
            "refused": len(self.refused_ms),
            "refused_ms_median": _median(known_ms),
            "refused_ms_max": round(max(known_ms)) if known_ms else None,
        }


def _median(values: Sequence[float]) -> int | None:
    return round(statistics.median(values)) if values else None


class StageReport:
    """Report on the stage services and routes of log files.

    A call counts in the seconds in which it ran, by the clock of the process that owns
    the service; all else in the second of its line. The sums of steps are spread evenly
    over the time in which their steps ended, which may begin seconds before the line
    that has them.

    Args:
        files: Log files of the processes.
    """

    def __init__(self, files: Sequence[LogFile]):
        self.files = files
        self.total_by_service: dict[str, ServiceUse] = defaultdict(ServiceUse)
        self.use_by_second: dict[tuple[int, str], ServiceUse] = defaultdict(ServiceUse)
        self.ends_by_route: dict[str, RouteEnds] = defaultdict(RouteEnds)
        self.targets_by_service: dict[str, set[str]] = defaultdict(set)
        self.batch_by_service: dict[str, int] = {}
        self.slots_by_service: dict[str, int] = {}
        # Lines that lack a field which the report needs, by event and field.
        self.lacking: Counter[tuple[int, str]] = Counter()
        self.has_targets = False
        handlers = {
            events.STAGE_CALL_ENDED.number: self._add_call,
            events.PIECES_ABANDONED.number: self._add_abandoned,
            events.STAGE_MEMORY_FULL.number: self._add_memory,
            events.RELAY_ENDED.number: self._add_request,
            events.RELAY_REFUSED.number: self._add_request,
            events.TARGET_STATE_CHANGED.number: self._add_target,
        }
        for file in files:
            for line in file.lines:
                if handler := handlers.get(line.event):
                    handler(line)

    def _has(self, line: LogLine, words: Sequence[str], numbers: Sequence[str]) -> bool:
        """Return whether a line has its fields, and count those that it lacks."""
        lacking = [name for name in words if line.word(name) is None]
        lacking += [name for name in numbers if line.number(name) is None]
        for name in lacking:
            self.lacking[line.event, name] += 1
        return not lacking

    def _uses(self, line: LogLine) -> tuple[ServiceUse, ServiceUse]:
        service = line.fields["service"]
        second = self.use_by_second[int(line.time_s), service]
        return second, self.total_by_service[service]

    def _add_call(self, line: LogLine) -> None:
        numbers = ("pieces", "left_waiting", "held_bytes", "took_ms")
        if not self._has(line, ("service", "target"), numbers):
            return
        took_ms = line.fields["took_ms"]
        if took_ms > MAX_CALL_MS:
            self.lacking[line.event, "took_ms"] += 1
            return
        service = line.fields["service"]
        self.targets_by_service[service].add(line.fields["target"])
        for use in self._uses(line):
            use.add_call(line)
        self.total_by_service[service].call_ms += took_ms
        for second, ms in _parts(line.time_s, took_ms):
            self.use_by_second[second, service].call_ms += ms
        sums = line.fields.get("ended")
        if isinstance(sums, dict):
            self._add_sums(line, sums)

    def _add_sums(self, line: LogLine, sums: dict[str, Any]) -> None:
        service = line.fields["service"]
        self.batch_by_service[service] = int(number_in(sums, "batch") or 0)
        self.slots_by_service[service] = int(number_in(sums, "slots") or 0)
        self.total_by_service[service].add_sums(sums)
        # Sums of one step have no span, and earlier versions wrote none.
        span_ms = min(number_in(sums, "span_ms") or 0, MAX_SPAN_MS)
        if span_ms <= 0:
            self.use_by_second[int(line.time_s), service].add_sums(sums)
            return
        for second, ms in _parts(line.time_s, span_ms):
            self.use_by_second[second, service].add_sums(sums, ms / span_ms)

    def _add_abandoned(self, line: LogLine) -> None:
        if self._has(line, ("service",), ()):
            for use in self._uses(line):
                use.abandoned += 1

    def _add_memory(self, line: LogLine) -> None:
        if self._has(line, ("service",), ("held_bytes",)):
            for use in self._uses(line):
                use.held_bytes = max(use.held_bytes, int(line.fields["held_bytes"]))

    def _add_request(self, line: LogLine) -> None:
        if self._has(line, ("route",), ("took_ms",)):
            self.ends_by_route[line.fields["route"] or "(none)"].add(line)

    def _add_target(self, line: LogLine) -> None:
        if self._has(line, ("service", "target"), ()):
            self.has_targets = True
            service, target = line.fields["service"], line.fields["target"]
            self.targets_by_service[service].add(target)

    def second_rows(self) -> list[dict[str, Any]]:
        """Return a row for each second and stage service, in order of time."""
        return [
            {"second": second, "service": service}
            | self._row(service, use, MS_PER_SECOND)
            for (second, service), use in sorted(self.use_by_second.items())
        ]

    def service_rows(self) -> list[dict[str, Any]]:
        """Return a row for each stage service, for all seconds with a line of it."""
        rows = []
        for service, use in sorted(self.total_by_service.items()):
            seconds = [second for second, name in self.use_by_second if name == service]
            time_ms = (max(seconds) + 1 - min(seconds)) * MS_PER_SECOND
            use_row = self._row(service, use, time_ms)
            durations = {
                name: _ratio(use.ms_by_name[name], use.steps, 0)
                for name in DURATION_NAMES
            }
            rows.append({"service": service, **use_row, **durations})
        return rows

    def _row(self, service: str, use: ServiceUse, time_ms: int) -> dict[str, Any]:
        return use.row(
            len(self.targets_by_service[service]),
            self.slots_by_service.get(service) or 1,
            self.batch_by_service.get(service, 0),
            time_ms,
        )

    def route_rows(self) -> list[dict[str, Any]]:
        """Return a row for each route."""
        return [ends.row(name) for name, ends in sorted(self.ends_by_route.items())]

    def gaps(self) -> list[str]:
        """Return what the figures do not include, one sentence each."""
        gaps = log_gaps(self.files)
        for (event, name), count in sorted(self.lacking.items()):
            gaps.append(
                f"{count} lines of event {event} are not counted: "
                f"no valid field {name}; another version may have written them"
            )
        services = sorted(self.total_by_service)
        if services and not self.has_targets:
            gaps.append(
                "no line of event 610: targets without calls are unknown, and the "
                "busy share is that of the others"
            )
        for service in services:
            if not self.slots_by_service.get(service):
                gaps.append(
                    f"{service}: no sums of steps, so that the reasons of waits and "
                    "the fill of calls are unknown; busy is for one call at a time a "
                    "target"
                )
        return gaps
