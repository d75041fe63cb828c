"""Unreplicated log of a single process, for embedding and for tests."""

from typing import Any

from wagtailrun.ports.link import Address
from wagtailrun.ports.log import ReplicatedLog, StateMachine

__all__ = ["LocalLog"]


class LocalLog(ReplicatedLog):
    """Applies each command immediately; the state ends with the process.

    Args:
        machine: State machine that commands are applied to.
        address: Address to report as the leader's address.
    """

    def __init__(self, machine: StateMachine, address: Address | None = None):
        self.machine = machine
        self.address = address
        self.index = 0

    async def propose(self, command: bytes, timeout_ms: int) -> Any:
        """Apply ``command`` and return its result."""
        self.index += 1
        return self.machine.apply(self.index, command)

    async def barrier(self, timeout_ms: int) -> None:
        """Return immediately, since every command is applied when it is proposed."""

    @property
    def is_leader(self) -> bool:
        """Always True."""
        return True

    @property
    def leadership(self) -> int:
        """Always 1."""
        return 1

    @property
    def leader_address(self) -> Address | None:
        """Address given at construction."""
        return self.address
