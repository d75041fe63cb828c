"""Stand-in of the platform: starts the programs of the deploy file on loopback."""

import json
import os
import random
import re
import resource
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
DEPLOY = ROOT / "deploy" / "system.toml"
PLACEHOLDER = re.compile(r"\{\{([a-z_0-9.]+)\}\}")
ZONES = ("riverside", "tannery-row", "north-mill")
HEARTBEAT_MS = 1200
# Bounds of the small site of the users' pages (sites/pbw-wagtail.toml).
BOUNDS = {
    "contact_ms": 3000,
    "drain_ms": 2000,
    "grace_s": 8,
    "config_apply_ms": 2000,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "retry_budget_slack": 52,
}
MAX_FDS = 4100
MEMORY_MB = 300


def free_network():
    """Return the first three numbers of a loopback network that nobody uses."""
    while True:
        network = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        try:
            for host in (11, 12, 13, 21, 22):
                with socket.socket() as probe:
                    probe.bind((f"{network}.{host}", 9464))
        except OSError:
            continue
        return network


def free_ports(count, host):
    """Return free ports of a loopback address."""
    probes = [socket.socket() for _ in range(count)]
    try:
        for probe in probes:
            probe.bind((host, 0))
        return [probe.getsockname()[1] for probe in probes]
    finally:
        for probe in probes:
            probe.close()


def fill(template, fields):
    """Return a settings template of the deploy file, filled in."""

    def value(match):
        found = fields
        for part in match.group(1).split("."):
            found = found[int(part)] if isinstance(found, list) else found.get(part)
            if found is None:
                return ""
        if isinstance(found, list):
            return ",".join(map(str, found))
        if isinstance(found, bool):
            return str(found).lower()
        return json.dumps(found) if isinstance(found, dict) else str(found)

    return PLACEHOLDER.sub(value, template)


class Fleet:
    """The programs of a small deployment, each at a loopback address of its own.

    Args:
        entries: Number of entries.
        controls: Number of control members.
    """

    def __init__(self, entries=2, controls=3):
        self.roles = tomllib.loads(DEPLOY.read_text())["roles"]
        self.folder = Path(tempfile.mkdtemp(prefix="wagtailrun-review-"))
        self.network = free_network()
        main, ready, first = free_ports(3, f"{self.network}.11")
        self.main_port, self.ready_port, self.peer_port = main, ready, first
        self.processes = {}
        self.control_hosts = {
            f"core-{n}": f"{self.network}.{10 + n}" for n in range(1, controls + 1)
        }
        self.entry_hosts = {
            f"front-{n}": f"{self.network}.{20 + n}" for n in range(1, entries + 1)
        }
        self.seeds = [f"{host}:{main}" for host in self.control_hosts.values()][:3]

    def start(self):
        """Start all programs, as the platform does when the system starts."""
        for name in (*self.control_hosts, *self.entry_hosts):
            self.start_process(name, bootstrap=True)

    def start_process(self, name, bootstrap=False):
        """Start one program."""
        is_control = name in self.control_hosts
        role = self.roles["control" if is_control else "entry"]
        hosts = self.control_hosts if is_control else self.entry_hosts
        ip = hosts[name]
        number = list(hosts).index(name)
        data = self.folder / f"{name}-data"
        if is_control:
            data.mkdir(exist_ok=True)
            listen = {"control": f"{ip}:{self.main_port}"}
        else:
            listen = {
                "front": f"{ip}:{self.main_port}",
                "ready": f"{ip}:{self.ready_port}",
            }
        fields = {
            "node_name": name,
            "ip": ip,
            "zone": ZONES[number % len(ZONES)],
            "listen": listen,
            "internal_ports": [self.peer_port, self.peer_port],
            "seeds": self.seeds,
            "bootstrap": bootstrap,
            "data_dir": str(data) if is_control else None,
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "heartbeat_ms": HEARTBEAT_MS,
            "limits": {"link_mbps": 1000.0},
            "bounds": BOUNDS,
        }
        settings = self.folder / f"{name}.env"
        settings.write_text(fill((ROOT / role["template"]).read_text(), fields))
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "WAGTAILRUN_SETTINGS": str(settings),
        }
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
                preexec_fn=_limit_descriptors,
            )

    def log_lines(self, name):
        """Return the events that a program has logged."""
        text = (self.folder / f"{name}.log").read_text(errors="replace")
        return [json.loads(line) for line in text.splitlines() if line[:1] == "{"]

    def resident_mb(self, name):
        """Return the resident memory of a program; 0 once it has ended."""
        try:
            text = Path(f"/proc/{self.processes[name].pid}/status").read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def kill_above_memory(self, name):
        """Kill a program that uses more memory than its machine has; return whether."""
        if self.resident_mb(name) <= MEMORY_MB:
            return False
        self.processes[name].kill()
        return True

    def descriptors(self, name):
        """Return the number of open descriptors of a program."""
        try:
            return len(os.listdir(f"/proc/{self.processes[name].pid}/fd"))
        except OSError:
            return 0

    def control_address(self, number=1):
        """Return host and port of a control member for operators and engines."""
        return self.control_hosts[f"core-{number}"], self.main_port

    def entry_address(self, number=1):
        """Return host and port of an entry for requesters."""
        return self.entry_hosts[f"front-{number}"], self.main_port

    def ready_address(self, number=1):
        """Return host and port of an entry's readiness check."""
        return self.entry_hosts[f"front-{number}"], self.ready_port

    def end(self):
        """End all programs that were started, and remove their files."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait(10)
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def _limit_descriptors():
    resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS))


class Record:
    """File that lists what was sent, answered and run.

    Args:
        path: The file.
    """

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)  # noqa: SIM115
        self.started_s = time.monotonic()

    def write(self, text):
        """Write one line with the time since the start."""
        self.file.write(f"{time.monotonic() - self.started_s:8.3f} {text}\n")
