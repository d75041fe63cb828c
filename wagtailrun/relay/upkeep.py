"""Drops what an entry keeps of targets, entries, services and routes that are gone."""

from wagtailrun.clock import Clock
from wagtailrun.discovery import FleetView
from wagtailrun.relay.paths.tunnels import PathConnector
from wagtailrun.relay.placement.choice import TargetChooser
from wagtailrun.relay.placement.service import PlacementHost
from wagtailrun.stages import StageBatcher
from wagtailrun.targets.retries import RetryBudget

__all__ = ["Upkeep"]

# The tables grow by what is replaced in this time, and one round over the states of a
# thousand targets takes about a millisecond.
UPKEEP_INTERVAL_MS = 10_000


class Upkeep:
    """Drops states that no request needs any more; see ``docs/design.md``, section 16.

    The rows of the view decide what is gone: they are kept for ten minutes after the
    last contact, so that nothing learned of a target is lost if it returns.

    Args:
        clock: Clock.
        view: This entry's view of the fleet.
        chooser: Chooser of targets.
        placement: Places requests of routes with prompt affinity.
        connector: Connects to targets.
        batcher: Batches calls of stages.
        budget: Limits retries.
    """

    def __init__(
        self,
        clock: Clock,
        view: FleetView,
        chooser: TargetChooser,
        placement: PlacementHost,
        connector: PathConnector,
        batcher: StageBatcher,
        budget: RetryBudget,
    ):
        self.clock = clock
        self.view = view
        self.chooser = chooser
        self.placement = placement
        self.connector = connector
        self.batcher = batcher
        self.budget = budget

    async def run(self) -> None:
        """Drop what is gone, regularly, until cancelled."""
        while True:
            await self.clock.sleep_ms(UPKEEP_INTERVAL_MS)
            await self.drop_gone()

    async def drop_gone(self) -> None:
        """Drop everything that is kept of what is gone."""
        self.view.drop_gone()
        names = self.view.membership.targets_by_name.keys()
        self.view.limits.retain_starts(names)
        self.connector.carriers.drop_gone()
        table = self.view.table
        if table is None:
            await self.batcher.drop_gone(names, None)
            return
        services = table.services_by_name.keys()
        self.chooser.retain(names, services)
        routes = {route.name for route in table.routes()}
        self.placement.retain(names, services, routes)
        await self.batcher.drop_gone(names, services)
        self.budget.retain(services)
