"""Tests that the stops of a data centre's entries leave no caller without a connection.

The entries run their real stops in virtual time; the load balancer is a model.
"""

import random

import curio
import pytest

from tests.stopping_entries import make_relay_entry
from tests.test_rotation import CHECK_MS, MISSES, check, row, signal_stop
from tests.virtual_sockets import run_with_virtual_sockets
from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.ports.link import Address
from wagtailrun.relay.stopping.rotation import Rotation
from wagtailrun.routes import RequestLimits, build_route_table

STEP_MS = 10
# From the end of a process until its successor listens.
RESTART_MS = 700
# Until others know of a stop or a start.
NEWS_MS = 50
RUNS = 20


class Member:
    """An entry, its successors, and what the load balancer thinks of them."""

    def __init__(self, name, number, phase_ms):
        self.name = name
        self.addresses = [Address("127.0.0.1", 100 * number + n) for n in range(1, 5)]
        self.phase_ms = phase_ms
        self.incarnation = 0
        self.misses = 0
        self.in_rotation = True
        self.entry = None
        # Whether others take it to run and not to stop.
        self.is_live = False

    async def start(self):
        self.incarnation += 1
        entry = make_relay_entry(self.addresses)
        entry.view.table = build_route_table(
            1, [], [], [], RequestLimits(), demands_keys=True
        )
        entry.view.revision = 1
        await curio.spawn(entry.caller_server.serve, daemon=True)
        await curio.sleep(0)
        self.entry = entry
        await curio.spawn(self._become, True, daemon=True)

    async def restart(self):
        """Stop, and start again."""
        signal_stop(self.entry)
        await curio.spawn(self._become, False, daemon=True)
        await self.entry.planned_stop.run()
        self.entry = None
        await curio.sleep(RESTART_MS / MS_PER_SECOND)
        await self.start()

    async def _become(self, is_live):
        await curio.sleep(NEWS_MS / MS_PER_SECOND)
        self.is_live = is_live

    @property
    def is_listening(self):
        return self.entry is not None and self.entry.caller_server.listener.is_listening

    async def be_checked(self):
        is_ready = self.entry is not None and await check(self.entry)
        self.misses = 0 if is_ready else self.misses + 1
        self.in_rotation = is_ready or (self.in_rotation and self.misses < MISSES)


def tell_of_others(members):
    """Let each entry know the others that run."""
    for member in members:
        if member.entry is not None:
            member.entry.view.entries = tuple(
                row(each.name, each.incarnation)
                for each in members
                if each.is_live and each is not member
            )
            member.entry.view.on_entries_changed()


def exposed_share(members):
    """Return the share of connections that come to an entry without a listener.

    The load balancer uses the entries in rotation; all of them if these are fewer than
    half; other data centres if there are none.
    """
    used = [each for each in members if each.in_rotation]
    if 0 < 2 * len(used) < len(members):
        used = members
    if not used:
        return 0.0
    return sum(not each.is_listening for each in used) / len(used)


def run_roll(signals_ms, phases_ms, length_ms):
    """Return for how long connections would fail, in milliseconds, at full share.

    Args:
        signals_ms: When each entry gets its signal to stop.
        phases_ms: When each entry is checked in each second.
        length_ms: Length of the run.
    """

    async def main():
        members = [
            Member(f"entry-{number}", number, phase_ms)
            for number, phase_ms in enumerate(phases_ms, 1)
        ]
        for member in members:
            await member.start()
        exposed_ms = 0.0
        for now_ms in range(0, length_ms, STEP_MS):
            tell_of_others(members)
            for member, signal_ms in zip(members, signals_ms, strict=True):
                if now_ms == signal_ms:
                    await curio.spawn(member.restart, daemon=True)
                if now_ms % CHECK_MS == member.phase_ms:
                    await member.be_checked()
            exposed_ms += STEP_MS * exposed_share(members)
            await curio.sleep(STEP_MS / MS_PER_SECOND)
        assert all(member.in_rotation for member in members)
        return exposed_ms

    return run_with_virtual_sockets(main)


