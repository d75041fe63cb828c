"""Tests of requests that arrive at each moment of a planned stop, in virtual time."""

import itertools
from collections.abc import Callable
from contextlib import suppress

import attrs
import curio
import h11
import pytest

from demo.processes import free_addresses
from tests import test_change_during_requests
from tests.stopping_entries import make_product_entry, make_relay_entry
from tests.test_caller_api import FLEET, ORDER
from tests.test_entry_close import STOCK
from tests.test_relay_stop import lasting, run_relay, silent
from tests.virtual_sockets import run_with_virtual_sockets
from wagtailrun.adapters.http_server import HttpServer, Response
from wagtailrun.clock import MS_PER_SECOND, SystemClock
from wagtailrun.control.member_stop import ControlStop
from wagtailrun.ports.target import StageAnswer
from wagtailrun.relay.control import CHANGE_ANSWER_MS as CONTROL_ANSWER_MS
from wagtailrun.relay.control import PUT_TIMEOUT_MS
from wagtailrun.relay.control_stop import RelayControlStop
from wagtailrun.relay.entry_stop import KILL_MARGIN_MS
from wagtailrun.routes import RouteKind
from wagtailrun.serving.entry_stop import FORCED_END_MARGIN_MS
from wagtailrun.stopping.member_stop import MemberStop, StoppableMember
from wagtailrun.stopping.plan import StopPlan
from wagtailrun.stopping.running_requests import STOP_ANSWER_MS
from wagtailrun.stopping.signals import StopSignals

pytestmark = pytest.mark.network

# How long before the signal the first request is sent, and the time between two.
LEAD_MS = 400
# A time that no poll of the stop divides, so that all phases of it are met.
INTERVAL_MS = 37
LONG_INTERVAL_MS = 187
LONG_GRACE_S = 30
RELAYED_PATH = b"/a/x"
# How much later than planned a stop may end.
POLL_MS = 50


@attrs.define
class Call:
    """What a caller sent on one connection, and what it received.

    Attributes:
        requests: Requests that were sent completely.
        answers: All bytes received.
        ended_ms: When the connection ended, in milliseconds after the signal.
        path: Path of the requests.
    """

    path: bytes
    requests: int = 0
    answers: bytes = b""
    ended_ms: int = 0

    @property
    def lacks_answer(self):
        """Whether a request has no part of an answer, and is behind no cut stream.

        One that was refused while it was sent has an answer, too.
        """
        _, _, last = self.answers.rpartition(b"HTTP/1.1 ")
        is_cut = b"chunked" in last and not last.endswith(b"0\r\n\r\n")
        interim = self.answers.count(b"HTTP/1.1 100")
        count = self.answers.count(b"HTTP/1.1 ") - interim
        return count < max(self.requests, 1) and not is_cut


def request(number, path=RELAYED_PATH, fields=b""):
    return (
        b"POST %b HTTP/1.1\r\nHost: h\r\nAttempt-Id: n%d\r\n"
        b"Deadline-Remaining: 60000\r\nWagtailrun-Workspace: stockists\r\n"
        b"%bContent-Length: 2\r\n\r\n{}" % (path, number, fields)
    )


async def send_parts(sock, call, parts):
    """Send parts of one request, or wait between them; read until the end."""
    with suppress(OSError):
        # The refusal may come before the request is complete.
        for part in parts:
            if isinstance(part, bytes):
                await sock.sendall(part)
            else:
                await curio.sleep(part)
        call.requests += 1
    with suppress(OSError):
        while piece := await sock.recv(65_536):
            call.answers += piece


async def send_whole(sock, call, number):
    await send_parts(sock, call, [request(number, call.path)])


async def send_halves(sock, call, number):
    data = request(number, call.path)
    await send_parts(sock, call, [data[:30], 0.25, data[30:-1], 0.25, data[-1:]])


async def send_late(sock, call, number):
    await send_parts(sock, call, [0.3, request(number, call.path)])


async def send_expecting(sock, call, number):
    data = request(number, call.path, b"Expect: 100-continue\r\n")
    await send_parts(sock, call, [data[:-2], 0.2, data[-2:]])


async def send_pipelined(sock, call, number):
    data = b"".join(request(number + each * 10_000, call.path) for each in range(3))
    await send_parts(sock, call, [data])
    call.requests = 3


