"""Reads tables of TOML documents and collects their faults."""

import datetime
import enum
import math
import re
from collections.abc import Iterator
from typing import Any

__all__ = ["Table", "is_name", "transfer_faults"]

# Nesting that every parser of the processes has room for, wherever it is called.
MAX_LEVELS = 64
# Python cannot write longer numbers as decimal digits.
MAX_INTEGER_BITS = 4_096
NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")


class Table:
    """Reads the keys of one TOML table and collects their faults."""

    def __init__(self, value: Any, path: str, faults: list[str]):
        self.path = path
        self.faults = faults
        self.known_keys: set[str] = set()
        if not isinstance(value, dict):
            self.fault("", value, "give a table")
            value = {}
        self.value = value

    def fault(self, key: str, value: Any, remedy: str) -> None:
        """Add a fault of ``key``, or of the table itself if it is empty."""
        where = f"{self.path}.{key}".strip(".")
        self.faults.append(f"{where}: {str(value)[:80]!r} is not accepted; {remedy}")

    def _get(self, key: str, default: Any) -> Any:
        self.known_keys.add(key)
        return self.value.get(key, default)

    def integer(self, key: str, default: int, low: int, high: int) -> int:
        """Return a whole number in the range."""
        value = self._get(key, default)
        if type(value) is not int or not low <= value <= high:
            self.fault(key, value, f"give a whole number from {low} to {high}")
            return default
        return value

    def number(
        self, key: str, default: float | None, low: float, high: float
    ) -> float | None:
        """Return a number, ``default`` without the key."""
        value = self._get(key, default)
        if value is None and key not in self.value:
            return None
        if type(value) not in (int, float) or not low <= value <= high:
            self.fault(key, value, f"give a number from {low:g} to {high:g}")
            return default
        return float(value)

    def text(self, key: str) -> str:
        """Return a text, empty without the key."""
        value = self._get(key, "")
        if not isinstance(value, str):
            self.fault(key, value, "give a text in quotes")
            return ""
        return value

    def boolean(self, key: str, default: bool) -> bool:
        """Return true or false."""
        value = self._get(key, default)
        if not isinstance(value, bool):
            self.fault(key, value, "give true or false")
            return default
        return value

    def name(self, key: str, default: str = "") -> str:
        """Return a name."""
        value: str = self._get(key, default)
        if value != default and not is_name(value):
            self.fault(key, value, "use a to z, 0 to 9 and '-', at most 63 characters")
            return default
        return value

    def names(self, key: str) -> tuple[str, ...]:
        """Return a list of different names."""
        value = self._get(key, [])
        if not isinstance(value, list) or not all(map(is_name, value)):
            self.fault(key, value, "give a list of names")
            return ()
        if len(set(value)) != len(value):
            self.fault(key, value, "list each name only once")
        return tuple(value)

    def choice(self, key: str, kinds: type[enum.StrEnum]) -> Any:
        """Return a member of ``kinds``."""
        value = self._get(key, None)
        options = ", ".join(kinds)
        if not isinstance(value, str) or value not in set(kinds):
            self.fault(key, value, f"choose one of {options}")
            return next(iter(kinds))
        return kinds(value)

    def table(self, key: str) -> "Table":
        """Return the sub-table of ``key``, empty without it."""
        return Table(self._get(key, {}), f"{self.path}.{key}".lstrip("."), self.faults)

    def tables(self, key: str) -> dict[str, "Table"]:
        """Return the sub-tables of ``key`` by name."""
        parent = self.table(key)
        for name in parent.value:
            if not is_name(name):
                parent.fault(name, name, "use a to z, 0 to 9 and '-' in names")
        return {name: parent.table(name) for name in parent.value}

    def array(self, key: str) -> list["Table"]:
        """Return the tables of an array."""
        value = self._get(key, [])
        if not isinstance(value, list):
            self.fault(key, value, "give an array of tables")
            return []
        return [
            Table(item, f"{self.path}.{key}[{number}]", self.faults)
            for number, item in enumerate(value)
        ]

    def close(self) -> None:
        """Add a fault for each key that was never read, so is unknown."""
        for key in self.value.keys() - self.known_keys:
            known = ", ".join(sorted(self.known_keys))
            self.fault(key, self.value[key], f"remove it; known keys: {known}")


def is_name(value: Any) -> bool:
    """Return whether ``value`` is a name of the fleet text."""
    return isinstance(value, str) and NAME_PATTERN.fullmatch(value) is not None


def transfer_faults(document: dict[str, Any]) -> Iterator[str]:
    """Yield a fault for each value that JSON cannot carry.

    Control members and entries exchange documents, and differences of them, as JSON.
    """
    pending: list[tuple[str, Any, int]] = [("", document, 1)]
    while pending:
        path, value, level = pending.pop()
        if isinstance(value, dict | list):
            if level > MAX_LEVELS:
                yield f"{path}: has more than {MAX_LEVELS} levels; nest it less"
                continue
            pending += (
                (each_path, each, level + 1) for each_path, each in _items(path, value)
            )
        elif isinstance(value, datetime.date | datetime.time):
            yield f"{path}: {value} is a date or time; write it in quotes"
        elif isinstance(value, float) and not math.isfinite(value):
            yield f"{path}: {value} is not finite; use a number"
        elif isinstance(value, int) and value.bit_length() > MAX_INTEGER_BITS:
            yield f"{path}: the number has more than {MAX_INTEGER_BITS} bits; lower it"


def _items(path: str, value: dict[str, Any] | list[Any]) -> Iterator[tuple[str, Any]]:
    """Yield the path and value of each item of a table or array."""
    if isinstance(value, dict):
        return ((f"{path}.{key}" if path else key, each) for key, each in value.items())
    return ((f"{path}[{number}]", each) for number, each in enumerate(value))
