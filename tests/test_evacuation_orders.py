"""Tests of orders to evacuate data centres, given at control members."""

import json
import shutil
from types import SimpleNamespace
from unittest import mock

import curio
import pytest
from wagtail_platform.control_calls import ControlHandler

from tests.test_discovery import ROW
from tests.test_forwarded_changes_stop import (
    CONFIRM_S,
    SHARED_S,
    find_leader,
    run_members,
)
from wagtailrun.adapters.http_server import Request
from wagtailrun.clock import SystemClock
from wagtailrun.consensus import member as consensus
from wagtailrun.discovery.evacuations import FleetPlaces
from wagtailrun.exceptions import ConsensusUnavailable
from wagtailrun.logs import events
from wagtailrun.registry.evacuations import (
    MAX_EVACUATIONS,
    EvacuationOrder,
    EvacuationTable,
)
from wagtailrun.registry.messages import RecordMembers
from wagtailrun.registry.state import Registry
from wagtailrun.relay.evacuation_orders import ORDER_TIMEOUT_MS, EvacuationOrders

pytestmark = pytest.mark.network

WARM_S = 5
# Longer than a call may take, shorter than operators wait for one.
ANSWER_LIMIT_MS = 1_000


async def call(member, method, name, body=b""):
    """Return the status and the body of an operator's call to a member."""
    control = member.control
    handler = ControlHandler(control.fleet_configuration, control.hub)
    request = Request(method, f"/evacuations/{name}", body=body, peer="10.9.9.9")
    response = await handler.handle(request)
    return response.status, json.loads(response.body), dict(response.headers)


async def status(member, method, name, body=b""):
    return (await call(member, method, name, body))[0]


def state(member):
    return member.control.registry.evacuations.data_centres


async def acknowledged(members, method, name):
    """Send an order, like an operator, until a member acknowledges it."""
    tries = 0
    while (await status(members[tries % len(members)], method, name)) != 200:
        tries += 1
        await curio.sleep(0.1)


async def until(condition):
    while not condition():
        await curio.sleep(0.02)


def test_order_and_withdrawal_have_one_answer_at_every_member(tmp_path):
    """Guards against a repeated order that fails, and one that a member lacks."""

    async def client(leader, others):
        members = [leader, *others]
        answers = []
        for method, first in (("POST", others[0]), ("DELETE", leader)):
            answers.append([await call(first, method, "a")])
            answers[-1] += [await call(each, method, "a") for each in members]
            await until(lambda: len({state(each) for each in members}) == 1)
            answers.append(state(leader))
        return answers, leader.control.registry.audit_records

    answers, records = run_members(tmp_path, client)
    ordered, during, withdrawn, after = answers
    assert (during, after) == (("a",), ())
    for replies, evacuated in ((ordered, True), (withdrawn, False)):
        for code, body, _ in replies:
            assert (code, body) == (200, {"zone": "a", "evacuated": evacuated})
    # Repeats write nothing to the log.
    assert [record.source for record in records] == ["10.9.9.9"] * 2


def test_unknown_data_centre_is_refused_once_members_know_the_fleet(tmp_path):
    """Guards against a lasting refusal of a proper order by a member without targets.

    A member that has just started knows no targets.
    """

    async def client(leader, others):
        early = await call(leader, "POST", "b"), await call(others[0], "DELETE", "b")
        await others[1].control.hub.report(ROW)
        await others[1].control.hub.report(
            type(ROW)(**{**row_values(ROW), "name": "t2", "data_centre": "b"})
        )
        await curio.sleep(WARM_S)
        late = [
            await status(each, method, name)
            for each in (leader, *others)
            for method in ("POST", "DELETE")
            for name in ("c", "B", "b%20")
        ]
        known = [await status(each, "POST", "b") for each in (leader, *others)]
        return early, late, known, state(leader)

    def row_values(row):
        return {name: getattr(row, name) for name in ("address", "service", "capacity")}

    early, late, known, final = run_members(tmp_path, client)
    for code, _, headers in early:
        assert (code, headers["Retry-After"]) == (503, "1")
    assert set(late) == {404}
    assert (known, final) == ([200] * 3, ("b",))


def test_evacuated_data_centre_that_is_gone_can_be_withdrawn(tmp_path):
    """Guards against an order that nobody can withdraw, as nothing is left there."""

    async def client(leader, others):
        await others[0].control.hub.report(
            type(ROW)("t2", ROW.address, "s", "b", 4, incarnation=10, sequence=1)
        )
        await curio.sleep(SHARED_S)
        ordered = await status(leader, "POST", "b")
        for each in (leader, *others):
            each.control.hub.places._names.pop("b")
        await curio.sleep(WARM_S)
        return ordered, await status(leader, "DELETE", "b"), state(leader)

    assert run_members(tmp_path, client) == (200, 200, ())


