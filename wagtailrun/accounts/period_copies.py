"""Lines of periods that control members send each other."""

from collections.abc import Collection

from wagtailrun.accounts.files import decompress
from wagtailrun.accounts.lines import digest_of
from wagtailrun.accounts.messages import FetchPeriod, PeriodContent
from wagtailrun.accounts.periods import ClosedPeriods
from wagtailrun.exceptions import MessageError, PeerUnreachable
from wagtailrun.ports.link import Address, PeerLink

__all__ = ["PeriodCopies"]

CALL_TIMEOUT_MS = 2_000


class PeriodCopies:
    """Copies of the lines of periods at the other control members.

    Args:
        closed: Files of this member.
        addresses: Peer addresses of the other members.
        link: Link to them.
    """

    def __init__(
        self, closed: ClosedPeriods, addresses: Collection[Address], link: PeerLink
    ):
        self.closed = closed
        self.addresses = addresses
        self.link = link

    async def copy(self, period: str, digest: str) -> bool:
        """Have another member keep proposed lines; return whether one does.

        A single member needs no copy. The lines of a closed period must survive the
        loss of one disk, also before the other members have frozen it.
        """
        offered = await self.closed.proposed(period, digest)
        for address in self.addresses:
            # A member of an earlier build, to which this is no request, fails.
            reply = await self._call(address, offered)
            if reply is not None and reply.digest == digest:
                return True
        return not self.addresses

    async def fetch(self, period: str, digest: str) -> bytes | None:
        """Return the lines of a closed period that another member has, if one does."""
        for address in self.addresses:
            reply = await self._call(address, FetchPeriod(period))
            if reply is None or reply.digest != digest:
                continue
            try:
                content = decompress(reply.content)
            except MessageError:
                continue
            if digest_of(content) == digest:
                return content
        return None

    async def _call(
        self, address: Address, message: FetchPeriod | PeriodContent
    ) -> PeriodContent | None:
        try:
            reply = await self.link.call(address, message, CALL_TIMEOUT_MS)
        except (PeerUnreachable, MessageError):
            return None
        return reply if isinstance(reply, PeriodContent) else None
