"""Commands that print reports on the log files of relay daemons."""

from typing import Any

from wagtailrun.cli.exit_codes import EXIT_REFUSED, EXIT_SUCCESS
from wagtailrun.cli.output import print_json, print_rows, printable
from wagtailrun.exceptions import SettingsError
from wagtailrun.observation.log_files import read_files
from wagtailrun.observation.part_report import PartReport
from wagtailrun.observation.stage_report import StageReport

__all__ = ["LOG_REPORT_COMMANDS"]


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


def _print_report(
    tables: dict[str, list[dict[str, Any]]], gaps: list[str], json: bool
) -> int:
    """Print the tables of a report and what the logs lack; return the exit code."""
    if json:
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


LOG_REPORT_COMMANDS = [stages, parts]
