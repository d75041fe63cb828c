"""Times of a planned stop of an entry."""

import attrs

from wagtailrun.stopping.running_requests import STOP_ANSWER_MS

__all__ = ["StopPlan"]


@attrs.frozen
class StopPlan:
    """A planned stop of the entry; times are readings of its clock.

    Attributes:
        notice_ends_ms: Until when all requests are admitted that end in time, since the
            load balancer may not have noticed the stop.
        ends_ms: When the process ends.
        accepts_end_ms: Until when connections are accepted; by default to the end.
        answers_end_ms: Until when requests may run that have no part of an answer; by
            default the rest of the time suffices for their refusals.
    """

    notice_ends_ms: int
    ends_ms: int
    accepts_end_ms: int = attrs.field(
        default=attrs.Factory(lambda self: self.ends_ms, takes_self=True)
    )
    answers_end_ms: int = attrs.field(
        default=attrs.Factory(
            lambda self: self.ends_ms - STOP_ANSWER_MS, takes_self=True
        )
    )
