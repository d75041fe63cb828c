"""Tests of the choice of the next target while targets take no requests."""

import types

import pytest

from tests.test_relay_admission import job
from tests.test_relay_front import FakeView, route
from wagtailrun.discovery.quarantine import Quarantine
from wagtailrun.ports.link import Address
from wagtailrun.relay.placement.choice import TargetChooser
from wagtailrun.relay.requests.attempts import RelayAttempts
from wagtailrun.routes import RouteKind
from wagtailrun.targets.table import TargetRow
from wagtailrun.virtual_time import run_virtual

PAUSE_MS = 1
ROWS = [
    TargetRow(f"t{number}", Address("10.0.0.1", number), "s", "a", 4)
    for number in (1, 2)
]


class EndingPause:
    """Pause of the targets that ends after ``asked`` questions, for good."""

    def __init__(self, asked):
        self.asked = asked

    def paused_ms(self, address, urgency):
        self.asked -= 1
        return PAUSE_MS if self.asked >= 0 else 0


@pytest.mark.parametrize("asked", range(8))
@pytest.mark.parametrize("tried", [[], ["t1"]])
def test_request_is_sent_if_a_pause_ends_while_it_is_asked_for(asked, tried):
    """Guards against a refusal because a pause ended within the choice of a target.

    A target that denies a request for 1 ms may be free again before the request has
    found out that it has to wait.
    """

    async def main(clock):
        view = FakeView(None, ROWS, quarantine=Quarantine(clock))
        chooser = TargetChooser(clock, "a", seed=1)
        attempts = RelayAttempts(
            clock,
            view,
            None,
            None,
            chooser,
            None,
            types.SimpleNamespace(spend=lambda service: True),
            EndingPause(asked),
        )
        request = job(clock, route=route(RouteKind.IDEMPOTENT), work=None)
        request.tried_targets.extend(tried)
        return await attempts.selection.next_target(request)

    chosen = run_virtual(main)
    assert chosen in [row for row in ROWS if row.name not in tried]
