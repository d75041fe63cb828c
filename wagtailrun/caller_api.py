"""HTTP interface for callers: pipelines, calls, health."""

import json
import re
import secrets
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing
from typing import Any

import xxhash

from wagtailrun.adapters.http_server import (
    Request,
    Response,
    json_response,
    problem,
    refusal_response,
)
from wagtailrun.clock import Clock
from wagtailrun.deadlines import before_deadline
from wagtailrun.dispatch import Dispatcher, Work
from wagtailrun.exceptions import Refusal, RefusalReason, Verdict
from wagtailrun.fleet import Call, FleetText, Workspace
from wagtailrun.orders import OrderRunner
from wagtailrun.pipeline import PipelineRequest, PipelineRunner
from wagtailrun.ports.target import StageAnswer, Token

__all__ = ["CallerApi"]

KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,200}")
REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,64}")
NO_STORE = ("Cache-Control", "no-store")
# A text arrives within this time at an entry that has just started.
CONFIGURATION_RETRY_MS = 1_000


class CallerApi:
    """Answers callers.

    Args:
        clock: Clock.
        fleet: Returns the text in force, or None.
        runner: Runs pipelines.
        dispatcher: Runs calls of plain services.
        orders: Runs orders that carry a key.
        is_ready: Whether the load balancer should send requests here.
    """

    def __init__(
        self,
        clock: Clock,
        fleet: Callable[[], FleetText | None],
        runner: PipelineRunner,
        dispatcher: Dispatcher,
        orders: OrderRunner,
        is_ready: Callable[[], bool],
    ):
        self.clock = clock
        self.fleet = fleet
        self.runner = runner
        self.dispatcher = dispatcher
        self.orders = orders
        self.is_ready = is_ready

    async def handle(self, request: Request) -> Response:
        """Answer one request of a caller or of the platform's load balancer."""
        parts = request.path.strip("/").split("/")
        if request.path == "/healthz":
            return json_response(200, {"status": "alive"})
        if request.path == "/readyz":
            return self._readiness()
        if len(parts) == 3 and parts[:2] == ["v1", "pipelines"]:
            return await self._answer(request, self._pipeline, parts[2])
        if len(parts) == 4 and parts[:2] == ["v1", "services"]:
            return await self._answer(request, self._call, parts[2], parts[3])
        refusal = _malformed(f"nothing is served at {request.path[:200]}")
        return refusal_response(refusal, 404)

    def _readiness(self) -> Response:
        ready = self.is_ready()
        return json_response(200 if ready else 503, {"ready": ready})

    async def _answer(self, request: Request, answer: Any, *names: str) -> Response:
        if request.method != "POST":
            refusal = _malformed(f"use POST at {request.path[:200]}")
            return refusal_response(refusal, 405)
        fleet = self.fleet()
        if fleet is None:
            refusal = Refusal(
                RefusalReason.NO_CONFIGURATION,
                Verdict.NOT_RUN,
                "no fleet text has arrived yet",
                CONFIGURATION_RETRY_MS,
            )
            return refusal_response(refusal)
        result = await answer(request, fleet, *names)
        if isinstance(result, Refusal):
            return refusal_response(result)
        return result

    async def _pipeline(
        self, request: Request, fleet: FleetText, name: str
    ) -> Response | Refusal:
        pipeline = fleet.pipelines_by_name.get(name)
        if pipeline is None:
            return _unknown(RefusalReason.UNKNOWN_PIPELINE, "pipeline", name)
        common = self._common(request, fleet, pipeline.deadline_ms)
        if isinstance(common, Refusal):
            return common
        workspace, body, deadline_at_ms = common
        request_id = _request_id(request)
        work = PipelineRequest(request_id, workspace, pipeline, body, deadline_at_ms)
        result = await self.runner.run(work)
        if isinstance(result, Refusal):
            return result
        if isinstance(result, dict):
            return _complete(200, json.dumps(result).encode(), request_id)
        headers = (
            ("Content-Type", "text/event-stream"),
            ("Wagtailrun-Request-Id", request_id),
            NO_STORE,
        )
        return Response(200, _relay(result), headers)

    async def _call(
        self, request: Request, fleet: FleetText, service_name: str, call_name: str
    ) -> Response | Refusal:
        service = fleet.services_by_name.get(service_name)
        if service is None:
            return _unknown(RefusalReason.UNKNOWN_SERVICE, "service", service_name)
        call = service.calls_by_name.get(call_name)
        if call is None:
            return _unknown(RefusalReason.UNKNOWN_CALL, "call", call_name)
        common = self._common(request, fleet, call.deadline_ms)
        if isinstance(common, Refusal):
            return common
        workspace, body, deadline_at_ms = common
        request_id = _request_id(request)
        work = Work(
            service=service.name,
            path=f"/v1/calls/{call.name}",
            body=json.dumps(body, sort_keys=True).encode(),
            request_id=request_id,
            workspace=workspace.name,
            deadline_at_ms=deadline_at_ms,
            idempotent=call.idempotent,
            may_wait=call.may_wait,
            priority=workspace.priority,
            stage=call.name,
        )
        result = await self._run_call(request, call, work)
        if isinstance(result, Refusal):
            return result
        return _complete(result.status, result.body, request_id)

    async def _run_call(
        self, request: Request, call: Call, work: Work
    ) -> StageAnswer | Refusal:
        key = request.headers.get("idempotency-key")
        if call.idempotent or key is None:
            call_once = self.dispatcher.call(work)
            return await before_deadline(self.clock, work.deadline_at_ms, call_once)
        if not KEY_PATTERN.fullmatch(key):
            return _malformed("Idempotency-Key must be 1 to 200 printable characters")
        return await self.orders.run(work, key)

    def _common(
        self, request: Request, fleet: FleetText, longest_ms: int
    ) -> tuple[Workspace, dict[str, Any], int] | Refusal:
        """Return workspace, body and deadline of a request."""
        name = request.headers.get("wagtailrun-workspace", "")
        workspace = fleet.workspaces_by_name.get(name)
        if workspace is None:
            return _unknown(RefusalReason.UNKNOWN_WORKSPACE, "workspace", name)
        try:
            body = json.loads(request.body)
        except (ValueError, RecursionError):
            return _malformed("the body is not valid JSON")
        if not isinstance(body, dict):
            return _malformed("the body must be a JSON object")
        text = request.headers.get("wagtailrun-deadline-ms", str(longest_ms))
        if not text.isascii() or not text.isdecimal() or len(text) > 9 or int(text) < 1:
            detail = "Wagtailrun-Deadline-Ms must be a whole number of milliseconds"
            return _malformed(detail)
        deadline_ms = min(int(text), longest_ms)
        return workspace, body, self.clock.now_ms() + deadline_ms


