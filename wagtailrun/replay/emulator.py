"""Emulated links to targets in virtual time, as an adapter of the target port."""

import itertools
import random
from collections import deque
from collections.abc import AsyncGenerator, AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import attrs
import curio

from wagtailrun.clock import MS_PER_SECOND, Clock
from wagtailrun.exceptions import ConnectFailed, TargetFailed
from wagtailrun.ports.link import Address
from wagtailrun.ports.target import Attempt, StageAnswer, TargetClient, Token
from wagtailrun.replay.emulated_connection import (
    FIRST_RETRANSMISSION_MS,
    KEEPALIVE_INTERVAL_MS,
    MAX_IDLE_PER_TARGET,
    SEND_TIMEOUT_MS,
    EmulatedConnection,
)
from wagtailrun.replay.emulated_target import EmulatedTarget, Job, TargetModel
from wagtailrun.targets.affinity import CacheEvents
from wagtailrun.targets.table import Membership, TargetRow

__all__ = ["EmulatedClient", "Emulator", "Observer", "TargetModel"]

CONNECT_TIMEOUT_MS = 1_000
ANNOUNCE_INTERVAL_MS = 1_000
# Targets announce in this many groups, spread over the interval.
ANNOUNCE_GROUPS = 4
# Longer than any replay.
FOREVER_S = 86_400


@attrs.define
class Observer:
    """A receiver of announcements."""

    data_centre: str
    membership: Membership
    on_cache_events: Callable[[TargetRow, CacheEvents], None] | None
    alive: bool = True


