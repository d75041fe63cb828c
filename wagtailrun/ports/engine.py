"""Port to the engines, for their controller: reads their state, sends engine orders."""

import enum
from abc import ABC, abstractmethod

import attrs

from wagtailrun.ports.link import Address
from wagtailrun.registry.messages import EngineOrder

__all__ = ["EngineClient", "EngineReply", "EngineState"]


class EngineReply(enum.StrEnum):
    """Answer of an engine to an engine order."""

    ACCEPTED = "accepted"
    STALE_FENCE = "stale-fence"


@attrs.frozen
class EngineState:
    """State that an engine reports.

    Attributes:
        model: Model that is loaded, or empty.
        adapters: Adapters that are loaded.
        role: Assigned role, or empty.
        loading: Models and adapters that are being loaded.
    """

    model: str = ""
    adapters: frozenset[str] = frozenset()
    role: str = ""
    loading: frozenset[str] = frozenset()


class EngineClient(ABC):
    """Reads the state of engines and sends them engine orders."""

    @abstractmethod
    async def read_state(self, address: Address, timeout_ms: int) -> EngineState:
        """Return the state of an engine; raises ``TargetFailed``."""

    @abstractmethod
    async def send(
        self, address: Address, order: EngineOrder, timeout_ms: int
    ) -> EngineReply:
        """Send one engine order on a new connection; it is never retried.

        Args:
            address: Address of the engine.
            order: Engine order, sent with its fencing number.
            timeout_ms: Time limit of the whole exchange, in milliseconds.

        Raises:
            TargetFailed: With the verdict ``not-run`` only if no byte was sent or the
                engine answered with it.
        """
