"""Tells the owner of placements which prompt parts engines hold.

Load pattern: entries that restart one after another, stand still or are cut off, while
engines keep their caches. A new owner that knows nothing of them would have each shared
part read again.

Each entry keeps what it learned: parts of its own prompts that engines began to answer,
of those that it placed for others, and what others told it. It tells the owner of the
service what that one does not know from it, also once it stops itself. Nothing depends
on it: what is lost is read again.
"""

from collections import OrderedDict, defaultdict
from collections.abc import Callable, Collection, Iterable, Iterator
from itertools import islice

import attrs

from wagtailrun.clock import Clock
from wagtailrun.discovery.owners import Owners, ownership_key
from wagtailrun.exceptions import MessageError, PeerUnreachable
from wagtailrun.logs import events
from wagtailrun.ports.link import Address, PeerLink
from wagtailrun.relay.core.placement_messages import EngineParts, RunNoted, RunOver
from wagtailrun.relay.placement.part_cache import MAX_PARTS
from wagtailrun.targets.attempt_ends import RunOutcome
from wagtailrun.targets.table import TargetRow

__all__ = ["KnownParts", "PartNews"]

# How parts are named in messages: 64 bits of XXH3 of the name that callers state.
PART_FORMAT = 1
# Parts of a service that an entry keeps; the least recently used one is dropped first.
# In a message they take 32 KB.
MAX_KNOWN = 4_096
# Engines that a message names at most; others are ignored.
MAX_ENGINES = 1_024
# Time between looks for an owner that has changed. Parts are told together.
INTERVAL_MS = 200
CALL_TIMEOUT_MS = 250
# An owner that did not take what it was told is told again after this time.
RETRY_MS = 1_000
# Owners of a service that are remembered to know parts.
MAX_INFORMED = 4

# Name of an engine, its incarnation, and the digest of a part.
_Key = tuple[str, int, str]


@attrs.define
class _KnownPart:
    """A part that an engine holds.

    Attributes:
        informed: Processes that know it from this one, or placed it.
    """

    informed: list[tuple[str, int]] = attrs.field(factory=list)

    def add(self, process: tuple[str, int]) -> None:
        """Record that a process knows it."""
        if process not in self.informed:
            self.informed = [*self.informed, process][-MAX_INFORMED:]


class KnownParts:
    """Parts that engines hold, as far as this process knows, by service."""

    def __init__(self) -> None:
        self.parts_by_service: dict[str, OrderedDict[_Key, _KnownPart]] = defaultdict(
            OrderedDict
        )
        # The owner that knows all parts, but for those of changed services.
        self.informed_by_service: dict[str, tuple[str, int]] = {}
        self.changed: set[str] = set()

    def record(
        self,
        row: TargetRow,
        names: Iterable[str],
        informed: tuple[str, int] | None = None,
    ) -> None:
        """Record that an engine holds parts.

        Args:
            row: The engine.
            names: Digests of the parts.
            informed: The process that knows it, if any other one does.
        """
        parts = self.parts_by_service[row.service]
        for name in names:
            key = row.name, row.incarnation, name
            known = parts.get(key)
            if known is None:
                known = parts[key] = _KnownPart()
            parts.move_to_end(key)
            if informed is not None:
                known.add(informed)
        if informed != self.informed_by_service.get(row.service):
            self.changed.add(row.service)
        while len(parts) > MAX_KNOWN:
            parts.popitem(last=False)

    def untold(self, service: str, process: tuple[str, int]) -> list[_Key]:
        """Return what a process does not know from here, the oldest first."""
        parts = self.parts_by_service[service]
        return [key for key, known in parts.items() if process not in known.informed]

    def record_told(
        self, service: str, keys: Iterable[_Key], process: tuple[str, int]
    ) -> None:
        """Record that a process was told of parts."""
        parts = self.parts_by_service[service]
        for key in keys:
            if key in parts:
                parts[key].add(process)

    def retain(self, names: Collection[str], services: Collection[str]) -> None:
        """Drop what is known of all other targets and services."""
        for service in self.parts_by_service.keys() - services:
            del self.parts_by_service[service]
        for parts in self.parts_by_service.values():
            for key in [key for key in parts if key[0] not in names]:
                del parts[key]
        self.changed &= self.parts_by_service.keys()
        for service in self.informed_by_service.keys() - services:
            del self.informed_by_service[service]


