"""Parser for the product's own fleet text, the TOML source of the configuration."""

import attrs

from wagtailrun.discovery.configuration import ConfigurationFormat
from wagtailrun.exceptions import FleetTextError
from wagtailrun.fleet.model import parse_fleet_text
from wagtailrun.routes import RouteTable

__all__ = ["FleetTextFormat"]


class FleetTextFormat(ConfigurationFormat):
    """TOML format of the fleet text; its ``relay`` table has routes, keys and pools."""

    def routes(self, revision: int | None, text: str) -> RouteTable:
        """Return the routes of a fleet text; see ``ConfigurationFormat``."""
        table = parse_fleet_text(text).relay
        if table is None:
            raise FleetTextError(
                ["relay: the table is missing; add it and define the routes in it"]
            )
        return table if revision is None else attrs.evolve(table, version=revision)
