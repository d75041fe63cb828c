"""Tests of the account files on a disk that fails."""

from collections import Counter

import pytest

from tests.fake_disk import FakeDisk
from tests.test_accounts import DAY_MS, message_of, refusal_table
from wagtailrun.account_store import AccountStore
from wagtailrun.exceptions import DiskFull
from wagtailrun.virtual_time import run_virtual


async def counted(store):
    """Return the sums over the open and all closed periods."""
    sums = Counter()
    for period in (*store.digests_by_period, ""):
        for line in await store.lines(period):
            sums[line.source, line.key, line.column] += line.amount
    return sums


def test_fault_after_a_period_is_frozen_counts_nothing_twice():
    """Guards against rows of a closed period that the next one records again."""

    async def main(clock):
        disk = FakeDisk(clock)
        store = AccountStore(clock, disk, "control-0")
        await store.open()
        await store.handle(message_of(refusal_table(clock.wall_ms() - 3 * DAY_MS, 1)))
        before = await counted(store)
        period = store.closable()
        offer = await store.prepare_close(period)

        async def fail(name):
            raise DiskFull("injected")

        disk.remove = fail
        with pytest.raises(DiskFull):
            await store.close(period, offer.digest)
        assert await counted(store) == before
        assert await store.lines("") == []

    run_virtual(main)
