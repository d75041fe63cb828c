"""Tests of closing accounting periods through the replicated log."""

import zlib

import attrs
import pytest

from tests.fake_network import FakeNetwork
from tests.test_accounts import MemoryDisk, attempt, message_of, refusal_table
from wagtailrun.accounts.cells import Source
from wagtailrun.accounts.counters import Accounts
from wagtailrun.accounts.lines import digest_of, period_of
from wagtailrun.accounts.messages import PeriodContent
from wagtailrun.accounts.periods import (
    MAX_KEPT_PROPOSALS,
    MAX_UNDECIDED_PROPOSALS,
    ClosedPeriods,
)
from wagtailrun.accounts.store import AccountStore
from wagtailrun.consensus.local_log import LocalLog
from wagtailrun.control.period_closing import PeriodCloser
from wagtailrun.control.service import ControlService
from wagtailrun.exceptions import ConsensusUnavailable
from wagtailrun.logs import events
from wagtailrun.ports.link import Address
from wagtailrun.registry.state import Registry
from wagtailrun.virtual_time import run_virtual

MEMBERS = [Address("10.0.0.1", 1), Address("10.0.0.2", 1)]
THREE = [*MEMBERS, Address("10.0.0.3", 1)]
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


class Closers:
    """Control members with their accounts, whose commands are applied at once."""

    def __init__(self, clock, addresses):
        self.clock = clock
        self.network = FakeNetwork(clock)
        self.addresses = addresses
        self.registry = Registry()
        self.log = LocalLog(self.registry)
        self.disks = [MemoryDisk() for _ in addresses]
        self.closers = [None] * len(addresses)

    async def start(self, number):
        """Start a member, also one that has lost its disk."""
        address = self.addresses[number]
        others = [other for other in self.addresses if other != address]
        link = self.network.link(address)
        store = AccountStore(self.clock, self.disks[number], str(address), others, link)
        await store.open()
        self.network.handlers_by_address[address] = store.handle
        service = ControlService(self.clock, str(address), self.registry, self.log)
        self.closers[number] = PeriodCloser(service, store)

    async def start_all(self):
        for number in range(len(self.addresses)):
            await self.start(number)

    async def lose_disk(self, number):
        """Replace the disk of a member by an empty one."""
        self.disks[number] = MemoryDisk()
        await self.start(number)

    def stop(self, number):
        del self.network.handlers_by_address[self.addresses[number]]

    def digests(self, period):
        return [c.accounts.digests_by_period.get(period) for c in self.closers]


@pytest.mark.parametrize("addresses", [MEMBERS, THREE])
@pytest.mark.parametrize("late", [False, True])
def test_period_outlives_the_disk_of_the_leader(addresses, late):
    """Guards against lines of a closed period that only a lost disk had.

    The leader loses its disk after the command, before any other member has frozen the
    period. Rows that came later leave the others other lines, so that they cannot make
    the agreed ones; no later period could be closed.
    """

    async def main(clock):
        members = Closers(clock, addresses)
        await members.start_all()
        start_ms = clock.wall_ms()
        period = period_of(start_ms)
        await members.closers[0].accounts.handle(message_of(refusal_table(start_ms, 3)))
        await clock.sleep_ms(DAY_MS + 3_600_000)
        await members.closers[0].step()
        agreed = members.registry.closed_periods_by_name[period].digest
        if late:
            rows = message_of(refusal_table(start_ms, 5))
            await members.closers[1].accounts.handle(rows)
        await members.lose_disk(0)
        for _ in addresses:
            for closer in members.closers:
                await closer.step()
        return agreed, members.digests(period), await prepared_files(members.disks[1])

    agreed, digests, files = run_virtual(main)
    assert digests == [agreed] * len(addresses)
    assert files == []


