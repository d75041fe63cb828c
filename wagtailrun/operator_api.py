"""HTTP interface for operators, at every control member."""

import hmac
import json
import secrets

from wagtailrun.adapters.http_server import (
    Request,
    Response,
    json_response,
    refusal_response,
)
from wagtailrun.control_client import ControlClient
from wagtailrun.exceptions import (
    ConsensusUnavailable,
    Refusal,
    RefusalReason,
    Verdict,
)
from wagtailrun.registry import Registry
from wagtailrun.registry_messages import ApplyText

__all__ = ["OperatorApi"]

APPLY_TIMEOUT_MS = 5_000
MAX_TEXT_BYTES = 4 * 1024 * 1024


class OperatorApi:
    """Answers operators.

    Args:
        registry: Local copy of the agreed state.
        control: Client of the control members, to reach the leader.
        credential: Credential that every call must carry.
    """

    def __init__(self, registry: Registry, control: ControlClient, credential: str):
        self.registry = registry
        self.control = control
        self.credential = credential

    async def handle(self, request: Request) -> Response:
        """Answer one request of an operator."""
        if request.path in ("/healthz", "/readyz"):
            return json_response(200, {"status": "alive"})
        given = request.headers.get("authorization", "").encode()
        if not hmac.compare_digest(given, f"Bearer {self.credential}".encode()):
            detail = "send the operator credential as a bearer token"
            refusal = Refusal(RefusalReason.UNAUTHORIZED, Verdict.NOT_RUN, detail)
            return refusal_response(refusal)
        match (request.method, request.path):
            case ("GET", "/v1/text"):
                value = {"revision": self.registry.revision, "text": self.registry.text}
                return json_response(200, value)
            case ("POST", "/v1/text"):
                return await self._apply(request)
            case ("GET", "/v1/orders"):
                return json_response(200, self._orders())
        refusal = Refusal(RefusalReason.MALFORMED, Verdict.NOT_RUN, "unknown path")
        return refusal_response(refusal, 404)

    async def _apply(self, request: Request) -> Response:
        try:
            value = json.loads(request.body)
            message = ApplyText(
                change_id=str(value.get("change_id") or secrets.token_hex(8)),
                base_revision=int(value["base_revision"]),
                operator=str(value.get("operator", "")),
                source=request.peer,
                text=str(value["text"]),
                now_ms=0,
            )
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
            detail = "send a JSON object with text and base_revision"
            refusal = Refusal(RefusalReason.MALFORMED, Verdict.NOT_RUN, detail)
            return refusal_response(refusal)
        try:
            verdict = await self.control.ask(message, APPLY_TIMEOUT_MS)
        except ConsensusUnavailable as error:
            refusal = Refusal(
                RefusalReason.CONSENSUS_UNAVAILABLE,
                Verdict.MAY_HAVE_RUN if error.may_have_committed else Verdict.NOT_RUN,
                f"{error}; send the same change_id again",
                error.retry_after_ms,
            )
            return refusal_response(refusal)
        status = 200 if verdict.accepted else 409
        value = {
            "accepted": verdict.accepted,
            "revision": verdict.revision,
            "detail": verdict.detail,
        }
        return json_response(status, value)

    def _orders(self) -> list[dict]:
        return [
            {
                "workspace": key.workspace,
                "key": key.key,
                "service": order.service,
                "call": order.call,
                "attempt": order.attempt,
                "verdict": order.verdict or "open",
                "entry": order.entry,
                "request_id": order.request_id,
                "opened_ms": order.opened_ms,
            }
            for key, order in self.registry.orders_by_key.items()
        ]
