"""Tests of the replicated state of evacuations."""

import json

import pytest

from tests.test_registry import T0, Driver
from wagtailrun.registry import messages as rm
from wagtailrun.registry.evacuations import (
    MAX_EVACUATIONS,
    MAX_WITHDRAWALS,
    EvacuationOrder,
)
from wagtailrun.registry.state import Registry


class Orders(Driver):
    """Registry that evacuation orders are applied to."""

    @property
    def state(self):
        return self.registry.evacuations

    def order(self, name, evacuates=True, base=None):
        if base is None:
            base = self.state.version
        command = EvacuationOrder(name, evacuates, base).command("10.0.0.1")
        return self(command)


def fill_audit(orders, number=3):
    for each in range(number):
        orders(rm.RecordMembers("op", "x", f"added member {each}", T0))


def test_newest_order_wins_and_repeats_change_nothing():
    """Guards against an order that is lost, and a repeat that counts twice."""
    orders = Orders()
    fill_audit(orders)
    versions = [orders.state.version]
    for name, evacuates, expected in (
        ("a", True, ("a",)),
        ("b", True, ("a", "b")),
        ("b", True, ("a", "b")),
        ("a", False, ("b",)),
        ("a", False, ("b",)),
        ("a", True, ("b", "a")),
    ):
        orders.order(name, evacuates)
        assert orders.state.data_centres == expected
        versions.append(orders.state.version)
    assert versions == [0, 4, 5, 6, 7, 8, 9]


def test_orders_about_other_data_centres_are_independent():
    """Guards against an order that is dropped, as another one was given beside it."""
    orders = Orders()
    for name in ("a", "b", "c"):
        orders.order(name, base=0)
    assert orders.state.data_centres == ("a", "b", "c")


def test_delayed_copy_has_no_effect_after_its_withdrawal_was_forgotten():
    """Guards against memory without a bound, and an evacuation that returns."""
    orders = Orders()
    orders.order("a", base=0)
    orders.order("a", evacuates=False)
    version = orders.state.version
    for number in range(MAX_WITHDRAWALS):
        orders.order(f"dc-{number}", evacuates=False)
    assert len(orders.state.rows()["orders"]) == MAX_WITHDRAWALS
    orders.restart()
    orders.order("a", base=version - 1)
    assert orders.state.data_centres == ()
    orders.order("a")
    assert orders.state.data_centres == ("a",)


def test_delayed_copy_of_an_order_does_not_undo_a_later_one():
    """Guards against an evacuation that returns after its acknowledged withdrawal."""
    orders = Orders()
    orders.order("a", base=0)
    orders.order("a", evacuates=False)
    orders.order("a", base=0)
    assert orders.state.data_centres == ()


def test_number_of_evacuations_is_bounded():
    """Guards against state that grows with each name that an operator sends."""
    orders = Orders()
    for number in range(MAX_EVACUATIONS + 1):
        orders.order(f"dc-{number}")
    assert len(orders.state.data_centres) == MAX_EVACUATIONS
    orders.order("dc-0", evacuates=False)
    orders.order("last")
    assert "last" in orders.state.data_centres


def test_snapshot_keeps_evacuations():
    """Guards against evacuations that end when the log is compacted."""
    orders = Orders()
    fill_audit(orders)
    orders.order("a")
    orders.order("b: c\nd é")
    before = orders.state.version, orders.state.data_centres
    orders.registry.audit.records.clear()
    orders.restart()
    assert (orders.state.version, orders.state.data_centres) == before
    orders.order("a", evacuates=False)
    assert orders.state.data_centres == ("b: c\nd é",)


@pytest.mark.parametrize("dropped", [0, 3, 5])
def test_snapshot_of_an_earlier_build_passes_orders_on_in_the_audit_trail(dropped):
    """Guards against evacuations lost when a member of an earlier build compacts.

    Such a member applies the orders, but its snapshots have no evacuations. The oldest
    audit records may have been dropped.
    """
    orders = Orders()
    fill_audit(orders, 4)
    for name in ("a", "b"):
        orders.order(name)
    orders.order("a", evacuates=False)
    orders.order("a", base=0)
    state = json.loads(orders.registry.snapshot())
    del state["evacuations"]
    state["audit"] = state["audit"][dropped:]
    restored = Registry()
    restored.restore(json.dumps(state).encode())
    assert restored.evacuations.data_centres == ("b",)
    assert restored.evacuations.version == orders.state.version


def test_order_is_an_audit_record_that_every_build_computes_alike():
    """Guards against audit trails that differ between builds during an upgrade."""
    orders = Orders()
    reply = orders.order("a")
    (record,) = orders.registry.audit_records
    assert reply == rm.MembersRecorded(record.number)
    assert (record.kind, record.source) == ("RecordMembers", "10.0.0.1")
    assert record.subject == "evacuation ordered after 0: a"
