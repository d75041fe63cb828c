"""Files of closed accounting periods at a control member."""

from collections.abc import Iterable

from wagtailrun.accounts.cells import RowKey
from wagtailrun.accounts.files import (
    compress_in_chunks,
    decompress,
    join_records,
    split_records,
)
from wagtailrun.accounts.lines import (
    Line,
    digest_of,
    is_period,
    lines_from_bytes,
    period_of,
)
from wagtailrun.accounts.messages import PeriodContent
from wagtailrun.exceptions import CorruptRecord, DiskFull, MessageError
from wagtailrun.ports.disk import Disk

__all__ = ["MAX_KEPT_PROPOSALS", "ClosedPeriods"]

CLOSED_PREFIX = "accounts-closed-"
PREPARED_PREFIX = "accounts-prepared-"
# Thirteen months of days: a year's report plus a month to dispute it.
RETAINED_PERIODS = 400
# A period is a day in the form 2026-01-01.
PERIOD_CHARS = 10
# Files of proposed lines that a member keeps of one period; the oldest one gives way. A
# leader proposes lines once all proposals of before are applied or lost, so that only
# the newest can be agreed on. Offers of leaders that were deposed meanwhile may come
# late, but no more than there are control members.
MAX_KEPT_PROPOSALS = 16
# Digest and compressed lines.
RECORDS_PER_FILE = 2


