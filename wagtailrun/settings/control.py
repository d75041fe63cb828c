"""Settings of a control process."""

import attrs

from wagtailrun.ports.link import Address
from wagtailrun.settings.parsing import (
    parse_address,
    parse_addresses,
    parse_members,
    parse_nonempty,
    parse_secret,
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

__all__ = ["ControlSettings"]


@attrs.frozen
class ControlSettings:
    """Settings of a control process; each field holds its own help text."""

    name: str = setting(*NAME)
    data_centre: str = setting(*DATA_CENTRE)
    operator_address: Address = setting(
        parse_address, "IP:PORT where operators connect."
    )
    peer_address: Address = setting(*PEER_ADDRESS)
    data_folder: str = setting(parse_nonempty, "Folder of the durable files.")
    peer_secret: bytes = setting(*PEER_SECRET, secret=True)
    operator_credential: str = setting(
        parse_secret, "Credential that operators send.", secret=True
    )
    control_peers: tuple[Address, ...] = setting(
        parse_addresses,
        "Peer addresses of the other control members, comma-separated.",
        (),
    )
    entry_peers: tuple[Address, ...] = setting(
        parse_addresses,
        "Peer addresses of entries of every data centre, comma-separated.",
        (),
    )
    bootstrap: tuple[tuple[str, Address], ...] = setting(
        parse_members, "NAME=IP:PORT of the initial members, comma-separated.", ()
    )
    peer_listen_address: Address | None = setting(*PEER_LISTEN_ADDRESS)
    memory_mb: float = setting(*MEMORY_MB)
