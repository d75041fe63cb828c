"""Tests of one target, of several sound ones, whose answers are of no use."""

from contextlib import aclosing

import pytest

from tests.fake_targets import FakeTargets
from tests.test_dispatch import (
    GENERATE,
    POOL,
    REFUSED,
    DispatcherHarness,
    Scripted,
)
from tests.test_http_target import ATTEMPT, HEAD, TOKEN, run_against
from tests.test_pipeline import Serving, expected
from wagtailrun.exceptions import RefusalReason, TargetFailed, Verdict
from wagtailrun.ports.link import Address
from wagtailrun.ports.target import StageAnswer
from wagtailrun.serving.pipeline import MAX_STAGE_ANSWER_BYTES
from wagtailrun.virtual_time import run_virtual

ODD = Address("127.0.0.1", 10)  # The first target of the first stage.
DEEP = b"[" * 100_000 + b"]" * 100_000
LARGE = b'"%s"' % (b"x" * MAX_STAGE_ANSWER_BYTES)
DIGITS = b"9" * 5_000


class OddTarget(FakeTargets):
    """Targets of which one answers each call at once, with the same body."""

    def __init__(self, clock, body):
        super().__init__(clock)
        self.body = body
        self.odd_answers = 0

    async def call(self, address, attempt):
        if address != ODD:
            return await super().call(address, attempt)
        self.odd_answers += 1
        return StageAnswer(200, self.body)


@pytest.mark.parametrize("body", [b"", b"no JSON", b"\xff", DEEP, LARGE])
def test_unusable_answer_of_a_stage_is_asked_for_elsewhere(body):
    """Guards against a target whose quick nonsense fails most of the requests.

    Each was refused with an internal error, and the target counted as the fastest.
    """

    async def main(clock):
        targets = OddTarget(clock, body)
        serving = Serving(clock, targets)
        serving.runner.dispatcher.budget.tokens_by_service["encoders"] = 20.0
        answers = [await serving.ask("a") for _ in range(5)]
        return answers, targets.odd_answers

    answers, odd_answers = run_virtual(main)
    assert answers == [(expected("a"), None)] * 5
    assert odd_answers > 0


def test_unusable_answers_of_all_targets_are_refused_with_a_verdict():
    """Guards against "internal error" for what targets answer."""

    class OddTargets(FakeTargets):
        async def call(self, address, attempt):
            return StageAnswer(200, b"no JSON")

    async def main(clock):
        return (await Serving(clock, OddTargets(clock)).ask("a"))[1]

    refusal = run_virtual(main)
    assert refusal.reason is RefusalReason.TARGET_FAILED
    assert refusal.verdict is Verdict.MAY_HAVE_RUN
    assert "not valid JSON" in refusal.detail


def test_attempt_that_ends_with_an_unexpected_error_is_retried():
    """Guards against a request that waits to its deadline for an attempt that died."""

    async def main(clock):
        client = Scripted([ValueError("unexpected"), REFUSED, REFUSED, REFUSED])
        harness = DispatcherHarness(clock, client)
        dispatcher = await harness.start(POOL)
        return await dispatcher.call(harness.work(GENERATE))

    refusal = run_virtual(main)
    assert refusal.reason is RefusalReason.TARGET_FAILED
    assert refusal.verdict is Verdict.MAY_HAVE_RUN


def test_connection_that_fails_after_a_whole_stream_is_no_crash(caplog):
    """Guards against a traceback in the log for each stream of such a target."""

    class ResettingTargets(FakeTargets):
        async def stream(self, address, attempt):
            async for tokens in super().stream(address, attempt):
                yield tokens
            raise TargetFailed("connection reset", verdict=Verdict.MAY_HAVE_RUN)

    async def main(clock):
        answer = await Serving(clock, ResettingTargets(clock)).ask("a")
        await clock.sleep_ms(100)
        return answer

    assert run_virtual(main) == (expected("a"), None)
    assert "Task Crash" not in caplog.text


@pytest.mark.network
@pytest.mark.parametrize(
    ("value", "count"),
    [(b"12", 12), (b"-1", 0), (b"x", 0), (b"9" * 13, 0), (DIGITS, 0)],
)
def test_odd_count_in_a_head_counts_as_none(value, count):
    """Guards against an attempt that dies by a number, and accounts of nonsense."""

    async def call(client, address):
        answer = await client.call(address, ATTEMPT)
        return answer.tokens_in, answer.engine_ms

    head = HEAD[:-2] + b"Wagtailrun-Tokens-In: " + value + b"\r\n\r\n"
    assert run_against([head, b"{}"], False, call) == [(count, 0)] * 2


async def read_stream(client, address):
    tokens = []
    try:
        async with aclosing(client.stream(address, ATTEMPT)) as stream:
            async for found in stream:
                tokens.extend(found)
    except TargetFailed as error:
        return error.verdict
    return tokens[-1].answer.tokens_in


@pytest.mark.network
@pytest.mark.parametrize(
    ("value", "count"),
    [
        (b"12", 12),
        (b"12.7", 12),
        (b"-5", 0),
        (b"1e999", 0),
        (b"9" * 13, 0),
        (b"null", 0),
        (b"[]", 0),
    ],
)
def test_odd_count_in_the_end_marker_counts_as_none(value, count):
    """Guards against a whole stream that is cut at its end by a number."""
    done = b'event: done\ndata: {"tokens": 1, "tokens_in": %s}\n\n' % value
    assert run_against([HEAD, TOKEN, done], False, read_stream) == [count] * 2


@pytest.mark.network
@pytest.mark.parametrize(
    "data",
    [
        b'{"offset": 1e999, "text": "a"}',
        b'{"offset": %s, "text": "a"}' % DIGITS,
        b"[" * 60_000,
        b"{}",
        b"x",
    ],
)
def test_event_that_cannot_be_read_fails_the_attempt(data):
    """Guards against an attempt that dies by an event, and waits to its deadline."""
    parts = [HEAD, b"data: " + data + b"\n\n"]
    verdicts = run_against(parts, False, read_stream)
    assert verdicts == [Verdict.MAY_HAVE_RUN] * 2
