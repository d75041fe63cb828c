"""Tests of what hinders a stop in the soak, against real processes that do little."""

import resource
import signal
import socket
from contextlib import ExitStack

import pytest

from soak.accept_queues import waiting_ports
from soak.hindrances import Hindrance, make_hindrance
from soak.schedule import Action, ActionKind
from tests.test_soak_faults import SmallFleet, wait_until
from wagtailrun.ports.link import Address

ENTRY = "front-1"
FEW = 64


@pytest.fixture
def fleet(tmp_path):
    made = SmallFleet(tmp_path)
    yield made
    made.end_all()
    for process in made.popen_by_name.values():
        process.stdin.close()
        process.stdout.close()


def action(**values):
    return Action(at_ms=0, kind=ActionKind.STOP, subject=ENTRY, **values)


def test_standstill_begins_after_the_last_refusals():
    """Guards against a standstill in which an entry cannot answer what is owed."""
    made = make_hindrance(action(standstill_at=0.5), 8_000, 7_000)
    assert (made.standstill_ms, made.answers_by_ms) == (7_500, 7_000)


@pytest.mark.parametrize(
    ("stop", "refusals_ms"),
    [(action(), 7_000), (action(standstill_at=0.5, has_shortage=True), 0)],
)
def test_other_stops_are_not_hindered(stop, refusals_ms):
    """Guards against entries that are hindered though no page says what holds then."""
    assert make_hindrance(stop, 8_000, refusals_ms) == Hindrance()


def test_process_stands_still_once_it_is_due(fleet):
    """Guards against a standstill that comes too soon, or again and again."""
    fleet.start(ENTRY)
    made = make_hindrance(action(standstill_at=0.5), 8_000, 7_000)
    made.begin(fleet, ENTRY)
    made.apply(fleet, ENTRY, 7_499)
    assert fleet.signals == []
    made.apply(fleet, ENTRY, 7_500)
    made.apply(fleet, ENTRY, 7_510)
    wait_until(lambda: fleet.state(ENTRY) == "T")
    assert [each.number for each in fleet.signals] == [signal.SIGSTOP]


def test_process_gets_no_descriptor_in_a_shortage(fleet):
    """Guards against a shortage that ends as soon as a descriptor is closed."""
    fleet.start(ENTRY)
    made = make_hindrance(action(has_shortage=True), 8_000, 7_000)
    made.begin(fleet, ENTRY)
    fleet.tell(ENTRY, "open")
    assert fleet.answer(ENTRY)[0] == "24"
    fleet.signal(ENTRY, signal.SIGKILL)
    wait_until(lambda: not fleet.is_running(ENTRY))
    made.begin(fleet, ENTRY)


def test_connections_that_wait_are_told_from_those_that_were_accepted():
    """Guards against requests that are owed an answer, or excused, for the other."""
    with (
        socket.create_server(("127.0.0.1", 0)) as listener,
        socket.create_server(("127.0.0.2", listener.getsockname()[1])) as other,
        ExitStack() as stack,
    ):
        address = listener.getsockname()
        # The client of each but the second still holds its connection.
        clients = [
            stack.enter_context(socket.create_connection(address)) for _ in range(4)
        ]
        stack.enter_context(socket.create_connection(other.getsockname()))
        stack.enter_context(listener.accept()[0])
        clients.pop(1).close()
        expected = sorted(client.getsockname()[1] for client in clients[1:])
        assert waiting_ports(Address(*address)) == expected


def test_process_is_started_with_few_descriptors(fleet):
    """Guards against entries that have all descriptors, or lose those of the next."""
    fleet.descriptors = {ENTRY: FEW}
    for name in fleet.processes_by_name:
        fleet.start(name)
    limits = {
        name: resource.prlimit(fleet.pid(name), resource.RLIMIT_NOFILE)
        for name in fleet.processes_by_name
    }
    own = resource.getrlimit(resource.RLIMIT_NOFILE)
    assert limits == {ENTRY: (FEW, own[1]), "core-1": own}
