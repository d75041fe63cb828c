"""Benchmarks the replicated log: throughput, log size, recovery, idle cost, memory.

Throughput and recovery use the real disk and TCP on loopback, with all members in this
process. The messages of an idle leader are counted in virtual time; its CPU time and
memory are measured at a control process.
"""

import json
import secrets
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import curio

from demo.processes import Fleet, free_addresses
from tests.fake_cluster import Cluster
from wagtailrun.adapters.file_disk import FileDisk
from wagtailrun.adapters.tcp_link import PeerServer, TcpPeerLink
from wagtailrun.clock import SystemClock
from wagtailrun.consensus.journal import Journal
from wagtailrun.consensus.member import Member
from wagtailrun.logs import events
from wagtailrun.ports.log import StateMachine
from wagtailrun.virtual_time import run_virtual

__all__ = ["run"]

COMMAND_BYTES = 300
CONCURRENT_PROPOSALS = 64
THROUGHPUT_COMMANDS = 4_000
IDLE_MS = 60_000
SETTLE_S = 6
IDLE_PROCESS_S = 20
NS_PER_S = 1_000_000_000
HISTORY = (100, 1_000, 10_000)
# Design 1.5: 1% of a core and 64 MB for each node.
IDLE_CPU_BOUND_MS = 10.0
MEMORY_BOUND_MB = 64.0
MEMORY_PROGRAM = """
import curio, resource, sys
from bench.consensus import serve_until_idle
curio.run(serve_until_idle, sys.argv[1])
print(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024)
"""


class CountMachine(StateMachine):
    """State machine that only counts commands, so that its own cost is negligible."""

    def __init__(self) -> None:
        self.count = 0

    def apply(self, index: int, command: bytes) -> int:
        """Count one command."""
        self.count += 1
        return self.count

    def snapshot(self) -> bytes:
        """Return the count."""
        return json.dumps(self.count).encode()

    def restore(self, data: bytes) -> None:
        """Replace the count."""
        self.count = json.loads(data)


def _row(
    name: str,
    unit: str,
    better: str,
    value: float,
    bound: float | None = None,
    baseline: float | None = None,
) -> dict:
    holds = None
    if bound is not None:
        holds = value <= bound if better == "lower" else value >= bound
    return {
        "name": name,
        "unit": unit,
        "better": better,
        "baseline": baseline,
        "value": round(value, 3),
        "bound": bound,
        "holds": holds,
    }


async def _start_members(folder: Path, size: int) -> list[Member]:
    clock = SystemClock()
    secret = secrets.token_bytes(16)
    bootstrap = [(f"m{n}", address) for n, address in enumerate(free_addresses(size))]
    members = []
    for name, address in bootstrap:
        member = Member(
            clock,
            TcpPeerLink(secret),
            FileDisk(folder / name),
            CountMachine(),
            name,
            address,
            bootstrap=bootstrap,
        )
        await curio.spawn(PeerServer(address, secret, member.handle).serve, daemon=True)
        await curio.spawn(member.run, daemon=True)
        members.append(member)
    return members


async def _wait_leader(members: list[Member]) -> Member:
    while True:
        for member in members:
            if member.is_leader:
                return member
        await curio.sleep(0.02)


async def _propose(leader: Member, commands: int) -> None:
    for _ in range(commands):
        await leader.propose(secrets.token_bytes(COMMAND_BYTES), 10_000)


