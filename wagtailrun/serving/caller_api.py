"""HTTP API for callers: pipelines, service calls, orders and health checks."""

import json
import re
import secrets
from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing
from typing import Any, TypeVar

import xxhash

from wagtailrun.accounts.cells import RequestOutcome
from wagtailrun.adapters.http_messages import problem_details
from wagtailrun.adapters.http_server import (
    Request,
    Response,
    json_response,
    refusal_response,
)
from wagtailrun.clock import Clock
from wagtailrun.exceptions import Refusal, RefusalReason, Verdict
from wagtailrun.fleet.model import Call, FleetConfiguration, Workspace
from wagtailrun.observation.metrics import CONTENT_TYPE
from wagtailrun.observation.recorder import Recorder, RequestScope
from wagtailrun.ports.target import StageAnswer, Token
from wagtailrun.serving.deadlines import before_deadline
from wagtailrun.serving.dispatch import Dispatcher
from wagtailrun.serving.orders import OrderRunner
from wagtailrun.serving.pipeline import PipelineInput, PipelineRequest, PipelineRunner
from wagtailrun.stopping.running_requests import STOPPING_RETRY_MS, RunningRequests
from wagtailrun.targets.work import Work

__all__ = ["CHECK_PATHS", "CallerApi"]

# Checks of the platform, which are answered also without room for requests.
CHECK_PATHS = frozenset({"/healthz", "/readyz"})

KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,200}")
REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,64}")
NO_STORE = ("Cache-Control", "no-store")
# An entry that has just started receives the fleet configuration within this time.
CONFIGURATION_RETRY_MS = 1_000

T = TypeVar("T")


