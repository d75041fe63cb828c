"""Tests of the settings."""

from pathlib import Path

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from wagtailrun.exceptions import SettingsError
from wagtailrun.settings import (
    SETTINGS_CLASSES,
    ControlSettings,
    EntrySettings,
    known_variables,
    load_settings,
    secret_from_environment,
    settings_rows,
)

PAGE = Path(__file__).parent.parent / "docs" / "settings.md"
SECRET = "0123456789abcdef"
FLAGS = {
    "name": "entry-1",
    "data_centre": "east",
    "caller_address": "10.0.0.1:8080",
    "target_address": "10.0.0.1:8081",
    "peer_address": "10.0.0.1:8082",
}
ENVIRONMENT = {"WAGTAILRUN_PEER_SECRET": SECRET, "HOME": "/"}


def faults_of(flags, environment=ENVIRONMENT, cls=EntrySettings):
    with pytest.raises(SettingsError) as error:
        load_settings(cls, flags, environment)
    return str(error.value).splitlines()


def test_flag_goes_before_variable_and_default():
    """Guards against a source that overrides one of higher precedence."""
    environment = {
        **ENVIRONMENT,
        "WAGTAILRUN_NAME": "other",
        "WAGTAILRUN_DRAIN_LIMIT_MS": "40000",
    }
    loaded = load_settings(EntrySettings, FLAGS, environment)
    assert loaded.settings.name == "entry-1"
    assert loaded.settings.drain_limit_ms == 40_000
    assert loaded.settings.drain_notice_ms == 5_000
    lines = loaded.lines()
    assert "name=entry-1  # flag" in lines
    assert "drain_limit_ms=40000  # WAGTAILRUN_DRAIN_LIMIT_MS" in lines
    assert "drain_notice_ms=5000  # default" in lines
    assert "peer_secret=(hidden)  # WAGTAILRUN_PEER_SECRET" in lines
    assert SECRET not in "\n".join(lines) + repr(loaded)


def test_every_fault_is_reported_at_once():
    """Guards against errors that report only one of several faults."""
    flags = {
        "name": "a b",
        "caller_address": "localhost:1",
        "peer_address": "10.0.0.1:99999",
        "drain_notice_ms": "5s",
        "gossip_interval_ms": "1",
    }
    environment = {"WAGTAILRUN_PEER_SECRET": "short", "WAGTAILRUN_DRAIN_LIMITMS": "1"}
    faults = faults_of(flags, environment)
    for name in (*flags, "data_centre", "target_address", "peer_secret"):
        assert any(fault.startswith(f"{name}:") for fault in faults), name
    assert any("nearest known name is WAGTAILRUN_DRAIN_LIMIT_MS" in f for f in faults)
    assert "short" not in "\n".join(faults)


def test_conflicts_are_refused():
    """Guards against accepting settings that are valid alone but conflict."""
    assert "drain_limit_ms" in faults_of({**FLAGS, "drain_limit_ms": "10"})[0]
    same = {**FLAGS, "target_address": FLAGS["caller_address"]}
    assert "its own port" in faults_of(same)[0]
    same = {**FLAGS, "peer_listen_address": FLAGS["caller_address"]}
    assert "its own port" in faults_of(same)[0]


def test_secret_from_a_file(tmp_path):
    """Guards against a secret file that is ignored, or whose error is not reported."""
    path = tmp_path / "secret"
    path.write_text(SECRET + "\n")
    loaded = load_settings(EntrySettings, {**FLAGS, "peer_secret_file": str(path)}, {})
    assert loaded.settings.peer_secret == SECRET.encode()
    environment = {"WAGTAILRUN_PEER_SECRET_FILE": str(tmp_path / "none")}
    assert "cannot read" in faults_of(FLAGS, environment)[0]
    environment = {"WAGTAILRUN_OPERATOR_CREDENTIAL_FILE": str(path)}
    assert secret_from_environment("OPERATOR_CREDENTIAL", environment) == SECRET
    with pytest.raises(SettingsError):
        secret_from_environment("OPERATOR_CREDENTIAL", {})


@given(
    st.sampled_from(SETTINGS_CLASSES),
    st.dictionaries(
        st.sampled_from([f.name for c in SETTINGS_CLASSES for f in attrs.fields(c)]),
        st.text(max_size=30),
    ),
    st.dictionaries(st.sampled_from(known_variables()), st.text(max_size=30)),
)
def test_any_text_is_read_or_refused(cls, flags, environment):
    """Guards against exceptions other than SettingsError on any text."""
    try:
        load_settings(cls, flags, environment)
    except SettingsError as error:
        assert str(error)


def test_bootstrap_members():
    """Guards against members that are lost, and duplicate names."""
    flags = {**FLAGS, "operator_address": "10.0.0.1:1", "data_folder": "/data"}
    flags["bootstrap"] = "a=10.0.0.1:2, b=10.0.0.2:2"
    environment = {**ENVIRONMENT, "WAGTAILRUN_OPERATOR_CREDENTIAL": SECRET}
    loaded = load_settings(ControlSettings, flags, environment)
    assert [name for name, _ in loaded.settings.bootstrap] == ["a", "b"]
    flags["bootstrap"] = "a=10.0.0.1:2,a=10.0.0.2:2"
    assert "twice" in faults_of(flags, environment, ControlSettings)[0]


def test_page_lists_exactly_the_settings():
    """Guards against a documentation page that differs from the code."""
    lines = PAGE.read_text("utf-8").splitlines()
    rows = [line for line in lines if line.startswith("| `--")]
    assert rows == [row for cls in SETTINGS_CLASSES for row in settings_rows(cls)]
