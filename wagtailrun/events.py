"""Numbered log events; ``docs/events.md`` is the catalogue."""

import json
from typing import Any

import attrs
from absl import logging

__all__ = ["EVENTS_BY_NUMBER", "Event", "log"]

EVENTS_BY_NUMBER: dict[int, "Event"] = {}


@attrs.frozen
class Event:
    """One kind of log line.

    Attributes:
        number: Stable number of the event.
        level: absl logging level.
        meaning: One sentence; the catalogue holds the same.
    """

    number: int
    level: int
    meaning: str


def _event(number: int, level: int, meaning: str) -> Event:
    event = Event(number, level, meaning)
    if number in EVENTS_BY_NUMBER:
        raise ValueError(f"event number {number} is taken")
    EVENTS_BY_NUMBER[number] = event
    return event


PROCESS_STARTED = _event(100, logging.INFO, "A process started.")
PROCESS_STOPPED = _event(101, logging.INFO, "A process stopped.")
DRAIN_STARTED = _event(102, logging.INFO, "A planned stop began.")
PEER_REJECTED = _event(200, logging.WARNING, "A peer connection was rejected.")
HANDLER_FAILED = _event(201, logging.ERROR, "A request handler raised an error.")


def log(event: Event, **fields: Any) -> None:
    """Write one line: number, meaning, then the fields as JSON.

    Args:
        event: Which event.
        **fields: Values that JSON can hold; never bodies or secrets.
    """
    text = json.dumps(fields, default=str, sort_keys=True)
    logging.log(event.level, "E%04d %s %s", event.number, event.meaning, text)
