"""Tests of requests that a control member has in progress while it stops."""

import curio
import pytest

from demo.processes import free_addresses
from tests.test_http_server import GOOD, echo
from tests.test_server_close import connect, read_all
from wagtailrun.adapters.drain_times import MAX_REQUEST_WAIT_MS
from wagtailrun.adapters.http_server import Response
from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.relay.control import CHANGE_ANSWER_MS, PUT_TIMEOUT_MS, RelayControl
from wagtailrun.settings import RelayControlSettings

pytestmark = pytest.mark.network

# A member without requests stops in this time, also on a busy machine.
STOP_MS = 1_000


def run_stop(tmp_path, stop_signal, handle, client):
    """Stop a member while ``client(address)`` runs; return its result and the time."""
    operator, peer, metrics = free_addresses(3)
    settings = RelayControlSettings(
        name="c",
        data_centre="a",
        operator_address=operator,
        peer_address=peer,
        peer_secret=b"secret-of-this-test",
        metrics_address=metrics,
        data_folder=str(tmp_path),
        seeds=(peer,),
    )
    control = RelayControl(settings, lambda store, hub: handle, lambda: settings)
    control.signals.install()

    async def main():
        serving = await curio.spawn(control.operators.serve)
        await curio.sleep(0.1)
        stopping = await curio.spawn(control._stop_on_signal)
        asking = await curio.spawn(client, operator)
        # It resolves the address in a thread, which takes its time on a busy machine.
        while not control.operators.listener.accepted:
            await curio.sleep(0.01)
        await curio.sleep(0.1)
        stop_signal()
        started_ms = control.clock.now_ms()
        await stopping.join()
        took_ms = control.clock.now_ms() - started_ms
        # The daemon cancels its tasks at once.
        await serving.cancel()
        return await asking.join(), took_ms

    return curio.run(main)


async def ask(address):
    return await read_all(await connect(address, GOOD))


def test_change_in_progress_is_answered_before_a_member_stops(tmp_path, stop_signal):
    """Guards against operators that never learn whether their change is in force."""

    async def handle(request):
        await curio.sleep((PUT_TIMEOUT_MS - 200) / MS_PER_SECOND)
        return Response(200)

    answer, _ = run_stop(tmp_path, stop_signal, handle, ask)
    assert answer.startswith(b"HTTP/1.1 200")


def test_report_that_follows_its_connection_is_answered_by_a_stopping_member(
    tmp_path, stop_signal
):
    """Guards against connections that are closed before their request arrives."""

    async def ask_late(address):
        sock = await connect(address)
        await curio.sleep(0.4)
        await sock.sendall(GOOD)
        return await read_all(sock)

    answer, _ = run_stop(tmp_path, stop_signal, echo, ask_late)
    assert answer.startswith(b"HTTP/1.1 200")


def test_change_that_arrives_completely_during_the_stop_is_answered(
    tmp_path, stop_signal
):
    """Guards against a change that is cut off since its time counts from the signal."""

    async def handle(request):
        await curio.sleep((PUT_TIMEOUT_MS - 200) / MS_PER_SECOND)
        return Response(200)

    async def ask_slowly(address):
        sock = await connect(address, GOOD[:-2])
        await curio.sleep(0.9)
        await sock.sendall(GOOD[-2:])
        return await read_all(sock)

    answer, _ = run_stop(tmp_path, stop_signal, handle, ask_slowly)
    assert answer.startswith(b"HTTP/1.1 200")


def test_change_that_does_not_arrive_completely_is_refused(tmp_path, stop_signal):
    """Guards against half a request that is cut off without a refusal."""

    async def ask_in_part(address):
        sock = await connect(address, GOOD[:-2])
        return await read_all(sock)

    answer, took_ms = run_stop(tmp_path, stop_signal, echo, ask_in_part)
    assert answer.startswith(b"HTTP/1.1 503")
    assert took_ms < MAX_REQUEST_WAIT_MS + CHANGE_ANSWER_MS + STOP_MS


def test_member_with_idle_connections_stops_at_once(tmp_path, stop_signal):
    """Guards against heartbeats on kept connections that delay the stop of a member."""

    async def keep(address):
        sock = await connect(address, GOOD)
        return await sock.recv(65_536), await read_all(sock)

    (answer, rest), took_ms = run_stop(tmp_path, stop_signal, echo, keep)
    assert answer.startswith(b"HTTP/1.1 200")
    assert rest == b""
    assert took_ms < STOP_MS
