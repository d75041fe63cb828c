"""Tests of moves from data centres that are away, and of the retry budget."""

import pytest

from tests.test_next_target import EndingPause
from tests.test_relay_admission import job
from tests.test_relay_choice import row
from tests.test_relay_experiments import CHATS, HEAD, during, fault, outcomes
from tests.test_relay_experiments import play as play_with
from tests.test_relay_front import FakeView, route
from wagtailrun.discovery.quarantine import Quarantine
from wagtailrun.exceptions import TargetFailed
from wagtailrun.relay import RelayRequest, TargetLoad
from wagtailrun.relay.placement.choice import TargetChooser
from wagtailrun.relay.requests.attempts import RelayAttempts
from wagtailrun.routes import RouteKind
from wagtailrun.targets.retries import RetryBudget
from wagtailrun.virtual_time import run_virtual

ROWS = [row(1), row(2), row(3, "b"), row(4, "b")]
SETTINGS = "settings = { retry_ratio = 0, retry_slack = 0 }\n"
# The side with most control members: on the other one, streams may not go on as soon as
# their entry has not heard of targets for a while.
SIDE = "entry-east"
ENGINES = """
[[targets]]
service = "engines"
data_centre = "west"
count = 3
model = { decode_ms = 20.0 }
"""


def moves(targets, tokens, away, running=0):
    """Return which failures of one request are followed by another attempt.

    Args:
        targets: Numbers of the targets that fail, one after the other.
        tokens: Tokens of the retry budget.
        away: Data centres that are away.
        running: Requests at each target, which runs four.
    """

    async def main(clock):
        view = FakeView(None, ROWS, quarantine=Quarantine(clock))
        view.away_data_centres = frozenset(away)
        budget = RetryBudget(0.0, tokens)
        chooser = TargetChooser(clock, "a", seed=1)
        for each in ROWS:
            chooser.health.record_load(each, TargetLoad(running, 0, 4))
        attempts = RelayAttempts(
            clock, view, None, None, chooser, None, budget, EndingPause(0)
        )
        stream = route(RouteKind.STREAM, max_attempts=9, resumable=True)
        request = job(
            clock, route=stream, work=None, request=RelayRequest("r", "h", ())
        )
        found = []
        for number in targets:
            target = ROWS[number - 1]
            request.tried_targets.append(target.name)
            request.target_data_centre = target.data_centre
            can_move = attempts.can_move(request)
            error = TargetFailed("nothing arrives", timed_out=True)
            refusal = await attempts.handle_failure(request, target, error)
            assert can_move is (refusal is None)
            found.append(can_move)
        return found

    return run_virtual(main)


@pytest.mark.parametrize(
    ("targets", "tokens", "away", "running", "moved"),
    [
        ([3], 0, "b", 0, [True]),
        ([3], 0, "", 0, [False]),
        ([1], 0, "b", 0, [False]),
        # A target that is full gets nothing without a token.
        ([3], 0, "b", 4, [False]),
        ([3], 1, "b", 4, [True]),
        # One such move; what fails next takes a token.
        ([3, 1], 0, "b", 0, [True, False]),
        ([3, 1, 2], 1, "b", 0, [True, True, False]),
    ],
)
def test_move_from_a_data_centre_that_is_away(targets, tokens, away, running, moved):
    """Guards against moves without a limit, and against ones to full targets."""
    assert moves(targets, tokens, away, running) == moved


def test_streams_leave_a_data_centre_that_is_cut_off(tmp_path):
    """Load: streams of entries whose retry budget is used up, and a cut.

    Guards against streams that wait for the end of their connections and break,
    although the engines of their own side have room.
    """
    entries = 'count = 2 }, west = { kind = "relay", count = 2 } }'
    head = HEAD.replace("count = 2 } }", entries)
    head = head.replace("[[targets]]", SETTINGS + "[[targets]]", 1)
    text = head + ENGINES + CHATS.replace("= 50", "= 150") + fault("cut", "west")
    records = play_with(tmp_path, text)
    begun = [r for r in during(records, 2_000, 4_900) if r.entry.startswith(SIDE)]
    assert len([r for r in begun if r.attempts > 1]) >= 4
    assert outcomes(begun) == {"served"}
