"""Entry side of stages: runs all steps of one request, and gives up their results."""

from collections.abc import Callable
from typing import Any

import attrs
import curio

from wagtailrun import events
from wagtailrun.clock import Clock
from wagtailrun.discovery.owners import Owners
from wagtailrun.exceptions import PeerUnreachable, Refusal, RefusalReason, Verdict
from wagtailrun.gossip_messages import EntryRow
from wagtailrun.ports.link import PeerLink
from wagtailrun.routes import StageCapacity, StageStep
from wagtailrun.stages.messages import (
    CancelPieces,
    FreeResults,
    JobState,
    PieceResult,
    PiecesState,
    RunPieces,
)
from wagtailrun.stages.pool import StageBatcher

__all__ = ["StageResults", "StageRunner", "StagedWork"]

# An entry that does not answer a question for this much longer than it may wait is
# taken as lost, and another one forms the calls.
POLL_WAIT_MS = 300
POLL_SLACK_MS = 250
MIN_RETRY_AFTER_MS = 300


@attrs.frozen
class StagedWork:
    """The stages of one request.

    Attributes:
        request_id: Identifier of the request.
        steps: Steps of its route.
        pieces: Number of pieces of each step; 0 leaves the step out.
        key: What the caller named as the source of the first pieces.
        urgency: Rank of the request; 0 goes first.
        objective_at_ms: When the steps should be done, on the clock.
        expires_at_ms: When they are of no use any more.
        round: How often they were begun before.
    """

    request_id: str
    steps: tuple[StageStep, ...]
    pieces: tuple[int, ...]
    key: str
    urgency: int
    objective_at_ms: int
    expires_at_ms: int
    round: int = 0

    def followers(self, number: int) -> list[int]:
        """Return the steps that take part and need the results of ``number``."""
        return [
            other
            for other, step in enumerate(self.steps)
            if number in step.after and self.pieces[other]
        ]

    def moved_bytes(self, number: int) -> int:
        """Return the bytes that cross data centres if a step leaves its inputs' one.

        Its followers run where their inputs are, so what comes back in the end is the
        least that any of them makes of its results.
        """
        inputs = sum(self._made_bytes(other) for other in self.steps[number].after)
        return inputs + self._onward_bytes(number)

    def _onward_bytes(self, number: int) -> int:
        made = self._made_bytes(number)
        onward = [self._onward_bytes(other) for other in self.followers(number)]
        return min(made, sum(onward)) if onward else made

    def _made_bytes(self, number: int) -> int:
        return self.steps[number].result_bytes * self.pieces[number]

    def starts_after(self, number: int) -> tuple[int, ...]:
        """Return the steps that are to be done before ``number`` starts.

        A step that neither needs nor feeds another one starts together with the last
        step of the longest chain. Its results would otherwise take up memory for the
        whole chain, and steps of the chain at the same targets would wait for it.
        """
        step = self.steps[number]
        if step.after or self.followers(number):
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
        unreleased_steps: Steps whose results were not given up.
        fetched_steps: Steps that do not need their inputs any more.
    """

    results_by_step: dict[int, tuple[PieceResult, ...]] = attrs.field(factory=dict)
    unreleased_steps: set[int] = attrs.field(factory=set)
    fetched_steps: set[int] = attrs.field(factory=set)

    def handles(self, number: int) -> tuple[str, ...]:
        """Return the handles of a step's results."""
        return tuple(result.handle for result in self.results_by_step.get(number, ()))

    def final_handles(self, work: StagedWork) -> tuple[str, ...]:
        """Return the handles of the steps that no other step follows."""
        return tuple(
            handle
            for number in range(len(work.steps))
            if not work.followers(number)
            for handle in self.handles(number)
        )


