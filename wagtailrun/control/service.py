"""Service of a control member: registry commands, queries and configuration updates."""

import difflib
from typing import Any

import attrs
import curio

from wagtailrun.clock import Clock
from wagtailrun.codec import encode
from wagtailrun.control.text_watch import ConfigurationLongPoll
from wagtailrun.exceptions import ConsensusUnavailable, FleetTextError, MessageError
from wagtailrun.fleet.model import parse_fleet_text
from wagtailrun.messages import Ping, Pong
from wagtailrun.ports.log import NO_CLUSTER, ReplicatedLog
from wagtailrun.registry.messages import (
    ApplyText,
    CloseEngineOrder,
    CloseOrder,
    ClosePeriod,
    ExportAudit,
    FindOrder,
    GrantController,
    ListOrders,
    NotLeader,
    OpenOrder,
    PutEngineOrder,
    PutText,
    RecordMembers,
    SweepOrders,
    TextVerdict,
    Unavailable,
    WatchText,
)
from wagtailrun.registry.state import OrderKey, Registry

__all__ = ["MAX_INLINE_TEXT_CHARS", "ControlService"]

PROPOSE_TIMEOUT_MS = 2_000
SWEEP_INTERVAL_MS = 1_000
MAX_LISTED_ORDERS = 1_000
# Longer texts are parsed in a thread: parsing is pure Python and would otherwise delay
# the heartbeats of this member.
MAX_INLINE_TEXT_CHARS = 32 * 1024
# difflib takes quadratic time in the number of lines in the worst case.
MAX_DIFFERENCE_LINES = 300
MAX_DIFFERENCE_CHARS = 16 * 1024


class ControlService:
    """Handles the requests of entries and other control members.

    Args:
        clock: Clock.
        name: Name of this VM.
        registry: Local replica of the replicated state.
        log: Replicated log whose commands are applied to the registry.
    """

    def __init__(self, clock: Clock, name: str, registry: Registry, log: ReplicatedLog):
        self.clock = clock
        self.name = name
        self.registry = registry
        self.log = log
        self.text_watch = ConfigurationLongPoll(
            clock, lambda: (registry.revision, registry.text)
        )

    async def handle(self, message: Any) -> Any:
        """Return the reply to one message of a peer.

        Raises:
            MessageError: If the message is not a registry command or query.
        """
        match message:
            case ApplyText():
                return await self._apply_text(message)
            case PutText():
                return await self._put_text(message)
            case (
                OpenOrder()
                | CloseOrder()
                | GrantController()
                | PutEngineOrder()
                | CloseEngineOrder()
                | ClosePeriod()
                | RecordMembers()
            ):
                return await self.propose(message)
            case FindOrder() | ListOrders() | ExportAudit():
                return await self._answer_query(message)
            case WatchText():
                return await self.text_watch.watch(message)
            case Ping():
                return Pong(self.name)
        raise MessageError(
            f"{type(message).__name__} is not a registry command or query"
        )

    async def propose(self, message: Any, leadership: int | None = None) -> Any:
        """Commit a command with this member's wall time, and return its result.

        Args:
            message: The command.
            leadership: Leadership of this member without which it proposes nothing; by
                default the present one.

        Returns:
            Result of the command, ``NotLeader`` or ``Unavailable``.
        """
        if not self.log.is_leader or leadership not in (None, self.log.leadership):
            return self._not_leader()
        wall_ms = self.clock.wall_ms()
        if isinstance(message, OpenOrder):
            # The wall clock of the entry may differ, so keep the remaining time.
            remaining_ms = message.deadline_ms - message.now_ms
            deadline_ms = max(wall_ms + remaining_ms, 0)
            message = attrs.evolve(message, deadline_ms=deadline_ms)
        stamped = attrs.evolve(message, now_ms=wall_ms)
        try:
            return await self.log.propose(encode(stamped), PROPOSE_TIMEOUT_MS)
        except ConsensusUnavailable as error:
            return _unavailable(error)

    async def run_order_sweeps(self) -> None:
        """Propose due order sweeps while this member is the leader, until cancelled."""
        while True:
            await self.clock.sleep_ms(SWEEP_INTERVAL_MS)
            # A sweep that changes nothing would write and sync a record every second.
            if self.log.is_leader and self.registry.sweep_is_due(self.clock.wall_ms()):
                await self.propose(SweepOrders(0))

    async def _apply_text(self, message: ApplyText) -> Any:
        if not self.log.is_leader:
            return self._not_leader()
        fault = ""
        if message.change_id not in self.registry.changes_by_id:
            fault = await _check_text(message.text)
        verdict = await self.propose(attrs.evolve(message, fault=fault))
        stale = isinstance(verdict, TextVerdict) and (
            not verdict.accepted and message.base_revision != verdict.revision
        )
        if not stale:
            return verdict
        difference = _describe_difference(self.registry, message.text)
        return attrs.evolve(verdict, difference=difference)

    async def _put_text(self, message: PutText) -> Any:
        """Commit a higher version; refuse others without a write to the log."""
        if not self.log.is_leader:
            return self._not_leader()
        if message.version > self.registry.revision:
            return await self.propose(message)
        try:
            await self.log.barrier(PROPOSE_TIMEOUT_MS)
        except ConsensusUnavailable as error:
            return _unavailable(error)
        detail = f"revision {self.registry.revision} is already applied"
        return TextVerdict(False, self.registry.revision, detail)

    async def _answer_query(self, message: FindOrder | ListOrders | ExportAudit) -> Any:
        """Answer a query from state that includes every earlier commit."""
        if not self.log.is_leader:
            return self._not_leader()
        try:
            await self.log.barrier(PROPOSE_TIMEOUT_MS)
        except ConsensusUnavailable as error:
            return _unavailable(error)
        match message:
            case FindOrder():
                key = OrderKey(message.workspace, message.key)
                return self.registry.find_order(key)
            case ListOrders():
                limit = min(message.limit, MAX_LISTED_ORDERS)
                return self.registry.list_orders(message.workspace, limit)
        return self.registry.audit.export(message.first, message.limit)

    def _not_leader(self) -> NotLeader | Unavailable:
        if self.log.cluster_detail:
            detail = f"{self.name} {NO_CLUSTER}"
            return _unavailable(ConsensusUnavailable(detail, may_have_committed=False))
        return NotLeader(str(self.log.leader_address or ""))


