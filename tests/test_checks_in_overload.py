"""Tests of the platform's checks at a process that has no room for requests."""

import functools
import json
from contextlib import contextmanager

import curio
import pytest

from tests.stopping_entries import make_product_entry as make_entry
from tests.test_caller_api import FLEET
from tests.test_http_server import GOOD, echo, exchange_bytes, with_server
from tests.test_server_close import read_all
from wagtailrun.process.memory_budget import PROCESS_MEMORY, Kind, MemoryBudget

pytestmark = pytest.mark.network

CHECK = b"GET /readyz HTTP/1.1\r\nHost: a\r\nUser-Agent: check\r\n\r\n"
OTHER = b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n"
MANY = 100_000
PADDING = b"X-Padding: " + b"a" * 10_000 + b"\r\n"


@contextmanager
def full_memory(budget=PROCESS_MEMORY):
    """Hold all memory that a budget has for requests."""
    holding = budget.hold(Kind.REQUESTS)
    holding.record(budget.limit_bytes)
    try:
        yield
    finally:
        holding.release()


def answer_of(received):
    """Return status and JSON of one response, and whether it ends its connection."""
    head, _, body = received.partition(b"\r\n\r\n")
    return int(head.split()[1]), json.loads(body), b"connection: close" in head.lower()


def run_with_server(server, client):
    """Run ``client(send)``; ``send(data)`` returns what ``server`` sends for it."""

    async def send(data=CHECK):
        sock = await curio.open_connection(server.address.host, server.address.port)
        await sock.sendall(data)
        received = await sock.recv(65_536)
        await sock.close()
        return received

    async def main():
        serving = await curio.spawn(server.serve)
        await curio.sleep(0.05)
        try:
            return await client(send)
        finally:
            await serving.cancel()

    return curio.run(main)


def run_product(client):
    """Run ``client(entry, send)`` with an entry that serves callers and is ready."""
    entry = make_entry(500)
    entry.started_ms -= MANY
    entry.gossip.config.joined = True
    entry.gossip.config.store.fleet = FLEET
    return run_with_server(entry.caller_server, functools.partial(client, entry))


def test_check_of_a_product_entry_tells_of_too_many_connections():
    """Guards against checks that are refused, and counted, like requests."""

    async def client(entry, send):
        before = answer_of(await send(CHECK))
        entry.caller_server.open_connections += MANY
        during = answer_of(await send(CHECK))
        rows = dict(entry.accounts.table.rows_by_key)
        other = answer_of(await send(GOOD))
        entry.caller_server.open_connections -= MANY
        return before, during, rows, other, answer_of(await send(CHECK))

    before, during, rows, other, after = run_product(client)
    assert before == after == (200, {"ready": True}, False)
    status, body, is_last = during
    assert (status, is_last) == (503, True)
    assert body["ready"] is False
    assert "4000 connections" in body["detail"]
    assert not rows
    assert other[:1] == (503,)
    assert other[1]["reason"] == "overloaded"


def test_check_of_a_product_entry_tells_of_a_lack_of_memory():
    """Guards against checks that are refused for the memory that others hold."""

    async def client(entry, send):
        with full_memory():
            received = await send(CHECK), await send(GOOD)
        return *received, await send(CHECK)

    check, other, after = map(answer_of, run_product(client))
    assert check[0] == 503
    assert check[1]["ready"] is False
    assert "no memory" in check[1]["detail"]
    assert other[1]["reason"] == "overloaded"
    assert after[:2] == (200, {"ready": True})


def test_product_entry_is_alive_in_overload():
    """Guards against a restart of processes that only have no room."""

    async def client(entry, send):
        entry.caller_server.open_connections += MANY
        return await send(CHECK.replace(b"readyz", b"healthz"))

    assert answer_of(run_product(client))[:2] == (200, {"status": "alive"})


@pytest.mark.parametrize(
    ("prepare", "detail"),
    [
        (lambda entry: setattr(entry.gossip.config, "joined", False), "configuration"),
        (lambda entry: setattr(entry, "started_ms", MANY * MANY), "announcements"),
        (
            lambda entry: setattr(entry.signals, "stop_count", 1),
            "stops",
        ),
    ],
)
def test_check_of_a_product_entry_names_the_reason(prepare, detail):
    """Guards against an entry of which nobody knows why it is not ready."""

    async def client(entry, send):
        prepare(entry)
        return await send(CHECK)

    status, body, _ = answer_of(run_product(client))
    assert status == 503
    assert detail in body["detail"]


@pytest.mark.parametrize(
    "data",
    [
        OTHER,
        CHECK.replace(b"GET", b"POST"),
        CHECK.replace(b"readyz", b"readyz/x"),
        CHECK.replace(b"Host: a\r\n", b"Host: a\r\n" + PADDING),
        CHECK.replace(b"Host: a\r\n", b"Host: a\r\nContent-Length: 2\r\n") + b"{}",
        CHECK.replace(b"Host: a\r\n", b"Host: a\r\nTransfer-Encoding: chunked\r\n"),
    ],
)
def test_reserve_for_checks_is_for_nothing_else(data):
    """Guards against requests that use up the room that is left for checks."""
    budget = MemoryBudget()

    async def client(address, server):
        with full_memory(budget):
            return await exchange_bytes(address, data)

    received = with_server(
        echo, client, memory=budget, checks=lambda path: path == "/readyz"
    )
    assert received.startswith(b"HTTP/1.1 503")
    assert b"overloaded" in received


def test_check_on_a_kept_connection_is_answered_in_overload():
    """Guards against a check whose connection is closed for a lack of room."""
    full = []

    async def client(address, server):
        sock = await curio.open_connection(address.host, address.port)
        await sock.sendall(CHECK)
        first = await sock.recv(65_536)
        full.append("too many")
        await sock.sendall(CHECK)
        return first, await read_all(sock)

    answers = with_server(
        echo,
        client,
        overload=lambda: "".join(full),
        checks=lambda path: path == "/readyz",
    )
    assert [each[:12] for each in answers] == [b"HTTP/1.1 200"] * 2
