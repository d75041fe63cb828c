"""Tests of real processes that lose the control members, a target or an entry."""

import json
import signal
import threading

import curio
import pytest

from demo.processes import Fleet, request
from tests.test_processes import (
    GIVE_UP_S,
    ORDER,
    PIPELINE,
    SERVICES,
    TEXT,
    post,
    runs_at_targets,
    wait_until,
)
from wagtailrun.exceptions import TargetFailed

pytestmark = pytest.mark.network


@pytest.fixture(scope="module")
def fleet():
    with Fleet(TEXT, ["east", "west"], SERVICES, controls=3) as running:
        running.apply_text()
        for address in running.caller_address_by_name.values():
            wait_until(lambda address=address: knows_both_engines(address))
            wait_until(lambda address=address: post(address, PIPELINE).status == 200)
        yield running


def knows_both_engines(address):
    """Whether an entry may use the engine of the other data centre too."""
    metrics = request(address, "GET", "/metrics").body
    return b'wagtailrun_usable_targets{service="engines"} 2.0' in metrics


def order_runs(fleet, order):
    call = f"book-dispatch {json.dumps(order, sort_keys=True)}"
    return runs_at_targets(fleet, "dispatch-desk").get(call, 0)


def test_stream_goes_on_when_its_target_freezes(fleet):
    """Guards against a stream that waits for ever on a connection gone silent."""
    name = "east-entry-1"
    address = fleet.caller_address_by_name[name]
    frozen = fleet.processes_by_name["east-engines"]
    timer = threading.Timer(0.3, frozen.send_signal, [signal.SIGSTOP])
    timer.start()
    reply = post(address, PIPELINE, {"prompt": "a", "tokens": 200})
    frozen.send_signal(signal.SIGCONT)
    offsets = [
        json.loads(line.removeprefix(b"data: "))["offset"]
        for line in reply.body.splitlines()
        if b'"offset"' in line
    ]
    assert b"event: done" in reply.body
    assert offsets == list(range(200))


def test_entry_that_dies_after_the_intent_leaves_a_listed_order(fleet):
    """Guards against an order that disappears, or runs again, when its entry dies."""
    name = "west-entry-1"
    order = {"pallets": 7, "shop": "frozen"}
    desks = [n for n in fleet.target_address_by_name if n.endswith("dispatch-desk")]
    for desk in desks:
        fleet.processes_by_name[desk].send_signal(signal.SIGSTOP)
    key = ("Idempotency-Key", "dies")

    def send():
        with pytest.raises(TargetFailed):
            post(fleet.caller_address_by_name[name], ORDER, order, key)

    first = threading.Thread(target=send)
    first.start()

    def listed():
        return {
            row["key"]: row["verdict"]
            for row in json.loads(fleet.command("orders", "--json").stdout)
        }

    wait_until(lambda: listed().get("dies") == "open")
    fleet.kill(name)
    first.join()
    for desk in desks:
        fleet.processes_by_name[desk].send_signal(signal.SIGCONT)
    wait_until(lambda: listed()["dies"] == "may-have-run")
    again = post(fleet.caller_address_by_name["east-entry-2"], ORDER, order, key)
    assert json.loads(again.body)["verdict"] == "may-have-run"
    assert order_runs(fleet, order) <= 1
    fleet.restart(name)
    fleet.wait_ready(fleet.caller_address_by_name[name])


def test_planned_stop_waits_for_an_order_whose_caller_left(fleet):
    """Guards against a stop that leaves an order open as "may have run"."""
    name = "east-entry-2"
    order = {"pallets": 8, "shop": "impatient"}
    desk = fleet.processes_by_name["east-dispatch-desk"]
    desk.send_signal(signal.SIGSTOP)

    async def send_and_leave():
        address = fleet.caller_address_by_name[name]
        sock = await curio.open_connection(address.host, address.port)
        body = json.dumps(order).encode()
        head = (
            f"POST {ORDER} HTTP/1.1\r\nHost: a\r\nWagtailrun-Workspace: stockists\r\n"
            f"Idempotency-Key: left\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        await sock.sendall(head.encode() + body)
        await curio.sleep(0.5)
        await sock.close()

    curio.run(send_and_leave)
    entry = fleet.processes_by_name[name]
    entry.send_signal(signal.SIGTERM)
    timer = threading.Timer(1.0, desk.send_signal, [signal.SIGCONT])
    timer.start()
    assert entry.wait(GIVE_UP_S) == 0
    rows = json.loads(fleet.command("orders", "--json").stdout)
    assert {row["key"]: row["verdict"] for row in rows}["left"] == "complete"
    assert order_runs(fleet, order) == 1
    fleet.restart(name)
    fleet.wait_ready(fleet.caller_address_by_name[name])


def test_fleet_without_control_members_serves_what_it_can(fleet):
    """Guards against a data centre that stops when it is cut off from the quorum."""
    for name in fleet.operator_address_by_name:
        fleet.kill(name)
    fleet.kill("east-entry-1")
    fleet.restart("east-entry-1")
    address = fleet.caller_address_by_name["east-entry-1"]
    fleet.wait_ready(address)
    assert post(address, PIPELINE).status == 200
    unkeyed = {"pallets": 1, "shop": "cut off"}
    assert post(address, ORDER, unkeyed).status == 200
    assert order_runs(fleet, unkeyed) == 1
    keyed = {"pallets": 2, "shop": "cut off"}
    reply = post(address, ORDER, keyed, ("Idempotency-Key", "cut"))
    problem = json.loads(reply.body)
    assert (reply.status, problem["verdict"]) == (503, "may-have-run")
    assert problem["attempt_sent"] is False and problem["retry_after_ms"] > 0
    assert order_runs(fleet, keyed) == 0
    for name in fleet.operator_address_by_name:
        fleet.restart(name)
    wait_until(
        lambda: post(address, ORDER, keyed, ("Idempotency-Key", "cut")).status == 200
    )
    assert order_runs(fleet, keyed) == 1
