"""Streams taken up during releases at entries and members that are out of step."""

import random
from collections import Counter

import attrs
import curio
import pytest

from tests.test_discovery import (
    APPLY_LIMIT_MS,
    HEARTBEAT_MS,
    KEY_GRACE_MS,
    Controls,
    PlainFormat,
)
from wagtailrun.clock import Clock
from wagtailrun.discovery import FleetView, OriginClient, StreamOrigin
from wagtailrun.discovery.messages import OriginFound
from wagtailrun.discovery.shared_versions import SharedVersions
from wagtailrun.discovery.stream_origins import (
    ORIGIN_LIFETIME_MS,
    StreamOrigins,
    stream_key,
)
from wagtailrun.exceptions import PeerUnreachable, TargetFailed, Verdict
from wagtailrun.gossip.messages import EntryRow
from wagtailrun.ports.link import Address, PeerLink
from wagtailrun.relay.placement.continuation import (
    ContinuationChecker,
    IncarnationReader,
)
from wagtailrun.targets.table import ChangeLog, TargetRow
from wagtailrun.virtual_time import run_virtual

ENTRIES = 5
TARGETS = 8
STREAMS_PER_S = 15
DURATION_MS = 30_000
# From the request to the first event.
PREFILL_MS = (30, 600)
# How long an entry or a member is out of step.
TROUBLE_MS = (1_000, 7_000)
# An entry is in step again this long after its trouble.
SETTLED_MS = 3_000
MAX_TAKE_UPS = 4
START_MS = 2_000
# After this time entries leave out records while one version serves.
LONG_START_MS = START_MS + ORIGIN_LIFETIME_MS
# Seeds, start times and lengths of the runs of the suite; by hand 60 seeds are run for
# ``DURATION_MS``. In 15 s one seed in four has fewer take-ups than ``MIN_TAKE_UPS``.
RUNS = ((0, LONG_START_MS, 20_000), (1, START_MS, 20_000), (53, LONG_START_MS, 15_000))
# Of the take-ups at entries in step whose version two targets serve, the users ask for
# half.
MIN_CONTINUED_SHARE = 0.5
MIN_TAKE_UPS = 40


@attrs.define(eq=False)
class Process:
    """One lifetime of a target.

    Attributes:
        row: What it says of itself.
        alive: Whether it runs.
        leaving: Whether it takes no new requests.
    """

    row: TargetRow
    alive: bool = True
    leaving: bool = False


class PausingClock(Clock):
    """Clock of an entry that may stand still: time goes on, sleepers wake later."""

    def __init__(self, entry):
        self.entry = entry
        self.clock = entry.fleet.clock

    def now_ms(self):
        return self.clock.now_ms()

    def wall_ms(self):
        return self.clock.wall_ms()

    async def sleep_ms(self, duration_ms):
        await self.clock.sleep_ms(duration_ms)
        await self.entry.running()


class PausingLink(PeerLink):
    """Link of an entry that may stand still.

    A process that was frozen finds both the reply and its time-out. One that was
    suspended finds the reply: its timers stood still.
    """

    def __init__(self, entry, link):
        self.entry = entry
        self.link = link

    async def call(self, address, message, timeout_ms):
        await self.entry.running()
        error = reply = None
        try:
            reply = await self.link.call(address, message, timeout_ms)
        except PeerUnreachable as failure:
            error = failure
        paused = await self.entry.running()
        timed_out = paused and not self.entry.was_suspended
        if error is None and timed_out and self.entry.fleet.random.random() < 0.5:
            error = PeerUnreachable("timed out while the process stood still")
        if error is not None:
            raise error
        return reply


class Reports(IncarnationReader):
    """Reports of targets, some of which do not reply."""

    def __init__(self, entry):
        self.entry = entry

    async def read_incarnation(self, row):
        fleet = self.entry.fleet
        await fleet.clock.sleep_ms(fleet.random.randint(2, 20))
        process = fleet.processes[row.name]
        await self.entry.running()
        if not process.alive:
            raise TargetFailed("no reply", verdict=Verdict.NOT_RUN, timed_out=True)
        if not fleet.targets_report:
            return None
        return process.row.incarnation


