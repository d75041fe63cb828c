"""Host of the consensus member of a process: starts it again after disk faults."""

from collections.abc import Callable
from typing import Any

import curio

from wagtailrun.clock import MS_PER_SECOND, Clock
from wagtailrun.consensus.member import Member
from wagtailrun.consensus.member_disk import MemberDisk
from wagtailrun.consensus.operator_founding import FoundingOutcome
from wagtailrun.exceptions import CorruptRecord, DiskFault, DiskFull
from wagtailrun.logs import events
from wagtailrun.messages import PeerError
from wagtailrun.ports.disk import Disk
from wagtailrun.ports.link import Address
from wagtailrun.ports.log import ReplicatedLog
from wagtailrun.process.disk_space import wait_for_space

__all__ = ["MemberHost"]

# Space that must be free beyond the refused write. With just enough for that one, the
# member would stop again a moment later.
SPACE_RESERVE_BYTES = 256 * 1024
# A stalled disk recovers within seconds; a broken one is tried at the longer interval.
FIRST_REOPEN_DELAY_MS = 500
MAX_REOPEN_DELAY_MS = 30_000
# A member that ran for this long had recovered, so the delays begin anew.
RECOVERED_AFTER_MS = 5_000
# One voter that does not answer, and the election of the next one.
HANDOVER_LIMIT_MS = 600


