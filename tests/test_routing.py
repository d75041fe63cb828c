"""Tests of routing."""

from collections import Counter

import attrs
import pytest

from wagtailrun.ports.link import Address
from wagtailrun.ports.target import StageAnswer
from wagtailrun.serving.dispatch import Work
from wagtailrun.targets.affinity import CacheEvents
from wagtailrun.targets.estimates import Estimates
from wagtailrun.targets.path_hints import PathHint
from wagtailrun.targets.routing import ExpectedTimeRouter, LeastLoadedRouter
from wagtailrun.targets.table import TargetRow
from wagtailrun.virtual_time import VirtualClock

WORK = Work("engines", "/v1/stages/generate", b"{}", "r", "ws", 8_000, stage="generate")


def rows(count, data_centre="east", **fields):
    return [
        TargetRow(
            f"{data_centre}-{number}",
            Address("127.0.0.1", 1_000 + number),
            "engines",
            data_centre,
            capacity=8,
            **fields,
        )
        for number in range(count)
    ]


def router(name="entry", data_centre="east", seed=0):
    clock = VirtualClock()
    estimates = Estimates(clock)
    for _ in range(20):
        estimates.record("engines", "generate", WORK.size_class, 100, 1_000)
    return ExpectedTimeRouter(clock, estimates, name, data_centre, seed)


def share_of_one_target(routers):
    """Return the largest share of choices for one target with the same late report."""
    candidates = rows(10, running=8)
    candidates[0] = attrs.evolve(candidates[0], running=0)
    choices = Counter(one.choose(candidates, WORK).name for one in routers)
    return max(choices.values()) / len(routers)


def test_entries_with_the_same_report_spread():
    """Guards against all entries sending to the target last reported idle."""
    entries = [router(f"entry-{number}", seed=number) for number in range(40)]
    assert share_of_one_target(entries) < 0.5
    assert share_of_one_target([LeastLoadedRouter() for _ in range(40)]) == 1.0


def test_own_work_since_a_late_report_counts():
    """Guards against sending everything to one target until the next report."""
    one = router()
    candidates = rows(2)
    for _ in range(10):
        target = one.choose(candidates, WORK)
        one.started(target)
    assert {one.health.states_by_name[row.name].in_flight for row in candidates} == {5}


def test_answer_load_replaces_the_report():
    """Guards against routing by a report older than the target's own answer."""
    one = router()
    idle, busy = rows(2)
    one.started(busy)
    answer = StageAnswer(200, b"", running=8, queued=20)
    one.ended(busy, 1_000, True, WORK, answer)
    assert one.choose([idle, busy], WORK) is idle


def test_local_targets_come_first_until_they_are_full():
    """Guards against unnecessary or missing use of another data centre."""
    one = router()
    local, remote = rows(2), rows(2, "west")
    for _ in range(2 * 8):
        target = one.choose(local + remote, WORK)
        assert target.data_centre == "east"
        one.started(target)
        if one.health.states_by_name[target.name].in_flight > 1:
            one.ended(target, 1_000, True, WORK)
    for row in local:
        while one.limits.has_room(row.name, row.capacity):
            one.started(row)
    assert one.choose(local + remote, WORK).data_centre == "west"
    one.may_use_remote = lambda service: False
    assert one.choose(local + remote, WORK) is None


@pytest.mark.parametrize(("queued", "chosen"), [(0, "east"), (1, "east"), (5, "west")])
def test_local_target_with_room_yields_to_a_much_faster_remote_one(queued, chosen):
    """Guards against either rule, nearest or fastest, that takes the place of both.

    The bound is 1.25: with a capacity of 8, one queued request makes the local target
    1.125 times as slow as the idle remote one, and five make it 1.625 times as slow.
    """
    one = router()
    assert one.choose(local_and_remote(queued), WORK).data_centre == chosen


def test_path_comes_before_data_centre_and_data_centre_before_speed():
    """Guards against a preference for either data centre that ignores lost paths."""
    one = router()
    slow_local = local_and_remote(queued=5)
    _, remote = slow_local
    one.mark_unreachable(remote)
    assert one.choose(slow_local, WORK).data_centre == "east"
    one.paths.record_answer(remote, one.clock.now_ms())
    assert one.choose(slow_local, WORK).data_centre == "west"
    one = router()
    local, slow_remote = local_and_remote(queued=0)
    slow_remote = attrs.evolve(slow_remote, queued=5)
    one.mark_unreachable(local)
    assert one.choose([local, slow_remote], WORK).data_centre == "west"
    one.paths.record_answer(local, one.clock.now_ms())
    assert one.choose([local, slow_remote], WORK).data_centre == "east"


