"""Tests of the idle time that answers announce, around planned stops."""

import curio
import pytest

from tests.stopping_entries import KINDS, both_entries
from tests.test_http_server import GOOD, echo
from tests.test_server_close import connect, read_all
from tests.virtual_sockets import run_with_virtual_sockets
from wagtailrun.adapters.http_server import HttpServer, Response
from wagtailrun.adapters.keep_alive import keep_alive_fields
from wagtailrun.adapters.server_limits import ServerLimits
from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.logs import events
from wagtailrun.ports.link import Address

ADDRESS = Address("127.0.0.1", 80)
# A client reuses its connection up to the end of the time that was announced to it.
REUSE_S = 1.99
SIGNAL_S = 4.0
LIMIT_MS = 8_000
NOTICE_MS = 2_800


async def answer_on(sock, data=b""):
    """Return the answer to a request, up to its last byte."""
    await sock.sendall(data)
    received = b""
    while piece := await sock.recv(65_536):
        received += piece
        head, _, body = received.partition(b"\r\n\r\n")
        if body.endswith(b"0\r\n\r\n") or (b"chunked" not in head and body):
            break
    return received


def run_entry(make, client, stop_signal):
    """Run ``client(address)`` beside an entry that is signalled after SIGNAL_S."""
    entry = make(LIMIT_MS, NOTICE_MS)
    entry.server.handler = echo
    entry.signals.install()

    async def main():
        await curio.spawn(entry.server.serve, daemon=True)
        stopping = await curio.spawn(entry.run)
        task = await curio.spawn(client, entry.caller)
        await curio.sleep(SIGNAL_S)
        # Another request keeps the entry up.
        other = await curio.spawn(hold, entry.caller)
        stop_signal()
        result = await task.join()
        await other.cancel()
        await stopping.join()
        return result

    async def hold(address):
        sock = await connect(address, GOOD[:-1])
        await read_all(sock)

    return run_with_virtual_sockets(main)


@pytest.mark.parametrize("before_s", [0.02, 0.3, 0.8, 1.2, 1.8, 2.2, 2.7])
@both_entries
def test_request_within_the_announced_time_crosses_no_close(
    make, before_s, stop_signal
):
    """Guards against requests that cross the close of an idle connection in a stop.

    The last answer before it comes some time before the signal.
    """

    async def client(address):
        sock = await connect(address)
        await curio.sleep(SIGNAL_S - before_s)
        first = await answer_on(sock, GOOD)
        await curio.sleep(REUSE_S)
        return first, await answer_on(sock, GOOD)

    first, second = run_entry(make, client, stop_signal)
    assert b"\r\nKeep-Alive: timeout=2\r\n" in first
    assert second.startswith(b"HTTP/1.1 200")
    assert (b"Connection: close" in second) == (before_s < REUSE_S)


def make_relay_entry():
    return KINDS["relay"](LIMIT_MS, NOTICE_MS)


def make_product_entry():
    return KINDS["product"](30_000, 5_000)


@pytest.mark.parametrize("ends_after_s", [-0.5, 0.1, 1.5, 2.4, 2.9, 3.3, 4.6])
@pytest.mark.parametrize("make", [make_relay_entry, make_product_entry])
def test_answer_that_ends_in_a_stop_keeps_its_announced_time(
    make, ends_after_s, stop_signal, logged
):
    """Guards against a stop that closes a connection within its announced idle time.

    The answer's head, which announced the time, was sent before the signal; its end
    came after it. A request on the closed connection got no answer.
    """
    entry = make()
    answered = []

    async def handler(request):
        if answered:
            return await echo(request)
        answered.append(request)
        return Response(200, pieces())

    async def pieces():
        yield b"x"
        await curio.sleep(0.6 + ends_after_s)

    async def client(address):
        sock = await connect(address)
        await curio.sleep(SIGNAL_S - 0.6)
        first = await answer_on(sock, GOOD)
        seconds = int(first.partition(b"Keep-Alive: timeout=")[2][:1])
        await curio.sleep(seconds - 0.01)
        return first, await answer_on(sock, GOOD)

    async def main():
        entry.server.handler = handler
        entry.signals.install()
        serving = await curio.spawn(entry.server.serve, daemon=True)
        stopping = await curio.spawn(entry.run)
        task = await curio.spawn(client, entry.caller)
        await curio.sleep(SIGNAL_S)
        stop_signal()
        await stopping.join()
        # The process ends here.
        await serving.cancel()
        return await task.join()

    first, second = run_with_virtual_sockets(main)
    assert first.endswith(b"0\r\n\r\n")
    assert second.startswith(b"HTTP/1.1 200")
    assert b"Connection: close" in second
    assert not [each for each, _ in logged if each is events.CLOSE_CROSSED]


