"""Runs all steps of one request through the entries that own the stage services."""

import itertools
from collections.abc import Awaitable, Callable, Collection
from typing import Any

import attrs
import curio

from wagtailrun.clock import Clock
from wagtailrun.discovery.owners import Owners
from wagtailrun.exceptions import PeerUnreachable, Refusal, RefusalReason, Verdict
from wagtailrun.gossip.messages import EntryRow
from wagtailrun.logs import events
from wagtailrun.ports.link import PeerLink
from wagtailrun.process.shortages import SHORTAGE_PAUSE_MS
from wagtailrun.routes import StageCapacity, StageStep
from wagtailrun.stages.batcher import StageBatcher
from wagtailrun.stages.job import ANNOUNCEMENT_INTERVAL_MS
from wagtailrun.stages.messages import (
    CancelPieces,
    FreeResults,
    JobState,
    PieceResult,
    PiecesState,
    RunPieces,
)
from wagtailrun.stages.owner_calls import OwnerCalls

__all__ = ["StageResults", "StageRunner", "StagedWork"]

# How long an owner may hold the reply to a poll.
POLL_WAIT_MS = 600
# An owner whose reply is later by this much counts as unreachable; another entry then
# forms the calls.
POLL_SLACK_MS = 250
MIN_RETRY_AFTER_MS = 300
# An entry that stood still waits this long for news of the owners, which it gets within
# 0.6 s if a control member replies.
NEWS_LIMIT_MS = 1_000
NEWS_POLL_MS = 10


@attrs.frozen
class StagedWork:
    """The stages of one request.

    Attributes:
        request_id: Identifier of the request.
        steps: Steps of its route.
        pieces: Number of pieces of each step; a step with 0 pieces is skipped.
        key: Source of the pieces of first steps, as named by the caller.
        urgency: Urgency level of the request; 0 is the most urgent.
        objective_at_ms: When the steps should be done, on the clock.
        expires_at_ms: When the results would be too late, on the clock.
        round: Number of times that the stages were started before.
    """

    request_id: str
    steps: tuple[StageStep, ...]
    pieces: tuple[int, ...]
    key: str
    urgency: int
    objective_at_ms: int
    expires_at_ms: int
    round: int = 0

    def dependents(self, number: int) -> list[int]:
        """Return the steps with pieces that need the results of step ``number``."""
        return [
            other
            for other, step in enumerate(self.steps)
            if number in step.after and self.pieces[other]
        ]

    def moved_bytes(self, number: int) -> int:
        """Return the bytes transferred if a step runs in a remote data centre.

        These are its inputs and, on the way back, the smallest results along the chain
        of its dependents, because dependents run where their inputs are.
        """
        return self.input_bytes(number) + self._min_output_bytes()[number]

    def input_bytes(self, number: int) -> int:
        """Return the bytes of all inputs of a step, which each piece fetches."""
        return sum(self._result_bytes(other) for other in self.steps[number].after)

    def _min_output_bytes(self) -> dict[int, int]:
        """Return the smallest results along the chains that begin at each step."""
        bytes_by_step: dict[int, int] = {}
        # Dependents have higher numbers.
        for number in reversed(range(len(self.steps))):
            own_bytes = self._result_bytes(number)
            after = [bytes_by_step[other] for other in self.dependents(number)]
            bytes_by_step[number] = min(own_bytes, sum(after)) if after else own_bytes
        return bytes_by_step

    def _result_bytes(self, number: int) -> int:
        return self.steps[number].result_bytes * self.pieces[number]

    def starts_after(self, number: int) -> tuple[int, ...]:
        """Return the steps that must be done before step ``number`` starts.

        A step with neither inputs nor dependents starts together with the last step of
        the longest chain. Otherwise its results would occupy memory for the duration of
        the chain, and steps of the chain at the same targets would wait for that
        memory.
        """
        step = self.steps[number]
        if step.after or self.dependents(number):
            return step.after
        depths = [0] * len(self.steps)
        for other, each in enumerate(self.steps):
            if self.pieces[other]:
                depths[other] = 1 + max((depths[n] for n in each.after), default=0)
        deepest = max(range(len(self.steps)), key=depths.__getitem__)
        return self.steps[deepest].after if deepest != number else ()


