"""What the readers of several parts of an experiment's file share."""

from pathlib import Path

from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.exceptions import FleetTextError
from wagtailrun.fleet.model import FleetConfiguration, parse_fleet_text
from wagtailrun.fleet.tables import Table

__all__ = [
    "MAX_FILE_BYTES",
    "MAX_PROCESSES",
    "MAX_SETTING_MS",
    "milliseconds",
    "optional_milliseconds",
    "read_fleet",
    "read_text",
    "required",
]

# Of experiments and fleet texts.
MAX_FILE_BYTES = 4 * 1024 * 1024
# Entries of a data centre, and targets of a service in one.
MAX_PROCESSES = 1_000
MAX_SETTING_MS = 600_000


def required(table: Table, key: str, low: float, high: float) -> float:
    """Return a number that must be there; ``low`` after a fault."""
    if key not in table.value:
        table.known_keys.add(key)
        table.fault(key, "nothing", f"add a number from {low:g} to {high:g}")
        return low
    value = table.number(key, low, low, high)
    return low if value is None else value


def milliseconds(table: Table, key: str, high_s: float, low_s: float = 0) -> int:
    """Return a time that the file must give in seconds."""
    return round(required(table, key, low_s, high_s) * MS_PER_SECOND)


def optional_milliseconds(table: Table, key: str, high_s: float) -> int | None:
    """Return a time that the file gives in seconds, None without one."""
    table.known_keys.add(key)
    return milliseconds(table, key, high_s) if key in table.value else None


def read_text(path: Path, max_bytes: int) -> str:
    """Return the text of a file.

    Raises:
        OSError: If it cannot be read.
        ValueError: If it is too large or not UTF-8.
    """
    with path.open("rb") as file:
        data = file.read(max_bytes + 1)
    if len(data) > max_bytes:
        raise ValueError(f"larger than {max_bytes} bytes; shorten the file")
    try:
        return data.decode("utf-8")
    except UnicodeDecodeError as error:
        detail = f"not UTF-8 at byte {error.start}; save the file as UTF-8"
        raise ValueError(detail) from error


def read_fleet(table: Table, directory: Path) -> FleetConfiguration:
    """Return the fleet configuration whose text, or its path, a table gives.

    Raises:
        FleetTextError: If the text is invalid or cannot be read.
    """
    text, path = table.text("text"), table.text("path")
    table.close()
    if bool(text) == bool(path):
        remedy = "give either the fleet text as text, or its path"
        raise FleetTextError([f"{table.path}: {table.value!r:.80}; {remedy}"])
    if path:
        try:
            text = read_text(directory / path, MAX_FILE_BYTES)
        except (OSError, ValueError) as error:
            detail = f"{table.path}.path: cannot read {path!r}: {error}"
            raise FleetTextError([detail]) from error
    return parse_fleet_text(text)
