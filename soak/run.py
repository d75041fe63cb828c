"""One run: starts fleets, callers and targets, checks promises, gives a verdict."""

import itertools
import json
import os
import subprocess
import sys
import tempfile
import traceback
from collections import Counter
from enum import Enum
from pathlib import Path

import cattrs
import curio
from attrs import define, field

from soak.conductor import Conductor
from soak.dialect import RequestPlan, SitePlan
from soak.exchange import Connection, Manner
from soak.faults import FAULTS_BY_NAME
from soak.fleet import Requirements, Role
from soak.history import Finding, Limits
from soak.kinds import KINDS, dialect_of
from soak.links import LinkProxy
from soak.promises import Judge
from soak.records import (
    Outcome,
    RecordReader,
    RecordWriter,
    SoakNotStarted,
    StandstillRecord,
)
from soak.schedule import Size, make_schedule
from soak.service import IdleEnds, Service
from soak.standstill import StandstillWatch
from soak.timeline import describe
from wagtailrun.clock import SystemClock
from wagtailrun.ports.link import Address

__all__ = ["Options", "Run", "Verdict"]

START_S = 60
START_POLL_S = 0.2
INTERRUPT_POLL_S = 0.1
CHECK_INTERVAL_S = 1.0
CALLERS_END_S = 25
# A run in which a loop of its own stood still for longer shows nothing. The loop that
# starts processes waits for the system until each has begun. Of a process of the fleet
# it is known for how long it did not run after SIGKILL.
FLEET = "fleet"
MAX_STANDSTILLS_MS = {"callers": 500, "targets": 500, "soak": 1_500, FLEET: 500}
MIN_PLANNED_SHARE = 0.5
# docs/soak.md, "Requests that are excused".
MAX_EXCUSED_SHARE = 0.08
PRINTED_FINDINGS = 20
# By then all records are complete.
LAST_MS = 1 << 60
SOAK_PROCESSES = 3


class Verdict(Enum):
    """How a run ended; the values are exit codes."""

    KEPT = 0
    BROKEN = 1
    NOT_RUN = 3


@define(frozen=True, kw_only=True)
class Options:
    """What to run.

    Attributes:
        seed: Seed of the schedule.
        lasts_ms: Length of the run.
        size: Size of the fleets.
        kind: Kind of the fleet; empty for one by the seed, or all.
        faults: Names of the kinds of faults.
        folder: Folder for records and logs; empty for a new one.
    """

    seed: str
    lasts_ms: int
    size: Size
    kind: str = ""
    faults: list[str] = field(factory=list)
    folder: str = ""

    def kinds(self) -> list[str]:
        """Return the kinds of fleets."""
        if self.kind:
            return [self.kind]
        if self.size.all_kinds:
            return list(KINDS)
        # A third of the seeds.
        return [KINDS[sum(self.seed.encode()) % 3 == 0]]


