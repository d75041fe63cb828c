"""Wire format, fleet and targets of the product's own interface for the soak."""

import json
import random
import shutil
from pathlib import Path
from typing import Any

import curio

from demo.processes import Fleet as DemoFleet
from demo.processes import free_addresses
from demo.stub_target import StubTarget
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
from wagtailrun.adapters.http_client import HttpClient, HttpReply
from wagtailrun.adapters.http_server import HttpServer, Request, Response
from wagtailrun.clock import SystemClock
from wagtailrun.exceptions import TargetFailed
from wagtailrun.ports.link import Address
from wagtailrun.serving.entry_stop import FORCED_END_MARGIN_MS, HANDOVER_TIMEOUT_MS

__all__ = ["ProductDialect"]

DATA_CENTRE = "east"
DISK_WRAPPER = Path(__file__).parent / "full_disk"
SERVICES = ["encoders", "documents", "engines", "dispatch-desk"]
TEXT_FILE = Path(__file__).parent.parent / "demo" / "fleet.toml"
TOKENS = 12
CAPACITY = 64
TOKEN_MS = 50
# An engine, or an order, is silent for a random time.
MAX_SILENT_MS = 1_500
# Longer than a load balancer needs to see that an entry is not ready.
NOTICE_MS = 1_000
CONTROL_END_MS = 10_000
OPERATOR_TIMEOUT_MS = 3_000
TARGET_DRAIN_S = 4.0
LARGE_SERVICES = 300
# Nearly all requests are of one workspace.
LASTING_SHARE = 50
PATHS = {
    "stream": "/v1/pipelines/stockist-query",
    "order": "/v1/services/dispatch-desk/book-dispatch",
    "query": "/v1/services/dispatch-desk/stock-level",
}
SEPARATOR = "@"


class ProductFleet(Fleet):
    """Entries and control members with the product's own interface.

    Args:
        folder: Folder for files and logs.
        entries: Number of entries.
        controls: Number of control members.
        grace_ms: Gets the grace periods of entries by name.
        with_faults: Whether disks and links can have faults.
    """

    def __init__(
        self,
        folder: Path,
        entries: int,
        controls: int,
        grace_ms: dict[str, int],
        with_faults: bool,
    ):
        super().__init__()
        self.inner = DemoFleet(
            TEXT_FILE.read_text("utf-8"),
            [DATA_CENTRE],
            SERVICES,
            entries_per_centre=entries,
            controls=controls,
            starts_targets=False,
        )
        # The temporary folder of the demo's fleet would be removed with its logs.
        self.inner.folder.cleanup()
        self.inner.folder.name = str(folder)
        self.folder = folder
        self.grace_ms = grace_ms
        self._started_grace_ms: dict[str, int] = {}
        inner = self.inner
        self.processes_by_name = {
            name: self._process(
                name,
                Role.CONTROL,
                operator=address,
                peer=inner.control_peer_by_name[name],
            )
            for name, address in inner.operator_address_by_name.items()
        }
        for name, address in inner.caller_address_by_name.items():
            self.processes_by_name[name] = self._process(
                name,
                Role.ENTRY,
                caller=address,
                ready=address,
                target=inner.target_interface_address_by_name[name],
                peer=inner.entry_peer_by_name[name],
            )
        self.links_by_name = self._links() if with_faults else {}
        if with_faults:
            inner.environment["PYTHONPATH"] = str(DISK_WRAPPER)
            inner.environment[DISK_FOLDER_VARIABLE] = str(self.folder)

    def _links(self) -> dict[str, Link]:
        """Return the links to targets and to the peer addresses of processes."""
        targets = self.inner.target_address_by_name
        processes = self.processes_by_name
        addresses = iter(free_addresses(len(targets) + len(processes)))
        links = [
            Link(name=f"entries>{name}", listen=next(addresses), upstream=upstream)
            for name, upstream in targets.items()
        ]
        links += [
            Link(
                name=f"peers>{name}",
                listen=process.addresses["peer"],
                upstream=next(addresses),
            )
            for name, process in processes.items()
        ]
        return {link.name: link for link in links}

    def _process(self, name: str, role: Role, **addresses: Address) -> FleetProcess:
        return FleetProcess(
            name=name,
            role=role,
            folder=self.folder / name,
            log=self.folder / f"{name}.log",
            addresses=addresses,
        )

    def spawn(self, name: str) -> Any:
        """Start the program of a process and return it."""
        arguments = self.inner.arguments(name)
        if self.links_by_name:
            listen = self.links_by_name[f"peers>{name}"].upstream
            arguments.append(f"--peer-listen-address={listen}")
        if self.processes_by_name[name].role is Role.ENTRY:
            self._started_grace_ms[name] = self.grace_ms[name]
            arguments.append(f"--drain-limit-ms={self.grace_ms[name]}")
            arguments.append(f"--drain-notice-ms={NOTICE_MS}")
        self.inner.start(name, arguments)
        return self.inner.processes_by_name[name]

    def end_limit_ms(self, name: str) -> int:
        """Return how long after SIGTERM a process that runs must be gone."""
        if name not in self._started_grace_ms:
            return CONTROL_END_MS
        extra_ms = HANDOVER_TIMEOUT_MS + FORCED_END_MARGIN_MS
        return self._started_grace_ms[name] + extra_ms

    def wipe(self, name: str) -> None:
        """Remove the data of a control member, as if its VM were replaced."""
        shutil.rmtree(self.processes_by_name[name].folder)


