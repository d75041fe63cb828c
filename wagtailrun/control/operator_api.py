"""HTTP API for operators, served by every control member."""

import hmac
import json
import re
import secrets
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qsl

import attrs

from wagtailrun.accounts.lines import (
    DIMENSIONS,
    Line,
    cost_rows,
    period_end_ms,
    refusal_rows,
    request_rows,
)
from wagtailrun.accounts.store import AccountStore
from wagtailrun.adapters.http_messages import problem_details
from wagtailrun.adapters.http_server import (
    Request,
    Response,
    json_response,
    refusal_response,
)
from wagtailrun.control.operator_views import (
    FleetView,
    LocalView,
    audit_rows,
    order_rows,
)
from wagtailrun.exceptions import (
    ConsensusUnavailable,
    Refusal,
    RefusalReason,
    Verdict,
    WagtailrunError,
)
from wagtailrun.logs import events
from wagtailrun.observation.metrics import CONTENT_TYPE, Metrics
from wagtailrun.registry.client import ControlClient
from wagtailrun.registry.messages import ApplyText, TextVerdict
from wagtailrun.registry.state import Registry

__all__ = ["OperatorApi"]

APPLY_TIMEOUT_MS = 5_000
CATCH_UP_TIMEOUT_MS = 2_000
MAX_TEXT_BYTES = 4 * 1024 * 1024
MAX_REVISION = 2**63 - 1
MAX_QUERY_FIELDS = 16
DEFAULT_LIMIT = 10_000
# 100,000 rows are about 20 MB of JSON.
MAX_LIMIT = 100_000
IDENTIFIER = re.compile(r"[A-Za-z0-9._:@-]{1,128}")


class InvalidRequest(Exception):
    """A query or body is invalid; the message says what to send instead."""


