"""What an entry has observed of its paths to targets."""

import math
import random
from collections.abc import Iterable, Iterator, Mapping

import attrs

from wagtailrun.clock import Clock, drop_expired
from wagtailrun.ports.link import Address
from wagtailrun.targets.path_hints import (
    HINT_VALIDITY_MS,
    PathHint,
    PathHints,
    ReceivedHint,
)
from wagtailrun.targets.table import TargetRow

__all__ = ["FRESH_CONNECTION_MS", "PathObservations"]

# Delay before the first probe; it doubles with each probe that fails.
FIRST_PROBE_MS = 100
# Bounds both the load of probes and how long a path that works again stays unused.
MAX_PROBE_INTERVAL_MS = 2_000
# Bounds the connections that probes hold open at a time.
MAX_CONCURRENT_PROBES = 4
# One target may have failed alone; two without an answer of a third have the way to
# their data centre in common.
MIN_TIMED_OUT_TARGETS = 2
# Idle connections are kept for 15 s. Those of before an interruption may deliver
# nothing, so only new ones are used for that time after it.
FRESH_CONNECTION_MS = 15_000
# Bounds the part of a gossip message that hints take, to about 400 bytes.
MAX_HINTS = 8


@attrs.define
class _Observation:
    """That a target, or any of a data centre, could not be reached.

    Attributes:
        since_ms: When that was observed first.
        failed_ms: When an attempt or a probe failed last.
        probe_at_ms: When the next probe is due.
        failed_probes: Number of probes since then, all of which failed.
        probing: Whether a probe is in progress.
        address: Address of the target.
        incarnation: Incarnation of the target that was probed last.
        data_centre: Data centre of the target.
        refused: Whether the target refused the connection, which its data centre has
            delivered.
    """

    since_ms: int
    failed_ms: int
    probe_at_ms: int
    failed_probes: int = 0
    probing: bool = False
    address: Address | None = None
    incarnation: int = 0
    data_centre: str = ""
    refused: bool = False


