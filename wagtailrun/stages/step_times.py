"""Time of a step at the owner of its service, divided by what the step waited for."""

import enum

import attrs

from wagtailrun.logs.step_fields import DURATION_NAMES

__all__ = ["Phase", "StepTimes"]


class Phase(enum.IntEnum):
    """What a step waits for, in the order of ``DURATION_NAMES``.

    Attributes:
        INPUTS: Earlier steps, which produce its inputs.
        QUEUED: Its turn, behind more urgent steps or as all targets are in calls.
        MEMORY: Memory for its results at a target that is free.
        REMOTE: A target of its data centre; only others are free, which it may not use.
        PAUSED: A target that is neither paused nor unusable; none is in a call.
        CALLS: The end of calls with its last pieces.
        TRANSFER: The requesting entry, which has yet to take the results.
    """

    INPUTS = 0
    QUEUED = 1
    MEMORY = 2
    REMOTE = 3
    PAUSED = 4
    CALLS = 5
    TRANSFER = 6


@attrs.define(eq=False)
class StepTimes:
    """Durations of the phases of a step, which add up to its whole time.

    At each moment a step is in one phase. While any of its pieces waits for a call,
    that is what the waiting pieces wait for, and ``CALLS`` once all pieces are in calls
    or done: the step cannot end before a call with the last piece has begun. With one
    piece this is the time of that piece; with several ones, calls of the first pieces
    beside which others wait count as waiting.

    Attributes:
        started_ms: When the step was announced or requested.
        phase: Present phase.
        since_ms: When it began.
        ms_by_phase: Durations of the phases that have ended, in milliseconds.
        calls: Number of calls with pieces of the step.
        call_pieces: Pieces of these calls, those of other steps included.
        call_places: Pieces that these calls had room for.
        is_closed: Whether the step has ended and is counted.
    """

    started_ms: int
    phase: Phase
    since_ms: int
    ms_by_phase: list[int] = attrs.field(factory=lambda: [0] * len(Phase))
    calls: int = 0
    call_pieces: int = 0
    call_places: int = 0
    is_closed: bool = False

    @classmethod
    def start(cls, now_ms: int, ready: bool) -> "StepTimes":
        """Return the times of a step that was announced, or is ready, just now."""
        return cls(now_ms, Phase.QUEUED if ready else Phase.INPUTS, now_ms)

    def turn(self, phase: Phase, now_ms: int) -> None:
        """Begin a phase, unless it is the present one."""
        if phase is not self.phase:
            self.ms_by_phase[self.phase] += now_ms - self.since_ms
            self.phase = phase
            self.since_ms = now_ms

    def record_call(self, pieces: int, places: int) -> None:
        """Count a call that begins with pieces of the step."""
        self.calls += 1
        self.call_pieces += pieces
        self.call_places += places

    def close(self, now_ms: int) -> None:
        """End the present phase, and the step."""
        self.ms_by_phase[self.phase] += now_ms - self.since_ms
        self.since_ms = now_ms
        self.is_closed = True

    @property
    def total_ms(self) -> int:
        """Time from the announcement or request to the end of the last phase."""
        return self.since_ms - self.started_ms

    @property
    def turn_ms(self) -> int:
        """Time for which the step waited for its turn, whatever the reason."""
        return sum(self.ms_by_phase[Phase.QUEUED : Phase.CALLS])

    def fields(self) -> dict[str, int | float]:
        """Return the fields of a log line; phases that took no time are left out."""
        fields: dict[str, int | float] = {"calls": self.calls}
        if self.calls:
            fields["fill"] = round(self.call_pieces / self.call_places, 2)
        fields["total_ms"] = self.total_ms
        fields.update(
            (name, ms)
            for name, ms in zip(DURATION_NAMES, self.ms_by_phase, strict=True)
            if ms
        )
        return fields
