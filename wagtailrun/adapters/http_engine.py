"""Reads the state of engines and sends them engine orders over HTTP."""

import json
from typing import Any

import curio

from wagtailrun.adapters.http_client import HttpClient, HttpReply
from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.exceptions import TargetFailed, Verdict
from wagtailrun.ports.engine import (
    EngineClient,
    EngineOrder,
    EngineReply,
    EngineState,
)
from wagtailrun.ports.link import Address

__all__ = ["HttpEngineClient"]

STATUS_CONFLICT = 409
MAX_NAMES = 1_000


class HttpEngineClient(EngineClient):
    """Engine client that uses ``HttpClient``.

    Args:
        client: HTTP client. No answer names its request, so a late copy on a connection
            in use again could not be told from the next one: all are new.
    """

    def __init__(self, client: HttpClient):
        self.client = client

    async def read_state(self, address: Address, timeout_ms: int) -> EngineState:
        """Return the state of an engine; raises ``TargetFailed``."""
        reply = await self._request(address, "GET", "/v1/state", (), b"", timeout_ms)
        if reply.status != 200:
            raise _failed(address, f"answered with status {reply.status}", reply)
        try:
            return _parse_state(json.loads(reply.body))
        except (ValueError, TypeError, KeyError, RecursionError) as error:
            detail = f"sent an unusable state: {error!r}"
            raise _failed(address, detail, reply) from error

    async def send(
        self, address: Address, order: EngineOrder, timeout_ms: int
    ) -> EngineReply:
        """Send one engine order; see ``EngineClient.send``."""
        body = {
            "order_id": order.order_id,
            "kind": order.kind,
            "subject": order.subject,
        }
        headers = (
            ("Content-Type", "application/json"),
            ("Wagtailrun-Fence", str(order.fence)),
            ("Wagtailrun-Deadline-Ms", str(timeout_ms)),
        )
        data = json.dumps(body).encode()
        reply = await self._request(
            address, "POST", "/v1/orders", headers, data, timeout_ms
        )
        if reply.status == STATUS_CONFLICT:
            return EngineReply.STALE_FENCE
        if 200 <= reply.status < 300:
            return EngineReply.ACCEPTED
        raise _failed(address, f"answered with status {reply.status}", reply)

    async def _request(
        self,
        address: Address,
        method: str,
        path: str,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
        timeout_ms: int,
    ) -> HttpReply:
        """Send a request; the timeout bounds the whole exchange, not only each read."""
        try:
            async with curio.timeout_after(timeout_ms / MS_PER_SECOND):
                return await self.client.request(
                    address,
                    method,
                    path,
                    headers,
                    body,
                    timeout_ms=timeout_ms,
                    new_connection=True,
                )
        except curio.TaskTimeout as error:
            detail = f"engine {address} did not answer within {timeout_ms} ms"
            raise TargetFailed(detail, timed_out=True) from error


def _failed(address: Address, detail: str, reply: HttpReply) -> TargetFailed:
    not_run = reply.headers.get("wagtailrun-verdict") == Verdict.NOT_RUN
    verdict = Verdict.NOT_RUN if not_run else Verdict.MAY_HAVE_RUN
    return TargetFailed(f"engine {address} {detail}", verdict=verdict)


def _parse_state(value: Any) -> EngineState:
    return EngineState(
        # The controller compares the reported model with the wanted one, so the key is
        # required.
        model=_parse_name(value["model"]),
        adapters=_parse_names(value.get("adapters", [])),
        role=_parse_name(value.get("role", "")),
        loading=_parse_names(value.get("loading", [])),
    )


def _parse_name(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"{str(value)[:80]!r} is not a string")
    return value


def _parse_names(value: Any) -> frozenset[str]:
    if not isinstance(value, list) or len(value) > MAX_NAMES:
        raise TypeError(f"not a list of at most {MAX_NAMES} names")
    return frozenset(_parse_name(item) for item in value)
