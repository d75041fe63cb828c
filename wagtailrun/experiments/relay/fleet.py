"""A fleet of relay entries, targets and control members on an emulated network."""

import itertools
import random
from collections import deque
from collections.abc import Callable, Sequence
from typing import Any

import attrs
import curio

from wagtailrun.adapters.http_messages import Request
from wagtailrun.experiments.relay.attempt_log import AttemptLog
from wagtailrun.experiments.relay.entry import EmulatedEntry
from wagtailrun.experiments.relay.limiting import StatedLimits
from wagtailrun.experiments.relay.members import HEARTBEAT_MS, Members
from wagtailrun.experiments.relay.network import Network
from wagtailrun.experiments.relay.ports import PlainProtocol
from wagtailrun.experiments.relay.results import ResultStore
from wagtailrun.experiments.relay.routes import DerivedFormat
from wagtailrun.experiments.relay.server import CallerExchange
from wagtailrun.experiments.relay.targets import RelayTarget
from wagtailrun.experiments.relay.work import TargetWork
from wagtailrun.ports.link import Address
from wagtailrun.targets.decisions import NO_DECISIONS, DecisionLog
from wagtailrun.targets.table import TargetRow
from wagtailrun.virtual_time import VirtualClock

__all__ = ["FleetPlan", "RelayFleet"]

# Targets report in this many groups, spread over the interval.
REPORT_GROUPS = 4
# A load balancer checks each entry this often, and uses none that failed so often in a
# row.
CHECK_INTERVAL_MS = 1_000
FAILURE_THRESHOLD = 2


@attrs.frozen
class FleetPlan:
    """What a fleet consists of beside its targets.

    Attributes:
        data_centres: Data centres.
        data_centres_by_entry: Data centres of the entries by name.
        text: Text of the fleet configuration; see ``DerivedFormat``.
        delay_ms: One-way delay of every path.
        report_lag_ms: Delay of the targets' reports.
        settings: Settings of the entries that differ from their defaults, by name.
    """

    data_centres: tuple[str, ...]
    data_centres_by_entry: dict[str, str]
    text: str
    delay_ms: float
    report_lag_ms: int
    settings: dict[str, Any]


class RelayFleet:
    """All processes of a fleet, its load balancer, and the faults of both.

    Args:
        clock: Virtual clock.
        plan: What it consists of.
        seed: Seed of all random choices.
        decisions_of: Returns what is told the decisions of an entry, by its name.
    """

    def __init__(
        self,
        clock: VirtualClock,
        plan: FleetPlan,
        seed: int,
        decisions_of: Callable[[str], DecisionLog] = lambda name: NO_DECISIONS,
    ):
        self.decisions_of = decisions_of
        self.clock = clock
        self.plan = plan
        self.random = random.Random(f"{seed}/fleet")
        self.network = Network(clock, plan.delay_ms)
        self.log = AttemptLog()
        self.results = ResultStore(clock, self.network)
        self.protocol = PlainProtocol(self.network, self.log, DerivedFormat())
        self.members = Members(self.network, plan.data_centres)
        self.entries_by_name: dict[str, EmulatedEntry] = {}
        self.targets_by_name: dict[str, RelayTarget] = {}
        self.addresses_by_entry = {
            name: Address(f"10.1.{number // 250}.{number % 250 + 1}", 7_000)
            for number, name in enumerate(plan.data_centres_by_entry)
        }
        self.lost_reports_by_target: dict[str, float] = {}
        # Reports on their way, with the times at which they arrive.
        self.reports: deque[tuple[int, RelayTarget, TargetRow, int | None]] = deque()
        self.turns = itertools.count()

    def next_row(
        self, name: str, service: str, data_centre: str, capacity: int
    ) -> TargetRow:
        """Return the row of another target, with an address of its own."""
        number = len(self.targets_by_name)
        address = Address(f"10.2.{number // 250}.{number % 250 + 1}", 8_000)
        return TargetRow(
            name, address, service, data_centre, capacity, 1, software_version="1"
        )

    def add_target(
        self, row: TargetRow, work: TargetWork, limits: StatedLimits | None = None
    ) -> None:
        """Add a target; it works from ``start`` on."""
        self.targets_by_name[row.name] = RelayTarget(
            self.network, row, work, self.log, self.results, limits
        )

    async def start(self) -> None:
        """Start all processes."""
        await self.members.start()
        await self.members.put_text(self.plan.text)
        for target in self.targets_by_name.values():
            await target.start()
            row = target.announce()
            await self.members.report(target.process, row, target.cold_ms)
        for name in self.plan.data_centres_by_entry:
            await self.start_entry(name)
        await curio.spawn(self._run_reports, daemon=True)
        await curio.spawn(self._check_entries, daemon=True)

    # Entries

    async def start_entry(self, name: str) -> None:
        """Start an entry, in place of an earlier one of this name."""
        entry = EmulatedEntry(
            self.network,
            name,
            self.addresses_by_entry[name],
            self.plan.data_centres_by_entry[name],
            self.members.addresses,
            self.protocol,
            self.random.randrange(2**32),
            self.plan.settings,
            self.decisions_of(name),
        )
        self.entries_by_name[name] = entry
        # The load balancer uses no entry that it has not found ready.
        entry.failed_checks = FAILURE_THRESHOLD
        await entry.start()

    async def _check_entries(self) -> None:
        while True:
            for entry in list(self.entries_by_name.values()):
                is_ready = await entry.check()
                entry.failed_checks = 0 if is_ready else entry.failed_checks + 1
            await self.clock.sleep_ms(CHECK_INTERVAL_MS)

    async def submit(
        self, data_centre: str, request: Request
    ) -> tuple[str, CallerExchange] | None:
        """Send a request of a caller to an entry of its data centre, if it has one.

        The load balancer takes the entries in turn, the next one where a connection is
        refused. Without an entry that is ready it tries all of them.

        Returns:
            Name of the entry, and the answer as it arrives; None if no entry takes it.
        """
        entries = [
            entry
            for entry in self.entries_by_name.values()
            if data_centre in ("", entry.data_centre)
        ]
        ready = [e for e in entries if e.failed_checks < FAILURE_THRESHOLD]
        ranked = ready or entries
        turn = next(self.turns)
        for number in range(len(ranked)):
            entry = ranked[(turn + number) % len(ranked)]
            exchange = await entry.submit(request)
            if exchange is not None:
                return entry.name, exchange
        return None

    # Reports of targets

    async def _run_reports(self) -> None:
        for group in itertools.cycle(range(REPORT_GROUPS)):
            now_ms = self.clock.now_ms()
            for target in list(self.targets_by_name.values())[group::REPORT_GROUPS]:
                if target.announces and not self._loses_report(target):
                    due_ms = now_ms + self.plan.report_lag_ms
                    cold_ms = target.cold_ms
                    self.reports.append((due_ms, target, target.announce(), cold_ms))
            while self.reports and self.reports[0][0] <= now_ms:
                _, target, row, cold_ms = self.reports.popleft()
                await self.members.report(target.process, row, cold_ms)
            await self.clock.sleep_ms(HEARTBEAT_MS // REPORT_GROUPS)

    def _loses_report(self, target: RelayTarget) -> bool:
        share = self.lost_reports_by_target.get(target.row.name, 0.0)
        return share > 0 and self.random.random() < share

    # Records

    def runs_by_key(self, keys: Sequence[str]) -> dict[str, int]:
        """Return how often orders ran at all targets together."""
        works = [target.work for target in self.targets_by_name.values()]
        return {
            key: sum(work.runs_by_key.get(key, 0) for work in works) for key in keys
        }
