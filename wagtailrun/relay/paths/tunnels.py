"""Connections to targets through other entries, for entries that do not reach them.

A tunnel carries the bytes of one connection: the entry of the request decides about the
request, its deadline, retries and keys, and reads the answer itself. The entry that
carries it connects directly or not at all, so there is no second hop.
"""

import functools
import random
from collections.abc import Callable, Collection
from typing import Any, TypeGuard

import attrs
import curio

from wagtailrun.adapters.http_client import (
    Connector,
    DirectConnector,
    OpenConnection,
    Reachability,
)
from wagtailrun.clock import MS_PER_SECOND, Clock
from wagtailrun.discovery import FleetView
from wagtailrun.exceptions import ConnectFailed, ConnectShortage
from wagtailrun.logs import events
from wagtailrun.ports.link import Address, TunnelLink, Upgrade
from wagtailrun.relay.paths.carriers import CarrierOutcome, Carriers
from wagtailrun.relay.paths.data_centre_reach import DataCentreReach
from wagtailrun.relay.paths.survey import PathSurvey
from wagtailrun.relay.paths.target_paths import TargetPaths
from wagtailrun.relay.paths.tunnel_bytes import TunnelBytes
from wagtailrun.relay.paths.tunnel_messages import (
    OpenTunnel,
    TunnelOpened,
    TunnelRefusal,
    TunnelRefused,
)
from wagtailrun.targets.table import TargetRow

__all__ = ["PathConnector", "TunnelHost"]

# A direct connection that is not open after this time is lost, or slow: TCP resends a
# lost SYN only after a second.
DIRECT_TIMEOUT_MS = 300
# A time limit that is noticed this much too late was not that of the target: the loop
# of this process stood still meanwhile.
LATE_MS = 20
DIRECT_TRIES = 2
# Three entries, each with time for two direct connections one after the other.
ASK_OTHERS_MS = 2_400
# Links of a region take under 5 ms. After this time another entry is asked as well.
HEDGE_AFTER_MS = 100
# Connections that one entry carries for others; further ones go to other entries.
MAX_TUNNELS = 512


@attrs.define
class _Tried:
    """A direct connection, and one through another entry beside it.

    Attributes:
        winner: The first that was opened, if any.
        failure: How the direct one failed, if it has.
        outcome: What other entries said, if they were asked and the answer came.
    """

    winner: OpenConnection | None = None
    failure: ConnectFailed | None = None
    outcome: CarrierOutcome | None = None


