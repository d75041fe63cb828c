"""Tests of accounts at entries and control members, in virtual time."""

import itertools
import random
from collections import Counter

import attrs
import curio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.fake_network import FakeNetwork
from wagtailrun.accounts.cells import (
    MAX_CELL_VALUE,
    CellTable,
    Column,
    RequestOutcome,
    RowKey,
    Scope,
    Source,
    Usage,
    WorkKind,
)
from wagtailrun.accounts.counters import EXCHANGES_PER_HANDOVER, Accounts, HeldRows
from wagtailrun.accounts.lines import cost_rows, refusal_rows, request_rows, totals_of
from wagtailrun.accounts.log import LOG_NAME
from wagtailrun.accounts.messages import AccountRows, pack_batch, unpack_batch
from wagtailrun.accounts.refusal_minutes import COPY_TIMEOUT_MS
from wagtailrun.accounts.store import AccountStore
from wagtailrun.codec import decode, encode
from wagtailrun.exceptions import CorruptRecord, MessageError, RefusalReason
from wagtailrun.fleet.model import Price
from wagtailrun.logs import events
from wagtailrun.ports.disk import Disk
from wagtailrun.ports.link import Address
from wagtailrun.virtual_time import VirtualClock, run_virtual

DAY_MS = 24 * 3_600_000
INTERVAL_MS = 1_000
SOURCE = Source("entry-0", 7)
PERIOD = "2026-01-01"
NEXT_PERIOD = "2026-01-02"
PRICE = Price(token_in=2, token_out=6, engine_ms=1, call=10)
CONTROLS = [Address("10.0.0.1", 1), Address("10.0.0.2", 1)]
ENTRIES = [Address(f"10.0.1.{number}", 1) for number in range(1, 4)]


class Crash(BaseException):
    """Stands for the end of the process."""


class MemoryDisk(Disk):
    """Disk that loses unsynced data and can crash before and after each operation."""

    def __init__(self, seed=0):
        self.random = random.Random(seed)
        self.durable: dict[str, bytes] = {}
        self.appended: dict[str, bytes] = {}
        self.operations = 0
        self.crash_at = None

    def step(self):
        self.operations += 1
        if self.operations == self.crash_at:
            raise Crash

    def replace(self, name, data):
        """Change a file durably, with a possible crash before and after."""
        self.step()
        self.appended.pop(name, None)
        self.durable.pop(name, None)
        if data is not None:
            self.durable[name] = data
        self.step()

    def restart(self):
        """Keep durable data and a random prefix of the data appended since."""
        for name, data in self.appended.items():
            length = self.random.randint(0, len(data))
            self.durable[name] = self.durable.get(name, b"") + data[:length]
        self.appended.clear()
        self.crash_at = None

    async def probe(self, size):
        self.step()

    async def names(self):
        return sorted({*self.durable, *self.appended})

    async def read(self, name):
        return self.durable.get(name, b"") + self.appended.get(name, b"")

    async def append(self, name, data):
        self.step()
        self.appended[name] = self.appended.get(name, b"") + data
        self.step()

    async def sync(self, name):
        self.replace(name, await self.read(name))

    async def resync(self, name, offset):
        self.replace(name, await self.read(name))

    async def write(self, name, data):
        self.replace(name, data)

    async def truncate(self, name, size):
        self.replace(name, (await self.read(name))[:size])

    async def remove(self, name):
        self.replace(name, None)


