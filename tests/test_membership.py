"""Tests of the table of known targets."""

import random

import attrs
import pytest

from wagtailrun.ports.link import Address
from wagtailrun.targets.table import ROW_RETENTION_MS, Membership, TargetRow

ROW = TargetRow("t", Address("10.0.0.1", 1), "s", "east", incarnation=5, sequence=7)


def names(membership, now_ms):
    return [row.name for row in membership.usable("s", now_ms)]


def test_target_is_usable_only_with_recent_announcements():
    """Guards against work for a target without an announcement for 2,500 ms."""
    membership = Membership()
    membership.put(ROW, 0)
    assert names(membership, 2_499) == ["t"]
    assert names(membership, 2_500) == []
    assert not membership.put(ROW, 2_600)
    assert names(membership, 2_600) == []
    assert membership.put(attrs.evolve(ROW, sequence=8), 2_600)
    assert names(membership, 2_600) == ["t"]


@pytest.mark.parametrize("field", ["leaving", "silent", "running", "address"])
def test_old_incarnation_changes_nothing(field):
    """Guards against a delayed row of a former incarnation that replaces the newer."""
    value = Address("10.0.0.9", 9) if field == "address" else 1
    membership = Membership()
    membership.put(ROW, 0)
    old = attrs.evolve(ROW, incarnation=4, sequence=1_000, **{field: value})
    assert not membership.put(old, 10)
    assert membership.targets_by_name["t"] == ROW


def test_shutdown_is_final_for_its_incarnation():
    """Guards against a delayed announcement that undoes a shutdown."""
    membership = Membership()
    membership.put(attrs.evolve(ROW, leaving=True), 0)
    assert not membership.put(attrs.evolve(ROW, sequence=9), 1)
    assert names(membership, 1) == []
    assert membership.put(attrs.evolve(ROW, incarnation=6, sequence=0), 2)
    assert names(membership, 2) == ["t"]


def test_rows_in_any_order_have_the_same_result():
    """Guards against entries that disagree because of the order of their rows."""
    rows = [
        attrs.evolve(ROW, incarnation=i, sequence=s, leaving=leaving, silent=silent)
        for i in (1, 2)
        for s in (1, 2)
        for leaving in (False, True)
        for silent in (False, True)
    ]
    kept = set()
    for seed in range(100):
        random.Random(seed).shuffle(rows)
        membership = Membership()
        for row in rows + rows[:5]:
            membership.put(row, 0)
        kept.add(membership.targets_by_name["t"])
    assert len(kept) == 1


def test_dropped_row_does_not_return():
    """Guards against a gone target that a formerly partitioned entry brings back."""
    membership = Membership()
    membership.put(attrs.evolve(ROW, leaving=True), 0)
    membership.drop_expired_rows(ROW_RETENTION_MS - 1)
    assert membership.targets_by_name
    membership.drop_expired_rows(ROW_RETENTION_MS)
    assert not membership.targets_by_name
    assert not membership.put(ROW, ROW_RETENTION_MS, age_ms=ROW_RETENTION_MS)
    assert membership.state_log.digest == 0


def test_service_change_moves_the_row():
    """Guards against a target that stays in the index of its former service."""
    membership = Membership()
    membership.put(ROW, 0)
    membership.put(attrs.evolve(ROW, service="other", sequence=8), 0)
    assert names(membership, 0) == []
    assert len(membership.usable("other", 0)) == 1


def test_versions_outlive_the_rows_that_named_them():
    """Guards against a version that is forgotten while its streams may go on.

    Rows are replaced by newer incarnations, also before they arrive. Guards against
    versions that are kept for ever, too, and against contact that there was not.
    """
    membership = Membership()
    for number, version in [(1, "v1"), (3, "v3"), (2, "v2")]:
        row = attrs.evolve(ROW, incarnation=number, software_version=version)
        membership.put(row, 10 * number)
    assert membership.versions_since("s", 20) == {"v2", "v3"}
    membership.mark_unresponsive("t", 50)
    assert membership.versions_since("s", 50) == set()
    membership.drop_expired_rows(20 + ROW_RETENTION_MS)
    assert membership.versions_since("s", 0) == {"v3"}
    membership.drop_expired_rows(30 + ROW_RETENTION_MS)
    assert membership.contact_ms_by_version == {}


def test_only_local_targets_are_usable():
    """Guards against ``usable`` returning targets of another data centre."""
    membership = Membership("west")
    membership.put(ROW, 0)
    assert names(membership, 0) == []
    assert membership.fallback("s", 0) == [ROW]


def test_usable_reads_only_rows_of_the_service():
    """Guards against a routing decision that scans all 250 targets."""
    membership = Membership()
    for number in range(250):
        row = attrs.evolve(ROW, name=f"t{number}", service=f"s{number % 25}")
        membership.put(row, 0)
    membership.targets_by_name = None  # A scan would fail.
    assert len(membership.usable("s1", 0)) == 10