async def _throughput(folder: Path, size: int, concurrent: int, count: int) -> dict:
    members = await _start_members(folder, size)
    leader = await _wait_leader(members)
    start = time.perf_counter()
    async with curio.TaskGroup() as group:
        for _ in range(concurrent):
            await group.spawn(_propose, leader, count // concurrent)
    seconds = time.perf_counter() - start
    for member in members:
        await member.close()
    name = f"agreed commands, {size} members, {concurrent} at once"
    return _row(
        name, "commands/s", "higher", count // concurrent * concurrent / seconds
    )


async def _write_history(folder: Path, count: int) -> int:
    """Propose ``count`` commands at a single member; return the bytes of its log."""
    written = 0

    class CountingDisk(FileDisk):
        async def append(self, name: str, data: bytes) -> None:
            nonlocal written
            written += len(data)
            await super().append(name, data)

    address = free_addresses(1)[0]
    disk = CountingDisk(folder)
    member = Member(
        SystemClock(),
        TcpPeerLink(b"unused"),
        disk,
        CountMachine(),
        "m0",
        address,
        bootstrap=[("m0", address)],
    )
    await curio.spawn(member.run, daemon=True)
    leader = await _wait_leader([member])
    written = 0
    await _propose(leader, count)
    await member.close()
    disk.close()
    return written


async def _recover(folder: Path) -> float:
    disk = FileDisk(folder)
    start = time.perf_counter()
    await Journal(disk).open("unused#0")
    elapsed_ms = (time.perf_counter() - start) * 1_000
    disk.close()
    return elapsed_ms


def _recovery_rows(folder: Path) -> list[dict]:
    rows, times = [], []
    for count in HISTORY:
        run_folder = folder / str(count)
        written = curio.run(_write_history, run_folder, count)
        times.append(min(curio.run(_recover, run_folder) for _ in range(5)))
        rows.append(_row(f"recovery after {count} commands", "ms", "lower", times[-1]))
    slope = (times[-1] - times[-2]) / (HISTORY[-1] - HISTORY[-2]) * 1_000
    rows.append(_row("recovery growth per 1000 commands", "ms", "lower", slope))
    # Recovery must not grow with the history. The log holds 256 to 512 entries
    # regardless of the history, so two recoveries may differ by a factor of two.
    name = "recovery after 10000 commands over that after 1000"
    rows.append(_row(name, "ratio", "lower", times[-1] / times[-2], 2.0))
    name = f"log bytes a command of {COMMAND_BYTES} bytes, one at a time"
    rows.append(_row(name, "B", "lower", written / HISTORY[-1]))
    return rows


def _messages_row(size: int) -> dict:
    async def idle(clock: object) -> int:
        cluster = Cluster(clock, 0, size)
        await cluster.start()
        await cluster.wait_leader()
        await clock.sleep_ms(5_000)
        before = cluster.network.messages
        await clock.sleep_ms(IDLE_MS)
        return cluster.network.messages - before

    # The leader sends or receives every message; a call counts as two messages.
    value = run_virtual(idle) / (IDLE_MS / 1_000)
    return _row(f"idle leader, {size} members", "messages/s", "lower", value)


def _process_rows(size: int) -> list[dict]:
    """Measure an idle leader process, including its order sweep every second."""
    leader_event = f"E{events.BECAME_LEADER.number:04d}"
    with Fleet("", [], [], controls=size) as fleet:
        time.sleep(SETTLE_S)
        pids = {name: p.pid for name, p in fleet.processes_by_name.items()}
        leader = max(pids, key=lambda name: leader_event in fleet.log_text(name))
        before, start = _cpu_s(pids[leader]), time.perf_counter()
        time.sleep(IDLE_PROCESS_S)
        cpu_ms = (_cpu_s(pids[leader]) - before) * 1_000
        cpu_ms /= time.perf_counter() - start
        status = Path(f"/proc/{pids[leader]}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    memory_mb = int(line.split()[1]) / 1_024
    name = f"idle leader process, {size} members"
    return [
        _row(name, "ms CPU/s", "lower", cpu_ms, IDLE_CPU_BOUND_MS),
        _row(name, "MB resident", "lower", memory_mb, MEMORY_BOUND_MB),
    ]


def _cpu_s(pid: int) -> float:
    # The clock ticks of /proc/PID/stat are too coarse for short wake-ups.
    tasks = Path(f"/proc/{pid}/task").iterdir()
    used = (int((task / "schedstat").read_text().split()[0]) for task in tasks)
    return sum(used) / NS_PER_S


async def serve_until_idle(folder: str) -> None:
    """Run a single member through 10,000 commands, for the memory measurement."""
    await _write_history(Path(folder), HISTORY[-1])


def _memory_row(folder: Path) -> dict:
    result = subprocess.run(
        [sys.executable, "-c", MEMORY_PROGRAM, str(folder)],
        capture_output=True,
        text=True,
        check=True,
    )
    name = f"largest resident memory, one member, {HISTORY[-1]} commands"
    return _row(name, "MB", "lower", float(result.stdout), MEMORY_BOUND_MB)


def run() -> list[dict]:
    """Run all benchmarks and return one row for each figure."""
    rows = []
    with tempfile.TemporaryDirectory(prefix="wagtailrun-bench-") as name:
        folder = Path(name)
        for concurrent, count in (
            (1, 500),
            (CONCURRENT_PROPOSALS, THROUGHPUT_COMMANDS),
        ):
            run_folder = folder / f"throughput-{concurrent}"
            rows.append(curio.run(_throughput, run_folder, 3, concurrent, count))
        rows += _recovery_rows(folder)
        for size in (3, 5, 7):
            rows.append(_messages_row(size))
            rows += _process_rows(size)
        rows.append(_memory_row(folder / "memory"))
    return rows


if __name__ == "__main__":
    for row in run():
        print(json.dumps(row))
