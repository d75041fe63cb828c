"""Finds restarts of everything in log files, and clocks that contradict each other."""

from collections import defaultdict
from collections.abc import Iterator, Sequence

import attrs

from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.logs import events
from wagtailrun.observation.log_files import LogFile, LogLine

__all__ = ["Life", "Restart", "find_restarts"]

# Lines are written some milliseconds after what they tell, also on a busy machine.
MAX_CLOCK_DIFFERENCE_MS = 250
# No start takes a minute of processor time; some environments count that of others.
MAX_USED_MS = 60_000


@attrs.frozen
class Life:
    """Lines of a process from one start to the next.

    Attributes:
        process: Name of the process.
        lines: Its lines, in the order of the file.
    """

    process: str
    lines: list[LogLine]

    @property
    def is_complete(self) -> bool:
        """Whether the log has the start of the process."""
        return self.lines[0].event == events.PROCESS_STARTED.number

    @property
    def start_s(self) -> float:
        """Time of the first line."""
        return self.lines[0].time_s

    @property
    def end_s(self) -> float:
        """Time of the newest line."""
        return max(line.time_s for line in self.lines)

    @property
    def role(self) -> str:
        """Role of the process; empty if it is unknown."""
        return self.lines[0].word("role") or ""

    @property
    def data_centre(self) -> str:
        """Data centre of the process; empty if it is unknown."""
        return self.lines[0].word("data_centre") or ""

    @property
    def used_ms(self) -> float | None:
        """Processor time of the process until its first line, if it is known."""
        used_ms = self.lines[0].number("used_ms")
        return None if used_ms is None or used_ms > MAX_USED_MS else used_ms


@attrs.frozen
class Restart:
    """A restart of everything.

    Attributes:
        lives: Lines of each process after it, in the order of their starts.
        lives_before: Lines of the processes before it.
        missing: Processes that were known before and did not start again.
        untimed: Processes whose clocks jumped, or contradict those of others.
        gaps: What is missing, one sentence each.
    """

    lives: list[Life]
    lives_before: list[Life]
    missing: list[str]
    untimed: set[str]
    gaps: list[str]

    @property
    def first_start_s(self) -> float:
        """Time of the first start whose clock is not in doubt, or else of any."""
        timed = [life for life in self.lives if life.process not in self.untimed]
        return min(life.start_s for life in timed or self.lives)

    @property
    def last_line_s(self) -> float | None:
        """Time of the last line before; None if the logs have none."""
        return max((life.end_s for life in self.lives_before), default=None)


def _lives(files: Sequence[LogFile]) -> dict[str, list[Life]]:
    """Return the lives of each process, in the order of its files."""
    lines_by_process: dict[str, list[LogLine]] = defaultdict(list)
    for file in sorted(files, key=lambda f: f.lines[0].time_s if f.lines else 0.0):
        for line in file.lines:
            lines_by_process[line.process].append(line)
    lives: dict[str, list[Life]] = {}
    for process, lines in lines_by_process.items():
        own = lives[process] = []
        for line in lines:
            if not own or line.event == events.PROCESS_STARTED.number:
                own.append(Life(process, []))
            own[-1].lines.append(line)
    return lives


def find_restarts(files: Sequence[LogFile]) -> list[Restart]:
    """Return the restarts of everything, in order of time.

    Everything restarts when a process starts and no process has a line of an earlier
    life from then on. Without lines before, it is the first start of the system, which
    counts only if there is no other.
    """
    lives_by_process = _lives(files)
    starts = sorted(
        (
            (number, life)
            for lives in lives_by_process.values()
            for number, life in enumerate(lives)
            if life.is_complete
        ),
        key=lambda pair: pair[1].start_s,
    )
    cuts: list[dict[str, int]] = []
    begun: set[str] = set()
    for _, life in starts:
        cut = _cut(lives_by_process, life.start_s)
        if cut is not None and (not cuts or life.process in begun):
            cuts.append(cut)
            begun = set()
        begun.add(life.process)
    if len(cuts) > 1 and not any(cuts[0].values()):
        del cuts[0]
    if not cuts:
        return []
    ends = [*cuts[1:], {name: len(own) for name, own in lives_by_process.items()}]
    return [
        _restart(lives_by_process, cut, end)
        for cut, end in zip(cuts, ends, strict=True)
    ]