class MemberHost(ReplicatedLog):
    """Owns the disk and the member of a process, and replaces the member after faults.

    A new member reads the files of the previous one, so it has the same identity,
    votes and entries. The rule for each fault:

    - ``DiskFull``: wait until there is space for the refused write, and start again.
    - Other ``DiskFault``: start again after a delay. The journal syncs again what it
      reads, as a sync that failed may have left data that is not on the disk.
    - ``CorruptRecord``: raise it, or with ``discard_damaged_files`` remove all files,
      so that the member joins with a new identity. Files are never removed once the
      disk has been full: the others may have lost theirs in the same way.
    - Any other error: start again after a delay.

    Args:
        clock: Clock.
        disk: Disk whose files belong to the member alone.
        make_member: Returns a new member that uses the given disk.
        reset_machine: Returns the state machine to its initial state.
        folder: Name of the folder, for the log.
        discard_damaged_files: Whether damaged files are removed.
    """

    def __init__(
        self,
        clock: Clock,
        disk: Disk,
        make_member: Callable[[Disk], Member],
        reset_machine: Callable[[], None],
        folder: str,
        *,
        discard_damaged_files: bool = False,
    ):
        self.clock = clock
        self.disk = disk
        self.make_member = make_member
        self.reset_machine = reset_machine
        self.folder = folder
        self.discard_damaged_files = discard_damaged_files
        self._waits_for_space = False
        self._disk_was_full = False
        self._needed_bytes = SPACE_RESERVE_BYTES
        self._delay_ms = 0
        self._refuses_leadership = False
        # A former member may have promised or accepted on a disk that is lost since.
        self._may_found = True
        self._caught_up: Member | None = None
        self._start_member()

    def _start_member(self) -> None:
        self.member_disk = MemberDisk(self.disk)
        self.member = self.make_member(self.member_disk)
        if self._refuses_leadership:
            self.member.refuse_leadership()
        if not self._may_found:
            self.member.revoke_founding()
        self._started_ms = self.clock.now_ms()

    # Interface to the embedding program

    async def run(self) -> None:
        """Run the member, and the next one after each fault, until cancelled.

        Raises:
            CorruptRecord: If a file is damaged and must not be removed.
        """
        while True:
            await self._wait_after(await self._run_member())
            self.disk.close()
            self.reset_machine()
            previous = self.member
            if previous.state.is_open:
                self._may_found = False
            self._start_member()
            # Those who wait for the next entry there now wait at the new member.
            await previous.applied.notify()

    async def handle(self, message: Any) -> Any:
        """Return the reply to one message of another member.

        A member that has stopped answers at once; an exception for each message would
        fill the log for as long as the disk is full.
        """
        member = self.member
        if self.is_running:
            try:
                return await member.handle(message)
            except DiskFault as error:
                return PeerError("member-stopped", str(error))
        return PeerError("member-stopped", str(member.fault))

    @property
    def is_running(self) -> bool:
        """Whether the member takes part in the consensus."""
        return self.member.fault is None and not self.member.is_closed

    @property
    def is_disk_full(self) -> bool:
        """Whether the member has stopped until its disk has space."""
        return self._waits_for_space or isinstance(self.member.fault, DiskFull)

    @property
    def status(self) -> str:
        """State of the member in words, for operators."""
        if self.is_running:
            return "running"
        return "waiting for disk space" if self.is_disk_full else "stopped"

    @property
    def is_leader(self) -> bool:
        """Whether the member is the leader and its lease is valid now."""
        return self.member.is_leader

    @property
    def leadership(self) -> int:
        """Term that the member leads now, 0 if it is not the leader."""
        return self.member.leadership

    @property
    def leader_address(self) -> Address | None:
        """Peer address of the leader, None if the member knows none or has stopped."""
        return self.member.leader_address if self.is_running else None

    @property
    def cluster_detail(self) -> str:
        """Why the member belongs to no cluster; empty if it does, or has stopped."""
        return self.member.cluster_detail if self.is_running else ""

    async def propose(self, command: bytes, timeout_ms: int) -> Any:
        """Commit ``command`` and return the result of applying it."""
        return await self.member.propose(command, timeout_ms)

    async def barrier(self, timeout_ms: int) -> None:
        """Return once the local state holds everything committed before the call."""
        await self.member.barrier(timeout_ms)

    async def catch_up(self, timeout_ms: int) -> None:
        """Return once the local state is no older than before the member started.

        A member that starts has its log, but does not know yet how much of it is
        committed. Later its state follows that of the leader.

        Raises:
            ConsensusUnavailable: If no leader with a valid lease answered in time.
        """
        member = self.member
        if self._caught_up is not member:
            await member.read_barrier(timeout_ms)
            self._caught_up = member

    async def found_cluster(self) -> FoundingOutcome:
        """Found a cluster by order of an operator; see ``OperatorFounding``."""
        try:
            return await self.member.found_cluster()
        except DiskFault as error:
            return FoundingOutcome("", f"the disk failed: {error}")

    # Planned stop

    def refuse_leadership(self) -> None:
        """Take over no leadership from now on, as the process is about to stop.

        A member that leads goes on to do so.
        """
        self._refuses_leadership = True
        self.member.refuse_leadership()

    async def leave_leadership(self) -> None:
        """Hand over the leadership, if the member has it; takes a limited time.

        The member takes no more proposals, and commits those that it has taken.
        """
        self.refuse_leadership()
        limit_s = HANDOVER_LIMIT_MS / MS_PER_SECOND
        await curio.ignore_after(limit_s, self.member.handover.leave_leadership)

    # Faults

    async def _run_member(self) -> Exception:
        try:
            await self.member.run()
        except Exception as error:
            failure = error
        await self.member_disk.detach()
        self._needed_bytes = self.member_disk.refused_bytes + SPACE_RESERVE_BYTES
        if self.clock.now_ms() - self._started_ms >= RECOVERED_AFTER_MS:
            self._delay_ms = 0
        return failure

    async def _wait_after(self, error: Exception) -> None:
        """Return when the files may be opened again.

        Raises:
            CorruptRecord: If it is ``error`` and the files must not be removed.
        """
        if isinstance(error, DiskFull):
            await self._wait_for_space(error)
        elif isinstance(error, CorruptRecord):
            await self._recover_from_damage(error)
        elif isinstance(error, DiskFault):
            events.log(events.MEMBER_RESTARTED, detail=str(error))
        else:
            events.log(events.TASK_RESTARTED, task="member", detail=repr(error))
        # A disk that was full and has space again needs no further delay.
        if self._delay_ms or not isinstance(error, DiskFull):
            await self.clock.sleep_ms(max(self._delay_ms, FIRST_REOPEN_DELAY_MS))
        self._delay_ms = min(
            max(2 * self._delay_ms, FIRST_REOPEN_DELAY_MS), MAX_REOPEN_DELAY_MS
        )

    async def _recover_from_damage(self, error: CorruptRecord) -> None:
        if not self.discard_damaged_files:
            raise error
        if self._disk_was_full:
            # Kept for an operator; the member is tried again at growing delays.
            events.log(events.MEMBER_RESTARTED, detail=str(error))
            return
        events.log(events.LOG_FILES_DISCARDED, detail=str(error))
        await self._remove_files()

    async def _wait_for_space(self, error: DiskFull) -> None:
        self._disk_was_full = True
        self._waits_for_space = True
        try:
            was_refused = await wait_for_space(
                self.clock, self.disk, self._needed_bytes, self.folder, error
            )
        finally:
            self._waits_for_space = False
        if was_refused:
            # The disk was full and is not any more. Without a refused probe, writes
            # fail for another reason, and starts at full speed would not help.
            self._delay_ms = 0

    async def _remove_files(self) -> None:
        """Remove all files; a file that stays is found damaged again."""
        self._may_found = False
        try:
            for name in await self.disk.names():
                await self.disk.remove(name)
        except DiskFault as error:
            events.log(events.MEMBER_RESTARTED, detail=str(error))
