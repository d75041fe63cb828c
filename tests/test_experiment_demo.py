"""Tests of the experiments in demo/experiments, and of the page's example."""

import re
from pathlib import Path

import pytest

from wagtailrun.experiments.play import play_scenario
from wagtailrun.experiments.reading import load_experiment

ROOT = Path(__file__).parent.parent
FILES = sorted((ROOT / "demo" / "experiments").glob("*.toml"))
PATHS = ROOT / "demo/experiments/paths-and-announcements.toml"
PAGE = ROOT / "docs" / "experiments.md"


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_demo_is_accepted(path):
    """Guards against an example that the check refuses."""
    assert load_experiment(path).name == path.stem


def test_demos_are_there():
    """Guards against a test run that passes because it finds no examples."""
    assert len(FILES) == 5


def test_shortened_calm_hour_keeps_its_promises(tmp_path):
    """Guards against an example whose promises do not hold on a calm fleet."""
    text = (ROOT / "demo/experiments/calm-hour.toml").read_text("utf-8")
    text = text.replace("length_s = 3600", "length_s = 60")
    fleet = (ROOT / "demo/fleet.toml").as_posix()
    path = tmp_path / "short.toml"
    path.write_text(text.replace("../fleet.toml", fleet))
    (scenario,) = load_experiment(path).scenarios_by_variant.values()
    records = play_scenario(scenario, 1, lambda at_ms: None)
    assert len(records.requests) > 60
    assert all(promise.held for promise in records.promises), records.promises


def test_example_of_the_page_is_accepted(tmp_path):
    """Guards against an example on the operators' page that the check refuses."""
    (example,) = re.findall(r"```toml\n(.*?)```", PAGE.read_text("utf-8"), re.DOTALL)
    fleet = (ROOT / "demo/fleet.toml").as_posix()
    path = tmp_path / "example.toml"
    path.write_text(example.replace("../fleet.toml", fleet))
    assert load_experiment(path).scenarios_by_variant


def test_page_names_each_key():
    """Guards against a key that an operator can only find in the code."""
    page = PAGE.read_text("utf-8")
    for module in ("reading", "loads", "faults", "tables"):
        path = ROOT / "wagtailrun" / "experiments" / f"{module}.py"
        code = path.read_text("utf-8")
        for key in re.findall(r'(?:table|links|root)(?:\.\w+\(|, )"(\w+)"', code):
            assert re.search(rf"`\[*{key}\]*`", page), key


@pytest.mark.parametrize("variant", load_experiment(PATHS).scenarios_by_variant)
def test_faults_of_paths_and_announcements_leave_sound_targets_in_use(variant):
    """Guards against refusals beside sound targets while paths or reports are lost."""
    scenario = load_experiment(PATHS).scenarios_by_variant[variant]
    records = play_scenario(scenario, 1, lambda at_ms: None)
    assert [promise for promise in records.promises if not promise.held] == []
