"""Timeouts of the consensus protocol among the control members."""

import attrs

__all__ = ["CLOCK_RATE_ERROR", "Timing"]

# Tolerated error of a member's clock rate: it may run 10% fast or slow.
CLOCK_RATE_ERROR = 0.10


@attrs.frozen
class Timing:
    """Durations in milliseconds, each measured by the clock of the member that waits.

    Attributes:
        heartbeat_ms: Longest interval between two messages of a leader to a peer.
        lease_ms: Validity of the leader lease, counted from the send time of the
            newest messages that a quorum answered.
        vote_withhold_ms: How long a member denies votes after the last message of a
            leader. It also applies after a start, because a restarted member does not
            know when it last had contact with a leader.
        election_min_ms: Shortest election timeout.
        election_max_ms: Longest election timeout.
        call_timeout_ms: Timeout of one request to a peer.
    """

    heartbeat_ms: int = 200
    lease_ms: int = 1_000
    vote_withhold_ms: int = 1_300
    election_min_ms: int = 1_500
    election_max_ms: int = 3_000
    call_timeout_ms: int = 400

    def __attrs_post_init__(self) -> None:
        # A lease measured by a slow clock must end before a fast clock allows votes.
        slow_lease_ms = self.lease_ms / (1 - CLOCK_RATE_ERROR)
        fast_withhold_ms = self.vote_withhold_ms / (1 + CLOCK_RATE_ERROR)
        if slow_lease_ms >= fast_withhold_ms:
            raise ValueError(
                f"lease_ms {self.lease_ms} may outlast vote_withhold_ms "
                f"{self.vote_withhold_ms} at a clock rate error of "
                f"{CLOCK_RATE_ERROR:.0%}"
            )
        if self.election_min_ms < self.vote_withhold_ms:
            raise ValueError(
                f"election_min_ms {self.election_min_ms} must be at least "
                f"vote_withhold_ms {self.vote_withhold_ms}"
            )
