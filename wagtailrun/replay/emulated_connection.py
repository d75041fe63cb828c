"""Connections of emulated links, which end as those of an entry to its targets do."""

import attrs

from wagtailrun.exceptions import TargetFailed
from wagtailrun.replay.emulated_target import EmulatedTarget

__all__ = [
    "FIRST_RETRANSMISSION_MS",
    "KEEPALIVE_INTERVAL_MS",
    "KEEPALIVE_TIMEOUT_MS",
    "MAX_IDLE_MS",
    "MAX_IDLE_PER_TARGET",
    "SEND_TIMEOUT_MS",
    "EmulatedConnection",
]

# The limits of the pool of idle connections, and of the sockets of an entry.
MAX_IDLE_MS = 15_000
MAX_IDLE_PER_TARGET = 32
KEEPALIVE_INTERVAL_MS = 1_000
# Without a packet for this long, the operating system ends a connection: while nothing
# was sent, and after a request was sent that is not acknowledged.
KEEPALIVE_TIMEOUT_MS = 5_000
SEND_TIMEOUT_MS = 4_500
# Delay until a lost packet is sent again; it doubles each time.
FIRST_RETRANSMISSION_MS = 200


@attrs.define(eq=False)
class EmulatedConnection:
    """A connection to one incarnation of a target.

    Attributes:
        target: Target.
        incarnation: Incarnation of the target.
        stalled: Whether it delivers nothing, though packets are acknowledged.
        ends_ms: When the operating system ends it, as its path loses all packets; None
            if the path does not.
        idle_since_ms: When it was returned to the pool.
    """

    target: EmulatedTarget
    incarnation: int
    stalled: bool = False
    ends_ms: int | None = None
    idle_since_ms: int = 0

    def lose_path(self, now_ms: int) -> None:
        """Lose all packets from now on, unless it does already."""
        if self.ends_ms is None:
            self.ends_ms = now_ms + KEEPALIVE_TIMEOUT_MS

    def restore_path(self, now_ms: int) -> None:
        """Deliver packets again, unless it has ended."""
        if not self.has_ended(now_ms):
            self.ends_ms = None

    def has_ended(self, now_ms: int) -> bool:
        """Return whether the operating system has ended it."""
        return self.ends_ms is not None and now_ms >= self.ends_ms

    def check_end(self, now_ms: int) -> None:
        """Raise TargetFailed if the operating system has ended it."""
        if self.has_ended(now_ms):
            raise TargetFailed("the connection timed out", closed=True)

    def is_reusable(self, now_ms: int) -> bool:
        """Return whether the pool may still give it to a request."""
        is_expired = now_ms - self.idle_since_ms >= MAX_IDLE_MS
        return not is_expired and not self.has_ended(now_ms)
