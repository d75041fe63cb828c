"""Tests of the choice of targets; each names the load whose pattern it answers."""

import attrs

from wagtailrun.membership import TargetRow
from wagtailrun.ports.link import Address
from wagtailrun.relay import PromptPart, TargetLoad
from wagtailrun.relay.choice import TargetChooser
from wagtailrun.virtual_time import VirtualClock


def row(number, data_centre="a", **options):
    address = Address(f"10.0.0.{number}", 80)
    return TargetRow(f"t{number}", address, "llm", data_centre, 4, **options)


ROWS = [row(1), row(2), row(3, "b"), row(4, "b")]


def prompt(thing, shared=13_300):
    return (PromptPart(thing, shared), PromptPart(f"{thing}-own", 3_700))


def chooser(clock=None):
    return TargetChooser(clock or VirtualClock(), "a", seed=1)


def choose(picker, thing, rows=ROWS, **options):
    return picker.choose(
        rows, parts=prompt(thing), prompt_tokens=17_000, **options
    ).name


def test_every_entry_sends_a_shared_prompt_to_the_same_engine():
    """Load: many entries, shared prompts. Guards against reading them many times."""
    for thing in ("x", "y", "z"):
        assert len({choose(chooser(), thing) for _ in range(5)}) == 1
    homes = {choose(chooser(), f"thing{n}") for n in range(60)}
    assert homes == {"t1", "t2", "t3", "t4"}


def test_homes_are_spread_over_data_centres_and_not_engines():
    """Load: data centres with unequal numbers of engines, equal stages.

    Guards against a data centre whose stages get more than their part.
    """
    rows = [row(1), row(2), row(3), row(4, "b")]
    picked = [choose(chooser(), f"thing{n}", rows) for n in range(400)]
    assert 140 <= picked.count("t4") <= 260


def test_busy_home_is_passed_over():
    """Load: one prompt gets much of the traffic. Guards against a queue at its home."""
    picker = chooser()
    home = choose(picker, "hot")
    home_row = next(r for r in ROWS if r.name == home)
    picker.record_load(home_row, TargetLoad(4, 8, 4))
    assert choose(picker, "hot") != home


def test_prompts_in_a_row_do_not_wait_for_each_other():
    """Load: long prompts at once. Guards against one engine that reads them all."""
    picker = chooser()
    names = []
    for number in range(3):
        rows = [row(1), row(2), row(3)]
        parts = (PromptPart(f"own{number}", 9_000),)
        chosen = picker.choose(rows, parts=parts, prompt_tokens=9_000)
        picker.record_start(chosen, parts, 9_000)
        names.append(chosen.name)
    assert len(set(names)) == 3


def test_large_results_draw_the_request_to_their_data_centre():
    """Load: stages with results of megabytes. Guards against moving them."""
    picker = chooser()
    parts = (PromptPart("own", 1_000),)
    chosen = picker.choose(
        ROWS,
        parts=parts,
        prompt_tokens=1_000,
        result_bytes_by_data_centre={"b": 6_000_000},
    )
    assert chosen.data_centre == "b"


def test_failing_target_is_left_alone_and_tried_again():
    """Load: a target that fails with good health. Guards against feeding it."""
    clock = VirtualClock()
    picker = chooser(clock)
    rows = [row(1), row(2)]
    for _ in range(4):
        picker.record_failure(rows[0])
    assert {picker.choose(rows).name for _ in range(20)} == {"t2"}
    clock.seconds += 60
    assert {picker.choose(rows).name for _ in range(50)} == {"t1", "t2"}


def test_slow_engine_gets_less():
    """Load: engines that turn slow. Guards against first events that come late."""
    picker = chooser()
    rows = [row(1), row(2)]
    for _ in range(5):
        picker.record_success(rows[0], 4.0)
    assert {picker.choose(rows).name for _ in range(20)} == {"t2"}


def test_unreachable_target_comes_last_for_a_while():
    """Load: a target goes dark. Guards against a connection time-out a request."""
    clock = VirtualClock()
    picker = chooser(clock)
    rows = [row(1), row(2)]
    picker.record_unreachable(rows[0])
    assert picker.choose(rows).name == "t2"
    assert picker.choose(rows, {"t2"}).name == "t1"
    assert picker.choose(rows, {"t1", "t2"}) is None


def test_reborn_target_is_known_for_nothing():
    """Load: engines restart under their names. Guards against trust in an old cache."""
    picker = chooser()
    old = row(1, incarnation=1)
    picker.record_start(old, prompt("x"), 17_000)
    assert picker.uncached_tokens(old, prompt("x"), 17_000) == 3_700
    new = attrs.evolve(old, incarnation=2)
    assert picker.uncached_tokens(new, prompt("x"), 17_000) == 17_000


def test_engines_of_each_service_have_times_of_their_own():
    """Load: a large model beside a small one.

    Guards against prompts for the small one that are refused because the large one is
    slow.
    """
    picker = chooser()
    small = TargetRow("small", Address("10.0.1.1", 80), "small", "a", 4)
    before_ms = picker.expected_first_event_ms(small, (), 4_000)
    for _ in range(50):
        picker.record_first_event(row(1), 4_000, 1_500)
    assert picker.expected_first_event_ms(row(1), (), 4_000) > 1_200
    assert picker.expected_first_event_ms(small, (), 4_000) == before_ms
