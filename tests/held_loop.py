"""Runs code under virtual time in a process that stands still once.

An event loop that is held at one of its turns shows, on every run alike, what load on
the machine shows at times.
"""

from unittest import mock

from tests.virtual_sockets import run_with_virtual_sockets
from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.virtual_time import VirtualSelector

select = VirtualSelector.select


class HeldLoop:
    """Event loop with virtual sockets that stands still at one of its turns.

    Args:
        held_turn: Turn at which it stands still; none by default.
        held_ms: How long, in milliseconds.

    Attributes:
        turns: Number of turns so far.
    """

    def __init__(self, held_turn=None, held_ms=0):
        self.held_turn = held_turn
        self.held_ms = held_ms
        self.turns = 0

    def run(self, corofunc):
        """Run ``corofunc()`` and return its result."""

        def select_held(selector, timeout=None):
            ready = select(selector, timeout)
            self.turns += 1
            if self.turns == self.held_turn:
                selector.clock.seconds += self.held_ms / MS_PER_SECOND
            return ready

        with mock.patch.object(VirtualSelector, "select", select_held):
            return run_with_virtual_sockets(corofunc)
