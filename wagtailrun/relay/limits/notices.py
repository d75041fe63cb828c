"""What targets told about themselves: that they leave, pause or limit requests."""

from collections.abc import Awaitable, Callable

import curio

from wagtailrun.adapters.target_observer import (
    ObservedAnswer,
    SendPermit,
    TargetObserver,
)
from wagtailrun.clock import Clock
from wagtailrun.discovery import ColdSource, FleetView
from wagtailrun.exceptions import SendForbidden, TargetPaused
from wagtailrun.logs import events
from wagtailrun.ports.link import Address
from wagtailrun.relay.core.port import MalformedBound, RelayWire, TargetNotice
from wagtailrun.relay.limits.return_line import ReturnLine
from wagtailrun.relay.limits.send_grants import GrantClient
from wagtailrun.relay.paths.tunnel_messages import PauseNoted, ReportPause
from wagtailrun.targets.pauses import PauseRules, TargetPauses
from wagtailrun.targets.table import TargetRow

__all__ = ["TargetNotices"]

PAUSE_RULES = PauseRules(
    key=lambda row: row.address,
    jitter_share=0.25,
    max_jitter_ms=1_000,
    trial_timeout_ms=2_000,
)
# A request is sent within this time after its permit was requested.
PERMIT_LIFETIME_MS = 500
# The same for a cold target, whose bound holds for each second.
COLD_PERMIT_LIFETIME_MS = 200


