"""Tests of what a daemon does before it serves: its imports and collections."""

import gc
import os
import subprocess
import sys
from pathlib import Path

import pytest
from wagtail_platform import __main__ as platform_main

from wagtailrun.process.start_objects import freeze_start_objects

PLATFORM = Path(__file__).parent.parent / "platform"
ENTRY = "import wagtail_platform.documents, wagtailrun.relay.entry"
CONTROL = "import wagtail_platform.control_calls, wagtailrun.relay.control"
SHOW = "import sys; print(*(name for name in sys.modules if name.startswith('wag')))"


@pytest.mark.parametrize(
    ("imports", "unneeded"),
    [
        (ENTRY, ["consensus.member", "consensus.messages", "registry", "control"]),
        (CONTROL, ["relay.requests", "relay.placement", "stages"]),
    ],
)
def test_role_does_not_import_what_only_the_other_one_needs(imports, unneeded):
    """Guards against a start that takes a sixth longer, when all wait for it."""
    command = [sys.executable, "-c", f"{imports}; {SHOW}"]
    environment = os.environ | {"PYTHONPATH": str(PLATFORM)}
    shown = subprocess.run(
        command, capture_output=True, text=True, check=True, env=environment
    )
    names = shown.stdout.split()
    assert "wagtailrun.discovery" in names
    found = [
        name
        for name in names
        for each in unneeded
        if f"{name}.".startswith(f"wagtailrun.{each}.")
    ]
    assert found == []


def test_imports_run_without_collections_which_the_daemon_has(monkeypatch):
    """Guards against collections at the start, and against a daemon without any."""
    seen = []

    def entry():
        seen.append(gc.isenabled())
        freeze_start_objects()
        seen.append(gc.isenabled())

    monkeypatch.setattr(platform_main, "entry", entry)
    monkeypatch.setattr(sys, "argv", ["wagtail_platform", "entry"])
    monkeypatch.setattr(platform_main.signal, "signal", lambda *arguments: None)
    try:
        platform_main.main()
    finally:
        gc.enable()
        gc.unfreeze()
    assert seen == [False, True]
