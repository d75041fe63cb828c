"""Founding of a cluster by order of an operator, at the member that the order names."""

import attrs

from wagtailrun.consensus.member_state import MemberState
from wagtailrun.consensus.membership_change import BOOTSTRAP_TERM, MembershipChange
from wagtailrun.consensus.messages import (
    CODEC,
    Configuration,
    Entry,
    EntryKind,
    Join,
    JoinFounding,
    JoinFoundingReply,
    JoinReply,
    MemberInfo,
    MemberRecord,
    name_of,
)
from wagtailrun.exceptions import PeerUnreachable
from wagtailrun.logs import events
from wagtailrun.ports.link import Address

__all__ = ["FoundingOutcome", "OperatorFounding"]


class _Refused(Exception):
    """The cluster is not founded; the message says why."""


@attrs.frozen
class FoundingOutcome:
    """Outcome of an order to found a cluster.

    Attributes:
        cluster: Identifier of the cluster that this process founded, now or by an
            earlier order; empty if it has founded none.
        detail: Why it has founded none, or whom the cluster consists of.
    """

    cluster: str
    detail: str


class OperatorFounding:
    """Founds a cluster by order, and takes part in that of another member.

    Each member that takes part records the identifier of the cluster on its disk before
    it answers, and never takes part in another one. A cluster is founded only with a
    majority of the seeds, and all seeds have to name the same seeds. So of two orders,
    given to two members, one at most founds a cluster, whatever order the messages
    arrive in and whichever process ends between them. The seed that founds a cluster
    without an order always takes part, because it asks for no such record.

    Args:
        state: State of the member.
        membership: Knows the addresses of other members.
    """

    def __init__(self, state: MemberState, membership: MembershipChange):
        self.state = state
        self.membership = membership
        self._is_founding = False
        self._has_founded = False

    @property
    def seeds(self) -> tuple[Address, ...]:
        """Addresses of all seeds, with this member's own, sorted."""
        state = self.state
        named = set(state.bootstrap.values())
        return tuple(sorted(named or {*state.peers, state.address}))

    # At the member that the order names

    async def found(self, accepts_unreached: bool) -> FoundingOutcome:
        """Found a cluster of all seeds.

        Args:
            accepts_unreached: Whether to leave out seeds that do not answer, if a
                majority and the seed that founds without an order do. If one of those
                that are left out has a log, its data is lost.

        Raises:
            DiskFault: If the disk failed.
        """
        state = self.state
        if state.journal.last_index > 0:
            return self._outcome_with_log()
        if self._is_founding:
            return FoundingOutcome("", "another order to found is in progress here")
        self._is_founding = True
        try:
            self._check_record(state.identity)
            replies = await self._ask_all(accepts_unreached)
            members = [MemberInfo(state.identity, str(state.address), voter=True)]
            for address in sorted(replies):
                identity = await self._win(address, replies[address].identity)
                members.append(MemberInfo(identity, str(address), voter=True))
            await self._write_first_entry(Configuration(tuple(members)))
            self._has_founded = True
        except _Refused as refusal:
            return FoundingOutcome("", str(refusal))
        finally:
            self._is_founding = False
        return self._outcome_with_log()

    def _outcome_with_log(self) -> FoundingOutcome:
        state = self.state
        cluster = state.journal.member_record.cluster
        if not self._has_founded:
            return FoundingOutcome("", f"{state.name} belongs to cluster {cluster}")
        names = sorted(info.name for info in state.configuration.members)
        return FoundingOutcome(cluster, f"its members are {', '.join(names)}")

    async def _ask_all(self, accepts_unreached: bool) -> dict[Address, JoinReply]:
        """Return the replies of the other seeds, none of which has or had a log."""
        state, seeds = self.state, self.seeds
        if state.address not in seeds:
            raise _Refused(f"{state.name} is no seed: {_texts(seeds)}")
        if self.membership.discovered_addresses:
            found = sorted(self.membership.discovered_addresses)
            raise _Refused(f"another member has named the cluster of {_texts(found)}")
        replies: dict[Address, JoinReply] = {}
        unreached: dict[Address, object] = {}
        for address in sorted({*seeds, *state.peers} - {state.address}):
            reply = await self._call(address, Join(state.identity, str(state.address)))
            if not isinstance(reply, JoinReply):
                unreached[address] = reply
                continue
            self._check_reply(address, reply)
            if address in seeds:
                replies[address] = reply
        self._check_unreached(unreached, accepts_unreached)
        return replies

    def _check_unreached(
        self, unreached: dict[Address, object], accepts_unreached: bool
    ) -> None:
        if not unreached:
            return
        failures = ", ".join(f"{each} ({why})" for each, why in unreached.items())
        if not accepts_unreached:
            raise _Refused(f"no reply of {failures}; any of them may have a log")
        silent = unreached.keys() & set(self.seeds)
        if 2 * len(silent) >= len(self.seeds):
            raise _Refused(f"no majority of the seeds replied; no reply of {failures}")
        founder = self._founder_without_order()
        if silent and (founder is None or founder in silent):
            raise _Refused(
                f"no reply of {failures}; {founder or 'one of them'} founds a cluster "
                "by itself if it may, so it has to take part or to leave the seeds"
            )

    def _founder_without_order(self) -> Address | None:
        """Return the seed that may found a cluster by itself, None if unknown.

        It is the one with the smallest name, see ``MembershipChange``.
        """
        state = self.state
        addresses_by_name = state.bootstrap
        if not addresses_by_name and state.name == str(state.address):
            addresses_by_name = {str(address): address for address in self.seeds}
        if not addresses_by_name:
            return None
        return addresses_by_name[min(addresses_by_name)]

    def _check_reply(self, address: Address, reply: JoinReply) -> None:
        if reply.cluster not in ("", self.state.identity) or reply.peers:
            raise _Refused(
                f"{name_of(reply.identity)} at {address} takes part in cluster "
                f"{reply.cluster}"
            )
        for name, seed in self.state.bootstrap.items():
            if seed == address and name_of(reply.identity) != name:
                raise _Refused(f"{reply.identity} answers at {address}, not {name}")

    async def _win(self, address: Address, identity: str) -> str:
        """Return the identity of a seed that has recorded that it takes part."""
        state = self.state
        seeds = tuple(map(str, self.seeds))
        reply = await self._call(address, JoinFounding(state.identity, seeds))
        if not isinstance(reply, JoinFoundingReply):
            raise _Refused(f"{address} did not take part ({reply}); repeat the order")
        if not reply.accepted:
            raise _Refused(f"{address} refused to take part: {reply.detail}")
        if reply.identity != identity:
            raise _Refused(f"{address} was started again; repeat the order")
        return identity

    async def _call(self, address: Address, message: Join | JoinFounding) -> object:
        """Return the reply, or the error if there is none."""
        timeout_ms = self.state.timing.call_timeout_ms
        try:
            reply: object = await self.state.link.call(address, message, timeout_ms)
        except PeerUnreachable as error:
            return error
        return reply

    async def _write_first_entry(self, members: Configuration) -> None:
        state = self.state
        entry = Entry(1, BOOTSTRAP_TERM, EntryKind.CONFIGURATION, CODEC.encode(members))
        async with state.lock:
            # It may have joined a cluster meanwhile.
            self._check_record(state.identity)
            state.become_follower(BOOTSTRAP_TERM, None)
            record = attrs.evolve(
                state.journal.member_record, cluster=state.identity, term=BOOTSTRAP_TERM
            )
            await state.journal.save_record(record)
            await state.journal.wait_durable(await state.journal.append([entry]))
        names = sorted(info.name for info in members.members)
        events.log(events.CLUSTER_FOUNDED, member=state.name, members=names)

    # At the other seeds

    async def handle(self, request: JoinFounding) -> JoinFoundingReply:
        """Take part in the founding of a cluster, unless this member may not.

        Raises:
            DiskFault: If the disk failed.
        """
        state = self.state
        try:
            async with state.lock:
                if self._is_founding:
                    raise _Refused("it has an order to found a cluster itself")
                own = tuple(map(str, self.seeds))
                if own != request.seeds:
                    raise _Refused(f"its seeds are {', '.join(own)}")
                self._check_record(request.cluster)
                record = MemberRecord(state.identity, request.cluster)
                await state.journal.save_record(record)
        except _Refused as refusal:
            return JoinFoundingReply(state.identity, False, str(refusal))
        return JoinFoundingReply(state.identity, True, "")

    def _check_record(self, cluster: str) -> None:
        """Raise _Refused unless this member may take part in the founding.

        Its disk must hold nothing but its identity, and what an earlier order of the
        same founding has written.
        """
        state = self.state
        record = state.journal.member_record
        allowed = [MemberRecord(state.identity), MemberRecord(state.identity, cluster)]
        if cluster == state.identity:
            allowed.append(MemberRecord(state.identity, cluster, BOOTSTRAP_TERM))
        if state.journal.last_index > 0 or record not in allowed:
            part = record.cluster or "another founding or election"
            raise _Refused(f"{state.name} takes part in {part}")


def _texts(addresses: list[Address] | tuple[Address, ...]) -> str:
    return ", ".join(map(str, addresses))