class ProductDialect(Dialect):
    """Wire format of the product's own interface."""

    kinds = {"stream": 0.5, "order": 0.35, "query": 0.15}
    is_repeatable = True
    second_signal_ends = True
    # A member answers from its own state.
    read_lag_ms = 5_000
    listen_ms = NOTICE_MS

    def __init__(self) -> None:
        self._revision = 0

    def request(self, plan: Any) -> tuple[str, list[tuple[str, str]], bytes]:
        """Return path, headers and body of a request."""
        headers = [
            ("Host", "product.example"),
            ("Wagtailrun-Workspace", plan.key),
            ("Wagtailrun-Request-Id", plan.name),
        ]
        body: dict[str, Any] = {"name": plan.name}
        if plan.kind == "order":
            headers.append(("Idempotency-Key", plan.name))
        elif plan.kind == "stream":
            body = {"prompt": plan.name, "tokens": TOKENS}
        return PATHS[plan.kind], headers, json.dumps(body).encode()

    def last_refusals_ms(self, grace_ms: int) -> int:
        """Return when an entry that stops has answered its callers."""
        return grace_ms - HANDOVER_TIMEOUT_MS - FORCED_END_MARGIN_MS

    def runs_once(self, kind: str) -> bool:
        """Return whether a request of a kind must not run twice."""
        return kind == "order"

    def read(
        self, kind: str, status: int, headers: dict[str, str], body: bytes
    ) -> Answer:
        """Return what an answer says."""
        is_not_run = headers.get("wagtailrun-verdict") == "not-run"
        if status != 200 or kind != "stream":
            return Answer(is_not_run=is_not_run)
        events, versions = [], set()
        is_whole = is_refused = False
        for block in body.split(b"\n\n")[:-1]:
            lines = dict(
                line.split(": ", 1)
                for line in block.decode().splitlines()
                if ": " in line
            )
            if lines.get("event") == "token":
                token = json.loads(lines["data"])
                events.append(token["offset"] + 1)
                versions.add(token["text"].partition(SEPARATOR)[2].partition("-")[0])
            is_whole = is_whole or lines.get("event") == "done"
            is_refused = is_refused or lines.get("event") == "error"
        return Answer(
            is_whole=is_whole,
            is_refused=is_refused,
            events=events,
            versions=sorted(versions),
        )

    def make_fleet(
        self,
        folder: Path,
        entries: int,
        controls: int,
        grace_ms: dict[str, int],
        with_faults: bool,
    ) -> Fleet:
        """Return a fleet that is not started."""
        return ProductFleet(folder, entries, controls, grace_ms, with_faults)

    def make_plan(self, fleet: Fleet, seed: int, callers_per_entry: int) -> SitePlan:
        """Return what callers and targets need to know."""
        entries = {
            name: str(fleet.processes_by_name[name].addresses["caller"])
            for name in fleet.names(Role.ENTRY)
        }
        targets = fleet.inner.target_address_by_name
        return SitePlan(
            kind="product",
            seed=seed,
            callers_per_entry=callers_per_entry,
            caller_addresses=entries,
            ready_addresses=entries,
            report_addresses=[
                str(fleet.processes_by_name[name].addresses["target"])
                for name in fleet.names(Role.ENTRY)
            ],
            target_addresses={name: str(each) for name, each in targets.items()},
            reported_addresses=reported_addresses(fleet, targets),
        )

    def make_targets(self, plan: SitePlan) -> Targets:
        """Return the targets."""
        return ProductTargets(plan)

    async def put(
        self, fleet: Fleet, member: str, version: int, variant: str, revoked: int
    ) -> PutAnswer:
        """Send a fleet text."""
        price = 2 + version % 7
        text = fleet.inner.text.replace("token_in = 2", f"token_in = {price}")
        keys = [LASTING_KEY, *revocable_keys(revoked)]
        for key in keys:
            share = LASTING_SHARE if key == LASTING_KEY else 1
            text += f"\n[workspaces.{key}]\nshare = {share}\n"
        if variant == "refused":
            text += "\n[no-such-table]\n"
        elif variant == "large":
            text += "".join(
                f'\n[services.more-{number}]\nkind = "pool"\n'
                for number in range(LARGE_SERVICES)
            )
        body = json.dumps({"text": text, "base_revision": self._revision}).encode()
        reply = await self._ask(fleet, member, "POST", body)
        if reply is None:
            return PutAnswer()
        revision = json.loads(reply.body).get("revision", self._revision)
        self._revision = max(self._revision, revision)
        return PutAnswer(status=reply.status, version=revision)

    async def get_version(self, fleet: Fleet, member: str) -> int:
        """Return the version that a control member tells; 0 if it tells none."""
        reply = await self._ask(fleet, member, "GET", b"")
        if reply is None or reply.status != 200:
            return 0
        return json.loads(reply.body)["revision"]

    async def _ask(
        self, fleet: Fleet, member: str, method: str, body: bytes
    ) -> HttpReply | None:
        credential = fleet.inner.environment["WAGTAILRUN_OPERATOR_CREDENTIAL"]
        try:
            return await HttpClient().request(
                fleet.processes_by_name[member].addresses["operator"],
                method,
                "/v1/text",
                (("Authorization", f"Bearer {credential}"), ("Connection", "close")),
                body,
                timeout_ms=OPERATOR_TIMEOUT_MS,
            )
        except TargetFailed:
            return None


