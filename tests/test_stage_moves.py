"""Tests of what moves of streams after stages take of the retry budget."""

import types

import pytest

from tests.test_next_target import ROWS, EndingPause
from tests.test_relay_admission import job
from tests.test_relay_experiments import fault, outcomes
from tests.test_relay_experiments import play as play_with
from tests.test_relay_front import FakeView, route
from tests.test_relay_stage_experiments import FLEET, TARGETS
from wagtailrun.discovery.quarantine import Quarantine
from wagtailrun.exceptions import TargetFailed
from wagtailrun.relay import AnswerHead, RelayRequest
from wagtailrun.relay.placement.choice import TargetChooser
from wagtailrun.relay.requests.attempts import Attempt, RelayAttempts
from wagtailrun.routes import RouteKind
from wagtailrun.targets.retries import RetryBudget
from wagtailrun.virtual_time import run_virtual

# An entry has one token for each service and earns no further one.
ONE_TOKEN = """
name = "moves"
length_s = 20
fleet.text = '''{fleet}'''
entries = {{ east = {{ kind = "relay", count = 1 }} }}
settings = {{ retry_ratio = 0, retry_slack = 0 }}
"""
# About two streams of 4 s at a time, so that each engine has one of them at most.
LOAD = """
[[load]]
workspace = "clerks"
pipeline = "query"
arrivals = "poisson"
rate_per_s = 0.5
prompt_tokens = { distribution = "fixed", value = 150 }
answer_tokens = { distribution = "fixed", value = 200 }
"""


def play(directory, text):
    return play_with(directory, ONE_TOKEN.format(fleet=FLEET) + TARGETS + LOAD + text)


def test_move_after_stages_takes_one_token(tmp_path):
    """Guards against a stream that is refused for want of a second token.

    Its results were released 120 ms after it was sent, and the next engine refused it.
    """
    for number in range(3):
        on = f"engines-east-{number}"
        records = play(tmp_path, fault("kill-target", on))
        assert outcomes(records.requests) == {"served"}


def test_stages_run_again_late_in_a_stream(tmp_path):
    """Guards against streams that break if they move after the limit of first events.

    Streams of 6 s whose engine ends more than 4.8 s after they arrived.
    """
    load = LOAD.replace("200", "300")
    late = fault("kill-target", "engines-east-2").replace("at_s = 5", "at_s = 9")
    records = play_with(tmp_path, ONE_TOKEN.format(fleet=FLEET) + TARGETS + load + late)
    assert outcomes(records.requests) == {"served"}
    (moved,) = [r for r in records.requests if r.attempts > 4]
    assert moved.intended_at_ms < 9_000 - 4_800


def test_refusal_after_an_attempt_does_not_say_that_it_did_not_run(tmp_path):
    """Guards against callers that send a request again which may have run.

    Its engine ends during the prefill, and the stages cannot run again.
    """
    load = LOAD.replace("150", "2000")
    targets = TARGETS.replace("20.0", "20.0, prefill_us = 500.0")
    on = "engines-east-2", "documents-east-0", "documents-east-1"
    text = ONE_TOKEN.format(fleet=FLEET) + targets + load
    records = play_with(tmp_path, text + fault("kill-target", '", "'.join(on)))
    (request,) = [r for r in records.requests if r.outcome == "refused"]
    assert request.first_ms is None and request.intended_at_ms < 5_000
    assert request.verdict == "may-have-run"


INPUTS_GONE = AnswerHead(
    409, "r", True, not_run=True, inputs_gone=True, misdirected=False, headers=()
)


def refusals(steps, tokens):
    """Return whether each failure of one request was refused for want of a token."""

    async def main(clock):
        view = FakeView(None, ROWS, quarantine=Quarantine(clock))
        budget = RetryBudget(0.0, tokens)
        chooser = TargetChooser(clock, "a", seed=1)
        http = types.SimpleNamespace()
        attempts = RelayAttempts(
            clock, view, None, http, chooser, None, budget, EndingPause(0)
        )
        stream = route(RouteKind.STREAM, max_attempts=4, resumable=True)
        request = job(
            clock, route=stream, work=None, request=RelayRequest("r", "h", ())
        )
        found = []
        for step in steps:
            if step == "gone":
                attempt = Attempt(ROWS[1], None, INPUTS_GONE, clock.now_ms())
                refusal = await attempts.handle_error_answer(request, attempt)
            else:
                error = TargetFailed("the connection was closed")
                refusal = await attempts.handle_failure(request, ROWS[0], error)
            found.append(refusal is not None)
        return found

    return run_virtual(main)


@pytest.mark.parametrize(
    ("steps", "tokens", "refused"),
    [
        # The results went with the target that failed.
        (["failed", "gone"], 1, [False, False]),
        (["failed", "gone", "gone"], 1, [False, False, True]),
        (["failed", "gone", "gone"], 2, [False, False, False]),
        # Nothing was paid before.
        (["gone"], 0, [True]),
        (["gone", "gone"], 1, [False, True]),
        (["gone", "failed", "gone"], 2, [False, False, False]),
    ],
)
def test_token_pays_for_one_refusal_without_results(steps, tokens, refused):
    """Guards against moves that take two tokens, and stages that run without end."""
    assert refusals(steps, tokens) == refused
