"""Tests of the report on shared prompt parts from log files."""

import pytest

from tests.made_logs import line, request, started
from wagtailrun.cli import commands as cli
from wagtailrun.logs import events
from wagtailrun.observation.log_files import read_files
from wagtailrun.observation.part_report import PartReport, PartUse


@pytest.fixture
def report(tmp_path):
    """Return a function that reports on the lines of a file."""

    def report_on(*lines):
        path = tmp_path / "front-1.log"
        path.write_text("\n".join([*started(), *lines]) + "\n")
        return PartReport(read_files([str(path)]))

    return report_on


def prompt(at_s, parts, target="t1", **fields):
    """Return the line of a prompt that was placed at ``at_s``.

    Its first event came 200 ms later, the end 600 ms later.
    """
    values = {"parts": parts, "targets": [target], "placed_by": "front-1"}
    values |= {"began_at": target, "began_incarnation": 1, "aim_ms": 1_000}
    return request(at_s + 0.6, **(values | fields))


def again(report):
    """Return the tokens that were read again, by cause."""
    return {use: n for use, n in report.total.tokens.items() if use.is_again and n}


def test_parts_that_are_kept_read_first_and_read_again(report):
    """Guards against a part that counts as kept behind one that was not."""
    found = report(
        prompt(1, "aa:100,bb:50,:7"),
        prompt(2, "aa:100,bb:50,:7"),
        prompt(3, "aa:100,cc:30,:7"),
        prompt(14, "aa:100,cc:30,:7", "t2", holder="t1", holder_ms=500),
    )
    assert found.total.tokens[PartUse.FIRST] == 180
    assert found.total.tokens[PartUse.KEPT] == 250
    assert again(found) == {PartUse.HOLDER_IN_TIME: 130}
    # The last use was 11 s before.
    (row,) = [r for r in found.route_rows() if r["prompts"]]
    assert (row["again_tokens"], row["recent_tokens"]) == (130, 0)
    assert [r["target"] for r in found.target_rows()] == ["t1", "t2"]
    assert found.owner_rows()[0]["prompts"] == 4


def test_same_part_behind_another_one_is_another_text(report):
    """Guards against a part that counts as kept though its beginning differs."""
    found = report(prompt(1, "aa:100,cc:30,:7"), prompt(2, "bb:100,cc:30,:7"))
    assert found.total.tokens[PartUse.FIRST] == 260


@pytest.mark.parametrize(
    "second, cause",
    [
        ({"holder": "t1", "holder_ms": 800}, PartUse.HOLDER_LATE),
        ({"holder": "t1", "holder_ms": 700}, PartUse.HOLDER_IN_TIME),
        ({"placed_by": "front-2"}, PartUse.OWNER_CHANGED),
        ({}, PartUse.FORGOTTEN),
        ({"targets": ["t1", "t2"], "runs": 2}, PartUse.HOLDER_TRIED),
    ],
)
def test_cause_of_a_part_that_is_read_again(report, second, cause):
    """Guards against a cause that hides an avoidable read, or invents one."""
    parts = "aa:100,:7"
    found = report(prompt(1, parts), prompt(3, parts, "t2", **second))
    assert again(found) == {cause: 100}


def test_part_that_is_still_being_read_is_read_again(report):
    """Guards against two prompts at one engine that count as one read."""
    found = report(prompt(1, "aa:100,:7"), prompt(1.1, "aa:100,:7"))
    assert again(found) == {PartUse.OVERLAPPING: 100}


@pytest.mark.parametrize(
    "state", [{"incarnation": 2}, {"incarnation": 1, "leaving": True}]
)
def test_part_of_an_engine_that_is_gone(report, state):
    """Guards against a read that counts as avoidable though nobody had the part."""
    gone = line(2, events.TARGET_STATE_CHANGED, service="s", target="t1", **state)
    found = report(prompt(1, "aa:100,:7"), gone, prompt(3, "aa:100,:7", "t2"))
    assert again(found) == {PartUse.ENGINE_GONE: 100}


def test_engine_that_was_started_again_has_nothing(report):
    found = report(prompt(1, "aa:100,:7"), prompt(3, "aa:100,:7", began_incarnation=2))
    assert again(found) == {PartUse.ENGINE_GONE: 100}


def test_prompt_without_a_first_event_read_nothing(report):
    found = report(prompt(1, "aa:100,:7", first_ms=0), prompt(3, "aa:100,:7"))
    assert found.total.tokens[PartUse.FIRST] == 200


@pytest.mark.parametrize("parts", ["aa", "aa:x,:7", 7, "aa:100,,:7"])
def test_parts_of_another_form_are_a_gap(report, parts):
    """Guards against figures that silently leave prompts out."""
    found = report(prompt(1, parts), prompt(2, "bb:1,:7"))
    assert "1 lines of event 701 are not counted" in "\n".join(found.gaps())


def test_logs_without_parts_are_a_gap(report):
    assert "no line names the parts" in "\n".join(report(request(1)).gaps())


def test_command_prints_tables(tmp_path, capsys):
    path = tmp_path / "front-1.log"
    path.write_text("\n".join([*started(), prompt(1, "aa:100,:7")]) + "\n")
    with pytest.raises(SystemExit):
        cli.main(["parts", str(path)])
    output = capsys.readouterr().out
    assert "first read" in output
    assert "gaps in the logs" in output


def test_entry_that_was_started_again_did_not_forget(report):
    """Guards against a restart that counts as a fault of the same entry."""
    started_again = line(2, events.PROCESS_STARTED)
    found = report(prompt(1, "aa:100,:7"), started_again, prompt(3, "aa:100,:7", "t2"))
    assert again(found) == {PartUse.OWNER_CHANGED: 100}


def test_prompt_that_waited_for_a_part_was_sent_later(report):
    found = report(prompt(1, "aa:100,:7"), prompt(1.1, "aa:100,:7", part_waited_ms=100))
    assert again(found) == {}