class ClosedPeriods:
    """Lines of closed periods, which never change, and of those prepared for closing.

    Args:
        disk: Files of this member.
    """

    def __init__(self, disk: Disk):
        self.disk = disk
        self.digests_by_period: dict[str, str] = {}
        # Files of proposed lines in the order in which they were last proposed to this
        # process; those that it found are older.
        self._proposed: dict[str, None] = {}
        self._proposed_since: set[str] = set()
        # Size of the newest write that a full disk refused.
        self.refused_bytes = 0

    @property
    def last(self) -> str:
        """Newest closed period, or empty; all earlier periods count as closed."""
        return max(self.digests_by_period, default="")

    async def open(self) -> None:
        """Read the digests of the closed periods.

        Raises:
            CorruptRecord: If a file is damaged.
        """
        for name in await self.disk.names():
            if name.startswith(CLOSED_PREFIX):
                digest, _ = await self._read(name)
                self.digests_by_period[name.removeprefix(CLOSED_PREFIX)] = digest

    async def prepare(self, period: str, content: bytes) -> str:
        """Write the lines proposed for ``period``; return their digest.

        Lines that were prepared before are kept: the command that proposed them may
        still be committed.
        """
        digest = digest_of(content)
        name = _prepared_name(period, digest)
        self._note_proposal(name)
        await self._write(name, digest, content)
        return digest

    def _note_proposal(self, name: str) -> None:
        self._proposed.pop(name, None)
        self._proposed[name] = None
        self._proposed_since.add(name)

    async def proposed(self, period: str, digest: str) -> PeriodContent:
        """Return lines that this member has prepared, to be kept by another one."""
        _, content = await self._read(_prepared_name(period, digest))
        return PeriodContent(period, digest, content)

    async def keep(self, offered: PeriodContent) -> str:
        """Write the lines that another member proposes for a period, once.

        Returns:
            The digest of the lines of the period that this member has, as proposed or
            closed; empty if they are refused.
        """
        period, digest = offered.period, offered.digest
        if period in self.digests_by_period:
            return self.digests_by_period[period]
        name, names = _prepared_name(period, digest), await self._prepared_names(period)
        if name in names:
            self._note_proposal(name)
            return digest
        try:
            content = decompress(offered.content)
        except MessageError:
            return ""
        if digest_of(content) != digest or not is_period(period):
            return ""
        if len(names) >= MAX_KEPT_PROPOSALS:
            ages = [each for each in self._proposed if each in names]
            found = [each for each in names if each not in self._proposed]
            await self._remove_prepared([*found, *ages][0])
        return await self.prepare(period, content)

    async def content(self, period: str) -> PeriodContent:
        """Return the lines of a closed period, without digest if it is not closed."""
        digest = self.digests_by_period.get(period)
        if digest is None:
            return PeriodContent(period, "", b"")
        return PeriodContent(period, digest, await self.read_compressed(period))

    async def prepared(self, period: str) -> list[str]:
        """Return the files of the lines proposed for ``period``, by any leader."""
        self._proposed_since.clear()
        return await self._prepared_names(period)

    async def remove_prepared(self, names: Iterable[str]) -> None:
        """Remove files that ``prepared`` returned, none of which can be agreed on.

        A leader that was elected meanwhile may have offered the same lines again: these
        stay. The caller keeps lines from being offered until it is done.
        """
        for name in names:
            if name not in self._proposed_since:
                await self._remove_prepared(name)

    async def _remove_prepared(self, name: str) -> None:
        await self.disk.remove(name)
        self._proposed.pop(name, None)

    async def load_prepared(self, period: str, digest: str) -> bytes | None:
        """Return the prepared lines if they have ``digest``, else None."""
        names = await self.disk.names()
        # Earlier builds kept one file for each period, without the digest in its name.
        for name in (_prepared_name(period, digest), PREPARED_PREFIX + period):
            if name in names:
                offered, data = await self._read(name)
                if offered == digest:
                    return decompress(data)
        return None

    async def freeze(self, period: str, digest: str, content: bytes) -> None:
        """Write the agreed lines of ``period``."""
        await self._write(CLOSED_PREFIX + period, digest, content)
        self.digests_by_period[period] = digest

    async def remove_superseded(self) -> None:
        """Remove proposed lines of closed periods, and the periods beyond the limit."""
        for old in sorted(self.digests_by_period)[:-RETAINED_PERIODS]:
            await self.disk.remove(CLOSED_PREFIX + old)
            del self.digests_by_period[old]
        for name in await self.disk.names():
            if name.startswith(PREPARED_PREFIX):
                period = name.removeprefix(PREPARED_PREFIX)[:PERIOD_CHARS]
                if period in self.digests_by_period:
                    await self._remove_prepared(name)

    async def read_compressed(self, period: str) -> bytes:
        """Return the compressed lines of a closed period."""
        _, data = await self._read(CLOSED_PREFIX + period)
        return data

    async def lines(self, period: str) -> list[Line]:
        """Return the lines of a closed period."""
        return await lines_from_bytes(decompress(await self.read_compressed(period)))

    async def lines_of_rows(self, keys: Iterable[RowKey]) -> list[Line]:
        """Return every line of the rows ``keys`` in closed periods.

        A line is never recorded in a period before its row's own.
        """
        wanted = set(keys)
        if not wanted:
            return []
        first = period_of(min(key.start_ms for key in wanted))
        return [
            line
            for period in sorted(self.digests_by_period)
            if period >= first
            for line in await self.lines(period)
            if line.key in wanted
        ]

    async def _prepared_names(self, period: str) -> list[str]:
        start = PREPARED_PREFIX + period
        return [name for name in await self.disk.names() if name.startswith(start)]

    async def _read(self, name: str) -> tuple[str, bytes]:
        records, _ = split_records(name, await self.disk.read(name), False)
        if len(records) != RECORDS_PER_FILE:
            raise CorruptRecord(
                f"{name}: has {len(records)} records instead of {RECORDS_PER_FILE}; "
                "restore the file from a copy"
            )
        return records[0].decode(), records[1]

    async def _write(self, name: str, digest: str, content: bytes) -> None:
        data = join_records([digest.encode(), await compress_in_chunks(content)])
        try:
            await self.disk.write(name, data)
        except DiskFull:
            self.refused_bytes = len(data)
            raise


def _prepared_name(period: str, digest: str) -> str:
    return f"{PREPARED_PREFIX}{period}-{digest}"
