"""Tests that an entry's tables don't grow with what is replaced over time."""

import os
from collections import deque

import attrs
import curio

from tests.stopping_entries import make_relay_entry as make_entry
from tests.test_connection_pool import IdleConnection
from wagtailrun.adapters import tcp_link
from wagtailrun.discovery import target_limits
from wagtailrun.discovery.messages import AgedRow, News, NewsMarks
from wagtailrun.exceptions import PeerUnreachable
from wagtailrun.gossip.messages import EntryRow
from wagtailrun.ports.link import Address
from wagtailrun.relay import entry_ports
from wagtailrun.relay.core.placement_messages import PlaceRun, PromptPart
from wagtailrun.relay.limits import brittle_slots, send_grants
from wagtailrun.relay.upkeep import UPKEEP_INTERVAL_MS
from wagtailrun.routes import (
    RequestLimits,
    Route,
    RoutedService,
    RouteKind,
    WeightedService,
    WorkspaceKeys,
    build_route_table,
)
from wagtailrun.targets.attempt_ends import RunOutcome
from wagtailrun.targets.table import ROW_RETENTION_MS, TargetRow
from wagtailrun.virtual_time import VirtualClock, run_virtual

REPLACED = 10_000
# Time from one replacement to the next.
STEP_MS = 2_000
LIVE = 10
REVISION_STEPS = 20
# Rows live for ten minutes after their target, so states of targets do, too.
MAX_ROWS = LIVE + (ROW_RETENTION_MS + 2 * UPKEEP_INTERVAL_MS) // STEP_MS
# The limits of tables that drop the oldest rows, lowered so that the test reaches them.
MAX_LIMITED_ROWS = 256
OWN_DESCRIPTORS = 100


def find_tables(root):
    """Yield the name and the size of all collections that an object refers to."""
    seen, pending = set(), deque([("entry", root)])
    while pending:
        name, value = pending.popleft()
        if id(value) in seen:
            continue
        seen.add(id(value))
        if isinstance(value, dict | list | set | tuple | deque):
            yield name, len(value)
            values = value.values() if isinstance(value, dict) else value
            pending.extend((f"{name}[]", each) for each in list(values))
        elif callable(getattr(value, "__self__", None)) or hasattr(value, "__func__"):
            pending.append((name, value.__self__))
        elif type(value).__module__.startswith("wagtail"):
            fields = list(getattr(value, "__dict__", {}))
            if attrs.has(type(value)):
                fields += [field.name for field in attrs.fields(type(value))]
            for field in fields:
                pending.append((f"{name}.{field}", getattr(value, field)))


def make_table(revision):
    """Return a table whose routes, services and keys have new names."""
    service, route = f"s{revision}", f"r{revision}"
    return build_route_table(
        revision,
        [
            Route(
                route,
                "h",
                "/a/",
                RouteKind.IDEMPOTENT,
                (WeightedService(service),),
                timeout_ms=2_000,
                aim_ms=400,
                max_attempts=2,
            )
        ],
        [RoutedService(service)],
        [WorkspaceKeys("guild", (f"key-{revision}",))],
        RequestLimits(),
        demands_keys=True,
    )


