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
    problem_details,
    refusal_response,
)
from wagtailrun.clock import Clock
from wagtailrun.cost_cells import RequestOutcome
from wagtailrun.deadlines import before_deadline
from wagtailrun.dispatch import Dispatcher
from wagtailrun.exceptions import Refusal, RefusalReason, Verdict
from wagtailrun.fleet import Call, FleetConfiguration, Workspace
from wagtailrun.metrics import CONTENT_TYPE
from wagtailrun.orders import OrderRunner
from wagtailrun.pipeline import PipelineRequest, PipelineRunner
from wagtailrun.ports.target import StageAnswer, Token
from wagtailrun.recorder import Recorder, RequestScope
from wagtailrun.work import Work

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
        recorder: Books requests and refusals.
    """

    def __init__(
        self,
        clock: Clock,
        fleet: Callable[[], FleetConfiguration | None],
        runner: PipelineRunner,
        dispatcher: Dispatcher,
        orders: OrderRunner,
        is_ready: Callable[[], bool],
        recorder: Recorder,
    ):
        self.clock = clock
        self.fleet = fleet
        self.runner = runner
        self.dispatcher = dispatcher
        self.orders = orders
        self.is_ready = is_ready
        self.recorder = recorder

    async def handle(self, request: Request) -> Response:
        """Answer one request of a caller or of the platform's load balancer."""
        parts = request.path.strip("/").split("/")
        if request.path == "/healthz":
            return json_response(200, {"status": "alive"})
        if request.path == "/readyz":
            return self._readiness()
        if request.path == "/metrics":
            content = (("Content-Type", CONTENT_TYPE),)
            return Response(200, self.recorder.metrics.render(), content)
        if request.method == "GET" and parts[:2] == ["v1", "orders"]:
            return await self._find_order(request, parts[2:])
        return await self._serve(request, parts)

    async def _serve(self, request: Request, parts: list[str]) -> Response:
        """Answer a pipeline request or a call; a refusal is booked first."""
        known = parts[:2] == ["v1", "pipelines"] and len(parts) == 3
        called = parts[:2] == ["v1", "services"] and len(parts) == 4
        scope = self.recorder.scope(
            _request_id(request),
            request.headers.get("wagtailrun-workspace", ""),
            service=parts[2] if called else "",
            pipeline=parts[2] if known else "",
            call=parts[3] if called else "",
            key=request.headers.get("idempotency-key", ""),
            prompt_chars=len(request.body),
        )
        status = None
        if not known and not called:
            result = _malformed(f"nothing is served at {request.path[:200]}")
            status = 404
        elif request.method != "POST":
            result = _malformed(f"use POST at {request.path[:200]}")
            status = 405
        else:
            result = await self._run(request, scope, parts[2:])
        if isinstance(result, Refusal):
            await self.recorder.record_refusal(scope, result)
            return refusal_response(result, status)
        return result

    async def _run(
        self, request: Request, scope: RequestScope, names: list[str]
    ) -> Response | Refusal:
        fleet = self.fleet()
        if fleet is None:
            return Refusal(
                RefusalReason.NO_CONFIGURATION,
                Verdict.NOT_RUN,
                "no fleet text has arrived yet",
                CONFIGURATION_RETRY_MS,
            )
        if len(names) == 1:
            return await self._pipeline(request, scope, fleet, names[0])
        return await self._call(request, scope, fleet, *names)

    async def _find_order(self, request: Request, names: list[str]) -> Response:
        """Answer what is known of the caller's own order."""
        workspace = request.headers.get("wagtailrun-workspace", "")
        if not workspace or len(names) != 1 or not KEY_PATTERN.fullmatch(names[0]):
            detail = "send Wagtailrun-Workspace and ask for /v1/orders/{key}"
            return refusal_response(_malformed(detail))
        found = await self.orders.find(workspace, names[0])
        if isinstance(found, Refusal):
            return refusal_response(found)
        value = {
            "key": names[0],
            "state": found.state,
            "attempt": found.attempt,
            "verdict": found.verdict or None,
            "status": found.status or None,
            "answer": found.body.decode("utf-8", "replace") or None,
        }
        return json_response(200, value, (NO_STORE,))

    def _readiness(self) -> Response:
        ready = self.is_ready()
        return json_response(200 if ready else 503, {"ready": ready})

    async def _pipeline(
        self,
        request: Request,
        scope: RequestScope,
        fleet: FleetConfiguration,
        name: str,
    ) -> Response | Refusal:
        pipeline = fleet.pipelines_by_name.get(name)
        if pipeline is None:
            return _unknown(RefusalReason.UNKNOWN_PIPELINE, "pipeline", name)
        common = self._common(request, fleet, pipeline.deadline_ms)
        if isinstance(common, Refusal):
            return common
        workspace, body, deadline_at_ms = common
        work = PipelineRequest(
            scope.request_id, workspace, pipeline, body, deadline_at_ms
        )
        result = await self.runner.run(work)
        if isinstance(result, Refusal):
            return result
        if isinstance(result, dict):
            self.recorder.record_answer(scope, RequestOutcome.ATTAINED)
            return _complete(200, json.dumps(result).encode(), scope.request_id)
        headers = (
            ("Content-Type", "text/event-stream"),
            ("Wagtailrun-Request-Id", scope.request_id),
            NO_STORE,
        )
        return Response(200, relay(result, scope, self.recorder), headers)

    async def _call(
        self,
        request: Request,
        scope: RequestScope,
        fleet: FleetConfiguration,
        service_name: str,
        call_name: str,
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
        data = json.dumps(body, sort_keys=True).encode()
        work = Work.for_call(
            service.name, call, workspace, data, scope.request_id, deadline_at_ms
        )
        result = await self._run_call(request, call, work)
        if isinstance(result, Refusal):
            return result
        self.recorder.record_answer(scope, RequestOutcome.ATTAINED)
        return _complete(result.status, result.body, scope.request_id)

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
        self, request: Request, fleet: FleetConfiguration, longest_ms: int
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


async def relay(
    stream: AsyncIterator[tuple[Token, ...] | Refusal],
    scope: RequestScope,
    recorder: Recorder,
) -> AsyncIterator[bytes]:
    """Yield the caller's server-sent events, one piece for tokens that came together.

    The answer ends with ``done``, which carries count and digest, or with ``error``.
    """
    digest = xxhash.xxh3_64()
    ended = False
    try:
        async with aclosing(stream):
            async for item in stream:
                if isinstance(item, Refusal):
                    ended = True
                    await recorder.record_refusal(scope, item)
                    yield _event("error", problem_details(item, 200))
                    return
                events = []
                for token in item:
                    digest.update(token.text.encode("utf-8", "surrogatepass"))
                    events.append(_token_event(token, digest))
                if item[-1].last:
                    ended = True
                    tokens = item[-1].offset
                    recorder.record_answer(scope, RequestOutcome.ATTAINED, tokens)
                yield b"".join(events)
    finally:
        if not ended:
            recorder.record_answer(scope, RequestOutcome.INCOMPLETE)


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
