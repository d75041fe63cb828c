"""Wire format, fleet and targets of the relay for the soak (``python -m soak``)."""

import json
import random
import shutil
from contextlib import suppress
from pathlib import Path

import curio

from demo.processes import free_addresses
from soak.behaviours import BehaviourFolder, EndedEarly, shape_answer
from soak.dialect import (
    LASTING_KEY,
    Answer,
    Dialect,
    PutAnswer,
    SitePlan,
    Targets,
    parse_addresses,
    reported_addresses,
    revocable_keys,
)
from soak.faults import DISK_FOLDER_VARIABLE
from soak.fleet import Fleet, FleetProcess, Link, Role
from soak.records import RecordWriter, RunRecord
from tests import test_relay_processes as relay
from wagtailrun.adapters.http_server import HttpServer, Response
from wagtailrun.clock import SystemClock
from wagtailrun.exceptions import TargetFailed
from wagtailrun.ports.link import Address

ZONE = "riverside"
DISK_WRAPPER = Path(__file__).parent / "full_disk"
ENGINES = 3
ENGINE_SLOTS = 64
STREAM_EVENTS = 12
# Some streams last longer than the notice of a stop.
EVENT_INTERVALS_S = (0.05, 0.05, 0.15)
# A target is silent for a random time before it answers, and rarely for so long that
# the request is still open as its entry, which stops, sends the last refusals.
MAX_SILENT_MS = 1_500
LONG_SILENCE_SHARE = 0.05
LONG_SILENCES_MS = (2_000, 7_000)
REPORT_INTERVAL_S = 0.4
ODD_REPORT_INTERVAL_S = 2.0
# A fleet that they keep from serving counts as not run if it has not started by then.
FIRST_ODD_REPORT_S = 20.0
ODD_ROW = {
    "service": "llm",
    "address": "127.0.0.1:9",
    "zone": ZONE,
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "seq_no": 1,
    "born": 5,
}
# Bound within which targets that leave finish their requests.
TARGET_DRAIN_S = 4.0
MAX_LATE_STREAM_MS = 6_000
POLL_S = 0.02
SEPARATOR = b"\n\n"
LARGE_ROUTES = 600
# A control member ends within 8 s, or after 10 s if it stands still.
CONTROL_END_MS = 10_000
# The last refusals of a stop come an eighth of the grace period before its end, or this
# time if that is longer.
LAST_PARTS = 8
LAST_REFUSALS_MS = 600
UNAVAILABLE = 503
KINDS = {"stream": 0.35, "staged": 0.15, "order": 0.35, "query": 0.15}
PATHS = {"stream": "/s/x", "staged": "/a/x", "order": "/o/x", "query": "/q/x"}
# Header of a request with its identifier, which targets return.
ID_HEADER = "Attempt-Id"


class ProcessFleet(relay.Fleet):
    """Fleet of the tests of processes, with the settings that operators have."""

    def __init__(self, folder, grace_ms, with_faults):
        environment = {}
        if with_faults:
            paths = (relay.ROOT, relay.ROOT / "platform", DISK_WRAPPER)
            environment["PYTHONPATH"] = ":".join(map(str, paths))
            environment[DISK_FOLDER_VARIABLE] = str(folder)
        super().__init__(folder, environment)
        self.with_faults = with_faults
        (address,) = free_addresses(1)
        self.peer_listen_port = address.port
        self.grace_ms = grace_ms
        # Names of processes that were started before.
        self.started = set()
        # Grace period of the process that runs, by name.
        self.started_grace_ms = {}

    def settings(self, name, ip, extra):
        if self.with_faults:
            listen = f"{ip}:{self.peer_listen_port}"
            extra = {**extra, "PEER_LISTEN_ADDRESS": listen}
        if name in self.grace_ms:
            self.started_grace_ms[name] = self.grace_ms[name]
            extra = {**extra, "GRACE_S": f"{self.grace_ms[name] / 1_000:g}"}
            del extra["DRAIN_NOTICE_MS"]
        elif name in self.started:
            extra = {**extra, "FOUNDING": "false"}
        self.started.add(name)
        return super().settings(name, ip, extra)


