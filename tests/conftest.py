"""Passes over exactly the tests that KNOWN-RED.txt lists, and prints them."""

from pathlib import Path

import pytest
from hypothesis import settings

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
# Lines are: test id | command | seed | what was seen | issue.
FIELDS_PER_ENTRY = 5

settings.register_profile("fixed", derandomize=True, deadline=None, database=None)
settings.load_profile("fixed")


def known_red() -> dict[str, str]:
    """Return the entries of KNOWN-RED.txt by test id."""
    entries = {}
    if not KNOWN_RED.exists():
        return entries
    for line in KNOWN_RED.read_text(encoding="utf-8").splitlines():
        if line.strip() and not line.startswith("#"):
            fields = [field.strip() for field in line.split("|")]
            if len(fields) != FIELDS_PER_ENTRY:
                raise pytest.UsageError(f"KNOWN-RED.txt: malformed entry {line!r}")
            entries[fields[0]] = line
    return entries


def pytest_collection_modifyitems(config, items):
    entries = known_red()
    passed_over = [item for item in items if item.nodeid in entries]
    whole_suite = not config.getoption("file_or_dir")
    missing = entries.keys() - {item.nodeid for item in items}
    if whole_suite and missing:
        raise pytest.UsageError(f"KNOWN-RED.txt lists unknown tests: {sorted(missing)}")
    config.hook.pytest_deselected(items=passed_over)
    items[:] = [item for item in items if item.nodeid not in entries]


def pytest_terminal_summary(terminalreporter):
    for line in known_red().values():
        terminalreporter.write_line(f"KNOWN-RED: {line}")