class CallerApi:
    """Serves the HTTP requests of callers.

    Args:
        clock: Clock.
        fleet: Returns the active fleet configuration, None before one was received.
        runner: Runs pipelines.
        dispatcher: Runs calls of plain services.
        orders: Runs orders that carry an idempotency key.
        unready_reason: Returns why the load balancer should send no requests to this
            entry.
        recorder: Records requests and refusals in the accounts and metrics.
    """

    def __init__(
        self,
        clock: Clock,
        fleet: Callable[[], FleetConfiguration | None],
        runner: PipelineRunner,
        dispatcher: Dispatcher,
        orders: OrderRunner,
        unready_reason: Callable[[], str],
        recorder: Recorder,
    ):
        self.clock = clock
        self.fleet = fleet
        self.runner = runner
        self.dispatcher = dispatcher
        self.orders = orders
        self.unready_reason = unready_reason
        self.recorder = recorder
        self.running = RunningRequests()

    async def handle(self, request: Request) -> Response:
        """Serve one request of a caller or of the platform's load balancer."""
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
        """Serve a pipeline request or a call; record a refusal before sending it."""
        is_pipeline = parts[:2] == ["v1", "pipelines"] and len(parts) == 3
        is_call = parts[:2] == ["v1", "services"] and len(parts) == 4
        scope = self.recorder.scope(
            _request_id(request),
            request.headers.get("wagtailrun-workspace", ""),
            service=parts[2] if is_call else "",
            pipeline=parts[2] if is_pipeline else "",
            call=parts[3] if is_call else "",
            key=request.headers.get("idempotency-key", ""),
            prompt_chars=len(request.body),
        )
        status = None
        result: Response | Refusal
        if not is_pipeline and not is_call:
            result = _malformed_refusal(f"no resource at {request.path[:200]}")
            status = 404
        elif request.method != "POST":
            result = _malformed_refusal(f"{request.path[:200]} accepts POST only")
            status = 405
        else:
            result = await self.running.run(
                lambda: self._route(request, scope, parts[2:])
            )
        if isinstance(result, Refusal):
            result = self._complete(result)
            await self.recorder.record_refusal(scope, result)
            return refusal_response(result, status)
        return result

    def _complete(self, refusal: Refusal) -> Refusal:
        return self.dispatcher.retry_times.complete(refusal)

    async def _route(
        self, request: Request, scope: RequestScope, names: list[str]
    ) -> Response | Refusal:
        """Run a pipeline (one name) or a call of a service (two names)."""
        fleet = self.fleet()
        if fleet is None:
            return Refusal(
                RefusalReason.NO_CONFIGURATION,
                Verdict.NOT_RUN,
                "this entry has not received the fleet configuration yet",
                CONFIGURATION_RETRY_MS,
            )
        if len(names) == 1:
            return await self._serve_pipeline(request, scope, fleet, names[0])
        return await self._serve_call(request, scope, fleet, *names)

    async def _find_order(self, request: Request, names: list[str]) -> Response:
        """Return the state of an order in the workspace that the caller names."""
        workspace = request.headers.get("wagtailrun-workspace", "")
        if not workspace or len(names) != 1 or not KEY_PATTERN.fullmatch(names[0]):
            detail = "send header Wagtailrun-Workspace and use path /v1/orders/{key}"
            return refusal_response(_malformed_refusal(detail))
        if self.running.ended:
            return refusal_response(self._complete(_stop_refusal(has_key=True)))
        found = await self.running.run(lambda: self.orders.find(workspace, names[0]))
        if isinstance(found, Refusal):
            return refusal_response(self._complete(found))
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
        reason = self.unready_reason()
        if not reason:
            return json_response(200, {"ready": True})
        return json_response(503, {"ready": False, "detail": reason})

    async def _serve_pipeline(
        self,
        request: Request,
        scope: RequestScope,
        fleet: FleetConfiguration,
        name: str,
    ) -> Response | Refusal:
        pipeline = fleet.pipelines_by_name.get(name)
        if pipeline is None:
            return _unknown_name_refusal(
                RefusalReason.UNKNOWN_PIPELINE, "pipeline", name
            )
        parsed = await self._parse_request(
            request, fleet, pipeline.deadline_ms, PipelineInput.from_value
        )
        if isinstance(parsed, Refusal):
            return parsed
        workspace, body, deadline_at_ms = parsed
        work = PipelineRequest(
            scope.request_id, workspace, pipeline, body, deadline_at_ms
        )
        result = await self.runner.run(work)
        if isinstance(result, Refusal):
            return result
        if isinstance(result, bytes):
            self.recorder.record_answer(scope, RequestOutcome.ATTAINED)
            return _complete_response(200, result, scope.request_id)
        headers = (
            ("Content-Type", "text/event-stream"),
            ("Wagtailrun-Request-Id", scope.request_id),
            NO_STORE,
        )
        items = self.running.iterate(result)
        lines = stream_events(items, scope, self.recorder, self._complete)
        return Response(200, lines, headers)

    async def _serve_call(
        self,
        request: Request,
        scope: RequestScope,
        fleet: FleetConfiguration,
        service_name: str,
        call_name: str,
    ) -> Response | Refusal:
        service = fleet.services_by_name.get(service_name)
        if service is None:
            return _unknown_name_refusal(
                RefusalReason.UNKNOWN_SERVICE, "service", service_name
            )
        call = service.calls_by_name.get(call_name)
        if call is None:
            return _unknown_name_refusal(RefusalReason.UNKNOWN_CALL, "call", call_name)
        parsed = await self._parse_request(
            request, fleet, call.deadline_ms, _canonical_text
        )
        if isinstance(parsed, Refusal):
            return parsed
        workspace, data, deadline_at_ms = parsed
        work = Work.for_call(
            service.name, call, workspace, data, scope.request_id, deadline_at_ms
        )
        result = await self._run_call(request, call, work)
        if isinstance(result, Refusal):
            return result
        self.recorder.record_answer(scope, RequestOutcome.ATTAINED)
        return _complete_response(result.status, result.body, scope.request_id)

    async def _run_call(
        self, request: Request, call: Call, work: Work
    ) -> StageAnswer | Refusal:
        key = request.headers.get("idempotency-key")
        if call.idempotent or key is None:
            call_once = self.dispatcher.call(work)
            return await before_deadline(self.clock, work.deadline_at_ms, call_once)
        if not KEY_PATTERN.fullmatch(key):
            return _malformed_refusal(
                "Idempotency-Key must be 1 to 200 printable characters"
            )
        return await self.orders.run(work, key)

    async def _parse_request(
        self,
        request: Request,
        fleet: FleetConfiguration,
        max_deadline_ms: int,
        use: Callable[[dict[str, Any]], T],
    ) -> tuple[Workspace, T, int] | Refusal:
        """Return workspace, what is used of the JSON body, and deadline of a request.

        The deadline is a time of ``clock`` in milliseconds, at most ``max_deadline_ms``
        from now.
        """
        arrived_ms = self.clock.now_ms()
        name = request.headers.get("wagtailrun-workspace", "")
        workspace = fleet.workspaces_by_name.get(name)
        if workspace is None:
            return _unknown_name_refusal(
                RefusalReason.UNKNOWN_WORKSPACE, "workspace", name
            )
        try:
            body = await self.runner.texts.read(
                request.body, lambda value: _use_object(value, use)
            )
        except (ValueError, RecursionError):
            return _malformed_refusal("the body is not valid JSON")
        if body is None:
            return _malformed_refusal("the body must be a JSON object")
        text = request.headers.get("wagtailrun-deadline-ms", str(max_deadline_ms))
        if not text.isascii() or not text.isdecimal() or len(text) > 9 or int(text) < 1:
            detail = "Wagtailrun-Deadline-Ms must be a whole number of milliseconds"
            return _malformed_refusal(detail)
        deadline_at_ms = arrived_ms + min(int(text), max_deadline_ms)
        if not self.running.admits(deadline_at_ms):
            return _stop_refusal("idempotency-key" in request.headers)
        return workspace, body, deadline_at_ms


