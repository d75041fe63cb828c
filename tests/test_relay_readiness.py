"""Tests of the readiness checks of a relay entry."""

import functools

import pytest

from tests.stopping_entries import make_relay_entry as make_entry
from tests.test_checks_in_overload import (
    MANY,
    answer_of,
    full_memory,
    run_with_server,
)
from wagtailrun.process.descriptors import DescriptorShares
from wagtailrun.routes import RequestLimits, build_route_table

pytestmark = pytest.mark.network


def run_relay(client):
    """Run ``client(entry, send)`` with a relay's entry that is ready."""
    entry = make_entry()
    entry.view.table = build_route_table(
        1, [], [], [], RequestLimits(), demands_keys=True
    )
    entry.view.revision = 1
    entry.view.confirmed_ms = entry.clock.now_ms()
    return run_with_server(entry.ready_server, functools.partial(client, entry))


def test_check_of_a_relay_entry_tells_of_a_lack_of_memory():
    """Guards against checks that are refused for the memory that others hold."""

    async def client(entry, send):
        with full_memory():
            during = await send()
        return during, await send()

    during, after = map(answer_of, run_relay(client))
    assert during[0] == 503
    assert during[1]["ready"] is False
    assert "no memory" in during[1]["detail"]
    assert after[:2] == (200, {"ready": True})


def test_check_of_a_relay_entry_tells_of_a_lack_of_descriptors():
    """Guards against a load balancer that sends what an entry can only refuse."""

    async def client(entry, send):
        entry.descriptors = DescriptorShares(4)
        return await send()

    status, body, _ = answer_of(run_relay(client))
    assert status == 503
    assert body["ready"] is False
    assert "of 4 descriptors" in body["detail"]


def test_check_of_a_relay_entry_is_answered_beside_many_connections():
    """Guards against checks that are refused for the number of other checks."""

    async def client(entry, send):
        entry.ready_server.open_connections += MANY
        return await send()

    assert answer_of(run_relay(client)) == (200, {"ready": True}, True)


def test_check_of_a_relay_entry_names_the_reason():
    """Guards against an entry of which nobody knows why it is not ready."""

    async def client(entry, send):
        entry.view.table = None
        first = await send()
        entry.signals.stop_count = 1
        return first, await send()

    first, second = map(answer_of, run_relay(client))
    assert first[0] == second[0] == 503
    assert "configuration" in first[1]["detail"]
    assert "stops" in second[1]["detail"]
