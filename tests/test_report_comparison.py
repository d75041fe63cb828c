"""Tests of the comparison of two variants over paired seeds."""

import json
import sys

import numpy as np
import pytest
from markupsafe import escape

from tests.made_results import make_results
from tests.test_reports import run_command
from wagtailrun.experiments.reports.command import read_report
from wagtailrun.experiments.reports.comparison import (
    METHOD,
    Difference,
    compare,
    interval,
    student_quantile,
)
from wagtailrun.experiments.reports.page import make_page

DRAWS = 2_000


def differences(*directories, variants=()):
    """Return the one comparison of a report by figure, and the report."""
    report = read_report(list(map(str, directories)), variants)
    ((first, second),) = report.pairs
    found = compare(first, second).differences
    return {difference.figure: difference for difference in found}, report


@pytest.mark.parametrize(
    ("freedom", "expected"),
    [(2, 4.3027), (3, 3.1824), (4, 2.7764), (9, 2.2622), (29, 2.0452), (100, 1.9840)],
)
def test_quantiles_are_those_of_printed_tables(freedom, expected):
    """Guards against an interval of another width than the page states."""
    assert student_quantile(0.975, freedom) == pytest.approx(expected, abs=1e-4)


@pytest.mark.parametrize("count", [3, 5, 12])
@pytest.mark.parametrize("difference", [0.0, 4.0])
def test_interval_covers_the_true_difference(count, difference):
    """Guards against intervals that are too narrow or too wide.

    What both variants of a seed share, as a heavy load, must not widen them.
    """
    rng = np.random.default_rng(1_000 * count + int(difference))
    covered = zero_inside = 0
    for _ in range(DRAWS):
        shared = rng.normal(0, 100, count)
        ones = shared + rng.normal(20, 1, count)
        others = shared + rng.normal(20 + difference, 1, count)
        mean, low, high = interval((others - ones).tolist())
        assert low <= mean <= high
        covered += low <= difference <= high
        zero_inside += low <= 0 <= high
    assert 0.92 * DRAWS <= covered <= 0.98 * DRAWS
    if difference and count > 3:
        assert zero_inside < 0.1 * DRAWS


def test_interval_of_few_pairs():
    """Guards against an interval where the spread is hardly known."""
    assert interval([]) == (None, None, None)
    assert interval([3.0]) == (3.0, None, None)
    assert interval([3.0, 5.0]) == (4.0, None, None)
    assert interval([2.0, 2.0, 2.0]) == (2.0, 2.0, 2.0)
    mean, low, high = interval([1.0, 2.0, 3.0])
    assert (mean, high - mean) == (2.0, pytest.approx(4.3027 / 3**0.5, abs=1e-4))
    assert mean - low == pytest.approx(high - mean)


@pytest.mark.parametrize(
    ("low", "high", "verdict"),
    [
        (-1, 1, "no difference shown"),
        (0, 1, "no difference shown"),
        (-1, 0, "no difference shown"),
        (0.1, 1, "second is higher"),
        (-1, -0.1, "second is lower"),
        (None, None, "no interval, only 2 paired seeds"),
    ],
)
def test_verdict_follows_the_interval(low, high, verdict):
    """Guards against a difference that is claimed where zero is possible."""
    difference = Difference("share", "%", 1, 2, 0, 0, 0, low, high)
    assert difference.verdict == verdict


def test_known_difference_between_variants_is_found(tmp_path):
    """Guards against seeds that are paired wrongly, or the wrong sign."""
    variants = {"base": {}, "slow": {"slower_ms": 50}, "refusing": {"served": 0.5}}
    path = make_results(tmp_path / "made", variants=variants, seeds=range(6))
    found, _ = differences(path, variants=["base", "slow"])
    first = found["first token, 50th percentile"]
    assert (first.mean, first.low, first.high, first.pairs) == (50, 50, 50, 6)
    assert first.verdict == "second is higher"
    assert found["share served"].verdict == "no difference shown"
    found, _ = differences(path, variants=["slow", "base"])
    assert found["first token, 50th percentile"].verdict == "second is lower"
    found, _ = differences(path, variants=["base", "refusing"])
    served = found["share served"]
    assert served.low < -30 < served.high < 0
    assert served.verdict == "second is lower"


