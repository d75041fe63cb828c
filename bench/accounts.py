"""Benchmarks of the accounts: time to count, bytes exchanged, memory, pauses."""

import itertools
import json
import random
import time
import tracemalloc
from collections import Counter
from collections.abc import Callable
from typing import Any

import curio

from wagtailrun.accounts.cells import (
    CellTable,
    Column,
    Measure,
    RequestOutcome,
    RowKey,
    Scope,
    Source,
    Usage,
    WorkKind,
)
from wagtailrun.accounts.counters import Accounts
from wagtailrun.accounts.messages import AccountRows, pack_batch
from wagtailrun.accounts.store import MAX_ROWS, AccountStore
from wagtailrun.codec import encode
from wagtailrun.exceptions import RefusalReason
from wagtailrun.fleet.model import Price
from wagtailrun.ports.disk import Disk
from wagtailrun.ports.link import Address, PeerLink
from wagtailrun.virtual_time import VirtualClock, run_virtual

SEED = 7
WORKSPACES = (5, 500, 5_200)
REQUESTS_PER_SECOND = 18
# Five pipelines of three to six stages, as in section 1.5 of the design.
STAGES = (3, 4, 5, 6, 6)
PRICE = Price(token_in=2, token_out=6, token_cached=1, engine_ms=1, call=10)
TODAY_INTERVAL_MS = 1_000
DESIGN_INTERVAL_MS = 10_000
MEASURED_S = 600
HOUR_S = 3_600
RECORDS = 200_000
# Section 2 of the design: account rows of a node, available memory, 1% of a core.
BOUND_BYTES_PER_SECOND = 1_800
BOUND_MEMORY_MB = 26
BOUND_CPU_MS_PER_SECOND = 10
# Section 4 of the design: the leader lease.
BOUND_PAUSE_MS = 1_000
# Section 1.3 of the design: the larger figure of the two users each.
TODAY_ENTRIES = 9
TODAY_WORKSPACES = 5
TODAY_PIPELINES = 6
TODAY_STAGES = 4
ENTRY = Address("10.0.0.1", 1)
CONTROL = Address("10.0.0.2", 1)


class MemoryDisk(Disk):
    """Disk that stores only files written as a whole; disk access is not measured."""

    def __init__(self) -> None:
        self.files_by_name: dict[str, bytes] = {}

    async def names(self) -> list[str]:
        """Return the names of all files."""
        return sorted(self.files_by_name)

    async def read(self, name: str) -> bytes:
        """Return the content of a file, empty if it does not exist."""
        return self.files_by_name.get(name, b"")

    async def append(self, name: str, data: bytes) -> None:
        """Drop ``data``."""

    async def sync(self, name: str) -> None:
        """Do nothing."""

    async def resync(self, name: str, offset: int) -> None:
        """Do nothing."""

    async def write(self, name: str, data: bytes) -> None:
        """Store ``data``."""
        self.files_by_name[name] = data

    async def truncate(self, name: str, size: int) -> None:
        """Do nothing."""

    async def remove(self, name: str) -> None:
        """Remove a file."""
        self.files_by_name.pop(name, None)

    async def probe(self, size: int) -> None:
        """Do nothing: there is always space."""


class CountingLink(PeerLink):
    """Passes messages to handlers and counts the bytes of both directions."""

    def __init__(self) -> None:
        self.handlers_by_address: dict[Address, Callable] = {}
        self.bytes_by_address: Counter[Address] = Counter()

    async def call(self, address: Address, message: Any, timeout_ms: int) -> Any:
        """Return the handler's reply."""
        reply = self.handlers_by_address[address](message)
        if not isinstance(message, AccountRows):
            raise TypeError(f"unexpected {type(message).__name__}")
        self.bytes_by_address[address] += len(encode(message))
        if hasattr(reply, "__await__"):
            reply = await reply
        self.bytes_by_address[address] += len(encode(reply))
        return reply