class ProductTarget(StubTarget):
    """Stub target that records what it runs, names its version, and can be odd.

    Args:
        owner: All targets.
        name: Its name.
        service: Its service.
        version: Its software version.
        listen: Address that it listens at.
        reported: Address at which entries reach it.
    """

    def __init__(
        self,
        owner: "ProductTargets",
        name: str,
        service: str,
        version: str,
        listen: Address,
        reported: Address,
    ):
        super().__init__(
            name, reported, service, DATA_CENTRE, owner.entries, token_ms=TOKEN_MS
        )
        self.owner = owner
        self.version = version
        self.listen = listen

    async def run(self) -> None:
        """Serve and announce until cancelled."""
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(HttpServer(self.listen, self.handle).serve)
            await group.spawn(self.announce)

    def announcement(self) -> dict:
        """Return the body of an announcement."""
        value = super().announcement()
        return {**value, "software_version": self.version, "capacity": CAPACITY}

    async def handle(self, request: Request) -> Response:
        """Serve one request of an entry."""
        kind = request.path.rsplit("/", 1)[-1]
        is_call = request.path.startswith("/v1/calls/")
        if request.method == "POST" and (is_call or kind == "generate"):
            body = json.loads(request.body)
            name = body["name"] if is_call else body["input"]["prompt"]
            self.owner.record(name, self, kind == "book-dispatch")
            silent_ms = self.owner.random.uniform(0, MAX_SILENT_MS)
            await curio.sleep(silent_ms / 1_000)
        return await super().handle(request)

    async def _tokens(self, attempt: str, body: dict, offset: int, tokens: int) -> Any:
        prompt = f"{body['input']['prompt']}{SEPARATOR}{self.version}"
        body = {**body, "input": {**body["input"], "prompt": prompt}}
        pieces = super()._tokens(attempt, body, offset, tokens)
        behaviour = self.owner.behaviours.get(self.name)
        try:
            async for piece in shape_answer(behaviour, pieces, tokens):
                yield piece
        except EndedEarly:
            raise ConnectionResetError("ended early, as instructed") from None

    async def leave(self) -> None:
        """Tell that the target leaves."""
        self.sequence += 1
        body = json.dumps(self.announcement()).encode()
        for entry in self.entries:
            try:
                await HttpClient().request(
                    entry, "POST", "/v1/targets/goodbye", (), body, timeout_ms=1_000
                )
            except TargetFailed:
                continue
            return


class ProductTargets(Targets):
    """All targets of a fleet.

    Args:
        plan: The fleet.
    """

    def __init__(self, plan: SitePlan):
        self.random = random.Random(plan.seed)
        self.entries = [Address.parse(text) for text in plan.report_addresses]
        self.listen = parse_addresses(plan.target_addresses)
        self.reported = parse_addresses(plan.reported_addresses)
        self.behaviours = BehaviourFolder(Path(plan.behaviour_folder))
        self._writer = RecordWriter(Path(plan.folder) / "targets.records")
        self._clock = SystemClock()
        self._version = 1
        self._engine: tuple[ProductTarget, Any] | None = None

    def record(self, name: str, target: ProductTarget, runs_once: bool) -> None:
        """Record that a target runs a request."""
        self._writer.write(
            RunRecord(
                name=name,
                target=target.name,
                at_ms=self._clock.now_ms(),
                version=target.version,
                runs_once=runs_once,
            )
        )

    async def run(self) -> None:
        """Serve and announce until cancelled."""
        for name, listen in self.listen.items():
            service = name.split("-", 1)[1]
            started = await self._add(name, service, listen, self.reported[name])
            if service == "engines":
                self._engine = started
        await curio.Event().wait()

    async def _add(
        self, name: str, service: str, listen: Address, reported: Address
    ) -> tuple[ProductTarget, Any]:
        version = f"v{self._version}"
        target = ProductTarget(self, name, service, version, listen, reported)
        return target, await curio.spawn(target.run, daemon=True)

    async def release(self) -> None:
        """Replace the engine by one of the next version."""
        self._version += 1
        old, task = self._engine
        (address,) = free_addresses(1)
        name = f"{DATA_CENTRE}-engines.{self._version}"
        self._engine = await self._add(name, "engines", address, address)
        await curio.sleep(TARGET_DRAIN_S / 2)
        await old.leave()
        await curio.sleep(TARGET_DRAIN_S)
        await task.cancel()
