"""Reads recorded traces as loads; checks work against the fleet texts."""

from pathlib import Path
from typing import Any

from wagtailrun.experiments.model import Arrivals, Load, Scenario
from wagtailrun.experiments.tables import read_text
from wagtailrun.fleet.model import (
    MAX_DEADLINE_MS,
    FleetConfiguration,
    Pipeline,
    ServiceKind,
    StageKind,
)
from wagtailrun.fleet.tables import Table
from wagtailrun.replay.trace_lines import parse_lines

__all__ = ["MAX_TOKENS", "read_trace", "work_faults"]

MAX_TOKENS = 32_768
MAX_TRACE_BYTES = 256 * 1024 * 1024


def work_faults(
    scenario: Scenario, workspace: str, pipeline: str, service: str, call: str
) -> list[str]:
    """Return why work cannot run under a fleet text of the experiment."""
    if bool(pipeline) == bool(service and call) or (pipeline and (service or call)):
        return ["name a pipeline, or a service and its call"]
    changed = [fault.fleet for fault in scenario.faults if fault.fleet]
    placed = {group.service for group in scenario.targets}
    faults = []
    idempotent: set[bool] = set()
    for fleet in (scenario.fleet, *changed):
        if workspace not in fleet.workspaces_by_name:
            faults.append(f"{workspace!r} must be a workspace of each fleet text")
        known = fleet.services_by_name.get(service)
        if pipeline in fleet.pipelines_by_name:
            faults += _stage_faults(fleet, fleet.pipelines_by_name[pipeline], placed)
        elif pipeline:
            faults.append("name a pipeline of each fleet text")
        elif known is None or call not in known.calls_by_name:
            faults.append("name a service and a call of each fleet text")
        elif service not in placed:
            faults.append(f"add targets of service {service}")
        else:
            idempotent.add(known.calls_by_name[call].idempotent)
    if len(idempotent) > 1:
        detail = "let it be idempotent in all fleet texts or in none"
        faults.append(f"{service}/{call}: {detail}")
    return faults


def _stage_faults(
    fleet: FleetConfiguration, pipeline: Pipeline, placed: set[str]
) -> list[str]:
    faults = []
    if len({stage.kind for stage in pipeline.stages}) < len(pipeline.stages):
        faults.append("the emulator plays each kind of stage once in a pipeline")
    for stage in pipeline.stages:
        is_engine = fleet.services_by_name[stage.service].kind is ServiceKind.ENGINE
        if is_engine != (stage.kind is StageKind.GENERATE):
            detail = "the emulator generates at engines, and runs other stages at pools"
            faults.append(f"{detail}: change stage {stage.kind}")
        if stage.service not in placed:
            faults.append(f"add targets of service {stage.service}")
    return faults


def read_trace(table: Table, scenario: Scenario, directory: Path) -> Load:
    """Return the arrivals of a recorded trace.

    Args:
        table: Load that names the trace.
        scenario: Fleet, entries, targets, faults and length of the experiment.
        directory: Directory that the path is relative to.
    """
    name = table.text("trace")
    recorded: list[dict[str, Any]] = []
    keys: set[str] = set()
    try:
        lines = read_text(directory / name, MAX_TRACE_BYTES).rstrip().split("\n")
    except (OSError, ValueError) as error:
        table.fault("trace", name, f"name a readable trace: {error}")
        return Load(arrivals=Arrivals.TRACE)
    for line in parse_lines(lines):
        faults: list[str] = []
        if line.error is not None:
            remedy = f"line {line.number} is cut or no JSON; record the trace again"
            table.fault("trace", line.text, remedy)
            break
        record = Table(line.value, f"{table.path}.trace line {line.number}", faults)
        if record.value.get("kind") != "header":
            _check_arrival(record, scenario)
            key = record.value.get("key")
            if isinstance(key, str) and key in keys:
                remedy = "the emulator has no table of order keys: give each key once"
                record.fault("key", key, remedy)
            if not faults:
                keys |= {key} if key else set()
                recorded.append(record.value)
        table.faults += faults
        if faults:
            break
    if not recorded:
        table.fault("trace", name, "name a trace with arrivals")
    return Load(arrivals=Arrivals.TRACE, recorded=tuple(recorded))


def _check_arrival(record: Table, scenario: Scenario) -> None:
    if record.text("kind") != "arrival":
        remedy = "only arrivals are played: describe faults in the experiment's file"
        record.fault("kind", record.value.get("kind"), remedy)
        return
    record.integer("at", -1, 0, scenario.length_ms - 1)
    record.integer("deadline", MAX_DEADLINE_MS, 1, MAX_DEADLINE_MS)
    record.text("key")
    work = map(record.name, ("workspace", "pipeline", "service", "call"))
    for fault in work_faults(scenario, *work):
        record.fault("", "its work", fault)
    if "pipeline" in record.value:
        prompt = record.integer("prompt", -1, 0, MAX_TOKENS)
        record.integer("output", -1, 0, MAX_TOKENS)
        record.integer("shared", 0, 0, max(prompt, 0))
        record.text("prefix")
    data_centre = record.name("data_centre")
    if data_centre and data_centre not in scenario.entries_by_data_centre:
        record.fault("data_centre", data_centre, "add entries there")
    record.close()