async def _relay(
    stream: AsyncIterator[tuple[Token, ...] | Refusal],
) -> AsyncIterator[bytes]:
    """Yield the caller's server-sent events, one piece for tokens that came together.

    The answer ends with ``done``, which carries count and digest, or with ``error``.
    """
    digest = xxhash.xxh3_64()
    async with aclosing(stream):
        async for item in stream:
            if isinstance(item, Refusal):
                yield _event("error", problem(item, 200))
                return
            events = []
            for token in item:
                digest.update(token.text.encode())
                events.append(_token_event(token, digest))
            yield b"".join(events)


def _token_event(token: Token, digest: Any) -> bytes:
    if not token.last:
        return _event("token", {"offset": token.offset, "text": token.text})
    done = {
        "verdict": Verdict.COMPLETE,
        "tokens": token.offset,
        "xxh3_64": digest.hexdigest(),
    }
    return _event("done", done)


def _event(name: str, value: dict[str, Any]) -> bytes:
    return f"event: {name}\ndata: {json.dumps(value)}\n\n".encode()


def _complete(status: int, body: bytes, request_id: str) -> Response:
    headers = (
        ("Content-Type", "application/json"),
        ("Wagtailrun-Verdict", Verdict.COMPLETE),
        ("Wagtailrun-Request-Id", request_id),
        NO_STORE,
    )
    return Response(status, body, headers)


def _request_id(request: Request) -> str:
    given = request.headers.get("wagtailrun-request-id", "")
    if REQUEST_ID_PATTERN.fullmatch(given):
        return given
    return secrets.token_hex(8)


def _malformed(detail: str) -> Refusal:
    return Refusal(RefusalReason.MALFORMED, Verdict.NOT_RUN, detail)


def _unknown(reason: RefusalReason, noun: str, name: str) -> Refusal:
    detail = f"{noun} {name[:64]!r} is not in the fleet text"
    return Refusal(reason, Verdict.NOT_RUN, detail)
