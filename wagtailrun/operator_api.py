"""HTTP interface for operators, at every control member."""

import hmac
import json
import re
import secrets
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qsl

import attrs

from wagtailrun import events
from wagtailrun.account_lines import (
    DIMENSIONS,
    Line,
    cost_rows,
    period_end_ms,
    refusal_rows,
    request_rows,
)
from wagtailrun.account_store import AccountStore
from wagtailrun.adapters.http_server import (
    Request,
    Response,
    json_response,
    problem_details,
    refusal_response,
)
from wagtailrun.control_client import ControlClient
from wagtailrun.exceptions import (
    ConsensusUnavailable,
    Refusal,
    RefusalReason,
    Verdict,
    WagtailrunError,
)
from wagtailrun.metrics import CONTENT_TYPE, Metrics
from wagtailrun.operator_views import FleetView, LocalView, audit_rows, order_rows
from wagtailrun.registry import Registry
from wagtailrun.registry_messages import ApplyText, TextVerdict

__all__ = ["OperatorApi"]

APPLY_TIMEOUT_MS = 5_000
MAX_TEXT_BYTES = 4 * 1024 * 1024
MAX_REVISION = 2**63 - 1
MAX_QUERY_FIELDS = 16
DEFAULT_LIMIT = 10_000
# 100,000 rows are about 20 MB of JSON.
MAX_LIMIT = 100_000
IDENTIFIER = re.compile(r"[A-Za-z0-9._:@-]{1,128}")


class BadInput(Exception):
    """A request that cannot be understood; the message says what to send."""


