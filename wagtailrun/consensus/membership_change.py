"""Cluster bootstrap, joining, and replacement of a member that lost its disk."""

from typing import TYPE_CHECKING

import attrs

from wagtailrun.consensus.messages import (
    CODEC,
    Configuration,
    Entry,
    EntryKind,
    Join,
    JoinReply,
    MemberInfo,
    name_of,
)
from wagtailrun.consensus.state import Role
from wagtailrun.exceptions import PeerUnreachable
from wagtailrun.logs import events
from wagtailrun.ports.link import Address

if TYPE_CHECKING:
    from wagtailrun.consensus.member import Member

__all__ = ["MembershipChange"]

# Joining, removal of the lost identity and promotion take up to four steps in a row.
# With intervals of 500 ms, a replaced member did not catch up within the required 4 s.
JOIN_INTERVAL_MS = 250
CHANGE_INTERVAL_MS = 200
# An identity that answered within this time is alive and is not replaced; five
# heartbeat intervals.
MEMBER_REPLACEMENT_TIMEOUT_MS = 1_000
# Longer than a process restart. A member that is removed although it is alive joins
# again by itself.
VOTER_REMOVAL_TIMEOUT_MS = 3_000
# A learner that does not answer for this long is removed; if alive, it joins again.
LEARNER_REMOVAL_TIMEOUT_MS = 30_000
BOOTSTRAP_TERM = 1


