"""Tests of requests while the path to targets is cut, and of the probes."""

import attrs
import curio
import pytest

from wagtailrun.exceptions import Refusal
from wagtailrun.replay.emulator import Emulator, TargetModel
from wagtailrun.serving.dispatch import Work, make_dispatcher
from wagtailrun.targets.table import Membership
from wagtailrun.virtual_time import run_virtual

CALL = Work("s", "/v1/calls/look", b"{}", "r", "ws", 0, stage="look")
MODEL = TargetModel(capacity=4, service_ms=20.0)
DEADLINE_MS = 4_000
REQUEST_INTERVAL_MS = 100
DIRECTIONS = ("outward", "inward")


class CutHarness:
    """An entry in the east, with two targets there and three in the west.

    Attributes:
        late: Requests that took as long as a connect timeout, by their start.
        refused: Refused requests, by their start.
        probes: Times of probes.
    """

    def __init__(self, clock):
        self.clock = clock
        self.emulator = Emulator(clock)
        self.client = self.emulator.client("entry", "east")
        self.late = []
        self.refused = []
        self.probes = []

    async def start(self):
        for data_centre, count in (("east", 2), ("west", 3)):
            for number in range(count):
                name = f"{data_centre}-{number}"
                await self.emulator.add(name, "s", data_centre, MODEL)
        membership = Membership("east")
        self.emulator.observe("east", membership)
        await curio.spawn(self.emulator.run_reports, daemon=True)
        self.dispatcher = make_dispatcher(
            self.clock,
            membership,
            self.client,
            name="entry",
            data_centre="east",
            probe=self.probe,
            seed=1,
        )
        # Without a preference, so that the west gets its part of the requests.
        router = self.dispatcher.router
        router.options = attrs.evolve(router.options, local_first=False)
        options = self.dispatcher.options
        self.dispatcher.options = attrs.evolve(options, hedges=False)

    async def probe(self, address):
        self.probes.append(self.clock.now_ms())
        return await self.client.probe(address)

    async def send_until(self, end_ms):
        async with curio.TaskGroup() as group:
            while self.clock.now_ms() < end_ms:
                await group.spawn(self._send)
                await self.clock.sleep_ms(REQUEST_INTERVAL_MS)

    def runs(self):
        """Return the number of attempts that each target has run."""
        targets = self.emulator.targets_by_name.items()
        return {name: len(target.engine_ms_by_attempt) for name, target in targets}

    async def _send(self):
        start_ms = self.clock.now_ms()
        work = attrs.evolve(CALL, deadline_at_ms=start_ms + DEADLINE_MS)
        answer = await self.dispatcher.call(work)
        if isinstance(answer, Refusal):
            self.refused.append(start_ms)
        if self.clock.now_ms() - start_ms >= 500:
            self.late.append(start_ms)


@pytest.mark.parametrize("direction", DIRECTIONS)
def test_few_requests_find_out_that_a_link_is_cut(direction):
    """Guards against a connect timeout a second for each target that is cut off.

    With the link cut in one direction, announcements go on arriving.
    """

    async def main(clock):
        harness = CutHarness(clock)
        await harness.start()
        await harness.send_until(5_000)
        assert not harness.late
        harness.emulator.cut("east", **{d: d == direction for d in DIRECTIONS})
        await harness.send_until(35_000)
        cut_late, cut_probes = list(harness.late), list(harness.probes)
        before = harness.runs()
        harness.emulator.heal("east")
        await harness.send_until(45_000)
        used = {n for n, count in harness.runs().items() if count > before[n]}
        return harness, cut_late, cut_probes, used

    harness, cut_late, cut_probes, used = run_virtual(main)
    assert harness.refused == []
    # Those that were sent until the first connect timeouts had passed.
    assert len(cut_late) < 20
    assert max(cut_late) < 7_000
    assert len(cut_probes) < 40
    assert harness.late == cut_late
    assert len(used) == 5


def test_work_that_no_path_leads_to_is_refused_at_once():
    """Guards against requests that are held for connect timeouts, and then refused."""

    async def main(clock):
        harness = CutHarness(clock)
        await harness.start()
        for name in ("east-0", "east-1"):
            await harness.emulator.vanish(name)
        await harness.send_until(5_000)
        harness.emulator.cut("east", outward=True, inward=False)
        await harness.send_until(20_000)
        cut_late, sent = list(harness.late), harness.client.attempts
        harness.emulator.heal("east")
        refused = len(harness.refused)
        await harness.send_until(30_000)
        return harness, cut_late, sent, refused

    harness, cut_late, sent, refused = run_virtual(main)
    assert max(cut_late) < 7_500
    assert refused > 100
    assert sent < 110
    # None is late, and the last refusal is that of before the next probe.
    assert harness.late == cut_late
    assert max(harness.refused) < 22_100


def test_refused_connection_is_tried_again_for_a_moment():
    """Guards against a refusal while the only target of a service restarts."""

    async def main(clock):
        emulator = Emulator(clock)
        target = await emulator.add("t0", "s", "east", MODEL)
        membership = Membership("east")
        emulator.observe("east", membership)
        client = emulator.client("entry", "east")
        dispatcher = make_dispatcher(
            clock, membership, client, name="entry", probe=client.probe, seed=1
        )
        dispatcher.context.random = LongestDelay()
        await target.die()
        work = attrs.evolve(CALL, deadline_at_ms=clock.now_ms() + DEADLINE_MS)
        task = await curio.spawn(dispatcher.call, work)
        await clock.sleep_ms(30)
        target.restart()
        return await task.join()

    assert not isinstance(run_virtual(main), Refusal)


class LongestDelay:
    """Random source whose delays are the longest ones."""

    def randint(self, low, high):
        return high
