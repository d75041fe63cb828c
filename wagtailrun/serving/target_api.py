"""HTTP API for targets: announcements and goodbyes."""

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
from wagtailrun.fleet.model import FleetConfiguration
from wagtailrun.ports.link import Address
from wagtailrun.targets.table import Membership, TargetRow

__all__ = ["TargetApi"]

MAX_NAME_LENGTH = 64
MAX_COUNT = 2**48
MAX_CAPACITY = 1_000_000
MAX_REPORT_AGE_MS = 3_600_000
MAX_PREFIXES = 256
# Largest lead of an incarnation, read as a time, over this entry's clock. With an
# incarnation far in the future, the target's next start would have a smaller one and
# its announcements would be ignored.
MAX_CLOCK_LEAD_MS = 86_400_000
# Incarnations from here on (the year 2017) are read as Unix times in milliseconds, or
# in nanoseconds.
MIN_TIME_MS = 1_500_000_000_000
MIN_TIME_NS = MIN_TIME_MS * 1_000_000
MAX_INCARNATION = 2**63


class AnnouncementError(ValueError):
    """An announcement has a missing or invalid field; the message names it."""


class TargetApi:
    """Serves the HTTP requests of targets.

    Args:
        clock: Clock.
        membership: Membership table that stores the announcements.
        fleet: Returns the active fleet configuration, None before one was received.
        push_goodbye: Sends a goodbye to other entries before it is acknowledged.
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
        """Serve one request of a target."""
        leaving_by_path = {
            "/v1/targets/announce": False,
            "/v1/targets/goodbye": True,
        }
        leaving = leaving_by_path.get(request.path)
        if leaving is None:
            return refusal_response(
                _malformed(f"no resource at {request.path[:200]}"), 404
            )
        if request.method != "POST":
            return refusal_response(
                _malformed(f"{request.path} accepts POST only"), 405
            )
        try:
            row = parse_announcement(request.body, leaving, self.clock.wall_ms())
        except AnnouncementError as error:
            return refusal_response(_malformed(f"invalid announcement: {error}"))
        newer = self.membership.announce(row, self.clock.now_ms())
        if leaving and newer and self.push_goodbye:
            await self.push_goodbye(row)
        return json_response(200, self._acknowledgement(row, newer))

    def _acknowledgement(self, row: TargetRow, newer: bool) -> dict[str, Any]:
        """Return the answer's JSON: whether the row is the newest and is used."""
        answer = {"name": row.name, "newest": newer, "used": True}
        fleet = self.fleet()
        if fleet is None:
            answer |= {
                "used": False,
                "detail": "this entry has not received the fleet configuration yet",
            }
        elif row.service not in fleet.services_by_name:
            detail = f"service {row.service!r} is not in the fleet configuration"
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
        wall_ms: Wall-clock time in milliseconds since the Unix epoch.

    Raises:
        AnnouncementError: If a field is missing, of the wrong type or out of range.
    """
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise AnnouncementError("the body is not valid JSON") from error
    _check_object(value, "the body")
    load = _check_object(value.get("load", {}), "load")
    cache = _check_object(value.get("cache_events", {}), "cache_events")
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
        software_version=_text(value, "software_version", ""),
    )


def _check_object(value: Any, name: str) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise AnnouncementError(f"{name} must be a JSON object")
    return value


def _text(table: dict[str, Any], key: str, default: str | None = None) -> str:
    value = table.get(key, default)
    if value == default and default is not None:
        return default
    if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME_LENGTH:
        expected = f"a string of 1 to {MAX_NAME_LENGTH} characters"
        raise AnnouncementError(f"{key} is {_describe(value)}; give {expected}")
    if not value.isprintable():
        raise AnnouncementError(f"{key} contains unprintable characters; remove them")
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
        expected = f"a whole number from {low} to {high}"
        raise AnnouncementError(f"{key} is {_describe(value)}; give {expected}")
    return value


def _boolean(table: dict[str, Any], key: str) -> bool:
    value = table.get(key, False)
    if not isinstance(value, bool):
        raise AnnouncementError(f"{key} is {_describe(value)}; give true or false")
    return value


def _address(table: dict[str, Any]) -> Address:
    value = table.get("address")
    if not isinstance(value, str):
        raise AnnouncementError(f"address is {_describe(value)}; give IP:PORT")
    try:
        return Address.parse(value)
    except ValueError as error:
        raise AnnouncementError(f"address: {error}") from error


def _incarnation(table: dict[str, Any], wall_ms: int) -> int:
    value = _count(table, "incarnation", high=MAX_INCARNATION - 1)
    value_ms = value // 1_000_000 if value >= MIN_TIME_NS else value
    if value_ms >= MIN_TIME_MS and value_ms > wall_ms + MAX_CLOCK_LEAD_MS:
        raise AnnouncementError(
            f"incarnation {value} is a time more than a day in the future; "
            "correct the clock of the target"
        )
    return value


def _prefixes(table: dict[str, Any]) -> tuple[str, ...]:
    value = table.get("prefixes", [])
    if not isinstance(value, list) or len(value) > MAX_PREFIXES:
        expected = f"a list of at most {MAX_PREFIXES} strings"
        raise AnnouncementError(f"cache_events.prefixes must be {expected}")
    return tuple(_text({"prefix": item}, "prefix") for item in value)


def _describe(value: Any) -> str:
    """Return a field's value for an error message."""
    return "missing" if value is None else repr(value)[:80]


def _malformed(detail: str) -> Refusal:
    return Refusal(RefusalReason.MALFORMED, Verdict.NOT_RUN, detail[:300])
