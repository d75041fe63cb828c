"""Raft member of the replicated log that the control members share."""

import random
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import attrs
import curio

from wagtailrun.clock import MS_PER_SECOND, Clock
from wagtailrun.consensus.election import Election
from wagtailrun.consensus.following import Follower
from wagtailrun.consensus.handover import LeaderHandover
from wagtailrun.consensus.journal import Journal
from wagtailrun.consensus.journal_records import snapshot_checksum
from wagtailrun.consensus.membership_change import MembershipChange
from wagtailrun.consensus.messages import (
    AppendEntries,
    Configuration,
    Entry,
    EntryKind,
    Handover,
    Join,
    ReadIndex,
    ReadIndexReply,
    SnapshotHeader,
    SnapshotPiece,
    VoteRequest,
)
from wagtailrun.consensus.replication import Replication
from wagtailrun.consensus.state import Role, Signal
from wagtailrun.consensus.timing import Timing
from wagtailrun.exceptions import (
    ConsensusUnavailable,
    DiskFault,
    MessageError,
    PeerUnreachable,
)
from wagtailrun.logs import events
from wagtailrun.ports.disk import Disk
from wagtailrun.ports.link import Address, PeerLink
from wagtailrun.ports.log import ReplicatedLog, StateMachine

__all__ = ["Member"]

SNAPSHOT_INTERVAL_ENTRIES = 256
# Large commands fill memory and slow recovery, so they cause an earlier snapshot.
SNAPSHOT_INTERVAL_BYTES = 4 * 1024 * 1024
# One command must fit into a peer frame of 8 MiB together with its envelope.
MAX_COMMAND_BYTES = 6 * 1024 * 1024
MAX_PENDING_PROPOSALS = 1_024
# Entries applied before the event loop gets a turn; more would delay heartbeats.
ENTRIES_PER_YIELD = 32
# A quarter of a heartbeat interval, so that a read is retried soon after an election.
READ_RETRY_DELAY_MS = 50


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


