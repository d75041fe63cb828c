"""Has other entries carry the calls that one entry forms, over their own links.

A call names all inputs of each of its pieces, which is 12 KB for 40 pieces. One entry
forms all calls of a stage service, and its link of 5 Mbit/s was full.
"""

import itertools
from collections.abc import Callable, Sequence

import attrs

from wagtailrun.discovery.owners import Owners
from wagtailrun.exceptions import ConnectFailed, PeerUnreachable, TargetFailed, Verdict
from wagtailrun.membership import TargetRow
from wagtailrun.ports.link import Address, PeerLink
from wagtailrun.stages.messages import CallMade, CarryCall, PieceMade, RequestPieces
from wagtailrun.stages.port import PieceOutcome, StageClient, StageItem, StageReply

__all__ = ["DelegatingStageClient"]

# An answer takes this much longer over another entry, at most.
CARRY_SLACK_MS = 250


class DelegatingStageClient(StageClient):
    """Makes calls through other entries in the data centres of the targets.

    Args:
        client: Calls targets from here.
        link: Link to other entries.
        name: Name of this entry.
        owners: Chooses the entry that carries the calls of a target.
        wanted: Returns whether calls are to be spread.
    """

    def __init__(
        self,
        client: StageClient,
        link: PeerLink,
        name: str,
        owners: Owners,
        wanted: Callable[[], bool],
    ):
        self.client = client
        self.link = link
        self.name = name
        self.owners = owners
        self.wanted = wanted
        # Calls of other entries under way here.
        self.running_for_peers = 0

    async def run(
        self, target: TargetRow, items: Sequence[StageItem], timeout_ms: int
    ) -> list[StageReply]:
        """Run pieces in one call; see ``StageClient``."""
        carrier = None
        if self.wanted():
            matter = f"calls of {target.name}"
            carrier = self.owners.owner(matter, data_centre=target.data_centre)
        if carrier is None or carrier.name == self.name:
            return await self.client.run(target, items, timeout_ms)
        message = CarryCall(
            target=target.name,
            address=str(target.address),
            service=target.service,
            data_centre=target.data_centre,
            requests=_by_request(items),
            timeout_ms=timeout_ms,
        )
        try:
            made = await self.link.call(
                carrier.address, message, timeout_ms + CARRY_SLACK_MS
            )
        except PeerUnreachable as error:
            self.owners.exclude(carrier, str(error))
            if not error.sent:
                return await self.client.run(target, items, timeout_ms)
            detail = f"{carrier.name} carries no call: {error}"
            raise TargetFailed(detail, verdict=Verdict.MAY_HAVE_RUN) from error
        return _replies(made, len(items))

    async def free(self, address: Address, handles: Sequence[str]) -> None:
        """Give up results; see ``StageClient``."""
        await self.client.free(address, handles)

    async def run_for_peer(self, message: CarryCall) -> CallMade:
        """Make a call for another entry."""
        target = TargetRow(
            message.target,
            Address.parse(message.address),
            message.service,
            message.data_centre,
        )
        items = [item for each in message.requests for item in _items(each)]
        self.running_for_peers += 1
        try:
            replies = await self.client.run(target, items, message.timeout_ms)
        except TargetFailed as error:
            connected = not isinstance(error, ConnectFailed)
            return CallMade(str(error), error.verdict, connected)
        finally:
            self.running_for_peers -= 1
        made = tuple(PieceMade(reply.outcome, reply.handle) for reply in replies)
        return CallMade(pieces=made)


def _by_request(items: Sequence[StageItem]) -> tuple[RequestPieces, ...]:
    """Return items with the inputs of each request named once."""

    def same(item: StageItem) -> StageItem:
        return attrs.evolve(item, piece=0)

    return tuple(
        RequestPieces(
            request_id=item.request_id,
            step=item.step,
            pieces=tuple(each.piece for each in group),
            remaining_ms=item.remaining_ms,
            key=item.key,
            inputs=item.inputs or (),
            has_inputs=item.inputs is not None,
        )
        for item, group in itertools.groupby(items, same)
    )


def _items(message: RequestPieces) -> list[StageItem]:
    return [
        StageItem(
            request_id=message.request_id,
            step=message.step,
            piece=piece,
            remaining_ms=message.remaining_ms,
            key=message.key,
            inputs=message.inputs if message.has_inputs else None,
        )
        for piece in message.pieces
    ]


def _replies(made: CallMade, count: int) -> list[StageReply]:
    """Return what a carried call brought.

    Raises:
        TargetFailed: If it failed, or the carrier answers something else.
    """
    if not isinstance(made, CallMade):
        detail = f"unexpected {type(made).__name__}"
        raise TargetFailed(detail, verdict=Verdict.MAY_HAVE_RUN)
    if made.failure and not made.connected:
        raise ConnectFailed(made.failure)
    if made.failure:
        raise TargetFailed(made.failure, verdict=Verdict(made.verdict))
    if len(made.pieces) != count:
        detail = f"{len(made.pieces)} pieces in place of {count}"
        raise TargetFailed(detail, verdict=Verdict.MAY_HAVE_RUN)
    return [StageReply(PieceOutcome(p.outcome), p.handle) for p in made.pieces]