class System:
    """Three entries and two control members on a fake network."""

    def __init__(self, clock, seed=1, **faults):
        self.clock = clock
        self.network = FakeNetwork(clock, seed, **faults)
        self.disks = [MemoryDisk(), MemoryDisk()]
        self.stores = []
        for number, address in enumerate(CONTROLS):
            others = [other for other in CONTROLS if other != address]
            link = self.network.link(address)
            disk = self.disks[number]
            store = AccountStore(clock, disk, f"control-{number}", others, link)
            self.stores.append(store)
            self.network.handlers_by_address[address] = store.handle
        self.entries = [self.entry(number) for number in range(3)]
        self.tasks = {}

    def entry(self, number):
        address = ENTRIES[number]
        others = [other for other in ENTRIES if other != address]
        source = Source(f"entry-{number}", 7)
        link = self.network.link(address)
        entry = Accounts(
            self.clock, link, source, lambda: others, CONTROLS, INTERVAL_MS, number
        )

        async def handle(message):
            return entry.handle(message)

        self.network.handlers_by_address[address] = handle
        return entry

    async def start(self):
        for store in self.stores:
            await store.open()
            self.tasks[store] = await curio.spawn(store.run, daemon=True)
        for entry in self.entries:
            self.tasks[entry] = await curio.spawn(entry.run, daemon=True)

    async def kill(self, number):
        """Stop an entry so that it sends no further message."""
        entry = self.entries[number]
        self.network.frozen.add(ENTRIES[number])
        await self.tasks[entry].cancel()

    async def minutes(self, store=0):
        lines = await self.stores[store].lines()
        return {(row["minute"], row["workspace"]) for row in refusal_rows(lines)}


async def refuse(entry, workspace="stockists", reason=RefusalReason.OVERLOADED):
    await entry.count_refusal(
        workspace, reason, pipeline="stockist-query", request_id="r-1"
    )


def attempt(entry, workspace="stockists", work=WorkKind.FIRST, tokens=10):
    usage = Usage(tokens_in=tokens, tokens_out=5, engine_ms=20)
    stage = {"service": "engines", "stage": "generate", "pipeline": "stockist-query"}
    entry.count_attempt(workspace, work, usage, PRICE, **stage)


keys = st.builds(
    RowKey,
    st.sampled_from(Scope),
    st.integers(0, 3),
    st.sampled_from("ab"),
    st.just(""),
    st.sampled_from("pq"),
)
columns = st.builds(
    Column, st.sampled_from("xy"), st.just("s"), st.just("first"), st.sampled_from("cd")
)
cells = st.tuples(keys, columns, st.integers(1, MAX_CELL_VALUE))
tables = st.lists(cells, max_size=12)


def table_of(items):
    table = CellTable()
    for key, column, value in items:
        table.merge(key, (column,), (value,))
    return table


def content(table):
    return set(table.cells())


@given(tables, tables, tables)
def test_merge_laws(one, two, three):
    """Guards against totals that depend on the order or number of merges."""
    results = []
    for order in itertools.permutations((one, two, three)):
        merged = CellTable()
        for items in (*order, order[0]):
            merged.merge_table(table_of(items))
        results.append(content(merged))
    assert all(result == results[0] for result in results)
    assert content(table_of(one + two + three)) == results[0]


@given(tables)
def test_batch_round_trip(items):
    """Guards against a cell that is changed by encoding and decoding."""
    table = table_of(items)
    histograms = {(5, "p"): (3, b"abc")}
    data = pack_batch(Source("e", 9), table, list(table.rows_by_key), histograms)
    message = decode(encode(AccountRows("e", 1, True, [data])))
    source, rows, unpacked = unpack_batch(message.batches[0])
    assert (source, unpacked) == (Source("e", 9), histograms)
    assert content(rows) == content(table)


@given(st.data())
def test_damaged_batch_is_refused(data):
    """Guards against another exception, or a wrong row, from a damaged batch."""
    table = table_of(data.draw(tables))
    batch = bytearray(pack_batch(Source("e", 9), table, list(table.rows_by_key)))
    for _ in range(data.draw(st.integers(1, 3))):
        batch[data.draw(st.integers(0, len(batch) - 1))] ^= data.draw(
            st.integers(1, 255)
        )
    try:
        _, rows, _ = unpack_batch(bytes(batch))
    except MessageError:
        return
    assert content(rows) == content(table)


def test_first_refusal_survives_kill_after_its_answer():
    """Guards against an answered refusal whose minute is lost with its entry."""

    async def main(clock, seed):
        system = System(clock, seed)
        await system.start()
        await clock.sleep_ms(100 * seed)
        before_ms = clock.now_ms()
        await refuse(system.entries[0], f"workspace-{seed}")
        assert clock.now_ms() - before_ms <= COPY_TIMEOUT_MS
        await system.kill(0)
        await clock.sleep_ms(40_000)
        for store in (0, 1):
            assert ("2026-01-01T00:00Z", f"workspace-{seed}") in await system.minutes(
                store
            )

    for seed in range(20):
        run_virtual(main, seed)


