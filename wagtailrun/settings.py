"""Settings of the daemons and commands, from flags and environment variables."""

import difflib
import math
import os
import re
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

import attrs

from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.exceptions import SettingsError
from wagtailrun.ports.link import Address
from wagtailrun.process.memory_budget import DEFAULT_MEMORY_MB

__all__ = [
    "ClientSettings",
    "ControlSettings",
    "EntrySettings",
    "LoadedSettings",
    "RelayControlSettings",
    "RelayEntrySettings",
    "load_settings",
    "read_settings_file",
    "secret_from_environment",
    "settings_rows",
]

T = TypeVar("T")

ENVIRONMENT_PREFIX = "WAGTAILRUN_"
FILE_SUFFIX = "_FILE"
MIN_SECRET_LENGTH = 16
MAX_SECRET_BYTES = 4_096
MAX_SECONDS = 366 * 86_400
MAX_MS = MAX_SECONDS * MS_PER_SECOND
MAX_COUNT = 1_000_000_000
# Fewer leave no room for requests beside the listeners, the peers and the log.
MIN_DESCRIPTORS = 64
MAX_LINK_MBPS = 1_000_000_000
MAX_MEMORY_MB = 1_000_000_000
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
# Platforms name VMs and data centres by rules of their own; a name may be as long as a
# fully qualified host name.
PLATFORM_NAME_PATTERN = re.compile(r"[^\s,=]{1,255}")
NUMBER_PATTERN = re.compile(r"[+-]?(\d+\.?\d*|\.\d+)([eE][+-]?\d+)?", re.ASCII)
HIDDEN = "(hidden)"
BYTE_ORDER_MARK = "\ufeff"


def parse_address(text: str) -> Address:
    """Parse ``IP:PORT``.

    Raises:
        ValueError: If the host is not an IP address or the port is out of range.
    """
    return Address.parse(text.strip())


def parse_addresses(text: str) -> tuple[Address, ...]:
    """Parse a comma-separated list of addresses."""
    return tuple(parse_address(part) for part in text.split(",") if part.strip())


def _parse_name(text: str) -> str:
    if not NAME_PATTERN.fullmatch(text):
        raise ValueError("use 1 to 64 letters, digits, '.', '_' or '-'")
    return text


def _parse_platform_name(text: str) -> str:
    if not PLATFORM_NAME_PATTERN.fullmatch(text) or not text.isprintable():
        raise ValueError("use 1 to 255 printable characters, no space, ',' or '='")
    return text


def _parse_nonempty(text: str) -> str:
    if not text:
        raise ValueError("give a value; it must not be empty")
    return text


def _parse_members(text: str) -> tuple[tuple[str, Address], ...]:
    """Parse a comma-separated list of ``NAME=IP:PORT``."""
    members = []
    for part in filter(None, map(str.strip, text.split(","))):
        name, separator, address = part.partition("=")
        if not separator:
            raise ValueError(f"{part!r} is not of the form NAME=IP:PORT")
        members.append((_parse_name(name), parse_address(address)))
    if len({name for name, _ in members}) != len(members):
        raise ValueError("a name occurs twice; give each member once")
    return tuple(members)


def _parse_secret(text: str) -> str:
    if len(text) < MIN_SECRET_LENGTH:
        raise ValueError(f"use a secret of at least {MIN_SECRET_LENGTH} characters")
    if not text.isascii() or not text.isprintable():
        raise ValueError("use printable ASCII characters only")
    return text


def _parse_secret_bytes(text: str) -> bytes:
    return _parse_secret(text).encode()


def _parse_number(text: str) -> int | float:
    """Parse a decimal number, with or without a fraction or an exponent.

    Returns:
        An integer if the number is whole.

    Raises:
        ValueError: If it is not a finite decimal number.
    """
    if not NUMBER_PATTERN.fullmatch(text):
        raise ValueError("give a decimal number")
    value = float(text)
    if not math.isfinite(value):
        raise ValueError("give a finite number")
    return int(value) if value.is_integer() else value