def test_hint_moves_a_local_target_behind_a_slower_remote_one():
    """Guards against a preference for the own data centre that ignores hints."""
    one = router()
    local, remote = local_and_remote(queued=0)
    remote = attrs.evolve(remote, queued=5)
    known = {row.name: row for row in (local, remote)}
    one.paths.receive_hints("east", [PathHint(target=local.name)], known)
    assert one.choose([local, remote], WORK).data_centre == "west"
    one.paths.record_answer(local, one.clock.now_ms())
    assert one.choose([local, remote], WORK).data_centre == "east"


def local_and_remote(queued):
    """Return a target of each data centre; the local one has queued requests."""
    local, remote = rows(1)[0], rows(1, "west")[0]
    return [attrs.evolve(local, queued=queued), remote]


@pytest.mark.parametrize(("load", "chosen"), [(0, "east-0"), (60, "other")])
def test_prefix_holder_yields_to_expected_time(load, chosen):
    """Guards against unused caches and against queues at the target with a prefix."""
    one = router()
    candidates = rows(6)
    candidates[0] = attrs.evolve(candidates[0], queued=load)
    one.choose(candidates, WORK)
    one.observe_cache(candidates[0], CacheEvents(1, 1, ("7",)))
    one.mean_engine_ms_by_service["engines"] = [100.0, 300.0]
    work = attrs.evolve(WORK, prefixes=(7,))
    names = {one.choose(candidates, work).name for _ in range(50)}
    assert (names == {"east-0"}) if chosen == "east-0" else ("east-0" not in names)


def test_unreachable_target_waits_for_an_answer_on_its_path():
    """Guards against requests to a target that announces itself but has no path.

    A row that was announced each second made the target a candidate again each second,
    and each try cost a connect timeout.
    """
    one = router()
    dead, alive = rows(2)
    one.mark_unreachable(dead)
    assert {one.choose([dead, alive], WORK).name for _ in range(20)} == {alive.name}
    again = attrs.evolve(dead, sequence=1)
    assert {one.choose([again, alive], WORK).name for _ in range(20)} == {alive.name}
    one.paths.record_answer(again, one.clock.now_ms())
    names = {one.choose([again, alive], WORK).name for _ in range(20)}
    assert names == {dead.name, alive.name} or names == {dead.name}


def test_target_without_a_path_gets_no_work_while_a_full_one_has_one():
    """Guards against requests that test a path, though a sound target is just full."""
    one = router()
    dead, full = rows(2)
    one.mark_unreachable(dead)
    while one.limits.has_room(full.name, full.capacity):
        one.started(full)
    assert one.choose([dead, full], WORK) is None
    assert one.choose([dead], WORK) is dead


def test_target_that_pauses_gets_work_only_if_no_other_can_serve():
    """Guards against work for a target that asked for none, and work without a target.

    A full target can serve later, so that work waits for it. One that cannot be
    reached, or was just tried, cannot serve.
    """
    one = router()
    pausing, other = rows(2)
    remote = rows(1, "west")[0]
    everywhere = [pausing, other, remote]
    one.pause(pausing, 5_000)
    one.started(other)
    assert one.choose([pausing, other], WORK) is other
    assert one.choose([pausing, other], WORK, {other.name}) is pausing
    while one.limits.has_room(other.name, other.capacity):
        one.started(other)
    assert one.choose([pausing, other], WORK) is None
    assert one.choose(everywhere, WORK) is remote
    assert one.choose([pausing, remote], WORK) is remote
    one.may_use_remote = lambda service: False
    assert one.choose([pausing, remote], WORK) is pausing
    assert one.choose([pausing], WORK) is pausing
    one.mark_unreachable(other)
    assert one.choose([pausing, other], WORK) is pausing
    one.clock.seconds += 5
    assert one.choose([pausing, attrs.evolve(other, sequence=1)], WORK) is pausing


