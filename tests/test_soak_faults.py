"""Tests of the faults of the soak, against real processes that do little."""

import os
import resource
import signal
import subprocess
import sys
import time
from pathlib import Path

import curio
import pytest
from curio.meta import finalize

from demo.processes import free_addresses
from soak.behaviours import (
    BehaviourFolder,
    BehaviourKind,
    EndedEarly,
    TargetBehaviour,
    shape_answer,
)
from soak.faults import DISK_FOLDER_VARIABLE, FAULTS_BY_NAME, DiskFaultsUnavailable
from soak.fleet import Fleet, FleetProcess, Link, Role
from soak.link_faults import LinkFaultsUnavailable, link_group
from soak.links import LinkProxy

ROOT = Path(__file__).parent.parent
WRAPPER_FOLDER = ROOT / "tests" / "full_disk"
LIMIT_S = 10
# Writes the time of each SIGHUP, opens files and writes to its data on request.
PROGRAM = """
import os, signal, sys, time
signal.signal(signal.SIGHUP, lambda *_: os.write(1, b"h"))
os.write(1, b"s")
data = os.open(sys.argv[1] + "/data", os.O_WRONLY | os.O_CREAT)
for line in sys.stdin:
    started = time.monotonic()
    try:
        if line == "open\\n":
            os.open("/dev/null", os.O_RDONLY)
        else:
            os.write(data, b"xx")
            os.fdatasync(data)
        result = "done"
    except OSError as error:
        result = str(error.errno)
    took_ms = round((time.monotonic() - started) * 1000)
    os.write(1, f" {result} {took_ms}\\n".encode())
"""


