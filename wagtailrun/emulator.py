"""Emulated targets and links in virtual time, behind the target port."""

import heapq
import itertools
import json
import random
from collections import Counter, OrderedDict, deque
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import attrs
import curio

from wagtailrun.affinity import CacheEvents, prefix_hashes
from wagtailrun.clock import MS_PER_SECOND, Clock
from wagtailrun.exceptions import ConnectFailed, TargetFailed, Verdict
from wagtailrun.membership import Membership, TargetRow
from wagtailrun.ports.link import Address
from wagtailrun.ports.target import Attempt, StageAnswer, TargetClient, Token

__all__ = ["EmulatedClient", "Emulator", "TargetModel"]

CONNECT_TIMEOUT_MS = 1_000
ANNOUNCE_INTERVAL_MS = 1_000
ANNOUNCE_SLICES = 4
# Prompt tokens that an engine processes in one step beside decoding.
PREFILL_CHUNK = 256
CHARACTERS_PER_TOKEN = 4
FOREVER_S = 86_400


@attrs.frozen
class TargetModel:
    """Speed and size of one emulated target.

    Attributes:
        capacity: Requests that it runs at once.
        decode_ms: Duration of one step without prefill; 0 for a target that does not
            generate.
        prefill_us: Time of one prompt token that is not cached, in microseconds.
        service_ms: Mean time of a call of a target that does not generate.
        cache_blocks: Prefix blocks that fit into its cache.
    """

    capacity: int = 8
    decode_ms: float = 0.0
    prefill_us: float = 0.0
    service_ms: float = 0.0
    cache_blocks: int = 0


@attrs.define(eq=False)
class _Job:
    attempt: Attempt
    entry: str
    items: curio.Queue
    body: dict[str, Any]
    prefill_left: int = 0
    offset: int = 0
    total: int = 0
    tokens_in: int = 0
    cached: int = 0
    engine_ms: float = 0.0
    cancelled: bool = False


