"""Reading of the fleet configuration, before it is acknowledged and at every entry."""

import codecs
from abc import ABC, abstractmethod

import attrs
import curio

from wagtailrun.exceptions import FleetTextError
from wagtailrun.routes import RouteTable

__all__ = ["Configuration", "ConfigurationFormat"]

# Larger configurations are read in a thread: 1 MB takes 0.1 s, which would delay the
# heartbeats of a leader, and the events of all streams at an entry.
MAX_INLINE_BYTES = 64 * 1024


@attrs.frozen
class Configuration:
    """A fleet configuration that was read in full.

    Attributes:
        text: Its source; encoded as UTF-8 it yields the bytes that were read.
        table: Its routes.
    """

    text: str
    table: RouteTable


class ConfigurationFormat(ABC):
    """Source format of the fleet configuration.

    Control members check a configuration with ``read`` before they acknowledge it, and
    entries read it with the same method. A check of another kind would acknowledge what
    no entry can read.
    """

    @abstractmethod
    def routes(self, revision: int | None, text: str) -> RouteTable:
        """Return the routes of a configuration.

        Args:
            revision: Revision of the configuration; None for the version that the
                source states.
            text: Source of the configuration.

        Raises:
            FleetTextError: If the source cannot be parsed; names the place of each
                fault.
        """

    def read(self, data: bytes, revision: int | None = None) -> Configuration:
        """Read a configuration from its bytes.

        Args:
            data: Source of the configuration, as received or stored.
            revision: Revision of the configuration; None for the version that the
                source states.

        Raises:
            FleetTextError: If the source cannot be read; names the place of each fault.
        """
        text = _decode(data)
        return Configuration(text, self.routes(revision, text))

    async def read_concurrently(
        self, data: bytes, revision: int | None = None
    ) -> Configuration:
        """Read a configuration without delaying other tasks; see ``read``."""
        if len(data) > MAX_INLINE_BYTES:
            configuration: Configuration = await curio.run_in_thread(
                self.read, data, revision
            )
            return configuration
        return self.read(data, revision)


def _decode(data: bytes) -> str:
    """Return the text of a source, which is UTF-8 without a byte order mark.

    The mark is refused, as RFC 8259 (section 8.1) forbids senders to add it: entries of
    earlier versions cannot read a text with one.
    """
    if data.startswith(codecs.BOM_UTF8):
        raise FleetTextError(
            ["byte 0: the text begins with a byte order mark; send UTF-8 without one"]
        )
    try:
        return data.decode("utf-8")
    except UnicodeDecodeError as error:
        raise FleetTextError(
            [f"byte {error.start}: {error.reason}; the text must be UTF-8"]
        ) from error
