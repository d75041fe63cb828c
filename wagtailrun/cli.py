"""Command line: daemons, checks of the fleet text, questions of operators."""

import json
import os
import sys
from pathlib import Path
from typing import Any

import curio
import defopt
from absl import logging

from wagtailrun.adapters.http_client import HttpClient
from wagtailrun.control import run_control
from wagtailrun.entry import run_entry
from wagtailrun.exceptions import FleetTextError, TargetFailed, WagtailrunError
from wagtailrun.fleet import parse_fleet_text
from wagtailrun.ports.link import Address
from wagtailrun.settings import (
    ControlSettings,
    EntrySettings,
    parse_addresses,
    secret_from_environment,
)

__all__ = ["main"]

EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
OPERATOR_TIMEOUT_MS = 10_000


def entry(
    *,
    name: str,
    data_centre: str,
    caller_address: str,
    target_address: str,
    peer_address: str,
    entry_peers: str = "",
    control_peers: str = "",
    drain_notice_ms: int = 5_000,
    drain_limit_ms: int = 30_000,
) -> int:
    """Run an entry process.

    Args:
        name: Name of the VM.
        data_centre: Data centre of the VM.
        caller_address: IP:PORT where callers connect.
        target_address: IP:PORT where targets announce themselves.
        peer_address: IP:PORT where other processes of the system connect.
        entry_peers: IP:PORT of other entries, comma-separated.
        control_peers: IP:PORT of the control members, comma-separated.
        drain_notice_ms: How long to serve on after a stop was asked for.
        drain_limit_ms: Longest time for a planned stop.
    """
    settings = EntrySettings(
        name=name,
        data_centre=data_centre,
        caller_address=Address.parse(caller_address),
        target_address=Address.parse(target_address),
        peer_address=Address.parse(peer_address),
        peer_secret=secret_from_environment("PEER_SECRET").encode(),
        entry_peers=parse_addresses(entry_peers),
        control_peers=parse_addresses(control_peers),
        drain_notice_ms=drain_notice_ms,
        drain_limit_ms=drain_limit_ms,
    )
    curio.run(run_entry, settings)
    return EXIT_DONE


def control(
    *,
    name: str,
    data_centre: str,
    operator_address: str,
    peer_address: str,
    data_folder: str,
    control_peers: str = "",
    bootstrap: str = "",
) -> int:
    """Run a control process.

    Args:
        name: Name of the VM.
        data_centre: Data centre of the VM.
        operator_address: IP:PORT where operators connect.
        peer_address: IP:PORT where other processes of the system connect.
        data_folder: Folder of all durable files.
        control_peers: IP:PORT of the other control members, comma-separated.
        bootstrap: NAME=IP:PORT of the first members, comma-separated.
    """
    members = [part.split("=", 1) for part in bootstrap.split(",") if part]
    settings = ControlSettings(
        name=name,
        data_centre=data_centre,
        operator_address=Address.parse(operator_address),
        peer_address=Address.parse(peer_address),
        data_folder=data_folder,
        peer_secret=secret_from_environment("PEER_SECRET").encode(),
        operator_credential=secret_from_environment("OPERATOR_CREDENTIAL"),
        control_peers=parse_addresses(control_peers),
        bootstrap=tuple((member, Address.parse(text)) for member, text in members),
    )
    curio.run(run_control, settings)
    return EXIT_DONE


def check(file: str) -> int:
    """Check a fleet text without applying it.

    Args:
        file: Path of the text.
    """
    fleet = parse_fleet_text(_read(file))
    services, pipelines = len(fleet.services_by_name), len(fleet.pipelines_by_name)
    print(f"{file}: fleet {fleet.name}, {services} services, {pipelines} pipelines")
    return EXIT_DONE


def apply(file: str, *, base: int, control: str = "", change_id: str = "") -> int:
    """Apply a fleet text.

    Args:
        file: Path of the text.
        base: Revision that the change was made from.
        control: IP:PORT of the operator interface of a control member.
        change_id: Identifier of the change; use the same one to send it again.
    """
    text = _read(file)
    parse_fleet_text(text)
    body = {"text": text, "base_revision": base, "change_id": change_id}
    body["operator"] = os.environ.get("USER", "")
    status, value = _ask(control, "POST", "/v1/text", body)
    print(json.dumps(value))
    return EXIT_DONE if status == 200 else EXIT_REFUSED


def orders(*, control: str = "") -> int:
    """List orders with consequences.

    Args:
        control: IP:PORT of the operator interface of a control member.
    """
    status, value = _ask(control, "GET", "/v1/orders")
    print(json.dumps(value, indent=1))
    return EXIT_DONE if status == 200 else EXIT_REFUSED


def _read(file: str) -> str:
    try:
        return Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise FleetTextError([f"cannot read {file}: {error}"]) from error


def _ask(control: str, method: str, path: str, body: Any = None) -> tuple[int, Any]:
    """Send one operator call and return status and JSON answer."""
    address = Address.parse(control or os.environ.get("WAGTAILRUN_CONTROL", ""))
    credential = secret_from_environment("OPERATOR_CREDENTIAL")
    headers = (("Authorization", f"Bearer {credential}"),)
    data = b"" if body is None else json.dumps(body).encode()

    async def ask() -> tuple[int, Any]:
        reply = await HttpClient().request(
            address, method, path, headers, data, timeout_ms=OPERATOR_TIMEOUT_MS
        )
        return reply.status, json.loads(reply.body)

    return curio.run(ask)


def main(arguments: list[str] | None = None) -> None:
    """Run the command line and exit."""
    logging.set_verbosity(logging.INFO)
    commands = [entry, control, check, apply, orders]
    try:
        code = defopt.run(commands, argv=arguments)
    except (FleetTextError, ValueError) as error:
        print(f"wagtailrun: {error}", file=sys.stderr)
        code = EXIT_USAGE
    except TargetFailed as error:
        print(f"wagtailrun: {error}", file=sys.stderr)
        code = EXIT_REFUSED
    except WagtailrunError as error:
        print(f"wagtailrun: {error}", file=sys.stderr)
        code = EXIT_USAGE
    sys.exit(code)