@pytest.mark.parametrize("ends_after_s", [4.0, 5.5, 6.2, 6.8, 7.2])
@both_entries
def test_kept_connection_leaves_time_for_the_last_work(make, ends_after_s, stop_signal):
    """Guards against last reports that are lost for the sake of an idle connection.

    Its answer began before the signal and ended late in the stop. The stop of a relay
    entry kept the connection up to the end of its time, so that none was left for the
    messages of peers and the reports to control members.
    """
    entry = make(LIMIT_MS, NOTICE_MS)
    done = []

    async def handler(request):
        return Response(200, pieces())

    async def pieces():
        yield b"x"
        await curio.sleep(0.6 + ends_after_s)

    async def report():
        await curio.sleep(0.2)
        done.append(True)

    async def client(address):
        sock = await connect(address)
        await curio.sleep(SIGNAL_S - 0.6)
        first = await answer_on(sock, GOOD)
        await curio.sleep(LIMIT_MS / MS_PER_SECOND)
        return first

    async def main():
        entry.server.handler = handler
        entry.before_exit(report)
        entry.signals.install()
        await curio.spawn(entry.server.serve, daemon=True)
        stopping = await curio.spawn(entry.run)
        task = await curio.spawn(client, entry.caller)
        await curio.sleep(SIGNAL_S)
        stop_signal()
        await stopping.join()
        return await task.join()

    first = run_with_virtual_sockets(main)
    assert b"\r\nKeep-Alive: timeout=2\r\n" in first
    assert first.endswith(b"0\r\n\r\n")
    assert done


def test_stop_without_room_does_not_keep_the_announced_time():
    """Guards against idle connections whose descriptors new connections wait for.

    The shortage begins after the drain of the server.
    """
    reasons = []

    async def main():
        server = HttpServer(
            ADDRESS, echo, notice_ms=2_800, overload=lambda: "".join(reasons)
        )
        await curio.spawn(server.serve, daemon=True)
        await curio.sleep(0)
        sock = await connect(ADDRESS)
        await answer_on(sock, GOOD)
        await server.drain()
        await curio.sleep(0.5)
        was_kept = bool(server.idle_connections)
        reasons.append("no descriptors are left")
        await server.stop_accepting()
        await curio.sleep(0.01)
        return was_kept, len(server.idle_connections)

    assert run_with_virtual_sockets(main) == (True, 0)


@pytest.mark.parametrize("back_s", [0.01, 0.1, 0.19])
def test_announced_time_holds_when_room_is_back_before_a_stop(back_s, logged):
    """Guards against a close 200 ms after an answer that announced a longer time.

    There was no room for requests as the answer ended; there was again when the stop
    began, before these 200 ms were over.
    """
    reasons = []

    async def main():
        async def pieces():
            yield b"x"
            reasons.append("no descriptors are left")

        async def handler(request):
            return await echo(request) if server.draining else Response(200, pieces())

        server = HttpServer(
            ADDRESS, handler, notice_ms=2_800, overload=lambda: "".join(reasons)
        )
        await curio.spawn(server.serve, daemon=True)
        await curio.sleep(0)
        sock = await connect(ADDRESS)
        first = await answer_on(sock, GOOD)
        await curio.sleep(back_s)
        reasons.clear()
        await server.drain()
        await curio.sleep(0.5)
        is_awaited = server.is_busy
        await curio.sleep(REUSE_S - 0.5 - back_s)
        return first, is_awaited, await answer_on(sock, GOOD)

    first, is_awaited, second = run_with_virtual_sockets(main)
    assert b"\r\nKeep-Alive: timeout=2\r\n" in first
    # The stop waits for the request.
    assert is_awaited
    assert second.startswith(b"HTTP/1.1 200")


