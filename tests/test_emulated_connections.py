"""Tests of emulated connections against the limits of real ones."""

import math

import curio
import pytest

from tests.test_emulator import POOL, attempt, run
from tests.test_path_probes import CutHarness
from wagtailrun.adapters import connection_pool, dead_peers, http_connection
from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.exceptions import TargetFailed
from wagtailrun.replay import emulated_connection
from wagtailrun.targets.paths import FRESH_CONNECTION_MS
from wagtailrun.virtual_time import run_virtual

BURST = 30
# When the operating system ends a connection: after the loss of its path, and after a
# request was sent on one that loses all packets.
KEEPALIVE_TIMEOUT_MS = 5_000
SEND_TIMEOUT_MS = 4_500


def test_limits_are_those_of_real_connections():
    """Guards against plays with connections that an entry would not have any more."""
    keepalive_s = dead_peers.KEEPALIVE_INTERVAL_S * dead_peers.KEEPALIVE_PROBES
    keepalive_s += dead_peers.KEEPALIVE_IDLE_S
    limits = emulated_connection
    assert limits.MAX_IDLE_MS == http_connection.MAX_IDLE_MS == FRESH_CONNECTION_MS
    assert limits.MAX_IDLE_PER_TARGET == connection_pool.MAX_IDLE_PER_ADDRESS
    assert limits.SEND_TIMEOUT_MS == dead_peers.DEAD_PEER_TIMEOUT_MS
    assert keepalive_s * MS_PER_SECOND == limits.KEEPALIVE_TIMEOUT_MS
    interval_ms = dead_peers.KEEPALIVE_INTERVAL_S * MS_PER_SECOND
    assert interval_ms == limits.KEEPALIVE_INTERVAL_MS


@pytest.mark.parametrize(
    ("idle_ms", "cut_ms", "is_reused"),
    [
        (14_000, 0, True),
        (16_000, 0, False),
        (8_000, 4_000, True),
        (8_000, 6_000, False),
    ],
)
def test_idle_connection_is_reused_only_if_it_would_still_be_open(
    idle_ms, cut_ms, is_reused
):
    """Guards against stalled connections in the pool long after the end of a cut.

    The operating system ends a connection that loses all packets for 5 s; after a
    shorter cut it delivers again.
    """

    async def scenario(clock, emulator, client, target):
        client = emulator.client("entry-2", "west")
        address = target.row.address
        await client.call(address, attempt(1, "/x"))
        (before,) = client.connections()
        if cut_ms:
            emulator.cut("west")
            await clock.sleep_ms(cut_ms)
            emulator.heal("west")
        await clock.sleep_ms(idle_ms - cut_ms)
        await curio.timeout_after(1, client.call, address, attempt(2, "/x"))
        return before in client.connections()

    assert run(scenario, POOL) is is_reused


@pytest.mark.parametrize("cut_ms", [500, 4_000, 10_000])
@pytest.mark.parametrize("is_sent", [False, True])
def test_attempt_in_a_cut_ends_with_its_connection(cut_ms, is_sent):
    """Guards against attempts that stay silent after the end of a cut.

    Lost packets are sent again, at increasing intervals, until the connection ends.
    """

    async def scenario(clock, emulator, client, target):
        client = emulator.client("entry-2", "west")
        address = target.row.address
        await client.call(address, attempt(1, "/x"))
        if not is_sent:
            emulator.cut("west")

        async def send():
            error = None
            try:
                await client.call(address, attempt(2, "/x"))
            except TargetFailed as failure:
                error = failure
            return error, clock.now_ms()

        started_ms = clock.now_ms()
        task = await curio.spawn(send, daemon=True)
        await clock.sleep_ms(50)
        emulator.cut("west")
        began_ms = clock.now_ms()
        await clock.sleep_ms(cut_ms)
        emulator.heal("west")
        error, ended_ms = await curio.timeout_after(20, task.join)
        return error, ended_ms - began_ms, ended_ms - started_ms, emulator.link_ms

    error, took_ms, after_sent_ms, link_ms = run(scenario, POOL)
    if cut_ms > KEEPALIVE_TIMEOUT_MS:
        assert isinstance(error, TargetFailed)
        assert error.closed
        # The limits themselves, as one that is changed must not move its test.
        if is_sent:
            assert took_ms == KEEPALIVE_TIMEOUT_MS
        else:
            # The emulator finds the loss where the request would arrive.
            assert 0 <= after_sent_ms - SEND_TIMEOUT_MS <= math.ceil(link_ms)
    else:
        assert error is None
        assert cut_ms <= took_ms <= 2 * cut_ms + 300