def _number(low: float, high: float, unit: str) -> Callable[[str], int | float]:
    """Return a parser of numbers from ``low`` to ``high``."""

    def parse(text: str) -> int | float:
        value = _parse_number(text)
        if not low <= value <= high:
            raise ValueError(f"give {low} to {high} {unit}")
        return value

    return parse


def _milliseconds(low: int, high: int = MAX_MS) -> Callable[[str], int | float]:
    """Return a parser of milliseconds from ``low`` to ``high``."""
    return _number(low, high, "milliseconds")


def _setting(
    parse: Callable[[str], Any],
    help_text: str,
    default: Any = attrs.NOTHING,
    *,
    secret: bool = False,
) -> Any:
    """Declare a setting.

    Args:
        parse: Parses the text of a value; raises ValueError with the remedy.
        help_text: Help text of the flag.
        default: Default value; without one the setting is required.
        secret: Whether the value is hidden, and its flag names a file.
    """
    metadata = {"parse": parse, "help": help_text, "secret": secret}
    return attrs.field(default=default, repr=not secret, metadata=metadata)


NAME = (_parse_name, "Name of the VM.")
DATA_CENTRE = (_parse_name, "Data centre of the VM.")
PEER_ADDRESS = (parse_address, "IP:PORT where other processes of the system connect.")
PEER_LISTEN_ADDRESS = (
    parse_address,
    "IP:PORT where this process listens for its peers, if they reach it through a "
    "proxy or address translation; by default peer_address.",
    None,
)
PEER_SECRET = (_parse_secret_bytes, "Secret shared by the processes of the system.")
MEMORY_MB = (
    _number(1, MAX_MEMORY_MB, "MB"),
    "Memory that this process may use, in MB; a quarter of it is the budget for the "
    "bytes of requests and answers.",
    DEFAULT_MEMORY_MB,
)


@attrs.frozen
class EntrySettings:
    """Settings of an entry process; each field holds its own help text."""

    name: str = _setting(*NAME)
    data_centre: str = _setting(*DATA_CENTRE)
    caller_address: Address = _setting(parse_address, "IP:PORT where callers connect.")
    target_address: Address = _setting(
        parse_address, "IP:PORT where targets announce themselves."
    )
    peer_address: Address = _setting(*PEER_ADDRESS)
    peer_secret: bytes = _setting(*PEER_SECRET, secret=True)
    entry_peers: tuple[Address, ...] = _setting(
        parse_addresses, "Peer addresses of other entries, comma-separated.", ()
    )
    control_peers: tuple[Address, ...] = _setting(
        parse_addresses, "Peer addresses of the control members, comma-separated.", ()
    )
    drain_notice_ms: int = _setting(
        _milliseconds(0),
        "How long to serve new requests after a stop signal, in milliseconds.",
        5_000,
    )
    drain_limit_ms: int = _setting(
        _milliseconds(0), "Time limit of a planned stop, in milliseconds.", 30_000
    )
    gossip_interval_ms: int = _setting(
        _milliseconds(50, 60_000),
        "Interval between gossip exchanges, in milliseconds.",
        500,
    )
    accounts_interval_ms: int = _setting(
        _milliseconds(100, 60_000),
        "Interval between exchanges of account rows, in milliseconds.",
        1_000,
    )
    trace_file: str = _setting(
        _parse_nonempty, "File that records requests for replay; none by default.", ""
    )
    peer_listen_address: Address | None = _setting(*PEER_LISTEN_ADDRESS)
    memory_mb: float = _setting(*MEMORY_MB)


