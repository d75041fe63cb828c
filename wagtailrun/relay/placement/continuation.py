"""Checks that the target that continues a stream has the version that began it."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping, Sequence

import attrs
import curio

from wagtailrun.adapters.http_client import HttpClient
from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.discovery import OriginClient, StreamOrigin
from wagtailrun.discovery.messages import TargetIncarnation
from wagtailrun.discovery.origin_client import CALL_TIMEOUT_MS
from wagtailrun.exceptions import ConnectShortage, TargetFailed, TargetPaused
from wagtailrun.process.shortages import SHORTAGE_PAUSE_MS
from wagtailrun.relay.core.port import RelayWire
from wagtailrun.targets.table import TargetRow

__all__ = [
    "Continuation",
    "ContinuationChecker",
    "IncarnationReader",
    "TargetReports",
    "find_mismatch",
    "find_origin_mismatch",
]

# Targets report at once, without a slot.
REPORT_TIMEOUT_MS = 300
# A lost packet delays the first report beyond its time limit.
REPORT_TRIES = 2
# For how long members are asked again while too few reply, and a target that no other
# can replace; a member that was started again serves after about a second. The first
# event of the target waits meanwhile.
CHECK_TIMEOUT_MS = 2_000
# Pause before they are asked again; the next one is twice as long.
QUESTION_PAUSE_MS = 50
# Further tries of a process that cannot connect to one target, each after a pause: it
# has as long as for a target that does not report.
SHORTAGE_TRIES = REPORT_TRIES * REPORT_TIMEOUT_MS // SHORTAGE_PAUSE_MS


class IncarnationReader(ABC):
    """Asks targets which of their incarnations runs."""

    @abstractmethod
    async def read_incarnation(self, row: TargetRow) -> int | None:
        """Return the incarnation that runs at the address of a target.

        Returns:
            0 if another target runs there, None if the target does not tell.

        Raises:
            TargetFailed: If the target did not answer.
        """


class TargetReports(IncarnationReader):
    """Asks targets for their reports.

    Args:
        http: Client with connections to targets.
        wire: Translates requests and answers.
    """

    def __init__(self, http: HttpClient, wire: RelayWire):
        self.http = http
        self.wire = wire

    async def read_incarnation(self, row: TargetRow) -> int | None:
        """Return the incarnation that runs; see ``IncarnationReader``."""
        method, path, headers = self.wire.report_request(row.name)
        reply = await self.http.request(
            row.address,
            method,
            path,
            headers,
            timeout_ms=REPORT_TIMEOUT_MS,
            connect_timeout_ms=REPORT_TIMEOUT_MS,
            takes_slot=False,
        )
        return self.wire.parse_incarnation(reply)


@attrs.frozen
class _Report:
    """What a target says of itself.

    Attributes:
        incarnation: 0 if another target runs there, None if it does not tell.
        failure: Why it could not be asked; empty if it could.
    """

    incarnation: int | None = None
    failure: str = ""


@attrs.define
class _Pauses:
    """Pauses before further questions, each twice as long as the one before.

    The last one is shorter, so that the last question comes when the time is over.

    Attributes:
        ends_s: When the last question is asked, so that its reply comes in time.
        next_s: The next pause, in seconds.
    """

    ends_s: float
    next_s: float = QUESTION_PAUSE_MS / MS_PER_SECOND

    @classmethod
    async def until(cls, limit_ms: int) -> "_Pauses":
        """Return the pauses of questions that are asked for some time from now on."""
        return cls(await curio.clock() + limit_ms / MS_PER_SECOND)

    async def take(self) -> bool:
        """Sleep for the next pause; return False at once if there is no time left."""
        left_s = self.ends_s - await curio.clock()
        if left_s <= 0:
            return False
        await curio.sleep(min(self.next_s, left_s))
        self.next_s *= 2
        return True


@attrs.define(eq=False)
class Continuation:
    """Check of one attempt that continues a stream.

    The target is asked after the connection of the attempt was opened. Incarnations at
    an address grow, so that one which still runs then is the one that answers.

    Attributes:
        checker: Asks the target and the control members.
        origin: Where the stream began.
        row: Target of the attempt.
        left_ms: What is left of the request's deadline as the attempt begins.
        may_wait: Returns whether no other target can continue the stream.
        result: Why the answer may not continue the stream; empty if it may.
        is_final: Whether no other target may continue it either.
        done: Set once the result is known.
    """

    checker: "ContinuationChecker"
    origin: StreamOrigin
    row: TargetRow
    left_ms: int = CHECK_TIMEOUT_MS
    may_wait: Callable[[], bool] = lambda: False
    result: str = "the version of the target could not be checked"
    is_final: bool = False
    done: curio.Event = attrs.field(factory=curio.Event)

    async def start(self) -> None:
        """Begin to ask; called once the request was sent."""
        await curio.spawn(self._check, daemon=True)

    async def _check(self) -> None:
        try:
            self.result = await self.checker.check(self)
        finally:
            await self.done.set()

    async def mismatch(self) -> str:
        """Return why the answer may not continue the stream; empty if it may."""
        await self.done.wait()
        return self.result


class ContinuationChecker:
    """Compares the target of an attempt with the origin of the stream.

    What this entry knows of the targets may be outdated: a target that was started
    again keeps its name and accepts requests that were meant for its earlier version.

    Args:
        origins: Asks the control members.
        reader: Asks the target.
    """

    def __init__(self, origins: OriginClient, reader: IncarnationReader):
        self.origins = origins
        self.reader = reader

    def prepare(
        self,
        origin: StreamOrigin | None,
        row: TargetRow,
        left_ms: int = CHECK_TIMEOUT_MS,
        may_wait: Callable[[], bool] = lambda: False,
    ) -> Continuation | None:
        """Return the check of an attempt; None if it continues nothing.

        Args:
            origin: Where the stream began, if it did.
            row: Target of the attempt.
            left_ms: What is left of the request's deadline, in milliseconds.
            may_wait: Returns whether no other target can continue the stream.
        """
        if origin is None:
            return None
        return Continuation(self, origin, row, left_ms, may_wait)

    async def check(self, continuation: Continuation) -> str:
        """Return why a target may not continue a stream; empty if it may."""
        origin, row = continuation.origin, continuation.row
        names = {row.name, origin.target} - {""}
        limit_ms = min(continuation.left_ms, CHECK_TIMEOUT_MS)
        async with curio.TaskGroup() as group:
            asked = await group.spawn(self._find_incarnations, sorted(names), limit_ms)
            read = await group.spawn(self._read_report, continuation, limit_ms)
        known, report = asked.result, read.result
        if known is None:
            continuation.is_final = True
            return "too few control members replied to check its version"
        detail = find_origin_mismatch(origin, known)
        if detail:
            continuation.is_final = True
            return detail
        if report.failure:
            return f"the target did not report its incarnation: {report.failure}"
        return find_mismatch(origin, row, report.incarnation, known)

    async def _find_incarnations(
        self, names: Sequence[str], limit_ms: int
    ) -> dict[str, TargetIncarnation] | None:
        """Return what the members know of targets; None if too few replied in time.

        Args:
            names: Names of the targets.
            limit_ms: For how long members are asked again, in milliseconds.
        """
        pauses = await _Pauses.until(limit_ms - CALL_TIMEOUT_MS)
        while True:
            known = await self.origins.find_incarnations(names)
            if known is not None or not await pauses.take():
                return known

    async def _read_report(self, continuation: Continuation, limit_ms: int) -> _Report:
        """Return the report of a target.

        One that no other target can replace is asked again until the limit, and so is
        each one while this process has no free descriptor.

        Args:
            continuation: The check.
            limit_ms: The limit, in milliseconds.
        """
        row = continuation.row
        failure = ""
        pauses = await _Pauses.until(limit_ms - REPORT_TIMEOUT_MS)
        tries = REPORT_TRIES if row.incarnation else 0
        shortage_tries = SHORTAGE_TRIES
        while tries:
            try:
                return _Report(await self.reader.read_incarnation(row))
            except TargetPaused:
                # It takes no requests now; what the members know decides.
                break
            except ConnectShortage as error:
                failure = str(error)
                shortage_tries -= 1
                # A further target needs a descriptor, too.
                may_wait = not error.only_here and await curio.clock() < pauses.ends_s
                if shortage_tries <= 0 and not may_wait:
                    break
                await curio.sleep(SHORTAGE_PAUSE_MS / MS_PER_SECOND)
            except TargetFailed as error:
                failure = str(error)
                tries -= 1
                if not tries and continuation.may_wait() and await pauses.take():
                    tries = 1
        return _Report(failure=failure)


def find_origin_mismatch(
    origin: StreamOrigin, known_by_name: Mapping[str, TargetIncarnation]
) -> str:
    """Return why the version that began a stream is uncertain; empty if it is not."""
    began = known_by_name.get(origin.target)
    if (
        began is not None
        and began.incarnation > origin.incarnation
        and began.software_version != origin.software_version
    ):
        return "the target that began the stream was started with another version"
    return ""


def find_mismatch(
    origin: StreamOrigin,
    row: TargetRow,
    reported: int | None,
    known_by_name: Mapping[str, TargetIncarnation],
) -> str:
    """Return why a target may not continue a stream; empty if it may.

    Args:
        origin: Where the stream began.
        row: The target as the entry knew it when it sent the request.
        reported: Incarnation that the target reported afterwards; None if it did not.
        known_by_name: Newest incarnations of targets that control members know.
    """
    detail = find_origin_mismatch(origin, known_by_name)
    if detail:
        return detail
    version = origin.software_version
    newest = known_by_name.get(row.name)
    if reported is None:
        is_other = (
            newest is not None
            and newest.incarnation > row.incarnation
            and newest.software_version != version
        )
    else:
        # An incarnation that no member knows yet may have any version.
        has_version = (
            newest is not None
            and newest.incarnation == reported
            and newest.software_version == version
        )
        is_other = reported != row.incarnation and not has_version
    if is_other:
        return "the target was started again and may have another software version"
    return ""
