"""Failure detection of targets: two watchers per target declare it silent for all."""

import attrs
import curio

from wagtailrun.exceptions import MessageError, PeerUnreachable
from wagtailrun.gossip.messages import (
    AgedRow,
    EntryRow,
    GossipAsk,
    GossipGrowth,
    GossipRows,
    Growth,
    pack_growth,
    unpack_growth,
)
from wagtailrun.gossip.peers import PeerTable, rendezvous
from wagtailrun.gossip.push import PUSH_TIMEOUT_MS, PeerClient
from wagtailrun.targets.table import TARGET_TIMEOUT_MS, Membership, TargetRow

__all__ = ["TargetMonitor"]

WATCHERS_PER_TARGET = 2
TICK_MS = 100
PUSH_INTERVAL_MS = 50
# Targets announce themselves every second. With this delay and one lost forward, the
# age of a healthy target at its watchers stays below QUERY_AFTER_MS.
FORWARD_INTERVAL_MS = 500
# Before a target is declared silent, other entries are queried, up to three times if
# they do not answer, so that a lost message does not take a healthy target out of
# rotation.
QUERY_TIMEOUT_MS = 150
QUERY_ROUNDS = 3
EXTRA_QUERIES_PER_ROUND = 2
QUERY_AFTER_MS = TARGET_TIMEOUT_MS - QUERY_ROUNDS * QUERY_TIMEOUT_MS - 50
# One and a half announcement intervals; the half allows for delays.
LATER_CONTACT_MS = 1_500
# Time in which all known targets are confirmed after a loss of contact.
CONFIRM_ALL_MS = TARGET_TIMEOUT_MS + 1_000
# A tick that is late by more than this shows that the process was paused and received
# no messages meanwhile.
PROCESS_PAUSE_MS = 1_000
FORGET_INTERVAL_MS = 10_000


