"""Tests of what entries tell each other of silent targets of plain services."""

import types

import pytest

from tests.test_relay_choice import row
from tests.test_relay_experiments import CALLS, HEAD, ORDERS, fault
from tests.test_relay_experiments import play as play_with
from wagtailrun.exceptions import PeerUnreachable
from wagtailrun.relay.core.placement_messages import RunNoted
from wagtailrun.relay.placement.choice import TargetChooser
from wagtailrun.relay.placement.silence_news import SilenceNews, is_silence_news
from wagtailrun.virtual_time import run_virtual

ON = "desk-east-0"
ENTRIES = 8
START_S = 14


def lost_orders(directory, seed):
    """Return the orders that are lost at a target that stands still for 8 s.

    Each entry has 1.5 requests a second, so that most have none there in a second.
    """
    text = HEAD.replace("count = 2 }", f"count = {ENTRIES} }}").replace("= 20", "= 26")
    load = CALLS.replace("15", "6") + ORDERS.replace("= 3", "= 6")
    pause = fault("pause-target", ON, "for_s = 8").replace("= 5", f"= {START_S}")
    records = play_with(directory, text + load + pause, seed)
    lost = [r for r in records.requests if r.outcome != "served"]
    assert {r.kind for r in lost} <= {"order"}
    return lost


def test_entries_send_no_orders_to_a_target_that_is_silent_for_others(tmp_path):
    """Load: many entries, few orders, and a target that stands still.

    Guards against orders that each entry loses until it has found out by itself.
    """
    lost = [order for seed in (1, 2, 3) for order in lost_orders(tmp_path, seed)]
    # Until one request has had no answer for 0.5 s, nobody knows.
    assert lost and len(lost) <= 4
    assert all(order.sent_at_ms < START_S * 1_000 + 1_500 for order in lost)


class News:
    """Two entries that know of one target.

    Attributes:
        sent: Messages, with the addresses to which they were sent.
    """

    def __init__(self, clock):
        self.sent = []
        self.row = row(1)
        self.entries = [
            types.SimpleNamespace(name=name, address=f"at-{name}") for name in "ab"
        ]
        self.healths = [TargetChooser(clock, "a", seed=1).health for _ in "ab"]
        self.a, self.b = (
            SilenceNews(
                clock,
                self,
                entry.name,
                types.SimpleNamespace(entries=lambda: self.entries),
                lambda service: [self.row],
                health,
            )
            for entry, health in zip(self.entries, self.healths, strict=True)
        )

    async def call(self, address, message, timeout_ms):
        assert is_silence_news(message)
        self.sent.append((address, message))
        if address != "at-b":
            raise PeerUnreachable(address)
        return self.b.handle(message)


def run_news(steps):
    async def main(clock):
        news = News(clock)
        await clock.sleep_ms(1_000)
        await steps(clock, news)
        return news

    return run_virtual(main)


def test_silence_is_told_once():
    """Guards against a message for each of the requests at a silent target."""

    async def steps(clock, news):
        since_ms = clock.now_ms() - 500
        for _ in range(10):
            await news.a.tell(news.row, since_ms)
        await clock.sleep_ms(100)

    news = run_news(steps)
    assert [address for address, _ in news.sent] == ["at-b"]
    states = [health.states_by_name["t1"] for health in news.healths]
    assert [state.unproven for state in states] == [1, 1]


@pytest.mark.parametrize(("answered_ms", "believes"), [(-600, True), (-400, False)])
def test_entry_believes_its_own_answers(answered_ms, believes):
    """Guards against a healthy target that is left because of one request, or path."""

    async def steps(clock, news):
        await clock.sleep_ms(1_000)
        await clock.sleep_ms(1_000 + answered_ms)
        news.healths[1].record_success(news.row, None)
        await clock.sleep_ms(-answered_ms)
        await news.a.tell(news.row, clock.now_ms() - 500)
        await clock.sleep_ms(100)

    state = run_news(steps).healths[1].states_by_name["t1"]
    assert bool(state.unproven) is believes


def test_news_of_unknown_targets_and_lost_messages_change_nothing():
    """Guards against errors by targets that have left, and entries that have ended."""

    async def steps(clock, news):
        gone = row(2)
        await news.a.tell(gone, clock.now_ms() - 500)
        await news.b.tell(gone, clock.now_ms() - 500)
        await clock.sleep_ms(100)
        _, message = news.sent[0]
        assert news.b.handle(message) == RunNoted(False)

    news = run_news(steps)
    assert [address for address, _ in news.sent] == ["at-b", "at-a"]
