"""Settings of the daemons, from flags and environment variables."""

import os
from collections.abc import Mapping

import attrs

from wagtailrun.exceptions import SettingsError
from wagtailrun.ports.link import Address

__all__ = ["ControlSettings", "EntrySettings"]

ENVIRONMENT_PREFIX = "WAGTAILRUN_"


@attrs.frozen
class EntrySettings:
    """Settings of an entry process.

    Attributes:
        name: Name of the VM.
        data_centre: Data centre of the VM.
        caller_address: Where callers connect.
        target_address: Where targets announce themselves.
        peer_address: Where other processes of the system connect.
        entry_peers: Peer addresses of other entries, to be found by.
        control_peers: Peer addresses of the control members.
        peer_secret: Secret shared by the processes of the system.
        drain_notice_ms: How long to serve on after a stop was asked for.
        drain_limit_ms: Longest time for a planned stop.
        gossip_interval_ms: Time between gossip exchanges.
        accounts_interval_ms: Time between exchanges of account rows.
    """

    name: str
    data_centre: str
    caller_address: Address
    target_address: Address
    peer_address: Address
    peer_secret: bytes = attrs.field(repr=False)
    entry_peers: tuple[Address, ...] = ()
    control_peers: tuple[Address, ...] = ()
    drain_notice_ms: int = 5_000
    drain_limit_ms: int = 30_000
    gossip_interval_ms: int = 500
    accounts_interval_ms: int = 1_000


@attrs.frozen
class ControlSettings:
    """Settings of a control process.

    Attributes:
        name: Name of the VM.
        data_centre: Data centre of the VM.
        operator_address: Where operators connect.
        peer_address: Where other processes of the system connect.
        data_folder: Folder of all durable files.
        control_peers: Peer addresses of the other control members.
        bootstrap: Names and peer addresses of the first members, or empty.
        peer_secret: Secret shared by the processes of the system.
        operator_credential: Credential that operators send.
    """

    name: str
    data_centre: str
    operator_address: Address
    peer_address: Address
    data_folder: str
    peer_secret: bytes = attrs.field(repr=False)
    operator_credential: str = attrs.field(repr=False)
    control_peers: tuple[Address, ...] = ()
    bootstrap: tuple[tuple[str, Address], ...] = ()


def parse_addresses(text: str) -> tuple[Address, ...]:
    """Parse a comma-separated list of addresses."""
    return tuple(Address.parse(part) for part in text.split(",") if part)


def secret_from_environment(
    name: str, environment: Mapping[str, str] | None = None
) -> str:
    """Return a secret from ``WAGTAILRUN_<name>`` or the file that it names.

    Raises:
        SettingsError: If the secret is missing or shorter than 16 characters.
    """
    environment = os.environ if environment is None else environment
    value = environment.get(ENVIRONMENT_PREFIX + name, "")
    path = environment.get(ENVIRONMENT_PREFIX + name + "_FILE", "")
    if path:
        try:
            with open(path, encoding="utf-8") as file:
                value = file.read().strip()
        except OSError as error:
            raise SettingsError(f"cannot read {path}: {error}") from error
    if len(value) < 16:
        raise SettingsError(
            f"{ENVIRONMENT_PREFIX}{name}: set it, or {ENVIRONMENT_PREFIX}{name}_FILE, "
            "to a secret of at least 16 characters"
        )
    return value
