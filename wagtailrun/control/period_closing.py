"""Closes accounting periods through the replicated log of the control members."""

from wagtailrun.accounts.periods import RETAINED_PERIODS
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
        leadership = self.service.log.leadership
        if not await self._freeze_closed_periods() or not leadership:
            return
        period = self.accounts.closable()
        if period is None:
            return
        prepared = await self.accounts.closed.prepared(period)
        if not await self._has_applied_all(leadership):
            return
        # Else a line that one of these periods records would be proposed again.
        if not await self._freeze_closed_periods():
            return
        if self.accounts.closable() != period:
            # The next step proposes to close another one.
            return
        async with self.accounts.lock:
            await self.accounts.closed.remove_prepared(prepared)
        offer = await self.accounts.prepare_close(period)
        if not await self.accounts.copies.copy(period, offer.digest):
            events.log(events.PERIOD_NOT_COPIED, period=period)
            return
        totals = offer.totals.to_json()
        command = ClosePeriod(period, offer.digest, totals, 0)
        # Another leader may have closed a period since the lines were prepared.
        await self.service.propose(command, leadership)

    async def _has_applied_all(self, leadership: int) -> bool:
        """Whether all earlier proposals of all members are applied here, or lost.

        They precede a command that is committed now, so each of them has been applied
        before it or never will be. While this member leads, only it proposes others.
        """
        result = await self.service.propose(SweepOrders(0), leadership)
        return isinstance(result, Swept)

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
