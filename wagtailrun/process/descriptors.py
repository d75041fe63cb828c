"""Division of a process's file descriptors among its uses."""

import os
import resource

import attrs

from wagtailrun.logs import events

__all__ = ["DescriptorShares", "descriptor_limit", "used_descriptors"]

# Share of the descriptors for connections that wait for another request.
IDLE_PARTS = 8
# Share of these that is for connections to other processes of the system. They carry
# one call at a time, so there are a few for each peer.
PEER_PARTS = 4
# Share that is kept from new requests, and its limit: a few dozen peers, each with some
# connections, and the requests under way, which end within it.
RESERVE_PARTS = 4
MAX_RESERVE = 256


def descriptor_limit(stated: int | None = None) -> int:
    """Return how many descriptors the process may have.

    Args:
        stated: Limit that the platform states; None if it states none.
    """
    limit, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY:
        limit = hard_limit
    return limit if stated is None else min(limit, stated)


def used_descriptors() -> int:
    """Return how many descriptors are in use, at least.

    A new one gets the lowest free number, so all lower ones are in use. Reading the
    list of them would take milliseconds when there are thousands.
    """
    try:
        descriptor = os.open(os.devnull, os.O_RDONLY)
    except OSError:
        return descriptor_limit()
    os.close(descriptor)
    return descriptor


@attrs.frozen
class DescriptorShares:
    """How many descriptors each use may take.

    Attributes:
        limit: Number of descriptors that the process may have.
    """

    limit: int = attrs.field(factory=descriptor_limit)

    @property
    def reserve(self) -> int:
        """Those kept from new requests, for readiness checks, peers and the log."""
        return min(self.limit // RESERVE_PARTS, MAX_RESERVE)

    @property
    def for_requests(self) -> int:
        """Those above which new requests are refused."""
        return self.limit - self.reserve

    def overload(self, unanswered: int) -> str:
        """Return why new requests are refused; empty if they are not.

        Args:
            unanswered: Number of admitted requests without an answer. Each of them may
                need a connection to a target.
        """
        needed = used_descriptors() + unanswered
        if needed <= self.for_requests:
            return ""
        events.log(events.DESCRIPTORS_SHORT, needed=needed, limit=self.limit)
        return f"{needed} of {self.limit} descriptors are needed"

    @property
    def idle(self) -> int:
        """Connections that wait for another request, or for another call to a peer."""
        return self.limit // IDLE_PARTS

    @property
    def idle_to_peers(self) -> int:
        """Those to other processes of the system."""
        return self.idle // PEER_PARTS

    @property
    def idle_to_targets(self) -> int:
        """Those to targets."""
        return self.idle - self.idle_to_peers
