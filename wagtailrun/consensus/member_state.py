"""State of a consensus member that its components share."""

import random
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import curio

from wagtailrun.clock import Clock
from wagtailrun.consensus.journal import Journal
from wagtailrun.consensus.messages import Configuration, SnapshotHeader, name_of
from wagtailrun.consensus.state import Role, Signal
from wagtailrun.consensus.timing import Timing
from wagtailrun.exceptions import ConsensusUnavailable
from wagtailrun.logs import events
from wagtailrun.ports.link import Address, PeerLink
from wagtailrun.ports.log import StateMachine

__all__ = ["MemberState", "Proposal"]


@attrs.define
class Proposal:
    """Command that this leader appended and has not applied yet.

    Attributes:
        term: Term in which the command was appended.
        done: Set once the entry at the index of the command is applied.
        result: Result of the state machine.
        error: Error for the caller if the entry belongs to another leader.
    """

    term: int
    done: curio.Event = attrs.field(factory=curio.Event)
    result: Any = None
    error: Exception | None = None


@attrs.define(eq=False)
class MemberState:
    """Term, role and indexes of a member, with its surroundings and its tasks.

    Attributes:
        clock: Clock; its rate may be wrong by up to ``CLOCK_RATE_ERROR``.
        link: Link to the other members.
        machine: State machine that committed commands are applied to.
        journal: Durable log, snapshot and member record.
        name: Name of the VM, unique among the members.
        address: Peer address of this member.
        peers: Peer addresses that a joining member contacts first.
        bootstrap: Addresses of the seeds by name.
        founds_by_majority: Whether a majority of the seeds may found the cluster, else
            only all of them.
        founding_refusal: Why this member must not found a cluster, empty if it may.
        random: Source of the election timeouts and of the incarnation.
        timing: Timing, the same at all members.
        open_joining: Whether members with names outside ``bootstrap`` may join.
        min_voters: The leader removes unresponsive voters while there are more voters
            than this; 0 disables the removal.
        role: Role in the current term.
        term: Current term.
        leader: Identity of the leader of the current term, None if it is unknown.
        known_leader_address: Peer address of a leader that is another member.
        last_leader_contact_ms: Local time of the last message from a leader.
        started_ms: Local time of the start, at the end of the recovery.
        commit_index: Index of the newest entry known to be committed.
        applied_index: Index of the newest entry that the state machine has applied.
        commands_applied: Number of commands that the state machine has applied.
        proposals_by_index: Proposals of this leader that are not answered yet.
        heard_cluster: Cluster that goes on without this member, as a message to it or
            to its lost identity has shown since its start.
        heard_leaders: Addresses of the leaders that sent such messages.
        cluster_addresses: Addresses at which a member of a cluster has answered the
            newest request to join.
        fault: Error that stopped this member.
        on_fault: Called with the first error, while the role is still unchanged.
        commit_advanced: Notified when there may be entries to apply.
        applied: Notified when entries were applied.
        lock: Serialises the handling of messages and the start of an election.
        is_open: Whether the member has recovered its state.
        is_closed: Whether the member starts no more tasks.
        opened: Notified when the member opened, failed or closed.
        failed: Set when a fault has stopped the member.
        tasks: Background tasks.
    """

    clock: Clock
    link: PeerLink
    machine: StateMachine
    journal: Journal
    name: str
    address: Address
    peers: tuple[Address, ...]
    bootstrap: dict[str, Address]
    founds_by_majority: bool
    founding_refusal: str
    random: random.Random
    timing: Timing
    open_joining: bool
    min_voters: int
    role: Role = Role.FOLLOWER
    term: int = 0
    leader: str | None = None
    known_leader_address: Address | None = None
    last_leader_contact_ms: int | None = None
    started_ms: int = attrs.field(init=False)
    commit_index: int = 0
    applied_index: int = 0
    commands_applied: int = 0
    proposals_by_index: dict[int, Proposal] = attrs.field(factory=dict)
    heard_cluster: str = ""
    heard_leaders: set[Address] = attrs.field(factory=set)
    cluster_addresses: set[Address] = attrs.field(factory=set)
    fault: Exception | None = None
    on_fault: Callable[[Exception], None] | None = None
    commit_advanced: Signal = attrs.field(factory=Signal)
    applied: Signal = attrs.field(factory=Signal)
    lock: curio.Lock = attrs.field(factory=curio.Lock)
    is_open: bool = False
    is_closed: bool = False
    opened: Signal = attrs.field(factory=Signal)
    failed: curio.Event = attrs.field(factory=curio.Event)
    # A dict, unlike a set, cancels the tasks in the same order in every run.
    tasks: dict[curio.Task, None] = attrs.field(factory=dict)

    @started_ms.default
    def _now_ms(self) -> int:
        return self.clock.now_ms()

    @property
    def identity(self) -> str:
        """Name and incarnation of this member."""
        return self.journal.member_record.identity

    @property
    def configuration(self) -> Configuration:
        """Newest member set in the log, committed or not."""
        return self.journal.configuration()

    def note_recipient(self, recipient: str, cluster: str, leader: str = "") -> bool:
        """Return whether a message is for this identity, else keep what it shows.

        A message for a lost identity shows that its cluster goes on without it.

        Args:
            recipient: Identity that the message is for.
            cluster: Cluster of its sender.
            leader: Address of the sender if it is a leader.
        """
        if recipient == self.identity:
            return True
        if name_of(recipient) == self.name:
            self.note_cluster(cluster, leader)
        return False

    def note_cluster(self, cluster: str, leader: str) -> None:
        """Keep that a cluster goes on without this member.

        Args:
            cluster: Cluster of the sender of a message.
            leader: Address of the sender if it is a leader.
        """
        self.heard_cluster = cluster
        if leader:
            self.heard_leaders.add(Address.parse(leader))

    # Term, commit index and state machine

    async def observe_term(self, term: int) -> None:
        """Become a follower in ``term``, reported by a peer, if it is newer."""
        if term > self.term:
            self.become_follower(term, None)

    def become_follower(self, term: int, leader: str | None) -> None:
        """Become a follower in ``term``; a newer term clears the known leader."""
        if self.role is Role.LEADER:
            events.log(events.STEPPED_DOWN, member=self.name, term=self.term)
        if term > self.term or leader is not None:
            self.leader = leader
            self.known_leader_address = None
        self.role = Role.FOLLOWER
        self.term = term

    async def commit(self, index: int) -> None:
        """Advance the commit index to ``index``; it never moves back."""
        if index > self.commit_index:
            self.commit_index = index
            await self.commit_advanced.notify()

    def restore_snapshot(self, header: SnapshotHeader, data: bytes) -> None:
        """Restore the state machine from a snapshot that is newer than its state.

        A closed member leaves the state machine to its successor.
        """
        if self.is_closed:
            return
        if header.index > self.applied_index:
            self.machine.restore(data)
            self.applied_index = header.index
            self.commands_applied = header.commands
        self.commit_index = max(self.commit_index, header.index)

    # Tasks and faults

    async def spawn(
        self, function: Callable[..., Awaitable[None]], *arguments: Any
    ) -> None:
        """Start a background task of the member; an error in it stops the member."""
        if self.is_closed:
            return

        async def guarded() -> None:
            try:
                await function(*arguments)
            except Exception as error:
                await self.fail(error)
            finally:
                self.tasks.pop(task, None)

        task = await curio.spawn(guarded, daemon=True)
        self.tasks[task] = None

    async def fail(self, error: Exception) -> None:
        """Record a fault, which ends all votes and acknowledgements of this instance.

        Pending proposals fail at once, so that their callers can try another member.
        """
        if self.fault is not None:
            return
        self.fault = error
        if self.on_fault is not None:
            self.on_fault(error)
        self.role = Role.FOLLOWER
        events.log(events.MEMBER_FAULT, member=self.name, detail=repr(error))
        for proposal in self.proposals_by_index.values():
            proposal.error = ConsensusUnavailable(str(error), may_have_committed=True)
            await proposal.done.set()
        await self.failed.set()
        await self.opened.notify()
        await self.applied.notify()

    async def close(self) -> None:
        """Cancel all tasks and wait until they end; no task starts afterwards."""
        self.is_closed = True
        self.role = Role.FOLLOWER
        await self.opened.notify()
        await self.journal.close()
        tasks = list(self.tasks)
        for task in tasks:
            await task.cancel(blocking=False)
        for task in tasks:
            await task.wait()
