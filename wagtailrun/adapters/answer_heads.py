"""Checks of the heads of responses."""

import re

import h11

from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.exceptions import TargetFailed

__all__ = ["check_status", "keep_alive_ms"]

# RFC 9110, section 15: the valid range is 100 to 599. h11 accepts 200 to 999 and
# reports 1xx as interim responses.
LAST_STATUS = 599
# A pooled connection expires this long before the server would close it.
KEEP_ALIVE_MARGIN_MS = 500
KEEP_ALIVE_PATTERN = re.compile(r"timeout\s*=\s*(\d{1,6})")


def check_status(head: h11.Response) -> None:
    """Check that the status is one of HTTP.

    Raises:
        TargetFailed: If it is not; the server is in an unknown state.
    """
    if head.status_code > LAST_STATUS:
        raise TargetFailed(f"the status {head.status_code} is not one of HTTP")


def keep_alive_ms(headers: dict[str, str]) -> int | None:
    """Return how long a server keeps an idle connection, less a margin.

    Args:
        headers: Headers of a response by lower-case name.

    Returns:
        Milliseconds; None if the server does not say.
    """
    match = KEEP_ALIVE_PATTERN.search(headers.get("keep-alive", "").lower())
    if match is None:
        return None
    return int(match.group(1)) * MS_PER_SECOND - KEEP_ALIVE_MARGIN_MS