@attrs.frozen
class ControlSettings:
    """Settings of a control process; each field holds its own help text."""

    name: str = _setting(*NAME)
    data_centre: str = _setting(*DATA_CENTRE)
    operator_address: Address = _setting(
        parse_address, "IP:PORT where operators connect."
    )
    peer_address: Address = _setting(*PEER_ADDRESS)
    data_folder: str = _setting(_parse_nonempty, "Folder of the durable files.")
    peer_secret: bytes = _setting(*PEER_SECRET, secret=True)
    operator_credential: str = _setting(
        _parse_secret, "Credential that operators send.", secret=True
    )
    control_peers: tuple[Address, ...] = _setting(
        parse_addresses,
        "Peer addresses of the other control members, comma-separated.",
        (),
    )
    entry_peers: tuple[Address, ...] = _setting(
        parse_addresses,
        "Peer addresses of entries of every data centre, comma-separated.",
        (),
    )
    bootstrap: tuple[tuple[str, Address], ...] = _setting(
        _parse_members, "NAME=IP:PORT of the initial members, comma-separated.", ()
    )
    peer_listen_address: Address | None = _setting(*PEER_LISTEN_ADDRESS)
    memory_mb: float = _setting(*MEMORY_MB)


@attrs.frozen
class ClientSettings:
    """Settings of the operator commands; each field holds its own help text."""

    control: tuple[Address, ...] = _setting(
        parse_addresses,
        "IP:PORT of the operator interfaces of the control members, comma-separated.",
    )
    operator_credential: str = _setting(
        _parse_secret, "Credential that operators send.", secret=True
    )
    operator: str = _setting(
        _parse_name, "Name of the operator in the audit trail.", "unnamed"
    )


def _parse_boolean(text: str) -> bool:
    if text.lower() not in ("true", "false"):
        raise ValueError("give true or false")
    return text.lower() == "true"


def _parse_count(text: str) -> int:
    value = _parse_number(text)
    if not isinstance(value, int) or not 0 <= value <= MAX_COUNT:
        raise ValueError(f"give a whole number from 0 to {MAX_COUNT}")
    return value


def _parse_descriptors(text: str) -> int:
    value = _parse_number(text)
    if not MIN_DESCRIPTORS <= value <= MAX_COUNT:
        raise ValueError(f"give a number from {MIN_DESCRIPTORS} to {MAX_COUNT}")
    return int(value)


def _positive(high: float, unit: str) -> Callable[[str], int | float]:
    """Return a parser of positive numbers up to ``high``."""

    def parse(text: str) -> int | float:
        value = _parse_number(text)
        if not 0 < value <= high:
            raise ValueError(f"give more than 0 and at most {high} {unit}")
        return value

    return parse


RELAY_NAME = (_parse_platform_name, "Name of the VM.")
RELAY_DATA_CENTRE = (_parse_platform_name, "Data centre of the VM.")
# A process without seeds waits until its settings name some.
SEEDS = (
    parse_addresses,
    "Last known peer addresses of control members, comma-separated.",
    (),
)
METRICS_ADDRESS = (
    parse_address,
    "IP:PORT where the metrics are served; not served if another listener has it.",
)
DEFAULT_DRAIN_NOTICE_MS = 2_800
# Share of the grace period that the default drain notice takes at most; the rest is for
# requests under way.
MAX_DRAIN_NOTICE_SHARE = 0.35


