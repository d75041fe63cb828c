"""Tests of the promise that a fleet without faults serves."""

import signal

import pytest

from soak.history import History, Limits
from soak.records import (
    ChangeRecord,
    FaultRecord,
    Outcome,
    RequestRecord,
    SignalRecord,
)
from soak.service import WINDOW_MS, IdleEnds, Service

AT_MS = 100 * WINDOW_MS
LAST_MS = 1 << 60


def requests(refused, answered, status=503):
    outcomes = [Outcome.REFUSED] * refused + [Outcome.ANSWERED] * answered
    return [
        RequestRecord(
            name=str(number),
            entry="front-1",
            kind="order",
            outcome=outcome,
            status=status if outcome is Outcome.REFUSED else 200,
            began_ms=AT_MS + number,
            connected_ms=AT_MS + number,
            ended_ms=AT_MS + number + 5,
        )
        for number, outcome in enumerate(outcomes)
    ]


def changes(statuses, is_valid=True):
    return [
        ChangeRecord(
            version=number,
            member="core-1",
            sent_ms=AT_MS + number,
            answered_ms=AT_MS + number + 1 if status else 0,
            status=status,
            is_valid=is_valid,
        )
        for number, status in enumerate(statuses)
    ]


def check(records, others=(), limits=None):
    history = History()
    service = Service(history, limits or Limits())
    for record in [*others, *records]:
        history.add(record)
        service.add(record)
    assert service.check(AT_MS) == []
    return [finding.detail for finding in service.check(LAST_MS)]


def test_fleet_that_refuses_everything_is_found():
    """Guards against a cluster that is lost for good and breaks no promise."""
    (detail,) = check(requests(60, 0))
    assert detail.startswith("60 of 60 requests")
    (detail,) = check(changes([503] * 5 + [0] * 5))
    assert detail.startswith("none of 10 changes")


@pytest.mark.parametrize(
    "records",
    [
        requests(4, 60),
        # Those with a revoked key.
        requests(60, 0, status=401),
        # Too few to tell.
        requests(30, 0),
        changes([503] * 9 + [200]),
        changes([400] * 10, is_valid=False),
    ],
)
def test_service_with_some_refusals_is_not_found(records):
    """Guards against findings about what planned work costs."""
    assert check(records) == []


def test_stops_and_faults_excuse_refusals():
    """Guards against findings about entries that stop and fleets with faults."""
    stop = SignalRecord(
        process="front-1",
        pid=1,
        number=signal.SIGTERM,
        at_ms=AT_MS - 100,
        grace_ms=8_000,
    )
    fault = FaultRecord(kind="kill", subject="core-1", from_ms=AT_MS - 500, to_ms=AT_MS)
    assert check(requests(60, 0), [stop]) == []
    assert check(requests(60, 0), [fault]) == []
    assert check(changes([503] * 10), [fault]) == []


def test_entry_with_few_descriptors_may_refuse():
    """Guards against findings about refusals for lack of room, and about no others."""
    refused = requests(refused=30, answered=30)
    assert check(refused, limits=Limits(crowded_entries=["front-1"])) == []
    assert check(refused, limits=Limits(crowded_entries=["front-2"])) != []


def test_each_time_is_judged_once():
    """Guards against one outage that is reported again and again."""
    service = Service(History(), Limits())
    for record in requests(60, 0):
        service.add(record)
    assert len(service.check(LAST_MS)) == 1
    assert service.check(LAST_MS) == []


@pytest.mark.parametrize(
    ("idle_ms", "standstill_ms", "found"),
    [(50, 0, 1), (99, 0, 1), (150, 0, 0), (50, 60, 0)],
)
def test_connection_that_is_ended_right_after_an_answer(idle_ms, standstill_ms, found):
    """Guards against a stop that ends connections on which a request is due."""
    history = History()
    promise = IdleEnds(history, Limits())
    first = RequestRecord(
        name="1",
        entry="front-1",
        kind="stream",
        outcome=Outcome.ANSWERED,
        connection="c1",
        began_ms=AT_MS,
        ended_ms=AT_MS + 500,
    )
    second = RequestRecord(
        name="2",
        entry="front-1",
        kind="stream",
        outcome=Outcome.NO_ANSWER,
        connection="c1",
        position=1,
        began_ms=AT_MS + 510,
        ended_ms=AT_MS + 500 + idle_ms,
        closed_ms=AT_MS + 500 + idle_ms,
        standstill_ms=standstill_ms,
    )
    for record in (first, second):
        promise.add(record)
    assert promise.check(AT_MS) == []
    assert len(promise.check(LAST_MS)) == found
    assert promise.check(LAST_MS) == []


@pytest.mark.parametrize(("stopped_ms", "found"), [(1_400, 1), (1_676, 0)])
def test_connection_that_ends_with_its_process_is_no_finding(stopped_ms, found):
    """Guards against findings at the end of a grace period (seed 1, 0.75 minutes)."""
    history = History()
    promise = IdleEnds(history, Limits())
    closed_ms = AT_MS + 500
    history.add(
        SignalRecord(
            process="front-1",
            pid=1,
            number=signal.SIGTERM,
            at_ms=closed_ms - stopped_ms,
            grace_ms=2_000,
        )
    )
    common = {"entry": "front-1", "kind": "query", "connection": "c1"}
    promise.add(
        RequestRecord(
            name="1", outcome=Outcome.ANSWERED, ended_ms=closed_ms - 5, **common
        )
    )
    promise.add(
        RequestRecord(
            name="2",
            outcome=Outcome.NO_ANSWER,
            position=1,
            began_ms=closed_ms,
            ended_ms=closed_ms + 5,
            closed_ms=closed_ms,
            **common,
        )
    )
    assert len(promise.check(LAST_MS)) == found
