"""Routes of the relay, from the fleet text of an experiment."""

import json
from collections.abc import Iterator, Mapping
from typing import Any

import attrs
import cattrs

from wagtailrun.discovery import ConfigurationFormat
from wagtailrun.experiments.relay.results import MAX_RESULTS, RESULT_MS
from wagtailrun.fleet.model import (
    FleetConfiguration,
    Pipeline,
    ServiceKind,
    StageKind,
    fleet_from_document,
)
from wagtailrun.routes import (
    EngineCapacity,
    RequestLimits,
    Route,
    RoutedService,
    RouteKind,
    RouteTable,
    StageCapacity,
    StageStep,
    WeightedService,
    WorkspaceKeys,
    build_route_table,
)

__all__ = [
    "HOST",
    "DerivedFormat",
    "ServiceCapacity",
    "call_path",
    "configuration_text",
    "key_of",
    "pipeline_path",
]

# Notional size of the result of a stage.
RESULT_BYTES = 1_000_000
# Host of all derived routes.
HOST = "fleet"
# Attempts at targets that may run a repeatable request: the first one and as many
# repeats as the product's entry makes by default.
MAX_ATTEMPTS = 4
HIGHEST_PRIORITY = 9
# Latency objectives of streams, which the product's fleet text does not state: first
# token and gap between tokens of section 1.5 of docs/design.md. Without one, an entry
# waits for a first event until the deadline.
FIRST_TOKEN_AIM_MS = 1_200
TOKEN_GAP_MS = 45


@attrs.frozen
class ServiceCapacity:
    """What a route table states of the targets of a service.

    Attributes:
        capacity: Requests, or calls of a stage, that run at once.
        call_ms: Mean duration of a call of a stage.
        cache_tokens: Tokens of the memory of an engine.
        cold_per_s: Requests a second that a cold target stands; 0 if none is cold.
    """

    capacity: int = 1
    call_ms: float = 0.0
    cache_tokens: int = 0
    cold_per_s: float = 0.0


def call_path(service: str, call: str) -> str:
    """Return the path of a call of a plain service."""
    return f"/services/{service}/{call}/"


def pipeline_path(pipeline: str) -> str:
    """Return the path of a pipeline."""
    return f"/pipelines/{pipeline}/"


def key_of(workspace: str) -> str:
    """Return the API key of a workspace."""
    return f"key-of-{workspace}"


def configuration_text(
    fleet: FleetConfiguration, capacities: Mapping[str, ServiceCapacity]
) -> str:
    """Return the text from which emulated entries derive their routes.

    Args:
        fleet: Fleet configuration.
        capacities: Capacity of the targets of each service.
    """
    rows = {name: attrs.asdict(each) for name, each in capacities.items()}
    return json.dumps({"fleet": fleet.document, "capacities": rows})


class DerivedFormat(ConfigurationFormat):
    """Routes from the ``relay`` table of a fleet text, or derived from the rest."""

    def routes(self, revision: int | None, text: str) -> RouteTable:
        """Return the routes of a text; see ``ConfigurationFormat``."""
        document: dict[str, Any] = json.loads(text)
        fleet = fleet_from_document(document["fleet"])
        if fleet.relay is not None:
            version = fleet.relay.version if revision is None else revision
            return attrs.evolve(fleet.relay, version=version)
        capacities = cattrs.structure(
            document["capacities"], dict[str, ServiceCapacity]
        )
        return build_route_table(
            revision or 0,
            [*_call_routes(fleet), *_pipeline_routes(fleet)],
            _services(fleet, capacities),
            [
                WorkspaceKeys(
                    workspace.name,
                    (key_of(workspace.name),),
                    HIGHEST_PRIORITY - workspace.priority,
                )
                for workspace in fleet.workspaces_by_name.values()
            ],
            RequestLimits(),
            demands_keys=True,
        )


def _call_routes(fleet: FleetConfiguration) -> Iterator[Route]:
    for service in fleet.services_by_name.values():
        for call in service.calls_by_name.values():
            repeats = call.idempotent
            yield Route(
                name=f"{service.name}/{call.name}",
                host=HOST,
                prefix=call_path(service.name, call.name),
                kind=RouteKind.IDEMPOTENT if repeats else RouteKind.ORDER,
                services=(WeightedService(service.name),),
                timeout_ms=call.deadline_ms,
                max_attempts=MAX_ATTEMPTS if repeats else 1,
            )


def _pipeline_routes(fleet: FleetConfiguration) -> Iterator[Route]:
    for pipeline in fleet.pipelines_by_name.values():
        last = pipeline.stages[-1]
        generates = last.kind is StageKind.GENERATE
        yield Route(
            name=pipeline.name,
            host=HOST,
            prefix=pipeline_path(pipeline.name),
            kind=RouteKind.STREAM if generates else RouteKind.IDEMPOTENT,
            services=(WeightedService(last.service),),
            timeout_ms=pipeline.deadline_ms,
            aim_ms=min(FIRST_TOKEN_AIM_MS, pipeline.deadline_ms) if generates else 0,
            gap_ms=TOKEN_GAP_MS if generates else 0,
            max_attempts=MAX_ATTEMPTS,
            steps=_steps(pipeline),
            prompt_affinity=generates,
            resumable=generates,
        )


def _steps(pipeline: Pipeline) -> tuple[StageStep, ...]:
    """Return the stages before the last one, each after the one before it."""
    return tuple(
        StageStep(stage.service, (number - 1,) if number else (), RESULT_BYTES)
        for number, stage in enumerate(pipeline.stages[:-1])
    )


def _services(
    fleet: FleetConfiguration, capacities: Mapping[str, ServiceCapacity]
) -> Iterator[RoutedService]:
    for service in fleet.services_by_name.values():
        known = capacities.get(service.name, ServiceCapacity())
        engine = pool = None
        if service.kind is ServiceKind.ENGINE:
            engine = EngineCapacity(known.capacity, known.cache_tokens)
        elif service.kind is ServiceKind.POOL:
            pool = StageCapacity(
                slots=known.capacity,
                call_ms=known.call_ms,
                memory_bytes=MAX_RESULTS * RESULT_BYTES,
                result_ms=RESULT_MS,
            )
        yield RoutedService(
            service.name, engine=engine, pool=pool, cold_per_s=known.cold_per_s
        )
