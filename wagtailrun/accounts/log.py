"""Log of received account rows, and the file that it is compacted into."""

from collections.abc import Iterable

from wagtailrun.accounts.files import join_records, split_records
from wagtailrun.exceptions import DiskFull
from wagtailrun.ports.disk import Disk

__all__ = ["LOG_NAME", "AccountLog"]

LOG_NAME = "accounts-log"
ROWS_NAME = "accounts-rows"
# The log is compacted into the file of rows before it grows beyond this size.
MAX_LOG_BYTES = 4 * 1024 * 1024


class AccountLog:
    """Records of packed batches: all rows of a time, and what was received since.

    Args:
        disk: Files of this member.
    """

    def __init__(self, disk: Disk):
        self.disk = disk
        # Size of the part of the log that is known to be synced.
        self.size = 0
        # Whether a process before this one may have written the end of the log.
        self._is_inherited = True
        # Size of the newest write that a full disk refused.
        self.refused_bytes = 0

    async def read(self) -> list[bytes]:
        """Return the records of both files, without a torn last one.

        Raises:
            CorruptRecord: If a file is damaged other than by a torn last record.
            DiskFault: If a file cannot be read.
        """
        rows = await self.disk.read(ROWS_NAME)
        log = await self.disk.read(LOG_NAME)
        return [
            *split_records(ROWS_NAME, rows, False)[0],
            *split_records(LOG_NAME, log, True)[0],
        ]

    async def repair(self) -> None:
        """Cut off what was written last without success, and make the rest durable.

        Must be called before the first ``append``, and again after one that failed.

        Raises:
            CorruptRecord: If the log is damaged other than by a torn last record.
            DiskFault: If the log cannot be written.
        """
        data = await self.disk.read(LOG_NAME)
        if self._is_inherited or self.size > len(data):
            _, whole = split_records(LOG_NAME, data, True)
        else:
            whole = self.size
        if whole < len(data):
            await self.disk.truncate(LOG_NAME, whole)
        if whole:
            # Records that were written and not synced may be on the disk or not.
            await self.disk.resync(LOG_NAME, min(self.size, whole))
        self.size = whole
        self._is_inherited = False

    def has_room_for(self, records: bytes) -> bool:
        """Whether ``records`` can be appended without a compaction."""
        return self.size + len(records) <= MAX_LOG_BYTES

    async def append(self, records: bytes) -> None:
        """Append the joined ``records`` durably."""
        try:
            await self.disk.append(LOG_NAME, records)
            await self.disk.sync(LOG_NAME)
        except DiskFull:
            self.refused_bytes = len(records)
            raise
        self.size += len(records)

    async def compact(self, records: Iterable[bytes]) -> None:
        """Write all rows to the file of rows, then empty the log.

        A crash between the two is harmless: the rows of the log merge to the same
        values.
        """
        data = join_records(records)
        try:
            await self.disk.write(ROWS_NAME, data)
            await self.disk.truncate(LOG_NAME, 0)
        except DiskFull:
            self.refused_bytes = len(data)
            raise
        self.size = 0
