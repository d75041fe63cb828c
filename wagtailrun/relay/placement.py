"""Placement of prompts on engines, by one owner entry for each service.

The owner knows all prompts of the service. An entry alone sees a ninth of them or less,
and two prompts that one engine prefills at once delay each other by 250 ms.
"""

from collections.abc import Callable

import attrs
import curio

from wagtailrun import events
from wagtailrun.clock import Clock
from wagtailrun.discovery.owners import Owners
from wagtailrun.exceptions import MessageError, PeerUnreachable
from wagtailrun.membership import TargetRow
from wagtailrun.ports.link import PeerLink
from wagtailrun.relay.choice import TargetChooser
from wagtailrun.relay.estimate import MarginEstimator
from wagtailrun.relay.placement_messages import (
    Placed,
    PlaceRun,
    RunNoted,
    RunOutcome,
    RunOver,
)
from wagtailrun.relay.port import TargetLoad

__all__ = ["PlacementClient", "PlacementHost", "ownership_key"]

# The owner replies within 1 ms; without a reply the entry chooses an engine itself.
CALL_TIMEOUT_MS = 150
# A run whose end is not reported expires after this time; the longest streams take
# 12 s.
RUN_LIFETIME_MS = 20_000


@attrs.frozen
class _Run:
    """An attempt in progress.

    Attributes:
        row: Engine.
        started_ms: When the engine was chosen.
        prefill_queue_ms: Expected remaining prefill time of earlier prompts.
        uncached_tokens: Tokens that are probably not in the engine's prefix cache.
        expected_ms: Expected time to the first event.
    """

    row: TargetRow
    started_ms: int
    prefill_queue_ms: float = 0.0
    uncached_tokens: int = 0
    expected_ms: float = 0.0


class PlacementHost:
    """Chooses engines for all entries; the owner's side of placement.

    Args:
        clock: Clock.
        chooser: Tracks the attempts placed on each engine.
        targets: Returns the targets of a service.
    """

    def __init__(
        self,
        clock: Clock,
        chooser: TargetChooser,
        targets: Callable[[str], list[TargetRow]],
    ):
        self.clock = clock
        self.chooser = chooser
        self.targets = targets
        self.runs_by_key: dict[tuple[str, str], _Run] = {}
        self.margins_by_route: dict[str, MarginEstimator] = {}

    def handle(self, message: PlaceRun | RunOver) -> Placed | RunNoted:
        """Return the reply to one message from an entry.

        Raises:
            MessageError: If it is not a placement message.
        """
        match message:
            case PlaceRun():
                return self._place(message)
            case RunOver():
                return self._record_end(message)
        raise MessageError(
            f"{type(message).__name__} is not handled by the placement owner"
        )

    def _place(self, message: PlaceRun) -> Placed:
        rows = self.targets(message.service)
        row = self.chooser.choose(
            rows,
            message.avoid,
            parts=message.parts,
            prompt_tokens=message.prompt_tokens,
            result_bytes_by_data_centre={
                size.data_centre: size.bytes for size in message.results
            },
        )
        if row is None:
            return Placed("", "", 0)
        expected_ms = self.chooser.expected_first_event_ms(
            row, message.parts, message.prompt_tokens
        )
        if message.begin:
            self._expire_runs()
            self.runs_by_key[message.request_id, row.name] = _Run(
                row=row,
                started_ms=self.clock.now_ms(),
                prefill_queue_ms=self.chooser.prefill_queue_ms(row),
                uncached_tokens=self.chooser.uncached_tokens(
                    row, message.parts, message.prompt_tokens
                ),
                expected_ms=expected_ms,
            )
            self.chooser.record_start(row, message.parts, message.prompt_tokens)
        estimator = self.margins_by_route.get(message.route)
        margin_ms = estimator.margin_ms if estimator is not None else 0.0
        return Placed(row.name, row.data_centre, int(expected_ms), int(margin_ms))

    def _record_end(self, message: RunOver) -> RunNoted:
        run = self.runs_by_key.pop((message.request_id, message.target), None)
        if run is None:
            return RunNoted(False)
        self.chooser.record_end(run.row)
        if message.slots:
            load = TargetLoad(message.running, message.waiting, message.slots)
            self.chooser.record_load(run.row, load)
        match message.outcome:
            case RunOutcome.SUCCEEDED:
                self._record_success(run, message)
            case RunOutcome.FAILED:
                self.chooser.record_failure(run.row)
            case RunOutcome.UNREACHABLE:
                self.chooser.record_unreachable(run.row)
            case RunOutcome.REJECTED:
                self.chooser.record_rejection(run.row, False)
            case RunOutcome.MISDIRECTED:
                self.chooser.record_rejection(run.row, True)
        return RunNoted(True)

    def _record_success(self, run: _Run, message: RunOver) -> None:
        """Update the estimates with the first event of an attempt."""
        first_event_ms = message.first_event_ms
        slowness = first_event_ms / max(run.expected_ms, 1.0)
        self.chooser.record_success(run.row, slowness)
        took_ms = first_event_ms - run.prefill_queue_ms
        self.chooser.record_first_event(run.row, run.uncached_tokens, took_ms)
        if message.route:
            estimator = self.margins_by_route.get(message.route)
            if estimator is None:
                estimator = self.margins_by_route[message.route] = MarginEstimator(
                    self.clock
                )
            estimator.add_error(message.error_ms)

    def _expire_runs(self) -> None:
        """Drop the oldest runs whose entries did not report an end."""
        limit_ms = self.clock.now_ms() - RUN_LIFETIME_MS
        while self.runs_by_key:
            key, run = next(iter(self.runs_by_key.items()))
            if run.started_ms > limit_ms:
                return
            del self.runs_by_key[key]
            self.chooser.record_end(run.row)


