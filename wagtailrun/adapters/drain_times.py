"""How long a process that stops waits for requests that are on their way."""

from collections.abc import Callable

from wagtailrun.clock import Clock

__all__ = [
    "DRAIN_IDLE_POLLS",
    "MAX_REQUEST_WAIT_MS",
    "request_wait_ms",
    "sleep_until_idle",
]

# How long a process that stops waits for requests on the connections it has accepted,
# while it accepts no others. Linux sends a lost segment again after 200 ms, and after
# 400 ms more if that one is lost, too. A short grace period leaves less time.
MAX_REQUEST_WAIT_MS = 1_000
REQUEST_WAITS_PER_GRACE = 8
DRAIN_POLL_MS = 50
# A draining process is idle after this many polls without a request; a connection that
# the kernel has just accepted shows its request by then.
DRAIN_IDLE_POLLS = 4


def request_wait_ms(grace_ms: int) -> int:
    """Return how long before its end a process that stops accepts no connections.

    Args:
        grace_ms: Time between the signal and the end, in milliseconds.
    """
    return min(MAX_REQUEST_WAIT_MS, grace_ms // REQUEST_WAITS_PER_GRACE)


async def sleep_until_idle(
    clock: Clock,
    is_idle: Callable[[], bool],
    limit_ms: int,
    needed_polls: int = DRAIN_IDLE_POLLS,
) -> None:
    """Return when a draining process has no more requests, or the time is over.

    Args:
        clock: Clock.
        is_idle: Returns whether the process has no request now.
        limit_ms: When to return at the latest, on the clock.
        needed_polls: After how many polls in a row without a request to return.
    """
    idle_polls = 0
    while idle_polls < needed_polls and clock.now_ms() < limit_ms:
        await clock.sleep_ms(DRAIN_POLL_MS)
        idle_polls = idle_polls + 1 if is_idle() else 0
