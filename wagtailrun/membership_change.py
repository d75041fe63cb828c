"""Founding a cluster, joining it, and replacing a member that lost its disk."""

from typing import TYPE_CHECKING

import attrs

from wagtailrun import events
from wagtailrun.consensus_messages import (
    CODEC,
    Configuration,
    Entry,
    EntryKind,
    Join,
    JoinReply,
    MemberInfo,
    name_of,
)
from wagtailrun.consensus_state import Role
from wagtailrun.exceptions import PeerUnreachable
from wagtailrun.ports.link import Address

if TYPE_CHECKING:
    from wagtailrun.consensus import Member

__all__ = ["MembershipChange"]

# Joining, dropping the lost identity and the promotion are up to four steps in a row;
# with 500 ms for each a replaced member missed a catch-up time of 4 s.
JOIN_INTERVAL_MS = 250
CHANGE_INTERVAL_MS = 200
# An identity that answered more recently than this is alive and is not replaced; five
# heartbeats.
REPLACE_AFTER_SILENCE_MS = 1_000
# Longer than a restart of a process takes; a member that was removed in error joins
# again by itself.
REMOVE_AFTER_SILENCE_MS = 3_000
# A learner that is silent for this long is dropped; it asks again if it lives.
DROP_LEARNER_AFTER_MS = 30_000
FOUNDING_TERM = 1