class EmulatedTarget:
    """One target: a queue by priority and a batch or slots that serve it.

    Args:
        row: First row that it announces.
        model: Speed and size.
        seed: Seed of service times.
    """

    def __init__(self, row: TargetRow, model: TargetModel, seed: int):
        self.row = row
        self.model = model
        self.random = random.Random(seed)
        self.slowdown_factor = 1.0
        self.alive = True
        self.vanished = False
        # Tokens that a faulty target repeats when it resumes a stream.
        self.resume_slip = 0
        self.wake = curio.Event()
        self.order = itertools.count()
        self.waiting: list[tuple[int, int, _Job]] = []
        self.running: list[_Job] = []
        self.cache: OrderedDict[int, None] = OrderedDict()
        self.cache_log: list[str] = []
        self.cache_events = 0
        self.runs_by_key: Counter[str] = Counter()
        self.engine_ms_by_attempt: Counter[tuple[str, str, int]] = Counter()
        self.tokens_by_request: Counter[str] = Counter()
        self.crossed = 0
        self.tokens_in = 0
        self.tokens_cached = 0

    def submit(self, attempt: Attempt, entry: str) -> _Job:
        """Queue an attempt and return its job."""
        body = json.loads(attempt.body) if attempt.body else {}
        job = _Job(attempt, entry, curio.Queue(), body)
        if self.model.decode_ms:
            self._prepare_generate(job)
        heapq.heappush(self.waiting, (-attempt.priority, next(self.order), job))
        return job

    def _prepare_generate(self, job: _Job) -> None:
        values = job.body.get("input", job.body)
        prompt = str(values.get("prompt", ""))
        for stage in ("encode", "retrieve", "rerank"):
            earlier = job.body.get(stage)
            if earlier and earlier["request"] != job.attempt.request_id:
                self.crossed += 1
        job.tokens_in = len(prompt) // CHARACTERS_PER_TOKEN
        job.total = int(values.get("max_tokens", 16))
        job.offset = max(job.attempt.resume_offset - self.resume_slip, 0)
        job.prefill_left = job.tokens_in

    def _use_cache(self, job: _Job) -> None:
        """Skip the prefill of cached prefix blocks and cache the prompt's blocks."""
        if not self.model.cache_blocks:
            return
        values = job.body.get("input", job.body)
        hashes = prefix_hashes(str(values.get("prompt", "")))
        hits = 0
        for value in hashes:
            if value not in self.cache:
                break
            hits += 1
        tokens_per_block = job.tokens_in // max(len(hashes), 1)
        job.cached = hits * tokens_per_block
        job.prefill_left -= job.cached
        self.tokens_in += job.tokens_in
        self.tokens_cached += job.cached
        for value in hashes:
            if value not in self.cache:
                self.cache_log.append(f"{value:x}")
            self.cache[value] = None
            self.cache.move_to_end(value)
        while len(self.cache) > self.model.cache_blocks:
            evicted, _ = self.cache.popitem(last=False)
            self.cache_log.append(f"-{evicted:x}")

    async def run(self) -> None:
        """Serve jobs until the emulation ends."""
        while True:
            self._admit()
            if not self.running or not self.model.decode_ms:
                self.wake.clear()
                await self.wake.wait()
            else:
                await self._step()

    def _admit(self) -> None:
        while self.waiting and len(self.running) < self.model.capacity:
            job = heapq.heappop(self.waiting)[2]
            if not job.cancelled:
                self.running.append(job)
                if self.model.decode_ms:
                    self._use_cache(job)

    async def admit_calls(self) -> None:
        """Start queued calls; a target that generates admits them by itself."""
        if self.model.decode_ms:
            return
        before = set(map(id, self.running))
        self._admit()
        for job in self.running:
            if id(job) not in before:
                await curio.spawn(self._serve_call, job, daemon=True)

    async def _serve_call(self, job: _Job) -> None:
        spread = 0.7 + 0.6 * self.random.random()
        duration_ms = self.model.service_ms * spread * self.slowdown_factor
        key = job.body.get("order_key")
        if key:
            self.runs_by_key[key] += 1
        await curio.sleep(duration_ms / MS_PER_SECOND)
        self._book(job, duration_ms)
        if job in self.running:
            self.running.remove(job)
            if not job.cancelled:
                await job.items.put(self._answer(job, duration_ms))
        await self.admit_calls()

    async def _step(self) -> None:
        """Run one step of the continuous batch."""
        budget = PREFILL_CHUNK
        decoding = []
        for job in self.running:
            if job.prefill_left > 0:
                taken = min(budget, job.prefill_left)
                budget -= taken
                job.prefill_left -= taken
                self._book(
                    job, taken * self.model.prefill_us / 1_000 * self.slowdown_factor
                )
            if job.prefill_left <= 0:
                decoding.append(job)
        prefill_ms = (PREFILL_CHUNK - budget) * self.model.prefill_us / 1_000
        step_ms = (self.model.decode_ms + prefill_ms) * self.slowdown_factor
        await curio.sleep(step_ms / MS_PER_SECOND)
        part_ms = (
            self.model.decode_ms * self.slowdown_factor / max(len(self.running), 1)
        )
        for job in list(self.running):
            self._book(job, part_ms)
        for job in decoding:
            if job.cancelled or job not in self.running:
                continue
            await self._emit(job)

    async def _emit(self, job: _Job) -> None:
        request = job.attempt.request_id
        if job.offset < job.total:
            self.tokens_by_request[request] += 1
            await job.items.put(Token(job.offset, f"{request}:{job.offset} "))
            job.offset += 1
        if job.offset >= job.total:
            self.running.remove(job)
            answer = self._answer(job, job.engine_ms)
            await job.items.put(Token(job.total, "", last=True, answer=answer))

    def _book(self, job: _Job, duration_ms: float) -> None:
        job.engine_ms += duration_ms
        stage = job.attempt.path.rpartition("/")[2]
        key = (job.attempt.request_id, stage, job.attempt.number)
        self.engine_ms_by_attempt[key] += duration_ms

    def _answer(self, job: _Job, engine_ms: float) -> StageAnswer:
        body = {"request": job.attempt.request_id}
        return StageAnswer(
            status=200,
            body=json.dumps(body).encode(),
            tokens_in=job.tokens_in,
            tokens_cached=job.cached,
            engine_ms=int(engine_ms),
            running=len(self.running),
            queued=len(self.waiting),
        )

    def drop(self, unwanted: Callable[[_Job], bool]) -> list[_Job]:
        """Take jobs out of the queue and the batch and return them."""
        dropped = [job for job in self.running if unwanted(job)]
        dropped += [item[2] for item in self.waiting if unwanted(item[2])]
        for job in dropped:
            job.cancelled = True
        self.running = [job for job in self.running if not job.cancelled]
        self.waiting = [item for item in self.waiting if not item[2].cancelled]
        heapq.heapify(self.waiting)
        return dropped

    async def die(self) -> None:
        """Lose everything in memory and reset all connections."""
        self.alive = False
        self.cache.clear()
        self.cache_log.clear()
        self.cache_events = 0
        for job in self.drop(lambda job: True):
            error = TargetFailed("connection reset", verdict=Verdict.MAY_HAVE_RUN)
            await job.items.put(error)

    def restart(self) -> None:
        """Come back as a new incarnation."""
        self.alive, self.vanished = True, False
        self.row = attrs.evolve(
            self.row, incarnation=self.row.incarnation + 1, sequence=0
        )

    def announce(self) -> tuple[TargetRow, CacheEvents | None]:
        """Return the next row and the cache events since the one before."""
        self.row = attrs.evolve(
            self.row,
            sequence=self.row.sequence + 1,
            running=len(self.running),
            queued=len(self.waiting),
        )
        events = None
        if self.cache_log:
            first = self.cache_events + 1
            self.cache_events += len(self.cache_log)
            changes = tuple(self.cache_log)
            self.cache_log.clear()
            events = CacheEvents(first, self.cache_events, changes)
        return self.row, events


