"""Keeps requests that can still meet their deadline, and orders those that wait."""

import math
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs
import curio

from wagtailrun.clock import MS_PER_SECOND, Clock
from wagtailrun.estimates import Estimates
from wagtailrun.exceptions import Refusal, RefusalReason, Verdict
from wagtailrun.membership import TargetRow

if TYPE_CHECKING:
    from wagtailrun.work import Work

__all__ = ["Admission"]

USAGE_HALF_LIFE_MS = 10_000
# A workspace that started nothing for this long has no part of the shares.
ACTIVE_MS = 30_000
# A workspace is over its share when its use exceeds the share by this part and by two
# standard deviations of random arrivals; a fixed bound took small workspaces at
# ordinary load for bursts.
MIN_EXCESS = 0.2
DEVIATIONS = 1.0
INTERVAL_WEIGHT = 0.1
# Reports of other entries' work ending arrive without an event here.
POLL_MS = 100
MAX_RETRY_AFTER_MS = 60_000
# Bounds memory; waiting work is normally shed long before by its deadline.
MAX_WAITING = 2_000

Choose = Callable[[], TargetRow | None]


@attrs.define(eq=False)
class _Waiter:
    work: "Work"
    choose: Choose
    give_back: Callable[[TargetRow], None]
    latest_start_ms: int
    event: curio.Event = attrs.field(factory=curio.Event)
    target: TargetRow | None = None
    refusal: Refusal | None = None


@attrs.define
class _ServiceQueue:
    waiting: list[_Waiter] = attrs.field(factory=list)
    # Mean time between two starts while work was waiting.
    interval_ms: float | None = None
    last_start_ms: int | None = None


