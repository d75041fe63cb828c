"""Upper bound of the staged requests of a day that any plan could answer in time.

Reads the log files of all processes of a day, and plans the same arrivals, steps,
pieces and objectives with knowledge of the whole day. No plan answers more in time than
the bound, but a plan that reaches it need not exist, since each of these makes it
easier:

- Transfers, queues between processes, memory for results and cuts cost nothing. Each
  target that the logs name is there all day, whatever its data centre.
- A piece costs what it cost in the most efficient successful call of its service,
  whatever its kind, and any pieces may share a call. A call takes at least as long as
  the shortest one with as many pieces or more. If no call was full, a full one may be
  as short as the shortest of the largest. A call that ended within a tenth of its
  expected time (``empty_calls``) is taken to have run no piece.
- Pieces are divisible and calls can be interrupted: for each stage service, the
  requests that arrive and are due within a window need no more than its targets can do
  in it. Of those that need more, the largest are left out; windows of a service that do
  not overlap, and those of services whose requests differ, add up.
- Steps of a request do not wait for each other. A request takes at least as long as its
  longest step with idle targets, and, since it ran stages, one shortest call.
- The engine's part, from the end of the stages to the first event, is the shortest of
  the route. ``engines_kept`` is the bound of plans that leave the engines' part of each
  request as it was, and ``stages_kept`` of those that leave its stages as they were.
- Only steps that were late, abandoned, moved or waited for long have lines with their
  pieces. The other steps count as no work; ``pieces_told`` is the share of the pieces
  of all calls that is known. ``least_busy`` is the share of the time that all of them
  need at the least cost of a piece; it is no part of the bound.
- A refused request whose steps are not known (``unknown``) counts as one with stages
  that every bound answers in time.
- Clocks may differ by less than the report on stages notices; windows of requests of
  several entries are longer by that. If it names entries whose clocks differ or could
  not be compared, only requests of the same entry share a window.

A plan whose calls or engines are faster than any that the logs show is not bounded.
Times count as logged, in whole milliseconds.

Without some of the lines, the bound would be one of a part of the day. It is then left
empty, the gaps are named, and the exit code is 1.
"""

import argparse
import sys
from bisect import bisect_right, insort
from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import attrs

from bench.staged_day import StagedDay, StagedRequest
from wagtailrun.cli.exit_codes import EXIT_REFUSED, EXIT_SUCCESS, describe_error
from wagtailrun.cli.output import print_json, print_rows, printable
from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.exceptions import WagtailrunError
from wagtailrun.observation.log_files import read_files
from wagtailrun.observation.log_gaps import MIN_CLOCK_DIFFERENCE_MS

__all__ = ["Demand", "StageBound", "Window", "crowded_windows"]

# Sums of durations differ from their exact value by less.
ROUNDING_MS = 1e-6


@attrs.frozen
class Demand:
    """Work of a request at a stage service.

    Attributes:
        name: Identifier of the request.
        start_ms: Its arrival.
        end_ms: Until when the work must be done.
        work_ms: Least time that it takes of the targets.
    """

    name: str
    start_ms: float
    end_ms: float
    work_ms: float


@attrs.frozen
class Window:
    """A time in which a stage service cannot do all that arrives and is due.

    Attributes:
        service: Stage service.
        start_ms: Its start.
        end_ms: Its end.
        late: How many of its requests no plan answers in time.
        names: Its requests.
    """

    service: str
    start_ms: float
    end_ms: float
    late: int
    names: frozenset[str]


