"""Recognises checks of the platform, which are answered without room for requests."""

from collections.abc import Callable

import h11

__all__ = ["is_check"]

# Checks have a line and a few headers. Their heads are not refused for lack of memory,
# so they must be small; each is answered at once.
MAX_CHECK_BYTES = 4 * 1024
METHODS = frozenset({b"GET", b"HEAD"})
BODY_HEADERS = frozenset({b"content-length", b"transfer-encoding"})


def is_check(head: h11.Request, size: int, checks: Callable[[str], bool]) -> bool:
    """Return whether a request is a check of the platform, without a body.

    Args:
        head: Head of the request.
        size: What the head takes, in bytes.
        checks: Returns whether a path is that of a check.
    """
    if size > MAX_CHECK_BYTES or head.method not in METHODS:
        return False
    if any(name in BODY_HEADERS for name, _ in head.headers):
        return False
    return checks(head.target.decode("latin-1").partition("?")[0])