class Entry:
    """Entry that begins and takes up streams as a relay entry does."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.paused = False
        self.was_suspended = False
        self.has_ended = False
        # Of a build that does not check which target answers.
        self.is_old = number < fleet.old_entries
        self.trouble_ends_ms = 0
        self.row = EntryRow(
            f"e{number}",
            Address(f"10.8.0.{number}", 7_000),
            "a",
            fleet.clock.now_ms() + 1,
        )
        network = fleet.controls.network
        self.clock = PausingClock(self)
        self.link = PausingLink(self, network.link(self.row.address))
        self.view = FleetView(
            self.clock,
            self.link,
            self.row,
            lambda: [node.address for node in fleet.controls.cluster.nodes],
            PlainFormat(),
            KEY_GRACE_MS,
            APPLY_LIMIT_MS,
        )
        self.origins = OriginClient(self.clock, self.link, self.view)
        self.checker = ContinuationChecker(self.origins, Reports(self))

    async def start(self):
        self.tasks = [
            await curio.spawn(task, daemon=True)
            for task in (self.view.run, self.origins.run)
        ]
        return self

    async def running(self):
        """Wait while the process stands still; return whether it did."""
        was_paused = self.paused
        while self.paused:
            await self.fleet.clock.sleep_ms(5)
        return was_paused

    @property
    def is_settled(self):
        ends_ms = self.trouble_ends_ms + SETTLED_MS
        return not self.has_ended and self.fleet.clock.now_ms() > ends_ms

    async def kill(self):
        for task in self.tasks:
            await task.cancel()
        self.has_ended = True


class Fleet:
    """Control members, entries, and targets that are replaced by newer versions."""

    def __init__(
        self,
        clock,
        seed,
        *,
        targets_report=True,
        old_entries=0,
        old_members=0,
        duration_ms=DURATION_MS,
    ):
        self.clock = clock
        self.targets_report = targets_report
        self.duration_ms = duration_ms
        self.old_entries = old_entries
        self.old_members = old_members
        self.random = random.Random(seed)
        self.processes = {}
        # Members that a target reaches; the others reach all.
        self.reached_by_name = {}
        self.versions = 0
        # Versions of the two parts of each stream that went on, how and at which entry.
        self.joined = []
        # Whether each take-up at an entry in step went on.
        self.continued = []
        self.results = Counter()

    async def start(self, start_ms, entries=ENTRIES):
        self.controls = await Controls(self.clock, self.random.randrange(1_000)).start()
        self.hubs = self.controls.hubs
        self.network = self.controls.network
        for hub in self.hubs[: self.old_members]:
            use_earlier_build(hub)
        for number in range(TARGETS):
            await self.start_target(f"t{number}", "v0")
        await curio.spawn(self.send_heartbeats, daemon=True)
        self.entries = [await Entry(self, n).start() for n in range(entries)]
        await self.clock.sleep_ms(start_ms)

    # Targets

    async def start_target(self, name, version):
        """Start a target, or start it again under its name."""
        before = self.processes.get(name)
        address = Address(f"10.9.{len(self.processes)}.1", 80)
        if before is not None:
            before.alive = False
            address = before.row.address
            await self.clock.sleep_ms(self.random.choice([1, 20, 300]))
        row = TargetRow(
            name,
            address,
            "s",
            "a",
            64,
            incarnation=self.clock.now_ms() + 1,
            software_version=version,
        )
        self.processes[name] = process = Process(row)
        # It registers before it gets requests; that report may arrive late.
        if self.random.random() < 0.8:
            await self.tell(process)

    async def tell(self, process):
        """Report to a member that can be reached; each has the same chance."""
        row = attrs.evolve(process.row, sequence=process.row.sequence + 1)
        process.row = row
        frozen = self.network.frozen
        reached = [hub for hub in self.hubs if hub.address not in frozen]
        hubs = self.reached_by_name.get(row.name, reached)
        await self.random.choice(hubs).report(row)

    async def send_heartbeats(self):
        while True:
            for process in list(self.processes.values()):
                if process.alive:
                    await self.tell(process)
            await self.clock.sleep_ms(HEARTBEAT_MS)

    def serving(self):
        return [p for p in self.processes.values() if p.alive and not p.leaving]

    async def stop_target(self, process):
        process.leaving = True
        process.row = attrs.evolve(process.row, leaving=True)
        await self.tell(process)
        await self.clock.sleep_ms(self.random.randint(500, 3_000))
        process.alive = False

    async def change_targets(self):
        """Let targets join, leave and start again, in all orders, for the whole run."""
        while True:
            await self.clock.sleep_ms(self.random.randint(200, 2_500))
            serving = self.serving()
            process = self.random.choice(serving)
            name = process.row.name
            match self.random.choice(["join", "join", "leave", "restart", "version"]):
                case "version":
                    self.versions += 1
                    await self.start_target(
                        f"t{len(self.processes)}", f"v{self.versions}"
                    )
                case "join" if len(serving) < 2 * TARGETS:
                    version = f"v{self.random.randint(0, self.versions)}"
                    await self.start_target(f"t{len(self.processes)}", version)
                case "leave" if len(serving) > TARGETS // 2:
                    await curio.spawn(self.stop_target, process, daemon=True)
                case "restart":
                    version = f"v{self.random.randint(0, self.versions)}"
                    if self.random.random() < 0.3:
                        version = process.row.software_version
                    task = (self.start_target, name, version)
                    await curio.spawn(*task, daemon=True)

    # Trouble

    async def disturb(self):
        """Put entries and members out of step; several may be so at once."""
        while True:
            await self.clock.sleep_ms(self.random.randint(300, 2_500))
            kinds = ["freeze", "suspend", "cut", "cut", "split", "member", "restart"]
            kind = self.random.choice(kinds)
            await curio.spawn(getattr(self, f"_{kind}"), daemon=True)

    def _trouble_ms(self, entries=()):
        duration_ms = self.random.randint(*TROUBLE_MS)
        ends_ms = self.clock.now_ms() + duration_ms
        for entry in entries:
            entry.trouble_ends_ms = max(entry.trouble_ends_ms, ends_ms)
        return duration_ms

    async def _freeze(self, suspended=False):
        entry = self.random.choice(self.entries)
        if entry.paused:
            return
        entry.paused, entry.was_suspended = True, suspended
        await self.clock.sleep_ms(self._trouble_ms([entry]))
        entry.paused = False

    async def _suspend(self):
        await self._freeze(suspended=True)

    async def _cut(self):
        """Cut an entry off from some or all members."""
        entry = self.random.choice(self.entries)
        nodes = self.random.sample(self.hubs, self.random.randint(1, len(self.hubs)))
        pairs = [(entry.row.address, hub.address) for hub in nodes]
        await self._cut_for(pairs, self._trouble_ms([entry]))

    async def _split(self):
        """Cut a member off from the others, and some entries with it."""
        hub = self.random.choice(self.hubs)
        others = [each for each in self.hubs if each is not hub]
        pairs = [(hub.address, each.address) for each in others]
        cut_off = [entry for entry in self.entries if self.random.random() < 0.3]
        touched = []
        for entry in self.entries:
            far = others if entry in cut_off else [hub]
            if entry in cut_off or self.random.random() < 0.5:
                pairs += [(entry.row.address, each.address) for each in far]
                touched.append(entry)
        await self._cut_for(pairs, self._trouble_ms(touched))

    async def _cut_for(self, pairs, duration_ms):
        for pair in pairs:
            self.network.cut(*pair)
        await self.clock.sleep_ms(duration_ms)
        for source, destination in pairs:
            self.network.cuts -= {(source, destination), (destination, source)}

    async def _member(self):
        """Let a member stand still."""
        if self.network.frozen:
            return
        hub = self.random.choice(self.hubs)
        self.network.frozen.add(hub.address)
        await self.clock.sleep_ms(self._trouble_ms())
        self.network.frozen.discard(hub.address)

    async def _restart(self):
        """Start an entry again, at times a member that forgets what it knew."""
        number = self.random.randrange(ENTRIES)
        if self.random.random() < 0.5:
            await self.entries[number].kill()
            self.entries[number] = await Entry(self, number).start()
            self._trouble_ms([self.entries[number]])
        elif self.random.random() < 0.3:
            hub = self.random.choice(self.hubs)
            hub.epoch += 1
            hub.membership.__init__()
            hub.reported_targets = ChangeLog()
            hub.peers_by_address.clear()
            hub.origins = StreamOrigins(self.clock, hub.membership)
            hub.shared_versions = SharedVersions(self.clock, hub.membership)

    # Streams

    async def stream(self, number):
        """Play one caller's stream: begin it, and take it up where it breaks."""
        entry = self.random.choice(self.entries)
        await entry.running()
        rows = entry.view.targets("s")
        if not rows:
            return
        row = self.random.choice(rows)
        process = await self.run_at(entry, row)
        if process is None or entry.has_ended:
            return
        origin = StreamOrigin("s", row.software_version, row.name, row.incarnation)
        key = stream_key("w", f"r{number}")
        await entry.origins.record([key], origin)
        version = process.row.software_version
        for _ in range(MAX_TAKE_UPS):
            if not await self.wait_for_break(entry, process):
                # The target broke off and the entry lives: it goes on by itself.
                process = await self.go_on(entry, origin, version, "resumed", row.name)
                if process is not None:
                    continue
            await self.clock.sleep_ms(self.random.randint(20, 1_000))
            entry = self.random.choice(self.entries)
            origin, process = await self.take_up(entry, key, version)
            if process is None:
                return

    async def run_at(self, entry, row, origin=None):
        """Send a request to a target; return the process that sent its first event.

        Args:
            entry: Entry that sends it.
            row: Target, as the entry knows it.
            origin: Where the stream began that the target is to continue, if any.
        """
        continuation = entry.checker.prepare(origin, row)
        await self.clock.sleep_ms(self.random.randint(2, 5))
        await entry.running()
        process = self.processes[row.name]
        if not process.alive or entry.view.is_leaving(row):
            return None
        if continuation is not None:
            await continuation.start()
        await self.clock.sleep_ms(self.random.randint(*PREFILL_MS))
        await entry.running()
        if not process.alive:
            return None
        if continuation is not None:
            mismatch = "" if entry.is_old else await continuation.mismatch()
            if mismatch or entry.view.has_new_version(row):
                self.results[mismatch, False] += 1
                return None
        return process

    async def wait_for_break(self, entry, process):
        """Wait until a stream breaks; return whether its entry or path broke."""
        ends_ms = self.clock.now_ms() + self.random.randint(100, 5_000)
        while self.clock.now_ms() < ends_ms and process.alive and not entry.has_ended:
            await self.clock.sleep_ms(50)
        await entry.running()
        return entry.has_ended or process.alive and self.random.random() < 0.5

    async def take_up(self, entry, key, version):
        await entry.running()
        in_step = entry.is_settled
        found = await entry.origins.find(key, ["s"])
        await entry.running()
        detail = found.detail if found.origin else "unknown"
        process = None
        if found.origin is not None:
            process = await self.go_on(entry, found.origin, version, detail)
        serving = [p for p in self.serving() if p.row.software_version == version]
        if len(serving) >= 2 and in_step and entry.is_settled:
            self.continued.append(process is not None)
        self.results[detail, process is not None] += 1
        return found.origin, process

    async def go_on(self, entry, origin, version, detail, tried=""):
        """Continue a stream at a target that the entry chooses."""
        for _ in range(2):
            rows = entry.view.targets_to_continue(origin, (tried,))
            rows = [row for row in rows if row.name != tried]
            if not rows:
                return None
            row = self.random.choice(rows)
            if entry.view.is_out_of_step and not entry.is_old:
                return None
            process = await self.run_at(entry, row, origin)
            if process is None:
                tried = row.name
                continue
            runs = process.row.software_version
            self.joined.append((version, runs, detail, entry.row.name))
            return process
        return None

    async def play(self):
        for task in (self.change_targets, self.disturb):
            await curio.spawn(task, daemon=True)
        ends_ms = self.clock.now_ms() + self.duration_ms
        number = 0
        while self.clock.now_ms() < ends_ms:
            number += 1
            await curio.spawn(self.stream, number, daemon=True)
            gap_ms = self.random.expovariate(STREAMS_PER_S / 1_000)
            await self.clock.sleep_ms(int(gap_ms))


