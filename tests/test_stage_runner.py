"""Tests of the steps of one request across entries, in virtual time."""

import attrs
import curio
import pytest

from tests.fake_network import FakeNetwork
from tests.test_stage_pool import FakeStages, target
from wagtailrun.discovery.owners import Owners
from wagtailrun.exceptions import PeerUnreachable, RefusalReason
from wagtailrun.gossip.messages import EntryRow
from wagtailrun.gossip.peers import rendezvous
from wagtailrun.ports.link import Address
from wagtailrun.routes import StageCapacity, StageStep
from wagtailrun.stages import PieceOutcome, StageBatcher, StagedWork, StageResults
from wagtailrun.stages.runner import StageRunner
from wagtailrun.targets.retries import RetryBudget
from wagtailrun.virtual_time import VirtualClock, run_virtual

CAPACITY = StageCapacity(
    slots=1, batch=4, call_ms=150.0, item_ms=30.0, memory_bytes=10_000, result_ms=4_000
)
# A single step without dependents and a chain of three, as in the users' routes.
STEPS = (
    StageStep("s", (), 1_000),
    StageStep("s", (), 10),
    StageStep("s", (1,), 10),
    StageStep("s", (2,), 10),
)
ENTRIES = [EntryRow(f"e{n}", Address("10.1.0.1", 7_000 + n), "a", n) for n in range(3)]


class Fleet:
    """Three entries on a fake network before one target."""

    def __init__(self, clock):
        self.clock = clock
        self.network = FakeNetwork(clock)
        self.client = FakeStages(clock, CAPACITY)
        self.runners = {row.name: self.start(row) for row in ENTRIES}

    def start(self, row):
        batcher = StageBatcher(
            self.clock,
            self.client,
            lambda service: [target(1)],
            lambda service: CAPACITY,
            RetryBudget(),
            lambda message: self.runners[row.name].notify_owner(message),
        )
        self.network.handlers_by_address[row.address] = batcher.handle
        return StageRunner(
            self.clock,
            self.network.link(row.address),
            row.name,
            batcher,
            Owners(self.clock, lambda: ENTRIES),
            lambda service: CAPACITY,
        )


def work(clock, pieces=(1, 1, 2, 3), steps=STEPS):
    now_ms = clock.now_ms()
    return StagedWork("r", steps, pieces, "k", 0, now_ms + 2_000, now_ms + 8_000)


def other_entry():
    """Return an entry that does not form the calls, and the one that does."""
    owner = rendezvous("s", [row.name for row in ENTRIES], 1)[0]
    return next(row.name for row in ENTRIES if row.name != owner), owner


def test_steps_run_in_order_with_the_inputs_they_need():
    """Guards against pieces with the wrong, duplicated or missing inputs."""

    async def main(clock):
        fleet = Fleet(clock)
        name, _ = other_entry()
        results = StageResults()
        staged = work(clock)
        refusal = await fleet.runners[name].run(staged, "a", results)
        return refusal, results, staged, fleet.client.calls

    refusal, results, staged, calls = run_virtual(main)
    assert refusal is None
    items = [item for _, _, call in calls for item in call]
    inputs_by_step = {item.step: item.inputs for item in items}
    assert inputs_by_step[0] is None
    assert inputs_by_step[1] is None
    assert inputs_by_step[2] == results.handles(1)
    assert inputs_by_step[3] == results.handles(2)
    assert results.final_handles(staged) == results.handles(0) + results.handles(3)


def test_step_without_dependents_starts_with_the_last_one():
    """Load: large first results.

    Guards against a deadlock in which they occupy the memory that later steps of the
    same requests wait for.
    """

    async def main(clock):
        fleet = Fleet(clock)
        await fleet.runners["e0"].run(work(clock), "a", StageResults())
        return [item.step for _, _, call in fleet.client.calls for item in call]

    order = run_virtual(main)
    assert order.index(0) > order.index(2)


def test_many_steps_that_need_each_other_are_planned_at_once():
    """Load: a route of 64 steps, each with the results of the three before it.

    Guards against a document that stops an entry with the first request of the route.
    """
    steps = tuple(
        StageStep("s", tuple(range(max(number - 3, 0), number)), 10)
        for number in range(64)
    )

    async def main(clock):
        fleet = Fleet(clock)
        staged = work(clock, (1,) * len(steps), steps)
        stages_ms = await fleet.runners["e0"].announce(staged, "a")
        return stages_ms, staged.moved_bytes(32)

    # Each step is a call of one piece; three inputs, one result on the way back.
    assert run_virtual(main) == (None, 40)


def test_steps_without_pieces_are_skipped():
    """Guards against a request that waits for a step without pieces."""

    async def main(clock):
        fleet = Fleet(clock)
        results = StageResults()
        staged = work(clock, (0, 1, 1, 1))
        refusal = await fleet.runners["e0"].run(staged, "a", results)
        return refusal, results.final_handles(staged)

    refusal, handles = run_virtual(main)
    assert refusal is None
    assert len(handles) == 1


