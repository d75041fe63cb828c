"""Fleet configuration: services, pipelines, workspaces and prices.

It is written in TOML, as the fleet text.
"""

import enum
import itertools
import tomllib
from typing import Any

import attrs

from wagtailrun.exceptions import FleetTextError
from wagtailrun.fleet.tables import Table, transfer_faults
from wagtailrun.routes import RouteTable, route_table_from_document

__all__ = [
    "Call",
    "FleetConfiguration",
    "Pipeline",
    "Price",
    "Service",
    "ServiceKind",
    "Stage",
    "StageKind",
    "Workspace",
    "fleet_from_document",
    "parse_fleet_text",
]

MAX_TEXT_BYTES = 4 * 1024 * 1024
MAX_FAULTS_REPORTED = 50
MAX_DEADLINE_MS = 600_000
MAX_STAGES = 16
DEFAULT_DEADLINE_MS = 8_000


class ServiceKind(enum.StrEnum):
    """What kind of targets a service has."""

    ENGINE = "engine"
    POOL = "pool"
    PLAIN = "plain"


class StageKind(enum.StrEnum):
    """What a stage does; also the last part of its HTTP path at a target."""

    ENCODE = "encode"
    RETRIEVE = "retrieve"
    RERANK = "rerank"
    GENERATE = "generate"


@attrs.frozen
class Price:
    """Prices of a service, in millionths of the fleet's currency unit."""

    token_in: int = 0
    token_out: int = 0
    token_cached: int = 0
    engine_ms: int = 0
    call: int = 0


@attrs.frozen
class Call:
    """One call of a plain service.

    Attributes:
        name: Name in the HTTP path.
        idempotent: Whether it is safe to repeat.
        may_wait: Whether it may be delayed in favour of other work.
        deadline_ms: Default and longest deadline, in milliseconds.
    """

    name: str
    idempotent: bool = False
    may_wait: bool = False
    deadline_ms: int = DEFAULT_DEADLINE_MS


@attrs.frozen
class Service:
    """One service and its dependencies.

    Attributes:
        name: Name of the service.
        kind: Kind of its targets.
        depends_on: Names of services that it needs.
        checks_fencing: Whether its targets refuse stale fencing numbers.
        fallback: Whether other data centres may serve it when the local one cannot.
        model: Model that its engines should hold, or empty.
        adapters: Adapters that its engines should hold.
        price: Prices of its work.
        calls_by_name: Calls of a plain service.
    """

    name: str
    kind: ServiceKind
    depends_on: tuple[str, ...] = ()
    checks_fencing: bool = False
    fallback: bool = True
    model: str = ""
    adapters: tuple[str, ...] = ()
    price: Price = Price()
    calls_by_name: dict[str, Call] = attrs.field(factory=dict)


@attrs.frozen
class Stage:
    """One step of a pipeline."""

    kind: StageKind
    service: str


@attrs.frozen
class Pipeline:
    """Stages that one request runs through under one deadline.

    Attributes:
        name: Name in the HTTP path.
        stages: Stages in order.
        may_wait: Whether it may be delayed in favour of other work.
        deadline_ms: Default and longest deadline, in milliseconds.
    """

    name: str
    stages: tuple[Stage, ...]
    may_wait: bool = False
    deadline_ms: int = DEFAULT_DEADLINE_MS


@attrs.frozen
class Workspace:
    """One customer.

    Attributes:
        name: Name that callers send.
        share: Weight of its share of the capacity.
        priority: Larger is more urgent, 0 to 9.
    """

    name: str
    share: int = 1
    priority: int = 0


@attrs.frozen
class FleetConfiguration:
    """A validated fleet configuration.

    Attributes:
        name: Name of the fleet.
        data_centres: Names of its data centres.
        weight_loads_per_minute: Model weight loads that the weight store allows each
            data centre per minute.
        services_by_name: Services.
        pipelines_by_name: Pipelines.
        workspaces_by_name: Workspaces.
        document: The parsed TOML document.
        relay: Routes of the relay, None without a ``relay`` table.
    """

    name: str
    data_centres: tuple[str, ...]
    weight_loads_per_minute: int
    services_by_name: dict[str, Service]
    pipelines_by_name: dict[str, Pipeline]
    workspaces_by_name: dict[str, Workspace]
    document: dict[str, Any] = attrs.field(repr=False, eq=False)
    relay: RouteTable | None = None


def parse_fleet_text(text: str) -> FleetConfiguration:
    """Parse and validate a fleet text.

    Args:
        text: TOML.

    Returns:
        The fleet configuration.

    Raises:
        FleetTextError: With key, value and remedy of each fault, or the line of a
            syntax error.
    """
    if len(text.encode("utf-8", "surrogatepass")) > MAX_TEXT_BYTES:
        detail = (
            f"the fleet text is larger than {MAX_TEXT_BYTES} bytes; split the fleet"
        )
        raise FleetTextError([detail])
    try:
        document = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError, ValueError) as error:
        raise FleetTextError([f"not valid TOML: {error}"]) from error
    faults = list(itertools.islice(transfer_faults(document), MAX_FAULTS_REPORTED))
    if faults:
        raise FleetTextError(faults)
    return fleet_from_document(document)


