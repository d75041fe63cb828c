"""Tests of the emulated targets that policies are measured with."""

import json
from contextlib import aclosing

import curio
import pytest

from wagtailrun.exceptions import ConnectFailed, TargetFailed, Verdict
from wagtailrun.ports.target import Attempt
from wagtailrun.replay.emulator import Emulator, TargetModel
from wagtailrun.targets.affinity import BLOCK_CHARACTERS
from wagtailrun.targets.table import Membership
from wagtailrun.virtual_time import run_virtual

ENGINE = TargetModel(capacity=2, decode_ms=10.0, prefill_us=100.0, cache_blocks=4)
POOL = TargetModel(capacity=1, service_ms=100.0)


def attempt(number, path="/v1/stages/generate", **fields):
    body = {"prompt": "p" * 2 * BLOCK_CHARACTERS, "max_tokens": 10}
    return Attempt(number, f"r{number}", path, json.dumps(body).encode(), 0, **fields)


async def read(client, address, attempt):
    async with aclosing(client.stream(address, attempt)) as stream:
        return [token async for tokens in stream for token in tokens]


def run(scenario, model=ENGINE, **options):
    async def main(clock):
        emulator = Emulator(clock, **options)
        target = await emulator.add("t", "engines", "east", model)
        client = emulator.client("entry", "east")
        return await scenario(clock, emulator, client, target)

    return run_virtual(main)


def test_batch_queue_and_priority():
    """Guards against an engine that ignores its capacity or the priorities."""

    async def scenario(clock, emulator, client, target):
        ended = []

        async def one(number, priority):
            await read(client, target.row.address, attempt(number, priority=priority))
            ended.append(number)

        async with curio.TaskGroup() as group:
            for number, priority in enumerate((0, 0, 0, 5)):
                await group.spawn(one, number, priority)
                # Longer than one step, so that each is queued before the next arrives.
                await clock.sleep_ms(50)
        return ended

    assert run(scenario) == [0, 1, 3, 2]


def test_resume_cancel_and_cache():
    """Guards against emulated streams and caches that differ from a real engine's."""

    async def scenario(clock, emulator, client, target):
        address = target.row.address
        first = await read(client, address, attempt(1, resume_offset=7))
        first_ms = clock.now_ms()
        second = await read(client, address, attempt(2, resume_offset=7))
        second_ms = clock.now_ms() - first_ms
        task = await curio.spawn(read, client, address, attempt(3), daemon=True)
        await clock.sleep_ms(20)
        await client.cancel(address, 3)
        await clock.sleep_ms(50)
        await task.cancel()
        return first, second, first_ms - second_ms, len(target.running)

    first, second, saved_ms, running = run(scenario)
    assert [token.offset for token in first] == [7, 8, 9, 10]
    assert first[-1].answer.tokens_cached == 0
    assert second[-1].answer.tokens_cached == second[-1].answer.tokens_in
    assert saved_ms > 20
    assert running == 0


def test_reports_arrive_with_the_lag():
    """Guards against replays whose load reports are newer than in a real entry."""

    async def scenario(clock, emulator, client, target):
        membership = Membership()
        emulator.observe("east", membership)
        await curio.spawn(emulator.run_reports, daemon=True)
        task = await curio.spawn(client.call, target.row.address, attempt(1, "/x"))
        seen = []
        for _ in range(30):
            await clock.sleep_ms(100)
            seen.append(membership.targets_by_name["t"].running)
        await task.join()
        return seen

    model = TargetModel(capacity=1, service_ms=2_000.0)
    seen = run(scenario, model, report_lag_ms=1_000)
    assert seen[:15] == [0] * 15
    assert 1 in seen[15:]


@pytest.mark.parametrize("fault", ["silence", "die", "vanish", "cut"])
def test_faults_of_connections(fault):
    """Guards against injected faults without the effect that policies are measured by.

    A crash resets connections; the other faults stall them.
    """

    async def scenario(clock, emulator, client, target):
        address = target.row.address
        client = emulator.client("entry-2", "west")
        task = await curio.spawn(client.call, address, attempt(1, "/x"), daemon=True)
        await clock.sleep_ms(20)
        if fault == "silence":
            emulator.stall_connections("t")
        elif fault == "cut":
            emulator.cut("west")
        else:
            await getattr(emulator, fault)("t")
        error = None
        try:
            await curio.timeout_after(5, task.join)
        except curio.TaskTimeout:
            error = "silent"
        except curio.TaskError as failure:
            error = failure.__cause__.verdict
        answers = await client.probe(address)
        try:
            await client.call(address, attempt(2, "/x"))
        except ConnectFailed:
            return error, answers, "refused"
        except TargetFailed as failure:
            return error, answers, failure.verdict
        return error, answers, "answered"

    expected = {
        "silence": ("silent", True, "answered"),
        "die": (Verdict.MAY_HAVE_RUN, False, "refused"),
        "vanish": ("silent", False, "refused"),
        "cut": ("silent", False, "refused"),
    }
    assert run(scenario, POOL) == expected[fault]


def test_runs_are_counted_by_order_key():
    """Guards against repeated runs of an order that a replay does not detect."""

    async def scenario(clock, emulator, client, target):
        body = b'{"order_key": "k"}'
        for number in range(2):
            order = Attempt(number, "r", "/v1/calls/book", body, 0, new_connection=True)
            await client.call(target.row.address, order)
        return target.runs_by_key

    assert run(scenario, POOL) == {"k": 2}


def test_pause_delays_work_and_keeps_connections():
    """Guards against a paused target that works on, fails, or answers a probe."""

    async def scenario(clock, emulator, client, target):
        address = target.row.address
        whole = await curio.spawn(client.call, address, attempt(1, "/x"))
        await clock.sleep_ms(20)
        emulator.pause("t")
        probe = await curio.ignore_after(0.4, client.probe, address)
        await clock.sleep_ms(4_600)
        await emulator.resume("t")
        await whole.join()
        return probe, clock.now_ms(), target.announces

    probe, ended_ms, announces = run(scenario, POOL)
    assert probe is None
    assert 5_070 <= ended_ms <= 5_140
    assert announces


@pytest.mark.parametrize(
    ("fault", "heard"),
    [
        ({"outward": False}, True),
        ({"inward": False}, False),
        ("lost", False),
        ("paused", False),
    ],
    ids=str,
)
def test_faults_of_reports(fault, heard):
    """Guards against reports that pass a link cut in their direction, or that are lost.

    With one direction cut, reports pass in the other one, but no connection opens.
    """

    async def scenario(clock, emulator, client, target):
        membership = Membership()
        emulator.observe("west", membership)
        await curio.spawn(emulator.run_reports, daemon=True)
        await clock.sleep_ms(1_000)
        if fault == "lost":
            emulator.lose_reports("t", 1.0)
        elif fault == "paused":
            emulator.pause("t")
        else:
            emulator.cut("east", **fault)
        await clock.sleep_ms(2_000)
        before = membership.targets_by_name["t"].sequence
        await clock.sleep_ms(5_000)
        during = membership.targets_by_name["t"].sequence
        client = emulator.client("entry", "west")
        answers = await curio.ignore_after(3, client.probe, target.row.address)
        late = Membership()
        emulator.observe("west", late)
        emulator.heal("east")
        emulator.lose_reports("t", 0.0)
        await emulator.resume("t")
        await clock.sleep_ms(3_000)
        healed = membership.targets_by_name["t"].sequence > during
        return during > before, bool(answers), healed, len(late.targets_by_name)

    assert run(scenario) == (heard, fault == "lost", True, 1)
