"""Tests of keyed orders whose attempts begin as their entry ends, in virtual time."""

import curio
import pytest

from tests.stopping_entries import make_product_entry as make_entry
from tests.test_caller_api import FLEET, ORDER
from tests.test_entry_close import ask
from tests.virtual_sockets import run_with_virtual_sockets
from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.exceptions import ConsensusUnavailable, TargetFailed, Verdict
from wagtailrun.ports.link import Address
from wagtailrun.ports.target import StageAnswer
from wagtailrun.registry.messages import (
    CloseOrder,
    FindOrder,
    OpenOrder,
    OrderState,
    OrderVerdict,
)
from wagtailrun.targets.table import TargetRow

pytestmark = pytest.mark.network

DRAIN_LIMIT_MS = 1_000
HAND_OVER_S = 2.0
NOT_RUN = OrderVerdict(OrderState.CLOSED, 1, Verdict.NOT_RUN)


class Registry:
    """Control members whose leader opens the attempt of an order at a given time.

    Args:
        is_elsewhere: Whether another sender has an attempt until then, which did not
            run.
        open_s: When the attempt is opened, in seconds after the order came.
    """

    def __init__(self, is_elsewhere, open_s):
        self.is_elsewhere = is_elsewhere
        self.open_s = open_s
        self.started_s = None
        self.closes = []

    async def call_leader(self, message, timeout_ms):
        now_s = await curio.clock()
        if self.started_s is None:
            self.started_s = now_s
        left_s = self.started_s + self.open_s - now_s
        match message:
            case CloseOrder():
                self.closes.append(message)
                return OrderVerdict(OrderState.CLOSED, message.attempt, message.verdict)
            case FindOrder() if left_s <= 0:
                return NOT_RUN
            case OpenOrder() if left_s <= 0 or not self.is_elsewhere:
                await curio.sleep(max(left_s, 0))
                return OrderVerdict(OrderState.OPENED, 2)
            case OpenOrder() | FindOrder():
                return OrderVerdict(OrderState.OPEN_ELSEWHERE, 1)
        raise ConsensusUnavailable("unexpected")


async def order_as_it_stops(entry, stop_signal):
    """Send an order to an entry, then stop it; return the answer.

    Args:
        entry: The entry.
        stop_signal: Sends the signal to stop.
    """
    entry.caller_server.handler.__self__.fleet = lambda: FLEET
    await curio.spawn(entry.caller_server.serve, daemon=True)
    await curio.sleep(0.05)
    headers = {"Idempotency-Key": "k"}
    caller = entry.settings.caller_address
    asking = await curio.spawn(lambda: ask(caller, ORDER, "{}", **headers))
    await curio.sleep(0.05)
    entry.signals.install()
    stop_signal()
    await entry.planned_stop.run()
    return await asking.join()


def run_order(is_elsewhere, open_s, stop_signal):
    """Stop an entry beside an order; return the answer, the runs and the closes."""
    entry = make_entry(DRAIN_LIMIT_MS)
    registry = Registry(is_elsewhere, open_s)
    runs = []

    async def call(work, *read):
        runs.append(work)
        return StageAnswer(200, b"{}")

    async def hand_over(timeout_ms):
        await curio.sleep(HAND_OVER_S)

    async def main():
        entry.orders.control = registry
        entry.dispatcher.call = call
        entry.accounts.hand_over_all = hand_over
        return await order_as_it_stops(entry, stop_signal)

    answer = run_with_virtual_sockets(main)
    return answer, runs, [message.verdict for message in registry.closes]


@pytest.mark.parametrize("is_elsewhere", [False, True])
def test_order_is_not_begun_after_its_entry_refused_it(is_elsewhere, stop_signal):
    """Guards against an order that the end of its entry cuts off, so that it is lost.

    Its key would be recorded as one that may have run, which no entry runs again. The
    caller was refused 200 ms before the drain limit; the hand-over of the accounts
    takes longer than that.
    """
    answer, runs, closes = run_order(is_elsewhere, 1.5, stop_signal)
    assert b'"verdict": "may-have-run"' in answer
    assert runs == []
    assert set(closes) <= {Verdict.NOT_RUN}


@pytest.mark.parametrize("is_elsewhere", [False, True])
def test_order_that_opens_before_the_end_runs(is_elsewhere, stop_signal):
    """Guards against orders that a stop refuses although there is time for them."""
    answer, runs, closes = run_order(is_elsewhere, 0.3, stop_signal)
    assert answer.startswith(b"HTTP/1.1 200")
    assert len(runs) == 1
    assert closes == [Verdict.COMPLETE]


@pytest.mark.parametrize(("free_s", "count"), [(0.3, 1), (1.5, 0)])
def test_order_that_waits_for_a_target_is_not_sent_after_the_refusals(
    free_s, count, stop_signal
):
    """Guards against an order that is sent as its entry ends, and cut off by it.

    Its attempt is open, but all targets are busy until then.
    """
    entry = make_entry(DRAIN_LIMIT_MS)
    row = TargetRow("t", Address("127.0.0.1", 9), "dispatch-desk", "a", 1)
    registry = Registry(False, 0)
    launched = []

    async def launch(work, target, *rest):
        launched.append(target)
        raise TargetFailed("no target of this test", verdict=Verdict.MAY_HAVE_RUN)

    async def hand_over(timeout_ms):
        await curio.sleep(HAND_OVER_S)

    async def main():
        clock = entry.clock
        free_ms = clock.now_ms() + 100 + free_s * MS_PER_SECOND
        dispatcher = entry.dispatcher
        dispatcher.choose = lambda *_: row if clock.now_ms() >= free_ms else None
        dispatcher.usable_targets = lambda work: [row]
        dispatcher.attempts.launch = launch
        entry.orders.control = registry
        entry.accounts.hand_over_all = hand_over
        await order_as_it_stops(entry, stop_signal)

    run_with_virtual_sockets(main)
    assert len(launched) == count
    verdict = Verdict.MAY_HAVE_RUN if count else Verdict.NOT_RUN
    assert [message.verdict for message in registry.closes] == [verdict]
