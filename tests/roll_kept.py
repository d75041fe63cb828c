"""Callers that keep their connections, for ``tests.roll``."""

import select
from typing import Any

import curio
import h11

READ_BYTES = 65_536


class KeptConnection:
    """Connection that carries one request after another until its end is announced.

    Args:
        sock: Socket of curio, connected to an entry.
        away_ms: How long before its bytes arrive a request is sent, as by a caller some
            way off: what the entry sends meanwhile is not known to it.
    """

    def __init__(self, sock: Any, away_ms: int):
        self.sock = sock
        self.away_ms = away_ms
        self.parser = h11.Connection(h11.CLIENT)
        self.was_used = False

    def is_ended(self) -> bool:
        """Return whether the entry closed the connection, as far as is known here."""
        poll = select.poll()
        poll.register(self.sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    async def exchange(self, data: bytes, received: bytearray) -> bool:
        """Send a request; return whether another one may follow its answer.

        Args:
            data: The request.
            received: Gets the bytes of the answer as they arrive.

        Raises:
            OSError: If the connection failed.
        """
        await curio.sleep(self.away_ms / 1_000)
        await self.sock.sendall(data)
        self.parser.send(
            h11.Request(method="POST", target="/", headers=[("Host", "a")])
        )
        self.parser.send(h11.EndOfMessage())
        while not isinstance(event := self._next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                piece = await self.sock.recv(READ_BYTES)
                if not piece:
                    return False
                received += piece
                self.parser.receive_data(piece)
        if self.parser.their_state is not h11.DONE:
            return False
        self.parser.start_next_cycle()
        self.was_used = True
        return True

    def _next_event(self) -> Any:
        try:
            return self.parser.next_event()
        except h11.RemoteProtocolError as error:
            raise OSError(str(error)) from error
