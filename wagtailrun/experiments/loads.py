"""Reads the loads of an experiment's file, and recorded traces."""

import json
import math
from pathlib import Path
from typing import Any

from wagtailrun.experiments.model import (
    Arrivals,
    Distribution,
    Load,
    Scenario,
    Sizes,
)
from wagtailrun.experiments.tables import milliseconds, optional_milliseconds, required
from wagtailrun.fleet.model import (
    MAX_DEADLINE_MS,
    FleetConfiguration,
    Pipeline,
    ServiceKind,
    StageKind,
)
from wagtailrun.fleet.tables import Table

__all__ = ["read_loads"]

MAX_RATE = 10_000
MAX_TOKENS = 32_768
MAX_SIGMA = 5
MAX_TRACE_BYTES = 256 * 1024 * 1024
# What an arrival of a trace may say, with the type of each value.
TRACE_TYPES: dict[str, type] = {
    "kind": str,
    "at": int,
    "workspace": str,
    "data_centre": str,
    "pipeline": str,
    "service": str,
    "call": str,
    "key": str,
    "prompt": int,
    "output": int,
    "prefix": str,
    "shared": int,
    "deadline": int,
}


def read_loads(root: Table, scenario: Scenario, directory: Path) -> tuple[Load, ...]:
    """Return the loads of a file.

    Args:
        root: The whole file.
        scenario: Fleet, entries, targets, faults and length of the experiment.
        directory: Directory that paths are relative to.
    """
    tables = root.array("load")
    if not tables:
        root.fault("load", "nothing", "add at least one table of load")
    loads = []
    for table in tables:
        arrivals = table.choice("arrivals", Arrivals)
        if arrivals is Arrivals.TRACE:
            loads.append(_read_trace(table, scenario, directory))
        else:
            loads.append(_read_load(table, arrivals, scenario))
        table.close()
    return tuple(loads)


def _read_load(table: Table, arrivals: Arrivals, scenario: Scenario) -> Load:
    workspace, data_centre = table.name("workspace"), table.name("data_centre")
    pipeline, service, call = _names_of_work(table)
    for fault in _work_faults(scenario, workspace, pipeline, service, call):
        table.fault("", pipeline or f"{service}/{call}", fault)
    if data_centre and data_centre not in scenario.entries_by_data_centre:
        known = ", ".join(scenario.entries_by_data_centre)
        table.fault("data_centre", data_centre, f"choose one with entries: {known}")
    length_s = scenario.length_ms / 1_000
    start_ms = optional_milliseconds(table, "start_s", length_s) or 0
    end_ms = optional_milliseconds(table, "end_s", length_s)
    end_ms = scenario.length_ms if end_ms is None else end_ms
    if start_ms >= end_ms:
        table.fault("end_s", end_ms / 1_000, "let the load end after its start")
    peak_rate, every_ms, burst_ms = 0.0, 0, 0
    if arrivals is Arrivals.RAMP:
        peak_rate = required(table, "end_rate_per_s", 0, MAX_RATE)
    elif arrivals is Arrivals.BURSTS:
        peak_rate = required(table, "burst_rate_per_s", 0, MAX_RATE)
        every_ms = milliseconds(table, "burst_every_s", length_s, 0.001)
        burst_ms = milliseconds(table, "burst_for_s", every_ms / 1_000)
    stages = _pipeline_stages(scenario.fleet, pipeline)
    prompt = answer = Distribution(values=(0,))
    if not (service or call):
        prompt = _distribution(table.table("prompt_tokens"))
    if StageKind.GENERATE in stages:
        answer = _distribution(table.table("answer_tokens"))
    return Load(
        arrivals=arrivals,
        workspace=workspace,
        pipeline=pipeline,
        service=service,
        call=call,
        data_centre=data_centre,
        start_ms=start_ms,
        end_ms=end_ms,
        rate=required(table, "rate_per_s", 0, MAX_RATE),
        peak_rate=peak_rate,
        burst_every_ms=every_ms,
        burst_ms=burst_ms,
        prompt=prompt,
        answer=answer,
        deadline_ms=_deadline(table, scenario, pipeline, service, call),
    )


