"""Data classes of routes, routed services and workspace keys.

Attributes are keys of the fleet text, so their names are fixed.
"""

import enum

import attrs

__all__ = [
    "EngineCapacity",
    "RequestLimits",
    "Route",
    "RouteKind",
    "RoutedService",
    "StageCapacity",
    "StageStep",
    "WeightedService",
    "WorkspaceKeys",
]


# Callers abandon a stream without a first event after the longest of these: a minimum,
# a multiple of the latency objective, and a multiple of the largest good gap between
# events (the users' protocol page, on requests).
MIN_FIRST_EVENT_TIMEOUT_MS = 2_000
FIRST_EVENT_TIMEOUT_OBJECTIVES = 4
FIRST_EVENT_TIMEOUT_GAPS = 8


class RouteKind(enum.StrEnum):
    """Whether requests may run more than once, and how answers arrive."""

    IDEMPOTENT = "idempotent"
    # Runs at most once.
    ORDER = "order"
    # Answered by a stream of events; may run again if the route is resumable.
    STREAM = "stream"


@attrs.frozen
class WeightedService:
    """A service of a route.

    Attributes:
        service: Name of the service.
        weight: Share of the route's requests, relative to the other weights.
    """

    service: str
    weight: float = 1


@attrs.frozen
class StageStep:
    """A stage that must complete before a request of the route can run.

    Attributes:
        service: Stage service that runs it.
        after: Indices of the earlier steps whose results are its inputs.
        result_bytes: Approximate size of one result.
    """

    service: str
    after: tuple[int, ...] = ()
    result_bytes: int = 0


@attrs.frozen
class Route:
    """How requests for one host and path prefix are relayed.

    Attributes:
        name: Name of the route.
        host: Value of the Host header, without port.
        prefix: Path prefix; begins and ends with a slash.
        kind: Whether requests may run more than once, and how answers arrive.
        services: Services that may run its requests.
        timeout_ms: Longest time from a request's arrival to its end.
        aim_ms: Latency objective: time to the answer, or to the first event of a
            stream, that callers count as good; 0 for the request's whole timeout.
        gap_ms: Largest gap between events that callers count as good; 0 if unknown.
        urgency: Rank of its requests; 0 goes first.
        max_attempts: Largest number of attempts at targets that may run one request.
        steps: Stages before the request itself.
        keyless: Whether requests need no API key.
        prompt_affinity: Whether requests state the parts of their prompt, so that
            engines are chosen by their prefix caches.
        resumable: Whether a broken stream may be resumed at another target.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout_ms: int
    aim_ms: int = 0
    gap_ms: int = 0
    urgency: int = 5
    max_attempts: int = 1
    steps: tuple[StageStep, ...] = ()
    keyless: bool = False
    prompt_affinity: bool = False
    resumable: bool = False

    @property
    def first_event_timeout_ms(self) -> int:
        """Time after which callers abandon a stream without a first event."""
        if self.kind is not RouteKind.STREAM:
            return self.timeout_ms
        limit_ms = max(
            MIN_FIRST_EVENT_TIMEOUT_MS,
            FIRST_EVENT_TIMEOUT_OBJECTIVES * self.aim_ms,
            FIRST_EVENT_TIMEOUT_GAPS * self.gap_ms,
        )
        return min(limit_ms, self.timeout_ms)

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


@attrs.frozen
class StageCapacity:
    """Capacity of one target of a stage service.

    Attributes:
        slots: Calls that run at once.
        queue: Calls that may queue.
        batch: Largest number of pieces in a call.
        call_ms: Fixed time of a call.
        item_ms: Approximate additional time for each piece.
        memory_bytes: Memory for results.
        result_ms: How long a result is kept after its call.
    """

    slots: int = 1
    queue: int = 0
    batch: int = 1
    call_ms: float = 0.0
    item_ms: float = 0.0
    memory_bytes: int = 0
    result_ms: int = 0

    def duration_ms(self, pieces: int) -> float:
        """Return the expected duration of a call with this number of pieces."""
        return self.call_ms + self.item_ms * pieces


@attrs.frozen
class EngineCapacity:
    """Capacity of one model engine.

    Attributes:
        slots: Requests that run at once.
        memory_tokens: Tokens of the memory that running requests and the prefix cache
            share.
    """

    slots: int = 1
    memory_tokens: int = 0


@attrs.frozen
class RoutedService:
    """A service that routes and steps refer to.

    Attributes:
        name: Name of the service.
        max_connections: Connections that one target accepts from all entries.
        engine: Capacity of each target, if the targets are model engines.
        pool: Capacity of each target, if the targets run stages.
        cold_per_s: Requests a second that a cold target tolerates from all entries
            together; 0 if there is no bound.
    """

    name: str
    max_connections: int = 0
    engine: EngineCapacity | None = None
    pool: StageCapacity | None = None
    cold_per_s: float = 0.0


@attrs.frozen
class WorkspaceKeys:
    """API keys that identify the requests of a workspace.

    Attributes:
        name: Name of the workspace.
        keys: Its API keys.
        urgency: Rank of its requests; None for the rank of the route.
    """

    name: str
    keys: tuple[str, ...] = ()
    urgency: int | None = None


@attrs.frozen
class RequestLimits:
    """Limits on callers' requests and connections.

    Attributes:
        header_bytes: Largest request head.
        body_bytes: Largest request body.
        header_ms: Longest time for a request head to arrive.
        idle_ms: Longest time that a connection may be idle.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4 * 1024 * 1024
    header_ms: int = 3_000
    idle_ms: int = 15_000
