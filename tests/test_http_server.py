"""Tests of the HTTP server and client against each other and against bad input."""

import errno
import json
import socket
import struct
from contextlib import suppress

import attrs
import curio
import pytest
from curio.io import Socket
from hypothesis import given, settings
from hypothesis import strategies as st

from demo.processes import free_addresses
from wagtailrun.adapters import server_state
from wagtailrun.adapters.drain_times import sleep_until_idle
from wagtailrun.adapters.http_client import HttpClient
from wagtailrun.adapters.http_server import (
    HttpServer,
    Response,
    ServerLimits,
    json_response,
)
from wagtailrun.clock import MS_PER_SECOND, SystemClock
from wagtailrun.exceptions import ConnectFailed, RefusalReason, TargetFailed, Verdict

pytestmark = pytest.mark.network

TIMEOUT_MS = 5_000
GOOD = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}"


async def echo(request):
    return json_response(200, {"path": request.path, "size": len(request.body)})


def with_server(handler, client, **options):
    """Run ``client(address, server)`` against a server and return its result."""

    async def main():
        (address,) = free_addresses(1)
        server = HttpServer(address, handler, **options)
        task = await curio.spawn(server.serve)
        while True:
            try:
                sock = await curio.open_connection(address.host, address.port)
                break
            except OSError:
                await curio.sleep(0.01)
        await sock.close()
        try:
            async with curio.timeout_after(30):
                return await client(address, server)
        finally:
            await task.cancel()

    return curio.run(main)