class Replacements:
    """An entry whose targets, entries, members, keys, services and routes change."""

    def __init__(self, clock):
        self.clock = clock
        addresses = [Address("10.0.0.1", port) for port in range(1, 5)]
        self.entry = make_entry(addresses)
        self.rows = deque()

    async def step(self, number):
        """Replace a target, an entry and a member; use what there is now."""
        view = self.entry.view
        revision = number // REVISION_STEPS
        if number % REVISION_STEPS == 0:
            view.table = make_table(revision)
        address = Address(f"10.{1 + number // 60_000}.0.1", 1 + number % 60_000)
        row = TargetRow(f"t{number}", address, f"s{revision}", "a", 4, number + 1)
        peer = EntryRow(f"e{number}", address, "a", 1)
        changed = [AgedRow(row, 0)]
        self.rows.append(row)
        if len(self.rows) > LIVE:
            old = attrs.evolve(self.rows.popleft(), leaving=True)
            changed.append(AgedRow(old, 0))
        news = News(
            NewsMarks(1, number),
            targets=tuple(changed),
            entries=(view.own_row, peer),
            members=(str(address),),
        )
        await view._apply_update(news)
        await self._use(row, peer, number)

    async def _use(self, row, peer, number):
        entry, now_ms = self.entry, self.clock.now_ms()
        parts = (PromptPart(f"p{number}", 10), PromptPart(f"q{number}", 10))
        route = f"r{number // REVISION_STEPS}"
        for chooser in (entry.chooser, entry.placement_host.chooser):
            chooser.record_start(row, parts, 20)
            chooser.health.record_outcome(row, RunOutcome.UNREACHABLE)
            chooser.record_first_event(row, 10, 20)
            chooser.health.record_end(row)
        # Its end is never reported.
        place = PlaceRun(f"x{number}", row.service, parts, 20, (), (), True, route)
        entry.placement_host.handle(place)
        entry.budget.earn(row.service)
        entry.owners.exclude(peer, "test")
        entry.owners.owner(row.service)
        entry.connector.carriers._avoid(peer, row.address, "test")
        entry.view.control_members.avoid(row.address, "test")
        await entry.origins._send(row.address, None)
        entry.link._record_reply(peer.address)
        entry.notices._pause(row, 100)
        entry.notices._record_denial(row.address, 5, 100)
        entry.view.limits.record_answer(row, 5.0, now_ms)
        request = entry.grants.begin(row)
        await entry.grants.request(row, 5, request)
        await entry.grants.end(row, request, completed=True)
        pool = await entry.batcher.pool(row.service)
        pool.target_states_by_name[row.name].failures = 1
        pool.memory.add(row.address, f"handle{number}", 10, now_ms + 1_000)
        entry.metrics.count_request("answered", "call", 5)
        for _ in range(2):
            await entry.pool.release(row.address, IdleConnection())


async def refuse_call(link, address, message, timeout_ms):
    raise PeerUnreachable("replaced")


def test_tables_stay_small_while_everything_is_replaced(monkeypatch):
    """Guards against state of targets, entries and keys that outlives them."""
    clock = VirtualClock()
    for module in (entry_ports, tcp_link):
        monkeypatch.setattr(module, "SystemClock", lambda: clock)
    monkeypatch.setattr(tcp_link.TcpPeerLink, "call", refuse_call)
    monkeypatch.setattr(target_limits, "MAX_LIMITS", MAX_LIMITED_ROWS)
    monkeypatch.setattr(send_grants, "MAX_BUCKETS", MAX_LIMITED_ROWS)
    monkeypatch.setattr(brittle_slots, "MAX_TARGETS", MAX_LIMITED_ROWS)

    async def main(clock):
        fleet = Replacements(clock)
        entry = fleet.entry
        await curio.spawn(entry.upkeep.run, daemon=True)
        descriptors = 0
        for number in range(REPLACED):
            await fleet.step(number)
            await clock.sleep_ms(STEP_MS)
            if number % 500 == 0:
                descriptors = max(descriptors, len(os.listdir("/proc/self/fd")))
        assert descriptors <= 2 * entry.descriptors.idle_to_targets + OWN_DESCRIPTORS
        return [(name, size) for name, size in find_tables(entry) if size > MAX_ROWS]

    assert run_virtual(main, clock=clock) == []


def test_unresponsive_targets_stay_while_their_service_has_no_others(monkeypatch):
    """Guards against a service without targets while members don't reach them."""
    clock = VirtualClock()
    monkeypatch.setattr(entry_ports, "SystemClock", lambda: clock)

    async def main(clock):
        fleet = Replacements(clock)
        view = fleet.entry.view
        rows = [
            TargetRow(name, Address("10.0.0.2", port), service, "a", silent=silent)
            for name, port, service, silent in (
                ("lone", 1, "s", True),
                ("other", 2, "t", True),
                ("active", 3, "t", False),
            )
        ]
        aged = tuple(AgedRow(row, 0) for row in rows)
        await view._apply_update(News(NewsMarks(1, 1), targets=aged))
        await curio.spawn(fleet.entry.upkeep.run, daemon=True)
        await clock.sleep_ms(2 * ROW_RETENTION_MS)
        return sorted(view.membership.targets_by_name)

    assert run_virtual(main, clock=clock) == ["active", "lone"]
