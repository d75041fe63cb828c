"""Benchmarks the registry and keyed orders, in one process on loopback."""

import gc
import json
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import curio

from wagtailrun.adapters.http_client import HttpClient
from wagtailrun.adapters.http_server import HttpServer, Request, Response, json_response
from wagtailrun.adapters.http_target import HttpTargetClient
from wagtailrun.adapters.tcp_link import PeerServer, TcpPeerLink
from wagtailrun.clock import SystemClock
from wagtailrun.codec import decode, encode
from wagtailrun.consensus.local_log import LocalLog
from wagtailrun.control.service import ControlService
from wagtailrun.exceptions import Verdict
from wagtailrun.fleet.model import parse_fleet_text
from wagtailrun.ports.link import Address
from wagtailrun.registry.client import ControlClient
from wagtailrun.registry.messages import CloseOrder, OpenOrder, SweepOrders
from wagtailrun.registry.order_table import MAX_ORDER_KEYS
from wagtailrun.registry.state import Registry
from wagtailrun.serving.dispatch import Dispatcher, Work
from wagtailrun.serving.orders import OrderRunner
from wagtailrun.targets.routing import LeastLoadedRouter
from wagtailrun.targets.table import Membership, TargetRow

SEED = 1
T0 = 1_767_225_600_000
WORKSPACES = 5_200
SIZES = (100, 5_000, MAX_ORDER_KEYS)
SAMPLES = 50
ROUNDS = 5
CALLS = 300
# Design section 2: 26 MB remain of 64 MB for all state of a process.
STATE_BYTES = 26_000_000
# Design section 4: a lease of 1,000 ms, renewed every 200 ms, must not end in a pause.
LONGEST_PAUSE_MS = 800
# Design section 2: 18 requests a second at a node, here all of them orders.
ORDERS_PER_S = 18
FLEET_SERVICES = 5_000
CONTROL = Address("127.0.0.1", 39_411)
TARGET = Address("127.0.0.1", 39_412)


def run() -> list[dict[str, Any]]:
    """Return all figures."""
    rows = _apply_rows() + _memory_rows() + _snapshot_rows() + _text_rows()
    return rows + curio.run(_order_rows)


def _row(
    name: str,
    unit: str,
    value: float,
    *,
    baseline: float | None = None,
    bound: float | None = None,
) -> dict[str, Any]:
    """Return the row of one figure; lower is better for all of them."""
    return {
        "name": name,
        "unit": unit,
        "better": "lower",
        "baseline": baseline,
        "value": round(value, 3),
        "bound": bound,
        "holds": None if bound is None else value <= bound,
    }


def _open(number: int, workspaces: int = WORKSPACES) -> bytes:
    return encode(
        OpenOrder(
            workspace=f"workspace-{number % workspaces}",
            key=f"{number:032x}",
            service="dispatch-desk",
            call="book-dispatch",
            body_digest=f"{number:064x}",
            entry=f"entry-{number % 54}",
            entry_incarnation=T0 << 16,
            now_ms=T0 + number,
            deadline_ms=T0 + number + 8_000,
            request_id=f"{number:016x}",
            sender=(1 << 58) + number,
        )
    )


def _close(number: int, workspaces: int = WORKSPACES) -> bytes:
    return encode(
        CloseOrder(
            workspace=f"workspace-{number % workspaces}",
            key=f"{number:032x}",
            attempt=1,
            verdict=Verdict.COMPLETE,
            status=200,
            body=b'{"booking": "%032x"}' % number,
            now_ms=T0 + number,
            entry=f"entry-{number % 54}",
            entry_incarnation=T0 << 16,
            sender=(1 << 58) + number,
        )
    )


def _fill(registry: Registry, count: int, workspaces: int = WORKSPACES) -> None:
    for number in range(count):
        registry.apply(0, _open(number, workspaces))
        registry.apply(0, _close(number, workspaces))


