"""Tests of the upper bound of staged requests in time from log files."""

import functools
import itertools
import json
import random

import pytest

from bench import stage_bound
from bench.stage_bound import StageBound
from bench.staged_day import ServiceCalls, StagedDay
from tests.made_logs import call, line, request, started, step
from wagtailrun.logs import events
from wagtailrun.observation.log_files import read_files

# Time of each call of the days that are planned, and the engine's part of requests.
CALL_MS = 100
ENGINE_MS = 50
END_S = 90


@pytest.fixture
def write(tmp_path):
    """Return a function that writes the lines of a file and returns its name."""

    def write_file(name, lines, end="\n"):
        path = tmp_path / name
        path.write_text("\n".join(lines) + end)
        return str(path)

    return write_file


def calls(service="s", batch=1, process="front-1", target="t2"):
    """Return calls of a target of a service: of one piece, and full with the sums."""
    sums = {"steps": 4, "batch": batch, "slots": 1, "calls_ms": 400}
    values = {"service": service, "target": target, "took_ms": CALL_MS}
    return [
        call(END_S, process, pieces=1, **values),
        call(END_S, process, pieces=batch, ended=sums, **values),
    ]


def staged(
    name, arrived_ms, due_ms, pieces=None, took_ms=2_000, process="front-1", **fields
):
    """Return the lines of a staged request: its steps and its end.

    Args:
        name: Identifier of the request.
        arrived_ms: Its arrival.
        due_ms: Until when its stages must be done, with the engine's part after them.
        pieces: Pieces of its step at each service.
        took_ms: When its first event arrived, from its arrival.
        process: Its entry.
        fields: Other fields of the line of its end.
    """
    end_s = (arrived_ms + took_ms) / 1_000
    lines = [
        step(
            end_s,
            process,
            request_id=name,
            step=number,
            service=service,
            pieces=count,
        )
        for number, (service, count) in enumerate((pieces or {}).items())
        if count
    ]
    values = {"request_id": name, "took_ms": took_ms, "first_ms": took_ms}
    values |= {"staged_ms": took_ms - ENGINE_MS}
    values |= {"aim_ms": due_ms - arrived_ms + ENGINE_MS, **fields}
    return [*lines, request(end_s, process, **values)]


def day_of(*names):
    return StagedDay(read_files(names))


def all_row(*names):
    """Return the row of all routes of a day without gaps."""
    day = day_of(*names)
    assert (day.lacks, day.gaps) == ([], [])
    return StageBound(day).route_rows()[-1]


def joined(*groups):
    return [each for group in groups for each in group]


def test_bound_of_unit_calls_at_one_target_is_the_optimum(write):
    """Guards against a bound that is looser than its constraints, or too low."""
    requests = [staged(f"r{n}", 0, 350, {"s": 1}) for n in range(4)]
    # It may run beside them, and is in time by the log.
    requests.append(staged("early", 0, 400, {"s": 1}, took_ms=CALL_MS + ENGINE_MS))
    name = write("a", [*started(), *joined(*requests), *calls()])
    row = all_row(name)
    assert (row["requests"], row["in_time"]) == (5, 1)
    assert (row["bound"], row["distance"], row["bound_share"]) == (4, 3, 0.8)
    bound = StageBound(day_of(name))
    (window, other) = bound.constraint_rows()
    assert (window["constraint"], window["late"], window["of"]) == ("s", 1, 4)
    assert window["to_s"] - window["from_s"] == pytest.approx(0.35)
    assert (other["plan"], other["late"]) == ("engines_kept", 1)
    (service,) = bound.service_rows()
    assert (service["servers"], service["piece_ms"]) == (1, CALL_MS)
    assert (service["bound"], service["pieces"], service["pieces_told"]) == (4, 2, 2.5)


def test_windows_that_do_not_overlap_add_up(write):
    """Guards against a bound by the worst window alone."""
    requests = [
        staged(f"{start}-{n}", start, start + 200, {"s": 1})
        for start in (0, 200, 1_000)
        for n in range(3)
    ]
    row = all_row(write("a", [*started(), *joined(*requests), *calls()]))
    assert row["bound"] == 6


