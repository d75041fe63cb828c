"""Eases traffic off targets that are much slower than their peers."""

import statistics
from collections import deque

import attrs

from wagtailrun.clock import Clock

__all__ = ["OutlierEasing"]

SLOW_MULTIPLE = 3.0
# Below this multiple of its peers an eased target is taken back by steps.
RECOVERED_MULTIPLE = 1.5
MIN_SAMPLES = 8
# Samples are few while a target is eased, so fewer decide on its return.
RETURN_SAMPLES = 3
STEPS = (0.05, 0.25, 1.0)
MAX_EASED_SHARE = 1 / 3
SAMPLE_AGE_MS = 10_000
# Without a sample for this long an eased target moves one step on, to be measured.
STEP_WITHOUT_SAMPLE_MS = 5_000
FAILURE_SLOWNESS = 10.0


@attrs.define
class _Peer:
    service: str
    samples: deque[tuple[int, float]] = attrs.field(
        factory=lambda: deque(maxlen=2 * MIN_SAMPLES)
    )
    step: int = len(STEPS) - 1
    stepped_ms: int = 0
    recent: float = 1.0


class OutlierEasing:
    """Share of its normal traffic that each target gets.

    Args:
        clock: Clock.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.peers_by_name: dict[str, _Peer] = {}

    def share(self, name: str) -> float:
        """Return the share of normal traffic for a target, 0.05 to 1."""
        peer = self.peers_by_name.get(name)
        if peer is None or peer.step == len(STEPS) - 1:
            return 1.0
        self._step_without_sample(peer)
        return STEPS[peer.step]

    def record(self, name: str, service: str, slowness: float) -> None:
        """Note an attempt.

        Args:
            name: Target.
            service: Its service; targets are compared within it.
            slowness: Time as a multiple of what such an attempt takes with little
                contention; ``FAILURE_SLOWNESS`` for a failed one.
        """
        now_ms = self.clock.now_ms()
        peer = self.peers_by_name.get(name)
        if peer is None:
            peer = self.peers_by_name[name] = _Peer(service)
        peer.samples.append((now_ms, slowness))
        while now_ms - peer.samples[0][0] > SAMPLE_AGE_MS:
            peer.samples.popleft()
        peer.recent = statistics.median(value for _, value in peer.samples)
        multiple = peer.recent / self._typical(name, service)
        if peer.step < len(STEPS) - 1:
            self._consider_return(peer, multiple)
        elif len(peer.samples) >= MIN_SAMPLES and multiple > SLOW_MULTIPLE:
            self._ease(peer)

    def _typical(self, name: str, service: str) -> float:
        """Return the median of the peers; a wholly slow stage is slow here too."""
        recent = [
            peer.recent
            for other, peer in self.peers_by_name.items()
            if peer.service == service and other != name and peer.samples
        ]
        return max(statistics.median(recent), 1e-3) if recent else float("inf")

    def _ease(self, peer: _Peer) -> None:
        peers = [p for p in self.peers_by_name.values() if p.service == peer.service]
        eased = sum(p.step < len(STEPS) - 1 for p in peers)
        if eased + 1 <= len(peers) * MAX_EASED_SHARE:
            self._set_step(peer, 0)

    def _consider_return(self, peer: _Peer, multiple: float) -> None:
        if len(peer.samples) < RETURN_SAMPLES:
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
        # The last step needs good samples.
        if now_ms - newest_ms > STEP_WITHOUT_SAMPLE_MS and peer.step < len(STEPS) - 2:
            self._set_step(peer, peer.step + 1)

    def forget(self, name: str) -> None:
        """Drop a target that is no longer known."""
        self.peers_by_name.pop(name, None)
