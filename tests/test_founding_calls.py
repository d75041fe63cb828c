"""Tests of the calls and the command of operators that order a founding."""

import json

import curio
import pytest

from demo.processes import free_addresses
from wagtailrun.adapters.http_server import Request
from wagtailrun.cli.commands import main
from wagtailrun.consensus import founding_acceptor
from wagtailrun.consensus.operator_founding import FoundingOutcome
from wagtailrun.control.founding_calls import FOUNDING_PATH, FoundingCalls
from wagtailrun.exceptions import ConsensusUnavailable
from wagtailrun.logs import events
from wagtailrun.registry.messages import RecordMembers
from wagtailrun.registry.state import Registry
from wagtailrun.relay.control import RelayControl
from wagtailrun.settings import RelayControlSettings
from wagtailrun.virtual_time import run_virtual

CREDENTIAL = "credential-of-this-test"
SECRET = b"secret-of-this-test"
ORDER = {"operator": "kim"}
ELECTION_LIMIT_S = 15


class Host:
    """Stands in for the host of a member; ``orders`` is how many it got."""

    def __init__(self, outcome):
        self.outcome = outcome
        self.orders = 0

    async def found_cluster(self):
        self.orders += 1
        return self.outcome


class Audit:
    """Stands in for the leader; applies the commands that it gets to a registry."""

    def __init__(self):
        self.registry = Registry()
        self.is_available = True

    async def ask_leader(self, message, timeout_ms):
        if not self.is_available:
            raise ConsensusUnavailable("no leader", may_have_committed=False)
        return self.registry._record_members(message)


def ask(calls, body, method="POST"):
    """Return status and JSON value of the answer to one call."""
    content = body if isinstance(body, bytes) else json.dumps(body).encode()

    async def send(clock):
        request = Request(method, FOUNDING_PATH, body=content, peer="10.0.0.9")
        return await calls.handle(request)

    answer = run_virtual(send)
    return answer.status, json.loads(answer.body)


@pytest.fixture
def logged(monkeypatch):
    """Fields of event 511."""
    found = []

    def log(event, **fields):
        if event is events.FOUNDING_ORDERED:
            found.append(fields)

    monkeypatch.setattr(events, "log", log)
    return found


def test_founding_is_audited_once_with_operator_and_source(logged):
    """Guards against a founding that the audit trail does not show, or shows twice."""
    audit = Audit()
    host = Host(FoundingOutcome("a#1", "its members are a, b"))
    calls = FoundingCalls(host, audit.registry, audit.ask_leader, "c1")
    audit.is_available = False
    status, value = ask(calls, ORDER)
    assert (status, value["audited"]) == (200, False)
    audit.is_available = True
    for _ in range(2):
        status, value = ask(calls, ORDER)
        assert (status, value["audited"], value["cluster"]) == (200, True, "a#1")
    (record,) = audit.registry.audit_records
    assert (record.kind, record.who, record.source) == (
        RecordMembers.__name__,
        "kim",
        "10.0.0.9",
    )
    assert record.subject == "cluster a#1 founded by order; its members are a, b"
    assert [fields["audited"] for fields in logged] == [False, True, True]
    assert {fields["operator"] for fields in logged} == {"kim"}


def test_refused_order_is_logged_and_not_audited(logged):
    """Guards against a refusal that an operator takes for a founding."""
    audit = Audit()
    host = Host(FoundingOutcome("", "10.0.0.2:7 belongs to cluster b#1"))
    calls = FoundingCalls(host, audit.registry, audit.ask_leader, "c1")
    status, value = ask(calls, ORDER)
    assert status == 409
    assert value["detail"] == "10.0.0.2:7 belongs to cluster b#1"
    assert not audit.registry.audit_records
    assert host.orders == 1
    assert [fields["accepted"] for fields in logged] == [False]


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"\xff",
        b"[" * 100_000,
        {},
        {"accepts_unreached": True},
        ORDER | {"accepts_unreached": False},
        ORDER | {"operator": "k im"},
        ORDER | {"operator": 5},
        ORDER | {"more": 1},
    ],
)
def test_malformed_order_founds_nothing(body):
    """Guards against a cluster that a mistyped order founds."""
    host = Host(FoundingOutcome("a#1", ""))
    calls = FoundingCalls(host, Registry(), Audit().ask_leader, "c1")
    assert ask(calls, body)[0] == 400
    assert ask(calls, ORDER, "GET")[0] == 405
    assert host.orders == 0


@pytest.mark.network
def test_command_founds_a_cluster_of_relay_members(tmp_path, capsys, monkeypatch):
    """Guards against a command that does not reach relay control, or its audit trail.

    None of the three members may found a cluster by itself.
    """
    addresses = [free_addresses(3) for _ in range(3)]
    seeds = tuple(each[0] for each in addresses)
    monkeypatch.setenv("WAGTAILRUN_OPERATOR_CREDENTIAL", CREDENTIAL)
    monkeypatch.setattr(founding_acceptor, "LISTEN_MS", 0)
    controls = [
        RelayControl(settings, lambda store, hub: None, lambda each=settings: each)
        for settings in (
            RelayControlSettings(
                name=f"c{number}",
                data_centre="a",
                operator_address=operator,
                peer_address=peer,
                peer_secret=SECRET,
                metrics_address=metrics,
                data_folder=str(tmp_path / f"c{number}"),
                seeds=seeds,
            )
            for number, (peer, operator, metrics) in enumerate(addresses)
        )
    ]

    def command(number):
        """Return exit code and output of the command that names a member."""
        with pytest.raises(SystemExit) as ended:
            main(["found", str(addresses[number][1]), "--operator=kim"])
        return ended.value.code, capsys.readouterr()

    async def order():
        tasks = [
            await curio.spawn(task)
            for control in controls
            for task in (
                control.peer_server.serve,
                control.operators.serve,
                control.member_host.run,
            )
        ]
        while not all(control.member.is_open for control in controls):
            await curio.sleep(0.01)
        first = await curio.run_in_thread(command, 1)
        second = await curio.run_in_thread(command, 2)
        async with curio.timeout_after(ELECTION_LIMIT_S):
            while not all(control.registry.audit_records for control in controls):
                await curio.sleep(0.05)
        for task in tasks:
            await task.cancel()
        return first, second, [c.registry.audit_records[0].subject for c in controls]

    (code, output), (other_code, other_output), subjects = curio.run(order)
    assert (code, other_code) == (0, 1)
    members = ", ".join(sorted(map(str, seeds)))
    assert any(f"founded cluster {seed}#" in output.out for seed in seeds)
    assert f"its members are {members}" in output.out
    assert "refused:" in other_output.err
    assert other_output.out == ""
    assert len(set(subjects)) == 1 and f"its members are {members}" in subjects[0]
