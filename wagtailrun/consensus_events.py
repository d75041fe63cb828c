"""Log events of the consensus among control members."""

from absl import logging

from wagtailrun.events import EVENTS_BY_NUMBER, Event

__all__ = [
    "BECAME_LEADER",
    "CLUSTER_FOUNDED",
    "CONFIGURATION_CHANGED",
    "MEMBER_FAULT",
    "STEPPED_DOWN",
]

CLUSTER_FOUNDED = Event(
    300, logging.INFO, "This member founded the cluster of the bootstrap list."
)
BECAME_LEADER = Event(301, logging.INFO, "This member became the leader.")
STEPPED_DOWN = Event(302, logging.INFO, "This member stopped leading.")
CONFIGURATION_CHANGED = Event(
    303, logging.INFO, "The leader appended a new configuration of members."
)
MEMBER_FAULT = Event(
    304,
    logging.ERROR,
    "This member stopped for good: it neither votes nor acknowledges any more.",
)

for _event in (
    CLUSTER_FOUNDED,
    BECAME_LEADER,
    STEPPED_DOWN,
    CONFIGURATION_CHANGED,
    MEMBER_FAULT,
):
    if EVENTS_BY_NUMBER.setdefault(_event.number, _event) is not _event:
        raise ValueError(f"event number {_event.number} is taken")