async def send_kept(sock, call, number):
    """Send the next request after each answer that announces no close.

    After 200 ms a stop closes the connection, which a request may cross.
    """
    answered = None
    while answered is None or answered == h11.DONE:
        if answered is not None:
            await curio.sleep(0.15)
        call.requests += 1
        await sock.sendall(request(number + call.requests * 10_000, call.path))
        http = h11.Connection(h11.CLIENT)
        http.send(h11.Request(method="POST", target="/", headers=[("Host", "h")]))
        http.send(h11.EndOfMessage())
        while not isinstance(event := http.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                piece = await sock.recv(65_536)
                if not piece:
                    # Recorded as a request without an answer, or with a part of one.
                    return
                call.answers += piece
                http.receive_data(piece)
        answered = http.their_state


FORMS = {
    form.__name__: form
    for form in (
        send_whole,
        send_halves,
        send_late,
        send_expecting,
        send_pipelined,
        send_kept,
    )
}
ENGINES = {"silent": silent, "slow": lasting(0.3)}


async def call_through_stop(
    entry, stop, form, stop_signal, *, path=RELAYED_PATH, limit_s, signals=1
):
    """Send requests at each moment of a stop; return the calls and the time of the end.

    The process ends, with its connections, as soon as its stop is complete, or as the
    platform kills it.

    Args:
        entry: Entry, whose caller server is not running yet.
        stop: Waits for the signal and returns when the process may end.
        form: Sends the requests of one connection.
        stop_signal: Sends the signal.
        path: Path of the requests.
        limit_s: When the platform kills the process, in seconds after the signal.
        signals: Number of signals.
    """
    clock = entry.clock
    serving = await curio.spawn(entry.caller_server.serve)
    stopping = await curio.spawn(stop)
    caller = entry.settings.caller_address
    await curio.sleep(0.15)
    signalled_ms = clock.now_ms() + LEAD_MS
    calls = []

    async def call(number):
        try:
            sock = await curio.open_connection(caller.host, caller.port)
        except OSError:
            # Callers turn to another entry.
            return
        calls.append(one := Call(path))
        async with sock:
            with suppress(OSError):
                await form(sock, one, number)
        one.ended_ms = clock.now_ms() - signalled_ms

    async def call_all():
        is_long = limit_s >= LONG_GRACE_S
        interval_ms = LONG_INTERVAL_MS if is_long else INTERVAL_MS
        for number in itertools.count():
            await curio.spawn(call, number, daemon=True)
            await curio.sleep(interval_ms / MS_PER_SECOND)

    calling = await curio.spawn(call_all, daemon=True)
    await curio.sleep(LEAD_MS / MS_PER_SECOND)
    for _ in range(signals):
        stop_signal()
        await curio.sleep(0.01)
    left_s = limit_s - (clock.now_ms() - signalled_ms) / MS_PER_SECOND
    await curio.ignore_after(left_s, stopping.join)
    ended_ms = clock.now_ms() - signalled_ms
    await calling.cancel()
    await stopping.cancel()
    await serving.cancel()
    # The callers send the rest of their requests, and read what they were sent.
    await curio.sleep(1)
    return calls, ended_ms


def run_stop(kind, engine, grace_s, form, stop_signal, signals=1, **entry_options):
    """Stop a relay entry beside callers; see ``call_through_stop``."""

    async def client(address, fleet):
        (handler,) = handlers
        entry = make_relay_entry(grace_s=grace_s, **entry_options)
        entry.signals.install()
        entry.handler = entry.planned_stop.entry.handler = handler
        entry.caller_server.handler = handler.handle
        return await call_through_stop(
            entry,
            entry._stop_on_signal,
            form,
            stop_signal,
            limit_s=grace_s,
            signals=signals,
        )

    handlers = []
    return run_relay(
        kind,
        [[engine]],
        client,
        on_handler=handlers.append,
        limit_s=grace_s + 5,
        timeout_ms=60_000,
        aim_ms=400,
    )


def unanswered(calls):
    return [call for call in calls if call.lacks_answer]


@pytest.mark.parametrize("form", FORMS.values(), ids=FORMS)
@pytest.mark.parametrize("engine", ENGINES.values(), ids=ENGINES)
@pytest.mark.parametrize("grace_s", [0.8, 2, 4, 8, LONG_GRACE_S])
@pytest.mark.parametrize("kind", [RouteKind.ORDER, RouteKind.STREAM])
def test_each_request_of_a_stop_has_an_answer(kind, grace_s, engine, form, stop_signal):
    """Guards against requests that a planned stop leaves without an answer (LOST)."""
    calls, ended_ms = run_stop(kind, engine, grace_s, form, stop_signal)
    assert len(calls) > 5
    assert unanswered(calls) == []
    assert ended_ms < grace_s * MS_PER_SECOND - KILL_MARGIN_MS + POLL_MS


@pytest.mark.parametrize("form", FORMS.values(), ids=FORMS)
@pytest.mark.parametrize("kind", [RouteKind.ORDER, RouteKind.STREAM])
def test_second_signal_leaves_no_request_without_an_answer(kind, form, stop_signal):
    """Guards against a stop that a second signal shortens, or begins anew."""
    calls, ended_ms = run_stop(kind, silent, 4, form, stop_signal, signals=3)
    assert unanswered(calls) == []
    assert ended_ms < 4 * MS_PER_SECOND


@pytest.mark.parametrize("form", FORMS.values(), ids=FORMS)
@pytest.mark.parametrize("notice_ms", [0, 3_500, 4_000])
def test_length_of_the_notice_leaves_no_request_without_an_answer(
    notice_ms, form, stop_signal
):
    """Guards against connections that wait unaccepted, or close, as a notice is long.

    One of 3.5 s of 4 s lasts until the last refusals.
    """
    calls, ended_ms = run_stop(
        RouteKind.ORDER, silent, 4, form, stop_signal, drain_notice_ms=notice_ms
    )
    assert unanswered(calls) == []
    assert ended_ms < 4 * MS_PER_SECOND


class EndingCase(test_change_during_requests.Case):
    """One request that waits at its point, without end, as the last refusals come."""

    async def play_end(self):
        await self.start()
        await curio.sleep(0.02)
        calling = await curio.spawn(self.send)
        await self.wait_for(calling)
        await curio.sleep(0.1)
        entry = self.entries[0]
        refusals_ms = entry.clock.now_ms()
        entry.handler.stop = StopPlan(refusals_ms, refusals_ms + STOP_ANSWER_MS)
        await entry.handler.refuse_unanswered()
        await entry.caller_server.refuse_incomplete()
        await curio.ignore_after(1, calling.join)
        took_ms = entry.clock.now_ms() - refusals_ms
        return self.status, took_ms, len(self.targets.runs)


WAITS = {
    "origin": 503,
    "permit": 503,
    "rate limit": 503,
    "grant": 503,
    "pause": 503,
    "placement": 503,
    "announcement": 503,
    "step 0": 503,
    "step 1": 503,
    "second round": 503,
    "connection": 503,
    "head": 502,
    "tunnel": 502,
}


@pytest.mark.parametrize(("wait", "status"), WAITS.items(), ids=WAITS)
def test_last_refusal_reaches_a_request_at_each_of_its_waits(wait, status):
    """Guards against a wait, or the work after it, that holds up the last refusal.

    A request that was sent to no target is refused as not run.
    """
    found, took_ms, runs = run_with_virtual_sockets(EndingCase(wait, "none").play_end)
    assert (found, runs) == (status, int(status == 502))
    assert took_ms < STOP_ANSWER_MS // 2


async def run_at_once(work, *read):
    return StageAnswer(200, b"{}")


async def run_slowly(work, *read):
    await curio.sleep(0.3)
    return StageAnswer(200, b"{}")


async def run_without_end(work, *read):
    await curio.sleep(600)


RUNS = {"at once": run_at_once, "slowly": run_slowly, "without end": run_without_end}


@pytest.mark.parametrize("form", FORMS.values(), ids=FORMS)
@pytest.mark.parametrize("run", RUNS.values(), ids=RUNS)
@pytest.mark.parametrize("path", [STOCK, ORDER])
@pytest.mark.parametrize(
    ("limit_ms", "notice_ms"), [(1_000, 0), (2_000, 500), (4_000, 4_000), (8_000, 500)]
)
def test_each_request_of_a_stop_of_the_product_has_an_answer(
    limit_ms, notice_ms, path, run, form, stop_signal
):
    """Guards against requests that a planned stop leaves without an answer (LOST)."""
    entry = make_product_entry(limit_ms, notice_ms)

    async def hand_over(timeout_ms):
        await curio.sleep(0.5)

    async def main():
        entry.dispatcher.call = run
        entry.accounts.hand_over_all = hand_over
        entry.caller_server.handler.__self__.fleet = lambda: FLEET
        return await call_through_stop(
            entry,
            entry.signalled_drain.run,
            form,
            stop_signal,
            path=path.encode(),
            limit_s=(limit_ms + FORCED_END_MARGIN_MS) / MS_PER_SECOND,
        )

    calls, _ = run_with_virtual_sockets(main)
    assert len(calls) > 5
    assert unanswered(calls) == []


class Candidate:
    """Stands in for the consensus member of a control member."""

    def refuse_leadership(self):
        """Lead no more."""


def make_relay_member(signals):
    return RelayControlStop(Candidate(), None, None, CONTROL_ANSWER_MS)


def make_product_member(signals):
    return ControlStop(signals.clock, signals, Candidate(), None)


@attrs.frozen
class OperatorSide:
    """The operators' side of a control member, which ends as it was closed."""

    clock: SystemClock
    caller_server: HttpServer
    make: Callable[[StopSignals], StoppableMember]

    @property
    def settings(self):
        return self

    @property
    def caller_address(self):
        return self.caller_server.address

    async def stop(self):
        """Do what a control member does for its operators."""
        signals = StopSignals(self.clock)
        signals.install()
        await signals.wait()
        await MemberStop(self.make(signals), self.caller_server).end_callers()


@pytest.mark.parametrize(
    "form",
    [send_whole, send_halves, send_late, send_expecting, send_kept],
    ids=lambda form: form.__name__,
)
@pytest.mark.parametrize("change_ms", [0, 400, PUT_TIMEOUT_MS])
@pytest.mark.parametrize("make", [make_relay_member, make_product_member])
def test_each_request_of_an_operator_has_an_answer_in_a_stop(
    make, change_ms, form, stop_signal
):
    """Guards against changes that a control member takes and leaves unanswered."""

    async def handle(request):
        await curio.sleep(change_ms / MS_PER_SECOND)
        return Response(200, b"{}")

    async def main():
        (address,) = free_addresses(1)
        side = OperatorSide(SystemClock(), HttpServer(address, handle), make)
        return await call_through_stop(side, side.stop, form, stop_signal, limit_s=5)

    calls, _ = run_with_virtual_sockets(main)
    assert len(calls) > 5
    assert unanswered(calls) == []
