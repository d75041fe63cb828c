"""Account of a restart of everything: what the system waited for to serve again."""

import statistics
from collections import Counter, defaultdict
from collections.abc import Iterator, Sequence
from typing import Any

import attrs

from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.logs import events
from wagtailrun.observation.log_files import LogFile, LogLine
from wagtailrun.observation.log_gaps import absent_entries, suppressed_lines
from wagtailrun.observation.restarts import Life, Restart, find_restarts
from wagtailrun.observation.stage_report import RouteEnds
from wagtailrun.process.start_steps import StartStep

__all__ = ["RestartReport"]

# Requests before the loss that the share in time is compared with.
BEFORE_S = 30.0
# Window of the share after the restart, and the share of before that counts as served.
WINDOW_MS = 2_000
RECOVERED_SHARE = 0.9
# A share of fewer requests is none.
MIN_REQUESTS = 3
# The window whose share the report states begins so long after the last start.
SETTLED_MS = 2_000
REQUEST_EVENTS = {events.RELAY_ENDED.number, events.RELAY_REFUSED.number}
FIRST_FAILED_STATUS = 500
ENTRY, MEMBER = "relay entry", "relay control"

# Steps in their order, and those that each one awaits.
AWAITED_BY_STEP: dict[str, tuple[str, ...]] = {
    "entry-started": (),
    "member-started": (),
    "files-read": ("member-started",),
    "leader": ("files-read",),
    "member-configured": ("leader",),
    "reads-confirmed": ("leader", "member-configured"),
    "target-reported": ("member-started",),
    "member-replied": ("entry-started", "member-started"),
    "entries-known": ("member-replied",),
    "targets-known": ("member-replied", "target-reported"),
    "configured": ("member-replied", "member-configured"),
    "confirmed": ("configured", "reads-confirmed"),
    "owner-replied": ("confirmed", "targets-known"),
    "first-call": ("confirmed", "targets-known"),
    "first-answer": ("confirmed", "targets-known", "owner-replied"),
    "ready": ("confirmed",),
}
# Those that the table of the processes has.
SHOWN_STEPS = (
    "files-read",
    "leader",
    "member-configured",
    "reads-confirmed",
    "member-replied",
    "targets-known",
    "configured",
    "confirmed",
    "owner-replied",
    "first-answer",
    "ready",
)
# Events that show a step when they first come at a process of the role.
STEP_BY_EVENT = {
    (ENTRY, events.PROCESS_STARTED.number): "entry-started",
    (MEMBER, events.PROCESS_STARTED.number): "member-started",
    (MEMBER, events.MEMBER_RECOVERED.number): "files-read",
    (MEMBER, events.BECAME_LEADER.number): "leader",
    (MEMBER, events.FLEET_CONFIG_APPLIED.number): "member-configured",
    (MEMBER, events.TARGET_STATE_CHANGED.number): "target-reported",
    (ENTRY, events.FLEET_CONFIG_APPLIED.number): "configured",
}
# Steps of event 640 that are reached for each service: the last one counts, as a
# request may need any of them.
LAST_COUNTS = {StartStep.TARGETS_KNOWN}


@attrs.frozen
class _Moment:
    """When a process reached a step, in milliseconds after the first start."""

    process: str
    at_ms: float


