"""Tests of the choice of the next target while targets take no requests."""

import attrs
import pytest

from tests.test_relay_admission import job
from tests.test_relay_front import FakeView, route
from wagtailrun.discovery.quarantine import Quarantine
from wagtailrun.exceptions import Refusal
from wagtailrun.ports.link import Address
from wagtailrun.relay import PromptPart, RelayRequest
from wagtailrun.relay.core.placement_messages import Placed
from wagtailrun.relay.limits.return_line import ReturnLine
from wagtailrun.relay.placement.choice import TargetChooser
from wagtailrun.relay.requests.attempts import RelayAttempts
from wagtailrun.relay.requests.target_selection import MAX_PART_WAIT_MS
from wagtailrun.routes import RouteKind
from wagtailrun.targets.retries import RetryBudget
from wagtailrun.targets.table import TargetRow
from wagtailrun.virtual_time import run_virtual

PAUSE_MS = 1
ROWS = [
    TargetRow(f"t{number}", Address("10.0.0.1", number), "s", "a", 4)
    for number in (1, 2)
]


class EndingPause:
    """Pause of the targets that ends after ``asked`` questions, for good.

    They may be ``brittle``: requests then wait in a line.
    """

    def __init__(self, asked, brittle=False):
        self.asked = asked
        self.brittle = brittle
        self.line = ReturnLine()

    def is_brittle(self, row):
        return self.brittle

    def paused_ms(self, address, urgency):
        self.asked -= 1
        return PAUSE_MS if self.asked >= 0 else 0


@pytest.mark.parametrize("asked", range(8))
@pytest.mark.parametrize("tried", [[], ["t1"]])
@pytest.mark.parametrize("brittle", [False, True])
def test_request_is_sent_if_a_pause_ends_while_it_is_asked_for(asked, tried, brittle):
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
            RetryBudget(),
            EndingPause(asked, brittle),
        )
        request = job(clock, route=route(RouteKind.IDEMPOTENT), work=None)
        request.tried_targets.extend(tried)
        return await attempts.selection.next_target(request)

    chosen = run_virtual(main)
    assert chosen in [row for row in ROWS if row.name not in tried]


class BusyOwner:
    """Owner of an engine that reads a part of the prompt for another one.

    Attributes:
        messages: Questions, with their times.
    """

    def __init__(self, clock, ready_ms, said_ms=300, held_after_ms=None):
        self.clock = clock
        self.ready_ms = ready_ms
        self.said_ms = said_ms
        self.held_after_ms = held_after_ms
        self.messages = []

    async def place(self, message):
        now_ms = self.clock.now_ms()
        self.messages.append((now_ms, message))
        if self.held_after_ms is not None and now_ms >= self.held_after_ms:
            return Placed("", "", 0, held_ms=500)
        waits = message.may_wait and now_ms < self.ready_ms
        return Placed("t1", "a", 100, part_wait_ms=self.said_ms if waits else 0)

    def placer(self, request_id, target):
        return "e1"


def choose_at(owner_of, remaining_ms=5_000):
    async def main(clock):
        view = FakeView(None, ROWS, quarantine=Quarantine(clock))
        owner = owner_of(clock)
        attempts = RelayAttempts(
            clock,
            view,
            None,
            None,
            TargetChooser(clock, "a", seed=1),
            owner,
            RetryBudget(),
            EndingPause(0),
        )
        prompt_route = attrs.evolve(route(RouteKind.STREAM), prompt_affinity=True)
        prompt = RelayRequest("r", "h", (), parts=(PromptPart("d", 9_000),))
        request = job(clock, route=prompt_route, work=None, request=prompt)
        request.deadline_at_ms = clock.now_ms() + remaining_ms
        chosen = await attempts.selection.next_target(request)
        return chosen, clock.now_ms(), owner.messages, request

    return run_virtual(main)


def test_request_waits_until_a_part_was_read_for_another_one():
    """Guards against a part that is read twice, and a wait that is not logged."""
    chosen, at_ms, messages, request = choose_at(lambda clock: BusyOwner(clock, 400))
    assert chosen == ROWS[0]
    assert 400 <= at_ms <= 500
    assert request.part_waited_ms == at_ms
    assert all(message.may_wait for _, message in messages)
    assert len(messages) <= 6


def test_wait_for_a_part_ends():
    """Guards against an engine that is always busy, and one that ends in a loop."""
    chosen, at_ms, messages, _ = choose_at(lambda clock: BusyOwner(clock, 10**6))
    assert chosen == ROWS[0]
    assert at_ms <= MAX_PART_WAIT_MS + 300
    assert not messages[-1][1].may_wait
    assert len(messages) <= 30


def test_wait_for_a_part_ends_at_the_deadline():
    chosen, at_ms, _, _ = choose_at(lambda clock: BusyOwner(clock, 10**6), 700)
    assert isinstance(chosen, Refusal)
    assert at_ms <= 900


def test_request_that_is_held_back_while_it_waits_is_refused():
    """Guards against a prompt that crashes engines and is sent as it waited."""
    chosen, *_ = choose_at(lambda clock: BusyOwner(clock, 10**6, held_after_ms=200))
    assert isinstance(chosen, Refusal)
