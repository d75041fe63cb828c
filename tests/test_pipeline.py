"""Tests of pipelines: complete answers, each for its own caller."""

from contextlib import aclosing

import curio
import pytest

from tests.fake_targets import FakeTargets
from wagtailrun.exceptions import Refusal, RefusalReason, Verdict
from wagtailrun.fleet.model import Pipeline, Stage, StageKind, Workspace
from wagtailrun.ports.link import Address
from wagtailrun.serving.dispatch import Dispatcher
from wagtailrun.serving.pipeline import PipelineInput, PipelineRequest, PipelineRunner
from wagtailrun.targets.routing import LeastLoadedRouter
from wagtailrun.targets.table import Membership, TargetRow
from wagtailrun.virtual_time import run_virtual

STAGES = (
    Stage(StageKind.ENCODE, "encoders"),
    Stage(StageKind.RERANK, "rerankers"),
    Stage(StageKind.GENERATE, "engines"),
)
PIPELINE = Pipeline("review", STAGES)
WORKSPACE = Workspace("mill")


class Serving:
    """A pipeline runner with fake targets.

    Args:
        clock: Virtual clock.
        targets: Fake targets.
        services: Services that have targets.
    """

    def __init__(self, clock, targets, services=("encoders", "rerankers", "engines")):
        self.clock = clock
        membership = Membership()
        for port, service in enumerate(services, 1):
            for number in range(3):
                address = Address("127.0.0.1", port * 10 + number)
                row = TargetRow(f"{service}-{number}", address, service, "east", 100)
                membership.put(row, clock.now_ms())
        dispatcher = Dispatcher(clock, membership, targets, LeastLoadedRouter(), seed=1)
        self.runner = PipelineRunner(clock, dispatcher)

    async def ask(self, prompt, deadline_ms=2_000, pipeline=PIPELINE):
        """Return the text that a caller receives, and the refusal if there is one."""
        deadline_at_ms = self.clock.now_ms() + deadline_ms
        body = PipelineInput.from_value({"prompt": prompt})
        request = PipelineRequest(prompt, WORKSPACE, pipeline, body, deadline_at_ms)
        result = await self.runner.run(request)
        if isinstance(result, Refusal):
            return "", result
        text = ""
        async with aclosing(result):
            async for item in result:
                if isinstance(item, Refusal):
                    return text, item
                text += "".join(token.text for token in item)
        return text, None


def expected(prompt):
    return "".join(f"{prompt}:{offset} " for offset in range(10))


@pytest.mark.parametrize("seed", range(3))
def test_interleaved_requests_get_their_own_answers(seed):
    """Guards against answers lost, duplicated or mixed up among 1,000 callers."""

    async def main(clock):
        serving = Serving(clock, FakeTargets(clock, seed, failure=0.02, refused=0.02))
        answers = {}

        async def caller(prompt):
            answers[prompt] = await serving.ask(prompt)

        async with curio.TaskGroup() as group:
            for number in range(1_000):
                await group.spawn(caller, f"caller-{number}")
        return answers

    answers = run_virtual(main)
    assert len(answers) == 1_000
    whole = [prompt for prompt, (text, refusal) in answers.items() if refusal is None]
    assert len(whole) > 900
    for prompt, (text, refusal) in answers.items():
        assert expected(prompt).startswith(text)
        assert (text == expected(prompt)) or refusal is not None


def test_broken_stream_resumes_without_a_gap_or_a_repeat():
    """Guards against duplicated or missing tokens when a stream moves."""

    async def main(clock):
        targets = FakeTargets(clock, cut_after=4)
        result = await Serving(clock, targets).ask("mill")
        offsets = [attempt.resume_offset for attempt in targets.attempts[2:]]
        return result, offsets, len(targets.cancelled)

    (text, refusal), offsets, cancelled = run_virtual(main)
    assert refusal is None
    assert text == expected("mill")
    assert offsets == [0, 4, 8]
    assert cancelled == 2


def test_missing_service_is_refused_with_a_correct_verdict():
    """Guards against "not run" after a first stage has run."""

    async def main(clock):
        first = Serving(clock, FakeTargets(clock), services=("rerankers",))
        second = Serving(clock, FakeTargets(clock), services=("encoders",))
        return (await first.ask("a"))[1], (await second.ask("a"))[1]

    nothing_ran, encoded = run_virtual(main)
    assert nothing_ran.reason is RefusalReason.NO_TARGET
    assert nothing_ran.verdict is Verdict.NOT_RUN
    assert nothing_ran.retry_after_ms > 0
    assert encoded.verdict is Verdict.MAY_HAVE_RUN


def test_deadline_ends_the_request_at_once():
    """Guards against a request that is held beyond its deadline."""

    async def main(clock):
        targets = FakeTargets(clock, seed=1)
        _, refusal = await Serving(clock, targets).ask("a", deadline_ms=30)
        return refusal, clock.now_ms()

    refusal, ended_ms = run_virtual(main)
    assert refusal.reason is RefusalReason.DEADLINE
    assert ended_ms <= 30
