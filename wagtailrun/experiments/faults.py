"""Reads faults and planned work from an experiment's file."""

from collections.abc import Collection
from pathlib import Path

from wagtailrun.exceptions import FleetTextError
from wagtailrun.experiments.model import Fault, FaultKind, Scenario
from wagtailrun.experiments.tables import (
    milliseconds,
    optional_milliseconds,
    read_fleet,
    required,
)
from wagtailrun.fleet.tables import Table

__all__ = ["read_faults"]

MAX_AT_S = 10**9
MAX_FACTOR = 1_000
OF_ENTRIES = (FaultKind.KILL_ENTRY, FaultKind.ROLLING_RESTART)
OF_DATA_CENTRES = (FaultKind.CUT, FaultKind.CUT_ONE_WAY)
# They happen at one time.
WITHOUT_END = (FaultKind.SILENCE_TARGET, FaultKind.CHANGE_FLEET)
WITH_END = (FaultKind.PAUSE_TARGET, FaultKind.ROLLING_RESTART)


def read_faults(root: Table, scenario: Scenario, directory: Path) -> tuple[Fault, ...]:
    """Return the faults and planned work of a file, in order of time.

    Args:
        root: The whole file.
        scenario: Fleet, entries, targets and length of the experiment.
        directory: Directory that paths are relative to.
    """
    faults: list[Fault] = []
    for table in root.array("faults"):
        fault = _read_fault(table, scenario, directory)
        table.close()
        _check_times(table, fault, scenario.length_ms)
        for other in faults:
            _check_overlap(table, fault, other)
        faults.append(fault)
    return tuple(sorted(faults, key=lambda fault: fault.at_ms))


def _read_fault(table: Table, scenario: Scenario, directory: Path) -> Fault:
    kind = table.choice("kind", FaultKind)
    at_ms = milliseconds(table, "at_s", MAX_AT_S)
    duration_ms = None
    if kind not in WITHOUT_END:
        read = milliseconds if kind in WITH_END else optional_milliseconds
        duration_ms = read(table, "for_s", MAX_AT_S)
    subjects: tuple[str, ...] = ()
    if kind is not FaultKind.CHANGE_FLEET:
        subjects = _subjects(table, kind, scenario)
    factor, share, gap_ms, outward, fleet = 1.0, 1.0, 0, True, None
    match kind:
        case FaultKind.SLOW_TARGET:
            factor = required(table, "factor", 1, MAX_FACTOR)
        case FaultKind.LOSE_REPORTS:
            share = table.number("share", 1.0, 0, 1) or 0.0
        case FaultKind.ROLLING_RESTART:
            gap_ms = milliseconds(table, "gap_s", MAX_AT_S)
        case FaultKind.CUT_ONE_WAY:
            direction = table.name("direction")
            outward = direction == "outward"
            if direction not in ("outward", "inward"):
                table.fault("direction", direction, "choose one of outward, inward")
        case FaultKind.CHANGE_FLEET:
            try:
                fleet = read_fleet(table.table("fleet"), directory)
            except FleetTextError as error:
                where = f"{table.path}.fleet: "
                table.faults.extend(where + fault for fault in error.faults)
    return Fault(
        kind=kind,
        at_ms=at_ms,
        duration_ms=duration_ms,
        subjects=subjects,
        factor=factor,
        share=share,
        gap_ms=gap_ms,
        outward=outward,
        fleet=fleet,
    )


def _subjects(table: Table, kind: FaultKind, scenario: Scenario) -> tuple[str, ...]:
    """Return the names of the processes or data centres that ``on`` lists."""
    members = _members(kind, scenario)
    value = table.value.get("on", [])
    table.known_keys.add("on")
    if not isinstance(value, list) or not value:
        table.fault("on", value, "list at least one name")
        return ()
    found: dict[str, None] = {}
    for name in value:
        if not isinstance(name, str) or name not in members:
            known = ", ".join(members)
            table.fault("on", name, f"choose from: {known[:400]}")
            continue
        found.update(dict.fromkeys(members[name]))
    return tuple(found)


def _members(kind: FaultKind, scenario: Scenario) -> dict[str, Collection[str]]:
    """Return what each name means that a fault of this kind may be on."""
    data_centres = scenario.fleet.data_centres
    if kind in OF_DATA_CENTRES:
        return {name: [name] for name in data_centres}
    members: dict[str, dict[str, None]] = {}
    if kind in OF_ENTRIES:
        for entry, data_centre in scenario.data_centres_by_entry.items():
            for key in (data_centre, entry):
                members.setdefault(key, {})[entry] = None
        return {**members}
    for group in scenario.targets:
        place = f"{group.service}/{group.data_centre}"
        for target in group.names:
            for key in (group.service, group.data_centre, place, target):
                members.setdefault(key, {})[target] = None
    return {**members}


def _check_times(table: Table, fault: Fault, length_ms: int) -> None:
    remedy = f"it must be within the length of {length_ms / 1_000:g} s"
    if fault.at_ms >= length_ms:
        table.fault("at_s", table.value.get("at_s"), remedy)
        return
    duration_ms = fault.duration_ms or 0
    if fault.kind is FaultKind.ROLLING_RESTART:
        count = len(fault.subjects)
        duration_ms = count * duration_ms + (count - 1) * fault.gap_ms
    if fault.at_ms + duration_ms > length_ms:
        table.fault("for_s", table.value.get("for_s"), f"{remedy}, also its end")


def _check_overlap(table: Table, fault: Fault, other: Fault) -> None:
    """Refuse two faults of one process or data centre at a time.

    The end of one would end the other, too.
    """
    shared = set(fault.subjects) & set(other.subjects)
    if not shared:
        return
    first, later = sorted((fault, other), key=lambda each: each.at_ms)
    if first.kind in WITHOUT_END:
        return
    # At the same time, the second one might begin before the first one ends.
    if first.until_ms is None or first.until_ms >= later.at_ms:
        remedy = f"{min(shared)} has another fault at that time; let that end before"
        table.fault("at_s", table.value.get("at_s"), remedy)
