"""Port to the engines, for their controller: reads their state, sends engine orders."""

import enum
from abc import ABC, abstractmethod

import attrs

from wagtailrun.ports.link import Address

__all__ = [
    "EngineClient",
    "EngineOrder",
    "EngineOrderKind",
    "EngineOrderState",
    "EngineReply",
    "EngineState",
]


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


class EngineOrderKind(enum.StrEnum):
    """Operation that an engine performs on the model, adapter or role of an order."""

    LOAD_MODEL = "load-model"
    LOAD_ADAPTER = "load-adapter"
    UNLOAD_ADAPTER = "unload-adapter"
    SET_ROLE = "set-role"


class EngineOrderState(enum.StrEnum):
    """State of an engine order."""

    OPEN = "open"
    DONE = "done"
    NOT_RUN = "not-run"
    FAILED = "failed"
    SUPERSEDED = "superseded"


@attrs.frozen
class EngineOrder:
    """One order to one engine.

    Attributes:
        order_id: Identifier, unique among all engine orders.
        target: Name of the engine.
        service: Service of the engine.
        data_centre: Data centre of the engine, whose budget of weight loads it uses.
        kind: Value of ``EngineOrderKind``.
        subject: Model, adapter or role.
        fence: Fencing token under which it was recorded.
        state: Value of ``EngineOrderState``.
        put_ms: Wall time of the record, in milliseconds.
        closed_ms: Wall time of the end, in milliseconds; 0 while it is open.
    """

    order_id: str
    target: str
    service: str
    data_centre: str
    kind: str
    subject: str
    fence: int = 0
    state: str = EngineOrderState.OPEN
    put_ms: int = 0
    closed_ms: int = 0


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
