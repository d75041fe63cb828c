"""Runs requests through the stages of their pipelines."""

import json
from collections.abc import AsyncGenerator
from contextlib import aclosing
from typing import Any, Self

import attrs

from wagtailrun.clock import Clock
from wagtailrun.exceptions import Refusal, RefusalReason, TargetFailed, Verdict
from wagtailrun.fleet.model import Pipeline, StageKind, Workspace
from wagtailrun.ports.target import StageAnswer, Token
from wagtailrun.serving.deadlines import before_deadline, stream_before_deadline
from wagtailrun.serving.dispatch import Dispatcher
from wagtailrun.serving.json_texts import JsonTexts
from wagtailrun.targets.affinity import prefix_hashes
from wagtailrun.targets.work import Work

__all__ = ["PipelineInput", "PipelineRequest", "PipelineRunner"]

# Largest answer of a stage that becomes an input of later ones, as large as the body of
# a caller. Reading 16 MiB of JSON stopped all other requests for 2 s.
MAX_STAGE_ANSWER_BYTES = 1024 * 1024


@attrs.frozen
class PipelineInput:
    """What a caller sent for a pipeline, as text and without its values.

    Attributes:
        text: JSON object.
        size: Length of the prompt, in characters.
        prefixes: Hashes of the prompt's prefixes.
        max_tokens: Number of tokens that the caller allows; 0 if it names none.
    """

    text: bytes
    size: int
    prefixes: tuple[int, ...]
    max_tokens: int

    @classmethod
    def from_value(cls, value: dict[str, Any]) -> Self:
        """Return the input of a caller who sent ``value``."""
        prompt = str(value.get("prompt", ""))
        return cls(
            _encode(value),
            len(prompt),
            prefix_hashes(prompt),
            _max_tokens(value),
        )


@attrs.frozen
class PipelineRequest:
    """A caller's request for a pipeline.

    Attributes:
        request_id: Identifier of the request in all processes.
        workspace: Workspace of the caller.
        pipeline: Pipeline to run.
        body: What the caller sent.
        deadline_at_ms: When the caller's deadline ends, on the clock.
    """

    request_id: str
    workspace: Workspace
    pipeline: Pipeline
    body: PipelineInput
    deadline_at_ms: int


class PipelineRunner:
    """Runs requests through their stages under one deadline.

    Args:
        clock: Clock.
        dispatcher: Runs single stages.
    """

    def __init__(self, clock: Clock, dispatcher: Dispatcher):
        self.clock = clock
        self.dispatcher = dispatcher
        self.texts = JsonTexts(clock)

    async def run(
        self, request: PipelineRequest
    ) -> bytes | Refusal | AsyncGenerator[tuple[Token, ...] | Refusal, None]:
        """Run all stages.

        Returns:
            A JSON object with the answers of the stages by kind; or, if the last stage
            generates, a stream of tokens whose last item ends with the end marker or is
            a refusal.
        """
        document = {"input": request.body.text}
        stages = request.pipeline.stages
        for position, stage in enumerate(stages):
            work = _stage_work(request, position, document)
            if stage.kind is StageKind.GENERATE:
                return await self._start_stream(work, started=position > 0)
            call = self.dispatcher.call(work, self._read_stage_answer)
            answer = await before_deadline(self.clock, work.deadline_at_ms, call)
            if isinstance(answer, Refusal):
                return _with_request_verdict(answer, started=position > 0)
            document[stage.kind] = answer
        return _render(document)

    async def _read_stage_answer(self, answer: StageAnswer) -> bytes:
        """Return the JSON text of a stage's answer.

        Raises:
            TargetFailed: If it is too large or no JSON.
        """
        detail = "the answer of the stage is not valid JSON"
        if len(answer.body) > MAX_STAGE_ANSWER_BYTES:
            detail = f"the answer of the stage exceeds {MAX_STAGE_ANSWER_BYTES} bytes"
            raise TargetFailed(detail)
        try:
            return await self.texts.read(answer.body, _encode)
        except (ValueError, RecursionError) as error:
            raise TargetFailed(detail) from error

    async def _start_stream(
        self, work: Work, started: bool
    ) -> Refusal | AsyncGenerator[tuple[Token, ...] | Refusal, None]:
        """Return the stream once its first item has arrived.

        A stream that fails before can thus be refused with its own HTTP status.
        """
        stream = stream_before_deadline(
            self.clock, work.deadline_at_ms, self.dispatcher.stream(work)
        )
        first = await anext(stream)
        if isinstance(first, Refusal):
            await stream.aclose()
            return _with_request_verdict(first, started)
        return _prepend(first, stream)


async def _prepend(
    first: tuple[Token, ...], stream: AsyncGenerator[tuple[Token, ...] | Refusal, None]
) -> AsyncGenerator[tuple[Token, ...] | Refusal, None]:
    async with aclosing(stream):
        yield first
        async for item in stream:
            yield item


def _encode(value: Any) -> bytes:
    return json.dumps(value).encode()


def _render(texts_by_name: dict[str, bytes]) -> bytes:
    """Return the JSON object with these texts as members."""
    members = (b'"%s": %s' % (n.encode(), text) for n, text in texts_by_name.items())
    return b"{%s}" % b", ".join(members)


def _stage_work(
    request: PipelineRequest, position: int, document: dict[str, bytes]
) -> Work:
    stage = request.pipeline.stages[position]
    later_stages = request.pipeline.stages[position + 1 :]
    return Work(
        service=stage.service,
        path=f"/v1/stages/{stage.kind}",
        body=_render(document),
        request_id=request.request_id,
        workspace=request.workspace.name,
        deadline_at_ms=request.deadline_at_ms,
        may_wait=request.pipeline.may_wait,
        priority=request.workspace.priority,
        pipeline=request.pipeline.name,
        stage=stage.kind,
        share=request.workspace.share,
        size=request.body.size,
        max_tokens=request.body.max_tokens,
        later_stages=tuple((other.service, other.kind.value) for other in later_stages),
        prefixes=request.body.prefixes if stage.kind is StageKind.GENERATE else (),
    )


def _max_tokens(body: dict[str, Any]) -> int:
    value = body.get("max_tokens")
    return value if type(value) is int and value > 0 else 0


def _with_request_verdict(refusal: Refusal, started: bool) -> Refusal:
    """Return ``refusal`` with the verdict of the whole request."""
    if not started or refusal.reason is RefusalReason.MALFORMED:
        return refusal
    return attrs.evolve(refusal, verdict=Verdict.MAY_HAVE_RUN)
