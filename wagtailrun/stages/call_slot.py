"""The time that a stage call may take, and the slot of the target that it occupies."""

from collections.abc import Awaitable, Callable, Iterable

import attrs
import curio

from wagtailrun.clock import Clock
from wagtailrun.exceptions import TargetFailed, Verdict
from wagtailrun.ports.link import Address
from wagtailrun.process.late_tasks import LATE_WAIT_MS
from wagtailrun.process.loop_watch import MIN_LATE_MS
from wagtailrun.stages.job import MAX_ESTIMATE_MS, Job
from wagtailrun.stages.port import CallWatch
from wagtailrun.stages.target_state import TargetState

__all__ = ["CallLimits", "CallSlot"]

# A call is overdue after this multiple of its expected duration. Slow targets take up
# to five times as long, and the expected duration includes the measured slowness.
CALL_TIMEOUT_FACTOR = 3.0
MIN_CALL_TIMEOUT_MS = 500
# Pause of a target with an overdue call, as after its first failure.
OVERDUE_PAUSE_MS = 250


@attrs.frozen
class CallLimits:
    """Limits of the duration of a call.

    Attributes:
        overdue_ms: After this time a retry may follow, or other calls to the target.
        timeout_ms: After this time the call is abandoned.
    """

    overdue_ms: int
    timeout_ms: int

    @classmethod
    def compute(
        cls, expected_ms: float, jobs: Iterable[Job], may_retry: bool, now_ms: int
    ) -> "CallLimits":
        """Return the limits of a call that starts now.

        A call that no retry can replace is not abandoned when it is overdue, as its
        target may only be silent for a moment. In the second half of the time of a step
        a refusal is better, as it leaves the caller time to turn to another entry.

        Args:
            expected_ms: Expected duration of the call.
            jobs: Steps whose pieces it runs.
            may_retry: Whether all its pieces may run once more.
            now_ms: Reading of the clock.
        """
        overdue_ms = int(max(CALL_TIMEOUT_FACTOR * expected_ms, MIN_CALL_TIMEOUT_MS))
        overdue_ms = min(overdue_ms, MAX_ESTIMATE_MS)
        if may_retry:
            return cls(overdue_ms, overdue_ms)
        ends_ms = min((job.requested_ms + job.expires_at_ms) // 2 for job in jobs)
        return cls(overdue_ms, max(overdue_ms, ends_ms - now_ms))


class CallSlot(CallWatch):
    """The slot of a target that a call occupies until it ends or is overdue.

    Args:
        clock: Clock.
        state: State of the target.
        wake: Set when the slot is free although the call goes on.
        address: Address of the target.
        confirms_silence: Called with this address, the entry that carries the call and
            when it was sent; returns whether the target is silent, and not that entry.
    """

    def __init__(
        self,
        clock: Clock,
        state: TargetState,
        wake: curio.Event,
        address: Address | None = None,
        confirms_silence: Callable[[Address, Address, int], Awaitable[bool]]
        | None = None,
    ):
        self.clock = clock
        self.state = state
        self.wake = wake
        self.address = address
        self.confirms_silence = confirms_silence
        self.is_free = False
        # When the call was sent. Until then an entry may be silent that is asked for a
        # connection, which is not the time of the target.
        self.sent_ms: int | None = None
        self.carrier: Address | None = None
        # Since when the call is overdue; None if it is not.
        self.overdue_at_ms: int | None = None
        # Whether the overdue call counts against the target.
        self.is_marked = False

    def record_sent(self, carrier: Address | None) -> None:
        """Record that the call is sent now; see ``CallWatch``."""
        self.sent_ms = self.clock.now_ms()
        self.carrier = carrier

    async def watch(self, limits: CallLimits) -> None:
        """Free the slot of a call that goes on when it is overdue.

        The target pauses, and others are preferred to it, as after a failure, if the
        time is its own.
        """
        if limits.timeout_ms <= limits.overdue_ms:
            return
        started_ms = self.clock.now_ms()
        left_ms = limits.overdue_ms
        while left_ms > 0:
            await self.clock.sleep_ms(left_ms)
            since_ms = started_ms if self.sent_ms is None else self.sent_ms
            left_ms = since_ms + limits.overdue_ms - self.clock.now_ms()
        # After a standstill of this process the event loop may handle the time before
        # the answer that arrived meanwhile, so that the call gets another moment.
        await self.clock.sleep_ms(LATE_WAIT_MS)
        shows_target = not self.is_free and await self.shows_target()
        if self.is_free:
            return
        self.free()
        self.overdue_at_ms = self.clock.now_ms()
        if shows_target:
            self.is_marked = True
            self.state.overdue_calls += 1
            pause_ms = self.overdue_at_ms + OVERDUE_PAUSE_MS
            self.state.pause_until_ms = max(self.state.pause_until_ms, pause_ms)
        await self.wake.set()

    async def shows_target(self) -> bool:
        """Return whether the time since the call was sent is that of the target.

        An entry that carries the call may have stood still meanwhile.
        """
        if self.sent_ms is None:
            return False
        if self.carrier is None or self.confirms_silence is None:
            return True
        return await self.confirms_silence(self.address, self.carrier, self.sent_ms)

    async def shows_failure(self, failure: TargetFailed) -> bool:
        """Return whether the failure of the call says something about the target.

        The silence, or the end, of an entry that carried it does not. A call that did
        not run has an answer, or no connection.
        """
        if self.is_outdated(failure):
            return False
        return failure.verdict is Verdict.NOT_RUN or await self.shows_target()

    async def record_duration(self, ended_ms: int, expected_ms: float) -> None:
        """Record how long the target took for a call that it answered.

        Args:
            ended_ms: When the answer arrived, on the clock.
            expected_ms: Configured duration of such a call.
        """
        if self.sent_ms is None:
            return
        took_ms = ended_ms - self.sent_ms
        if took_ms < expected_ms * self.state.slowness + MIN_LATE_MS:
            self.state.record_duration(took_ms, expected_ms)
        else:
            # The results of the call do not wait for the entry that carried it.
            await curio.spawn(self._record_if_shown, took_ms, expected_ms, daemon=True)

    async def _record_if_shown(self, took_ms: int, expected_ms: float) -> None:
        if await self.shows_target():
            self.state.record_duration(took_ms, expected_ms)

    def is_outdated(self, failure: TargetFailed) -> bool:
        """Return whether the target has answered another call since this was overdue.

        A call that times out then says nothing about the target and its results.
        """
        is_overdue = failure.timed_out and self.overdue_at_ms is not None
        return is_overdue and self.state.answered_ms >= self.overdue_at_ms

    def end(self) -> None:
        """Record the end of the call, once."""
        self.free()
        if self.is_marked:
            self.state.overdue_calls -= 1

    def free(self) -> None:
        """Free the slot, unless it is free."""
        if not self.is_free:
            self.is_free = True
            self.state.calls -= 1
            self.state.busy_until_ms = self.clock.now_ms()
