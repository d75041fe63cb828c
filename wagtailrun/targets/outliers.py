"""Reduces the traffic of targets that are much slower than their peers."""

import statistics
from collections import deque

import attrs

from wagtailrun.clock import Clock

__all__ = ["OutlierThrottle"]

# Multiple of the peers' median slowness from which a target is throttled.
SLOW_MULTIPLE = 3.0
# Below this multiple of its peers a throttled target regains its traffic by steps.
RECOVERED_MULTIPLE = 1.5
MIN_SAMPLES = 8
# A throttled target gets few samples, so fewer are needed for a change of its share.
RECOVERY_SAMPLES = 3
# Shares of its normal traffic that a target gets, from throttled to normal.
TRAFFIC_STEPS = (0.05, 0.25, 1.0)
MAX_THROTTLED_SHARE = 1 / 3
SAMPLE_AGE_MS = 10_000
# A throttled target without a sample for this long moves up one step, so that it gets
# enough traffic to be measured.
STEP_WITHOUT_SAMPLE_MS = 5_000
# Slowness that is recorded for a failed attempt.
FAILURE_SLOWNESS = 10.0


@attrs.define
class _Peer:
    """Samples and traffic step of one target.

    Attributes:
        service: Service of the target.
        samples: Time and slowness of the newest attempts.
        step: Index of its share in ``TRAFFIC_STEPS``.
        stepped_ms: When the step changed.
        recent: Median slowness of the samples.
    """

    service: str
    samples: deque[tuple[int, float]] = attrs.field(
        factory=lambda: deque(maxlen=2 * MIN_SAMPLES)
    )
    step: int = len(TRAFFIC_STEPS) - 1
    stepped_ms: int = 0
    recent: float = 1.0


class OutlierThrottle:
    """Computes which share of its normal traffic each target gets.

    Args:
        clock: Clock.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.peers_by_name: dict[str, _Peer] = {}

    def share(self, name: str) -> float:
        """Return the share of its normal traffic for a target, from 0.05 to 1."""
        peer = self.peers_by_name.get(name)
        if peer is None or peer.step == len(TRAFFIC_STEPS) - 1:
            return 1.0
        self._step_without_sample(peer)
        return TRAFFIC_STEPS[peer.step]

    def record(self, name: str, service: str, slowness: float) -> None:
        """Record an attempt and update the share of the target.

        Args:
            name: Name of the target.
            service: Service of the target; targets are compared within a service.
            slowness: Duration as a multiple of the duration of such an attempt under
                little contention; ``FAILURE_SLOWNESS`` for a failed attempt.
        """
        now_ms = self.clock.now_ms()
        peer = self.peers_by_name.get(name)
        if peer is None:
            peer = self.peers_by_name[name] = _Peer(service)
        peer.samples.append((now_ms, slowness))
        while now_ms - peer.samples[0][0] > SAMPLE_AGE_MS:
            peer.samples.popleft()
        peer.recent = statistics.median(value for _, value in peer.samples)
        multiple = peer.recent / self._peer_median(name, service)
        if peer.step < len(TRAFFIC_STEPS) - 1:
            self._consider_recovery(peer, multiple)
        elif len(peer.samples) >= MIN_SAMPLES and multiple > SLOW_MULTIPLE:
            self._throttle(peer)

    def _peer_median(self, name: str, service: str) -> float:
        """Return the median slowness of the other targets of the service.

        If all targets are slow, the median is high too and none of them is throttled.
        """
        recent = [
            peer.recent
            for other, peer in self.peers_by_name.items()
            if peer.service == service and other != name and peer.samples
        ]
        return max(statistics.median(recent), 1e-3) if recent else float("inf")

    def _throttle(self, peer: _Peer) -> None:
        peers = [p for p in self.peers_by_name.values() if p.service == peer.service]
        eased = sum(p.step < len(TRAFFIC_STEPS) - 1 for p in peers)
        if eased + 1 <= len(peers) * MAX_THROTTLED_SHARE:
            self._set_step(peer, 0)

    def _consider_recovery(self, peer: _Peer, multiple: float) -> None:
        if len(peer.samples) < RECOVERY_SAMPLES:
            return
        if multiple < RECOVERED_MULTIPLE:
            self._set_step(peer, peer.step + 1)
        elif multiple > SLOW_MULTIPLE and peer.step > 0:
            self._set_step(peer, 0)

    def _set_step(self, peer: _Peer, step: int) -> None:
        peer.step = step
        peer.stepped_ms = self.clock.now_ms()
        peer.samples.clear()

    def _step_without_sample(self, peer: _Peer) -> None:
        now_ms = self.clock.now_ms()
        newest_ms = peer.samples[-1][0] if peer.samples else peer.stepped_ms
        # Full traffic is only restored after good samples.
        if (
            now_ms - newest_ms > STEP_WITHOUT_SAMPLE_MS
            and peer.step < len(TRAFFIC_STEPS) - 2
        ):
            self._set_step(peer, peer.step + 1)

    def forget(self, name: str) -> None:
        """Drop a target that is no longer known."""
        self.peers_by_name.pop(name, None)
