"""What an entry has observed of its paths to targets."""

import math
import random
from collections.abc import Mapping

import attrs

from wagtailrun.clock import Clock
from wagtailrun.ports.link import Address
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


@attrs.define
class _Observation:
    """That a target, or any of a data centre, could not be reached.

    Attributes:
        since_ms: When that was observed first.
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
    What targets announce reaches the entry on other paths and ends none.

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

    @property
    def has_observations(self) -> bool:
        """Whether any target cannot be reached."""
        return bool(self.observations_by_name or self.observations_by_data_centre)

    def is_unreachable(self, row: TargetRow) -> bool:
        """Return whether no connection to a target could be opened."""
        if row.data_centre in self.observations_by_data_centre:
            return True
        found = self.observations_by_name.get(row.name)
        return found is not None and found.address == row.address

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
        found.refused = refused
        self._observe_data_centre(row.data_centre)

    def _observation(self) -> _Observation:
        now_ms = self.clock.now_ms()
        return _Observation(now_ms, now_ms + self._jittered(FIRST_PROBE_MS))

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

    def record_answer(self, row: TargetRow, started_ms: int) -> None:
        """Record that a target answered an attempt or a probe.

        Args:
            row: Target.
            started_ms: When the attempt began; one of before an observation does not
                end it.
        """
        self.answered_ms_by_service[row.service] = self.clock.now_ms()
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
        for other in [k for k, ms in until_ms_by_key.items() if ms <= now_ms]:
            del until_ms_by_key[other]
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
        due: list[tuple[_Observation, TargetRow]] = []
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
        known = [*shared.values(), *self.observations_by_name.values()]
        probing = sum(found.probing for found in known)
        due = due[: max(MAX_CONCURRENT_PROBES - probing, 0)]
        for found, row in due:
            found.probing, found.incarnation = True, row.incarnation
        return [row for _, row in due]

    def _drop_unknown(self, rows_by_name: Mapping[str, TargetRow]) -> None:
        """Drop the observations of targets that have left or moved."""
        for name, found in list(self.observations_by_name.items()):
            row = rows_by_name.get(name)
            if row is None or row.leaving or row.address != found.address:
                del self.observations_by_name[name]
        present = {row.data_centre for row in rows_by_name.values() if not row.leaving}
        for name in self.observations_by_data_centre.keys() - present:
            del self.observations_by_data_centre[name]

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
        self, row: TargetRow, started_ms: int, responds: bool | None
    ) -> None:
        """Record the end of a probe.

        Args:
            row: Target.
            started_ms: When the probe began.
            responds: Whether the target answered; None if nothing was learned.
        """
        own = self.observations_by_name.get(row.name)
        shared = self.observations_by_data_centre.get(row.data_centre)
        for found in (own, shared):
            if found is not None and found.probing:
                found.probing = False
                found.failed_probes += responds is False
                found.probe_at_ms = self._next_probe_ms(found)
        if responds:
            self.record_answer(row, started_ms)

    def _next_probe_ms(self, found: _Observation) -> int:
        interval_ms = FIRST_PROBE_MS << min(found.failed_probes, 10)
        interval_ms = min(interval_ms, MAX_PROBE_INTERVAL_MS)
        return self.clock.now_ms() + self._jittered(interval_ms)

    def _jittered(self, interval_ms: int) -> int:
        return self.random.randint(interval_ms // 2, interval_ms)
