"""Settings that several daemons have, as arguments of ``setting``."""

from wagtailrun.process.memory_budget import DEFAULT_MEMORY_MB
from wagtailrun.settings.parsing import (
    MAX_MEMORY_MB,
    number,
    parse_address,
    parse_addresses,
    parse_name,
    parse_platform_name,
    parse_secret_bytes,
)

__all__ = [
    "DATA_CENTRE",
    "MEMORY_MB",
    "METRICS_ADDRESS",
    "NAME",
    "PEER_ADDRESS",
    "PEER_LISTEN_ADDRESS",
    "PEER_SECRET",
    "RELAY_DATA_CENTRE",
    "RELAY_NAME",
    "SEEDS",
]

NAME = (parse_name, "Name of the VM.")
DATA_CENTRE = (parse_name, "Data centre of the VM.")
PEER_ADDRESS = (parse_address, "IP:PORT where other processes of the system connect.")
PEER_LISTEN_ADDRESS = (
    parse_address,
    "IP:PORT where this process listens for its peers, if they reach it through a "
    "proxy or address translation; by default peer_address.",
    None,
)
PEER_SECRET = (parse_secret_bytes, "Secret shared by the processes of the system.")
MEMORY_MB = (
    number(1, MAX_MEMORY_MB, "MB"),
    "Memory that this process may use, in MB; a quarter of it is the budget for the "
    "bytes of requests and answers.",
    DEFAULT_MEMORY_MB,
)
RELAY_NAME = (parse_platform_name, "Name of the VM.")
RELAY_DATA_CENTRE = (parse_platform_name, "Data centre of the VM.")
# A process without seeds waits until its settings name some.
SEEDS = (
    parse_addresses,
    "Last known peer addresses of control members, comma-separated.",
    (),
)
METRICS_ADDRESS = (
    parse_address,
    "IP:PORT where the metrics are served; not served if another listener has it.",
)
