"""What other entries of the data centre tell of their paths to targets."""

import enum
import math
from collections import Counter
from collections.abc import Iterable, Mapping

import attrs

from wagtailrun.clock import Clock
from wagtailrun.targets.table import TargetRow

__all__ = ["HINT_VALIDITY_MS", "HintFault", "PathHint", "PathHints"]

# An entry that does not reach a target confirms that every 2.5 s at the latest: an
# interval between probes and the timeout of one. Twice that outlasts a lost exchange.
HINT_VALIDITY_MS = 5_000


class HintFault(enum.Enum):
    """Why a hint is ignored."""

    AGE = "age"
    SOURCE = "source"
    SUBJECT = "subject"


@attrs.frozen
class PathHint:
    """That an entry could not reach a target, or any target of a data centre.

    Attributes:
        target: Name of the target; empty if the hint is of a data centre.
        data_centre: Name of the data centre; empty if the hint is of a target.
        age_ms: Time since the last attempt or probe that failed, in milliseconds.
    """

    target: str = ""
    data_centre: str = ""
    age_ms: int = 0


@attrs.define
class ReceivedHint:
    """The newest hint of a target or of a data centre.

    Attributes:
        observed_ms: When that entry failed last.
        probe_at_ms: When this entry is to probe next.
        probing: Whether a probe is in progress.
        reached_ms: Start of the newest attempt or probe of this entry that was
            answered; minus infinity before there was one.
    """

    observed_ms: int
    probe_at_ms: int
    probing: bool = False
    reached_ms: float = -math.inf


class PathHints:
    """Hints of other entries, until evidence of this entry ends them or they expire.

    What one data centre observes says nothing of the paths of another, so only hints
    from the own data centre count.

    Args:
        clock: Clock.
        data_centre: Data centre of this entry.
    """

    def __init__(self, clock: Clock, data_centre: str):
        self.clock = clock
        self.data_centre = data_centre
        self.hints_by_name: dict[str, ReceivedHint] = {}
        self.hints_by_data_centre: dict[str, ReceivedHint] = {}
        self.ignored_by_fault: Counter[HintFault] = Counter()

    @property
    def is_empty(self) -> bool:
        """Whether no hint is kept, in force or not."""
        return not (self.hints_by_name or self.hints_by_data_centre)

    @property
    def has_hints(self) -> bool:
        """Whether a hint is in force."""
        hints = (*self.hints_by_name.values(), *self.hints_by_data_centre.values())
        return any(map(self.is_in_force, hints))

    def is_in_force(self, hint: ReceivedHint) -> bool:
        """Return whether a hint neither expired nor was contradicted."""
        age_ms = self.clock.now_ms() - hint.observed_ms
        return hint.reached_ms < hint.observed_ms and age_ms <= HINT_VALIDITY_MS

    def is_hinted(self, row: TargetRow) -> bool:
        """Return whether a hint says that a target cannot be reached."""
        return any(map(self.is_in_force, self._hints_of(row)))

    def receive(
        self,
        data_centre: str,
        hints: Iterable[PathHint],
        rows_by_name: Mapping[str, TargetRow],
    ) -> list[PathHint]:
        """Take the hints of another entry; count those that cannot be used.

        Args:
            data_centre: Data centre of that entry.
            hints: Its hints.
            rows_by_name: All known targets.

        Returns:
            Those whose subject had no hint in force before.
        """
        begun: list[PathHint] = []
        for hint in hints:
            fault = self._fault_of(hint, data_centre, rows_by_name)
            if fault is not None:
                self.ignored_by_fault[fault] += 1
            elif self._put(hint):
                begun.append(hint)
        return begun

    def _fault_of(
        self,
        hint: PathHint,
        data_centre: str,
        rows_by_name: Mapping[str, TargetRow],
    ) -> HintFault | None:
        if not self.data_centre or data_centre != self.data_centre:
            return HintFault.SOURCE
        if not 0 <= hint.age_ms <= HINT_VALIDITY_MS:
            return HintFault.AGE
        if bool(hint.target) == bool(hint.data_centre):
            return HintFault.SUBJECT
        if hint.target:
            row = rows_by_name.get(hint.target)
            is_known = row is not None and not row.leaving
        else:
            present = {r.data_centre for r in rows_by_name.values() if not r.leaving}
            is_known = hint.data_centre in present - {self.data_centre}
        return None if is_known else HintFault.SUBJECT

    def _put(self, hint: PathHint) -> bool:
        """Keep a hint; return whether its subject now has one and had none before."""
        by_key = self.hints_by_name if hint.target else self.hints_by_data_centre
        now_ms = self.clock.now_ms()
        observed_ms = now_ms - hint.age_ms
        new = ReceivedHint(observed_ms, now_ms)
        known = by_key.setdefault(hint.target or hint.data_centre, new)
        was_in_force = known is not new and self.is_in_force(known)
        known.observed_ms = max(known.observed_ms, observed_ms)
        return self.is_in_force(known) and not was_in_force

    def record_answer(self, row: TargetRow, started_ms: int) -> None:
        """Record that a target answered an attempt or a probe of this entry.

        The record of the hint stays until it expires, so that the same observation
        does not come back with a later message.
        """
        for hint in self._hints_of(row):
            hint.reached_ms = max(hint.reached_ms, started_ms)

    def _hints_of(self, row: TargetRow) -> list[ReceivedHint]:
        found = (
            self.hints_by_name.get(row.name),
            self.hints_by_data_centre.get(row.data_centre),
        )
        return [hint for hint in found if hint is not None]

    def end_probe(self, row: TargetRow) -> list[ReceivedHint]:
        """Record the end of a probe; return the hints that had started it."""
        probed = [hint for hint in self._hints_of(row) if hint.probing]
        for hint in probed:
            hint.probing = False
        return probed

    def forget_target(self, name: str) -> None:
        """Drop the hint of a target, of which this entry has evidence of its own."""
        self.hints_by_name.pop(name, None)

    def forget_data_centre(self, name: str) -> None:
        """Drop the hint of a data centre, of which this entry has own evidence."""
        self.hints_by_data_centre.pop(name, None)

    def drop_expired(self, rows_by_name: Mapping[str, TargetRow]) -> None:
        """Drop hints that expired, and those of targets that have left."""
        present = {n for n, row in rows_by_name.items() if not row.leaving}
        centres = {rows_by_name[name].data_centre for name in present}
        oldest_ms = self.clock.now_ms() - HINT_VALIDITY_MS
        for hints_by_key, known in (
            (self.hints_by_name, present),
            (self.hints_by_data_centre, centres),
        ):
            for key, hint in list(hints_by_key.items()):
                expired = hint.observed_ms < oldest_ms and not hint.probing
                if expired or key not in known:
                    del hints_by_key[key]

    def due(self, hints_by_key: Mapping[str, ReceivedHint]) -> list[str]:
        """Return the keys of the hints in force whose probe is due."""
        now_ms = self.clock.now_ms()
        return [
            key
            for key, hint in hints_by_key.items()
            if not hint.probing
            and now_ms >= hint.probe_at_ms
            and self.is_in_force(hint)
        ]
