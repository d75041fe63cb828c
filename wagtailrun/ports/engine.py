"""Port to the engines as the controller sees them: their state and orders to them."""

import enum
from abc import ABC, abstractmethod

import attrs

from wagtailrun.ports.link import Address
from wagtailrun.registry_messages import EngineOrder

__all__ = ["EngineClient", "EngineReply", "EngineState"]


class EngineReply(enum.StrEnum):
    """How an engine answered an order."""

    ACCEPTED = "accepted"
    STALE_FENCE = "stale-fence"


@attrs.frozen
class EngineState:
    """What an engine reports of itself.

    Attributes:
        model: Model that it holds, or empty.
        adapters: Adapters that it holds.
        role: Role that it has, or empty.
        loading: Models and adapters that it is loading now.
    """

    model: str = ""
    adapters: frozenset[str] = frozenset()
    role: str = ""
    loading: frozenset[str] = frozenset()


class EngineClient(ABC):
    """Reads the state of engines and gives them orders."""

    @abstractmethod
    async def read_state(self, address: Address, timeout_ms: int) -> EngineState:
        """Return the state of an engine; raises ``TargetFailed``."""

    @abstractmethod
    async def send(
        self, address: Address, order: EngineOrder, timeout_ms: int
    ) -> EngineReply:
        """Send one order on a new connection; it is never repeated.

        Args:
            address: Engine.
            order: Order; its fencing token goes with it.
            timeout_ms: Time limit of the whole exchange, in milliseconds.

        Raises:
            TargetFailed: With the verdict "not run" only if no byte was sent or the
                engine said so.
        """
