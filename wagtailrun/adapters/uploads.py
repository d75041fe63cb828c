"""Sends requests whose bodies are large, while their answers may already arrive."""

from collections.abc import Callable, Sequence
from typing import Any

import curio
import h11

from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.exceptions import TargetFailed
from wagtailrun.process.fairness import Turns

__all__ = ["Upload"]

READ_BYTES = 64 * 1024


class Upload:
    """A request that is being sent on a connection.

    A server may answer before it has read the body, and read on or not (RFC 9112,
    section 9.5). Whatever ends the connection meanwhile is noticed by the write or by
    the read, not by both: after a write that failed, the end of the bytes received may
    be a reset.

    Args:
        sock: Socket of curio, or an object that is used like one.
        parts: Bytes of the request.
        take_answer: Takes bytes of the server, empty for their end; returns whether
            they complete the head of the answer, or end.
    """

    def __init__(
        self, sock: Any, parts: Sequence[bytes], take_answer: Callable[[bytes], bool]
    ):
        self.sock = sock
        self.parts = parts
        self.take_answer = take_answer
        # Whether the socket took the whole request, and why not.
        self.is_complete = False
        self.failure: OSError | None = None
        # Why nothing can be received any more.
        self.receive_failure: OSError | h11.RemoteProtocolError | None = None
        # Set at the end of the request or the head of an answer.
        self.progress = curio.Event()
        self.writer: curio.Task | None = None

    async def send_until_answered(self, timeout_ms: int) -> None:
        """Send until the end of the request, a failure, or the head of an answer.

        Beside an answer, the rest is sent until ``stop``.

        Args:
            timeout_ms: Time limit, in milliseconds.

        Raises:
            TargetFailed: If the time is over, or nothing can be received any more.
        """
        self.writer = await curio.spawn(self._write, daemon=True)
        receiver = await curio.spawn(self._receive, daemon=True)
        try:
            async with curio.timeout_after(timeout_ms / MS_PER_SECOND):
                await self.progress.wait()
        except curio.TaskTimeout as error:
            raise TargetFailed(
                f"the request was not taken in {timeout_ms} ms", timed_out=True
            ) from error
        finally:
            await receiver.cancel()
        if self.receive_failure is not None:
            raise TargetFailed(
                str(self.receive_failure),
                closed=isinstance(self.receive_failure, OSError),
            ) from self.receive_failure

    async def stop(self) -> None:
        """Send no more; the connection must not be used again if bytes are missing."""
        if self.writer is not None:
            await self.writer.cancel()
            self.writer = None

    async def _write(self) -> None:
        try:
            for part in self.parts:
                await self.sock.sendall(part)
            self.is_complete = True
        except OSError as error:
            self.failure = error
        self.parts = ()
        await self.progress.set()

    async def _receive(self) -> None:
        """Receive bytes up to the head of an answer.

        What was received is taken before this task can be cancelled.
        """
        turns = Turns()
        try:
            while not self.take_answer(data := await self.sock.recv(READ_BYTES)):
                await turns.take(len(data))
        except (OSError, h11.RemoteProtocolError) as error:
            self.receive_failure = error
        await self.progress.set()
