"""Tests of parsing and validating the fleet text."""

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wagtailrun.exceptions import FleetTextError
from wagtailrun.fleet.model import parse_fleet_text

DEMO = (Path(__file__).parent.parent / "demo" / "fleet.toml").read_text("utf-8")


def test_demo_text_is_accepted():
    """Guards against a validation that rejects the demo's fleet text."""
    fleet = parse_fleet_text(DEMO)
    assert [stage.kind for stage in fleet.pipelines_by_name["stockist-query"].stages]
    assert not fleet.services_by_name["dispatch-desk"].checks_fencing


@pytest.mark.parametrize(
    ("old", "new", "fault"),
    [
        ("share = 3", "share = -3", "workspaces.stockists.share"),
        ("share = 3", "shares = 3", "known keys: priority, share"),
        ('kind = "rerank"', 'kind = "sort"', "stages[2].kind"),
        ('service = "engines"', 'service = "motors"', "'motors' is no service"),
        ('depends_on = ["encoders"]', 'depends_on = ["engines"]', "break the cycle"),
        ("deadline_ms = 8000", "deadline_ms = true", "deadline_ms"),
        ("[fleet]", "[fleet", "not valid TOML"),
    ],
)
def test_fault_names_key_and_remedy(old, new, fault):
    """Guards against a fault that is accepted, or reported without key and remedy."""
    with pytest.raises(FleetTextError) as error:
        parse_fleet_text(DEMO.replace(old, new, 1))
    assert fault in str(error.value)


@given(st.data())
def test_mutated_text_is_parsed_or_refused(data):
    """Guards against exceptions other than FleetTextError on any text."""
    start = data.draw(st.integers(0, len(DEMO)))
    length = data.draw(st.integers(0, 40))
    text = DEMO[:start] + data.draw(st.text(max_size=20)) + DEMO[start + length :]
    try:
        parse_fleet_text(text)
    except FleetTextError as error:
        assert error.faults
