"""Tests of streams whose target sends no head for a while, in virtual time."""

import functools

import pytest

from tests.test_relay_front import event, run_relay, stream
from tests.test_silent_targets import empty_budget
from tests.test_timed_out_attempts import silent_head
from tests.virtual_sockets import run_with_virtual_sockets
from wagtailrun.adapters.http_client import HttpClient
from wagtailrun.routes import RouteKind

pytestmark = pytest.mark.network

run_virtual_relay = functools.partial(run_relay, run=run_with_virtual_sockets)
EVENTS = (event(1), event(2))
# Time of each request, which is longer than targets may be silent.
STREAM_MS = 8_000


async def send_stream(address):
    headers = (("Attempt-Id", "abc"), ("Deadline-Remaining", str(STREAM_MS)))
    return await HttpClient().request(
        address, "POST", "/a/x", headers, b"{}", timeout_ms=2 * STREAM_MS, host="h"
    )


def relay_stream(engines, prepare=lambda handler: None, **options):
    """Return the answer to a stream and the targets that it was sent to."""

    async def client(address, fleet):
        reply = await send_stream(address)
        return reply.status, reply.body, [number for number, _ in fleet.seen]

    options = {"resumable": True, "timeout_ms": STREAM_MS, "aim_ms": 300, **options}
    return run_virtual_relay(
        RouteKind.STREAM, engines, client, on_handler=prepare, **options
    )


def test_stream_without_a_head_goes_on_at_another_target():
    """Guards against a resumable stream that waits for a target until it is over."""
    engines = [
        [silent_head(60, stream(*EVENTS, fail=False))],
        [stream(*EVENTS, fail=False)],
    ]
    assert relay_stream(engines) == (200, b"".join(EVENTS), [0, 1])


def test_stream_that_broke_off_does_not_wait_for_a_head():
    """Guards against a stream that hangs at the second of three targets."""
    engines = [
        [stream(event(1))],
        [silent_head(60, stream(*EVENTS, fail=False))],
        [stream(*EVENTS, fail=False)],
    ]
    found = relay_stream(engines, max_attempts=3, gap_ms=100)
    assert found == (200, b"".join(EVENTS), [0, 1, 2])


@pytest.mark.parametrize(
    ("targets", "prepare", "resumable"),
    [
        (1, lambda handler: None, True),
        (2, empty_budget, True),
        (2, lambda handler: None, False),
    ],
)
def test_late_head_of_a_target_without_replacement_is_waited_for(
    targets, prepare, resumable
):
    """Guards against a stream that ends though no other target can take over."""
    late = silent_head(6, stream(*EVENTS, fail=False))
    engines = [[late] for _ in range(targets)]
    found = relay_stream(engines, prepare, resumable=resumable)
    assert found == (200, b"".join(EVENTS), [0])


def test_stream_without_a_head_is_refused_at_its_deadline():
    """Guards against a stream that is neither served nor refused."""
    engines = [[silent_head(60, stream(*EVENTS, fail=False))]]
    status, body, seen = relay_stream(engines)
    assert (status, seen) == (504, [0])
    assert b"may-have-run" in body