@attrs.define
class StageResults:
    """Results of one request.

    Attributes:
        results_by_step: Results of each finished step, in order of its pieces.
        unreleased_steps: Steps whose results are still held by their targets.
        fetched_steps: Steps whose inputs were fetched and may be released.
        owners_by_step: Name of the entry that formed the calls of each step.
    """

    results_by_step: dict[int, tuple[PieceResult, ...]] = attrs.field(factory=dict)
    unreleased_steps: set[int] = attrs.field(factory=set)
    fetched_steps: set[int] = attrs.field(factory=set)
    owners_by_step: dict[int, str] = attrs.field(factory=dict)

    def handles(self, number: int) -> tuple[str, ...]:
        """Return the handles of a step's results."""
        return tuple(result.handle for result in self.results_by_step.get(number, ()))

    @property
    def data_centres(self) -> set[str]:
        """Data centres that hold results."""
        results = itertools.chain.from_iterable(self.results_by_step.values())
        return {result.data_centre for result in results}

    def final_handles(self, work: StagedWork) -> tuple[str, ...]:
        """Return the handles of the results that no other step uses."""
        return tuple(
            handle
            for number in range(len(work.steps))
            if not work.dependents(number)
            for handle in self.handles(number)
        )


class StageRunner:
    """Runs the stages of requests through the entries that own the services.

    Args:
        clock: Clock.
        link: Link to other entries.
        name: Name of this entry.
        batcher: Forms the calls of the services that this entry owns.
        owners: Chooses the entry that forms the calls of a service. While entries
            disagree, two of them form calls for a target, and pieces may wait for one
            more call there.
        capacity: Returns the configured capacity of one target of a stage service.
        awaits_news: Returns whether this entry stood still, and has yet to learn which
            of its services others own by now.
        data_centre: Data centre of this entry.
        check_paths: Called with data centres after results were lost; returns once it
            is known whether these are away.
    """

    def __init__(
        self,
        clock: Clock,
        link: PeerLink,
        name: str,
        batcher: StageBatcher,
        owners: Owners,
        capacity: Callable[[str], StageCapacity],
        awaits_news: Callable[[], bool] = lambda: False,
        data_centre: str = "",
        check_paths: Callable[[Collection[str]], Awaitable[None]] | None = None,
    ):
        self.clock = clock
        self.link = link
        self.name = name
        self.batcher = batcher
        self.owners = owners
        self.capacity = capacity
        self.awaits_news = awaits_news
        self.data_centre = data_centre
        self.check_paths = check_paths
        self.calls = OwnerCalls(link, owners)

    async def announce(self, work: StagedWork, data_centre: str) -> int | None:
        """Announce all steps to the entries that will form their calls.

        Returns:
            The expected duration of the longest chain in milliseconds, or None if a
            step was refused.
        """
        numbers = [n for n in range(len(work.steps)) if work.pieces[n]]
        try:
            async with curio.TaskGroup() as group:
                tasks = {
                    number: await group.spawn(
                        self._request_pieces, work, number, data_centre, (), None
                    )
                    for number in numbers
                }
        except curio.CancelledError:
            await self.withdraw(work)
            raise
        done_ms = [0] * len(work.steps)
        for number, step in enumerate(work.steps):
            start_ms = max((done_ms[other] for other in step.after), default=0)
            done_ms[number] = start_ms
            if number in tasks:
                state = tasks[number].result
                if state.state != JobState.PENDING:
                    return None
                # The current queue is processed while earlier steps run.
                start_ms = max(start_ms, state.queue_ms)
                own_ms = self._processing_ms(step.service, work.pieces[number])
                done_ms[number] = start_ms + own_ms
        return max(done_ms, default=0)

    def owns(self, service: str) -> bool:
        """Return whether this entry forms the calls of a service."""
        return self._is_own(self.calls.owner(service))

    def min_duration_ms(self, work: StagedWork) -> int:
        """Return the duration of the longest chain without queueing."""
        done_ms: list[int] = []
        for number, step in enumerate(work.steps):
            start_ms = max((done_ms[other] for other in step.after), default=0)
            own_ms = self._processing_ms(step.service, work.pieces[number])
            done_ms.append(start_ms + own_ms)
        return max(done_ms, default=0)

    def _processing_ms(self, service: str, pieces: int) -> int:
        capacity = self.capacity(service)
        full, rest = divmod(pieces, capacity.batch)
        total_ms = full * capacity.duration_ms(capacity.batch)
        return int(total_ms + (capacity.duration_ms(rest) if rest else 0))

    def _dependents_ms(self, work: StagedWork, number: int) -> int:
        """Return the shortest duration of the steps after ``number``."""
        rest_ms: dict[int, int] = {}
        # Dependents have higher numbers.
        for each in reversed(range(number, len(work.steps))):
            after = (
                self._processing_ms(work.steps[other].service, work.pieces[other])
                + rest_ms[other]
                for other in work.dependents(each)
            )
            rest_ms[each] = max(after, default=0)
        return rest_ms[number]

    # One request

    async def withdraw(self, work: StagedWork) -> None:
        """Cancel the announced and waiting pieces of a request at their owners."""
        await curio.spawn(self._send_cancellations, work, daemon=True)

    async def run(
        self, work: StagedWork, data_centre: str, results: StageResults
    ) -> Refusal | None:
        """Run all steps and store their results in ``results``.

        The caller releases the results with ``release_all`` in every case.

        Args:
            work: Steps to run.
            data_centre: Preferred data centre of the results.
            results: Filled with the results of finished steps.

        Returns:
            None if all steps were run, otherwise the first refusal.
        """
        ended = {number: curio.Event() for number in range(len(work.steps))}
        failure: list[Refusal] = []
        begun: set[int] = set()

        async def run_when_ready(number: int) -> None:
            for other in work.starts_after(number):
                await ended[other].wait()
            begun.add(number)
            if not failure and work.pieces[number]:
                refusal = await self._run_step(work, number, data_centre, results)
                if refusal is not None:
                    failure.append(refusal)
            if not failure:
                await self._release_inputs(work, number, results)
            await ended[number].set()

        confirming = await curio.spawn(
            self._confirm_announced, work, data_centre, begun, daemon=True
        )
        try:
            async with curio.TaskGroup() as group:
                for number in range(len(work.steps)):
                    await group.spawn(run_when_ready, number)
        except curio.CancelledError:
            await self.withdraw(work)
            raise
        finally:
            await confirming.cancel()
        if failure:
            await self.withdraw(work)
            is_lost = failure[0].reason is RefusalReason.TARGET_FAILED
            if is_lost and self.check_paths is not None:
                # Messages cross a cut over kept connections, and results do not.
                await self.check_paths({data_centre, *results.data_centres})
            return failure[0]
        return None

    async def _confirm_announced(
        self, work: StagedWork, data_centre: str, begun: Collection[int]
    ) -> None:
        """Tell the owners of steps that have not begun that these are still to come."""
        for announcement in itertools.count(2):
            await self.clock.sleep_ms(ANNOUNCEMENT_INTERVAL_MS)
            numbers = {n for n, pieces in enumerate(work.pieces) if pieces} - set(begun)
            if not numbers:
                return
            for number in sorted(numbers):
                message = self._make_message(work, number, data_centre, (), True)
                message = attrs.evolve(message, announcement=announcement)
                await curio.spawn(self._confirm, message, daemon=True)

    async def _confirm(self, message: RunPieces) -> None:
        owner = self.calls.owner(message.service)
        try:
            await self._send(owner, message)
        except PeerUnreachable as error:
            if error.stopping:
                self.calls.leave(owner, str(error))
            else:
                # The poll that follows decides whether another owner is asked.
                events.log(events.PEER_LOST, peer=owner.name, detail=str(error))

    async def _run_step(
        self, work: StagedWork, number: int, data_centre: str, results: StageResults
    ) -> Refusal | None:
        step = work.steps[number]
        inputs = tuple(
            handle for other in step.after for handle in results.handles(other)
        )
        preferred = self._inputs_data_centre(work, number, results) or data_centre
        state = await self._request_pieces(work, number, preferred, inputs, results)
        if state.state == JobState.DONE:
            results.results_by_step[number] = state.results
            results.owners_by_step[number] = state.owner
            results.fetched_steps.add(number)
            results.unreleased_steps.add(number)
            if self._owner_releases(work, number):
                results.unreleased_steps.difference_update(step.after)
            return None
        if state.state == JobState.GONE:
            return Refusal(RefusalReason.TARGET_FAILED, Verdict.NOT_RUN, state.detail)
        return Refusal(
            RefusalReason.OVERLOADED,
            Verdict.NOT_RUN,
            f"step {number} ({step.service}): {state.detail}",
            max(state.queue_ms // 2, MIN_RETRY_AFTER_MS),
        )

    def _owner_releases(self, work: StagedWork, number: int) -> bool:
        """Whether the owner of a step's service releases its inputs.

        It knows first when they are fetched, and releases those of a whole call in one
        message. That is possible only if no other step needs them.
        """
        after = work.steps[number].after
        return bool(after) and all(work.dependents(n) == [number] for n in after)

    def _inputs_data_centre(
        self, work: StagedWork, number: int, results: StageResults
    ) -> str | None:
        """Return the data centre that holds most bytes of a step's inputs, if any."""
        sizes: dict[str, int] = {}
        for other in work.steps[number].after:
            for result in results.results_by_step.get(other, ()):
                size = work.steps[other].result_bytes
                sizes[result.data_centre] = sizes.get(result.data_centre, 0) + size
        return max(sorted(sizes), key=sizes.__getitem__, default=None)

    async def _request_pieces(
        self,
        work: StagedWork,
        number: int,
        data_centre: str,
        inputs: tuple[str, ...],
        results: StageResults | None,
    ) -> PiecesState:
        """Poll the owner of a step's service until the step has ended.

        Without ``results``, announce the step and return the first reply, which states
        the queueing delay.
        """
        reserve = results is None
        tried: set[str] = set()
        owner = await self._choose_owner(work.steps[number].service, tried)
        retried, seen_fetched = False, not inputs
        input_services: tuple[str, ...] = ()
        input_addresses: tuple[str, ...] = ()
        input_owners: tuple[str, ...] = ()
        if results is not None and self._owner_releases(work, number):
            located = [
                (
                    work.steps[other].service,
                    result.address,
                    results.owners_by_step.get(other, ""),
                )
                for other in work.steps[number].after
                for result in results.results_by_step.get(other, ())
            ]
            input_services = tuple(service for service, _, _ in located)
            input_addresses = tuple(address for _, address, _ in located)
            input_owners = tuple(owner for _, _, owner in located)
        while True:
            message = self._make_message(work, number, data_centre, inputs, reserve)
            message = attrs.evolve(
                message,
                seen_fetched=seen_fetched,
                input_services=input_services,
                input_addresses=input_addresses,
                input_owners=input_owners,
            )
            if message.remaining_ms <= 0:
                return PiecesState(JobState.REFUSED, detail="no time is left")
            sent_ms = self.clock.now_ms()
            try:
                state = await self._send(owner, message)
                retried = False
            except PeerUnreachable as error:
                # After a reset connection the owner may still be running and know the
                # job, so it is polled once more. A dead owner lets the call time out.
                waited_ms = self.clock.now_ms() - sent_ms
                if error.shortage:
                    await self.clock.sleep_ms(SHORTAGE_PAUSE_MS)
                if error.alive:
                    # Another owner would start the pieces a second time, beside the
                    # calls of this one.
                    continue
                is_early = waited_ms < message.wait_ms + POLL_SLACK_MS
                if error.stopping:
                    self.calls.leave(owner, str(error))
                elif retried or not is_early or self.owners.is_excluded(owner):
                    await self.calls.exclude(owner, str(error))
                else:
                    retried = True
                    continue
                tried.add(owner.name)
                owner = self.calls.owner(work.steps[number].service, tried)
                continue
            if state.state == JobState.FETCHED:
                seen_fetched = True
                if results is not None:
                    results.fetched_steps.add(number)
                    await self._release_inputs(work, number, results)
            elif reserve or state.state != JobState.PENDING:
                name = self.name if owner is None else owner.name
                return attrs.evolve(state, owner=name)
            elif state.owner:
                # It stops; without a row it is polled again while it lasts.
                owner = self.calls.entry(state.owner) or owner
            elif self._is_own(owner) and self.batcher.was_held_since(sent_ms):
                # Another entry may own the service by now.
                owner = await self._choose_owner(work.steps[number].service, tried)

    def _is_own(self, owner: EntryRow | None) -> bool:
        return self.owners.unless_own(owner, self.name) is None

    async def _choose_owner(self, service: str, tried: set[str]) -> EntryRow | None:
        """Return the owner of a service, by news from after a standstill."""
        limit_ms = self.clock.now_ms() + NEWS_LIMIT_MS
        while True:
            owner = self.calls.owner(service, tried)
            is_late = self.clock.now_ms() >= limit_ms
            if is_late or not (self._is_own(owner) and self.awaits_news()):
                return owner
            await self.clock.sleep_ms(NEWS_POLL_MS)

    def _make_message(
        self,
        work: StagedWork,
        number: int,
        data_centre: str,
        inputs: tuple[str, ...],
        reserve: bool,
    ) -> RunPieces:
        step = work.steps[number]
        rest_ms = self._dependents_ms(work, number)
        now_ms = self.clock.now_ms()
        return RunPieces(
            request_id=work.request_id,
            step=number,
            service=step.service,
            data_centre=data_centre,
            pieces=tuple(range(work.pieces[number])),
            key=work.key,
            inputs=inputs,
            has_inputs=bool(step.after),
            urgency=work.urgency,
            aim_ms=work.objective_at_ms - rest_ms - now_ms,
            remaining_ms=work.expires_at_ms - rest_ms - now_ms,
            result_bytes=step.result_bytes,
            wait_ms=0 if reserve else POLL_WAIT_MS,
            reserve=reserve,
            announcement=int(reserve),
            round=work.round,
            moved_bytes=work.moved_bytes(number),
            entry_data_centre=self.data_centre,
            input_bytes=work.input_bytes(number),
        )

    # Messages to owners

    async def _send(self, owner: EntryRow | None, message: Any) -> Any:
        """Send a message to an owner; this entry handles it if there is no other.

        An entry that stops is not among the live ones, and they may stop as well.
        """
        if self._is_own(owner):
            return await self.batcher.handle(message)
        wait_ms = message.wait_ms if isinstance(message, RunPieces) else 0
        send = self.calls.poll if wait_ms else self.calls.call
        reply = await send(owner, message, wait_ms + POLL_SLACK_MS)
        if isinstance(message, RunPieces) and not isinstance(reply, PiecesState):
            raise PeerUnreachable(
                f"expected PiecesState from entry {owner.name}, "
                f"got {type(reply).__name__}"
            )
        return reply

    # Release of results

    async def _release_inputs(
        self, work: StagedWork, number: int, results: StageResults
    ) -> None:
        """Release the inputs of a step that all dependent steps have fetched."""
        for other in work.steps[number].after:
            dependents = work.dependents(other)
            if results.fetched_steps.issuperset(dependents):
                await self._release(other, work, results)

    async def release_all(self, work: StagedWork | None, results: StageResults) -> None:
        """Release all results that are still held."""
        for number in sorted(results.unreleased_steps):
            await self._release(number, work, results)

    async def _release(
        self, number: int, work: StagedWork, results: StageResults
    ) -> None:
        if number in results.unreleased_steps:
            results.unreleased_steps.discard(number)
            service = work.steps[number].service
            message = FreeResults(
                service,
                results.results_by_step[number],
                results.owners_by_step.get(number, ""),
            )
            await curio.spawn(self.notify_owner, message, daemon=True)

    async def _send_cancellations(self, work: StagedWork) -> None:
        """Tell the owners of all services that the request has ended."""
        for service in sorted({step.service for step in work.steps}):
            message = CancelPieces(work.request_id, service, work.round + 1)
            await self.notify_owner(message)

    async def notify_owner(self, message: CancelPieces | FreeResults) -> None:
        """Send a message to the owner of its service, without a second try.

        A release goes to the entry that formed the calls. Another one may be the owner
        by now, for a while or by the view of this entry only, which does not count the
        results.

        Results are released at their targets by this entry if the owner does not reply:
        until they expire they occupy memory that other requests wait for.
        """
        owner = None
        if isinstance(message, FreeResults):
            owner = self.calls.entry(message.owner)
        if owner is None or self.owners.is_excluded(owner):
            owner = self.calls.owner(message.service)
        try:
            await self._send(owner, message)
        except PeerUnreachable as error:
            if error.alive or error.sent and not error.timed_out:
                # It may be running after a reset connection.
                events.log(events.PEER_LOST, peer=owner.name, detail=str(error))
            else:
                await self.calls.exclude(owner, str(error))
            if isinstance(message, FreeResults):
                await self.batcher.handle(message)
