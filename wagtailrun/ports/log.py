"""Port to the replicated log and the state machine that it drives."""

from abc import ABC, abstractmethod
from typing import Any

from wagtailrun.ports.link import Address

__all__ = ["ReplicatedLog", "StateMachine"]


class StateMachine(ABC):
    """Deterministic state that every control member holds a copy of."""

    @abstractmethod
    def apply(self, index: int, command: bytes) -> Any:
        """Apply one committed command and return its result.

        Args:
            index: Position in the log, growing by one.
            command: An encoded command message.
        """

    @abstractmethod
    def snapshot(self) -> bytes:
        """Return the whole state; ``restore`` of it gives an equal state."""

    @abstractmethod
    def restore(self, data: bytes) -> None:
        """Replace the state by the one in ``data``."""


class ReplicatedLog(ABC):
    """Log of commands that a quorum of control members agrees on."""

    @abstractmethod
    async def propose(self, command: bytes, timeout_ms: int) -> Any:
        """Commit ``command`` and return the result of applying it.

        Raises:
            ConsensusUnavailable: If this member does not lead, or no quorum answered
                in time; ``may_have_committed`` says whether the command may still
                take effect.
        """

    @abstractmethod
    async def barrier(self, timeout_ms: int) -> None:
        """Return once the local state holds everything committed before the call.

        Raises:
            ConsensusUnavailable: If this member does not lead under a valid lease.
        """

    @property
    @abstractmethod
    def is_leader(self) -> bool:
        """Whether this member leads under a lease that is valid now."""

    @property
    @abstractmethod
    def leader_address(self) -> Address | None:
        """Peer address of the leader that this member knows of."""
