"""Lines of logs as the relay daemons write them, for tests of what reads logs."""

import json

from wagtailrun.logs import events

__all__ = ["START_S", "SUMS", "call", "line", "request", "started", "step"]

START_S = 1_700_000_000
SUMS = {"steps": 4, "batch": 4, "slots": 1, "queued_ms": 300, "memory_ms": 100}
SUMS |= {"calls_ms": 800}


def line(at_s, event, process="front-1", **fields):
    """Return a line of an event."""
    head = {"time": START_S + at_s, "process": process, "event": event.number}
    return json.dumps(head | {"level": "info", "message": event.meaning, **fields})


def call(at_s, process="front-1", **fields):
    """Return the line of a stage call that ended."""
    values = {"service": "s", "target": "t1", "pieces": 2, "requests": 1}
    values |= {"left_waiting": 3, "held_bytes": 1_000_000, "took_ms": 400}
    values |= {"expected_ms": 300, "failure": "", **fields}
    return line(at_s, events.STAGE_CALL_ENDED, process, **values)


def request(at_s, process="front-1", **fields):
    """Return the line of a request that ended."""
    values = {"request_id": "r", "route": "a", "outcome": "answered", "status": 200}
    values |= {"took_ms": 900, "first_ms": 500, "aim_ms": 600, "staged_ms": 300}
    return line(at_s, events.RELAY_ENDED, process, **(values | fields))


def step(at_s, process="front-1", **fields):
    """Return the line of a step that was done late."""
    values = {"request_id": "r", "step": 0, "service": "s", "state": "done"}
    values |= {"pieces": 1, **fields}
    return line(at_s, events.STEP_ENDED, process, **values)


def started(process="front-1"):
    """Return the first lines of a process that knows one entry and one target."""
    known = line(-9, events.ENTRY_LIVENESS_CHANGED, process, entry="front-1", live=True)
    target = line(
        -9, events.TARGET_STATE_CHANGED, process, service="s", target="t2", address=""
    )
    return [line(-10, events.PROCESS_STARTED, process), known, target]
