"""Benchmarks the routing and admission policies against simpler ones."""

import gc
import json
import statistics
import time
import tracemalloc
from collections.abc import Callable, Collection, Sequence
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import attrs

from bench.traces import FLEETS_BY_NAME, make_trace
from wagtailrun.ports.link import Address
from wagtailrun.replay.player import (
    EntryContext,
    ReplayReport,
    build_dispatcher,
    replay_records,
)
from wagtailrun.serving.dispatch import (
    Dispatcher,
    DispatchOptions,
    Work,
    make_dispatcher,
)
from wagtailrun.targets.affinity import CacheEvents, prefix_hashes
from wagtailrun.targets.router_options import RouterOptions
from wagtailrun.targets.routing import LeastLoadedRouter
from wagtailrun.targets.table import Membership, TargetRow
from wagtailrun.virtual_time import VirtualClock

__all__ = ["reports", "run", "summary"]

SEEDS = (1, 2)
WORKERS = 4
DURATION_MS = 40_000
BURST_MS = (5_000, 35_000)
# A fault in the middle of the run, long enough for detection and recovery.
FAULT = {"at": 8_000, "until": 30_000}


class RoundRobinRouter(LeastLoadedRouter):
    """Chooses the targets in turn."""

    def __init__(self) -> None:
        super().__init__()
        self.turn = 0

    def choose(
        self,
        candidates: Sequence[TargetRow],
        work: Work | None = None,
        avoid: Collection[str] = (),
    ) -> TargetRow | None:
        """Return the next target."""
        self.turn += 1
        return candidates[self.turn % len(candidates)] if candidates else None


class LeastReportedRouter(LeastLoadedRouter):
    """Chooses the target with the least reported load, ignoring own attempts."""

    def _load(self, target: TargetRow) -> float:
        return (target.running + target.queued) / target.capacity


MINIMAL_OPTIONS = DispatchOptions(
    admission=False, hedges=False, budget=False, detect_stalls=False, max_retries=2
)


def _with_router(
    router: Callable[[], LeastLoadedRouter], options: DispatchOptions
) -> Callable[[EntryContext], Dispatcher]:
    def build(context: EntryContext) -> Dispatcher:
        return Dispatcher(
            context.clock,
            context.membership,
            context.client,
            router(),
            probe=context.client.probe,
            seed=context.seed,
            options=options,
        )

    return build


def _with_options(
    router: dict[str, bool] | None = None, **dispatch: Any
) -> Callable[[EntryContext], Dispatcher]:
    def build(context: EntryContext) -> Dispatcher:
        dispatcher = build_dispatcher(context)
        dispatcher.options = DispatchOptions(**dispatch)
        dispatcher.router.options = RouterOptions(**(router or {}))
        return dispatcher

    return build


BUILDERS_BY_NAME: dict[str, Callable[[EntryContext], Dispatcher]] = {
    "all": build_dispatcher,
    "thin": _with_router(LeastLoadedRouter, MINIMAL_OPTIONS),
    "round-robin": _with_router(RoundRobinRouter, DispatchOptions()),
    "least-reported": _with_router(LeastReportedRouter, DispatchOptions()),
    "no-admission": _with_options(admission=False),
    "retry-three": _with_options(budget=False, max_retries=3, hedges=False),
    "no-hedges": _with_options(hedges=False),
    "no-moves": _with_options(move_slow_streams=False),
    "no-silence": _with_options(detect_stalls=False),
    "no-limits": _with_options({"limits": False}),
    "no-affinity": _with_options({"affinity": False}),
    "no-easing": _with_options({"throttle_outliers": False}),
    "no-correction": _with_options({"correct_reports": False}),
    "no-two-choices": _with_options({"two_choices": False}),
    "no-local-first": _with_options({"local_first": False}),
}


