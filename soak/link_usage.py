"""Totals of the use of links, by link and source."""

from attrs import define, field

from soak.links import LinkUsage

__all__ = ["Totals"]


@define
class UsageTotal:
    """Bytes of connections that have ended."""

    connections: int = 0
    bytes_to_upstream: int = 0
    bytes_to_source: int = 0

    def add(self, usage: LinkUsage) -> None:
        """Add the bytes of one connection."""
        self.connections += usage.connections
        self.bytes_to_upstream += usage.bytes_to_upstream
        self.bytes_to_source += usage.bytes_to_source


@define(frozen=True)
class UsageKey:
    """Link and source of a total."""

    link: str
    source: str


@define
class Totals:
    """Use of the links by link and source."""

    by_key: dict[UsageKey, UsageTotal] = field(factory=dict)

    def add(self, usage: LinkUsage) -> None:
        """Add the bytes of one connection."""
        key = UsageKey(usage.link, usage.source)
        self.by_key.setdefault(key, UsageTotal()).add(usage)

    def usage(self) -> list[LinkUsage]:
        """Return the totals."""
        return [
            LinkUsage(
                link=key.link,
                source=key.source,
                connections=total.connections,
                bytes_to_upstream=total.bytes_to_upstream,
                bytes_to_source=total.bytes_to_source,
            )
            for key, total in self.by_key.items()
        ]
