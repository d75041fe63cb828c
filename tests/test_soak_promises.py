"""Tests of the promises of the soak: each violation is found, each allowed break not.

All of them guard against a soak that passes over a broken promise, or that reports what
the pages allow.
"""

import signal

import attrs
import pytest

from soak.history import History, Limits
from soak.promises import Judge
from soak.records import (
    BacklogRecord,
    ChangeRecord,
    ExitRecord,
    FaultRecord,
    Outcome,
    ReadinessRecord,
    ReadRecord,
    RequestRecord,
    RunRecord,
    SignalRecord,
    StandstillRecord,
    UsageRecord,
)

LATER_MS = 1 << 40
ENTRY = "front-1"
PID = 7


def request(outcome=Outcome.NO_ANSWER, **values):
    """Return a request that was whole at 10,000 ms and ended 700 ms later."""
    common = {
        "name": "r",
        "entry": ENTRY,
        "kind": "order",
        "began_ms": 9_990,
        "connected_ms": 9_990,
        "first_byte_ms": 10_000,
        "sent_ms": 10_000,
        "ended_ms": 10_700,
        "closed_ms": 10_700,
        "key": "key",
    }
    return RequestRecord(outcome=outcome, **{**common, **values})


def stop(at_ms, number=signal.SIGTERM, pid=PID, grace_ms=8_000, is_planned=True):
    return SignalRecord(
        process=ENTRY,
        pid=pid,
        number=number,
        at_ms=at_ms,
        grace_ms=grace_ms if number == signal.SIGTERM else 0,
        is_planned=is_planned,
    )


def hindered(at_ms, has_shortage=False):
    """Return a stop whose process answers for 7 s what it has, and then lacks time."""
    return attrs.evolve(stop(at_ms), answers_by_ms=7_000, has_shortage=has_shortage)


def backlog(*ports, pid=PID, at_ms=9_005):
    """Return the connections that wait as the descriptors have run out."""
    return BacklogRecord(process=ENTRY, pid=pid, at_ms=at_ms, ports=list(ports))


def killed(at_ms):
    return stop(at_ms, signal.SIGKILL, is_planned=False)


def end(at_ms, code=0, pid=PID):
    return ExitRecord(process=ENTRY, pid=pid, at_ms=at_ms, code=code)


def ready(at_ms, is_ready=True):
    return ReadinessRecord(entry=ENTRY, at_ms=at_ms, is_ready=is_ready)


def unready(at_ms):
    return ready(at_ms, is_ready=False)


def stood_still(until_ms, lasted_ms):
    return StandstillRecord(loop="callers", at_ms=until_ms, lasted_ms=lasted_ms)


def no_connection(began_ms):
    """Return a request of a caller that the load balancer sent to an entry."""
    return request(
        Outcome.NO_CONNECTION,
        name="",
        is_routed=True,
        began_ms=began_ms,
        connected_ms=0,
        ended_ms=began_ms + 1,
    )


def run(name="r", at_ms=10_010):
    return RunRecord(name=name, target="t", at_ms=at_ms)


def change(version, answered_ms, **values):
    common = {"member": "core-1", "sent_ms": answered_ms - 10, "status": 200}
    return ChangeRecord(version=version, answered_ms=answered_ms, **common | values)


def read(version, sent_ms, answered_ms):
    return ReadRecord(
        version=version, member="core-2", sent_ms=sent_ms, answered_ms=answered_ms
    )


def usage(at_ms=0, resident_mb=50.0, descriptors=100, log_bytes=0):
    return UsageRecord(
        process=ENTRY,
        pid=PID,
        at_ms=at_ms,
        resident_mb=resident_mb,
        descriptors=descriptors,
        log_bytes=log_bytes,
    )


def stream(name="r", events=(1, 2, 3), versions=("v1",), **values):
    return request(
        Outcome.ANSWERED,
        name=name,
        kind="stream",
        runs_once=False,
        events=list(events),
        versions=list(versions),
        **values,
    )


def fault(from_ms, to_ms, subject="link"):
    return FaultRecord(kind="reset", subject=subject, from_ms=from_ms, to_ms=to_ms)


# The reported case: taken 6.94 s after the signal, closed 0.7 s later, before the end.
REPORTED = [
    stop(10_000 - 6_940),
    request(),
    end(10_000 - 6_940 + 7_800),
]
# The entry stands still from 14,300 ms on, and is killed at 15,000 ms.
KILLED_AT_REST = [hindered(7_000), killed(15_000), end(15_001, -9)]
ENDED_BY_KILL = {"ended_ms": 15_002, "closed_ms": 15_002}
# The entry has no free descriptor from 9,000 ms on.
SHORTAGE = [hindered(9_000, has_shortage=True), backlog(40_009), end(16_000)]
CROSSED = {"position": 3, "closed_ms": 10_002, "ended_ms": 10_007, "was_reset": True}

