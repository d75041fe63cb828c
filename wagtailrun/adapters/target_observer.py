"""Port by which an entry decides about requests to servers and learns of answers."""

from abc import ABC, abstractmethod
from typing import Protocol

import attrs

from wagtailrun.ports.link import Address
from wagtailrun.targets.table import TargetRow

__all__ = ["ObservedAnswer", "SendPermit", "TargetObserver"]


@attrs.frozen
class SendPermit:
    """Permission to send one request to a server that limits its requests.

    Attributes:
        target: The server.
        expires_ms: Until when it may be sent; 0 if the server needed no permit.
        number: Number of the request; 0 if it takes no slot of the server.
        granted_ms: When it was granted; 0 if the server needed no permit.
    """

    target: TargetRow
    expires_ms: int
    number: int = 0
    granted_ms: int = 0


class ObservedAnswer(Protocol):
    """Head of an answer, as far as it says something about the server.

    Attributes:
        status: HTTP status.
        headers: Headers by name.
        header_pairs: All headers as received, as pairs of name and value.
    """

    status: int
    headers: dict[str, str]
    header_pairs: tuple[tuple[bytes, bytes], ...]

    @property
    def carrier(self) -> Address | None:
        """Peer that carries the connection to the server; None if it is direct."""


class TargetObserver(ABC):
    """Decides about requests to servers by what their answers say about them."""

    @abstractmethod
    async def request_permit(
        self, address: Address, urgency: int, takes_slot: bool, requests: int
    ) -> SendPermit | None:
        """Permit a request before a connection is opened for it.

        Args:
            address: Address of the server.
            urgency: Rank of the request, 0 to 9; 0 goes first.
            takes_slot: Whether the request waits for a slot of the server and takes it.
            requests: Requests that it counts as.

        Returns:
            None if the server needs no permits.

        Raises:
            TargetPaused: If the server must not get a request yet.
        """

    @abstractmethod
    def check(self, address: Address, permit: SendPermit | None) -> None:
        """Check a permit again when the request is about to be sent.

        Raises:
            TargetPaused: If the server must not get the request now.
            SendForbidden: If it must not get any work.
        """

    @abstractmethod
    async def record_end(self, permit: SendPermit | None, completed: bool) -> None:
        """Record the end of a request that was permitted, sent or not.

        Args:
            permit: Its permit.
            completed: Whether its answer was read to the end, or it was not sent.
        """

    @abstractmethod
    async def record_answer(
        self, address: Address, stream: ObservedAnswer, sent_ms: int
    ) -> None:
        """Record the head of an answer to a request that was sent at ``sent_ms``."""