@pytest.mark.parametrize("partner_dies", [False, True])
def test_copies_survive_a_settled_exchange_and_a_lost_partner(partner_dies):
    """Guards against a copy that is dropped before a control member has the row."""

    async def main(clock):
        system = System(clock)
        await system.start()
        entry = system.entries[0]
        assert await entry.hand_over()
        for address in CONTROLS:
            system.network.cut(ENTRIES[0], address)
        await refuse(entry, "copied")
        attempt(entry)
        assert await entry.exchange()
        if partner_dies:
            await system.kill(ENTRIES.index(entry.partner))
            attempt(entry)
            assert await entry.exchange()
        await system.kill(0)
        await clock.sleep_ms(40_000)
        assert ("2026-01-01T00:00Z", "copied") in await system.minutes()
        (row,) = cost_rows(await system.stores[0].lines())
        assert row["calls"] == 1 + partner_dies

    run_virtual(main)


def test_overtaken_settled_message_drops_nothing():
    """Guards against a late message that clears rows which arrived before it."""
    held = HeldRows()
    first, second = refusal_table(0, 1), refusal_table(60_000, 1)
    held.merge_message(attrs.evolve(message_of(first), sequence=2), 0)
    held.merge_message(attrs.evolve(message_of(second), sequence=1, settled=True), 0)
    assert len(held.tables_by_source[SOURCE].rows_by_key) == 2
    held.merge_message(attrs.evolve(message_of(second), sequence=3, settled=True), 0)
    assert len(held.tables_by_source[SOURCE].rows_by_key) == 1


def test_only_the_first_refusal_of_a_minute_costs_a_message():
    """Guards against one message for each refusal of a burst."""

    async def main(clock):
        system = System(clock)
        answered_ms = []

        async def caller():
            await refuse(system.entries[0])
            answered_ms.append(clock.now_ms())

        for _ in range(2):
            for _ in range(25):
                await curio.spawn(caller, daemon=True)
            await clock.sleep_ms(1)
        await clock.sleep_ms(30)
        await refuse(system.entries[0])
        # All are answered when the copy of the first has ended, after a round trip.
        assert len(answered_ms) == 50 and len(set(answered_ms)) == 1
        return system.network.messages

    assert run_virtual(main) == 2  # One request and its reply.


@pytest.mark.parametrize("reachable", [0, 1])
def test_copy_waits_at_most_its_limit(reachable):
    """Guards against a refusal that waits too long for unreachable entries."""

    async def main(clock):
        system = System(clock)
        for number in range(1, 3 - reachable):
            system.network.cut(ENTRIES[0], ENTRIES[number])
        held = []
        for workspace in ("a", "b"):
            before_ms = clock.now_ms()
            await refuse(system.entries[0], workspace)
            assert clock.now_ms() - before_ms <= COPY_TIMEOUT_MS
        for entry in system.entries[1:]:
            for table in entry.held_rows.tables_by_source.values():
                held += [key.workspace for key in table.rows_by_key]
        return sorted(set(held))

    assert run_virtual(main) == (["a", "b"] if reachable else [])


def test_worst_case_of_a_crash_is_one_interval():
    """Guards against a crash that loses the costs of more than one interval."""

    async def main(clock, seed):
        system = System(clock, seed)
        await system.start()
        entry = system.entries[0]
        recorded_ms = []
        until_ms = 7_000 + 130 * seed
        while clock.now_ms() < until_ms:
            attempt(entry)
            recorded_ms.append(clock.now_ms())
            await clock.sleep_ms(37)
        await system.kill(0)
        await clock.sleep_ms(40_000)
        (row,) = cost_rows(await system.stores[0].lines())
        # The 50 ms cover two one-way delays of 5 ms, and that the timer of the next
        # exchange starts only after a reply.
        lost_from_ms = until_ms - INTERVAL_MS - 50
        assert row["calls"] >= sum(ms < lost_from_ms for ms in recorded_ms)
        assert row["calls"] <= len(recorded_ms)

    for seed in range(20):
        run_virtual(main, seed)


