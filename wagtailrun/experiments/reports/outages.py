"""How soon callers are refused after a fault begins, and when they are served again."""

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Any

import attrs

from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.experiments.records import EventRecord, Outcome, RequestRecord

__all__ = ["FaultKey", "Outage", "Outages", "outage_row", "subject_text"]

MAX_SUBJECTS = 3


def subject_text(subject: Sequence[str]) -> str:
    """Return the names of a subject, or the first of them and the number of others."""
    more = len(subject) - MAX_SUBJECTS
    names = ", ".join(subject[:MAX_SUBJECTS])
    return f"{names} and {more} more" if more > 0 else names


@attrs.frozen
class FaultKey:
    """Fault or planned work, the same in all plays of a variant.

    Attributes:
        kind, subject: Kind and subject.
        planned: Whether it is planned work.
        number: Count of those of this kind and subject before it in the play.
    """

    kind: str
    subject: tuple[str, ...]
    planned: bool
    number: int


@attrs.define
class Stretch:
    """Requests whose intended start is in one part of a play.

    Attributes:
        from_ms, until_ms: Start and end of the part.
        last_unserved_ms, last_served_ms: Latest intended starts of requests that were
            not served in time, and of those that were.
    """

    from_ms: float
    until_ms: float
    last_unserved_ms: float = -math.inf
    last_served_ms: float = -math.inf

    def add(self, request: RequestRecord) -> None:
        """Count a request; one that starts elsewhere has no effect."""
        at_ms = request.intended_at_ms
        if not self.from_ms <= at_ms < self.until_ms:
            return
        if request.outcome is Outcome.SERVED:
            self.last_served_ms = max(self.last_served_ms, at_ms)
        else:
            self.last_unserved_ms = max(self.last_unserved_ms, at_ms)

    @property
    def unserved_for_ms(self) -> float | None:
        """Time until the last request that was not served in time; 0 without one.

        None if no request after it was served.
        """
        if self.last_unserved_ms == -math.inf:
            return 0.0
        if self.last_served_ms <= self.last_unserved_ms:
            return None
        return self.last_unserved_ms - self.from_ms


@attrs.define
class Outage:
    """What requests of one play experienced during one fault, and after it.

    Attributes:
        event: Fault or planned work.
        during: Requests from its start to its end.
        after: Those from its end to the start of the next one, or to the end of the
            play; None if it does not end within the play.
        first_refused_ms: Time of the first refusal of any of them; infinite without.
    """

    event: EventRecord
    during: Stretch
    after: Stretch | None
    first_refused_ms: float = math.inf

    def add(self, request: RequestRecord) -> None:
        """Count a request."""
        until_ms = self.during.until_ms if self.after is None else self.after.until_ms
        if not self.event.at_ms <= request.intended_at_ms < until_ms:
            return
        self.during.add(request)
        if self.after is not None:
            self.after.add(request)
        if request.outcome is Outcome.REFUSED:
            refused_ms = request.intended_at_ms + (request.ended_ms or 0)
            self.first_refused_ms = min(self.first_refused_ms, refused_ms)

    @property
    def refused_after_ms(self) -> float | None:
        """Time from the start to the first refusal; None without one."""
        known = self.first_refused_ms < math.inf
        return self.first_refused_ms - self.event.at_ms if known else None


class Outages:
    """The outages of one play, by fault.

    Args:
        events: Faults and planned work of the play.
        length_ms: Length of the play.
    """

    def __init__(self, events: Iterable[EventRecord], length_ms: float):
        self.by_fault: dict[FaultKey, Outage] = {}
        in_order = sorted(events, key=lambda event: (event.at_ms, repr(event)))
        numbers: Counter[tuple[str, tuple[str, ...], bool]] = Counter()
        for event in in_order:
            same = event.kind, event.subject, event.planned
            key = FaultKey(*same, numbers[same])
            numbers[same] += 1
            self.by_fault[key] = _make_outage(event, in_order, length_ms)

    def add(self, request: RequestRecord) -> None:
        """Count a request in each outage that it belongs to."""
        for outage in self.by_fault.values():
            outage.add(request)


def _make_outage(
    event: EventRecord, events: list[EventRecord], length_ms: float
) -> Outage:
    until_ms = length_ms if event.until_ms is None else event.until_ms
    during = Stretch(event.at_ms, until_ms)
    if event.until_ms is None or until_ms >= length_ms:
        return Outage(event, during, None)
    later_ms = [other.at_ms for other in events if other.at_ms > until_ms]
    return Outage(event, during, Stretch(until_ms, min([*later_ms, length_ms])))


def outage_row(of: str, key: FaultKey, outages: list[Outage]) -> dict[str, Any]:
    """Return the row of a table on one fault, over all plays of a variant.

    Args:
        of: Name of the variant.
        key: Fault.
        outages: What each play experienced.
    """
    starts_ms = [outage.event.at_ms for outage in outages]
    ends_ms = [outage.event.until_ms for outage in outages]
    ended = [outage.after for outage in outages if outage.after is not None]
    return {
        "fault": f"{key.kind}{' (planned)' * key.planned}: {subject_text(key.subject)}",
        "of": of,
        "start (s)": _span([ms / MS_PER_SECOND for ms in starts_ms]),
        "end (s)": _span(
            [None if ms is None else ms / MS_PER_SECOND for ms in ends_ms], "no end"
        ),
        "first refusal (ms after start)": _span(
            [outage.refused_after_ms for outage in outages]
        ),
        "served again (ms after start)": _span(
            [outage.during.unserved_for_ms for outage in outages], "not"
        ),
        "served again (ms after end)": _span(
            [stretch.unserved_for_ms for stretch in ended], "not"
        )
        if ended
        else "",
        "seeds": len(outages),
    }


def _span(values: Sequence[float | None], missing: str = "none") -> str:
    """Return the least and the largest value, and how many are missing."""
    known = [value for value in values if value is not None]
    if not known:
        return missing
    low, high = min(known), max(known)
    text = f"{low:,.10g}" + f" to {high:,.10g}" * (low != high)
    left_out = len(values) - len(known)
    return text + f", {missing} in {left_out} of {len(values)} seeds" * bool(left_out)
