"""Tests of the placement of prompts with shared parts, in virtual time.

The model of engines with prefix caches is ``bench/prompt_parts.py``.
"""

import random

import attrs
import pytest

from bench.prompt_parts import (
    LOOK_MS,
    MAX_PART_WAIT_MS,
    ModelPrompt,
    PartPlay,
    mixed_prompts,
)
from wagtailrun.discovery.quarantine import digest_part
from wagtailrun.relay import PromptPart
from wagtailrun.relay.core.placement_messages import RunOver
from wagtailrun.relay.placement.part_cache import MAX_PARTS, PartCache
from wagtailrun.targets.attempt_ends import RunOutcome
from wagtailrun.targets.lowered_shares import (
    ALL_ENTRIES,
    HALF_SHARE,
    PROBE_PAUSE_MS,
    SILENT,
    WatchedAttempt,
)

HEADERS = [PromptPart(f"h{n}", 2_500) for n in range(4)]


def prompts_of(chains, per_second, length_ms, seed=1, own_tokens=800):
    """Return prompts at random times, with chains that ``chains`` returns."""
    rng = random.Random(seed)
    at_ms = 0.0
    prompts = []
    while (at_ms := at_ms + rng.expovariate(per_second / 1_000)) < length_ms:
        prompts.append(ModelPrompt(at_ms, chains(rng), own_tokens))
    return prompts


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_parts_are_read_again_by_few(seed):
    """Load: that of the users, with chains of one or two shared parts.

    Guards against parts that engines read again though one that had them had room: by
    rendezvous hashing of the second parts, each engine read each of the first parts.
    """
    play = PartPlay().play(mixed_prompts(seed))
    assert play.again_tokens <= 0.03 * play.first_tokens
    assert play.late <= 1
    assert play.row()["busiest"] <= 1.5


def test_first_parts_of_many_chains_are_read_by_few_engines():
    """Load: four instructions, each before many documents that few prompts share.

    Guards against instructions that are read by each engine that reads a document.
    """

    def chains(rng):
        number = rng.randrange(200)
        return HEADERS[number % 4], PromptPart(f"s{number}", 1_000)

    play = PartPlay().play(prompts_of(chains, 5, 40_000))
    reads = {header.name: 1 + play.again_by_chain[header.name,] for header in HEADERS}
    assert max(reads.values()) <= 3
    assert sum(reads.values()) <= 8


@pytest.mark.parametrize("per_second", [20, 60])
def test_part_of_two_thirds_of_the_prompts_makes_no_hot_engine(per_second):
    """Load: a part that two thirds of all prompts share, at low and at high load.

    Guards against prompts that queue at the engine that has the part, and against one
    engine that gets all of them.
    """

    def chains(rng):
        if rng.random() < 2 / 3:
            return (PromptPart("hot", 2_500),)
        return (PromptPart(f"d{rng.randrange(500)}", 3_000),)

    play = PartPlay().play(prompts_of(chains, per_second, 20_000, own_tokens=1_500))
    row = play.row()
    assert row["busiest"] <= 1.5
    assert row["late"] == 0
    assert row["p95_ms"] <= 400
    # Each engine reads it once at most.
    assert play.again_by_chain["hot",] <= len(play.engines_by_name) - 1


def test_part_that_is_being_read_is_awaited():
    """Load: two prompts with one large part, 100 ms apart.

    Guards against a part that an engine reads twice, or two engines read: both prompts
    were late by that, and others waited for both.
    """
    document = (PromptPart("d", 30_000),)
    prompts = [ModelPrompt(at_ms, document, 500) for at_ms in (0, 100, 150)]
    play = PartPlay().play(prompts)
    assert play.again_tokens == 0
    # 0.5 s for the part, then their own ones.
    assert max(play.took_ms) <= 800


def test_small_part_that_is_being_read_is_not_awaited():
    """Guards against prompts that wait longer than it takes to read the part."""
    letter = (PromptPart("l", 200),)
    prompts = [ModelPrompt(at_ms, letter, 500) for at_ms in (0, 10, 20)]
    play = PartPlay().play(prompts)
    assert play.waits == 0
    assert max(play.took_ms) <= 130


def test_large_part_is_not_awaited_beyond_the_objective():
    """Guards against a prompt that waits until it is late while others are idle."""
    document = (PromptPart("d", 30_000),)
    prompts = [ModelPrompt(0, document, 500), ModelPrompt(10, document, 500, 750)]
    play = PartPlay().play(prompts)
    assert (play.waits, play.late) == (0, 0)


@pytest.mark.parametrize("outcome", [RunOutcome.OVER, RunOutcome.FAILED])
def test_part_whose_reader_failed_is_not_awaited_and_not_held(outcome):
    """Guards against prompts that wait for a part that nobody reads."""
    play = PartPlay()
    document = ModelPrompt(0, (PromptPart("d", 30_000),), 500)
    first = play.owner.handle(play.message(document, "first", begin=True))
    waiting = play.owner.handle(play.message(document, "second", begin=True))
    assert waiting.part_wait_ms
    play.owner.handle(RunOver("first", "s", first.target, outcome))
    placed = play.owner.handle(play.message(document, "second", begin=True))
    assert (placed.part_wait_ms, placed.cached_tokens) == (0, 0)


def test_part_whose_reader_is_silent_is_awaited_for_a_limited_time():
    """Guards against prompts that wait for an engine that hangs."""
    play = PartPlay()
    document = ModelPrompt(0, (PromptPart("d", 30_000),), 500)
    play.owner.handle(play.message(document, "first", begin=True))
    waited_ms = 0
    while play.owner.handle(play.message(document, "r", begin=True)).part_wait_ms:
        play.clock.seconds += LOOK_MS / 1_000
        waited_ms += LOOK_MS
    # The first event was expected after 0.6 s.
    assert 900 <= waited_ms <= 1_100
    assert waited_ms <= MAX_PART_WAIT_MS


