"""Differences between two fleet configurations, and who is affected by them."""

from collections.abc import Iterator
from typing import Any

import attrs

from wagtailrun.fleet.model import FleetConfiguration

__all__ = ["Change", "plan_changes"]

EVERYONE = "every caller"


@attrs.frozen
class Change:
    """One key that differs between two fleet configurations.

    Attributes:
        key: Path of the key.
        before: Old value, None if the key is new.
        after: New value, None if the key is removed.
        affects: Workspaces, pipelines and services that the change affects.
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
        old: Applied configuration, None if there is none yet.
        new: Validated new configuration.
    """
    before = dict(_leaves(old.document if old else {}, ()))
    after = dict(_leaves(new.document, ()))
    changes = []
    for path in sorted(before.keys() | after.keys()):
        if before.get(path) != after.get(path):
            affects = _affected(
                path, [configuration for configuration in (old, new) if configuration]
            )
            key = ".".join(path)
            changes.append(Change(key, before.get(path), after.get(path), affects))
    return changes


def _leaves(value: Any, path: tuple[str, ...]) -> Iterator[tuple[tuple[str, ...], Any]]:
    """Yield the path and value of every key that is not a table."""
    if isinstance(value, dict) and (value or not path):
        for key, inner in value.items():
            yield from _leaves(inner, (*path, key))
    else:
        yield path, value


def _affected(
    path: tuple[str, ...], configurations: list[FleetConfiguration]
) -> tuple[str, ...]:
    """Return who is affected by a change at ``path`` in any of the configurations."""
    if len(path) < 2 or path[0] not in ("workspaces", "pipelines", "services"):
        return (EVERYONE,)
    kind, name = path[:2]
    if kind != "services":
        return (f"{kind[:-1]} {name}",)
    affected = set()
    for configuration in configurations:
        services = _dependents(name, configuration)
        affected |= {f"service {service}" for service in services}
        affected |= {
            f"pipeline {pipeline.name}"
            for pipeline in configuration.pipelines_by_name.values()
            if any(stage.service in services for stage in pipeline.stages)
        }
    return tuple(sorted(affected))


def _dependents(name: str, configuration: FleetConfiguration) -> set[str]:
    """Return ``name`` and every service that depends on it, directly or not."""
    found = {name}
    grown = True
    while grown:
        grown = False
        for service in configuration.services_by_name.values():
            if service.name not in found and found.intersection(service.depends_on):
                found.add(service.name)
                grown = True
    return found
