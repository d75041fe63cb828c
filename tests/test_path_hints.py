"""Tests of what entries of a data centre tell each other of unreachable targets."""

from importlib import resources

import attrs
import capnp
import curio
import pytest

from tests.fake_network import FakeNetwork
from tests.stopping_entries import make_product_entry
from tests.test_target_paths import KNOWN, REMOTE, fail_probes, make, wait
from wagtailrun.codec import decode, encode
from wagtailrun.exceptions import Refusal
from wagtailrun.gossip.messages import EntryRow, GossipExchange
from wagtailrun.gossip.node import GossipNode
from wagtailrun.logs import events
from wagtailrun.ports.link import Address
from wagtailrun.replay.emulator import Emulator, TargetModel
from wagtailrun.serving.daemon import SETTLE_MS
from wagtailrun.serving.dispatch import Work, make_dispatcher
from wagtailrun.targets.path_hints import HINT_VALIDITY_MS, HintFault, PathHint
from wagtailrun.targets.paths import MAX_HINTS
from wagtailrun.targets.routing import ExpectedTimeRouter
from wagtailrun.targets.table import Membership
from wagtailrun.virtual_time import run_virtual

CALL = Work("s", "/v1/calls/look", b"{}", "r", "ws", 0, stage="look")
MODEL = TargetModel(capacity=4, service_ms=20.0)
DEADLINE_MS = 4_000
REQUEST_INTERVAL_MS = 50
LATE_MS = 500


class Entry:
    """An entry of a site, by default in the east, with its gossip.

    Attributes:
        late: Starts of the requests that took as long as a connect timeout.
        refused: Starts of the refused requests.
        probed: Addresses that were probed.
    """

    def __init__(self, site, number, peers=(), data_centre="east"):
        self.clock = site.clock
        self.name = f"entry-{number}"
        self.client = site.emulator.client(self.name, data_centre)
        self.membership = Membership(data_centre)
        site.emulator.observe(data_centre, self.membership)
        self.late, self.refused, self.probed = [], [], []
        self.dispatcher = make_dispatcher(
            site.clock,
            self.membership,
            self.client,
            name=self.name,
            data_centre=data_centre,
            probe=self.probe,
            seed=number,
        )
        self.paths = self.dispatcher.router.paths
        # Without a preference, so that the west gets its part of the requests.
        router = self.dispatcher.router
        router.options = attrs.evolve(router.options, local_first=False)
        options = self.dispatcher.options
        self.dispatcher.options = attrs.evolve(options, hedges=False)
        self.address = Address("10.0.0.1", 7_000 + number)
        self.gossip = GossipNode(
            site.clock,
            site.network.link(self.address),
            self.membership,
            EntryRow(self.name, self.address, data_centre, incarnation=1),
            seeds=tuple(peer.address for peer in peers),
            seed=number,
        )
        prober = self.dispatcher.context.prober
        self.gossip.share_path_hints(self.paths.own_hints, prober.receive_hints)
        site.network.handlers_by_address[self.address] = self.gossip.handle

    async def start(self):
        await curio.spawn(self.gossip.run, daemon=True)

    async def probe(self, address):
        self.probed.append(address)
        return await self.client.probe(address)

    async def send_until(self, end_ms):
        async with curio.TaskGroup() as group:
            while self.clock.now_ms() < end_ms:
                await group.spawn(self._send)
                await self.clock.sleep_ms(REQUEST_INTERVAL_MS)

    async def _send(self):
        start_ms = self.clock.now_ms()
        work = attrs.evolve(CALL, deadline_at_ms=start_ms + DEADLINE_MS)
        answer = await self.dispatcher.call(work)
        if isinstance(answer, Refusal):
            self.refused.append(start_ms)
        if self.clock.now_ms() - start_ms >= LATE_MS:
            self.late.append(start_ms)


class Site:
    """Two targets in the east and three in the west, in virtual time."""

    def __init__(self, clock):
        self.clock = clock
        self.emulator = Emulator(clock)
        self.network = FakeNetwork(clock, seed=1)

    async def start(self):
        for data_centre, count in (("east", 2), ("west", 3)):
            for number in range(count):
                name = f"{data_centre}-{number}"
                await self.emulator.add(name, "s", data_centre, MODEL)
        await curio.spawn(self.emulator.run_reports, daemon=True)


