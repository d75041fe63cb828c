"""Differences between two parsed fleet texts, by key path."""

import json
from typing import Any

import xxhash

from wagtailrun.exceptions import WagtailrunError

__all__ = ["DiffMismatch", "apply_diff", "diff_documents", "document_digest"]

Document = dict[str, Any]


class DiffMismatch(WagtailrunError):
    """A difference does not apply to this base, or gives another result than meant."""


def document_digest(document: Document) -> str:
    """Return a digest of a document; the order of keys does not matter."""
    text = json.dumps(document, sort_keys=True, separators=(",", ":"))
    return xxhash.xxh3_128_hexdigest(text.encode())


def diff_documents(base: Document, document: Document) -> dict[str, Any]:
    """Return the difference that turns ``base`` into ``document``, as JSON values.

    ``set`` lists pairs of key path and new value, ``remove`` lists key paths,
    ``digest`` is the digest of ``document``. Arrays are replaced as a whole.
    """
    changed: list[list[Any]] = []
    removed: list[list[str]] = []
    _compare(base, document, [], changed, removed)
    digest = document_digest(document)
    return {"set": changed, "remove": removed, "digest": digest}


def _compare(
    base: Document,
    document: Document,
    path: list[str],
    changed: list[list[Any]],
    removed: list[list[str]],
) -> None:
    for key in base.keys() - document.keys():
        removed.append([*path, key])
    for key, value in document.items():
        base_value = base.get(key)
        # Documents made by apply_diff share unchanged tables with their base.
        if base_value is value and key in base:
            continue
        if isinstance(base_value, dict) and isinstance(value, dict):
            _compare(base_value, value, [*path, key], changed, removed)
        elif key not in base or not _equal(base_value, value):
            changed.append([[*path, key], value])


def _equal(one: Any, other: Any) -> bool:
    """Return whether JSON values are equal; unlike ``==``, True is not equal to 1."""
    if isinstance(one, list) and isinstance(other, list):
        return len(one) == len(other) and all(map(_equal, one, other))
    if isinstance(one, dict) and isinstance(other, dict):
        same_keys = one.keys() == other.keys()
        return same_keys and all(_equal(one[key], other[key]) for key in one)
    return type(one) is type(other) and one == other


def apply_diff(base: Document, difference: dict[str, Any]) -> Document:
    """Return the document that results from applying ``difference`` to ``base``.

    ``base`` is not modified; unchanged tables are shared with the result.

    Raises:
        DiffMismatch: If the difference is malformed or was made from another base.
    """
    result = dict(base)
    copied: dict[tuple[str, ...], Document] = {(): result}
    try:
        for path in difference["remove"]:
            del _copied_table(result, path[:-1], copied)[path[-1]]
        for path, value in difference["set"]:
            _copied_table(result, path[:-1], copied)[path[-1]] = value
        digest = difference["digest"]
    except (AttributeError, KeyError, IndexError, TypeError, ValueError) as error:
        raise DiffMismatch(
            f"the difference does not apply to this base: {error!r}"
        ) from error
    if document_digest(result) != digest:
        raise DiffMismatch("the result does not match the digest in the difference")
    return result


def _copied_table(
    result: Document, path: list[str], copied: dict[tuple[str, ...], Document]
) -> Document:
    """Return the table at ``path``, copied on first use so that the base is kept."""
    for length in range(1, len(path) + 1):
        key = tuple(path[:length])
        if key not in copied:
            parent = copied[key[:-1]]
            copied[key] = parent[key[-1]] = dict(parent[key[-1]])
    return copied[tuple(path)]
