"""Numbered log events of the replicated log; see ``events``."""

from absl import logging

from wagtailrun.logs.event_log import define_event as _event

__all__ = [
    "BECAME_LEADER",
    "CLUSTER_AWAITED",
    "CLUSTER_FOUNDED",
    "CLUSTER_MEMBERSHIP_CHANGED",
    "DISK_FULL",
    "DISK_SPACE_AVAILABLE",
    "ELECTION_LOST",
    "FOUNDING_ORDERED",
    "FOUNDING_REFUSED",
    "MEMBER_FAULT",
    "MEMBER_RECOVERED",
    "STEPPED_DOWN",
]

CLUSTER_FOUNDED = _event(
    500,
    logging.INFO,
    "This member founded the cluster with other seeds; members are the first voters.",
    limited=False,
)
BECAME_LEADER = _event(
    501, logging.INFO, "This member became the leader.", limited=False
)
STEPPED_DOWN = _event(
    502, logging.INFO, "This member is no longer the leader.", limited=False
)
CLUSTER_MEMBERSHIP_CHANGED = _event(
    503,
    logging.INFO,
    "The leader appended a new configuration of members.",
    limited=False,
)
MEMBER_FAULT = _event(
    504,
    logging.WARNING,
    "The consensus member stopped; it neither votes nor acknowledges until it starts.",
    "Read the detail; event 505, 624 or 625 says how it starts again by itself.",
)
DISK_FULL = _event(
    505,
    logging.WARNING,
    "The disk has no space left; the process goes on without it until there is some.",
    "Free space on the disk that holds the data folder.",
    limited=False,
)
DISK_SPACE_AVAILABLE = _event(
    506,
    logging.INFO,
    "The disk has space again, and its files are opened again.",
    limited=False,
)
MEMBER_RECOVERED = _event(
    507,
    logging.INFO,
    "The consensus member has read its files.",
    limited=False,
)
ELECTION_LOST = _event(
    508,
    logging.INFO,
    "An election of this member ended without a quorum.",
)
FOUNDING_REFUSED = _event(
    509,
    logging.WARNING,
    "This member does not found a cluster with its seeds.",
    "Read the detail; give all seeds the same list, each address once.",
    limited=False,
)
CLUSTER_AWAITED = _event(
    510,
    logging.WARNING,
    "This member belongs to no cluster: none is founded, or none has admitted it.",
    "Do what remedy says; may_found names the members that may found a cluster, and "
    "answers what each other member answered.",
)
FOUNDING_ORDERED = _event(
    511,
    logging.WARNING,
    "An operator ordered this member to found a cluster; accepted tells the result.",
    "If accepted is false, see detail; if audited is false, repeat the order.",
    limited=False,
)
