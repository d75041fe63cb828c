"""Fake peer network in virtual time with delays, loss, duplication and partitions."""

import random

import curio

from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.codec import decode, encode
from wagtailrun.exceptions import PeerUnreachable
from wagtailrun.messages import STOPPING, PeerError
from wagtailrun.ports.link import Address, Handler, PeerLink


class FakeNetwork:
    """Delivers messages to the handlers that are registered by address.

    Args:
        clock: Virtual clock.
        seed: Seed of all delays, losses and duplications.
        delay_ms: Shortest and longest one-way delay, in milliseconds.
        loss: Probability that a message in one direction is lost.
        duplication: Probability that a request is delivered a second time.
    """

    def __init__(self, clock, seed=0, delay_ms=(1, 5), loss=0.0, duplication=0.0):
        self.clock = clock
        self.random = random.Random(seed)
        self.delay_ms = delay_ms
        self.loss = loss
        self.duplication = duplication
        self.handlers_by_address: dict[Address, Handler] = {}
        self.cuts: set[tuple[Address, Address]] = set()
        self.bytes_per_ms_by_address: dict[Address, float] = {}
        self.link_free_ms_by_address: dict[Address, float] = {}
        self.frozen: set[Address] = set()
        # Processes that lack descriptors, and the connections that they could not open.
        self.short: set[Address] = set()
        self.refused = 0
        self.messages = 0
        self.bytes = 0

    def link(self, source: Address) -> "FakeLink":
        return FakeLink(self, source)

    def cut(self, source: Address, destination: Address, both_ways=True) -> None:
        """Drop all messages from ``source`` to ``destination``."""
        self.cuts.add((source, destination))
        if both_ways:
            self.cuts.add((destination, source))

    def limit_rate(self, destination: Address, bytes_per_ms: float) -> None:
        """Deliver messages to ``destination`` one after another at this rate."""
        self.bytes_per_ms_by_address[destination] = bytes_per_ms

    async def _queue(self, destination: Address, size: int) -> None:
        """Wait until the link of ``destination`` has carried ``size`` more bytes.

        Bytes of a call that its caller gives up have been sent, too.
        """
        rate = self.bytes_per_ms_by_address.get(destination)
        if rate:
            now_ms = self.clock.now_ms()
            free_ms = max(self.link_free_ms_by_address.get(destination, 0), now_ms)
            free_ms += size / rate
            self.link_free_ms_by_address[destination] = free_ms
            await self.clock.sleep_ms(free_ms - now_ms)

    def heal(self) -> None:
        self.cuts.clear()

    async def transmit(
        self, source: Address, destination: Address, frame: bytes
    ) -> bool:
        """Wait for the one-way delay and return whether the frame arrives."""
        self.messages += 1
        self.bytes += len(frame)
        await self._queue(destination, len(frame))
        await self.clock.sleep_ms(self.random.randint(*self.delay_ms))
        while source in self.frozen or destination in self.frozen:
            await self.clock.sleep_ms(10)
        lost = self.random.random() < self.loss
        return not lost and (source, destination) not in self.cuts

    async def round_trip(self, source: Address, destination: Address, frame: bytes):
        """Deliver a request and return the reply.

        If a message is lost, it waits for longer than any timeout of a caller.

        Raises:
            PeerUnreachable: If there is no handler or it raised an error.
        """
        if not await self.transmit(source, destination, frame):
            await curio.sleep(3_600)
        handler = self.handlers_by_address.get(destination)
        if handler is None:
            raise PeerUnreachable(f"{destination} refuses connections", sent=False)
        if self.random.random() < self.duplication:
            await curio.spawn(handler, decode(frame), daemon=True)
        # A task of its own, so that the handler continues after the caller's timeout.
        task = await curio.spawn(handler, decode(frame), daemon=True)
        try:
            reply = encode(await task.join())
        except curio.TaskError as error:
            raise PeerUnreachable(f"peer failed: {error.__cause__!r}") from error
        if not await self.transmit(destination, source, reply):
            await curio.sleep(3_600)
        return decode(reply)


class FakeLink(PeerLink):
    """Link of one process on a fake network."""

    def __init__(self, network: FakeNetwork, source: Address):
        self.network = network
        self.source = source

    async def call(self, address, message, timeout_ms):
        frame = encode(message)
        if self.source in self.network.short:
            self.network.refused += 1
            raise PeerUnreachable("no descriptor", sent=False, shortage=True)
        try:
            async with curio.timeout_after(timeout_ms / MS_PER_SECOND):
                reply = await self.network.round_trip(self.source, address, frame)
        except curio.TaskTimeout as error:
            raise PeerUnreachable(f"no reply from {address}", timed_out=True) from error
        if isinstance(reply, PeerError):
            is_stopping = reply.reason == STOPPING
            raise PeerUnreachable(reply.detail, stopping=is_stopping)
        return reply
