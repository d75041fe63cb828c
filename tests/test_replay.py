"""Tests of replays: stated outcomes under faults, and with safeguards disabled."""

import json
from pathlib import Path

import attrs
import pytest

from bench.traces import FLEETS_BY_NAME, make_trace
from wagtailrun.replay.player import build_dispatcher, main, replay, replay_records
from wagtailrun.serving import dispatch, repeats
from wagtailrun.serving.dispatch import DispatchOptions

TRACES = sorted((Path(__file__).parent / "traces").glob("*.jsonl"))
SAFE = {
    "wrong_at_most": 0,
    "most_runs_of_an_order_at_most": 1,
    "false_not_run_at_most": 0,
    "extra_share_at_most": 0.1,
}


def short(user="utility", **options):
    options = {"duration_ms": 12_000, "load": 0.6, "outcomes": SAFE, **options}
    return make_trace(user, 7, **options)


def without(**options):
    """Return a dispatcher factory with some options of the dispatcher disabled."""

    def build(parts):
        dispatcher = build_dispatcher(parts)
        dispatcher.options = DispatchOptions(**options)
        return dispatcher

    return build


def brief_crashes(service):
    """Return faults that crash the targets of one data centre after another briefly."""
    return tuple(
        {
            "fault": "die",
            "service": service,
            "data_centre": centre,
            "at": at_ms + 300 * number,
            "until": at_ms + 300 * number + 200,
        }
        for number, centre in enumerate(FLEETS_BY_NAME["utility"]["centres"])
        for at_ms in range(1_000, 11_000, 1_000)
    )


def orders():
    """Return a trace of orders that run long enough to be hit by a fault."""
    records = short(duration_ms=1, faults=brief_crashes("counter-desk"))
    for group in records[0]["targets"]:
        group["model"] = {**group["model"], "service_ms": 200.0}
    return records + [
        {
            "kind": "arrival",
            "at": 10 * number,
            "workspace": "ws-0",
            "service": "counter-desk",
            "call": "transfer-meter",
            "key": f"order-{number}",
        }
        for number in range(600)
    ]


@pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
def test_recorded_trace_keeps_its_stated_outcomes(path):
    """Guards against a change of policy that violates an outcome stated to users."""
    report = replay(path)
    assert report.holds, report.violations


def test_traces_are_recorded():
    """Guards against a test run that passes because it finds no traces."""
    assert len(TRACES) >= 6
    assert all(path.stat().st_size < 100_000 for path in TRACES)


def test_same_seed_gives_the_same_report():
    """Guards against measurements that cannot be repeated."""
    records = short(faults=brief_crashes("engines"), duration_ms=4_000)
    assert attrs.asdict(replay_records(records)) == attrs.asdict(
        replay_records(records)
    )


def test_command_reports_whether_outcomes_hold(tmp_path, capsys):
    """Guards against a replay that reports success although an outcome fails."""
    records = short(duration_ms=1_000)
    path = tmp_path / "trace.jsonl"
    path.write_text("\n".join(map(json.dumps, records)))
    assert main(str(path)) == 0
    records[0]["outcomes"] = {"attainment_at_least": 1.1, "unknown_at_most": 1}
    path.write_text("\n".join(map(json.dumps, records)))
    assert main(str(path)) == 1
    assert "stated outcome 'unknown_at_most' is not known" in capsys.readouterr().out


def test_orders_run_once_and_their_refusals_are_true(monkeypatch):
    """Guards against repeated runs of orders.

    Without the rule that limits retries, the replay must detect them.
    """
    records = orders()
    assert replay_records(records).holds
    monkeypatch.setattr(repeats, "may_retry", lambda idempotent, error: True)
    broken = replay_records(records)
    assert broken.most_runs_of_an_order > 1
    assert not broken.holds


def test_false_verdict_of_an_order_is_detected(monkeypatch):
    """Guards against a false verdict "not run" that the replay does not detect."""
    records = orders()
    monkeypatch.setattr(
        repeats.RetryState,
        "_combine",
        lambda self, error: dispatch.Refusal(
            dispatch.RefusalReason.TARGET_FAILED, dispatch.Verdict.NOT_RUN
        ),
    )
    broken = replay_records(records)
    assert broken.false_not_run > 0
    assert not broken.holds


def test_hedges_and_retries_stay_within_the_budget():
    """Guards against too much added load, which occurs without the budget."""
    records = short(load=1.5, faults=brief_crashes("engines"))
    assert replay_records(records).extra_share <= 0.1
    assert replay_records(records, without(budget=False)).extra_share > 0.1


def test_repeated_tokens_are_not_delivered():
    """Guards against a target that repeats tokens on resume.

    Without the check of token offsets, the replay must detect them.
    """
    slip = tuple(
        {
            "fault": "resume-slip",
            "service": "engines",
            "data_centre": centre,
            "tokens": 1,
            "at": 0,
        }
        for centre in FLEETS_BY_NAME["utility"]["centres"]
    )
    records = short(faults=slip + brief_crashes("engines"), duration_ms=6_000)
    assert replay_records(records).wrong == 0
    assert replay_records(records, without(check_tokens=False)).wrong > 0
