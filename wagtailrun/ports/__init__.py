"""Abstract interfaces to disk, peers, targets and the replicated log."""

from wagtailrun.ports.disk import Disk
from wagtailrun.ports.link import Address, PeerLink
from wagtailrun.ports.log import ReplicatedLog, StateMachine
from wagtailrun.ports.target import Attempt, StageAnswer, TargetClient, Token

__all__ = [
    "Address",
    "Attempt",
    "Disk",
    "PeerLink",
    "ReplicatedLog",
    "StageAnswer",
    "StateMachine",
    "TargetClient",
    "Token",
]