def _names_of_work(table: Table) -> tuple[str, str, str]:
    """Return the pipeline, or the service and the call."""
    pipeline, service, call = (
        table.name(key) for key in ("pipeline", "service", "call")
    )
    if bool(pipeline) == bool(service and call) or (pipeline and (service or call)):
        table.fault("pipeline", pipeline, "name a pipeline, or a service and its call")
    return pipeline, service, call


def _pipeline_stages(fleet: FleetConfiguration, pipeline: str) -> list[StageKind]:
    known = fleet.pipelines_by_name.get(pipeline)
    return [stage.kind for stage in known.stages] if known else []


def _deadline(
    table: Table, scenario: Scenario, pipeline: str, service: str, call: str
) -> int | None:
    if "deadline_ms" not in table.value:
        table.known_keys.add("deadline_ms")
        return None
    fleet = scenario.fleet
    longest_ms = MAX_DEADLINE_MS
    if pipeline in fleet.pipelines_by_name:
        longest_ms = fleet.pipelines_by_name[pipeline].deadline_ms
    elif service in fleet.services_by_name:
        calls = fleet.services_by_name[service].calls_by_name
        longest_ms = calls[call].deadline_ms if call in calls else longest_ms
    return table.integer("deadline_ms", longest_ms, 1, longest_ms)


def _distribution(table: Table) -> Distribution:
    kind = table.choice("distribution", Sizes)
    values: tuple[int, ...] = (1,)
    median, sigma, maximum = 1.0, 0.0, 1
    match kind:
        case Sizes.FIXED:
            values = (int(required(table, "value", 1, MAX_TOKENS)),)
        case Sizes.UNIFORM:
            low = int(required(table, "low", 1, MAX_TOKENS))
            values = (low, int(required(table, "high", low, MAX_TOKENS)))
        case Sizes.LOGNORMAL:
            median = required(table, "median", 1, MAX_TOKENS)
            sigma = required(table, "sigma", 0, MAX_SIGMA)
            maximum = table.integer("max", MAX_TOKENS, math.ceil(median), MAX_TOKENS)
        case Sizes.CHOICE:
            values = _choices(table)
    table.close()
    return Distribution(kind, values, median, sigma, maximum)


def _choices(table: Table) -> tuple[int, ...]:
    value = table.value.get("values", [])
    table.known_keys.add("values")
    whole = isinstance(value, list) and all(
        type(each) is int and 1 <= each <= MAX_TOKENS for each in value
    )
    if not whole or not value:
        table.fault("values", value, f"list whole numbers from 1 to {MAX_TOKENS}")
        return (1,)
    return tuple(value)


def _work_faults(
    scenario: Scenario, workspace: str, pipeline: str, service: str, call: str
) -> list[str]:
    """Return why work cannot run under a fleet text of the experiment."""
    changed = [fault.fleet for fault in scenario.faults if fault.fleet]
    placed = {group.service for group in scenario.targets}
    faults = []
    for fleet in (scenario.fleet, *changed):
        if workspace not in fleet.workspaces_by_name:
            faults.append(f"{workspace!r} must be a workspace of each fleet text")
        if not pipeline:
            known = fleet.services_by_name.get(service)
            if known is None or call not in known.calls_by_name:
                faults.append("name a service and a call of each fleet text")
            elif service not in placed:
                faults.append(f"add targets of service {service}")
        elif pipeline not in fleet.pipelines_by_name:
            faults.append("name a pipeline of each fleet text")
        else:
            known_pipeline = fleet.pipelines_by_name[pipeline]
            faults += _stage_faults(fleet, known_pipeline, placed)
    return faults


