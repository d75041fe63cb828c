"""One entry chooses the engines of a service for all, so that it knows all prompts.

Each entry alone sees a ninth of the prompts or less: two that are read at the same
engine at once delay each other by a quarter of a second.
"""

from collections.abc import Callable

import attrs
import curio

from wagtailrun import events
from wagtailrun.clock import Clock
from wagtailrun.discovery.owners import Owners
from wagtailrun.exceptions import MessageError, PeerUnreachable
from wagtailrun.membership import TargetRow
from wagtailrun.ports.link import PeerLink
from wagtailrun.relay.choice import TargetChooser
from wagtailrun.relay.estimate import ErrorQuantile
from wagtailrun.relay.placement_messages import (
    Placed,
    PlaceRun,
    RunNoted,
    RunOutcome,
    RunOver,
)
from wagtailrun.relay.port import TargetLoad

__all__ = ["Placement", "PlacementHost"]

# An answer takes under a millisecond; without one the entry chooses by itself.
CALL_TIMEOUT_MS = 150
# Runs whose end was not told are forgotten; the longest streams take 12 s.
FORGET_MS = 20_000


@attrs.frozen
class _Run:
    """An attempt under way.

    Attributes:
        row: Engine.
        began_ms: When it was chosen.
        queued_ms: Expected wait for the prompts that the engine had before.
        unread_tokens: Tokens that it must probably read.
        expected_ms: Expected time to the first event.
    """

    row: TargetRow
    began_ms: int
    queued_ms: float = 0.0
    unread_tokens: int = 0
    expected_ms: float = 0.0


class PlacementHost:
    """Chooses engines for other entries.

    Args:
        clock: Clock.
        chooser: Knows what was given to the engines.
        targets: Returns the targets of a service.
    """

    def __init__(
        self,
        clock: Clock,
        chooser: TargetChooser,
        targets: Callable[[str], list[TargetRow]],
    ):
        self.clock = clock
        self.chooser = chooser
        self.targets = targets
        self.runs_by_key: dict[tuple[str, str], _Run] = {}
        self.errors_by_route: dict[str, ErrorQuantile] = {}

    def handle(self, message: PlaceRun | RunOver) -> Placed | RunNoted:
        """Answer one message of an entry.

        Raises:
            MessageError: If it is no question about engines.
        """
        match message:
            case PlaceRun():
                return self._place(message)
            case RunOver():
                return self._note(message)
        raise MessageError(f"{type(message).__name__} is not answered here")

    def _place(self, message: PlaceRun) -> Placed:
        rows = self.targets(message.service)
        row = self.chooser.choose(
            rows,
            message.avoid,
            parts=message.parts,
            prompt_tokens=message.prompt_tokens,
            result_bytes_by_data_centre={
                size.data_centre: size.bytes for size in message.results
            },
        )
        if row is None:
            return Placed("", "", 0)
        expected_ms = self.chooser.first_event_ms(
            row, message.parts, message.prompt_tokens
        )
        if message.begin:
            self._forget()
            self.runs_by_key[message.request_id, row.name] = _Run(
                row=row,
                began_ms=self.clock.now_ms(),
                queued_ms=self.chooser.queued_ms(row),
                unread_tokens=self.chooser.unread_tokens(
                    row, message.parts, message.prompt_tokens
                ),
                expected_ms=expected_ms,
            )
            self.chooser.started(row, message.parts, message.prompt_tokens)
        errors = self.errors_by_route.get(message.route)
        margin_ms = errors.margin_ms if errors is not None else 0.0
        return Placed(row.name, row.data_centre, int(expected_ms), int(margin_ms))

    def _note(self, message: RunOver) -> RunNoted:
        run = self.runs_by_key.pop((message.request_id, message.target), None)
        if run is None:
            return RunNoted(False)
        self.chooser.ended(run.row)
        if message.slots:
            load = TargetLoad(message.running, message.waiting, message.slots)
            self.chooser.told_load(run.row, load)
        match message.outcome:
            case RunOutcome.SUCCEEDED:
                self._learn(run, message)
            case RunOutcome.FAILED:
                self.chooser.failed(run.row)
            case RunOutcome.UNREACHABLE:
                self.chooser.unreachable(run.row)
            case RunOutcome.REJECTED:
                self.chooser.rejected(run.row, False)
            case RunOutcome.MISDIRECTED:
                self.chooser.rejected(run.row, True)
        return RunNoted(True)

    def _learn(self, run: _Run, message: RunOver) -> None:
        """Note when the first event of an attempt came."""
        first_event_ms = message.first_event_ms
        slowness = first_event_ms / max(run.expected_ms, 1.0)
        self.chooser.succeeded(run.row, slowness)
        took_ms = first_event_ms - run.queued_ms
        self.chooser.first_event(run.row, run.unread_tokens, took_ms)
        if message.route:
            errors = self.errors_by_route.get(message.route)
            if errors is None:
                errors = self.errors_by_route[message.route] = ErrorQuantile(self.clock)
            errors.note(message.error_ms)

    def _forget(self) -> None:
        """Forget the oldest runs whose entries told no end."""
        limit_ms = self.clock.now_ms() - FORGET_MS
        while self.runs_by_key:
            key, run = next(iter(self.runs_by_key.items()))
            if run.began_ms > limit_ms:
                return
            del self.runs_by_key[key]
            self.chooser.ended(run.row)


class Placement:
    """Asks the owner of a service for engines.

    Args:
        link: Link to other entries.
        name: Name of this entry.
        owners: Chooses the owner.
        host: Chooses engines if this entry is the owner, or none answers.
    """

    def __init__(self, link: PeerLink, name: str, owners: Owners, host: PlacementHost):
        self.link = link
        self.name = name
        self.owners = owners
        self.host = host
        # Who was asked for each attempt under way.
        self.asked_by_key: dict[tuple[str, str], str] = {}

    async def place(self, message: PlaceRun) -> Placed:
        """Return the engine of an attempt."""
        owner = self.owners.owner(_matter(message.service))
        placed = None
        if owner is not None and owner.name != self.name:
            try:
                placed = await self.link.call(owner.address, message, CALL_TIMEOUT_MS)
            except PeerUnreachable as error:
                self.owners.exclude(owner, str(error))
        if not isinstance(placed, Placed):
            owner, placed = None, self.host.handle(message)
        if message.begin and placed.target and owner is not None:
            self.asked_by_key[message.request_id, placed.target] = owner.name
        return placed

    async def over(self, message: RunOver) -> None:
        """Tell how an attempt ended, to who chose its engine."""
        name = self.asked_by_key.pop((message.request_id, message.target), self.name)
        if name == self.name:
            self.host.handle(message)
        else:
            await curio.spawn(self._tell, name, message, daemon=True)

    async def _tell(self, name: str, message: RunOver) -> None:
        for row in self.owners.entries():
            if row.name == name:
                try:
                    await self.link.call(row.address, message, CALL_TIMEOUT_MS)
                except PeerUnreachable as error:
                    # The owner forgets the run by itself after a while.
                    events.log(events.PEER_LOST, peer=name, detail=str(error))


def _matter(service: str) -> str:
    return f"engines of {service}"
