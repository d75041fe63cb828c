"""Tests with real processes of entries that reach no target."""

import json
import time
from contextlib import suppress

import attrs
import curio
import pytest

from tests.standstills import StandstillWatch
from tests.test_relay_processes import (
    Targets,
    put,
    request_headers,
    running,
    send,
    wait_until_served,
)
from wagtailrun.exceptions import TargetFailed
from wagtailrun.logs.events import LOOP_LATE

pytestmark = pytest.mark.network

ENTRIES = (1, 2, 3)
# Time after which requests at an entry that was cut off are served as elsewhere.
DETECTION_S = 3.0
REQUESTS = 6
INTERVAL_S = 0.9
# Time in which a request is served, without the time in which a process on its way
# stood still.
SERVED_S = 3.0
# Callers of the requests that count wait for the deadline that these state.
DEADLINE_MS = 6_000


@attrs.frozen
class Call:
    """A request that was answered, and how long a process stood still meanwhile."""

    number: int
    name: str
    status: int
    took_s: float
    held_s: float

    @property
    def is_served(self):
        return self.status == 200 and self.took_s - self.held_s <= SERVED_S


async def call_all(fleet, watch, numbers, label, timeout_ms=DEADLINE_MS):
    """Send requests to all entries side by side; return the calls."""
    calls = []

    async def call(number, request):
        name = f"{label}-{number}-{request}"
        headers = request_headers(name)
        began_s, status = time.monotonic(), None
        with suppress(TargetFailed):
            reply = await send(
                fleet.entry(number), "POST", "/a/x", b"{}", headers, timeout_ms
            )
            status = reply.status
        ended_s = time.monotonic()
        held_s = watch.held_s(began_s, ended_s)
        calls.append(Call(number, name, status, ended_s - began_s, held_s))

    async with curio.TaskGroup() as group:
        for request in range(REQUESTS):
            for number in numbers:
                await group.spawn(call, number, request)
            await curio.sleep(INTERVAL_S)
    return calls


def longest_late_ms(folder):
    """Return how late the event loop of each process was at most.

    A failure beside processes without processor time shows nothing of the entries.
    """
    late_ms = {}
    for file in sorted(folder.glob("*.log")):
        lines = file.read_text().splitlines()
        values = [json.loads(line) for line in lines if line[:1] == "{"]
        late = [v["late_ms"] for v in values if v.get("event") == LOOP_LATE.number]
        late_ms[file.stem] = max(late, default=0)
    return late_ms


def run_cut(folder, kind, cut_numbers):
    """Cut entries off from all targets; return the calls during and after."""
    with running(folder) as fleet:

        async def main():
            targets = Targets(fleet)
            await targets.start()
            fleet.start_entry(3)
            await put(fleet, 1)
            for number in ENTRIES:
                await wait_until_served(fleet, targets, number)
            files = [folder / f"front-{number}.cut" for number in cut_numbers]
            for file in files:
                file.write_text(kind)
            processes = [fleet.processes[f"front-{number}"] for number in ENTRIES]
            watch = StandstillWatch([process.pid for process in processes])
            await curio.spawn(watch.run, daemon=True)
            # Callers go on; what is served until the cut is noticed does not count.
            await call_all(fleet, watch, ENTRIES, "early", int(SERVED_S * 1_000))
            cut = await call_all(fleet, watch, ENTRIES, "cut")
            for file in files:
                file.unlink()
            await curio.sleep(DETECTION_S)
            return [*cut, *await call_all(fleet, watch, ENTRIES, "after")]

        return curio.run(main)


@pytest.fixture(autouse=True)
def entries_that_can_be_cut(monkeypatch):
    monkeypatch.setattr("tests.test_relay_processes.ENTRY_MODULE", "tests.cut_entry")


def check_all_served(calls, folder):
    """Check that each entry served all requests in time, during the cut and after."""
    assert len(calls) == 2 * len(ENTRIES) * REQUESTS
    failed = [each for each in calls if not each.is_served]
    assert failed == [], longest_late_ms(folder)


@pytest.mark.parametrize("kind", ["refused", "reset", "hang"])
def test_entries_that_reach_no_target_serve_through_others(tmp_path, kind):
    """Guards against entries that refuse all requests because their links are cut.

    Two of three entries are cut off, among them the owner of a service.
    """
    check_all_served(run_cut(tmp_path, kind, (2, 3)), tmp_path)


@pytest.mark.parametrize("number", ENTRIES)
def test_entry_that_reaches_no_target_harms_no_other(tmp_path, number):
    """Guards against an owner of a service whose links fail the requests of all."""
    check_all_served(run_cut(tmp_path, "reset", (number,)), tmp_path)