def crowded_windows(
    service: str, demands: Sequence[Demand], servers: int, extra_ms: float
) -> list[Window]:
    """Return windows without overlap in which the most requests must be late.

    Args:
        service: Stage service.
        demands: Its work.
        servers: Calls that all its targets run at once.
        extra_ms: By how much each window is longer, in milliseconds.
    """
    found: list[tuple[float, float, int]] = []
    by_end = sorted(demands, key=lambda demand: demand.end_ms)
    for start_ms in sorted({demand.start_ms for demand in demands}):
        works: list[float] = []
        total_ms, most = 0.0, 0
        for demand in by_end:
            if demand.start_ms < start_ms:
                continue
            insort(works, demand.work_ms)
            total_ms += demand.work_ms
            room_ms = servers * (demand.end_ms - start_ms + extra_ms)
            late = _least_late(works, total_ms - room_ms)
            if late > most:
                found.append((demand.end_ms, start_ms, late))
                most = late
    return [
        Window(service, start_ms, end_ms, late, _names_in(demands, start_ms, end_ms))
        for end_ms, start_ms, late in _without_overlap(sorted(found))
    ]


def _least_late(works: Sequence[float], excess_ms: float) -> int:
    """Return how many of the largest works are at least as long as the excess."""
    late = 0
    while excess_ms > ROUNDING_MS:
        late += 1
        excess_ms -= works[-late]
    return late


def _names_in(
    demands: Iterable[Demand], start_ms: float, end_ms: float
) -> frozenset[str]:
    return frozenset(
        demand.name
        for demand in demands
        if start_ms <= demand.start_ms and demand.end_ms <= end_ms
    )


def _without_overlap(
    found: Sequence[tuple[float, float, int]],
) -> list[tuple[float, float, int]]:
    """Return those that do not overlap and have the most late requests in all.

    Args:
        found: End, start and late requests of each window, in order of their ends.
    """
    ends = [end_ms for end_ms, _, _ in found]
    most, chosen = [0], [[]]
    for number, (end_ms, start_ms, late) in enumerate(found):
        before = bisect_right(ends, start_ms, hi=number)
        if most[before] + late > most[-1]:
            most.append(most[before] + late)
            chosen.append([*chosen[before], (end_ms, start_ms, late)])
        else:
            most.append(most[-1])
            chosen.append(chosen[-1])
    return chosen[-1]


@attrs.define
class Verdict:
    """What no plan answers in time, of some requests.

    Attributes:
        requests: Number of the requests.
        engine_late: Requests whose engine's part alone is too long.
        path_late: Others whose longest step and engine's part are too long.
        windows: Windows in which further ones must be late.
    """

    requests: int
    engine_late: list[str] = attrs.field(factory=list)
    path_late: list[str] = attrs.field(factory=list)
    windows: list[Window] = attrs.field(factory=list)

    @property
    def in_time(self) -> int:
        """Largest number of requests that a plan could answer in time."""
        late = len(self.engine_late) + len(self.path_late)
        return self.requests - late - sum(window.late for window in self.windows)