def use_earlier_build(hub):
    """Let a member name no incarnations, and hand out each version at once."""
    hub._aged_for_entries = hub._aged
    handle = hub.handle

    async def handle_as_before(message):
        reply = await handle(message)
        if isinstance(reply, OriginFound):
            return attrs.evolve(reply, targets=())
        return reply

    hub.handle = handle_as_before


def play(seed, start_ms, **options):
    async def main(clock):
        fleet = Fleet(clock, seed, **options)
        await fleet.start(start_ms)
        await fleet.play()
        return fleet

    return run_virtual(main)


@pytest.mark.parametrize(("seed", "start_ms", "duration_ms"), RUNS)
def test_streams_go_on_at_their_version_with_entries_out_of_step(
    seed, start_ms, duration_ms
):
    """Guards against streams joined from two versions at an entry out of step.

    Load: targets of new versions join, leave and start again under their names, while
    entries and control members stand still, are suspended, cut off or restarted.
    Streams break because their target or their entry fails; any entry takes them up.
    """
    fleet = play(seed, start_ms, duration_ms=duration_ms)
    assert [each for each in fleet.joined if each[0] != each[1]] == []
    assert len(fleet.continued) >= MIN_TAKE_UPS
    assert sum(fleet.continued) / len(fleet.continued) >= MIN_CONTINUED_SHARE


