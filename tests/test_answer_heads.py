"""Tests of responses whose status is none of HTTP, or that may have no body."""

import curio
import pytest
from wagtail_platform.stage_calls import PlatformStageClient

from tests.test_cut_answers import CuttingTarget
from tests.test_relay_front import event, run_relay, send
from wagtailrun.adapters.http_client import HttpClient
from wagtailrun.adapters.http_target import HttpTargetClient
from wagtailrun.exceptions import TargetFailed, Verdict
from wagtailrun.ports.target import Attempt
from wagtailrun.routes import RouteKind
from wagtailrun.stages.port import StageItem
from wagtailrun.targets.table import TargetRow

pytestmark = pytest.mark.network

NO_STATUSES = ["000", "001", "099", "600", "999", "1000", "20", "2x0", "-20", ""]
FIELDS = b"Attempt-Id: abc\r\nServer-Seal: seal\r\nWagtailrun-Attempt: 7\r\n"
BODY = event(1)
LENGTH = b"Content-Length: %d\r\n" % len(BODY)


def answer(status, fields=FIELDS + LENGTH, body=BODY):
    return b"HTTP/1.1 " + status.encode() + b" Odd\r\n" + fields + b"\r\n" + body


async def start_target(data):
    target = CuttingTarget()
    target.answer = data
    await curio.spawn(target.run, daemon=True)
    await curio.sleep(0.05)
    return target.address


def relayed(kind, data, use=send, **options):
    """Return the reply to a caller whose target answers with some bytes."""

    async def client(address, fleet):
        fleet.rows.append(TargetRow("t0", await start_target(data), "s", "a", 4))
        return await use(address)

    return run_relay(kind, [], client, max_attempts=1, **options)


@pytest.mark.parametrize("status", NO_STATUSES)
@pytest.mark.parametrize("kind", [RouteKind.ORDER, RouteKind.STREAM])
def test_status_that_is_none_does_not_reach_the_caller(kind, status):
    """Guards against an answer with status 600 or 999 that is passed on as one."""
    reply = relayed(kind, answer(status))
    assert (reply.status, reply.headers.get("server-seal")) == (502, None)


@pytest.mark.parametrize("status", NO_STATUSES)
def test_status_that_is_none_fails_each_kind_of_call(status):
    """Guards against a client that takes an answer without a valid status for one."""

    async def main():
        address = await start_target(answer(status))
        http = HttpClient()
        row = TargetRow("i", address, "board", "a", 4)
        attempt = Attempt(7, "r", "/v1/x", b"{}", remaining_ms=2_000)
        item = StageItem("r", 0, 0, 1_000, "k", None)
        failures = []
        for call in (
            http.request(address, "GET", "/", timeout_ms=1_000),
            PlatformStageClient(http).run(row, [item], 1_000),
            HttpTargetClient(http).call(address, attempt),
        ):
            try:
                failures.append(await call)
            except TargetFailed as error:
                failures.append(error.verdict)
        return failures, len(http.pool)

    assert curio.run(main) == ([Verdict.MAY_HAVE_RUN] * 3, 0)


def test_answer_of_another_protocol_fails_the_attempt():
    """Guards against a 101 that nobody asked for and that ends the parser."""
    data = answer("101", FIELDS + b"Upgrade: x\r\nConnection: upgrade\r\n", b"bytes")
    assert relayed(RouteKind.ORDER, data).status == 502


@pytest.mark.parametrize("status", ["204", "304"])
def test_bytes_after_an_answer_without_a_body_end_its_connection(status):
    """Guards against a body of a 204 that is read as the next answer."""

    async def main():
        address = await start_target(answer(status))
        http = HttpClient()
        reply = await http.request(address, "GET", "/", timeout_ms=1_000)
        return reply.status, reply.body, len(http.pool)

    assert curio.run(main) == (int(status), b"", 0)


@pytest.mark.parametrize(("status", "passed_on"), [("204", 204), ("304", 502)])
def test_answer_without_a_body_that_bytes_follow(status, passed_on):
    """Guards against a refusal that counts though the target sent more than it."""
    reply = relayed(RouteKind.ORDER, answer(status))
    assert (reply.status, BODY in reply.body) == (passed_on, False)
