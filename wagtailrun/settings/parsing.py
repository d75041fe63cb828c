"""Parsers of the values of settings, and the declaration of a setting."""

import math
import re
from collections.abc import Callable
from typing import Any

import attrs

from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.ports.link import Address

__all__ = [
    "MAX_COUNT",
    "MAX_LINK_MBPS",
    "MAX_MEMORY_MB",
    "MAX_SECONDS",
    "milliseconds",
    "number",
    "parse_address",
    "parse_addresses",
    "parse_boolean",
    "parse_count",
    "parse_descriptors",
    "parse_members",
    "parse_name",
    "parse_nonempty",
    "parse_number",
    "parse_platform_name",
    "parse_secret",
    "parse_secret_bytes",
    "positive",
    "setting",
]

MIN_SECRET_LENGTH = 16
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


def parse_address(text: str) -> Address:
    """Parse ``IP:PORT``.

    Raises:
        ValueError: If the host is not an IP address or the port is out of range.
    """
    return Address.parse(text.strip())


def parse_addresses(text: str) -> tuple[Address, ...]:
    """Parse a comma-separated list of addresses."""
    return tuple(parse_address(part) for part in text.split(",") if part.strip())


def parse_name(text: str) -> str:
    """Parse the name of a VM, a data centre, a member or an operator.

    Raises:
        ValueError: With the remedy.
    """
    if not NAME_PATTERN.fullmatch(text):
        raise ValueError("use 1 to 64 letters, digits, '.', '_' or '-'")
    return text


def parse_platform_name(text: str) -> str:
    """Parse a name that a platform gives a VM or a data centre.

    Raises:
        ValueError: With the remedy.
    """
    if not PLATFORM_NAME_PATTERN.fullmatch(text) or not text.isprintable():
        raise ValueError("use 1 to 255 printable characters, no space, ',' or '='")
    return text


def parse_nonempty(text: str) -> str:
    """Parse a text that must not be empty.

    Raises:
        ValueError: With the remedy.
    """
    if not text:
        raise ValueError("give a value; it must not be empty")
    return text


def parse_members(text: str) -> tuple[tuple[str, Address], ...]:
    """Parse a comma-separated list of ``NAME=IP:PORT``."""
    members = []
    for part in filter(None, map(str.strip, text.split(","))):
        name, separator, address = part.partition("=")
        if not separator:
            raise ValueError(f"{part!r} is not of the form NAME=IP:PORT")
        members.append((parse_name(name), parse_address(address)))
    if len({name for name, _ in members}) != len(members):
        raise ValueError("a name occurs twice; give each member once")
    return tuple(members)


def parse_secret(text: str) -> str:
    """Parse a secret.

    Raises:
        ValueError: With the remedy.
    """
    if len(text) < MIN_SECRET_LENGTH:
        raise ValueError(f"use a secret of at least {MIN_SECRET_LENGTH} characters")
    if not text.isascii() or not text.isprintable():
        raise ValueError("use printable ASCII characters only")
    return text


def parse_secret_bytes(text: str) -> bytes:
    """Parse a secret into its bytes.

    Raises:
        ValueError: With the remedy.
    """
    return parse_secret(text).encode()


def parse_boolean(text: str) -> bool:
    """Parse ``true`` or ``false``, in any case.

    Raises:
        ValueError: With the remedy.
    """
    if text.lower() not in ("true", "false"):
        raise ValueError("give true or false")
    return text.lower() == "true"


def parse_count(text: str) -> int:
    """Parse a whole number from 0 to ``MAX_COUNT``.

    Raises:
        ValueError: With the remedy.
    """
    value = parse_number(text)
    if not isinstance(value, int) or not 0 <= value <= MAX_COUNT:
        raise ValueError(f"give a whole number from 0 to {MAX_COUNT}")
    return value


def parse_descriptors(text: str) -> int:
    """Parse a number of file descriptors, from ``MIN_DESCRIPTORS``.

    Raises:
        ValueError: With the remedy.
    """
    value = parse_number(text)
    if not MIN_DESCRIPTORS <= value <= MAX_COUNT:
        raise ValueError(f"give a number from {MIN_DESCRIPTORS} to {MAX_COUNT}")
    return int(value)


def parse_number(text: str) -> int | float:
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


def number(low: float, high: float, unit: str) -> Callable[[str], int | float]:
    """Return a parser of numbers from ``low`` to ``high``."""

    def parse(text: str) -> int | float:
        value = parse_number(text)
        if not low <= value <= high:
            raise ValueError(f"give {low} to {high} {unit}")
        return value

    return parse


def milliseconds(low: int, high: int = MAX_MS) -> Callable[[str], int | float]:
    """Return a parser of milliseconds from ``low`` to ``high``."""
    return number(low, high, "milliseconds")


def positive(high: float, unit: str) -> Callable[[str], int | float]:
    """Return a parser of positive numbers up to ``high``."""

    def parse(text: str) -> int | float:
        value = parse_number(text)
        if not 0 < value <= high:
            raise ValueError(f"give more than 0 and at most {high} {unit}")
        return value

    return parse


def setting(
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
