"""Command that reports on the results of experiments."""

import importlib
import sys
from pathlib import Path
from typing import Any

from wagtailrun.cli.exit_codes import EXIT_REFUSED, EXIT_SUCCESS
from wagtailrun.cli.output import print_json, print_rows, printable
from wagtailrun.exceptions import SettingsError

__all__ = ["join_variants", "report"]

VARIANT_FLAG = "--variant"
SHORT_FLAG = "-v"


def report(
    *directories: str,
    variant: list[str] | None = None,
    html: str = "",
    force: bool = False,
    json: bool = False,
) -> int:
    """Report on the results of experiments; exit with 1 if some are missing.

    Example: wagtailrun report results --variant=base --variant=hedged

    Args:
        directories: One results directory, or two to compare.
        variant: Report on this variant only; given twice, compare the two.
        html: Write a page with plots to this file.
        force: Replace the file if it exists.
        json: Print JSON.
    """
    if not directories:
        raise SettingsError("name one results directory, or two to compare")
    # Imported here so that the other commands start faster.
    command = importlib.import_module("wagtailrun.experiments.reports.command")
    if html:
        command.require_packages(command.PAGE_PACKAGES)
        page_file = importlib.import_module("wagtailrun.experiments.reports.page_file")
        page_file.check_new(Path(html), force=force)
    found = command.read_report(directories, variant or [], _print_progress)
    if html:
        make_page = importlib.import_module(
            "wagtailrun.experiments.reports.page"
        ).make_page
        page_file.write_page(Path(html), make_page(found), force=force)
    if json:
        print_json(found.as_json())
    else:
        _print_texts(found)
    return EXIT_REFUSED if found.gaps else EXIT_SUCCESS


def join_variants(arguments: list[str]) -> list[str]:
    """Join repeated flags for variants; defopt would keep the last one only."""
    others: list[str] = []
    names: list[str] = []
    rest = iter(arguments)
    for argument in rest:
        if argument in (VARIANT_FLAG, SHORT_FLAG):
            names += [next(rest, "")]
        elif argument.startswith(f"{VARIANT_FLAG}="):
            names.append(argument.partition("=")[2])
        else:
            others.append(argument)
    end = others.index("--") if "--" in others else len(others)
    joined = [VARIANT_FLAG, *names] if names else []
    return others[:end] + joined + others[end:]


def _print_texts(found: Any) -> None:
    for gap in found.gaps:
        print(f"missing: {printable(gap)}")
    for note in found.notes:
        print(f"note: {printable(note)}")
    print_rows(found.summary_rows())
    print("\nfaults and planned work:")
    print_rows(found.outage_rows(), empty="none")
    print("\npromises:")
    print_rows(found.promise_rows(), empty="none")
    for each in found.comparisons():
        first, second = printable(each.first), printable(each.second)
        print(f"\nfirst: {first}; second: {second}; Student's t over paired seeds:")
        print_rows(each.rows())


def _print_progress(path: str) -> None:
    if sys.stderr.isatty():
        print(f"reading {printable(path)}", file=sys.stderr)