class RestartReport:
    """Account of one restart of everything, from log files of the relay's processes.

    Times are those of the lines, in milliseconds after the first start of a process.
    A process whose clock jumped, or contradicts another one's, has no figures.

    Args:
        files: Log files of the processes.
        number: Which restart of everything to report, from 1; the last one by default.
    """

    def __init__(self, files: Sequence[LogFile], number: int = 0):
        self.files = files
        self.restarts = find_restarts(files)
        self.number = number or len(self.restarts)
        is_known = 0 < self.number <= len(self.restarts)
        self.restart: Restart | None = (
            self.restarts[self.number - 1] if is_known else None
        )
        self.is_chosen = bool(number)
        self.moments_by_step: dict[str, list[_Moment]] = defaultdict(list)
        if self.restart is not None:
            for life in self.restart.lives:
                if life.process not in self.restart.untimed:
                    self._add_steps(life)

    def _after_ms(self, time_s: float) -> float:
        assert self.restart is not None
        return (time_s - self.restart.first_start_s) * MS_PER_SECOND

    def _add_steps(self, life: Life) -> None:
        reached_s: dict[str, float] = {}
        for line in life.lines:
            step = self._step(life.role, line)
            if step is None:
                continue
            time_s = line.time_s
            if line.event == events.STAGE_CALL_ENDED.number:
                time_s -= (line.number("took_ms") or 0) / MS_PER_SECOND
            if step in LAST_COUNTS:
                reached_s[step] = max(time_s, reached_s.get(step, time_s))
            else:
                reached_s.setdefault(step, time_s)
        for step, time_s in reached_s.items():
            moment = _Moment(life.process, self._after_ms(time_s))
            self.moments_by_step[step].append(moment)

    @staticmethod
    def _step(role: str, line: LogLine) -> str | None:
        """Return the step that a line shows, None if it shows none."""
        if line.event == events.START_STEP_REACHED.number:
            step = line.word("step")
            return step if step in AWAITED_BY_STEP else None
        if role == ENTRY:
            if line.event == events.READINESS_CHANGED.number:
                return "ready" if line.fields.get("ready") is True else None
            if line.event == events.STAGE_CALL_ENDED.number:
                return "first-call"
            if line.event == events.RELAY_ENDED.number:
                return "first-answer" if _is_answer(line) else None
        return STEP_BY_EVENT.get((role, line.event))

    # Tables

    def restart_rows(self) -> list[dict[str, Any]]:
        """Return one row about the restart; none without a restart."""
        restart = self.restart
        if restart is None:
            return []
        timed = [life for life in restart.lives if life.process not in restart.untimed]
        starts_s = [life.start_s for life in timed]
        dark_ms = None
        if restart.last_line_s is not None and not restart.untimed:
            dark_ms = round((restart.first_start_s - restart.last_line_s) * 1_000)
        return [
            {
                "first_start_s": round(restart.first_start_s, 3),
                "without_lines_ms": dark_ms,
                "last_start_ms": round(self._after_ms(max(starts_s)))
                if starts_s
                else None,
                "processes": len(restart.lives),
                "missing": len(restart.missing),
            }
        ]

    def step_rows(self) -> list[dict[str, Any]]:
        """Return a row for each step, with what the slowest process waited for."""
        rows = []
        for step in AWAITED_BY_STEP:
            moments = sorted(self.moments_by_step[step], key=lambda m: m.at_ms)
            if not moments:
                rows.append({"step": step, "processes": 0})
                continue
            waits = [self._wait(step, moment) for moment in moments]
            awaited, waited_ms = waits[-1]
            rows.append(
                {
                    "step": step,
                    "processes": len(moments),
                    "first_ms": round(moments[0].at_ms),
                    "median_ms": round(statistics.median(m.at_ms for m in moments)),
                    "last_ms": round(moments[-1].at_ms),
                    "last_process": moments[-1].process,
                    "awaited": awaited,
                    "waited_ms": waited_ms,
                }
            )
        return rows

    def _wait(self, step: str, moment: _Moment) -> tuple[str | None, int | None]:
        """Return which step was awaited last, and for how long after it.

        Steps of the same process count; those of others from when the first of them
        had reached it.
        """
        ends_ms: dict[str, float] = {}
        for awaited in AWAITED_BY_STEP[step]:
            known = self.moments_by_step[awaited]
            own = [each.at_ms for each in known if each.process == moment.process]
            if known:
                ends_ms[awaited] = own[0] if own else min(each.at_ms for each in known)
        before = {name: ms for name, ms in ends_ms.items() if ms <= moment.at_ms}
        if not before:
            return None, None
        last = max(before, key=before.__getitem__)
        return last, round(moment.at_ms - before[last])

    def process_rows(self) -> list[dict[str, Any]]:
        """Return a row for each process, with when it reached its steps."""
        restart = self.restart
        if restart is None:
            return []
        at_ms = {
            (step, moment.process): round(moment.at_ms)
            for step, moments in self.moments_by_step.items()
            for moment in moments
        }
        rows = []
        for life in restart.lives:
            row: dict[str, Any] = {"process": life.process, "role": life.role}
            started = at_ms.get(("entry-started", life.process))
            started = at_ms.get(("member-started", life.process), started)
            row["started_ms"] = started
            row["start_used_ms"] = life.used_ms
            row.update({name: at_ms.get((name, life.process)) for name in SHOWN_STEPS})
            rows.append(row)
        return rows

    def route_rows(self) -> list[dict[str, Any]]:
        """Return a row for all requests, and for each route and data centre."""
        restart = self.restart
        if restart is None:
            return []
        before = self._requests(restart.lives_before, restart.first_start_s - BEFORE_S)
        after = self._requests(restart.lives, 0.0)
        keys = sorted({key for key, _ in (*before, *after) if key[0]})
        rows = [self._route_row("(all)", "", before, after)]
        for route, data_centre in keys:
            own_before = [r for r in before if r[0] == (route, data_centre)]
            own_after = [r for r in after if r[0] == (route, data_centre)]
            rows.append(self._route_row(route, data_centre, own_before, own_after))
        return rows

    def _requests(
        self, lives: Sequence[Life], from_s: float
    ) -> list[tuple[tuple[str, str], LogLine]]:
        """Return the requests that ended, with their route and data centre."""
        assert self.restart is not None
        found = []
        for life in lives:
            if life.process in self.restart.untimed:
                continue
            for line in life.lines:
                if line.event not in REQUEST_EVENTS or line.time_s < from_s:
                    continue
                if line.event == events.RELAY_REFUSED.number and (
                    (line.number("status") or 0) < FIRST_FAILED_STATUS
                ):
                    continue  # An unknown route or key: the answer to the request.
                key = (line.word("route") or "", life.data_centre)
                found.append((key, line))
        return found

    def _route_row(
        self,
        route: str,
        data_centre: str,
        before: Sequence[tuple[Any, LogLine]],
        after: Sequence[tuple[Any, LogLine]],
    ) -> dict[str, Any]:
        share_before = _share([line for _, line in before])
        lines = sorted((line for _, line in after), key=_arrived_s)
        first_ms = [self._after_ms(line.time_s) for line in lines if _is_in_time(line)]
        last_start_ms = self.restart_rows()[0]["last_start_ms"]
        share_settled = None
        if last_start_ms is not None:
            settled_ms = last_start_ms + SETTLED_MS
            share_settled = _share(self._arrived_in(lines, settled_ms))
        return {
            "route": route,
            "data_centre": data_centre,
            "before": len(before),
            "share_before": share_before,
            "after": len(lines),
            "first_in_time_ms": round(min(first_ms)) if first_ms else None,
            "recovered_ms": self._recovered_ms(lines, share_before),
            "share_settled": share_settled,
        }

    def _arrived_in(self, lines: Sequence[LogLine], from_ms: float) -> list[LogLine]:
        return [
            line
            for line in lines
            if from_ms <= self._after_ms(_arrived_s(line)) < from_ms + WINDOW_MS
        ]

    def _recovered_ms(
        self, lines: Sequence[LogLine], share_before: float | None
    ) -> int | None:
        """Return when the window began that has the share of before; None if none."""
        if share_before is None:
            return None
        for line in lines:
            from_ms = self._after_ms(_arrived_s(line))
            share = _share(self._arrived_in(lines, from_ms))
            if share is not None and share >= RECOVERED_SHARE * share_before:
                return round(from_ms)
        return None

    def second_rows(self) -> list[dict[str, Any]]:
        """Return a row for each second after the first start with requests."""
        restart = self.restart
        if restart is None:
            return []
        ends: dict[int, RouteEnds] = defaultdict(RouteEnds)
        reasons: dict[int, Counter[str]] = defaultdict(Counter)
        for _, line in self._requests(restart.lives, 0.0):
            second = int(self._after_ms(_arrived_s(line)) // MS_PER_SECOND)
            ends[second].add(line)
            if reason := line.word("reason"):
                reasons[second][reason] += 1
        rows = []
        for second in sorted(ends):
            row = ends[second].row("")
            del row["route"]
            texts = [f"{name} {n}" for name, n in reasons[second].most_common()]
            rows.append({"second": second, **row, "reasons": ", ".join(texts)})
        return rows

    # Gaps

    def gaps(self) -> list[str]:
        """Return what is missing or makes figures inexact, one sentence each."""
        gaps = [gap for file in self.files for gap in file.gaps]
        if self.restart is None:
            gaps.append(self._absence())
            return gaps
        gaps += self.restart.gaps
        if len(self.restarts) > 1 and not self.is_chosen:
            gaps.append(
                f"{len(self.restarts)} restarts of everything: the last one is shown; "
                "choose one by its number"
            )
        lines = [line for life in self.restart.lives for line in life.lines]
        gaps += suppressed_lines(lines)
        gaps += absent_entries([line for file in self.files for line in file.lines])
        gaps += self._missing_steps()
        if not self._requests(self.restart.lives_before, 0.0):
            gaps.append(
                "no requests before the restart: the share of before is unknown"
            )
        if not self._requests(self.restart.lives, 0.0):
            gaps.append("no requests after the restart: it is unknown who was served")
        return gaps

    def _absence(self) -> str:
        if self.restarts:
            return f"there are {len(self.restarts)} restarts of everything, no further"
        return (
            "no restart of everything: at no moment had all processes ended, with "
            "their next starts in the logs"
        )

    def _missing_steps(self) -> Iterator[str]:
        assert self.restart is not None
        counts = {step: len(m) for step, m in self.moments_by_step.items()}
        roles = Counter(
            life.role
            for life in self.restart.lives
            if life.process not in self.restart.untimed
        )
        for role, first in ((ENTRY, "entry-started"), (MEMBER, "member-started")):
            if not roles[role]:
                yield f"no process of the role {role}: its steps are unknown"
            elif not counts.get(first):
                yield f"no start of the role {role} has a time"
        if roles[MEMBER] and not counts.get("leader"):
            yield "no line of event 501: no member became the leader, or a log lacks it"
        for step in ("files-read", "member-replied", "configured", "confirmed"):
            role = MEMBER if step == "files-read" else ENTRY
            lacking = roles[role] - counts.get(step, 0)
            if roles[role] and lacking > 0:
                yield f"{lacking} of {roles[role]} processes did not reach {step}"


def _is_answer(line: LogLine) -> bool:
    status = line.number("status") or 0
    return line.word("outcome") == "answered" and status < FIRST_FAILED_STATUS


def _is_in_time(line: LogLine) -> bool:
    ends = RouteEnds()
    ends.add(line)
    return ends.in_time > 0


def _arrived_s(line: LogLine) -> float:
    return line.time_s - (line.number("took_ms") or 0) / MS_PER_SECOND


def _share(lines: Sequence[LogLine]) -> float | None:
    """Return the share of requests in time; None for too few."""
    if len(lines) < MIN_REQUESTS:
        return None
    return round(sum(map(_is_in_time, lines)) / len(lines), 3)
