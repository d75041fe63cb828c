"""Division of a process's file descriptors among its uses."""

import resource

import attrs

__all__ = ["DescriptorShares", "descriptor_limit"]

# Share of the descriptors for connections that wait for another request.
IDLE_PARTS = 8


def descriptor_limit(stated: int | None = None) -> int:
    """Return how many descriptors the process may have.

    Args:
        stated: Limit that the platform states; None if it states none.
    """
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY:
        limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    return limit if stated is None else min(limit, stated)


@attrs.frozen
class DescriptorShares:
    """How many descriptors each use may take.

    Attributes:
        limit: Number of descriptors that the process may have.
    """

    limit: int = attrs.field(factory=descriptor_limit)

    @property
    def idle(self) -> int:
        """Connections that wait for another request."""
        return self.limit // IDLE_PARTS