def engine_parts(keys: Iterable[_Key]) -> tuple[EngineParts, ...]:
    """Return parts as a message has them; the oldest of each engine come first."""
    parts_by_engine: dict[tuple[str, int], list[int]] = defaultdict(list)
    for target, incarnation, name in keys:
        parts_by_engine[target, incarnation].append(int(name, 16))
    return tuple(
        EngineParts(target, incarnation, tuple(parts[-MAX_PARTS:]))
        for (target, incarnation), parts in islice(parts_by_engine.items(), MAX_ENGINES)
    )


def held_parts(
    message: RunOver, rows: Iterable[TargetRow]
) -> Iterator[tuple[TargetRow | None, tuple[str, ...]]]:
    """Yield the engines that a message names, and the parts that they hold.

    Args:
        message: Message with ``held``.
        rows: Targets of the service.

    Yields:
        None in place of an engine if its parts are ignored: it is not known with this
        incarnation, or the list is too long or has another format.
    """
    rows_by_name = {row.name: row for row in rows}
    for number, engine in enumerate(message.held):
        names = tuple(f"{part:016x}" for part in engine.parts)
        row = rows_by_name.get(engine.target)
        is_sound = (
            message.part_format == PART_FORMAT
            and number < MAX_ENGINES
            and len(names) <= MAX_PARTS
        )
        is_current = row is not None and row.incarnation == engine.incarnation
        yield (row if is_sound and is_current else None), names


class PartNews:
    """Tells the owners of services what this process knows of parts.

    Args:
        clock: Clock.
        link: Link to other entries.
        name: Name of this entry.
        owners: Chooses the owner of a service.
        known: What this process knows.
        is_stopping: Returns whether this entry stops, so that others are the owners.
    """

    def __init__(
        self,
        clock: Clock,
        link: PeerLink,
        name: str,
        owners: Owners,
        known: KnownParts,
        is_stopping: Callable[[], bool] = lambda: False,
    ):
        self.clock = clock
        self.link = link
        self.name = name
        self.owners = owners
        self.known = known
        self.is_stopping = is_stopping
        self.retry_at_ms_by_service: dict[str, int] = {}

    async def run(self) -> None:
        """Tell the owners what is new to them until cancelled."""
        while True:
            await self.clock.sleep_ms(INTERVAL_MS)
            await self.tell()

    async def tell(self) -> None:
        """Tell the owner of each service what it does not know."""
        tried = {self.name} if self.is_stopping() else ()
        for service in self.retry_at_ms_by_service.keys() - self.known.parts_by_service:
            del self.retry_at_ms_by_service[service]
        for service in list(self.known.parts_by_service):
            owner = self.owners.owner(ownership_key(service), tried)
            if self.owners.unless_own(owner, self.name) is None or owner is None:
                self.known.informed_by_service.pop(service, None)
                continue
            is_known = self.known.informed_by_service.get(service) == owner.process
            if is_known and service not in self.known.changed:
                continue
            if self.clock.now_ms() < self.retry_at_ms_by_service.get(service, 0):
                continue
            self.known.changed.discard(service)
            if await self._tell(service, owner.address, owner.process):
                self.known.informed_by_service[service] = owner.process
            else:
                self.known.informed_by_service.pop(service, None)
                retry_at_ms = self.clock.now_ms() + RETRY_MS
                self.retry_at_ms_by_service[service] = retry_at_ms

    async def _tell(
        self, service: str, address: Address, process: tuple[str, int]
    ) -> bool:
        """Tell an entry what it does not know; return whether it was told."""
        keys = self.known.untold(service, process)
        if not keys:
            return True
        # An earlier build takes it for the end of attempts of a request without a name.
        message = RunOver(
            "",
            service,
            "",
            RunOutcome.OVER,
            held=engine_parts(keys),
            part_format=PART_FORMAT,
        )
        try:
            reply = await self.link.call(address, message, CALL_TIMEOUT_MS)
        except (MessageError, PeerUnreachable) as error:
            events.log(events.PEER_LOST, peer=process[0], detail=str(error))
            return False
        # An earlier build does not take it, and does not need to be told again.
        if isinstance(reply, RunNoted):
            if reply.again:
                return False
            self.known.record_told(service, keys, process)
        return True