@pytest.mark.parametrize("keeps_name", [False, True])
def test_version_that_one_member_knows_is_not_used_until_another_one_does(keeps_name):
    """Guards against a guess by members that have not heard of a new version.

    A member is cut off with an entry. A target of a new version reports to it; the
    stream that begins there is recorded there only, and is taken up on the other side.
    """

    async def main(clock):
        fleet = Fleet(clock, 1)
        await fleet.start(LONG_START_MS, entries=2)
        near, far = fleet.entries[:2]
        member, *others = fleet.hubs
        for hub in others:
            fleet.network.cut(member.address, hub.address)
            fleet.network.cut(near.row.address, hub.address)
        fleet.network.cut(far.row.address, member.address)
        fleet.network.frozen |= {hub.address for hub in others}
        name = "t0" if keeps_name else "t99"
        await fleet.start_target(name, "v1")
        fleet.network.frozen.clear()
        # Its reports reach one member only.
        fleet.reached_by_name[name] = [member]
        await member.report(fleet.processes[name].row)
        await clock.sleep_ms(4_000)
        rows = {row.name: row for row in near.view.targets("s")}
        joined = None
        if name in rows:
            row = rows[name]
            origin = StreamOrigin("s", row.software_version, name, row.incarnation)
            await near.origins.record([7], origin)
            await clock.sleep_ms(500)
            found = await far.origins.find(7, ["s"])
            joined = found.origin and found.origin.software_version
        known = near.view.known_target(name).software_version
        del fleet.reached_by_name[name]
        fleet.network.heal()
        await clock.sleep_ms(2_000)
        healed = {row.name: row.software_version for row in near.view.targets("s")}
        return joined, name in rows, known, healed[name]

    assert run_virtual(main) == (None, False, "v1", "v1")


