"""What the log files of a day tell of its staged requests and stage services."""

import bisect
import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence

import attrs

from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.logs import events
from wagtailrun.observation.log_files import LogFile, LogLine
from wagtailrun.observation.log_gaps import clock_gaps, uncounted_steps
from wagtailrun.observation.stage_report import RouteEnds, StageReport

__all__ = ["ServiceCalls", "StagedDay", "StagedRequest"]

STEP_EVENTS = {events.PIECES_ABANDONED.number, events.STEP_ENDED.number}
# A call that takes less of its expected time ran no piece: its inputs were gone, or the
# target had no room. Its line does not tell; such calls took 1 to 3 ms of 200.
LEAST_CALL_SHARE = 0.1
END_NUMBERS = ("staged_ms", "first_ms", "took_ms", "aim_ms")


@attrs.frozen
class StagedRequest:
    """A request that ran stages, by the line of its end.

    Attributes:
        request_id: Identifier of the request.
        process: Entry that logged it.
        route: Its route.
        arrived_ms: Its arrival, by the clock of the entry.
        aim_ms: Its latency objective.
        in_time: Whether it was answered within the objective.
        staged_ms: When its stages were complete, from its arrival; None if they were
            not, or the request was not answered.
        engine_ms: From then to its first event; None without one.
        pieces_by_service: Pieces of those of its steps that have a line.
    """

    request_id: str
    process: str
    route: str
    arrived_ms: float
    aim_ms: float
    in_time: bool
    staged_ms: float | None
    engine_ms: float | None
    pieces_by_service: dict[str, int]


class ServiceCalls:
    """Shortest successful calls of a stage service.

    A call is taken to last at least as long as any with fewer pieces can.

    Args:
        shortest_ms: Time of the shortest call, by its number of pieces.
        targets: Targets that the logs name.
        slots: Calls that each runs at once; 0 if the logs do not tell.
        batch: Largest number of pieces in a call; 0 if the logs do not tell.
        empty: Calls that are left out, as they were too short to run any piece.
    """

    def __init__(
        self,
        shortest_ms: dict[int, float],
        targets: int,
        slots: int,
        batch: int,
        empty: int = 0,
    ):
        self.sizes = sorted(shortest_ms)
        self.least_ms: list[float] = []
        least = math.inf
        for size in reversed(self.sizes):
            least = min(least, shortest_ms[size])
            self.least_ms.insert(0, least)
        self.targets = targets
        self.slots = slots
        self.batch = batch
        self.empty = empty

    @property
    def servers(self) -> int:
        """Calls that all targets run at once; 0 if the logs do not tell."""
        return self.targets * self.slots if self.batch else 0

    def call_ms(self, pieces: int) -> float:
        """Return the least time of a call with this number of pieces, or more.

        Without so large a call, it is that of the shortest one of the largest.
        """
        if not self.sizes:
            return 0.0
        place = bisect.bisect_left(self.sizes, pieces)
        return self.least_ms[min(place, len(self.sizes) - 1)]

    @property
    def piece_ms(self) -> float:
        """Least time of a call for each of its pieces; 0 if the logs do not tell."""
        if not self.batch:
            return 0.0
        # A full call that was never seen may be as short as the largest that was.
        sizes = {*self.sizes, self.batch}
        return min(self.call_ms(size) / size for size in sizes)

    def step_ms(self, pieces: int) -> float:
        """Return the least time of a step with idle targets."""
        if not self.servers:
            return self.call_ms(1)
        largest_share = math.ceil(pieces / self.servers)
        least_ms = self.call_ms(min(largest_share, self.batch))
        # Several short calls may take less than a long one.
        least_ms = min(least_ms, 2 * self.call_ms(1))
        return max(least_ms, largest_share * self.piece_ms)


