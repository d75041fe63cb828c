"""An engine in trouble sends bytes that are no answer, without end, in a body."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import case  # noqa: E402

ORDER_TIMEOUT_MS = 1000
STREAM_TIMEOUT_MS = 3000
# Requesters wait longer than the routes allow, so that the entry has to end requests.
DEADLINE_S = 6.0
STREAM_DEADLINE_S = 10.0
# The rule: no answer half a second after the route's timeout.
SLACK_S = 0.5
STREAMS = 20
ORDERS = 24
ORDER_GAP_S = 0.25
# 32 Mbit/s for a channel.
FLOOD_BYTES_PER_S = 4_000_000


def manifest():
    """Return the manifest: orders at one service, streams at another."""
    routes = [
        case.route(
            "orders",
            "/order/",
            "non_idempotent",
            "desk",
            timeout_ms=ORDER_TIMEOUT_MS,
            target_latency_ms=200,
        ),
        case.route(
            "letters", "/letter/", "streaming", "llm", timeout_ms=STREAM_TIMEOUT_MS
        ),
    ]
    return case.manifest(1, routes, ["desk", "llm"])


async def play(each):
    """Send streams, one engine of four in trouble, and orders to sound engines."""
    mode = "newlines" if each.trouble else "stream"
    rows = [each.new_engine(f"i-desk-{n}", "desk", "order") for n in (1, 2)]
    for number in (1, 2, 3, 4):
        rows.append(
            each.new_engine(
                f"i-llm-{number}",
                "llm",
                mode if number == 1 else "stream",
                slots=64,
                flood_bytes_per_s=FLOOD_BYTES_PER_S,
            )
        )
    await each.begin(manifest(), rows)
    await each.until_served("/order/first")
    streams = [
        asyncio.create_task(each.send("/letter/a", limit_s=STREAM_DEADLINE_S))
        for _ in range(STREAMS)
    ]
    await asyncio.sleep(0.5)
    orders = []
    for _ in range(ORDERS):
        orders.append(asyncio.create_task(each.send("/order/a", limit_s=DEADLINE_S)))
        await asyncio.sleep(ORDER_GAP_S)
    orders = [await task for task in orders]
    streams = [await task for task in streams]
    await after(each)
    return verdict(each, orders, streams)


async def after(each):
    """Record how long the entry takes to serve again once all have left."""
    started_s = time.monotonic()
    answer = await each.send("/order/after", limit_s=10.0)
    took_s = time.monotonic() - started_s
    each.record.write(f"order after all: status {answer.status} in {took_s:.1f} s")


def verdict(each, orders, streams):
    """Return why the rule was broken, or nothing."""
    due, late = 0, 0
    for answers, timeout_ms in (
        (orders, ORDER_TIMEOUT_MS),
        (streams, STREAM_TIMEOUT_MS),
    ):
        timeout_s = timeout_ms / 1000
        unanswered = [a for a in answers if a.took_s >= timeout_s]
        overdue = [a for a in unanswered if a.took_s >= timeout_s + SLACK_S]
        due, late = due + len(unanswered), late + len(overdue)
    stuck = sum(not order.status for order in orders)
    each.record.write(
        f"{late} of {due} requests that were unanswered at their route's timeout had "
        f"no end {SLACK_S} s later; {stuck} of {len(orders)} orders to sound engines "
        "had no answer at all"
    )
    if late >= 8 and late > due / 2:
        return f"{late} of {due} unanswered requests had no end {SLACK_S} s later"
    return ""


case.run(Path(__file__).parent, play)
