"""Tests of the command line against control members without sockets."""

import csv
import io
import json
import re
from pathlib import Path
from types import SimpleNamespace
from unittest.mock import AsyncMock

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tests.test_fleet import DEMO
from tests.test_operator_api import CREDENTIAL, MEMBERS, Members
from wagtailrun.cli import commands as cli
from wagtailrun.virtual_time import run_virtual

TRACES = Path(__file__).parent / "traces"

CONTROL = ",".join(map(str, MEMBERS))


@pytest.fixture
def members(monkeypatch):
    fleet = Members()
    for name in ("NAME", "DATA_CENTRE", "PEER_SECRET"):
        monkeypatch.delenv(f"WAGTAILRUN_{name}", raising=False)
    monkeypatch.setenv("WAGTAILRUN_OPERATOR_CREDENTIAL", CREDENTIAL)
    monkeypatch.setenv("WAGTAILRUN_CONTROL", CONTROL)
    monkeypatch.setattr("wagtailrun.cli.client.HttpClient", lambda clock: fleet)
    monkeypatch.setattr("wagtailrun.cli.client.ROUND_PAUSE_MS", 0)
    return fleet


@pytest.fixture
def text(tmp_path):
    path = tmp_path / "fleet.toml"
    path.write_text(DEMO)
    return path


@pytest.fixture
def run(capsys):
    def command(*arguments):
        with pytest.raises(SystemExit) as error:
            cli.main([str(argument) for argument in arguments])
        output = capsys.readouterr()
        assert "Traceback" not in output.err
        return error.value.code, output.out, output.err

    return command


@pytest.mark.parametrize("command", cli.COMMANDS, ids=lambda c: c.__name__)
def test_help_has_an_example(run, command):
    """Guards against a command whose help has no example."""
    code, out, _ = run(command.__name__, "--help")
    assert code == 0
    assert f"Example: wagtailrun {command.__name__}" in " ".join(out.split())


def test_apply_takes_base_and_repeats_the_first_verdict(run, members, text):
    """Guards against a second revision when the command is repeated."""
    assert run("apply", text)[0] == 0
    assert run("apply", text)[:2] == (0, "applied as revision 1\n")
    assert run("apply", text, "--base=0")[0] == 0
    assert members.registry.revision == 1
    assert len({command.change_id for command in members.commands}) == 1


def test_apply_survives_lost_answers_and_dead_members(run, members, text):
    """Guards against a change that one failure aborts, or that is applied twice."""
    members.unreachable.add(MEMBERS[0])
    members.lose_answers = 3
    assert run("apply", text)[0] == 0
    assert members.registry.revision == 1
    assert len(members.commands) == 4


def test_apply_again_does_not_undo_a_later_change(run, members, text):
    """Guards against a resend that silently reverts later changes."""
    members.lose_answers = 1_000
    code, _, error = run("apply", text)
    assert code == 1 and "run the same command again" in error
    members.lose_answers = 0
    other = text.with_name("other.toml")
    other.write_text(DEMO.replace("share = 3", "share = 4"))
    assert run("apply", other)[0] == 0
    code, _, error = run("apply", text)
    assert code == 1 and "accepted as revision 1 and replaced since" in error
    assert members.registry.revision == 2
    assert run("apply", text, "--base=2")[0] == 0


def test_apply_refused_by_a_stale_base(run, members, text, monkeypatch):
    """Guards against a refusal that exits with 0 or hides the current revision."""
    run("apply", text)
    code, _, error = run("apply", text, "--base=7")
    assert code == 1 and "current revision: 1" in error
    stale = SimpleNamespace(accepted=False, revision=1, detail="-", difference="+x")
    monkeypatch.setattr(members.service, "handle", AsyncMock(return_value=stale))
    assert run("apply", text, "--base=8")[2].endswith("\n+x\n")
    members.unreachable.update(MEMBERS)
    assert run("apply", text)[0] == 1


def test_plan_lists_changes_and_whom_they_affect(run, members, text):
    """Guards against a plan that modifies the fleet, or omits who is affected."""
    run("apply", text)
    before = len(members.commands)
    text.write_text(
        DEMO.replace("share = 3", "share = 4").replace('"demo-model"', '"new-model"')
    )
    code, out, _ = run("plan", text, "--json")
    changes = json.loads(out)["changes"]
    assert code == 0 and len(members.commands) == before
    assert [(change["key"], change["affects"]) for change in changes] == [
        ("services.engines.model", ["pipeline stockist-query", "service engines"]),
        ("workspaces.stockists.share", ["workspace stockists"]),
    ]
    assert (changes[1]["before"], changes[1]["after"]) == (3, 4)


