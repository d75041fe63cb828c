"""HTTP interface for targets: announcements and goodbyes."""

import json
from typing import Any

from wagtailrun.adapters.http_server import (
    Request,
    Response,
    json_response,
    refusal_response,
)
from wagtailrun.clock import Clock
from wagtailrun.exceptions import Refusal, RefusalReason, Verdict
from wagtailrun.membership import Membership, TargetRow
from wagtailrun.ports.link import Address

__all__ = ["TargetApi"]

MAX_NAME_LENGTH = 64
MAX_COUNT = 2**48


class TargetApi:
    """Answers targets.

    Args:
        clock: Clock.
        membership: Where announcements are kept.
    """

    def __init__(self, clock: Clock, membership: Membership):
        self.clock = clock
        self.membership = membership

    async def handle(self, request: Request) -> Response:
        """Answer one request of a target."""
        leaving_by_path = {
            "/v1/targets/announce": False,
            "/v1/targets/goodbye": True,
        }
        leaving = leaving_by_path.get(request.path)
        if leaving is None or request.method != "POST":
            return refusal_response(_malformed("unknown path or method"), 404)
        try:
            row = _row(json.loads(request.body), leaving)
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            return refusal_response(_malformed(f"bad announcement: {error!r}"))
        self.membership.put(row, self.clock.now_ms())
        return json_response(200, {"name": row.name})


def _row(value: Any, leaving: bool) -> TargetRow:
    load = value.get("load", {})
    return TargetRow(
        name=_text(value["name"]),
        address=Address.parse(value["address"]),
        service=_text(value["service"]),
        data_centre=_text(value["data_centre"]),
        capacity=max(_count(value.get("capacity", 1)), 1),
        incarnation=_count(value["incarnation"]),
        sequence=_count(value["sequence"]),
        running=_count(load.get("running", 0)),
        queued=_count(load.get("queued", 0)),
        leaving=leaving,
    )


def _text(value: Any) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME_LENGTH:
        raise ValueError(f"{str(value)[:80]!r} is not a name")
    return value


def _count(value: Any) -> int:
    if type(value) is not int or not 0 <= value < MAX_COUNT:
        raise ValueError(f"{str(value)[:80]!r} is not a whole number")
    return value


def _malformed(detail: str) -> Refusal:
    return Refusal(RefusalReason.MALFORMED, Verdict.NOT_RUN, detail[:300])
