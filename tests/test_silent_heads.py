"""Tests of streams whose target accepts them and sends no head."""

import curio
import pytest

from tests.test_relay_front import empty_budget, event, run_relay, send, stream
from tests.test_relay_stop import lasting, silent
from wagtailrun.relay import streams
from wagtailrun.routes import RouteKind

pytestmark = pytest.mark.network

TIMEOUT_MS = 300
WHOLE = stream(event(1), fail=False)


@pytest.fixture(autouse=True)
def short_timeout(monkeypatch):
    monkeypatch.setattr(streams, "MIN_FIRST_EVENT_TIMEOUT_MS", TIMEOUT_MS)


async def late_head(request):
    await curio.sleep(3 * TIMEOUT_MS / 1_000)
    return lasting(0)(request)


async def client(address, fleet):
    reply = await send(address)
    return reply.status, reply.body, [number for number, _ in fleet.seen]


def test_stream_moves_on_from_a_target_that_sends_no_head():
    """Guards against a stream that waits for a silent target until its deadline."""
    options = {"resumable": True, "aim_ms": 100, "timeout_ms": 2_000}
    found = run_relay(RouteKind.STREAM, [[silent], [WHOLE]], client, **options)
    assert found == (200, event(1), [0, 1])


@pytest.mark.parametrize(
    ("targets", "options", "prepare"),
    [
        (1, {"resumable": True}, lambda handler: None),
        (2, {"resumable": True}, empty_budget),
        (2, {"resumable": False}, lambda handler: None),
        (2, {"resumable": True, "max_attempts": 1}, lambda handler: None),
    ],
)
def test_late_head_of_a_target_without_replacement_is_waited_for(
    targets, options, prepare
):
    """Guards against an answer that is ended since its target is silent for a moment.

    No other target may take over.
    """
    engines = [[late_head], [WHOLE]][:targets]
    options = {"aim_ms": 100, "timeout_ms": 2_000, **options}
    found = run_relay(RouteKind.STREAM, engines, client, on_handler=prepare, **options)
    assert found == (200, event(1), [0])