class Admission:
    """Decides which work starts, which waits and which is refused.

    Args:
        clock: Clock.
        estimates: Recent distributions of stages.
    """

    def __init__(self, clock: Clock, estimates: Estimates):
        self.clock = clock
        self.estimates = estimates
        self.queues_by_service: dict[str, _ServiceQueue] = {}
        self.usage_by_workspace: dict[str, tuple[float, int]] = {}
        self.shares_by_workspace: dict[str, int] = {}
        self.squares: dict[str, tuple[float, int]] = {}

    async def enter(
        self, work: "Work", choose: Choose, give_back: Callable[[TargetRow], None]
    ) -> TargetRow | Refusal:
        """Return the target for ``work`` as soon as there is room for it.

        Args:
            work: Work that wants to start.
            choose: Chooses a target and takes room there, or returns None.
            give_back: Frees that room if the caller left in the same moment.

        Returns:
            The target, or a refusal as soon as the deadline cannot be met.
        """
        self.shares_by_workspace[work.workspace] = work.share
        self.usage_by_workspace.setdefault(work.workspace, (0.0, self.clock.now_ms()))
        needed_ms = self.needed_ms(work)
        latest_start_ms = work.deadline_at_ms - needed_ms
        if self.clock.now_ms() > latest_start_ms:
            return self._refusal(work, needed_ms)
        queue = self.queues_by_service.setdefault(work.service, _ServiceQueue())
        if not queue.waiting:
            target = choose()
            if target is not None:
                self._note_start(queue, work)
                return target
        waiter = _Waiter(work, choose, give_back, latest_start_ms)
        queue.waiting.append(waiter)
        await self._shed(queue)
        # Others may wait for targets that this work need not avoid.
        await self.released(work.service)
        return await self._wait(queue, waiter)

    async def _wait(self, queue: _ServiceQueue, waiter: _Waiter) -> TargetRow | Refusal:
        try:
            while waiter.target is None and waiter.refusal is None:
                wait_ms = waiter.latest_start_ms - self.clock.now_ms()
                if wait_ms <= 0:
                    needed_ms = waiter.work.deadline_at_ms - waiter.latest_start_ms
                    return self._refusal(waiter.work, needed_ms)
                wait_ms = min(wait_ms, POLL_MS)
                await curio.ignore_after(wait_ms / MS_PER_SECOND, waiter.event.wait)
                if waiter.target is None and waiter.refusal is None:
                    await self.released(waiter.work.service)
            return waiter.target or waiter.refusal
        except curio.CancelledError:
            if waiter.target is not None:
                waiter.give_back(waiter.target)
                await self.released(waiter.work.service)
            raise
        finally:
            if waiter in queue.waiting:
                queue.waiting.remove(waiter)

    async def released(self, service: str) -> None:
        """Start waiting work while there is room; call it when room appears."""
        queue = self.queues_by_service.get(service)
        if queue is None or not queue.waiting:
            return
        for waiter in self._ordered(queue):
            target = waiter.choose()
            if target is None:
                return
            queue.waiting.remove(waiter)
            waiter.target = target
            self._note_start(queue, waiter.work)
            await waiter.event.set()

    def needed_ms(self, work: "Work") -> int:
        """Return the median time from the start of ``work`` to the request's end."""
        size = work.size_class
        total_ms = self.estimates.total_ms(work.service, work.stage, size) or 0
        for service, stage in work.later:
            total_ms += self.estimates.total_ms(service, stage, size) or 0
            total_ms += self.wait_ms(service, work)
        return int(total_ms)

    def wait_ms(self, service: str, work: "Work") -> int:
        """Return how long ``work`` would wait for a target of ``service`` now."""
        queue = self.queues_by_service.get(service)
        if queue is None or not queue.waiting or queue.interval_ms is None:
            return 0
        place = (work.may_wait, -work.priority, work.deadline_at_ms)
        before = sum(
            waiter.work.workspace == work.workspace
            and (waiter.work.may_wait, -waiter.work.priority, waiter.latest_start_ms)
            <= place
            for waiter in queue.waiting
        )
        own = self._place(work, before, work.deadline_at_ms)
        ahead = 0
        counts: Counter[str] = Counter()
        for waiter in queue.waiting:
            name = waiter.work.workspace
            place = self._place(waiter.work, counts[name], waiter.latest_start_ms)
            counts[name] += 1
            ahead += place <= own
        return int(ahead * queue.interval_ms)

    def retry_after_ms(self, work: "Work") -> int:
        """Return when the work now queued will have drained, in milliseconds."""
        total_ms = 0.0
        for service, stage in ((work.service, work.stage), *work.later):
            queue = self.queues_by_service.get(service)
            if queue is not None:
                total_ms += (len(queue.waiting) + 1) * (queue.interval_ms or 0.0)
            size = work.size_class
            total_ms += self.estimates.total_ms(service, stage, size) or 0
        return max(1, min(math.ceil(total_ms), MAX_RETRY_AFTER_MS))

    def over_share(self, work: "Work") -> float:
        """Return how far the workspace's use exceeds its share, 0 if it does not.

        The result is a multiple of the share among workspaces that are active here.
        """
        now_ms = self.clock.now_ms()
        used = self._usage(self.usage_by_workspace, work.workspace, now_ms)
        total = shares = 0.0
        for name in list(self.usage_by_workspace):
            usage = self._usage(self.usage_by_workspace, name, now_ms)
            if now_ms - self.usage_by_workspace[name][1] > ACTIVE_MS:
                del self.usage_by_workspace[name]
                del self.shares_by_workspace[name]
                continue
            total += usage
            shares += self.shares_by_workspace[name]
        if not used or len(self.usage_by_workspace) == 1:
            return 0.0
        entitled = total * work.share / shares
        # Mean cost weighted by cost, which tells how many starts make up the share.
        mean_cost = self._usage(self.squares, "", now_ms) / total
        margin = max(MIN_EXCESS, DEVIATIONS * math.sqrt(mean_cost / entitled))
        excess = used / entitled - 1.0
        return excess if excess > margin else 0.0

    def _usage(
        self, values: dict[str, tuple[float, int]], key: str, now_ms: int
    ) -> float:
        value, since_ms = values.get(key, (0.0, now_ms))
        return value * 0.5 ** ((now_ms - since_ms) / USAGE_HALF_LIFE_MS)

    def _note_start(self, queue: _ServiceQueue, work: "Work") -> None:
        now_ms = self.clock.now_ms()
        cost_ms = self.estimates.total_ms(work.service, work.stage, work.size_class)
        cost_ms = cost_ms or 1
        used = self._usage(self.usage_by_workspace, work.workspace, now_ms) + cost_ms
        self.usage_by_workspace[work.workspace] = (used, now_ms)
        squares = self._usage(self.squares, "", now_ms) + cost_ms**2
        self.squares[""] = (squares, now_ms)
        self.shares_by_workspace[work.workspace] = work.share
        if queue.last_start_ms is not None and queue.waiting:
            interval_ms = now_ms - queue.last_start_ms
            known_ms = queue.interval_ms
            if known_ms is None:
                known_ms = interval_ms
            queue.interval_ms = known_ms + INTERVAL_WEIGHT * (interval_ms - known_ms)
        queue.last_start_ms = now_ms

    def _place(self, work: "Work", ahead: int, latest_start_ms: int) -> tuple:
        """Return the place of ``work`` in a queue; smaller starts first.

        Workspaces within their share come first, then work that may not wait, then
        priority, then the workspace that will have used least of its share, then the
        earliest latest start.

        Args:
            work: Work that waits.
            ahead: How much of the same workspace waits before it.
            latest_start_ms: When it must have started.
        """
        now_ms = self.clock.now_ms()
        used = self._usage(self.usage_by_workspace, work.workspace, now_ms)
        cost_ms = self.estimates.total_ms(work.service, work.stage, work.size_class)
        use = (used + ahead * (cost_ms or 1)) / work.share
        excess = self.over_share(work)
        return (excess, work.may_wait, -work.priority, use, latest_start_ms)

    def _ordered(self, queue: _ServiceQueue) -> list[_Waiter]:
        waiting = sorted(
            queue.waiting,
            key=lambda w: (w.work.may_wait, -w.work.priority, w.latest_start_ms),
        )
        ahead: Counter[str] = Counter()
        places = {}
        for waiter in waiting:
            work = waiter.work
            places[waiter] = self._place(
                work, ahead[work.workspace], waiter.latest_start_ms
            )
            ahead[work.workspace] += 1
        return sorted(waiting, key=places.__getitem__)

    async def _shed(self, queue: _ServiceQueue) -> None:
        """Refuse at once what cannot start in time behind what is ahead of it."""
        interval_ms = queue.interval_ms or 0.0
        start_ms = float(self.clock.now_ms())
        for number, waiter in enumerate(self._ordered(queue)):
            if start_ms > waiter.latest_start_ms or number >= MAX_WAITING:
                needed_ms = waiter.work.deadline_at_ms - waiter.latest_start_ms
                waiter.refusal = self._refusal(waiter.work, needed_ms)
                queue.waiting.remove(waiter)
                await waiter.event.set()
            else:
                start_ms += interval_ms

    def _refusal(self, work: "Work", needed_ms: int) -> Refusal:
        reason = RefusalReason.OVERLOADED
        if self.over_share(work):
            reason = RefusalReason.SHARE_EXCEEDED
        elif work.deadline_at_ms <= self.clock.now_ms():
            reason = RefusalReason.DEADLINE
        remaining_ms = work.deadline_at_ms - self.clock.now_ms()
        detail = (
            f"service {work.service} would need {needed_ms} ms after the queue, and "
            f"{max(remaining_ms, 0)} ms remain"
        )
        return Refusal(reason, Verdict.NOT_RUN, detail, self.retry_after_ms(work))