def test_silent_connection_stays_open():
    """Guards against a fault of the target that ends as one of its path would."""

    async def scenario(clock, emulator, client, target):
        address = target.row.address
        task = await curio.spawn(client.call, address, attempt(1, "/x"), daemon=True)
        await clock.sleep_ms(20)
        emulator.stall_connections("t")
        with pytest.raises(curio.TaskTimeout):
            await curio.timeout_after(60, task.join)

    run(scenario, POOL)


@pytest.mark.parametrize("fault", ["cut", "vanish", "die"])
@pytest.mark.parametrize("is_sent", [False, True])
def test_silent_connection_ends_with_its_path_or_target(fault, is_sent):
    """Guards against attempts that a silent connection holds after it has ended."""

    async def scenario(clock, emulator, client, target):
        client = emulator.client("entry-2", "west")
        address = target.row.address
        await client.call(address, attempt(1, "/x"))
        if not is_sent:
            emulator.stall_connections("t")
        ended_ms = []

        async def send():
            try:
                await client.call(address, attempt(2, "/x"))
            except TargetFailed as error:
                ended_ms.append(clock.now_ms())
                return error

        task = await curio.spawn(send, daemon=True)
        await clock.sleep_ms(50)
        emulator.stall_connections("t")
        await clock.sleep_ms(30_000)
        assert not ended_ms
        lost_ms = clock.now_ms()
        if fault == "cut":
            emulator.cut("west")
        elif fault == "vanish":
            await emulator.vanish("t")
        else:
            await emulator.die("t")
        error = await curio.timeout_after(60, task.join)
        return error, ended_ms[0] - lost_ms

    error, took_ms = run(scenario, POOL)
    assert isinstance(error, TargetFailed)
    if fault == "die":
        # The next packet at the latest, a probe of keep-alive, is answered by a reset.
        assert took_ms <= emulated_connection.KEEPALIVE_INTERVAL_MS
    else:
        assert error.closed
        assert took_ms == emulated_connection.KEEPALIVE_TIMEOUT_MS


def test_silent_connection_goes_on_after_a_short_cut():
    """Guards against a short cut that ends a connection, or makes it deliver."""

    async def scenario(clock, emulator, client, target):
        client = emulator.client("entry-2", "west")
        address = target.row.address
        await client.call(address, attempt(1, "/x"))
        emulator.stall_connections("t")
        task = await curio.spawn(client.call, address, attempt(2, "/x"), daemon=True)
        await clock.sleep_ms(1_000)
        emulator.cut("west")
        await clock.sleep_ms(4_000)
        emulator.heal("west")
        with pytest.raises(curio.TaskTimeout):
            await curio.timeout_after(60, task.join)

    run(scenario, POOL)


class BurstHarness(CutHarness):
    """The same, with bursts that need many connections at a time."""

    async def send_burst(self):
        async with curio.TaskGroup() as group:
            for _ in range(BURST):
                await group.spawn(self._send)


@pytest.mark.parametrize("fault", ["cut", "silence"])
def test_no_request_finds_old_connections_long_after_a_fault(fault):
    """Guards against requests that wait for connections of before a cut, one by one."""

    async def main(clock):
        harness = BurstHarness(clock)
        await harness.start()
        await harness.send_until(3_000)
        await harness.send_burst()
        assert len(harness.client.connections()) > BURST // 2
        if fault == "cut":
            harness.emulator.cut("west")
        else:
            harness.emulator.stall_connections("west-0")
        await harness.send_until(clock.now_ms() + 3_000)
        harness.emulator.heal("west")
        # Few requests, so that none has new connections opened in place of the old.
        await clock.sleep_ms(20_000)
        before = len(harness.late)
        await harness.send_burst()
        await harness.send_until(clock.now_ms() + 5_000)
        return before, len(harness.late), harness.refused

    before, late, refused = run_virtual(main)
    assert refused == []
    assert late == before
