"""Order in which a control member ends the requests of operators in a planned stop."""

from abc import abstractmethod

import attrs

from wagtailrun.adapters.http_server import HttpServer
from wagtailrun.stopping.planned_stop import PlannedStop, StoppableDaemon

__all__ = ["MemberStop", "OperatorTimes", "StoppableMember"]


@attrs.frozen
class OperatorTimes:
    """How long a member that stops answers operators.

    Attributes:
        limit_ms: Time for requests and their answers, in milliseconds.
        answer_ms: How much of it is kept for the answers to complete requests.
    """

    limit_ms: int
    answer_ms: int


class StoppableMember(StoppableDaemon):
    """What differs between control members in a planned stop, in the order used."""

    @abstractmethod
    def operator_times(self) -> OperatorTimes:
        """Return how long operators are answered."""

    @abstractmethod
    def begin_stop(self) -> None:
        """Refuse to become the leader again."""


class MemberStop(PlannedStop):
    """Ends a control member.

    Operators have no load balancer: they turn to another member if this one accepts no
    connection, so that no notice is kept.

    Args:
        member: The member that ends.
        server: Its server for operators.
    """

    def __init__(self, member: StoppableMember, server: HttpServer):
        super().__init__(member)
        self.member = member
        self.server = server

    async def end_callers(self) -> None:
        """Answer the requests that have been accepted, and close the server."""
        times = self.member.operator_times()
        self.member.begin_stop()
        await self.server.close(times.limit_ms, times.answer_ms)
