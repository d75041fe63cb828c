"""Filter of targets that asked for a pause, for both entries."""

import random
from collections.abc import Callable, Collection, Hashable, Sequence

import attrs

from wagtailrun.clock import MS_PER_SECOND, Clock
from wagtailrun.targets.filters import TargetFilter
from wagtailrun.targets.table import TargetRow

__all__ = ["MAX_PAUSE_MS", "PauseRules", "TargetPauses"]

# A target may ask for a pause of any length; a new incarnation ends it.
MAX_PAUSE_MS = 24 * 3_600 * MS_PER_SECOND


@attrs.frozen
class PauseRules:
    """Rules in which the two entries differ.

    Attributes:
        key: Returns what identifies a target. Without the incarnation, the pause of a
            later one replaces that of an earlier one.
        jitter_share: Entries that a target paused together return at random times: the
            delay is at most this share of the pause.
        max_jitter_ms: Longest delay.
        trial_timeout_ms: After a pause one request is sent at first. Without an answer,
            another one follows after this time.
    """

    key: Callable[[TargetRow], Hashable]
    jitter_share: float = 0.0
    max_jitter_ms: int = 0
    trial_timeout_ms: int = 0


@attrs.define
class _Pause:
    """Pause that a target asked for.

    Attributes:
        row: The target.
        until_ms: End of the pause.
        trial_until_ms: Until when the request that ended it may take; 0 before it.
    """

    row: TargetRow
    until_ms: int
    trial_until_ms: int = 0


class TargetPauses(TargetFilter):
    """Ends of the pauses that targets asked for.

    A pause holds for a target that leaves the candidates for a while, or is dropped.

    Args:
        clock: Clock.
        rules: Rules of the entry.
        seed: Seed of the random return after a pause.
        successor: Returns the target that is now known by the key of another, which may
            be the same; by default none. The pause of a known target is kept after its
            end, until its trial ends.

    Attributes:
        last_end_ms: When no target pauses any more, trials aside.
    """

    def __init__(
        self,
        clock: Clock,
        rules: PauseRules,
        seed: int | None = None,
        successor: Callable[[TargetRow], TargetRow | None] = lambda row: None,
    ):
        self.clock = clock
        self.rules = rules
        self.random = random.Random(seed)
        self.successor = successor
        self.pauses_by_key: dict[Hashable, _Pause] = {}
        self.last_end_ms = 0

    def admitted(
        self,
        rows: Sequence[TargetRow],
        entry: str,
        avoid: Collection[str] = (),
        *,
        prompt_tokens: int = 0,
        begin: bool = True,
        costs_more: Callable[[TargetRow], bool] = lambda row: False,
    ) -> list[TargetRow]:
        """Return the targets that do not pause, or all if no other can serve.

        One that can serve may have no room now; work then waits for it.
        """
        free = [row for row in rows if not self.left_ms(row)]
        return free if any(row.name not in avoid for row in free) else list(rows)

    def left_ms(self, row: TargetRow) -> int:
        """Return how long a target wants no requests; 0 if it does not pause."""
        pause = self._pause(row)
        if pause is None:
            return 0
        return max(max(pause.until_ms, pause.trial_until_ms) - self.clock.now_ms(), 0)

    def row(self, key: Hashable) -> TargetRow | None:
        """Return the target of a pause, which may be known here only."""
        pause = self.pauses_by_key.get(key)
        return None if pause is None else pause.row

    def record_pause(self, row: TargetRow, asked_ms: int) -> int:
        """Record that a target asked for a pause; a shorter one ends none.

        Returns:
            Length of the pause in milliseconds, without a random delay.
        """
        self._drop_expired()
        pause_ms = min(asked_ms, MAX_PAUSE_MS)
        jitter_ms = min(pause_ms * self.rules.jitter_share, self.rules.max_jitter_ms)
        until_ms = self.clock.now_ms() + pause_ms
        until_ms += int(self.random.uniform(0, jitter_ms))
        key, known = self.rules.key(row), self._pause(row)
        if known is not None:
            # An answer to an earlier request may arrive after one to a later request.
            until_ms = max(until_ms, known.until_ms)
        if known is not None or key not in self.pauses_by_key:
            self.pauses_by_key[key] = _Pause(row, until_ms)
            self.last_end_ms = max(self.last_end_ms, until_ms)
        return pause_ms

    def begin_trial(self, row: TargetRow) -> None:
        """Record that a request is sent after a pause, if the target asked for one."""
        pause = self._pause(row)
        if pause is not None:
            pause.trial_until_ms = self.clock.now_ms() + self.rules.trial_timeout_ms

    def end_trial(self, row: TargetRow) -> None:
        """End a pause after an answer that asks for none."""
        pause = self._pause(row)
        if pause is not None and pause.until_ms <= self.clock.now_ms():
            del self.pauses_by_key[self.rules.key(row)]

    def _pause(self, row: TargetRow) -> _Pause | None:
        """Return the pause of a target, and drop that of one that it replaced."""
        pause = self.pauses_by_key.get(self.rules.key(row))
        if pause is None or pause.row.incarnation == row.incarnation:
            return pause
        # Answers of an earlier incarnation may arrive late.
        if pause.row.name != row.name or pause.row.incarnation < row.incarnation:
            del self.pauses_by_key[self.rules.key(row)]
        return None

    def _drop_expired(self) -> None:
        """Drop the pauses of targets that were replaced, or are not known any more."""
        now_ms = self.clock.now_ms()
        for key, pause in list(self.pauses_by_key.items()):
            row = self.successor(pause.row)
            is_gone = row is None and pause.until_ms <= now_ms
            # A target whose clock was set back has a smaller incarnation.
            is_replaced = row is not None and row.incarnation != pause.row.incarnation
            if is_gone or is_replaced:
                del self.pauses_by_key[key]