@pytest.mark.parametrize("direction", ["outward", "inward"])
def test_entry_that_starts_during_a_cut_costs_no_connect_timeout(direction):
    """Guards against an entry that learns of a cut again at its callers' expense."""

    async def main(clock):
        site = Site(clock)
        await site.start()
        first = Entry(site, 0)
        await first.start()
        await first.send_until(5_000)
        site.emulator.cut(
            "east", outward=direction == "outward", inward=direction == "inward"
        )
        sending = await curio.spawn(first.send_until, 30_000)
        await clock.sleep_ms(10_000)
        second = Entry(site, 1, peers=[first])
        await second.start()
        await clock.sleep_ms(SETTLE_MS)
        await second.send_until(30_000)
        await sending.join()
        return first, second

    first, second = run_virtual(main)
    assert first.late
    assert (second.late, second.refused) == ([], [])


def test_entry_of_another_data_centre_is_told_nothing():
    """Guards against a cut of one data centre that counts as one of another."""

    async def main(clock):
        site = Site(clock)
        await site.start()
        first = Entry(site, 0)
        other = Entry(site, 1, peers=[first], data_centre="west")
        await first.start()
        await other.start()
        site.emulator.cut("east", outward=True, inward=False)
        await first.send_until(10_000)
        assert [hint.data_centre for hint in first.paths.own_hints()] == ["west"]
        return other

    other = run_virtual(main)
    assert not other.paths.hints.has_hints
    assert other.paths.hints.ignored_by_fault == {}
    assert other.probed == []


def test_hint_that_is_wrong_costs_a_probe_and_no_request(monkeypatch):
    """Guards against one entry's broken path that takes targets from the others.

    The log names the source, which is where the fault has to be looked for.
    """
    lines = []
    monkeypatch.setattr(
        events, "log", lambda event, **fields: lines.append((event, fields))
    )

    async def main(clock):
        site = Site(clock)
        await site.start()
        entry = Entry(site, 0)
        await entry.send_until(1_000)
        prober = entry.dispatcher.context.prober
        hints = (PathHint(data_centre="west"), PathHint(target="east-0"))
        await prober.receive_hints("entry-9", "east", hints)
        assert entry.paths.hints.has_hints
        await entry.send_until(1_200)
        in_force = entry.paths.hints.has_hints
        # The same observations, in a message that was under way for longer.
        aged = tuple(attrs.evolve(hint, age_ms=200) for hint in hints)
        await prober.receive_hints("entry-9", "east", aged)
        return entry, in_force, entry.paths.hints.has_hints

    entry, in_force, again = run_virtual(main)
    assert (in_force, again) == (False, False)
    assert lines == [
        (
            events.PATH_HINTED,
            {"source": "entry-9", "target": target, "data_centre": centre, "age_ms": 0},
        )
        for target, centre in [("", "west"), ("east-0", "")]
    ]
    assert len(entry.probed) == len(set(entry.probed)) == 2
    assert not entry.paths.has_observations
    assert (entry.late, entry.refused) == ([], [])


def receive(paths, *hints, data_centre="east"):
    paths.receive_hints(data_centre, hints, KNOWN)
    return paths.hints


@pytest.mark.parametrize(
    ("hint", "data_centre", "fault"),
    [
        (PathHint(target="west-1-0", age_ms=-1), "east", HintFault.AGE),
        (PathHint(data_centre="west-1", age_ms=-(2**62)), "east", HintFault.AGE),
        (PathHint("west-1-0", age_ms=365 * 86_400_000), "east", HintFault.AGE),
        (PathHint("west-1-0", age_ms=HINT_VALIDITY_MS + 1), "east", HintFault.AGE),
        (PathHint(target="unknown"), "east", HintFault.SUBJECT),
        (PathHint(data_centre="unknown"), "east", HintFault.SUBJECT),
        (PathHint(data_centre="east"), "east", HintFault.SUBJECT),
        (PathHint(), "east", HintFault.SUBJECT),
        (PathHint("west-1-0", "west-1"), "east", HintFault.SUBJECT),
        (PathHint(target="west-1-0"), "north", HintFault.SOURCE),
        (PathHint(target="west-1-0"), "", HintFault.SOURCE),
    ],
)
def test_unusable_hint_is_counted_and_has_no_effect(hint, data_centre, fault):
    """Guards against a verdict from a hint that is wrong, stale or misplaced."""
    _, paths = make()
    hints = receive(paths, hint, data_centre=data_centre)
    assert hints.ignored_by_fault == {fault: 1}
    assert not paths.needs_probes
    assert paths.due_probes(KNOWN) == []


def test_hint_expires_without_a_probe():
    """Guards against a target that a hint keeps out of use for good."""
    clock, paths = make()
    hints = receive(paths, PathHint("west-1-0", age_ms=1_000))
    assert hints.is_hinted(REMOTE[0])
    wait(clock, HINT_VALIDITY_MS - 1_000)
    assert hints.is_hinted(REMOTE[0])
    wait(clock, 1)
    assert not hints.is_hinted(REMOTE[0])
    assert paths.due_probes(KNOWN) == []
    assert hints.hints_by_name == {}