def test_two_directories_pair_the_seeds_that_both_have(tmp_path):
    """Guards against seeds of one directory only that count in a difference."""
    one = make_results(tmp_path / "one", seeds=[1, 2, 3, 4])
    variants = {"base": {"slower_ms": 7}, "other": {}}
    two = make_results(tmp_path / "two", variants=variants, seeds=[9, 4, 3, 2])
    found, report = differences(one, two)
    first = found["first token, 50th percentile"]
    assert (first.pairs, first.mean) == (3, 7)
    assert report.notes == [
        "variant other is in one directory only: left out",
        "one: base and two: base: seeds of only one of the two are left out: 1, 9",
    ]
    (two / "base/4/requests.jsonl").write_text("")
    found, report = differences(one, two)
    assert report.gaps == ["two: base/4/requests.jsonl: no request; base/4 is left out"]
    assert "left out: 1, 4, 9" in report.notes[-1]
    first = found["first token, 50th percentile"]
    assert (first.pairs, first.mean, first.low) == (2, 7, None)
    assert first.verdict == "no interval, only 2 paired seeds"


def test_other_experiments_are_named(tmp_path):
    """Guards against a comparison of runs that differ in more than they seem."""
    one = make_results(tmp_path / "one")
    two = make_results(tmp_path / "two", world="processes", version="0.2.0")
    _, report = differences(one, two)
    assert report.notes == [
        "one: base and two: base: world differs: emulator and processes",
        "one: base and two: base: version differs: 0.1.0 and 0.2.0",
    ]


def test_figure_without_measurements_is_left_out_of_its_pairs(tmp_path):
    """Guards against a figure that nothing was measured of, but counts as 0."""
    variants = {"base": {}, "whole": {"served": 1.0}}
    path = make_results(tmp_path / "made", variants=variants)
    found, _ = differences(path, variants=["base", "whole"])
    refused = found["refusals held over 1 s"]
    assert (refused.pairs, refused.mean) == (0, None)
    assert refused.verdict == "no interval, only 0 paired seeds"


def test_comparison_on_page_terminal_and_as_json(tmp_path, capsys):
    """Guards against outputs that lack the method, or differ from each other."""
    variants = {"base": {}, "slow": {"slower_ms": 50}}
    path = make_results(tmp_path / "made", variants=variants)
    flags = ["--variant", "base", "--variant", "slow"]
    code, out, _ = run_command(capsys, path, *flags)
    assert code == 0 and "first: variant base; second: variant slow" in out
    assert "no difference shown" in out and "second is higher" in out
    code, out, _ = run_command(capsys, path, *flags, "--json")
    (comparison,) = json.loads(out)["comparisons"]
    rows = {row["figure"]: row for row in comparison["differences"]}
    assert rows["first token, 95th percentile"]["mean"] == 50
    text = make_page(read_report([str(path)], ["base", "slow"]))
    assert escape(METHOD) in text and "no difference shown" in text
    assert "First: variant base. Second: variant slow." in text
    assert escape(METHOD) not in make_page(read_report([str(path)], []))


def test_comparison_without_numpy_is_refused(tmp_path, capsys, monkeypatch):
    """Guards against a traceback, or a summary that lacks the differences."""
    one, two = (make_results(tmp_path / name) for name in ("one", "two"))
    monkeypatch.setitem(sys.modules, "numpy", None)
    code, out, error = run_command(capsys, one, two)
    assert (code, out) == (1, "") and "this report needs numpy;" in error
    assert run_command(capsys, one)[0] == 0
