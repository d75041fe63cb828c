"""Settings of a relay control member."""

import attrs

from wagtailrun.ports.link import Address
from wagtailrun.settings.parsing import (
    milliseconds,
    parse_address,
    parse_boolean,
    parse_count,
    parse_nonempty,
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

__all__ = ["RelayControlSettings"]


@attrs.frozen
class RelayControlSettings:
    """Settings of a relay control member; each field holds its own help text."""

    name: str = setting(*RELAY_NAME)
    data_centre: str = setting(*RELAY_DATA_CENTRE)
    operator_address: Address = setting(
        parse_address, "IP:PORT where operators and targets connect."
    )
    peer_address: Address = setting(*PEER_ADDRESS)
    peer_secret: bytes = setting(*PEER_SECRET, secret=True)
    metrics_address: Address = setting(*METRICS_ADDRESS)
    data_folder: str = setting(parse_nonempty, "Folder of the durable files.")
    seeds: tuple[Address, ...] = setting(*SEEDS)
    founding: bool = setting(
        parse_boolean,
        "Whether a majority of the seeds may form a new cluster; true only at the very "
        "first start.",
        False,
    )
    losses: int = setting(
        parse_count,
        "Simultaneous member failures to tolerate; sets the minimum number of voters.",
        1,
    )
    heartbeat_ms: float = setting(
        milliseconds(1),
        "Interval between the heartbeats of a target, in milliseconds.",
        1_200,
    )
    peer_listen_address: Address | None = setting(*PEER_LISTEN_ADDRESS)
    memory_mb: float = setting(*MEMORY_MB)
