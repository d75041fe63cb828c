"""State of the disk with the account files, and the recovery from a full one."""

from collections.abc import Awaitable, Callable

import curio

from wagtailrun.clock import Clock
from wagtailrun.exceptions import CorruptRecord, DiskFault, DiskFull
from wagtailrun.logs import events
from wagtailrun.ports.disk import Disk
from wagtailrun.process.disk_space import wait_for_space

__all__ = ["AccountDisk"]

# Space that must be free beyond the refused write. With just enough for that one, the
# next write would be refused a moment later.
SPACE_RESERVE_BYTES = 256 * 1024
FIRST_REPAIR_DELAY_MS = 500
MAX_REPAIR_DELAY_MS = 30_000


class AccountDisk:
    """Whether account rows can be written.

    A full disk is waited for. After any other fault the content of the files is not
    known, so nothing more is written until the process is restarted.

    Args:
        clock: Clock.
        disk: Files of this member.
        repair: Restores the files after a refused write.
    """

    def __init__(self, clock: Clock, disk: Disk, repair: Callable[[], Awaitable[None]]):
        self.clock = clock
        self.disk = disk
        self.repair = repair
        self.failed = False
        self._full: DiskFull | None = None
        self._needed_bytes = 0
        self._full_reported = curio.Event()

    @property
    def is_full(self) -> bool:
        """Whether a write was refused and there has been no space since."""
        return self._full is not None

    @property
    def refusal(self) -> str:
        """Why rows cannot be written now; empty if they can."""
        if self.failed:
            return "this member stopped writing after a disk failure; restart it"
        return "the disk of this member is full" if self.is_full else ""

    async def report_full(self, error: DiskFull, needed_bytes: int) -> None:
        """Let ``run`` wait until ``needed_bytes`` can be written."""
        self._full = error
        self._needed_bytes = needed_bytes
        await self._full_reported.set()

    def report_failure(self, error: DiskFault | CorruptRecord) -> None:
        """Stop writing until the process is restarted."""
        self.failed = True
        events.log(events.ACCOUNTS_DISK_FAILED, detail=str(error))

    async def run(self) -> None:
        """Wait for space after each report, and repair the files, until cancelled."""
        delay_ms = 0
        while True:
            await self._full_reported.wait()
            self._full_reported.clear()
            needed_bytes = self._needed_bytes + SPACE_RESERVE_BYTES
            # Set by the report.
            cause: DiskFull = self._full  # type: ignore[assignment]
            was_refused = await wait_for_space(
                self.clock, self.disk, needed_bytes, "accounts", cause
            )
            # Writes that are refused in spite of space are repeated ever more slowly.
            delay_ms = 0 if was_refused else min(2 * delay_ms, MAX_REPAIR_DELAY_MS)
            await self.clock.sleep_ms(delay_ms)
            delay_ms = max(delay_ms, FIRST_REPAIR_DELAY_MS)
            try:
                await self.repair()
            except DiskFull as error:
                await self.report_full(error, self._needed_bytes)
            except (CorruptRecord, DiskFault) as error:
                self.report_failure(error)
            if not self._full_reported.is_set():
                self._full = None
