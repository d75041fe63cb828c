"""Tests of control members that run as processes on real disks."""

import json
import re
import secrets
import shutil
import signal
import time
from pathlib import Path

import pytest

from demo.processes import Fleet, request
from wagtailrun.exceptions import TargetFailed
from wagtailrun.logs.events import BECAME_LEADER, CLUSTER_MEMBERSHIP_CHANGED
from wagtailrun.logs.line_writer import WRITE_INTERVAL_S

pytestmark = pytest.mark.network

TIMEOUT_S = 30.0
TEXT = (Path(__file__).parent.parent / "demo" / "fleet.toml").read_text()
MEMBERS_CHANGED = f"E{CLUSTER_MEMBERSHIP_CHANGED.number:04d}"
BECAME_LEADER_LINE = re.compile(rf'E{BECAME_LEADER.number:04d} .*"term": (\d+)')


@pytest.fixture
def fleet():
    with Fleet(TEXT, [], [], controls=3) as fleet:
        yield fleet


def wait_for(condition, complaint):
    """Return the first true value of ``condition``; fail after ``TIMEOUT_S``."""
    end = time.monotonic() + TIMEOUT_S
    while time.monotonic() < end:
        if value := condition():
            return value
        time.sleep(0.05)
    raise AssertionError(f"{complaint} in {TIMEOUT_S} s")


def text_request(fleet, name, method, body=None):
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
    """Apply one change; resend it until a verdict arrives."""
    change = {"text": TEXT, "base_revision": base, "change_id": secrets.token_hex(8)}
    verdict = wait_for(lambda: text_request(fleet, name, "POST", change), "no verdict")
    assert verdict["revision"] == base + 1


def wait_revision(fleet, name, revision):
    def has():
        value = text_request(fleet, name, "GET")
        return value is not None and value["revision"] == revision

    wait_for(has, f"{name} has no revision {revision}")


def leader(fleet):
    """Return the member that became leader in the newest term.

    Members write their log lines with a delay.
    """
    time.sleep(2 * WRITE_INTERVAL_S)

    def newest_term_by_name():
        terms = {
            name: BECAME_LEADER_LINE.findall(fleet.log_text(name))
            for name in fleet.operator_address_by_name
        }
        return {name: max(map(int, found)) for name, found in terms.items() if found}

    terms = wait_for(newest_term_by_name, "no member became leader")
    return max(terms, key=terms.get)


def test_embedding_example(capsys):
    """Guards against an example in docs/consensus.md that does not run."""
    page = (Path(__file__).parent.parent / "docs" / "consensus.md").read_text()
    code = page.partition("```python\n")[2].partition("```")[0]
    exec(compile(code, "docs/consensus.md", "exec"), {"__name__": "example"})
    assert "applied as number 1" in capsys.readouterr().out


def test_kill_of_each_member(fleet):
    """Guards against a change that is lost or blocked by the kill of one member."""
    names = list(fleet.operator_address_by_name)
    apply_at(fleet, names[0], 0)
    for revision, name in enumerate(names, start=1):
        fleet.kill(name)
        other = names[revision % 3]
        apply_at(fleet, other, revision)
        fleet.restart(name)
        wait_revision(fleet, name, revision + 1)


def test_stopped_leader(fleet):
    """Guards against a resumed leader that relies on its expired lease."""
    names = list(fleet.operator_address_by_name)
    apply_at(fleet, names[0], 0)
    stopped = leader(fleet)
    others = [name for name in names if name != stopped]
    fleet.processes_by_name[stopped].send_signal(signal.SIGSTOP)
    apply_at(fleet, others[0], 1)
    wait_for(lambda: leader(fleet) in others, "no other member became leader")
    fleet.processes_by_name[stopped].send_signal(signal.SIGCONT)
    change = {"text": TEXT, "base_revision": 1, "change_id": "stale"}
    wait_revision(fleet, stopped, 2)
    assert text_request(fleet, stopped, "POST", change) is None
    apply_at(fleet, stopped, 2)


def test_removed_data_folder(fleet):
    """Guards against a member without data that keeps its vote or is never promoted."""
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
        changes = [line for line in lines if MEMBERS_CHANGED in line]
        if len(changes) < 3:
            return False
        members = json.loads(changes[-1].partition("members. ")[2])["members"]
        return len(members) == 3 and all(member["voter"] for member in members)

    wait_for(is_promoted, f"{lost} is not promoted")
    # With the third member killed, a quorum needs the vote of the new identity.
    fleet.kill(next(name for name in names if name not in (lost, leader(fleet))))
    apply_at(fleet, lost, 2)


def test_restart_after_hundreds_of_changes(fleet):
    """Guards against registry snapshots that cannot be written or restored."""
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
