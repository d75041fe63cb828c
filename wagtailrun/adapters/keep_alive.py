"""How long clients may reuse an idle connection, as answers announce it."""

from wagtailrun.clock import MS_PER_SECOND

__all__ = ["keep_alive_fields", "kept_idle_ms"]

# Time for the end of an answer to reach its client, and for the next request to come.
WAY_MS = 500


def keep_alive_fields(limit_ms: float) -> list[tuple[str, str]]:
    """Return the header fields that announce an idle time in whole seconds.

    Args:
        limit_ms: How long an idle connection is kept at least, in milliseconds; one
            that is too short for a second announces nothing.
    """
    seconds = _announced_s(limit_ms)
    if not seconds:
        return []
    return [("Connection", "keep-alive"), ("Keep-Alive", f"timeout={seconds}")]


def kept_idle_ms(limit_ms: float) -> int:
    """Return how long a connection is kept for what ``keep_alive_fields`` announces.

    Args:
        limit_ms: As for ``keep_alive_fields``, in milliseconds.

    Returns:
        Milliseconds from the end of the answer; 0 if it announces nothing.
    """
    seconds = _announced_s(limit_ms)
    return seconds * MS_PER_SECOND + WAY_MS if seconds else 0


def _announced_s(limit_ms: float) -> int:
    return max(int(limit_ms - WAY_MS) // MS_PER_SECOND, 0)