# With 2 s of grace, an entry accepts connections for 700 ms.
SHORT_STOP = [ready(9_000), stop(9_100, grace_ms=2_000), end(11_000)]
STOOD_STILL = [
    stood_still(9_400, 300),
    stood_still(9_900, 300),
    stood_still(10_400, 300),
]

BROKEN = {
    "reported case": ("whole answers", REPORTED),
    "no answer": ("whole answers", [request()]),
    "no end": ("whole answers", [request(Outcome.NO_END)]),
    "cut": ("whole answers", [request(Outcome.CUT, received=10)]),
    "not answered before its entry stood still": (
        "whole answers",
        [*KILLED_AT_REST, request(**ENDED_BY_KILL)],
    ),
    "not answered, accepted before the descriptors ran out": (
        "whole answers",
        [*SHORTAGE, request(connected_ms=8_990)],
    ),
    "not answered, accepted between the signal and the shortage": (
        "whole answers",
        [*SHORTAGE, request(connected_ms=9_003, port=40_001)],
    ),
    "not answered in a stop whose shortage did not begin": (
        "whole answers",
        [hindered(9_000, has_shortage=True), end(16_000), request()],
    ),
    "not answered, another connection was not accepted": (
        "whole answers",
        [*SHORTAGE, backlog(40_002), request(connected_ms=8_990, port=40_001)],
    ),
    "not answered, not accepted by the process before": (
        "whole answers",
        [*SHORTAGE, backlog(40_001, pid=6), request(connected_ms=8_990, port=40_001)],
    ),
    "not answered on a kept connection from a port that had waited": (
        "whole answers",
        [
            *SHORTAGE,
            backlog(40_001),
            request(connected_ms=8_990, port=40_001, position=1),
        ],
    ),
    "not answered, not accepted by a process that had descriptors": (
        "whole answers",
        [hindered(9_000), end(16_000), backlog(40_001), request(port=40_001)],
    ),
    "not answered on a kept connection, without descriptors": (
        "whole answers",
        [*SHORTAGE, request(position=1)],
    ),
    "cut off, accepted without descriptors": (
        "whole answers",
        [*SHORTAGE, request(Outcome.CUT, answer_ms=10_100)],
    ),
    "not answered by the process after one without descriptors": (
        "whole answers",
        [hindered(1_000, has_shortage=True), end(8_000), request()],
    ),
    "read and closed": (
        "whole answers",
        [request(**{**CROSSED, "was_reset": False})],
    ),
    "crossed and ran": ("whole answers", [request(**CROSSED), run()]),
    "closed long after the request": (
        "whole answers",
        [request(**{**CROSSED, "closed_ms": 10_050})],
    ),
    "crossed on a new connection": (
        "whole answers",
        [request(**{**CROSSED, "position": 0})],
    ),
    "new connection closed without a refusal": (
        "whole answers",
        [request(first_byte_ms=0, sent_ms=0)],
    ),
    "stream cut before the end of the grace period": (
        "whole answers",
        [stop(9_000), request(Outcome.CUT, events=[1])],
    ),
    "stream cut that came after the notice": (
        "whole answers",
        [stop(10_000 - 6_940), request(Outcome.CUT, events=[1])],
    ),
    "no connection in rotation": (
        "whole answers",
        [ready(9_000), no_connection(9_990)],
    ),
    "no connection, the callers stood still before the stop": (
        "whole answers",
        [stood_still(9_090, 500), *SHORT_STOP, no_connection(10_390)],
    ),
    "no connection, long after the callers stood still": (
        "whole answers",
        [*SHORT_STOP, stood_still(9_700, 400), no_connection(10_390)],
    ),
    "no connection, the callers stood still less often": (
        "whole answers",
        [*SHORT_STOP, *STOOD_STILL[:2], no_connection(10_790)],
    ),
    "no connection, the callers stood still as it was opened": (
        "whole answers",
        [*SHORT_STOP, no_connection(10_000), stood_still(10_600, 550)],
    ),
    "no connection in the notice": (
        "whole answers",
        [ready(9_000), stop(9_100), no_connection(11_390), end(16_000)],
    ),
    "no connection in the notice, the callers stood still": (
        "whole answers",
        [ready(9_000), stop(9_100), *STOOD_STILL, no_connection(11_390), end(16_000)],
    ),
    "no connection in the notice that follows a check": (
        "whole answers",
        [ready(9_000), stop(9_100), ready(9_700), no_connection(11_990), end(16_000)],
    ),
    "no connection as the signal is sent": (
        "whole answers",
        [*SHORT_STOP, no_connection(9_100)],
    ),
    "no connection, ready for too long": (
        "whole answers",
        [*SHORT_STOP, ready(9_480), unready(9_740), no_connection(10_290)],
    ),
    "no connection, the next process was ended before it was ready": (
        "whole answers",
        [*SHORT_STOP, stop(11_200, pid=8), end(11_210, -15, pid=8)]
        + [no_connection(11_300)],
    ),
    "no answer long before a fault": (
        "whole answers",
        [request(), fault(20_000, 21_000, "front-1")],
    ),
    "no answer long after a fault": (
        "whole answers",
        [request(), fault(-9_000, -8_000, "front-1")],
    ),
    "no answer beside a fault of another": (
        "whole answers",
        [request(), fault(10_100, 10_200, "core-1")],
    ),
    "killed before it": (
        "whole answers",
        [request(), stop(8_000, signal.SIGKILL, is_planned=False)],
    ),
    "ran twice": (
        "runs once",
        [request(Outcome.ANSWERED), run(at_ms=10_010), run(at_ms=10_500)],
    ),
    "refused and ran": (
        "not run",
        [request(Outcome.REFUSED, status=503, is_not_run=True), run()],
    ),
    "skipped event": ("streams", [stream(events=(1, 3))]),
    "repeated event": ("streams", [stream(events=(1, 2, 2))]),
    "repeated at the take-up": (
        "streams",
        [stream("a"), stream("b", (3, 4), resumes="a", after_event=3)],
    ),
    "two versions in one answer": ("streams", [stream(versions=("v1", "v2"))]),
    "other version at the take-up": (
        "streams",
        [
            stream("a", (1, 2)),
            stream("b", (3, 4), versions=("v2",), resumes="a", after_event=2),
        ],
    ),
    "lost change": ("changes", [change(5, 100), read(4, 101, 110)]),
    "version steps back": ("changes", [read(5, 90, 100), read(4, 101, 110)]),
    "invalid change": ("changes", [change(5, 100, is_valid=False)]),
    "revoked key": (
        "revoked keys",
        [
            change(5, 4_000, revoked=["key"]),
            request(Outcome.ANSWERED, name="late"),
        ],
    ),
    "late end": ("ends", [stop(1_000), end(9_300)]),
    "no end of the process": ("ends", [stop(1_000)]),
    "killed at the end of its time": (
        "ends",
        [stop(1_000), stop(9_000, signal.SIGKILL), end(9_005, -9)],
    ),
    "killed late while it exits": (
        "ends",
        [stop(1_000), stop(9_200, signal.SIGKILL), end(9_400, 0)],
    ),
    "crash": ("ends", [end(1_000, -11)]),
    "exit by itself": ("ends", [end(1_000, 0)]),
    "exit code after a stop": ("ends", [stop(1_000), end(2_000, 1)]),
    "ended by the signal to stop": ("ends", [ready(500), stop(1_000), end(1_001, -15)]),
    "memory": ("usage", [usage(resident_mb=151.0)]),
    "descriptors": ("usage", [usage(descriptors=1_001)]),
    "log": ("usage", [usage(), usage(at_ms=60_000, log_bytes=2_500_000)]),
}