LAST = GOOD.replace(b"Host", b"Connection: close\r\nHost")


@pytest.mark.parametrize(
    ("request_bytes", "closing"),
    [
        (GOOD, True),
        (GOOD + b"\r\n", True),
        (LAST, False),
        (GOOD.replace(b"1.1", b"1.0"), False),
    ],
)
def test_last_answers_announce_no_idle_time(request_bytes, closing):
    """Guards against answers that announce both a close and a further use."""

    async def main():
        server = HttpServer(ADDRESS, echo, notice_ms=2_800)
        await curio.spawn(server.serve, daemon=True)
        await curio.sleep(0)
        sock = await connect(ADDRESS)
        server.closing = closing
        return await answer_on(sock, request_bytes)

    answer = run_with_virtual_sockets(main)
    assert b"Connection: close" in answer
    assert b"Keep-Alive" not in answer


def test_announced_time_holds_when_the_idle_limit_is_lowered():
    """Guards against a close within the time that the last answer announced.

    A new fleet configuration lowered the limit while the answer was being sent.
    """
    idle_ms = [60_000]

    async def handler(request):
        idle_ms[0] = 1_000
        return await echo(request)

    def limits():
        return ServerLimits(16_384, 1_048_576, 3_000, idle_ms[0])

    async def main():
        server = HttpServer(ADDRESS, handler, limits=limits, notice_ms=2_800)
        await curio.spawn(server.serve, daemon=True)
        await curio.sleep(0)
        sock = await connect(ADDRESS)
        first = await answer_on(sock, GOOD)
        await curio.sleep(REUSE_S)
        return first, await answer_on(sock, GOOD)

    first, second = run_with_virtual_sockets(main)
    assert b"\r\nKeep-Alive: timeout=2\r\n" in first
    # The next answer announces less than the new limit.
    assert second.startswith(b"HTTP/1.1 200")
    assert b"Keep-Alive" not in second


def test_answer_beside_a_shortage_announces_no_idle_time():
    """Guards against an announced time that a server without room does not keep.

    It closes a connection that is idle for 200 ms, as others need its descriptor.
    """
    reasons = []

    async def handler(request):
        reasons.append("no descriptors are left")
        return await echo(request)

    async def main():
        server = HttpServer(
            ADDRESS, handler, notice_ms=2_800, overload=lambda: "".join(reasons)
        )
        await curio.spawn(server.serve, daemon=True)
        await curio.sleep(0)
        sock = await connect(ADDRESS)
        answer = await answer_on(sock, GOOD)
        await curio.sleep(0.3)
        return answer, await sock.recv(1)

    answer, rest = run_with_virtual_sockets(main)
    assert answer.startswith(b"HTTP/1.1 200")
    assert b"Keep-Alive" not in answer
    assert rest == b""


@pytest.mark.parametrize(
    ("limit_ms", "seconds"), [(0, 0), (1_400, 0), (1_500, 1), (2_800, 2), (31_000, 30)]
)
def test_announced_time_ends_before_the_limit(limit_ms, seconds):
    """Guards against an announced time that leaves a request no time to arrive."""
    value = f"timeout={seconds}"
    assert dict(keep_alive_fields(limit_ms)).get("Keep-Alive", "timeout=0") == value
    assert not seconds or seconds * MS_PER_SECOND < limit_ms
