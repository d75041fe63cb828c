"""Tests of relayed requests to targets whose open connections have become silent."""

import functools
import itertools

import curio
import pytest

from tests.test_relay_front import SIGNATURE, answer, event, run_relay, stream
from tests.virtual_sockets import run_with_virtual_sockets
from wagtailrun.adapters.http_client import HttpClient
from wagtailrun.routes import RouteKind
from wagtailrun.targets.attempt_ends import MIN_STALL_MS

pytestmark = pytest.mark.network

run_virtual_relay = functools.partial(run_relay, run=run_with_virtual_sockets)
REQUESTS = 6
TIMEOUT_MS = 8_000
# Attempts that end before a connection is suspected say nothing.
AIM_MS = MIN_STALL_MS + 200
ANSWERS = {
    RouteKind.IDEMPOTENT: answer(200, b"ok", SIGNATURE),
    RouteKind.STREAM: stream(event(1), fail=False),
}


async def send(address, number, limit_ms=TIMEOUT_MS):
    # No connection carries two attempts of one name.
    headers = (("Attempt-Id", f"a{number}"), ("Deadline-Remaining", str(limit_ms)))
    return await HttpClient().request(
        address, "POST", "/a/x", headers, b"{}", timeout_ms=TIMEOUT_MS, host="h"
    )


@pytest.mark.parametrize("kind", ANSWERS)
@pytest.mark.parametrize("is_silent", [False, True])
def test_idle_connections_to_a_silent_target_are_closed(kind, is_silent):
    """Guards against requests that try the silent connections of a target in turn.

    They were opened before the one that was found silent, so they may be silent, too.
    """
    handlers, armed, silent = [], [], []

    def target(number):
        async def handle(request):
            if armed:
                armed.clear()
                silent.append(number)
                await curio.sleep(60)
            # Long enough for all requests to need a connection of their own.
            await curio.sleep(0.02)
            return ANSWERS[kind](request)

        return handle

    async def client(address, fleet):
        def count_idle():
            idle = handlers[0].attempts.http.pool.idle_by_address
            return [len(idle.get(row.address, ())) for row in fleet.rows]

        async with curio.TaskGroup() as group:
            for number in range(REQUESTS):
                await group.spawn(send, address, number)
        before = count_idle()
        if is_silent:
            armed.append(True)
        reply = await send(address, REQUESTS)
        return reply.status, before, count_idle()

    status, before, after = run_virtual_relay(
        kind,
        [[target(0)], [target(1)]],
        client,
        on_handler=handlers.append,
        resumable=True,
        timeout_ms=TIMEOUT_MS,
        aim_ms=AIM_MS,
        gap_ms=100,
    )
    assert status == 200
    assert sum(before) == REQUESTS
    assert len(silent) == is_silent
    if is_silent:
        assert before[silent[0]] > 1
        assert after[silent[0]] == 0
    else:
        assert after == before


@pytest.mark.parametrize("kind", ANSWERS)
@pytest.mark.parametrize("limit_ms", [10, 30, 100])
def test_short_deadline_of_one_caller_closes_no_connections(kind, limit_ms):
    """Guards against a caller that costs others the connections to a sound target."""
    handlers = []

    async def handle(request):
        await curio.sleep(0.15)
        return ANSWERS[kind](request)

    async def client(address, fleet):
        async with curio.TaskGroup() as group:
            for number in range(REQUESTS):
                await group.spawn(send, address, number)
        pool = handlers[0].attempts.http.pool
        before = len(pool)
        await send(address, REQUESTS, limit_ms)
        return before, len(pool)

    before, after = run_virtual_relay(
        kind,
        [[handle]],
        client,
        on_handler=handlers.append,
        resumable=True,
        timeout_ms=TIMEOUT_MS,
        aim_ms=AIM_MS,
        gap_ms=100,
    )
    assert before == REQUESTS
    # That of the request that was given up carries no other.
    assert after == before - 1


@pytest.mark.parametrize(
    ("case", "kind"),
    [
        # No stream is abandoned as early.
        ("short", RouteKind.IDEMPOTENT),
        *itertools.product(["new", "held"], ANSWERS),
    ],
)
def test_silence_that_shows_nothing_of_other_connections_closes_none(case, kind):
    """Guards against closing connections without evidence that they are silent.

    The attempt was ended early, was on a new connection, or was timed by a process
    that stood still.
    """
    handlers, running, silent = [], [], []
    most = REQUESTS if case == "new" else 0

    async def handle(request):
        armed = handlers[0].armed
        running.append(request)
        try:
            if armed and not silent and len(running) > most:
                silent.append(request)
                await curio.sleep(60)
            await curio.sleep(0.02)
            return ANSWERS[kind](request)
        finally:
            running.remove(request)

    async def client(address, fleet):
        attempts = handlers[0].attempts
        if case == "held":
            attempts.reports.was_held_since = lambda since_ms: True
        idle = attempts.http.pool.idle_by_address
        handlers[0].armed = False
        async with curio.TaskGroup() as group:
            for number in range(REQUESTS):
                await group.spawn(send, address, number)
        handlers[0].armed = True
        before = len(idle[fleet.rows[0].address])
        async with curio.TaskGroup() as group:
            for number in range(REQUESTS, REQUESTS + most + 1):
                await group.spawn(send, address, number)
        return before, len(idle[fleet.rows[0].address])

    async def other(request):
        return ANSWERS[kind](request)

    before, after = run_virtual_relay(
        kind,
        [[handle], [other]],
        client,
        on_handler=handlers.append,
        resumable=True,
        timeout_ms=TIMEOUT_MS,
        aim_ms=MIN_STALL_MS - 200 if case == "short" else AIM_MS,
        gap_ms=100,
    )
    assert len(silent) == 1
    assert before == REQUESTS
    assert after == (REQUESTS if case == "new" else REQUESTS - 1)
