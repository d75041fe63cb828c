"""What the end of an attempt means: its verdict, and what it says of its target."""

import enum

import attrs

from wagtailrun.exceptions import (
    ConnectFailed,
    SendForbidden,
    TargetFailed,
    TargetPaused,
    Verdict,
    VersionMismatch,
)
from wagtailrun.targets.table import TargetRow

__all__ = [
    "MIN_STALL_MS",
    "AttemptEnd",
    "ConnectionStalled",
    "DeadlinePassed",
    "RunOutcome",
    "TargetTooSlow",
    "end_of_answer",
    "end_of_failure",
]

# No connection counts as stalled before it was silent for this long.
MIN_STALL_MS = 500


class RunOutcome(enum.StrEnum):
    """How an attempt at a target ended."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    UNREACHABLE = "unreachable"
    REJECTED = "rejected"
    MISDIRECTED = "misdirected"
    # Says nothing about the target, for example because the caller disconnected.
    OVER = "over"


@attrs.frozen
class AttemptEnd:
    """What the end of an attempt means.

    Attributes:
        verdict: Whether the attempt may have taken effect.
        outcome: What it says of the target.
    """

    verdict: Verdict
    outcome: RunOutcome


class ConnectionStalled(TargetFailed):
    """A connection stalled, but the target accepts new connections."""

    def __init__(self, target: TargetRow):
        super().__init__(f"the connection to {target.name} stalled", timed_out=True)
        self.target = target


class TargetTooSlow(TargetFailed):
    """A stream would miss its deadline because its target is slower than others."""

    def __init__(self, target: TargetRow):
        super().__init__(f"{target.name} is too slow for the deadline")


class DeadlinePassed(TargetFailed):
    """The deadline passed before the answer arrived."""

    def __init__(self) -> None:
        super().__init__("the deadline passed while the request ran")


# This process, the path or the request is the cause, and not the target.
SAYS_NOTHING = (
    ConnectFailed,
    ConnectionStalled,
    DeadlinePassed,
    SendForbidden,
    TargetPaused,
    VersionMismatch,
)


def end_of_failure(error: TargetFailed) -> AttemptEnd:
    """Return the end of an attempt without a usable answer."""
    outcome = RunOutcome.FAILED
    if isinstance(error, ConnectFailed) and error.confirmed:
        outcome = RunOutcome.UNREACHABLE
    elif isinstance(error, SAYS_NOTHING):
        outcome = RunOutcome.OVER
    elif error.verdict is Verdict.NOT_RUN:
        outcome = RunOutcome.REJECTED
    return AttemptEnd(error.verdict, outcome)


def end_of_answer(
    status: int,
    *,
    not_run: bool = False,
    genuine: bool = True,
    misdirected: bool = False,
    pauses: bool = False,
) -> AttemptEnd:
    """Return the end of an attempt with a complete answer.

    Args:
        status: HTTP status.
        not_run: Whether the target states that it has not run the request.
        genuine: Whether the answer is that of a target which worked on a request.
        misdirected: Whether another target than the intended one answered.
        pauses: Whether the target asked for a pause.
    """
    if genuine and 200 <= status < 300:
        return AttemptEnd(Verdict.COMPLETE, RunOutcome.SUCCEEDED)
    if misdirected:
        return AttemptEnd(Verdict.NOT_RUN, RunOutcome.MISDIRECTED)
    if not_run:
        return AttemptEnd(Verdict.NOT_RUN, RunOutcome.REJECTED)
    failed = status >= 500 and not pauses or not genuine
    outcome = RunOutcome.FAILED if failed else RunOutcome.OVER
    return AttemptEnd(Verdict.MAY_HAVE_RUN, outcome)
