"""Raft member of the replicated log that the control members share."""

import random
from collections.abc import Sequence
from typing import Any

import curio

from wagtailrun.clock import MS_PER_SECOND, Clock
from wagtailrun.consensus.election import Election
from wagtailrun.consensus.first_member_set import FirstMemberSet
from wagtailrun.consensus.following import Follower
from wagtailrun.consensus.founding import Founding, seeds_refusal
from wagtailrun.consensus.handover import LeaderHandover
from wagtailrun.consensus.journal import Journal
from wagtailrun.consensus.journal_records import snapshot_checksum
from wagtailrun.consensus.member_state import MemberState, Proposal
from wagtailrun.consensus.membership_change import MembershipChange
from wagtailrun.consensus.messages import (
    AppendEntries,
    Configuration,
    Entry,
    EntryKind,
    FoundingAccept,
    FoundingDecision,
    FoundingOrder,
    FoundingPrepare,
    FoundingQuery,
    Handover,
    Join,
    LeadershipQuery,
    ReadIndex,
    ReadIndexReply,
    SnapshotHeader,
    SnapshotPiece,
    VoteRequest,
)
from wagtailrun.consensus.operator_founding import FoundingOutcome, OperatorFounding
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
from wagtailrun.ports.log import NO_CLUSTER, ReplicatedLog, StateMachine

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
        bootstrap: Names and addresses of the seeds, the same at each of them, which
            found the cluster. Once the cluster exists, these names may still join.
        founds_by_majority: Whether this is the first start of all seeds, so that a
            majority of them may found the cluster. Otherwise all of them have to,
            because some may have lost the disk on which the cluster was founded.
        may_found_alone: Whether this member may be the only seed.
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
        founds_by_majority: bool = False,
        may_found_alone: bool = True,
        seed: int | None = None,
        timing: Timing | None = None,
        open_joining: bool = False,
        min_voters: int = 0,
    ):
        self.state = MemberState(
            clock=clock,
            link=link,
            machine=machine,
            journal=Journal(disk),
            name=name,
            address=address,
            peers=tuple(peers),
            bootstrap=dict(bootstrap),
            founds_by_majority=founds_by_majority,
            founding_refusal=seeds_refusal(name, address, bootstrap, may_found_alone),
            random=random.SystemRandom() if seed is None else random.Random(seed),
            timing=timing or Timing(),
            open_joining=open_joining,
            min_voters=min_voters,
            on_fault=self._prepare_handover,
        )
        self.is_taking_snapshot = False
        self.follower = Follower(self.state)
        self.replication = Replication(self.state)
        self.membership = MembershipChange(self.state, self.replication)
        self.election = Election(self.state, self.replication, self.membership)
        self.founding = Founding(self.state, self.election.campaign)
        self.first_member_set = FirstMemberSet(self.state, self.founding)
        self.operator_founding = OperatorFounding(self.state, self.founding)
        self.handover = LeaderHandover(self.state, self.replication, self.election)
        self.journal.on_durable = self.replication.advance_commit
        self.journal.on_fault = self.state.fail

    # Start and stop

    async def run(self) -> None:
        """Run the member until a fault stops it.

        Raises:
            DiskFault: If the disk failed; this instance cannot be started again.
            CorruptRecord: If the disk holds a damaged record.
        """
        try:
            await self.open()
            await self.state.failed.wait()
            await self.handover.run()
        except Exception as error:
            await self.fail(error)
        finally:
            await self.close()
        # Set before the member counts as failed.
        raise self.fault  # type: ignore[misc]

    async def open(self) -> None:
        """Recover the state from disk and start the background tasks."""
        state = self.state
        opened_ms = state.clock.now_ms()
        await self.journal.open(
            f"{state.name}#{state.random.getrandbits(64):016x}",
            self.founding.new_record(),
        )
        self.founding.acceptor.note_write(opened_ms)
        await self.founding.open()
        state.term = self.journal.member_record.term
        snapshot = await self.journal.read_snapshot()
        if snapshot is not None:
            state.restore_snapshot(*snapshot)
        # Votes are withheld for a time after the start, which a slow recovery must
        # not shorten.
        state.started_ms = state.clock.now_ms()
        events.log(
            events.MEMBER_RECOVERED,
            member=state.name,
            term=state.term,
            snapshot_index=self.journal.snapshot_index,
            last_index=self.journal.last_index,
            voters=len(state.configuration.voters()),
            read_ms=state.started_ms - opened_ms,
        )
        await state.spawn(self.journal.run)
        await state.spawn(self._apply_committed)
        await state.spawn(self.election.run)
        await state.spawn(self.election.restart_round.run)
        await state.spawn(self.membership.run)
        await state.spawn(self.founding.run)
        await state.spawn(self.first_member_set.run)
        state.is_open = True
        await state.opened.notify()

    async def close(self) -> None:
        """Cancel all tasks and wait until they end; no task starts afterwards."""
        await self.state.close()

    async def fail(self, error: Exception) -> None:
        """Stop the member because of ``error``; see ``MemberState.fail``."""
        await self.state.fail(error)

    def refuse_leadership(self) -> None:
        """Take over no leadership from now on; a member that leads goes on to do so."""
        self.election.refuses_leadership = True

    def revoke_founding(self) -> None:
        """Take no permission to found a cluster, should the disk be empty.

        An earlier member of the process may have promised or accepted on a disk that
        is lost since. A restarted process has no permission either.
        """
        self.founding.is_revoked = True

    def _prepare_handover(self, error: Exception) -> None:
        if isinstance(error, DiskFault):
            self.handover.prepare()

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
        if len(self.state.proposals_by_index) >= MAX_PENDING_PROPOSALS:
            raise self._unavailable(
                f"{MAX_PENDING_PROPOSALS} proposals are already pending"
            )
        proposal = Proposal(self.state.term)
        index = self.journal.last_index + 1
        self.state.proposals_by_index[index] = proposal
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
            if self.state.proposals_by_index.get(index) is proposal:
                del self.state.proposals_by_index[index]
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
        target = self.state.commit_index
        try:
            async with curio.timeout_after(timeout_ms / MS_PER_SECOND):
                while self.is_leader and self.state.applied_index < target:
                    await self.state.applied.wait()
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
                while self.state.applied_index < index:
                    self._raise_if_stopped()
                    await self.state.applied.wait()
                # The state machine may belong to the next member by now.
                self._raise_if_stopped()
        except curio.TaskTimeout as error:
            raise self._unavailable(
                f"no leader confirmed the read within {timeout_ms} ms"
            ) from error

    def _raise_if_stopped(self) -> None:
        if self.state.fault is not None or self.state.is_closed:
            raise self._unavailable(f"this member has stopped: {self.state.fault}")

    async def _leader_commit_index(self) -> int:
        while True:
            self._raise_if_stopped()
            if self.is_leader:
                return self.state.commit_index
            address = self.state.known_leader_address
            if self.state.role is Role.FOLLOWER and address is not None:
                request = ReadIndex(self.identity)
                try:
                    reply = await self.state.link.call(
                        address, request, self.state.timing.call_timeout_ms
                    )
                except PeerUnreachable:
                    reply = None
                if isinstance(reply, ReadIndexReply) and reply.valid:
                    return reply.index
            # Entries are applied as soon as a leader has committed its first one.
            limit_s = READ_RETRY_DELAY_MS / MS_PER_SECOND
            await curio.ignore_after(limit_s, self.state.applied.wait)

    def _handle_read_index(self) -> ReadIndexReply:
        if self.is_leader:
            return ReadIndexReply(True, self.state.commit_index)
        return ReadIndexReply(False, 0)

    async def handle(self, message: Any) -> Any:
        """Return the reply to one message from another member.

        Raises:
            DiskFault: If a disk fault has stopped this member.
            MessageError: If the message is not a request of the consensus channel, or
                this member is closed.
        """
        state = self.state
        while not (state.is_open or state.is_closed or state.fault is not None):
            await state.opened.wait()
        if state.fault is not None:
            # Without a traceback, which would grow with each message.
            raise state.fault.with_traceback(None)
        if state.is_closed:
            raise MessageError("this member is closed")
        match message:
            case AppendEntries():
                return await self.follower.handle_append(message)
            case SnapshotPiece():
                return await self.follower.handle_snapshot_piece(message)
            case VoteRequest():
                return await self.election.handle_vote(message)
            case LeadershipQuery():
                await self.election.restart_round.note_start(message)
                return self.election.restart_round.handle(message)
            case Handover():
                return await self.handover.handle(message)
            case Join():
                return self.membership.handle_join(message)
            case (
                FoundingQuery() | FoundingPrepare() | FoundingAccept() | FoundingOrder()
            ):
                return await self.founding.acceptor.handle_of_other(message)
            case FoundingDecision():
                return await self.founding.handle_decision(message)
            case ReadIndex():
                return self._handle_read_index()
        raise MessageError(
            f"{type(message).__name__} is not a request of the consensus channel"
        )

    @property
    def is_leader(self) -> bool:
        """Whether this member is the leader; see ``Replication.is_leader``."""
        return self.replication.is_leader

    @property
    def leadership(self) -> int:
        """Term that this member leads now, 0 if it is not the leader."""
        return self.state.term if self.is_leader else 0

    @property
    def leader_address(self) -> Address | None:
        """Peer address of the current leader, None if this member knows none."""
        if self.state.role is Role.LEADER:
            return self.state.address if self.is_leader else None
        return self.state.known_leader_address

    @property
    def leader_in_ms(self) -> int:
        """How soon a leader is expected after the start, 0 if that is not known."""
        return self.election.restart_round.leader_in_ms

    @property
    def cluster_detail(self) -> str:
        """Why this member belongs to no cluster; empty if it does, or has stopped."""
        return "" if self.fault is not None else self.founding.cluster_wait.detail

    async def found_cluster(self) -> FoundingOutcome:
        """Found a cluster by order of an operator; see ``OperatorFounding``."""
        if not self.is_open or self.is_closed or self.fault is not None:
            return FoundingOutcome("", "the member has not started or has stopped")
        return await self.operator_founding.found()

    # State of the member

    @property
    def name(self) -> str:
        """Name of the VM, unique among the members."""
        return self.state.name

    @property
    def identity(self) -> str:
        """Name and incarnation of this member."""
        return self.state.identity

    @property
    def configuration(self) -> Configuration:
        """Newest member set in the log, committed or not."""
        return self.state.configuration

    @property
    def peers(self) -> tuple[Address, ...]:
        """Peer addresses that a joining member contacts first; may be replaced."""
        return self.state.peers

    @peers.setter
    def peers(self, peers: Sequence[Address]) -> None:
        self.state.peers = tuple(peers)

    @property
    def journal(self) -> Journal:
        """Durable log, snapshot and member record."""
        return self.state.journal

    @property
    def role(self) -> Role:
        """Role in the current term."""
        return self.state.role

    @property
    def term(self) -> int:
        """Current term."""
        return self.state.term

    @property
    def commit_index(self) -> int:
        """Index of the newest entry known to be committed."""
        return self.state.commit_index

    @property
    def applied_index(self) -> int:
        """Index of the newest entry that the state machine has applied."""
        return self.state.applied_index

    @property
    def applied(self) -> Signal:
        """Signal that entries were applied, or that the member has stopped."""
        return self.state.applied

    @property
    def fault(self) -> Exception | None:
        """Error that stopped this member."""
        return self.state.fault

    @property
    def is_open(self) -> bool:
        """Whether the member has recovered its state."""
        return self.state.is_open

    @property
    def is_closed(self) -> bool:
        """Whether the member has been closed."""
        return self.state.is_closed

    # Committed entries and snapshots

    async def _apply_committed(self) -> None:
        state = self.state
        while True:
            entry = None
            if state.applied_index < state.commit_index:
                entry = self.journal.entry(state.applied_index + 1)
            if entry is None:
                # Either all is applied, or a received snapshot is about to replace
                # the log and the next entry is missing.
                await state.commit_advanced.wait()
                continue
            await self._apply(entry)
            if state.applied_index % ENTRIES_PER_YIELD == 0:
                await curio.sleep(0)
            if self._snapshot_is_due() and not self.is_taking_snapshot:
                self.is_taking_snapshot = True
                # In its own task: on a slow disk it takes seconds, in which proposals
                # would otherwise stay unanswered.
                await state.spawn(self._take_snapshot)

    async def _apply(self, entry: Entry) -> None:
        state = self.state
        result = None
        if entry.kind == EntryKind.COMMAND:
            state.commands_applied += 1
            result = state.machine.apply(state.commands_applied, entry.data)
        state.applied_index = entry.index
        # ``propose`` removes it, once it has what it returns: a leader that stops waits
        # for that.
        proposal = state.proposals_by_index.get(entry.index)
        if proposal is not None:
            proposal.result = result
            if proposal.term != entry.term:
                proposal.error = self._unavailable(
                    f"another leader replaced the command at index {entry.index}"
                )
            await proposal.done.set()
        await state.applied.notify()

    def _snapshot_is_due(self) -> bool:
        entries_since = self.state.applied_index - self.journal.snapshot_index
        large = self.journal.bytes_since_snapshot >= SNAPSHOT_INTERVAL_BYTES
        return entries_since >= SNAPSHOT_INTERVAL_ENTRIES or (
            large and entries_since > 0
        )

    async def _take_snapshot(self) -> None:
        index = self.state.applied_index
        data = self.state.machine.snapshot()
        header = SnapshotHeader(
            index=index,
            # Known for an entry that was applied.
            term=self.journal.term_at(index),  # type: ignore[arg-type]
            commands=self.state.commands_applied,
            configuration=self.journal.configuration_at(index)[1],
            size=len(data),
            checksum=snapshot_checksum(data),
        )
        await self.journal.save_snapshot(header, data)
        self.is_taking_snapshot = False

    def _unavailable(
        self, detail: str, may_have_committed: bool = False
    ) -> ConsensusUnavailable:
        if self.founding.cluster_wait.is_waiting:
            detail = f"{detail}; {self.name} {NO_CLUSTER}"
        return ConsensusUnavailable(detail, may_have_committed=may_have_committed)
