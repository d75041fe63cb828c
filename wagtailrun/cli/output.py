"""Prints rows as a table, JSON or CSV."""

import csv
import json
import sys
from collections.abc import Sequence
from typing import Any, TextIO

__all__ = ["print_json", "print_rows", "printable", "printable_lines"]


def printable(value: Any) -> str:
    """Return a value as text, with unprintable characters replaced."""
    if isinstance(value, dict | list | tuple):
        value = json.dumps(value)
    text = "" if value is None else str(value)
    return "".join(c if c.isprintable() else "\N{REPLACEMENT CHARACTER}" for c in text)


def print_json(value: Any, file: TextIO | None = None) -> None:
    """Print a value as indented JSON."""
    print(json.dumps(value, indent=1), file=file or sys.stdout)


def print_rows(
    rows: Sequence[dict[str, Any]],
    *,
    as_json: bool = False,
    as_csv: bool = False,
    empty: str = "nothing",
) -> None:
    """Print rows with one column for each key.

    Args:
        rows: Rows.
        as_json: Whether to print one JSON array.
        as_csv: Whether to print comma-separated values.
        empty: Text to print instead of an empty table.
    """
    if as_json:
        print_json(rows)
        return
    names = list(dict.fromkeys(name for row in rows for name in row))
    if as_csv:
        writer = csv.writer(sys.stdout, lineterminator="\n")
        writer.writerow(names)
        for row in rows:
            writer.writerow([printable(row.get(name, "")) for name in names])
        return
    if not rows:
        print(empty)
        return
    table = [list(map(printable, names))]
    table += [[printable(row.get(name, "")) for name in names] for row in rows]
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    for line in table:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        print("  ".join(cells).rstrip())


def printable_lines(text: Any) -> str:
    """Return ``text`` with unprintable characters, except line breaks, replaced."""
    return "\n".join(map(printable, str(text).split("\n")))
