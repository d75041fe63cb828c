"""Processes of a relay fleet on loopback that run the code of one source tree."""

import json
import os
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from socket import create_connection
from typing import Any

from bench.account_worker import MESSAGES, cpu_us
from demo.processes import free_addresses, loopback_host
from wagtailrun.clock import SystemClock
from wagtailrun.discovery.owners import Owners, ownership_key
from wagtailrun.gossip.messages import EntryRow
from wagtailrun.ports.link import Address

__all__ = ["AccountFleet", "checkout"]

ROOT = Path(__file__).parent.parent
# Each tree has its own, which names its modules; both speak the same protocol.
WORKER = Path("bench") / "account_worker.py"
SECRET = "secret-of-this-account"
CONTROLS = ("core-1", "core-2", "core-3")
# One owns the engines and one the stage targets, so the third owns neither.
ENTRIES = ("front-1", "front-2", "front-3")
START_TIMEOUT_S = 20.0
START_POLL_S = 0.02
STOP_TIMEOUT_S = 5.0


@contextmanager
def checkout(commit: str, folder: Path) -> Iterator[Path]:
    """Yield a tree with the files of a commit, and remove it at the end.

    Raises:
        CalledProcessError: If git does not know the commit.
    """
    tree = folder / "against"
    git = ("git", "-C", str(ROOT), "worktree")
    subprocess.run([*git, "add", "--quiet", "--detach", tree, commit], check=True)
    try:
        # Else the first start of each role would compile the modules.
        subprocess.run(
            [sys.executable, "-m", "compileall", "-q", "wagtailrun", "platform"],
            cwd=tree,
            check=True,
        )
        yield tree
    finally:
        subprocess.run([*git, "remove", "--force", tree], check=True)


def _owner_names() -> tuple[str, str]:
    """Return the entries that own the engines and the stage targets."""
    engines = ownership_key("llm")
    rows = tuple(
        EntryRow(name, Address("127.0.0.1", 1), "riverside", 1) for name in ENTRIES
    )
    owners = Owners(SystemClock(), lambda: rows, lambda: (engines, "board"))
    return owners.owner(engines).name, owners.owner("board").name


class AccountFleet:
    """Three control members, three entries and a worker with the code of one tree.

    Args:
        tree: Source tree.
        folder: Folder for settings, logs and data.
        number: Number of the fleet among those of this run.
    """

    def __init__(self, tree: Path, folder: Path, number: int):
        self.tree = tree
        self.folder = folder
        self.processes: dict[str, subprocess.Popen] = {}
        self.hosts = {
            name: loopback_host(10 + 20 * number + index)
            for index, name in enumerate((*CONTROLS, *ENTRIES))
        }
        ports = [address.port for address in free_addresses(4)]
        self.peer_port, self.metrics_port, self.main_port, self.ready_port = ports
        # Processor time of each process when it listened, in microseconds.
        self.start_us: dict[str, float] = {}
        self.worker: subprocess.Popen | None = None
        engine_owner, stage_owner = _owner_names()
        others = [name for name in ENTRIES if name not in (engine_owner, stage_owner)]
        self.names_by_role = {
            "entry": others[0],
            "engine owner": engine_owner,
            "stage owner": stage_owner,
            "control": CONTROLS[0],
        }

    def address(self, name: str) -> Address:
        """Return the address for callers, operators and targets."""
        return Address(self.hosts[name], self.main_port)

    def ready_address(self, name: str) -> Address:
        """Return the address of an entry's readiness check."""
        return Address(self.hosts[name], self.ready_port)

    def pid(self, name: str) -> int:
        """Return the process id of a daemon."""
        return self.processes[name].pid

    def _environment(self) -> dict[str, str]:
        return {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": f"{self.tree}:{self.tree / 'platform'}",
        }

    def _settings_file(self, name: str) -> Path:
        host = self.hosts[name]
        seeds = [f"{self.hosts[each]}:{self.main_port}" for each in CONTROLS]
        values = {
            "NAME": name,
            "DATA_CENTRE": "riverside",
            "PEER_ADDRESS": f"{host}:{self.peer_port}",
            "METRICS_ADDRESS": f"{host}:{self.metrics_port}",
            "PEER_SECRET": SECRET,
            "SEEDS": ",".join(seeds),
        }
        if name in CONTROLS:
            values |= {
                "OPERATOR_ADDRESS": f"{host}:{self.main_port}",
                "DATA_FOLDER": str(self.folder / name),
                "FOUNDING": "true",
                "HEARTBEAT_MS": "1200",
            }
        else:
            values |= {
                "CALLER_ADDRESS": f"{host}:{self.main_port}",
                "READY_ADDRESS": f"{host}:{self.ready_port}",
            }
        file = self.folder / f"{name}.env"
        file.write_text("".join(f"WAGTAILRUN_{k}={v}\n" for k, v in values.items()))
        return file

    def start(self, name: str) -> None:
        """Start a daemon and wait until it listens.

        Raises:
            TimeoutError: If it does not.
        """
        role = "control" if name in CONTROLS else "entry"
        file = self._settings_file(name)
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-P", "-m", "wagtail_platform", role],
                env={**self._environment(), "WAGTAILRUN_SETTINGS": str(file)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        end_s = time.monotonic() + START_TIMEOUT_S
        address = self.address(name)
        while time.monotonic() < end_s:
            with suppress(OSError), create_connection((address.host, address.port), 1):
                self.start_us[name] = cpu_us(self.pid(name))
                return
            time.sleep(START_POLL_S)
        raise TimeoutError(f"{name} does not listen; its log is in {self.folder}")

    def start_worker(self) -> None:
        """Start the worker that sends single messages.

        Raises:
            ValueError: If it runs the code of another tree.
        """
        self.worker = subprocess.Popen(
            [sys.executable, "-P", str(self.tree / WORKER)],
            env=self._environment(),
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        code = self.ask("code")["code"]
        if not Path(code).is_relative_to(self.tree):
            raise ValueError(f"the worker runs {code}, which is not in {self.tree}")
        peers = {
            role: f"{self.hosts[name]}:{self.peer_port}"
            for role, name in self.names_by_role.items()
        }
        self.ask("fleet", secret=SECRET, peers=peers)

    def ask(self, measure: str, **options: Any) -> dict[str, Any]:
        """Return what the worker measures.

        Raises:
            EOFError: If the worker has ended.
        """
        print(
            json.dumps({"measure": measure, **options}),
            file=self.worker.stdin,
            flush=True,
        )
        line = self.worker.stdout.readline()
        if not line:
            raise EOFError(f"the worker ended while it measured {measure!r}")
        return json.loads(line)

    def measure_message(self, name: str, count: int) -> dict[str, float]:
        """Return the processor time of one message of a class, by its steps."""
        receiver = self.names_by_role[MESSAGES[name]]
        return self.ask(name, pid=self.pid(receiver), count=count)

    def cpu_us(self) -> dict[str, float]:
        """Return the processor time of each daemon in microseconds."""
        return {name: cpu_us(self.pid(name)) for name in self.processes}

    def stop(self) -> None:
        """End all processes."""
        processes = [*self.processes.values()]
        if self.worker is not None:
            processes.append(self.worker)
        for process in processes:
            process.kill()
        for process in processes:
            process.wait(STOP_TIMEOUT_S)
