"""Watches targets: two entries per target judge its silence for all others."""

import attrs
import curio

from wagtailrun.exceptions import MessageError, PeerUnreachable
from wagtailrun.gossip_messages import (
    AgedRow,
    EntryRow,
    GossipAsk,
    GossipGrowth,
    GossipRows,
    Growth,
    pack_growth,
    unpack_growth,
)
from wagtailrun.gossip_peers import PeerTable, rendezvous
from wagtailrun.gossip_push import PUSH_TIMEOUT_MS, Contact
from wagtailrun.membership import TARGET_TIMEOUT_MS, Membership, TargetRow

__all__ = ["TargetWatch"]

WATCHERS_PER_TARGET = 2
TICK_MS = 100
PUSH_TICK_MS = 50
# Announcements come every second; with this delay and one lost forward the age of a
# healthy target at its watchers stays under ASK_MS.
FORWARD_MS = 500
# Before a target is declared silent, others are asked, up to three times if they do not
# answer, so that a lost message does not put a healthy target out of rotation.
ASK_TIMEOUT_MS = 150
ASK_ROUNDS = 3
ASKED_PER_ROUND = 2
ASK_MS = TARGET_TIMEOUT_MS - ASK_ROUNDS * ASK_TIMEOUT_MS - 50
# One announcement interval and half of one for delays.
OVERTAKEN_MS = 1_500
# Time to confirm all known targets after a time in which nothing was heard.
CONFIRM_MS = TARGET_TIMEOUT_MS + 1_000
# A process that was stopped for longer than this has heard nothing in between.
PAUSE_MS = 1_000
FORGET_INTERVAL_MS = 10_000


