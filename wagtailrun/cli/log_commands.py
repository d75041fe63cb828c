"""Commands that read the log files of the relay's processes."""

import sys
from collections.abc import Sequence
from itertools import chain
from typing import Any

from wagtailrun.cli.exit_codes import EXIT_REFUSED, EXIT_SUCCESS
from wagtailrun.cli.explain import lines_of_request, steps_of_request
from wagtailrun.cli.output import print_json, print_rows, printable
from wagtailrun.exceptions import SettingsError
from wagtailrun.observation.log_files import open_lines, read_files
from wagtailrun.observation.part_report import PartReport
from wagtailrun.observation.restart_report import RestartReport
from wagtailrun.observation.stage_report import StageReport

__all__ = ["explain", "parts", "recovery", "stages"]


def explain(request_id: str, *logs: str) -> int:
    """Print the events of one request, and where the time of its steps went.

    Steps without a row were done in time, or the logs have no line of them.

    Example: wagtailrun explain 9c41d07be2a35f68 front-1.log front-2.log

    Args:
        request_id: Identifier that the caller gave the request.
        logs: Log files; standard input if none is given.
    """
    lines = chain.from_iterable(map(open_lines, logs)) if logs else sys.stdin
    found = lines_of_request(request_id, lines)
    if not found:
        print(f"no log line has request_id {request_id}", file=sys.stderr)
        return EXIT_REFUSED
    for line in found:
        print(printable(line.text(found[0].time_s)))
    if steps := steps_of_request(found):
        print("\nsteps that were abandoned, late, moved or waited for long:")
        print_rows(steps)
    return EXIT_SUCCESS


def stages(*logs: str, json: bool = False) -> int:
    """Show the load of stage services and the ends of requests; exit with 1 for gaps.

    Example: wagtailrun stages front-1.log front-2.log core-1.log

    Args:
        logs: Log files of the relay's processes.
        json: Print JSON.
    """
    if not logs:
        raise SettingsError("no log file is given")
    report = StageReport(read_files(logs))
    tables = {
        "seconds": report.second_rows(),
        "services": report.service_rows(),
        "routes": report.route_rows(),
    }
    return _print_report(tables, report.gaps(), json)


def parts(*logs: str, json: bool = False) -> int:
    """Show which shared prompt parts engines read again; exit with 1 for gaps.

    Example: wagtailrun parts front-1.log front-2.log core-1.log

    Args:
        logs: Log files of the relay's processes.
        json: Print JSON.
    """
    if not logs:
        raise SettingsError("no log file is given")
    report = PartReport(read_files(logs))
    tables = {
        "uses": report.use_rows(),
        "routes": report.route_rows(),
        "targets": report.target_rows(),
        "owners": report.owner_rows(),
    }
    return _print_report(tables, report.gaps(), json)


def recovery(*logs: str, number: int = 0, json: bool = False) -> int:
    """Show how the system came to serve after a restart of everything.

    The exit code is 1 if the logs have gaps.

    Example: wagtailrun recovery front-1.log front-2.log core-1.log

    Args:
        logs: Log files of the relay's processes.
        number: Which restart of everything to show, from 1; by default the last one.
        json: Print JSON.
    """
    if not logs:
        raise SettingsError("no log file is given")
    if number < 0:
        raise SettingsError("the number of a restart is at least 1")
    report = RestartReport(read_files(logs), number)
    tables = {
        "restart": report.restart_rows(),
        "steps": report.step_rows() if report.restart else [],
        "processes": report.process_rows(),
        "routes": report.route_rows(),
        "seconds": report.second_rows(),
    }
    return _print_report(tables, report.gaps(), json)


def _print_report(
    tables: dict[str, list[dict[str, Any]]], gaps: Sequence[str], as_json: bool
) -> int:
    """Print the tables of a report and what the logs lack; return the exit code."""
    if as_json:
        print_json({**tables, "gaps": gaps})
    else:
        for name, rows in tables.items():
            print(f"{name}:")
            print_rows(rows, empty="none")
            print()
        print("gaps in the logs:" if gaps else "gaps in the logs: none")
        for gap in gaps:
            print(f"  {printable(gap)}")
    return EXIT_REFUSED if gaps else EXIT_SUCCESS
