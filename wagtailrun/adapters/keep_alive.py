"""How long clients may reuse an idle connection, as answers announce it."""

from wagtailrun.clock import MS_PER_SECOND

__all__ = ["keep_alive_fields", "keep_alive_s", "kept_ms"]

# Time for the end of an answer to reach its client, and for the next request to come.
WAY_MS = 500


def keep_alive_s(limit_ms: float) -> int:
    """Return the idle time to announce, in seconds; 0 if it is too short for that.

    Args:
        limit_ms: How long an idle connection is kept at least, in milliseconds.
    """
    return max(int(limit_ms - WAY_MS) // MS_PER_SECOND, 0)


def kept_ms(announced_s: int) -> int:
    """Return how long after an answer a request may still come, in milliseconds.

    Args:
        announced_s: Idle time that the answer announced, in seconds.
    """
    return announced_s * MS_PER_SECOND + WAY_MS


def keep_alive_fields(announced_s: int) -> list[tuple[str, str]]:
    """Return the header fields that announce an idle time; none if it is 0."""
    if not announced_s:
        return []
    return [
        ("Connection", "keep-alive"),
        ("Keep-Alive", f"timeout={announced_s}"),
    ]