@attrs.frozen
class RelayEntrySettings:
    """Settings of a relay entry; each field holds its own help text."""

    name: str = _setting(*RELAY_NAME)
    data_centre: str = _setting(*RELAY_DATA_CENTRE)
    caller_address: Address = _setting(parse_address, "IP:PORT where callers connect.")
    ready_address: Address = _setting(
        parse_address, "IP:PORT of the readiness check for the load balancer."
    )
    peer_address: Address = _setting(*PEER_ADDRESS)
    peer_secret: bytes = _setting(*PEER_SECRET, secret=True)
    metrics_address: Address = _setting(*METRICS_ADDRESS)
    seeds: tuple[Address, ...] = _setting(*SEEDS)
    key_grace_ms: float = _setting(
        _milliseconds(0),
        "How long a revoked key may still be accepted, in milliseconds.",
        5_000,
    )
    apply_limit_ms: float = _setting(
        _milliseconds(0),
        "Time within which a change must be in force at an entry that knows of it, in "
        "milliseconds.",
        4_000,
    )
    target_drain_ms: float = _setting(
        _milliseconds(0),
        "How long targets that drain take streams that began before, in milliseconds; "
        "0 if they take none.",
        0,
    )
    drain_notice_ms: float | None = _setting(
        _milliseconds(0),
        "How long to serve new requests after a stop signal, in milliseconds; by "
        f"default {DEFAULT_DRAIN_NOTICE_MS}, or less if grace_s is short.",
        None,
    )
    grace_s: float = _setting(
        _number(0, MAX_SECONDS, "seconds"),
        "Seconds after which a stopping process is killed.",
        8.0,
    )
    retry_ratio: float = _setting(
        _number(0, MAX_COUNT, "retries for each request"),
        "Retries that all entries together may make for each request.",
        0.1,
    )
    retry_slack: float = _setting(
        _number(0, MAX_COUNT, "retries"),
        "Retries per window that all entries together may make beyond the ratio.",
        20,
    )
    link_mbps: float = _setting(
        _positive(MAX_LINK_MBPS, "Mbit/s"),
        "Bandwidth of this VM's network link in Mbit/s.",
        1_000.0,
    )
    peer_listen_address: Address | None = _setting(*PEER_LISTEN_ADDRESS)
    memory_mb: float = _setting(*MEMORY_MB)
    max_fds: int | None = _setting(
        _parse_descriptors,
        "File descriptors that this process may have; by default, and at most, the "
        "limit of the operating system.",
        None,
    )

    @property
    def effective_drain_notice_ms(self) -> float:
        """Drain notice in milliseconds, with the default resolved."""
        if self.drain_notice_ms is not None:
            return self.drain_notice_ms
        longest_ms = MAX_DRAIN_NOTICE_SHARE * self.grace_s * MS_PER_SECOND
        return min(DEFAULT_DRAIN_NOTICE_MS, longest_ms)


@attrs.frozen
class RelayControlSettings:
    """Settings of a relay control member; each field holds its own help text."""

    name: str = _setting(*RELAY_NAME)
    data_centre: str = _setting(*RELAY_DATA_CENTRE)
    operator_address: Address = _setting(
        parse_address, "IP:PORT where operators and targets connect."
    )
    peer_address: Address = _setting(*PEER_ADDRESS)
    peer_secret: bytes = _setting(*PEER_SECRET, secret=True)
    metrics_address: Address = _setting(*METRICS_ADDRESS)
    data_folder: str = _setting(_parse_nonempty, "Folder of the durable files.")
    seeds: tuple[Address, ...] = _setting(*SEEDS)
    founding: bool = _setting(
        _parse_boolean,
        "Whether the seeds form a new cluster; true only at the very first start.",
        False,
    )
    losses: int = _setting(
        _parse_count,
        "Simultaneous member failures to tolerate; sets the minimum number of voters.",
        1,
    )
    heartbeat_ms: float = _setting(
        _milliseconds(1),
        "Interval between the heartbeats of a target, in milliseconds.",
        1_200,
    )
    peer_listen_address: Address | None = _setting(*PEER_LISTEN_ADDRESS)
    memory_mb: float = _setting(*MEMORY_MB)


SETTINGS_CLASSES = (
    EntrySettings,
    ControlSettings,
    ClientSettings,
    RelayEntrySettings,
    RelayControlSettings,
)
# Environment variables that the package reads in addition to the settings.
OTHER_VARIABLES = ("WAGTAILRUN_SETTINGS",)


@attrs.frozen
class LoadedSettings:
    """Validated settings and the origin of each.

    Attributes:
        settings: Instance of a settings class.
        origins_by_name: For each setting ``"flag"``, ``"default"``, the environment
            variable, or the file of a secret.
    """

    settings: Any
    origins_by_name: dict[str, str]

    def lines(self) -> list[str]:
        """Return one line for each setting; secrets are hidden."""
        lines = []
        for field in attrs.fields(type(self.settings)):
            value = getattr(self.settings, field.name)
            text = HIDDEN if field.metadata["secret"] else value_text(value)
            lines.append(f"{field.name}={text}  # {self.origins_by_name[field.name]}")
        return lines


