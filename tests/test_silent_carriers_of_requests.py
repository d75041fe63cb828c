"""Tests of requests whose answers another entry carries, which may stand still."""

import functools

import curio
import pytest

from tests.test_relay_front import GOOD, event, run_relay, send
from tests.test_silent_targets import silent_for
from tests.virtual_sockets import run_with_virtual_sockets
from wagtailrun.adapters.http_client import Connector, DirectConnector, OpenConnection
from wagtailrun.ports.link import Address
from wagtailrun.relay.placement.estimate import IDLE_FIRST_EVENT_MS
from wagtailrun.routes import RouteKind

pytestmark = pytest.mark.network

run_virtual_relay = functools.partial(run_relay, run=run_with_virtual_sockets)
CARRIER = Address("10.1.0.1", 7)
# Time for what is found out after the answer.
SETTLE_S = 0.2


class CarriedConnector(Connector):
    """Connections of another entry, which confirms the silence of targets or not."""

    def __init__(self, confirms_silence):
        self.direct = DirectConnector()
        self.is_sound = confirms_silence
        self.asked = []

    async def connect(self, address, timeout_ms):
        opened = await self.direct.connect(address, timeout_ms)
        return OpenConnection(opened.sock, CARRIER)

    def may_reuse(self, address):
        return True

    async def confirms_silence(self, address, carrier, since_ms):
        self.asked.append(carrier)
        return self.is_sound


def ask_carried(kind, engines, confirms_silence, **options):
    """Return the answer, and what is known of the first target afterwards."""
    handlers = []

    connector = CarriedConnector(confirms_silence)

    async def client(address, fleet):
        reply = await send(address)
        await curio.sleep(SETTLE_S)
        attempts = handlers[0].attempts
        chooser = attempts.chooser
        if options.get("prompt_affinity"):
            chooser = attempts.selection.placement.host.chooser
        state = chooser.health.states_by_name[fleet.rows[0].name]
        return reply, state, chooser.models_by_service["s"]

    return run_virtual_relay(
        kind,
        engines,
        client,
        connector=connector,
        on_handler=handlers.append,
        **options,
    )


@pytest.mark.parametrize("confirms_silence", [False, True])
def test_answer_that_its_carrier_holds_is_no_failure_of_the_target(confirms_silence):
    """Guards against targets that get less work as another entry stands still."""
    engines = [[silent_for(60, b"late")], [GOOD]]
    reply, state, _ = ask_carried(
        RouteKind.IDEMPOTENT, engines, confirms_silence, aim_ms=300
    )
    assert (reply.status, reply.body) == (200, b"ok")
    assert (state.failure_rate > 0) == confirms_silence


@pytest.mark.parametrize("confirms_silence", [False, True])
@pytest.mark.parametrize("silence_s", [0.4, 1.2])
def test_late_answer_that_its_carrier_held_makes_no_target_slow(
    silence_s, confirms_silence
):
    """Guards against targets that count as slow as another entry stood still."""
    engines = [[silent_for(silence_s, b"late")]]
    reply, state, _ = ask_carried(
        RouteKind.IDEMPOTENT, engines, confirms_silence, aim_ms=300
    )
    assert (reply.status, reply.body) == (200, b"late")
    assert (state.slowness > 1.2) == confirms_silence


@pytest.mark.parametrize("confirms_silence", [False, True])
def test_late_event_that_its_carrier_held_changes_no_estimate(confirms_silence):
    """Guards against prompts that are expected late at all engines of a service."""
    engines = [[silent_for(0.6, event(1))]]
    reply, state, model = ask_carried(
        RouteKind.STREAM, engines, confirms_silence, aim_ms=900, prompt_affinity=True
    )
    assert reply.status == 200
    assert (state.slowness > 1.2) == confirms_silence
    assert (model.fixed_ms != IDLE_FIRST_EVENT_MS) == confirms_silence


@pytest.mark.parametrize("held", [False, True])
@pytest.mark.parametrize("prompt_affinity", [False, True])
def test_entry_that_stood_still_takes_no_target_for_slow(prompt_affinity, held):
    """Guards against targets that get less work as the entry itself stood still."""
    handlers = []

    def prepare(handler):
        handlers.append(handler)
        handler.attempts.reports.was_held_since = lambda since_ms: held

    async def client(address, fleet):
        reply = await send(address)
        attempts = handlers[0].attempts
        chooser = attempts.chooser
        if prompt_affinity:
            chooser = attempts.selection.placement.host.chooser
        return reply.status, chooser.health.states_by_name[fleet.rows[0].name].slowness

    status, slowness = run_virtual_relay(
        RouteKind.IDEMPOTENT,
        [[silent_for(0.6, b"late")]],
        client,
        on_handler=prepare,
        aim_ms=900,
        prompt_affinity=prompt_affinity,
    )
    assert status == 200
    assert (slowness > 1.05) != held


def test_answer_in_time_needs_no_word_of_its_carrier():
    """Guards against a message to another entry for each request."""
    connector = CarriedConnector(False)

    async def client(address, fleet):
        await send(address)
        await curio.sleep(SETTLE_S)

    run_virtual_relay(
        RouteKind.IDEMPOTENT, [[GOOD]], client, connector=connector, aim_ms=300
    )
    assert connector.asked == []
