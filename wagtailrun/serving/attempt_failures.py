"""Failures that an entry detects in its attempts."""

from wagtailrun.exceptions import TargetFailed, Verdict
from wagtailrun.targets.table import TargetRow

__all__ = ["ConnectionStalled", "DeadlinePassed", "TargetTooSlow"]


class ConnectionStalled(TargetFailed):
    """A connection stalled, but the target accepts new connections."""

    def __init__(self, detail: str, target: TargetRow):
        super().__init__(detail, verdict=Verdict.MAY_HAVE_RUN, timed_out=True)
        self.target = target


class TargetTooSlow(TargetFailed):
    """A stream would miss its deadline because its target is slower than others."""

    def __init__(self, target: TargetRow):
        detail = f"{target.name} is too slow for the deadline"
        super().__init__(detail, verdict=Verdict.MAY_HAVE_RUN)


class DeadlinePassed(TargetFailed):
    """The deadline passed before the answer arrived."""

    def __init__(self) -> None:
        detail = "the deadline passed while the request ran"
        super().__init__(detail, verdict=Verdict.MAY_HAVE_RUN)