def _stage_faults(
    fleet: FleetConfiguration, pipeline: Pipeline, placed: set[str]
) -> list[str]:
    faults = []
    kinds = [stage.kind for stage in pipeline.stages]
    if len(set(kinds)) < len(kinds):
        faults.append("the emulator plays each kind of stage once in a pipeline")
    for stage in pipeline.stages:
        is_engine = fleet.services_by_name[stage.service].kind is ServiceKind.ENGINE
        if is_engine != (stage.kind is StageKind.GENERATE):
            detail = "the emulator generates at engines, and runs other stages at pools"
            faults.append(f"{detail}: change stage {stage.kind}")
        if stage.service not in placed:
            faults.append(f"add targets of service {stage.service}")
    return faults


def _read_trace(table: Table, scenario: Scenario, directory: Path) -> Load:
    name = table.text("trace")
    recorded: list[dict[str, Any]] = []
    try:
        with (directory / name).open("rb") as file:
            data = file.read(MAX_TRACE_BYTES + 1)
        if len(data) > MAX_TRACE_BYTES:
            table.fault("trace", name, f"shorten it to {MAX_TRACE_BYTES} bytes")
            return Load(arrivals=Arrivals.TRACE)
        lines = data.decode("utf-8").splitlines()
    except (OSError, ValueError) as error:
        table.fault("trace", name, f"name a readable trace: {error}")
        return Load(arrivals=Arrivals.TRACE)
    checked: set[tuple[str, ...]] = set()
    keys_seen: set[str] = set()
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        record, fault = _read_record(line, scenario)
        if not fault and record["kind"] == "arrival":
            keys = ("workspace", "pipeline", "service", "call")
            work = tuple(record.get(key, "") for key in keys)
            if work not in checked:
                checked.add(work)
                fault = "; ".join(_work_faults(scenario, *work))
            if record.get("key") in keys_seen:
                fault = "the emulator has no table of order keys: give each key once"
            keys_seen |= {record["key"]} if record.get("key") else set()
            recorded.append(record)
        if fault:
            table.fault("trace", f"{name}, line {number}", fault)
            break
    if not recorded:
        table.fault("trace", name, "name a trace with arrivals")
    return Load(arrivals=Arrivals.TRACE, recorded=tuple(recorded))


def _read_record(line: str, scenario: Scenario) -> tuple[dict[str, Any], str]:
    """Return a line of a trace, and what is wrong with it."""
    try:
        record = json.loads(line)
    except (ValueError, RecursionError):
        return {}, "the line is cut or no JSON; record the trace again"
    if not isinstance(record, dict):
        return {}, "a line must be a JSON object"
    kind = record.get("kind")
    if kind == "header":
        return record, ""
    if kind != "arrival":
        return record, "only arrivals are played; describe faults in the file"
    for key, value in record.items():
        expected = TRACE_TYPES.get(key)
        if expected is None or type(value) is not expected:
            return record, f"{key!r} is unknown or of another type"
        if isinstance(value, int) and not 0 <= value <= 10**9:
            return record, f"{key!r} is out of range"
    return record, _arrival_fault(record, scenario)


def _arrival_fault(record: dict[str, Any], scenario: Scenario) -> str:
    needed = ["at", "workspace"]
    needed += ["prompt", "output"] if "pipeline" in record else ["service", "call"]
    missing = [key for key in needed if key not in record]
    if missing:
        return f"{', '.join(missing)} is missing; record the trace again"
    if record["at"] >= scenario.length_ms:
        return f"it arrives at {record['at']} ms; raise length_s"
    if max(record.get("prompt", 0), record.get("output", 0)) > MAX_TOKENS:
        return f"more than {MAX_TOKENS} tokens"
    if record.get("shared", 0) > record.get("prompt", 0):
        return "'shared' exceeds 'prompt'"
    data_centre = record.get("data_centre")
    if data_centre is not None and data_centre not in scenario.entries_by_data_centre:
        return f"{data_centre!r} has no entries; add some"
    return ""