class RelayFleet(Fleet):
    """Entries and control members of the relay."""

    def __init__(self, folder, entries, controls, grace_ms, with_faults):
        super().__init__()
        self.inner = ProcessFleet(folder, grace_ms, with_faults)
        self.grace_ms = grace_ms
        self.numbers = {}
        self.processes_by_name = {}
        for number in range(1, controls + 1):
            self._add(f"core-{number}", number, Role.CONTROL)
        for number in range(1, entries + 1):
            self._add(f"front-{number}", number, Role.ENTRY)
        names = ["i-stage", "i-desk", *(f"i-engine-{n + 1}" for n in range(ENGINES))]
        self.target_addresses = dict(
            zip(names, free_addresses(len(names)), strict=True)
        )
        self.links_by_name = {}
        if not with_faults:
            return
        for name, listen in zip(names, free_addresses(len(names)), strict=True):
            self._add_link(f"entries>{name}", listen, self.target_addresses[name])
        for name, process in self.processes_by_name.items():
            told = process.addresses["peer"]
            upstream = Address(told.host, self.inner.peer_listen_port)
            self._add_link(f"peers>{name}", told, upstream)

    def _add_link(self, name, listen, upstream):
        self.links_by_name[name] = Link(name=name, listen=listen, upstream=upstream)

    def _add(self, name, number, role):
        inner = self.inner
        self.numbers[name] = number
        host_of = relay.entry_host if role is Role.ENTRY else relay.control_host
        host = host_of(number)
        addresses = {
            "peer": Address(host, inner.peer_port),
            "metrics": Address(host, inner.metrics_port),
        }
        if role is Role.ENTRY:
            addresses["caller"] = inner.entry(number)
            addresses["ready"] = inner.ready(number)
        else:
            addresses["operator"] = inner.control(number)
        self.processes_by_name[name] = FleetProcess(
            name=name,
            role=role,
            folder=inner.folder / name,
            log=inner.folder / f"{name}.log",
            addresses=addresses,
        )

    def spawn(self, name):
        process = self.processes_by_name[name]
        process.folder.mkdir(exist_ok=True)
        if process.role is Role.ENTRY:
            self.inner.start_entry(self.numbers[name])
        else:
            self.inner.start_control(self.numbers[name])
        return self.inner.processes[name]

    def end_limit_ms(self, name):
        return self.inner.started_grace_ms.get(name, CONTROL_END_MS)

    def wipe(self, name):
        shutil.rmtree(self.processes_by_name[name].folder)


def configuration(version, variant, revoked):
    """Return a configuration of the relay."""
    value = json.loads(relay.document(version, resumable=True))
    staged = value["routes"][0]
    common = {**staged, "stages": [], "timeout_ms": 6_000}
    routes = [{**staged, "timeout_ms": 8_000 + version % 7}]
    for name, kind, service in (
        ("stream", "streaming", "llm"),
        ("order", "non_idempotent", "desk"),
        ("query", "idempotent", "desk"),
    ):
        prefix = PATHS[name].removesuffix("x")
        route = {**common, "name": name, "path_prefix": prefix, "kind": kind}
        if name != "stream":
            route |= {"stream_resume": False, "max_attempts": 2}
        routes.append({**route, "service": service})
    if variant == "large":
        routes += [
            {**routes[-1], "name": f"more-{n}", "path_prefix": f"/more/{n}/"}
            for n in range(LARGE_ROUTES)
        ]
    elif variant == "refused":
        routes[0]["kind"] = "no kind"
    value["routes"] = routes
    value["services"][0] = {"name": "llm", "engine": {"slots": ENGINE_SLOTS}}
    value["services"].append({"name": "desk"})
    keys = [LASTING_KEY, *revocable_keys(revoked)]
    value["tenants"] = [{"name": "guild", "api_keys": keys}]
    return json.dumps(value).encode()