def test_request_that_is_late_at_two_services_counts_once(write):
    """Guards against a bound below the optimum, as requests are left out twice."""
    both = [staged(f"b{n}", 0, 200, {"s": 1, "u": 1}) for n in range(3)]
    lines = [*started(), *joined(*both), *calls(), *calls("u", target="t3")]
    assert all_row(write("a", lines))["bound"] == 2
    # Other requests at the second service are left out besides.
    others = [staged(f"o{n}", 5_000, 5_200, {"u": 1}) for n in range(4)]
    assert all_row(write("b", [*lines, *joined(*others)]))["bound"] == 4


def test_largest_requests_are_left_out_first(write):
    """Guards against a bound below the optimum, which serves the small ones."""
    requests = [staged("large", 0, 400, {"s": 4})]
    requests += [staged(f"r{n}", 0, 400, {"s": 1}) for n in range(4)]
    row = all_row(write("a", [*started(), *joined(*requests), *calls()]))
    assert row["bound"] == 4


def test_longest_step_and_engine_bound_a_request(write):
    """Guards against requests that count as possible although idle targets are late."""
    requests = [
        staged("path", 0, 299, {"s": 3}),
        staged("fits", 1_000, 1_300, {"s": 3}),
        # Without a line of a step it needs one call.
        staged("call", 2_000, 2_099),
        staged("engine", 3_000, 2_999),
    ]
    name = write("a", [*started(), *joined(*requests), *calls()])
    assert all_row(name)["bound"] == 1
    rows = StageBound(day_of(name)).constraint_rows()[:2]
    assert [(r["constraint"], r["late"]) for r in rows] == [("engine", 1), ("path", 2)]


def test_parts_that_are_kept_bound_plans_of_the_other_part(write):
    """Guards against a loss by the engines that is blamed on queues, or the reverse."""
    requests = [
        # Engine's part of 600 ms: late whatever the stages do.
        staged("engine", 0, 400, took_ms=800, staged_ms=200),
        # Stages of 700 ms: late whatever the engine does.
        staged("stages", 1_000, 1_400, took_ms=750, staged_ms=700),
        staged("good", 2_000, 2_400, took_ms=300, staged_ms=250),
    ]
    row = all_row(write("a", [*started(), *joined(*requests), *calls()]))
    assert (row["in_time"], row["bound"]) == (1, 3)
    assert (row["engines_kept"], row["stages_kept"]) == (2, 2)


def test_refused_request_of_a_staged_route_may_be_in_time(write):
    """Guards against a bound that is too low as requests were refused early."""
    refused = [
        line(1, events.RELAY_REFUSED, request_id="x", route="a", took_ms=1),
        request(1, request_id="y", outcome="refused", staged_ms=0, status=503),
        line(1, events.RELAY_REFUSED, request_id="z", route="other", took_ms=1),
    ]
    requests = staged("late", 0, 400)
    row = all_row(write("a", [*started(), *refused, *requests, *calls()]))
    assert (row["requests"], row["unknown"], row["in_time"]) == (1, 2, 0)
    assert (row["bound"], row["distance"], row["bound_share"]) == (3, 3, 1.0)


def test_call_that_was_never_full_may_have_been_as_short(write):
    """Guards against a bound that is too low, as no call of the day was full."""
    seen = ServiceCalls({1: 100, 4: 160, 5: 150}, targets=2, slots=1, batch=10)
    assert seen.call_ms(4) == 150
    assert seen.piece_ms == 15
    assert ServiceCalls({1: 100}, targets=2, slots=1, batch=1).step_ms(5) == 300
    # Two calls of one piece, one after the other, are shorter than one of both.
    both = ServiceCalls({1: 100, 2: 250}, targets=1, slots=1, batch=2)
    assert both.step_ms(2) == 200