def test_orders_outlive_a_restart_of_all_members(tmp_path):
    """Guards against an acknowledged order that a restart loses."""

    async def client(leader, others):
        assert await status(others[0], "POST", "a") == 200
        members = [leader, *others]
        for each in members:
            # Killed: nothing is said to the others.
            await each.cancel()
        restarted = [await each.start_again() for each in members]
        try:
            await find_leader(restarted)
            await until(lambda: all(state(each) == ("a",) for each in restarted))
            codes = [await status(each, "POST", "a") for each in restarted]
            await acknowledged(restarted, "DELETE", "a")
            await until(lambda: not any(state(each) for each in restarted))
            return codes
        finally:
            for each in restarted:
                await each.cancel()

    assert run_members(tmp_path, client) == [200, 200, 200]


@pytest.mark.parametrize("at_leader", [True, False])
def test_order_during_a_change_of_leader_is_acknowledged_and_kept(tmp_path, at_leader):
    """Guards against an order that is acknowledged and lost, or never answered."""

    async def client(leader, others):
        operator = await curio.spawn(
            acknowledged, [leader if at_leader else others[0], *others], "POST", "a"
        )
        await curio.sleep(CONFIRM_S / 2)
        await leader.cancel()
        await operator.join()
        await find_leader(others)
        await until(lambda: all(state(each) == ("a",) for each in others))
        await acknowledged(others, "DELETE", "a")
        await until(lambda: not any(state(each) for each in others))

    run_members(tmp_path, client)


def test_member_that_joins_empty_gets_orders_from_a_snapshot(tmp_path):
    """Guards against orders that compaction drops, or that an empty member lacks."""

    async def client(leader, others):
        for number in range(6):
            method = "DELETE" if number % 2 else "POST"
            await acknowledged([leader, *others], method, "a")
        await acknowledged([leader], "POST", "a")
        lost = others[1]
        await lost.cancel()
        shutil.rmtree(lost.arguments[0])
        compacted = leader.control.member.journal.snapshot_index > 0
        returned = await lost.start_again()
        try:
            await until(lambda: state(returned) == ("a",))
            from_snapshot = returned.control.member.journal.snapshot_index > 0
            return compacted, from_snapshot
        finally:
            await returned.cancel()

    with mock.patch.object(consensus, "SNAPSHOT_INTERVAL_ENTRIES", 4):
        assert run_members(tmp_path, client) == (True, True)


def test_delayed_copy_of_an_order_does_not_follow_its_withdrawal(tmp_path):
    """Guards against an evacuation after its withdrawal was acknowledged.

    The connection between two members held a forwarded order back.
    """

    async def client(leader, others):
        copy = EvacuationOrder("a", True, 0).command("10.9.9.9")
        codes = [
            await status(others[0], "POST", "a"),
            await status(others[1], "DELETE", "a"),
        ]
        await leader.control.handle_peer(copy)
        return codes, state(leader)

    assert run_members(tmp_path, client) == ([200, 200], ())


@pytest.mark.parametrize("earlier", ["leader", "follower"])
def test_members_of_an_earlier_build_stay_in_step(tmp_path, earlier):
    """Guards against an upgrade during which an order stops or splits the members.

    A member of an earlier build applies an order as an audit record only. When it is
    upgraded, it starts from a snapshot that has no evacuations.
    """

    class EarlierTable(EvacuationTable):
        def apply(self, text, number):
            pass

    def snapshot_of_an_earlier_build(registry):
        state = json.loads(Registry.snapshot(registry))
        del state["evacuations"]
        return json.dumps(state).encode()

    async def client(leader, others):
        old = leader if earlier == "leader" else others[0]
        new = [each for each in (leader, *others) if each is not old]
        registry = old.control.registry
        registry.evacuations = EarlierTable()
        registry.snapshot = lambda: snapshot_of_an_earlier_build(registry)
        for method in ("POST", "DELETE", "POST"):
            await acknowledged(new, method, "a")
        await until(lambda: all(state(each) == ("a",) for each in new))
        ordered_at = leader.control.member.applied_index
        while old.control.member.journal.snapshot_index < ordered_at:
            await leader.control.handle_peer(RecordMembers("op", "x", "note", 0))
            await curio.sleep(CONFIRM_S)

        def heads():
            return {each.control.registry.audit.head for each in (old, *new)}

        await until(lambda: len(heads()) == 1)
        await old.cancel()
        upgraded = await old.start_again()
        try:
            await until(lambda: state(upgraded) == ("a",))
            await acknowledged([upgraded], "DELETE", "a")
            await until(lambda: not any(state(each) for each in (upgraded, *new)))
        finally:
            await upgraded.cancel()

    with mock.patch.object(consensus, "SNAPSHOT_INTERVAL_ENTRIES", 4):
        run_members(tmp_path, client)


