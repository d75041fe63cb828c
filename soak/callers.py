"""Callers of all entries of a fleet, in a process of their own.

python -m soak.callers PLAN
"""

import itertools
import json
import os
import random
import signal
import sys
from collections.abc import Callable
from pathlib import Path

import attrs
import cattrs
import curio

from soak.curio_log import ignore_late_ends
from soak.dialect import (
    LASTING_KEY,
    RequestPlan,
    SitePlan,
    parse_addresses,
    revocable_keys,
)
from soak.exchange import Connection, Manner
from soak.kinds import dialect_of
from soak.records import (
    Outcome,
    ReadinessRecord,
    RecordWriter,
    RequestRecord,
)
from soak.standstill import StandstillWatch
from wagtailrun.adapters.http_client import HttpClient
from wagtailrun.clock import SystemClock
from wagtailrun.exceptions import TargetFailed

__all__ = ["Callers"]

READINESS_INTERVAL_S = 0.25
READINESS_TIMEOUT_MS = 1_000
# Questions in a row that fail take an entry out of rotation.
FAILURES_OUT = 2
MAX_LATE_MS = 1_500
MAX_PAUSE_MS = 400
MEAN_REST_MS = 250
REVOCABLE_SHARE = 0.1
MAX_ATTEMPTS = 3
RETRY_PAUSE_S = 0.2
MAX_REFUSED_PAUSE_S = 0.3
PARENT_INTERVAL_S = 0.5
# Callers that look only for the stop of their entry wait for this long.
MAX_CHASE_MS = 9_000
SHARES = {
    "late": 0.25,
    "halves": 0.1,
    "kept": 0.25,
    "leaving": 0.05,
    "take_up": 0.1,
    "repeating": 0.1,
    "chasing": 0.15,
}
# At entries with few descriptors.
CROWD_SHARES = {**SHARES, "holding": 0.4}
HELD_CONNECTIONS = (15, 30)
MAX_HOLD_MS = 6_000


class Rotation:
    """Entries to which a load balancer sends new connections.

    Args:
        plan: The fleet.
        writer: Gets the answers about readiness.
    """

    def __init__(self, plan: SitePlan, writer: RecordWriter):
        self._addresses = parse_addresses(plan.ready_addresses)
        self._failures = dict.fromkeys(self._addresses, FAILURES_OUT)
        self._writer = writer
        self._clock = SystemClock()
        # When an entry last said that it is not ready after it had been.
        self.left_ms = dict.fromkeys(self._addresses, 0)

    def has(self, entry: str) -> bool:
        """Return whether an entry gets new connections."""
        return self._failures[entry] < FAILURES_OUT

    async def watch(self, entry: str) -> None:
        """Ask an entry again and again whether it is ready."""
        while True:
            at_ms = self._clock.now_ms()
            is_ready = await self._ask(entry)
            if not is_ready and not self._failures[entry]:
                self.left_ms[entry] = self._clock.now_ms()
            self._failures[entry] = 0 if is_ready else self._failures[entry] + 1
            self._writer.write(
                ReadinessRecord(entry=entry, at_ms=at_ms, is_ready=is_ready)
            )
            await curio.sleep(READINESS_INTERVAL_S)

    async def _ask(self, entry: str) -> bool:
        try:
            reply = await HttpClient().request(
                self._addresses[entry],
                "GET",
                "/readyz",
                (("Connection", "close"),),
                timeout_ms=READINESS_TIMEOUT_MS,
            )
        except TargetFailed:
            return False
        return reply.status == 200


class Callers:
    """All callers of a fleet.

    Args:
        plan: The fleet.
        writer: Gets a record of each request.
    """

    def __init__(self, plan: SitePlan, writer: RecordWriter):
        self.plan = plan
        self.writer = writer
        self.dialect = dialect_of(plan.kind)
        self.addresses = parse_addresses(plan.caller_addresses)
        self.entries = list(self.addresses)
        self.rotation = Rotation(plan, writer)
        self.watch = StandstillWatch("callers", writer)
        self.is_running = True
        self.connection_numbers = itertools.count()

    async def run(self) -> None:
        """Call until ``is_running`` is False; return when all requests have ended."""
        await curio.spawn(self.watch.run, daemon=True)
        for entry in self.entries:
            await curio.spawn(self.rotation.watch, entry, daemon=True)
        async with curio.TaskGroup() as group:
            for entry in self.entries:
                for number in range(self.plan.callers_per_entry):
                    name = f"{entry}-{number}"
                    await group.spawn(Caller(self, entry, name).run)