class SmallFleet(Fleet):
    """Two processes of the program above, and links that lead nowhere."""

    def __init__(self, folder, has_wrapper=True):
        super().__init__()
        self.folder = folder
        self.has_wrapper = has_wrapper
        self.popen_by_name = {}
        addresses = iter(free_addresses(8))
        self.links_by_name = {
            name: Link(name=name, listen=next(addresses), upstream=next(addresses))
            for name in ("callers>front-1", "entries>i-engine", "peers>core-1")
        }
        self.processes_by_name = {
            name: FleetProcess(
                name=name, role=role, folder=folder / name, log=folder / f"{name}.log"
            )
            for name, role in (("front-1", Role.ENTRY), ("core-1", Role.CONTROL))
        }

    def spawn(self, name):
        folder = self.processes_by_name[name].folder
        folder.mkdir(exist_ok=True)
        environment = {"PATH": os.environ["PATH"]}
        if self.has_wrapper:
            environment[DISK_FOLDER_VARIABLE] = str(self.folder)
            environment["PYTHONPATH"] = str(WRAPPER_FOLDER)
        process = subprocess.Popen(
            [sys.executable, "-c", PROGRAM, str(folder)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            env=environment,
        )
        assert process.stdout.read(1) == b"s"
        self.popen_by_name[name] = process
        return process

    def end_limit_ms(self, name):
        return 1_000

    def wipe(self, name):
        raise NotImplementedError

    def tell(self, name, text):
        process = self.popen_by_name[name]
        process.stdin.write(f"{text}\n".encode())
        process.stdin.flush()

    def answer(self, name):
        """Return the result of what it was told, and how long that took, in ms."""
        line = self.popen_by_name[name].stdout.readline().split()
        return line[-2].decode(), int(line[-1])

    def state(self, name):
        """Return the state of a process in /proc, such as ``T`` for stopped."""
        text = Path(f"/proc/{self.pid(name)}/stat").read_text()
        return text.rpartition(")")[2].split()[0]


@pytest.fixture
def fleet(tmp_path):
    made = SmallFleet(tmp_path)
    for name in made.processes_by_name:
        made.start(name)
    yield made
    made.end_all()
    for process in made.popen_by_name.values():
        process.stdin.close()
        process.stdout.close()


def begin(fleet, kind, subject, strength=1.0):
    return curio.run(FAULTS_BY_NAME[kind].begin, fleet, subject, strength)


def end(fleet, kind, subject):
    curio.run(FAULTS_BY_NAME[kind].end, fleet, subject)


def wait_until(condition):
    end_s = time.monotonic() + LIMIT_S
    while not condition():
        assert time.monotonic() < end_s
        time.sleep(0.01)


def test_subjects_depend_on_the_plan_only(tmp_path):
    """Guards against schedules of one seed that differ between runs."""
    first, second = SmallFleet(tmp_path / "a"), SmallFleet(tmp_path / "b")
    for name, fault in FAULTS_BY_NAME.items():
        assert fault.name == name
        assert fault.subjects(first) == fault.subjects(second) != []


def test_process_stands_still_until_the_end(fleet):
    """Guards against a process that is left stopped, or was never stopped."""
    begin(fleet, "standstill", "front-1")
    wait_until(lambda: fleet.state("front-1") == "T")
    end(fleet, "standstill", "front-1")
    wait_until(lambda: fleet.state("front-1") != "T")
    assert fleet.state("core-1") != "T"


def test_kill_and_faults_of_a_process_that_has_ended(fleet):
    """Guards against a fault that fails as its process ends by itself."""
    begin(fleet, "kill", "front-1")
    wait_until(lambda: not fleet.is_running("front-1"))
    assert fleet.exit_code("front-1") == -signal.SIGKILL
    for kind in ("kill", "standstill", "hangup", "few-descriptors"):
        assert begin(fleet, kind, "front-1") == "does not run"
        end(fleet, kind, "front-1")
    assert fleet.is_running("core-1")


def test_hangups_arrive(fleet):
    """Guards against reloads that are recorded and never sent."""
    assert begin(fleet, "hangup", "front-1", 0.0) == "1 signals"
    assert fleet.popen_by_name["front-1"].stdout.read(1) == b"h"
    assert fleet.signals[-1].number == signal.SIGHUP


def test_descriptors_run_out_and_come_back(fleet):
    """Guards against a limit that has no effect, or that stays."""
    pid = fleet.pid("front-1")
    before = resource.prlimit(pid, resource.RLIMIT_NOFILE)
    begin(fleet, "few-descriptors", "front-1")
    # A second one that overlaps with the first.
    begin(fleet, "few-descriptors", "front-1")
    fleet.tell("front-1", "open")
    assert fleet.answer("front-1")[0] == "24"
    end(fleet, "few-descriptors", "front-1")
    end(fleet, "few-descriptors", "front-1")
    assert resource.prlimit(pid, resource.RLIMIT_NOFILE) == before
    fleet.tell("front-1", "open")
    assert fleet.answer("front-1")[0] == "done"


@pytest.mark.parametrize(
    ("kind", "result"), [("full-disk", "28"), ("broken-disk", "5")]
)
def test_disk_refuses_writes(fleet, kind, result):
    """Guards against a fault of a disk that the process does not see."""
    begin(fleet, kind, "core-1")
    if kind == "full-disk":
        # The last free blocks take the first half.
        fleet.tell("core-1", "write")
        fleet.answer("core-1")
    fleet.tell("core-1", "write")
    assert fleet.answer("core-1")[0] == result
    end(fleet, kind, "core-1")
    end(fleet, kind, "core-1")
    fleet.tell("core-1", "write")
    assert fleet.answer("core-1")[0] == "done"


def test_slow_disk_delays_writes(fleet):
    """Guards against a slow disk that is not slow."""
    assert begin(fleet, "slow-disk", "core-1") == "400 ms for each write"
    fleet.tell("core-1", "write")
    result, took_ms = fleet.answer("core-1")
    assert result == "done"
    assert took_ms >= 800


def test_stalled_disk_waits_until_the_end(fleet):
    """Guards against a stalled disk that goes on, or never does."""
    begin(fleet, "stalled-disk", "core-1")
    fleet.tell("core-1", "write")
    time.sleep(0.3)
    end(fleet, "stalled-disk", "core-1")
    result, took_ms = fleet.answer("core-1")
    assert result == "done"
    assert took_ms >= 250


def test_disk_fault_without_the_wrapper_is_refused(tmp_path):
    """Guards against a disk fault that is recorded and has no effect."""
    fleet = SmallFleet(tmp_path, has_wrapper=False)
    fleet.start("core-1")
    try:
        with pytest.raises(DiskFaultsUnavailable, match="TEST_DATA_FOLDER"):
            begin(fleet, "full-disk", "core-1")
    finally:
        fleet.end_all()


def test_groups_of_links(tmp_path):
    """Guards against links that belong to no group, or to a wrong one."""
    fleet = SmallFleet(tmp_path)
    groups = {
        subject: link_group(fleet, subject)
        for subject in FAULTS_BY_NAME["delay"].subjects(fleet)
    }
    assert groups["entries>i-engine"].links == ["entries>i-engine"]
    assert groups["links of core-1"].links == ["peers>core-1"]
    assert groups["links of core-1"].source == "core-1"
    thirds = [groups[f"a third of the links: {n}"].links for n in range(3)]
    assert sorted(sum(thirds, [])) == sorted(fleet.links_by_name)


def test_link_fault_without_a_proxy_is_refused(fleet):
    """Guards against a fault of a link that is recorded and has no effect."""
    with pytest.raises(LinkFaultsUnavailable, match="no proxy"):
        begin(fleet, "delay", "callers>front-1")


@pytest.mark.network
def test_overlapping_link_faults_each_end_once(fleet):
    """Guards against a link that stays cut when two faults of a kind overlap."""
    fault = FAULTS_BY_NAME["refuse"]
    link = fleet.links_by_name["callers>front-1"]

    async def is_open():
        try:
            sock = await curio.open_connection(link.listen.host, link.listen.port)
        except ConnectionRefusedError:
            return False
        await sock.close()
        return True

    async def serve(sock, peer):
        await sock.recv(1)

    async def main():
        fleet.proxy = LinkProxy()
        for each in fleet.links_by_name.values():
            upstream = each.upstream
            await curio.spawn(
                curio.tcp_server, upstream.host, upstream.port, serve, daemon=True
            )
            await fleet.proxy.add(each.name, each.listen, upstream)
        for name in fleet.processes_by_name:
            fleet.proxy.name_process(name, fleet.pid(name))
        await curio.sleep(0.1)
        seen = [await is_open()]
        await fault.begin(fleet, "callers>front-1", 1.0)
        await fault.begin(fleet, "links of front-1", 1.0)
        await fault.begin(fleet, "callers>front-1", 1.0)
        seen.append(await is_open())
        await fault.end(fleet, "callers>front-1")
        await fault.end(fleet, "callers>front-1")
        seen.append(await is_open())
        await fault.end(fleet, "links of front-1")
        await fault.end(fleet, "links of front-1")
        seen.append(await is_open())
        return seen

    try:
        assert curio.run(main) == [True, False, False, True]
    finally:
        fleet.proxy.stop()


def shaped(behaviour, pieces):
    """Return what is sent of an answer, and whether it ended early."""

    async def source():
        for piece in pieces:
            yield piece

    async def main():
        sent = []
        try:
            answer = shape_answer(behaviour, source(), len(pieces))
            async with finalize(answer) as shaped_pieces:
                async for piece in shaped_pieces:
                    sent.append(piece)
                    if len(sent) == 50:
                        break
        except EndedEarly:
            return sent, True
        return sent, False

    return curio.run(main)


def test_behaviours_of_targets():
    """Guards against instructions that leave the answer as it is."""
    pieces = [b"ab", b"cd", b"ef", b"gh"]
    assert shaped(None, pieces) == (pieces, False)
    early = TargetBehaviour(kind=BehaviourKind.END_EARLY, amount=50)
    assert shaped(early, pieces) == (pieces[:2], True)
    drip = TargetBehaviour(kind=BehaviourKind.DRIP, amount=1)
    assert shaped(drip, pieces)[0] == [b"%c" % c for c in b"abcdefgh"]
    flood = TargetBehaviour(kind=BehaviourKind.FLOOD)
    assert len(shaped(flood, pieces)[0]) == 50
    start_s = time.monotonic()
    silent = TargetBehaviour(kind=BehaviourKind.SILENT, amount=100)
    assert shaped(silent, pieces) == (pieces, False)
    assert time.monotonic() - start_s >= 0.2


def test_instructions_reach_targets(fleet):
    """Guards against a target that keeps an instruction that was taken back."""
    folder = BehaviourFolder(fleet.folder)
    assert folder.get("i-engine") is None
    assert begin(fleet, "target-silent", "i-engine") == "1500 ms"
    behaviour = TargetBehaviour(kind=BehaviourKind.SILENT, amount=1_500)
    assert folder.get("i-engine") == behaviour
    assert folder.get("i-stage") is None
    end(fleet, "target-silent", "i-engine")
    end(fleet, "target-silent", "i-engine")
    assert folder.get("i-engine") is None
