"""Control members: the relay's own discovery over an emulated replicated state."""

from collections.abc import Callable, Sequence
from typing import Any

import attrs
import curio

from wagtailrun.clock import MS_PER_SECOND, Clock
from wagtailrun.consensus.state import Signal
from wagtailrun.discovery.hub import Hub
from wagtailrun.exceptions import ConsensusUnavailable
from wagtailrun.experiments.relay.link import EmulatedLink
from wagtailrun.experiments.relay.network import Network, Process
from wagtailrun.ports.link import Address
from wagtailrun.registry.state import Registry
from wagtailrun.targets.table import TargetRow

__all__ = ["HEARTBEAT_MS", "Members"]

HEARTBEAT_MS = 1_000
# With fewer, the cut of one data centre could leave no majority on either side.
MEMBERS_OF_SEVERAL = 3


@attrs.frozen
class _MemberRow:
    """Row of a member in the member set.

    Attributes:
        address: Address as text.
    """

    address: str


@attrs.frozen
class _MemberSet:
    """The member set, as a hub tells it to entries."""

    members: tuple[_MemberRow, ...]


class _Member:
    """What a hub uses of a member of the replicated log.

    The log itself is emulated: a member that reaches a majority has all of it at once.

    Args:
        members: All members.
        process: Process of this member.
    """

    def __init__(self, members: "Members", process: Process):
        self.members = members
        self.process = process
        self.registry = Registry()
        self.applied = Signal()

    @property
    def configuration(self) -> _MemberSet:
        """The member set."""
        return self.members.configuration

    async def read_barrier(self, timeout_ms: int) -> None:
        """Return when the local state is the newest; see ``Member``.

        Raises:
            ConsensusUnavailable: If no majority of the members is reached.
        """
        if not self.members.has_majority(self):
            await curio.sleep(timeout_ms / MS_PER_SECOND)
            detail = "no majority of the members is reached"
            raise ConsensusUnavailable(detail, may_have_committed=False)
        await curio.sleep(2 * self.members.network.delay_s)
        await self.members.spread()


class Members:
    """The control members of a fleet.

    Args:
        network: Network.
        data_centres: Data centres of the fleet.
    """

    def __init__(self, network: Network, data_centres: Sequence[str]):
        self.network = network
        count = 1 if len(data_centres) == 1 else MEMBERS_OF_SEVERAL
        self.revision = 0
        self.text = ""
        self.members: list[_Member] = []
        self.hubs: list[Hub] = []
        for number in range(count):
            data_centre = data_centres[number % len(data_centres)]
            address = Address(f"10.0.0.{number + 1}", 7_000)
            process = Process(f"control-{number}", address, data_centre)
            network.add(process)
            self._add_member(process)
        self.configuration = _MemberSet(
            tuple(_MemberRow(str(address)) for address in self.addresses)
        )

    @property
    def addresses(self) -> tuple[Address, ...]:
        """Addresses of the members."""
        return tuple(member.process.address for member in self.members)

    def _add_member(self, process: Process) -> None:
        member = _Member(self, process)
        clock: Clock = self.network.clock
        get_member: Callable[[], Any] = lambda: member  # noqa: E731
        hub = Hub(
            clock,
            EmulatedLink(self.network, process),
            member.registry,
            get_member,
            process.address,
            HEARTBEAT_MS,
            process.data_centre,
        )
        # Random identifiers, which only have to differ.
        hub.epoch = len(self.members) + 1
        process.handle = hub.handle
        self.members.append(member)
        self.hubs.append(hub)

    async def start(self) -> None:
        """Start all members."""
        for member, hub in zip(self.members, self.hubs, strict=True):
            await member.process.tasks.spawn(hub.run)

    async def put_text(self, text: str) -> None:
        """Accept a fleet configuration."""
        self.text = text
        self.revision += 1
        await self.spread()

    async def spread(self) -> None:
        """Let the members that reach a majority have the newest configuration."""
        for member in self.members:
            is_behind = member.registry.revision < self.revision
            if is_behind and self.has_majority(member):
                member.registry.revision = self.revision
                member.registry.text = self.text
                await member.applied.notify()

    def has_majority(self, member: _Member) -> bool:
        """Return whether a member reaches more than half of all, itself included."""
        reached = sum(
            self.network.is_reachable(member.process, other.process)
            for other in self.members
        )
        return 2 * reached > len(self.members)

    async def report(
        self, sender: Process, row: TargetRow, cold_ms: int | None
    ) -> None:
        """Take the report of a target at the first member that it reaches.

        Members of its own data centre come first. A report passes in one direction
        only, so that a cut of the other one does not hold it up.
        """
        near = sender.data_centre
        ranked = sorted(
            range(len(self.members)),
            key=lambda each: self.members[each].process.data_centre != near,
        )
        for number in ranked:
            receiver = self.members[number].process
            if not self.network.drops(near, receiver.data_centre):
                await self.hubs[number].report(row, cold_ms)
                return