class PathObservations:
    """Which targets this entry cannot reach, by its own connections alone.

    An observation ends when a probe, or an attempt that began after it, was answered.
    What targets announce reaches the entry on other paths and ends none. Hints of other
    entries are kept apart: one makes this entry probe, and only the outcome counts.

    Args:
        clock: Clock.
        data_centre: Data centre of the entry; if empty, targets have no way in common.
        seed: Seed of the jitter.
    """

    def __init__(self, clock: Clock, data_centre: str = "", seed: int | None = None):
        self.clock = clock
        self.data_centre = data_centre
        self.random = random.Random(seed)
        self.observations_by_name: dict[str, _Observation] = {}
        self.observations_by_data_centre: dict[str, _Observation] = {}
        # Start of the newest attempt that was answered, by data centre.
        self.proven_ms_by_data_centre: dict[str, float] = {}
        self.answered_ms_by_service: dict[str, int] = {}
        self.fresh_until_ms_by_name: dict[str, int] = {}
        self.fresh_until_ms_by_data_centre: dict[str, int] = {}
        self.hints = PathHints(clock, data_centre)

    @property
    def has_observations(self) -> bool:
        """Whether any target cannot be reached."""
        return bool(self.observations_by_name or self.observations_by_data_centre)

    @property
    def needs_probes(self) -> bool:
        """Whether observations or hints are left, which probes or time will end."""
        return self.has_observations or not self.hints.is_empty

    def is_unreachable(self, row: TargetRow) -> bool:
        """Return whether no connection to a target could be opened."""
        if row.data_centre in self.observations_by_data_centre:
            return True
        found = self.observations_by_name.get(row.name)
        return found is not None and found.address == row.address

    def names_left_out(self, rows: list[TargetRow]) -> frozenset[str]:
        """Return the names of targets without a path, if another one has one.

        That one may have no room now, or have just failed; it is still the better one.
        """
        names = [row.name for row in rows if self.is_unreachable(row)]
        return frozenset(names) if len(names) < len(rows) else frozenset()

    def is_lost(self, row: TargetRow) -> bool:
        """Return whether a probe has confirmed that a target does not reply.

        One that refuses connections may accept them again at any time.
        """
        shared = self.observations_by_data_centre.get(row.data_centre)
        if shared is not None and shared.failed_probes:
            return True
        found = self.observations_by_name.get(row.name)
        if found is None or found.address != row.address:
            return False
        return bool(found.failed_probes) and not found.refused

    def needs_new_connection(self, row: TargetRow) -> bool:
        """Return whether open connections to a target may deliver nothing."""
        if self.is_unreachable(row):
            return True
        now_ms = self.clock.now_ms()
        return (
            self.fresh_until_ms_by_name.get(row.name, 0) > now_ms
            or self.fresh_until_ms_by_data_centre.get(row.data_centre, 0) > now_ms
        )

    def record_failure(self, row: TargetRow, refused: bool = False) -> None:
        """Record that no connection to a target could be opened.

        Args:
            row: Target.
            refused: Whether it refused the connection, as opposed to no reply.
        """
        found = self.observations_by_name.get(row.name)
        if found is None or found.address != row.address:
            found = self.observations_by_name[row.name] = self._observation()
            found.address, found.incarnation = row.address, row.incarnation
            found.data_centre = row.data_centre
        found.refused, found.failed_ms = refused, self.clock.now_ms()
        self.hints.forget_target(row.name)
        self._observe_data_centre(row.data_centre)

    def _observation(self) -> _Observation:
        now_ms = self.clock.now_ms()
        probe_at_ms = now_ms + self._jittered(FIRST_PROBE_MS)
        return _Observation(now_ms, now_ms, probe_at_ms)

    def _observe_data_centre(self, data_centre: str) -> None:
        """Observe that a data centre cannot be reached, if its targets show that."""
        if not self.data_centre or data_centre == self.data_centre:
            return
        if data_centre in self.observations_by_data_centre:
            return
        proven_ms = self.proven_ms_by_data_centre.get(data_centre, -math.inf)
        timed_out = [
            found
            for found in self.observations_by_name.values()
            if found.data_centre == data_centre
            and not found.refused
            and found.since_ms > proven_ms
        ]
        if len(timed_out) >= MIN_TIMED_OUT_TARGETS:
            self.observations_by_data_centre[data_centre] = self._observation()
            self.hints.forget_data_centre(data_centre)

    def record_answer(self, row: TargetRow, started_ms: int) -> None:
        """Record that a target answered an attempt or a probe.

        Args:
            row: Target.
            started_ms: When the attempt began; one of before an observation does not
                end it.
        """
        self.answered_ms_by_service[row.service] = self.clock.now_ms()
        self.hints.record_answer(row, started_ms)
        found = self.observations_by_name.get(row.name)
        if found is not None and started_ms >= found.since_ms:
            del self.observations_by_name[row.name]
            self._use_new_connections(self.fresh_until_ms_by_name, row.name)
        name = row.data_centre
        proven_ms = self.proven_ms_by_data_centre.get(name, -math.inf)
        self.proven_ms_by_data_centre[name] = max(proven_ms, started_ms)
        found = self.observations_by_data_centre.get(name)
        if found is not None and started_ms >= found.since_ms:
            del self.observations_by_data_centre[name]
            self._use_new_connections(self.fresh_until_ms_by_data_centre, name)
            self._probe_soon(name)

    def _use_new_connections(self, until_ms_by_key: dict[str, int], key: str) -> None:
        now_ms = self.clock.now_ms()
        drop_expired(until_ms_by_key, now_ms)
        until_ms_by_key[key] = now_ms + FRESH_CONNECTION_MS

    def _probe_soon(self, data_centre: str) -> None:
        for found in self.observations_by_name.values():
            if found.data_centre == data_centre:
                found.failed_probes = 0
                found.probe_at_ms = self._next_probe_ms(found)

    def due_probes(self, rows_by_name: Mapping[str, TargetRow]) -> list[TargetRow]:
        """Return the targets to probe now; each is reported by ``record_probe``.

        Where a whole data centre cannot be reached, one of its targets is probed for
        all.

        Args:
            rows_by_name: All known targets.
        """
        self._drop_unknown(rows_by_name)
        now_ms = self.clock.now_ms()
        shared = self.observations_by_data_centre
        due: list[tuple[_Observation | ReceivedHint, TargetRow]] = []
        for data_centre, found in shared.items():
            if not found.probing and now_ms >= found.probe_at_ms:
                due.append((found, self._representative(data_centre, rows_by_name)))
        for name, found in self.observations_by_name.items():
            if found.probing or found.data_centre in shared:
                continue
            row = rows_by_name[name]
            # A target that has restarted is likely to accept connections again.
            restarted = row.incarnation > found.incarnation
            if restarted or now_ms >= found.probe_at_ms:
                due.append((found, row))
        due.extend(self._hinted_targets(rows_by_name))
        probing = sum(found.probing for found in self._probed())
        due = due[: max(MAX_CONCURRENT_PROBES - probing, 0)]
        for subject, row in due:
            subject.probing = True
            if isinstance(subject, _Observation):
                subject.incarnation = row.incarnation
        return [row for _, row in due]

    def _probed(self) -> Iterator[_Observation | ReceivedHint]:
        """Yield what probes are for."""
        yield from self.observations_by_data_centre.values()
        yield from self.observations_by_name.values()
        yield from self.hints.hints_by_data_centre.values()
        yield from self.hints.hints_by_name.values()

    def _hinted_targets(
        self, rows_by_name: Mapping[str, TargetRow]
    ) -> list[tuple[ReceivedHint, TargetRow]]:
        """Return the hints to probe for now, each with the target to probe.

        What this entry has observed itself is probed for that reason already.
        """
        hints = self.hints
        due: list[tuple[ReceivedHint, TargetRow]] = []
        for name in hints.due(hints.hints_by_data_centre):
            if name not in self.observations_by_data_centre:
                row = self._representative(name, rows_by_name)
                due.append((hints.hints_by_data_centre[name], row))
        for name in hints.due(hints.hints_by_name):
            if not self.is_unreachable(rows_by_name[name]):
                due.append((hints.hints_by_name[name], rows_by_name[name]))
        return due

    def _drop_unknown(self, rows_by_name: Mapping[str, TargetRow]) -> None:
        """Drop the observations of targets that have left or moved."""
        for name, found in list(self.observations_by_name.items()):
            row = rows_by_name.get(name)
            if row is None or row.leaving or row.address != found.address:
                del self.observations_by_name[name]
        present = {row.data_centre for row in rows_by_name.values() if not row.leaving}
        for name in self.observations_by_data_centre.keys() - present:
            del self.observations_by_data_centre[name]
        self.hints.drop_expired(rows_by_name)

    def _representative(
        self, data_centre: str, rows_by_name: Mapping[str, TargetRow]
    ) -> TargetRow:
        """Return the target to probe for a data centre, if possible an untried one."""
        rows = [
            row
            for row in rows_by_name.values()
            if row.data_centre == data_centre and not row.leaving
        ]
        untried = [row for row in rows if row.name not in self.observations_by_name]
        return self.random.choice(untried or rows)

    def record_probe(
        self,
        row: TargetRow,
        started_ms: int,
        responds: bool | None,
        refused: bool = False,
    ) -> None:
        """Record the end of a probe.

        Args:
            row: Target.
            started_ms: When the probe began.
            responds: Whether the target answered; None if nothing was learned.
            refused: Whether it refused the connection, as opposed to no reply.
        """
        own = self.observations_by_name.get(row.name)
        shared = self.observations_by_data_centre.get(row.data_centre)
        for found in (own, shared):
            if found is not None and found.probing:
                found.probing = False
                if responds is False:
                    found.failed_probes += 1
                    found.failed_ms = self.clock.now_ms()
                found.probe_at_ms = self._next_probe_ms(found)
        hints = self.hints.end_probe(row)
        for hint in hints:
            hint.probe_at_ms = self.clock.now_ms() + self._jittered(FIRST_PROBE_MS)
        if responds:
            self.record_answer(row, started_ms)
        elif responds is False and hints:
            self.record_failure(row, refused)

    def _next_probe_ms(self, found: _Observation) -> int:
        interval_ms = FIRST_PROBE_MS << min(found.failed_probes, 10)
        interval_ms = min(interval_ms, MAX_PROBE_INTERVAL_MS)
        return self.clock.now_ms() + self._jittered(interval_ms)

    def _jittered(self, interval_ms: int) -> int:
        return self.random.randint(interval_ms // 2, interval_ms)

    def without_hints(self, rows: list[TargetRow]) -> list[TargetRow]:
        """Return the targets of which no other entry tells that it lost them."""
        return [row for row in rows if not self.hints.is_hinted(row)]

    def receive_hints(
        self,
        data_centre: str,
        hints: Iterable[PathHint],
        rows_by_name: Mapping[str, TargetRow],
    ) -> list[PathHint]:
        """Take the hints of another entry; see ``PathHints.receive``."""
        return self.hints.receive(data_centre, hints, rows_by_name)

    def own_hints(self) -> tuple[PathHint, ...]:
        """Return what this entry has observed itself lately, the newest first."""
        found = [
            (observation.failed_ms, PathHint(data_centre=name))
            for name, observation in self.observations_by_data_centre.items()
        ]
        found += [
            (observation.failed_ms, PathHint(target=name))
            for name, observation in self.observations_by_name.items()
            if observation.data_centre not in self.observations_by_data_centre
        ]
        found.sort(key=lambda pair: pair[0], reverse=True)
        now_ms = self.clock.now_ms()
        return tuple(
            attrs.evolve(hint, age_ms=now_ms - failed_ms)
            for failed_ms, hint in found[:MAX_HINTS]
            if now_ms - failed_ms <= HINT_VALIDITY_MS
        )