def exposures_ms(count, gap_ms):
    """Return the results of runs in which the checks come at random times.

    Args:
        count: Number of entries.
        gap_ms: Time between two signals.
    """
    rng = random.Random(gap_ms)
    signals_ms = [3_000 + gap_ms * number for number in range(count)]
    return [
        run_roll(
            signals_ms,
            [rng.randrange(0, CHECK_MS, STEP_MS) for _ in range(count)],
            signals_ms[-1] + 15_000,
        )
        for _ in range(RUNS)
    ]


@pytest.mark.parametrize("gap_ms", [1_230, 2_000, 2_460])
def test_stops_in_series_leave_no_caller_without_a_connection(gap_ms):
    """Guards against an entry that ends while too few of the others are in rotation."""
    assert max(exposures_ms(3, gap_ms)) == 0


@pytest.mark.parametrize("count", [3, 5])
@pytest.mark.parametrize("gap_ms", [0, 300, 500, 800, 1_000, 1_230, 1_500])
def test_waiting_for_another_entry_exposes_no_more_callers(monkeypatch, count, gap_ms):
    """Guards against entries that await each other, and are away for longer.

    Compared with entries that end as soon as they are idle.
    """
    total_ms = sum(exposures_ms(count, gap_ms))
    monkeypatch.setattr(Rotation, "awaits_another", lambda *arguments: False)
    assert total_ms <= sum(exposures_ms(count, gap_ms))


def test_waiting_for_another_entry_spares_most_of_the_callers(monkeypatch):
    """Guards against a wait that is of no use in a roll of three entries."""
    total_ms = sum(exposures_ms(3, 1_230))
    monkeypatch.setattr(Rotation, "awaits_another", lambda *arguments: False)
    assert total_ms <= 0.5 * sum(exposures_ms(3, 1_230))


@pytest.mark.parametrize("gap_ms", [500, 1_230, 2_000])
def test_waiting_for_a_busy_entry_exposes_no_more_callers(monkeypatch, gap_ms):
    """Guards against an entry that awaits one that cannot be back in its own time.

    The other one ends with its last stream; the wait then only delays the return of
    this entry. Compared with entries that end as soon as they are idle.
    """
    restart = Member.restart

    async def restart_busy(self):
        if self.name == "entry-2":
            self.entry.tunnels.running = 1
        await restart(self)

    monkeypatch.setattr(Member, "restart", restart_busy)
    total_ms = sum(exposures_ms(3, gap_ms))
    monkeypatch.setattr(Rotation, "awaits_another", lambda *arguments: False)
    assert total_ms <= sum(exposures_ms(3, gap_ms))


def test_busy_stops_far_apart_leave_no_caller_without_a_connection(monkeypatch):
    """Guards against a longer absence of busy entries than docs/operating.md states."""
    rng = random.Random(1)
    restart = Member.restart

    async def restart_busy(self):
        tunnels = self.entry.tunnels
        tunnels.running = 1

        async def end():
            await curio.sleep(rng.uniform(1.5, 4.5))
            tunnels.running = 0

        await curio.spawn(end, daemon=True)
        await restart(self)

    monkeypatch.setattr(Member, "restart", restart_busy)
    assert max(exposures_ms(3, 3_500)) == 0


def test_waiting_for_a_crashed_entry_exposes_no_more_callers(monkeypatch):
    """Guards against an entry that awaits one that crashed 2 s before its stop.

    The load balancer uses the crashed one for as long as this one is away. Compared
    with entries that end as soon as they are idle.
    """
    restart = Member.restart

    async def restart_or_crash(self):
        if self.name != "entry-1":
            await restart(self)
            return
        self.is_live = False
        await self.entry.caller_server.listener.close(0)
        self.entry = None
        # Until its machine is back.
        await curio.sleep(9)
        await self.start()

    def crashes_ms():
        rng = random.Random(5)
        times_ms = [3_000, 5_000, 100_000]
        phases_ms = [
            [rng.randrange(0, CHECK_MS, STEP_MS) for _ in times_ms] for _ in range(10)
        ]
        return [run_roll(times_ms, phases, 20_000) for phases in phases_ms]

    monkeypatch.setattr(Member, "restart", restart_or_crash)
    total_ms = sum(crashes_ms())
    monkeypatch.setattr(Rotation, "awaits_another", lambda *arguments: False)
    assert total_ms <= sum(crashes_ms())
