"""What a new fleet text would change, and for whom."""

from collections.abc import Iterator
from typing import Any

import attrs

from wagtailrun.fleet import FleetConfiguration

__all__ = ["Change", "plan_changes"]

EVERYONE = "every caller"


@attrs.frozen
class Change:
    """One key that differs between two texts.

    Attributes:
        key: Path of the key.
        before: Old value, None if the key is new.
        after: New value, None if the key goes.
        affects: Who notices: workspaces, pipelines and services.
    """

    key: str
    before: Any
    after: Any
    affects: tuple[str, ...]


def plan_changes(
    old: FleetConfiguration | None, new: FleetConfiguration
) -> list[Change]:
    """Return the differences from ``old`` to ``new``, by key.

    Args:
        old: Text in force, None before the first one.
        new: Checked new text.
    """
    before = dict(_leaves(old.document if old else {}, ()))
    after = dict(_leaves(new.document, ()))
    changes = []
    for path in sorted(before.keys() | after.keys()):
        if before.get(path) != after.get(path):
            affects = _affected(path, [text for text in (old, new) if text])
            key = ".".join(path)
            changes.append(Change(key, before.get(path), after.get(path), affects))
    return changes


def _leaves(value: Any, path: tuple[str, ...]) -> Iterator[tuple[tuple[str, ...], Any]]:
    """Yield every key path with a value that is no table."""
    if isinstance(value, dict) and (value or not path):
        for key, inner in value.items():
            yield from _leaves(inner, (*path, key))
    else:
        yield path, value


def _affected(
    path: tuple[str, ...], texts: list[FleetConfiguration]
) -> tuple[str, ...]:
    """Return who notices a change at ``path`` in the old or the new text."""
    if len(path) < 2 or path[0] not in ("workspaces", "pipelines", "services"):
        return (EVERYONE,)
    kind, name = path[:2]
    if kind != "services":
        return (f"{kind[:-1]} {name}",)
    affected = set()
    for text in texts:
        services = _dependents(name, text)
        affected |= {f"service {service}" for service in services}
        affected |= {
            f"pipeline {pipeline.name}"
            for pipeline in text.pipelines_by_name.values()
            if any(stage.service in services for stage in pipeline.stages)
        }
    return tuple(sorted(affected))


def _dependents(name: str, text: FleetConfiguration) -> set[str]:
    """Return ``name`` and every service that depends on it, directly or not."""
    found = {name}
    grown = True
    while grown:
        grown = False
        for service in text.services_by_name.values():
            if service.name not in found and found.intersection(service.depends_on):
                found.add(service.name)
                grown = True
    return found