class StageBound:
    """Bounds of the staged requests of a day.

    Args:
        day: What its logs tell.
    """

    def __init__(self, day: StagedDay):
        self.day = day
        self.best_engine_ms: dict[str, float] = {}
        for request in day.requests:
            if request.engine_ms is not None:
                known_ms = self.best_engine_ms.get(request.route, request.engine_ms)
                best_ms = min(known_ms, request.engine_ms)
                self.best_engine_ms[request.route] = best_ms

    def best_engine(self, request: StagedRequest) -> float:
        """Return the least engine's part of the route, in milliseconds."""
        return self.best_engine_ms.get(request.route, 0.0)

    def kept_engine(self, request: StagedRequest) -> float:
        """Return the engine's part of the request, or the least without one."""
        if request.engine_ms is None:
            return self.best_engine(request)
        return request.engine_ms

    def least_stages_ms(self, request: StagedRequest) -> float:
        """Return the least time of the stages of a request with idle targets."""
        calls = self.day.calls_by_service
        steps_ms = [
            calls[service].step_ms(pieces)
            for service, pieces in request.pieces_by_service.items()
            if service in calls and pieces
        ]
        shortest_ms = [each.call_ms(1) for each in calls.values()]
        return max([*steps_ms, min(shortest_ms, default=0.0)])

    def verdict(
        self,
        requests: Sequence[StagedRequest],
        engine_ms: Callable[[StagedRequest], float],
    ) -> Verdict:
        """Return what no plan answers in time.

        Args:
            requests: The requests; all others are taken to need nothing.
            engine_ms: Returns the engine's part of a request, in milliseconds.
        """
        verdict = Verdict(len(requests))
        possible = []
        for request in requests:
            left_ms = request.aim_ms - engine_ms(request)
            if left_ms < 0:
                verdict.engine_late.append(request.request_id)
            elif left_ms < self.least_stages_ms(request):
                verdict.path_late.append(request.request_id)
            else:
                possible.append((request, request.arrived_ms + left_ms))
        windows_by_service = {
            service: self._windows(service, possible)
            for service in self.day.calls_by_service
        }
        verdict.windows = _most_late(windows_by_service)
        return verdict

    def _windows(
        self, service: str, possible: Sequence[tuple[StagedRequest, float]]
    ) -> list[Window]:
        calls = self.day.calls_by_service[service]
        if not calls.servers:
            return []
        groups: dict[str, list[Demand]] = defaultdict(list)
        processes = set()
        for request, end_ms in possible:
            if pieces := request.pieces_by_service.get(service, 0):
                group = "" if self.day.clocks_agree else request.process
                work_ms = pieces * calls.piece_ms
                processes.add(request.process)
                groups[group].append(
                    Demand(request.request_id, request.arrived_ms, end_ms, work_ms)
                )
        is_one_clock = len(processes) == 1 or not self.day.clocks_agree
        extra_ms = 0 if is_one_clock else MIN_CLOCK_DIFFERENCE_MS
        return [
            window
            for demands in groups.values()
            for window in crowded_windows(service, demands, calls.servers, extra_ms)
        ]

    def stages_kept(self, requests: Iterable[StagedRequest]) -> int:
        """Return the bound of plans that leave the stages as they were."""
        return sum(
            request.staged_ms is None
            or request.staged_ms + self.best_engine(request) <= request.aim_ms
            for request in requests
        )

    def _row(self, requests: Sequence[StagedRequest], unknown: int) -> dict[str, Any]:
        """Return the columns of a row; bounds are None if lines are missing."""
        in_time = sum(request.in_time for request in requests)
        count = len(requests) + unknown
        row: dict[str, Any] = {"requests": len(requests), "unknown": unknown}
        row |= {"in_time": in_time, "in_time_share": _share(in_time, count)}
        names = ("bound", "bound_share", "distance", "engines_kept", "stages_kept")
        if self.day.lacks:
            return row | dict.fromkeys(names)
        bound = self.verdict(requests, self.best_engine).in_time + unknown
        kept = self.verdict(requests, self.kept_engine).in_time + unknown
        staged = self.stages_kept(requests) + unknown
        figures = (bound, _share(bound, count), bound - in_time, kept, staged)
        return row | dict(zip(names, figures, strict=True))

    def route_rows(self) -> list[dict[str, Any]]:
        """Return a row for each route, and one for all."""
        day, rows = self.day, []
        for route in sorted({request.route for request in day.requests}):
            own = [request for request in day.requests if request.route == route]
            row = self._row(own, day.unknown_by_route[route])
            best_ms = self.best_engine_ms.get(route)
            rows.append({"route": route, **row, "engine_ms": best_ms})
        every = self._row(day.requests, day.unknown_by_route.total())
        return [*rows, {"route": "(all)", **every}]

    def service_rows(self) -> list[dict[str, Any]]:
        """Return a row for each stage service, of the requests with lines of steps."""
        rows = []
        use_by_service = {row["service"]: row for row in self.day.report.service_rows()}
        for service, calls in self.day.calls_by_service.items():
            use = use_by_service[service]
            own = [r for r in self.day.requests if r.pieces_by_service.get(service)]
            told = sum(request.pieces_by_service[service] for request in own)
            row: dict[str, Any] = {"service": service, "servers": calls.servers or None}
            row |= {"shortest_call_ms": calls.call_ms(1)}
            row |= {"empty_calls": calls.empty}
            row |= {"piece_ms": round(calls.piece_ms, 2) or None, "busy": use["busy"]}
            call_ms = self.day.report.total_by_service[service].call_ms
            least_ms = use["pieces"] * calls.piece_ms
            least_busy = (use["busy"] or 0) * least_ms / call_ms if call_ms else 0.0
            row |= {"least_busy": round(least_busy, 2), "pieces": use["pieces"]}
            row |= {"pieces_told": _share(told, use["pieces"])}
            rows.append(row | self._row(own, 0))
        return rows

    def constraint_rows(self) -> list[dict[str, Any]]:
        """Return what binds, for the bound and for ``engines_kept``."""
        if self.day.lacks:
            return []
        rows = []
        plans = {"bound": self.best_engine, "engines_kept": self.kept_engine}
        for plan, engine_ms in plans.items():
            verdict = self.verdict(self.day.requests, engine_ms)
            paths = {"engine": verdict.engine_late, "path": verdict.path_late}
            for name, names in paths.items():
                if names:
                    rows.append({"plan": plan, "constraint": name, "late": len(names)})
            for window in verdict.windows:
                row = {"plan": plan, "constraint": window.service, "late": window.late}
                row |= {"of": len(window.names)}
                row |= {"from_s": self._second(window.start_ms)}
                rows.append(row | {"to_s": self._second(window.end_ms)})
        return rows

    def _second(self, time_ms: float) -> float:
        return round(time_ms / MS_PER_SECOND - self.day.start_s, 2)