KEPT = {
    "answered": [request(Outcome.ANSWERED), run()],
    "refused": [request(Outcome.REFUSED, status=503, is_not_run=True)],
    "refused that may have run": [request(Outcome.REFUSED, status=502), run()],
    "left": [request(Outcome.LEFT), run()],
    "sent as its entry stood still": [
        *KILLED_AT_REST,
        request(sent_ms=13_950, **ENDED_BY_KILL),
    ],
    "not accepted without descriptors": [*SHORTAGE, request()],
    "not accepted before the descriptors ran out": [
        *SHORTAGE,
        backlog(40_001),
        request(connected_ms=8_990, port=40_001),
    ],
    "not connected, its entry has no descriptor to say that it stops": [
        ready(8_900),
        *SHORTAGE,
        no_connection(9_990),
    ],
    "not accepted, sent when the next process had its stop": [
        hindered(1_000, has_shortage=True),
        backlog(at_ms=1_005),
        end(8_800),
        stop(9_500, pid=8),
        request(connected_ms=8_700, closed_ms=10_700),
        end(17_000, pid=8),
    ],
    "refused, then repeated": [
        request(Outcome.REFUSED, status=503, is_not_run=True),
        request(Outcome.ANSWERED, ended_ms=12_000),
        run(at_ms=11_900),
    ],
    "crossed the close of an idle connection": [request(**CROSSED)],
    "sent after the end of an idle connection": [
        request(**{**CROSSED, "closed_ms": 9_000})
    ],
    "crossed while the callers stood still": [
        request(**{**CROSSED, "closed_ms": 10_050, "standstill_ms": 60})
    ],
    "closed before the first byte": [request(first_byte_ms=0, sent_ms=0, position=1)],
    "beside a fault": [request(), fault(10_100, 10_200, "front-1")],
    "beside a fault that lasts": [request(), fault(9_000, 0, "front-1")],
    "cut beside a fault of another": [
        request(Outcome.CUT),
        fault(10_100, 10_200),
    ],
    "soon after a fault": [request(Outcome.CUT), fault(5_000, 6_000)],
    "killed": [request(), stop(10_300, signal.SIGKILL, is_planned=False)],
    "stream cut off by the end of the grace period": [
        stop(10_000 - 2_000),
        request(Outcome.CUT, events=[1], ended_ms=15_800),
        end(15_900),
    ],
    "no connection, pinned": [request(Outcome.NO_CONNECTION, name="")],
    "no connection, the load balancer of the soak stood still": [
        *SHORT_STOP,
        stood_still(9_700, 500),
        no_connection(10_390),
    ],
    "no connection, the load balancer of the soak stood still again and again": [
        *SHORT_STOP,
        *STOOD_STILL,
        no_connection(10_790),
    ],
    "no connection, just stopped": [*SHORT_STOP, no_connection(9_600)],
    "no connection, just stopped after it stayed ready for others": [
        *SHORT_STOP,
        ready(9_470),
        no_connection(10_260),
    ],
    "no connection, told twice that it stops": [
        ready(9_000),
        stop(9_100),
        unready(9_300),
        unready(9_600),
        no_connection(9_800),
        end(16_000),
    ],
    "taken up": [
        stream("a", (1, 2)),
        stream("b", (3, 4), resumes="a", after_event=2),
    ],
    "stream that ran twice": [stream(), run(), run(at_ms=10_300)],
    "changes in order": [
        change(5, 100),
        read(5, 101, 110),
        change(6, 120),
        read(6, 130, 131),
    ],
    "read beside a change": [change(5, 100), read(4, 99, 110)],
    "change without an answer": [change(5, 0, status=0), read(4, 101, 110)],
    "key within its bound": [
        change(5, 9_000, revoked=["key"]),
        request(Outcome.ANSWERED),
    ],
    "revoked key that is refused": [
        change(5, 1_000, revoked=["key"]),
        request(Outcome.REFUSED, status=401),
    ],
    "end in time": [stop(1_000), end(9_000)],
    "end that a standstill of the soak made late": [
        stop(1_000),
        end(9_900),
        StandstillRecord(loop="soak", at_ms=9_910, lasted_ms=900),
    ],
    "end of the next process": [stop(1_000), end(3_000), stop(4_000, pid=8)]
    + [end(11_000, pid=8)],
    "killed while it exits": [
        stop(1_000),
        stop(9_000, signal.SIGKILL),
        end(9_080, 0),
    ],
    "killed while it exits, and gone late": [
        stop(1_000),
        stop(9_000, signal.SIGKILL),
        end(9_400, 0),
    ],
    "killed by a fault": [stop(1_000, signal.SIGKILL, is_planned=False)]
    + [end(1_001, -9)],
    "ended by the signal to stop while it starts": [
        ready(500),
        stop(1_000),
        end(2_000),
        stop(3_000, pid=8),
        end(3_001, -15, pid=8),
        ready(9_000),
    ],
    "usual use": [usage(), usage(at_ms=60_000, log_bytes=2_300_000)],
}