def test_orders_given_at_the_same_time_are_all_acknowledged(tmp_path):
    """Guards against an order that is dropped since another one came before it."""

    async def client(leader, others):
        for place in "bcdef":
            for each in (leader, *others):
                each.control.hub.places.record(place)
        async with curio.TaskGroup() as group:
            tasks = [
                await group.spawn(status, (leader, *others)[n % 3], "POST", place)
                for n, place in enumerate("abcdef")
            ]
        return [task.result for task in tasks], sorted(state(leader))

    codes, final = run_members(tmp_path, client)
    assert (set(codes), final) == ({200}, list("abcdef"))


def test_order_without_a_quorum_is_refused_in_time(tmp_path):
    """Guards against operators that wait, and orders acknowledged without a quorum."""

    async def client(leader, others):
        for each in others:
            await each.cancel()
        await curio.sleep(2)
        clock = SystemClock()
        started_ms = clock.now_ms()
        code, body, headers = await call(leader, "POST", "a")
        return code, headers["Retry-After"], clock.now_ms() - started_ms, state(leader)

    code, retry_after, took_ms, final = run_members(tmp_path, client)
    assert (code, retry_after, final) == (503, "1", ())
    assert took_ms <= ANSWER_LIMIT_MS


class LoneOrders(EvacuationOrders):
    """Orders of a member that is alone, and whose log takes what it is told."""

    def __init__(self, *places):
        clock = SimpleNamespace(now_ms=lambda: 0)
        known = FleetPlaces(clock, 0)
        for place in places:
            known.record(place)
        self.log = Registry()
        self.confirmed = 0
        super().__init__(clock, self.log, known, self.confirm_one, self.apply)

    async def confirm_one(self, timeout_ms):
        self.confirmed += 1
        if self.confirmed > 20:
            raise ConsensusUnavailable("the time is over", may_have_committed=False)

    async def apply(self, command, timeout_ms):
        return self.log._record_members(command)


def lone_call(orders, method, path, body=b""):
    store = SimpleNamespace(evacuations=orders)
    request = Request(method, path, body=body, peer="10.9.9.9")
    return curio.run(ControlHandler(store, None).handle, request)


@pytest.mark.parametrize("method", ["POST", "DELETE"])
@pytest.mark.parametrize(
    ("name", "body"),
    [
        ("", b""),
        ("a" * 256, b""),
        ("%C3%A9" * 128, b""),
        ("%ff", b""),
        ("\xe9", b""),
        ("%ed%a0%80", b""),
        ("a/b", b""),
        ("a%2Fb", b""),
        ("/a", b""),
        ("a/", b""),
        ("a", b"{}"),
    ],
)
def test_malformed_order_is_refused_and_changes_nothing(method, name, body, logged):
    """Guards against odd names in the replicated state, and an order without a line."""
    places = ["a", "a" * 256, "é" * 128, "é", "a/b", "/a", "a/", ""]
    orders = LoneOrders(*places)
    reply = lone_call(orders, method, f"/evacuations/{name}", body)
    assert reply.status == 400
    assert (orders.log.evacuations.version, orders.confirmed) == (0, 0)
    ((event, fields),) = logged
    assert event is events.EVACUATION_DECIDED
    assert (fields["source"], fields["accepted"]) == ("10.9.9.9", False)
    assert fields["reason"] == "malformed"


def test_path_without_a_name_is_malformed():
    """Guards against an answer that ends a call only at its third try."""
    assert lone_call(LoneOrders(), "POST", "/evacuations").status == 400
    assert lone_call(LoneOrders(), "GET", "/evacuations/a").status == 404
    assert lone_call(LoneOrders("x"), "POST", "/evacuationsx").status == 404


@pytest.mark.parametrize(
    ("path", "name"),
    [("a%20b", "a b"), ("%C3%A9", "é"), ("%E2%82%AC" * 85, "€" * 85), ("a:b", "a:b")],
)
def test_names_are_decoded(path, name, logged):
    """Guards against an order for another data centre than the operator named."""
    orders = LoneOrders(name)
    reply = lone_call(orders, "POST", f"/evacuations/{path}")
    assert reply.status == 200
    assert orders.log.evacuations.data_centres == (name,)
    ((event, fields),) = logged
    assert event is events.EVACUATION_DECIDED
    assert (fields["data_centre"], fields["accepted"]) == (name, True)


def test_too_many_evacuations_are_refused():
    """Guards against a call that repeats an order that the log cannot take."""
    places = [f"dc-{number}" for number in range(MAX_EVACUATIONS + 1)]
    orders = LoneOrders(*places)
    codes = []
    for place in places:
        orders.confirmed = 0
        codes.append(lone_call(orders, "POST", f"/evacuations/{place}").status)
    assert codes == [200] * MAX_EVACUATIONS + [409]
    assert lone_call(orders, "POST", "/evacuations/dc-0").status == 200
    assert lone_call(orders, "DELETE", "/evacuations/dc-0").status == 200
    assert lone_call(orders, "POST", f"/evacuations/{places[-1]}").status == 200


def test_time_of_an_order_is_shorter_than_operators_wait():
    """Guards against operators that send an order again while it is decided."""
    assert ORDER_TIMEOUT_MS < ANSWER_LIMIT_MS