def _share(amount: float, of: float) -> float | None:
    return round(amount / of, 4) if of else None


def _most_late(windows_by_service: dict[str, list[Window]]) -> list[Window]:
    """Return windows of all services whose requests differ, by the best first service.

    A request that is late at two services is late once.
    """
    best: list[Window] = []
    for first in windows_by_service:
        chosen = list(windows_by_service[first])
        names = {name for window in chosen for name in window.names}
        others = [w for s, own in windows_by_service.items() if s != first for w in own]
        for window in sorted(others, key=lambda window: -window.late):
            if names.isdisjoint(window.names):
                chosen.append(window)
                names |= window.names
        if _late(chosen) > _late(best):
            best = chosen
    return best


def _late(windows: Iterable[Window]) -> int:
    return sum(window.late for window in windows)


def _print(bound: StageBound, as_json: bool) -> None:
    day = bound.day
    tables = {
        "routes": bound.route_rows(),
        "services": bound.service_rows(),
        "constraints": bound.constraint_rows(),
    }
    if as_json:
        print_json({**tables, "lacks": day.lacks, "gaps": day.gaps})
        return
    for name, rows in tables.items():
        print(f"{name}:")
        print_rows(rows, empty="none")
        print()
    for title, gaps in (
        ("no bound, as the logs lack", day.lacks),
        ("gaps that leave the bound valid", day.gaps),
    ):
        if gaps:
            print(f"{title}:")
            print(*(f"  {printable(gap)}" for gap in gaps), sep="\n")


def main(arguments: list[str] | None = None) -> int:
    """Print the bound of the log files named on the command line."""
    parser = argparse.ArgumentParser(
        prog="python -m bench.stage_bound", description=(__doc__ or "").split("\n")[0]
    )
    parser.add_argument("logs", nargs="+", help="log files of all processes of a day")
    parser.add_argument("--json", action="store_true", help="print JSON")
    given = parser.parse_args(arguments)
    try:
        day = StagedDay(read_files(given.logs))
    except WagtailrunError as error:
        text, code = describe_error(error)
        print(text, file=sys.stderr)
        return code
    _print(StageBound(day), given.json)
    return EXIT_REFUSED if day.lacks or day.gaps else EXIT_SUCCESS


if __name__ == "__main__":
    sys.exit(main())
