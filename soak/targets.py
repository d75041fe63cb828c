"""Targets of a fleet, in a process of their own.

python -m soak.targets PLAN
"""

import json
import os
import signal
import sys
from pathlib import Path

import cattrs
import curio

from soak.curio_log import ignore_late_ends
from soak.dialect import SitePlan
from soak.kinds import dialect_of
from soak.records import RecordWriter
from soak.standstill import StandstillWatch

__all__ = ["main"]

PARENT_INTERVAL_S = 0.5


async def serve(plan: SitePlan) -> None:
    """Serve until the process that started this one has ended."""
    folder = Path(plan.folder)
    targets = dialect_of(plan.kind).make_targets(plan)
    watch = StandstillWatch("targets", RecordWriter(folder / "targets-loop.records"))
    await curio.spawn(watch.run, daemon=True)
    await curio.spawn(targets.run, daemon=True)
    await curio.spawn(release, targets, plan.release_ms, daemon=True)
    parent = os.getppid()
    while os.getppid() == parent:
        await curio.sleep(PARENT_INTERVAL_S)


async def release(targets, release_ms: list[int]) -> None:
    """Release targets at the times of the plan."""
    passed_ms = 0
    for at_ms in release_ms:
        await curio.sleep((at_ms - passed_ms) / 1_000)
        passed_ms = at_ms
        await targets.release()


def main() -> None:
    """Run the targets of the plan that is named."""
    # The process that started this one ends it.
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    plan = cattrs.structure(json.loads(Path(sys.argv[1]).read_text()), SitePlan)
    ignore_late_ends()
    curio.run(serve, plan)


if __name__ == "__main__":
    main()