class OperatorApi:
    """Answers operators.

    Args:
        registry: Local copy of the agreed state.
        control: Client of the control members, to reach the leader.
        credential: Credential that every call must carry.
        accounts: Account rows of this member, None if it keeps none.
        view: State of the fleet's processes.
        metrics: Metrics of this process.
    """

    def __init__(
        self,
        registry: Registry,
        control: ControlClient,
        credential: str,
        accounts: AccountStore | None = None,
        view: FleetView | None = None,
        metrics: Metrics | None = None,
    ):
        self.registry = registry
        self.control = control
        self.credential = credential
        self.accounts = accounts
        self.view = view or LocalView(registry)
        self.metrics = metrics
        self.reads_by_path = {
            "/v1/text": self._text,
            "/v1/orders": self._orders,
            "/v1/changes": self._changes,
            "/v1/status": self._status,
            "/v1/targets": self._targets,
            "/v1/refusals": self._refusals,
            "/v1/costs": self._costs,
            "/v1/requests": self._requests,
            "/v1/periods": self._periods,
            "/v1/audit": self._audit,
        }

    async def handle(self, request: Request) -> Response:
        """Answer one request of an operator."""
        if request.path in ("/healthz", "/readyz"):
            return json_response(200, {"status": "alive"})
        if request.path == "/metrics" and self.metrics is not None:
            headers = (("Content-Type", CONTENT_TYPE),)
            return Response(200, self.metrics.render(), headers)
        if not self._is_authorized(request):
            events.log(events.OPERATOR_REJECTED, peer=request.peer)
            detail = "send the operator credential as a bearer token"
            refusal = Refusal(RefusalReason.UNAUTHORIZED, Verdict.NOT_RUN, detail)
            return refusal_response(refusal)
        try:
            return await self._route(request)
        except BadInput as error:
            refusal = Refusal(RefusalReason.MALFORMED, Verdict.NOT_RUN, str(error))
            return refusal_response(refusal)
        except WagtailrunError as error:
            refusal = Refusal(RefusalReason.INTERNAL, Verdict.NOT_RUN, str(error)[:300])
            return refusal_response(refusal)

    def _is_authorized(self, request: Request) -> bool:
        given = request.headers.get("authorization", "").encode("utf-8", "replace")
        return hmac.compare_digest(given, f"Bearer {self.credential}".encode())

    async def _route(self, request: Request) -> Response:
        read = self.reads_by_path.get(request.path)
        if read is not None and request.method == "GET":
            return await read(_query(request.query))
        if request.path == "/v1/text" and request.method == "POST":
            return await self._apply(request)
        known = read is not None
        detail = "use GET, or POST for a new text" if known else "unknown path"
        refusal = Refusal(RefusalReason.MALFORMED, Verdict.NOT_RUN, detail)
        return refusal_response(refusal, 405 if known else 404)

    async def _apply(self, request: Request) -> Response:
        message = _apply_message(request)
        try:
            verdict = await self.control.call_leader(message, APPLY_TIMEOUT_MS)
        except ConsensusUnavailable as error:
            refusal = Refusal(
                RefusalReason.CONSENSUS_UNAVAILABLE,
                Verdict.MAY_HAVE_RUN if error.may_have_committed else Verdict.NOT_RUN,
                f"{error}; send the same change_id again",
                error.retry_after_ms,
            )
            return refusal_response(refusal)
        if verdict.accepted:
            value = {
                "accepted": True,
                "revision": verdict.revision,
                "detail": verdict.detail,
            }
            return json_response(200, value)
        return _refused_text(message, verdict)

    async def _text(self, query: dict[str, str]) -> Response:
        _only(query)
        value = {"revision": self.registry.revision, "text": self.registry.text}
        return json_response(200, value)

    async def _orders(self, query: dict[str, str]) -> Response:
        names = ("workspace", "service", "verdict", "request_id")
        return _rows(_select(order_rows(self.registry), query, names), query)

    async def _changes(self, query: dict[str, str]) -> Response:
        """Answer with the verdicts of changes whose identifier has a prefix."""
        _only(query, "prefix", "limit")
        prefix = query.get("prefix", "")
        rows = [
            {
                "change_id": change_id,
                "accepted": verdict.accepted,
                "revision": verdict.revision,
            }
            for change_id, verdict in self.registry.changes_by_id.items()
            if change_id.startswith(prefix)
        ]
        return _rows(rows, query)

    async def _status(self, query: dict[str, str]) -> Response:
        _only(query, "limit")
        return _rows(await self.view.status(), query)

    async def _targets(self, query: dict[str, str]) -> Response:
        rows = await self.view.targets()
        if rows is None:
            return _unavailable("this member does not know the targets")
        return _rows(_select(rows, query, ("service", "data_centre", "name")), query)

    async def _refusals(self, query: dict[str, str]) -> Response:
        names = ("workspace", "service", "pipeline")
        return await self._account_rows(query, names, refusal_rows)

    async def _requests(self, query: dict[str, str]) -> Response:
        names = ("workspace", "service", "pipeline")
        return await self._account_rows(query, names, request_rows)

    async def _costs(self, query: dict[str, str]) -> Response:
        _only(query, "period", "limit", "by", *DIMENSIONS)
        by = [name for name in query.get("by", "stage").split(",") if name]
        where = {name: query[name] for name in DIMENSIONS if name in query}
        unknown = sorted(set(by) - set(DIMENSIONS))
        if unknown:
            raise BadInput(f"sum by some of {', '.join(DIMENSIONS)}")

        def rows(lines: list[Line]) -> list[dict[str, Any]]:
            return cost_rows(lines, by, where)

        return await self._account_rows(query, None, rows)

    async def _account_rows(
        self,
        query: dict[str, str],
        names: tuple[str, ...] | None,
        rows_of: Callable[[list[Line]], list[dict[str, Any]]],
    ) -> Response:
        if self.accounts is None:
            return _unavailable("this member keeps no accounts")
        period = query.get("period", "")
        if period:
            try:
                period_end_ms(period)
            except (ValueError, OverflowError) as error:
                raise BadInput("give the period as YYYY-MM-DD") from error
        rows = rows_of(await self.accounts.lines(period))
        if names is not None:
            rows = _select(rows, query, names, "period")
        digest = self.accounts.digests_by_period.get(period, "")
        return _rows(rows, query, closed=bool(digest), digest=digest)

    async def _periods(self, query: dict[str, str]) -> Response:
        _only(query, "limit")
        if self.accounts is None:
            return _unavailable("this member keeps no accounts")
        closed = self.accounts.digests_by_period
        rows = [
            {"period": period, "closed": True, "digest": digest}
            for period, digest in sorted(closed.items())
        ]
        rows += [
            {"period": period, "closed": False, "digest": ""}
            for period in self.accounts.open_periods()
        ]
        return _rows(rows, query)

    async def _audit(self, query: dict[str, str]) -> Response:
        _only(query, "limit")
        return _rows(audit_rows(self.registry), query)