class MembershipChange:
    """Changes the member set through the log, by one member at a time.

    Args:
        member: Member that owns this component.
    """

    def __init__(self, member: "Member"):
        self.member = member
        self.joining_by_name: dict[str, Join] = {}
        self.learner_since_ms: dict[str, int] = {}
        self.leading_since_ms = 0
        # Addresses from join replies, so that a new member finds the leader from any
        # member that it can reach.
        self.discovered_addresses: set[Address] = set()

    # Joining and bootstrap

    async def run(self) -> None:
        """Send join requests while this member is not in its newest member set.

        With ``open_joining``, also send them after a while without a leader: a member
        that was removed while it was unreachable never receives the entry that removes
        it.
        """
        member = self.member
        while True:
            is_member = member.configuration.find(member.identity) is not None
            if not is_member or (member.open_joining and self._has_lost_leader()):
                await self._send_join_requests()
            await member.clock.sleep_ms(JOIN_INTERVAL_MS)

    def _has_lost_leader(self) -> bool:
        """Whether this member has had no contact with a leader for too long."""
        member = self.member
        if member.role is Role.LEADER:
            return False
        last_contact_ms = (
            member.started_ms
            if member.last_leader_contact_ms is None
            else member.last_leader_contact_ms
        )
        return member.clock.now_ms() - last_contact_ms > VOTER_REMOVAL_TIMEOUT_MS

    async def _send_join_requests(self) -> None:
        member = self.member
        addresses = {
            *member.peers,
            *member.bootstrap.values(),
            *self.discovered_addresses,
        }
        addresses.discard(member.address)
        request = Join(member.identity, str(member.address))
        replies_by_address: dict[Address, JoinReply] = {}
        for address in sorted(addresses):
            try:
                reply = await member.link.call(
                    address, request, member.timing.call_timeout_ms
                )
            except PeerUnreachable:
                continue
            if isinstance(reply, JoinReply):
                replies_by_address[address] = reply
                self.discovered_addresses.update(map(Address.parse, reply.peers))
        if self._may_bootstrap(replies_by_address):
            await self._bootstrap_cluster(replies_by_address)

    def _may_bootstrap(self, replies_by_address: dict[Address, JoinReply]) -> bool:
        """Whether this member may bootstrap the cluster.

        Only the member with the smallest bootstrap name may, once all others have
        replied and none belongs to a cluster. A member that lost its disk therefore
        cannot start a second cluster, because the others still belong to the first.
        """
        member = self.member
        bootstrap = member.bootstrap
        if member.name != min(bootstrap, default=None) or self._has_cluster():
            return False
        for name, address in bootstrap.items():
            reply = replies_by_address.get(address)
            if name == member.name:
                continue
            if reply is None or reply.cluster or name_of(reply.identity) != name:
                return False
        return True

    def _has_cluster(self) -> bool:
        # A kill between the two writes of a bootstrap leaves an empty log and the
        # identity of this member as the cluster. No other member knows that cluster
        # yet, so the bootstrap may be repeated.
        record = self.member.journal.member_record
        foreign = record.cluster not in ("", record.identity)
        return foreign or self.member.journal.last_index > 0

    async def _bootstrap_cluster(
        self, replies_by_address: dict[Address, JoinReply]
    ) -> None:
        member = self.member
        members = []
        for name, address in sorted(member.bootstrap.items()):
            own = name == member.name
            identity = member.identity if own else replies_by_address[address].identity
            members.append(MemberInfo(identity, str(address), voter=True))
        data = CODEC.encode(Configuration(tuple(members)))
        entry = Entry(1, BOOTSTRAP_TERM, EntryKind.CONFIGURATION, data)
        async with member.lock:
            record = member.journal.member_record
            if self._has_cluster():
                return
            member.become_follower(BOOTSTRAP_TERM, None)
            # The identity holds a random incarnation, so it is a unique cluster name.
            record = attrs.evolve(record, cluster=record.identity, term=BOOTSTRAP_TERM)
            await member.journal.save_record(record)
            await member.journal.wait_durable(await member.journal.append([entry]))
        names = sorted(member.bootstrap)
        events.log(events.CLUSTER_FOUNDED, member=member.name, members=names)

    # Join requests from other members

    def handle_join(self, request: Join) -> JoinReply:
        """Record the request if this member is the leader.

        Returns:
            Identity and cluster of this member, and the addresses of all members that
            it knows.

        Raises:
            ValueError: If its address is malformed; in the log, it would stop all
                members.
        """
        Address.parse(request.address)
        member = self.member
        name = name_of(request.identity)
        members = member.configuration.members
        known = {info.name for info in members} | set(member.bootstrap)
        if member.is_leader and (member.open_joining or name in known):
            self.joining_by_name[name] = request
        peers = tuple(info.address for info in members)
        return JoinReply(member.identity, member.journal.member_record.cluster, peers)

    # Changes by the leader

    async def run_as_leader(self, term: int) -> None:
        """Append due changes while this member is the leader of ``term``.

        A change is appended only after the one before it is committed.
        """
        member = self.member
        self.joining_by_name.clear()
        self.learner_since_ms.clear()
        self.leading_since_ms = member.clock.now_ms()
        while member.replication.leads_term(term):
            index, configuration = member.journal.configuration_at(
                member.journal.last_index
            )
            if member.is_leader and index <= member.commit_index:
                change = self._next_configuration(configuration)
                if change is not None:
                    await member.replication.append_configuration(change)
            await member.clock.sleep_ms(CHANGE_INTERVAL_MS)

    def _next_configuration(self, current: Configuration) -> Configuration | None:
        for info in current.members:
            if not info.voter:
                change = self._advance_learner(current, info)
                if change is not None:
                    return change
        while self.joining_by_name:
            name, request = self.joining_by_name.popitem()
            if self._may_join(current, name, request):
                return self._with_learner(current, name, request)
        return self._without_unresponsive_voter(current)

    def _without_unresponsive_voter(
        self, current: Configuration
    ) -> Configuration | None:
        """Return the member set without its longest unresponsive voter, or None.

        At least ``min_voters`` voters remain.

        A permanently lost VM would otherwise count in every quorum, so that the next
        loss could leave the cluster without a quorum.
        """
        member = self.member
        voters = [info for info in current.members if info.voter]
        if not member.min_voters or len(voters) <= member.min_voters:
            return None
        leading_ms = member.clock.now_ms() - self.leading_since_ms
        info = max(voters, key=self._unresponsive_ms)
        if min(self._unresponsive_ms(info), leading_ms) < VOTER_REMOVAL_TIMEOUT_MS:
            return None
        return Configuration(tuple(m for m in current.members if m != info))

    def _may_join(self, current: Configuration, name: str, request: Join) -> bool:
        """Whether the identity is new and no live member has its name."""
        if current.find(request.identity) is not None or name == self.member.name:
            return False
        return not any(
            info.name == name
            and self._unresponsive_ms(info) < MEMBER_REPLACEMENT_TIMEOUT_MS
            for info in current.members
        )

    def _with_learner(
        self, current: Configuration, name: str, request: Join
    ) -> Configuration:
        # A former learner of this name lost its disk before it was promoted.
        kept = [info for info in current.members if info.voter or info.name != name]
        learner = MemberInfo(request.identity, request.address, voter=False)
        return Configuration((*kept, learner))

    def _advance_learner(
        self, current: Configuration, learner: MemberInfo
    ) -> Configuration | None:
        """Return the change that removes or promotes a learner, or None to wait.

        The voter that it replaces is removed before the promotion. In the reverse
        order a cluster of three would temporarily have four voters, of which two may
        be permanently lost.
        """
        member = self.member
        since_ms = self.learner_since_ms.setdefault(
            learner.identity, member.clock.now_ms()
        )
        unresponsive_ms = self._unresponsive_ms(learner)
        progress = member.replication.progress_by_identity.get(learner.identity)
        others = tuple(info for info in current.members if info != learner)
        if unresponsive_ms >= LEARNER_REMOVAL_TIMEOUT_MS:
            waited_ms = member.clock.now_ms() - since_ms
            return Configuration(others) if waited_ms >= unresponsive_ms else None
        if progress is None or unresponsive_ms >= member.timing.lease_ms:
            return None
        if progress.match_index < member.commit_index:
            return None
        lost = [info for info in others if info.name == learner.name and info.voter]
        if lost:
            if self._unresponsive_ms(lost[0]) < MEMBER_REPLACEMENT_TIMEOUT_MS:
                return None
            return Configuration(tuple(m for m in current.members if m != lost[0]))
        return Configuration((*others, attrs.evolve(learner, voter=True)))

    def _unresponsive_ms(self, info: MemberInfo) -> int:
        """Return for how long ``info`` has not answered, by the local clock."""
        progress = self.member.replication.progress_by_identity.get(info.identity)
        if info.identity == self.member.identity:
            return 0
        if progress is None or progress.acknowledged_ms is None:
            return LEARNER_REMOVAL_TIMEOUT_MS
        return self.member.clock.now_ms() - progress.acknowledged_ms