def test_inputs_are_released_once_fetched_and_the_rest_at_the_end():
    """Load: memory binds the stages.

    Guards against memory held by results that nobody will use.
    """

    async def main(clock):
        fleet = Fleet(clock)
        runner = fleet.runners["e0"]
        results = StageResults()
        staged = work(clock)
        await runner.run(staged, "a", results)
        await clock.sleep_ms(100)
        early = set(fleet.client.freed)
        await runner.release_all(staged, results)
        await clock.sleep_ms(100)
        return early, set(fleet.client.freed), results

    early, freed, results = run_virtual(main)
    assert early == {*results.handles(1), *results.handles(2)}
    assert freed == early | {*results.handles(0), *results.handles(3)}


def test_new_owner_releases_results_that_it_did_not_make():
    """Guards against results that stay until they expire after a change of owner.

    The entries learn of each other between two steps, so that another one owns the
    service when the inputs of the second step have been fetched.
    """

    async def main(clock):
        fleet = Fleet(clock)
        name, owner = other_entry()
        steps = (StageStep("s"), StageStep("s", after=(0,)))
        staged = work(clock, pieces=(2, 1), steps=steps)
        results = StageResults()
        runner = fleet.runners[name]

        async def change_owner():
            await clock.sleep_ms(130)
            for each in fleet.runners.values():
                row = next(row for row in ENTRIES if row.name == owner)
                each.owners.exclude(row, "it has left")

        await curio.spawn(change_owner, daemon=True)
        await runner.run(staged, "a", results)
        await clock.sleep_ms(200)
        return set(results.handles(0)), set(fleet.client.freed)

    made, freed = run_virtual(main)
    assert len(made) == 2
    assert made <= freed


def test_another_entry_takes_over_for_an_unreachable_owner():
    """Guards against requests that wait for an entry that has crashed."""

    async def main(clock):
        fleet = Fleet(clock)
        name, owner = other_entry()
        row = next(row for row in ENTRIES if row.name == owner)
        own = next(row for row in ENTRIES if row.name == name)
        fleet.network.cut(own.address, row.address)
        started_ms = clock.now_ms()
        refusal = await fleet.runners[name].run(work(clock), "a", StageResults())
        return refusal, clock.now_ms() - started_ms

    refusal, took_ms = run_virtual(main)
    assert refusal is None
    assert took_ms < 2_500


def test_reset_connection_does_not_move_a_job():
    """Guards against pieces that run twice because one connection was reset."""

    async def main(clock):
        fleet = Fleet(clock)
        name, owner = other_entry()
        row = next(row for row in ENTRIES if row.name == owner)
        serve = fleet.network.handlers_by_address[row.address]
        resets = iter([False, True])

        async def reset_once(message):
            if next(resets, False):
                raise PeerUnreachable("reset")
            return await serve(message)

        fleet.network.handlers_by_address[row.address] = reset_once
        runner = fleet.runners[name]
        refusal = await runner.run(work(clock), "a", StageResults())
        return refusal, runner.owners.avoid_until_ms, fleet.client.calls

    refusal, avoided, calls = run_virtual(main)
    items = [(item.step, item.piece) for _, _, call in calls for item in call]
    assert refusal is None
    assert avoided == {}
    assert len(items) == len(set(items))


def test_lost_result_is_refused_as_target_failure():
    """Guards against a final failure of a request whose stages could run again."""

    async def main(clock):
        fleet = Fleet(clock)
        fleet.client.outcomes = [PieceOutcome.DONE, PieceOutcome.GONE]
        fleet.client.reply = lambda row: _reply(fleet.client, row)
        return await fleet.runners["e0"].run(
            work(clock, (0, 1, 1, 1)), "a", StageResults()
        )

    def _reply(client, row):
        outcome = client.outcomes.pop(0) if client.outcomes else PieceOutcome.GONE
        from wagtailrun.stages.port import StageReply

        return StageReply(outcome, "10.0.0.1:80/1" if outcome == "done" else "")

    refusal = run_virtual(main)
    assert refusal.reason is RefusalReason.TARGET_FAILED


def test_paths_are_checked_before_stages_run_again():
    """Load: a cut that messages cross over kept connections, and results do not.

    Guards against a second round of stages that also runs across the cut, and fails.
    """

    async def main(clock):
        fleet = Fleet(clock)
        runner = fleet.runners["e0"]
        checked = []

        async def check(data_centres):
            checked.append(sorted(data_centres))
            await clock.sleep_ms(100)

        runner.check_paths = check
        assert await runner.run(work(clock), "c", StageResults()) is None
        calm = list(checked)
        fleet.client.outcomes = [PieceOutcome.GONE]
        started_ms = clock.now_ms()
        staged = attrs.evolve(work(clock), request_id="lost")
        await runner.run(staged, "c", StageResults())
        return calm, checked, clock.now_ms() - started_ms

    calm, checked, took_ms = run_virtual(main)
    assert calm == []
    assert checked == [["c"]]
    # One call of one piece, then the check.
    assert took_ms >= 180 + 100