@pytest.mark.parametrize("restarted", [False, True])
def test_pause_outlasts_a_short_absence_of_the_target(restarted):
    """Guards against work for a pausing target once it was out of rotation.

    A target without recent contact leaves the candidates until it announces itself
    again; only one that was started again is another target.
    """
    one = router()
    pausing, other = rows(2)
    one.choose([pausing, other], WORK)
    one.started(pausing)
    one.pause(pausing, 60_000)
    one.ended(pausing, 10, True)
    one.choose([other], WORK)
    one.clock.seconds += 5
    fields = {"incarnation": 1} if restarted else {"sequence": 1}
    again = attrs.evolve(pausing, **fields)
    chosen = {one.choose([again, other], WORK).name for _ in range(20)}
    assert (pausing.name in chosen) == restarted
    one.clock.seconds += 55
    chosen = {one.choose([again, other], WORK).name for _ in range(20)}
    assert pausing.name in chosen
    one.pause(other, 10)
    assert len(one.pauses.pauses_by_key) == 1


def test_choice_for_a_stream_of_one_version_forgets_no_other_target():
    """Guards against requests to a dead target once a stream of a version moved."""
    one = router()
    dead, other = (
        attrs.evolve(row, software_version=version)
        for row, version in zip(rows(2), ("v1", "v2"), strict=True)
    )
    both = [dead, other]
    one.choose(both, WORK)
    one.mark_unreachable(dead)
    bound = attrs.evolve(WORK, software_version="v2")
    assert one.choose([other], bound) is other
    assert one.choose(list(both), WORK) is other
    assert set(one.health.states_by_name) == {dead.name, other.name}
    one.choose([other], WORK)
    assert set(one.health.states_by_name) == {other.name}


def test_memory_holds_only_targets_in_use():
    """Guards against memory that grows with all targets of a data centre."""
    one = router()
    many = rows(250)
    one.choose(many, WORK)
    for row in many:
        one.observe_cache(row, CacheEvents(1, 1, ("7",)))
    assert len(one.prefixes.targets_by_name) == 20
    one.choose(rows(3), WORK)
    assert set(one.prefixes.targets_by_name) <= {row.name for row in rows(3)}


def test_failed_target_is_left_for_another_data_centre():
    """Guards against a retry at the only local target, which has just failed."""
    one = router()
    (local,), (remote,) = rows(1), rows(1, "west")
    candidates = [local, remote]
    assert one.choose(candidates, WORK) is local
    assert one.choose(candidates, WORK, avoid={local.name}) is remote
    assert one.choose(candidates, WORK, avoid={local.name, remote.name}) is local
    one.mark_unreachable(local)
    assert one.choose(candidates, WORK) is remote


def test_cache_events_of_announced_rows_are_used():
    """Guards against announced cache events that the router ignores."""
    one = router()
    fields = {"cache_first": 1, "cache_last": 2, "cache_prefixes": ("7", "not hex")}
    one.choose(rows(1), WORK)
    one.choose(rows(1, sequence=1, **fields), WORK)
    assert one.prefixes.cached_share("east-0", 0, (7,)) == 1.0


def lower(one, *targets):
    """Let the router find targets silent: an attempt at each is overdue."""
    for target in targets:
        one.silence.begin(("r", target.name), target, one.name, 100)
    one.clock.seconds += 1.0
    for _ in range(3):
        one.clock.seconds += 0.1
        one.choose(list(targets), WORK)


def test_silent_target_serves_while_the_others_are_full():
    """Guards against work that waits although a target, if a silent one, has room."""
    one = router()
    silent, sound = rows(2)
    lower(one, silent)
    chosen = {one.choose([silent, sound], WORK).name for _ in range(50)}
    assert chosen == {sound.name}
    while one.limits.has_room(sound.name, sound.capacity):
        one.started(sound)
    assert one.choose([silent, sound], WORK) is silent


@pytest.mark.parametrize(
    "changes, avoid",
    [({"idempotent": False}, ()), ({"software_version": ""}, ()), ({}, ("east-1",))],
)
def test_probe_of_a_silent_target_is_work_that_may_be_lost(changes, avoid):
    """Guards against orders, resumed streams and retries sent to a silent target."""
    one = router()
    silent, *sound = rows(4)
    lower(one, silent)
    chosen = set()
    for _ in range(100):
        one.clock.seconds += 0.1
        work = attrs.evolve(WORK, **changes)
        chosen.add(one.choose([silent, *sound], work, avoid).name)
    assert silent.name not in chosen
    assert one.choose([silent, *sound], WORK) is silent


def test_silence_of_targets_that_left_is_forgotten():
    """Guards against memory that grows with each silent target that is replaced."""
    one = router()
    silent, sound, new = rows(3)
    lower(one, silent)
    one.choose([silent, sound], WORK)
    assert one.silence.shares.statuses_by_key
    one.choose([sound, new], WORK)
    assert not one.silence.shares.statuses_by_key
    assert not one.silence.evidence_by_target