class Emulator:
    """All targets and the links to them, with fault injection.

    Args:
        clock: Virtual clock.
        seed: Seed of service times and lost cache events.
        report_lag_ms: Delay between the creation of a report and its delivery.
        cache_event_loss: Probability that the cache events of a report are lost.
        link_ms: One-way latency.
    """

    def __init__(
        self,
        clock: Clock,
        seed: int = 0,
        *,
        report_lag_ms: int = 500,
        cache_event_loss: float = 0.0,
        link_ms: float = 0.5,
    ):
        self.clock = clock
        self.random = random.Random(seed)
        self.report_lag_ms = report_lag_ms
        self.cache_event_loss = cache_event_loss
        self.link_ms = link_ms
        self.targets_by_address: dict[Address, EmulatedTarget] = {}
        self.targets_by_name: dict[str, EmulatedTarget] = {}
        self.observers: list[Observer] = []
        # Data centres whose messages, or messages to which, are lost.
        self.cut_outward: set[str] = set()
        self.cut_inward: set[str] = set()
        self.lost_reports_by_name: dict[str, float] = {}
        self.clients: list[EmulatedClient] = []
        self.reports: deque[tuple[int, TargetRow, CacheEvents | None]] = deque()

    async def add(
        self, name: str, service: str, data_centre: str, model: TargetModel
    ) -> EmulatedTarget:
        """Add a target and start it."""
        number = len(self.targets_by_name) + 1
        address = Address(f"127.0.{number // 250}.{number % 250 + 1}", 8_000)
        row = TargetRow(name, address, service, data_centre, model.capacity, 1)
        target = EmulatedTarget(row, model, self.random.randrange(2**32))
        self.targets_by_address[address] = target
        self.targets_by_name[name] = target
        await curio.spawn(target.run, daemon=True)
        return target

    def client(self, entry: str, data_centre: str) -> "EmulatedClient":
        """Return a new target client for one entry."""
        client = EmulatedClient(self, entry, data_centre)
        self.clients.append(client)
        return client

    def observe(
        self,
        data_centre: str,
        membership: Membership,
        on_cache_events: Callable[[TargetRow, CacheEvents], None] | None = None,
    ) -> Observer:
        """Deliver announcements to a membership, the current ones immediately.

        Targets that cannot announce themselves now are not among the current ones.
        """
        observer = Observer(data_centre, membership, on_cache_events)
        self.observers.append(observer)
        for target in self.targets_by_name.values():
            sender = target.row.data_centre
            if target.announces and not self.drops(sender, data_centre):
                membership.put(target.row, self.clock.now_ms())
        return observer

    async def run_reports(self) -> None:
        """Announce every target each second and deliver the reports with the lag."""
        # Reports in transit when the replay starts.
        for due_ms in range(0, self.report_lag_ms, ANNOUNCE_INTERVAL_MS):
            for target in self.targets_by_name.values():
                self.reports.append((due_ms, *target.announce()))
        for group in itertools.cycle(range(ANNOUNCE_GROUPS)):
            now_ms = self.clock.now_ms()
            for target in list(self.targets_by_name.values())[group::ANNOUNCE_GROUPS]:
                if target.announces and not self._loses_report(target):
                    self.reports.append(
                        (now_ms + self.report_lag_ms, *target.announce())
                    )
            while self.reports and self.reports[0][0] <= now_ms:
                self._deliver(*self.reports.popleft()[1:])
            await self.clock.sleep_ms(ANNOUNCE_INTERVAL_MS // ANNOUNCE_GROUPS)

    def _deliver(self, row: TargetRow, events: CacheEvents | None) -> None:
        for observer in self.observers:
            if not observer.alive or self.drops(row.data_centre, observer.data_centre):
                continue
            observer.membership.put(row, self.clock.now_ms())
            lost = self.random.random() < self.cache_event_loss
            if events and observer.on_cache_events and not lost:
                observer.on_cache_events(row, events)

    def _loses_report(self, target: EmulatedTarget) -> bool:
        share = self.lost_reports_by_name.get(target.row.name, 0.0)
        return share > 0 and self.random.random() < share

    def drops(self, sender: str, receiver: str) -> bool:
        """Return whether what one data centre sends to another is lost."""
        return sender != receiver and (
            sender in self.cut_outward or receiver in self.cut_inward
        )

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether no connection between two data centres works.

        A connection needs both directions, so a cut of one is enough.
        """
        return self.drops(one, other) or self.drops(other, one)

    async def die(self, name: str) -> None:
        """Kill a target's process: its connections are reset, new ones are refused."""
        await self.targets_by_name[name].die()

    async def vanish(self, name: str) -> None:
        """Lose a target's VM: nothing passes, and new connections time out."""
        target = self.targets_by_name[name]
        target.vanished = True
        target.remove_jobs(lambda job: True)
        self._lose_paths()

    def stall_connections(self, name: str) -> None:
        """Stall every open connection to a target permanently."""
        for client in self.clients:
            client.stall_connections(self.targets_by_name[name])

    def pause(self, name: str) -> None:
        """Let a target's process stand still; its connections stay open."""
        self.targets_by_name[name].pause.begin(self.clock.now_ms())

    async def resume(self, name: str) -> None:
        """Let a paused target go on where it stood still."""
        await self.targets_by_name[name].pause.end(self.clock.now_ms())

    def lose_reports(self, name: str, share: float) -> None:
        """Lose this share of a target's reports from now on; 0 loses none."""
        self.lost_reports_by_name[name] = share

    def cut(
        self, data_centre: str, *, outward: bool = True, inward: bool = True
    ) -> None:
        """Partition a data centre from the others.

        A connection on which nothing passes ends as the operating system finds that.

        Args:
            data_centre: Data centre.
            outward: Whether what it sends is lost.
            inward: Whether what is sent to it is lost.
        """
        if outward:
            self.cut_outward.add(data_centre)
        if inward:
            self.cut_inward.add(data_centre)
        self._lose_paths()

    def heal(self, data_centre: str) -> None:
        """End the partition of a data centre; connections that have not ended go on."""
        self.cut_outward.discard(data_centre)
        self.cut_inward.discard(data_centre)
        now_ms = self.clock.now_ms()
        for client in self.clients:
            for connection in client.connections():
                if client.is_reachable(connection.target):
                    connection.restore_path(now_ms)

    def _lose_paths(self) -> None:
        now_ms = self.clock.now_ms()
        for client in self.clients:
            for connection in client.connections():
                if not client.is_reachable(connection.target):
                    connection.lose_path(now_ms)

    async def drop_entry(self, entry: str) -> None:
        """Cancel the jobs of an entry after its connections were closed."""
        for target in self.targets_by_name.values():
            if target.remove_jobs(lambda job: job.entry == entry):
                await target.start_calls()


class EmulatedClient(TargetClient):
    """Target client of one emulated entry with a pool of idle connections.

    Args:
        emulator: Targets and links.
        entry: Name of the entry.
        data_centre: Data centre of the entry.
    """

    def __init__(self, emulator: Emulator, entry: str, data_centre: str):
        self.emulator = emulator
        self.entry = entry
        self.data_centre = data_centre
        self.idle_by_address: dict[Address, list[EmulatedConnection]] = {}
        self.busy: dict[EmulatedConnection, None] = {}
        self.fresh_attempts = 0
        self.attempts = 0

    def connections(self) -> list[EmulatedConnection]:
        """Return all open connections."""
        idle = itertools.chain.from_iterable(self.idle_by_address.values())
        return [*idle, *self.busy]

    def stall_connections(self, target: EmulatedTarget) -> None:
        """Stall the open connections to ``target`` permanently."""
        for connection in self.connections():
            if connection.target is target:
                connection.stalled = True

    async def probe(self, address: Address) -> bool:
        """Return whether the target answers on a new connection."""
        try:
            connection = await self._connect(address, new_connection=True)
        except TargetFailed:
            return False
        await connection.target.pause.wait_for_end()
        await self._link_delay()
        return True

    async def call(self, address: Address, attempt: Attempt) -> StageAnswer:
        """Run a stage or call and return its complete answer."""
        async with self._open_job(address, attempt) as (connection, job):
            answer: StageAnswer = await self._receive(connection, job)
            return answer

    async def stream(
        self, address: Address, attempt: Attempt
    ) -> AsyncGenerator[tuple[Token, ...], None]:
        """Run a generate stage; see ``TargetClient.stream``."""
        async with self._open_job(address, attempt) as (connection, job):
            last = False
            while not last:
                tokens = [await self._receive(connection, job)]
                while not job.items.empty():
                    tokens.append(await self._receive(connection, job, travel=False))
                last = tokens[-1].last
                yield tuple(tokens)

    async def cancel(self, address: Address, number: int) -> None:
        """Cancel an attempt at the target."""
        target = self.emulator.targets_by_address[address]
        if self.is_reachable(target) and target.alive:
            await self._link_delay()
            await target.pause.wait_for_end()
            target.remove_jobs(lambda job: job.attempt.number == number)
            await target.start_calls()

    @asynccontextmanager
    async def _open_job(
        self, address: Address, attempt: Attempt
    ) -> AsyncIterator[tuple[EmulatedConnection, Job]]:
        self.attempts += 1
        self.fresh_attempts += attempt.new_connection
        connection = await self._connect(address, attempt.new_connection)
        self.busy[connection] = None
        try:
            await self._link_delay()
            await self._check_connection(connection, sends=True)
            job = connection.target.submit(attempt, self.entry)
            await connection.target.wake.set()
            await connection.target.start_calls()
            yield connection, job
            self._release(address, connection)
        finally:
            del self.busy[connection]

    def _release(self, address: Address, connection: EmulatedConnection) -> None:
        """Keep a connection for further requests, if there are not too many."""
        idle = self.idle_by_address.setdefault(address, [])
        if len(idle) < MAX_IDLE_PER_TARGET:
            connection.idle_since_ms = self.emulator.clock.now_ms()
            idle.append(connection)

    def _take(self, address: Address) -> EmulatedConnection | None:
        """Return the newest idle connection that is still usable, or None."""
        now_ms = self.emulator.clock.now_ms()
        idle = self.idle_by_address.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.is_reusable(now_ms):
                return connection
        return None

    async def _connect(
        self, address: Address, new_connection: bool
    ) -> EmulatedConnection:
        target = self.emulator.targets_by_address[address]
        connection = None if new_connection else self._take(address)
        if connection is not None:
            return connection
        if not self.is_reachable(target):
            await self.emulator.clock.sleep_ms(CONNECT_TIMEOUT_MS)
            raise ConnectFailed(f"cannot connect to {address}: timed out")
        await self._link_delay()
        await self._link_delay()
        if not target.alive:
            raise ConnectFailed(f"cannot connect to {address}: refused", refused=True)
        return EmulatedConnection(target, target.row.incarnation)

    def is_reachable(self, target: EmulatedTarget) -> bool:
        """Return whether packets pass in both directions."""
        cut = self.emulator.is_cut(self.data_centre, target.row.data_centre)
        return not cut and not target.vanished

    async def _receive(
        self, connection: EmulatedConnection, job: Job, *, travel: bool = True
    ) -> Any:
        item = await self._next_item(connection, job)
        if travel:
            await self._link_delay()
            await self._check_connection(connection)
        if isinstance(item, TargetFailed):
            raise item
        return item

    async def _next_item(self, connection: EmulatedConnection, job: Job) -> Any:
        """Return what the target sends next, unless the connection ends before."""
        now_ms = self.emulator.clock.now_ms
        while True:
            connection.check_end(now_ms())
            wait_s = self._probe_wait_ms(connection) / MS_PER_SECOND
            item = await curio.ignore_after(wait_s, job.items.get)
            if item is not None:
                return item

    async def _check_connection(
        self, connection: EmulatedConnection, *, sends: bool = False
    ) -> None:
        """Let a packet pass; block on a stalled connection until it ends.

        Args:
            connection: Connection.
            sends: Whether the entry sends the packet, as opposed to the target.

        Raises:
            TargetFailed: If the connection was reset, or ended for lack of packets.
        """
        connection.check_end(self.emulator.clock.now_ms())
        if not self.is_reachable(connection.target):
            await self._send_again(connection, sends)
        self._check_reset(connection)
        while connection.stalled:
            await self.emulator.clock.sleep_ms(self._probe_wait_ms(connection))
            connection.check_end(self.emulator.clock.now_ms())
            if self.is_reachable(connection.target):
                self._check_reset(connection)

    @staticmethod
    def _check_reset(connection: EmulatedConnection) -> None:
        """Raise TargetFailed if the target has reset the connection."""
        target = connection.target
        if not target.alive or connection.incarnation != target.row.incarnation:
            raise TargetFailed("connection reset")

    def _probe_wait_ms(self, connection: EmulatedConnection) -> int:
        """Return the time until the next keep-alive probe, or until the end."""
        if connection.ends_ms is None:
            return KEEPALIVE_INTERVAL_MS
        left_ms = connection.ends_ms - self.emulator.clock.now_ms()
        return min(KEEPALIVE_INTERVAL_MS, left_ms)

    async def _send_again(self, connection: EmulatedConnection, sends: bool) -> None:
        """Send a lost packet again until it arrives or the connection ends."""
        clock = self.emulator.clock
        if sends:
            # Keep-alive probes rest while sent bytes are not acknowledged.
            connection.ends_ms = clock.now_ms() + SEND_TIMEOUT_MS
        wait_ms = FIRST_RETRANSMISSION_MS
        while not self.is_reachable(connection.target):
            connection.lose_path(clock.now_ms())
            left_ms = (connection.ends_ms or 0) - clock.now_ms()
            await clock.sleep_ms(max(min(wait_ms, left_ms), 0))
            connection.check_end(clock.now_ms())
            wait_ms *= 2

    async def _link_delay(self) -> None:
        await curio.sleep(self.emulator.link_ms / MS_PER_SECOND)
