"""Tests of targets that say that they leave, or that ask for a pause."""

import functools
import socket
import struct

import attrs
import curio
import pytest
from wagtail_platform.requests import parse_retry_after

from demo.processes import free_addresses
from tests.test_relay_front import (
    GOOD,
    NOT_RUN,
    OWN_ENTRY,
    SIGNATURE,
    Engines,
    answer,
    event,
    lone_grants,
    run_relay,
    send,
    stream,
)
from tests.virtual_sockets import run_with_virtual_sockets
from wagtailrun.adapters.http_client import HttpClient, HttpReply
from wagtailrun.adapters.http_target import HttpTargetClient
from wagtailrun.clock import SystemClock
from wagtailrun.discovery.evacuations import EvacuationView
from wagtailrun.discovery.target_limits import TargetLimits
from wagtailrun.exceptions import Refusal, TargetFailed, TargetPaused
from wagtailrun.ports.link import Address
from wagtailrun.relay.core.port import TargetNotice
from wagtailrun.relay.limits.notices import PAUSE_RULES, TargetNotices
from wagtailrun.routes import RouteKind
from wagtailrun.serving.dispatch import Dispatcher, make_dispatcher
from wagtailrun.targets.pauses import MAX_PAUSE_MS
from wagtailrun.targets.table import Membership, TargetRow
from wagtailrun.targets.work import Work
from wagtailrun.virtual_time import run_virtual

# Time of each answer to the product's entry, and of its requests.
ANSWER_S = 0.02
DEADLINE_MS = 8_000
LEAVING = ("Server-Leaving", "1")
MAX_RETURN_JITTER_MS = PAUSE_RULES.max_jitter_ms
TRIAL_TIMEOUT_MS = PAUSE_RULES.trial_timeout_ms
ROW = TargetRow("t1", Address("10.0.0.1", 80), "s", "a", 4, incarnation=3)


def full(*headers):
    return answer(503, b"", NOT_RUN, *headers)


pytestmark = pytest.mark.network

# Leaving


@pytest.mark.parametrize("status", [200, 404, 500])
def test_target_that_says_it_leaves_gets_no_new_request(status):
    """Guards against requests to a target that leaves, until its heartbeat says so."""
    engines = [[answer(status, b"x", SIGNATURE, LEAVING)], [GOOD]]

    async def client(address, fleet):
        first = await send(address)
        for _ in range(5):
            await send(address)
        return first, [number for number, _ in fleet.seen]

    first, seen = run_relay(RouteKind.ORDER, engines, client)
    assert first.status == status
    assert first.headers["server-leaving"] == "1"
    assert seen == [0] + [1] * 5


def test_stream_of_a_target_that_leaves_is_completed():
    """Guards against a stream that is cut because its target leaves."""

    def leaving(request):
        reply = stream(event(1), event(2), fail=False)(request)
        return attrs.evolve(reply, headers=(*reply.headers, LEAVING))

    async def client(address, fleet):
        bodies = [(await send(address)).body for _ in range(2)]
        return bodies, [number for number, _ in fleet.seen]

    engines = [[leaving], [stream(event(1), fail=False)]]
    bodies, seen = run_relay(RouteKind.STREAM, engines, client)
    assert bodies == [event(1) + event(2), event(1)]
    assert seen == [0, 1]


@pytest.mark.parametrize("value", ["0", "", "no"])
def test_other_values_do_not_take_a_target_out(value):
    """Guards against targets that are lost because of a header of another meaning."""
    engines = [[answer(200, b"x", SIGNATURE, ("Server-Leaving", value))], [GOOD]]

    async def client(address, fleet):
        for _ in range(3):
            await send(address)
        return [number for number, _ in fleet.seen]

    assert run_relay(RouteKind.IDEMPOTENT, engines, client) == [0, 0, 0]


# Pause


async def answer_slowly(prepared, request):
    """Return a prepared answer after a time, as an attempt of the product's entry."""
    await curio.sleep(ANSWER_S)
    number = request.headers.get("wagtailrun-attempt", "")
    echoed = attrs.evolve(request, headers={**request.headers, "attempt-id": number})
    reply = prepared(echoed)
    headers = (*reply.headers, ("Wagtailrun-Attempt", number))
    return attrs.evolve(reply, headers=headers)