class Site:
    """A fleet with its callers, targets, schedule and promises.

    Args:
        kind: Kind of the fleet.
        options: What to run.
        folder: Folder for its files.
    """

    def __init__(self, kind: str, options: Options, folder: Path):
        self.kind = kind
        self.options = options
        self.folder = folder
        self.clock = SystemClock()
        self.dialect = dialect_of(kind)
        size = options.size
        self.grace_ms: dict[str, int] = {}
        fleet = self.dialect.make_fleet(
            folder,
            size.entries,
            size.controls,
            self.grace_ms,
            with_faults=bool(options.faults),
        )
        self.fleet = fleet
        self.faults = {name: FAULTS_BY_NAME[name] for name in options.faults}
        self.schedule = make_schedule(
            f"{options.seed} {kind}",
            options.lasts_ms,
            fleet.names(Role.ENTRY),
            fleet.names(Role.CONTROL),
            {name: fault.subjects(fleet) for name, fault in self.faults.items()},
        )
        self.grace_ms.update(self.schedule.grace_ms)
        fleet.descriptors = self.schedule.descriptors
        self.writer = RecordWriter(folder / "soak.records")
        self.conductor = Conductor(
            fleet,
            self.dialect,
            self.schedule,
            self.grace_ms,
            self.faults,
            self.writer,
        )
        self.judge = Judge(
            Limits(
                second_signal_ends=self.dialect.second_signal_ends,
                deadline_ms=self.dialect.deadline_ms,
                read_lag_ms=self.dialect.read_lag_ms,
                listen_ms=self.dialect.listen_ms,
                stay_ms=self.dialect.stay_ms,
                crowded_entries=list(fleet.descriptors),
            )
        )
        self.judge.promises += [
            make(self.judge.history, self.judge.limits) for make in (IdleEnds, Service)
        ]
        self.findings: list[Finding] = []
        self.standstills_ms = dict.fromkeys(MAX_STANDSTILLS_MS, 0)
        self.callers: subprocess.Popen | None = None
        self.targets: subprocess.Popen | None = None
        self._readers = [
            RecordReader(folder / f"{name}.records")
            for name in ("soak", "callers", "targets", "targets-loop")
        ]

    async def start(self) -> None:
        """Start all processes; return when all entries serve.

        Raises:
            TimeoutError: If they do not within a minute.
        """
        size = self.options.size
        plan = self.dialect.make_plan(
            self.fleet, _number(self.options.seed), size.callers_per_entry
        )
        process = next(iter(self.fleet.processes_by_name.values()))
        plan.behaviour_folder = str(process.folder.parent)
        plan.release_ms = self.schedule.release_ms
        plan.crowded_entries = list(self.fleet.descriptors)
        plan.folder = str(self.folder)
        file = self.folder / "plan.json"
        file.write_text(json.dumps(cattrs.unstructure(plan)))
        if self.fleet.links_by_name:
            self.fleet.proxy = LinkProxy()
            for link in self.fleet.links_by_name.values():
                await self.fleet.proxy.add(link.name, link.listen, link.upstream)
        self.targets = self._start_part("targets", file)
        for name in self.fleet.processes_by_name:
            self.fleet.start(name)
        until_ms = self.clock.now_ms() + START_S * 1_000
        await self._wait_until_served(plan, until_ms)
        self.callers = self._start_part("callers", file)

    def _start_part(self, name: str, file: Path) -> subprocess.Popen:
        with (self.folder / f"{name}.log").open("ab") as log:
            return subprocess.Popen(
                [sys.executable, "-m", f"soak.{name}", str(file)],
                stdout=log,
                stderr=subprocess.STDOUT,
                cwd=Path(__file__).parent.parent,
                env={**os.environ, "PYTHONPATH": "platform"},
            )

    async def _wait_until_served(self, plan: SitePlan, until_ms: int) -> None:
        member = self.fleet.names(Role.CONTROL)[0]
        while True:
            answer = await self.dialect.put(self.fleet, member, 1, "valid", 0)
            if answer.status == 200:
                break
            await self._pause(until_ms, "no configuration is accepted")
        async with curio.TaskGroup() as group:
            for entry, text in plan.caller_addresses.items():
                await group.spawn(self._probe, entry, Address.parse(text), until_ms)
        if group.exception is not None:
            raise group.exception

    async def _probe(self, entry: str, address: Address, until_ms: int) -> None:
        """Wait until an entry answers one request of each kind."""
        numbers = itertools.count()
        for kind in self.dialect.kinds:
            outcome = None
            while outcome is not Outcome.ANSWERED:
                await self._pause(until_ms, f"{entry} does not answer {kind}")
                connection = Connection(entry, "probe", self.dialect, False)
                if not await connection.open(address):
                    continue
                name = f"probe-{entry}-{next(numbers)}"
                probe = RequestPlan(name=name, kind=kind)
                outcome = (await connection.exchange(probe, Manner())).outcome
                await connection.close()

    async def _pause(self, until_ms: int, failure: str) -> None:
        if self.clock.now_ms() > until_ms:
            raise TimeoutError(f"not started after {START_S} s: {failure}")
        await curio.sleep(START_POLL_S)

    async def play(self) -> None:
        """Carry out the schedule, end the callers and check the rest."""
        watch = StandstillWatch("soak", self.writer)
        await curio.spawn(watch.run, daemon=True)
        checks = await curio.spawn(self._check, daemon=True)
        await self.conductor.run()
        self.callers.terminate()
        await curio.run_in_thread(self.callers.wait, CALLERS_END_S)
        await curio.sleep(CHECK_INTERVAL_S)
        if checks.terminated:
            raise checks.exception
        await checks.cancel()
        await self.check(LAST_MS)
        self.standstills_ms[FLEET] = self.judge.history.longest_kill_ms()

    async def _check(self) -> None:
        while True:
            await curio.sleep(CHECK_INTERVAL_S)
            await self.check(self.clock.now_ms())

    async def check(self, until_ms: int) -> None:
        """Read new records, and print what is broken up to a time."""
        for reader in self._readers:
            records = reader.read()
            self.judge.add(records)
            for record in records:
                if isinstance(record, StandstillRecord):
                    longest_ms = max(record.lasted_ms, self.standstills_ms[record.loop])
                    self.standstills_ms[record.loop] = longest_ms
        for finding in self.judge.check(until_ms):
            self.findings.append(finding)
            if len(self.findings) <= PRINTED_FINDINGS:
                logs = [p.log for p in self.fleet.processes_by_name.values()]
                logs = [log for log in logs if log.exists()]
                text = await curio.run_in_thread(
                    describe, finding, self.judge.history, logs
                )
                print(text, flush=True)

    def end(self) -> None:
        """End all processes of the site."""
        self.fleet.end_all()
        if self.fleet.proxy is not None:
            self.fleet.proxy.stop()
        for part in (self.callers, self.targets):
            if part is not None and part.poll() is None:
                part.kill()
                part.wait()

    @property
    def excused_share(self) -> float:
        """Share of the requests that had neither an answer nor a refusal."""
        answers = self.judge.answers
        return answers.excused / max(answers.total, 1)

    def standstills(self) -> list[str]:
        """Return the standstills of the soak itself that were too long."""
        return [
            f"{loop} of the soak stood still for {self.standstills_ms[loop]} ms, "
            f"more than {limit_ms} ms"
            for loop, limit_ms in MAX_STANDSTILLS_MS.items()
            if self.standstills_ms[loop] > limit_ms
        ]

    def summary(self) -> str:
        """Return what was run and seen, for people."""
        answers = self.judge.answers
        ends = ", ".join(f"{n} {name}" for name, n in answers.ends.most_common())
        history = self.judge.history
        counts = Counter(
            each.number for signals in history.signals.values() for each in signals
        )
        return "\n".join(
            [
                f"{self.kind}: {len(self.fleet.processes_by_name)} processes, "
                f"{answers.total} requests, {answers.planned} of them beside planned "
                f"work alone, {len(self.findings)} findings",
                f"  ends: {ends}",
                f"  excused: {self.excused_share:.2%}, at most {MAX_EXCUSED_SHARE:.0%}",
                f"  signals: {dict(counts)}, faults: {len(history.faults)}, actions "
                f"skipped: {self.conductor.skipped}",
                f"  longest standstills of the soak itself, ms: {self.standstills_ms}",
            ]
        )


