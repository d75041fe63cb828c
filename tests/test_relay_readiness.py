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
from wagtailrun.relay.requests.front import (
    LEADER_RETRY_SPREAD_MS,
    MIN_NOT_READY_RETRY_MS,
    NOT_READY_RETRY_MS,
)
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


def test_refusals_before_a_configuration_tell_when_a_leader_is_expected():
    """Guards against callers that come back before, or all at the same moment."""

    def delays(expected_ms):
        entry = make_entry()
        if expected_ms is not None:
            now_ms = entry.clock.now_ms()
            entry.view.control_members.leader_expected_ms = now_ms + expected_ms
        refusals = [entry.handler._refuse_unconfigured() for _ in range(200)]
        return [refusal.retry_after_ms for refusal in refusals]

    assert set(delays(None)) == {NOT_READY_RETRY_MS}
    told = delays(1_500)
    assert 1_300 < min(told) < 1_550
    assert max(told) - min(told) > LEADER_RETRY_SPREAD_MS / 2
    assert max(told) <= 1_500 + LEADER_RETRY_SPREAD_MS
    # The moment has passed, and the configuration has not arrived yet.
    assert min(delays(-300)) >= MIN_NOT_READY_RETRY_MS
    # The members that told it have gone since, so that nobody tells another one.
    assert set(delays(-NOT_READY_RETRY_MS)) == {NOT_READY_RETRY_MS}
