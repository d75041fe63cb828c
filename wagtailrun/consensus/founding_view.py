"""What a member without a log knows about the founding of its cluster."""

import attrs

from wagtailrun.ports.link import Address

__all__ = ["MAY_NOT_FOUND", "FoundingView", "SeedStatement"]

# ``detail`` of a seed without a log that has no permission.
MAY_NOT_FOUND = "may not found"


@attrs.frozen
class SeedStatement:
    """What a seed answered last, or that it did not answer.

    Attributes:
        name: Name of the seed, empty if only its address is known.
        address: Peer address of the seed.
        identity: Identity that answered, empty without an answer.
        may_found: Whether it may found the cluster, with the asking member if that is
            a seed.
        cluster: Cluster of its log, empty without a log.
        other_seeds: Whether it may found, but with other seeds.
        detail: Why it does not count, empty if it does.
        failure: Why there is no answer, empty with one.
    """

    name: str
    address: Address
    identity: str = ""
    may_found: bool = False
    cluster: str = ""
    other_seeds: bool = False
    detail: str = ""
    failure: str = ""


@attrs.frozen
class FoundingView:
    """What a member knows about the founding of its cluster.

    Attributes:
        may_found: Whether this member may found the cluster with other seeds.
        needed: Number of seeds that have to agree, 0 if this member may not found.
        has_log: Whether this member has a log, so that there is nothing to found.
        refusal: Why this member does not found the cluster although it could be
            asked to; empty if it only waits for others, or has a log.
        statements: What each of the others said, in the order of their addresses.
    """

    may_found: bool = False
    needed: int = 0
    has_log: bool = False
    refusal: str = ""
    statements: tuple[SeedStatement, ...] = ()
