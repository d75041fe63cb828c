"""Tests of keys that were withdrawn before all processes of the relay restarted."""

import signal
import time

import curio
import pytest

from tests.test_relay_processes import (
    put,
    request_headers,
    run_scenario,
    send,
    wait_until_served,
)
from wagtailrun.exceptions import TargetFailed

pytestmark = pytest.mark.network

WITHDRAWN = 401
# Time by which entries that start have found the members and the configuration.
START_S = 15.0


async def status_of(fleet, number, name):
    try:
        reply = await send(
            fleet.entry(number), "POST", "/a/x", b"{}", request_headers(name)
        )
    except TargetFailed:
        return None
    return reply.status


async def statuses_until_withdrawn(fleet, number):
    """Return what a request with the key gets from the start of an entry on."""
    statuses = []
    ends_s = time.monotonic() + START_S
    while WITHDRAWN not in statuses and time.monotonic() < ends_s:
        name = f"late-{number}-{len(statuses)}"
        statuses.append(await status_of(fleet, number, name))
        await curio.sleep(0.02)
    return statuses


def test_withdrawn_key_stays_withdrawn_after_all_processes_were_killed(tmp_path):
    """Guards against a key that is accepted again by processes without their memory.

    Entries keep nothing, and members may be behind when the first entry asks them.
    """

    async def scenario(fleet, targets):
        for number in (1, 2):
            await wait_until_served(fleet, targets, number)
        await put(fleet, 9, keys=("other",))
        for name in ("core-1", "core-2", "core-3", "front-1", "front-2"):
            fleet.stop(name, signal.SIGKILL)
        for number in (1, 2):
            fleet.start_entry(number)
        for number in (1, 2, 3):
            fleet.start_control(number)
        async with curio.TaskGroup() as group:
            tasks = [
                await group.spawn(statuses_until_withdrawn, fleet, number)
                for number in (1, 2)
            ]
        requests = [each.headers.get("attempt-id", "") for each in targets.requests]
        late = [name for name in requests if name.startswith("late")]
        return [task.result[-1] for task in tasks], late

    assert run_scenario(tmp_path, scenario) == ([WITHDRAWN] * 2, [])
