"""Benchmarks of gossip, in virtual time: membership and fleet configuration."""

import gc
import json
import time
import tomllib
import tracemalloc
from typing import Any

import attrs

from bench.gossip_cluster import FLEET_TEXT, Cluster
from wagtailrun.fleet.diff import apply_diff, diff_documents
from wagtailrun.fleet.model import (
    FleetConfiguration,
    fleet_from_document,
    parse_fleet_text,
)
from wagtailrun.gossip.messages import GROWTH_RECORD
from wagtailrun.gossip.push import PeerClient
from wagtailrun.ports.link import Address
from wagtailrun.targets.table import Membership, TargetRow
from wagtailrun.virtual_time import run_virtual

__all__ = ["run"]

# Entries and targets: the users' current size, and two steps up to the design scale of
# one data centre.
SIZES = ((9, 25), (27, 120), (54, 243))
# By then each pair of entries has made its first exchange, which is not measured.
WARM_UP_MS = 60_000
MEASURED_MS = 20_000
CHANGES = 5
SILENCES = 3
WORKSPACES = 5_200
SEED = 1
MAX_WAIT_MS = 20_000
EXCHANGES_PER_SECOND = 4
EMPTY_EXCHANGE_BYTES = 329
# Bounds of the design page: overhead of a node, and time limits for all entries.
BYTES_BOUND = 4_000
CPU_BOUND_US = 10_000
TEXT_BOUND_MS = 4_000
SILENT_BOUND_MS = 3_000


def result(
    name: str, unit: str, value: float, baseline: float | None, bound: float | None
) -> dict[str, Any]:
    """Return one result row; for all of them, lower is better."""
    return {
        "name": name,
        "unit": unit,
        "better": "lower",
        "baseline": baseline,
        "value": round(value, 1),
        "bound": bound,
        "holds": None if bound is None else value <= bound,
    }


async def _longest_activation(cluster: Cluster) -> int:
    """Return the longest time in ms until a revision was active on all entries."""
    longest = 0
    for _ in range(CHANGES):
        revision = cluster.change_configuration()
        elapsed_ms = await cluster.wait(
            lambda wanted=revision: min(cluster.revisions().values()) >= wanted,
            MAX_WAIT_MS,
        )
        longest = max(longest, MAX_WAIT_MS if elapsed_ms is None else elapsed_ms)
        await cluster.clock.sleep_ms(700)
    return longest


async def _longest_detection(cluster: Cluster) -> int:
    """Return the longest time from a target's last announcement to its last use.

    Each target is silenced in turn; the result is in ms.
    """
    longest = 0
    for target in cluster.targets[:SILENCES]:
        target.alive = False
        contact_ms = target.announced_to.membership.direct_contact_ms_by_name[
            target.name
        ]
        await cluster.wait(
            lambda stopped=target: not cluster.entries_using(stopped.name), MAX_WAIT_MS
        )
        longest = max(longest, cluster.clock.now_ms() - contact_ms)
    return longest


async def _goodbye_propagation(cluster: Cluster) -> int:
    target = cluster.targets[SILENCES]
    start_ms = cluster.clock.now_ms()
    await target.leave()
    await cluster.wait(lambda: not cluster.entries_using(target.name), MAX_WAIT_MS)
    return cluster.clock.now_ms() - start_ms


async def _measure(clock: Any, entries: int, targets: int) -> dict[str, float]:
    cluster = Cluster(clock, {"east": entries}, targets, seed=SEED)
    await cluster.start()
    await clock.sleep_ms(WARM_UP_MS)
    network = cluster.network
    network.messages_by_source.clear()
    network.bytes_by_source.clear()
    cpu_s = time.process_time()
    await clock.sleep_ms(MEASURED_MS)
    cpu_s = time.process_time() - cpu_s
    seconds = MEASURED_MS / 1_000
    addresses = [node.address for node in cluster.live]
    sent = [network.bytes_by_source[address] / seconds for address in addresses]
    messages = [network.messages_by_source[address] / seconds for address in addresses]
    figures = {
        "mean bytes": sum(sent) / entries,
        "most bytes": max(sent),
        "mean messages": sum(messages) / entries,
        "most messages": max(messages),
        "cpu": cpu_s * 1e6 / seconds / entries,
        "text": await _longest_activation(cluster),
        "silence": await _longest_detection(cluster),
        "goodbye": await _goodbye_propagation(cluster),
    }
    figures["text without push"] = await _longest_activation_without_push(cluster)
    return figures


async def _longest_activation_without_push(cluster: Cluster) -> int:
    push = PeerClient.push

    async def no_push(*arguments: Any) -> None:
        return None

    PeerClient.push = no_push
    try:
        return await _longest_activation(cluster)
    finally:
        PeerClient.push = push