@attrs.define(eq=False)
class _Connection:
    target: EmulatedTarget
    incarnation: int
    silent: bool = False


@attrs.define
class _Observer:
    data_centre: str
    membership: Membership
    on_cache_events: Callable[[TargetRow, CacheEvents], None] | None
    alive: bool = True


class Emulator:
    """All targets, the links to them, and the faults put upon both.

    Args:
        clock: Virtual clock.
        seed: Seed of service times and lost cache events.
        report_lag_ms: Time between the making of a report and its arrival.
        cache_event_loss: Probability that cache events of one report are lost.
        link_ms: One-way latency.
    """

    def __init__(
        self,
        clock: Clock,
        seed: int = 0,
        *,
        report_lag_ms: int = 500,
        cache_event_loss: float = 0.0,
        link_ms: float = 0.5,
    ):
        self.clock = clock
        self.random = random.Random(seed)
        self.report_lag_ms = report_lag_ms
        self.cache_event_loss = cache_event_loss
        self.link_ms = link_ms
        self.targets_by_address: dict[Address, EmulatedTarget] = {}
        self.targets_by_name: dict[str, EmulatedTarget] = {}
        self.observers: list[_Observer] = []
        self.cut_data_centres: set[str] = set()
        self.clients: list[EmulatedClient] = []
        self.reports: deque[tuple[int, TargetRow, CacheEvents | None]] = deque()

    async def add(
        self, name: str, service: str, data_centre: str, model: TargetModel
    ) -> EmulatedTarget:
        """Add a target and let it serve."""
        number = len(self.targets_by_name) + 1
        address = Address(f"127.0.{number // 250}.{number % 250 + 1}", 8_000)
        row = TargetRow(name, address, service, data_centre, model.capacity, 1)
        target = EmulatedTarget(row, model, self.random.randrange(2**32))
        self.targets_by_address[address] = target
        self.targets_by_name[name] = target
        await curio.spawn(target.run, daemon=True)
        return target

    def client(self, entry: str, data_centre: str) -> "EmulatedClient":
        """Return the target client of one entry."""
        client = EmulatedClient(self, entry, data_centre)
        self.clients.append(client)
        return client

    def observe(
        self,
        data_centre: str,
        membership: Membership,
        on_cache_events: Callable[[TargetRow, CacheEvents], None] | None = None,
    ) -> _Observer:
        """Deliver announcements to a membership; the first ones arrive at once."""
        observer = _Observer(data_centre, membership, on_cache_events)
        self.observers.append(observer)
        for target in self.targets_by_name.values():
            membership.put(target.row, self.clock.now_ms())
        return observer

    async def run_reports(self) -> None:
        """Announce every target each second and deliver the reports with their lag."""
        # Reports that were under way when the replay starts.
        for due_ms in range(0, self.report_lag_ms, ANNOUNCE_INTERVAL_MS):
            for target in self.targets_by_name.values():
                self.reports.append((due_ms, *target.announce()))
        for piece in itertools.cycle(range(ANNOUNCE_SLICES)):
            now_ms = self.clock.now_ms()
            for target in list(self.targets_by_name.values())[piece::ANNOUNCE_SLICES]:
                if target.alive and not target.vanished:
                    self.reports.append(
                        (now_ms + self.report_lag_ms, *target.announce())
                    )
            while self.reports and self.reports[0][0] <= now_ms:
                self._deliver(*self.reports.popleft()[1:])
            await self.clock.sleep_ms(ANNOUNCE_INTERVAL_MS // ANNOUNCE_SLICES)

    def _deliver(self, row: TargetRow, events: CacheEvents | None) -> None:
        for observer in self.observers:
            if not observer.alive or self.is_cut(observer.data_centre, row.data_centre):
                continue
            observer.membership.put(row, self.clock.now_ms())
            lost = self.random.random() < self.cache_event_loss
            if events and observer.on_cache_events and not lost:
                observer.on_cache_events(row, events)

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether no packet passes between two data centres."""
        return one != other and bool(self.cut_data_centres & {one, other})

    async def die(self, name: str) -> None:
        """Kill the process of a target: connections are reset and refused."""
        await self.targets_by_name[name].die()

    async def vanish(self, name: str) -> None:
        """Lose the VM of a target: nothing of it answers any more."""
        target = self.targets_by_name[name]
        target.vanished = True
        target.drop(lambda job: True)
        self.stall_connections(name)

    def stall_connections(self, name: str) -> None:
        """Make every established connection to a target permanently silent."""
        for client in self.clients:
            client.stall_connections(self.targets_by_name[name])

    def cut(self, data_centre: str) -> None:
        """Cut a data centre off from the others."""
        self.cut_data_centres.add(data_centre)
        for client in self.clients:
            for connection in client.connections():
                other = connection.target.row.data_centre
                if self.is_cut(client.data_centre, other):
                    connection.silent = True

    def heal(self, data_centre: str) -> None:
        """Connect a data centre again; connections that went silent stay so."""
        self.cut_data_centres.discard(data_centre)

    async def drop_entry(self, entry: str) -> None:
        """Drop the jobs of an entry whose connections closed."""
        for target in self.targets_by_name.values():
            if target.drop(lambda job: job.entry == entry):
                await target.admit_calls()


class EmulatedClient(TargetClient):
    """Target client of one emulated entry, with a pool of idle connections.

    Args:
        emulator: Targets and links.
        entry: Name of the entry.
        data_centre: Data centre of the entry.
    """

    def __init__(self, emulator: Emulator, entry: str, data_centre: str):
        self.emulator = emulator
        self.entry = entry
        self.data_centre = data_centre
        self.idle_by_address: dict[Address, list[_Connection]] = {}
        self.busy: dict[_Connection, None] = {}
        self.fresh_attempts = 0
        self.attempts = 0

    def connections(self) -> list[_Connection]:
        """Return all open connections."""
        idle = itertools.chain.from_iterable(self.idle_by_address.values())
        return [*idle, *self.busy]

    def stall_connections(self, target: EmulatedTarget) -> None:
        """Make the open connections to ``target`` silent."""
        for connection in self.connections():
            if connection.target is target:
                connection.silent = True

    async def probe(self, address: Address) -> bool:
        """Return whether the target answers on a new connection."""
        try:
            await self._connect(address, fresh=True)
        except TargetFailed:
            return False
        await self._travel()
        return True

    async def call(self, address: Address, attempt: Attempt) -> StageAnswer:
        """Run a stage or call and return its whole answer."""
        async with self._job(address, attempt) as (connection, job):
            return await self._take(connection, job)

    async def stream(
        self, address: Address, attempt: Attempt
    ) -> AsyncIterator[tuple[Token, ...]]:
        """Run a generate stage; see ``TargetClient.stream``."""
        async with self._job(address, attempt) as (connection, job):
            last = False
            while not last:
                tokens = [await self._take(connection, job)]
                while not job.items.empty():
                    tokens.append(await self._take(connection, job, travel=False))
                last = tokens[-1].last
                yield tuple(tokens)

    async def cancel(self, address: Address, number: int) -> None:
        """Drop an attempt at the target."""
        target = self.emulator.targets_by_address[address]
        if self._reachable(target) and target.alive:
            await self._travel()
            target.drop(lambda job: job.attempt.number == number)
            await target.admit_calls()

    @asynccontextmanager
    async def _job(
        self, address: Address, attempt: Attempt
    ) -> AsyncIterator[tuple[_Connection, _Job]]:
        self.attempts += 1
        self.fresh_attempts += attempt.new_connection
        connection = await self._connect(address, attempt.new_connection)
        self.busy[connection] = None
        try:
            await self._travel()
            await self._check(connection)
            job = connection.target.submit(attempt, self.entry)
            await connection.target.wake.set()
            await connection.target.admit_calls()
            yield connection, job
            self.idle_by_address.setdefault(address, []).append(connection)
        finally:
            del self.busy[connection]

    async def _connect(self, address: Address, fresh: bool) -> _Connection:
        target = self.emulator.targets_by_address[address]
        idle = self.idle_by_address.get(address)
        if idle and not fresh:
            return idle.pop()
        if not self._reachable(target):
            await self.emulator.clock.sleep_ms(CONNECT_TIMEOUT_MS)
            raise ConnectFailed(f"cannot connect to {address}: timed out")
        await self._travel()
        await self._travel()
        if not target.alive:
            raise ConnectFailed(f"cannot connect to {address}: refused")
        return _Connection(target, target.row.incarnation)

    def _reachable(self, target: EmulatedTarget) -> bool:
        cut = self.emulator.is_cut(self.data_centre, target.row.data_centre)
        return not cut and not target.vanished

    async def _take(
        self, connection: _Connection, job: _Job, *, travel: bool = True
    ) -> Any:
        item = await job.items.get()
        if travel:
            await self._travel()
            await self._check(connection)
        if isinstance(item, TargetFailed):
            raise item
        return item

    async def _check(self, connection: _Connection) -> None:
        """Wait without end on a silent connection; fail on one that was reset."""
        if connection.silent:
            await curio.sleep(FOREVER_S)
        target = connection.target
        if not target.alive or connection.incarnation != target.row.incarnation:
            raise TargetFailed("connection reset", verdict=Verdict.MAY_HAVE_RUN)

    async def _travel(self) -> None:
        await curio.sleep(self.emulator.link_ms / MS_PER_SECOND)