class RelayDialect(Dialect):
    """Wire format of the relay on the users' platform."""

    kinds = KINDS
    resumable = "stream"
    last_event = STREAM_EVENTS
    # That of ``request_headers``.
    deadline_ms = 6_000
    listen_ms = 2_800
    stay_ms = 1_500

    def last_refusals_ms(self, grace_ms):
        return grace_ms - max(grace_ms // LAST_PARTS, LAST_REFUSALS_MS)

    def request(self, plan):
        wanted = (ID_HEADER, "Deadline-Remaining", "Credential", "Token-Count")
        headers = [
            pair
            for pair in relay.request_headers(plan.name, plan.key)
            if pair[0] in wanted or plan.kind in ("staged", "stream")
        ]
        if plan.kind == "stream":
            headers = [p for p in headers if not p[0].startswith("Piece")]
        if plan.resumes:
            headers.append(("Last-Event-Id", str(plan.after_event)))
            headers.append(("Resumes", plan.resumes))
        return PATHS[plan.kind], [("Host", "works.example"), *headers], b"{}"

    def runs_once(self, kind):
        return kind == "order"

    def read(self, kind, status, headers, body):
        is_not_run = (
            headers.get("wagtailrun-verdict") == "not-run" or status == UNAVAILABLE
        )
        if status != 200 or kind in ("order", "query"):
            return Answer(is_not_run=is_not_run)
        events, versions = [], []
        for block in body.split(SEPARATOR)[:-1]:
            lines = dict(
                line.split(": ", 1)
                for line in block.decode().splitlines()
                if ": " in line
            )
            if "id" in lines:
                events.append(int(lines["id"]))
                versions.append(lines["data"])
        is_whole = bool(events) and events[-1] == STREAM_EVENTS
        return Answer(is_whole=is_whole, events=events, versions=sorted(set(versions)))

    def make_fleet(self, folder, entries, controls, grace_ms, with_faults):
        return RelayFleet(folder, entries, controls, grace_ms, with_faults)

    def make_plan(self, fleet, seed, callers_per_entry):
        processes = fleet.processes_by_name.values()
        entries = [each for each in processes if each.role is Role.ENTRY]
        controls = [each for each in processes if each.role is Role.CONTROL]
        return SitePlan(
            kind="relay",
            seed=seed,
            callers_per_entry=callers_per_entry,
            caller_addresses={e.name: str(e.addresses["caller"]) for e in entries},
            ready_addresses={e.name: str(e.addresses["ready"]) for e in entries},
            report_addresses=[str(c.addresses["operator"]) for c in controls],
            target_addresses={
                name: str(address) for name, address in fleet.target_addresses.items()
            },
            reported_addresses=reported_addresses(fleet, fleet.target_addresses),
        )

    def make_targets(self, plan):
        return RelayTargets(plan)

    async def put(self, fleet, member, version, variant, revoked):
        address = fleet.processes_by_name[member].addresses["operator"]
        body = configuration(version, variant, revoked)
        try:
            reply = await relay.send(address, "PUT", "/configuration", body)
        except TargetFailed:
            return PutAnswer()
        return PutAnswer(status=reply.status, version=version)

    async def get_version(self, fleet, member):
        address = fleet.processes_by_name[member].addresses["operator"]
        try:
            reply = await relay.send(address, "GET", "/configuration")
        except TargetFailed:
            return 0
        return json.loads(reply.body)["version"] if reply.status == 200 else 0


class RelayTarget:
    """A stage target, an engine or a plain service that reports itself."""

    def __init__(self, owner, name, service, version, listen, reported):
        self.owner = owner
        self.name = name
        self.service = service
        self.version = version
        self.listen = listen
        self.reported = reported
        self.born = SystemClock().wall_ms()
        self.state = "ready"
        self.ended = curio.Event()
        self.open_streams = 0
        self.sequence = 0

    async def run(self):
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(HttpServer(self.listen, self.handle).serve)
            await group.spawn(self.report)
        await self.ended.set()

    async def report(self):
        while self.state != "gone":
            self.sequence += 1
            await self.tell("PUT", self.row())
            await curio.sleep(REPORT_INTERVAL_S)

    def row(self):
        return {
            "service": self.service,
            "address": str(self.reported),
            "zone": ZONE,
            "version": self.version,
            "slots": ENGINE_SLOTS,
            "state": self.state,
            "seq_no": self.sequence,
            "born": self.born,
        }

    async def tell(self, method, body):
        """Send a report to the next control member that answers."""
        controls = self.owner.controls
        for number in range(len(controls)):
            address = controls[(self.sequence + number) % len(controls)]
            path = f"/instances/{self.name}"
            try:
                reply = await relay.send(
                    address, method, path, json.dumps(body).encode(), timeout_ms=1_000
                )
            except TargetFailed:
                continue
            if reply.status == 200:
                return

    async def leave(self):
        """Drain as a target that is released, then leave."""
        self.state = "draining"
        self.sequence += 1
        await self.tell("PUT", self.row())
        await curio.sleep(TARGET_DRAIN_S)
        # The soak may be late itself; a stream that a target cuts is no finding.
        end_ms = self.owner.clock.now_ms() + MAX_LATE_STREAM_MS
        while self.open_streams and self.owner.clock.now_ms() < end_ms:
            await curio.sleep(POLL_S)
        self.state = "gone"
        await self.tell("DELETE", {"born": self.born})

    async def handle(self, request):
        owner = self.owner
        if request.path == "/report":
            return Response(200, json.dumps({"born": self.born}).encode())
        if self.service == "board":
            return await self.handle_stage(request)
        name = request.headers["attempt-id"]
        kind = next(kind for kind, path in PATHS.items() if path == request.path)
        owner.writer.write(
            RunRecord(
                name=name,
                target=self.name,
                at_ms=owner.clock.now_ms(),
                version=self.version,
                runs_once=kind == "order",
            )
        )
        seal = ((ID_HEADER, name), relay.SIGNATURE)
        # A target that leaves waits for what it was silent about, too.
        self.open_streams += 1
        try:
            await curio.sleep(owner.silence_ms() / 1_000)
        finally:
            self.open_streams -= 1
        behaviour = owner.behaviours.get(self.name)
        if self.service == "desk":
            return Response(200, shape(behaviour, answer(), 1), seal, length=4)
        first = int(request.headers.get("last-event-id", "0")) + 1
        headers = (("Content-Type", "text/event-stream"), *seal)
        count = STREAM_EVENTS + 1 - first
        return Response(200, shape(behaviour, self.events(first), count), headers)

    async def events(self, first):
        interval_s = self.owner.random.choice(EVENT_INTERVALS_S)
        self.open_streams += 1
        try:
            for number in range(first, STREAM_EVENTS + 1):
                yield b"id: %d\ndata: %s\n\n" % (number, self.version.encode())
                await curio.sleep(interval_s)
        finally:
            self.open_streams -= 1

    async def handle_stage(self, request):
        value = json.loads(request.body)
        if request.path == "/stage-free":
            return Response(200, b"{}")
        await curio.sleep(0.05)
        items = [
            {"handle": f"{self.reported}/{item['id']}-{item['stage']}-{item['piece']}"}
            for item in value["items"]
        ]
        return Response(200, json.dumps({"items": items}).encode())


async def answer():
    yield b"done"


async def shape(behaviour, pieces, count):
    """Yield the pieces of an answer as an instruction to the target has it."""
    try:
        async for piece in shape_answer(behaviour, pieces, count):
            yield piece
    except EndedEarly:
        raise ConnectionResetError("ended early, as instructed") from None


class RelayTargets(Targets):
    """All targets of a fleet of the relay."""

    def __init__(self, plan):
        self.clock = SystemClock()
        self.random = random.Random(plan.seed)
        self.random_odd = random.Random(f"{plan.seed} odd")
        self.controls = [Address.parse(text) for text in plan.report_addresses]
        self.listen = parse_addresses(plan.target_addresses)
        self.reported = parse_addresses(plan.reported_addresses)
        self.folder = plan.folder
        self.behaviours = BehaviourFolder(Path(plan.behaviour_folder))
        self.engine_version = 1
        self.engines = []

    def silence_ms(self):
        """Return for how long a target is silent before its next answer."""
        if self.random.random() < LONG_SILENCE_SHARE:
            return self.random.uniform(*LONG_SILENCES_MS)
        return self.random.uniform(0, MAX_SILENT_MS)

    async def run(self):
        self.writer = RecordWriter(Path(self.folder) / "targets.records")
        await self.add("i-stage", "board", "v1")
        await self.add("i-desk", "desk", "v1")
        self.engines = [
            await self.add(name, "llm", "v1")
            for name in self.listen
            if name.startswith("i-engine")
        ]
        await self.report_oddly()

    async def report_oddly(self):
        """Send reports that no sound target sends, which must harm no other."""
        bodies = [json.dumps({**ODD_ROW, **odd}).encode() for odd in relay.ODD_REPORTS]
        bodies += relay.ODD_BODIES
        await curio.sleep(FIRST_ODD_REPORT_S)
        while True:
            await curio.sleep(ODD_REPORT_INTERVAL_S)
            number = self.random_odd.randrange(len(bodies))
            path = f"/instances/i-odd-{number}"
            address = self.random_odd.choice(self.controls)
            # A member that stops does not answer.
            with suppress(TargetFailed):
                await relay.send(address, "PUT", path, bodies[number])

    async def add(self, name, service, version, address=None):
        listen = address or self.listen[name]
        reported = address or self.reported[name]
        target = RelayTarget(self, name, service, version, listen, reported)
        await curio.spawn(target.run, daemon=True)
        return target

    async def release(self):
        """Start engines of the next version, one after another, and release the old.

        Every second time the new ones have the names and addresses of the old.
        """
        self.engine_version += 1
        if self.engine_version % 2:
            await self.restart(f"v{self.engine_version}")
            return
        before, self.engines = self.engines, []
        for old, address in zip(before, free_addresses(len(before)), strict=True):
            name = f"{old.name.split('.')[0]}.{self.engine_version}"
            version = f"v{self.engine_version}"
            self.engines.append(await self.add(name, "llm", version, address))
            await curio.spawn(old.leave, daemon=True)
            await curio.sleep(TARGET_DRAIN_S / 2)

    async def restart(self, version):
        """Start engines again under their names, one after another."""
        for number, old in enumerate(self.engines):
            await old.leave()
            new = RelayTarget(self, old.name, "llm", version, old.listen, old.reported)
            self.engines[number] = new
            # The listener of the old one ends first.
            await old.ended.wait()
            await curio.spawn(new.run, daemon=True)