@pytest.mark.parametrize("cause", ["not running", "an earlier build", "full disk"])
def test_period_is_closed_once_another_member_keeps_its_lines(cause, monkeypatch):
    """Guards against a command whose lines are on one disk, and one that never comes.

    An earlier build answers lines that are offered with an error. It is told in the log
    as long as it lasts.
    """
    seen = []
    monkeypatch.setattr(events, "log", lambda event, **fields: seen.append(event))

    async def main(clock):
        members = Closers(clock, MEMBERS)
        await members.start_all()
        start_ms = clock.wall_ms()
        await members.closers[0].accounts.handle(message_of(refusal_table(start_ms, 3)))
        await clock.sleep_ms(DAY_MS + 3_600_000)
        address, other = members.addresses[1], members.closers[1].accounts
        if cause == "not running":
            members.stop(1)
        elif cause == "an earlier build":

            async def handle(message):
                if isinstance(message, PeriodContent):
                    raise AttributeError("batches")
                return await other.handle(message)

            members.network.handlers_by_address[address] = handle
        else:
            other.disk_state.failed = True
        for _ in range(20):
            await members.closers[0].step()
        before = dict(members.registry.closed_periods_by_name)
        files = await prepared_files(members.disks[0])
        told = events.PERIOD_NOT_COPIED in seen
        await members.start(1)
        await members.closers[0].step()
        period = period_of(start_ms)
        return (
            before,
            len(files),
            told,
            period in members.registry.closed_periods_by_name,
        )

    before, files, told, is_closed = run_virtual(main)
    assert before == {}
    assert files == 1
    assert told
    assert is_closed


@pytest.mark.parametrize(
    "change",
    [
        {"digest": "0" * 64},
        {"digest": "../x"},
        {"period": "../../x"},
        {"period": "2026-13-77"},
        {"content": b"no lines"},
    ],
)
def test_lines_that_do_not_fit_their_digest_are_not_kept(change):
    """Guards against files that a member with a fault makes another one write."""

    async def main(clock):
        disk = MemoryDisk()
        store = AccountStore(clock, disk, "m")
        await store.open()
        content = zlib.compress(b"[]")
        good = PeriodContent("2026-01-01", digest_of(b"[]"), content)
        reply = await store.handle(attrs.evolve(good, **change))
        assert reply.digest == ""
        assert await disk.names() == []
        return (await store.handle(good)).digest == good.digest

    assert run_virtual(main)


def test_lines_that_others_propose_are_bounded():
    """Guards against a disk that the proposals of many leaders fill.

    Lines that were kept are kept again: their command may still be committed.
    """

    async def main(clock):
        disk = MemoryDisk()
        store = AccountStore(clock, disk, "m")
        await store.open()
        offers = [
            PeriodContent("2026-01-01", digest_of(text), zlib.compress(text))
            for text in (b"[%d]" % number for number in range(100))
        ]
        kept = [offer for offer in offers if (await store.handle(offer)).digest]
        again = [offer for offer in offers if (await store.handle(offer)).digest]
        return kept, again, offers, await prepared_files(disk)

    kept, again, offers, files = run_virtual(main)
    assert kept == again == offers[:MAX_KEPT_PROPOSALS]
    assert len(files) == MAX_KEPT_PROPOSALS


@pytest.mark.parametrize("is_offered_again", [False, True])
def test_lines_that_are_offered_again_are_not_removed(is_offered_again):
    """Guards against lines that a deposed leader removes and the next one proposes.

    The deposed one had made sure that they could not be agreed on before.
    """

    async def main(clock):
        disk = MemoryDisk()
        store = AccountStore(clock, disk, "m")
        await store.open()
        offer = PeriodContent("2026-01-01", digest_of(b"[]"), zlib.compress(b"[]"))
        assert (await store.handle(offer)).digest
        names = await store.closed.prepared(offer.period)
        if is_offered_again:
            assert (await store.handle(offer)).digest
        await store.closed.remove_prepared(names)
        return names, await prepared_files(disk)

    names, left = run_virtual(main)
    assert left == (names if is_offered_again else [])
    assert len(names) == 1


async def prepared_files(disk):
    names = await disk.names()
    return [name for name in names if name.startswith("accounts-prepared")]


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
    committed after all, else with new ones. The other member keeps what is proposed.
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
        keeper = AccountStore(clock, MemoryDisk(), str(other))
        await keeper.open()
        network.handlers_by_address[other] = keeper.handle
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
