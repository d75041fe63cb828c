"""Values of the fields of log lines: shortened, and hidden if they are sensitive."""

import functools
import math
from typing import Any

__all__ = ["loggable_value"]

MAX_ITEMS = 16
# Values of fields whose names contain one of these words are never written.
SENSITIVE_WORDS = ("secret", "credential", "authorization", "password", "body")
# Names of fields for which it is remembered whether they contain such a word; looking
# took a third of the time of a line. The code has some hundred names.
MAX_KNOWN_NAMES = 512


def loggable_value(name: str, value: Any, limit: int) -> Any:
    """Return what a line says of a field's value, for JSON.

    Args:
        name: Name of the field.
        value: Its value.
        limit: Largest length of a text.
    """
    if _is_sensitive(name) or isinstance(value, bytes):
        return "(hidden)"
    if isinstance(value, float) and not math.isfinite(value):
        # JSON has no such numbers.
        return str(value)
    if isinstance(value, bool | int | float) or value is None:
        return value
    if isinstance(value, dict):
        items = list(value.items())[:MAX_ITEMS]
        return {str(key): loggable_value(str(key), item, limit) for key, item in items}
    if isinstance(value, list | tuple):
        return [loggable_value(name, item, limit) for item in value[:MAX_ITEMS]]
    return str(value)[:limit]


@functools.lru_cache(MAX_KNOWN_NAMES)
def _is_sensitive(name: str) -> bool:
    """Return whether values of fields with this name are never written."""
    lower_name = name.lower()
    return any(word in lower_name for word in SENSITIVE_WORDS)
