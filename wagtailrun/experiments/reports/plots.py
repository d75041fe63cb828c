"""Plots of the page, as SVG texts without references to anything outside."""

import html
import io
import math
import re
from collections import Counter
from collections.abc import Callable, Iterator, Mapping, Sequence, Sized
from contextlib import contextmanager
from typing import Any

import attrs
import matplotlib
import numpy as np
from matplotlib.artist import Artist
from matplotlib.axes import Axes
from matplotlib.figure import Figure
from matplotlib.lines import Line2D
from matplotlib.ticker import LogLocator

from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.experiments.records import Outcome
from wagtailrun.experiments.reports import strips
from wagtailrun.experiments.reports.figures import Side
from wagtailrun.experiments.reports.tally import WAITS, Cell, Refused, Tally, Use

__all__ = ["Plot", "latency", "outcomes_over_time", "places", "refusals", "stages"]

# Colours of Okabe and Ito, which colour-blind readers can tell apart; line styles,
# markers and the order of the parts of a bar are the second cue. No fill is hatched:
# viewers without patterns draw a hatched one black.
BLUE, ORANGE, GREEN, PURPLE = "#0072B2", "#E69F00", "#009E73", "#CC79A7"
VERMILION, SKY, YELLOW, BLACK = "#D55E00", "#56B4E9", "#F0E442", "#000000"
COLOURS = (BLUE, VERMILION, GREEN, BLACK, PURPLE, ORANGE, SKY)
DOTS: tuple[Any, ...] = ((0, (5, 1, 1, 1, 1, 1)), (0, (1, 3)), (0, (8, 3)))
LINES = ("-", "--", "-.", ":", *DOTS)
MARKERS = ("o", "s", "^", "D", "v", "P", "X")
OUTCOME_COLOURS = (BLUE, ORANGE, PURPLE, BLACK, VERMILION)
OUTCOME_STYLES = [
    (outcome, {"color": colour, "linestyle": line, "linewidth": 1.6})
    for outcome, colour, line in zip(Outcome, OUTCOME_COLOURS, LINES, strict=False)
]
WAIT_COLOURS = (SKY, YELLOW, ORANGE, VERMILION)
MAX_PANELS = 6
MAX_LINES = len(COLOURS)
MAX_BARS = 12
MAX_LINEAR_RATIO = 10
MARKED = 8
PERCENTILES = (50, 75, 90, 95, 99, 99.9)
WIDTH_INCHES = 9.0
STYLE: Any = {
    "svg.hashsalt": "wagtailrun",
    "svg.fonttype": "path",
    # Names may contain a dollar sign.
    "text.parse_math": False,
    "figure.constrained_layout.use": True,
    "axes.grid": True,
    "grid.alpha": 0.4,
    "axes.axisbelow": True,
    "axes.spines.top": False,
    "axes.spines.right": False,
    "font.size": 9,
}


@attrs.frozen
class Plot:
    """Plot of the page; ``svg`` is empty where there was nothing to draw."""

    title: str
    caption: str
    svg: str


@contextmanager
def _style() -> Iterator[None]:
    """Set the style; a matplotlibrc of the user has no influence."""
    with matplotlib.rc_context():
        matplotlib.rcdefaults()
        matplotlib.rcParams.update(STYLE)
        yield


def _fix_layout(figure: Figure) -> None:
    """Lay a figure out once, at positions that do not depend on the order of sums.

    The solver's sums differ in the last digit from one call to the next, which would
    change the names of clip paths.
    """
    figure.draw_without_rendering()
    figure.set_layout_engine("none")
    for axes in figure.axes:
        left, bottom, width, height = axes.get_position().bounds
        axes.set_position(
            (round(left, 6), round(bottom, 6), round(width, 6), round(height, 6))
        )


