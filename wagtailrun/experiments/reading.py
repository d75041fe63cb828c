"""Reads and checks the file of an experiment."""

import copy
import tomllib
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import attrs

from wagtailrun.exceptions import ExperimentFileError, FleetTextError
from wagtailrun.experiments.entries import (
    check_relay,
    read_entries,
    read_limits,
    read_relay_settings,
)
from wagtailrun.experiments.faults import read_faults
from wagtailrun.experiments.loads import read_loads
from wagtailrun.experiments.model import (
    EntryKind,
    Experiment,
    Measure,
    Promise,
    Scenario,
    TargetGroup,
)
from wagtailrun.experiments.tables import (
    MAX_FILE_BYTES,
    MAX_PROCESSES,
    MAX_SETTING_MS,
    milliseconds,
    optional_milliseconds,
    read_fleet,
    read_text,
    required,
)
from wagtailrun.fleet.model import FleetConfiguration, ServiceKind
from wagtailrun.fleet.tables import Table, is_name, transfer_faults
from wagtailrun.replay.emulated_target import TargetModel
from wagtailrun.serving.dispatch import DispatchOptions
from wagtailrun.targets.router_options import RouterOptions

__all__ = ["load_experiment"]

MAX_FAULTS_REPORTED = 50
# The emulator waits for up to a day where it waits for ever.
MAX_LENGTH_S = 43_200
MAX_SEEDS = 1_000
MAX_SEED = 2**31 - 1
MAX_VARIANTS = 100
# Requests of one play, which are kept in memory until its end.
MAX_REQUESTS = 500_000
MAX_LINK_MS = 1_000
MAX_REPORT_LAG_MS = 60_000
MAX_RETRIES = 10
MAX_PROMISED = 10**9
# Keys that hold for all variants.
COMMON_KEYS = ("name", "length_s", "seeds", "variants")
BASE_VARIANT = "base"


def load_experiment(path: str | Path) -> Experiment:
    """Read and check the file of an experiment.

    Args:
        path: TOML file; the paths in it are relative to its directory.

    Raises:
        ExperimentFileError: With key, value and remedy of each fault.
    """
    path = Path(path)
    try:
        text = read_text(path, MAX_FILE_BYTES)
    except (OSError, ValueError) as error:
        raise ExperimentFileError([f"cannot read {path}: {error}"]) from error
    try:
        document = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError, ValueError) as error:
        raise ExperimentFileError([f"{path}: not valid TOML: {error}"]) from error
    faults = list(transfer_faults(document))
    _raise_faults(faults)
    root = Table(document, "", faults)
    name, seeds = root.name("name"), _seeds(root)
    if not name:
        root.fault("name", "", "name the experiment")
    variants = _read_variants(root)
    scenario = _scenario(root, path.parent)
    _raise_faults(faults)
    scenarios = {
        variant: _variant_scenario(variant, changed, path.parent)
        for variant, changed in variants.items()
    }
    scenarios = scenarios or {BASE_VARIANT: scenario}
    return Experiment(name, text, scenario.length_ms, seeds, scenarios)


def _raise_faults(faults: list[str]) -> None:
    if not faults:
        return
    reported = sorted(set(faults))[:MAX_FAULTS_REPORTED]
    more = len(set(faults)) - len(reported)
    raise ExperimentFileError(
        reported + ([f"and {more} more faults"] if more > 0 else [])
    )


def _seeds(root: Table) -> tuple[int, ...]:
    value = root.value.get("seeds", 1)
    if not isinstance(value, list):
        return tuple(range(1, root.integer("seeds", 1, 1, MAX_SEEDS) + 1))
    root.known_keys.add("seeds")
    whole = all(type(seed) is int and 0 <= seed <= MAX_SEED for seed in value)
    if not whole or not 1 <= len(value) <= MAX_SEEDS or len(set(value)) < len(value):
        remedy = f"give 1 to {MAX_SEEDS} different whole numbers up to {MAX_SEED}"
        root.fault("seeds", value, remedy)
    return tuple(value)


