"""Tests of control members as real processes on real disks."""

import json
import re
import secrets
import shutil
import signal
import time
from pathlib import Path

import pytest

from demo.processes import Fleet, request
from wagtailrun.events import BECAME_LEADER, CLUSTER_MEMBERSHIP_CHANGED
from wagtailrun.exceptions import TargetFailed

pytestmark = pytest.mark.network

GIVE_UP_S = 30.0
TEXT = (Path(__file__).parent.parent / "demo" / "fleet.toml").read_text()
CHANGED = f"E{CLUSTER_MEMBERSHIP_CHANGED.number:04d}"
LED = re.compile(rf'E{BECAME_LEADER.number:04d} .*"term": (\d+)')


@pytest.fixture
def fleet():
    with Fleet(TEXT, [], [], controls=3) as fleet:
        yield fleet


def wait_for(condition, complaint):
    """Return the first true value of ``condition``, or fail after the limit."""
    end = time.monotonic() + GIVE_UP_S
    while time.monotonic() < end:
        if value := condition():
            return value
        time.sleep(0.05)
    raise AssertionError(f"{complaint} in {GIVE_UP_S} s")


def ask(fleet, name, method, body=None):
    credential = fleet.environment["WAGTAILRUN_OPERATOR_CREDENTIAL"]
    headers = (("Authorization", f"Bearer {credential}"),)
    data = b"" if body is None else json.dumps(body).encode()
    try:
        address = fleet.operator_address_by_name[name]
        reply = request(address, method, "/v1/text", headers, data)
    except TargetFailed:
        return None
    return json.loads(reply.body) if reply.status == 200 else None


def apply_at(fleet, name, base):
    """Apply one change; send it again until a verdict arrives."""
    change = {"text": TEXT, "base_revision": base, "change_id": secrets.token_hex(8)}
    verdict = wait_for(lambda: ask(fleet, name, "POST", change), "no verdict")
    assert verdict["revision"] == base + 1


def wait_revision(fleet, name, revision):
    def has():
        value = ask(fleet, name, "GET")
        return value is not None and value["revision"] == revision

    wait_for(has, f"{name} has no revision {revision}")


def leader(fleet):
    """Return the member that began to lead in the newest term."""
    terms = {
        name: [int(term) for term in LED.findall(fleet.log_text(name))]
        for name in fleet.operator_address_by_name
    }
    return max(terms, key=lambda name: max(terms[name], default=0))


def test_embedding_example(capsys):
    """Guards against an example on the page that does not run."""
    page = (Path(__file__).parent.parent / "docs" / "consensus.md").read_text()
    code = page.partition("```python\n")[2].partition("```")[0]
    exec(compile(code, "docs/consensus.md", "exec"), {"__name__": "example"})
    assert "applied as number 1" in capsys.readouterr().out


def test_kill_of_each_member(fleet):
    """Guards against a change that a kill of any one member loses or blocks."""
    names = list(fleet.operator_address_by_name)
    apply_at(fleet, names[0], 0)
    for revision, name in enumerate(names, start=1):
        fleet.kill(name)
        other = names[revision % 3]
        apply_at(fleet, other, revision)
        fleet.restart(name)
        wait_revision(fleet, name, revision + 1)


def test_stopped_leader(fleet):
    """Guards against a resumed leader that acts on its old lease."""
    names = list(fleet.operator_address_by_name)
    apply_at(fleet, names[0], 0)
    stopped = leader(fleet)
    others = [name for name in names if name != stopped]
    fleet.processes_by_name[stopped].send_signal(signal.SIGSTOP)
    apply_at(fleet, others[0], 1)
    assert leader(fleet) in others
    fleet.processes_by_name[stopped].send_signal(signal.SIGCONT)
    change = {"text": TEXT, "base_revision": 1, "change_id": "stale"}
    wait_revision(fleet, stopped, 2)
    assert ask(fleet, stopped, "POST", change) is None
    apply_at(fleet, stopped, 2)


def test_removed_data_folder(fleet):
    """Guards against an emptied member that keeps its vote or never gets a new one."""
    names = list(fleet.operator_address_by_name)
    apply_at(fleet, names[0], 0)
    lost = next(name for name in names if name != leader(fleet))
    fleet.kill(lost)
    shutil.rmtree(Path(fleet.folder.name) / lost)
    apply_at(fleet, leader(fleet), 1)
    fleet.restart(lost)
    wait_revision(fleet, lost, 2)

    def is_promoted():
        lines = fleet.log_text(leader(fleet)).splitlines()
        changes = [line for line in lines if CHANGED in line]
        if len(changes) < 3:
            return False
        members = json.loads(changes[-1].partition("members. ")[2])["members"]
        return len(members) == 3 and all(member["voter"] for member in members)

    wait_for(is_promoted, f"{lost} is not promoted")
    # The quorum now needs the new identity.
    fleet.kill(next(name for name in names if name not in (lost, leader(fleet))))
    apply_at(fleet, lost, 2)


def test_restart_after_hundreds_of_changes(fleet):
    """Guards against snapshots of the registry that cannot be written or read back."""
    names = list(fleet.operator_address_by_name)
    changes = 300
    for base in range(changes):
        apply_at(fleet, names[0], base)
    for name in names:
        fleet.kill(name)
    for name in names:
        fleet.restart(name)
    for name in names:
        wait_revision(fleet, name, changes)
    fleet.kill(names[1])
    shutil.rmtree(Path(fleet.folder.name) / names[1])
    fleet.restart(names[1])
    wait_revision(fleet, names[1], changes)
