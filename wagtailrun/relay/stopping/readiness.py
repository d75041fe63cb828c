"""Answers the readiness checks of the load balancer at a relay entry."""

from collections.abc import Callable
from typing import Any

from wagtailrun.adapters.http_server import Request, Response, json_response
from wagtailrun.discovery import FleetView
from wagtailrun.logs import events
from wagtailrun.process.memory_budget import PROCESS_MEMORY
from wagtailrun.relay.stopping.probers import Probers
from wagtailrun.relay.stopping.rotation import Rotation
from wagtailrun.stopping.signals import StopSignals

__all__ = ["Readiness", "max_stay_ms"]

# A stopping entry has to be out of rotation within 4 s; the two checks that it fails
# for that take up to 2 s.
MAX_STAY_MS = 1_500
# Share of the grace period that a stay takes at most.
MAX_STAY_SHARE = 0.1875


def max_stay_ms(grace_ms: int, notice_ms: int) -> int:
    """Return how long after the signal to stop an entry may stay ready for others.

    Args:
        grace_ms: Time between the signal and the kill, in milliseconds.
        notice_ms: Drain notice, after which the listener may close, in milliseconds.
    """
    return min(MAX_STAY_MS, int(MAX_STAY_SHARE * grace_ms), notice_ms)


class Readiness:
    """Tells whether an entry serves callers, and logs each change.

    Args:
        view: What the entry knows of the fleet.
        signals: Signals to stop.
        overload: Returns why new requests are refused; empty if they are not.
        rotation: Tells whether the load balancer would lack this entry.
        stay_ms: How long after the signal to stop it stays ready then at most, in
            milliseconds.
    """

    def __init__(
        self,
        view: FleetView,
        signals: StopSignals,
        overload: Callable[[], str],
        rotation: Rotation,
        stay_ms: int = 0,
    ):
        self.view = view
        self.signals = signals
        self.overload = overload
        self.rotation = rotation
        self.stay_ms = stay_ms
        self.was_ready = False
        # When a check was last told that this entry is ready, on the clock.
        self.last_ready_ms = 0
        # Whether a check was told of the stop.
        self.has_withdrawn = False
        self.probers = Probers()

    def state_reason(self) -> str:
        """Return why this entry wants no new requests; empty if it does."""
        view = self.view
        if self.signals.stop_count and not self._stays():
            return "this process stops"
        if view.table is None:
            return "this process has not received the fleet configuration yet"
        if not view.is_fresh or view.is_outdated:
            return "the fleet configuration here is not confirmed as the newest"
        return ""

    def _stays(self) -> bool:
        """Return whether this entry stays ready until others are back in rotation."""
        stopped_for_ms = self.view.clock.now_ms() - self.signals.stopped_ms
        is_over = self.has_withdrawn or stopped_for_ms >= self.stay_ms
        return not is_over and self.rotation.needs_this_entry()

    async def handle(self, request: Request) -> Response:
        """Return the answer to a check.

        An entry without room for requests refuses them, so it is not ready; it is again
        when it has room.
        """
        self.rotation.update()
        reason = self.state_reason() or self.overload() or PROCESS_MEMORY.overload()
        ready = not reason
        now_ms = self.view.clock.now_ms()
        is_stopping = self.signals.is_stopping
        self.probers.record(request.peer, now_ms, is_stopping and not ready)
        if ready:
            self.last_ready_ms = now_ms
        elif is_stopping:
            self.has_withdrawn = True
        if ready != self.was_ready:
            self.was_ready = ready
            events.log(
                events.READINESS_CHANGED,
                ready=ready,
                revision=self.view.revision,
                unreadable_revision=self.view.unread_revision,
                confirmation_age_ms=self.view.confirmation_age_ms,
                stopping=is_stopping,
                detail=reason,
            )
        body: dict[str, Any] = {"ready": ready}
        if reason:
            body["detail"] = reason
        if self.view.unread_revision:
            body["unreadable_revision"] = self.view.unread_revision
            body["detail"] = self.view.unreadable_detail
        return json_response(200 if ready else 503, body)