def findings(records, limits=None):
    judge = Judge(limits or Limits(stay_ms=1_500))
    judge.add(records)
    return judge.check(LATER_MS)


@pytest.mark.parametrize("case", BROKEN)
def test_broken_promise_is_found(case):
    """Guards against a violation that the soak does not see."""
    promise, records = BROKEN[case]
    assert promise in {finding.promise for finding in findings(records)}


@pytest.mark.parametrize("case", KEPT)
def test_allowed_end_is_no_finding(case):
    """Guards against findings that the pages allow."""
    assert findings(KEPT[case]) == []


def test_process_that_ends_after_its_second_signal():
    """Guards against findings of requests that came while the process ended."""
    records = [stop(8_000), stop(9_500), request(), end(10_600)]
    limits = Limits(second_signal_ends=True)
    assert findings(records, limits) == []
    late = request(name="late", began_ms=10_800, ended_ms=10_900)
    found = findings([*records, late], limits)
    assert [each.subject for each in found] == ["late"]


def test_stream_may_be_cut_off_at_its_deadline_only():
    """Guards against findings of streams that had no more time, and cuts before."""
    cut = request(Outcome.CUT, events=[1], ended_ms=15_950)
    assert findings([cut], Limits(deadline_ms=6_000)) == []
    assert findings([cut], Limits(deadline_ms=7_000)) != []
    assert findings([cut]) != []


