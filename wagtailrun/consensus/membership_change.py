"""Joining, and replacement of a member that lost its disk."""

import attrs

from wagtailrun.consensus.founding import seed_addresses
from wagtailrun.consensus.member_state import MemberState
from wagtailrun.consensus.messages import (
    Configuration,
    FoundingQuery,
    Join,
    JoinReply,
    MemberInfo,
    name_of,
)
from wagtailrun.consensus.replication import Replication
from wagtailrun.consensus.state import Role
from wagtailrun.exceptions import PeerUnreachable
from wagtailrun.ports.link import Address

__all__ = ["MembershipChange"]

# Joining, removal of the lost identity and promotion take up to four steps in a row.
# With intervals of 500 ms, a replaced member did not catch up within the required 4 s.
JOIN_INTERVAL_MS = 250
CHANGE_INTERVAL_MS = 200
SEED_CALL_INTERVAL_MS = 1_000
# An identity that answered within this time is alive and is not replaced; five
# heartbeat intervals.
MEMBER_REPLACEMENT_TIMEOUT_MS = 1_000
# Longer than a process restart. A member that is removed although it is alive joins
# again by itself.
VOTER_REMOVAL_TIMEOUT_MS = 3_000
# A learner that does not answer for this long is removed; if alive, it joins again.
LEARNER_REMOVAL_TIMEOUT_MS = 30_000