class StageRunner:
    """Runs the stages of requests through the entries that form the calls.

    Args:
        clock: Clock.
        link: Link to other entries.
        name: Name of this entry.
        host: Pools whose calls this entry forms.
        owners: Chooses the entry that forms the calls of a service. While entries
            disagree, two form calls for a target, which then waits a call longer.
        capacity: Returns what the text says of a target of a stage service.
    """

    def __init__(
        self,
        clock: Clock,
        link: PeerLink,
        name: str,
        host: StageBatcher,
        owners: Owners,
        capacity: Callable[[str], StageCapacity],
    ):
        self.clock = clock
        self.link = link
        self.name = name
        self.host = host
        self.owners = owners
        self.capacity = capacity

    async def announce(self, work: StagedWork, data_centre: str) -> int | None:
        """Announce all steps where they will run.

        Returns:
            The expected time of the longest chain in milliseconds, or None if a step
            is refused already.
        """
        numbers = [n for n in range(len(work.steps)) if work.pieces[n]]
        async with curio.TaskGroup() as group:
            tasks = {
                number: await group.spawn(
                    self._ask, work, number, data_centre, (), None
                )
                for number in numbers
            }
        done_ms = [0] * len(work.steps)
        for number, step in enumerate(work.steps):
            start_ms = max((done_ms[other] for other in step.after), default=0)
            done_ms[number] = start_ms
            if number in tasks:
                state = tasks[number].result
                if state.state != JobState.PENDING:
                    return None
                # What waits there now is worked off while earlier steps run.
                start_ms = max(start_ms, state.queue_ms)
                own_ms = self._work_ms(step.service, work.pieces[number])
                done_ms[number] = start_ms + own_ms
        return max(done_ms, default=0)

    def min_duration_ms(self, work: StagedWork) -> int:
        """Return the time of the longest chain if no piece waited."""
        done_ms: list[int] = []
        for number, step in enumerate(work.steps):
            start_ms = max((done_ms[other] for other in step.after), default=0)
            own_ms = self._work_ms(step.service, work.pieces[number])
            done_ms.append(start_ms + own_ms)
        return max(done_ms, default=0)

    def _work_ms(self, service: str, pieces: int) -> int:
        capacity = self.capacity(service)
        full, rest = divmod(pieces, capacity.batch)
        total_ms = full * capacity.duration_ms(capacity.batch)
        return int(total_ms + (capacity.duration_ms(rest) if rest else 0))

    def _rest_ms(self, work: StagedWork, number: int) -> int:
        """Return the least time of the steps that follow ``number``."""
        rest = [
            self._work_ms(work.steps[other].service, work.pieces[other])
            + self._rest_ms(work, other)
            for other in work.followers(number)
        ]
        return max(rest, default=0)

    # One request

    async def withdraw(self, work: StagedWork) -> None:
        """Tell where a request was announced that it is over."""
        await curio.spawn(self._cancel, work, daemon=True)

    async def run(
        self, work: StagedWork, data_centre: str, results: StageResults
    ) -> Refusal | None:
        """Run all steps; fill ``results`` and return None, or return why not.

        The caller gives up the results with ``release_all`` in every case.

        Args:
            work: What to run.
            data_centre: Where the results are wanted.
            results: Filled with what was made.
        """
        ended = {number: curio.Event() for number in range(len(work.steps))}
        failure: list[Refusal] = []

        async def step(number: int) -> None:
            for other in work.starts_after(number):
                await ended[other].wait()
            if not failure and work.pieces[number]:
                refusal = await self._run_step(work, number, data_centre, results)
                if refusal is not None:
                    failure.append(refusal)
            if not failure:
                await self._free_inputs(work, number, results)
            await ended[number].set()

        try:
            async with curio.TaskGroup() as group:
                for number in range(len(work.steps)):
                    await group.spawn(step, number)
        except curio.CancelledError:
            await self.withdraw(work)
            raise
        if failure:
            await self.withdraw(work)
            return failure[0]
        return None

    async def _run_step(
        self, work: StagedWork, number: int, data_centre: str, results: StageResults
    ) -> Refusal | None:
        step = work.steps[number]
        inputs = tuple(
            handle for other in step.after for handle in results.handles(other)
        )
        place = self._place(work, number, results) or data_centre
        state = await self._ask(work, number, place, inputs, results)
        if state.state == JobState.DONE:
            results.results_by_step[number] = state.results
            results.fetched_steps.add(number)
            results.unreleased_steps.add(number)
            return None
        if state.state == JobState.GONE:
            return Refusal(RefusalReason.TARGET_FAILED, Verdict.NOT_RUN, state.detail)
        return Refusal(
            RefusalReason.OVERLOADED,
            Verdict.NOT_RUN,
            f"step {number} ({step.service}): {state.detail}",
            max(state.queue_ms // 2, MIN_RETRY_AFTER_MS),
        )

    def _place(
        self, work: StagedWork, number: int, results: StageResults
    ) -> str | None:
        """Return the data centre that holds most bytes of a step's inputs, if any."""
        sizes: dict[str, int] = {}
        for other in work.steps[number].after:
            for result in results.results_by_step.get(other, ()):
                size = work.steps[other].result_bytes
                sizes[result.data_centre] = sizes.get(result.data_centre, 0) + size
        return max(sorted(sizes), key=sizes.__getitem__, default=None)

    async def _ask(
        self,
        work: StagedWork,
        number: int,
        data_centre: str,
        inputs: tuple[str, ...],
        results: StageResults | None,
    ) -> PiecesState:
        """Return what becomes of a step, or without results how long it would wait."""
        reserve = results is None
        tried: set[str] = set()
        owner = self.owners.owner(work.steps[number].service, tried)
        retried = False
        seen_fetched = not inputs
        while True:
            message = self._message(work, number, data_centre, inputs, reserve)
            message = attrs.evolve(message, seen_fetched=seen_fetched)
            if owner is None or message.remaining_ms <= 0:
                return PiecesState(JobState.REFUSED, detail="no time or entry is left")
            asked_ms = self.clock.now_ms()
            try:
                state = await self._call(owner, message)
                retried = False
            except PeerUnreachable as error:
                # A connection that was reset says nothing about the entry, and the
                # job is known there; one that is dead answers nothing in time.
                waited_ms = self.clock.now_ms() - asked_ms
                if not retried and waited_ms < message.wait_ms + POLL_SLACK_MS:
                    retried = True
                    continue
                tried.add(owner.name)
                self.owners.exclude(owner, str(error))
                owner = self.owners.owner(work.steps[number].service, tried)
                continue
            if state.state == JobState.FETCHED:
                seen_fetched = True
                if results is not None:
                    results.fetched_steps.add(number)
                    await self._free_inputs(work, number, results)
            elif reserve or state.state != JobState.PENDING:
                return state

    def _message(
        self,
        work: StagedWork,
        number: int,
        data_centre: str,
        inputs: tuple[str, ...],
        reserve: bool,
    ) -> RunPieces:
        step = work.steps[number]
        rest_ms = self._rest_ms(work, number)
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
            round=work.round,
            moved_bytes=work.moved_bytes(number),
        )

    # The entries that form calls

    async def _call(self, owner: EntryRow, message: Any) -> Any:
        if owner.name == self.name:
            return await self.host.handle(message)
        wait_ms = message.wait_ms if isinstance(message, RunPieces) else 0
        reply = await self.link.call(owner.address, message, wait_ms + POLL_SLACK_MS)
        if isinstance(message, RunPieces) and not isinstance(reply, PiecesState):
            raise PeerUnreachable(f"{owner.name} answers {type(reply).__name__}")
        return reply

    # Giving up

    async def _free_inputs(
        self, work: StagedWork, number: int, results: StageResults
    ) -> None:
        """Give up the results of steps all of whose followers are done."""
        for other in work.steps[number].after:
            followers = work.followers(other)
            if results.fetched_steps.issuperset(followers):
                await self._free(other, work, results)

    async def release_all(self, work: StagedWork | None, results: StageResults) -> None:
        """Give up all results that are left."""
        for number in sorted(results.unreleased_steps):
            await self._free(number, work, results)

    async def _free(self, number: int, work: StagedWork, results: StageResults) -> None:
        if number in results.unreleased_steps:
            results.unreleased_steps.discard(number)
            service = work.steps[number].service
            message = FreeResults(service, results.results_by_step[number])
            await curio.spawn(self._tell, message, daemon=True)

    async def _cancel(self, work: StagedWork) -> None:
        """Tell the entries that form calls that the request is over."""
        for service in sorted({step.service for step in work.steps}):
            await self._tell(CancelPieces(work.request_id, service))

    async def _tell(self, message: CancelPieces | FreeResults) -> None:
        owner = self.owners.owner(message.service)
        if owner is None:
            return
        try:
            await self._call(owner, message)
        except PeerUnreachable as error:
            # Targets drop results by themselves after a while.
            events.log(events.PEER_LOST, peer=owner.name, detail=str(error))
