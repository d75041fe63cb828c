"""Tests of requests whose targets are all in data centres that are away."""

import functools

import pytest

from tests.test_relay_front import GOOD, route, run_relay, send
from tests.virtual_sockets import run_with_virtual_sockets
from wagtailrun.clock import SystemClock
from wagtailrun.routes import (
    EngineCapacity,
    RequestLimits,
    RoutedService,
    RouteKind,
    StageCapacity,
    StageStep,
    build_route_table,
)

pytestmark = pytest.mark.network

SERVICES = (
    RoutedService("s", engine=EngineCapacity(4, 100_000)),
    RoutedService("board", pool=StageCapacity(1, 4, 4, 50, 5, 1_000_000, 4_000)),
)
run_virtual_relay = functools.partial(run_relay, run=run_with_virtual_sockets)


class Stages:
    """Stage runner that counts the requests whose stages run."""

    def __init__(self):
        self.run_count = 0

    async def announce(self, work, data_centre):
        return 0

    def min_duration_ms(self, work):
        return 0

    async def run(self, work, data_centre, results):
        self.run_count += 1

    async def withdraw(self, work):
        pass

    async def release_all(self, work, results):
        pass

    def use(self, handler, kind, steps, prompt_affinity):
        """Let a handler with one route of these steps run its stages here."""
        handler.runner = handler.admission.runner = handler.streams.runner = self
        handler.view.table = build_route_table(
            1,
            [route(kind, steps=steps, prompt_affinity=prompt_affinity)],
            SERVICES,
            [],
            RequestLimits(),
            demands_keys=False,
        )


@pytest.mark.parametrize("kind", [RouteKind.STREAM, RouteKind.ORDER])
@pytest.mark.parametrize("steps", [(), (StageStep("board", (), 800),)])
def test_request_without_a_target_that_is_reached_is_refused_at_the_door(kind, steps):
    """Guards against stages that run for engines that nobody reaches."""
    stages = Stages()

    def use_stages(handler):
        stages.use(handler, kind, steps, prompt_affinity=bool(steps))

    async def client(address, fleet):
        started_ms = SystemClock().now_ms()
        more = [("pieces", "2")] if steps else []
        reply = await send(address, more=more)
        took_ms = SystemClock().now_ms() - started_ms
        retry_ms = float(reply.headers["retry-after"]) * 1_000
        return reply.status, b"not-run" in reply.body, took_ms, retry_ms, fleet.seen

    status, is_not_run, took_ms, retry_ms, seen = run_virtual_relay(
        kind,
        [[GOOD]],
        client,
        view={"away_data_centres": frozenset({"a"})},
        on_handler=use_stages,
    )
    assert (status, is_not_run, took_ms, seen) == (503, True, 0, [])
    # The entry tries to reach the data centre twice a second.
    assert retry_ms >= 1_000
    assert stages.run_count == 0