def test_call_that_ran_no_piece_is_no_measure(write):
    """Guards against a bound that is loose as a call without its inputs was short.

    On a day with a cut, calls of 8 pieces ended after 1 ms instead of 200, without a
    failure, so that a piece seemed to cost 0.1 ms.
    """
    requests = joined(*[staged(f"r{n}", 0, 250, {"s": 1}) for n in range(4)])
    short = call(1, pieces=1, target="t2", took_ms=1, expected_ms=200)
    name = write("a", [*started(), short, *requests, *calls()])
    assert all_row(name)["bound"] == 2
    (row,) = StageBound(day_of(name)).service_rows()
    assert (row["piece_ms"], row["empty_calls"]) == (CALL_MS, 1)


def test_steps_of_identifiers_that_are_not_unique_count_as_none(write):
    """Guards against work that is counted for each request with the identifier."""
    twice = [staged("r", at_ms, at_ms + 200, {"s": 3}) for at_ms in (0, 0)]
    day = day_of(write("a", [*started(), *joined(*twice), *calls()]))
    assert "1 identifiers are those of several requests" in day.gaps[-1]
    assert StageBound(day).route_rows()[-1]["bound"] == 2


def best_plan(requests, batch):
    """Return how many of some requests the best plan answers in time.

    One target of each of two services runs calls of ``CALL_MS``, in steps of that time.

    Args:
        requests: Arrival and due time as multiples of ``CALL_MS``, and the pieces of
            the steps at the first and at the second service, which needs the first.
        batch: Pieces of a call.
    """

    def choices(counts):
        places = range(len(counts))
        for chosen in itertools.combinations_with_replacement(places, batch):
            taken = [min(chosen.count(n), count) for n, count in enumerate(counts)]
            yield tuple(taken)

    @functools.cache
    def most(now, left):
        active = [now < due for _, due, _, _ in requests]
        if not any(active):
            return sum(pair == (0, 0) for pair in left)
        ready = [row[0] <= now < row[1] for row in requests]
        first = [a * ok for (a, _), ok in zip(left, ready, strict=True)]
        second = [b * (ok and not a) for (a, b), ok in zip(left, ready, strict=True)]
        plans = itertools.product(set(choices(first)), set(choices(second)))
        return max(
            most(
                now + 1,
                tuple(
                    (a - x, b - y)
                    for (a, b), x, y in zip(left, taken, other, strict=True)
                ),
            )
            for taken, other in plans
        )

    return most(0, tuple((a, b) for _, _, a, b in requests))


@pytest.mark.parametrize(("batch", "count"), [(1, 4), (2, 6)])
def test_bound_is_never_below_the_best_plan(write, batch, count):
    """Guards against a bound that a plan exceeds, on small days drawn at random."""
    source = random.Random(batch)
    equal, binding, days = 0, 0, 60
    for number in range(days):
        requests = []
        for _ in range(count):
            start, pieces = source.randrange(3), source.choice([(1, 0), (2, 0), (1, 1)])
            requests.append((start, start + source.randrange(1, 4), *pieces))
        lines = [
            staged(f"r{n}", start * CALL_MS, due * CALL_MS, {"s": first, "u": second})
            for n, (start, due, first, second) in enumerate(requests)
        ]
        ends = [*calls(batch=batch), *calls("u", batch, target="t3")]
        bound = all_row(write(str(number), [*started(), *joined(*lines), *ends]))
        best = best_plan(tuple(requests), batch)
        assert bound["bound"] >= best, requests
        equal += bound["bound"] == best
        binding += bound["bound"] < len(requests)
    # Else the relaxation would be too loose for this test to find a wrong one.
    assert equal > days // 3
    assert binding > days // 3


def nine_logs(write, ahead_s=0.0):
    """Write the logs of nine entries, one of whose clocks may be ahead.

    Each entry has one request, whose step the next entry formed the call of.
    """
    entries = [f"front-{number}" for number in range(1, 10)]
    names = []
    for number, entry in enumerate(entries):
        off_s = ahead_s if number == 0 else 0.0
        lines = [line(-10, events.PROCESS_STARTED, entry)]
        lines += [
            line(-9, events.ENTRY_LIVENESS_CHANGED, entry, entry=other, live=True)
            for other in entries
        ]
        lines += started(entry)[2:]
        # Each arrives at 0 s; its stages are complete after 1.95 s.
        end = staged(f"r{number}", off_s * 1_000, off_s * 1_000 + 400, process=entry)
        before = f"r{number - 1 if number else 8}"
        lines += [step(off_s + 1.9, entry, request_id=before), *end]
        names.append(write(entry, [*lines, *calls(process=entry)]))
    return names


