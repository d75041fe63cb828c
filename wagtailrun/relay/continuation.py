"""Checks that the target that continues a stream has the version that began it."""

from abc import ABC, abstractmethod
from collections.abc import Mapping

import attrs
import curio

from wagtailrun.adapters.http_client import HttpClient
from wagtailrun.discovery import OriginClient, StreamOrigin
from wagtailrun.discovery.messages import TargetIncarnation
from wagtailrun.exceptions import TargetFailed
from wagtailrun.membership import TargetRow
from wagtailrun.relay.port import RelayWire

__all__ = [
    "Continuation",
    "ContinuationChecker",
    "IncarnationReader",
    "TargetReports",
    "find_mismatch",
]

# Targets report at once, without a slot. A stream whose target does not is checked by
# what the control members know.
REPORT_TIMEOUT_MS = 300


class IncarnationReader(ABC):
    """Asks targets which of their incarnations runs."""

    @abstractmethod
    async def read_incarnation(self, row: TargetRow) -> int | None:
        """Return the incarnation that runs at the address of a target.

        Returns:
            0 if another target runs there, None if it is not known.
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
        try:
            reply = await self.http.request(
                row.address,
                method,
                path,
                headers,
                timeout_ms=REPORT_TIMEOUT_MS,
                takes_slot=False,
            )
        except TargetFailed:
            # The attempt itself logs what is wrong with the target.
            return None
        return self.wire.parse_incarnation(reply)


@attrs.define(eq=False)
class Continuation:
    """Check of one attempt that continues a stream.

    The target is asked after the connection of the attempt was opened. Incarnations at
    an address grow, so that one which still runs then is the one that answers.

    Attributes:
        checker: Asks the target and the control members.
        origin: Where the stream began.
        row: Target of the attempt.
        result: Why the answer may not continue the stream; empty if it may.
        done: Set once the result is known.
    """

    checker: "ContinuationChecker"
    origin: StreamOrigin
    row: TargetRow
    result: str = "the version of the target could not be checked"
    done: curio.Event = attrs.field(factory=curio.Event)

    async def start(self) -> None:
        """Begin to ask; called once the request was sent."""
        await curio.spawn(self._check, daemon=True)

    async def _check(self) -> None:
        try:
            self.result = await self.checker.check(self.origin, self.row)
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
        self, origin: StreamOrigin | None, row: TargetRow
    ) -> Continuation | None:
        """Return the check of an attempt; None if it continues nothing."""
        return Continuation(self, origin, row) if origin is not None else None

    async def check(self, origin: StreamOrigin, row: TargetRow) -> str:
        """Return why a target may not continue a stream; empty if it may."""
        names = {row.name, origin.target} - {""}
        known = await self.origins.find_incarnations(sorted(names))
        if known is None:
            return "too few control members replied to check its version"
        reported = None
        if row.incarnation:
            reported = await self.reader.read_incarnation(row)
        return find_mismatch(origin, row, reported, known)


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
    version = origin.software_version
    began = known_by_name.get(origin.target)
    if (
        began is not None
        and began.incarnation > origin.incarnation
        and began.software_version != version
    ):
        return "the target that began the stream was started with another version"
    newest = known_by_name.get(row.name)
    if reported is None:
        is_newer = newest is not None and newest.incarnation > row.incarnation
        is_other = is_newer and newest.software_version != version
    else:
        is_known = newest is not None and newest.incarnation == reported
        has_version = is_known and newest.software_version == version
        is_other = reported != row.incarnation and not has_version
    if is_other:
        return "the target was started again and may have another software version"
    return ""