@pytest.mark.parametrize("seed", range(6))
def test_every_count_arrives_once_under_faults(seed):
    """Guards against counts lost or doubled by lost, repeated and late messages."""

    async def main(clock):
        system = System(clock, seed, loss=0.1, duplication=0.2, delay_ms=(1, 900))
        await system.start()
        rng = random.Random(seed)
        expected = 0
        for step in range(300):
            if step % 60 == 30:
                system.network.cut(rng.choice(ENTRIES), rng.choice(CONTROLS))
            if step % 60 == 59:
                system.network.heal()
            entry = rng.choice(system.entries)
            attempt(entry, work=rng.choice(list(WorkKind)))
            expected += 1
            await clock.sleep_ms(200)
        system.network.loss = 0.0
        await clock.sleep_ms(60_000)
        for store in system.stores:
            lines = await store.lines()
            assert sum(row["calls"] for row in cost_rows(lines)) == expected
            assert sorted(lines) == sorted(await system.stores[0].lines())

    run_virtual(main)


def test_rows_stay_until_their_hour_is_over_and_handed_over():
    """Guards against a row that is dropped too early, also in a long partition."""

    async def main(clock):
        system = System(clock)
        await system.start()
        for step in range(24):
            if step == 6:
                for address, control in itertools.product(ENTRIES, CONTROLS):
                    system.network.cut(address, control)
            if step == 22:
                system.network.heal()
            attempt(system.entries[0])
            await clock.sleep_ms(300_000)
        rows = cost_rows(await system.stores[0].lines(), by=("hour",))
        assert [row["calls"] for row in rows] == [12, 12]

    run_virtual(main)


def test_planned_stop_hands_over_everything():
    """Guards against own or held rows that are lost at a planned stop."""

    async def main(clock):
        system = System(clock)
        await refuse(system.entries[0], "own")
        holder = next(
            entry for entry in system.entries if entry.held_rows.tables_by_source
        )
        attempt(holder, "mine")
        for address in CONTROLS + ENTRIES:
            system.network.cut(ENTRIES[system.entries.index(holder)], address)
        assert not await holder.hand_over_all(30_000)
        system.network.heal()
        assert await holder.hand_over_all(5_000)
        assert not holder.held_rows.tables_by_source
        lines = await system.stores[0].lines()
        assert {line.key.workspace for line in lines} == {"own", "mine"}

        for address in CONTROLS:
            system.network.cut(ENTRIES[0], address)
        system.entries[0].handle(message_of(refusal_table(0, 1), Source("gone", 1)))
        attempt(system.entries[0], "cut-off")
        assert await system.entries[0].hand_over_all(20_000)
        assert not system.entries[0].held_rows.tables_by_source
        others = [entry.held_rows.tables_by_source for entry in system.entries[1:]]
        held = [table for tables in others for table in tables.values()]
        workspaces = {key.workspace for table in held for key in table.rows_by_key}
        assert workspaces >= {"cut-off", "stockists"}

    run_virtual(main)


def test_memory_of_an_entry_is_given_back():
    """Guards against rows that stay in the memory of an entry after their hour."""

    async def main(clock):
        system = System(clock)
        await system.start()
        entry = system.entries[0]
        for _ in range(5):
            await refuse(entry)
            entry.count_request(
                "stockists", RequestOutcome.ATTAINED, 50, pipeline="stockist-query"
            )
            await clock.sleep_ms(3_600_000)
        # Rows stay for two minutes after their hour, in case the wall clock steps back.
        await clock.sleep_ms(180_000)
        assert not entry.table.rows_by_key and not entry.histograms_by_key
        assert not entry.first_refusals.copies_by_key
        assert not any(other.held_rows.tables_by_source for other in system.entries)
        latency = system.stores[0].latency("stockist-query")
        assert latency.get_total_count() == 5
        (row,) = request_rows(await system.stores[0].lines())
        assert (row["attained"], row["refused"], row["attainment"]) == (5, 5, 0.5)

    run_virtual(main)


