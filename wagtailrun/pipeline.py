"""Runs requests through the stages of their pipelines."""

import json
from collections.abc import AsyncIterator
from contextlib import aclosing
from typing import Any

import attrs

from wagtailrun.affinity import prefix_hashes
from wagtailrun.clock import Clock
from wagtailrun.deadlines import before_deadline, stream_before_deadline
from wagtailrun.dispatch import Dispatcher
from wagtailrun.exceptions import Refusal, RefusalReason, Verdict
from wagtailrun.fleet import Pipeline, StageKind, Workspace
from wagtailrun.ports.target import Token
from wagtailrun.work import Work

__all__ = ["PipelineRequest", "PipelineRunner"]


@attrs.frozen
class PipelineRequest:
    """A caller's request for a pipeline.

    Attributes:
        request_id: Identifier of the request in all processes.
        workspace: Workspace of the caller.
        pipeline: Pipeline to run.
        body: JSON object sent by the caller.
        deadline_at_ms: When the caller's deadline ends, on the clock.
    """

    request_id: str
    workspace: Workspace
    pipeline: Pipeline
    body: dict[str, Any]
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

    async def run(
        self, request: PipelineRequest
    ) -> dict[str, Any] | Refusal | AsyncIterator[tuple[Token, ...] | Refusal]:
        """Run all stages.

        Returns:
            The answers of the stages by kind; or, if the last stage generates, a
            stream of tokens whose last item ends with the end marker or is a refusal.
        """
        document = {"input": request.body}
        stages = request.pipeline.stages
        for position, stage in enumerate(stages):
            work = _stage_work(request, position, document)
            if stage.kind is StageKind.GENERATE:
                return await self._start_stream(work, started=position > 0)
            call = self.dispatcher.call(work)
            answer = await before_deadline(self.clock, work.deadline_at_ms, call)
            if isinstance(answer, Refusal):
                return _with_request_verdict(answer, started=position > 0)
            document[stage.kind] = json.loads(answer.body)
        return document

    async def _start_stream(
        self, work: Work, started: bool
    ) -> Refusal | AsyncIterator[tuple[Token, ...] | Refusal]:
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
    first: tuple[Token, ...], stream: AsyncIterator[tuple[Token, ...] | Refusal]
) -> AsyncIterator[tuple[Token, ...] | Refusal]:
    async with aclosing(stream):
        yield first
        async for item in stream:
            yield item


def _stage_work(request: PipelineRequest, position: int, document: dict) -> Work:
    stage = request.pipeline.stages[position]
    later_stages = request.pipeline.stages[position + 1 :]
    prefixes = ()
    if stage.kind is StageKind.GENERATE:
        prefixes = prefix_hashes(str(request.body.get("prompt", "")))
    return Work(
        service=stage.service,
        path=f"/v1/stages/{stage.kind}",
        body=json.dumps(document).encode(),
        request_id=request.request_id,
        workspace=request.workspace.name,
        deadline_at_ms=request.deadline_at_ms,
        may_wait=request.pipeline.may_wait,
        priority=request.workspace.priority,
        pipeline=request.pipeline.name,
        stage=stage.kind,
        share=request.workspace.share,
        size=len(str(request.body.get("prompt", ""))),
        max_tokens=_max_tokens(request.body),
        later_stages=tuple((other.service, other.kind.value) for other in later_stages),
        prefixes=prefixes,
    )


def _max_tokens(body: dict[str, Any]) -> int:
    value = body.get("max_tokens")
    return value if type(value) is int and value > 0 else 0


def _with_request_verdict(refusal: Refusal, started: bool) -> Refusal:
    """Return ``refusal`` with the verdict of the whole request."""
    if not started or refusal.reason is RefusalReason.MALFORMED:
        return refusal
    return attrs.evolve(refusal, verdict=Verdict.MAY_HAVE_RUN)
