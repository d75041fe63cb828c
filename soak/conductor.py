"""Carries out the schedule of a fleet, and watches its processes."""

import os
import random
import signal
from pathlib import Path

import curio

from soak.accept_queues import waiting_ports
from soak.dialect import Dialect, revocable_keys
from soak.fleet import Fault, Fleet, Role
from soak.hindrances import Hindrance, make_hindrance
from soak.records import (
    BacklogRecord,
    ChangeRecord,
    ExitRecord,
    FaultRecord,
    ReadRecord,
    RecordWriter,
    UsageRecord,
)
from soak.schedule import Action, Schedule
from wagtailrun.clock import SystemClock

__all__ = ["Conductor"]

WATCH_INTERVAL_S = 0.01
# A process that ended by a fault is started again after this time.
RESTART_PAUSE_S = 0.3
READ_INTERVAL_S = 0.5
USAGE_INTERVAL_S = 2.0
KB_PER_MB = 1_024


class Conductor:
    """Does to a fleet what its schedule says.

    Args:
        fleet: The fleet, which runs.
        dialect: Its wire format.
        schedule: What is done.
        grace_ms: Grace periods with which its entries are started, by name.
        faults: Kinds of faults by name.
        writer: Gets the records.
    """

    def __init__(
        self,
        fleet: Fleet,
        dialect: Dialect,
        schedule: Schedule,
        grace_ms: dict[str, int],
        faults: dict[str, Fault],
        writer: RecordWriter,
    ):
        self.fleet = fleet
        self.dialect = dialect
        self.schedule = schedule
        self.grace_ms = grace_ms
        self.faults = faults
        self.writer = writer
        self.clock = SystemClock()
        self.skipped = 0
        # Processes that are being stopped and started by an action.
        self._busy: set[str] = set()
        self._ended: set[int] = set()
        self._recorded_signals = 0
        # Fixed with the schedule: which member is asked for its version next.
        self._random = random.Random(0)

    async def run(self) -> None:
        """Carry out the schedule; return when all of it is done.

        Raises:
            Exception: If an action failed, as one on links without a proxy.
        """
        watches = [
            await curio.spawn(watch, daemon=True)
            for watch in (self._watch_processes, self._read_versions, self._measure)
        ]
        started_ms = self.clock.now_ms()
        async with curio.TaskGroup() as group:
            for action in self.schedule.actions:
                wait_ms = started_ms + action.at_ms - self.clock.now_ms()
                await curio.sleep(max(wait_ms, 0) / 1_000)
                await group.spawn(getattr(self, f"_{action.kind.value}"), action)
            wait_ms = started_ms + self.schedule.lasts_ms - self.clock.now_ms()
            await curio.sleep(max(wait_ms, 0) / 1_000)
        for error in (group.exception, *(w.exception for w in watches if w.terminated)):
            if error is not None:
                raise error

    async def _stop(self, action: Action) -> None:
        name = action.subject
        if name in self._busy or not self.fleet.is_running(name):
            self.skipped += 1
            return
        self._busy.add(name)
        limit_ms = self.fleet.end_limit_ms(name)
        refusals_ms = self.dialect.last_refusals_ms(limit_ms)
        if action.second_ms and self.dialect.second_signal_ends:
            refusals_ms = 0
        hindrance = make_hindrance(action, limit_ms, refusals_ms)
        self.fleet.signal(
            name,
            signal.SIGTERM,
            limit_ms,
            is_planned=True,
            answers_by_ms=hindrance.answers_by_ms,
            has_shortage=hindrance.has_shortage,
        )
        await self._end(name, limit_ms, action, hindrance)
        self.grace_ms[name] = action.next_grace_ms
        self.fleet.start(name)
        if action.stop_in_start_ms:
            await curio.sleep(action.stop_in_start_ms / 1_000)
            limit_ms = self.fleet.end_limit_ms(name)
            self.fleet.signal(name, signal.SIGTERM, limit_ms, is_planned=True)
            await self._end(name, limit_ms)
            self.fleet.start(name)
        self._busy.discard(name)

    async def _end(
        self,
        name: str,
        limit_ms: int,
        action: Action | None = None,
        hindrance: Hindrance | None = None,
    ) -> None:
        """Wait for the end of a process; kill it at its limit, as the platform does."""
        began_ms = self.clock.now_ms()
        hindrance = hindrance or Hindrance()
        hindrance.begin(self.fleet, name)
        if hindrance.has_shortage:
            self._record_backlog(name)
        signals = []
        if action is not None:
            signals = [(at_ms, signal.SIGHUP) for at_ms in action.reloads_ms]
            if action.second_ms:
                signals.append((action.second_ms, signal.SIGTERM))
            signals.sort()
        while self.fleet.is_running(name):
            passed_ms = self.clock.now_ms() - began_ms
            while signals and signals[0][0] <= passed_ms:
                self.fleet.signal(name, signals.pop(0)[1], is_planned=True)
            hindrance.apply(self.fleet, name, passed_ms)
            if passed_ms >= limit_ms:
                # One that stands still cannot end by itself.
                is_planned = not hindrance.standstill_ms
                self.fleet.signal(name, signal.SIGKILL, is_planned=is_planned)
                limit_ms = passed_ms + 60_000
            await curio.sleep(WATCH_INTERVAL_S)
        self._record_end(name)

    def _record_backlog(self, name: str) -> None:
        """Record what a process that has no free descriptor cannot accept."""
        self.writer.write(
            BacklogRecord(
                process=name,
                pid=self.fleet.pid(name),
                at_ms=self.clock.now_ms(),
                ports=waiting_ports(
                    self.fleet.processes_by_name[name].addresses["caller"]
                ),
            )
        )

    async def _replace(self, action: Action) -> None:
        name = action.subject
        others = set(self.fleet.names(Role.CONTROL)) - {name}
        is_alone = self._busy & others or not all(map(self.fleet.is_running, others))
        if name in self._busy or is_alone or not self.fleet.is_running(name):
            self.skipped += 1
            return
        self._busy.add(name)
        limit_ms = self.fleet.end_limit_ms(name)
        self.fleet.signal(name, signal.SIGTERM, limit_ms, is_planned=True)
        await self._end(name, limit_ms)
        if action.wipes:
            self.fleet.wipe(name)
        self.fleet.start(name)
        self._busy.discard(name)

    async def _change(self, action: Action) -> None:
        sent_ms = self.clock.now_ms()
        answer = await self.dialect.put(
            self.fleet, action.subject, action.version, action.variant, action.revoked
        )
        kept = set(revocable_keys(action.revoked))
        self.writer.write(
            ChangeRecord(
                version=answer.version,
                member=action.subject,
                sent_ms=sent_ms,
                answered_ms=self.clock.now_ms() if answer.status else 0,
                status=answer.status,
                is_valid=action.variant != "refused",
                revoked=[key for key in revocable_keys(0) if key not in kept],
            )
        )

    async def _fault(self, action: Action) -> None:
        fault = self.faults[action.variant]
        from_ms = self.clock.now_ms()
        record = FaultRecord(kind=fault.name, subject=action.subject, from_ms=from_ms)
        self.writer.write(record)
        detail = await fault.begin(self.fleet, action.subject, action.strength)
        await curio.sleep(action.lasts_ms / 1_000)
        await fault.end(self.fleet, action.subject)
        self.writer.write(
            FaultRecord(
                kind=fault.name,
                subject=action.subject,
                from_ms=from_ms,
                to_ms=self.clock.now_ms(),
                detail=detail,
            )
        )

    def _record_end(self, name: str) -> None:
        """Record the end of a process, once."""
        pid = self.fleet.pid(name)
        code = self.fleet.exit_code(name)
        if code is None or pid in self._ended:
            return
        self._ended.add(pid)
        record = ExitRecord(process=name, pid=pid, at_ms=self.clock.now_ms(), code=code)
        self.writer.write(record)

    async def _watch_processes(self) -> None:
        """Record signals and ends; start again what no action stopped."""
        while True:
            signals = self.fleet.signals
            for record in signals[self._recorded_signals :]:
                self.writer.write(record)
            self._recorded_signals = len(signals)
            for name in self.fleet.processes_by_name:
                if name not in self._busy and not self.fleet.is_running(name):
                    self._record_end(name)
                    self._busy.add(name)
                    await curio.spawn(self._start_again, name, daemon=True)
            await curio.sleep(WATCH_INTERVAL_S)

    async def _start_again(self, name: str) -> None:
        await curio.sleep(RESTART_PAUSE_S)
        self.fleet.start(name)
        self._busy.discard(name)

    async def _read_versions(self) -> None:
        """Ask control members for their version again and again."""
        while True:
            member = self._random.choice(self.fleet.names(Role.CONTROL))
            sent_ms = self.clock.now_ms()
            version = await self.dialect.get_version(self.fleet, member)
            if version:
                self.writer.write(
                    ReadRecord(
                        version=version,
                        member=member,
                        sent_ms=sent_ms,
                        answered_ms=self.clock.now_ms(),
                    )
                )
            await curio.sleep(READ_INTERVAL_S)

    async def _measure(self) -> None:
        """Measure what processes use again and again."""
        while True:
            for name, process in self.fleet.processes_by_name.items():
                if self.fleet.is_running(name):
                    self._measure_process(name, process.log)
            await curio.sleep(USAGE_INTERVAL_S)

    def _measure_process(self, name: str, log: Path) -> None:
        pid = self.fleet.pid(name)
        try:
            lines = Path(f"/proc/{pid}/status").read_text().splitlines()
            descriptors = len(os.listdir(f"/proc/{pid}/fd"))
        except OSError:
            # It has ended.
            return
        resident_kb = [int(each.split()[1]) for each in lines if "VmRSS" in each]
        self.writer.write(
            UsageRecord(
                process=name,
                pid=pid,
                at_ms=self.clock.now_ms(),
                resident_mb=sum(resident_kb) / KB_PER_MB,
                descriptors=descriptors,
                log_bytes=log.stat().st_size if log.exists() else 0,
            )
        )