def test_totals_can_be_broken_down():
    """Guards against a total that differs from the sum of its parts."""

    async def main(clock):
        system = System(clock)
        for entry, work in itertools.product(system.entries, WorkKind):
            attempt(entry, "stockists", work)
            attempt(entry, "mill-clerks", work, tokens=3)
        for entry in system.entries:
            assert await entry.hand_over()
        return await system.stores[0].lines()

    lines = run_virtual(main)
    (total,) = cost_rows(lines, by=())
    assert total["calls"] == 24
    assert total["price_millionths"] == 12 * (10 + 20 + 30 + 20) + 12 * (
        10 + 6 + 30 + 20
    )
    for dimension in ("workspace", "work", "entry", "stage", "hour", "booking"):
        parts = cost_rows(lines, by=(dimension,))
        for measure in total:
            assert sum(part[measure] for part in parts) == total[measure]
    (retries,) = cost_rows(lines, where={"work": "retry", "workspace": "stockists"})
    assert retries["calls"] == 3
    with pytest.raises(ValueError, match="unknown"):
        cost_rows(lines, by=("color",))


def test_rows_sent_to_an_entry_that_stops_are_kept_elsewhere():
    """Guards against rows that an entry acknowledges and that end with it.

    No control member answers, and two entries hand over their rows at the same time.
    """

    async def main(clock):
        system = System(clock)
        first, second, third = system.entries
        for entry in ENTRIES:
            for address in CONTROLS:
                system.network.cut(entry, address)
        attempt(first, "first")
        attempt(second, "second")
        stops = [
            await curio.spawn(entry.hand_over_all, 20_000) for entry in (first, second)
        ]
        kept = [await stop.join() for stop in stops]
        late = first.handle(message_of(refusal_table(0, 1), Source("late", 1)))
        tables = third.held_rows.tables_by_source.values()
        workspaces = {key.workspace for table in tables for key in table.rows_by_key}
        return kept, late.kept, workspaces

    found = run_virtual(main)
    assert found == ([True, True], False, {"first", "second"})


def test_entry_that_leaves_rows_behind_counts_also_those_of_others(monkeypatch):
    """Guards against an event that says that nothing was lost."""

    async def main(clock):
        system = System(clock)
        entry = system.entries[0]
        entry.handle(message_of(refusal_table(0, 1), Source("other", 1)))
        for address in CONTROLS + ENTRIES:
            system.network.cut(ENTRIES[0], address)
        assert not await entry.hand_over_all(5_000)

    left = []

    def log(event, **fields):
        if event is events.ACCOUNTS_LEFT_AT_STOP:
            left.append(fields["rows"])

    monkeypatch.setattr(events, "log", log)
    run_virtual(main)
    assert left == [1]


def message_of(table, source=SOURCE, histograms=None):
    batch = pack_batch(source, table, list(table.rows_by_key), histograms)
    return AccountRows(source.entry, 1, False, [batch])


def refusal_table(clock_ms, count, minutes=1):
    table = CellTable()
    column = Column("", "", "refusal", "overloaded")
    for minute in range(minutes):
        bucket = clock_ms // 60_000 + minute
        key = RowKey(Scope.MINUTE, bucket, "stockists", "", "stockist-query")
        table.merge(key, (column,), (count,))
    return table


def test_closed_period_never_changes():
    """Guards against a late row that changes a closed period already reported."""

    async def main(clock):
        start_ms = clock.wall_ms()
        disk = MemoryDisk()
        store = AccountStore(clock, disk, "control-0")
        await store.open()
        await store.handle(message_of(refusal_table(start_ms, 3, minutes=2)))
        assert store.closable() is None
        await clock.sleep_ms(DAY_MS + 900_000)
        assert store.closable() == PERIOD
        offer = await store.prepare_close(PERIOD)
        assert offer.totals.refusal_minutes == 2
        assert offer.totals.refusals_by_reason == {"overloaded": 6}
        # Arrives between the offer and the command that closes the period.
        await store.handle(message_of(refusal_table(start_ms, 5, minutes=3)))
        assert await store.close(PERIOD, offer.digest)
        closed = await store.lines(PERIOD)
        assert totals_of(closed) == offer.totals

        # Rows that are already recorded arrive again, before and after a restart.
        await store.handle(message_of(refusal_table(start_ms, 3, minutes=2)))
        store = AccountStore(clock, disk, "control-0")
        await store.open()
        await store.handle(message_of(refusal_table(start_ms, 5, minutes=3)))
        late = refusal_rows(await store.lines(NEXT_PERIOD))
        assert [(row["refusals"], row["late"]) for row in late] == [
            (2, True),
            (2, True),
            (5, True),
        ]
        assert [row["new_minute"] for row in late] == [False, False, True]
        await store.handle(message_of(refusal_table(start_ms + DAY_MS, 1)))
        await clock.sleep_ms(DAY_MS)
        second = await store.prepare_close(NEXT_PERIOD)
        assert second.totals.refusal_minutes == 2
        assert second.totals.late_refusal_minutes == 1
        assert second.totals.refusals_by_reason == {"overloaded": 10}
        assert await store.close(NEXT_PERIOD, second.digest)
        assert not disk.durable[LOG_NAME]
        await store.handle(message_of(refusal_table(start_ms, 5, minutes=3)))
        assert await store.lines(PERIOD) == closed
        assert await store.lines() == []
        assert not store.tables_by_source and not store.recorded_by_source
        with pytest.raises(ValueError, match="is closed"):
            await store.prepare_close(PERIOD)

    run_virtual(main)