def test_single_member_hands_out_each_version_at_once():
    """Guards against targets that are withheld where nobody else could know them."""

    async def main(clock):
        fleet = Fleet(clock, 1)
        await fleet.start(START_MS)
        hub = fleet.hubs[0]
        hub._member_addresses = lambda: (str(hub.address),)
        row = attrs.evolve(
            fleet.processes["t0"].row, incarnation=clock.now_ms(), software_version="v1"
        )
        await hub.report(row)
        return hub._aged_for_entries("t0").row == row

    assert run_virtual(main)


def test_members_of_an_earlier_build_do_not_join_versions():
    """Guards against an upgrade of the entries before that of the control members.

    Such members name no incarnations: the reports of the targets decide.
    """
    fleet = play(1, START_MS, old_members=3, duration_ms=DURATION_MS // 2)
    assert [each for each in fleet.joined if each[0] != each[1]] == []
    assert sum(fleet.continued) / len(fleet.continued) >= MIN_CONTINUED_SHARE


def test_entries_of_an_earlier_build_join_versions_only_by_themselves():
    """Guards against a new entry that relies on the checks of those that have none.

    Entries of the earlier build join versions while both builds run, as this shows.
    """
    wrong = set()
    # Not with each seed does an old entry join versions.
    for seed in (3, 1):
        fleet = play(seed, START_MS, old_entries=4)
        wrong |= {each[3] for each in fleet.joined if each[0] != each[1]}
    assert wrong
    assert "e4" not in wrong