class Run:
    """One run over all its sites.

    Args:
        options: What to run.

    Raises:
        SoakNotStarted: If the folder has files already, or faults have too much of the
            time.
    """

    def __init__(self, options: Options):
        self.options = options
        self.is_interrupted = False
        name = options.folder or tempfile.mkdtemp(prefix="wagtailrun-soak-")
        self.folder = Path(name)
        if self.folder.exists() and any(self.folder.iterdir()):
            raise SoakNotStarted(f"folder {name!r} is not empty")
        self.sites = []
        for kind in options.kinds():
            folder = self.folder / kind
            folder.mkdir(parents=True, exist_ok=True)
            self.sites.append(Site(kind, options, folder))
        for site in self.sites:
            share = site.schedule.planned_share(site.judge.limits.recovery_ms)
            if share < MIN_PLANNED_SHARE:
                raise SoakNotStarted(
                    f"planned work alone has {share:.0%} of the time, less than "
                    f"{MIN_PLANNED_SHARE:.0%}"
                )

    def requirements(self) -> Requirements:
        """Return what the run needs of the machine."""
        size = self.options.size
        processes = sum(len(site.fleet.processes_by_name) for site in self.sites)
        return Requirements(
            processes=processes + SOAK_PROCESSES * len(self.sites),
            memory_mb=size.memory_mb,
            descriptors=size.descriptors,
        )

    def play(self) -> Verdict:
        """Run all sites; end all processes in any case."""
        for site in self.sites:
            (site.folder / "schedule.txt").write_text(site.schedule.text() + "\n")
            print(f"{site.kind}: {len(site.schedule.actions)} actions, files in")
            print(f"  {site.folder}", flush=True)
        try:
            curio.run(self._play)
        except Exception:
            # The soak itself failed, which says nothing about the fleet.
            traceback.print_exc(file=sys.stdout)
            print("NOT RUN: the soak itself failed")
            return Verdict.NOT_RUN
        finally:
            for site in self.sites:
                site.end()
        if self.is_interrupted:
            print("interrupted; all processes of this run were ended")
            return Verdict.NOT_RUN
        return self._verdict()

    async def _play(self) -> None:
        """Play until the end, or until this run is interrupted.

        A signal handler only sets a flag: an exception between the start of a process
        and its entry in a table would leave the process behind.
        """
        task = await curio.spawn(self._play_sites)
        while not task.terminated and not self.is_interrupted:
            await curio.sleep(INTERRUPT_POLL_S)
        if not task.terminated:
            await task.cancel()
            return
        try:
            await task.join()
        except curio.TaskError as error:
            raise error.__cause__ from None

    async def _play_sites(self) -> None:
        for steps in ("start", "play"):
            async with curio.TaskGroup() as group:
                for site in self.sites:
                    await group.spawn(getattr(site, steps))
            if group.exception is not None:
                raise group.exception

    def _verdict(self) -> Verdict:
        for site in self.sites:
            print(site.summary())
        command = (
            f"seed {self.options.seed}, {self.options.lasts_ms / 60_000:g} minutes"
        )
        too_long = [each for site in self.sites for each in site.standstills()]
        excused = max(site.excused_share for site in self.sites)
        if too_long:
            print(f"NOT RUN ({command}): {'; '.join(too_long)}: this run shows nothing")
            return Verdict.NOT_RUN
        if any(site.findings for site in self.sites):
            print(f"BROKEN ({command})")
            return Verdict.BROKEN
        if excused > MAX_EXCUSED_SHARE:
            reason = f"{excused:.2%} of the requests were excused, more than"
            print(f"NOT RUN ({command}): {reason} {MAX_EXCUSED_SHARE:.0%}")
            return Verdict.NOT_RUN
        print(f"KEPT ({command})")
        return Verdict.KEPT


def _number(seed: str) -> int:
    return int.from_bytes(seed.encode()[-6:], "big")