def render(figure: Figure, title: str) -> str:
    """Return a figure as an SVG element; the same figure gives the same text."""
    _fix_layout(figure)
    text = io.StringIO()
    names = ("Creator", "Date", "Format", "Type")
    figure.savefig(text, format="svg", metadata=dict.fromkeys(names))
    svg = text.getvalue()
    svg = svg[svg.index("<svg") :]
    # In a page of HTML, names of namespaces and of groups serve nothing, and the
    # groups of several figures would have the same names.
    svg = re.sub(r' xmlns(:\w+)?="[^"]*"', "", svg)
    svg = re.sub(r'<g id="[a-z_0-9.]+_\d+">', "<g>", svg)
    return svg.replace("<svg", f'<svg role="img" aria-label="{html.escape(title)}"', 1)


def _drawn(title: str, caption: str, draw: Callable[[], Figure]) -> Plot:
    with _style():
        return Plot(title, caption, render(draw(), title))


def _busiest(counts: Mapping[str, float], limit: int) -> list[str]:
    """Return the names with the most, as many as fit; the most first."""
    return sorted(counts, key=lambda name: (-counts[name], name))[:limit]


def _left_out(all_names: Sized, shown: Sized) -> str:
    """Return a sentence on what a plot has no room for."""
    count = len(all_names) - len(shown)
    text = f" Not shown, for lack of room: {count} of {len(all_names)}."
    return text if count else ""


def outcomes_over_time(side: Side, kind: str, cells: Counter[Cell]) -> Plot:
    """Plot requests by outcome over time, with a panel for each name.

    Args:
        side: Variant.
        kind: What the names are, as ``data centre``.
        cells: Counts of requests by name.
    """
    totals: Counter[str] = Counter()
    for cell, number in cells.items():
        totals[cell.name] += number
    names = _busiest(totals, MAX_PANELS)
    caption = (
        f"Requests a second by {kind} and outcome, by their intended start, in "
        f"intervals of {side.tally.interval_ms / MS_PER_SECOND:g} s; mean of the seeds "
        f"{side.seeds}.{_left_out(totals, names)} {strips.event_text(side.tally)}"
    )

    def draw() -> Figure:
        shown = strips.make_strips(side.tally)
        figure, panels = _panels_over_time(side.tally, shown, len(names), 1.5)
        for name, axes in zip(names, panels, strict=True):
            for outcome, style in OUTCOME_STYLES:
                rates, edges_s = _rates(side.tally, cells, name, outcome)
                if any(rates):
                    axes.stairs(rates, edges_s, baseline=None, **style)
            axes.set_title(f"{name} ({totals[name]:,} requests)", loc="left")
            axes.set_ylabel("requests/s")
            axes.set_ylim(bottom=0)
        counts = side.tally.outcomes
        handles: list[Artist] = [
            Line2D([], [], label=f"{outcome} ({counts[outcome]:,})", **style)
            for outcome, style in OUTCOME_STYLES
        ]
        _add_legend(figure, handles + strips.handles(shown))
        return figure

    title = f"Outcomes over time by {kind}: {side.label}"
    if not names:
        return Plot(title, "No request starts within the play.", "")
    return _drawn(title, caption, draw)


def _rates(
    tally: Tally, cells: Counter[Cell], name: str, outcome: Outcome
) -> tuple[list[float], list[float]]:
    """Return requests a second by interval, and the edges of intervals in seconds."""
    count = math.ceil(tally.length_ms / tally.interval_ms)
    edges = [min(i * tally.interval_ms, tally.length_ms) for i in range(count + 1)]
    edges_s = [edge / MS_PER_SECOND for edge in edges]
    rates = [
        cells[Cell(name, outcome, i)] / (tally.plays * (edges_s[i + 1] - edges_s[i]))
        for i in range(count)
    ]
    return rates, edges_s


def _panels_over_time(
    tally: Tally, shown: list[strips.Strip], count: int, panel_inches: float
) -> tuple[Figure, list[Axes]]:
    """Return a figure with panels over the time of a play, below the strips.

    Args:
        tally: Tally of the plays.
        shown: Strips of faults and planned work.
        count: Number of panels.
        panel_inches: Height of a panel.
    """
    heights = [panel_inches] * count
    if shown:
        heights.insert(0, strips.STRIP_INCHES * len(shown))
    figure = Figure(figsize=(WIDTH_INCHES, 0.9 + sum(heights)))
    grid = figure.subplots(
        len(heights), sharex=True, squeeze=False, height_ratios=heights
    )
    rows: list[Axes] = list(grid[:, 0])
    length_s = tally.length_ms / MS_PER_SECOND
    if shown:
        strips.draw_strips(rows[0], shown, length_s)
    panels = rows[-count:]
    for axes in panels:
        strips.mark(axes, shown)
    panels[-1].set_xlabel("time since the start of the play (s)")
    panels[-1].set_xlim(0, length_s)
    return figure, panels


