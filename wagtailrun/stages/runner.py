"""Entry side of stages: runs all steps of one request, and gives up their results."""

from collections.abc import Callable, Collection, Sequence
from typing import Any

import attrs
import curio

from wagtailrun import events
from wagtailrun.clock import Clock
from wagtailrun.exceptions import PeerUnreachable, Refusal, RefusalReason, Verdict
from wagtailrun.gossip_messages import EntryRow
from wagtailrun.gossip_peers import rendezvous
from wagtailrun.ports.link import Address, PeerLink
from wagtailrun.routes import StagePool, StageStep
from wagtailrun.stages.messages import (
    CancelPieces,
    FreeResults,
    JobState,
    PieceResult,
    PiecesState,
    RunPieces,
)
from wagtailrun.stages.pool import PoolHost

__all__ = ["StageResults", "StageRunner", "StagedWork"]

# An entry that does not answer a question for this much longer than it may wait is
# taken as lost, and another one forms the calls.
POLL_WAIT_MS = 300
POLL_SLACK_MS = 250
AVOID_ENTRY_MS = 1_500
MIN_RETRY_AFTER_MS = 300
# What was told about a queue is believed for this long, ever less.
QUEUE_MEMORY_MS = 1_500


@attrs.frozen
class StagedWork:
    """The stages of one request.

    Attributes:
        request_id: Identifier of the request.
        steps: Steps of its route.
        pieces: Number of pieces of each step; 0 leaves the step out.
        key: What the caller named as the source of the first pieces.
        urgency: Rank of the request; 0 goes first.
        aim_at_ms: When the steps should be done, on the clock.
        end_at_ms: When they are of no use any more.
    """

    request_id: str
    steps: tuple[StageStep, ...]
    pieces: tuple[int, ...]
    key: str
    urgency: int
    aim_at_ms: int
    end_at_ms: int

    def followers(self, number: int) -> list[int]:
        """Return the steps that take part and need the results of ``number``."""
        return [
            other
            for other, step in enumerate(self.steps)
            if number in step.after and self.pieces[other]
        ]

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
        made_by_step: Results of each finished step, in order of its pieces.
        kept_steps: Steps whose results were not given up.
    """

    made_by_step: dict[int, tuple[PieceResult, ...]] = attrs.field(factory=dict)
    kept_steps: set[int] = attrs.field(factory=set)

    def handles(self, number: int) -> tuple[str, ...]:
        """Return the handles of a step's results."""
        return tuple(result.handle for result in self.made_by_step.get(number, ()))

    def last_handles(self, work: StagedWork) -> tuple[str, ...]:
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
        entries: Returns the live entries.
        capacity: Returns what the text says of a target of a stage service.
    """

    def __init__(
        self,
        clock: Clock,
        link: PeerLink,
        name: str,
        host: PoolHost,
        entries: Callable[[], Sequence[EntryRow]],
        capacity: Callable[[str], StagePool],
    ):
        self.clock = clock
        self.link = link
        self.name = name
        self.host = host
        self.entries = entries
        self.capacity = capacity
        self.avoid_until_ms: dict[str, int] = {}
        # Queue of a service and when it was told.
        self.queues_by_service: dict[str, tuple[int, int]] = {}

    def queue_ms(self, service: str) -> int:
        """Return how long pieces of a service wait, as far as it is known."""
        pool = self.host.pools_by_service.get(service)
        if pool is not None and self._owner(service, ()) == self.name:
            known_ms = pool.queue_ms()
            if known_ms is not None:
                return known_ms
        queue_ms, told_ms = self.queues_by_service.get(service, (0, 0))
        age_ms = self.clock.now_ms() - told_ms
        return max(int(queue_ms * (1 - age_ms / QUEUE_MEMORY_MS)), 0)

    def expected_ms(self, work: StagedWork) -> int:
        """Return the expected time of the longest chain of steps."""
        done_ms: list[int] = []
        for number, step in enumerate(work.steps):
            start_ms = max((done_ms[other] for other in step.after), default=0)
            own_ms = 0
            if work.pieces[number]:
                own_ms = self.queue_ms(step.service)
                own_ms += self._work_ms(step.service, work.pieces[number])
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

    async def run(
        self, work: StagedWork, data_centre: str, results: StageResults
    ) -> Refusal | None:
        """Run all steps; fill ``results`` and return None, or return why not.

        The caller gives up the results with ``free_all`` in every case.

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
            await curio.spawn(self._cancel, work, daemon=True)
            raise
        if failure:
            await curio.spawn(self._cancel, work, daemon=True)
            return failure[0]
        return None

    async def _run_step(
        self, work: StagedWork, number: int, data_centre: str, results: StageResults
    ) -> Refusal | None:
        step = work.steps[number]
        inputs = tuple(
            handle for other in step.after for handle in results.handles(other)
        )
        state = await self._ask(work, number, data_centre, inputs)
        if state.state == JobState.DONE:
            results.made_by_step[number] = state.results
            results.kept_steps.add(number)
            return None
        if state.state == JobState.GONE:
            return Refusal(RefusalReason.TARGET_FAILED, Verdict.NOT_RUN, state.detail)
        return Refusal(
            RefusalReason.OVERLOADED,
            Verdict.NOT_RUN,
            f"step {number} ({step.service}): {state.detail}",
            max(state.queue_ms // 2, MIN_RETRY_AFTER_MS),
        )

    async def _ask(
        self, work: StagedWork, number: int, place: str, inputs: tuple[str, ...]
    ) -> PiecesState:
        """Return what becomes of a step."""
        step = work.steps[number]
        tried: set[str] = set()
        owner = self._owner(step.service, tried)
        while True:
            message = self._message(work, number, place, inputs)
            if owner is None or message.remaining_ms <= 0:
                return PiecesState(JobState.REFUSED, detail="no time or entry is left")
            try:
                state = await self._call(owner, message)
            except PeerUnreachable as error:
                tried.add(owner)
                self._lose(owner, str(error))
                owner = self._owner(step.service, tried)
                continue
            told = (state.queue_ms, self.clock.now_ms())
            self.queues_by_service[step.service] = told
            if state.state != JobState.PENDING:
                return state

    def _message(
        self, work: StagedWork, number: int, place: str, inputs: tuple[str, ...]
    ) -> RunPieces:
        step = work.steps[number]
        rest_ms = self._rest_ms(work, number)
        now_ms = self.clock.now_ms()
        return RunPieces(
            request_id=work.request_id,
            step=number,
            service=step.service,
            data_centre=place,
            pieces=tuple(range(work.pieces[number])),
            key=work.key,
            inputs=inputs,
            has_inputs=bool(step.after),
            urgency=work.urgency,
            aim_ms=work.aim_at_ms - rest_ms - now_ms,
            remaining_ms=work.end_at_ms - rest_ms - now_ms,
            result_bytes=step.result_bytes,
            wait_ms=POLL_WAIT_MS,
        )

    # The entries that form calls

    def _owner(self, service: str, tried: Collection[str]) -> str | None:
        """Return the entry that forms the calls of a service.

        All entries agree on it while they know the same live entries; while they do
        not, two may form calls for the same target, which then waits a call longer.
        """
        now_ms = self.clock.now_ms()
        names = [
            row.name
            for row in self.entries()
            if row.name not in tried and self.avoid_until_ms.get(row.name, 0) <= now_ms
        ]
        return next(iter(rendezvous(service, names, 1)), None)

    async def _call(self, owner: str, message: Any) -> Any:
        if owner == self.name:
            return await self.host.handle(message)
        address = self._address(owner)
        wait_ms = message.wait_ms if isinstance(message, RunPieces) else 0
        reply = await self.link.call(address, message, wait_ms + POLL_SLACK_MS)
        if isinstance(message, RunPieces) and not isinstance(reply, PiecesState):
            raise PeerUnreachable(f"{owner} answers {type(reply).__name__}")
        return reply

    def _address(self, name: str) -> Address:
        for row in self.entries():
            if row.name == name:
                return row.address
        raise PeerUnreachable(f"{name} is not known any more", sent=False)

    def _lose(self, owner: str, detail: str) -> None:
        self.avoid_until_ms[owner] = self.clock.now_ms() + AVOID_ENTRY_MS
        events.log(events.PEER_LOST, peer=owner, detail=detail)

    # Giving up

    async def _free_inputs(
        self, work: StagedWork, number: int, results: StageResults
    ) -> None:
        """Give up the results of steps all of whose followers are done."""
        for other in work.steps[number].after:
            followers = work.followers(other)
            if all(each in results.made_by_step for each in followers):
                await self._free(other, work, results)

    async def free_all(self, work: StagedWork | None, results: StageResults) -> None:
        """Give up all results that are left."""
        for number in sorted(results.kept_steps):
            await self._free(number, work, results)

    async def _free(self, number: int, work: StagedWork, results: StageResults) -> None:
        if number in results.kept_steps:
            results.kept_steps.discard(number)
            service = work.steps[number].service
            message = FreeResults(service, results.made_by_step[number])
            await curio.spawn(self._tell, message, daemon=True)

    async def _cancel(self, work: StagedWork) -> None:
        """Tell the entries that form calls that the request is over."""
        for service in sorted({step.service for step in work.steps}):
            await self._tell(CancelPieces(work.request_id, service))

    async def _tell(self, message: CancelPieces | FreeResults) -> None:
        owner = self._owner(message.service, ())
        if owner is None:
            return
        try:
            await self._call(owner, message)
        except PeerUnreachable as error:
            # Targets drop results by themselves after a while.
            events.log(events.PEER_LOST, peer=owner, detail=str(error))
