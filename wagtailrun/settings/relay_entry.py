"""Settings of a relay entry."""

import attrs

from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.ports.link import Address
from wagtailrun.settings.parsing import (
    MAX_COUNT,
    MAX_LINK_MBPS,
    MAX_SECONDS,
    milliseconds,
    number,
    parse_address,
    parse_descriptors,
    positive,
    setting,
)
from wagtailrun.settings.shared import (
    MEMORY_MB,
    METRICS_ADDRESS,
    PEER_ADDRESS,
    PEER_LISTEN_ADDRESS,
    PEER_SECRET,
    RELAY_DATA_CENTRE,
    RELAY_NAME,
    SEEDS,
)

__all__ = ["RelayEntrySettings"]

DEFAULT_DRAIN_NOTICE_MS = 2_800
# Share of the grace period that the default drain notice takes at most; the rest is for
# requests under way.
MAX_DRAIN_NOTICE_SHARE = 0.35


@attrs.frozen
class RelayEntrySettings:
    """Settings of a relay entry; each field holds its own help text."""

    name: str = setting(*RELAY_NAME)
    data_centre: str = setting(*RELAY_DATA_CENTRE)
    caller_address: Address = setting(parse_address, "IP:PORT where callers connect.")
    ready_address: Address = setting(
        parse_address, "IP:PORT of the readiness check for the load balancer."
    )
    peer_address: Address = setting(*PEER_ADDRESS)
    peer_secret: bytes = setting(*PEER_SECRET, secret=True)
    metrics_address: Address = setting(*METRICS_ADDRESS)
    seeds: tuple[Address, ...] = setting(*SEEDS)
    key_grace_ms: float = setting(
        milliseconds(0),
        "How long a revoked key may still be accepted, in milliseconds.",
        5_000,
    )
    apply_limit_ms: float = setting(
        milliseconds(0),
        "Time within which a change must be in force at an entry that knows of it, in "
        "milliseconds.",
        4_000,
    )
    target_drain_ms: float = setting(
        milliseconds(0),
        "How long targets that drain take streams that began before, in milliseconds; "
        "0 if they take none.",
        0,
    )
    drain_notice_ms: float | None = setting(
        milliseconds(0),
        "How long to serve new requests after a stop signal, in milliseconds, unless "
        "all who check for readiness have been told twice before; by default "
        f"{DEFAULT_DRAIN_NOTICE_MS}, or less if grace_s is short.",
        None,
    )
    grace_s: float = setting(
        number(0, MAX_SECONDS, "seconds"),
        "Seconds after which a stopping process is killed.",
        8.0,
    )
    retry_ratio: float = setting(
        number(0, MAX_COUNT, "retries for each request"),
        "Retries that all entries together may make for each request.",
        0.1,
    )
    retry_slack: float = setting(
        number(0, MAX_COUNT, "retries"),
        "Retries per window that all entries together may make beyond the ratio.",
        20,
    )
    link_mbps: float = setting(
        positive(MAX_LINK_MBPS, "Mbit/s"),
        "Bandwidth of this VM's network link in Mbit/s.",
        1_000.0,
    )
    peer_listen_address: Address | None = setting(*PEER_LISTEN_ADDRESS)
    memory_mb: float = setting(*MEMORY_MB)
    max_fds: int | None = setting(
        parse_descriptors,
        "File descriptors that this process may have; by default, and at most, the "
        "limit of the operating system.",
        None,
    )

    @property
    def effective_drain_notice_ms(self) -> float:
        """Drain notice in milliseconds, with the default resolved."""
        if self.drain_notice_ms is not None:
            return self.drain_notice_ms
        longest_ms = MAX_DRAIN_NOTICE_SHARE * self.grace_s * MS_PER_SECOND
        return min(DEFAULT_DRAIN_NOTICE_MS, longest_ms)
