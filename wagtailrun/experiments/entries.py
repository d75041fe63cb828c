"""Reads the entries of an experiment's file, and what relay entries add to it."""

from typing import Any

from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.experiments.model import (
    Arrivals,
    EntryKind,
    Load,
    Scenario,
    TargetLimits,
)
from wagtailrun.experiments.relay_routes import route_faults
from wagtailrun.experiments.tables import MAX_PROCESSES, MAX_SETTING_MS
from wagtailrun.fleet.model import FleetConfiguration
from wagtailrun.fleet.tables import Table

__all__ = ["check_relay", "read_entries", "read_limits", "read_relay_settings"]

# One request takes 2 to 10 ms of a processor with all that its entry does for it, so
# that a play of more takes over ten minutes.
MAX_RELAY_REQUESTS = 100_000
# The clock of entries has milliseconds; requests of one millisecond arrive together.
MAX_RELAY_RATE = 1_000
MAX_RELAY_ENTRIES = 100
MAX_RELAY_SETTING = 10_000


def read_entries(
    table: Table, fleet: FleetConfiguration
) -> tuple[dict[str, int], EntryKind]:
    """Return the number of entries by data centre, and which entries they are.

    A number alone is one of the product's entries.
    """
    counts: dict[str, int] = {}
    kinds: dict[EntryKind, str] = {}
    for name in fleet.data_centres:
        kind, count = EntryKind.PRODUCT, 0
        if isinstance(table.value.get(name), dict):
            row = table.table(name)
            kind = row.choice("kind", EntryKind)
            count = row.integer("count", 1, 0, MAX_PROCESSES)
            row.close()
        else:
            count = table.integer(name, 0, 0, MAX_PROCESSES)
        if count:
            counts[name] = count
            kinds.setdefault(kind, name)
    table.close()
    if not counts:
        table.fault("", table.value, "give the number of entries by data centre")
    if len(kinds) > 1:
        names = ", ".join(f"{name}: {kind}" for kind, name in kinds.items())
        remedy = "use one kind of entry in all data centres of a fleet"
        table.fault("", names, remedy)
    return counts, next(iter(kinds), EntryKind.PRODUCT)


def read_relay_settings(table: Table) -> dict[str, Any]:
    """Return the settings of relay entries that a file gives, by name."""
    for name in ("drain_notice_ms", "drain_limit_ms", "key_grace_ms", "apply_limit_ms"):
        table.integer(name, 0, 0, MAX_SETTING_MS)
    for name in ("retry_ratio", "retry_slack"):
        table.number(name, 0, 0, MAX_RELAY_SETTING)
    table.close()
    return dict(table.value)


def read_limits(table: Table) -> TargetLimits | None:
    """Return what a group of targets states about its requests; None without it."""
    if not table.value:
        return None
    most = table.integer("max_rejections", 0, 0, MAX_RELAY_RATE)
    limits = TargetLimits(
        limit_per_s=table.number("limit_per_s", 0.0, 0, MAX_RELAY_RATE) or 0.0,
        max_rejections=most if "max_rejections" in table.value else None,
        cold_ms=table.integer("cold_ms", 0, 0, MAX_SETTING_MS),
        cold_per_s=table.number("cold_per_s", 0.0, 0, MAX_RELAY_RATE) or 0.0,
    )
    if bool(limits.cold_ms) != bool(limits.cold_per_s):
        remedy = "give both cold_ms and cold_per_s, above 0, or none of them"
        table.fault("cold_ms", limits.cold_ms, remedy)
    table.close()
    return limits


def check_relay(root: Table, scenario: Scenario) -> None:
    """Add the faults of what relay entries do not have, or cannot be played."""
    if scenario.cache_event_loss:
        links = root.table("links")
        remedy = "relay entries get no cache events; remove it"
        links.fault("cache_event_loss", scenario.cache_event_loss, remedy)
    for number, load in enumerate(scenario.loads):
        # A trace names other work as well, which is refused as it is played.
        named = load.pipeline or load.service
        if load.arrivals is not Arrivals.TRACE and named:
            for fault in route_faults(scenario, load):
                remedy = f"in the relay table of the fleet text, {fault}"
                root.fault(f"load[{number}]", named, remedy)
    entries = sum(scenario.entries_by_data_centre.values())
    if entries > MAX_RELAY_ENTRIES:
        remedy = f"play at most {MAX_RELAY_ENTRIES} relay entries"
        root.fault("entries", entries, remedy)
    expected = sum(load.expected_requests for load in scenario.loads)
    if expected > MAX_RELAY_REQUESTS:
        remedy = f"lower rates or length to {MAX_RELAY_REQUESTS} requests to the relay"
        root.fault("load", f"{expected:.0f} requests", remedy)
    rate = sum(_highest_rate(load, scenario) for load in scenario.loads)
    if rate > MAX_RELAY_RATE:
        remedy = f"lower the rates of all loads together to {MAX_RELAY_RATE} a second"
        root.fault("load", f"{rate:g} requests a second", remedy)


def _highest_rate(load: Load, scenario: Scenario) -> float:
    """Return the requests a second of a load at its peak; of a trace the mean."""
    if load.recorded:
        return len(load.recorded) * MS_PER_SECOND / scenario.length_ms
    return max(load.rate, load.peak_rate)
