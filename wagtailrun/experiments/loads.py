"""Reads the loads of an experiment's file."""

import math
from pathlib import Path

from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.experiments.model import (
    Arrivals,
    Distribution,
    Load,
    Scenario,
    Sizes,
)
from wagtailrun.experiments.tables import milliseconds, optional_milliseconds, required
from wagtailrun.experiments.traces import read_trace, work_faults
from wagtailrun.fleet.model import StageKind
from wagtailrun.fleet.tables import Table

__all__ = ["read_loads"]

MAX_RATE = 10_000
MAX_TOKENS = 32_768
MAX_SIGMA = 5


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
            loads.append(read_trace(table, scenario, directory))
        else:
            loads.append(_read_load(table, arrivals, scenario))
        table.close()
    return tuple(loads)


def _read_load(table: Table, arrivals: Arrivals, scenario: Scenario) -> Load:
    workspace, data_centre = table.name("workspace"), table.name("data_centre")
    pipeline, service, call = map(table.name, ("pipeline", "service", "call"))
    faults = work_faults(scenario, workspace, pipeline, service, call)
    for fault in faults:
        table.fault("", pipeline or f"{service}/{call}", fault)
    if faults:
        # What else the load may say depends on its work.
        table.known_keys.update(table.value)
        return Load(arrivals=arrivals)
    if data_centre and data_centre not in scenario.entries_by_data_centre:
        known = ", ".join(scenario.entries_by_data_centre)
        table.fault("data_centre", data_centre, f"choose one with entries: {known}")
    length_s = scenario.length_ms / MS_PER_SECOND
    start_ms = optional_milliseconds(table, "start_s", length_s) or 0
    end_ms = optional_milliseconds(table, "end_s", length_s)
    end_ms = scenario.length_ms if end_ms is None else end_ms
    if start_ms >= end_ms:
        table.fault("end_s", end_ms, "let the load end after its start")
    peak_rate, every_ms, burst_ms = 0.0, 0, 0
    if arrivals is Arrivals.RAMP:
        peak_rate = required(table, "end_rate_per_s", 0, MAX_RATE)
    elif arrivals is Arrivals.BURSTS:
        peak_rate = required(table, "burst_rate_per_s", 0, MAX_RATE)
        every_ms = milliseconds(table, "burst_every_s", length_s, 0.001)
        burst_ms = milliseconds(table, "burst_for_s", every_ms / MS_PER_SECOND)
    prompt = answer = Distribution(values=(0,))
    if pipeline:
        known_pipeline = scenario.fleet.pipelines_by_name[pipeline]
        longest_ms = known_pipeline.deadline_ms
        prompt = _distribution(table.table("prompt_tokens"))
        if known_pipeline.stages[-1].kind is StageKind.GENERATE:
            answer = _distribution(table.table("answer_tokens"))
    else:
        calls = scenario.fleet.services_by_name[service].calls_by_name
        longest_ms = calls[call].deadline_ms
    # A load without one has that of the fleet text, which may change.
    deadline_ms = None
    if "deadline_ms" in table.value:
        deadline_ms = table.integer("deadline_ms", longest_ms, 1, longest_ms)
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
        deadline_ms=deadline_ms,
    )


def _distribution(table: Table) -> Distribution:
    kind = table.choice("distribution", Sizes)
    values: tuple[float, ...] = (1,)
    sigma = 0.0
    match kind:
        case Sizes.FIXED:
            values = (table.integer("value", 0, 1, MAX_TOKENS),)
        case Sizes.UNIFORM:
            low = table.integer("low", 0, 1, MAX_TOKENS)
            values = (low, table.integer("high", 0, low, MAX_TOKENS))
        case Sizes.LOGNORMAL:
            median = required(table, "median", 1, MAX_TOKENS)
            sigma = required(table, "sigma", 0, MAX_SIGMA)
            highest = table.integer("max", MAX_TOKENS, math.ceil(median), MAX_TOKENS)
            values = (median, highest)
        case Sizes.CHOICE:
            values = _choices(table)
    table.close()
    return Distribution(kind, values, sigma)


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
