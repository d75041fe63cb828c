"""Model of a target of a stage: calls of several pieces, results kept in memory."""

import enum
import itertools
from collections import deque
from collections.abc import Callable, Iterable

import attrs

from wagtailrun.experiments.target_models.base import Load, ModelTarget, RefusalCause
from wagtailrun.experiments.target_models.parameters import StageParameters

__all__ = ["CallAnswer", "Piece", "PieceEnd", "PieceReply", "StageCall", "StageModel"]


class PieceEnd(enum.StrEnum):
    """What became of a piece; the words are those of ``stages.PieceOutcome``."""

    DONE = "done"
    LATE = "late"
    GONE = "gone"
    NO_MEMORY = "no-memory"


@attrs.frozen
class Piece:
    """One piece of a call.

    Attributes:
        inputs: Handles of the results that it needs.
        due_ms: Time at which its result would be too late; None for never.
    """

    inputs: tuple[str, ...] = ()
    due_ms: float | None = None


@attrs.frozen
class StageCall:
    """A call; ``call`` is its identifier, and no other call at the target has it."""

    call: str
    pieces: tuple[Piece, ...]


@attrs.frozen
class PieceReply:
    """Reply for one piece; ``handle`` names its result if it is done."""

    end: PieceEnd
    handle: str = ""


@attrs.frozen
class CallAnswer:
    """Answer to a call, with a reply for each piece, in order."""

    call: str
    at_ms: float
    run_ms: float
    replies: tuple[PieceReply, ...]


@attrs.define(eq=False)
class _Running:
    """A call that runs; ``replies`` lacks the handles until its end."""

    call: StageCall
    started_ms: float
    replies: list[PieceReply]
    cancelled: bool = False


class StageModel(ModelTarget[CallAnswer]):
    """A target of a stage.

    The memory for the results of a call is reserved when it begins. Pieces whose input
    is gone, that would be too late, or whose result has no room do not run.

    Args:
        parameters: Speed and size.
        name: Name of the target, with which its handles begin.
        can_fetch: Returns whether the result of another target can be fetched now; by
            default the target has its own results only.
    """

    def __init__(
        self,
        parameters: StageParameters,
        name: str = "stage",
        can_fetch: Callable[[str], bool] = lambda handle: False,
    ):
        super().__init__(parameters.report_lag_ms)
        self.parameters = parameters
        self.name = name
        self.can_fetch = can_fetch
        self.waiting: deque[StageCall] = deque()
        self.running: list[_Running] = []
        self.results: set[str] = set()
        self.reserved = 0
        self._handles = itertools.count(1)

    def submit(self, call: StageCall, now_ms: float) -> RefusalCause | None:
        """Begin a call, or let it wait; return why it is refused."""
        self._run_until(now_ms)
        parameters = self.parameters
        if not self.is_alive:
            return RefusalCause.DOWN
        if len(call.pieces) > parameters.pieces_per_call:
            return RefusalCause.TOO_LARGE
        is_full = len(self.running) >= parameters.places
        if is_full and len(self.waiting) >= parameters.max_waiting:
            return RefusalCause.FULL
        self._check_new(call.call)
        self.waiting.append(call)
        self._start()
        self._note_load()
        return None

    def cancel(self, call: str, now_ms: float) -> None:
        """End a call without an answer.

        One that runs keeps its place to its end, but leaves no results.
        """
        self._run_until(now_ms)
        self.waiting = deque(each for each in self.waiting if each.call != call)
        for each in self.running:
            each.cancelled |= each.call.call == call
        self._note_load()

    def release(self, handles: Iterable[str], now_ms: float) -> None:
        """Drop results; those that are not there do not matter."""
        self._run_until(now_ms)
        for handle in handles:
            self.results.discard(handle)
        self._note_load()

    def has(self, handle: str, now_ms: float) -> bool:
        """Return whether a result is there, so that it can be fetched."""
        self._run_until(now_ms)
        return handle in self.results

    @property
    def used_bytes(self) -> float:
        """Bytes of its memory that results take up, or calls have reserved."""
        kept = len(self.results) + self.reserved
        return kept * self.parameters.result_bytes

    def _start(self) -> None:
        places = self.parameters.places
        while not self.is_paused and self.waiting and len(self.running) < places:
            self._begin(self.waiting.popleft())

    def _begin(self, call: StageCall) -> None:
        parameters = self.parameters
        ends = [self._end_at_begin(piece) for piece in call.pieces]
        # The call is as long as it would be with the pieces that have their inputs.
        longest_ms = self._duration_ms(ends.count(PieceEnd.DONE))
        for number, piece in enumerate(call.pieces):
            if ends[number] is not PieceEnd.DONE:
                continue
            if piece.due_ms is not None and self._now_ms + longest_ms > piece.due_ms:
                ends[number] = PieceEnd.LATE
            elif self.used_bytes + parameters.result_bytes > parameters.memory_bytes:
                ends[number] = PieceEnd.NO_MEMORY
            else:
                self.reserved += 1
        duration_ms = self._duration_ms(ends.count(PieceEnd.DONE))
        self.busy_ms += duration_ms
        replies = [PieceReply(end) for end in ends]
        running = _Running(call, self._now_ms, replies)
        self.running.append(running)
        self._schedule(duration_ms, running)

    def _end_at_begin(self, piece: Piece) -> PieceEnd:
        there = all(
            each in self.results or self.can_fetch(each) for each in piece.inputs
        )
        return PieceEnd.DONE if there else PieceEnd.GONE

    def _duration_ms(self, pieces: int) -> float:
        """Return the duration of a call; one without a piece to run ends at once."""
        if not pieces:
            return 0.0
        parameters = self.parameters
        return (parameters.call_ms + parameters.piece_ms * pieces) * self.pace

    def _end(self, work: "_Running | str") -> None:
        """End a call, or the time for which a result is kept."""
        if isinstance(work, str):
            self.results.discard(work)
            return
        running = work
        self.running.remove(running)
        replies = [self._finish(running, reply) for reply in running.replies]
        if not running.cancelled:
            run_ms = self._now_ms - running.started_ms
            name = running.call.call
            self._emit(CallAnswer(name, self._now_ms, run_ms, tuple(replies)))
        self._start()

    def _finish(self, running: _Running, reply: PieceReply) -> PieceReply:
        """Keep the result of a piece that is done, and return the reply."""
        if reply.end is not PieceEnd.DONE:
            return reply
        self.reserved -= 1
        if running.cancelled:
            return reply
        handle = f"{self.name}/{next(self._handles)}"
        self.results.add(handle)
        self._schedule(self.parameters.result_ms, handle)
        return attrs.evolve(reply, handle=handle)

    def _requests(self) -> list[str]:
        running = [each.call for each in self.running if not each.cancelled]
        return [call.call for call in (*running, *self.waiting)]

    def _drop_all(self) -> None:
        self.running.clear()
        self.waiting.clear()
        self.results.clear()
        self.reserved = 0

    def _present_load(self) -> Load:
        running, waiting = len(self.running), len(self.waiting)
        return Load(running, waiting, self.parameters.places, self.used_bytes)
