"""Measures the decisions under load and faults against simpler ones."""

from collections.abc import Callable, Collection, Sequence
from concurrent.futures import ProcessPoolExecutor
from typing import Any

from bench.traces import FLEETS_BY_NAME, make_trace
from wagtailrun.dispatch import Dispatcher, DispatchOptions, Work
from wagtailrun.membership import TargetRow
from wagtailrun.replay import (
    EntryParts,
    ReplayReport,
    build_dispatcher,
    replay_records,
)
from wagtailrun.routing import LeastLoadedRouter, RouterOptions

__all__ = ["reports", "summary"]

SEED = 1
WORKERS = 4
DURATION_MS = 40_000
BURST = (5_000, 35_000)
# A straggler in the middle of the run, long enough to be noticed and to return.
FAULT = {"at": 8_000, "until": 30_000}


class RoundRobinRouter(LeastLoadedRouter):
    """Takes the targets in turn."""

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
    """Takes the least load by late reports alone."""

    def _load(self, target: TargetRow) -> float:
        return (target.running + target.queued) / target.capacity


THIN = DispatchOptions(
    admission=False, hedges=False, budget=False, silence=False, repeats=2
)


def _with_router(
    router: Callable[[], LeastLoadedRouter], options: DispatchOptions
) -> Callable[[EntryParts], Dispatcher]:
    def build(parts: EntryParts) -> Dispatcher:
        return Dispatcher(
            parts.clock,
            parts.membership,
            parts.client,
            router(),
            probe=parts.client.probe,
            seed=parts.seed,
            options=options,
        )

    return build


def _without(
    router: dict[str, bool] | None = None, **dispatch: Any
) -> Callable[[EntryParts], Dispatcher]:
    def build(parts: EntryParts) -> Dispatcher:
        dispatcher = build_dispatcher(parts)
        dispatcher.options = DispatchOptions(**dispatch)
        dispatcher.router.options = RouterOptions(**(router or {}))
        return dispatcher

    return build


BUILDS: dict[str, Callable[[EntryParts], Dispatcher]] = {
    "all": build_dispatcher,
    "thin": _with_router(LeastLoadedRouter, THIN),
    "round-robin": _with_router(RoundRobinRouter, DispatchOptions()),
    "least-reported": _with_router(LeastReportedRouter, DispatchOptions()),
    "no-admission": _without(admission=False),
    "retry-three": _without(budget=False, repeats=3, hedges=False),
    "no-hedges": _without(hedges=False),
    "no-moves": _without(moves=False),
    "no-silence": _without(silence=False),
    "no-limits": _without({"limits": False}),
    "no-affinity": _without({"affinity": False}),
    "no-easing": _without({"easing": False}),
    "no-correction": _without({"correct_reports": False}),
    "no-two-choices": _without({"two_choices": False}),
    "no-local-first": _without({"local_first": False}),
}


def _scenarios(user: str) -> dict[str, dict[str, Any]]:
    centre = FLEETS_BY_NAME[user]["centres"][0]
    engine = f"engines-{centre}-0"
    whole = (*BURST, 3.0, "")
    return {
        "steady-60": {"load": 0.6},
        "steady-90": {"load": 0.9},
        "burst-3x": {"load": 0.9, "bursts": (whole,)},
        "large-5x": {"load": 0.6, "bursts": ((*BURST, 5.0, "ws-0"),)},
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


def _replay(job: tuple[str, str, str, int]) -> tuple[tuple[str, str, str], Any]:
    user, scenario, build, seed = job
    options = {"duration_ms": DURATION_MS, **_scenarios(user)[scenario]}
    records = make_trace(user, seed, **options)
    return (user, scenario, build), replay_records(records, BUILDS[build])


def reports(
    jobs: list[tuple[str, str, str, int]],
) -> dict[tuple[str, str, str], ReplayReport]:
    """Replay each job (user, scenario, build, seed) in a few processes."""
    with ProcessPoolExecutor(WORKERS) as pool:
        return dict(pool.map(_replay, jobs))


def summary(report: ReplayReport) -> str:
    """Return the main figures of a report on one line."""
    others = [v for k, v in report.attainment_by_workspace.items() if k != "ws-0"]
    worst = min(others)
    middle = range(BURST[0] // 1_000 + 5, BURST[1] // 1_000)
    goodput = sum(report.goodput_by_second.get(s, 0) for s in middle) / len(middle)
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
        f" untrue {report.truthless} cached {report.cached_share:.3f}"
    )
