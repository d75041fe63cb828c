"""Settings of an entry process."""

import attrs

from wagtailrun.ports.link import Address
from wagtailrun.settings.parsing import (
    milliseconds,
    parse_address,
    parse_addresses,
    parse_nonempty,
    setting,
)
from wagtailrun.settings.shared import (
    DATA_CENTRE,
    MEMORY_MB,
    NAME,
    PEER_ADDRESS,
    PEER_LISTEN_ADDRESS,
    PEER_SECRET,
)

__all__ = ["EntrySettings"]


@attrs.frozen
class EntrySettings:
    """Settings of an entry process; each field holds its own help text."""

    name: str = setting(*NAME)
    data_centre: str = setting(*DATA_CENTRE)
    caller_address: Address = setting(parse_address, "IP:PORT where callers connect.")
    target_address: Address = setting(
        parse_address, "IP:PORT where targets announce themselves."
    )
    peer_address: Address = setting(*PEER_ADDRESS)
    peer_secret: bytes = setting(*PEER_SECRET, secret=True)
    entry_peers: tuple[Address, ...] = setting(
        parse_addresses, "Peer addresses of other entries, comma-separated.", ()
    )
    control_peers: tuple[Address, ...] = setting(
        parse_addresses, "Peer addresses of the control members, comma-separated.", ()
    )
    drain_notice_ms: int = setting(
        milliseconds(0),
        "How long to serve new requests after a stop signal, in milliseconds.",
        5_000,
    )
    drain_limit_ms: int = setting(
        milliseconds(0), "Time limit of a planned stop, in milliseconds.", 30_000
    )
    gossip_interval_ms: int = setting(
        milliseconds(50, 60_000),
        "Interval between gossip exchanges, in milliseconds.",
        500,
    )
    accounts_interval_ms: int = setting(
        milliseconds(100, 60_000),
        "Interval between exchanges of account rows, in milliseconds.",
        1_000,
    )
    trace_file: str = setting(
        parse_nonempty, "File that records requests for replay; none by default.", ""
    )
    peer_listen_address: Address | None = setting(*PEER_LISTEN_ADDRESS)
    memory_mb: float = setting(*MEMORY_MB)
