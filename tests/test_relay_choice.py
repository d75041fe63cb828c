"""Tests of target selection; each names the load pattern that it guards against."""

import attrs

from wagtailrun.ports.link import Address
from wagtailrun.relay import PromptPart, TargetLoad
from wagtailrun.relay.placement.choice import TargetChooser
from wagtailrun.targets.attempt_ends import RunOutcome
from wagtailrun.targets.table import TargetRow
from wagtailrun.virtual_time import VirtualClock


def row(number, data_centre="a", **options):
    address = Address(f"10.0.0.{number}", 80)
    return TargetRow(f"t{number}", address, "llm", data_centre, 4, **options)


ROWS = [row(1), row(2), row(3, "b"), row(4, "b")]


def prompt(content, shared=13_300):
    return (PromptPart(content, shared), PromptPart(f"{content}-own", 3_700))


def chooser(clock=None):
    return TargetChooser(clock or VirtualClock(), "a", seed=1)


def choose(picker, content, rows=ROWS, **options):
    return picker.choose(
        rows, parts=prompt(content), prompt_tokens=17_000, **options
    ).name


def test_every_entry_sends_a_shared_prompt_to_the_same_engine():
    """Load: many entries, shared prompts.

    Guards against prefill of the same prompt at many engines.
    """
    for content in ("x", "y", "z"):
        assert len({choose(chooser(), content) for _ in range(5)}) == 1
    preferred = {choose(chooser(), f"thing{n}") for n in range(60)}
    assert preferred == {"t1", "t2", "t3", "t4"}


def test_preferred_targets_are_balanced_over_data_centres():
    """Load: data centres with unequal numbers of engines but equal stages.

    Guards against a data centre whose stages receive more than their share.
    """
    rows = [row(1), row(2), row(3), row(4, "b")]
    names = [choose(chooser(), f"thing{n}", rows) for n in range(400)]
    assert 140 <= names.count("t4") <= 260


def test_overloaded_preferred_target_is_avoided():
    """Load: one prompt causes much of the traffic.

    Guards against a queue at its preferred target.
    """
    picker = chooser()
    preferred = choose(picker, "hot")
    preferred_row = next(r for r in ROWS if r.name == preferred)
    picker.health.record_load(preferred_row, TargetLoad(4, 8, 4))
    assert choose(picker, "hot") != preferred


def test_consecutive_prompts_are_sent_to_different_engines():
    """Load: several long prompts at once. Guards against one engine for all prefill."""
    picker = chooser()
    names = []
    for number in range(3):
        rows = [row(1), row(2), row(3)]
        parts = (PromptPart(f"own{number}", 9_000),)
        chosen = picker.choose(rows, parts=parts, prompt_tokens=9_000)
        picker.record_start(chosen, parts, 9_000)
        names.append(chosen.name)
    assert len(set(names)) == 3


def test_data_centre_of_large_results_is_preferred():
    """Load: stages with results of megabytes.

    Guards against transfers of results between data centres.
    """
    picker = chooser()
    parts = (PromptPart("own", 1_000),)
    chosen = picker.choose(
        ROWS,
        parts=parts,
        prompt_tokens=1_000,
        result_bytes_by_data_centre={"b": 6_000_000},
    )
    assert chosen.data_centre == "b"


def test_failing_target_is_avoided_and_later_tried_again():
    """Load: a target that fails requests but reports to be healthy.

    Guards against sending it further requests, and against never trying it again.
    """
    clock = VirtualClock()
    picker = chooser(clock)
    rows = [row(1), row(2)]
    for _ in range(4):
        picker.health.record_failure(rows[0])
    assert {picker.choose(rows).name for _ in range(20)} == {"t2"}
    clock.seconds += 60
    assert {picker.choose(rows).name for _ in range(50)} == {"t1", "t2"}


def test_slow_engine_is_avoided():
    """Load: engines that become slow. Guards against late first events."""
    picker = chooser()
    rows = [row(1), row(2)]
    for _ in range(5):
        picker.health.record_success(rows[0], 4.0)
    assert {picker.choose(rows).name for _ in range(20)} == {"t2"}


def test_unreachable_target_is_ejected():
    """Load: a target is unreachable. Guards against a connect timeout per request."""
    clock = VirtualClock()
    picker = chooser(clock)
    rows = [row(1), row(2)]
    picker.health.record_outcome(rows[0], RunOutcome.UNREACHABLE)
    assert picker.choose(rows).name == "t2"
    assert picker.choose(rows, {"t2"}).name == "t1"
    assert picker.choose(rows, {"t1", "t2"}) is None


def test_restarted_target_starts_with_an_empty_cache():
    """Load: engines restart under the same names.

    Guards against estimates that rely on the cache before the restart.
    """
    picker = chooser()
    old = row(1, incarnation=1)
    picker.record_start(old, prompt("x"), 17_000, "r")
    picker.record_end(old, "r", ["x"], has_begun=True)
    assert picker.estimate(old, prompt("x"), 17_000).cached_tokens == 13_300
    new = attrs.evolve(old, incarnation=2)
    assert picker.estimate(new, prompt("x"), 17_000).cached_tokens == 0


def test_first_event_times_are_learned_per_service():
    """Load: services with a large and with a small model.

    Guards against refusing prompts for the small model because the large one is slow.
    """
    picker = chooser()
    small = TargetRow("small", Address("10.0.1.1", 80), "small", "a", 4)

    def expected_ms(target):
        estimate = picker.estimate(target, (), 4_000)
        return picker.expected_first_event_ms(target, estimate)

    before_ms = expected_ms(small)
    for _ in range(50):
        picker.record_first_event(row(1), 4_000, 1_500)
    assert expected_ms(row(1)) > 1_200
    assert expected_ms(small) == before_ms