def _scenarios(user: str) -> dict[str, dict[str, Any]]:
    centre = FLEETS_BY_NAME[user]["centres"][0]
    engine = f"engines-{centre}-0"
    whole = (*BURST_MS, 3.0, "")
    return {
        "steady-60": {"load": 0.6},
        "steady-90": {"load": 0.9},
        "burst-3x": {"load": 0.9, "bursts": (whole,)},
        "large-5x": {"load": 0.6, "bursts": ((*BURST_MS, 5.0, "ws-0"),)},
        "straggler": {
            "faults": ({"fault": "straggle", "target": engine, "factor": 8, **FAULT},)
        },
        "dead-stage": {
            "faults": (
                {"fault": "die", "service": "engines", "data_centre": centre, **FAULT},
            )
        },
        "vanished": {"faults": ({"fault": "vanish", "target": engine, **FAULT},)},
        "cut-off": {"faults": ({"fault": "cut", "data_centre": centre, **FAULT},)},
        "silent": {
            "faults": (
                {
                    "fault": "silent",
                    "service": "engines",
                    "data_centre": centre,
                    **FAULT,
                },
                {
                    "fault": "silent",
                    "service": "encoders",
                    "data_centre": centre,
                    **FAULT,
                },
            )
        },
        "entry-killed": {
            "faults": ({"fault": "entry-killed", "entry": "entry-0", "at": 8_000},)
        },
        "lag-2s": {"load": 0.9, "lag_ms": 2_000},
        "lag-5s": {"load": 0.9, "lag_ms": 5_000},
    }


def _replay_job(job: tuple[str, str, str, int]) -> tuple[tuple[str, str, str], Any]:
    user, scenario, build, seed = job
    options = {"duration_ms": DURATION_MS, **_scenarios(user)[scenario]}
    records = make_trace(user, seed, **options)
    return (user, scenario, build), replay_records(records, BUILDERS_BY_NAME[build])


def reports(
    jobs: list[tuple[str, str, str, int]],
) -> dict[tuple[str, str, str], ReplayReport]:
    """Replay jobs, each a (user, scenario, build, seed), in ``WORKERS`` processes."""
    with ProcessPoolExecutor(WORKERS) as pool:
        return dict(pool.map(_replay_job, jobs))


# Builds with which the full set of policies is compared in each scenario.
BASELINES_BY_SCENARIO = {
    "steady-60": ("thin", "round-robin", "least-reported"),
    "steady-90": tuple(name for name in BUILDERS_BY_NAME if name != "all"),
    "burst-3x": (
        "thin",
        "round-robin",
        "least-reported",
        "no-admission",
        "no-limits",
        "no-affinity",
        "retry-three",
    ),
    "large-5x": ("thin", "no-admission", "no-limits"),
    "straggler": ("thin", "no-easing", "no-moves", "no-hedges", "retry-three"),
    "dead-stage": ("thin", "no-hedges", "retry-three"),
    "vanished": ("thin", "no-silence", "retry-three"),
    "cut-off": ("thin", "no-silence", "no-local-first"),
    "silent": ("thin", "no-silence", "retry-three"),
    "entry-killed": ("thin",),
    "lag-2s": ("thin", "least-reported", "no-correction", "no-two-choices"),
    "lag-5s": ("thin", "least-reported", "no-correction", "no-two-choices"),
}
Key = tuple[str, str, str]