def _read_variants(root: Table) -> dict[str, dict[str, Any]]:
    """Return the changed document of each variant."""
    variants: dict[str, dict[str, Any]] = {}
    tables = root.array("variants")
    if len(tables) > MAX_VARIANTS:
        root.fault("variants", len(tables), f"give at most {MAX_VARIANTS}")
    for table in tables:
        name = table.name("name")
        if not name or name in variants:
            table.fault("name", name, "give each variant a name of its own")
        variants[name] = copy.deepcopy(root.value)
        for path, value in table.table("changes").value.items():
            if not _change(variants[name], path, value):
                table.fault(
                    "changes",
                    path,
                    "name a key that the file has, as in load.0.rate_per_s, or one of "
                    f"settings; {', '.join(COMMON_KEYS)} hold for all variants",
                )
        table.close()
    return variants


def _change(document: dict[str, Any], path: str, value: Any) -> bool:
    """Set the value at a path of keys and indices; return whether it exists."""
    *parents, last = path.split(".")
    if [*parents, last][0] in COMMON_KEYS:
        return False
    if parents == ["settings"]:
        document.setdefault("settings", {}).setdefault(last, value)
    at: Any = document
    for key in parents:
        at = _item(at, key)
    if _item(at, last) is None:
        return False
    at[int(last) if isinstance(at, list) else last] = value
    return True


def _item(value: Any, key: str) -> Any:
    """Return an item of a table or array, None if there is none."""
    if isinstance(value, dict):
        return value.get(key)
    if isinstance(value, list) and key.isascii() and key.isdecimal():
        return value[int(key)] if len(key) < 9 and int(key) < len(value) else None
    return None


def _variant_scenario(
    variant: str, document: dict[str, Any], directory: Path
) -> Scenario:
    try:
        root = Table(document, "", [])
        scenario = _scenario(root, directory, COMMON_KEYS)
        _raise_faults(root.faults)
    except ExperimentFileError as error:
        faults = [f"variant {variant}: {fault}" for fault in error.faults]
        raise ExperimentFileError(faults) from error
    return scenario


def _scenario(root: Table, directory: Path, known: Iterable[str] = ()) -> Scenario:
    root.known_keys.update(known)
    length_ms = milliseconds(root, "length_s", MAX_LENGTH_S, 1)
    fleet = _fleet(root.table("fleet"), directory)
    if fleet is None:
        # Nothing else can be checked without the names in the fleet text.
        _raise_faults(root.faults)
        raise AssertionError("a missing fleet is a fault")
    entries, entry_kind = read_entries(root.table("entries"), fleet)
    targets = _targets(root, fleet)
    links = root.table("links")
    scenario = Scenario(
        length_ms=length_ms,
        fleet=fleet,
        entries_by_data_centre=entries,
        targets=targets,
        link_ms=links.number("delay_ms", 0.5, 0, MAX_LINK_MS) or 0.0,
        report_lag_ms=links.integer("report_lag_ms", 500, 0, MAX_REPORT_LAG_MS),
        cache_event_loss=links.number("cache_event_loss", 0.0, 0, 1) or 0.0,
        settings=_settings(root.table("settings"), entry_kind),
        loads=(),
        faults=(),
        promises=(),
        entry_kind=entry_kind,
    )
    links.close()
    scenario = attrs.evolve(scenario, faults=read_faults(root, scenario, directory))
    scenario = attrs.evolve(scenario, loads=read_loads(root, scenario, directory))
    if sum(load.expected_requests for load in scenario.loads) > MAX_REQUESTS:
        remedy = f"lower rates or length to {MAX_REQUESTS} requests in all"
        root.fault("load", "too many requests", remedy)
    if entry_kind is EntryKind.RELAY:
        check_relay(root, scenario)
    elif any(group.limits is not None for group in targets):
        remedy = "the product's entries heed no limits; remove the tables"
        root.fault("targets", "limits", remedy)
    scenario = attrs.evolve(scenario, promises=_promises(root, scenario))
    root.close()
    return scenario


def _fleet(table: Table, directory: Path) -> FleetConfiguration | None:
    try:
        return read_fleet(table, directory)
    except FleetTextError as error:
        table.faults.extend(f"fleet text: {fault}" for fault in error.faults)
        return None


