"""Fake peer network in virtual time: delay, loss, duplication, one-way cuts."""

import random

import curio

from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.codec import decode, encode
from wagtailrun.exceptions import PeerUnreachable
from wagtailrun.ports.link import Address, Handler, PeerLink


class FakeNetwork:
    """Delivers messages between handlers registered by address.

    Args:
        clock: Virtual clock.
        seed: Seed of all delays, losses and duplications.
        delay_ms: Shortest and longest one-way delay.
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
        self.frozen: set[Address] = set()
        self.messages = 0
        self.bytes = 0

    def link(self, source: Address) -> "FakeLink":
        return FakeLink(self, source)

    def cut(self, source: Address, destination: Address, both_ways=True) -> None:
        """Drop everything from ``source`` to ``destination``."""
        self.cuts.add((source, destination))
        if both_ways:
            self.cuts.add((destination, source))

    def heal(self) -> None:
        self.cuts.clear()

    async def transmit(
        self, source: Address, destination: Address, frame: bytes
    ) -> bool:
        """Wait for the one-way delay; return whether the frame arrives."""
        self.messages += 1
        self.bytes += len(frame)
        await self.clock.sleep_ms(self.random.randint(*self.delay_ms))
        while source in self.frozen or destination in self.frozen:
            await self.clock.sleep_ms(10)
        lost = self.random.random() < self.loss
        return not lost and (source, destination) not in self.cuts

    async def round_trip(self, source: Address, destination: Address, frame: bytes):
        """Return the reply; never returns when a message was lost."""
        if not await self.transmit(source, destination, frame):
            await curio.sleep(3_600)
        handler = self.handlers_by_address.get(destination)
        if handler is None:
            raise PeerUnreachable(f"{destination} refuses connections", sent=False)
        if self.random.random() < self.duplication:
            await curio.spawn(handler, decode(frame), daemon=True)
        # The handler runs on when the caller's timeout ends the wait.
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
        try:
            async with curio.timeout_after(timeout_ms / MS_PER_SECOND):
                return await self.network.round_trip(self.source, address, frame)
        except curio.TaskTimeout as error:
            raise PeerUnreachable(f"no reply from {address}") from error
