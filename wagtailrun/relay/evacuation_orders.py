"""Orders of operators to evacuate data centres, given at any control member."""

from collections.abc import Awaitable, Callable

from wagtailrun.clock import Clock
from wagtailrun.discovery.evacuations import FleetPlaces
from wagtailrun.exceptions import (
    ConsensusUnavailable,
    Refusal,
    RefusalReason,
    Verdict,
)
from wagtailrun.logs import events
from wagtailrun.registry.evacuations import MAX_EVACUATIONS, EvacuationOrder
from wagtailrun.registry.messages import MembersRecorded, RecordMembers
from wagtailrun.registry.state import Registry

__all__ = ["MAX_DATA_CENTRE_BYTES", "EvacuationOrders"]

# Operators wait 1 s for an answer before they try another member.
ORDER_TIMEOUT_MS = 900
RETRY_AFTER_MS = 500
MAX_DATA_CENTRE_BYTES = 255

# Passes a command on to the leader, within a time in milliseconds.
AskLeader = Callable[[RecordMembers, int], Awaitable[MembersRecorded]]


class EvacuationOrders:
    """Gives the orders of operators to the replicated log.

    Args:
        clock: Clock.
        registry: Local copy of the replicated state.
        places: Data centres that this member knows of.
        confirm: Returns once the local copy holds all that was committed before the
            call; raises ConsensusUnavailable after a time in milliseconds.
        ask_leader: Returns the leader's reply to a command; raises the same.
    """

    def __init__(
        self,
        clock: Clock,
        registry: Registry,
        places: FleetPlaces,
        confirm: Callable[[int], Awaitable[None]],
        ask_leader: AskLeader,
    ):
        self.clock = clock
        self.registry = registry
        self.places = places
        self.confirm = confirm
        self.ask_leader = ask_leader

    async def give(
        self, name: bytes, evacuates: bool, source: str, fault: str = ""
    ) -> Refusal | None:
        """Order the evacuation of a data centre, or withdraw the order.

        Args:
            name: Name of the data centre, as UTF-8.
            evacuates: Whether it is ordered.
            source: Address of the operator, for the log.
            fault: Why the call is malformed; empty if it is not.

        Returns:
            None once the order is in force, now or since an earlier call. Otherwise a
            refusal; its verdict says whether the order may still take effect.
        """
        refusal = _malformed(name, fault)
        if refusal is None:
            refusal = await self._give(name.decode(), evacuates, source)
        events.log(
            events.EVACUATION_DECIDED,
            data_centre=name[:MAX_DATA_CENTRE_BYTES].decode(errors="replace"),
            evacuates=evacuates,
            source=source,
            accepted=refusal is None,
            version=self.registry.evacuations.version,
            reason=str(refusal.reason) if refusal is not None else "",
            verdict=str(refusal.verdict) if refusal is not None else "",
            detail=refusal.detail if refusal is not None else "",
        )
        return refusal

    async def _give(
        self, data_centre: str, evacuates: bool, source: str
    ) -> Refusal | None:
        """Give the order until the confirmed state is the one that it asks for.

        An order has no effect if another one about the data centre came before it in
        the log, see ``EvacuationOrder``.
        """
        ends_ms = self.clock.now_ms() + ORDER_TIMEOUT_MS
        verdict = Verdict.NOT_RUN
        try:
            while True:
                await self.confirm(self._left_ms(ends_ms))
                state = self.registry.evacuations
                is_evacuated = data_centre in state.data_centres
                refusal = None
                if not is_evacuated and verdict is Verdict.NOT_RUN:
                    refusal = self._unknown_refusal(data_centre)
                if refusal is not None or is_evacuated == evacuates:
                    return refusal
                if evacuates and len(state.data_centres) >= MAX_EVACUATIONS:
                    detail = f"{MAX_EVACUATIONS} data centres are evacuated already"
                    return Refusal(
                        RefusalReason.TOO_MANY_EVACUATIONS, Verdict.NOT_RUN, detail
                    )
                order = EvacuationOrder(data_centre, evacuates, state.version)
                verdict = Verdict.MAY_HAVE_RUN
                await self.ask_leader(order.command(source), self._left_ms(ends_ms))
        except ConsensusUnavailable as error:
            return Refusal(
                RefusalReason.CONSENSUS_UNAVAILABLE, verdict, str(error), RETRY_AFTER_MS
            )

    def _left_ms(self, ends_ms: int) -> int:
        return max(ends_ms - self.clock.now_ms(), 1)

    def _unknown_refusal(self, data_centre: str) -> Refusal | None:
        """Return the refusal of a name that nothing in the fleet has, else None.

        A member that has just started does not know yet.
        """
        if self.places.includes(data_centre):
            return None
        left_ms = self.places.left_ms
        detail = f"no part of the fleet is known in data centre {data_centre!r}"
        if left_ms:
            detail += f"; this member may learn of one within {left_ms} ms"
            return Refusal(
                RefusalReason.FLEET_UNKNOWN, Verdict.NOT_RUN, detail, RETRY_AFTER_MS
            )
        return Refusal(RefusalReason.UNKNOWN_DATA_CENTRE, Verdict.NOT_RUN, detail)


def _malformed(name: bytes, fault: str) -> Refusal | None:
    """Return the refusal of a malformed order, else None."""
    if not name:
        fault = "an order names a data centre"
    elif len(name) > MAX_DATA_CENTRE_BYTES:
        limit = f"at most {MAX_DATA_CENTRE_BYTES} bytes"
        fault = f"the name of a data centre has {limit}, not {len(name)}"
    elif b"/" in name:
        fault = "the name of a data centre has no slash"
    elif not fault:
        try:
            name.decode()
        except UnicodeDecodeError as error:
            fault = f"the name of the data centre is not UTF-8: {error}"
    if not fault:
        return None
    return Refusal(RefusalReason.MALFORMED, Verdict.NOT_RUN, fault)