def _size_results(entries: int, targets: int) -> list[dict[str, Any]]:
    figures = run_virtual(_measure, entries, targets)
    where = f"{entries} entries, {targets} targets"
    # Computed baseline: each exchange carries the sequence number of every target.
    every_growth = EXCHANGES_PER_SECOND * (
        EMPTY_EXCHANGE_BYTES + targets * GROWTH_RECORD.size
    )
    return [
        result(
            f"bytes sent per entry, mean, {where}",
            "B/s",
            figures["mean bytes"],
            every_growth,
            BYTES_BOUND,
        ),
        result(
            f"bytes sent per entry, most, {where}",
            "B/s",
            figures["most bytes"],
            every_growth,
            BYTES_BOUND,
        ),
        # The baseline is one heartbeat a second from each entry to every other entry.
        result(
            f"messages sent per entry, mean, {where}",
            "1/s",
            figures["mean messages"],
            entries - 1,
            None,
        ),
        result(
            f"messages sent per entry, most, {where}",
            "1/s",
            figures["most messages"],
            entries - 1,
            None,
        ),
        result(f"CPU per entry, {where}", "us/s", figures["cpu"], None, CPU_BOUND_US),
        # The baseline is gossip without pushes.
        result(
            f"revision in force everywhere, {where}",
            "virtual ms",
            figures["text"],
            figures["text without push"],
            TEXT_BOUND_MS,
        ),
        result(
            f"silent target unused everywhere, {where}",
            "virtual ms",
            figures["silence"],
            None,
            SILENT_BOUND_MS,
        ),
        result(
            f"leaving target unused everywhere, {where}",
            "virtual ms",
            figures["goodbye"],
            None,
            SILENT_BOUND_MS,
        ),
    ]


def _large_fleet_text() -> str:
    workspaces = "".join(
        f"\n[workspaces.customer-{number:05}]\nshare = {1 + number % 7}\n"
        f"priority = {number % 10}\n"
        for number in range(WORKSPACES)
    )
    return FLEET_TEXT + workspaces


def _allocated(make: Any) -> tuple[Any, int]:
    """Return the result of ``make`` and the bytes that it keeps allocated."""
    gc.collect()
    tracemalloc.start()
    kept = make()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return kept, size


def _row_bytes() -> float:
    count = SIZES[-1][1]

    def fill() -> Membership:
        membership = Membership()
        for number in range(count):
            name, address = f"engine-{number}", Address("10.2.0.1", 1_000 + number)
            row = TargetRow(
                name, address, "engines", "east", incarnation=2**50 + number
            )
            membership.put(row, 0)
        return membership

    return _allocated(fill)[1] / count


def _milliseconds(work: Any, *arguments: Any) -> float:
    start = time.perf_counter()
    work(*arguments)
    return (time.perf_counter() - start) * 1_000


def _configuration_results() -> list[dict[str, Any]]:
    text = _large_fleet_text()
    fleet, size = _allocated(lambda: parse_fleet_text(text))
    changed = attrs.evolve(fleet).document | {
        "workspaces": fleet.document["workspaces"] | {"customer-00007": {"share": 9}}
    }
    difference = diff_documents(fleet.document, changed)
    message = json.dumps(difference, separators=(",", ":"))
    whole = json.dumps(fleet.document, separators=(",", ":"))
    parse_ms = _milliseconds(parse_fleet_text, text)
    toml_ms = _milliseconds(tomllib.loads, text)

    def apply_difference() -> FleetConfiguration:
        return fleet_from_document(apply_diff(fleet.document, difference))

    apply_ms = _milliseconds(apply_difference)
    diff_ms = _milliseconds(diff_documents, fleet.document, changed)
    where = f"{WORKSPACES} workspaces"
    return [
        result("memory per target row", "B", _row_bytes(), None, None),
        result(f"memory per workspace, {where}", "B", size / WORKSPACES, None, None),
        result(f"parse a text, {where}", "ms", parse_ms, None, None),
        result(f"parse the TOML alone, {where}", "ms", toml_ms, None, None),
        result(f"take a difference, {where}", "ms", apply_ms, parse_ms, None),
        result(f"make a difference, {where}", "ms", diff_ms, None, None),
        result(f"bytes of a difference, {where}", "B", len(message), len(whole), None),
    ]


def run() -> list[dict[str, Any]]:
    """Return the rows of all measurements."""
    results = _configuration_results()
    for entries, targets in SIZES:
        results += _size_results(entries, targets)
    return results


if __name__ == "__main__":
    for line in run():
        print(json.dumps(line))
