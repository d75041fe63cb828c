"""The product's own fleet text as the text that entries put in force."""

import attrs

from wagtailrun.discovery.view import ConfigurationFormat
from wagtailrun.exceptions import FleetTextError
from wagtailrun.fleet import parse_fleet_text
from wagtailrun.routes import RouteTable

__all__ = ["FleetTextFormat"]


class FleetTextFormat(ConfigurationFormat):
    """TOML whose ``relay`` table states routes, keys and pools."""

    def routes(self, revision: int, text: str) -> RouteTable:
        """Return the routes of an accepted text; see ``ConfigurationFormat``."""
        table = parse_fleet_text(text).relay
        if table is None:
            raise FleetTextError(["relay: the table is missing; state routes there"])
        return attrs.evolve(table, version=revision)
