"""Data classes of routes, routed services and workspace keys."""

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


# Callers abandon a stream after a silence of the longest of these: so long, so many
# aims, so many of the longest good pauses (the users' protocol page, on requests).
MIN_PATIENCE_MS = 2_000
PATIENCE_AIMS = 4
PATIENCE_GAPS = 8


class RouteKind(enum.StrEnum):
    """What may be repeated, and how an answer arrives."""

    IDEMPOTENT = "idempotent"
    ORDER = "order"
    STREAM = "stream"


@attrs.frozen
class WeightedService:
    """A service that a route may use, and its part of the route's requests."""

    service: str
    weight: int = 1


@attrs.frozen
class StageStep:
    """Work that must be done before a request of the route can run.

    Attributes:
        service: Stage service that does it.
        after: Numbers of the steps whose results it needs.
        result_bytes: Approximate size of one result.
    """

    service: str
    after: tuple[int, ...] = ()
    result_bytes: int = 0


@attrs.frozen
class Route:
    """Where requests of one host and path prefix go.

    Attributes:
        name: Name of the route.
        host: Value of the Host header, without port.
        prefix: Path prefix; begins and ends with a slash.
        kind: What may be repeated.
        services: Services that may run its requests.
        timeout_ms: Longest time that a request is kept waiting.
        aim_ms: Time to the answer, or to the first event of a stream, that callers
            count as good.
        gap_ms: Longest pause between events that callers count as good; 0 if unknown.
        urgency: Rank of its requests; 0 goes first.
        max_attempts: Most targets to which one request may be given.
        steps: Stages before the request itself.
        keyless: Whether requests need no key.
        prompt_affinity: Whether requests name the parts of their prompt.
        resumable: Whether a broken stream may go on at another target.
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
    def patience_ms(self) -> int:
        """How long callers wait for the first event of a stream."""
        if self.kind is not RouteKind.STREAM:
            return self.timeout_ms
        patience_ms = max(
            MIN_PATIENCE_MS, PATIENCE_AIMS * self.aim_ms, PATIENCE_GAPS * self.gap_ms
        )
        return min(patience_ms, self.timeout_ms)

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


@attrs.frozen
class StageCapacity:
    """What one target of a stage service can do.

    Attributes:
        slots: Calls in progress at the same time.
        queue: Calls that may wait.
        batch: Most pieces in a call.
        call_ms: Time of a call without its pieces.
        item_ms: Approximate time of a piece.
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
        """Return the expected time of a call with so many pieces."""
        return self.call_ms + self.item_ms * pieces


@attrs.frozen
class EngineCapacity:
    """What one model engine can do.

    Attributes:
        slots: Requests that run at once.
        memory_tokens: Tokens that running requests and cached parts share.
    """

    slots: int = 1
    memory_tokens: int = 0


@attrs.frozen
class RoutedService:
    """A service that routes and stages name.

    Attributes:
        name: Name of the service.
        max_connections: Connections that one target accepts from all entries.
        engine: Capacity of its targets, if they are model engines.
        pool: Capacity of its targets, if they run stages.
    """

    name: str
    max_connections: int = 0
    engine: EngineCapacity | None = None
    pool: StageCapacity | None = None


@attrs.frozen
class WorkspaceKeys:
    """Keys by which requests of a workspace are known.

    Attributes:
        name: Name of the workspace.
        keys: Its keys.
        urgency: Rank of its requests, in place of the route's; None leaves that.
    """

    name: str
    keys: tuple[str, ...] = ()
    urgency: int | None = None


@attrs.frozen
class RequestLimits:
    """What a caller may send and how long it may take.

    Attributes:
        header_bytes: Largest request head.
        body_bytes: Largest request body.
        header_ms: Longest time for a request head to arrive.
        idle_ms: How long a connection may stay idle.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4 * 1024 * 1024
    header_ms: int = 3_000
    idle_ms: int = 15_000
