"""Settings of the operator commands."""

import attrs

from wagtailrun.ports.link import Address
from wagtailrun.settings.parsing import (
    parse_addresses,
    parse_name,
    parse_secret,
    setting,
)

__all__ = ["ClientSettings"]


@attrs.frozen
class ClientSettings:
    """Settings of the operator commands; each field holds its own help text."""

    control: tuple[Address, ...] = setting(
        parse_addresses,
        "IP:PORT of the operator interfaces of the control members, comma-separated.",
    )
    operator_credential: str = setting(
        parse_secret, "Credential that operators send.", secret=True
    )
    operator: str = setting(
        parse_name, "Name of the operator in the audit trail.", "unnamed"
    )