def _median_us(function: Callable[[bytes], Any], commands: list[bytes]) -> float:
    times = []
    for command in commands:
        started = time.perf_counter_ns()
        function(command)
        times.append(time.perf_counter_ns() - started)
    return statistics.median(times) / 1_000


def _apply_rows() -> list[dict[str, Any]]:
    """Measure all sizes alternately, so that other load affects them equally."""
    registries = {keys: Registry() for keys in SIZES}
    for keys, registry in registries.items():
        _fill(registry, keys - ROUNDS * SAMPLES if keys > ROUNDS * SAMPLES else keys)
    costs = {keys: [] for keys in SIZES}
    decode_us, sweep_us = [], []
    largest = registries[MAX_ORDER_KEYS]
    for number in range(ROUNDS):
        first = MAX_ORDER_KEYS - (ROUNDS - number) * SAMPLES
        numbers = range(first, first + SAMPLES)
        opens, closes = list(map(_open, numbers)), list(map(_close, numbers))
        decode_us.append(_median_us(decode, opens + closes))
        for keys, registry in registries.items():
            costs[keys].append(_median_us(_applier(registry), opens + closes))
        sweeps = [encode(SweepOrders(T0 + n)) for n in numbers]
        sweep_us.append(_median_us(_applier(largest), sweeps))
    refused = [_open(2 * MAX_ORDER_KEYS + n) for n in range(SAMPLES)]
    refused_us = _median_us(_applier(largest), refused)
    medians = {keys: statistics.median(values) for keys, values in costs.items()}
    decoding = statistics.median(decode_us)
    rows = [
        _row(f"apply, {keys} keys", "us/command", value, baseline=decoding)
        for keys, value in medians.items()
    ]
    slope = medians[MAX_ORDER_KEYS] / medians[SIZES[0]]
    # Logarithmic growth at most doubles the cost; a full scan would take 500 times.
    rows.append(_row("apply, 50000 keys over 100 keys", "ratio", slope, bound=2.0))
    swept = statistics.median(sweep_us)
    rows.append(_row("sweep of nothing, 50000 keys", "us/command", swept))
    rows.append(_row("refusal by a full table", "us/command", refused_us))
    return rows


def _applier(registry: Registry) -> Callable[[bytes], Any]:
    return lambda command: registry.apply(0, command)


def _memory_rows() -> list[dict[str, Any]]:
    sizes = {}
    for workspaces in (1, WORKSPACES):
        gc.collect()
        tracemalloc.start()
        registry = Registry()
        _fill(registry, MAX_ORDER_KEYS, workspaces)
        gc.collect()
        sizes[workspaces], _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        del registry
    per_key = sizes[1] / MAX_ORDER_KEYS
    per_workspace = (sizes[WORKSPACES] - sizes[1]) / (WORKSPACES - 1)
    bound = STATE_BYTES / MAX_ORDER_KEYS
    return [
        _row("memory per closed key", "B", per_key, bound=bound),
        _row("memory per workspace beyond its keys", "B", per_workspace),
        _row("memory of 50000 keys", "MB", sizes[1] / 1e6, bound=STATE_BYTES / 1e6),
    ]


def _snapshot_rows() -> list[dict[str, Any]]:
    rows = []
    for keys in (5_000, MAX_ORDER_KEYS):
        registry = Registry()
        _fill(registry, keys)
        started = time.perf_counter()
        data = registry.snapshot()
        taken = time.perf_counter()
        Registry().restore(data)
        restored = time.perf_counter()
        taken_ms, restored_ms = (taken - started) * 1e3, (restored - taken) * 1e3
        bound = LONGEST_PAUSE_MS
        rows += [
            _row(f"snapshot, {keys} keys", "ms", taken_ms, bound=bound),
            _row(f"restore, {keys} keys", "ms", restored_ms),
            _row(f"snapshot size, {keys} keys", "MB", len(data) / 1e6),
        ]
    return rows