async def exchange_bytes(address, data):
    """Send raw bytes, close the sending side, and return all that is received."""
    sock = await curio.open_connection(address.host, address.port)
    await sock.sendall(data)
    await sock.shutdown(1)
    received = b""
    try:
        while piece := await sock.recv(65_536):
            received += piece
    except ConnectionResetError:
        pass
    await sock.close()
    return received


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"\x00\x01 nonsense\r\n\r\n", 400),
        (b"POST /x HTTP/1.1\r\n\r\n", 400),
        (b"POST /x HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 20_000 + b"\r\n\r\n", 431),
        (b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 90\r\n\r\n" + b"z" * 90, 413),
        (b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", 400),
        (
            b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            400,
        ),
    ],
)
def test_bad_request_is_refused_as_not_run(data, status):
    """Guards against a malformed request that gets no answer, or runs."""

    async def client(address, server):
        return await exchange_bytes(address, data)

    received = with_server(echo, client, max_body_bytes=64)
    head, _, body = received.partition(b"\r\n\r\n")
    assert head.startswith(f"HTTP/1.1 {status} ".encode())
    problem = json.loads(body)
    assert problem["verdict"] == Verdict.NOT_RUN
    assert problem["status"] == status


@settings(max_examples=40)
@given(
    st.lists(st.binary(max_size=60) | st.sampled_from([GOOD, GOOD[:40]]), max_size=4)
)
def test_arbitrary_bytes_never_raise(pieces):
    """Guards against input that makes the connection task raise."""

    async def client(address, server):
        received = await exchange_bytes(address, b"".join(pieces))
        assert server.active_requests == 0
        return received

    received = with_server(echo, client)
    assert received == b"" or received.startswith(b"HTTP/1.1 ")
    assert b" 500 " not in received


def test_rejected_bytes_are_told_to_the_owner():
    """Guards against refusals that are not recorded."""
    refusals = []

    async def on_refusal(refusal):
        refusals.append(refusal.reason)

    async def client(address, server):
        await exchange_bytes(address, b"nonsense\r\n\r\n")
        await exchange_bytes(address, GOOD)

    with_server(echo, client, on_refusal=on_refusal)
    assert refusals == [RefusalReason.MALFORMED]


def test_request_that_never_ends_is_refused(monkeypatch):
    """Guards against a caller that occupies a connection by sending single bytes."""
    monkeypatch.setattr(server_state, "REQUEST_TIMEOUT_MS", 300)

    async def client(address, server):
        sock = await curio.open_connection(address.host, address.port)
        await sock.sendall(GOOD[:20])
        received = b""
        while not received:
            await sock.sendall(b"x")
            with suppress(curio.TaskTimeout):
                received = await curio.timeout_after(0.1, sock.recv, 1_000)
        return received

    assert with_server(echo, client).startswith(b"HTTP/1.1 408")


def test_connections_beyond_the_limit_are_refused(monkeypatch):
    """Guards against connections that use up all file descriptors."""
    monkeypatch.setattr(server_state, "MAX_CONNECTIONS", 1)

    async def client(address, server):
        first = await curio.open_connection(address.host, address.port)
        await curio.sleep(0.05)
        second = await exchange_bytes(address, GOOD)
        await first.close()
        return second

    received = with_server(echo, client)
    assert received.startswith(b"HTTP/1.1 503")
    assert b"Retry-After: 1" in received


def test_pipelined_requests_are_answered_in_order():
    """Guards against a second request that is lost while the first one runs."""

    async def client(address, server):
        return await exchange_bytes(address, GOOD + GOOD.replace(b"/x", b"/y"))

    received = with_server(echo, client)
    assert received.count(b"HTTP/1.1 200") == 2
    assert received.index(b'"/x"') < received.index(b'"/y"')


@pytest.mark.parametrize("pause_s", [0, 0.05])
@pytest.mark.parametrize("lines", [b"\r\n", b"\r\n" + GOOD.replace(b"/x", b"/y")])
def test_empty_line_after_a_request_is_no_request(lines, pause_s):
    """Guards against a refusal that a client takes for the answer to its next request.

    The answer before it announced that the connection is kept.
    """

    async def client(address, server):
        sock = await curio.open_connection(address.host, address.port)
        await sock.sendall(GOOD if pause_s else GOOD + lines)
        await curio.sleep(pause_s)
        if pause_s:
            await sock.sendall(lines)
        await curio.sleep(0.1)
        is_idle = len(server.idle_connections) == 1 and not server.active_requests
        await sock.sendall(GOOD.replace(b"/x", b"/z"))
        await curio.sleep(0.1)
        received = await sock.recv(65_536)
        await sock.close()
        return is_idle, received

    is_idle, received = with_server(echo, client)
    assert is_idle
    assert received.count(b"HTTP/1.1 200") == received.count(b"HTTP/1.1 ")
    assert received.count(b"HTTP/1.1 200") == 2 + (b"/y" in lines)


def test_empty_lines_do_not_keep_a_connection():
    """Guards against a connection that is kept by bytes that are no request."""

    async def client(address, server):
        sock = await curio.open_connection(address.host, address.port)
        await sock.sendall(b"\r\n")
        await curio.sleep(0.05)
        await sock.sendall(b"\r\n")
        return await sock.recv(65_536)

    assert with_server(echo, client).startswith(b"HTTP/1.1 400")


PIECES = 16
PIECE = b"x" * 512 * 1024
# Larger than what a server receives of further requests during an answer.
PIPELINED = (
    b"POST /y HTTP/1.1\r\nHost: a\r\nContent-Length: 20000\r\n\r\n" + b"z" * 20_000
)


@pytest.mark.parametrize("closes", ["server", "client"])
def test_last_answer_is_complete_beside_pipelined_requests(closes):
    """Guards against an answer whose end is lost as its connection is reset.

    A request arrives behind the last answer's head, which announces the close. The
    rest of the answer is in the buffers of the kernel as the connection is closed.
    """

    async def pieces():
        yield PIECE[:1]
        await curio.sleep(0.1)
        for _ in range(PIECES):
            yield PIECE

    async def handler(request):
        return Response(200, pieces())

    async def client(address, server):
        server.closing = closes == "server"
        sock = await curio.open_connection(address.host, address.port)
        last = GOOD.replace(b"Host", b"Connection: close\r\nHost")
        await sock.sendall(GOOD if server.closing else last)
        received = await sock.recv(1_000)
        await sock.sendall(PIPELINED)
        # The server writes the rest, while its client does not read yet.
        await curio.sleep(0.3)
        while piece := await sock.recv(65_536):
            received += piece
            await curio.sleep(0)
        await sock.close()
        return received

    received = with_server(handler, client)
    assert b"Connection: close" in received[:1_000]
    assert received.count(b"x") == PIECES * len(PIECE) + 1
    assert received.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize("streams", [False, True])
def test_request_for_a_head_is_answered(streams):
    """Guards against a HEAD request whose connection is closed without an answer."""

    async def pieces():
        yield b"first"

    async def handler(request):
        if request.method == "HEAD" and streams:
            return Response(200, pieces())
        return json_response(503, {"reason": "draining"})

    async def client(address, server):
        head = GOOD.replace(b"POST", b"HEAD")
        return await exchange_bytes(address, head + GOOD)

    received = with_server(handler, client)
    first, _, rest = received.partition(b"\r\n\r\n")
    assert first.startswith(b"HTTP/1.1 200" if streams else b"HTTP/1.1 503")
    assert rest.startswith(b"HTTP/1.1 503")
    assert rest.endswith(b'"draining"}')


def test_refusal_after_a_request_for_a_head_is_whole():
    """Guards against a refusal that is not sent because of an earlier HEAD request."""

    async def handler(request):
        return json_response(200, {"ok": True})

    async def client(address, server):
        head = GOOD.replace(b"POST", b"HEAD")
        return await exchange_bytes(address, head + b"GET /\x00 HTTP/1.1\r\n\r\n")

    _, _, rest = with_server(handler, client).partition(b"\r\n\r\n")
    assert rest.startswith(b"HTTP/1.1 400")
    assert rest.endswith(b"}")


def test_stream_that_fails_lacks_the_final_chunk():
    """Guards against an aborted answer that looks complete."""

    async def pieces():
        yield b"first"
        raise RuntimeError("the source broke")

    async def handler(request):
        return Response(200, pieces())

    async def client(address, server):
        with pytest.raises(TargetFailed) as error:
            await HttpClient().request(address, "GET", "/", timeout_ms=TIMEOUT_MS)
        return error.value.verdict

    assert with_server(handler, client) == Verdict.MAY_HAVE_RUN


def test_slow_caller_slows_only_its_own_stream():
    """Guards against unbounded buffering for a caller that reads nothing."""
    produced = []

    async def pieces():
        for _ in range(10_000):
            produced.append(1)
            yield b"x" * 10_000

    async def handler(request):
        return Response(200, pieces()) if request.path == "/x" else await echo(request)

    async def client(address, server):
        slow = await curio.open_connection(address.host, address.port)
        await slow.sendall(GOOD)
        http = HttpClient()
        for _ in range(20):
            reply = await http.request(address, "GET", "/y", timeout_ms=TIMEOUT_MS)
            assert reply.status == 200
            await curio.sleep(0.01)
        await slow.close()

    with_server(handler, client)
    # 10,000 pieces are 100 MB; what was produced is in the buffers of two sockets.
    assert len(produced) < 5_000


def test_handler_is_cancelled_when_the_caller_leaves():
    """Guards against a handler that continues after its caller has disconnected."""
    cancelled = curio.Event()

    async def handler(request):
        try:
            await curio.sleep(60)
        except curio.CancelledError:
            await cancelled.set()
            raise

    async def client(address, server):
        sock = await curio.open_connection(address.host, address.port)
        await sock.sendall(GOOD)
        await curio.sleep(0.05)
        await sock.close()
        await cancelled.wait()

    with_server(handler, client)
    assert cancelled.is_set()


def test_refused_connection_says_that_nothing_was_sent():
    """Guards against "may have run" for a request of which no byte was sent."""

    async def main():
        (address,) = free_addresses(1)
        await HttpClient().request(address, "GET", "/", timeout_ms=TIMEOUT_MS)

    with pytest.raises(ConnectFailed) as error:
        curio.run(main)
    assert error.value.verdict == Verdict.NOT_RUN


def test_silent_server_is_reported_as_silent():
    """Guards against waiting for ever on an unresponsive connection."""

    async def handler(request):
        await curio.sleep(60)

    async def client(address, server):
        with pytest.raises(TargetFailed) as error:
            await HttpClient().request(address, "GET", "/", timeout_ms=50)
        return error.value

    failure = with_server(handler, client)
    assert failure.timed_out
    assert failure.verdict == Verdict.MAY_HAVE_RUN


def test_idle_connections_close_when_draining():
    """Guards against keep-alive connections that delay a planned stop."""

    async def client(address, server):
        http = HttpClient()
        await http.request(address, "GET", "/", timeout_ms=TIMEOUT_MS)
        (connection,) = http.idle_by_address[address]
        await server.drain()
        return await connection.sock.recv(10)

    assert with_server(echo, client) == b""


def test_reset_connection_does_not_keep_the_others_open_when_draining():
    """Guards against a planned stop that fails at a connection reset just before.

    The stop began anew then, so that the process took requests up to its end.
    """

    async def client(address, server):
        socks = []
        for _ in range(8):
            sock = await curio.open_connection(address.host, address.port)
            await sock.sendall(GOOD)
            await sock.recv(65_536)
            socks.append(sock)
        await curio.sleep(0.05)
        assert len(server.idle_connections) == len(socks)
        # The server's tasks have no turn between the reset and the drain.
        reset, *kept = socks
        reset.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        reset._socket.close()
        await server.drain()
        return [await sock.recv(10) for sock in kept]

    assert with_server(echo, client) == [b""] * 7


def test_request_that_arrives_while_its_connection_is_closed_is_answered():
    """Guards against a request that is read as its idle connection is shut down.

    The end of the reading, by this server, was taken for a client that has left.
    """

    async def handler(request):
        await curio.sleep(0.05)
        return await echo(request)

    async def client(address, server):
        sock = await curio.open_connection(address.host, address.port)
        await curio.sleep(0.05)
        # The server's tasks have no turn between the shutdown and the arrival.
        await server.drain()
        sock._socket.send(GOOD)
        return await sock.recv(65_536)

    assert with_server(handler, client).startswith(b"HTTP/1.1 200")


def test_requests_around_a_planned_stop_are_answered():
    """Guards against a stop that cuts off requests that were just accepted.

    One request is half received as the stop begins, one connection is accepted but
    has sent nothing, and one keep-alive connection gets its last answer before.
    """
    whole = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"

    async def client(address, server):
        async def connect(data):
            sock = await curio.open_connection(address.host, address.port)
            await sock.sendall(data)
            await curio.sleep(0.05)
            return sock

        kept = await connect(whole)
        await kept.recv(65_536)
        server.closing = True
        await kept.sendall(whole)
        last = await kept.recv(65_536)
        half = await connect(whole[:20])
        assert server.active_requests == 1
        await server.drain()
        silent = await connect(b"")
        await half.sendall(whole[20:])
        await silent.sendall(whole)
        answers = [await half.recv(65_536), await silent.recv(65_536)]
        clock = SystemClock()
        limit_ms = clock.now_ms() + 5_000
        await sleep_until_idle(clock, lambda: not server.active_requests, limit_ms)
        return [last, *answers], clock.now_ms() < limit_ms

    answers, in_time = with_server(echo, client)
    assert in_time
    for answer in answers:
        assert answer.startswith(b"HTTP/1.1 200"), answer
        assert b"connection: close" in answer.lower()


@pytest.mark.parametrize("size", [20, len(GOOD) - 1])
def test_incomplete_request_is_refused_when_the_process_ends(size):
    """Guards against a connection that is closed in the middle of its request."""

    async def client(address, server):
        sock = await curio.open_connection(address.host, address.port)
        await sock.sendall(GOOD[:size])
        await curio.sleep(0.05)
        await server.drain()
        await server.refuse_incomplete()
        return await sock.recv(65_536)

    answer = with_server(echo, client)
    assert answer.startswith(b"HTTP/1.1 503")
    assert b"not-run" in answer


def test_request_that_arrives_as_the_process_ends_is_answered():
    """Guards against a request that is read just before the process ends."""

    async def client(address, server):
        early = await curio.open_connection(address.host, address.port)
        late = await curio.open_connection(address.host, address.port)
        await curio.sleep(0.05)
        await early.sendall(GOOD[:20])
        await server.stop_accepting()
        busy = [server.is_busy]
        await early.sendall(GOOD[20:])
        answers = [await early.recv(65_536)]
        await curio.sleep(0.05)
        busy.append(server.is_busy)
        await late.sendall(GOOD)
        answers.append(await late.recv(65_536))
        await curio.sleep(0.05)
        busy.append(server.is_busy)
        return busy, answers

    seen = []

    async def handler(request):
        seen.append(request)
        return await echo(request)

    busy, answers = with_server(handler, client)
    assert busy == [True, True, False]
    for answer in answers:
        assert answer.startswith(b"HTTP/1.1 200")
    assert len(seen) == 2


def test_request_with_both_body_lengths_is_refused():
    """Guards against request smuggling by two contradictory body lengths."""
    handled_paths = []

    async def handler(request):
        handled_paths.append(request.path)
        return json_response(200, {})

    inner = b"POST /smuggled HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
    data = (
        b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner
    )

    async def client(address, server):
        return await exchange_bytes(address, data)

    answer = with_server(handler, client)
    assert answer.startswith(b"HTTP/1.1 400")
    assert answer.count(b"HTTP/1.1") == 1
    assert handled_paths == []


def test_limits_in_force_bound_what_a_client_sends():
    """Guards against configured limits that are not enforced."""
    limits = ServerLimits(header_bytes=200, body_bytes=10, header_ms=100, idle_ms=100)

    async def client(address, server):
        large = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n" + b"x" * 11
        long = b"GET /" + b"x" * 300 + b" HTTP/1.1\r\nHost: a\r\n\r\n"
        answers = [await exchange_bytes(address, data) for data in (large, long)]
        sock = await curio.open_connection(address.host, address.port)
        await sock.sendall(b"GET / HTTP/1.1\r\nHo")
        answers.append(await sock.recv(1_000))
        idle = await curio.open_connection(address.host, address.port)
        answers.append(await idle.recv(1_000))
        return [answer[9:12] for answer in answers]

    answers = with_server(echo, client, limits=lambda: limits)
    assert answers == [b"413", b"431", b"408", b""]


# A path that loses all packets for this long, and a server that says nothing for this
# long, end no connection.
TOLERATED_SILENCE_MS = 2_500
# Linux sends data again after at least this time, and doubles it each time.
MIN_RESEND_MS = 200


def shortest_fatal_silence_ms(sock):
    """Return how long a path must at least lose packets to end a connection.

    Computed from the options that are set on it, by the rules of Linux: probes are due
    after the idle time and then at each interval without anything received. With a user
    timeout the connection ends at the first one that is due after that time and is not
    the first, else at the one after the last of their number. A silence that begins
    just before the first probe is fatal if it lasts until the last one before that end.
    Data that is not acknowledged is sent again, and ends the connection when the user
    timeout is over.
    """

    def option(name):
        return sock.getsockopt(socket.IPPROTO_TCP, name)

    idle_ms, interval_ms = [
        option(name) * MS_PER_SECOND
        for name in (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL)
    ]
    user_timeout_ms = option(socket.TCP_USER_TIMEOUT)
    if not user_timeout_ms:
        return (option(socket.TCP_KEEPCNT) - 1) * interval_ms
    last_probe = 0
    while idle_ms + (last_probe + 1) * interval_ms < user_timeout_ms:
        last_probe += 1
    resent_ms, pause_ms = 0, MIN_RESEND_MS
    while resent_ms + pause_ms < user_timeout_ms:
        resent_ms += pause_ms
        pause_ms *= 2
    return min(last_probe * interval_ms, resent_ms)


def test_moment_of_silence_ends_no_connection():
    """Guards against an answer that is ended since its path was silent for a moment.

    One lost probe, or a silence of 1.4 s after a request, ended a sound connection.
    """

    async def client(address, server):
        http = HttpClient()
        await http.request(address, "GET", "/", timeout_ms=TIMEOUT_MS)
        (connection,) = http.idle_by_address[address]
        return shortest_fatal_silence_ms(connection.sock)

    assert with_server(echo, client) > TOLERATED_SILENCE_MS


def test_timeout_of_a_handler_is_answered():
    """Guards against a handler's own timeout that closes the connection silently."""

    async def handler(request):
        async with curio.timeout_after(0.01):
            await curio.sleep(60)

    async def client(address, server):
        reply = await HttpClient().request(address, "GET", "/", timeout_ms=TIMEOUT_MS)
        return reply.status

    assert with_server(handler, client) == 500


def test_pipelined_request_is_answered_in_a_planned_stop():
    """Guards against a request that was read behind another one and is dropped."""

    async def handler(request):
        await curio.sleep(0.05)
        return await echo(request)

    async def client(address, server):
        sock = await curio.open_connection(address.host, address.port)
        await sock.sendall(GOOD + GOOD.replace(b"/x", b"/y"))
        await curio.sleep(0.02)
        await server.drain()
        received = b""
        while piece := await sock.recv(65_536):
            received += piece
        return received

    first, second = with_server(handler, client).split(b"HTTP/1.1 200")[1:]
    assert b"/x" in first
    assert b"connection: close" not in first.lower()
    assert b"/y" in second
    assert b"connection: close" in second.lower()


@pytest.mark.parametrize(("later_ms", "answers"), [(2_000, 1), (200, 0)])
def test_idle_limit_that_is_raised_holds_for_open_connections(later_ms, answers):
    """Guards against a connection closed by a limit that was replaced meanwhile.

    Callers keep their connections for the time that the fleet configuration states.
    """
    limits = ServerLimits(1_000, 1_000, 1_000, 200)

    async def client(address, server):
        sock = await curio.open_connection(address.host, address.port)
        await curio.sleep(0.1)
        current.append(attrs.evolve(limits, idle_ms=later_ms))
        await curio.sleep(0.3)
        with suppress(OSError):
            await sock.sendall(GOOD)
            return (await sock.recv(65_536)).count(b"HTTP/1.1 200")
        return 0

    current = [limits]
    assert with_server(echo, client, limits=lambda: current[-1]) == answers


@pytest.mark.parametrize(("first", "second"), [(200, 5_000), (5_000, 200)])
def test_header_limit_that_changes_holds_for_open_connections(first, second):
    """Guards against a request that is judged by a limit that was replaced."""
    limits = ServerLimits(first, 1_000, 1_000, 1_000)
    request = GOOD.replace(b"Host", b"X: " + b"x" * 1_000 + b"\r\nHost")

    async def client(address, server):
        sock = await curio.open_connection(address.host, address.port)
        await sock.sendall(GOOD)
        await sock.recv(65_536)
        current.append(attrs.evolve(limits, header_bytes=second))
        await sock.sendall(request[:600])
        await curio.sleep(0.05)
        await sock.sendall(request[600:])
        return int((await sock.recv(65_536)).split()[1])

    current = [limits]
    status = with_server(echo, client, limits=lambda: current[-1])
    assert status == (200 if second > first else 431)


def test_server_goes_on_after_a_connection_that_cannot_be_accepted(monkeypatch):
    """Guards against a process that ends, with all requests, at its file limit."""
    accept = Socket.accept
    failures = [OSError(errno.EMFILE, "Too many open files")] * 2

    async def fail_at_first(sock):
        connection = await accept(sock)
        if failures:
            await connection[0].close()
            raise failures.pop()
        return connection

    async def client(address, server):
        statuses = []
        for _ in range(4):
            sock = await curio.open_connection(address.host, address.port)
            with suppress(ConnectionResetError):
                await sock.sendall(GOOD)
                statuses.append(await sock.recv(12))
            await sock.close()
        return [status for status in statuses if status]

    monkeypatch.setattr(Socket, "accept", fail_at_first)
    # The first of the two failures meets the connection that waits for the server.
    assert with_server(echo, client) == [b"HTTP/1.1 200"] * 3


async def raw_server(answers, received=None):
    """Serve one connection: send an entry of ``answers`` after each request."""
    (address,) = free_addresses(1)

    async def serve(sock, peer):
        for answer in answers:
            data = await sock.recv(65_536)
            if received is not None:
                received.append(data)
            if not data:
                return
            await sock.sendall(answer)
        await curio.sleep(0.2)

    await curio.spawn(curio.tcp_server, address.host, address.port, serve, daemon=True)
    await curio.sleep(0.05)
    return address


OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nId: %b\r\n\r\nok"


def test_answer_to_an_earlier_request_is_skipped():
    """Guards against an answer that is returned to another caller."""

    async def main():
        address = await raw_server([OK % b"old" + OK % b"new"])
        client = HttpClient()
        async with client.open(address, "GET", "/", timeout_ms=1_000) as stream:
            assert stream.headers["id"] == "old"
            own = await stream.next_answer(1_000)
            return own.headers["id"], await own.read_all(1_000)

    assert curio.run(main) == ("new", b"ok")


def test_connection_with_unasked_bytes_is_not_used_again():
    """Guards against surplus bytes that are read as the answer to the next request."""

    async def main():
        received = []
        address = await raw_server([OK % b"a" + OK % b"extra", OK % b"b"], received)
        client = HttpClient()
        await client.request(address, "GET", "/", timeout_ms=1_000)
        return client.idle_by_address[address]

    assert curio.run(main) == []


def test_connection_is_not_used_after_the_time_that_the_server_keeps_it():
    """Guards against a request sent while the server closes its idle connection."""

    async def main():
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=1\r\n\r\n"
        address = await raw_server([head, head])
        client = HttpClient()
        await client.request(address, "GET", "/", timeout_ms=1_000)
        return client.idle_by_address[address][0].max_idle_ms

    assert curio.run(main) == 500


def test_answer_that_ends_by_close_is_whole_and_by_reset_is_not():
    """Guards against an aborted answer that is accepted as complete."""

    async def main():
        (address,) = free_addresses(1)
        resets = [False, True]

        async def serve(sock, peer):
            await sock.recv(65_536)
            await sock.sendall(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbytes")
            if resets.pop(0):
                await curio.sleep(0.05)
                linger = struct.pack("ii", 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            await sock.close()

        await curio.spawn(
            curio.tcp_server, address.host, address.port, serve, daemon=True
        )
        await curio.sleep(0.05)
        client = HttpClient()
        whole = await client.request(address, "GET", "/", timeout_ms=1_000)
        with pytest.raises(TargetFailed):
            await client.request(address, "GET", "/", timeout_ms=1_000)
        return whole.body

    assert curio.run(main) == b"bytes"
