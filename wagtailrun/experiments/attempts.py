"""Records the attempts of each request at the port of the target client."""

from collections import Counter, defaultdict
from collections.abc import AsyncGenerator
from contextlib import aclosing

import attrs

from wagtailrun.clock import Clock
from wagtailrun.ports.link import Address
from wagtailrun.ports.target import Attempt, StageAnswer, TargetClient, Token
from wagtailrun.replay.emulator import EmulatedClient
from wagtailrun.targets.attempt_observer import NullObserver
from wagtailrun.targets.table import TargetRow
from wagtailrun.targets.work import Work

__all__ = ["AttemptLog", "AttemptRecord", "HedgeCounter", "RecordingClient"]


@attrs.define
class AttemptRecord:
    """One attempt as its entry saw it; times are on the virtual clock.

    Attributes:
        stage: Kind of the stage, or name of the call.
        target: Name of the target.
        number: Number of the attempt.
        resume_offset: First token that was asked for.
        sent_ms: When it was sent.
        first_ms: When its first item arrived.
        ended_ms: When its last item arrived.
    """

    stage: str
    target: str
    number: int
    resume_offset: int
    sent_ms: int
    first_ms: int | None = None
    ended_ms: int | None = None


class AttemptLog:
    """The attempts and hedges of all requests of a play."""

    def __init__(self) -> None:
        self.by_request: defaultdict[str, list[AttemptRecord]] = defaultdict(list)
        self.hedges_by_request: Counter[str] = Counter()


class HedgeCounter(NullObserver):
    """Counts the hedges of each request."""

    def __init__(self, log: AttemptLog):
        self.log = log

    def hedged(self, work: Work, target: TargetRow) -> None:
        """Count it."""
        self.log.hedges_by_request[work.request_id] += 1


class RecordingClient(TargetClient):
    """Passes attempts on to an emulated client and records them.

    Args:
        clock: Virtual clock.
        client: Emulated client of the entry.
        log: Where to record attempts.
    """

    def __init__(self, clock: Clock, client: EmulatedClient, log: AttemptLog):
        self.clock = clock
        self.client = client
        self.log = log

    def _begin(self, address: Address, attempt: Attempt) -> AttemptRecord:
        target = self.client.emulator.targets_by_address[address]
        record = AttemptRecord(
            attempt.path.rpartition("/")[2],
            target.row.name,
            attempt.number,
            attempt.resume_offset,
            self.clock.now_ms(),
        )
        self.log.by_request[attempt.request_id].append(record)
        return record

    async def call(self, address: Address, attempt: Attempt) -> StageAnswer:
        """Run a stage or call and return its complete answer."""
        record = self._begin(address, attempt)
        answer = await self.client.call(address, attempt)
        record.first_ms = record.ended_ms = self.clock.now_ms()
        return answer

    async def stream(
        self, address: Address, attempt: Attempt
    ) -> AsyncGenerator[tuple[Token, ...], None]:
        """Run a generate stage; see ``TargetClient.stream``."""
        record = self._begin(address, attempt)
        async with aclosing(self.client.stream(address, attempt)) as stream:
            async for tokens in stream:
                now_ms = self.clock.now_ms()
                if record.first_ms is None:
                    record.first_ms = now_ms
                if tokens[-1].last:
                    record.ended_ms = now_ms
                yield tokens

    async def cancel(self, address: Address, number: int) -> None:
        """Cancel an attempt at the target."""
        await self.client.cancel(address, number)