def test_hint_is_no_evidence_of_a_data_centre():
    """Guards against a verdict on a data centre by what others have observed.

    Failures of own probes are the entry's own evidence, as those of requests are.
    """
    clock, paths = make()
    hints = [PathHint(row.name) for row in REMOTE]
    receive(paths, PathHint(data_centre="west-1"), *hints)
    assert not any(paths.is_unreachable(row) or paths.is_lost(row) for row in REMOTE)
    probed = paths.due_probes(KNOWN)
    paths.record_probe(probed[0], clock.now_ms(), None)
    assert not paths.has_observations
    fail_probes(clock, paths, 1_000)
    assert all(paths.is_unreachable(row) for row in REMOTE)


def test_refused_probes_of_a_hint_are_no_evidence_of_a_data_centre():
    """Guards against a data centre left out as two of its targets restart."""
    clock, paths = make()
    receive(paths, *[PathHint(row.name) for row in REMOTE[:2]])
    for row in paths.due_probes(KNOWN):
        paths.record_probe(row, clock.now_ms(), False, refused=True)
    assert set(paths.observations_by_name) == {row.name for row in REMOTE[:2]}
    assert paths.observations_by_data_centre == {}


def test_own_observations_are_shared_with_their_age_until_they_are_old():
    """Guards against hints that outlive what was observed, or that are passed on."""
    clock, paths = make()
    receive(paths, PathHint(target="east-1"))
    assert paths.own_hints() == ()
    paths.record_failure(KNOWN["east-0"], refused=True)
    paths.record_failure(REMOTE[0])
    wait(clock, 400)
    paths.record_failure(REMOTE[1])
    assert paths.own_hints() == (
        PathHint(data_centre="west-1", age_ms=0),
        PathHint(target="east-0", age_ms=400),
    )
    wait(clock, HINT_VALIDITY_MS)
    assert paths.own_hints() == (PathHint("", "west-1", HINT_VALIDITY_MS),)
    wait(clock, 1)
    assert paths.own_hints() == ()


def test_hints_of_a_message_are_bounded():
    """Guards against gossip that grows with the number of unreachable targets."""
    _, paths = make()
    for number in range(3 * MAX_HINTS):
        row = attrs.evolve(KNOWN["east-0"], name=f"east-{number}")
        paths.record_failure(row)
    assert len(paths.own_hints()) == MAX_HINTS


def test_hinted_target_comes_after_others_but_is_used():
    """Guards against hints that take the last room away, and against any verdict."""
    clock, paths = make()
    router = ExpectedTimeRouter(clock, None, "entry", "east", seed=1)
    router.paths = paths
    work, rows = None, [KNOWN["east-0"], KNOWN["east-1"]]
    receive(paths, PathHint(target="east-0"))
    chosen = {router.choose(rows, work).name for _ in range(20)}
    assert chosen == {"east-1"}
    assert router.choose(rows, work, avoid={"east-1"}).name == "east-0"
    assert router.choose(rows[:1], work).name == "east-0"
    assert router.has_path(rows[:1], work)
    while router.limits.has_room("east-1", rows[1].capacity):
        router.started(rows[1])
    assert router.choose(rows, work).name == "east-0"


def test_messages_pass_between_builds_with_and_without_hints(tmp_path):
    """Guards against a rolling upgrade in which entries refuse each other's gossip."""
    row = EntryRow("entry-1", Address("10.0.0.1", 7_000), "east", 1)
    message = GossipExchange(row, path_hints=(PathHint("west-1-0", age_ms=-3),))
    data = encode(message)
    assert decode(data) == message
    schema = (resources.files("wagtailrun.schema") / "gossip.capnp").read_text("utf-8")
    without = schema.replace("  pathHints @10 :List(PathHint);\n", "")
    without = without.replace("@0xd1a6c3b7f0e94a13", "@0xe1a6c3b7f0e94a13")
    assert without.count("PathHint") == 1
    path = tmp_path / "before.capnp"
    path.write_text(without)
    before = capnp.load(str(path)).Message
    with before.from_bytes(data[1:]) as reader:
        assert reader.gossipExchange.sender.name == "entry-1"
    builder = before.new_message()
    builder.init("gossipExchange").init("sender").name = "entry-1"
    assert decode(data[:1] + builder.to_bytes()).path_hints == ()


def test_product_entry_exchanges_hints():
    """Guards against an entry whose gossip and dispatcher are not connected."""
    entry = make_product_entry(drain_limit_ms=1_000)
    exchanger = entry.gossip.exchanger
    paths, prober = entry.dispatcher.router.paths, entry.dispatcher.context.prober
    assert exchanger.own_hints == paths.own_hints
    assert exchanger.receive_hints == prober.receive_hints
