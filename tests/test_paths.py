"""Tests of what an entry believes about its paths to targets, in virtual time."""

import curio
import pytest

from wagtailrun.ports.link import Address
from wagtailrun.relay.paths.target_paths import (
    ABORT_SILENCE_MS,
    CHECK_INTERVAL_MS,
    PROBE_INTERVAL_MS,
    PROBE_JITTER,
    REVIEW_INTERVAL_MS,
    SILENCE_MS,
    TargetPaths,
)
from wagtailrun.virtual_time import run_virtual

TARGETS = [Address(f"10.0.0.{number}", 80) for number in range(1, 6)]
# Time in which an entry that reaches no target finds out.
FIND_OUT_MS = 1_000
LONGEST_PROBE_MS = PROBE_INTERVAL_MS * (1 + PROBE_JITTER) + REVIEW_INTERVAL_MS


class Network:
    """Targets that can be reached, and other entries that reach all of them."""

    def __init__(self, clock):
        self.reachable = set(TARGETS)
        self.known = list(TARGETS)
        self.probes = []
        self.paths = TargetPaths(
            clock, lambda: self.known, self.probe, self.check, self.reaches_any, 1
        )

    async def probe(self, address):
        self.probes.append(address)
        if address in self.reachable:
            self.paths.record_connected(address)
        return address in self.reachable

    async def reaches_any(self):
        return bool(self.reachable)

    async def check(self, address):
        if not await self.probe(address):
            self.paths.record_lost(address, "carrier", "refused")
            return False
        return True


class SilentSocket:
    """Socket of a target that sends nothing until it is shut down."""

    def __init__(self, acknowledges=True):
        self.ended = curio.Event()
        self.acknowledges = acknowledges

    def getsockopt(self, level, name, size):
        probes = 0 if self.acknowledges else 1
        return bytes((1, 0, 0, probes, 0, 0, 0, 0))

    async def recv(self, size):
        await self.ended.wait()
        return b""

    async def shutdown(self, how):
        await self.ended.set()

    async def close(self):
        pass


def run(scenario):
    async def main(clock):
        network = Network(clock)
        watcher = await curio.spawn(network.paths.run)
        try:
            return await scenario(clock, network)
        finally:
            await watcher.cancel()

    return run_virtual(main)


def lose(network, *addresses):
    for address in addresses:
        network.paths.record_lost(address, "carrier", "refused")


async def cut_off(clock, network):
    """Lose all paths; return when the entry has found out."""
    network.reachable.clear()
    lose(network, *TARGETS[:2])
    await clock.sleep_ms(FIND_OUT_MS)
    assert network.paths.is_cut_off


def test_one_lost_path_leaves_the_others_direct():
    """Guards against an entry that believes to be cut off because of one target."""

    async def scenario(clock, network):
        network.reachable.discard(TARGETS[0])
        lose(network, TARGETS[0])
        return [network.paths.is_lost(address) for address in TARGETS]

    assert run(scenario) == [True, False, False, False, False]


@pytest.mark.parametrize("connects_between", [False, True])
def test_entry_is_cut_off_after_two_paths(connects_between):
    """Guards against an entry that learns of each target separately in a cut.

    A connection to another target shows that it is no cut.
    """

    async def scenario(clock, network):
        network.reachable.clear()
        lose(network, TARGETS[0])
        await clock.sleep_ms(1)
        if connects_between:
            network.reachable.add(TARGETS[2])
            network.paths.record_connected(TARGETS[2])
        lose(network, TARGETS[1])
        found = []
        for _ in range(10):
            await clock.sleep_ms(FIND_OUT_MS)
            found.append(network.paths.is_lost(TARGETS[4]))
        return set(found)

    assert run(scenario) == {not connects_between}


def test_entry_returns_to_direct_paths_after_one_probe():
    """Guards against an entry that stays on the way round after the cut."""

    async def scenario(clock, network):
        await cut_off(clock, network)
        await clock.sleep_ms(5_000 - FIND_OUT_MS)
        during = network.paths.is_cut_off, len(network.probes)
        network.reachable.update(TARGETS)
        await clock.sleep_ms(int(LONGEST_PROBE_MS))
        return during, [network.paths.is_lost(address) for address in TARGETS[2:]]

    (was_cut_off, probes), lost = run(scenario)
    assert was_cut_off
    assert probes <= 5_000 / PROBE_INTERVAL_MS * 2
    assert not any(lost)


