"""Tests of control processes whose disks are full for a while."""

import json
import secrets
import signal
import time
from pathlib import Path

import curio
import pytest

from demo.processes import Fleet, request
from tests import test_relay_processes as relay
from tests.test_consensus_processes import (
    apply_at,
    leader,
    wait_for,
    wait_revision,
)
from wagtailrun.exceptions import TargetFailed
from wagtailrun.logs.events import DISK_FULL, DISK_SPACE_AVAILABLE, LOG_FILES_DISCARDED

pytestmark = pytest.mark.network

ROOT = Path(__file__).parent.parent
FULL_S = 3.0
# The users' bound for the acknowledgement of a change.
ACK_S = 4.0
DISCARDED = LOG_FILES_DISCARDED.number
WRAPPER_FOLDER = Path(__file__).parent / "full_disk"
TEXT = (ROOT / "demo" / "fleet.toml").read_text("utf-8")
ORDER = "/v1/services/dispatch-desk/book-dispatch"


@pytest.fixture
def fleet():
    fleet = Fleet(TEXT, ["east"], ["dispatch-desk"], entries_per_centre=1)
    fleet.environment["PYTHONPATH"] = str(WRAPPER_FOLDER)
    fleet.environment["TEST_DATA_FOLDER"] = fleet.folder.name
    with fleet:
        fleet.apply_text()
        yield fleet


def fill(fleet, name):
    Path(fleet.folder.name, f"{name}.full").touch()


def free(fleet, name):
    Path(fleet.folder.name, f"{name}.full").unlink()


def readiness(fleet, name):
    """Return status and body of ``/readyz``, or None without an answer."""
    try:
        reply = request(fleet.operator_address_by_name[name], "GET", "/readyz")
    except TargetFailed:
        return None
    return reply.status, json.loads(reply.body)["status"]


def disk_full(fleet, name):
    """Return the value of the gauge ``wagtailrun_disk_full``."""
    page = request(fleet.operator_address_by_name[name], "GET", "/metrics").body
    lines = page.decode().splitlines()
    (line,) = (line for line in lines if line.startswith("wagtailrun_disk_full "))
    return float(line.split()[1])


def count_lines(fleet, name, event):
    """Return how often a process has logged an event."""
    return fleet.log_text(name).count(f"E{event.number:04d}")


def order_status(fleet):
    """Return the status of a new order with a key, sent once."""
    (address,) = fleet.caller_address_by_name.values()
    headers = (
        ("Wagtailrun-Workspace", "stockists"),
        ("Idempotency-Key", secrets.token_hex(8)),
    )
    return request(address, "POST", ORDER, headers, b'{"pallets": 1}').status


def assert_in_order(fleet, revision):
    """Assert that each member is ready and answers, and that all processes run."""
    for name in fleet.operator_address_by_name:
        wait_for(
            lambda name=name: readiness(fleet, name) == (200, "alive"),
            f"{name} is not ready",
        )
        wait_revision(fleet, name, revision)
    wait_for(lambda: order_status(fleet) == 200, "orders are refused")
    assert [order_status(fleet) for _ in range(5)] == [200] * 5
    for process in fleet.processes_by_name.values():
        assert process.poll() is None


def test_full_disks_one_after_another(fleet):
    """Guards against a cluster that ends when each disk was full for a while."""
    revision = 1
    for victim in sorted(fleet.operator_address_by_name):
        other = next(name for name in fleet.operator_address_by_name if name != victim)
        fill(fleet, victim)
        end = time.monotonic() + FULL_S
        while time.monotonic() < end:
            apply_at(fleet, other, revision)
            revision += 1
        wait_for(
            lambda victim=victim: (
                readiness(fleet, victim) == (503, "waiting for disk space")
            ),
            f"{victim} does not say that its disk is full",
        )
        wait_for(lambda victim=victim: disk_full(fleet, victim) == 1, "gauge is 0")
        free(fleet, victim)
        apply_at(fleet, other, revision)
        revision += 1
        wait_revision(fleet, victim, revision)
        wait_for(lambda victim=victim: disk_full(fleet, victim) == 0, "gauge is 1")
    assert_in_order(fleet, revision)
    for name in fleet.operator_address_by_name:
        for event in (DISK_FULL, DISK_SPACE_AVAILABLE):
            # A thread of the process writes the lines, a moment after they are logged.
            wait_for(
                lambda name=name, event=event: count_lines(fleet, name, event),
                f"{name} does not log event {event.number}",
            )
            assert count_lines(fleet, name, event) == 1, (name, event.number)