def _targets(root: Table, fleet: FleetConfiguration) -> tuple[TargetGroup, ...]:
    groups: dict[tuple[str, str], TargetGroup] = {}
    for table in root.array("targets"):
        service, data_centre = table.name("service"), table.name("data_centre")
        known = fleet.services_by_name.get(service)
        if known is None:
            table.fault("service", service, "name a service of the fleet text")
        if data_centre not in fleet.data_centres:
            remedy = f"choose one of {', '.join(fleet.data_centres)}"
            table.fault("data_centre", data_centre, remedy)
        if (service, data_centre) in groups:
            table.fault("service", service, "add the count to the earlier table")
        count = table.integer("count", 1, 1, MAX_PROCESSES)
        is_engine = known is not None and known.kind is ServiceKind.ENGINE
        model = _target_model(table.table("model"), is_engine)
        limits = read_limits(table.table("limits"))
        groups[service, data_centre] = TargetGroup(
            service, data_centre, count, model, limits
        )
        table.close()
    return tuple(groups.values())


def _target_model(table: Table, is_engine: bool) -> TargetModel:
    capacity = table.integer("capacity", 8, 1, 10_000)
    if is_engine:
        model = TargetModel(
            capacity=capacity,
            decode_ms=required(table, "decode_ms", 0.1, 10_000),
            prefill_us=table.number("prefill_us", 0.0, 0, 1_000_000) or 0.0,
            cache_blocks=table.integer("cache_blocks", 0, 0, 1_000_000),
        )
    else:
        service_ms = required(table, "service_ms", 0.1, 600_000)
        model = TargetModel(capacity=capacity, service_ms=service_ms)
    table.close()
    return model


def _settings(table: Table, entry_kind: EntryKind) -> dict[str, Any]:
    """Return the settings of the entries that the file gives, by name."""
    if entry_kind is EntryKind.RELAY:
        return read_relay_settings(table)
    table.integer("max_retries", DispatchOptions().max_retries, 0, MAX_RETRIES)
    for field in (*attrs.fields(DispatchOptions), *attrs.fields(RouterOptions)):
        if field.name != "max_retries":
            table.boolean(field.name, True)
    for name in ("drain_notice_ms", "drain_limit_ms"):
        table.integer(name, 0, 0, MAX_SETTING_MS)
    table.close()
    return dict(table.value)


def _promises(root: Table, scenario: Scenario) -> tuple[Promise, ...]:
    fleet, length_ms = scenario.fleet, scenario.length_ms
    promises: dict[str, Promise] = {}
    for table in root.array("promises"):
        name, workspace = table.name("name"), table.name("workspace")
        measure = table.choice("measure", Measure)
        if not is_name(name) or name in promises:
            table.fault("name", name, "give each promise a name of its own")
        if workspace and workspace not in fleet.workspaces_by_name:
            table.fault("workspace", workspace, "name a workspace of the fleet text")
        data_centre = table.name("data_centre")
        if data_centre and data_centre not in fleet.data_centres:
            remedy = f"choose one of {', '.join(fleet.data_centres)}"
            table.fault("data_centre", data_centre, remedy)
        from_ms = optional_milliseconds(table, "from_s", MAX_LENGTH_S) or 0
        until_ms = optional_milliseconds(table, "until_s", MAX_LENGTH_S)
        if not from_ms < (length_ms if until_ms is None else until_ms) <= length_ms:
            remedy = "it must be before until_s, and both within the length"
            table.fault("from_s", table.value.get("from_s", 0), remedy)
        is_share = measure not in (Measure.FIRST_P95, Measure.ORDER_RUNS)
        bound = required(table, "bound", 0, 1 if is_share else MAX_PROMISED)
        over_ms = 0
        if measure is Measure.HELD_THEN_REFUSED:
            over_ms = table.integer("over_ms", -1, 0, MAX_SETTING_MS)
        promises[name] = Promise(
            name,
            measure,
            bound,
            workspace,
            over_ms,
            data_centre,
            from_ms,
            until_ms,
        )
        table.close()
    return tuple(promises.values())
