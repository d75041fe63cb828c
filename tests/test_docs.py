"""Tests that the examples and commands in the documentation work."""

import re
import subprocess
import sys
from pathlib import Path

import pytest

from wagtailrun.settings import ControlSettings, EntrySettings, flag_name

ROOT = Path(__file__).parent.parent
PAGES = sorted((ROOT / "docs").glob("*.md")) + [ROOT / "README.md"]
COMMANDS = {
    "entry", "control", "check", "plan", "apply", "status", "targets", "orders",
    "refusals", "costs", "audit", "found", "replay", "report", "explain", "stages",
    "recovery", "experiment", "parts",
}  # fmt: skip


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_commands_and_flags_exist(page):
    """Guards against documented commands and flags that do not exist."""
    text = page.read_text("utf-8")
    for command in re.findall(r"^ +wagtailrun ([a-z]+)", text, re.MULTILINE):
        assert command in COMMANDS, command
    flags = {"entry": EntrySettings, "control": ControlSettings}
    for name, cls in flags.items():
        known = {flag_name(field) for field in cls.__attrs_attrs__}
        for block in re.findall(rf"wagtailrun {name} ((?:.*\\\n)*.*)", text):
            for flag in re.findall(r"--[a-z-]+(?==)", block):
                assert flag in known, flag


def test_check_of_the_operating_page():
    """Guards against a documented first command that fails."""
    page = (ROOT / "docs" / "operating.md").read_text("utf-8")
    (arguments,) = re.findall(r"^ +wagtailrun (check .*)$", page, re.MULTILINE)
    command = [sys.executable, "-m", "wagtailrun", *arguments.split()]
    result = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    assert result.returncode == 0, result.stderr
    assert "pipelines" in result.stdout


def test_examples_of_the_embedding_page():
    """Guards against documented examples that do not run."""
    page = (ROOT / "docs" / "embedding.md").read_text("utf-8")
    blocks = re.findall(r"```python\n(.*?)```", page, re.DOTALL)
    assert len(blocks) == 3
    for block in blocks:
        exec(compile(block, "embedding.md", "exec"), {"__name__": "example"})
