"""Tests of stages whose owner falls silent, in virtual time."""

import attrs
import curio
import pytest

from tests.test_stage_runner import ENTRIES, Fleet, other_entry, work
from wagtailrun.discovery.owners import Owners
from wagtailrun.exceptions import PeerUnreachable
from wagtailrun.gossip.messages import EntryRow
from wagtailrun.ports.link import Address
from wagtailrun.routes import StageStep
from wagtailrun.stages import FreeResults, StageResults
from wagtailrun.stages.messages import PieceResult
from wagtailrun.stages.owner_calls import OwnerCalls
from wagtailrun.stages.settled import SETTLE_MS, SettledEntries
from wagtailrun.virtual_time import run_virtual

STEPS = (StageStep("s", (), 10),)


def row_of(name):
    return next(row for row in ENTRIES if row.name == name)


def test_polls_leave_an_owner_that_another_call_found_silent():
    """Load: many requests wait for an owner that stands still.

    Guards against requests that each wait for the limit of their own poll: 850 ms,
    while another call of the entry has found out within 250 ms.
    """

    async def main(clock):
        fleet = Fleet(clock)
        name, owner = other_entry()
        runner = fleet.runners[name]
        staged = work(clock, (4,), STEPS)
        task = await curio.spawn(runner.run, staged, "a", StageResults())
        await clock.sleep_ms(50)
        fleet.network.frozen.add(row_of(owner).address)
        started_ms = clock.now_ms()
        other = attrs.evolve(work(clock, (1,), STEPS), request_id="other")
        await runner.announce(other, "a")
        refusal = await task.join()
        return refusal, clock.now_ms() - started_ms

    refusal, took_ms = run_virtual(main)
    assert refusal is None
    # 250 ms until the announcement has no reply, then a call of 270 ms at the next
    # owner behind the one that the first owner began.
    assert took_ms < 700


@pytest.mark.parametrize("fault", ["refused", "frozen", "reset"])
def test_results_are_released_although_their_owner_is_gone(fault):
    """Load: results of finished steps while their owner is dead or stands still.

    Guards against results that occupy their targets until they expire, 4 s later, as
    their release was lost with the message to the owner.
    """

    async def main(clock):
        fleet = Fleet(clock)
        name, owner = other_entry()
        address = row_of(owner).address
        handlers = fleet.network.handlers_by_address
        if fault == "refused":
            del handlers[address]
        elif fault == "frozen":
            fleet.network.frozen.add(address)
        else:

            async def reset(message):
                raise PeerUnreachable("reset")

            handlers[address] = reset
        runner = fleet.runners[name]
        result = PieceResult(0, "10.0.0.1:80/1", "10.0.0.1:80", "a")
        await runner.notify_owner(FreeResults("s", (result,)))
        await clock.sleep_ms(300)
        return fleet.client.freed, bool(runner.owners.avoid_until_ms)

    freed, is_excluded = run_virtual(main)
    assert freed == ["10.0.0.1:80/1"]
    # After a reset connection the owner may go on.
    assert is_excluded == (fault != "reset")


@pytest.mark.parametrize("start_ms", [100, 1_000, 4_900])
def test_entry_that_was_started_again_owns_no_stages_at_once(start_ms):
    """Load: the owner of a service is killed and started again.

    Guards against a service that has two owners: the one that took over still has
    pieces, calls and results of the requests of all entries, which the other does not
    know.
    """

    async def main(clock):
        rows = [attrs.evolve(row, incarnation=1) for row in ENTRIES]
        settled = SettledEntries(clock, lambda: rows)
        before = settled.new_names()
        started = clock.wall_ms()
        rows = [attrs.evolve(rows[0], incarnation=started << 16 | 7), *rows[1:]]
        await clock.sleep_ms(start_ms)
        new = settled.new_names()
        await clock.sleep_ms(SETTLE_MS - start_ms)
        return before, new, settled.new_names()

    assert run_virtual(main) == (set(), {ENTRIES[0].name}, set())


def test_wall_clock_that_steps_back_keeps_no_entry_new():
    """Guards against a service with two owners for as long as a clock stepped back."""

    async def main(clock):
        rows = [attrs.evolve(row, incarnation=1) for row in ENTRIES]
        rows[0] = attrs.evolve(rows[0], incarnation=clock.wall_ms() << 16)
        settled = SettledEntries(clock, lambda: rows)
        before = settled.new_names()
        clock.wall_start_ms -= 3_600_000
        await clock.sleep_ms(SETTLE_MS)
        return before, settled.new_names()

    assert run_virtual(main) == ({ENTRIES[0].name}, set())


def test_entries_that_started_together_own_stages():
    """Guards against a system without owners of stages after its start."""

    async def main(clock):
        start = clock.wall_ms() << 16
        rows = [attrs.evolve(row, incarnation=start) for row in ENTRIES]
        settled = SettledEntries(clock, lambda: rows)
        owners = Owners(clock, lambda: rows)
        calls = OwnerCalls(None, owners)
        return settled.new_names(), calls.owner("s"), owners.owner("s")

    new, owner, expected = run_virtual(main)
    assert not new
    assert owner == expected


def test_service_stays_with_the_entry_that_took_over():
    """Load: the owner of a service is killed and started again.

    Guards against pieces of one service that are divided between two owners.
    """

    async def main(clock):
        name, owner = other_entry()
        rows = [attrs.evolve(row, incarnation=1) for row in ENTRIES]
        owners = Owners(clock, lambda: rows)
        calls = OwnerCalls(None, owners)
        owners.exclude(calls.owner("s"), "refused")
        second = calls.owner("s").name
        start = clock.wall_ms() << 16
        rows = [
            attrs.evolve(row, incarnation=start) if row.name == owner else row
            for row in rows
        ]
        seen = []
        for _ in range(6):
            seen.append(calls.owner("s").name)
            await clock.sleep_ms(1_000)
        return second, owner, seen

    second, owner, seen = run_virtual(main)
    assert second != owner
    assert seen == [second] * 5 + [owner]


def test_entry_that_starts_moves_no_service_until_it_is_settled():
    """Load: each of nine entries is stopped and started again, 1 s apart.

    Guards against services that an entry which may not own them yet moves between the
    others. All entries rank the others by their hashes, and share the busy services.
    """
    keys = ("board", "engines of llm", "ledger", "queue")

    async def moves(clock, fleet):
        rows = [
            EntryRow(f"front-{fleet}-{n}", Address("10.1.0.1", 7_000 + n), "a", 1)
            for n in range(9)
        ]
        live = tuple(rows[:5])
        calls = OwnerCalls(None, Owners(clock, lambda: live, lambda: keys))
        before = [calls.owner(key).name for key in keys]
        moved = []
        for row in rows[5:]:
            start = clock.wall_ms() << 16
            live = (*live, attrs.evolve(row, incarnation=start))
            after = [calls.owner(key).name for key in keys]
            moved += [(row.name, after)] if after != before else []
            await clock.sleep_ms(1_000)
        return moved

    for fleet in range(20):
        assert run_virtual(lambda clock, fleet=fleet: moves(clock, fleet)) == []