def _query(text: str) -> dict[str, str]:
    try:
        pairs = parse_qsl(
            text,
            keep_blank_values=True,
            strict_parsing=bool(text),
            errors="strict",
            max_num_fields=MAX_QUERY_FIELDS,
        )
    except ValueError as error:
        raise BadInput("the query string is malformed") from error
    if len(dict(pairs)) < len(pairs):
        raise BadInput("a query field occurs twice")
    return dict(pairs)


def _only(query: dict[str, str], *names: str) -> None:
    unknown = sorted(query.keys() - set(names))
    if unknown:
        known = ", ".join(names) or "none"
        raise BadInput(f"query field {unknown[0][:64]!r} is unknown; known: {known}")


def _select(
    rows: list[dict[str, Any]],
    query: dict[str, str],
    names: tuple[str, ...],
    *other_names: str,
) -> list[dict[str, Any]]:
    """Return the rows that have the values of the query."""
    _only(query, *names, "limit", *other_names)
    wanted = {name: query[name] for name in names if name in query}
    return [
        row
        for row in rows
        if all(str(row.get(name, "")) == value for name, value in wanted.items())
    ]


def _rows(rows: list[dict[str, Any]], query: dict[str, str], **more: Any) -> Response:
    text = query.get("limit", str(DEFAULT_LIMIT))
    if not text.isascii() or not text.isdecimal() or len(text) > 6:
        raise BadInput(f"give a limit of 1 to {MAX_LIMIT}")
    limit = min(max(int(text), 1), MAX_LIMIT)
    value = {"rows": rows[:limit], "total_rows": len(rows), **more}
    return json_response(200, value)


def _apply_message(request: Request) -> ApplyText:
    """Return the command in a request's body; raises BadInput if there is none."""
    try:
        value = json.loads(request.body)
    except (ValueError, RecursionError) as error:
        raise BadInput("the body is not valid JSON") from error
    if not isinstance(value, dict):
        raise BadInput("the body must be a JSON object")
    unknown = sorted(value.keys() - {"text", "base_revision", "change_id", "operator"})
    if unknown:
        raise BadInput(f"key {unknown[0][:64]!r} is unknown")
    text, base = value.get("text"), value.get("base_revision")
    if not isinstance(text, str) or not _is_unicode(text):
        raise BadInput("text must be a string")
    if type(base) is not int or not 0 <= base <= MAX_REVISION:
        raise BadInput("base_revision must be a whole number")
    # A change without an identifier is accepted, but a resend of it is a new change.
    change_id = value.get("change_id") or secrets.token_hex(8)
    operator = value.get("operator") or "unnamed"
    for name, given in (("change_id", change_id), ("operator", operator)):
        if not isinstance(given, str) or not IDENTIFIER.fullmatch(given):
            raise BadInput(f"{name} must match {IDENTIFIER.pattern}")
    return ApplyText(change_id, base, operator, request.peer, text, 0)


def _is_unicode(text: str) -> bool:
    """Return whether ``text`` holds no lone surrogate, which JSON allows."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _refused_text(message: ApplyText, verdict: TextVerdict) -> Response:
    stale = verdict.revision != message.base_revision
    reason = RefusalReason.STALE_REVISION if stale else RefusalReason.INVALID_TEXT
    refusal = Refusal(reason, Verdict.NOT_RUN, verdict.detail)
    response = refusal_response(refusal)
    value = problem_details(refusal, response.status) | {"revision": verdict.revision}
    # Registries that compute what changed since the base revision say so here.
    value["difference"] = getattr(verdict, "difference", "")
    return attrs.evolve(response, body=json.dumps(value).encode())


def _unavailable(detail: str) -> Response:
    refusal = Refusal(RefusalReason.NO_CONFIGURATION, Verdict.NOT_RUN, detail)
    return refusal_response(refusal)
