"""Resident memory and idle CPU of processes, by size of the fleet configuration."""

import os
import time
from pathlib import Path

from demo.processes import Fleet

DEMO_TEXT = Path(__file__).parent.parent / "demo" / "fleet.toml"
WORKSPACES = (5, 1_000, 5_200)
IDLE_SECONDS = 10.0
MEMORY_BOUND_MB = 64
CPU_BOUND_PERCENT = 1.0
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def fleet_text_with(workspaces: int) -> str:
    """Return the demonstration's fleet text with additional workspaces."""
    text = DEMO_TEXT.read_text(encoding="utf-8")
    for number in range(workspaces):
        text += f"\n[workspaces.member-{number}]\nshare = {1 + number % 7}\n"
    return text


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1_000
    raise ValueError(f"process {pid} has no resident memory; it may have ended")


def cpu_seconds(pid: int) -> float:
    """Return the CPU time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def _row(name: str, unit: str, baseline: float, value: float, bound: float) -> dict:
    return {
        "name": name,
        "unit": unit,
        "better": "lower",
        "baseline": round(baseline, 2),
        "value": round(value, 2),
        "bound": bound,
        "holds": value <= bound,
    }


def _measure(workspaces: int) -> dict[str, tuple[float, float]]:
    """Return resident MB and idle CPU in percent of a core, by role."""
    with Fleet(fleet_text_with(workspaces), ["east", "west"], ["engines"]) as fleet:
        fleet.apply_text()
        time.sleep(IDLE_SECONDS / 2)
        names = {"entry": "east-entry-1", "control": "control-0"}
        pids = {r: fleet.processes_by_name[n].pid for r, n in names.items()}
        before = {role: cpu_seconds(pid) for role, pid in pids.items()}
        time.sleep(IDLE_SECONDS)
        return {
            role: (
                resident_mb(pid),
                (cpu_seconds(pid) - before[role]) / IDLE_SECONDS * 100,
            )
            for role, pid in pids.items()
        }


def run() -> list[dict]:
    """Measure both roles with three sizes of the fleet configuration."""
    rows = []
    first: dict[str, tuple[float, float]] = {}
    for workspaces in WORKSPACES:
        for role, (memory, cpu) in _measure(workspaces).items():
            first.setdefault(role, (memory, cpu))
            name = f"{role}, {workspaces} workspaces"
            base_memory, base_cpu = first[role]
            rows.append(
                _row(f"{name}: memory", "MB", base_memory, memory, MEMORY_BOUND_MB)
            )
            rows.append(
                _row(f"{name}: idle CPU", "%", base_cpu, cpu, CPU_BOUND_PERCENT)
            )
    return rows
