"""Tests of when the results of stages are released that a target fetches."""

import time

import curio
import pytest

from tests.test_relay_front import NOT_RUN, SIGNATURE, event, run_relay, send, stream
from tests.test_relay_front import answer as make_answer
from tests.virtual_sockets import run_with_virtual_sockets
from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.relay.requests.streams import RESULT_FETCH_MS
from wagtailrun.routes import RouteKind

pytestmark = pytest.mark.network


FETCH_S = RESULT_FETCH_MS / MS_PER_SECOND


async def reject_slowly():
    """Yield the body of a rejection late."""
    yield b"b"
    await curio.sleep(0.4 * FETCH_S)
    yield b"usy"


@pytest.mark.parametrize(
    ("status", "headers", "body"),
    [
        (503, [NOT_RUN], lambda: b""),
        (503, [NOT_RUN], reject_slowly),
        (500, [SIGNATURE], lambda: b""),
    ],
)
@pytest.mark.parametrize("choice_s", [0, 0.4 * FETCH_S])
def test_results_are_kept_for_the_attempt_after_a_failed_one(
    choice_s, status, headers, body
):
    """Load: engines that are busy, and take a while to turn a request away, or fail.

    Guards against results that the timer of a failed attempt releases before the next
    target has fetched them: all stages of the request would run again. That may be
    while the body of the answer arrives or the next target is chosen.
    """
    sent_s, released_s = [], []

    async def reject(request):
        await curio.sleep(0.8 * FETCH_S)
        return make_answer(status, body(), *headers)(request)

    async def accept(request):
        sent_s.append(time.monotonic())
        await curio.sleep(3 * FETCH_S)
        return stream(event(1), fail=False)(request)

    def prepare(handler):
        async def run_stages(job):
            job.results.unreleased_steps.add(0)

        async def release_all(work, results):
            if results.unreleased_steps:
                results.unreleased_steps.clear()
                released_s.append(time.monotonic())

        choose = handler.attempts.selection.next_target

        async def choose_slowly(job):
            await curio.sleep(choice_s)
            return await choose(job)

        handler._run_stages = run_stages
        handler.attempts.selection.next_target = choose_slowly
        handler.runner.release_all = release_all

    async def client(address, fleet):
        return (await send(address)).status

    answered = run_relay(
        RouteKind.STREAM,
        [[reject], [accept]],
        client,
        on_handler=prepare,
        run=run_with_virtual_sockets,
        resumable=True,
    )
    assert answered == 200
    # Neither early nor with the end of the stream.
    assert released_s[0] - sent_s[0] == pytest.approx(FETCH_S, abs=0.01)