def fleet_from_document(document: dict[str, Any]) -> FleetConfiguration:
    """Validate a parsed fleet text; see ``parse_fleet_text``."""
    faults: list[str] = []
    root = Table(document, "", faults)
    head = root.table("fleet")
    fleet = FleetConfiguration(
        name=head.name("name"),
        data_centres=head.names("data_centres"),
        weight_loads_per_minute=head.integer("weight_loads_per_minute", 60, 1, 100_000),
        services_by_name=_services(root),
        pipelines_by_name=_pipelines(root),
        workspaces_by_name=_workspaces(root),
        document=document,
        relay=_relay(root, faults),
    )
    head.close()
    root.close()
    if not fleet.name:
        head.fault("name", "", "name the fleet")
    if not fleet.data_centres:
        head.fault("data_centres", [], "list at least one data centre")
    _check_references(fleet, faults)
    if faults:
        more = len(faults) - MAX_FAULTS_REPORTED
        reported = sorted(faults)[:MAX_FAULTS_REPORTED]
        raise FleetTextError(
            reported + ([f"and {more} more faults"] if more > 0 else [])
        )
    return fleet


def _relay(root: Table, faults: list[str]) -> RouteTable | None:
    table = root.table("relay")
    if not table.value:
        return None
    try:
        return route_table_from_document(table.value)
    except FleetTextError as error:
        faults.extend(error.faults)
        return None


def _services(root: Table) -> dict[str, Service]:
    services = {}
    for name, table in root.tables("services").items():
        services[name] = Service(
            name=name,
            kind=table.choice("kind", ServiceKind),
            depends_on=table.names("depends_on"),
            checks_fencing=table.boolean("checks_fencing", False),
            fallback=table.boolean("fallback", True),
            model=table.name("model"),
            adapters=table.names("adapters"),
            price=_price(table.table("price")),
            calls_by_name=_calls(table),
        )
        table.close()
    return services


def _price(table: Table) -> Price:
    names = [field.name for field in attrs.fields(Price)]
    price = Price(**{name: table.integer(name, 0, 0, 10**12) for name in names})
    table.close()
    return price


def _calls(service: Table) -> dict[str, Call]:
    calls = {}
    for name, table in service.tables("calls").items():
        calls[name] = Call(
            name=name,
            idempotent=table.boolean("idempotent", False),
            may_wait=table.boolean("may_wait", False),
            deadline_ms=_deadline(table),
        )
        table.close()
    return calls


def _deadline(table: Table) -> int:
    return table.integer("deadline_ms", DEFAULT_DEADLINE_MS, 1, MAX_DEADLINE_MS)


def _pipelines(root: Table) -> dict[str, Pipeline]:
    pipelines = {}
    for name, table in root.tables("pipelines").items():
        stages = []
        for stage in table.array("stages"):
            stages.append(Stage(stage.choice("kind", StageKind), stage.name("service")))
            stage.close()
        if not 1 <= len(stages) <= MAX_STAGES:
            table.fault("stages", len(stages), f"give 1 to {MAX_STAGES} stages")
        may_wait = table.boolean("may_wait", False)
        pipelines[name] = Pipeline(name, tuple(stages), may_wait, _deadline(table))
        table.close()
    return pipelines


def _workspaces(root: Table) -> dict[str, Workspace]:
    workspaces = {}
    for name, table in root.tables("workspaces").items():
        share = table.integer("share", 1, 1, 1_000_000)
        workspaces[name] = Workspace(name, share, table.integer("priority", 0, 0, 9))
        table.close()
    return workspaces


def _check_references(fleet: FleetConfiguration, faults: list[str]) -> None:
    services = fleet.services_by_name
    for service in services.values():
        for name in service.depends_on:
            if name not in services:
                faults.append(
                    f"services.{service.name}.depends_on: {name!r} is no service; "
                    "add the service or remove the name"
                )
        if service.calls_by_name and service.kind is not ServiceKind.PLAIN:
            faults.append(
                f"services.{service.name}.calls: only plain services have calls; "
                "set kind to plain or remove the calls"
            )
    for pipeline in fleet.pipelines_by_name.values():
        for number, stage in enumerate(pipeline.stages):
            _check_stage(fleet, pipeline, number, stage, faults)
    faults.extend(_dependency_cycles(services))


def _check_stage(
    fleet: FleetConfiguration,
    pipeline: Pipeline,
    number: int,
    stage: Stage,
    faults: list[str],
) -> None:
    where = f"pipelines.{pipeline.name}.stages[{number}]"
    service = fleet.services_by_name.get(stage.service)
    if service is None:
        faults.append(
            f"{where}.service: {stage.service!r} is no service; add the service"
        )
    elif service.kind is ServiceKind.PLAIN:
        faults.append(f"{where}.service: {stage.service!r} is plain; name an engine")
    if stage.kind is StageKind.GENERATE and number != len(pipeline.stages) - 1:
        faults.append(f"{where}.kind: 'generate' must come last; move it")


def _dependency_cycles(services: dict[str, Service]) -> list[str]:
    """Return a fault for each service that depends on itself, also through others."""
    faults = []
    for name in services:
        reached: set[str] = set()
        queue = list(services[name].depends_on)
        while queue:
            other = queue.pop()
            if other in services and other not in reached:
                reached.add(other)
                queue.extend(services[other].depends_on)
        if name in reached:
            faults.append(
                f"services.{name}.depends_on: the service depends on itself; "
                "break the cycle"
            )
    return faults
