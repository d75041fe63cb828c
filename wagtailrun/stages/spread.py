"""Delegates stage calls to other entries, which send them over their own links.

A call names all inputs of each of its pieces, which is 12 KB for 40 pieces. One entry
forms all calls of a stage service, which saturated its link of 5 Mbit/s.
"""

import itertools
from collections.abc import Callable, Sequence

import attrs

from wagtailrun.discovery.owners import Owners
from wagtailrun.exceptions import ConnectFailed, PeerUnreachable, TargetFailed, Verdict
from wagtailrun.ports.link import Address, PeerLink
from wagtailrun.stages.messages import CallMade, CarryCall, PieceMade, RequestPieces
from wagtailrun.stages.port import (
    UNWATCHED,
    CallWatch,
    PieceOutcome,
    StageClient,
    StageItem,
    StageReply,
)
from wagtailrun.targets.table import TargetRow

__all__ = ["DelegatingStageClient"]

# Largest additional delay of a reply that comes through another entry.
DELEGATION_SLACK_MS = 250


class DelegatingStageClient(StageClient):
    """Sends calls through other entries in the data centres of the targets.

    Args:
        client: Sends calls directly to targets.
        link: Link to other entries.
        name: Name of this entry.
        owners: Chooses the entry that sends the calls to a target.
        should_delegate: Returns whether to send calls through other entries.
        has_left: Returns whether the target of a name is known to leave.
    """

    def __init__(
        self,
        client: StageClient,
        link: PeerLink,
        name: str,
        owners: Owners,
        should_delegate: Callable[[], bool],
        has_left: Callable[[str], bool] = lambda name: False,
    ):
        self.client = client
        self.link = link
        self.name = name
        self.owners = owners
        self.should_delegate = should_delegate
        self.has_left = has_left
        # Number of calls that this entry is sending for other entries.
        self.running_for_peers = 0

    async def run(
        self,
        target: TargetRow,
        items: Sequence[StageItem],
        timeout_ms: int,
        watch: CallWatch = UNWATCHED,
    ) -> list[StageReply]:
        """Run pieces in one call; see ``StageClient``."""
        delegate = None
        if self.should_delegate():
            key = f"calls of {target.name}"
            delegate = self.owners.owner(key, data_centre=target.data_centre)
            delegate = self.owners.unless_own(delegate, self.name)
        if delegate is None:
            return await self.client.run(target, items, timeout_ms, watch)
        message = CarryCall(
            target=target.name,
            address=str(target.address),
            service=target.service,
            data_centre=target.data_centre,
            requests=_group_by_request(items),
            timeout_ms=timeout_ms,
        )
        watch.record_sent(delegate.address)
        try:
            answer = await self.link.call(
                delegate.address, message, timeout_ms + DELEGATION_SLACK_MS
            )
        except PeerUnreachable as error:
            if not error.alive:
                self.owners.exclude(delegate, str(error))
            if not error.sent:
                return await self.client.run(target, items, timeout_ms, watch)
            detail = f"entry {delegate.name} did not reply to a stage call: {error}"
            raise TargetFailed(detail) from error
        try:
            return _parse_replies(answer, len(items))
        except ConnectFailed as error:
            if error.confirmed:
                raise
            # Nothing was sent, and this entry may have a path.
            return await self.client.run(target, items, timeout_ms, watch)

    async def free(self, address: Address, handles: Sequence[str]) -> None:
        """Release results; see ``StageClient``."""
        await self.client.free(address, handles)

    async def run_for_peer(self, message: CarryCall) -> CallMade:
        """Send a call to a target for another entry.

        A target that is known here to leave gets none: the other entry may not know it
        yet.
        """
        if self.has_left(message.target):
            return CallMade(f"{message.target} leaves", Verdict.NOT_RUN)
        target = TargetRow(
            message.target,
            Address.parse(message.address),
            message.service,
            message.data_centre,
        )
        items = [item for each in message.requests for item in _expand_items(each)]
        self.running_for_peers += 1
        try:
            replies = await self.client.run(target, items, message.timeout_ms)
        except TargetFailed as error:
            connected = not isinstance(error, ConnectFailed)
            return CallMade(
                str(error),
                error.verdict,
                connected,
                error.retry_after_ms,
                confirmed=connected or error.confirmed,
            )
        finally:
            self.running_for_peers -= 1
        outcomes = tuple(PieceMade(reply.outcome, reply.handle) for reply in replies)
        return CallMade(pieces=outcomes)


def _group_by_request(items: Sequence[StageItem]) -> tuple[RequestPieces, ...]:
    """Return the items grouped so that the inputs of each request are named once."""

    def without_piece(item: StageItem) -> StageItem:
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
        for item, group in itertools.groupby(items, without_piece)
    )


def _expand_items(message: RequestPieces) -> list[StageItem]:
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


def _parse_replies(answer: CallMade, count: int) -> list[StageReply]:
    """Return the replies of a delegated call.

    Raises:
        TargetFailed: If the call failed or the reply is malformed.
    """
    if not isinstance(answer, CallMade):
        detail = f"expected CallMade in reply to a call, got {type(answer).__name__}"
        raise TargetFailed(detail)
    if answer.failure and not answer.connected:
        raise ConnectFailed(answer.failure, confirmed=answer.confirmed)
    if answer.failure:
        raise TargetFailed(
            answer.failure,
            verdict=_parse_verdict(answer.verdict),
            retry_after_ms=answer.retry_after_ms,
        )
    if len(answer.pieces) != count:
        detail = f"reply has {len(answer.pieces)} outcomes for {count} pieces"
        raise TargetFailed(detail)
    return [_parse_reply(piece) for piece in answer.pieces]


def _parse_verdict(text: str) -> Verdict:
    """Return a verdict; one that only another build knows proves nothing."""
    return Verdict(text) if text in list(Verdict) else Verdict.MAY_HAVE_RUN


def _parse_reply(piece: PieceMade) -> StageReply:
    """Return the reply about a piece; an outcome of another build is an error."""
    if piece.outcome not in list(PieceOutcome):
        return StageReply(PieceOutcome.ERROR)
    return StageReply(PieceOutcome(piece.outcome), piece.handle)