class PlacementClient:
    """Requests engines from the owner of a service.

    Args:
        link: Link to other entries.
        name: Name of this entry.
        owners: Chooses the owner of a service.
        host: Chooses engines if this entry is the owner or the owner does not reply.
    """

    def __init__(self, link: PeerLink, name: str, owners: Owners, host: PlacementHost):
        self.link = link
        self.name = name
        self.owners = owners
        self.host = host
        # Name of the owner that placed each attempt in progress.
        self.owner_names_by_key: dict[tuple[str, str], str] = {}

    async def place(self, message: PlaceRun) -> Placed:
        """Return the engine of an attempt."""
        owner = self.owners.owner(ownership_key(message.service))
        placed = None
        if owner is not None and owner.name != self.name:
            try:
                placed = await self.link.call(owner.address, message, CALL_TIMEOUT_MS)
            except PeerUnreachable as error:
                if not error.alive:
                    self.owners.exclude(owner, str(error))
        if not isinstance(placed, Placed):
            owner, placed = None, self.host.handle(message)
        if message.begin and placed.target and owner is not None:
            self.owner_names_by_key[message.request_id, placed.target] = owner.name
        return placed

    async def report_end(self, message: RunOver) -> None:
        """Report how an attempt ended to the entry that chose its engine."""
        name = self.owner_names_by_key.pop(
            (message.request_id, message.target), self.name
        )
        if name == self.name:
            self.host.handle(message)
        else:
            await curio.spawn(self._send_end, name, message, daemon=True)

    async def _send_end(self, name: str, message: RunOver) -> None:
        for row in self.owners.entries():
            if row.name == name:
                try:
                    await self.link.call(row.address, message, CALL_TIMEOUT_MS)
                except PeerUnreachable as error:
                    # The run expires at the owner without this report.
                    events.log(events.PEER_LOST, peer=name, detail=str(error))


def ownership_key(service: str) -> str:
    """Return the key by which all entries find the owner of a service's engines."""
    return f"engines of {service}"
