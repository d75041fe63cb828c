"""Timing of the consensus among control members."""

import attrs

__all__ = ["CLOCK_RATE_ERROR", "Timing"]

# A member's clock may show 10% more or less than the true duration.
CLOCK_RATE_ERROR = 0.10


@attrs.frozen
class Timing:
    """Durations in milliseconds, each by the clock of the member that waits.

    Attributes:
        heartbeat_ms: Longest time between two messages of a leader to a peer.
        lease_ms: Validity of the leader lease, from the send time of the newest
            messages that a quorum answered.
        vote_withhold_ms: How long a member grants no vote after it heard a leader, and
            after it started, since it does not remember whom it heard.
        election_min_ms: Shortest election timeout.
        election_max_ms: Longest election timeout.
        call_timeout_ms: Longest wait for the answer of a peer.
    """

    heartbeat_ms: int = 200
    lease_ms: int = 1_000
    vote_withhold_ms: int = 1_300
    election_min_ms: int = 1_500
    election_max_ms: int = 3_000
    call_timeout_ms: int = 400

    def __attrs_post_init__(self) -> None:
        # The lease of a slow clock must end before the promise of a fast clock.
        slow_lease_ms = self.lease_ms / (1 - CLOCK_RATE_ERROR)
        fast_withhold_ms = self.vote_withhold_ms / (1 + CLOCK_RATE_ERROR)
        if slow_lease_ms >= fast_withhold_ms:
            raise ValueError(
                f"lease_ms {self.lease_ms} may outlast vote_withhold_ms "
                f"{self.vote_withhold_ms} at a clock rate error of "
                f"{CLOCK_RATE_ERROR:.0%}"
            )
        if self.election_min_ms < self.vote_withhold_ms:
            raise ValueError("election_min_ms must be at least vote_withhold_ms")