def test_entry_of_an_earlier_build_does_not_wait():
    """Guards against an attempt that is not recorded, but sent."""
    play = PartPlay()
    document = ModelPrompt(0, (PromptPart("d", 30_000),), 500)
    message = play.message(document, "first", begin=True)
    play.owner.handle(message)
    old = play.message(document, "second", begin=True, may_wait=False)
    placed = play.owner.handle(old)
    assert not placed.part_wait_ms
    assert play.owner.handle(RunOver("second", "s", placed.target, "over")).known


def test_caches_that_engines_lost_are_read_once_more():
    """Load: engines whose caches are emptied without a sign.

    Guards against prompts that are attracted by parts that are gone, again and again.
    """
    documents = [PromptPart(f"d{n}", 4_000) for n in range(30)]

    def chains(rng):
        return (rng.choice(documents),)

    play = PartPlay()
    for engine in play.engines_by_name.values():
        play.at(20_000, engine.lose_cache)
    play.play(prompts_of(chains, 10, 40_000))
    assert max(play.again_by_chain.values()) <= 3
    assert sum(play.again_by_chain.values()) <= 1.5 * len(documents)
    assert play.late == 0


def test_prompts_with_many_parts_take_limited_memory():
    """Guards against a caller that states thousands of parts."""
    play = PartPlay()
    chain = tuple(PromptPart(f"p{n}", 1) for n in range(5_000))
    play.play([ModelPrompt(ms, chain, 10) for ms in range(0, 3_000, 1_000)])
    for state in play.owner.chooser.health.states_by_name.values():
        assert len(state.parts.held) <= MAX_PARTS
        assert not state.parts.reading


@pytest.mark.parametrize("share", [0.0, HALF_SHARE])
def test_engine_with_a_lowered_share_is_not_probed_by_what_another_one_holds(share):
    """Guards against a probe that reads a large part again; others are as good."""
    play = PartPlay()
    document = ModelPrompt(0, (PromptPart("d", 30_000),), 100)
    letter = ModelPrompt(0, (PromptPart("l", 100),), 100)
    play.play([document])
    holder = next(iter(play.prompts_by_engine))
    lowered = next(row for row in play.rows() if row.name != holder)
    shares = play.owner.silence.shares
    attempt = WatchedAttempt(lowered, "e0", play.clock.now_ms(), 100.0)
    shares.lower(ALL_ENTRIES, attempt, SILENT, 2, 2)
    play.clock.seconds += PROBE_PAUSE_MS / 1_000
    status = shares.status(ALL_ENTRIES, lowered)
    status.share, status.credit = share, 1.0
    first = play.owner.handle(play.message(document, "r1", begin=True)).target
    second = play.owner.handle(play.message(letter, "r2", begin=True)).target
    assert (first, second) == (holder, lowered.name)
    # Without others, it is probed by these as well.
    status.probe, status.credit = None, 0.0
    names = []
    for number in range(30):
        play.clock.seconds += 0.3
        message = play.message(document, f"q{number}", begin=True)
        names.append(play.owner.handle(message).target)
        play.owner.handle(RunOver(f"q{number}", "s", names[-1], "succeeded", 100))
    assert lowered.name in names


def test_overdue_reading_gives_way_to_the_next_prompt():
    """Load: prompts with one part, of which the first gets no answer.

    Guards against a part that several prompts read at once, since the lost one kept the
    others from being known to read it.
    """
    parts = (PromptPart("d", 30_000), PromptPart("own", 1))
    cache = PartCache()
    cache.begin("lost", parts, 0, 100.0)
    assert cache.look_up(parts, 50.0)[1] == 30_000
    assert cache.look_up(parts, 1_000.0)[1] == 0
    cache.begin("next", parts, 1_000.0, 100.0)
    assert cache.look_up(parts, 1_050.0)[1:] == (30_000, 50.0)
    # The end of the lost prompt says nothing about the next one.
    cache.end("lost", ["d"], has_begun=False)
    assert cache.look_up(parts, 1_050.0)[1] == 30_000
    cache.end("next", ["d"], has_begun=False)
    assert not cache.reading


@pytest.mark.parametrize("waits", [False, True])
def test_prompt_that_is_not_sent_is_no_trial_of_a_suspected_part(waits):
    """Load: an engine crashed, and a prompt with its part waits, or finds no engine.

    Guards against other prompts with the part that are held back for 10 s, if the
    caller of the one that was not sent leaves.
    """
    play = PartPlay()
    document, bad = PromptPart("d", 30_000), PromptPart("bad", 100)
    play.owner.handle(
        play.message(ModelPrompt(0, (document,), 100), "reads", begin=True)
    )
    play.owner.quarantine.record_crash("crashed", [[digest_part("bad")]])
    first = ModelPrompt(0, (document, bad) if waits else (bad,), 100)
    message = play.message(first, "leaves", begin=True)
    if not waits:
        names = tuple(row.name for row in play.rows())
        message = attrs.evolve(message, avoid=names)
    placed = play.owner.handle(message)
    assert bool(placed.part_wait_ms) == waits
    second = play.message(ModelPrompt(0, (bad,), 100), "next", begin=True)
    assert play.owner.handle(second).target
    third = play.message(ModelPrompt(0, (bad,), 100), "after", begin=True)
    assert play.owner.handle(third).held_ms