class PathConnector(Connector):
    """Connects to targets directly, or through another entry where that fails.

    Args:
        clock: Clock.
        link: Opens tunnels at other entries.
        view: This entry's view of the fleet.
        seed: Seed for the choice of the other entry.
        direct: Connects without another entry; by default over sockets.
    """

    def __init__(
        self,
        clock: Clock,
        link: TunnelLink,
        view: FleetView,
        seed: int | None = None,
        direct: Connector | None = None,
    ):
        self.clock = clock
        self.view = view
        self.random = random.Random(seed)
        self.direct = direct or DirectConnector()
        self.survey = PathSurvey(view.present_targets, self._try_path, self.random)
        self.reach = DataCentreReach(
            clock, view, self._try_path, self._ask_others, self.random
        )
        self.paths = TargetPaths(
            clock,
            view.target_addresses,
            self.reaches,
            self.check,
            self.survey.reaches_any,
            seed,
        )
        self.carriers = Carriers(clock, link, view, self.random)
        # Targets whose direct path is being tried after another entry was faster.
        self.tried_paths: set[Address] = set()

    async def connect(self, address: Address, timeout_ms: int) -> OpenConnection:
        """Open a connection; see ``Connector``."""
        return await self._connect(address, timeout_ms, probe=False)

    async def probe(self, address: Address, timeout_ms: int) -> Reachability:
        """Return whether a server accepts connections; see ``Connector``."""
        return await self._find_reachability(
            self._connect(address, timeout_ms, probe=True)
        )

    async def _connect(
        self, address: Address, timeout_ms: int, *, probe: bool
    ) -> OpenConnection:
        if not self.carriers.other_entries():
            return await self.connect_directly(address, timeout_ms)
        if self.reach.is_away(address):
            raise _away_error(address)
        ends_ms = self.clock.now_ms() + timeout_ms
        if self.paths.is_lost(address):
            tried = _Tried()
            tried.outcome = await self.carriers.connect(address, ends_ms, probe=probe)
        else:
            tried = await self._connect_either_way(address, timeout_ms, probe=probe)
            if tried.winner is None and tried.outcome is None:
                tried.outcome = await self.carriers.connect(
                    address, ends_ms, probe=probe
                )
        outcome = tried.outcome or CarrierOutcome()
        opened = tried.winner or outcome.opened
        if opened is None:
            raise await self._make_error(address, tried.failure, outcome)
        if tried.failure is not None and not tried.failure.undecided:
            await self._record_lost(address, outcome.carrier, str(tried.failure))
        return opened

    async def _record_lost(self, address: Address, carrier: str, detail: str) -> None:
        """Record a lost path, and find out beside it whether all are."""
        self.paths.record_lost(address, carrier, detail)
        if self.paths.may_be_cut_off:
            await curio.spawn(self.paths.review_cut, daemon=True)

    async def _connect_either_way(
        self, address: Address, timeout_ms: int, *, probe: bool
    ) -> _Tried:
        """Connect directly, and through another entry as well if that takes long."""
        ends_ms = self.clock.now_ms() + timeout_ms
        limit_ms = min(timeout_ms, DIRECT_TIMEOUT_MS)
        direct = await curio.spawn(self._try_directly, address, limit_ms)
        carried = None
        tried = _Tried()
        try:
            await curio.ignore_after(HEDGE_AFTER_MS / MS_PER_SECOND, direct.wait)
            if not direct.terminated:
                carried = await curio.spawn(
                    functools.partial(self.carriers.connect, probe=probe),
                    address,
                    ends_ms,
                )
                await _wait_for_connection(direct, carried)
            tried.winner = _opened(direct) or _opened(carried)
            if direct.terminated and isinstance(direct.result, ConnectFailed):
                tried.failure = direct.result
            if isinstance(tried.failure, ConnectShortage):
                if tried.winner is None:
                    raise tried.failure
                tried.failure = None
            if carried is not None and carried.terminated:
                tried.outcome = carried.result
                if not direct.terminated and tried.winner is not None:
                    await self._try_path_later(address, carried.result.carrier)
            return tried
        finally:
            for task in (direct, carried):
                if task is not None:
                    await task.cancel()
                    opened = _opened(task)
                    if opened is not None and opened is not tried.winner:
                        await opened.sock.close()

    async def _try_directly(
        self, address: Address, timeout_ms: int
    ) -> OpenConnection | ConnectFailed:
        """Return a direct connection, or how it failed."""
        try:
            return await self.connect_directly(address, timeout_ms)
        except ConnectFailed as error:
            return error

    async def _try_path_later(self, address: Address, carrier: str) -> None:
        """Find out if a path is lost, or only slower than that of another entry."""
        if address in self.tried_paths:
            return
        self.tried_paths.add(address)

        async def try_path() -> None:
            try:
                found = await self._try_directly(address, DIRECT_TIMEOUT_MS)
                if isinstance(found, OpenConnection):
                    await found.sock.close()
                elif not _shows_nothing(found):
                    await self._record_lost(address, carrier, str(found))
            finally:
                self.tried_paths.discard(address)

        await curio.spawn(try_path, daemon=True)

    async def _make_error(
        self, address: Address, failure: ConnectFailed | None, outcome: CarrierOutcome
    ) -> ConnectFailed:
        """Return the error for a target that no entry connected to."""
        detail = str(failure or f"the path to {address} is lost")
        if failure is not None and not outcome.answered:
            # No other entry can tell, so another target has to.
            confirmed = failure.confirmed and await self.reaches_beside(address)
            return ConnectFailed(
                detail,
                refused=failure.refused,
                confirmed=confirmed,
                undecided=(outcome.undecided or failure.undecided) and not confirmed,
            )
        refused = outcome.refused and (failure is None or failure.refused)
        return ConnectFailed(
            f"{detail}; {outcome.detail}",
            refused=refused,
            confirmed=outcome.confirmed,
            undecided=outcome.undecided and not outcome.confirmed,
        )

    def may_reuse(self, address: Address) -> bool:
        """Return whether the path to a server is believed to work."""
        return not (self.paths.is_lost(address) or self.reach.is_away(address))

    async def confirms_silence(
        self, address: Address, carrier: Address | None, since_ms: int
    ) -> bool:
        """Return whether silence is that of the server; see ``Connector``."""
        if carrier is None:
            return True
        return await self.carriers.confirms_silence(address, carrier, since_ms)

    async def connect_directly(
        self, address: Address, timeout_ms: int
    ) -> OpenConnection:
        """Open a connection without another entry; raises ConnectFailed.

        A try in which this process stood still proves nothing, so another one follows.
        """
        for _ in range(DIRECT_TRIES):
            started_ms = self.clock.now_ms()
            try:
                opened = await self.direct.connect(address, timeout_ms)
            except ConnectFailed as error:
                late_ms = self.clock.now_ms() - started_ms - timeout_ms
                if error.refused or late_ms < LATE_MS:
                    if not (_shows_nothing(error) or self.paths.is_cut_off):
                        await self.reach.record_failure(address)
                    raise
                detail = f"{error}; this process was late by {late_ms} ms"
                continue
            self.paths.record_connected(address)
            return OpenConnection(self.paths.watch(opened.sock, address))
        raise ConnectFailed(detail, confirmed=False, undecided=True)

    # Checks of paths

    async def reaches(self, address: Address) -> bool:
        """Return whether a direct connection to a target can be opened."""
        return await _close_opened(await self._try_directly(address, DIRECT_TIMEOUT_MS))

    async def reaches_beside(self, address: Address) -> bool:
        """Return whether another target of the data centre of one is reached.

        If there is no other, the word of this entry has to do.

        Raises:
            ConnectFailed: If this process lacks what it needs to find out, or was late.
        """
        row = self.view.row_at(address)
        beside = [
            each.address
            for each in self._known_rows()
            if each.address != address
            and (row is None or each.data_centre == row.data_centre)
        ]
        return not beside or await self._try_path(self.random.choice(beside))

    async def reaches_any_but(self, address: Address) -> bool:
        """Return whether some other target is reached; True if there is no other.

        Raises:
            ConnectFailed: If this process lacks what it needs to find out, or was late.
        """
        return await self.survey.reaches_any(self.view.row_at(address))

    def _known_rows(self) -> list[TargetRow]:
        """Return the targets that may be given work."""
        rows = [self.view.row_at(each) for each in self.view.target_addresses()]
        return [row for row in rows if row is not None]

    async def _try_path(self, address: Address) -> bool:
        """Return whether a direct connection to a target can be opened.

        Raises:
            ConnectFailed: If this process lacks what it needs to find out, or was late.
        """
        opened = await self._try_directly(address, DIRECT_TIMEOUT_MS)
        if _shows_nothing(opened):
            raise opened
        return await _close_opened(opened)

    async def _ask_others(
        self, row: TargetRow, left_out: Collection[str]
    ) -> CarrierOutcome:
        """Return what other entries say about a target."""
        ends_ms = self.clock.now_ms() + ASK_OTHERS_MS
        return await self.carriers.connect(
            row.address, ends_ms, probe=True, left_out=left_out
        )

    async def check(self, address: Address) -> bool:
        """Return whether a target is reached directly; if not, ask another entry."""
        opened = await self._try_directly(address, DIRECT_TIMEOUT_MS)
        if await _close_opened(opened):
            return True
        if _shows_nothing(opened):
            return False
        ends_ms = self.clock.now_ms() + DIRECT_TIMEOUT_MS
        outcome = await self.carriers.connect(address, ends_ms, probe=True)
        if outcome.opened is not None:
            await outcome.opened.sock.close()
            await self._record_lost(address, outcome.carrier, str(opened))
        return False