def _add_legend(figure: Figure, handles: Sequence[Artist]) -> None:
    """Add a legend above the panels; a row holds four entries."""
    figure.legend(handles=handles, loc="outside upper center", ncols=4, handlelength=4)


def refusals(side: Side) -> Plot:
    """Plot refused requests by reason and by how long they were held."""
    totals: Counter[str] = Counter()
    for key, number in side.tally.refusals.items():
        totals[key.reason] += number
    reasons = _busiest(totals, MAX_BARS)[::-1]
    caption = (
        "Refused requests by reason, and by the time from the intended start to the "
        f"refusal; mean of the seeds {side.seeds}.{_left_out(totals, reasons)}"
    )

    def draw() -> Figure:
        parts = {}
        for wait in WAITS:
            counts = [side.tally.refusals[Refused(r, wait)] for r in reasons]
            parts[f"held {wait}"] = [count / side.tally.plays for count in counts]
        return _draw_bars(reasons, parts, WAIT_COLOURS, "refused requests a seed")

    title = f"Refusals by reason: {side.label}"
    if not reasons:
        return Plot(title, "No request was refused.", "")
    return _drawn(title, caption, draw)


def _draw_bars(
    names: list[str],
    parts: Mapping[str, list[float]],
    colours: Sequence[str],
    unit: str,
) -> Figure:
    """Draw a horizontal bar for each name, stacked of parts by their labels."""
    figure = Figure(figsize=(WIDTH_INCHES, 1.4 + 0.35 * len(names)))
    axes = figure.subplots()
    places, start = range(len(names)), [0.0] * len(names)
    for index, (label, widths) in enumerate(parts.items()):
        look: Any = {"color": colours[index], "edgecolor": BLACK}
        axes.barh(places, widths, left=start, label=label, linewidth=0.5, **look)
        start = [a + b for a, b in zip(start, widths, strict=True)]
    axes.set_yticks(places, names)
    axes.set_xlim(0, 1.03 * max(start) or 1)
    axes.set_xlabel(unit)
    axes.grid(visible=False, axis="y")
    _add_legend(figure, axes.get_legend_handles_labels()[0])
    return figure


def latency(sides: list[Side]) -> Plot:
    """Plot times to the first token and to the end of complete answers."""
    caption = (
        "Time from the intended start, by percentile: to the first token (or answer) "
        "of all requests that have one, and to the end of complete answers, in time or "
        "late. Requests without one are not in it, nor percentiles above the largest "
        "but one request. Over all requests of the seeds "
        + "; ".join(f"{side.seeds} ({side.label})" for side in sides[:MAX_LINES])
        + f".{_left_out(sides, sides[:MAX_LINES])}"
    )

    def draw() -> Figure:
        figure = Figure(figsize=(WIDTH_INCHES, 3.6))
        panels = figure.subplots(ncols=2)
        names = {"first": "first token", "end": "complete answer"}
        for (field, name), axes in zip(names.items(), panels, strict=True):
            for index, side in enumerate(sides[:MAX_LINES]):
                times = getattr(side.tally, field)
                rest = [times.get_total_count() * (1 - p / 100) for p in PERCENTILES]
                # A percentile above the last request would repeat the largest value.
                shown = [p for p, r in zip(PERCENTILES, rest, strict=True) if r >= 1]
                axes.plot(
                    range(len(shown)),
                    [times.get_value_at_percentile(p) for p in shown],
                    label=_label(side.label),
                    # Lines that coincide stay visible: the later, the thinner.
                    linewidth=max(1.2, 3.6 - 0.8 * index),
                    **_line_style(index),
                )
            axes.set_title(name, loc="left")
            axes.set_xticks(range(len(PERCENTILES)), [f"{p:g}" for p in PERCENTILES])
            axes.set_xlabel("percentile of requests (%)")
            _scale(axes)
        _add_legend(figure, panels[0].lines)
        return figure

    return _drawn("Latency by percentile", caption, draw)