class RequestGenerator:
    """Generates requests of uniformly random workspaces and pipelines.

    Args:
        workspaces: Number of workspaces.
    """

    def __init__(self, workspaces: int):
        self.random = random.Random(SEED)
        self.workspaces = [f"workspace-{number:05}" for number in range(workspaces)]

    def next_request(self) -> tuple[str, str, list[tuple[str, str, Usage]]]:
        """Return workspace, pipeline, and service, stage and usage of each stage."""
        number = self.random.randrange(len(STAGES))
        stages = []
        for stage in range(STAGES[number]):
            # 2.9 M tokens/s at 6,700 requests/s: a request generates about 430.
            last = stage == STAGES[number] - 1
            usage = Usage(
                tokens_in=self.random.randrange(50, 2_000),
                tokens_out=self.random.randrange(100, 760) if last else 0,
                tokens_cached=self.random.randrange(0, 500),
                engine_ms=self.random.randrange(5, 3_000),
            )
            stages.append((f"service-{stage}", f"stage-{stage}", usage))
        return self.random.choice(self.workspaces), f"pipeline-{number}", stages


def _entry(
    clock: VirtualClock, link: CountingLink, interval_ms: int, name: str = "entry-0"
) -> Accounts:
    return Accounts(
        clock, link, Source(name, 7), lambda: [ENTRY], [CONTROL], interval_ms, SEED
    )


def _row(
    name: str,
    unit: str,
    baseline: float | None,
    value: float,
    bound: float | None = None,
) -> dict[str, Any]:
    return {
        "name": name,
        "unit": unit,
        "better": "lower",
        "baseline": None if baseline is None else round(baseline, 3),
        "value": round(value, 3),
        "bound": bound,
        "holds": None if bound is None else value <= bound,
    }


def _attempt_time() -> dict[str, Any]:
    """Measure the time to count an attempt; the baseline is one dictionary."""
    usage = Usage(1_000, 430, 300, 900)
    names = RequestGenerator(500).workspaces
    chosen = [names[number * 7 % len(names)] for number in range(RECORDS)]
    entry = _entry(VirtualClock(), CountingLink(), TODAY_INTERVAL_MS)
    started = time.perf_counter()
    for workspace in chosen:
        entry.count_attempt(
            workspace,
            WorkKind.FIRST,
            usage,
            PRICE,
            service="engines",
            stage="generate",
            pipeline="stockist-query",
        )
    value = time.perf_counter() - started
    cells: Counter[tuple] = Counter()
    started = time.perf_counter()
    for workspace in chosen:
        for measure, amount in zip(Measure, usage.amounts(PRICE), strict=True):
            key = (1, workspace, "stockist-query", "engines", "generate", measure)
            cells[key] += amount
    baseline = time.perf_counter() - started
    scale = 1e6 / RECORDS
    return _row("accounts: attempt", "us", baseline * scale, value * scale)


def _refusal_time() -> dict[str, Any]:
    """Measure the time to count a refusal after the first one of its minute.

    The baseline is one dictionary.
    """

    async def main(clock: VirtualClock) -> tuple[float, float]:
        link = CountingLink()
        partner = _entry(clock, link, TODAY_INTERVAL_MS, "entry-1")
        link.handlers_by_address[ENTRY] = partner.handle
        entry = _entry(clock, link, TODAY_INTERVAL_MS)
        reason = RefusalReason.OVERLOADED
        await entry.count_refusal("stockists", reason, pipeline="stockist-query")
        started = time.perf_counter()
        for _ in range(RECORDS):
            await entry.count_refusal("stockists", reason, pipeline="stockist-query")
        value = time.perf_counter() - started
        cells: Counter[tuple] = Counter()
        started = time.perf_counter()
        for _ in range(RECORDS):
            minute = clock.wall_ms() // 60_000
            cells[minute, "stockists", "stockist-query", reason] += 1
        return time.perf_counter() - started, value

    baseline, value = run_virtual(main)
    scale = 1e6 / RECORDS
    return _row("accounts: later refusal", "us", baseline * scale, value * scale)