class MembershipChange:
    """Changes the configuration one member at a time, through the log.

    Args:
        member: Member that this is a part of.
    """

    def __init__(self, member: "Member"):
        self.member = member
        self.joining_by_name: dict[str, Join] = {}
        self.learner_since_ms: dict[str, int] = {}
        self.leading_since_ms = 0
        # Members that others named, so that a newcomer finds the leader from any seed.
        self.told_addresses: set[Address] = set()

    # A member without a configuration

    async def run(self) -> None:
        """Ask to be added while no configuration names this member, or no leader does.

        A member that was dropped while it was silent gets no entry that says so.
        """
        member = self.member
        while True:
            named = member.configuration.find(member.identity) is not None
            if not named or (member.open_joining and self._is_forgotten()):
                await self._ask_to_join()
            await member.clock.sleep_ms(JOIN_INTERVAL_MS)

    def _is_forgotten(self) -> bool:
        """Whether this member has heard no leader for too long."""
        member = self.member
        if member.role is Role.LEADER:
            return False
        heard_ms = (
            member.started_ms
            if member.last_leader_contact_ms is None
            else member.last_leader_contact_ms
        )
        return member.clock.now_ms() - heard_ms > REMOVE_AFTER_SILENCE_MS

    async def _ask_to_join(self) -> None:
        member = self.member
        addresses = {*member.peers, *member.bootstrap.values(), *self.told_addresses}
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
                self.told_addresses.update(map(Address.parse, reply.peers))
        if self._may_found(replies_by_address):
            await self._found(replies_by_address)

    def _may_found(self, replies_by_address: dict[Address, JoinReply]) -> bool:
        """Whether every named member is there and none has ever had a cluster.

        A member with an emptied disk cannot found a cluster beside the one that it
        lost: the others have a cluster.
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
        # A kill between the two writes of founding leaves the own identity as the
        # cluster and an empty log; nobody has heard of that cluster yet.
        record = self.member.journal.member_record
        foreign = record.cluster not in ("", record.identity)
        return foreign or self.member.journal.last_index > 0

    async def _found(self, replies_by_address: dict[Address, JoinReply]) -> None:
        member = self.member
        members = []
        for name, address in sorted(member.bootstrap.items()):
            own = name == member.name
            identity = member.identity if own else replies_by_address[address].identity
            members.append(MemberInfo(identity, str(address), voter=True))
        data = CODEC.encode(Configuration(tuple(members)))
        entry = Entry(1, FOUNDING_TERM, EntryKind.CONFIGURATION, data)
        async with member.lock:
            record = member.journal.member_record
            if self._has_cluster():
                return
            member.become_follower(FOUNDING_TERM, None)
            # The identity of the founder is random, so it can name the cluster.
            record = attrs.evolve(record, cluster=record.identity, term=FOUNDING_TERM)
            await member.journal.save_record(record)
            await member.journal.wait_durable(await member.journal.append([entry]))
        names = sorted(member.bootstrap)
        events.log(events.CLUSTER_FOUNDED, member=member.name, members=names)

    # Any member

    def handle_join(self, request: Join) -> JoinReply:
        """Note the request if this member leads; tell the own identity and cluster."""
        member = self.member
        name = name_of(request.identity)
        members = member.configuration.members
        known = {info.name for info in members} | set(member.bootstrap)
        if member.is_leader and (member.open_joining or name in known):
            self.joining_by_name[name] = request
        peers = tuple(info.address for info in members)
        return JoinReply(member.identity, member.journal.member_record.cluster, peers)

    # The leader

    async def run_as_leader(self, term: int) -> None:
        """Make one change after the other while this member leads in ``term``."""
        member = self.member
        self.joining_by_name.clear()
        self.learner_since_ms.clear()
        self.leading_since_ms = member.clock.now_ms()
        while member.replication.leads(term):
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
        return self._without_silent_voter(current)

    def _without_silent_voter(self, current: Configuration) -> Configuration | None:
        """Drop the voter that is silent for longest, if enough others remain.

        A VM that is gone for good would otherwise count in every quorum for ever, and
        the next loss would leave none.
        """
        member = self.member
        voters = [info for info in current.members if info.voter]
        if not member.min_voters or len(voters) <= member.min_voters:
            return None
        leading_ms = member.clock.now_ms() - self.leading_since_ms
        info = max(voters, key=self._silent_ms)
        if min(self._silent_ms(info), leading_ms) < REMOVE_AFTER_SILENCE_MS:
            return None
        return Configuration(tuple(m for m in current.members if m != info))

    def _may_join(self, current: Configuration, name: str, request: Join) -> bool:
        """Whether no living member has the name, or the identity itself is new."""
        if current.find(request.identity) is not None or name == self.member.name:
            return False
        return not any(
            info.name == name and self._silent_ms(info) < REPLACE_AFTER_SILENCE_MS
            for info in current.members
        )

    def _with_learner(
        self, current: Configuration, name: str, request: Join
    ) -> Configuration:
        # An earlier learner of the name lost its disk before it was promoted.
        kept = [info for info in current.members if info.voter or info.name != name]
        learner = MemberInfo(request.identity, request.address, voter=False)
        return Configuration((*kept, learner))

    def _advance_learner(
        self, current: Configuration, learner: MemberInfo
    ) -> Configuration | None:
        """Drop, wait for or promote a learner.

        The lost voter goes first, the promotion follows: with the order reversed, a
        cluster of three would count four voters in between, two of which may be lost
        for good.
        """
        member = self.member
        since_ms = self.learner_since_ms.setdefault(
            learner.identity, member.clock.now_ms()
        )
        silent_ms = self._silent_ms(learner)
        progress = member.replication.progress_by_identity.get(learner.identity)
        others = tuple(info for info in current.members if info != learner)
        if silent_ms >= DROP_LEARNER_AFTER_MS:
            waited_ms = member.clock.now_ms() - since_ms
            return Configuration(others) if waited_ms >= silent_ms else None
        if progress is None or silent_ms >= member.timing.lease_ms:
            return None
        if progress.match_index < member.commit_index:
            return None
        lost = [info for info in others if info.name == learner.name and info.voter]
        if lost:
            if self._silent_ms(lost[0]) < REPLACE_AFTER_SILENCE_MS:
                return None
            return Configuration(tuple(m for m in current.members if m != lost[0]))
        return Configuration((*others, attrs.evolve(learner, voter=True)))

    def _silent_ms(self, info: MemberInfo) -> int:
        """Return for how long ``info`` has not answered, by the own clock."""
        progress = self.member.replication.progress_by_identity.get(info.identity)
        if info.identity == self.member.identity:
            return 0
        if progress is None or progress.acknowledged_ms is None:
            return DROP_LEARNER_AFTER_MS
        return self.member.clock.now_ms() - progress.acknowledged_ms
