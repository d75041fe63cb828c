"""Tests of requests whose entry stood still before it sent them."""

from contextlib import aclosing

import attrs
import curio
import pytest
from wagtail_platform.stage_calls import PlatformStageClient

from tests.test_dispatch import GENERATE, ORDER, POOL, DispatcherHarness
from wagtailrun.adapters.connector import Connector, OpenConnection
from wagtailrun.adapters.http_client import CONNECT_TIMEOUT_MS, HttpClient
from wagtailrun.adapters.http_target import HttpTargetClient
from wagtailrun.exceptions import (
    RefusalReason,
    SendForbidden,
    TargetFailed,
    Verdict,
)
from wagtailrun.ports.link import Address
from wagtailrun.ports.target import Attempt, StageAnswer
from wagtailrun.stages.port import StageItem
from wagtailrun.targets.table import TargetRow
from wagtailrun.virtual_time import VirtualClock, run_virtual

ADDRESS = Address("10.0.0.1", 80)
DEADLINE_MS = 500
# Of work for the targets of ``DispatcherHarness``, and a standstill that outlasts it.
WORK_DEADLINE_MS = 4_000
HELD_MS = 5_000
ATTEMPT = Attempt(7, "r", "/v1/x", b"{}", remaining_ms=DEADLINE_MS)


class SilentSocket:
    """Socket of a target that takes requests and never answers."""

    def __init__(self):
        self.sent = b""

    async def recv(self, size):
        await curio.sleep(3_600)

    async def sendall(self, data):
        self.sent += data

    async def close(self):
        pass


class HeldConnector(Connector):
    """Connects while the process stands still."""

    def __init__(self, clock, held_ms):
        self.clock, self.held_ms = clock, held_ms
        self.sock = SilentSocket()

    async def connect(self, address, timeout_ms):
        self.clock.seconds += self.held_ms / 1_000
        return OpenConnection(self.sock)

    def may_reuse(self, address):
        return True


async def call(client):
    await client.call(ADDRESS, ATTEMPT)


async def stream(client):
    async with aclosing(client.stream(ADDRESS, ATTEMPT)) as tokens:
        await anext(tokens)


def sent_after(held_ms, use):
    """Return what is sent after a standstill, and how the attempt ended."""
    clock = VirtualClock()

    async def main(clock):
        connector = HeldConnector(clock, held_ms)
        client = HttpTargetClient(HttpClient(clock, connector=connector))
        with pytest.raises(TargetFailed) as failure:
            await use(client)
        return connector.sock.sent, failure.value

    return run_virtual(main, clock=clock)


@pytest.mark.parametrize("held_ms", [DEADLINE_MS, 5_000])
@pytest.mark.parametrize("use", [call, stream])
def test_request_is_not_sent_after_its_deadline(use, held_ms):
    """Guards against work for a request that was refused while its entry stood still.

    A target that does work with side effects then did it after its caller was told
    that the deadline had passed.
    """
    sent, failure = sent_after(held_ms, use)
    assert sent == b""
    assert isinstance(failure, SendForbidden)
    assert failure.verdict is Verdict.NOT_RUN


@pytest.mark.parametrize("held_ms", [0, 200])
@pytest.mark.parametrize("use", [call, stream])
def test_request_states_the_time_left_when_it_is_sent(use, held_ms):
    """Guards against a target that works on after the deadline of its caller."""
    sent, failure = sent_after(held_ms, use)
    assert b"\r\nWagtailrun-Deadline-Ms: %d\r\n" % (DEADLINE_MS - held_ms) in sent
    assert failure.verdict is Verdict.MAY_HAVE_RUN


def stage_call_after(held_ms):
    """Return what the owner of a stage sends after a standstill, and the failure."""
    clock = VirtualClock()
    row = TargetRow("t", ADDRESS, "s", "a", 1)
    item = StageItem("r", 0, 0, DEADLINE_MS, "k", None)

    async def main(clock):
        connector = HeldConnector(clock, held_ms)
        client = PlatformStageClient(HttpClient(clock, connector=connector))
        with pytest.raises(TargetFailed) as failure:
            await client.run(row, [item], DEADLINE_MS)
        return connector.sock.sent, failure.value.verdict

    return run_virtual(main, clock=clock)


def test_stage_call_is_not_sent_long_after_it_was_made():
    """Guards against calls of an owner that stood still until it had a successor.

    The successor makes the same calls, and the requests may have been refused.
    """
    assert stage_call_after(DEADLINE_MS + CONNECT_TIMEOUT_MS) == (b"", Verdict.NOT_RUN)
    sent, verdict = stage_call_after(CONNECT_TIMEOUT_MS)
    assert sent.startswith(b"POST /stage-run ")
    assert verdict is Verdict.MAY_HAVE_RUN


class RecordingClient:
    """Targets that answer at once, and note the time that each attempt has left."""

    def __init__(self):
        self.left_ms = []

    async def call(self, address, attempt):
        self.left_ms.append(attempt.remaining_ms)
        return StageAnswer(200, b"answer")

    async def cancel(self, address, number):
        pass


async def run_held(clock, client, work, held_ms=0):
    """Run work whose entry stands still as it begins the attempt."""
    harness = DispatcherHarness(clock, client)
    dispatcher = await harness.start(POOL)
    # The time for a hedge passes in the standstill, too.
    dispatcher.options = attrs.evolve(dispatcher.options, hedges=False)
    next_number = dispatcher.attempts.next_number

    def number_after_standstill():
        clock.seconds += held_ms / 1_000
        return next_number()

    dispatcher.attempts.next_number = number_after_standstill
    work = attrs.evolve(work, stage="")
    result = await dispatcher.call(harness.work(work, WORK_DEADLINE_MS))
    # What is left to do after the answer.
    await clock.sleep_ms(2_000)
    return result


both_kinds = pytest.mark.parametrize("work", [GENERATE, ORDER], ids=["query", "order"])


@both_kinds
def test_attempt_has_the_time_left_when_its_task_runs(work):
    """Guards against a deadline that is later by a standstill of the entry."""
    clock = VirtualClock()

    async def main(clock):
        client = RecordingClient()
        answer = await run_held(clock, client, work, 200)
        return answer.body, client.left_ms

    expected = (b"answer", [WORK_DEADLINE_MS - 200])
    assert run_virtual(main, clock=clock) == expected


@both_kinds
def test_attempt_does_not_begin_after_its_deadline(work):
    """Guards against an attempt after the deadline of its caller."""
    clock = VirtualClock()

    async def main(clock):
        client = RecordingClient()
        refusal = await run_held(clock, client, work, HELD_MS)
        return refusal.reason, client.left_ms

    assert run_virtual(main, clock=clock) == (RefusalReason.DEADLINE, [])


@both_kinds
def test_work_whose_deadline_passed_as_it_connected_has_not_run(work):
    """Guards against "may have run" for work that the entry did not send in time."""
    clock = VirtualClock()

    async def main(clock):
        connector = HeldConnector(clock, HELD_MS)
        client = HttpTargetClient(HttpClient(clock, connector=connector))
        refusal = await run_held(clock, client, work)
        return refusal.reason, refusal.verdict, connector.sock.sent

    expected = (RefusalReason.DEADLINE, Verdict.NOT_RUN, b"")
    assert run_virtual(main, clock=clock) == expected
