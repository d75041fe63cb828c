"""Tests of what an entry observes of its paths to targets."""

import attrs
import pytest

from wagtailrun.ports.link import Address
from wagtailrun.targets.paths import (
    FIRST_PROBE_MS,
    FRESH_CONNECTION_MS,
    MAX_CONCURRENT_PROBES,
    MAX_PROBE_INTERVAL_MS,
    PathObservations,
)
from wagtailrun.targets.table import TargetRow
from wagtailrun.virtual_time import VirtualClock


def make_rows(data_centre, count):
    return [
        TargetRow(
            f"{data_centre}-{number}",
            Address(f"10.0.{len(data_centre)}.{number + 1}", 80),
            "s",
            data_centre,
        )
        for number in range(count)
    ]


LOCAL = make_rows("east", 3)
REMOTE = make_rows("west-1", 3)
KNOWN = {row.name: row for row in (*LOCAL, *REMOTE)}


def make():
    clock = VirtualClock()
    return clock, PathObservations(clock, "east", seed=1)


def wait(clock, duration_ms):
    clock.seconds += duration_ms / 1_000


def unreachable(paths):
    return {name for name, row in KNOWN.items() if paths.is_unreachable(row)}


def fail_probes(clock, paths, duration_ms, known=KNOWN):
    """Let all probes fail for a time; return when each began."""
    begun = []
    for _ in range(duration_ms // 10):
        wait(clock, 10)
        for row in paths.due_probes(known):
            begun.append((clock.now_ms(), row.name))
            paths.record_probe(row, clock.now_ms(), False)
    return begun


@pytest.mark.parametrize("change", [{"sequence": 9}, {"incarnation": 9}])
def test_announcement_ends_no_observation(change):
    """Guards against a target that is tried again for what it says of itself."""
    _, paths = make()
    paths.record_failure(LOCAL[0])
    assert paths.is_unreachable(attrs.evolve(LOCAL[0], **change))


def test_restarted_target_is_probed_at_once():
    """Guards against a restarted target that stays unused for a probe interval."""
    clock, paths = make()
    paths.record_failure(LOCAL[0], refused=True)
    fail_probes(clock, paths, 20_000)
    assert paths.due_probes(KNOWN) == []
    again = attrs.evolve(LOCAL[0], incarnation=1)
    known = KNOWN | {again.name: again}
    assert paths.due_probes(known) == [again]
    paths.record_probe(again, clock.now_ms(), True)
    assert not paths.has_observations


def test_answer_to_an_attempt_of_before_ends_no_observation():
    """Guards against an answer that was under way as the path broke."""
    clock, paths = make()
    wait(clock, 1_000)
    paths.record_failure(LOCAL[0])
    paths.record_answer(LOCAL[0], 999)
    assert paths.is_unreachable(LOCAL[0])
    paths.record_answer(LOCAL[0], 1_000)
    assert not paths.is_unreachable(LOCAL[0])


def test_timeouts_of_two_targets_show_that_their_data_centre_is_away():
    """Guards against a connect timeout for each target behind a link that is cut."""
    clock, paths = make()
    wait(clock, 1_000)
    paths.record_failure(REMOTE[0])
    assert unreachable(paths) == {REMOTE[0].name}
    paths.record_failure(REMOTE[1])
    assert unreachable(paths) == {row.name for row in REMOTE}
    begun = fail_probes(clock, paths, 10_000)
    assert {name for _, name in begun} == {REMOTE[2].name}
    paths.record_probe(REMOTE[2], clock.now_ms(), True)
    assert unreachable(paths) == {REMOTE[0].name, REMOTE[1].name}
    wait(clock, FIRST_PROBE_MS)
    assert paths.due_probes(KNOWN) == REMOTE[:2]


@pytest.mark.parametrize(
    ("rows", "refused", "answered"),
    [(LOCAL, False, False), (REMOTE, True, False), (REMOTE, False, True)],
    ids=["own", "refused", "answered"],
)
def test_data_centre_is_not_away_where_another_cause_is_known(rows, refused, answered):
    """Guards against sound targets that are avoided with two that are lost.

    The own data centre has no link in common, a refusal came from there, and so did an
    answer between the timeouts.
    """
    clock, paths = make()
    for number in range(2):
        wait(clock, 1_000)
        paths.record_failure(rows[number], refused)
        if answered:
            wait(clock, 1)
            paths.record_answer(rows[2], clock.now_ms())
    assert unreachable(paths) == {rows[0].name, rows[1].name}


def test_probes_back_off_with_jitter_and_a_bound():
    """Guards against probes that load a target, or leave a sound one unused."""
    starts = set()
    for seed in range(5):
        clock = VirtualClock()
        paths = PathObservations(clock, "east", seed)
        paths.record_failure(LOCAL[0])
        times = [at_ms for at_ms, _ in fail_probes(clock, paths, 60_000)]
        gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
        assert times[0] <= FIRST_PROBE_MS + 10
        assert max(gaps) <= MAX_PROBE_INTERVAL_MS + 10
        assert min(gaps[6:]) >= MAX_PROBE_INTERVAL_MS // 2
        assert len(times) < 60
        starts.add(tuple(times))
    assert len(starts) == 5


def test_probes_at_a_time_are_few():
    """Guards against a burst of probes as many targets are lost at once."""
    clock, paths = make()
    rows = make_rows("east", 20)
    known = {row.name: row for row in rows}
    for row in rows:
        paths.record_failure(row)
    wait(clock, FIRST_PROBE_MS)
    due = paths.due_probes(known)
    assert len(due) == MAX_CONCURRENT_PROBES
    assert paths.due_probes(known) == []
    paths.record_probe(due[0], clock.now_ms(), None)
    assert len(paths.due_probes(known)) == 1


def test_connections_of_before_an_interruption_are_not_used_after_it():
    """Guards against requests on idle connections that a cut has stalled."""
    clock, paths = make()
    for row in REMOTE[:2]:
        paths.record_failure(row)
    paths.record_answer(REMOTE[0], clock.now_ms())
    assert paths.needs_new_connection(REMOTE[2])
    assert not paths.needs_new_connection(LOCAL[0])
    wait(clock, FRESH_CONNECTION_MS)
    assert not paths.needs_new_connection(REMOTE[2])


@pytest.mark.parametrize("change", [{"leaving": True}, {"address": Address("::1", 1)}])
def test_target_that_left_or_moved_is_not_probed(change):
    """Guards against probes for ever of an address that nobody serves."""
    clock, paths = make()
    paths.record_failure(LOCAL[0])
    wait(clock, 1_000)
    gone = attrs.evolve(LOCAL[0], **change)
    assert paths.due_probes(KNOWN | {gone.name: gone}) == []
    assert not paths.has_observations
