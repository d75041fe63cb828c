"""Tests of what a report says of refusals and of service around faults."""

import json

import pytest

from tests.made_results import make_results, write_lines
from tests.test_reports import run_command
from wagtailrun.experiments.reports.command import read_report

SEEDS = (1, 2)
REFUSED_AFTER_MS = 30


def make_play(path, seed, events, unserved):
    """Let a play have a request each 100 ms for 20 s, all served but some.

    Args:
        path: Results directory.
        seed: Seed of the play.
        events: Start, end, kind and subject of faults.
        unserved: Outcomes by intended start of the requests that are not served.
    """
    play = path / "base" / str(seed)
    rows = [json.loads(line) for line in (play / "requests.jsonl").open()]
    for row in rows:
        outcome = unserved.get(row["intended_at_ms"], "served")
        is_whole = outcome in ("served", "late")
        row |= {
            "outcome": outcome,
            "first_ms": 100 if is_whole else None,
            "ended_ms": 200 if is_whole else REFUSED_AFTER_MS,
            "reason": "" if is_whole else "no-target",
            "verdict": "not-run" if outcome == "refused" else "",
            "steps": [],
        }
    write_lines(play / "requests.jsonl", rows)
    names = ("at_ms", "until_ms", "kind", "subject")
    rows = [{**dict(zip(names, e, strict=True)), "planned": False} for e in events]
    write_lines(play / "events.jsonl", rows)


def rows_of(tmp_path, events, *unserved_by_seed):
    """Return the rows of the table for plays with the same faults."""
    path = make_results(tmp_path / "made", seeds=SEEDS[: len(unserved_by_seed)])
    for seed, unserved in zip(SEEDS, unserved_by_seed, strict=False):
        make_play(path, seed, events, unserved)
    rows = read_report([str(path)], []).outage_rows()
    return [list(row.values()) for row in rows]


CUT = (4_000, 8_000, "cut", ["west"])


@pytest.mark.parametrize(
    ("unserved", "cells"),
    [
        ({}, ["none", "0", "0"]),
        # Before the fault, and of another one.
        ({3_900: "refused", 12_000: "refused"}, ["none", "0", "0"]),
        ({4_000: "refused"}, ["30", "0", "0"]),
        ({4_500: "late", 4_700: "refused"}, ["730", "700", "0"]),
        ({4_500: "refused", 5_900: "failed"}, ["530", "1,900", "0"]),
        ({7_900: "refused"}, ["3,930", "not", "0"]),
        ({8_000: "refused", 8_600: "broken"}, ["4,030", "0", "600"]),
        ({11_900: "refused"}, ["7,930", "0", "not"]),
    ],
)
def test_times_are_those_of_the_records(tmp_path, unserved, cells):
    """Guards against times of other faults, or a recovery that was none."""
    events = [CUT, (12_000, 13_000, "kill-target", ["t"])]
    (row, _) = rows_of(tmp_path, events, unserved)
    assert row == ["cut: west", "variant base", "4", "8", *cells, 1]


def test_seeds_have_one_row_with_the_worst_of_them(tmp_path):
    """Guards against a seed that is not served again and that others hide."""
    events = [CUT, (12_000, None, "silence-target", ["t"])]
    rows = rows_of(
        tmp_path, events, {4_300: "refused", 19_900: "late"}, {7_900: "refused"}
    )
    assert [row[4:] for row in rows] == [
        ["330 to 3,930", "300, not in 1 of 2 seeds", "0", 2],
        ["none", "0, not in 1 of 2 seeds", "", 2],
    ]
    assert rows[1][:4] == ["silence-target: t", "variant base", "12", "no end"]


def test_same_fault_twice_has_two_rows(tmp_path):
    """Guards against the times of one fault that end up with another one."""
    events = [CUT, (10_000, 11_000, *CUT[2:])]
    rows = rows_of(tmp_path, events, {10_200: "refused"}, {10_400: "refused"})
    assert [row[2:6] for row in rows] == [
        ["4", "8", "none", "0"],
        ["10", "11", "230 to 430", "200 to 400"],
    ]


def test_faults_are_in_all_forms_of_the_report(tmp_path, capsys):
    """Guards against a table that only one form of the report has."""
    path = make_results(tmp_path / "made")
    page = tmp_path / "page.html"
    code, out, _ = run_command(capsys, path, "--html", page)
    assert code == 0 and "cut: riverside, north-mill" in out
    assert "<td>roll (planned): front-1</td>" in page.read_text()
    code, out, _ = run_command(capsys, path, "--json")
    faults = json.loads(out)["faults"]
    assert [row["start (s)"] for row in faults] == ["4", "9", "15"]