class Member(ReplicatedLog):
    """One member of the Raft cluster.

    The embedding program runs ``run`` in a task and passes every message that it
    receives on the consensus channel to ``handle``.

    Args:
        clock: Clock; its rate may be wrong by up to ``CLOCK_RATE_ERROR``.
        link: Link to the other members.
        disk: Disk whose files belong to this member alone.
        machine: State machine that committed commands are applied to.
        name: Name of the VM, unique among the members.
        address: Peer address of this member.
        peers: Peer addresses that a joining member contacts first.
        bootstrap: Names and addresses of the initial members, the same at each of
            them. Once the cluster exists, these names may still join.
        seed: Seed of the election timeouts and of the incarnation; random by default.
        timing: Timing, the same at all members.
        open_joining: Whether members with names outside ``bootstrap`` may join.
        min_voters: The leader removes a voter that has not answered for
            ``VOTER_REMOVAL_TIMEOUT_MS`` while there are more voters than this; 0
            disables the removal.
    """

    def __init__(
        self,
        clock: Clock,
        link: PeerLink,
        disk: Disk,
        machine: StateMachine,
        name: str,
        address: Address,
        *,
        peers: Sequence[Address] = (),
        bootstrap: Sequence[tuple[str, Address]] = (),
        seed: int | None = None,
        timing: Timing | None = None,
        open_joining: bool = False,
        min_voters: int = 0,
    ):
        self.clock = clock
        self.link = link
        self.machine = machine
        self.name = name
        self.address = address
        self.peers = tuple(peers)
        self.bootstrap = dict(bootstrap)
        self.random = random.SystemRandom() if seed is None else random.Random(seed)
        self.timing = timing or Timing()
        self.open_joining = open_joining
        self.min_voters = min_voters
        self.journal = Journal(disk)
        self.journal.on_durable = self._on_durable
        self.journal.on_fault = self.fail
        self.role = Role.FOLLOWER
        self.term = 0
        self.leader: str | None = None
        self.known_leader_address: Address | None = None
        # Local time of the last message from a leader.
        self.last_leader_contact_ms: int | None = None
        self.started_ms = clock.now_ms()
        self.commit_index = 0
        self.applied_index = 0
        self.commands_applied = 0
        self.is_taking_snapshot = False
        self.fault: Exception | None = None
        self.proposals_by_index: dict[int, Proposal] = {}
        self.commit_advanced = Signal()
        self.applied = Signal()
        # Serialises the handling of messages and the start of an election.
        self.lock = curio.Lock()
        self.is_open = False
        self.is_closed = False
        self.opened = Signal()
        self.failed = curio.Event()
        # A dict, unlike a set, cancels the tasks in the same order in every run.
        self.tasks: dict[curio.Task, None] = {}
        self.election = Election(self)
        self.follower = Follower(self)
        self.replication = Replication(self)
        self.membership = MembershipChange(self)
        self.handover = LeaderHandover(self)

    # Start and stop

    async def run(self) -> None:
        """Run the member until a fault stops it.

        Raises:
            DiskFault: If the disk failed; this instance cannot be started again.
            CorruptRecord: If the disk holds a damaged record.
        """
        try:
            await self.open()
            await self.failed.wait()
            await self.handover.run()
        except Exception as error:
            await self.fail(error)
        finally:
            await self.close()
        raise self.fault

    async def open(self) -> None:
        """Recover the state from disk and start the background tasks."""
        await self.journal.open(f"{self.name}#{self.random.getrandbits(64):016x}")
        self.term = self.journal.member_record.term
        snapshot = await self.journal.read_snapshot()
        if snapshot is not None:
            self.restore_snapshot(*snapshot)
        # Votes are withheld for a time after the start, which a slow recovery must
        # not shorten.
        self.started_ms = self.clock.now_ms()
        await self.spawn(self.journal.run)
        await self.spawn(self._apply_committed)
        await self.spawn(self.election.run)
        await self.spawn(self.membership.run)
        self.is_open = True
        await self.opened.notify()

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

    async def spawn(
        self, function: Callable[..., Awaitable[None]], *arguments: Any
    ) -> None:
        """Start a background task of this member; an error in it stops the member."""
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
        if isinstance(error, DiskFault):
            self.handover.prepare()
        self.role = Role.FOLLOWER
        events.log(events.MEMBER_FAULT, member=self.name, detail=repr(error))
        for proposal in self.proposals_by_index.values():
            proposal.error = self._unavailable(str(error), True)
            await proposal.done.set()
        await self.failed.set()
        await self.opened.notify()
        await self.applied.notify()

    # Interface to the embedding program

    async def propose(self, command: bytes, timeout_ms: int) -> Any:
        """Commit ``command`` and return the result of applying it.

        Args:
            command: At most ``MAX_COMMAND_BYTES`` bytes.
            timeout_ms: Time limit for commit and application, in milliseconds.

        Raises:
            ConsensusUnavailable: See ``ReplicatedLog.propose``.
            ValueError: If the command is too large.
        """
        if len(command) > MAX_COMMAND_BYTES:
            raise ValueError(
                f"the command has {len(command)} bytes; the limit is "
                f"{MAX_COMMAND_BYTES}"
            )
        if not self.is_leader:
            raise self._unavailable("this member is not the leader")
        if self.handover.refuses_proposals:
            raise self._unavailable("this member hands over its leadership")
        if len(self.proposals_by_index) >= MAX_PENDING_PROPOSALS:
            raise self._unavailable(
                f"{MAX_PENDING_PROPOSALS} proposals are already pending"
            )
        proposal = Proposal(self.term)
        index = self.journal.last_index + 1
        self.proposals_by_index[index] = proposal
        try:
            async with curio.timeout_after(timeout_ms / MS_PER_SECOND):
                await self.replication.append(EntryKind.COMMAND, command)
                await proposal.done.wait()
        except curio.TaskTimeout as error:
            raise self._unavailable(
                f"the command was not committed within {timeout_ms} ms", True
            ) from error
        except DiskFault as error:
            raise self._unavailable(str(error), True) from error
        finally:
            if self.proposals_by_index.get(index) is proposal:
                del self.proposals_by_index[index]
        if proposal.error is not None:
            raise proposal.error
        if not self.is_leader:
            raise self._unavailable("the leader lease expired", True)
        return proposal.result

    async def barrier(self, timeout_ms: int) -> None:
        """Return once the local state holds everything committed before the call.

        Raises:
            ConsensusUnavailable: If this member is not the leader with a valid lease.
        """
        target = self.commit_index
        try:
            async with curio.timeout_after(timeout_ms / MS_PER_SECOND):
                while self.is_leader and self.applied_index < target:
                    await self.applied.wait()
        except curio.TaskTimeout as error:
            raise self._unavailable(
                f"index {target} was not applied within {timeout_ms} ms"
            ) from error
        if not self.is_leader:
            raise self._unavailable("this member is not the leader")

    async def read_barrier(self, timeout_ms: int) -> None:
        """Return once the local state holds everything committed before the call.

        Unlike ``barrier``, it works at every member: a follower requests the leader's
        commit index and waits until it has applied that entry. Reads after it are
        linearizable.

        Raises:
            ConsensusUnavailable: If no leader with a valid lease answered in time.
        """
        try:
            async with curio.timeout_after(timeout_ms / MS_PER_SECOND):
                index = await self._leader_commit_index()
                while self.applied_index < index:
                    self._raise_if_stopped()
                    await self.applied.wait()
                # The state machine may belong to the next member by now.
                self._raise_if_stopped()
        except curio.TaskTimeout as error:
            raise self._unavailable(
                f"no leader confirmed the read within {timeout_ms} ms"
            ) from error

    def _raise_if_stopped(self) -> None:
        if self.fault is not None or self.is_closed:
            raise self._unavailable(f"this member has stopped: {self.fault}")

    async def _leader_commit_index(self) -> int:
        while True:
            self._raise_if_stopped()
            if self.is_leader:
                return self.commit_index
            address = self.known_leader_address
            if self.role is Role.FOLLOWER and address is not None:
                request = ReadIndex(self.identity)
                try:
                    reply = await self.link.call(
                        address, request, self.timing.call_timeout_ms
                    )
                except PeerUnreachable:
                    reply = None
                if isinstance(reply, ReadIndexReply) and reply.valid:
                    return reply.index
            await self.clock.sleep_ms(READ_RETRY_DELAY_MS)

    def _handle_read_index(self) -> ReadIndexReply:
        if self.is_leader:
            return ReadIndexReply(True, self.commit_index)
        return ReadIndexReply(False, 0)

    async def handle(self, message: Any) -> Any:
        """Return the reply to one message from another member.

        Raises:
            DiskFault: If a disk fault has stopped this member.
            MessageError: If the message is not a request of the consensus channel, or
                this member is closed.
        """
        while not (self.is_open or self.is_closed or self.fault is not None):
            await self.opened.wait()
        if self.fault is not None:
            # Without a traceback, which would grow with each message.
            raise self.fault.with_traceback(None)
        if self.is_closed:
            raise MessageError("this member is closed")
        match message:
            case AppendEntries():
                return await self.follower.handle_append(message)
            case SnapshotPiece():
                return await self.follower.handle_snapshot_piece(message)
            case VoteRequest():
                return await self.election.handle_vote(message)
            case Handover():
                return await self.handover.handle(message)
            case Join():
                return self.membership.handle_join(message)
            case ReadIndex():
                return self._handle_read_index()
        raise MessageError(
            f"{type(message).__name__} is not a request of the consensus channel"
        )

    @property
    def is_leader(self) -> bool:
        """Whether this member is the leader, with a valid lease.

        False until an entry of its own term is committed: until then the leader cannot
        know what earlier leaders have committed.
        """
        return (
            self.role is Role.LEADER
            and self.fault is None
            and self.commit_index >= self.replication.first_index_of_term
            and self.replication.lease_is_valid()
        )

    @property
    def leader_address(self) -> Address | None:
        """Peer address of the current leader, None if this member knows none."""
        if self.role is Role.LEADER:
            return self.address if self.is_leader else None
        return self.known_leader_address

    @property
    def identity(self) -> str:
        """Name and incarnation of this member."""
        return self.journal.member_record.identity

    @property
    def configuration(self) -> Configuration:
        """Newest member set in the log, committed or not."""
        return self.journal.configuration()

    # Used by the components of the member

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

    async def _on_durable(self) -> None:
        await self.replication.advance_commit()

    async def _apply_committed(self) -> None:
        while True:
            entry = None
            if self.applied_index < self.commit_index:
                entry = self.journal.entry(self.applied_index + 1)
            if entry is None:
                # Either all is applied, or a received snapshot is about to replace
                # the log and the next entry is missing.
                await self.commit_advanced.wait()
                continue
            await self._apply(entry)
            if self.applied_index % ENTRIES_PER_YIELD == 0:
                await curio.sleep(0)
            if self._snapshot_is_due() and not self.is_taking_snapshot:
                self.is_taking_snapshot = True
                # In its own task: on a slow disk it takes seconds, in which proposals
                # would otherwise stay unanswered.
                await self.spawn(self._take_snapshot)

    async def _apply(self, entry: Entry) -> None:
        result = None
        if entry.kind == EntryKind.COMMAND:
            self.commands_applied += 1
            result = self.machine.apply(self.commands_applied, entry.data)
        self.applied_index = entry.index
        # ``propose`` removes it, once it has what it returns: a leader that stops waits
        # for that.
        proposal = self.proposals_by_index.get(entry.index)
        if proposal is not None:
            proposal.result = result
            if proposal.term != entry.term:
                proposal.error = self._unavailable(
                    f"another leader replaced the command at index {entry.index}"
                )
            await proposal.done.set()
        await self.applied.notify()

    def _snapshot_is_due(self) -> bool:
        entries_since = self.applied_index - self.journal.snapshot_index
        large = self.journal.bytes_since_snapshot >= SNAPSHOT_INTERVAL_BYTES
        return entries_since >= SNAPSHOT_INTERVAL_ENTRIES or (
            large and entries_since > 0
        )

    async def _take_snapshot(self) -> None:
        index = self.applied_index
        data = self.machine.snapshot()
        header = SnapshotHeader(
            index=index,
            term=self.journal.term_at(index),
            commands=self.commands_applied,
            configuration=self.journal.configuration_at(index)[1],
            size=len(data),
            checksum=snapshot_checksum(data),
        )
        await self.journal.save_snapshot(header, data)
        self.is_taking_snapshot = False

    def _unavailable(
        self, detail: str, may_have_committed: bool = False
    ) -> ConsensusUnavailable:
        return ConsensusUnavailable(detail, may_have_committed=may_have_committed)
