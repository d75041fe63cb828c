"""Tests of closing accounting periods through the replicated log."""

import pytest

from tests.fake_network import FakeNetwork
from tests.test_accounts import MemoryDisk, attempt, message_of, refusal_table
from wagtailrun.accounts.cells import Source
from wagtailrun.accounts.counters import Accounts
from wagtailrun.accounts.lines import period_of
from wagtailrun.accounts.periods import MAX_UNDECIDED_PROPOSALS, ClosedPeriods
from wagtailrun.accounts.store import AccountStore
from wagtailrun.consensus.local_log import LocalLog
from wagtailrun.control.period_closing import PeriodCloser
from wagtailrun.control.service import ControlService
from wagtailrun.exceptions import ConsensusUnavailable
from wagtailrun.ports.link import Address
from wagtailrun.registry.state import Registry
from wagtailrun.virtual_time import run_virtual

MEMBERS = [Address("10.0.0.1", 1), Address("10.0.0.2", 1)]
DAY_MS = 24 * 3_600_000


def test_every_member_freezes_the_agreed_lines():
    """Guards against members that report different totals for a closed period."""

    async def main(clock):
        network = FakeNetwork(clock)
        registry = Registry()
        log = LocalLog(registry)
        stores, closers = [], []
        for address in MEMBERS:
            others = [other for other in MEMBERS if other != address]
            link = network.link(address)
            store = AccountStore(clock, MemoryDisk(), str(address), others, link)
            await store.open()
            network.handlers_by_address[address] = store.handle
            stores.append(store)
            service = ControlService(clock, str(address), registry, log)
            closers.append(PeriodCloser(service, store))
        link = network.link(Address("10.0.0.9", 1))
        entry = Accounts(clock, link, Source("e", 1), list, MEMBERS[:1], 1_000)
        attempt(entry)
        assert await entry.hand_over()
        period = period_of(clock.wall_ms())
        await closers[0].step()
        assert not registry.closed_periods_by_name
        await clock.sleep_ms(DAY_MS + 3_600_000)
        await closers[0].step()
        for closer in closers:
            await closer.step()
        digests = [store.digests_by_period[period] for store in stores]
        lines = [await store.lines(period) for store in stores]
        return registry.closed_periods_by_name[period].digest, digests, lines

    agreed, digests, lines = run_virtual(main)
    assert digests == [agreed, agreed]
    assert lines[0] == lines[1] != []


class LateLog(LocalLog):
    """Log whose commands are committed after their proposers have given up."""

    def __init__(self, machine):
        super().__init__(machine)
        self.pending = []

    async def propose(self, command, timeout_ms):
        self.pending.append(command)
        raise ConsensusUnavailable("no quorum in time", may_have_committed=True)

    async def commit(self):
        for command in self.pending:
            await super().propose(command, 0)


@pytest.mark.parametrize("restarts", [False, True])
def test_period_is_frozen_with_lines_that_were_proposed_before_others(restarts):
    """Guards against a period whose agreed lines no member has any more.

    No later period could be closed then. The leader ends, or goes on, before it knows
    whether its first proposal was committed, and gets more rows before its second one.
    """

    async def main(clock):
        network = FakeNetwork(clock)
        registry = Registry()
        log = LateLog(registry)
        disks = [MemoryDisk() for _ in MEMBERS]

        async def start(number):
            address, other = MEMBERS[number], MEMBERS[1 - number]
            link = network.link(address)
            store = AccountStore(clock, disks[number], str(address), [other], link)
            await store.open()
            network.handlers_by_address[address] = store.handle
            service = ControlService(clock, str(address), registry, log)
            return PeriodCloser(service, store)

        closers = [await start(number) for number in range(2)]
        start_ms = clock.wall_ms()
        period = period_of(start_ms)
        await closers[0].accounts.handle(message_of(refusal_table(start_ms, 3)))
        await clock.sleep_ms(DAY_MS + 3_600_000)
        await closers[0].step()
        if restarts:
            disks[0].restart()
            closers[0] = await start(0)
        await closers[0].accounts.handle(message_of(refusal_table(start_ms, 5)))
        await closers[0].step()
        await log.commit()
        for closer in closers:
            await closer.step()
        digests = [c.accounts.digests_by_period.get(period) for c in closers]
        names = await disks[0].names()
        agreed = registry.closed_periods_by_name[period].digest
        return len(log.pending), agreed, digests, names

    proposals, agreed, digests, names = run_virtual(main)
    assert proposals == 2
    assert digests == [agreed, agreed]
    assert not [name for name in names if name.startswith("accounts-prepared")]


@pytest.mark.parametrize("commits", ["nothing", "none of them", "the first one"])
@pytest.mark.parametrize("restarts", [False, True])
def test_undecided_proposals_are_bounded(commits, restarts):
    """Guards against a file for each step of a leader that commits nothing.

    Once it does, the period is closed: with the lines of an earlier command if that is
    committed after all, else with new ones.
    """

    async def main(clock):
        network = FakeNetwork(clock)
        registry = Registry()
        log = LateLog(registry)
        disk = MemoryDisk()
        address, other = MEMBERS

        async def start(log):
            link = network.link(address)
            store = AccountStore(clock, disk, str(address), [other], link)
            await store.open()
            return PeriodCloser(
                ControlService(clock, str(address), registry, log), store
            )

        closer = await start(log)
        start_ms = clock.wall_ms()
        period = period_of(start_ms)
        await clock.sleep_ms(DAY_MS + 3_600_000)
        for count in range(1, 51):
            await closer.accounts.handle(message_of(refusal_table(start_ms, count)))
            await closer.step()
        files = await prepared_files(disk)
        if restarts:
            disk.restart()
            closer = await start(log)
            await closer.step()
            assert await prepared_files(disk) == files
        if commits == "the first one":
            await log.commit()
        if commits != "nothing":
            closer = PeriodCloser(
                ControlService(clock, str(address), registry, LocalLog(registry)),
                closer.accounts,
            )
            for _ in range(2):
                await closer.step()
        verdict = registry.closed_periods_by_name.get(period)
        digest = closer.accounts.digests_by_period.get(period)
        left = await prepared_files(disk)
        return files, left, verdict and verdict.digest, digest

    async def prepared_files(disk):
        names = await disk.names()
        return [name for name in names if name.startswith("accounts-prepared")]

    files, left, agreed, digest = run_virtual(main)
    assert len(files) == MAX_UNDECIDED_PROPOSALS
    assert agreed == digest
    if commits == "nothing":
        assert (agreed, left) == (None, files)
    else:
        assert agreed is not None
        assert left == []
        was_proposed = any(name.endswith(agreed) for name in files)
        assert was_proposed == (commits == "the first one")


def test_lines_that_an_earlier_build_has_prepared_are_found():
    """Guards against a period that nobody can freeze after an upgrade."""

    async def main(clock):
        disk = MemoryDisk()
        periods = ClosedPeriods(disk)
        digest = await periods.prepare("2026-01-01", b"[]")
        (name,) = await disk.names()
        disk.durable["accounts-prepared-2026-01-01"] = disk.durable.pop(name)
        found = await periods.load_prepared("2026-01-01", digest)
        other = await periods.load_prepared("2026-01-01", digest[::-1])
        await periods.freeze("2026-01-01", digest, b"[]")
        await periods.remove_superseded()
        return found, other, await disk.names()

    found, other, names = run_virtual(main)
    assert (found, other) == (b"[]", None)
    assert names == ["accounts-closed-2026-01-01"]