def _away_error(address: Address) -> ConnectFailed:
    """Return the error for a target of a data centre that is away."""
    return ConnectFailed(f"the data centre of {address} is away", confirmed=False)


def _shows_nothing(
    found: OpenConnection | ConnectFailed,
) -> TypeGuard[ConnectFailed]:
    """Return whether a connection failed because of this process alone."""
    return isinstance(found, ConnectFailed) and (
        found.undecided or isinstance(found, ConnectShortage)
    )


async def _close_opened(found: OpenConnection | ConnectFailed) -> bool:
    """Return whether a connection was opened, and close it."""
    if isinstance(found, ConnectFailed):
        return False
    await found.sock.close()
    return True


def _opened(task: curio.Task | None) -> OpenConnection | None:
    """Return the connection that a task opened, if it has."""
    if task is None or not task.terminated or task.exception is not None:
        return None
    result = task.result
    if isinstance(result, CarrierOutcome):
        return result.opened
    return result if isinstance(result, OpenConnection) else None


async def _wait_for_connection(*tasks: curio.Task) -> None:
    """Return when the first of some tasks has opened a connection, or all ended."""
    ended = curio.Event()

    async def watch(task: curio.Task) -> None:
        await task.wait()
        if _opened(task) is not None or all(each.terminated for each in tasks):
            await ended.set()

    async with curio.TaskGroup(wait=None) as group:
        for task in tasks:
            await group.spawn(watch, task)
        await ended.wait()


