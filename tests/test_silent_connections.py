"""Tests of relayed requests to targets whose open connections have become silent."""

import functools

import curio
import pytest

from tests.test_relay_front import SIGNATURE, answer, event, run_relay, stream
from tests.virtual_sockets import run_with_virtual_sockets
from wagtailrun.adapters.http_client import HttpClient
from wagtailrun.routes import RouteKind

pytestmark = pytest.mark.network

run_virtual_relay = functools.partial(run_relay, run=run_with_virtual_sockets)
REQUESTS = 6
TIMEOUT_MS = 8_000
ANSWERS = {
    RouteKind.IDEMPOTENT: answer(200, b"ok", SIGNATURE),
    RouteKind.STREAM: stream(event(1), fail=False),
}


async def send(address, number):
    # No connection carries two attempts of one name.
    headers = (("Attempt-Id", f"a{number}"), ("Deadline-Remaining", str(TIMEOUT_MS)))
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
        aim_ms=300,
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