def run(capsys, *arguments):
    code = stage_bound.main([*arguments, "--json"])
    output = capsys.readouterr()
    return code, json.loads(output.out) if output.out else output.err


def test_day_of_nine_entries_has_a_bound_and_no_gap(write, capsys):
    """Guards against gaps that are always named."""
    code, tables = run(capsys, *nine_logs(write))
    assert (code, tables["lacks"], tables["gaps"]) == (0, [], [])
    # Clocks may differ by 250 ms: (400 + 250) / 100 calls.
    assert tables["routes"][-1]["bound"] == 6
    assert stage_bound.main(nine_logs(write)) == 0
    assert "no bound" not in capsys.readouterr().out


def without_bound(tables):
    rows = [*tables["routes"], *tables["services"]]
    columns = ("bound", "bound_share", "distance", "engines_kept", "stages_kept")
    assert tables["constraints"] == []
    return all(row[column] is None for row in rows for column in columns)


def test_missing_log_of_an_entry_leaves_no_bound(write, capsys):
    """Guards against a bound of eight of nine entries that looks like one of all."""
    names = nine_logs(write)
    code, tables = run(capsys, *names[:3], *names[4:])
    assert code == 1
    assert without_bound(tables)
    assert "front-4: no log of this entry" in "\n".join(tables["lacks"])
    assert stage_bound.main(names[1:]) == 1
    assert "no bound, as the logs lack:" in capsys.readouterr().out


def test_line_that_is_cut_leaves_no_bound(write, capsys):
    """Guards against a bound without the request whose line is cut."""
    names = nine_logs(write)
    lines = [*started("front-5"), staged("cut", 0, 400, process="front-5")[-1][:90]]
    code, tables = run(capsys, *names, write("part", lines))
    assert code == 1
    assert without_bound(tables)
    assert "1 lines are cut, or are no events" in "\n".join(tables["lacks"])


@pytest.mark.parametrize(
    "changed",
    [
        request(1, staged_ms=None),
        request(1, aim_ms="600"),
        request(1, route=None),
        step(1, pieces=None),
        call(1, pieces="x"),
        json.dumps({"time": 1_700_000_000, "process": "front-1", "event": 9_001}),
    ],
)
def test_log_of_another_version_leaves_no_bound(write, capsys, changed):
    """Guards against a bound without the lines that cannot be read."""
    lines = [*started(), changed, *staged("late", 0, 400), *calls()]
    code, tables = run(capsys, write("a", lines))
    assert code == 1
    assert without_bound(tables)
    assert "another version" in "\n".join(tables["lacks"])


def test_log_without_sums_or_staged_requests_leaves_no_bound(write, capsys):
    """Guards against a bound without capacity, or of no request."""
    lines = [*started(), *staged("late", 0, 400, {"s": 1}), call(END_S)]
    code, tables = run(capsys, write("a", lines))
    assert (code, without_bound(tables)) == (1, True)
    code, tables = run(capsys, write("b", [*started(), *calls()]))
    assert (code, without_bound(tables)) == (1, True)
    assert tables["lacks"] == ["no request with stages ended"]


@pytest.mark.parametrize("ahead_s", [1.0, -1.0])
def test_windows_of_clocks_that_differ_are_not_shared(write, capsys, ahead_s):
    """Guards against a bound that is too low, as arrivals seem to coincide."""
    code, tables = run(capsys, *nine_logs(write, ahead_s))
    assert code == 1
    assert "is ahead of that of" in "\n".join(tables["gaps"])
    assert tables["lacks"] == []
    assert tables["routes"][-1]["bound"] == 9


def test_file_that_is_no_log_is_an_error(write, capsys, tmp_path):
    """Guards against a stack trace, or an empty table, without a log."""
    code, error = run(capsys, write("a", ["no log"]))
    assert (code, error.count("no line is an event")) == (1, 1)
    code, error = run(capsys, str(tmp_path / "absent"))
    assert (code, error.count("cannot read")) == (1, 1)
