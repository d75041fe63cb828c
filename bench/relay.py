"""Benchmark of relaying tokens through one entry's HTTP adapters."""

import json
import time
from collections.abc import AsyncIterator

import curio

from demo.processes import free_addresses
from wagtailrun.accounts.cells import Source
from wagtailrun.accounts.counters import Accounts
from wagtailrun.adapters.http_client import HttpClient
from wagtailrun.adapters.http_server import HttpServer, Request, Response
from wagtailrun.adapters.http_target import HttpTargetClient
from wagtailrun.clock import SystemClock
from wagtailrun.observation.metrics import Metrics
from wagtailrun.observation.recorder import Recorder
from wagtailrun.ports.target import Attempt
from wagtailrun.serving.caller_api import stream_events

STREAMS = 40
TOKENS = 400
TIMEOUT_MS = 30_000
TOKENS_PER_SECOND_AND_NODE = 7_600


def _source_response(tokens_per_write: int) -> Response:
    async def pieces() -> AsyncIterator[bytes]:
        batch = []
        for offset in range(TOKENS):
            token = json.dumps({"offset": offset, "text": "token "})
            batch.append(f"event: token\ndata: {token}\n\n")
            if len(batch) == tokens_per_write:
                yield "".join(batch).encode()
                batch = []
                await curio.sleep(0)
        done = json.dumps({"tokens": TOKENS})
        yield ("".join(batch) + f"event: done\ndata: {done}\n\n").encode()

    return Response(200, pieces(), (("Wagtailrun-Attempt", "1"),))


def _relay_cpu_us(tokens_per_write: int) -> tuple[float, float]:
    """Return the CPU time per token in microseconds: whole chain, and source alone."""

    async def main() -> tuple[float, float]:
        source, entry = free_addresses(2)

        async def serve_source(request: Request) -> Response:
            return _source_response(tokens_per_write)

        client = HttpTargetClient(HttpClient())
        clock = SystemClock()
        accounts = Accounts(clock, None, Source("bench", 1), lambda: [], [], 1_000)
        recorder = Recorder(clock, accounts, Metrics(), lambda: None)

        async def serve_relay(request: Request) -> Response:
            attempt = Attempt(1, "bench", "/", b"{}", TIMEOUT_MS)
            scope = recorder.scope("bench", "")
            return Response(
                200, stream_events(client.stream(source, attempt), scope, recorder)
            )

        servers = [HttpServer(source, serve_source), HttpServer(entry, serve_relay)]
        tasks = [await curio.spawn(server.serve, daemon=True) for server in servers]
        await curio.sleep(0.05)
        seconds = []
        for address in (entry, source):
            started = time.process_time()
            for _ in range(STREAMS):
                await HttpClient().request(address, "POST", "/", timeout_ms=TIMEOUT_MS)
            seconds.append(time.process_time() - started)
        for task in tasks:
            await task.cancel()
        through, alone = (value / STREAMS / TOKENS * 1e6 for value in seconds)
        return through, alone

    return curio.run(main)


def run() -> list[dict]:
    """Measure the cost of relaying with 1, 2, 4 and 8 tokens per write."""
    rows = []
    first = None
    for count in (1, 2, 4, 8):
        through, alone = _relay_cpu_us(count)
        cost = through - alone
        first = first or cost
        row = {"name": f"relay CPU a token, {count} tokens a write", "unit": "us"}
        row |= {"better": "lower", "baseline": round(first, 1)}
        rows.append(row | {"value": round(cost, 1), "bound": None, "holds": None})
    return rows