def _scale(axes: Axes) -> None:
    """Set a scale of times on which the lower percentiles can be told apart."""
    values = [y for line in axes.lines for y in np.asarray(line.get_ydata())]
    if values and max(values) > MAX_LINEAR_RATIO * max(min(values), 1):
        axes.set_yscale("log")
        axes.set_ylabel("time (ms, log scale)")
        axes.yaxis.set_major_locator(LogLocator(subs=(1, 2, 5)))
        axes.yaxis.set_major_formatter("{x:,.0f}")
        axes.yaxis.set_minor_formatter("")
    else:
        axes.set_ylabel("time (ms)")
        axes.set_ylim(bottom=0)


def _label(name: str) -> str:
    """Return a name for a legend, which leaves out those that begin with "_"."""
    return f" {name}" if name.startswith("_") else name


def _line_style(index: int) -> dict[str, Any]:
    style = {"color": COLOURS[index], "linestyle": LINES[index], "markersize": 4}
    return {**style, "marker": MARKERS[index]}


def stages(side: Side) -> Plot:
    """Plot where the time of targets and requests went, by stage."""
    tally = side.tally
    names = _busiest(tally.run_ms, MAX_BARS)[::-1]
    caption = (
        "Time a request, by stage: before the attempt that counted was sent (queue), "
        "and at the target (run); at the bottom, time of targets whose work was not "
        f"used. Mean of all requests of the seeds {side.seeds}."
        f"{_left_out(tally.run_ms, names)}"
    )

    def draw() -> Figure:
        parts = {
            "queue": [0, *(tally.queue_ms[name] for name in names)],
            "run": [0, *(tally.run_ms[name] for name in names)],
            "run, not used": [tally.wasted_ms, *(0 for _ in names)],
        }
        means = {k: [v / tally.requests for v in row] for k, row in parts.items()}
        labels, colours = ["(not used)", *names], (ORANGE, BLUE, BLACK)
        return _draw_bars(labels, means, colours, "mean time a request (ms)")

    title = f"Time by stage: {side.label}"
    if not names:
        return Plot(title, "No request has a step.", "")
    return _drawn(title, caption, draw)


def places(side: Side) -> Plot:
    """Plot the share of targets' places in use over time, by service."""
    tally = side.tally
    totals: Counter[str] = Counter()
    for use, capacity in tally.capacity.items():
        totals[use.service] += math.ceil(capacity)
    names = _busiest(totals, MAX_LINES)
    caption = (
        "Requests that run, as a share of those that the present targets can run at "
        f"once, by service, in intervals of {tally.interval_ms / MS_PER_SECOND:g} s; "
        f"mean of the samples of the seeds {side.seeds}.{_left_out(totals, names)}"
    )

    def draw() -> Figure:
        shown = strips.make_strips(tally)
        figure, (axes,) = _panels_over_time(tally, shown, 1, 2.6)
        count = math.ceil(tally.length_ms / tally.interval_ms)
        interval_s = tally.interval_ms / MS_PER_SECOND
        middles_s = [(i + 0.5) * interval_s for i in range(count)]
        lines: list[Artist] = []
        for index, name in enumerate(names):
            uses = [Use(name, i) for i in range(count)]
            places = [tally.capacity.get(use) or math.nan for use in uses]
            running = [tally.running.get(use, 0) for use in uses]
            shares = [100 * r / p for r, p in zip(running, places, strict=True)]
            marked = (index * count // (MARKED * MAX_LINES), max(1, count // MARKED))
            style = {"markevery": marked, **_line_style(index)}
            lines += axes.plot(middles_s, shares, label=_label(name), **style)
        axes.set_ylabel("places in use (%)")
        axes.set_ylim(bottom=0)
        _add_legend(figure, [*lines, *strips.handles(shown)])
        return figure

    title = f"Places in use: {side.label}"
    if not names:
        return Plot(title, "No sample has a place.", "")
    return _drawn(title, caption, draw)
