"""An engine in trouble goes on with a stream without end, in comments."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import case  # noqa: E402

STREAM_TIMEOUT_MS = 3000
# Requesters wait longer than the route allows, so that the entry has to end requests.
STREAM_DEADLINE_S = 8.0
# The rule: no final answer half a second after the route's timeout.
SLACK_S = 0.5
STREAMS = 48
# 24 Mbit/s for a channel.
FLOOD_BYTES_PER_S = 3_000_000


def manifest():
    """Return the manifest: one route of streams."""
    return case.manifest(
        1,
        [
            case.route(
                "letters", "/letter/", "streaming", "llm", timeout_ms=STREAM_TIMEOUT_MS
            )
        ],
        ["llm"],
    )


async def play(each):
    """Send streams; one engine of four is in trouble."""
    mode = "comments" if each.trouble else "stream"
    rows = [
        each.new_engine(
            f"i-llm-{number}",
            "llm",
            mode if number == 1 else "stream",
            slots=64,
            flood_bytes_per_s=FLOOD_BYTES_PER_S,
        )
        for number in (1, 2, 3, 4)
    ]
    await each.begin(manifest(), rows)
    # The first answer of the engine in trouble would not end.
    await asyncio.sleep(3.0)
    streams = [
        asyncio.create_task(each.send("/letter/a", limit_s=STREAM_DEADLINE_S))
        for _ in range(STREAMS)
    ]
    answers = [await task for task in streams]
    timeout_s = STREAM_TIMEOUT_MS / 1000
    longer = [a for a in answers if a.took_s >= timeout_s]
    overdue = [a for a in longer if a.took_s >= timeout_s + SLACK_S]
    each.record.write(
        f"{len(longer)} of {len(answers)} streams lasted longer than their route's "
        f"timeout; {len(overdue)} of them had no end {SLACK_S} s later"
    )
    if len(overdue) >= 8 and len(overdue) > len(longer) / 4:
        return f"{len(overdue)} streams had no end {SLACK_S} s after their timeout"
    return ""


case.run(Path(__file__).parent, play)
