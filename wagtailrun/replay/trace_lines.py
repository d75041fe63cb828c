"""Parsing of the lines of a recorded trace."""

import json
from collections.abc import Iterable
from typing import Any

import attrs

from wagtailrun.logs import events

__all__ = ["TraceLine", "parse_lines"]


@attrs.frozen
class TraceLine:
    """One line of a trace that is not blank.

    Attributes:
        number: Number of the line, from 1 on.
        text: The line.
        value: What it contains, or None with an error.
        error: Why it is no JSON, or None.
    """

    number: int
    text: str
    value: Any = None
    error: Exception | None = None

    @property
    def is_header(self) -> bool:
        """Whether a process began to record with this line."""
        return isinstance(self.value, dict) and self.value.get("kind") == "header"


def parse_lines(lines: Iterable[str]) -> list[TraceLine]:
    """Return the lines of a trace without those left unfinished.

    A process that ends in a write leaves an unfinished line, and the next process
    writes its header behind it. Any other line that is no JSON is a fault of the trace
    and is returned with its error.
    """
    parsed = [
        _parse(number, line) for number, line in enumerate(lines, 1) if line.strip()
    ]
    kept = []
    precedes_header = False
    for line in reversed(parsed):
        if line.error is None:
            precedes_header = line.is_header
        if line.error is None or not precedes_header:
            kept.append(line)
    if len(kept) < len(parsed):
        events.log(events.TRACE_LINES_SKIPPED, lines=len(parsed) - len(kept))
    return kept[::-1]


def _parse(number: int, text: str) -> TraceLine:
    try:
        return TraceLine(number, text, json.loads(text))
    except (ValueError, RecursionError) as error:
        return TraceLine(number, text, error=error)