def test_stages_run_anew_after_a_lost_result():
    """Guards against a second round that receives the lost results of the first."""

    async def main(clock):
        fleet = Fleet(clock)
        runner = fleet.runners["e0"]
        fleet.client.outcomes = [PieceOutcome.GONE]
        results = [StageResults(), StageResults()]
        refusals = []
        for number in range(2):
            staged = attrs.evolve(work(clock), round=number)
            assert await runner.announce(staged, "a") is not None
            refusals.append(await runner.run(staged, "a", results[number]))
        return refusals, len(results[1].final_handles(work(clock)))

    refusals, handles = run_virtual(main)
    assert refusals[0].reason is RefusalReason.TARGET_FAILED
    assert refusals[1] is None
    assert handles == 4


@pytest.mark.parametrize("delay_ms", [0, 1, 20, 300])
def test_late_cancellation_of_a_round_spares_the_next_one(delay_ms):
    """Load: a target that loses results of several requests.

    Guards against a second round that is refused because the messages which end the
    first one reach the owner of a service after it has begun.
    """

    async def main(clock):
        fleet = Fleet(clock)
        name, _ = other_entry()
        runner = fleet.runners[name]
        send = runner.notify_owner

        async def send_late(message):
            await clock.sleep_ms(delay_ms)
            await send(message)

        runner.notify_owner = send_late
        fleet.client.outcomes = [PieceOutcome.GONE]
        refusals = []
        for number in range(2):
            staged = attrs.evolve(work(clock), round=number)
            assert await runner.announce(staged, "a") is not None
            refusals.append(await runner.run(staged, "a", StageResults()))
        return refusals

    refusals = run_virtual(main)
    assert refusals[0].reason is RefusalReason.TARGET_FAILED
    assert refusals[1] is None


def test_cancelled_request_withdraws_its_pieces():
    """Load: callers that disconnect.

    Guards against pieces that still run for a cancelled request.
    """

    async def main(clock):
        fleet = Fleet(clock)
        staged = work(clock, (0, 4, 4, 4))
        task = await curio.spawn(fleet.runners["e0"].run, staged, "a", StageResults())
        await clock.sleep_ms(50)
        await task.cancel()
        await clock.sleep_ms(3_000)
        return len(fleet.client.calls)

    assert run_virtual(main) == 1


@pytest.mark.parametrize("left_ms", [0, 1, 3])
def test_caller_that_leaves_during_the_announcement_leaves_no_place_behind(left_ms):
    """Load: callers that disconnect while the owners of services are slow to reply.

    Guards against announced pieces that hold their places in the queues, and delay or
    refuse other requests, until they expire.
    """

    async def main(clock):
        fleet = Fleet(clock)
        name, owner = other_entry()
        task = await curio.spawn(fleet.runners[name].announce, work(clock), "a")
        await clock.sleep_ms(left_ms)
        await task.cancel()
        await clock.sleep_ms(50)
        pools = fleet.runners[owner].batcher.pools_by_service.values()
        return [job for pool in pools for job in pool.open_by_key]

    assert run_virtual(main) == []


def test_announce_returns_the_duration_of_the_longest_chain():
    """Load: a pipeline near its capacity.

    Guards against starting requests that cannot finish in time.
    """

    async def main(clock):
        fleet = Fleet(clock)
        runner = fleet.runners["e0"]
        idle_ms = await runner.announce(work(clock), "a")
        min_duration_ms = runner.min_duration_ms(work(clock))
        await runner.withdraw(work(clock))
        await clock.sleep_ms(50)
        return idle_ms, min_duration_ms

    idle_ms, min_duration_ms = run_virtual(main)
    assert min_duration_ms == 180 + 210 + 240
    assert min_duration_ms <= idle_ms < 2 * min_duration_ms


def test_moved_bytes_count_the_smallest_results_of_a_chain():
    """Load: a chain whose middle results are large and whose last ones are small.

    Dependent steps run where their inputs are, so the middle results stay there.
    Guards against pieces that wait in one data centre while targets elsewhere are idle.
    """
    steps = (
        StageStep("s", (), 8_000),
        StageStep("s", (0,), 60_000),
        StageStep("s", (1,), 6_000),
        StageStep("s", (), 3_000_000),
    )
    staged = work(VirtualClock(), (1, 8, 16, 2), steps)
    assert [staged.moved_bytes(n) for n in range(4)] == [
        8_000,
        8_000 + 16 * 6_000,
        8 * 60_000 + 16 * 6_000,
        6_000_000,
    ]
