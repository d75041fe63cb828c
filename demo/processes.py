"""Starts and stops the processes of a small fleet on loopback."""

import os
import secrets
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path

import curio

from demo.loopback import free_addresses, loopback_host
from wagtailrun.adapters.http_client import HttpClient, HttpReply
from wagtailrun.exceptions import TargetFailed
from wagtailrun.ports.link import Address

__all__ = ["Fleet", "free_addresses", "loopback_host", "request"]

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.05
REQUEST_TIMEOUT_MS = 10_000


def request(
    address: Address,
    method: str,
    path: str,
    headers: tuple[tuple[str, str], ...] = (),
    body: bytes = b"",
) -> HttpReply:
    """Send one HTTP request and return the answer."""

    async def send() -> HttpReply:
        return await HttpClient().request(
            address, method, path, headers, body, timeout_ms=REQUEST_TIMEOUT_MS
        )

    return curio.run(send)


class Fleet:
    """Processes of a fleet; a context manager that starts and stops all of them.

    Args:
        text: Fleet text.
        data_centres: Names of the data centres.
        entries_per_centre: Number of entries in each data centre.
        controls: Number of control members.
        services: Names of the services; each has a stub target in each data centre.
        entry_flags: Further flags of each entry.
        starts_targets: Whether to start the stub targets; else the caller serves their
            addresses itself.
    """

    def __init__(
        self,
        text: str,
        data_centres: list[str],
        services: list[str],
        entries_per_centre: int = 2,
        controls: int = 3,
        entry_flags: Sequence[str] = (),
        starts_targets: bool = True,
    ):
        self.text = text
        self.entry_flags = entry_flags
        self.starts_targets = starts_targets
        self.folder = tempfile.TemporaryDirectory(prefix="wagtailrun-")
        self.processes_by_name: dict[str, subprocess.Popen] = {}
        self.arguments_by_name: dict[str, list[str]] = {}
        self.environment = {
            **os.environ,
            "WAGTAILRUN_PEER_SECRET": secrets.token_hex(16),
            "WAGTAILRUN_OPERATOR_CREDENTIAL": secrets.token_hex(16),
        }
        entry_names = [
            f"{centre}-entry-{number}"
            for centre in data_centres
            for number in range(1, entries_per_centre + 1)
        ]
        target_names = [f"{c}-{service}" for c in data_centres for service in services]
        addresses = iter(
            free_addresses(2 * controls + 3 * len(entry_names) + len(target_names))
        )
        self.operator_address_by_name = {
            f"control-{n}": next(addresses) for n in range(controls)
        }
        self.control_peer_by_name = {
            name: next(addresses) for name in self.operator_address_by_name
        }
        self.caller_address_by_name = {name: next(addresses) for name in entry_names}
        self.target_interface_address_by_name = {
            name: next(addresses) for name in entry_names
        }
        self.entry_peer_by_name = {name: next(addresses) for name in entry_names}
        self.target_address_by_name = {name: next(addresses) for name in target_names}

    def __enter__(self) -> "Fleet":
        names = [*self.control_peer_by_name, *self.caller_address_by_name]
        if self.starts_targets:
            names += self.target_address_by_name
        for name in names:
            self.start(name, self.arguments(name))
        return self

    def __exit__(self, *details: object) -> None:
        for process in self.processes_by_name.values():
            process.send_signal(signal.SIGKILL)
        for process in self.processes_by_name.values():
            process.wait(STOP_TIMEOUT_S)
        self.folder.cleanup()

    def arguments(self, name: str) -> list[str]:
        """Return the module of a process and the arguments of its first start."""
        if name in self.control_peer_by_name:
            return self._control_arguments(name)
        if name in self.caller_address_by_name:
            return self._entry_arguments(name)
        return self._target_arguments(name)

    def start(self, name: str, arguments: list[str]) -> None:
        """Start one process."""
        self.arguments_by_name[name] = arguments
        log = Path(self.folder.name) / f"{name}.log"
        with log.open("ab") as output:
            self.processes_by_name[name] = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                env=self.environment,
                stdout=output,
                stderr=output,
            )

    def kill(self, name: str) -> None:
        """Kill one process with SIGKILL."""
        self.processes_by_name[name].kill()
        self.processes_by_name[name].wait(STOP_TIMEOUT_S)

    def restart(self, name: str) -> None:
        """Start a process again with the same arguments."""
        self.start(name, self.arguments_by_name[name])

    def log_text(self, name: str) -> str:
        """Return the output of a process."""
        return (Path(self.folder.name) / f"{name}.log").read_text(errors="replace")

    def command(self, *arguments: str) -> subprocess.CompletedProcess:
        """Run one operator command against the first control member."""
        address = str(next(iter(self.operator_address_by_name.values())))
        return subprocess.run(
            [sys.executable, "-m", "wagtailrun", *arguments],
            env={**self.environment, "WAGTAILRUN_CONTROL": address},
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    def apply_text(self) -> None:
        """Apply the fleet text and wait until every entry is ready."""
        path = Path(self.folder.name) / "fleet.toml"
        path.write_text(self.text, encoding="utf-8")
        deadline = time.monotonic() + START_TIMEOUT_S
        while True:
            result = self.command("apply", str(path), "--base", "0")
            if result.returncode == 0:
                break
            if time.monotonic() > deadline:
                raise RuntimeError(f"apply failed: {result.stdout}{result.stderr}")
            time.sleep(POLL_INTERVAL_S)
        for address in self.caller_address_by_name.values():
            self.wait_ready(address)

    def wait_ready(self, address: Address) -> None:
        """Wait until an entry reports that it is ready."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                if request(address, "GET", "/readyz").status == 200:
                    return
            except TargetFailed:
                pass
            time.sleep(POLL_INTERVAL_S)
        raise RuntimeError(
            f"entry at {address} was not ready within {START_TIMEOUT_S} s"
        )

    def _control_arguments(self, name: str) -> list[str]:
        members = self.control_peer_by_name
        others = [str(a) for other, a in members.items() if other != name]
        bootstrap = ",".join(
            f"{member}={address}" for member, address in members.items()
        )
        return [
            "wagtailrun",
            "control",
            f"--name={name}",
            "--data-centre=first",
            f"--operator-address={self.operator_address_by_name[name]}",
            f"--peer-address={members[name]}",
            f"--data-folder={self.folder.name}/{name}",
            f"--control-peers={','.join(others)}",
            f"--bootstrap={bootstrap}",
            f"--entry-peers={','.join(map(str, self.entry_peer_by_name.values()))}",
        ]

    def _entry_arguments(self, name: str) -> list[str]:
        peers = self.entry_peer_by_name
        others = [str(address) for other, address in peers.items() if other != name]
        controls = ",".join(map(str, self.control_peer_by_name.values()))
        return [
            "wagtailrun",
            "entry",
            f"--name={name}",
            f"--data-centre={name.split('-entry-')[0]}",
            f"--caller-address={self.caller_address_by_name[name]}",
            f"--target-address={self.target_interface_address_by_name[name]}",
            f"--peer-address={peers[name]}",
            f"--entry-peers={','.join(others)}",
            f"--control-peers={controls}",
            "--drain-notice-ms=300",
            *self.entry_flags,
        ]

    def _target_arguments(self, name: str) -> list[str]:
        centre, service = name.split("-", 1)
        local = [
            str(address)
            for entry, address in self.target_interface_address_by_name.items()
            if entry.startswith(f"{centre}-entry-")
        ]
        return [
            "demo.stub_target",
            f"--name={name}",
            f"--address={self.target_address_by_name[name]}",
            f"--service={service}",
            f"--data-centre={centre}",
            f"--entries={','.join(local)}",
        ]
