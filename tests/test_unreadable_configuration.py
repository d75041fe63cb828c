"""Tests of an entry that cannot read an acknowledged configuration."""

import json

import curio
import pytest

from tests.stopping_entries import make_relay_entry as make_entry
from tests.test_discovery import APPLY_LIMIT_MS, run
from tests.test_platform import DOCUMENT, ROUTE, document
from tests.test_relay_front import GOOD, run_relay, send
from wagtailrun.adapters.http_server import Request
from wagtailrun.discovery.transfer import ConfigurationTransfer
from wagtailrun.logs import events
from wagtailrun.logs.events import EVENT_LOG
from wagtailrun.routes import RouteKind

VERSION = DOCUMENT["version"]
# What a later build may write: a kind of route that this one does not know.
LATER = document(version=VERSION + 1, routes=[{**ROUTE, "kind": "duplex"}])
FAULT = "routes[0].kind: 'duplex' must be one of"


def test_entry_serves_until_an_unreadable_configuration_should_be_in_force():
    """Guards against a revoked key that goes on at an entry of another build.

    Also guards against an entry that refuses earlier, or after a readable version.
    """

    async def scenario(controls, clock):
        view = await controls.entry()
        await controls.put_text(1)
        await clock.sleep_ms(1_000)
        seen = []

        async def note(wait_ms):
            await clock.sleep_ms(wait_ms)
            seen.append((view.revision, view.unread_revision, view.is_outdated))

        await controls.put_text(2, "bad")
        await note(APPLY_LIMIT_MS // 2)
        await note(APPLY_LIMIT_MS // 2)
        await note(60_000)
        await controls.put_text(3)
        await note(1_000)
        return seen

    expected = [(1, 2, False), (1, 2, True), (1, 2, True), (3, 0, False)]
    assert run(scenario) == expected


@pytest.mark.network
def test_unreadable_configuration_is_named_where_operators_look():
    """Guards against an entry that is not ready for no visible reason."""

    async def main():
        entry = make_entry()

        async def apply(text):
            version = json.loads(text)["version"]
            transfer = ConfigurationTransfer()
            await entry.view._apply_configuration(version, text.encode(), transfer, 0)
            reply = await entry.readiness.handle(Request("GET", "/readyz"))
            lines = entry.metrics.render().decode().splitlines()
            gauge = [line for line in lines if "unreadable_revision " in line]
            return json.loads(reply.body), gauge[-1].split()[1]

        sound = await apply(document())
        later = await apply(LATER)
        return sound, later, await apply(document(version=VERSION + 2))

    before = EVENT_LOG.counts_by_number.get(events.FLEET_CONFIG_UNREADABLE.number, 0)
    sound, (body, gauge), corrected = curio.run(main)
    after = EVENT_LOG.counts_by_number.get(events.FLEET_CONFIG_UNREADABLE.number, 0)
    detail = "the fleet configuration here is not confirmed as the newest"
    assert sound == corrected == ({"ready": False, "detail": detail}, "0.0")
    assert (body["unreadable_revision"], gauge) == (VERSION + 1, f"{VERSION + 1}.0")
    assert body["detail"].startswith(FAULT)
    assert after == before + 1


@pytest.mark.network
@pytest.mark.parametrize("change", [{"is_outdated": True}, {"table": None}])
def test_refusal_says_that_the_configuration_cannot_be_read(change):
    """Guards against a refusal that blames a transfer which is complete."""

    async def client(address, fleet):
        reply = await send(address, "/a/x")
        return reply.status, json.loads(reply.body)["detail"]

    view = {**change, "unread_revision": 9}
    status, detail = run_relay(RouteKind.ORDER, [[GOOD]], client, view=view)
    assert status == 503
    assert "cannot read revision 9" in detail


def test_unreadable_configuration_is_not_fetched_again_and_again():
    """Guards against an entry that fetches one text without a pause.

    A member that is behind sends the unreadable revision, as the entry asks for a newer
    one that it knows of from another member.
    """

    async def scenario(controls, clock):
        view = await controls.entry()
        await controls.put_text(1)
        await clock.sleep_ms(1_000)
        await controls.put_text(2, "bad")
        await clock.sleep_ms(1_000)
        number = events.FLEET_CONFIG_UNREADABLE.number
        before = EVENT_LOG.counts_by_number.get(number, 0)
        for hub in controls.hubs:
            hub.registry.revision = 3
            hub.history.add = lambda revision, text: None
            await hub.changed.notify()
        await clock.sleep_ms(2_000)
        return view.revision, EVENT_LOG.counts_by_number.get(number, 0) - before

    assert run(scenario) == (1, 0)
