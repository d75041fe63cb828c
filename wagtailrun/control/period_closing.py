"""Closes accounting periods through the replicated log of the control members."""

from wagtailrun.accounts.periods import MAX_UNDECIDED_PROPOSALS, RETAINED_PERIODS
from wagtailrun.accounts.store import AccountStore
from wagtailrun.control.service import ControlService
from wagtailrun.exceptions import DiskFault, DiskFull
from wagtailrun.logs import events
from wagtailrun.registry.messages import ClosePeriod, SweepOrders, Swept

__all__ = ["PeriodCloser"]

STEP_INTERVAL_MS = 5_000


class PeriodCloser:
    """Proposes to close periods while this member leads, and freezes closed ones.

    Args:
        service: Access to the replicated state.
        accounts: Account rows of this member.
    """

    def __init__(self, service: ControlService, accounts: AccountStore):
        self.service = service
        self.accounts = accounts
        self.clock = service.clock

    async def run(self) -> None:
        """Run ``step`` at intervals until cancelled."""
        while True:
            await self.clock.sleep_ms(STEP_INTERVAL_MS)
            try:
                await self.step()
            except DiskFull as error:
                await self.accounts.report_fault(error)
            except DiskFault as error:
                events.log(events.ACCOUNTS_DISK_FAILED, detail=str(error))

    async def step(self) -> None:
        """Freeze every period closed in the replicated state; propose the next one.

        Does nothing while the disk is full.
        """
        if self.accounts.disk_state.is_full:
            return
        if not await self._freeze_closed_periods() or not self.service.log.is_leader:
            return
        period = self.accounts.closable()
        if period is None:
            return
        closed = self.accounts.closed
        prepared = await closed.prepared(period)
        if len(prepared) >= MAX_UNDECIDED_PROPOSALS:
            if not await self._are_proposals_decided(period):
                return
            async with self.accounts.lock:
                await closed.remove_prepared(prepared)
        offer = await self.accounts.prepare_close(period)
        if not await self.accounts.copies.copy(period, offer.digest):
            events.log(events.PERIOD_NOT_COPIED, period=period)
            return
        totals = offer.totals.to_json()
        await self.service.propose(ClosePeriod(period, offer.digest, totals, 0))

    async def _are_proposals_decided(self, period: str) -> bool:
        """Whether no earlier proposal of this member for ``period`` can be committed.

        They precede a command that is committed now, so each of them has been applied
        before it or never will be.
        """
        result = await self.service.propose(SweepOrders(0))
        closed = self.service.registry.closed_periods_by_name
        return isinstance(result, Swept) and period not in closed

    async def _freeze_closed_periods(self) -> bool:
        """Freeze the closed periods that this member lacks.

        Returns:
            Whether it now has the lines of every retained closed period.
        """
        closed = self.service.registry.closed_periods_by_name
        kept = sorted(closed)[-RETAINED_PERIODS:]
        missing = [name for name in kept if name not in self.accounts.digests_by_period]
        for period in missing:
            digest = closed[period].digest
            if not await self.accounts.close(
                period, digest
            ) and not await self.accounts.fetch_period(period, digest):
                return False
        return True
