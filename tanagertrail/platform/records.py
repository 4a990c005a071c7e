"""Decoding of the documents that the platform and its operators keep in the object store.

The ``*Document`` classes mirror the stored formats and their field names. The rest of the gateway
uses the types of ``tanagertrail.gateway.model``.
"""

__all__ = [
    "CONFIGURATION",
    "EVACUATIONS",
    "UPSTREAMS",
    "ConfigurationDocument",
    "RouteDocument",
    "TenantDocument",
    "build_targets",
    "decode_configuration",
    "decode_upstream",
    "parse_configuration",
]

from typing import Annotated, Any, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError

from tanagertrail.decoding import (
    MAX_COUNT,
    MAX_NAME_LENGTH,
    MAX_REVISION,
    MAX_SECONDS,
    MAX_UNIX_MILLISECONDS,
    is_address,
    is_name,
)
from tanagertrail.errors import InvalidInputError, Violation
from tanagertrail.gateway.model import (
    Customer,
    Engine,
    FleetLimits,
    Limits,
    Route,
    RouteKind,
    Service,
    ServingConfig,
    Upstream,
    WeightedService,
)
from tanagertrail.platform.store import StoredObject

# Kinds of objects in the store.
CONFIGURATION = "config"
UPSTREAMS = "servers"
EVACUATIONS = "evacuations"
MILLISECONDS = 1000
DEFAULT_TIMEOUT_MS = 60_000
MAX_SHOWN = 40  # characters of a value in an error


MAX_MILLISECONDS = MAX_SECONDS * MILLISECONDS


def check_address(text: str) -> str:
    """Check that a text is the address and port of one host.

    :raises ValueError: if it is not
    """
    if not is_address(text):
        raise ValueError("must be the IPv4 address and port of one host")
    return text


def check_name(text: str) -> str:
    """Check that a text can be a name.

    :raises ValueError: if it cannot
    """
    if not is_name(text):
        raise ValueError(f"must be a name of {MAX_NAME_LENGTH} printable characters at most")
    return text


Address = Annotated[str, AfterValidator(check_address)]
Name = Annotated[str, AfterValidator(check_name)]
Duration = Annotated[float, Field(ge=0, le=MAX_MILLISECONDS, allow_inf_nan=False)]


class Document(BaseModel):
    """Base of the platform's documents; unknown fields are ignored."""

    model_config = ConfigDict(extra="ignore", defer_build=True, allow_inf_nan=False)


class UpstreamDocument(Document):
    """Registration of an upstream.

    ``capacity`` is the number of requests that it runs at once. Stored registrations also have a
    field ``sequence``, which counts orders and is not used.
    """

    model_config = ConfigDict(strict=True)

    service: Name
    address: Address
    zone: str = Field(max_length=MAX_NAME_LENGTH)
    version: str = Field(max_length=MAX_NAME_LENGTH)
    capacity: int = Field(ge=1, le=MAX_COUNT)
    state: Literal["ready", "draining"]
    cold_left_ms: Duration = 0
    born: int = Field(default=0, ge=0, le=MAX_UNIX_MILLISECONDS)
    spot: bool = False
    leaves_ms: Duration | None = None


class BackendDocument(Document):
    """A target of a route, with its relative share of the requests."""

    service: str
    weight: float = Field(default=1, ge=0)


class RouteDocument(Document):
    """A route; it names one ``service`` or several ``backends``."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_ms: float = DEFAULT_TIMEOUT_MS
    slo_ms: float = 1000
    priority: int = 0
    service: str = ""
    backends: list[BackendDocument] = Field(default_factory=list)
    attempts: int = 1
    public: bool = False
    sticky: bool = False
    resumable: bool = False
    gap_aim_ms: float = 0


class EngineDocument(Document):
    """Capacity of each upstream of a model service."""

    capacity: int = 1
    kv_cap_tokens: int = 0


class ScalingDocument(Document):
    """Autoscaling limits of a service; ``min`` and ``max`` apply to each zone."""

    min: int = 0
    max: int = 0
    boot_s: float = 0
    spot_price: float | None = None
    zone_prices: dict[str, float] = Field(default_factory=dict)


class ServiceDocument(Document):
    """A service that upstreams run."""

    name: str
    health_path: str = "/health"
    max_conns: int = 100
    cold_start_s: float = 0
    cold_per_s: float = 0
    engine: EngineDocument | None = None
    scaling: ScalingDocument | None = None


class LimitsDocument(Document):
    """Limits on callers' requests."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


class TenantDocument(Document):
    """A customer; ``unit`` states whether its quota counts ``requests`` or ``tokens``."""

    name: str
    api_keys: list[str] = Field(default_factory=list)
    priority: int | None = None
    unit: str = "requests"
    plain_tokens: int = 1
    rate_per_s: float = 0
    burst: float = 0


