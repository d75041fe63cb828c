"""HTTP interface for targets: announcements and goodbyes."""

import json
from collections.abc import Awaitable, Callable
from typing import Any

from wagtailrun.adapters.http_server import (
    Request,
    Response,
    json_response,
    refusal_response,
)
from wagtailrun.clock import Clock
from wagtailrun.exceptions import Refusal, RefusalReason, Verdict
from wagtailrun.fleet import FleetConfiguration
from wagtailrun.membership import Membership, TargetRow
from wagtailrun.ports.link import Address

__all__ = ["TargetApi"]

MAX_NAME_LENGTH = 64
MAX_COUNT = 2**48
MAX_CAPACITY = 1_000_000
MAX_REPORT_AGE_MS = 3_600_000
MAX_PREFIXES = 256
# An incarnation that is a time in milliseconds or nanoseconds may be ahead of this
# entry's clock by this much. One far in the future would shut out the target's next
# start, whose incarnation would be smaller.
MAX_CLOCK_LEAD_MS = 86_400_000
# Later than 2017 in milliseconds, and in nanoseconds: such numbers are taken as times.
MIN_TIME_MS = 1_500_000_000_000
MIN_TIME_NS = MIN_TIME_MS * 1_000_000
MAX_INCARNATION = 2**63


class AnnouncementError(ValueError):
    """An announcement that cannot be accepted; names the field."""


class TargetApi:
    """Answers targets.

    Args:
        clock: Clock.
        membership: Where announcements are kept.
        fleet: Returns the text in force, or None.
        push_goodbye: Copies a goodbye to other entries before it is answered.
    """

    def __init__(
        self,
        clock: Clock,
        membership: Membership,
        fleet: Callable[[], FleetConfiguration | None] = lambda: None,
        push_goodbye: Callable[[TargetRow], Awaitable[None]] | None = None,
    ):
        self.clock = clock
        self.membership = membership
        self.fleet = fleet
        self.push_goodbye = push_goodbye

    async def handle(self, request: Request) -> Response:
        """Answer one request of a target."""
        leaving_by_path = {
            "/v1/targets/announce": False,
            "/v1/targets/goodbye": True,
        }
        leaving = leaving_by_path.get(request.path)
        if leaving is None:
            return refusal_response(_malformed("unknown path"), 404)
        if request.method != "POST":
            return refusal_response(_malformed("use POST"), 405)
        try:
            row = parse_announcement(request.body, leaving, self.clock.wall_ms())
        except AnnouncementError as error:
            return refusal_response(_malformed(f"bad announcement: {error}"))
        newer = self.membership.announce(row, self.clock.now_ms())
        if leaving and newer and self.push_goodbye:
            await self.push_goodbye(row)
        return json_response(200, self._answer(row, newer))

    def _answer(self, row: TargetRow, newer: bool) -> dict[str, Any]:
        answer = {"name": row.name, "newest": newer, "used": True}
        fleet = self.fleet()
        if fleet is None:
            answer |= {"used": False, "detail": "no fleet text has arrived yet"}
        elif row.service not in fleet.services_by_name:
            detail = f"service {row.service!r} is not in the fleet text"
            answer |= {"used": False, "detail": detail}
        if not newer:
            known = self.membership.targets_by_name[row.name]
            answer["known"] = {
                "incarnation": known.incarnation,
                "sequence": known.sequence,
                "leaving": known.leaving,
            }
        return answer


def parse_announcement(body: bytes, leaving: bool, wall_ms: int) -> TargetRow:
    """Parse and check the body of an announcement or a goodbye.

    Args:
        body: JSON.
        leaving: Whether it is a goodbye.
        wall_ms: Wall time.

    Raises:
        AnnouncementError: If a field is missing, of the wrong type or out of range.
    """
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise AnnouncementError("the body is not valid JSON") from error
    _table(value, "the body")
    load = _table(value.get("load", {}), "load")
    cache = _table(value.get("cache_events", {}), "cache_events")
    first, last = _count(cache, "first", 0), _count(cache, "last", 0)
    if first > last:
        raise AnnouncementError("cache_events.first must not exceed cache_events.last")
    return TargetRow(
        name=_text(value, "name"),
        address=_address(value),
        service=_text(value, "service"),
        data_centre=_text(value, "data_centre"),
        capacity=_count(value, "capacity", 1, 1, MAX_CAPACITY),
        incarnation=_incarnation(value, wall_ms),
        sequence=_count(value, "sequence"),
        running=_count(load, "running", 0, 0, MAX_CAPACITY),
        queued=_count(load, "queued", 0, 0, MAX_CAPACITY),
        leaving=leaving,
        role=_text(value, "role", ""),
        report_age_ms=_count(load, "report_age_ms", 0, 0, MAX_REPORT_AGE_MS),
        cache_first=first,
        cache_last=last,
        cache_prefixes=_prefixes(cache),
        checks_fencing=_boolean(value, "checks_fencing"),
    )


def _table(value: Any, where: str) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise AnnouncementError(f"{where} must be a JSON object")
    return value


def _text(table: dict[str, Any], key: str, default: str | None = None) -> str:
    value = table.get(key, default)
    if value == default and default is not None:
        return default
    if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME_LENGTH:
        limit = f"a string of 1 to {MAX_NAME_LENGTH} characters"
        raise AnnouncementError(f"{key} is {_shown(value)}; give {limit}")
    if not value.isprintable():
        raise AnnouncementError(f"{key} holds characters that cannot be printed")
    return value


def _count(
    table: dict[str, Any],
    key: str,
    default: int | None = None,
    low: int = 0,
    high: int = MAX_COUNT,
) -> int:
    value = table.get(key, default)
    if type(value) is not int or not low <= value <= high:
        limit = f"a whole number from {low} to {high}"
        raise AnnouncementError(f"{key} is {_shown(value)}; give {limit}")
    return value


def _boolean(table: dict[str, Any], key: str) -> bool:
    value = table.get(key, False)
    if not isinstance(value, bool):
        raise AnnouncementError(f"{key} is {_shown(value)}; give true or false")
    return value


def _address(table: dict[str, Any]) -> Address:
    value = table.get("address")
    if not isinstance(value, str):
        raise AnnouncementError(f"address is {_shown(value)}; give IP:PORT")
    try:
        return Address.parse(value)
    except ValueError as error:
        raise AnnouncementError(f"address: {error}") from error


def _incarnation(table: dict[str, Any], wall_ms: int) -> int:
    value = _count(table, "incarnation", high=MAX_INCARNATION - 1)
    value_ms = value // 1_000_000 if value >= MIN_TIME_NS else value
    if value_ms >= MIN_TIME_MS and value_ms > wall_ms + MAX_CLOCK_LEAD_MS:
        raise AnnouncementError(
            f"incarnation is {value}; as a time it lies more than a day in the future"
        )
    return value


def _prefixes(table: dict[str, Any]) -> tuple[str, ...]:
    value = table.get("prefixes", [])
    if not isinstance(value, list) or len(value) > MAX_PREFIXES:
        limit = f"a list of at most {MAX_PREFIXES} strings"
        raise AnnouncementError(f"cache_events.prefixes must be {limit}")
    return tuple(_text({"prefix": item}, "prefix") for item in value)


def _shown(value: Any) -> str:
    return "missing" if value is None else repr(value)[:80]


def _malformed(detail: str) -> Refusal:
    return Refusal(RefusalReason.MALFORMED, Verdict.NOT_RUN, detail[:300])