def test_full_leaders_one_after_another(fleet):
    """Guards against a leader that keeps its role on a full disk, then all lost."""
    revision = 1
    for _ in range(5):
        victim = leader(fleet)
        other = next(name for name in fleet.operator_address_by_name if name != victim)
        fill(fleet, victim)
        apply_at(fleet, other, revision)
        apply_at(fleet, other, revision + 1)
        revision += 2
        time.sleep(0.5)
        free(fleet, victim)
        wait_revision(fleet, victim, revision)
    names = list(fleet.operator_address_by_name)
    for name in names:
        fleet.kill(name)
    for name in names:
        fleet.restart(name)
    assert_in_order(fleet, revision)


def test_failed_syncs_one_after_another(fleet):
    """Guards against processes that end, or stay out, after a sync that failed."""
    revision = 1
    for victim in sorted(fleet.operator_address_by_name):
        other = next(name for name in fleet.operator_address_by_name if name != victim)
        flag = Path(fleet.folder.name, f"{victim}.broken")
        flag.touch()
        end = time.monotonic() + FULL_S
        while time.monotonic() < end:
            apply_at(fleet, other, revision)
            revision += 1
        flag.unlink()
        wait_revision(fleet, victim, revision)
    assert_in_order(fleet, revision)


async def versions_read(fleet):
    """Return the configuration versions that the three members read back."""
    versions = set()
    for number in (1, 2, 3):

        async def read(number=number):
            reply = await relay.send(fleet.control(number), "GET", "/configuration")
            return json.loads(reply.body) if reply.status == 200 else None

        document = await relay.wait_until(read, f"core-{number} reads nothing")
        versions.add(document["version"])
    return versions


async def put_while_full(fleet, number, first_version):
    """Fill the disk of a member while changes are sent; return the longest wait."""
    flag = fleet.folder / f"core-{number}.full"
    flag.touch()
    waits_s = []
    for version in range(first_version, first_version + 6):
        start = time.monotonic()
        await relay.put(fleet, version)
        waits_s.append(time.monotonic() - start)
        await curio.sleep(0.3)
    flag.unlink()
    return max(waits_s)


def test_full_disks_of_the_relay_one_after_another(tmp_path):
    """Guards against changes that stay unanswered, or are lost, after full disks."""
    environment = {
        "PYTHONPATH": f"{ROOT}:{ROOT / 'platform'}:{WRAPPER_FOLDER}",
        "TEST_DATA_FOLDER": str(tmp_path),
    }

    async def main(fleet):
        await relay.put(fleet, 1)
        version = 2
        for number in (1, 2, 3, 1, 2, 3):
            assert await put_while_full(fleet, number, version) < ACK_S
            version += 6
            await versions_read(fleet)
        for number in (1, 2, 3):
            fleet.processes[f"core-{number}"].kill()
        for number in (1, 2, 3):
            fleet.processes[f"core-{number}"].wait(10)
            fleet.start_control(number)
        assert await versions_read(fleet) == {version - 1}
        for number in (1, 2, 3):
            # A process that ends has written all its lines.
            await curio.run_in_thread(fleet.stop, f"core-{number}", signal.SIGTERM)
            lines = fleet.lines(f"core-{number}")
            assert not [line for line in lines if line["event"] == DISCARDED]

    with relay.running(tmp_path, environment) as fleet:
        curio.run(main, fleet)
