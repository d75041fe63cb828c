"""Reports of an entry to the control members: departures, crashes and limits."""

from collections.abc import Awaitable, Callable, Iterable

import attrs
import curio

from wagtailrun.clock import Clock
from wagtailrun.consensus.state import Signal
from wagtailrun.discovery.messages import ReportCrashes, ReportLeaving, ReportLimits
from wagtailrun.discovery.quarantine import Quarantine
from wagtailrun.discovery.target_limits import TargetLimits
from wagtailrun.process.supervisor import supervise
from wagtailrun.targets.table import TargetRow

__all__ = ["EntryReports"]

MAX_LEAVING_REPORTS = 5
FINISH_POLL_MS = 10

Report = ReportCrashes | ReportLeaving | ReportLimits


@attrs.define(eq=False)
class _Progress:
    """What of a table was reported to a control member.

    Attributes:
        table: The table.
        report: Returns the message that reports the rows of some keys.
        mark: Change number of the newest row that was reported.
        requested: Notified when there may be something to report.
    """

    table: Quarantine | TargetLimits
    report: Callable[[Iterable[str]], Report]
    mark: int = 0
    requested: Signal = attrs.field(factory=Signal)

    @property
    def is_due(self) -> bool:
        """Whether there are observations that were not reported."""
        return self.table.local_log.number > self.mark


class EntryReports:
    """Reports what one entry observes until a control member has it.

    Args:
        clock: Clock.
        send: Sends a report to the control member in use; returns whether it was
            taken, after a pause if it was not.
        epoch: Returns the incarnation of the control member that sent the last news.
        quarantine: Evidence of crashes.
        limits: Limits of targets.
    """

    def __init__(
        self,
        clock: Clock,
        send: Callable[[Report], Awaitable[bool]],
        epoch: Callable[[], int],
        quarantine: Quarantine,
        limits: TargetLimits,
    ):
        self.clock = clock
        self.send = send
        self.epoch = epoch
        self.tables = (
            _Progress(quarantine, lambda keys: ReportCrashes(quarantine.rows(keys))),
            _Progress(limits, lambda keys: ReportLimits(limits.rows(keys))),
        )
        # Reports of departures that are under way.
        self.departures = 0

    async def run(self) -> None:
        """Report what changes in the tables until cancelled."""
        async with curio.TaskGroup() as group:
            for progress in self.tables:
                name = f"report {type(progress.table).__name__}"
                await group.spawn(supervise, name, self._report_table, progress)

    async def request(self, to_new_member: bool = False) -> None:
        """Start reports if there is anything new.

        Args:
            to_new_member: Whether the control member may lack what was reported.
        """
        for progress in self.tables:
            if to_new_member or progress.is_due:
                await progress.requested.notify()

    async def report_departure(self, row: TargetRow) -> None:
        """Start to report a target that said that it leaves."""
        self.departures += 1
        await curio.spawn(self._report_departure, row, daemon=True)

    async def finish(self) -> None:
        """Return when nothing is left to report."""
        while self.departures or any(each.is_due for each in self.tables):
            await self.clock.sleep_ms(FINISH_POLL_MS)

    async def _report_departure(self, row: TargetRow) -> None:
        try:
            for _ in range(MAX_LEAVING_REPORTS):
                if await self.send(ReportLeaving(row.name, row.incarnation)):
                    return
        finally:
            self.departures -= 1

    async def _report_table(self, progress: _Progress) -> None:
        """Report what was observed here, or what a new member may lack."""
        epoch, table = self.epoch(), progress.table
        while True:
            if epoch == self.epoch() and not progress.is_due:
                await progress.requested.wait()
                continue
            sent_epoch, sent_mark = self.epoch(), table.local_log.number
            changed = list(table.local_log.changed_since(progress.mark))
            if epoch != sent_epoch:
                changed = list(table.log.changed_since(0))
            if not changed:
                epoch, progress.mark = sent_epoch, sent_mark
                continue
            if await self.send(progress.report(changed)):
                epoch, progress.mark = sent_epoch, sent_mark
