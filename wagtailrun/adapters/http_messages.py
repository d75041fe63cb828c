"""HTTP requests and responses as handlers see them, and responses for refusals."""

import json
from abc import abstractmethod
from collections.abc import AsyncGenerator, AsyncIterator
from typing import Any

import attrs

from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.exceptions import Refusal, RefusalReason, Verdict

__all__ = [
    "BodyStream",
    "DEFAULT_REFUSAL_STATUS",
    "Request",
    "RequestRejected",
    "Response",
    "json_response",
    "problem_details",
    "refusal_response",
]

STATUS_BY_REASON = {
    RefusalReason.MALFORMED: 400,
    RefusalReason.TOO_LARGE: 413,
    RefusalReason.UNAUTHORIZED: 401,
    RefusalReason.UNKNOWN_KEY: 401,
    RefusalReason.UNKNOWN_ROUTE: 404,
    RefusalReason.UNKNOWN_WORKSPACE: 403,
    RefusalReason.UNKNOWN_PIPELINE: 404,
    RefusalReason.UNKNOWN_SERVICE: 404,
    RefusalReason.UNKNOWN_CALL: 404,
    RefusalReason.UNKNOWN_DATA_CENTRE: 404,
    RefusalReason.TOO_MANY_EVACUATIONS: 409,
    RefusalReason.KEY_REUSED: 422,
    RefusalReason.INVALID_TEXT: 422,
    RefusalReason.STALE_REVISION: 409,
    RefusalReason.ORDER_OPEN: 409,
    RefusalReason.SHARE_EXCEEDED: 429,
    RefusalReason.DEADLINE: 504,
    RefusalReason.TARGET_FAILED: 502,
    RefusalReason.INTERNAL: 500,
}
DEFAULT_REFUSAL_STATUS = 503


@attrs.frozen
class Request:
    """A complete HTTP request.

    Attributes:
        method: Upper-case method.
        path: Path without query.
        query: Query string without the question mark.
        headers: Header values by lower-case name; the last one of repeated headers.
        body: Complete body.
        peer: IP address of the client.
        target: Path and query as received.
        header_pairs: Headers as received, in order.
    """

    method: str
    path: str
    query: str = ""
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    peer: str = ""
    target: bytes = b""
    header_pairs: tuple[tuple[bytes, bytes], ...] = ()


class BodyStream(AsyncIterator[bytes]):
    """Pieces of the body of a response, with a clean-up of their own."""

    @abstractmethod
    async def aclose(self) -> None:
        """Release what the pieces need; also called if none was read."""


@attrs.frozen
class Response:
    """An HTTP response.

    Attributes:
        status: HTTP status.
        body: Complete body, or its pieces.
        headers: Pairs of header name and value.
        length: Content length of a generated body in bytes; None selects chunked
            transfer encoding.
    """

    status: int
    body: bytes | AsyncGenerator[bytes, None] | BodyStream = b""
    headers: tuple[tuple[str | bytes, str | bytes], ...] = ()
    length: int | None = None


def json_response(
    status: int, value: Any, headers: tuple[tuple[str, str], ...] = ()
) -> Response:
    """Return ``value`` as a JSON response."""
    body = json.dumps(value).encode()
    return Response(status, body, (("Content-Type", "application/json"), *headers))


def problem_details(refusal: Refusal, status: int) -> dict[str, Any]:
    """Return the RFC 9457 problem details of a refusal."""
    return {
        "type": f"urn:wagtailrun:refusal:{refusal.reason}",
        "title": str(refusal.reason),
        "status": status,
        "detail": refusal.detail,
        "reason": str(refusal.reason),
        "verdict": str(refusal.verdict),
        "retry_after_ms": refusal.retry_after_ms,
        "attempt_sent": refusal.attempt_sent and refusal.verdict != Verdict.NOT_RUN,
    }


def refusal_response(refusal: Refusal, status: int | None = None) -> Response:
    """Return the HTTP response for a refusal.

    Args:
        refusal: Refusal to report.
        status: HTTP status; by default that of the refusal's reason.
    """
    if status is None:
        status = STATUS_BY_REASON.get(refusal.reason, DEFAULT_REFUSAL_STATUS)
    headers = [
        ("Content-Type", "application/problem+json"),
        ("Cache-Control", "no-store"),
        ("Wagtailrun-Verdict", str(refusal.verdict)),
    ]
    if refusal.retry_after_ms:
        seconds = -(-refusal.retry_after_ms // MS_PER_SECOND)
        headers.append(("Retry-After", str(seconds)))
    body = json.dumps(problem_details(refusal, status)).encode()
    return Response(status, body, tuple(headers))


def _make_refusal(detail: str, status: int) -> Refusal:
    reason = RefusalReason.TOO_LARGE if status in (413, 431) else None
    return Refusal(reason or RefusalReason.MALFORMED, Verdict.NOT_RUN, detail)


class RequestRejected(Exception):
    """The bytes received are not a valid request, or exceed a limit."""

    def __init__(self, detail: str, status: int, refusal: Refusal | None = None):
        super().__init__(detail)
        self.status = status
        self.refusal = refusal or _make_refusal(detail, status)