class MembershipChange:
    """Changes the member set through the log, by one member at a time.

    Args:
        state: State of the member.
        replication: Replication, which appends the changes.
    """

    def __init__(self, state: MemberState, replication: Replication):
        self.state = state
        self.replication = replication
        self.joining_by_name: dict[str, Join] = {}
        self.learner_since_ms: dict[str, int] = {}
        self.leading_since_ms = 0
        self.next_seed_call_ms = 0
        # Addresses from join replies, so that a new member finds the leader from any
        # member that it can reach.
        self.discovered_addresses: set[Address] = set()

    # Joining

    async def run(self) -> None:
        """Send join requests while this member is not in its newest member set.

        With ``open_joining``, also send them after a while without a leader: a member
        that was removed while it was unreachable never receives the entry that removes
        it.
        """
        state = self.state
        while True:
            is_member = state.configuration.find(state.identity) is not None
            if not is_member or (state.open_joining and self._has_lost_leader()):
                await self._send_join_requests()
            elif self.replication.is_leader:
                await self._call_absent_seeds()
            await state.clock.sleep_ms(JOIN_INTERVAL_MS)

    async def _call_absent_seeds(self) -> None:
        """Tell seeds that are not in the cluster of it, at intervals.

        Seeds that have all lost their disks know only each other. Without such calls
        they would never join, and an operator could order them to found a cluster.
        """
        state = self.state
        now_ms = state.clock.now_ms()
        if now_ms < self.next_seed_call_ms:
            return
        self.next_seed_call_ms = now_ms + SEED_CALL_INTERVAL_MS
        members = {info.peer_address for info in state.configuration.members}
        seeds = {*state.peers, *state.bootstrap.values()} - members - {state.address}
        cluster = state.journal.member_record.cluster
        message = FoundingQuery(state.identity, cluster, str(state.address))
        for address in sorted(seeds):
            try:
                await state.link.call(address, message, state.timing.call_timeout_ms)
            except PeerUnreachable:
                continue  # It is called again.

    def _has_lost_leader(self) -> bool:
        """Whether this member has had no contact with a leader for too long."""
        state = self.state
        if state.role is Role.LEADER:
            return False
        last_contact_ms = (
            state.started_ms
            if state.last_leader_contact_ms is None
            else state.last_leader_contact_ms
        )
        return state.clock.now_ms() - last_contact_ms > VOTER_REMOVAL_TIMEOUT_MS

    async def _send_join_requests(self) -> None:
        state = self.state
        addresses = {
            *state.peers,
            *state.bootstrap.values(),
            *seed_addresses(state.journal.member_record.founding).values(),
            *self.discovered_addresses,
            *state.heard_leaders,
        }
        addresses.discard(state.address)
        request = Join(state.identity, str(state.address))
        for address in sorted(addresses):
            try:
                reply = await state.link.call(
                    address, request, state.timing.call_timeout_ms
                )
            except PeerUnreachable:
                state.cluster_addresses.discard(address)
                continue
            if isinstance(reply, JoinReply):
                self.discovered_addresses.update(map(Address.parse, reply.peers))
                if reply.cluster:
                    state.cluster_addresses.add(address)
                else:
                    state.cluster_addresses.discard(address)

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
        state = self.state
        name = name_of(request.identity)
        members = state.configuration.members
        seeds = seed_addresses(state.journal.member_record.founding)
        known = {info.name for info in members} | set(state.bootstrap) | set(seeds)
        if self.replication.is_leader and (state.open_joining or name in known):
            self.joining_by_name[name] = request
        peers = tuple(info.address for info in members)
        return JoinReply(state.identity, state.journal.member_record.cluster, peers)

    # Changes by the leader

    async def run_as_leader(self, term: int) -> None:
        """Append due changes while this member is the leader of ``term``.

        A change is appended only after the one before it is committed.
        """
        state = self.state
        self.joining_by_name.clear()
        self.learner_since_ms.clear()
        self.leading_since_ms = state.clock.now_ms()
        while self.replication.leads_term(term):
            index, configuration = state.journal.configuration_at(
                state.journal.last_index
            )
            if self.replication.is_leader and index <= state.commit_index:
                change = self._next_configuration(configuration)
                if change is not None:
                    await self.replication.append_configuration(change)
            await state.clock.sleep_ms(CHANGE_INTERVAL_MS)

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
        state = self.state
        voters = [info for info in current.members if info.voter]
        if not state.min_voters or len(voters) <= state.min_voters:
            return None
        leading_ms = state.clock.now_ms() - self.leading_since_ms
        info = max(voters, key=self._unresponsive_ms)
        if min(self._unresponsive_ms(info), leading_ms) < VOTER_REMOVAL_TIMEOUT_MS:
            return None
        return Configuration(tuple(m for m in current.members if m != info))

    def _may_join(self, current: Configuration, name: str, request: Join) -> bool:
        """Whether the identity is new and no live member has its name."""
        if current.find(request.identity) is not None or name == self.state.name:
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
        state = self.state
        since_ms = self.learner_since_ms.setdefault(
            learner.identity, state.clock.now_ms()
        )
        unresponsive_ms = self._unresponsive_ms(learner)
        progress = self.replication.progress_by_identity.get(learner.identity)
        others = tuple(info for info in current.members if info != learner)
        if unresponsive_ms >= LEARNER_REMOVAL_TIMEOUT_MS:
            waited_ms = state.clock.now_ms() - since_ms
            return Configuration(others) if waited_ms >= unresponsive_ms else None
        if progress is None or unresponsive_ms >= state.timing.lease_ms:
            return None
        if progress.match_index < state.commit_index:
            return None
        lost = [info for info in others if info.name == learner.name and info.voter]
        if lost:
            if self._unresponsive_ms(lost[0]) < MEMBER_REPLACEMENT_TIMEOUT_MS:
                return None
            return Configuration(tuple(m for m in current.members if m != lost[0]))
        return Configuration((*others, attrs.evolve(learner, voter=True)))

    def _unresponsive_ms(self, info: MemberInfo) -> int:
        """Return for how long ``info`` has not answered, by the local clock."""
        progress = self.replication.progress_by_identity.get(info.identity)
        if info.identity == self.state.identity:
            return 0
        if progress is None or progress.acknowledged_ms is None:
            return LEARNER_REMOVAL_TIMEOUT_MS
        return self.state.clock.now_ms() - progress.acknowledged_ms
