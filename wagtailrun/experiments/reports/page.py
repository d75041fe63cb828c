"""Page of a report: one HTML text without references to anything outside."""

import re
from importlib import resources

from jinja2 import Environment, StrictUndefined

from wagtailrun.experiments.reports import plots
from wagtailrun.experiments.reports.command import Report
from wagtailrun.experiments.reports.comparison import METHOD

__all__ = ["make_page"]

NUMBER = re.compile(r"-?[\d,]+(\.\d+)?|none")


def make_page(report: Report) -> str:
    """Return the page; the same report gives the same text."""
    names = dict.fromkeys(side.run.name for side in report.sides)
    drawn = [plots.latency(report.sides)]
    for side in report.sides:
        tally = side.tally
        drawn += [
            plots.outcomes_over_time(side, "data centre", tally.centres),
            plots.outcomes_over_time(side, "workspace", tally.workspaces),
            plots.refusals(side),
            plots.stages(side),
            plots.places(side),
        ]
    environment = Environment(
        autoescape=True, undefined=StrictUndefined, trim_blocks=True
    )
    source = resources.files("wagtailrun.experiments.reports").joinpath(
        "page.html.jinja"
    )
    return environment.from_string(source.read_text("utf-8")).render(
        title=f"Experiment {' and '.join(names)}",
        report=report,
        plots=drawn,
        method=METHOD,
        is_number=lambda cell: NUMBER.fullmatch(str(cell)),
    )