class OperatorApi:
    """Serves the HTTP requests of operators.

    Args:
        registry: Local replica of the replicated state.
        control: Client of the control members, which reaches the leader.
        credential: Bearer token that every request must carry, except health checks
            and metrics.
        accounts: Account rows of this member, None if it stores none.
        view: State of the fleet's processes; by default only that of this member.
        metrics: Metrics of this process.
        catch_up: Returns within a time in milliseconds, once the registry is no older
            than before this member started; None if it never is.
    """

    def __init__(
        self,
        registry: Registry,
        control: ControlClient,
        credential: str,
        accounts: AccountStore | None = None,
        view: FleetView | None = None,
        metrics: Metrics | None = None,
        catch_up: Callable[[int], Awaitable[None]] | None = None,
    ):
        self.registry = registry
        self.control = control
        self.credential = credential
        self.accounts = accounts
        self.view = view or LocalView(registry)
        self.metrics = metrics
        self.catch_up = catch_up
        self.get_handlers_by_path = {
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
        """Serve one request of an operator."""
        if request.path in ("/healthz", "/readyz"):
            return json_response(200, {"status": "alive"})
        if request.path == "/metrics" and self.metrics is not None:
            headers = (("Content-Type", CONTENT_TYPE),)
            return Response(200, self.metrics.render(), headers)
        if not self._is_authorized(request):
            events.log(events.OPERATOR_REJECTED, peer=request.peer)
            detail = "send the operator credential in header Authorization: Bearer ..."
            refusal = Refusal(RefusalReason.UNAUTHORIZED, Verdict.NOT_RUN, detail)
            return refusal_response(refusal)
        try:
            return await self._route(request)
        except InvalidRequest as error:
            refusal = Refusal(RefusalReason.MALFORMED, Verdict.NOT_RUN, str(error))
            return refusal_response(refusal)
        except WagtailrunError as error:
            refusal = Refusal(RefusalReason.INTERNAL, Verdict.NOT_RUN, str(error)[:300])
            return refusal_response(refusal)

    def _is_authorized(self, request: Request) -> bool:
        given = request.headers.get("authorization", "").encode("utf-8", "replace")
        return hmac.compare_digest(given, f"Bearer {self.credential}".encode())

    async def _route(self, request: Request) -> Response:
        handler = self.get_handlers_by_path.get(request.path)
        if handler is not None and request.method == "GET":
            return await handler(_parse_query(request.query))
        if request.path == "/v1/text" and request.method == "POST":
            return await self._apply(request)
        known = handler is not None
        detail = (
            "use GET, or POST at /v1/text to apply a fleet text"
            if known
            else "no resource at this path"
        )
        refusal = Refusal(RefusalReason.MALFORMED, Verdict.NOT_RUN, detail)
        return refusal_response(refusal, 405 if known else 404)

    async def _apply(self, request: Request) -> Response:
        message = _parse_apply_request(request)
        try:
            verdict = await self.control.call_leader(message, APPLY_TIMEOUT_MS)
        except ConsensusUnavailable as error:
            return _no_leader(error, "retry with the same change_id")
        if verdict.accepted:
            value = {
                "accepted": True,
                "revision": verdict.revision,
                "detail": verdict.detail,
            }
            return json_response(200, value)
        return _rejected_change(message, verdict)

    async def _text(self, query: dict[str, str]) -> Response:
        _check_fields(query)
        if self.catch_up is not None:
            try:
                await self.catch_up(CATCH_UP_TIMEOUT_MS)
            except ConsensusUnavailable as error:
                return _no_leader(error, "ask another member")
        value = {"revision": self.registry.revision, "text": self.registry.text}
        return json_response(200, value)

    async def _orders(self, query: dict[str, str]) -> Response:
        names = ("workspace", "service", "verdict", "request_id")
        return _rows_response(
            _filter_rows(order_rows(self.registry), query, names), query
        )

    async def _changes(self, query: dict[str, str]) -> Response:
        """List the verdicts of changes whose identifier has the query's prefix."""
        _check_fields(query, "prefix", "limit")
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
        return _rows_response(rows, query)

    async def _status(self, query: dict[str, str]) -> Response:
        _check_fields(query, "limit")
        return _rows_response(await self.view.status(), query)

    async def _targets(self, query: dict[str, str]) -> Response:
        rows = await self.view.targets()
        if rows is None:
            return _unavailable("this control member has no list of targets")
        return _rows_response(
            _filter_rows(rows, query, ("service", "data_centre", "name")),
            query,
        )

    async def _refusals(self, query: dict[str, str]) -> Response:
        names = ("workspace", "service", "pipeline")
        return await self._account_rows(query, names, refusal_rows)

    async def _requests(self, query: dict[str, str]) -> Response:
        names = ("workspace", "service", "pipeline")
        return await self._account_rows(query, names, request_rows)

    async def _costs(self, query: dict[str, str]) -> Response:
        _check_fields(query, "period", "limit", "by", *DIMENSIONS)
        group_by = [name for name in query.get("by", "stage").split(",") if name]
        filters = {name: query[name] for name in DIMENSIONS if name in query}
        unknown = sorted(set(group_by) - set(DIMENSIONS))
        if unknown:
            raise InvalidRequest(
                f"by: column {unknown[0][:64]!r} is unknown; "
                f"known: {', '.join(DIMENSIONS)}"
            )

        def rows(lines: list[Line]) -> list[dict[str, Any]]:
            return cost_rows(lines, group_by, filters)

        return await self._account_rows(query, None, rows)

    async def _account_rows(
        self,
        query: dict[str, str],
        names: tuple[str, ...] | None,
        rows_of: Callable[[list[Line]], list[dict[str, Any]]],
    ) -> Response:
        """Answer with rows made from the account lines of the query's period.

        Args:
            query: Fields of the query.
            names: Columns that the query may filter by; None if ``rows_of`` filters.
            rows_of: Returns the rows of account lines.
        """
        if self.accounts is None:
            return _unavailable("this control member stores no accounts")
        period = query.get("period", "")
        if period:
            try:
                period_end_ms(period)
            except (ValueError, OverflowError) as error:
                raise InvalidRequest(
                    f"period {period[:64]!r} is not a day; give YYYY-MM-DD"
                ) from error
        rows = rows_of(await self.accounts.lines(period))
        if names is not None:
            rows = _filter_rows(rows, query, names, "period")
        digest = self.accounts.digests_by_period.get(period, "")
        return _rows_response(rows, query, closed=bool(digest), digest=digest)

    async def _periods(self, query: dict[str, str]) -> Response:
        _check_fields(query, "limit")
        if self.accounts is None:
            return _unavailable("this control member stores no accounts")
        closed = self.accounts.digests_by_period
        rows = [
            {"period": period, "closed": True, "digest": digest}
            for period, digest in sorted(closed.items())
        ]
        rows += [
            {"period": period, "closed": False, "digest": ""}
            for period in self.accounts.open_periods()
        ]
        return _rows_response(rows, query)

    async def _audit(self, query: dict[str, str]) -> Response:
        _check_fields(query, "limit")
        return _rows_response(audit_rows(self.registry), query)


def _parse_query(text: str) -> dict[str, str]:
    try:
        pairs = parse_qsl(
            text,
            keep_blank_values=True,
            strict_parsing=bool(text),
            errors="strict",
            max_num_fields=MAX_QUERY_FIELDS,
        )
    except ValueError as error:
        raise InvalidRequest("the query string is malformed") from error
    if len(dict(pairs)) < len(pairs):
        raise InvalidRequest("a query field occurs twice; give each once")
    return dict(pairs)


def _check_fields(query: dict[str, str], *names: str) -> None:
    """Raise InvalidRequest if the query has a field that is not in ``names``."""
    unknown = sorted(query.keys() - set(names))
    if unknown:
        known = ", ".join(names) or "none"
        raise InvalidRequest(
            f"query field {unknown[0][:64]!r} is unknown; known: {known}"
        )


def _filter_rows(
    rows: list[dict[str, Any]],
    query: dict[str, str],
    names: tuple[str, ...],
    *other_names: str,
) -> list[dict[str, Any]]:
    """Return the rows whose columns ``names`` have the values that the query gives.

    ``other_names`` are fields that the query may have beside these and ``limit``.
    """
    _check_fields(query, *names, "limit", *other_names)
    wanted = {name: query[name] for name in names if name in query}
    return [
        row
        for row in rows
        if all(str(row.get(name, "")) == value for name, value in wanted.items())
    ]


def _rows_response(
    rows: list[dict[str, Any]], query: dict[str, str], **extra: Any
) -> Response:
    """Return the answer with the first rows; ``extra`` are further keys of its JSON."""
    text = query.get("limit", str(DEFAULT_LIMIT))
    if not text.isascii() or not text.isdecimal() or len(text) > 6:
        raise InvalidRequest(f"limit {text[:64]!r} is invalid; give 1 to {MAX_LIMIT}")
    limit = min(max(int(text), 1), MAX_LIMIT)
    value = {"rows": rows[:limit], "total_rows": len(rows), **extra}
    return json_response(200, value)


def _parse_apply_request(request: Request) -> ApplyText:
    """Return the command in a request's body.

    Raises:
        InvalidRequest: If the body is no valid command.
    """
    try:
        value = json.loads(request.body)
    except (ValueError, RecursionError) as error:
        raise InvalidRequest("the body is not valid JSON") from error
    if not isinstance(value, dict):
        raise InvalidRequest("the body must be a JSON object")
    unknown = sorted(value.keys() - {"text", "base_revision", "change_id", "operator"})
    if unknown:
        raise InvalidRequest(f"key {unknown[0][:64]!r} is unknown; remove it")
    text, base = value.get("text"), value.get("base_revision")
    if not isinstance(text, str) or not _is_unicode(text):
        raise InvalidRequest("text must be a string of valid Unicode")
    if type(base) is not int or not 0 <= base <= MAX_REVISION:
        raise InvalidRequest(
            f"base_revision must be a whole number from 0 to {MAX_REVISION}"
        )
    # Without an identifier a resend cannot be recognised and counts as a new change.
    change_id = value.get("change_id") or secrets.token_hex(8)
    operator = value.get("operator") or "unnamed"
    for name, given in (("change_id", change_id), ("operator", operator)):
        if not isinstance(given, str) or not IDENTIFIER.fullmatch(given):
            raise InvalidRequest(f"{name} must match {IDENTIFIER.pattern}")
    return ApplyText(change_id, base, operator, request.peer, text, 0)


def _no_leader(error: ConsensusUnavailable, remedy: str) -> Response:
    refusal = Refusal(
        RefusalReason.CONSENSUS_UNAVAILABLE,
        Verdict.MAY_HAVE_RUN if error.may_have_committed else Verdict.NOT_RUN,
        f"{error}; {remedy}",
        error.retry_after_ms,
    )
    return refusal_response(refusal)


def _is_unicode(text: str) -> bool:
    """Return whether ``text`` holds no lone surrogate, which JSON allows."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _rejected_change(message: ApplyText, verdict: TextVerdict) -> Response:
    stale = verdict.revision != message.base_revision
    reason = RefusalReason.STALE_REVISION if stale else RefusalReason.INVALID_TEXT
    refusal = Refusal(reason, Verdict.NOT_RUN, verdict.detail)
    response = refusal_response(refusal)
    value = problem_details(refusal, response.status) | {"revision": verdict.revision}
    # Only some registries compute the difference from the active configuration.
    value["difference"] = getattr(verdict, "difference", "")
    return attrs.evolve(response, body=json.dumps(value).encode())


def _unavailable(detail: str) -> Response:
    refusal = Refusal(RefusalReason.NO_CONFIGURATION, Verdict.NOT_RUN, detail)
    return refusal_response(refusal)