def _first_refusal_time() -> dict[str, Any]:
    """Measure the CPU time of a first refusal with its copy, without a network."""
    count = 2_000

    async def main(clock: VirtualClock) -> float:
        link = CountingLink()
        partner = _entry(clock, link, TODAY_INTERVAL_MS, "entry-1")
        link.handlers_by_address[ENTRY] = partner.handle
        entry = _entry(clock, link, TODAY_INTERVAL_MS)
        started = time.perf_counter()
        for number in range(count):
            reason = RefusalReason.OVERLOADED
            await entry.count_refusal(f"workspace-{number}", reason, pipeline="p")
        return time.perf_counter() - started

    value = run_virtual(main) * 1e6 / count
    return _row("accounts: first refusal, both entries", "us", None, value)


def _exchange_rows(workspaces: int, interval_ms: int) -> list[dict[str, Any]]:
    """Measure bytes and CPU time of an entry in ten minutes of load.

    The baseline of the bytes is the same rows as JSON with all names written out, sent
    at the same times, but only to another entry.
    """

    async def main(clock: VirtualClock) -> tuple[Counter, int, float]:
        link = CountingLink()
        partner = _entry(clock, link, interval_ms, "entry-1")
        link.handlers_by_address[ENTRY] = partner.handle
        store = AccountStore(clock, MemoryDisk(), "control-0")
        link.handlers_by_address[CONTROL] = store.handle
        entry = _entry(clock, link, interval_ms)
        plain = 0
        busy = 0.0
        generator = RequestGenerator(workspaces)
        requests = REQUESTS_PER_SECOND * interval_ms // 1_000
        for exchange in range(1, MEASURED_S * 1_000 // interval_ms + 1):
            # The CPU time of the load generator is not counted.
            for _ in range(requests):
                request = generator.next_request()
                started = time.process_time()
                _count_request(entry, request)
                busy += time.process_time() - started
            plain += _json_bytes(entry)
            started = time.process_time()
            await entry.exchange()
            if exchange % 6 == 0:
                await entry.hand_over()
            busy += time.process_time() - started
            await clock.sleep_ms(interval_ms)
        return link.bytes_by_address, plain, busy

    counts, plain, busy = run_virtual(main)
    label = f"{workspaces} workspaces, every {interval_ms // 1_000} s"
    sent = counts.total() / MEASURED_S
    return [
        _row(
            f"accounts: rows of an entry, {label}",
            "B/s",
            plain / MEASURED_S,
            sent,
            BOUND_BYTES_PER_SECOND,
        ),
        _row(
            f"accounts: part of it to control members, {label}",
            "B/s",
            plain / MEASURED_S,
            counts[CONTROL] / MEASURED_S,
        ),
        _row(
            f"accounts: processor, both ends, {label}",
            "ms/s",
            None,
            busy * 1_000 / MEASURED_S,
            BOUND_CPU_MS_PER_SECOND,
        ),
    ]


def _count_request(entry: Accounts, request: tuple) -> None:
    workspace, pipeline, stages = request
    for service, stage, usage in stages:
        entry.count_attempt(
            workspace,
            WorkKind.FIRST,
            usage,
            PRICE,
            service=service,
            stage=stage,
            pipeline=pipeline,
        )
    entry.count_request(workspace, RequestOutcome.ATTAINED, 900, pipeline=pipeline)


def _json_bytes(entry: Accounts) -> int:
    rows = []
    for key in entry.pending_for_partner:
        columns = entry.table.layout(key).columns
        values = entry.table.rows_by_key[key]
        cells = [
            [*column, value] for column, value in zip(columns, values, strict=False)
        ]
        rows.append([*key, cells])
    return len(json.dumps(rows))


def _memory(workspaces: int) -> dict[str, Any]:
    """Measure the memory of the rows of an hour.

    The baseline is one dictionary of all cells.
    """
    requests = REQUESTS_PER_SECOND * HOUR_S
    generator = RequestGenerator(workspaces)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    entry = _entry(VirtualClock(), CountingLink(), DESIGN_INTERVAL_MS)
    for _ in range(requests):
        _count_request(entry, generator.next_request())
    value = tracemalloc.get_traced_memory()[0] - before
    cells: dict[tuple, int] = {}
    before = tracemalloc.get_traced_memory()[0]
    for key, column, amount in entry.table.cells():
        # Creates a separate integer object, as a sum would be.
        cells[(*key, *column)] = amount + 0
    baseline = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return _row(
        f"accounts: memory of an hour at an entry, {workspaces} workspaces",
        "MB",
        baseline / 1e6,
        value / 1e6,
        BOUND_MEMORY_MB,
    )


async def _store_with_day(clock: VirtualClock) -> AccountStore:
    """Return a store with the rows of one day at the users' current sizes."""
    store = AccountStore(clock, MemoryDisk(), "control-0")
    await store.open()
    first_hour = clock.wall_ms() // (HOUR_S * 1_000)
    rng = random.Random(SEED)
    columns = [
        Column(
            f"service-{stage}", f"stage-{stage}", WorkKind.FIRST.value, measure.value
        )
        for stage in range(TODAY_STAGES)
        for measure in Measure
    ]
    for number in range(TODAY_ENTRIES):
        table = CellTable()
        for hour, workspace, pipeline in itertools.product(
            range(24), range(TODAY_WORKSPACES), range(TODAY_PIPELINES)
        ):
            key = RowKey(
                Scope.HOUR, first_hour + hour, f"w-{workspace}", "", f"p-{pipeline}"
            )
            table.merge(key, columns, [rng.randrange(1, 10**6) for _ in columns])
        source = Source(f"entry-{number}", 7)
        batch = pack_batch(source, table, list(table.rows_by_key))
        await store.handle(AccountRows(source.entry, 1, False, [batch]))
    return store


def _store_memory() -> dict[str, Any]:
    async def main(clock: VirtualClock) -> float:
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        store = await _store_with_day(clock)
        value = tracemalloc.get_traced_memory()[0] - before
        tracemalloc.stop()
        return value * MAX_ROWS / store.row_count

    value = run_virtual(main) / 1e6
    name = f"accounts: memory of {MAX_ROWS} rows at a control member"
    return _row(name, "MB", None, value, BOUND_MEMORY_MB)


def _closing_pause() -> dict[str, Any]:
    """Measure the longest time in which no other task runs while a day is closed.

    The baseline is the whole time of closing, as if no other task ran meanwhile.
    """
    pauses = []

    async def measure_pauses() -> None:
        while True:
            started = time.perf_counter()
            await curio.sleep(0)
            pauses.append(time.perf_counter() - started)

    async def main(clock: VirtualClock) -> float:
        store = await _store_with_day(clock)
        await clock.sleep_ms(25 * HOUR_S * 1_000)
        period = store.closable()
        await curio.spawn(measure_pauses, daemon=True)
        started = time.perf_counter()
        offer = await store.prepare_close(period)
        await store.close(period, offer.digest)
        return time.perf_counter() - started

    whole = run_virtual(main)
    name = "accounts: longest pause of a control member that closes a day"
    return _row(name, "ms", whole * 1e3, max(pauses) * 1e3, BOUND_PAUSE_MS)


def run() -> list[dict[str, Any]]:
    """Return one row for each measurement."""
    rows = [_attempt_time(), _refusal_time(), _first_refusal_time()]
    rows += _exchange_rows(5, TODAY_INTERVAL_MS)
    for workspaces in WORKSPACES:
        rows += _exchange_rows(workspaces, DESIGN_INTERVAL_MS)
    rows += [_memory(workspaces) for workspaces in WORKSPACES]
    return [*rows, _store_memory(), _closing_pause()]


if __name__ == "__main__":
    for row in run():
        print(json.dumps(row))