def test_other_member_adopts_the_agreed_period():
    """Guards against two members with different lines for a closed period."""

    async def main(clock):
        system = System(clock)
        for store in system.stores:
            await store.open()
        one, two = system.stores
        start_ms = clock.wall_ms()
        await one.handle(message_of(refusal_table(start_ms, 3)))
        # Until they reach each other again, only the second holds the larger count.
        system.network.cut(*CONTROLS)
        assert not (await two.handle(message_of(refusal_table(start_ms, 4)))).kept
        system.network.heal()
        await clock.sleep_ms(DAY_MS + 900_000)
        offer = await one.prepare_close(PERIOD)
        await two.prepare_close(PERIOD)
        assert await one.close(PERIOD, offer.digest)
        assert not await two.close(PERIOD, offer.digest)
        assert await two.fetch_period(PERIOD, offer.digest)
        assert await two.lines(PERIOD) == await one.lines(PERIOD)
        (late,) = refusal_rows(await two.lines(NEXT_PERIOD))
        assert (late["refusals"], late["late"]) == (1, True)
        with pytest.raises(MessageError):
            await two.adopt(NEXT_PERIOD, offer.digest, b"[]")

    run_virtual(main)


def test_booked_row_that_arrives_again_is_relayed_no_more():
    """Guards against members that relay a recorded row to each other forever."""

    async def main(clock):
        system = System(clock)
        message = message_of(refusal_table(clock.wall_ms(), 3))
        await system.stores[0].handle(message)
        await clock.sleep_ms(DAY_MS + 900_000)
        offer = await system.stores[0].prepare_close(PERIOD)
        assert await system.stores[0].close(PERIOD, offer.digest)
        assert await system.stores[1].fetch_period(PERIOD, offer.digest)
        await system.start()
        await system.stores[0].handle(message)
        await clock.sleep_ms(5_000)
        for store in system.stores:
            assert not store.tables_by_source
            assert not any(store.pending_by_address.values())

    run_virtual(main)


def test_emptied_member_is_filled_again():
    """Guards against a member that does not get old rows back after a disk loss."""

    async def main(clock):
        system = System(clock)
        await system.start()
        attempt(system.entries[0])
        await system.entries[0].hand_over()
        await clock.sleep_ms(3_000)
        await system.tasks[system.stores[1]].cancel()
        link = system.network.link(CONTROLS[1])
        emptied = AccountStore(clock, MemoryDisk(), "control-1", CONTROLS[:1], link)
        await emptied.open()
        system.network.handlers_by_address[CONTROLS[1]] = emptied.handle
        await clock.sleep_ms(5_000)
        assert await emptied.lines() == await system.stores[0].lines()

    run_virtual(main)


def test_acknowledged_rows_outlive_one_control_member():
    """Guards against rows that an entry drops while only one disk has them."""

    async def main(clock):
        system = System(clock)
        entry = system.entries[0]
        await refuse(entry, "copied")
        assert await entry.hand_over()
        for store in (0, 1):
            assert ("2026-01-01T00:00Z", "copied") in await system.minutes(store)
        system.network.cut(*CONTROLS)
        await refuse(entry, "single")
        assert not await entry.hand_over()
        assert [key.workspace for key in entry._unacknowledged()] == [
            "single",
            "single",
        ]
        system.network.heal()
        assert await entry.hand_over()
        assert not entry._unacknowledged()

    run_virtual(main)