class ConfigurationDocument(Document):
    """The operator's configuration."""

    version: int = Field(ge=0, le=MAX_REVISION)
    routes: list[RouteDocument]
    services: list[ServiceDocument]
    limits: LimitsDocument = Field(default_factory=LimitsDocument)
    tenants: list[TenantDocument] = Field(default_factory=list)


def convert_validation_error(error: ValidationError) -> InvalidInputError:
    """Convert a validation error to one that names each wrong field and the rule it breaks."""
    return InvalidInputError(
        [
            Violation(".".join(str(part) for part in detail["loc"]), detail["msg"], detail["type"])
            for detail in error.errors(include_url=False, include_input=False)
        ]
    )


def parse_configuration(content: Any) -> ConfigurationDocument:
    """Parse the operator's configuration.

    :raises InvalidInputError: naming each wrong field and the rule it breaks
    """
    try:
        return ConfigurationDocument.model_validate(content)
    except ValidationError as error:
        raise convert_validation_error(error) from error


def decode_configuration(content: Any) -> ServingConfig:
    """Decode the operator's configuration.

    :raises InvalidInputError: naming each wrong field and the rule it breaks
    """
    document = parse_configuration(content)
    customers = {item.name: build_customer(item) for item in document.tenants}
    return ServingConfig(
        document.version,
        group_routes(document.routes),
        {item.name: build_service(item) for item in document.services},
        build_limits(document.limits),
        customers,
        {key: customer for customer in customers.values() for key in customer.keys},
    )


def group_routes(documents: list[RouteDocument]) -> dict[str, tuple[Route, ...]]:
    """Group routes by host, longest prefix first."""
    routes: dict[str, list[Route]] = {}
    for document in documents:
        routes.setdefault(document.host.lower(), []).append(build_route(document))
    return {
        host: tuple(sorted(group, key=lambda route: -len(route.prefix)))
        for host, group in routes.items()
    }


def build_targets(document: RouteDocument) -> tuple[WeightedService, ...]:
    """Return the services that a route forwards to; ``service`` counts without ``backends``."""
    targets = tuple(WeightedService(item.service, item.weight) for item in document.backends)
    return targets or (WeightedService(document.service, 1.0),)


def build_route(document: RouteDocument) -> Route:
    """Build a route."""
    return Route(
        document.name,
        document.host.lower(),
        document.prefix,
        document.kind,
        document.timeout_ms / MILLISECONDS,
        document.slo_ms / MILLISECONDS,
        document.priority,
        build_targets(document),
        max(document.attempts, 1),
        document.public,
        document.sticky,
        document.resumable,
        document.gap_aim_ms / MILLISECONDS,
    )


def build_service(document: ServiceDocument) -> Service:
    """Build a service."""
    engine = fleet = None
    if document.engine is not None:
        engine = Engine(document.engine.capacity, document.engine.kv_cap_tokens)
    scaling = document.scaling
    if scaling is not None:
        fleet = FleetLimits(
            scaling.min, scaling.max, scaling.boot_s, scaling.spot_price, scaling.zone_prices
        )
    return Service(
        document.name,
        document.health_path,
        document.max_conns,
        document.cold_start_s,
        document.cold_per_s,
        engine,
        fleet,
    )


def build_limits(document: LimitsDocument) -> Limits:
    """Build the limits on callers' requests."""
    return Limits(
        document.max_header_bytes,
        document.max_body_bytes,
        document.header_timeout_ms / MILLISECONDS,
        document.idle_timeout_ms / MILLISECONDS,
    )


def build_customer(document: TenantDocument) -> Customer:
    """Build a customer."""
    return Customer(
        document.name,
        tuple(document.api_keys),
        document.priority,
        document.rate_per_s,
        document.burst,
        document.unit == "tokens",
        document.plain_tokens,
    )


def decode_upstream(item: StoredObject) -> Upstream:
    """Decode the registration of an upstream.

    :raises InvalidInputError: if it is malformed, as other writers may store anything there
    """
    if not is_name(item.name):
        raise InvalidInputError([Violation("name", "must be a name", item.name[:MAX_SHOWN])])
    try:
        document = UpstreamDocument.model_validate(item.content)
    except ValidationError as error:
        raise convert_validation_error(error) from error
    terminates_in = None if document.leaves_ms is None else document.leaves_ms / MILLISECONDS
    return Upstream(
        item.name,
        document.service,
        document.address,
        document.zone,
        document.version,
        document.capacity,
        document.state == "draining",
        document.cold_left_ms / MILLISECONDS,
        document.born / MILLISECONDS,
        document.spot,
        terminates_in,
    )