def _goodput(report: ReplayReport) -> float:
    """Return the complete pipeline answers per second in the middle of a burst."""
    middle = range(BURST_MS[0] // 1_000 + 5, BURST_MS[1] // 1_000)
    return sum(report.goodput_by_second.get(s, 0) for s in middle) / len(middle)


def _worst_other_attainment(report: ReplayReport) -> float:
    """Return the lowest attainment of the workspaces other than the large one."""
    values = report.attainment_by_workspace
    return min(value for name, value in values.items() if name != "ws-0")


def _row(name: str, unit: str, better: str, **fields: Any) -> dict[str, Any]:
    value, bound = fields["value"], fields.get("bound")
    holds = True
    if bound is not None:
        holds = value >= bound if better == "higher" else value <= bound
    row = {"name": name, "unit": unit, "better": better, "baseline": None}
    return {**row, "bound": None, **fields, "holds": holds}


def run() -> list[dict[str, Any]]:
    """Run all measurements and return a row for each figure.

    Figures are means over ``SEEDS``; bounds are those of section 1.6 of the design
    page.
    """
    jobs = []
    for user in FLEETS_BY_NAME:
        for scenario, builds in BASELINES_BY_SCENARIO.items():
            for build in ("all", *builds):
                jobs += [(user, scenario, build, seed) for seed in SEEDS]
    found: dict[Key, list[ReplayReport]] = {}
    with ProcessPoolExecutor(WORKERS) as pool:
        for key, report in pool.map(_replay_job, jobs):
            found.setdefault(key, []).append(report)
        capacities = dict(pool.map(_measure_capacity, FLEETS_BY_NAME))

    def mean(key: Key, of: Callable[[ReplayReport], float]) -> float:
        return statistics.mean(of(report) for report in found[key])

    rows = []
    for user in FLEETS_BY_NAME:
        rows += _objective_rows(user, mean, found, capacities[user])
        for scenario, builds in BASELINES_BY_SCENARIO.items():
            for build in builds:
                name = f"{user} {scenario}: attainment, against {build}"
                values = [
                    mean((user, scenario, one), lambda r: r.attainment)
                    for one in ("all", build)
                ]
                rows.append(
                    _row(name, "share", "higher", value=values[0], baseline=values[1])
                )
    return rows + _decision_rows()


def _measure_capacity(user: str) -> tuple[str, float]:
    """Return the user and the fleet's capacity in pipeline answers per second.

    The capacity is the goodput of the "thin" build with practically no deadline.
    """
    records = make_trace(user, SEEDS[0], load=2.0, duration_ms=DURATION_MS)
    text = records[0]["fleet_text"]
    records[0]["fleet_text"] = text.replace(
        "deadline_ms = 8000", "deadline_ms = 600000"
    )
    return user, _goodput(replay_records(records, BUILDERS_BY_NAME["thin"]))


def _objective_rows(
    user: str,
    mean: Callable[[Key, Callable[[ReplayReport], float]], float],
    found: dict[Key, list[ReplayReport]],
    capacity: float,
) -> list[dict[str, Any]]:
    """Return the rows that have a bound in section 1.6 of the design page."""
    rows = []

    def add(
        scenario: str,
        what: str,
        of: Callable[[ReplayReport], float],
        bound: float,
        better: str = "higher",
    ) -> None:
        value, baseline = (mean((user, scenario, b), of) for b in ("all", "thin"))
        name = f"{user} {scenario}: {what}"
        fields = {"value": value, "baseline": baseline, "bound": bound}
        rows.append(_row(name, "share", better, **fields))

    add("steady-90", "first tokens within 1.2 s", lambda r: r.first_within, 0.95)
    add("steady-90", "gaps within 45 ms", lambda r: r.gap_within, 0.95)
    add("burst-3x", "goodput of capacity", lambda r: _goodput(r) / capacity, 0.95)
    calm = mean((user, "steady-60", "all"), _worst_other_attainment)
    add(
        "large-5x",
        "worst other workspace",
        lambda r: _worst_other_attainment(r) / calm,
        0.99,
    )
    calm = mean((user, "steady-60", "all"), lambda r: r.attainment)
    add("straggler", "attainment lost", lambda r: calm - r.attainment, 0.01, "lower")
    every = [
        r for key, all_r in found.items() if key[::2] == (user, "all") for r in all_r
    ]
    worst = max(report.extra_share for report in every)
    name = f"{user}, every scenario: most repeats and hedges"
    rows.append(_row(name, "share", "lower", value=worst, bound=0.1))
    worst = max(report.most_runs_of_an_order for report in every)
    name = f"{user}, every scenario: most runs of an order"
    rows.append(_row(name, "runs", "lower", value=worst, bound=1))
    worst = max(report.wrong + report.false_not_run for report in every)
    name = f"{user}, every scenario: wrong answers and false refusals"
    rows.append(_row(name, "answers", "lower", value=worst, bound=0))
    return rows


def _decision_rows() -> list[dict[str, Any]]:
    rows = []
    for count, bound in ((250, 100.0), (1_700, None)):
        warm_us, cold_us, memory_mb = _measure_decision(count)
        name = f"one decision at {count} targets"
        rows.append(_row(name, "us", "lower", value=warm_us, bound=bound))
        name = f"one decision at {count} targets, with a new list of targets"
        rows.append(_row(name, "us", "lower", value=cold_us, bound=bound))
        name = f"memory of the decisions of one entry at {count} targets"
        rows.append(_row(name, "MB", "lower", value=memory_mb))
    return rows


def _measure_decision(count: int, rounds: int = 3_000) -> tuple[float, float, float]:
    """Measure routing decisions among ``count`` targets.

    Returns:
        Microseconds of a decision with a cached list of targets, microseconds with a
        new list, and the memory of the router in MB.
    """
    gc.collect()
    tracemalloc.start()
    clock = VirtualClock()
    membership = Membership()
    centres = 1 if count <= 250 else 7
    for number in range(count):
        address = Address("127.0.0.1", 1_000 + number)
        centre = f"centre-{number % centres}"
        row = TargetRow(f"engine-{number}", address, "engines", centre, 8, 1, 1, 4, 1)
        membership.put(row, 0)
    entries = [f"entry-{number}" for number in range(54)]
    dispatcher = make_dispatcher(
        clock,
        membership,
        None,
        name="entry-0",
        data_centre="centre-0",
        seed=1,
        entries=lambda: entries,
    )
    router = dispatcher.router
    works = []
    for number in range(100):
        hashes = prefix_hashes(f"{number} " * 2_000)
        work = Work("engines", "/", b"{}", "r", "ws", 8_000, stage="generate")
        works.append(attrs.evolve(work, prefixes=hashes))
        dispatcher.estimates.record("engines", "generate", work.size_class, 100, 1_500)
    router.mean_engine_ms_by_service["engines"] = [100.0, 200.0]
    dispatcher.choose(works[0], set())
    for row in membership.targets_by_name.values():
        changes = tuple(f"{n:x}" for work in works[:40] for n in work.prefixes)
        router.observe_cache(row, CacheEvents(1, len(changes), changes))
    dispatcher.choose(works[0], set())
    memory_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    times = []
    for is_new in (False, True):
        started = time.perf_counter()
        for number in range(rounds):
            if is_new:
                dispatcher.usable_by_service.clear()
            dispatcher.choose(works[number % 100], set())
        times.append((time.perf_counter() - started) / rounds * 1e6)
    return times[0], times[1], memory_mb


def main() -> None:
    """Print the rows as a table in Markdown."""
    print("| figure | unit | baseline | value | bound | holds |")
    print("| --- | --- | --- | --- | --- | --- |")
    for row in run():
        values = [row[key] for key in ("baseline", "value", "bound")]
        shown = ["" if value is None else f"{value:.4g}" for value in values]
        holds = json.dumps(row["holds"]) if row["bound"] is not None else ""
        print(f"| {row['name']} | {row['unit']} | {' | '.join(shown)} | {holds} |")


def summary(report: ReplayReport) -> str:
    """Return the main figures of a report on one line."""
    worst = _worst_other_attainment(report)
    goodput = _goodput(report)
    refused = sum(report.refusals_by_reason.values())
    spent = max(sum(report.engine_ms_by_stage.values()), 1.0)
    return (
        f"attain {report.attainment:.4f} worst-of-ws-1-to-4 {worst:.4f} "
        f"goodput {goodput:.1f} "
        f"refused {refused} late {report.late} lost {report.lost} "
        f"wrong {report.wrong} "
        f"first {report.first_token_p50:.0f}/{report.first_token_p95:.0f} "
        f"in1200 {report.first_within:.3f} gap95 {report.gap_p95:.0f} "
        f"in45 {report.gap_within:.3f} extra {report.extra_share:.3f} "
        f"wasted {report.wasted_ms / spent:.3f}"
        f" refusal95 {report.refusal_wait_p95:.0f} runs {report.most_runs_of_an_order}"
        f" untrue {report.false_not_run} cached {report.cached_share:.3f}"
    )


if __name__ == "__main__":
    main()