def test_refusals_and_costs_as_table_json_and_csv(run, members):
    """Guards against output that another program cannot read."""
    run_virtual(members.fill_accounts)
    code, out, _ = run("refusals", "--json", "--workspace=stockists")
    (row,) = json.loads(out)
    assert code == 0 and row["reasons"] == {"overloaded": 1}
    code, out, _ = run("costs", "--by=work", "--csv")
    rows = list(csv.DictReader(io.StringIO(out)))
    assert [(row["work"], row["calls"]) for row in rows] == [
        ("first", "1"),
        ("retry", "1"),
    ]
    assert "2026-01-01T00:00Z" in run("refusals")[1]
    assert run("costs", "--by=color")[0] == 1
    assert run("costs", "--period=yesterday")[0] == 1


def test_status_names_members_that_do_not_answer(run, members):
    """Guards against a status that omits an unreachable member and exits with 0."""
    assert run("status")[0] == 0
    members.unreachable.add(MEMBERS[1])
    code, out, _ = run("status", "--json")
    assert code == 1
    assert [row["answers"] for row in json.loads(out)] == [True, False]
    assert run("targets")[0] == 1
    assert run("orders")[:2] == (0, "nothing\n")
    assert run("audit")[0] == 0


def test_audit_export_shows_a_change_and_a_gap(run, members, text, tmp_path):
    """Guards against an export in which modifications are not detected."""
    for share in (4, 5, 6):
        text.write_text(DEMO.replace("share = 3", f"share = {share}"))
        run("apply", text)
    rows = json.loads(run("audit", "--json")[1])
    export = tmp_path / "audit.json"
    changed = [rows[0] | {"who": "somebody"}, *rows[1:]]
    for content, code in ((rows, 0), (changed, 1), (rows[:1] + rows[2:], 1), ([5], 1)):
        export.write_text(json.dumps(content))
        assert run("audit", f"--verify={export}")[0] == code


def test_replay_exit_code(run, tmp_path):
    """Guards against a replay that exits with 0 although its outcomes do not hold."""
    lines = (TRACES / "utility-silent.jsonl").read_text().splitlines()
    header = json.loads(lines[0]) | {"outcomes": {}}
    trace = tmp_path / "trace.jsonl"
    trace.write_text("\n".join([json.dumps(header), *lines[1:40]]))
    assert run("replay", trace, "--json")[0] == 0
    header["outcomes"] = {"attainment_at_least": 2.0}
    trace.write_text("\n".join([json.dumps(header), *lines[1:40]]))
    assert run("replay", trace)[0] == 1
    for bad in ("{", "[]", '{"kind": "header"}', '{"kind": "song"}', ""):
        trace.write_text(bad)
        code, _, error = run("replay", trace)
        assert code in (1, 2) and "Traceback" not in error


def test_print_settings_hides_secrets(run, monkeypatch):
    """Guards against printed secrets."""
    monkeypatch.setenv("WAGTAILRUN_PEER_SECRET", CREDENTIAL)
    addresses = [
        f"--{name}-address=10.0.0.1:{port}"
        for port, name in enumerate(("caller", "target", "peer"), 1)
    ]
    flags = ["--name=a", "--data-centre=b", *addresses, "--print-settings"]
    code, out, _ = run("entry", *flags)
    assert code == 0 and CREDENTIAL not in out
    assert "peer_secret=(hidden)  # WAGTAILRUN_PEER_SECRET" in out


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        (["check", "missing.toml"], 2),
        (["check"], 2),
        (["unknown"], 2),
        (["apply", "missing.toml"], 2),
        (["entry", "--name=a b"], 2),
        (["orders", "--control=nowhere"], 2),
        (["orders", "--operator-credential-file=missing"], 2),
        (["replay", "missing"], 1),
    ],
)
def test_bad_input_ends_with_a_message(run, members, arguments, code):
    """Guards against a traceback or a wrong exit code."""
    result, _, error = run(*arguments)
    assert result == code and re.search(r"\w", error)


@settings(suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(st.binary(max_size=60))
def test_any_file_is_accepted_or_explained(tmp_path, data):
    """Guards against a traceback for any fleet text."""
    path = tmp_path / "any.toml"
    path.write_bytes(data)
    with pytest.raises(SystemExit) as error:
        cli.main(["check", str(path)])
    assert error.value.code == 2


@settings(suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(value=st.recursive(st.none() | st.integers() | st.text(), st.lists))
def test_any_answer_is_accepted_or_explained(members, value):
    """Guards against a traceback for an unexpected answer of another version."""

    async def request(*arguments, **options):
        body = json.dumps({"rows": value, "total_rows": value, "text": value})
        return SimpleNamespace(status=200, headers={}, body=body.encode())

    members.request = request
    for command in ("orders", "costs", "status"):
        with pytest.raises(SystemExit) as error:
            cli.main([command])
        assert error.value.code in (0, 1)