def run_product(kind, engines, client):
    """Run ``client(dispatcher, engines)`` at the product's entry, in virtual time.

    All answers take the same time, so that targets are tried in their order.
    """
    assert kind is RouteKind.IDEMPOTENT

    async def main():
        fleet, clock, membership = Engines(), SystemClock(), Membership()
        for answers in engines:
            slow = [functools.partial(answer_slowly, each) for each in answers]
            await fleet.start(*slow)
        for row in fleet.rows:
            membership.put(row, clock.now_ms())
        membership.unconfirmed = True  # Nobody announces the targets.
        await curio.sleep(0.05)
        http = HttpTargetClient(HttpClient(clock))
        dispatcher = make_dispatcher(clock, membership, http, name="e", seed=1)
        return await client(dispatcher, fleet)

    return run_with_virtual_sockets(main)


def tried(fleet):
    """Return the numbers of the targets that got requests, cancellations aside."""
    return [number for number, request in fleet.seen if request.method != "DELETE"]


async def send_to(entry):
    """Send a request to an entry, and return its answer or its refusal as one."""
    if not isinstance(entry, Dispatcher):
        return await send(entry)
    deadline_at_ms = entry.clock.now_ms() + DEADLINE_MS
    work = Work("s", "/v1/x", b"{}", "r", "w", deadline_at_ms, True)
    result = await entry.call(work)
    if not isinstance(result, Refusal):
        return result
    headers = {"retry-after": str(result.retry_after_ms / 1_000)}
    return HttpReply(503, headers, b"")


@pytest.mark.parametrize(("run", "pause"), [(run_relay, "0.6"), (run_product, "1")])
def test_target_gets_nothing_until_its_pause_ends(run, pause):
    """Guards against requests to a target that asked for a pause."""
    engines = [[full(("Retry-After", pause)), GOOD], [GOOD]]

    async def client(address, fleet):
        for _ in range(10):
            assert (await send_to(address)).status == 200
        during = tried(fleet)
        await curio.sleep(float(pause) * 1.25 + 0.1)
        await send_to(address)
        return during, tried(fleet)[-1]

    during, after = run(RouteKind.IDEMPOTENT, engines, client)
    assert during == [0] + [1] * 10
    assert after == 0


def test_request_is_refused_at_once_while_all_targets_pause():
    """Guards against requests that wait for a pause that ends too late."""
    engines = [[full(("Retry-After", "30"))]]

    async def client(address, fleet):
        first = await send(address)
        second = await send(address)
        return first, second, len(fleet.seen)

    first, second, seen = run_relay(RouteKind.IDEMPOTENT, engines, client)
    assert (first.status, second.status, seen) == (503, 503, 1)
    for reply in (first, second):
        assert 29 <= float(reply.headers["retry-after"]) <= 31


def test_product_answers_at_once_with_the_time_while_all_targets_pause():
    """Guards against work that waits for a pause, or is told another time to return."""
    engines = [[full(("Retry-After", "30"))], [full(("Retry-After", "30"))]]

    async def client(dispatcher, fleet):
        replies, took_ms = [], []
        for _ in range(3):
            began_ms = dispatcher.clock.now_ms()
            replies.append(await send_to(dispatcher))
            took_ms.append(dispatcher.clock.now_ms() - began_ms)
        return replies, max(took_ms)

    replies, took_ms = run_product(RouteKind.IDEMPOTENT, engines, client)
    assert [reply.status for reply in replies] == [503] * 3
    assert [reply.headers["retry-after"] for reply in replies] == ["30.0"] * 3
    assert took_ms < DEADLINE_MS / 2


@pytest.mark.parametrize("status", [429, 500])
def test_delay_of_another_status_is_no_pause_of_the_product(status):
    """Guards against a target that is left because one request may not return yet."""
    engines = [[answer(status, b"", ("Retry-After", "30")), GOOD], [GOOD]]

    async def client(dispatcher, fleet):
        for _ in range(3):
            assert (await send_to(dispatcher)).status == 200
        return tried(fleet)

    assert run_product(RouteKind.IDEMPOTENT, engines, client) == [0, 1, 0, 0]


def test_request_waits_for_a_short_pause():
    """Guards against a refusal where the request could still be in time."""
    engines = [[full(("Retry-After", "0.1")), GOOD]]

    async def client(address, fleet):
        statuses = [(await send(address)).status for _ in range(2)]
        return statuses, len(fleet.seen)

    statuses, seen = run_relay(RouteKind.IDEMPOTENT, engines, client, aim_ms=1_000)
    assert statuses[1] == 200
    assert seen == 2


