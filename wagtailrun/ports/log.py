"""Port to the replicated log and its state machine."""

from abc import ABC, abstractmethod
from typing import Any

from wagtailrun.ports.link import Address

__all__ = ["NO_CLUSTER", "ReplicatedLog", "StateMachine"]

# Said of a member, in place of the reason, which has several lines.
NO_CLUSTER = "belongs to no cluster; event 510 in its log says why"


class StateMachine(ABC):
    """Deterministic state machine, replicated at every control member."""

    @abstractmethod
    def apply(self, index: int, command: bytes) -> Any:
        """Apply one committed command and return its result.

        Args:
            index: Position in the log; increases by one with each command.
            command: Encoded command message.
        """

    @abstractmethod
    def snapshot(self) -> bytes:
        """Return the whole state, for ``restore``."""

    @abstractmethod
    def restore(self, data: bytes) -> None:
        """Replace the state by that of a ``snapshot``."""


class ReplicatedLog(ABC):
    """Log of commands that a quorum of control members agrees on."""

    @abstractmethod
    async def propose(self, command: bytes, timeout_ms: int) -> Any:
        """Commit ``command`` and return the result of applying it.

        Raises:
            ConsensusUnavailable: If this member is not the leader, or no quorum
                answered in time; ``may_have_committed`` says whether the command may
                still take effect.
        """

    @abstractmethod
    async def barrier(self, timeout_ms: int) -> None:
        """Return once the local state holds everything committed before the call.

        Raises:
            ConsensusUnavailable: If this member is not the leader with a valid lease.
        """

    @property
    @abstractmethod
    def is_leader(self) -> bool:
        """Whether this member is the leader and its lease is valid now."""

    @property
    @abstractmethod
    def leadership(self) -> int:
        """Number of the present leadership of this member, 0 if it is not the leader.

        While it stays the same, no other member adds commands to the log, and those of
        earlier leaders precede all that this member proposes.
        """

    @property
    @abstractmethod
    def leader_address(self) -> Address | None:
        """Peer address of the leader, None if this member knows none."""

    @property
    def cluster_detail(self) -> str:
        """Why this member belongs to no cluster, for operators; empty if it does."""
        return ""