def environment_variable(name: str) -> str:
    """Return the environment variable of a setting."""
    return ENVIRONMENT_PREFIX + name.upper()


def flag_name(field: attrs.Attribute) -> str:
    """Return the flag of a setting; the flag of a secret takes a file name."""
    suffix = FILE_SUFFIX.lower() if field.metadata["secret"] else ""
    return "--" + (field.name + suffix).replace("_", "-")


def value_text(value: Any) -> str:
    """Return a setting's value in the form that its flag accepts."""
    if isinstance(value, tuple):
        parts = (
            f"{part[0]}={part[1]}" if isinstance(part, tuple) else str(part)
            for part in value
        )
        return ",".join(parts)
    return str(value)


def known_variables() -> list[str]:
    """Return every environment variable that the package reads."""
    names = set()
    for cls in SETTINGS_CLASSES:
        for field in attrs.fields(cls):
            names.add(environment_variable(field.name))
            if field.metadata["secret"]:
                names.add(environment_variable(field.name) + FILE_SUFFIX)
    return sorted(names.union(OTHER_VARIABLES))


def read_settings_file(path: str) -> dict[str, str]:
    """Return the ``WAGTAILRUN_NAME=value`` lines of a file as a mapping.

    Empty lines and lines that begin with ``#`` are ignored.

    Raises:
        SettingsError: If the file cannot be read or a line is malformed.
    """
    try:
        with open(path, encoding="utf-8") as file:
            content = file.read()
    except (OSError, ValueError) as error:
        raise SettingsError(f"cannot read {path!r}: {error}") from error
    if content.startswith(BYTE_ORDER_MARK):
        # It would become part of the first name, and that setting would be ignored.
        raise SettingsError(f"{path}:1: begins with a byte order mark; save it without")
    values = {}
    for number, line in enumerate(content.splitlines(), 1):
        text = line.strip()
        if not text or text.startswith("#"):
            continue
        name, separator, value = text.partition("=")
        if not separator:
            raise SettingsError(f"{path}:{number}: not of the form NAME=value")
        values[name.strip()] = value.strip()
    return values


def load_settings(
    cls: type[T],
    flags: Mapping[str, str | None],
    environment: Mapping[str, str] | None = None,
) -> LoadedSettings:
    """Read and validate all settings of a class.

    Args:
        cls: Settings class.
        flags: Values of the flags by name of the setting, with suffix ``_file`` for a
            secret; None for a flag that is not given.
        environment: Environment variables, by default those of the process.

    Raises:
        SettingsError: With one line for every fault.
    """
    environment = os.environ if environment is None else environment
    faults = _unknown_variables(environment)
    values, origins = {}, {}
    for field in attrs.fields(cls):
        try:
            text, origin = _text_and_origin(field, flags, environment)
        except ValueError as error:
            faults.append(str(error))
            continue
        origins[field.name] = origin
        if text is None:
            if field.default is attrs.NOTHING:
                faults.append(_missing_setting(field))
            continue
        try:
            values[field.name] = field.metadata["parse"](text)
        except ValueError as error:
            displayed = HIDDEN if field.metadata["secret"] else repr(text[:80])
            faults.append(f"{field.name}: {displayed} from {origin}: {error}")
    settings = None
    if not faults:
        settings = cls(**values)
        faults = _find_conflicts(settings)
    if faults:
        raise SettingsError("\n".join(faults))
    return LoadedSettings(settings, origins)


def _text_and_origin(
    field: attrs.Attribute,
    flags: Mapping[str, str | None],
    environment: Mapping[str, str],
) -> tuple[str | None, str]:
    """Return the text of a setting, None if it is not given, and its origin.

    A flag overrides an environment variable.
    """
    variable = environment_variable(field.name)
    if field.metadata["secret"]:
        path, origin = flags.get(field.name + FILE_SUFFIX.lower()), flag_name(field)
        if path is None:
            origin = variable + FILE_SUFFIX
            path = environment.get(origin) or None
        if path is not None:
            return _read_secret(path, origin), f"file {path} from {origin}"
    elif flags.get(field.name) is not None:
        return flags[field.name], "flag"
    if environment.get(variable):
        return environment[variable], variable
    return None, "default"


