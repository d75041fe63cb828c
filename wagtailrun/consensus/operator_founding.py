"""Founding of a cluster by order of an operator, with all seeds."""

import attrs

from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.consensus.founding import Founding, seed_addresses
from wagtailrun.consensus.founding_acceptor import LISTEN_MS
from wagtailrun.consensus.member_state import MemberState
from wagtailrun.consensus.messages import FoundingOrder, FoundingRecord, name_of
from wagtailrun.ports.link import Address

__all__ = ["FoundingOutcome", "OperatorFounding"]

# Time from the permission of the last seed to the log. It takes less than 2 s while all
# seeds answer, and about 10 s if their disks take up to half a second for each sync.
FOUNDING_LIMIT_MS = 15_000
POLL_INTERVAL_MS = 20


class _Refused(Exception):
    """The cluster is not founded; the message says why."""


@attrs.frozen
class FoundingOutcome:
    """Outcome of an order to found a cluster.

    Attributes:
        cluster: Identifier of the cluster that was founded after this or an earlier
            order at this process; empty if there is none.
        detail: Why there is none, or whom the cluster consists of.
    """

    cluster: str
    detail: str


class OperatorFounding:
    """Lets all seeds found a cluster by order, where no majority of them may.

    The order only gives each seed without a log the permission to found the cluster
    with *all* seeds. The ballots are those of ``Founding``, so that orders at several
    members, or beside a founding by a majority, lead to one decision.

    Args:
        state: State of the member.
        founding: Founding of the cluster at this member.
    """

    def __init__(self, state: MemberState, founding: Founding):
        self.state = state
        self.founding = founding
        self._was_taken = False

    async def found(self) -> FoundingOutcome:
        """Order all seeds to found a cluster, and wait until this member is in it.

        Raises:
            DiskFault: If the disk failed.
        """
        try:
            if not self.founding.acceptor.has_log:
                await self._order_all()
                self._was_taken = True
                await self._wait_for_log()
        except _Refused as refusal:
            return FoundingOutcome("", str(refusal))
        state = self.state
        cluster = state.journal.member_record.cluster
        if not self._was_taken:
            return FoundingOutcome("", f"{state.name} belongs to cluster {cluster}")
        names = sorted(info.name for info in state.configuration.members)
        return FoundingOutcome(cluster, f"its members are {', '.join(names)}")

    async def _order_all(self) -> None:
        """Have all seeds record the permission; this member is the last one."""
        state, acceptor = self.state, self.founding.acceptor
        if acceptor.cluster:
            raise _Refused(f"{state.name} belongs to cluster {acceptor.cluster}")
        seeds = acceptor.order_seeds
        if len(seeds) < 2:
            raise _Refused(f"{state.name} has no list of seeds with itself and others")
        addresses_by_name = seed_addresses(FoundingRecord(seeds))
        del addresses_by_name[state.name]
        identities = await self._ask_all(addresses_by_name)
        orders = {
            address: FoundingOrder(identity, seeds)
            for address, identity in identities.items()
        }
        replies = await self.founding.call_all(orders)
        for address in orders:
            reply = replies.get(address)
            if reply is None:
                raise _Refused(f"{address} did not answer; repeat the order")
            if reply.cluster:
                raise _Refused(f"{address} belongs to cluster {reply.cluster}")
            if reply.record.seeds != seeds:
                raise _Refused(
                    f"{address} refused: it has other seeds in its settings or on its "
                    f"disk, or runs for less than {LISTEN_MS / MS_PER_SECOND:.0f} s"
                )
        own = await acceptor.handle(FoundingOrder(state.identity, seeds))
        if own.record.seeds != seeds:
            raise _Refused(
                f"{state.name} runs for less than {LISTEN_MS / MS_PER_SECOND:.0f} s, "
                "or has joined a cluster; repeat the order"
            )

    async def _ask_all(
        self, addresses_by_name: dict[str, Address]
    ) -> dict[Address, str]:
        """Return the identities of the other seeds, if all answer and none has a log.

        Other addresses of the settings are asked, too, as they may have a log.
        """
        await self.founding.ask_all()
        view = self.founding.view
        if view.refusal:
            raise _Refused(view.refusal)
        statements = {s.address: s for s in view.statements}
        for address, statement in statements.items():
            if statement.cluster:
                raise _Refused(f"{address} belongs to cluster {statement.cluster}")
            if not statement.identity:
                raise _Refused(
                    f"no answer of {address} ({statement.failure}); it may have a log"
                )
        identities = {}
        for name, address in addresses_by_name.items():
            identity = statements[address].identity if address in statements else ""
            if name_of(identity) != name:
                raise _Refused(f"{identity or 'nobody'} answers at {address}")
            identities[address] = identity
        return identities

    async def _wait_for_log(self) -> None:
        clock = self.state.clock
        end_ms = clock.now_ms() + FOUNDING_LIMIT_MS
        while not self.founding.acceptor.has_log:
            if clock.now_ms() >= end_ms:
                raise _Refused(
                    "all seeds have the permission, but none has founded the cluster "
                    "yet; repeat the order"
                )
            await clock.sleep_ms(POLL_INTERVAL_MS)