class Caller:
    """One caller, which does one thing after another.

    Args:
        callers: All callers.
        entry: Entry that it prefers.
        name: Its name, which begins those of its requests.
    """

    def __init__(self, callers: Callers, entry: str, name: str):
        self.callers = callers
        self.entry = entry
        self.name = name
        self.random = random.Random(f"{callers.plan.seed} {name}")
        self.numbers = itertools.count(1)
        is_crowded = entry in callers.plan.crowded_entries
        self.shares = CROWD_SHARES if is_crowded else SHARES

    async def run(self) -> None:
        """Do one thing after another until the callers end."""
        while self.callers.is_running:
            (way,) = self.random.choices(list(self.shares), list(self.shares.values()))
            await getattr(self, f"call_{way}")()

    def new_plan(self, kind: str = "") -> RequestPlan:
        """Return a request that no other one equals."""
        kinds = self.callers.dialect.kinds
        kind = kind or self.random.choices(list(kinds), list(kinds.values()))[0]
        key = LASTING_KEY
        if self.random.random() < REVOCABLE_SHARE:
            key = self.random.choice(revocable_keys(0))
        name = f"s{self.callers.plan.seed}-{self.name}-{next(self.numbers)}"
        return RequestPlan(name=name, kind=kind, key=key)

    async def connect(self, is_pinned: bool = False) -> Connection | None:
        """Return a connection to an entry in rotation, or else None after a pause.

        Args:
            is_pinned: Whether to connect to the preferred entry in any case.
        """
        callers = self.callers
        routed = [each for each in callers.entries if callers.rotation.has(each)]
        entry = self.entry
        if not is_pinned and entry not in routed and routed:
            entry = self.random.choice(routed)
        number = f"c{next(callers.connection_numbers)}"
        connection = Connection(entry, number, callers.dialect, entry in routed)
        began_ms = connection.clock.now_ms()
        if await connection.open(callers.addresses[entry]):
            return connection
        if entry in routed:
            callers.writer.write(
                RequestRecord(
                    name="",
                    entry=entry,
                    kind="",
                    outcome=Outcome.NO_CONNECTION,
                    connection=number,
                    is_routed=True,
                    began_ms=began_ms,
                    ended_ms=connection.clock.now_ms(),
                    standstill_ms=callers.watch.longest_ms(began_ms),
                )
            )
        await curio.sleep(RETRY_PAUSE_S)
        return None

    async def exchange(
        self, connection: Connection, plan: RequestPlan, manner: Manner
    ) -> RequestRecord:
        """Send a request, and record how it ended."""
        record = await connection.exchange(plan, manner)
        longest_ms = self.callers.watch.longest_ms(record.began_ms)
        self.callers.writer.write(attrs.evolve(record, standstill_ms=longest_ms))
        if record.outcome is Outcome.REFUSED:
            await curio.sleep(self.random.uniform(0, MAX_REFUSED_PAUSE_S))
        return record

    async def call_new(
        self, manner: Manner, is_pinned: bool = False
    ) -> RequestRecord | None:
        """Send one request on a new connection."""
        connection = await self.connect(is_pinned)
        if connection is None:
            return None
        record = await self.exchange(connection, self.new_plan(), manner)
        await connection.close()
        return record

    async def call_late(self) -> None:
        """Send the first byte some time after connecting."""
        late_ms = self.random.uniform(0, MAX_LATE_MS)
        manner = Manner(late_ms=late_ms, ends_connection=self.random.random() < 0.5)
        await self.call_new(manner, is_pinned=self.random.random() < 0.7)

    async def call_halves(self) -> None:
        """Send a request in parts."""
        pauses = [
            self.random.uniform(0, MAX_PAUSE_MS)
            for _ in range(self.random.randint(1, 3))
        ]
        late_ms = self.random.choice([0, 0, self.random.uniform(0, MAX_LATE_MS)])
        manner = Manner(pauses_ms=pauses, late_ms=late_ms)
        await self.call_new(manner, is_pinned=self.random.random() < 0.7)

    async def call_kept(self) -> None:
        """Send requests on one connection until it ends."""
        connection = await self.connect(self.random.random() < 0.5)
        if connection is None:
            return
        mean_ms = self.random.choice([0, MEAN_REST_MS, 4 * MEAN_REST_MS])
        while self.callers.is_running and connection.is_usable:
            await self.exchange(connection, self.new_plan(), Manner())
            if not connection.is_usable:
                break
            if mean_ms:
                rest_ms = self.random.expovariate(1 / mean_ms)
                await connection.wait_idle(rest_ms)
        await connection.close()

    async def call_leaving(self) -> None:
        """Leave before the answer is complete."""
        manner = Manner(leaves_after_ms=self.random.uniform(1, 1_500))
        await self.call_new(manner)

    async def call_take_up(self) -> None:
        """Leave in the middle of a stream, and take it up at another entry."""
        kind = self.callers.dialect.resumable
        connection = await self.connect() if kind else None
        if connection is None:
            await curio.sleep(RETRY_PAUSE_S)
            return
        plan = RequestPlan(name=self.new_plan().name, kind=kind)
        manner = Manner(leaves_at_event=self.random.randint(1, 10))
        record = await self.exchange(connection, plan, manner)
        await connection.close()
        last_event = self.callers.dialect.last_event
        while record.events and record.outcome in (Outcome.LEFT, Outcome.CUT):
            if record.events[-1] >= last_event:
                # There is nothing left to take up.
                return
            await curio.sleep(self.random.uniform(0, RETRY_PAUSE_S))
            connection = await self.connect()
            if connection is None:
                return
            plan = RequestPlan(
                name=self.new_plan().name,
                kind=kind,
                resumes=plan.resumes or plan.name,
                after_event=record.events[-1],
            )
            record = await self.exchange(connection, plan, Manner())
            await connection.close()

    async def call_repeating(self) -> None:
        """Send a request again that was refused as not run, or that runs once."""
        plan = self.new_plan("order")
        for attempt in range(1, MAX_ATTEMPTS + 1):
            connection = await self.connect()
            if connection is None:
                continue
            plan = attrs.evolve(plan, attempt=attempt)
            record = await self.exchange(connection, plan, Manner())
            await connection.close()
            if not record.is_not_run and not self.callers.dialect.is_repeatable:
                return
            await curio.sleep(self.random.uniform(0, RETRY_PAUSE_S))

    async def call_holding(self) -> None:
        """Hold many connections to the preferred entry, then send on each of them."""
        async with curio.TaskGroup() as group:
            for _ in range(self.random.randint(*HELD_CONNECTIONS)):
                await group.spawn(self._hold)

    async def _hold(self) -> None:
        connection = await self.connect(is_pinned=True)
        if connection is None:
            return
        manner = Manner(late_ms=self.random.uniform(0, MAX_HOLD_MS))
        await self.exchange(connection, self.new_plan(), manner)
        if connection.is_usable:
            await connection.wait_idle(self.random.uniform(0, MAX_HOLD_MS))
        if connection.is_usable:
            await self.exchange(connection, self.new_plan(), Manner())
        await connection.close()

    async def call_chasing(self) -> None:
        """Hold two connections; send on one as the other one, or the entry, ends.

        Either at a random time after the entry said that it is not ready, or when the
        end of the connection beside it arrives.
        """
        first = await self.connect()
        second = await self.connect() if first is not None else None
        if first is None or second is None or first.entry != second.entry:
            for each in (first, second):
                if each is not None:
                    await each.close()
            return
        if self.random.random() < 0.5:
            await self.exchange(second, self.new_plan(), Manner())
        moment = self.stop_moment(first)
        if second.is_usable:
            manner = Manner(
                late_ms=MAX_CHASE_MS,
                is_ready=moment,
                is_blind=self.random.random() < 0.5,
            )
            await self.exchange(second, self.new_plan(), manner)
        await first.close()
        await second.close()

    def stop_moment(self, other: Connection) -> Callable[[], bool]:
        """Return a function that tells when to send."""
        rotation = self.callers.rotation
        began_ms = other.clock.now_ms()
        waits_for_end = self.random.random() < 0.5
        after_ms = self.random.uniform(0, MAX_CHASE_MS)

        def is_reached() -> bool:
            if not self.callers.is_running:
                return True
            if waits_for_end:
                return other.look()
            left_ms = rotation.left_ms[other.entry]
            now_ms = other.clock.now_ms()
            return left_ms >= began_ms and now_ms >= left_ms + after_ms

        return is_reached


async def watch_parent(callers: Callers) -> None:
    """End the callers when the process that started them has ended."""
    parent = os.getppid()
    while os.getppid() == parent:
        await curio.sleep(PARENT_INTERVAL_S)
    callers.is_running = False


def main() -> None:
    """Run the callers of the plan that is named."""
    plan = cattrs.structure(json.loads(Path(sys.argv[1]).read_text()), SitePlan)
    writer = RecordWriter(Path(plan.folder) / "callers.records")
    callers = Callers(plan, writer)
    ignore_late_ends()

    def stop(number: int, frame: object) -> None:
        callers.is_running = False

    signal.signal(signal.SIGTERM, stop)
    # The process that started this one tells it when to end.
    signal.signal(signal.SIGINT, signal.SIG_IGN)

    async def run() -> None:
        await curio.spawn(watch_parent, callers, daemon=True)
        await callers.run()

    curio.run(run)


if __name__ == "__main__":
    main()
