"""How long clients may reuse an idle connection, as answers announce it."""

from wagtailrun.clock import MS_PER_SECOND

__all__ = ["keep_alive_fields"]

# Time for the end of an answer to reach its client, and for the next request to come.
WAY_MS = 500


def keep_alive_fields(limit_ms: float) -> list[tuple[str, str]]:
    """Return the header fields that announce an idle time in whole seconds.

    Args:
        limit_ms: How long an idle connection is kept at least, in milliseconds; one
            that is too short for a second announces nothing.
    """
    seconds = int(limit_ms - WAY_MS) // MS_PER_SECOND
    if seconds < 1:
        return []
    return [("Connection", "keep-alive"), ("Keep-Alive", f"timeout={seconds}")]
