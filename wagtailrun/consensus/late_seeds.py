"""Seeds that the settings name only after the first start of a member."""

from collections.abc import Sequence

import attrs

from wagtailrun.consensus.founding_acceptor import FoundingAcceptor, seed_texts
from wagtailrun.consensus.member_state import MemberState
from wagtailrun.ports.link import Address

__all__ = ["LateSeeds", "seeds_refusal"]


def seeds_refusal(
    name: str,
    address: Address,
    seeds: Sequence[tuple[str, Address]],
    may_found_alone: bool,
) -> str:
    """Return why a member must not found a cluster with ``seeds``, empty if it may.

    Args:
        name: Name of the member.
        address: Peer address of the member.
        seeds: Names and addresses of the seeds.
        may_found_alone: Whether the member may be the only seed.
    """
    for position in (0, 1):
        values = [seed[position] for seed in seeds]
        for value in values:
            if values.count(value) > 1:
                return f"the seeds hold {value} more than once"
    own_address = dict(seeds).get(name)
    if own_address is None:
        return ""
    if own_address != address:
        return f"the seeds hold {name} at {own_address}, but it is at {address}"
    if len(seeds) == 1 and not may_found_alone:
        return "the seeds hold this member alone, but losses are to be tolerated"
    return ""


class LateSeeds:
    """Adopts the first seeds that name this member, if its permission is open.

    The permission then is to found the cluster with all seeds, as by an order, and not
    by a majority: the settings are read again while they change, and majorities of an
    earlier and a later list may be disjoint.

    Args:
        state: State of the member.
        acceptor: Durable part of the member in founding the cluster.
        may_found_alone: Whether the member may be the only seed.
    """

    def __init__(
        self, state: MemberState, acceptor: FoundingAcceptor, may_found_alone: bool
    ):
        self.state = state
        self.acceptor = acceptor
        self.may_found_alone = may_found_alone

    @property
    def _is_open(self) -> bool:
        acceptor = self.acceptor
        return acceptor.record.is_open and not acceptor.has_log and not acceptor.cluster

    async def adopt(self) -> None:
        """Record the seeds of the settings if they are named for the first time."""
        state = self.state
        # The settings hold addresses only, which have to be the names of the seeds.
        if not self._is_open or state.name != str(state.address):
            return
        seeds = [(str(address), address) for address in state.peers]
        state.founding_refusal = seeds_refusal(
            state.name, state.address, seeds, self.may_found_alone
        )
        if state.founding_refusal or state.address not in state.peers:
            return
        async with state.lock:
            # An order or the name of a cluster may have come meanwhile.
            if self._is_open:
                record = self.acceptor.record
                await self.acceptor.save(
                    attrs.evolve(record, seeds=seed_texts(seeds), by_majority=False)
                )
