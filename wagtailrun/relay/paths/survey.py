"""Finds out whether an entry reaches any target, whatever data centre it is in."""

import itertools
import random
from collections.abc import Awaitable, Callable, Sequence

import curio

from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.exceptions import ConnectFailed
from wagtailrun.ports.link import Address
from wagtailrun.targets.table import TargetRow

__all__ = ["PathSurvey"]

# Targets that are tried before none counts as reached. With half of all paths lost, as
# many fail by chance once in 4,000 times.
MAX_SURVEYED = 12
# After this time without a connection further targets are tried beside the first ones.
FIRST_TRIES_MS = 100


class PathSurvey:
    """Tries targets of all data centres until one is reached.

    Args:
        rows: Returns the targets that may be given work.
        try_path: Returns whether a direct connection to a target can be opened; raises
            ``ConnectFailed`` if this process cannot tell.
        generator: Chooses the targets.
    """

    def __init__(
        self,
        rows: Callable[[], Sequence[TargetRow]],
        try_path: Callable[[Address], Awaitable[bool]],
        generator: random.Random,
    ):
        self.rows = rows
        self.try_path = try_path
        self.random = generator

    async def reaches_any(self, failed: TargetRow | None = None) -> bool:
        """Return whether some target is reached; True if there is none to try.

        Args:
            failed: Target that is not reached. Those beside it are tried only if there
                are no targets elsewhere.

        Raises:
            ConnectFailed: If this process lacks what it needs to find out, or was late.
        """
        rows = self._order(failed)
        if not rows:
            return True
        # Usually one target of each data centre is enough.
        first = len({row.data_centre for row in rows})
        tries = _Tries(self.try_path)
        async with curio.TaskGroup() as group:
            tasks = [await group.spawn(tries.run, row) for row in rows[:first]]
            await curio.ignore_after(FIRST_TRIES_MS / MS_PER_SECOND, _wait_for, tasks)
            if not tries.reached:
                for row in rows[first:MAX_SURVEYED]:
                    await group.spawn(tries.run, row)
        if tries.undecided is not None and not tries.reached:
            raise tries.undecided
        return tries.reached

    def _order(self, failed: TargetRow | None) -> list[TargetRow]:
        """Return the targets to try, in turn from each data centre."""
        rows = [row for row in self.rows() if failed is None or row != failed]
        if failed is not None:
            elsewhere = [r for r in rows if r.data_centre != failed.data_centre]
            rows = elsewhere or rows
        self.random.shuffle(rows)
        by_data_centre: dict[str, list[TargetRow]] = {}
        for row in rows:
            by_data_centre.setdefault(row.data_centre, []).append(row)
        turns = itertools.zip_longest(*by_data_centre.values())
        return [row for turn in turns for row in turn if row is not None]


class _Tries:
    """Connections to some targets side by side.

    Attributes:
        reached: Whether one could be opened.
        undecided: Why this process cannot tell of a target, if that is so.
    """

    def __init__(self, try_path: Callable[[Address], Awaitable[bool]]):
        self.try_path = try_path
        self.reached = False
        self.undecided: ConnectFailed | None = None

    async def run(self, row: TargetRow) -> None:
        """Try one target."""
        try:
            self.reached = await self.try_path(row.address) or self.reached
        except ConnectFailed as error:
            self.undecided = error


async def _wait_for(tasks: Sequence[curio.Task]) -> None:
    for task in tasks:
        await task.wait()
