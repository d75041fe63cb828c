"""Probes targets that an entry could not reach."""

from collections.abc import Awaitable, Callable, Iterable

import attrs
import curio

from wagtailrun.clock import MS_PER_SECOND, Clock
from wagtailrun.exceptions import ConnectShortage
from wagtailrun.logs import events
from wagtailrun.ports.link import Address
from wagtailrun.targets.path_hints import PathHint
from wagtailrun.targets.paths import PathObservations
from wagtailrun.targets.table import Membership, TargetRow

__all__ = ["PROBE_TIMEOUT_MS", "PathProber", "Probe", "responds_to"]

Probe = Callable[[Address], Awaitable[bool]]

PROBE_TIMEOUT_MS = 500
# A probe that fails sooner was refused: what delivers nothing fails by the timeout.
REFUSED_WITHIN_MS = PROBE_TIMEOUT_MS // 2
# How often is looked whether a probe is due.
TICK_MS = 50


async def responds_to(probe: Probe, address: Address) -> bool:
    """Return whether a target answers on a new connection in time."""
    responds = await curio.ignore_after(
        PROBE_TIMEOUT_MS / MS_PER_SECOND, probe, address
    )
    return bool(responds)


class PathProber:
    """Probes unreachable targets in the background, so that no request has to.

    Args:
        clock: Clock.
        paths: Observations to end.
        membership: Known targets.
        probe: Returns whether a target responds on a new connection. Without it, a
            request is the next to find out when a probe would be due.
    """

    def __init__(
        self,
        clock: Clock,
        paths: PathObservations,
        membership: Membership,
        probe: Probe | None,
    ):
        self.clock = clock
        self.paths = paths
        self.membership = membership
        self.probe = probe
        self.is_running = False

    async def start(self) -> None:
        """Probe in a task of its own, until all observations and hints have ended."""
        if not self.is_running:
            self.is_running = True
            await curio.spawn(self._run, daemon=True)

    async def receive_hints(
        self, source: str, data_centre: str, hints: Iterable[PathHint]
    ) -> None:
        """Take the hints of another entry, and probe what they name.

        Args:
            source: Name of that entry.
            data_centre: Data centre of that entry.
            hints: Its hints.
        """
        rows_by_name = self.membership.targets_by_name
        receive = self.paths.receive_hints
        for hint in receive(data_centre, hints, rows_by_name):
            fields = attrs.asdict(hint)
            events.log(events.PATH_HINTED, source=source, **fields)
        if self.paths.needs_probes:
            await self.start()

    async def _run(self) -> None:
        try:
            while self.paths.needs_probes:
                await self.clock.sleep_ms(TICK_MS)
                for row in self.paths.due_probes(self.membership.targets_by_name):
                    await curio.spawn(self._probe_target, row, daemon=True)
        finally:
            self.is_running = False

    async def _probe_target(self, row: TargetRow) -> None:
        started_ms = self.clock.now_ms()
        responds: bool | None = None
        try:
            if self.probe is None:
                responds = True
            else:
                responds = await responds_to(self.probe, row.address)
        except ConnectShortage:
            # It says nothing about the target; the next probe is due later.
            responds = None
        finally:
            refused = self.clock.now_ms() - started_ms < REFUSED_WITHIN_MS
            self.paths.record_probe(row, started_ms, responds, refused)
