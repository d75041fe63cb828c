"""Queues requests that can still meet their deadline and refuses the others."""

import math
from collections import Counter
from collections.abc import Callable
from itertools import islice
from typing import TYPE_CHECKING

import attrs
import curio

from wagtailrun.clock import MS_PER_SECOND, Clock
from wagtailrun.exceptions import Refusal, RefusalReason, Verdict
from wagtailrun.stopping.running_requests import STOPPING_RETRY_MS
from wagtailrun.targets.decisions import (
    NO_DECISIONS,
    Candidate,
    DecisionLog,
    DecisionPoint,
)
from wagtailrun.targets.estimates import Estimates
from wagtailrun.targets.table import TargetRow

if TYPE_CHECKING:
    from wagtailrun.targets.work import Work

__all__ = ["POLL_INTERVAL_MS", "Admission"]

USAGE_HALF_LIFE_MS = 10_000
# A workspace that started nothing for this long is ignored when shares are computed.
ACTIVE_WINDOW_MS = 30_000
# A workspace exceeds its share if its usage is above the share by this fraction and by
# this number of standard deviations of random arrivals. A fixed limit treated small
# workspaces at ordinary load as bursts.
MIN_EXCESS = 0.2
DEVIATIONS = 1.0
# Weight of the newest interval in the mean time between two starts.
INTERVAL_WEIGHT = 0.1
# Interval at which waiting work checks for room. The end of other entries' work makes
# room without an event at this entry.
POLL_INTERVAL_MS = 100
MAX_RETRY_AFTER_MS = 60_000
# Waiting requests that a decision states, the first of the queue.
MAX_CANDIDATES = 20
# Limits memory; waiting work is normally refused long before because of its deadline.
MAX_WAITING = 2_000

ChooseTarget = Callable[[], TargetRow | None]
# Excess over the share, may wait, negative priority, use of the share in milliseconds,
# latest start in milliseconds.
_Rank = tuple[float, bool, int, float, int]


@attrs.define(eq=False)
class _Waiter:
    """Waiting work; either ``target`` or ``refusal`` is set before ``event``."""

    work: "Work"
    choose: ChooseTarget
    release: Callable[[TargetRow], None]
    latest_start_ms: int
    event: curio.Event = attrs.field(factory=curio.Event)
    target: TargetRow | None = None
    refusal: Refusal | None = None


@attrs.define
class _ServiceQueue:
    """Work that waits for targets of one service, and the pace at which it starts."""

    waiting: list[_Waiter] = attrs.field(factory=list)
    # Mean time between two starts while other work was waiting.
    interval_ms: float | None = None
    last_start_ms: int | None = None