def test_entries_return_at_different_times():
    """Guards against entries that all return to direct paths in the same moment."""

    def returned_ms(seed):
        async def main(clock):
            network = Network(clock)
            network.paths.random.seed(seed)
            watcher = await curio.spawn(network.paths.run)
            await cut_off(clock, network)
            await clock.sleep_ms(3_100 - FIND_OUT_MS)
            network.reachable.update(TARGETS)
            while network.paths.is_cut_off:
                await clock.sleep_ms(10)
            await watcher.cancel()
            return clock.now_ms()

        return run_virtual(main)

    assert len({returned_ms(seed) for seed in range(10)}) > 2


def test_belief_of_a_cut_ends_at_any_target():
    """Guards against two dead paths that keep all others indirect."""

    async def scenario(clock, network):
        await cut_off(clock, network)
        network.reachable.update(TARGETS[2:])
        # A probe picks one of the two at times.
        await clock.sleep_ms(8 * int(LONGEST_PROBE_MS))
        return [network.paths.is_lost(address) for address in TARGETS[2:]]

    assert not any(run(scenario))


def test_two_dead_paths_are_no_cut():
    """Guards against a wrong belief of a cut, which makes all paths indirect."""

    async def scenario(clock, network):
        network.reachable.difference_update(TARGETS[:2])
        lose(network, *TARGETS[:2])
        found = []
        for _ in range(100):
            await clock.sleep_ms(50)
            found.append(network.paths.is_cut_off)
        return found

    assert not any(run(scenario))


def test_targets_that_are_gone_are_forgotten():
    """Guards against a table that grows, and a cut that only they prove."""

    async def scenario(clock, network):
        await cut_off(clock, network)
        network.known = []
        await clock.sleep_ms(int(2 * LONGEST_PROBE_MS))
        paths = network.paths
        return paths.is_cut_off, paths.lost_since_ms_by_address

    assert run(scenario) == (False, {})


def silent_wait(reachable, acknowledges=True):
    """Wait for a silent target; return how long, and the paths that were lost."""

    async def scenario(clock, network):
        if not reachable:
            network.reachable.clear()
        sock = network.paths.watch(SilentSocket(acknowledges), TARGETS[0])
        started_ms = clock.now_ms()
        try:
            async with curio.timeout_after(10):
                await sock.recv(1)
        except ConnectionAbortedError:
            aborted_ms = clock.now_ms() - started_ms
        except curio.TaskTimeout:
            aborted_ms = None
        return aborted_ms, network.paths.is_lost(TARGETS[0]), len(network.probes)

    return run(scenario)


def test_silent_target_that_is_reached_is_not_ended():
    """Guards against an answer that is ended because its target is silent."""
    aborted_ms, lost, probes = silent_wait(reachable=True)
    assert (aborted_ms, lost) == (None, False)
    assert 0 < probes <= 3 * 10_000 / CHECK_INTERVAL_MS


def test_attempt_over_a_silent_lost_path_is_ended():
    """Guards against requests that wait on old connections over a path that is cut."""
    aborted_ms, lost, _ = silent_wait(reachable=False, acknowledges=False)
    assert lost
    assert ABORT_SILENCE_MS <= aborted_ms <= ABORT_SILENCE_MS + 2 * REVIEW_INTERVAL_MS


def test_silent_target_on_an_old_connection_is_not_ended():
    """Guards against a sound answer that ends because new connections fail."""
    aborted_ms, lost, _ = silent_wait(reachable=False)
    assert (aborted_ms, lost) == (None, True)


def test_dead_connection_over_a_path_that_works_is_left_to_the_system():
    """Guards against a belief about one path that ends connections of another."""

    async def scenario(clock, network):
        network.reachable.difference_update(TARGETS[:2])
        lose(network, *TARGETS[:2])
        sock = network.paths.watch(SilentSocket(acknowledges=False), TARGETS[2])
        async with curio.ignore_after(2 * ABORT_SILENCE_MS / 1_000):
            await sock.recv(1)
        return sock.aborted

    assert run(scenario) is False


def test_idle_entry_checks_nothing():
    """Guards against probes that cost targets connections while all is well."""

    async def scenario(clock, network):
        sock = network.paths.watch(SilentSocket(), TARGETS[0])
        await clock.sleep_ms(10 * SILENCE_MS)
        await sock.close()
        return network.probes, network.paths.sockets

    assert run(scenario) == ([], set())
