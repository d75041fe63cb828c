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
from wagtailrun.accounts.periods import MAX_KEPT_PROPOSALS, ClosedPeriods
from wagtailrun.accounts.store import AccountStore
from wagtailrun.codec import decode
from wagtailrun.consensus.local_log import LocalLog
from wagtailrun.control.period_closing import PeriodCloser
from wagtailrun.control.service import ControlService
from wagtailrun.exceptions import ConsensusUnavailable
from wagtailrun.logs import events
from wagtailrun.ports.link import Address
from wagtailrun.registry.messages import ClosePeriod
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


@pytest.mark.parametrize("restarts", [False, True])
def test_lines_that_others_propose_are_bounded(restarts):
    """Guards against a disk that the proposals of many leaders fill.

    The oldest give way, and those that a process found on its disk before others: an
    offer comes once all proposals of before are applied or lost.
    """

    async def main(clock):
        disk = MemoryDisk()
        store = AccountStore(clock, disk, "m")
        await store.open()
        offers = [
            PeriodContent("2026-01-01", digest_of(text), zlib.compress(text))
            for text in (b"[%d]" % number for number in range(100))
        ]
        first, again, last = offers[:10], offers[2], offers[10:24]
        for offer in [*first, again]:
            assert (await store.handle(offer)).digest == offer.digest
        if restarts:
            disk.restart()
            store = AccountStore(clock, disk, "m")
            await store.open()
        for offer in last:
            assert (await store.handle(offer)).digest == offer.digest
        files = await prepared_files(disk)
        digests = {offer.digest for offer in [*last, again]}
        return files, {digest for digest in digests if digest in "".join(files)}

    files, kept = run_virtual(main)
    assert len(files) == MAX_KEPT_PROPOSALS
    assert len(kept) >= 14 + (not restarts)


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
    """Log that does not commit a command which closes a period, nor later ones.

    As long as ``is_late``, their proposers do not get to know what becomes of them.
    """

    def __init__(self, machine):
        super().__init__(machine)
        self.pending = []
        self.is_late = True
        self.term = 1

    @property
    def leadership(self):
        return self.term

    async def propose(self, command, timeout_ms):
        if self.is_late and (self.pending or isinstance(decode(command), ClosePeriod)):
            self.pending.append(command)
            raise ConsensusUnavailable("no quorum in time", may_have_committed=True)
        return await super().propose(command, timeout_ms)

    async def commit(self):
        """Commit what was proposed, and all that follows."""
        self.is_late = False
        commands, self.pending = self.pending, []
        for command in commands:
            await super().propose(command, 0)

    def lose(self):
        """Let the next leader begin without what was proposed."""
        self.pending.clear()
        self.term += 1


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
        proposals = len(log.pending)
        await log.commit()
        for closer in closers:
            await closer.step()
        digests = [c.accounts.digests_by_period.get(period) for c in closers]
        names = await disks[0].names()
        agreed = registry.closed_periods_by_name[period].digest
        return proposals, agreed, digests, names

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
        members = Closers(clock, MEMBERS)
        members.log = log = LateLog(members.registry)
        await members.start_all()
        disk, others_disk = members.disks
        start_ms = clock.wall_ms()
        period = period_of(start_ms)
        await clock.sleep_ms(DAY_MS + 3_600_000)
        most = 0
        for count in range(1, 51):
            rows = message_of(refusal_table(start_ms, count))
            await members.closers[0].accounts.handle(rows)
            await members.closers[0].step()
            most = max(most, len(await prepared_files(disk)))
            if commits == "none of them":
                log.lose()
        files = await prepared_files(disk)
        if restarts:
            disk.restart()
            await members.start(0)
            await members.closers[0].step()
            assert len(await prepared_files(disk)) == len(files)
        if commits != "nothing":
            await log.commit()
            for _ in range(2):
                await members.closers[0].step()
        verdict = members.registry.closed_periods_by_name.get(period)
        digest, _ = members.digests(period)
        left = await prepared_files(disk)
        others = len(await prepared_files(others_disk))
        return most, files, others, left, verdict and verdict.digest, digest

    most, files, others, left, agreed, digest = run_virtual(main)
    assert most == len(files) == 1
    assert 1 <= others <= MAX_KEPT_PROPOSALS
    assert agreed == digest
    if commits == "nothing":
        assert (agreed, left) == (None, files)
    else:
        assert agreed is not None
        assert left == []
        if commits == "the first one":
            assert files[0].endswith(agreed)


