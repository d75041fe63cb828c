"""Tests of entry processes at their limit of descriptors before sound targets."""

import json
import os
import resource
import time
from contextlib import contextmanager

import curio
import pytest

from demo.processes import Fleet
from tests.test_processes import ORDER, SERVICES, TEXT, WORKSPACE
from tests.test_relay_processes import (
    SIGNATURE,
    Targets,
    document,
    entry_host,
    request_headers,
    running,
    send,
    wait_until,
)
from wagtailrun.adapters.http_client import HttpClient
from wagtailrun.adapters.http_server import Response
from wagtailrun.logs.events import CONNECT_SHORT, ENTRY_CUT_OFF, PATH_LOST
from wagtailrun.ports.link import Address

pytestmark = pytest.mark.network

# No descriptor is free below: standard streams, the event loop and listeners. With
# fewer, poll would accept no more connections of a pool.
LIMIT = 8
REQUESTS = 10
# A refusal before anything is tried, on a busy machine.
EARLY_S = 1.0


@contextmanager
def at_limit(process):
    """Let a process open no descriptor meanwhile."""
    limits = resource.prlimit(process.pid, resource.RLIMIT_NOFILE)
    used = {int(name) for name in os.listdir(f"/proc/{process.pid}/fd")}
    assert used.issuperset(range(LIMIT))
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (LIMIT, limits[1]))
    try:
        yield
    finally:
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, limits)


async def timed(request):
    began_s = time.monotonic()
    reply = await request
    return reply, time.monotonic() - began_s


def check_refusals(refused):
    for reply, took_s in refused:
        assert reply.status == 503, reply
        assert reply.headers["wagtailrun-verdict"] == "not-run"
        assert float(reply.headers["retry-after"]) >= 1
        assert b"overloaded" in reply.body
        assert took_s < EARLY_S


class OrderTargets(Targets):
    """An engine that runs orders."""

    async def handle_engine(self, request):
        self.requests.append(request)
        echo = ("Attempt-Id", request.headers["attempt-id"])
        return Response(200, b"done", (echo, SIGNATURE))


def order_document():
    """Return a configuration whose requests need a connection each."""
    value = json.loads(document(1))
    (route,) = value["routes"]
    route |= {"kind": "non_idempotent", "session_affinity": False}
    for name in ("stages", "stream_resume", "gap_target_ms"):
        del route[name]
    return json.dumps(value).encode()


def test_relay_entry_at_its_limit_of_descriptors_blames_no_target(tmp_path):
    """Guards against sound targets that are ejected, and paths that are lost.

    Requests went through other entries as long as an idle connection to one was left.
    """

    async def scenario(fleet):
        targets = OrderTargets(fleet)
        await targets.start()

        async def accepted():
            reply = await send(
                fleet.control(1), "PUT", "/configuration", order_document()
            )
            return reply.status == 200

        await wait_until(accepted, "the document is not accepted")
        caller = HttpClient()

        async def ask(name):
            return await caller.request(
                fleet.entry(1),
                "POST",
                "/a/x",
                request_headers(name),
                b"{}",
                timeout_ms=8_000,
                host="works.example",
            )

        async def served():
            return (await ask(f"probe-{time.monotonic()}")).status == 200

        await wait_until(served, "the entry serves nothing")
        before = len(targets.requests)
        with at_limit(fleet.processes["front-1"]):
            refused = [await timed(ask(f"short-{n}")) for n in range(REQUESTS)]
            arrived = len(targets.requests) - before
        after = [await timed(ask(f"after-{n}")) for n in range(REQUESTS)]
        page = await send(Address(entry_host(1), fleet.metrics_port), "GET", "/metrics")

        async def logged():
            # The lines are written by a thread, which may lag behind.
            numbers = {line["event"] for line in fleet.lines("front-1")}
            return numbers if CONNECT_SHORT.number in numbers else None

        numbers = await wait_until(logged, "the shortage is not logged")
        return refused, arrived, after, page.body.decode(), numbers

    with running(tmp_path) as fleet:
        refused, arrived, after, page, logged = curio.run(scenario, fleet)
    check_refusals(refused)
    assert arrived == 0
    assert [reply.status for reply, _ in after] == [200] * REQUESTS
    assert max(took_s for _, took_s in after) < EARLY_S
    values = dict(line.rsplit(" ", 1) for line in page.splitlines() if line[0] != "#")
    assert float(values["wagtailrun_lost_paths"]) == 0
    assert float(values["wagtailrun_cut_off"]) == 0
    assert not logged & {PATH_LOST.number, ENTRY_CUT_OFF.number}


def test_product_entry_at_its_limit_of_descriptors_blames_no_target():
    """Guards against sound targets that count as unreachable, and early failures.

    Callers got 502, as of a target that failed.
    """

    async def scenario(fleet):
        (name,) = fleet.caller_address_by_name
        caller = HttpClient()

        async def ask():
            return await caller.request(
                fleet.caller_address_by_name[name],
                "POST",
                ORDER,
                (WORKSPACE,),
                json.dumps({"pallets": 3}).encode(),
                timeout_ms=8_000,
            )

        async def served():
            return (await ask()).status == 200

        await wait_until(served, "the entry serves nothing")
        with at_limit(fleet.processes_by_name[name]):
            refused = [await timed(ask()) for _ in range(REQUESTS)]
        after = [await timed(ask()) for _ in range(REQUESTS)]

        async def logged():
            return f"E{CONNECT_SHORT.number:04d}" in fleet.log_text(name)

        await wait_until(logged, "the shortage is not logged")
        return refused, after

    with Fleet(TEXT, ["east"], SERVICES, entries_per_centre=1, controls=1) as fleet:
        fleet.apply_text()
        refused, after = curio.run(scenario, fleet)
    check_refusals(refused)
    assert [reply.status for reply, _ in after] == [200] * REQUESTS
    assert max(took_s for _, took_s in after) < EARLY_S