def _read_secret(path: str, origin: str) -> str:
    try:
        with open(path, encoding="utf-8") as file:
            return file.read(MAX_SECRET_BYTES).strip()
    except (OSError, ValueError) as error:
        raise ValueError(f"{origin}: cannot read {path!r}: {error}") from error


def _missing_setting(field: attrs.Attribute) -> str:
    variable = environment_variable(field.name)
    if field.metadata["secret"]:
        return (
            f"{field.name}: set {variable}, or name its file with "
            f"{variable}{FILE_SUFFIX} or {flag_name(field)}"
        )
    return f"{field.name}: give {flag_name(field)} or set {variable}"


def _unknown_variables(environment: Mapping[str, str]) -> list[str]:
    known = known_variables()
    faults = []
    for name in sorted(environment):
        if name.startswith(ENVIRONMENT_PREFIX) and name not in known:
            nearest = difflib.get_close_matches(name, known, 1, cutoff=0.0)[0]
            faults.append(f"{name} is unknown; the nearest known name is {nearest}")
    return faults


def _find_conflicts(settings: Any) -> list[str]:
    """Return the conflicts between settings that are each valid alone."""
    if isinstance(settings, EntrySettings):
        if settings.drain_notice_ms > settings.drain_limit_ms:
            return ["drain_notice_ms: it exceeds drain_limit_ms; lower it"]
        addresses = [
            settings.caller_address,
            settings.target_address,
            settings.peer_listen_address or settings.peer_address,
        ]
    elif isinstance(settings, RelayEntrySettings):
        if settings.effective_drain_notice_ms > settings.grace_s * MS_PER_SECOND:
            return ["drain_notice_ms: it exceeds grace_s; lower it"]
        addresses = [
            settings.caller_address,
            settings.ready_address,
            settings.peer_listen_address or settings.peer_address,
        ]
    elif isinstance(settings, RelayControlSettings | ControlSettings):
        addresses = [
            settings.operator_address,
            settings.peer_listen_address or settings.peer_address,
        ]
    else:
        return []
    if len(set(addresses)) < len(addresses):
        return ["two addresses of this process are the same; give each its own port"]
    return []


def secret_from_environment(
    name: str, environment: Mapping[str, str] | None = None
) -> str:
    """Return the secret in ``WAGTAILRUN_<name>``.

    If ``WAGTAILRUN_<name>_FILE`` names a file, the secret is read from it instead.

    Raises:
        SettingsError: If the secret is missing or invalid.
    """
    environment = os.environ if environment is None else environment
    variable = ENVIRONMENT_PREFIX + name
    path = environment.get(variable + FILE_SUFFIX, "")
    try:
        if path:
            return _parse_secret(_read_secret(path, variable + FILE_SUFFIX))
        return _parse_secret(environment.get(variable, ""))
    except ValueError as error:
        raise SettingsError(
            f"{variable}: {error}; set it, or {variable}{FILE_SUFFIX}"
        ) from error


def settings_rows(cls: type) -> list[str]:
    """Return the table rows of ``docs/settings.md`` for a settings class."""
    rows = []
    for field in attrs.fields(cls):
        default = "required"
        if field.default is not attrs.NOTHING:
            default = ""
            if field.default not in ((), None):
                default = f"`{value_text(field.default)}`"
        variable = f"`{environment_variable(field.name)}`"
        if field.metadata["secret"]:
            variable += f", `{environment_variable(field.name)}{FILE_SUFFIX}`"
        help_text = field.metadata["help"]
        rows.append(f"| `{flag_name(field)}` | {variable} | {default} | {help_text} |")
    return rows