class StagedDay:
    """Staged requests and stage services of the log files of a day.

    Args:
        files: Log files of all processes.

    Attributes:
        requests: Requests that ran stages, and ended.
        unknown_by_route: Refused requests of routes with such requests, of which the
            logs do not tell whether they would have run stages.
        calls_by_service: Calls of each stage service.
        start_s: Time of the first line.
        lacks: What the logs lack so that figures would be of a part of the day.
        gaps: What else they lack; the bound holds without it, but may be looser.
        clocks_agree: Whether arrivals at different entries can be compared.
    """

    def __init__(self, files: Sequence[LogFile]):
        self.report = StageReport(files)
        lines = [line for file in files for line in file.lines]
        self.start_s = min(line.time_s for line in lines)
        clocks = list(clock_gaps(lines))
        self.clocks_agree = not clocks
        self.gaps = [*uncounted_steps(lines), *clocks]
        self.lacks = [gap for gap in self.report.gaps() if gap not in self.gaps]
        self.calls_by_service = self._calls(lines)
        ends = self._ends(lines)
        steps = self._steps(lines, ends)
        self.requests = [
            self._request(line, steps.get(name, {}))
            for name, own in ends.items()
            for line in own
            if line.number("staged_ms") or name in steps
        ]
        self.unknown_by_route = self._unknown(lines, steps)
        if not self.requests:
            self.lacks.append("no request with stages ended")

    def _calls(self, lines: Iterable[LogLine]) -> dict[str, ServiceCalls]:
        shortest: dict[str, dict[int, float]] = defaultdict(dict)
        empty: Counter[str] = Counter()
        for line in lines:
            if line.event != events.STAGE_CALL_ENDED.number:
                continue
            service, took_ms = line.word("service"), line.number("took_ms")
            pieces = int(line.number("pieces") or 0)
            # The report names the lines that lack one of these.
            if service is None or took_ms is None or not pieces:
                continue
            own = shortest[service]
            least_ms = LEAST_CALL_SHARE * (line.number("expected_ms") or 0)
            if line.fields.get("failure"):
                continue
            if took_ms < least_ms:
                empty[service] += 1
            else:
                own[pieces] = min(own.get(pieces, math.inf), took_ms)
        return {
            service: ServiceCalls(
                own,
                len(self.report.targets_by_service[service]),
                self.report.slots_by_service.get(service, 0),
                self.report.batch_by_service.get(service, 0),
                empty[service],
            )
            for service, own in sorted(shortest.items())
        }

    def _ends(self, lines: Iterable[LogLine]) -> dict[str, list[LogLine]]:
        """Return the complete lines of the ends of requests, by request."""
        ends: dict[str, list[LogLine]] = defaultdict(list)
        lacking: Counter[str] = Counter()
        for line in lines:
            if line.event != events.RELAY_ENDED.number:
                continue
            absent = [name for name in END_NUMBERS if line.number(name) is None]
            absent += [n for n in ("route", "request_id") if line.word(n) is None]
            lacking.update(absent)
            if not absent:
                ends[line.fields["request_id"]].append(line)
        for name, count in sorted(lacking.items()):
            self.lacks.append(
                f"{count} lines of event {events.RELAY_ENDED.number} have no valid "
                f"field {name}; another version may have written them"
            )
        return ends

    def _steps(
        self, lines: Iterable[LogLine], ends: dict[str, list[LogLine]]
    ) -> dict[str, dict[tuple[int, str], int]]:
        """Return the pieces of the steps with a line, by request.

        A step that has several lines, as it moved or ran again, counts once.
        """
        steps: dict[str, dict[tuple[int, str], int]] = defaultdict(dict)
        lacking, endless = 0, set()
        for line in lines:
            if line.event not in STEP_EVENTS:
                continue
            name, service = line.word("request_id"), line.word("service")
            step, pieces = line.number("step"), line.number("pieces")
            if name is None or service is None or step is None or pieces is None:
                lacking += 1
            elif name not in ends:
                endless.add(name)
            else:
                key = (int(step), service)
                known = steps[name].get(key, int(pieces))
                steps[name][key] = min(known, int(pieces))
        if lacking:
            self.lacks.append(
                f"{lacking} lines of steps lack a valid field; another version may "
                "have written them"
            )
        if endless:
            self.gaps.append(
                f"{len(endless)} requests with lines of steps have no end, and are "
                "not counted"
            )
        repeated = [name for name, own in ends.items() if len(own) > 1]
        if ambiguous := [name for name in repeated if steps.pop(name, None)]:
            self.gaps.append(
                f"{len(ambiguous)} identifiers are those of several requests: their "
                "steps count as none"
            )
        return dict(steps)

    def _request(
        self, line: LogLine, steps: dict[tuple[int, str], int]
    ) -> StagedRequest:
        pieces: Counter[str] = Counter()
        for (_, service), count in steps.items():
            pieces[service] += count
        ends = RouteEnds()
        ends.add(line)
        took_ms, staged_ms = line.fields["took_ms"], line.fields["staged_ms"]
        first_ms = line.fields["first_ms"]
        is_answered = bool(ends.in_time + ends.late) and staged_ms > 0
        return StagedRequest(
            request_id=line.fields["request_id"],
            process=line.process,
            route=line.fields["route"],
            arrived_ms=round(line.time_s * MS_PER_SECOND) - took_ms,
            aim_ms=line.fields["aim_ms"],
            in_time=bool(ends.in_time),
            staged_ms=staged_ms if is_answered else None,
            # As the report has it: an answer without events counts by its end.
            engine_ms=(first_ms or took_ms) - staged_ms if is_answered else None,
            pieces_by_service=dict(pieces),
        )

    def _unknown(
        self, lines: Iterable[LogLine], steps: dict[str, dict[tuple[int, str], int]]
    ) -> Counter[str]:
        routes = {request.route for request in self.requests}
        unknown: Counter[str] = Counter()
        for line in lines:
            is_refused = line.event == events.RELAY_REFUSED.number or (
                line.event == events.RELAY_ENDED.number
                and line.fields.get("outcome") != "answered"
                and not line.number("staged_ms")
                and line.word("request_id") not in steps
            )
            if is_refused and line.word("route") in routes:
                unknown[line.fields["route"]] += 1
        return unknown