class TargetMonitor:
    """Forwards announcements to watchers, and monitors the targets watched here.

    Args:
        client: Calls other entries.
        peers: Known entries.
        membership: Known targets.
    """

    def __init__(self, client: PeerClient, peers: PeerTable, membership: Membership):
        self.client = client
        self.clock = client.clock
        self.peers = peers
        self.membership = membership
        self.was_isolated = False
        self.querying = False
        # Messages sent in the last round of forwards.
        self.forwards = 0
        self.confirm_until_ms = 0
        self.watchers_by_name: dict[str, list[str]] = {}
        self.watchers_key = (-1, -1)
        self.selection_key: tuple[int, int, bool] | None = None
        membership.set_watched((), self.clock.now_ms())

    def watchers(self, name: str) -> list[str]:
        """Return the names of the entries that may declare a target silent."""
        watchers_key = (self.peers.generation, self.membership.state_log.number)
        if watchers_key != self.watchers_key:
            self.watchers_by_name.clear()
            self.watchers_key = watchers_key
        watchers = self.watchers_by_name.get(name)
        if watchers is None:
            row = self.membership.targets_by_name.get(name)
            if row is None:
                return []
            # Targets of other data centres are monitored by the entries that exchange
            # with those data centres.
            key = name if self.membership.is_local(row) else "watch"
            live = self.peers.live_names()
            watchers = rendezvous(key, live, WATCHERS_PER_TARGET)
            self.watchers_by_name[name] = watchers
        return watchers

    async def monitor(self) -> None:
        """Detect silent targets and dead entries until cancelled."""
        tick_ms = forget_ms = self.clock.now_ms()
        while True:
            await self.clock.sleep_ms(TICK_MS)
            now_ms = self.clock.now_ms()
            if now_ms - tick_ms > PROCESS_PAUSE_MS:
                self.restart_timers(now_ms)
            tick_ms = now_ms
            isolated = self._update_isolation(now_ms)
            if not isolated:
                self.peers.expire(now_ms)
            self._select_watched(isolated, now_ms)
            if not self.querying:
                await self._query_overdue(isolated, now_ms)
            if now_ms - forget_ms >= FORGET_INTERVAL_MS:
                self.membership.drop_expired_rows(now_ms)
                forget_ms = now_ms

    def restart_timers(self, now_ms: int) -> None:
        """Restart all timeouts, and confirm every known target.

        Other entries may have dropped targets that left meanwhile, so none of them
        would report to this entry that they are gone.
        """
        self.membership.restart_silence_timers(now_ms)
        self.peers.restart_suspicion_timers(now_ms)
        self.client.last_contact_ms = max(self.client.last_contact_ms, now_ms - TICK_MS)
        self.confirm_until_ms = now_ms + CONFIRM_ALL_MS

    def _update_isolation(self, now_ms: int) -> bool:
        """Update ``membership.unconfirmed``; return whether this entry is isolated.

        Targets become unconfirmed, and the last known ones stay in use, when neither
        another entry nor a target has been in contact for a while. The first message of
        either ends that state and restarts the silence timeouts.
        """
        isolated = self.client.is_isolated()
        quiet_ms = now_ms - self.membership.last_direct_contact_ms
        unconfirmed = isolated and quiet_ms >= TARGET_TIMEOUT_MS - 2 * TICK_MS
        if self.was_isolated and not isolated:
            self.restart_timers(now_ms)
        elif self.membership.unconfirmed and not unconfirmed:
            self.membership.restart_silence_timers(now_ms)
        self.was_isolated = isolated
        self.membership.unconfirmed = unconfirmed
        return isolated

    def _select_watched(self, isolated: bool, now_ms: int) -> None:
        rows = self.membership.targets_by_name
        if isolated:
            # Only targets whose newest announcement was received here directly can be
            # monitored without other entries.
            names = [n for n in rows if self.membership.is_announced_here(n)]
            self.selection_key = None
        else:
            confirming = now_ms < self.confirm_until_ms
            number = self.membership.state_log.number
            selection_key = (self.peers.generation, number, confirming)
            if selection_key == self.selection_key:
                return
            self.selection_key = selection_key
            own = self.peers.name
            names = [n for n in rows if confirming or own in self.watchers(n)]
        self.membership.set_watched(names, now_ms)

    async def _query_overdue(self, isolated: bool, now_ms: int) -> None:
        names = [
            name
            for name in self.membership.watched_since_ms_by_name or ()
            if self._is_monitored(name)
            and self.membership.is_overdue(name, now_ms, QUERY_AFTER_MS)
        ]
        if names:
            self.querying = True
            await curio.spawn(self._confirm_silence, names, isolated, daemon=True)

    def _is_monitored(self, name: str) -> bool:
        row = self.membership.targets_by_name.get(name)
        return row is not None and not (row.leaving or row.silent)

    async def _confirm_silence(self, names: list[str], isolated: bool) -> None:
        """Declare targets silent if no other entry has newer rows of them."""
        try:
            due_ms = self.clock.now_ms() + TARGET_TIMEOUT_MS - QUERY_AFTER_MS
            answered = isolated or await self._query_others(names)
            await self.clock.sleep_ms(due_ms - self.clock.now_ms())
            if not answered:
                # No entry answered, so this entry may be the one that is cut off.
                return
            now_ms = self.clock.now_ms()
            for name in names:
                if name not in (self.membership.watched_since_ms_by_name or ()):
                    continue
                if isolated and not self._is_behind_others(name):
                    continue
                if self._is_monitored(name) and self.membership.is_overdue(
                    name, now_ms
                ):
                    self.membership.mark_unresponsive(name, now_ms)
        finally:
            self.querying = False

    def _is_behind_others(self, name: str) -> bool:
        """Return whether another target announced itself here well after ``name``.

        Targets that all became silent within one announcement interval are more likely
        to be unreachable, or to announce themselves to another entry, than dead.
        """
        contact_ms = self.membership.last_contact_ms_by_name[name]
        return self.membership.last_direct_contact_ms - contact_ms >= LATER_CONTACT_MS

    async def _query_others(self, names: list[str]) -> bool:
        """Query other entries for newer rows.

        The other watchers are queried until they answer, and further entries in each
        round, because perhaps only the link to this entry from the one that receives a
        target's announcements is down.

        Returns:
            Whether an entry answered or there is no other entry.
        """
        rows = {row.name: row for row in self.peers.others()}
        watchers = {w for name in names for w in self.watchers(name) if w in rows}
        rest = sorted(rows.keys() - watchers)
        self.client.rng.shuffle(rest)
        answered: set[str] = set()
        for _ in range(QUERY_ROUNDS):
            extra, rest = rest[:EXTRA_QUERIES_PER_ROUND], rest[EXTRA_QUERIES_PER_ROUND:]
            waiting = sorted(watchers - answered) + extra
            async with curio.TaskGroup() as group:
                for name in waiting:
                    await group.spawn(self._query, rows[name], names)
            done = zip(waiting, group.results, strict=True)
            answered.update(name for name, replied in done if replied)
        return bool(answered) or not rows

    async def _query(self, row: EntryRow, names: list[str]) -> bool:
        request = GossipAsk(tuple(names))
        try:
            reply = await self.client.call(row.address, request, QUERY_TIMEOUT_MS)
            self.merge_rows(reply)
        except (PeerUnreachable, MessageError):
            return False
        self.client.record_contact(row.data_centre)
        return True

    def answer_query(self, request: GossipAsk) -> GossipRows:
        """Return the requested rows whose announcements are not overdue."""
        return GossipRows(targets=tuple(self.aged_rows(request.names, QUERY_AFTER_MS)))

    def aged_rows(
        self, names: tuple[str, ...] | list[str], limit_ms: int | None = None
    ) -> list[AgedRow]:
        """Return the known rows of ``names`` that are younger than ``limit_ms``."""
        now_ms = self.clock.now_ms()
        rows = []
        for name in names:
            row = self.membership.targets_by_name.get(name)
            if row is not None:
                age_ms = now_ms - self.membership.last_contact_ms_by_name[name]
                if limit_ms is None or age_ms < limit_ms:
                    rows.append(AgedRow(row, max(age_ms, 0)))
        return rows

    def packed_growth(self, names: list[str]) -> bytes:
        """Return the packed ``Growth`` records of ``names``."""
        return pack_growth(
            Growth.of(aged.row, aged.age_ms) for aged in self.aged_rows(names)
        )

    def merge_rows(self, message: GossipRows) -> None:
        """Merge the rows of targets and entries in a message."""
        now_ms = self.clock.now_ms()
        for aged in message.targets:
            self.merge_row(aged, now_ms)
        self.merge_growth(message.growth)
        for entry in message.entries:
            self.peers.put(entry, now_ms)

    def merge_row(self, aged: AgedRow, now_ms: int) -> None:
        """Merge one row; an unchanged row of another data centre updates its age."""
        row = aged.row
        if self.membership.put(row, now_ms, aged.age_ms):
            return
        known = self.membership.targets_by_name.get(row.name)
        if known == row and not self.membership.is_local(row):
            self.record_confirmation(row, now_ms - aged.age_ms)

    def record_confirmation(self, row: TargetRow, contact_ms: int) -> None:
        """Record that a target's own data centre confirmed it at ``contact_ms``."""
        ms_by_name = self.membership.last_contact_ms_by_name
        ms_by_name[row.name] = max(ms_by_name[row.name], contact_ms)

    def merge_growth(self, data: bytes) -> None:
        """Merge newer packed ``Growth`` records of known incarnations."""
        now_ms = self.clock.now_ms()
        membership = self.membership
        for record in unpack_growth(data):
            name = membership.names_by_id.get(record.target_id)
            known = None if name is None else membership.targets_by_name.get(name)
            if known is None or record.sequence <= known.sequence:
                continue
            if known.incarnation != record.incarnation:
                continue
            grown = attrs.evolve(
                known,
                sequence=record.sequence,
                running=record.running,
                queued=record.queued,
                silent=False,
            )
            membership.put(grown, now_ms, record.age_ms)

    async def forward(self) -> None:
        """Forward announcements received here to the watchers until cancelled."""
        while True:
            await self.clock.sleep_ms(FORWARD_INTERVAL_MS)
            names, self.membership.names_to_forward = (
                self.membership.names_to_forward,
                set(),
            )
            names_by_watcher: dict[str, list[str]] = {}
            for name in sorted(names):
                for watcher in self.watchers(name):
                    names_by_watcher.setdefault(watcher, []).append(name)
            names_by_watcher.pop(self.peers.name, None)
            self.forwards = len(names_by_watcher)
            async with curio.TaskGroup() as group:
                for watcher, forwarded in names_by_watcher.items():
                    await group.spawn(self._forward_to, watcher, forwarded)

    async def _forward_to(self, watcher: str, names: list[str]) -> None:
        row = self.peers.rows_by_name[watcher]
        message = GossipGrowth(self.packed_growth(names))
        try:
            await self.client.call(row.address, message, PUSH_TIMEOUT_MS)
            self.client.record_contact(row.data_centre)
        except PeerUnreachable:
            await self._forward_via_relay(watcher, names)

    async def _forward_via_relay(self, watcher: str, names: list[str]) -> None:
        """Forward announcements to a watcher through another entry."""
        rows = [row for row in self.peers.others() if row.name != watcher]
        if not rows:
            return
        row = self.client.rng.choice(rows)
        message = GossipRows(growth=self.packed_growth(names), members=(watcher,))
        try:
            await self.client.call(row.address, message, PUSH_TIMEOUT_MS)
            self.client.record_contact(row.data_centre)
        except PeerUnreachable:
            # The watcher may still receive them by gossip, or when it queries others
            # before it declares a target silent.
            return

    async def push_changes(self) -> None:
        """Push changes that originate here to all entries until cancelled."""
        while True:
            await self.clock.sleep_ms(PUSH_INTERVAL_MS)
            await self.push_pending()

    async def push_pending(self) -> None:
        """Push all pending changes."""
        targets, entries = self.membership.names_to_push, self.peers.names_to_push
        if not targets and not entries:
            return
        self.membership.names_to_push, self.peers.names_to_push = set(), set()
        rows = tuple(self.peers.rows_by_name[name] for name in sorted(entries))
        message = GossipRows(tuple(self.aged_rows(sorted(targets))), b"", rows)
        await self.client.push(self.client.push_members(), message)

    async def push_departures(self) -> None:
        """Push the goodbyes that some other entry is not known to have.

        An entry that answered a push may end itself, and a push may have been cut off,
        so only gossip exchanges count.
        """
        marks = [self.peers.partner(row).sent.targets for row in self.peers.others()]
        names = self.membership.state_log.changed_since(min(marks, default=0))
        rows = self.membership.targets_by_name
        self.membership.names_to_push.update(n for n in names if rows[n].leaving)
        await self.push_pending()