def _unavailable(error: ConsensusUnavailable) -> Unavailable:
    return Unavailable(str(error), error.may_have_committed, error.retry_after_ms)


async def _check_text(text: str) -> str:
    """Return why the fleet text is invalid, or an empty string."""
    try:
        if len(text) > MAX_INLINE_TEXT_CHARS:
            await curio.run_in_thread(parse_fleet_text, text)
        else:
            parse_fleet_text(text)
    except FleetTextError as error:
        return str(error) or "the fleet text is invalid"
    return ""


def _describe_difference(registry: Registry, proposed: str) -> str:
    """Return a unified diff from the current fleet text to ``proposed``.

    It has at most ``MAX_DIFFERENCE_CHARS`` characters. If too many lines differ, only
    their numbers are returned.
    """
    current_lines = registry.text.splitlines()
    proposed_lines = proposed.splitlines()
    start = 0
    shortest = min(len(current_lines), len(proposed_lines))
    while start < shortest and current_lines[start] == proposed_lines[start]:
        start += 1
    end = 0
    while (
        end < shortest - start and current_lines[-1 - end] == proposed_lines[-1 - end]
    ):
        end += 1
    before = current_lines[start : len(current_lines) - end]
    after = proposed_lines[start : len(proposed_lines) - end]
    if max(len(before), len(after)) > MAX_DIFFERENCE_LINES:
        return (
            f"lines {start + 1} to {start + len(before)} of revision "
            f"{registry.revision} differ from {len(after)} proposed lines; that is too "
            "many to show"
        )
    label = f"revision {registry.revision}"
    lines = difflib.unified_diff(before, after, label, "proposed", lineterm="")
    header = f"first differing line: {start + 1}"
    return "\n".join([header, *lines])[:MAX_DIFFERENCE_CHARS]
