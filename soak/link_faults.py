"""Faults of links: what a proxy does to the connections of a group of links."""

import itertools
import zlib
from collections import defaultdict

from attrs import define, field

from soak.fleet import Fault, Fleet
from soak.links import Direction, Effect, LinkFault, LinkProxy

__all__ = ["LINK_FAULTS", "LinkFaultKind", "LinkFaultsUnavailable", "LinkGroup"]

THIRDS = 3
PROCESS_PREFIX = "links of "
THIRD_PREFIX = "a third of the links: "


class LinkFaultsUnavailable(Exception):
    """The fleet has no proxy on its links."""


@define(frozen=True, kw_only=True)
class LinkGroup:
    """Links that a fault affects together.

    Attributes:
        links: Names of links of which all connections are affected.
        source: Process whose connections on all other links are affected, too; empty
            for none.
    """

    links: list[str] = field(factory=list)
    source: str = ""


def _ends(link: str) -> list[str]:
    return link.split(">")


def link_subjects(fleet: Fleet) -> list[str]:
    """Return the groups of links of a fleet: one, those of a process, a third."""
    links = list(fleet.links_by_name)
    if not links:
        return []
    processes = [
        name
        for name in fleet.processes_by_name
        if any(name in _ends(link) for link in links)
    ]
    return [
        *links,
        *(PROCESS_PREFIX + name for name in processes),
        *(f"{THIRD_PREFIX}{number}" for number in range(THIRDS)),
    ]


def link_group(fleet: Fleet, subject: str) -> LinkGroup:
    """Return the links of a subject.

    Raises:
        ValueError: If there is no such subject.
    """
    links = list(fleet.links_by_name)
    if subject in links:
        return LinkGroup(links=[subject])
    if subject.startswith(PROCESS_PREFIX):
        name = subject.removeprefix(PROCESS_PREFIX)
        return LinkGroup(
            links=[link for link in links if name in _ends(link)], source=name
        )
    if subject.startswith(THIRD_PREFIX):
        number = int(subject.removeprefix(THIRD_PREFIX))
        return LinkGroup(
            links=[
                link for link in links if zlib.crc32(link.encode()) % THIRDS == number
            ]
        )
    raise ValueError(f"{subject!r} names no links")


def proxy_of(fleet: Fleet) -> LinkProxy:
    """Return the proxy of a fleet.

    Raises:
        LinkFaultsUnavailable: If it has none.
    """
    if fleet.proxy is None:
        raise LinkFaultsUnavailable(
            "the fleet has no proxy on its links; start it with one, or leave out the "
            "faults of links"
        )
    return fleet.proxy


@define(frozen=True, kw_only=True)
class Range:
    """Amounts from a weak fault to a strong one; equal ratios for equal steps.

    Attributes:
        weak: Amount at strength 0.
        strong: Amount at strength 1.
    """

    weak: int = 0
    strong: int = 0

    def amount(self, strength: float) -> int:
        """Return the amount at a strength from 0 to 1."""
        if not self.weak:
            return 0
        return round(self.weak * (self.strong / self.weak) ** strength)


class LinkFaultKind(Fault):
    """A fault that the proxy applies.

    Args:
        name: Name of the kind.
        effect: What the proxy does.
        unit: Unit of the amount; empty if it has none.
        amounts: Amounts by strength.
        is_one_way: Whether it is for one direction, which the strength decides.
    """

    def __init__(
        self,
        name: str,
        effect: Effect,
        unit: str = "",
        amounts: Range | None = None,
        is_one_way: bool = False,
    ):
        self.name = name
        self._effect = effect
        self._unit = unit
        self._amounts = amounts or Range()
        self._is_one_way = is_one_way
        self._numbers = itertools.count()
        # Names at the proxy, the oldest first: a fault may begin again before it ends.
        self._applied: dict[tuple[Fleet, str], list[list[str]]] = defaultdict(list)

    def subjects(self, fleet: Fleet) -> list[str]:
        """Return the groups of links."""
        return link_subjects(fleet)

    def _direction(self, strength: float) -> Direction:
        if not self._is_one_way:
            return Direction.BOTH
        return Direction.TO_SOURCE if strength < 0.5 else Direction.TO_UPSTREAM

    async def begin(self, fleet: Fleet, subject: str, strength: float) -> str:
        """Apply the fault to a group of links.

        Raises:
            LinkFaultsUnavailable: If the fleet has no proxy.
        """
        proxy, group = proxy_of(fleet), link_group(fleet, subject)
        others = [link for link in fleet.links_by_name if link not in group.links]
        amount = self._amounts.amount(strength)
        names: list[str] = []
        self._applied[fleet, subject].append(names)
        for links, source in ((group.links, ""), (others, group.source)):
            if not links or (links is others and not source):
                continue
            name = f"{self.name} {next(self._numbers)}"
            names.append(name)
            await proxy.begin(
                LinkFault(
                    name=name,
                    effect=self._effect,
                    links=links,
                    source=source,
                    direction=self._direction(strength),
                    amount=amount,
                )
            )
        parts = [f"{len(group.links)} links"]
        if self._is_one_way:
            parts.append(self._direction(strength).value)
        if self._unit:
            parts.append(f"{amount} {self._unit}")
        return ", ".join(parts)

    async def end(self, fleet: Fleet, subject: str) -> None:
        """Let go of the oldest fault of this kind on a group of links."""
        applied = self._applied[fleet, subject]
        if applied:
            for name in applied.pop(0):
                await proxy_of(fleet).end(name)


LINK_FAULTS = (
    LinkFaultKind("delay", Effect.DELAY, "ms", Range(weak=10, strong=1_500)),
    LinkFaultKind("narrow", Effect.NARROW, "bytes/s", Range(weak=200_000, strong=200)),
    LinkFaultKind("reset", Effect.RESET),
    LinkFaultKind("silence", Effect.SILENCE),
    LinkFaultKind("cut-one-way", Effect.SILENCE, is_one_way=True),
    LinkFaultKind("refuse", Effect.REFUSE),
    LinkFaultKind("hold-half", Effect.HOLD_HALF, "ms", Range(weak=50, strong=3_000)),
)
