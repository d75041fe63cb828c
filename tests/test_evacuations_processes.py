"""Tests of the evacuation of a data centre with real processes."""

import json
import signal
import time

import curio
import pytest

from demo.processes import free_addresses
from tests.test_relay_processes import (
    BORN,
    SIGNATURE,
    Targets,
    put,
    request_headers,
    running,
    send,
    wait_until,
    wait_until_served,
)
from wagtailrun.adapters.http_server import Response
from wagtailrun.exceptions import TargetFailed

pytestmark = pytest.mark.network

# From this time after the acknowledgement nothing reaches the targets.
LIMIT_MS = 5_000
WATCHED_S = 8
CALLERS = 4


class PlacedTargets(Targets):
    """A stage target and an engine in a data centre; they record arrivals."""

    def __init__(self, fleet, place):
        super().__init__(fleet)
        self.place = place
        self.arrivals_s = []
        self.stage, self.engine = free_addresses(2)
        self.reported = [
            (f"{place}-stage", self.stage, "board", "v1"),
            (f"{place}-engine", self.engine, "llm", "v1"),
        ]

    async def report(self):
        while True:
            self.sequence += 1
            for name, address, service, software_version in self.reported:
                body = {
                    "service": service,
                    "address": str(address),
                    "zone": self.place,
                    "version": software_version,
                    "slots": 4,
                    "state": "ready",
                    "seq_no": self.sequence,
                    "born": BORN,
                }
                number = self.sequence % 3 + 1
                path, data = f"/instances/{name}", json.dumps(body).encode()
                try:
                    await send(self.fleet.control(number), "PUT", path, data)
                except TargetFailed:
                    continue
            await curio.sleep(0.4)

    async def handle_stage(self, request):
        if request.path != "/stage-free":
            self.arrivals_s.append(time.monotonic())
        return await super().handle_stage(request)

    async def handle_engine(self, request):
        if request.path == "/report":
            return await super().handle_engine(request)
        self.arrivals_s.append(time.monotonic())

        async def events():
            yield b"id: 1\ndata: token\n\n"

        echo = ("Attempt-Id", request.headers["attempt-id"])
        return Response(200, events(), (echo, SIGNATURE))


class Callers:
    """Callers that send requests to both entries without a pause."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.statuses = []
        self.is_over = False
        self.refusals = []

    async def start(self):
        for number in range(CALLERS):
            await curio.spawn(self.run, number, daemon=True)

    async def run(self, number):
        address = self.fleet.entry(number % 2 + 1)
        sent = 0
        while not self.is_over:
            sent += 1
            headers = request_headers(f"caller-{number}-{sent}")
            try:
                reply = await send(address, "POST", "/a/x", b"{}", headers)
            except TargetFailed as error:
                self.statuses.append(repr(error))
                continue
            self.statuses.append(reply.status)
            if reply.status != 200:
                self.refusals.append(reply)
                await curio.sleep(0.05)


async def order(fleet, method, place, member=1):
    """Send an order until it is acknowledged; return when it was."""
    numbers = [member]

    async def acknowledged():
        number = numbers[-1]
        numbers.append(number % 3 + 1)
        path = f"/evacuations/{place}"
        reply = await send(fleet.control(number), method, path, timeout_ms=1_000)
        return reply.status == 200

    await wait_until(acknowledged, f"{method} {place} is not acknowledged")
    return time.monotonic()


def test_nothing_reaches_an_evacuated_data_centre_until_the_withdrawal(tmp_path):
    """Guards against work at targets of an evacuated data centre.

    All control members are killed and started again meanwhile, and so is an entry.
    """

    async def scenario(fleet):
        near, far = PlacedTargets(fleet, "riverside"), PlacedTargets(fleet, "lakeside")
        await near.start()
        await far.start()
        await put(fleet, 1)
        for number in (1, 2):
            await wait_until_served(fleet, near, number)
        callers = Callers(fleet)
        await callers.start()
        await curio.sleep(2)
        began = len(near.arrivals_s)
        statuses_before = list(callers.statuses)
        acknowledged_s = await order(fleet, "POST", "riverside")
        await curio.sleep(1)
        for number in (1, 2, 3):
            fleet.stop(f"core-{number}", signal.SIGKILL)
        for number in (1, 2, 3):
            fleet.start_control(number)
        await curio.sleep(WATCHED_S)
        last_ms = max(1_000 * (s - acknowledged_s) for s in near.arrivals_s)
        statuses_during = callers.statuses[len(statuses_before) :]
        await order(fleet, "POST", "lakeside", member=2)
        await curio.sleep(2)
        refusal = callers.refusals[-1] if callers.refusals else None
        count = len(near.arrivals_s)
        await order(fleet, "DELETE", "riverside", member=3)

        async def returned():
            return len(near.arrivals_s) > count

        await wait_until(returned, "the targets get no work after the withdrawal")
        callers.is_over = True
        print(f"{began} arrivals in the 2 s before the order")
        return began, last_ms, statuses_before, statuses_during, refusal

    with running(tmp_path) as fleet:
        began, last_ms, before, during, refusal = curio.run(scenario, fleet)
    print(f"last arrival {last_ms:.0f} ms after the acknowledgement")
    assert began > 0
    assert last_ms < LIMIT_MS
    assert before.count(200) > 0 and during.count(200) > 0
    assert refusal.status == 503
    assert b"which are evacuated" in refusal.body
    assert float(refusal.headers["retry-after"]) > 0