def test_pause_is_no_failure_of_the_target():
    """Guards against a target that is shunned after the pause it asked for."""
    engines = [[answer(503, b"", SIGNATURE, ("Retry-After", "0.3")), GOOD]]

    async def client(address, fleet):
        await send(address)
        await curio.sleep(0.5)
        return (await send(address)).status, len(fleet.seen)

    assert run_relay(RouteKind.IDEMPOTENT, engines, client) == (200, 2)


class Harness:
    """Notices of one VM about one target, in virtual time."""

    own_row = OWN_ENTRY

    def __init__(self, clock, seed=1):
        self.clock = clock
        self.row = ROW
        self.notice = TargetNotice()
        self.left = []
        self.limits = TargetLimits(clock)
        self.evacuations = EvacuationView()
        self.notices = TargetNotices(clock, self, self, lone_grants(clock, self), seed)

    def row_at(self, address):
        return self.row

    async def report_changes(self):
        pass

    def parse_notice(self, stream):
        return self.notice

    async def mark_leaving(self, row):
        self.left.append(row)

    async def answer(self, pause_ms=0, leaving=False):
        self.notice = TargetNotice(leaving, pause_ms)
        await self.notices.record_answer(ROW.address, None, self.clock.now_ms())

    def may_send(self):
        try:
            self.notices.check(ROW.address, None)
        except TargetPaused:
            return False
        return True


def test_one_request_at_first_after_a_pause():
    """Guards against a rush on a target whose pause ends."""

    async def main(clock):
        harness = Harness(clock)
        await harness.answer(pause_ms=1_000)
        await clock.sleep_ms(1_000 + MAX_RETURN_JITTER_MS)
        sent = [harness.may_send() for _ in range(3)]
        await clock.sleep_ms(TRIAL_TIMEOUT_MS)
        later = [harness.may_send() for _ in range(2)]
        await harness.answer()
        return sent, later, [harness.may_send() for _ in range(3)]

    expected = ([True, False, False], [True, False], [True, True, True])
    assert run_virtual(main) == expected


def test_one_carried_request_at_first_after_a_pause():
    """Guards against a rush over a VM that carries the requests of others."""

    async def main(clock):
        harness = Harness(clock)
        await harness.answer(pause_ms=1_000)
        waits_ms = [harness.notices.begin_carried_request(ROW.address)]
        await clock.sleep_ms(1_000 + MAX_RETURN_JITTER_MS)
        for _ in range(3):
            waits_ms.append(harness.notices.begin_carried_request(ROW.address))
        return [wait_ms > 0 for wait_ms in waits_ms], harness.may_send()

    assert run_virtual(main) == ([True, False, True, True], False)


def test_vms_return_at_different_times():
    """Guards against a rush of all VMs that a target paused at the same moment."""

    async def main(clock):
        ends = set()
        for seed in range(20):
            harness = Harness(clock, seed)
            await harness.answer(pause_ms=4_000)
            ends.add(harness.notices.paused_ms(ROW.address, 0))
        return min(ends), len(ends)

    shortest_ms, count = run_virtual(main)
    assert shortest_ms >= 4_000
    assert count > 10


def test_new_incarnation_is_not_paused():
    """Guards against a target that is unused because of one before it."""

    async def main(clock):
        harness = Harness(clock)
        await harness.answer(pause_ms=60_000)
        paused = harness.may_send()
        harness.row = attrs.evolve(ROW, incarnation=4)
        return paused, harness.may_send()

    assert run_virtual(main) == (False, True)


@pytest.mark.parametrize("ended", [False, True])
def test_pause_outlasts_the_row_of_its_target(ended):
    """Guards against requests to a pausing target whose row was dropped meanwhile.

    The pause of a target that is gone is kept no longer than it lasts.
    """
    other = attrs.evolve(ROW, name="other", address=Address("10.9.9.9", 1))
    rows_by_address = {row.address: row for row in (ROW, other)}

    async def main(clock):
        harness = Harness(clock)
        harness.row_at = rows_by_address.get
        await harness.answer(pause_ms=3_600_000)
        del rows_by_address[ROW.address]
        await clock.sleep_ms(3_700_000 if ended else 1_800_000)
        harness.notice = TargetNotice(False, 10)
        await harness.notices.record_answer(other.address, None, clock.now_ms())
        is_kept = ROW.address in harness.notices.pauses.pauses_by_key
        rows_by_address[ROW.address] = attrs.evolve(ROW, sequence=ROW.sequence + 1)
        return is_kept, harness.may_send()

    assert run_virtual(main) == (not ended, ended)