class TargetWatch:
    """Forwards announcements to watchers, and judges the targets watched here.

    Args:
        contact: Calls other entries.
        peers: Known entries.
        membership: Known targets.
    """

    def __init__(self, contact: Contact, peers: PeerTable, membership: Membership):
        self.contact = contact
        self.clock = contact.clock
        self.peers = peers
        self.membership = membership
        self.was_isolated = False
        self.asking = False
        # Messages in the last round of forwards.
        self.forwards = 0
        self.confirm_until_ms = 0
        self.watchers_by_name: dict[str, list[str]] = {}
        self.known_for = (-1, -1)
        self.chosen_for: tuple[int, int, bool] | None = None
        membership.set_watched((), self.clock.now_ms())

    def watchers(self, name: str) -> list[str]:
        """Return the entries that judge the silence of a target."""
        known_for = (self.peers.generation, self.membership.state_log.number)
        if known_for != self.known_for:
            self.watchers_by_name.clear()
            self.known_for = known_for
        watchers = self.watchers_by_name.get(name)
        if watchers is None:
            row = self.membership.targets_by_name.get(name)
            if row is None:
                return []
            # Targets elsewhere are judged by who exchanges with their data centre.
            key = name if self.membership.is_local(row) else "watch"
            live = self.peers.live_names()
            watchers = rendezvous(key, live, WATCHERS_PER_TARGET)
            self.watchers_by_name[name] = watchers
        return watchers

    async def judge(self) -> None:
        """Judge the silence of targets and the health of entries until cancelled."""
        tick_ms = forget_ms = self.clock.now_ms()
        while True:
            await self.clock.sleep_ms(TICK_MS)
            now_ms = self.clock.now_ms()
            if now_ms - tick_ms > PAUSE_MS:
                self.restart(now_ms)
            tick_ms = now_ms
            isolated = self._note_isolation(now_ms)
            if not isolated:
                self.peers.bury(now_ms)
            self._choose_watched(isolated, now_ms)
            if not self.asking:
                await self._ask_for_overdue(isolated, now_ms)
            if now_ms - forget_ms >= FORGET_INTERVAL_MS:
                self.membership.drop_expired_rows(now_ms)
                forget_ms = now_ms

    def restart(self, now_ms: int) -> None:
        """Count all silence from now on, and have every known target confirmed.

        Others may have forgotten targets that left meanwhile, so nobody else would
        tell this entry.
        """
        self.membership.restart_silence_timers(now_ms)
        self.peers.restart_suspicion(now_ms)
        self.contact.last_ms = max(self.contact.last_ms, now_ms - TICK_MS)
        self.confirm_until_ms = now_ms + CONFIRM_MS

    def _note_isolation(self, now_ms: int) -> bool:
        """Enter or leave the state in which the last known targets are kept.

        It is entered when no other entry and no target was heard for a while, and left
        with the first message of either; silence then counts from that moment.
        """
        isolated = self.contact.is_isolated()
        quiet_ms = now_ms - self.membership.last_direct_contact_ms
        unconfirmed = isolated and quiet_ms >= TARGET_TIMEOUT_MS - 2 * TICK_MS
        if self.was_isolated and not isolated:
            self.restart(now_ms)
        elif self.membership.unconfirmed and not unconfirmed:
            self.membership.restart_silence_timers(now_ms)
        self.was_isolated = isolated
        self.membership.unconfirmed = unconfirmed
        return isolated

    def _choose_watched(self, isolated: bool, now_ms: int) -> None:
        rows = self.membership.targets_by_name
        if isolated:
            # Only what was heard here without another entry's help can be judged.
            heard_here = self.membership.direct_contact_ms_by_name
            heard = self.membership.last_contact_ms_by_name
            names = [n for n in rows if heard_here.get(n, -1) >= heard[n]]
            self.chosen_for = None
        else:
            confirming = now_ms < self.confirm_until_ms
            number = self.membership.state_log.number
            chosen_for = (self.peers.generation, number, confirming)
            if chosen_for == self.chosen_for:
                return
            self.chosen_for = chosen_for
            own = self.peers.name
            names = [n for n in rows if confirming or own in self.watchers(n)]
        self.membership.set_watched(names, now_ms)

    async def _ask_for_overdue(self, isolated: bool, now_ms: int) -> None:
        names = [
            name
            for name in self.membership.watched_since_ms_by_name
            if self._is_judged(name)
            and self.membership.is_overdue(name, now_ms, ASK_MS)
        ]
        if names:
            self.asking = True
            await curio.spawn(self._confirm_silence, names, isolated, daemon=True)

    def _is_judged(self, name: str) -> bool:
        row = self.membership.targets_by_name.get(name)
        return row is not None and not (row.leaving or row.silent)

    async def _confirm_silence(self, names: list[str], isolated: bool) -> None:
        """Declare targets silent if no other entry has newer knowledge of them."""
        try:
            due_ms = self.clock.now_ms() + TARGET_TIMEOUT_MS - ASK_MS
            answered = isolated or await self._ask_others(names)
            await self.clock.sleep_ms(due_ms - self.clock.now_ms())
            if not answered:
                # Whoever reaches nobody may be the one that is cut off.
                return
            now_ms = self.clock.now_ms()
            for name in names:
                if name not in self.membership.watched_since_ms_by_name:
                    continue
                if isolated and not self._is_overtaken(name):
                    continue
                if self._is_judged(name) and self.membership.is_overdue(name, now_ms):
                    self.membership.mark_unresponsive(name, now_ms)
        finally:
            self.asking = False

    def _is_overtaken(self, name: str) -> bool:
        """Return whether another target was heard here well after ``name``.

        Targets that all fell silent within one announcement interval are more likely
        to be out of reach, or to announce themselves elsewhere, than dead.
        """
        heard_ms = self.membership.last_contact_ms_by_name[name]
        return self.membership.last_direct_contact_ms - heard_ms >= OVERTAKEN_MS

    async def _ask_others(self, names: list[str]) -> bool:
        """Ask for newer knowledge; return whether anyone answered or nobody is there.

        The other watchers are asked until they answer, and further entries in each
        round, because the path from whoever hears a target may be cut just here.
        """
        rows = {row.name: row for row in self.peers.others()}
        watchers = {w for name in names for w in self.watchers(name) if w in rows}
        rest = sorted(rows.keys() - watchers)
        self.contact.chance.shuffle(rest)
        answered: set[str] = set()
        for _ in range(ASK_ROUNDS):
            extra, rest = rest[:ASKED_PER_ROUND], rest[ASKED_PER_ROUND:]
            waiting = sorted(watchers - answered) + extra
            async with curio.TaskGroup() as group:
                for name in waiting:
                    await group.spawn(self._ask, rows[name], names)
            done = zip(waiting, group.results, strict=True)
            answered.update(name for name, replied in done if replied)
        return bool(answered) or not rows

    async def _ask(self, row: EntryRow, names: list[str]) -> bool:
        question = GossipAsk(tuple(names))
        try:
            answer = await self.contact.call(row.address, question, ASK_TIMEOUT_MS)
            self.take(answer)
        except (PeerUnreachable, MessageError):
            return False
        self.contact.heard(row.data_centre)
        return True

    def answer(self, question: GossipAsk) -> GossipRows:
        """Return the rows of targets that were heard lately."""
        return GossipRows(targets=tuple(self.aged(question.names, ASK_MS)))

    def aged(
        self, names: tuple[str, ...] | list[str], limit_ms: int | None = None
    ) -> list[AgedRow]:
        """Return the known rows of ``names``, at most ``limit_ms`` old."""
        now_ms = self.clock.now_ms()
        rows = []
        for name in names:
            row = self.membership.targets_by_name.get(name)
            if row is not None:
                age_ms = now_ms - self.membership.last_contact_ms_by_name[name]
                if limit_ms is None or age_ms < limit_ms:
                    rows.append(AgedRow(row, max(age_ms, 0)))
        return rows

    def growth(self, names: list[str]) -> bytes:
        """Return packed sequence and load of ``names``."""
        return pack_growth(
            Growth.of(aged.row, aged.age_ms) for aged in self.aged(names)
        )

    def take(self, message: GossipRows) -> None:
        """Keep the rows of targets and entries in a message."""
        now_ms = self.clock.now_ms()
        for aged in message.targets:
            self.take_row(aged, now_ms)
        self.take_growth(message.growth)
        for entry in message.entries:
            self.peers.put(entry, now_ms)

    def take_row(self, aged: AgedRow, now_ms: int) -> None:
        """Keep one row; an answer for a target elsewhere refreshes its age too."""
        row = aged.row
        if self.membership.put(row, now_ms, aged.age_ms):
            return
        known = self.membership.targets_by_name.get(row.name)
        if known == row and not self.membership.is_local(row):
            self.refresh(row, now_ms - aged.age_ms)

    def refresh(self, row: TargetRow, heard_ms: int) -> None:
        """Note that a target elsewhere was confirmed by its own data centre."""
        heard = self.membership.last_contact_ms_by_name
        heard[row.name] = max(heard[row.name], heard_ms)

    def take_growth(self, data: bytes) -> None:
        """Keep newer sequences and loads of known incarnations."""
        now_ms = self.clock.now_ms()
        membership = self.membership
        for record in unpack_growth(data):
            name = membership.names_by_id.get(record.target_id)
            known = membership.targets_by_name.get(name)
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
        """Tell watchers what was heard here, until cancelled."""
        while True:
            await self.clock.sleep_ms(FORWARD_MS)
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
                for watcher, heard in names_by_watcher.items():
                    await group.spawn(self._forward, watcher, heard)

    async def _forward(self, watcher: str, names: list[str]) -> None:
        row = self.peers.rows_by_name[watcher]
        message = GossipGrowth(self.growth(names))
        try:
            await self.contact.call(row.address, message, PUSH_TIMEOUT_MS)
            self.contact.heard(row.data_centre)
        except PeerUnreachable:
            await self._relay(watcher, names)

    async def _relay(self, watcher: str, names: list[str]) -> None:
        """Send what was heard to a watcher by way of another entry."""
        rows = [row for row in self.peers.others() if row.name != watcher]
        if not rows:
            return
        row = self.contact.chance.choice(rows)
        message = GossipRows(growth=self.growth(names), members=(watcher,))
        try:
            await self.contact.call(row.address, message, PUSH_TIMEOUT_MS)
            self.contact.heard(row.data_centre)
        except PeerUnreachable:
            # Gossip, and the questions before a target is declared silent, remain.
            return

    async def push(self) -> None:
        """Push changes found here on to all entries at once, until cancelled."""
        while True:
            await self.clock.sleep_ms(PUSH_TICK_MS)
            await self.push_now()

    async def push_now(self) -> None:
        """Push what waits to be pushed."""
        targets, entries = self.membership.names_to_push, self.peers.names_to_push
        if not targets and not entries:
            return
        self.membership.names_to_push, self.peers.names_to_push = set(), set()
        rows = tuple(self.peers.rows_by_name[name] for name in sorted(entries))
        message = GossipRows(tuple(self.aged(sorted(targets))), b"", rows)
        await self.contact.push(self.contact.push_members(), message)