class TargetNotices(TargetObserver):
    """Applies what the answers of targets say about the targets.

    Args:
        clock: Clock.
        wire: Translates answers.
        view: This entry's view of the fleet, which is told what targets say.
        grants: Requests grants for targets that limit their requests.
        seed: Seed of the random return after a pause.
        report_pause: Tells the entry that carried a request about a pause.
    """

    def __init__(
        self,
        clock: Clock,
        wire: RelayWire,
        view: FleetView,
        grants: GrantClient,
        seed: int | None = None,
        report_pause: Callable[[Address, TargetRow, int], Awaitable[None]]
        | None = None,
    ):
        self.report_pause = report_pause
        self.clock = clock
        self.wire = wire
        self.view = view
        self.grants = grants
        self.pauses = TargetPauses(
            clock, PAUSE_RULES, seed, lambda row: view.row_at(row.address)
        )
        # Until when requests of an urgency were denied because of a target's limit.
        self.denials_by_address: dict[Address, dict[int, int]] = {}
        # Requests that wait for room at brittle targets.
        self.line = ReturnLine()

    async def record_answer(
        self, address: Address, stream: ObservedAnswer, sent_ms: int
    ) -> None:
        """Apply the head of an answer; see ``TargetObserver``."""
        row = self.view.row_at(address)
        notice = self.wire.parse_notice(stream)
        if row is None or notice is None:
            return
        if notice.pause_ms:
            self._pause(row, notice.pause_ms)
            if self.report_pause is not None and stream.carrier is not None:
                await curio.spawn(
                    self.report_pause,
                    stream.carrier,
                    row,
                    notice.pause_ms,
                    daemon=True,
                )
        else:
            self.pauses.end_trial(row)
        limits = self.view.limits
        for bound, record in (
            (notice.limit_per_s, limits.record_answer),
            (notice.max_rejections, limits.record_brittleness),
        ):
            if isinstance(bound, MalformedBound):
                _log_malformed(row, bound)
            else:
                record(row, bound, sent_ms)
        self._record_cold(row, notice, sent_ms)
        await self.view.report_changes()
        if notice.rejected and limits.max_rejections(row) is not None:
            await self.grants.record_rejection(row)
        if notice.leaving and (not row.leaving or row.draining):
            events.log(
                events.TARGET_NOTICE,
                target=row.name,
                incarnation=row.incarnation,
                leaving=True,
                pause_ms=0,
            )
            await self.view.mark_leaving(row)

    def _record_cold(self, row: TargetRow, notice: TargetNotice, sent_ms: int) -> None:
        if isinstance(notice.cold_ms, MalformedBound):
            events.log(
                events.TARGET_COLD_MALFORMED,
                target=row.name,
                incarnation=row.incarnation,
                value=notice.cold_ms.text,
            )
        elif notice.cold_ms is not None:
            self.view.limits.record_cold(
                row, notice.cold_ms, ColdSource.ANSWER, sent_ms
            )

    async def request_permit(
        self,
        address: Address,
        urgency: int,
        takes_slot: bool = True,
        requests: int = 1,
    ) -> SendPermit | None:
        """Permit a request; see ``TargetObserver``."""
        wait_ms = self.paused_ms(address, urgency)
        if wait_ms:
            raise TargetPaused(f"{address} takes no requests for {wait_ms} ms", wait_ms)
        row = self.view.row_at(address)
        if row is None:
            return None
        number = self.grants.begin(row) if takes_slot else 0
        if not self._needs_grant(row, takes_slot):
            return SendPermit(row, 0, number)
        requested_ms = self.clock.now_ms()
        try:
            grant = await self.grants.request(row, urgency, number, requests)
            await self.view.report_changes()
            if grant.granted:
                await self.line.advance(row.service)
        except BaseException:
            # The owner may have granted it.
            await self.grants.end(row, number, completed=True)
            raise
        if not grant.granted:
            self.grants.withdraw(row, number)
            self._record_denial(address, urgency, grant.wait_ms)
            detail = f"the bound of {address} is used up for {grant.wait_ms} ms"
            raise TargetPaused(detail, grant.wait_ms)
        is_cold = self.view.limits.cold_limit_per_s(row) is not None
        lifetime_ms = COLD_PERMIT_LIFETIME_MS if is_cold else PERMIT_LIFETIME_MS
        expires_ms = requested_ms + lifetime_ms
        return SendPermit(row, expires_ms, number, self.clock.now_ms())

    async def record_end(self, permit: SendPermit | None, completed: bool) -> None:
        """Record the end of a request; see ``TargetObserver``."""
        if permit is not None and permit.number:
            if completed and permit.granted_ms and self.is_brittle(permit.target):
                took_ms = self.clock.now_ms() - permit.granted_ms
                self.line.record_run(permit.target.service, took_ms)
            await self.grants.end(permit.target, permit.number, completed=completed)

    def is_brittle(self, row: TargetRow) -> bool:
        """Return whether rejections may end a target."""
        return self.view.limits.max_rejections(row) is not None

    def _needs_grant(self, row: TargetRow, takes_slot: bool) -> bool:
        limits = self.view.limits
        if limits.limit_per_s(row) is not None:
            return True
        return takes_slot and limits.max_rejections(row) is not None

    def check(self, address: Address, permit: SendPermit | None) -> None:
        """Check a permit before the request is sent; see ``TargetObserver``."""
        left_ms = self.pause_left_ms(address)
        if left_ms:
            raise TargetPaused(f"{address} asked for a pause", left_ms)
        row = self.view.row_at(address)
        takes_slot = permit is None or permit.number > 0
        if row is not None and takes_slot and self.view.evacuations.includes(row):
            raise SendForbidden(f"the data centre {row.data_centre} is evacuated")
        if row is not None and self._needs_grant(row, takes_slot):
            self._check_permit(row, permit)
        self._begin_trial(address)

    def _check_permit(self, row: TargetRow, permit: SendPermit | None) -> None:
        """Check the permit of a request to a target that names a bound.

        Raises:
            TargetPaused: If there is none, or it took too long to connect. Requests
                that were granted at different times must not arrive together.
        """
        if permit is None or permit.target.incarnation != row.incarnation:
            raise TargetPaused(f"{row.address} has begun to limit its requests", 1)
        if not permit.expires_ms:
            raise TargetPaused(f"{row.address} has begun to limit its requests", 1)
        if self.clock.now_ms() > permit.expires_ms:
            raise TargetPaused(f"the permit to send to {row.address} expired", 1)

    def paused_ms(self, address: Address, urgency: int) -> int:
        """Return how long a target gets no request of this VM.

        Args:
            address: Address of the target.
            urgency: Rank of the request, 0 to 9; 0 goes first.

        Returns:
            Milliseconds; 0 if it may get one now.
        """
        return max(self.pause_left_ms(address), self._denied_ms(address, urgency))

    def pause_left_ms(self, address: Address) -> int:
        """Return how long a target wants no requests of this VM, limits aside."""
        row = self._paused_row(address)
        return 0 if row is None else self.pauses.left_ms(row)

    def begin_carried_request(self, address: Address) -> int:
        """Return how long a target wants no requests of this VM, limits aside.

        If it is 0, another entry may send one from here; after a pause that is the one
        that finds out whether the target takes requests again.
        """
        left_ms = self.pause_left_ms(address)
        if not left_ms:
            self._begin_trial(address)
        return left_ms

    def _begin_trial(self, address: Address) -> None:
        row = self._paused_row(address)
        if row is not None:
            self.pauses.begin_trial(row)

    def _paused_row(self, address: Address) -> TargetRow | None:
        """Return the target at an address, also if its row was dropped in its pause."""
        return self.view.row_at(address) or self.pauses.row(address)

    def handle(self, message: ReportPause) -> PauseNoted:
        """Record the pause that a target asked for in an answer carried here."""
        row = self.view.row_at(Address.parse(message.address))
        if row is None or row.name != message.target:
            return PauseNoted(False)
        if row.incarnation != message.incarnation:
            return PauseNoted(False)
        self._pause(row, message.pause_ms)
        return PauseNoted(True)

    def _denied_ms(self, address: Address, urgency: int) -> int:
        denials = self.denials_by_address.get(address)
        if denials is None:
            return 0
        row = self.view.row_at(address)
        if row is None or not self._needs_grant(row, takes_slot=True):
            # The bound has ended, or the target was started again.
            del self.denials_by_address[address]
            return 0
        # A less urgent request would be denied, too.
        denied = (ms for rank, ms in denials.items() if rank <= urgency)
        return max(max(denied, default=0) - self.clock.now_ms(), 0)

    def _record_denial(self, address: Address, urgency: int, wait_ms: int) -> None:
        now_ms = self.clock.now_ms()
        for other, denials in list(self.denials_by_address.items()):
            if max(denials.values()) <= now_ms:
                del self.denials_by_address[other]
        denials = self.denials_by_address.setdefault(address, {})
        denials[urgency] = now_ms + wait_ms

    def _pause(self, row: TargetRow, asked_ms: int) -> None:
        pause_ms = self.pauses.record_pause(row, asked_ms)
        events.log(
            events.TARGET_NOTICE,
            target=row.name,
            incarnation=row.incarnation,
            leaving=False,
            pause_ms=pause_ms,
        )


def _log_malformed(row: TargetRow, bound: MalformedBound) -> None:
    events.log(
        events.TARGET_LIMIT_MALFORMED,
        target=row.name,
        incarnation=row.incarnation,
        value=bound.text,
    )