class Admission:
    """Decides which work starts, which waits and which is refused.

    Work is ordered by workspace shares, priority and deadline.

    Args:
        clock: Clock.
        estimates: Recent distributions of stages.
        decisions: Is told what was decided about requests.
    """

    def __init__(
        self,
        clock: Clock,
        estimates: Estimates,
        decisions: DecisionLog = NO_DECISIONS,
    ):
        self.clock = clock
        self.decisions = decisions
        self.estimates = estimates
        self.queues_by_service: dict[str, _ServiceQueue] = {}
        # Decayed cost of started work in milliseconds, and the time of the last update.
        self.usage_by_workspace: dict[str, tuple[float, int]] = {}
        self.shares_by_workspace: dict[str, int] = {}
        # The same for the squared costs of all workspaces, under an empty key.
        self.squared_costs: dict[str, tuple[float, int]] = {}
        # When work must have ended since the process stops; None without a stop.
        self.ends_ms: int | None = None

    async def admit(
        self, work: "Work", choose: ChooseTarget, release: Callable[[TargetRow], None]
    ) -> TargetRow | Refusal:
        """Wait until a target has room for ``work``.

        Args:
            work: Work to start.
            choose: Chooses a target and reserves room there, or returns None.
            release: Releases the reserved room if the caller is cancelled meanwhile.

        Returns:
            The target, or a refusal as soon as the deadline, or the end of the process,
            cannot be met.
        """
        self.shares_by_workspace[work.workspace] = work.share
        self.usage_by_workspace.setdefault(work.workspace, (0.0, self.clock.now_ms()))
        duration_ms = self.expected_duration_ms(work)
        latest_start_ms = self._due_ms(work) - duration_ms
        if self.clock.now_ms() > latest_start_ms:
            self._record(work, "refuse", "late", latest_start_ms)
            return self._refusal(work, duration_ms)
        queue = self.queues_by_service.setdefault(work.service, _ServiceQueue())
        is_first = not queue.waiting
        if is_first:
            target = choose()
            if target is not None:
                self._record(work, "start", "room", latest_start_ms)
                self._record_start(queue, work)
                return target
        if is_first and self.decisions.enabled:
            point = DecisionPoint.ADMISSION
            self.decisions.record_choice(
                work.request_id, work.stage, point, "wait", "no-room"
            )
        else:
            self._record(work, "wait", "queue", latest_start_ms)
        waiter = _Waiter(work, choose, release, latest_start_ms)
        queue.waiting.append(waiter)
        await self._shed_late_work(queue)
        # There may be room for this work although other work is waiting, because that
        # work may have to avoid the free targets.
        await self.start_waiting(work.service)
        return await self._wait_for_target(queue, waiter)

    async def _wait_for_target(
        self, queue: _ServiceQueue, waiter: _Waiter
    ) -> TargetRow | Refusal:
        try:
            while (found := waiter.target or waiter.refusal) is None:
                wait_ms = waiter.latest_start_ms - self.clock.now_ms()
                if wait_ms <= 0:
                    self._record(
                        waiter.work, "refuse", "waited", waiter.latest_start_ms
                    )
                    duration_ms = self._due_ms(waiter.work) - waiter.latest_start_ms
                    return self._refusal(waiter.work, duration_ms)
                wait_ms = min(wait_ms, POLL_INTERVAL_MS)
                await curio.ignore_after(wait_ms / MS_PER_SECOND, waiter.event.wait)
                if waiter.target is None and waiter.refusal is None:
                    await self.start_waiting(waiter.work.service)
            return found
        except curio.CancelledError:
            if waiter.target is not None:
                waiter.release(waiter.target)
                await self.start_waiting(waiter.work.service)
            raise
        finally:
            if waiter in queue.waiting:
                queue.waiting.remove(waiter)

    def begin_stop(self, ends_ms: int) -> None:
        """Start no more work that is not expected to end before the process does.

        Args:
            ends_ms: When work must have ended, on the clock.
        """
        waiters = [
            waiter
            for queue in self.queues_by_service.values()
            for waiter in queue.waiting
        ]
        due_before_ms = [self._due_ms(waiter.work) for waiter in waiters]
        self.ends_ms = ends_ms
        for waiter, before_ms in zip(waiters, due_before_ms, strict=True):
            waiter.latest_start_ms -= before_ms - self._due_ms(waiter.work)

    def _due_ms(self, work: "Work") -> int:
        """Return when ``work`` must have ended, on the clock."""
        if self.ends_ms is None:
            return work.deadline_at_ms
        return min(work.deadline_at_ms, self.ends_ms)

    async def refuse_waiting(self, refusal: Refusal) -> None:
        """Refuse all work that waits for a target."""
        for queue in self.queues_by_service.values():
            waiting, queue.waiting[:] = list(queue.waiting), []
            for waiter in waiting:
                waiter.refusal = refusal
                await waiter.event.set()

    async def start_waiting(self, service: str) -> None:
        """Start waiting work while there is room.

        Must be called whenever a target of ``service`` may have got room.
        """
        queue = self.queues_by_service.get(service)
        if queue is None or not queue.waiting:
            return
        ranks_by_waiter = self._ranked(queue)
        for number, waiter in enumerate(ranks_by_waiter):
            target = waiter.choose()
            if target is None:
                return
            if self.decisions.enabled:
                self._record_start_of_waiter(ranks_by_waiter, number)
            queue.waiting.remove(waiter)
            waiter.target = target
            self._record_start(queue, waiter.work)
            await waiter.event.set()

    def expected_duration_ms(self, work: "Work") -> int:
        """Return the median time from the start of ``work`` to the end of its request.

        The time includes the later stages of the request and their queueing delays.
        """
        size = work.size_class
        total_ms = self.estimates.total_ms(work.service, work.stage, size) or 0
        for service, stage in work.later_stages:
            total_ms += self.estimates.total_ms(service, stage, size) or 0
            total_ms += self.queueing_delay_ms(service, work)
        return int(total_ms)

    def queueing_delay_ms(self, service: str, work: "Work") -> int:
        """Return how long ``work`` would now wait for a target of ``service``."""
        queue = self.queues_by_service.get(service)
        if queue is None or not queue.waiting or queue.interval_ms is None:
            return 0
        order_key = (work.may_wait, -work.priority, work.deadline_at_ms)
        before = sum(
            waiter.work.workspace == work.workspace
            and (waiter.work.may_wait, -waiter.work.priority, waiter.latest_start_ms)
            <= order_key
            for waiter in queue.waiting
        )
        own_rank = self._rank(work, before, work.deadline_at_ms)
        ahead = 0
        counts: Counter[str] = Counter()
        for waiter in queue.waiting:
            name = waiter.work.workspace
            rank = self._rank(waiter.work, counts[name], waiter.latest_start_ms)
            counts[name] += 1
            ahead += rank <= own_rank
        return int(ahead * queue.interval_ms)

    def retry_after_ms(self, work: "Work") -> int:
        """Return the time until the work queued now will have drained."""
        total_ms = 0.0
        for service, stage in ((work.service, work.stage), *work.later_stages):
            queue = self.queues_by_service.get(service)
            if queue is not None:
                total_ms += (len(queue.waiting) + 1) * (queue.interval_ms or 0.0)
            size = work.size_class
            total_ms += self.estimates.total_ms(service, stage, size) or 0
        return max(1, min(math.ceil(total_ms), MAX_RETRY_AFTER_MS))

    def excess_share(self, work: "Work") -> float:
        """Return by how much the usage of the workspace exceeds its share, or 0.

        The result is a multiple of the workspace's share among the workspaces that are
        active at this entry.
        """
        now_ms = self.clock.now_ms()
        used = self._decayed_usage(self.usage_by_workspace, work.workspace, now_ms)
        total = shares = 0.0
        for name in list(self.usage_by_workspace):
            usage = self._decayed_usage(self.usage_by_workspace, name, now_ms)
            if now_ms - self.usage_by_workspace[name][1] > ACTIVE_WINDOW_MS:
                del self.usage_by_workspace[name]
                del self.shares_by_workspace[name]
                continue
            total += usage
            shares += self.shares_by_workspace[name]
        if not used or len(self.usage_by_workspace) == 1:
            return 0.0
        entitled = total * work.share / shares
        # Cost-weighted mean cost. The share divided by it is the number of starts, and
        # from that follows the relative standard deviation of random arrivals.
        mean_cost = self._decayed_usage(self.squared_costs, "", now_ms) / total
        margin = max(MIN_EXCESS, DEVIATIONS * math.sqrt(mean_cost / entitled))
        excess = used / entitled - 1.0
        return excess if excess > margin else 0.0

    def _decayed_usage(
        self, values: dict[str, tuple[float, int]], key: str, now_ms: int
    ) -> float:
        value, since_ms = values.get(key, (0.0, now_ms))
        return value * math.pow(0.5, (now_ms - since_ms) / USAGE_HALF_LIFE_MS)

    def _record(
        self, work: "Work", chosen: str, reason: str, latest_start_ms: int
    ) -> None:
        """Tell the log what was decided about one request, by the time that it has."""
        if not self.decisions.enabled:
            return
        left_ms = latest_start_ms - self.clock.now_ms()
        itself = Candidate(work.request_id, left_ms)
        point = DecisionPoint.ADMISSION
        self.decisions.record(
            work.request_id, work.stage, point, chosen, reason, [itself]
        )

    def _record_start_of_waiter(
        self, ranks_by_waiter: dict[_Waiter, _Rank], number: int
    ) -> None:
        """Tell the log that one of the waiting requests starts, and what follows it."""
        left = islice(ranks_by_waiter.items(), number, number + MAX_CANDIDATES)
        candidates = [
            Candidate(waiter.work.request_id, tuple(map(float, rank)))
            for waiter, rank in left
        ]
        work = list(ranks_by_waiter)[number].work
        point = DecisionPoint.ADMISSION
        self.decisions.record(
            work.request_id, work.stage, point, "start", "first", candidates
        )

    def _record_start(self, queue: _ServiceQueue, work: "Work") -> None:
        now_ms = self.clock.now_ms()
        cost_ms = self.estimates.total_ms(work.service, work.stage, work.size_class)
        cost_ms = cost_ms or 1
        used = (
            self._decayed_usage(self.usage_by_workspace, work.workspace, now_ms)
            + cost_ms
        )
        self.usage_by_workspace[work.workspace] = (used, now_ms)
        squares = self._decayed_usage(self.squared_costs, "", now_ms) + cost_ms**2
        self.squared_costs[""] = (squares, now_ms)
        self.shares_by_workspace[work.workspace] = work.share
        if queue.last_start_ms is not None and queue.waiting:
            interval_ms = now_ms - queue.last_start_ms
            known_ms = queue.interval_ms
            if known_ms is None:
                known_ms = interval_ms
            queue.interval_ms = known_ms + INTERVAL_WEIGHT * (interval_ms - known_ms)
        queue.last_start_ms = now_ms

    def _rank(self, work: "Work", ahead: int, latest_start_ms: int) -> _Rank:
        """Return the sort key of ``work`` in a queue; smaller starts first.

        The order is: workspaces within their share, work that may not be delayed,
        higher priority, the workspace that will have used the least of its share, and
        the earliest latest start.

        Args:
            work: Waiting work.
            ahead: Number of requests of the same workspace that wait ahead of it.
            latest_start_ms: Latest start that meets the deadline.
        """
        now_ms = self.clock.now_ms()
        used = self._decayed_usage(self.usage_by_workspace, work.workspace, now_ms)
        cost_ms = self.estimates.total_ms(work.service, work.stage, work.size_class)
        use = (used + ahead * (cost_ms or 1)) / work.share
        excess = self.excess_share(work)
        return (excess, work.may_wait, -work.priority, use, latest_start_ms)

    def _ranked(self, queue: _ServiceQueue) -> dict[_Waiter, _Rank]:
        """Return the waiting work in its order, with the ranks."""
        waiting = sorted(
            queue.waiting,
            key=lambda w: (w.work.may_wait, -w.work.priority, w.latest_start_ms),
        )
        ahead: Counter[str] = Counter()
        ranks = {}
        for waiter in waiting:
            work = waiter.work
            ranks[waiter] = self._rank(
                work, ahead[work.workspace], waiter.latest_start_ms
            )
            ahead[work.workspace] += 1
        order = sorted(waiting, key=ranks.__getitem__)
        return {waiter: ranks[waiter] for waiter in order}

    async def _shed_late_work(self, queue: _ServiceQueue) -> None:
        """Refuse work that cannot start in time behind the work ahead of it."""
        interval_ms = queue.interval_ms or 0.0
        start_ms = float(self.clock.now_ms())
        for number, waiter in enumerate(self._ranked(queue)):
            if start_ms > waiter.latest_start_ms or number >= MAX_WAITING:
                self._record(waiter.work, "refuse", "shed", waiter.latest_start_ms)
                duration_ms = self._due_ms(waiter.work) - waiter.latest_start_ms
                waiter.refusal = self._refusal(waiter.work, duration_ms)
                queue.waiting.remove(waiter)
                await waiter.event.set()
            else:
                start_ms += interval_ms

    def _refusal(self, work: "Work", duration_ms: int) -> Refusal:
        due_ms = self._due_ms(work)
        if due_ms < work.deadline_at_ms:
            detail = (
                f"service {work.service} needs {duration_ms} ms, but this entry stops "
                f"in {max(due_ms - self.clock.now_ms(), 0)} ms"
            )
            return Refusal(
                RefusalReason.DRAINING, Verdict.NOT_RUN, detail, STOPPING_RETRY_MS
            )
        reason = RefusalReason.OVERLOADED
        if self.excess_share(work):
            reason = RefusalReason.SHARE_EXCEEDED
        elif work.deadline_at_ms <= self.clock.now_ms():
            reason = RefusalReason.DEADLINE
        remaining_ms = work.deadline_at_ms - self.clock.now_ms()
        detail = (
            f"service {work.service} needs {duration_ms} ms after queueing, but only "
            f"{max(remaining_ms, 0)} ms remain until the deadline"
        )
        return Refusal(reason, Verdict.NOT_RUN, detail, self.retry_after_ms(work))
