"""Strips above a plot over time, one for each fault and planned work."""

from collections.abc import Iterable
from typing import Any

import attrs
from matplotlib.artist import Artist
from matplotlib.axes import Axes
from matplotlib.patches import Patch

from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.experiments.records import EventRecord
from wagtailrun.experiments.reports.outages import subject_text
from wagtailrun.experiments.reports.tally import Tally

__all__ = [
    "STRIP_INCHES",
    "Strip",
    "draw_strips",
    "event_text",
    "handles",
    "make_strips",
    "mark",
]

# Height of a strip with its text.
STRIP_INCHES = 0.19
# With more, the strips of one kind become one.
MAX_STRIPS = 10
# Fits into a third of the width, which a strip leaves free on a side or fills.
MAX_LABEL = 44
# Shortest strip, as a share of the play, so that it can be seen.
MIN_SHARE = 1 / 200
# Fills are plain: viewers without patterns draw a hatched one black. No line of the
# plots below has these colours.
COLOURS = {False: "#F0E442", True: "#BBBBBB"}
NAMES = {False: "fault", True: "planned work"}
EDGE = "#000000"
MARK = "#777777"


@attrs.frozen
class Strip:
    """Times of one fault or planned work, of all seeds, in seconds.

    Attributes:
        label: Kind and subject.
        planned: Whether it is planned work.
        spans_s: Start and end of each time, in order and apart from each other.
    """

    label: str
    planned: bool
    spans_s: tuple[tuple[float, float], ...]


def make_strips(tally: Tally) -> list[Strip]:
    """Return the strips in order of time, at most ``MAX_STRIPS``."""
    groups: dict[tuple[bool, str, str], list[EventRecord]] = {}
    for event in tally.events:
        key = event.planned, event.kind, subject_text(event.subject)
        groups.setdefault(key, []).append(event)
    if len(groups) > MAX_STRIPS:
        by_kind: dict[tuple[bool, str, str], list[EventRecord]] = {}
        for (planned, kind, _), events in groups.items():
            by_kind.setdefault((planned, kind, "several"), []).extend(events)
        groups = by_kind
    strips = [
        Strip(f"{kind}: {subject}" if subject else kind, planned, _spans(tally, events))
        for (planned, kind, subject), events in groups.items()
    ]
    strips = [strip for strip in strips if strip.spans_s]
    strips.sort(key=lambda strip: (strip.spans_s, strip.planned, strip.label))
    return strips[:MAX_STRIPS]


def _spans(
    tally: Tally, events: Iterable[EventRecord]
) -> tuple[tuple[float, float], ...]:
    """Return the times of events, with those that touch joined."""
    spans: list[tuple[float, float]] = []
    for start_s, end_s in sorted(_clipped(tally, event) for event in events):
        if spans and start_s <= spans[-1][1]:
            spans[-1] = (spans[-1][0], max(spans[-1][1], end_s))
        elif start_s < end_s:
            spans.append((start_s, end_s))
    return tuple(spans)


def _clipped(tally: Tally, event: EventRecord) -> tuple[float, float]:
    """Return start and end in seconds; at least as long as can be seen."""
    until_ms = tally.length_ms if event.until_ms is None else event.until_ms
    shown_ms = max(until_ms, event.at_ms + tally.length_ms * MIN_SHARE)
    return event.at_ms / MS_PER_SECOND, min(shown_ms, tally.length_ms) / MS_PER_SECOND


def draw_strips(axes: Axes, strips: list[Strip], length_s: float) -> None:
    """Draw strips from the top down, each with its label beside it."""
    for row, strip in enumerate(strips):
        for start_s, end_s in strip.spans_s:
            colour = COLOURS[strip.planned]
            style: Any = {"color": colour, "edgecolor": EDGE, "linewidth": 0.5}
            axes.barh(row, end_s - start_s, left=start_s, height=0.8, **style)
        _draw_label(axes, row, strip, length_s)
    axes.set_ylim(len(strips) - 0.5, -0.5)
    axes.set_yticks([])
    axes.grid(visible=False)
    axes.tick_params(bottom=False)
    for spine in axes.spines.values():
        spine.set_visible(False)


def _draw_label(axes: Axes, row: int, strip: Strip, length_s: float) -> None:
    """Draw the label after, before or on the strip, where there is most room."""
    start_s, end_s = strip.spans_s[0][0], strip.spans_s[-1][1]
    after_s, before_s, on_s = length_s - end_s, start_s, end_s - start_s
    is_before = before_s > max(after_s, on_s)
    is_after = not is_before and after_s >= on_s
    text = strip.label
    axes.annotate(
        text if len(text) <= MAX_LABEL else f"{text[: MAX_LABEL - 3]}...",
        (end_s if is_after else start_s, row),
        xytext=(-4 if is_before else 4, 0),
        textcoords="offset points",
        horizontalalignment="right" if is_before else "left",
        verticalalignment="center",
        fontsize=8,
    )


def mark(axes: Axes, strips: list[Strip]) -> None:
    """Mark the start and the end of each strip by a thin line."""
    edges_s = {edge for strip in strips for span in strip.spans_s for edge in span}
    for edge_s in sorted(edges_s):
        axes.axvline(edge_s, color=MARK, linewidth=0.6, linestyle=":", zorder=0)


def handles(strips: list[Strip]) -> list[Artist]:
    """Return what the legend shows of faults and planned work."""
    return [
        Patch(label=NAMES[kind], facecolor=COLOURS[kind], edgecolor=EDGE, linewidth=0.5)
        for kind in sorted({strip.planned for strip in strips})
    ]


def event_text(tally: Tally) -> str:
    """Return a sentence on faults and planned work."""
    if not tally.events:
        return "No fault and no planned work."
    events_by_kind: dict[str, list[EventRecord]] = {}
    for event in sorted(tally.events, key=lambda event: (event.at_ms, repr(event))):
        kind = f"{event.kind} ({NAMES[event.planned]})"
        events_by_kind.setdefault(kind, []).append(event)
    texts = [_times_text(kind, events) for kind, events in events_by_kind.items()]
    return f"Strips, of any seed: {'; '.join(texts)}."


def _times_text(kind: str, events: list[EventRecord]) -> str:
    """Return when events of one kind took place, and to whom a single one did."""
    ends_ms = [event.until_ms for event in events]
    last_ms = None if None in ends_ms else max(ms for ms in ends_ms if ms is not None)
    start = f"{events[0].at_ms / MS_PER_SECOND:g} s"
    end = "the end" if last_ms is None else f"{last_ms / MS_PER_SECOND:g} s"
    time = f"at {start}" if start == end else f"{start} to {end}"
    if len(events) > 1:
        return f"{kind}, {len(events)} times, {time}"
    return f"{kind}, {subject_text(events[0].subject)}, {time}"