def relayed(table):
    """Return rows that a member keeps without a copy at another one."""
    return attrs.evolve(message_of(table), relay=True)


async def with_late_rows(clock, addresses):
    """Return members that closed a day, and have late rows of it and of later days.

    Only the first one has the row of the second day: the next period is the second day
    to the first member, the third day to the others.
    """
    members = Closers(clock, addresses)
    await members.start_all()
    start_ms = clock.wall_ms()
    stores = [closer.accounts for closer in members.closers]
    for store in stores:
        await store.handle(relayed(refusal_table(start_ms, 3)))
    await clock.sleep_ms(DAY_MS + 3_600_000)
    for closer in members.closers:
        await closer.step()
    for store in stores:
        await store.handle(relayed(refusal_table(start_ms, 5)))
        await store.handle(relayed(refusal_table(start_ms + 2 * DAY_MS, 1)))
    await stores[0].handle(relayed(refusal_table(start_ms + DAY_MS, 1)))
    await clock.sleep_ms(2 * DAY_MS)
    return members, start_ms


async def recorded(members, start_ms):
    """Return what the periods of a member record of the cell of the first day."""
    closed = members.closers[-1].accounts
    lines = [
        line
        for period in closed.digests_by_period
        for line in await closed.lines(period)
        if line.key.start_ms == start_ms // 60_000 * 60_000
    ]
    return sum(line.amount for line in lines)


async def close_all(members):
    members.log = LocalLog(members.registry)
    for closer in members.closers:
        closer.service.log = members.log
    for _ in range(5):
        for closer in members.closers:
            await closer.step()


def test_late_rows_are_recorded_once_beside_a_command_of_the_leader_before():
    """Guards against a cell that two periods record, so that it is billed twice.

    The leader before has proposed to close a period, with late rows. The next leader
    has no row of that period, and the command is in its log, not yet applied.
    """

    async def main(clock):
        members, start_ms = await with_late_rows(clock, MEMBERS)
        log = LateLog(members.registry)
        for closer in members.closers:
            closer.service.log = log
        await members.closers[0].step()
        assert len(log.pending) == 1
        commands, log.pending, log.is_late = list(log.pending), [], False
        propose = log.propose

        async def propose_after(command, timeout_ms):
            # Applied before what the next leader proposes.
            while commands:
                await propose(commands.pop(0), timeout_ms)
            return await propose(command, timeout_ms)

        log.propose = propose_after
        await members.closers[1].step()
        await close_all(members)
        return await recorded(members, start_ms), len(
            members.registry.closed_periods_by_name
        )

    assert run_virtual(main) == (5, 3)


def test_late_rows_are_recorded_once_beside_a_leader_in_between():
    """Guards against a command of a leader that had lost its office as it prepared it.

    Another leader has closed a period with the same late rows meanwhile.
    """

    async def main(clock):
        members, start_ms = await with_late_rows(clock, THREE)
        log = LateLog(members.registry)
        log.is_late = False
        for closer in members.closers:
            closer.service.log = log
        handle = members.network.handlers_by_address[THREE[0]]

        async def handle_in_between(message):
            if isinstance(message, PeriodContent) and log.term == 1:
                log.term = 2
                await members.closers[0].step()
                log.term = 3
            return await handle(message)

        members.network.handlers_by_address[THREE[0]] = handle_in_between
        await members.closers[1].step()
        assert log.term == 3
        await close_all(members)
        return await recorded(members, start_ms), len(
            members.registry.closed_periods_by_name
        )

    assert run_virtual(main) == (5, 3)


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
