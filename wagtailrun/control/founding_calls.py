"""Calls of operators that order a control member to found a cluster."""

import json
from collections.abc import Awaitable, Callable
from typing import Any

from wagtailrun.adapters.http_server import Request, Response, json_response
from wagtailrun.consensus.host import MemberHost
from wagtailrun.consensus.operator_founding import FoundingOutcome
from wagtailrun.exceptions import ConsensusUnavailable
from wagtailrun.logs import events
from wagtailrun.registry.messages import MembersRecorded, RecordMembers
from wagtailrun.registry.state import Registry
from wagtailrun.settings.parsing import parse_name

__all__ = ["FOUNDING_PATH", "FoundingCalls"]

FOUNDING_PATH = "/v1/founding"
# The first election takes up to 4 s.
AUDIT_TIMEOUT_MS = 5_000

# Passes a command on to the leader, within a time in milliseconds.
AskLeader = Callable[[RecordMembers, int], Awaitable[Any]]


class FoundingCalls:
    """Orders the member of this process to found a cluster, and audits the orders.

    Args:
        host: Host of the member.
        registry: Local replica of the replicated state.
        ask_leader: Returns the leader's reply to a command; raises
            ``ConsensusUnavailable``.
        name: Name of this control member.
    """

    def __init__(
        self, host: MemberHost, registry: Registry, ask_leader: AskLeader, name: str
    ):
        self.host = host
        self.registry = registry
        self.ask_leader = ask_leader
        self.name = name

    async def handle(self, request: Request) -> Response:
        """Answer one call; 409 if this member founds no cluster."""
        if request.method != "POST":
            return json_response(405, {"detail": "use POST to order a founding"})
        try:
            operator = _parse_order(request.body)
        except (ValueError, RecursionError) as error:
            return json_response(400, {"detail": f"the body is no order: {error}"})
        outcome = await self.host.found_cluster()
        accepted = bool(outcome.cluster)
        audited = accepted and await self._audit(outcome, operator, request.peer)
        events.log(
            events.FOUNDING_ORDERED,
            member=self.name,
            operator=operator,
            source=request.peer,
            accepted=accepted,
            cluster=outcome.cluster,
            audited=audited,
            detail=outcome.detail,
        )
        value = {
            "member": self.name,
            "cluster": outcome.cluster,
            "audited": audited,
            "detail": outcome.detail,
        }
        return json_response(200 if accepted else 409, value)

    async def _audit(
        self, outcome: FoundingOutcome, operator: str, source: str
    ) -> bool:
        """Return whether the audit trail has the founding; a repeat adds nothing."""
        change = f"cluster {outcome.cluster} founded by order; {outcome.detail}"
        if any(record.subject == change for record in self.registry.audit_records):
            return True
        message = RecordMembers(operator, source, change, 0)
        try:
            reply = await self.ask_leader(message, AUDIT_TIMEOUT_MS)
        except ConsensusUnavailable:
            # Event 511 and the answer say that it is not audited.
            return False
        return isinstance(reply, MembersRecorded)


def _parse_order(body: bytes) -> str:
    """Return the operator.

    Raises:
        ValueError: If the body is no valid order.
    """
    value = json.loads(body)
    if not isinstance(value, dict) or value.keys() != {"operator"}:
        raise ValueError("it has not exactly the key operator")
    if not isinstance(value["operator"], str):
        raise ValueError("operator must be a string")
    return parse_name(value["operator"])