def test_second_signal_ends_only_entries_that_promise_it():
    """Guards against requests that are lost at a second signal without a finding."""
    records = [stop(8_000), request(), stop(10_300), end(10_301)]
    assert [each.promise for each in findings(records)] == ["whole answers"]
    assert findings(records, Limits(second_signal_ends=True)) == []


def test_member_that_answers_by_itself_may_lag():
    """Guards against findings about members that tell what they know themselves."""
    limits = Limits(read_lag_ms=5_000)
    late = [change(5, 100), read(4, 5_101, 5_110)]
    assert findings([change(5, 100), read(4, 5_000, 5_010)], limits) == []
    assert [each.promise for each in findings(late, limits)] == ["changes"]
    assert findings([*late, fault(5_000, 5_050)], limits) == []
    assert findings([change(5, 100), read(4, 101, 110), fault(100, 105)]) != []


def test_findings_are_reported_while_records_arrive():
    """Guards against findings that are only known at the end, or reported twice."""
    judge = Judge(Limits())
    judge.add([request()])
    assert judge.check(11_000) == []
    assert len(judge.check(20_000)) == 1
    assert judge.check(30_000) == []


def test_run_that_arrives_late_is_found():
    """Guards against a refused request that runs seconds after its refusal."""
    judge = Judge(Limits())
    judge.add([request(Outcome.REFUSED, status=503, is_not_run=True)])
    assert judge.check(15_000) == []
    judge.add([run(at_ms=20_000)])
    assert [each.promise for each in judge.check(LATER_MS)] == ["not run"]


def test_requests_beside_planned_work_are_counted():
    """Guards against a run most of whose requests saw faults, which is not told."""
    judge = Judge(Limits())
    far = request(Outcome.ANSWERED, name="far", began_ms=90_000, ended_ms=90_100)
    judge.add([fault(9_000, 10_000), request(Outcome.ANSWERED), far])
    judge.check(LATER_MS)
    assert (judge.answers.planned, judge.answers.total) == (1, 2)


def test_requests_in_a_hindered_stop_are_not_counted_as_planned_work_alone():
    """Guards against a run most of whose requests saw more than planned work."""
    judge = Judge(Limits())
    far = request(Outcome.ANSWERED, name="far", connected_ms=90_000, ended_ms=90_100)
    judge.add([hindered(9_000), end(16_000), request(Outcome.ANSWERED), far])
    judge.check(LATER_MS)
    assert (judge.answers.planned, judge.answers.total) == (1, 2)


@pytest.mark.parametrize(
    ("records", "longest_ms"),
    [
        ([killed(10_000), end(10_880, -9)], 880),
        (
            [
                killed(10_000),
                end(10_880, -9),
                StandstillRecord(loop="soak", at_ms=10_890, lasted_ms=600),
            ],
            280,
        ),
        ([stop(10_000), end(17_000)], 0),
        ([killed(10_000), end(10_880, -9, pid=PID + 1)], 0),
    ],
)
def test_time_that_a_kill_takes_is_that_of_the_machine(records, longest_ms):
    """Guards against late ends that are reported while the machine ran no process."""
    history = History()
    for record in records:
        history.add(record)
    assert history.longest_kill_ms() == longest_ms


def test_requests_that_are_excused_are_counted():
    """Guards against a run in which many requests without an answer are allowed."""
    judge = Judge(Limits())
    outcomes = (Outcome.ANSWERED, Outcome.LEFT, Outcome.REFUSED, Outcome.NO_ANSWER)
    requests = [
        request(outcome, name=f"r{number}", status=503)
        for number, outcome in enumerate(outcomes)
    ]
    judge.add([*SHORTAGE, *requests])
    assert judge.check(LATER_MS) == []
    assert (judge.answers.excused, judge.answers.total) == (1, 4)