def _cut(lives_by_process: dict[str, list[Life]], at_s: float) -> dict[str, int] | None:
    """Return how many lives of each process ended before a time.

    Returns:
        None if a process lived on, or the log lacks its next start.
    """
    cut = {}
    for process, lives in lives_by_process.items():
        # The time of a start before the end of the life before it tells nothing.
        begun = [
            number
            for number, life in enumerate(lives)
            if life.start_s < at_s and not _set_back_ms(lives, number)
        ]
        ended = lives[: begun[-1] + 1] if begun else []
        if any(life.end_s >= at_s for life in ended):
            return None
        following = lives[len(ended) : len(ended) + 1]
        if following and not following[0].is_complete:
            return None
        cut[process] = len(ended)
    return cut


def _set_back_ms(lives: Sequence[Life], number: int) -> float:
    """Return by how much the clock of a process was set back before a life; or 0."""
    if not number:
        return 0.0
    ms = (lives[number - 1].end_s - lives[number].start_s) * MS_PER_SECOND
    return ms if ms > MAX_CLOCK_DIFFERENCE_MS else 0.0


def _restart(
    lives_by_process: dict[str, list[Life]], cut: dict[str, int], end: dict[str, int]
) -> Restart:
    after, before, missing, gaps = [], [], [], []
    untimed: set[str] = set()
    for process, lives in sorted(lives_by_process.items()):
        before += lives[: cut[process]]
        own = lives[cut[process] : end[process]]
        if not own:
            missing.append(process)
            gaps.append(f"{process}: no start after the loss; it is not in the figures")
            continue
        after.append(own[0])
        if set_back_ms := _set_back_ms(lives, cut[process]):
            untimed.add(process)
            gaps.append(
                f"{process}: its clock was set back by {round(set_back_ms)} ms or more "
                "before its start; it is not in the figures"
            )
        if len(own) > 1:
            gaps.append(
                f"{process}: started {len(own)} times after the loss; the figures are "
                "of the first time"
            )
    after.sort(key=lambda life: life.start_s)
    if not before:
        gaps.append(
            "the logs begin with the restart: nothing is known of the time before it"
        )
    faults = [*_jumps(after), *_contradictions(after)]
    untimed.update(name for names, _ in faults for name in names)
    gaps += [text for _, text in faults]
    return Restart(after, before, missing, untimed, gaps)


def _jumps(lives: Sequence[Life]) -> Iterator[tuple[tuple[str, ...], str]]:
    """Yield the processes whose time of day jumped after their start."""
    for life in lives:
        jumps_ms = [0.0]
        newest_s = life.start_s
        origin_ms: float | None = None
        for line in life.lines:
            jumps_ms.append((newest_s - line.time_s) * MS_PER_SECOND)
            newest_s = max(newest_s, line.time_s)
            after_ms = line.number("after_ms")
            if line.event == events.START_STEP_REACHED.number and after_ms is not None:
                # The time of day of the start, by a clock that does not jump.
                started_ms = line.time_s * MS_PER_SECOND - after_ms
                origin_ms = started_ms if origin_ms is None else origin_ms
                jumps_ms.append(abs(started_ms - origin_ms))
        if origin_ms is not None:
            jumps_ms.append(abs(origin_ms - life.start_s * MS_PER_SECOND))
        if (jump_ms := max(jumps_ms)) > MAX_CLOCK_DIFFERENCE_MS:
            yield (
                (life.process,),
                f"{life.process}: its clock jumped by {round(jump_ms)} ms after its "
                "start; it is not in the figures",
            )


def _contradictions(lives: Sequence[Life]) -> Iterator[tuple[tuple[str, ...], str]]:
    """Yield pairs of processes by whose clocks a process was heard before its start."""
    started_s = {life.process: life.start_s for life in lives}
    process_by_address = {
        address: life.process
        for life in lives
        for line in life.lines
        if line.event == events.MEMBER_RECOVERED.number
        and (address := line.word("member"))
    }
    found: dict[tuple[str, str], float] = {}
    for life in lives:
        for line in life.lines:
            other = None
            if line.event == events.ENTRY_LIVENESS_CHANGED.number:
                other = line.word("entry") if line.fields.get("live") else None
            elif line.event == events.PEER_RECOVERED.number:
                other = process_by_address.get(line.word("peer") or "")
            if other is None or other not in started_s or other == life.process:
                continue
            early_ms = (started_s[other] - line.time_s) * MS_PER_SECOND
            pair = (life.process, other)
            found[pair] = max(found.get(pair, early_ms), early_ms)
    for (hearer, other), early_ms in sorted(found.items()):
        if early_ms > MAX_CLOCK_DIFFERENCE_MS:
            yield (
                (hearer, other),
                f"the clock of {other} is ahead of that of {hearer} by "
                f"{round(early_ms)} ms or more: neither is in the figures",
            )
