"""Policies of the dispatcher that can be switched off."""

import attrs

__all__ = ["DispatchOptions"]

# The budget limits the retries of a service; this limits the attempts of one request.
MAX_ATTEMPTS = 4


@attrs.frozen
class DispatchOptions:
    """Policies of the dispatcher; each can be switched off to measure its effect.

    Attributes:
        admission: Queues work and refuses it if it cannot meet its deadline.
        hedges: Starts a second attempt if the first item is late.
        budget: Limits retries and hedges by the retry budget.
        detect_stalls: Abandons attempts at stalled connections.
        move_slow_streams: Moves streams away from targets that are too slow.
        max_retries: Largest number of retries of one request.
        check_tokens: Verifies the offsets of received tokens.
    """

    admission: bool = True
    hedges: bool = True
    budget: bool = True
    detect_stalls: bool = True
    move_slow_streams: bool = True
    max_retries: int = MAX_ATTEMPTS - 1
    check_tokens: bool = True