def _use_object(value: Any, use: Callable[[dict[str, Any]], T]) -> T | None:
    """Return what is used of a JSON object; None if the value is none."""
    return use(value) if isinstance(value, dict) else None


def _canonical_text(value: dict[str, Any]) -> bytes:
    """Return the JSON text by which equal bodies of a call are recognised."""
    return json.dumps(value, sort_keys=True).encode()


async def stream_events(
    stream: AsyncGenerator[tuple[Token, ...] | Refusal, None],
    scope: RequestScope,
    recorder: Recorder,
    complete: Callable[[Refusal], Refusal] = lambda refusal: refusal,
) -> AsyncGenerator[bytes, None]:
    """Yield the caller's server-sent events; tokens received together form one chunk.

    The stream ends with ``done``, which carries the number of tokens and the digest of
    their texts, or with ``error``, which carries problem details.

    Args:
        stream: Tokens, and a refusal at the end of one that breaks off.
        scope: Request of the stream.
        recorder: Records its end.
        complete: Returns a refusal as its caller is told.
    """
    digest = xxhash.xxh3_64()
    ended = False
    try:
        async with aclosing(stream):
            async for item in stream:
                if isinstance(item, Refusal):
                    ended = True
                    item = complete(item)
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


def _complete_response(status: int, body: bytes, request_id: str) -> Response:
    headers = (
        ("Content-Type", "application/json"),
        ("Wagtailrun-Verdict", Verdict.COMPLETE),
        ("Wagtailrun-Request-Id", request_id),
        NO_STORE,
    )
    return Response(status, body, headers)


def _request_id(request: Request) -> str:
    """Return the caller's request identifier if it is valid, else a random one."""
    given = request.headers.get("wagtailrun-request-id", "")
    if REQUEST_ID_PATTERN.fullmatch(given):
        return given
    return secrets.token_hex(8)


def _stop_refusal(has_key: bool) -> Refusal:
    """Return the refusal of a request that the end of this process might cut.

    Args:
        has_key: Whether an earlier request with the same key may have run.
    """
    return Refusal(
        RefusalReason.DRAINING,
        Verdict.MAY_HAVE_RUN if has_key else Verdict.NOT_RUN,
        "this entry stops before the deadline of the request; it sent nothing",
        STOPPING_RETRY_MS,
        attempt_sent=False,
    )


def _malformed_refusal(detail: str) -> Refusal:
    return Refusal(RefusalReason.MALFORMED, Verdict.NOT_RUN, detail)


def _unknown_name_refusal(reason: RefusalReason, kind: str, name: str) -> Refusal:
    detail = f"{kind} {name[:64]!r} is not in the fleet configuration"
    return Refusal(reason, Verdict.NOT_RUN, detail)