def test_restart_at_every_sync_point(monkeypatch):
    """Guards against acknowledged rows or closed periods changed by a crash."""
    monkeypatch.setattr("wagtailrun.accounts.log.MAX_LOG_BYTES", 900)

    async def write(store, clock, acknowledged):
        start_ms = clock.wall_ms()
        for count in range(1, 9):
            source = Source(f"entry-{count % 3}", 7)
            table = refusal_table(start_ms, count, minutes=count)
            reply = await store.handle(message_of(table, source, {(1, "p"): (1, b"h")}))
            if reply.kept:
                acknowledged[source] = table
        await clock.sleep_ms(DAY_MS + 900_000)
        offer = await store.prepare_close(PERIOD)
        acknowledged["offer"] = offer
        if await store.close(PERIOD, offer.digest):
            acknowledged["closed"] = True

    async def main(clock, crash_at):
        disk = MemoryDisk(seed=crash_at)
        disk.crash_at = crash_at
        store = AccountStore(clock, disk, "control-0")
        await store.open()
        acknowledged = {}
        try:
            await write(store, clock, acknowledged)
            crashed = False
        except Crash:
            crashed = True
        disk.restart()
        store = AccountStore(clock, disk, "control-0")
        await store.open()
        offer = acknowledged.pop("offer", None)
        closed = acknowledged.pop("closed", False)
        if offer is not None:
            assert await store.close(PERIOD, offer.digest)
            assert totals_of(await store.lines(PERIOD)) == offer.totals
            assert await store.lines(NEXT_PERIOD) == []
        assert closed <= (PERIOD in store.digests_by_period)
        counted = Counter()
        for period in {PERIOD, ""} if PERIOD in store.digests_by_period else {""}:
            for line in await store.lines(period):
                counted[line.source, line.key, line.column] += line.amount
        for source, table in acknowledged.items():
            for key, column, value in table.cells():
                assert value <= counted[source, key, column] <= 8
        return crashed

    crash_at = 1
    while run_virtual(main, crash_at):
        crash_at += 1
    assert crash_at > 25


def test_damage_in_the_middle_is_reported():
    """Guards against rows that are dropped silently after a damaged record."""

    async def main(clock):
        disk = MemoryDisk()
        store = AccountStore(clock, disk, "control-0")
        await store.open()
        for count in (1, 2):
            await store.handle(message_of(refusal_table(clock.wall_ms(), count)))
        data = bytearray(disk.durable[LOG_NAME])
        data[20] ^= 1
        disk.durable[LOG_NAME] = bytes(data)
        with pytest.raises(CorruptRecord, match="offset 0"):
            await AccountStore(clock, disk, "control-0").open()

    run_virtual(main)


def test_rows_beyond_the_late_limit_are_refused_visibly():
    """Guards against a very old row that is recorded twice, or dropped silently."""

    async def main(clock):
        store = AccountStore(clock, MemoryDisk(), "control-0")
        await store.open()
        old_ms = clock.wall_ms() - 8 * DAY_MS
        await store.handle(message_of(refusal_table(old_ms, 1)))
        assert store.rejected_late_rows == 1
        assert await store.lines() == []

    run_virtual(main)


def test_wall_clock_that_steps_back_loses_no_count():
    """Guards against counts lost when a dropped row is started again.

    Merging keeps the larger value of a cell, so the first counts of the new row would
    not be seen.
    """
    clock = VirtualClock()

    async def main(clock):
        system = System(clock)
        await system.start()
        for _ in range(2):
            for _ in range(3):
                await refuse(system.entries[0])
            await clock.sleep_ms(3 * 60_000 + EXCHANGES_PER_HANDOVER * INTERVAL_MS)
            clock.wall_start_ms -= clock.now_ms()
        rows = refusal_rows(await system.stores[0].lines())
        return sum(row["refusals"] for row in rows)

    assert run_virtual(main, clock=clock) == 6