class TunnelHost:
    """Opens connections to targets for other entries.

    Args:
        clock: Clock.
        view: This entry's view of the fleet.
        connector: Connects directly.
        begin_request: Returns how long a target wants no requests from this VM. If it
            is 0, a request may be on its way after the call.
        is_stopping: Returns whether this entry stops.
        was_held_since: Returns whether the event loop of this process was held after a
            time on the clock.
    """

    def __init__(
        self,
        clock: Clock,
        view: FleetView,
        connector: PathConnector,
        begin_request: Callable[[Address], int],
        is_stopping: Callable[[], bool],
        was_held_since: Callable[[int], bool] = lambda since_ms: False,
    ):
        self.clock = clock
        self.view = view
        self.connector = connector
        self.begin_request = begin_request
        self.is_stopping = is_stopping
        self.was_held_since = was_held_since
        # Number of connections that this entry carries or opens.
        self.running = 0

    async def open(self, message: OpenTunnel) -> Upgrade | TunnelRefused:
        """Return a tunnel to a target, or why there is none."""
        address = Address.parse(message.address)
        started_ms = self.clock.now_ms()
        refusal = self._refusal(message, address)
        if refusal is None:
            self.running += 1
            limit_ms = min(message.limit_ms, DIRECT_TIMEOUT_MS)
            try:
                opened = await self.connector.connect_directly(address, limit_ms)
            except ConnectFailed as error:
                self.running -= 1
                refusal = await self._explain_failure(address, error, started_ms)
            except BaseException:
                self.running -= 1
                raise
        if refusal is not None:
            self._log(message, started_ms, f"{refusal.reason}: {refusal.detail}")
            return refusal
        took_ms = self.clock.now_ms() - started_ms

        async def run(peer: Any) -> str:
            if message.probe:
                return "probe"
            return await TunnelBytes(self.clock, opened.sock, peer).pass_on()

        async def close(detail: str) -> None:
            self.running -= 1
            await opened.sock.close()
            self._log(message, started_ms, detail)

        return Upgrade(TunnelOpened(took_ms), run, close)

    def _refusal(self, message: OpenTunnel, address: Address) -> TunnelRefused | None:
        """Return why nothing may be sent to a target, or not from here, else None."""
        if self.is_stopping():
            return TunnelRefused(TunnelRefusal.STOPPING, "this entry stops")
        if self.running >= MAX_TUNNELS:
            return TunnelRefused(TunnelRefusal.FULL, f"{self.running} tunnels are open")
        silent_since_ms = self.clock.now_ms() - message.silent_ms
        if message.silent_ms and self.was_held_since(silent_since_ms):
            return TunnelRefused(TunnelRefusal.LATE, "this entry stood still")
        if self.connector.paths.is_cut_off:
            return TunnelRefused(TunnelRefusal.CUT_OFF, "this entry reaches no target")
        if not self.connector.may_reuse(address):
            return TunnelRefused(TunnelRefusal.NO_PATH, f"no path to {address}")
        if message.target and self._has_left(message):
            return TunnelRefused(TunnelRefusal.LEFT, f"{message.target} leaves")
        row = None if message.probe else self.view.row_at(address)
        if row is not None and self.view.evacuations.includes(row):
            detail = f"the data centre {row.data_centre} is evacuated"
            return TunnelRefused(TunnelRefusal.LEFT, detail)
        wait_ms = 0 if message.probe else self.begin_request(address)
        if wait_ms:
            detail = f"{address} takes no requests for {wait_ms} ms"
            return TunnelRefused(TunnelRefusal.PAUSED, detail, wait_ms)
        return None

    def _has_left(self, message: OpenTunnel) -> bool:
        """Return whether this incarnation of a target leaves, or was replaced."""
        known = self.view.known_target(message.target)
        if known is None or known.incarnation < message.incarnation:
            return False
        # The other entry knows whether a stream may go on while the target drains.
        has_left = known.leaving and not known.draining
        return has_left or known.incarnation > message.incarnation

    async def _explain_failure(
        self, address: Address, error: ConnectFailed, started_ms: int
    ) -> TunnelRefused:
        """Return whether a target is at fault, this entry, or the links of it."""
        try:
            return await self._find_fault(address, error, started_ms)
        except ConnectShortage as shortage:
            return TunnelRefused(TunnelRefusal.FULL, str(shortage))
        except ConnectFailed as late:
            return TunnelRefused(TunnelRefusal.LATE, str(late))

    async def _find_fault(
        self, address: Address, error: ConnectFailed, started_ms: int
    ) -> TunnelRefused:
        """Return the same; raises ConnectFailed if this process cannot find out."""
        if _shows_nothing(error):
            raise error
        if await self.connector.reaches_beside(address):
            return TunnelRefused(
                TunnelRefusal.UNREACHABLE, str(error), refused=error.refused
            )
        paths = self.connector.paths
        is_heard = paths.last_heard_ms >= started_ms
        if is_heard or await self.connector.reaches_any_but(address):
            return TunnelRefused(TunnelRefusal.NO_PATH, str(error))
        await curio.spawn(paths.review_cut, daemon=True)
        return TunnelRefused(TunnelRefusal.CUT_OFF, str(error))

    def _log(self, message: OpenTunnel, started_ms: int, detail: str) -> None:
        events.log(
            events.TUNNEL_ENDED,
            entry=message.sender,
            target=message.target,
            address=message.address,
            took_ms=self.clock.now_ms() - started_ms,
            running=self.running,
            detail=detail,
        )
