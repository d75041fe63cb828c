"""Releases the inputs of stage calls once their targets have fetched them."""

import itertools
from collections import defaultdict
from collections.abc import Awaitable, Callable, Sequence

import curio

from wagtailrun.clock import Clock
from wagtailrun.routes import StageCapacity
from wagtailrun.stages.call_slot import CallSlot
from wagtailrun.stages.job import Job
from wagtailrun.stages.messages import FreeResults, PieceResult

__all__ = ["INPUT_FETCH_MS", "FetchedInputs"]

# Inputs count as fetched this long after their call was sent. A target fetches them
# when the call's turn comes; 10 MB take 8 ms at 10 Gbit/s.
INPUT_FETCH_MS = 60
# Inputs of which each, on average, takes up no more than this share of the memory of a
# target, and which all together take up no more than the other one, stay until the call
# ends: a piece that fails can then run again, instead of the whole request.
SMALL_INPUT_SHARE = 0.1
KEPT_INPUTS_SHARE = 0.5


class FetchedInputs:
    """Tracks which inputs were fetched, and releases them.

    Args:
        clock: Clock.
        release: Sends a release of results to the owner of their service.
        is_doubtful: Returns whether the entry of a job may have turned to another
            owner, whose calls need the same inputs.
        capacity: Returns the configured capacity of one target of a stage service.
    """

    def __init__(
        self,
        clock: Clock,
        release: Callable[[FreeResults], Awaitable[None]],
        is_doubtful: Callable[[Job], bool],
        capacity: Callable[[str], StageCapacity],
    ):
        self.clock = clock
        self.release = release
        self.is_doubtful = is_doubtful
        self.capacity = capacity

    async def await_fetch(
        self, chosen: Sequence[tuple[Job, int]], slot: CallSlot
    ) -> None:
        """Mark the large inputs of a call as fetched once there was time for it.

        A call may wait for a permit or a connection before it is sent, or not be sent.
        """
        left_ms = INPUT_FETCH_MS
        while left_ms > 0:
            await self.clock.sleep_ms(left_ms)
            if slot.sent_ms is not None:
                left_ms = slot.sent_ms + INPUT_FETCH_MS - self.clock.now_ms()
        await self.mark([pair for pair in chosen if not self._are_small(pair[0])])

    def _are_small(self, job: Job) -> bool:
        """Whether the inputs of a job that the owner releases take up little memory."""
        message = job.message
        share = min(SMALL_INPUT_SHARE * len(message.inputs), KEPT_INPUTS_SHARE)
        # These bytes include results, so that they are at least those of the inputs.
        limits = (
            self.capacity(service).memory_bytes * share
            for service in set(message.input_services)
        )
        return bool(message.input_services) and all(
            not limit or message.moved_bytes <= limit for limit in limits
        )

    async def confirm(self, job: Job) -> None:
        """Release the inputs of a job that its entry has asked for again."""
        await self.mark([(job, piece) for piece in sorted(job.fetched_pieces)])

    async def mark(self, chosen: Sequence[tuple[Job, int]]) -> None:
        """Mark the inputs of pieces as fetched, and release those of whole steps."""
        results_by_owner: dict[tuple[str, str], list[PieceResult]] = defaultdict(list)
        for job, piece in chosen:
            job.fetched_pieces.add(piece)
            if self.is_doubtful(job):
                continue
            if not job.fetched and len(job.fetched_pieces) == len(job.message.pieces):
                job.fetched = True
                message = job.message
                # An earlier build names no owners.
                owners = itertools.chain(message.input_owners, itertools.repeat(""))
                for service, handle, address, owner in zip(
                    message.input_services,
                    message.inputs,
                    message.input_addresses,
                    owners,
                    strict=False,
                ):
                    result = PieceResult(0, handle, address)
                    results_by_owner[service, owner].append(result)
                if not message.input_services:
                    await job.progress.notify()
        for (service, owner), results in results_by_owner.items():
            # One message for all requests of the call.
            # An owner that does not reply must not delay the end of the call.
            message = FreeResults(service, tuple(results), owner)
            await curio.spawn(self.release, message, daemon=True)
