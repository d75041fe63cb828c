"""Attempts of an entry whose ends it has not reported yet."""

import attrs

from wagtailrun.clock import Clock
from wagtailrun.targets.table import TargetRow

__all__ = ["RUN_LIFETIME_MS", "PlacedAttempt", "PlacedAttempts"]

# A run whose end is not reported expires after this time, at the owner and at its
# entry; the longest streams take 12 s.
RUN_LIFETIME_MS = 20_000


@attrs.frozen
class PlacedAttempt:
    """An attempt of this entry in progress.

    Attributes:
        owner: Process that placed it, by name and incarnation; None if this one did.
        row: Its target as known when it was placed; None if it was not known.
        parts: Names of the parts of its prompt, without the last.
        placed_ms: When it was placed.
    """

    owner: tuple[str, int] | None
    row: TargetRow | None
    parts: tuple[str, ...]
    placed_ms: int


class PlacedAttempts:
    """Who placed each attempt in progress, by request and target.

    As at the owner, attempts expire. No end is reported where the caller leaves while a
    closed connection is probed.

    Args:
        clock: Clock.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        # The oldest ones come first.
        self.attempts_by_key: dict[tuple[str, str], PlacedAttempt] = {}

    def __len__(self) -> int:
        return len(self.attempts_by_key)

    def add(
        self,
        key: tuple[str, str],
        owner: tuple[str, int] | None,
        row: TargetRow | None,
        parts: tuple[str, ...],
    ) -> None:
        """Keep an attempt that starts now, in place of an earlier one at its target."""
        now_ms = self.clock.now_ms()
        while self.attempts_by_key:
            oldest, attempt = next(iter(self.attempts_by_key.items()))
            if attempt.placed_ms > now_ms - RUN_LIFETIME_MS:
                break
            del self.attempts_by_key[oldest]
        self.attempts_by_key.pop(key, None)
        self.attempts_by_key[key] = PlacedAttempt(owner, row, parts, now_ms)

    def find(self, key: tuple[str, str]) -> PlacedAttempt | None:
        """Return an attempt, None if it is not known."""
        return self.attempts_by_key.get(key)

    def end(self, key: tuple[str, str]) -> PlacedAttempt | None:
        """Drop an attempt, and return it if it was known."""
        return self.attempts_by_key.pop(key, None)