def test_shorter_pause_of_an_earlier_request_ends_none():
    """Guards against answers that overtake each other."""

    async def main(clock):
        harness = Harness(clock)
        await harness.answer(pause_ms=5_000)
        await harness.answer(pause_ms=10)
        await clock.sleep_ms(4_000)
        return harness.may_send()

    assert not run_virtual(main)


def test_answer_during_a_pause_does_not_end_it():
    """Guards against a late answer to a request of before the pause."""

    async def main(clock):
        harness = Harness(clock)
        await harness.answer(pause_ms=5_000)
        await harness.answer()
        return harness.may_send()

    assert not run_virtual(main)


def test_absurd_pause_is_bounded():
    """Guards against arithmetic that overflows, and a target lost for ever."""

    async def main(clock):
        harness = Harness(clock)
        await harness.answer(pause_ms=10**15)
        return harness.notices.paused_ms(ROW.address, 0)

    assert run_virtual(main) <= MAX_PAUSE_MS + MAX_RETURN_JITTER_MS


def test_leaving_target_is_reported_once():
    """Guards against a message to the control members with each answer."""

    async def main(clock):
        harness = Harness(clock)
        await harness.answer(leaving=True)
        harness.row = attrs.evolve(ROW, leaving=True)
        await harness.answer(leaving=True)
        return harness.left

    assert run_virtual(main) == [ROW]


def test_answer_of_an_unknown_or_another_target_says_nothing():
    """Guards against a target that is taken out by the one that has its address."""

    async def main(clock):
        harness = Harness(clock)
        harness.notice = None
        await harness.notices.record_answer(ROW.address, None, clock.now_ms())
        harness.row = None
        harness.notice = TargetNotice(True, 1_000)
        await harness.notices.record_answer(ROW.address, None, clock.now_ms())
        return harness.left, harness.may_send()

    assert run_virtual(main) == ([], True)


DATE = "Fri, 04 Dec 2026 14:22:02 GMT"


@pytest.mark.parametrize(
    ("headers", "ms"),
    [
        ({"retry-after": "2"}, 2_000),
        ({"retry-after": " 0.25 "}, 250),
        ({"retry-after": "1e2"}, 100_000),
        ({"retry-after": "0"}, 0),
        ({"retry-after": "9" * 40}, 10**12),
        ({"retry-after": "-1"}, 0),
        ({"retry-after": "soon"}, 0),
        ({"retry-after": ""}, 0),
        ({"retry-after": "nan"}, 0),
        ({}, 0),
        ({"retry-after": "Fri, 04 Dec 2026 14:22:12 GMT", "date": DATE}, 10_000),
        ({"retry-after": "Fri, 04 Dec 2026 14:21:12 GMT", "date": DATE}, 0),
        ({"retry-after": "Fri, 04 Dec 2026 14:22:12 GMT"}, 0),
        ({"retry-after": "Fri, 04 Dec 2026 14:22:12 -0000", "date": DATE}, 0),
    ],
)
def test_forms_of_a_delay(headers, ms):
    """Guards against answers that end the process or pause a target for ever."""
    assert parse_retry_after(headers) == ms


# Bodies without a length


async def raw_engine(*parts, reset=False):
    """Start an engine that answers with ``parts`` and closes the connection."""
    (address,) = free_addresses(1)

    async def serve(sock, peer):
        await sock.recv(65_536)
        for part in parts:
            await sock.sendall(part)
            await curio.sleep(0.02)
        if reset:
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        await sock.close()

    await curio.spawn(curio.tcp_server, address.host, address.port, serve, daemon=True)
    return address


HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: abc\r\nServer-Seal: seal\r\n\r\n"


@pytest.mark.parametrize(
    ("kind", "parts", "reset", "body"),
    [
        (RouteKind.ORDER, [b"whole ", b"answer"], False, b"whole answer"),
        (RouteKind.STREAM, [event(1), event(2)], False, event(1) + event(2)),
        (RouteKind.STREAM, [event(1), event(2)[:-4]], False, None),
        (RouteKind.STREAM, [event(1)], True, None),
        (RouteKind.ORDER, [b"half"], True, None),
    ],
)
def test_body_that_ends_with_its_connection(kind, parts, reset, body):
    """Guards against a broken answer that looks whole, and the reverse."""

    async def client(address, fleet):
        engine = await raw_engine(HEAD, *parts, reset=reset)
        fleet.rows[:] = [TargetRow("raw", engine, "s", "a", 4)]
        await curio.sleep(0.05)
        try:
            reply = await send(address)
        except TargetFailed:
            return None
        return reply.body if reply.status == 200 else None

    assert run_relay(kind, [[GOOD]], client) == body