def _text_rows() -> list[dict[str, Any]]:
    """Measure the time to parse a large fleet text, which only the leader does."""
    services = "".join(
        f'[services.service-{n}]\nkind = "plain"\ncalls.a = {{ idempotent = true }}\n'
        f"calls.b = {{ deadline_ms = 4000 }}\n"
        for n in range(FLEET_SERVICES)
    )
    text = '[fleet]\nname = "large"\ndata_centres = ["east"]\n' + services
    started = time.perf_counter()
    parse_fleet_text(text)
    name = f"check of a text of {len(text) / 1e6:.2f} MB, by the leader only"
    return [_row(name, "ms", (time.perf_counter() - started) * 1e3)]


async def _answer(request: Request) -> Response:
    attempt = request.headers.get("wagtailrun-attempt", "")
    return json_response(200, {"done": True}, (("Wagtailrun-Attempt", attempt),))


async def _order_rows() -> list[dict[str, Any]]:
    clock = SystemClock()
    registry = Registry()
    service = ControlService(clock, "c", registry, LocalLog(registry, CONTROL))
    messages = []

    async def handle(message: Any) -> Any:
        messages.append(message)
        return await service.handle(message)

    secret = b"benchmark-secret-of-loopback"
    tasks = [
        await curio.spawn(PeerServer(CONTROL, secret, handle).serve, daemon=True),
        await curio.spawn(HttpServer(TARGET, _answer).serve, daemon=True),
    ]
    await curio.sleep(0.1)
    client = ControlClient(clock, TcpPeerLink(secret), [CONTROL])
    membership = Membership()
    dispatcher = Dispatcher(
        clock, membership, HttpTargetClient(HttpClient(clock)), LeastLoadedRouter()
    )
    runner = OrderRunner(clock, client, dispatcher, "e", 1)
    plain_ms, keyed_ms, agreed_ms = [], [], []
    for number in range(CALLS):
        row = TargetRow("t", TARGET, "s", "east", incarnation=1, sequence=number)
        membership.put(row, clock.now_ms())
        deadline_at_ms = clock.now_ms() + 4_000
        work = Work("s", "/v1/calls/c", b"{}", "r", "w", deadline_at_ms, False)
        plain_ms.append(await _timed_ms(dispatcher.call, work))
        keyed_ms.append(await _timed_ms(runner.run, work, f"k{number}"))
        command = decode(_open(number))
        agreed_ms.append(await _timed_ms(client.call_leader, command, 2_000))
    for task in tasks:
        await task.cancel()
    round_trips = len(messages) / CALLS - 1
    plain, keyed = statistics.median(plain_ms), statistics.median(keyed_ms)
    agreed = statistics.median(agreed_ms)
    return [
        _row("agreed round trips of a keyed order", "count", round_trips, baseline=0),
        _row("keyed order, one member, no disk", "ms", keyed, baseline=plain),
        _row("one command to a member, no disk", "ms", agreed),
        _row(
            "delay of an answer whose close rides on the next open, 18 orders/s",
            "ms",
            _combined_close_delay_ms(),
            baseline=agreed,
        ),
    ]


async def _timed_ms(function: Callable[..., Any], *args: Any) -> float:
    started = time.perf_counter()
    await function(*args)
    return (time.perf_counter() - started) * 1e3


def _combined_close_delay_ms() -> float:
    """Return the simulated mean delay from a close to the next open of the entry.

    Sending the close together with that open would save one command, whose duration is
    the baseline.
    """
    rng = random.Random(SEED)
    at_s, opens, closes = 0.0, [], []
    for _ in range(20_000):
        at_s += rng.expovariate(ORDERS_PER_S)
        opens.append(at_s)
        closes.append(at_s + rng.uniform(0.01, 0.3))
    waits, position = [], 0
    for close in sorted(closes):
        while position < len(opens) and opens[position] < close:
            position += 1
        if position < len(opens):
            waits.append(opens[position] - close)
    return statistics.fmean(waits) * 1e3


if __name__ == "__main__":
    for figure in run():
        print(json.dumps(figure))
