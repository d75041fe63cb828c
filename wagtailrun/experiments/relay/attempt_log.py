"""What relay entries sent to targets, by request, and when it was answered."""

from collections import defaultdict

import attrs

__all__ = ["AttemptLog", "LoggedAttempt"]


@attrs.define(eq=False)
class LoggedAttempt:
    """One attempt as its entry saw it; times are on the virtual clock.

    Attributes:
        request_id: Identifier of the request.
        step: Number of the stage; empty for the request itself.
        target: Name of the target.
        number: Number of the attempt, unique in a play.
        resume_offset: First event that was asked for.
        sent_ms: When it was sent.
        first_ms: When the first part of the answer arrived.
        ended_ms: When the last part of a complete answer arrived.
    """

    request_id: str
    step: str
    target: str
    number: int
    resume_offset: int
    sent_ms: int
    first_ms: int | None = None
    ended_ms: int | None = None


class AttemptLog:
    """All attempts of a play."""

    def __init__(self) -> None:
        self.by_number: dict[int, LoggedAttempt] = {}
        self.by_request: defaultdict[str, list[LoggedAttempt]] = defaultdict(list)

    def begin(
        self,
        request_id: str,
        step: str,
        target: str,
        now_ms: int,
        resume_offset: int = 0,
    ) -> LoggedAttempt:
        """Add an attempt that is sent now."""
        number = len(self.by_number) + 1
        attempt = LoggedAttempt(request_id, step, target, number, resume_offset, now_ms)
        self.by_number[number] = attempt
        self.by_request[request_id].append(attempt)
        return attempt

    def record_answer(self, number: int, now_ms: int, *, is_whole: bool) -> None:
        """Record that the head of an answer, or all of it, is at the entry."""
        attempt = self.by_number[number]
        attempt.first_ms = now_ms
        if is_whole:
            attempt.ended_ms = now_ms

    def record_sent(self, number: int, arrives_ms: int) -> None:
        """Record when the end of a stream arrives, if its head did."""
        attempt = self.by_number[number]
        if attempt.first_ms is not None:
            attempt.ended_ms = arrives_ms
