"""Deselects exactly the tests listed in KNOWN-RED.txt, and prints them; fixtures."""

import random
import shlex
import signal
from pathlib import Path

import pytest
from hypothesis import settings

from tests.garbage import only_new_objects
from tests.process_groups import GroupScheduling
from wagtailrun.logs import events

KNOWN_FAILURES_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
# Format of a line: test id | command | seed | observed failure | issue
FIELDS_PER_ENTRY = 5

settings.register_profile("fixed", derandomize=True, deadline=None, database=None)
settings.load_profile("fixed")


def load_known_failures() -> dict[str, str]:
    """Return the entries of KNOWN-RED.txt by test id."""
    entries = {}
    if not KNOWN_FAILURES_FILE.exists():
        return entries
    for line in KNOWN_FAILURES_FILE.read_text(encoding="utf-8").splitlines():
        if line.strip() and not line.startswith("#"):
            fields = [field.strip() for field in line.split("|")]
            if len(fields) != FIELDS_PER_ENTRY:
                raise pytest.UsageError(
                    f"KNOWN-RED.txt: entry without {FIELDS_PER_ENTRY} fields: {line!r}"
                )
            entries[fields[0]] = line
    return entries


def pytest_addoption(parser):
    group = parser.getgroup("wagtailrun")
    group.addoption(
        "--shuffle", metavar="SEED", help="run the test modules in a random order"
    )
    group.addoption(
        "--omit-known-red",
        action="store_true",
        help="do not print the entries of KNOWN-RED.txt",
    )


@pytest.hookimpl(optionalhook=True)
def pytest_xdist_make_scheduler(config, log):
    is_grouped = config.getoption("dist") == "loadgroup"
    return GroupScheduling(config, log) if is_grouped else None


def pytest_collection_modifyitems(config, items):
    entries = load_known_failures()
    deselected = [item for item in items if item.nodeid in entries]
    is_whole_suite = not config.getoption("file_or_dir")
    missing = entries.keys() - {item.nodeid for item in items}
    if is_whole_suite and missing:
        raise pytest.UsageError(f"KNOWN-RED.txt lists unknown tests: {sorted(missing)}")
    config.hook.pytest_deselected(items=deselected)
    items[:] = [item for item in items if item.nodeid not in entries]
    seed = config.getoption("shuffle")
    if seed is not None:
        shuffle_modules(items, seed)


def shuffle_modules(items, seed):
    """Put the modules of ``items`` in a random order, the same in each worker."""
    items_by_module = {}
    for item in items:
        items_by_module.setdefault(item.path, []).append(item)
    modules = list(items_by_module)
    random.Random(seed).shuffle(modules)
    items[:] = [item for module in modules for item in items_by_module[module]]


def pytest_terminal_summary(terminalreporter, config):
    failed = [*terminalreporter.getreports("failed")]
    failed += terminalreporter.getreports("error")
    for name in dict.fromkeys(report.nodeid for report in failed):
        command = shlex.join([".venv/bin/python", "-m", "pytest", name])
        terminalreporter.write_line(f"run alone: {command}")
    if not config.getoption("omit_known_red"):
        for line in load_known_failures().values():
            terminalreporter.write_line(f"KNOWN-RED: {line}")


@pytest.fixture(autouse=True)
def collections_of_new_objects(request):
    """Keep collections of the suite's own objects out of the time of network tests."""
    if request.node.get_closest_marker("network") is None:
        yield
    else:
        with only_new_objects():
            yield


@pytest.fixture
def logged(monkeypatch):
    """Return the events that are logged, with their fields."""
    lines = []
    monkeypatch.setattr(
        events, "log", lambda event, **fields: lines.append((event, fields))
    )
    return lines


@pytest.fixture
def stop_signal():
    """Return a function that sends this process a signal to stop.

    The handlers and the timer that an entry installed are removed at the end.
    """
    numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGALRM)
    handlers = {number: signal.getsignal(number) for number in numbers}
    yield lambda: signal.raise_signal(signal.SIGTERM)
    signal.setitimer(signal.ITIMER_REAL, 0)
    for number, handler in handlers.items():
        signal.signal(number, handler)
