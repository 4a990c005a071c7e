"""Data types of the gateway, independent of the platform's document formats."""

__all__ = [
    "Customer",
    "Engine",
    "FleetLimits",
    "GatewaySettings",
    "Limits",
    "PromptPart",
    "PromptShape",
    "RouteKind",
    "Route",
    "Service",
    "ServingConfig",
    "SharedBounds",
    "Upstream",
    "WeightedService",
]

import enum
from typing import NamedTuple


class RouteKind(enum.StrEnum):
    """Whether requests of a route may be retried.

    ``SAFE`` requests may run more than once, ``UNSAFE`` ones may not. The response to a ``STREAM``
    request is a series of events, which may be resumed if the route allows it.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class WeightedService(NamedTuple):
    """A target of a route, with its relative share of the requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """A route by host and path prefix.

    :ivar timeout: longest time in seconds for a request
    :ivar latency_objective: seconds within which a response is on time
    :ivar priority: priority of its requests, 0 first
    :ivar targets: services that it forwards to
    :ivar attempts: largest number of upstreams that may receive one request
    :ivar public: whether requests need no key
    :ivar sticky: whether the headers of requests describe the parts of a prompt
    :ivar resumable: whether an interrupted stream may continue at another upstream
    :ivar event_gap_objective: seconds within which the next event of a stream is on time
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout: float
    latency_objective: float
    priority: int
    targets: tuple[WeightedService, ...]
    attempts: int
    public: bool
    sticky: bool
    resumable: bool
    event_gap_objective: float

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or (self.kind is RouteKind.STREAM and self.resumable)

    @property
    def streamed(self) -> bool:
        """Whether the response is a series of events."""
        return self.kind is RouteKind.STREAM


class Engine(NamedTuple):
    """Capacity of a model engine.

    :ivar batch: requests that run at once
    :ivar kv_cache_tokens: size of the cache that running requests and cached prefixes share
    """

    batch: int
    kv_cache_tokens: int


class FleetLimits(NamedTuple):
    """Autoscaling limits of a service.

    :ivar min_per_domain: smallest number of upstreams in each failure domain
    :ivar max_per_domain: largest number of upstreams in each failure domain
    :ivar boot_seconds: seconds from the order of an upstream until it serves
    :ivar reclaimable_price: price of a reclaimable upstream relative to an on-demand one
    :ivar prices: price of an upstream by failure domain
    """

    min_per_domain: int
    max_per_domain: int
    boot_seconds: float
    reclaimable_price: float | None
    prices: dict[str, float]


class Service(NamedTuple):
    """A service that upstreams run.

    :ivar health_path: path of the health check
    :ivar max_connections: connections that one upstream accepts from all daemons together
    :ivar cold_seconds: seconds for which an upstream is cold after its start
    :ivar cold_rate: requests per second that a cold upstream can take, 0 for no limit
    """

    name: str
    health_path: str
    max_connections: int
    cold_seconds: float
    cold_rate: float
    engine: Engine | None
    fleet: FleetLimits | None


class Limits(NamedTuple):
    """Limits on callers' requests in bytes and seconds."""

    header_bytes: int
    body_bytes: int
    header_timeout: float
    idle_timeout: float


class Customer(NamedTuple):
    """A customer with its API keys and its quota.

    :ivar priority: overrides the priority of the route unless None
    :ivar rate: quota in units per second, 0 for no quota
    :ivar burst: units allowed beyond the rate
    :ivar counts_tokens: whether units are tokens rather than requests
    :ivar plain_tokens: tokens charged for a request that states no token counts
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None
    rate: float
    burst: float
    counts_tokens: bool
    plain_tokens: int


class ServingConfig(NamedTuple):
    """The operator's configuration.

    :ivar routes: routes by host, longest prefix first
    :ivar services: services by name
    :ivar customers: customers by name
    :ivar keys: customers by API key
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    limits: Limits
    customers: dict[str, Customer]
    keys: dict[str, Customer]

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, None if there is none."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


class Upstream(NamedTuple):
    """A replica of a service as it registered itself.

    :ivar slots: requests that it runs at once
    :ivar draining: whether it is about to stop and accepts no new requests
    :ivar cold_for: seconds for which it stays cold, as of its registration
    :ivar born: Unix time in seconds of its start, which identifies its incarnation; 0 if unknown
    :ivar reclaimable: whether its instance may be reclaimed by the cloud
    :ivar terminates_in: seconds until its instance is reclaimed, None if that is not planned
    """

    id: str
    service: str
    address: str
    failure_domain: str
    version: str
    slots: int
    draining: bool
    cold_for: float
    born: float
    reclaimable: bool
    terminates_in: float | None


class PromptPart(NamedTuple):
    """A part of a prompt that other requests may have in common."""

    id: str
    tokens: int


class PromptShape(NamedTuple):
    """What a caller's headers state about a prompt.

    :ivar input_tokens: tokens of the prompt
    :ivar max_output_tokens: largest number of tokens of the response
    :ivar expected_output_tokens: expected number of tokens of the response, None if not stated
    """

    model: str
    input_tokens: int
    max_output_tokens: int
    expected_output_tokens: int | None
    parts: tuple[PromptPart, ...]


class SharedBounds(NamedTuple):
    """Service-level bounds that apply to all daemons together, times in seconds.

    :ivar stability: time after a repair until the system has to be stable again
    :ivar config_apply: time until a new configuration is in force everywhere
    :ivar drain: time until a draining upstream gets no more requests
    :ivar evacuate: time until an evacuated failure domain gets no more requests
    :ivar grace: time between SIGTERM and SIGKILL
    :ivar revoke: time until a removed key is rejected everywhere
    :ivar retry_ratio: retries allowed per request of a service
    :ivar retry_window: length of the window in which retries are counted
    :ivar retry_extra: retries allowed in a window beyond the ratio
    :ivar quota_window: length of the window in which a quota is checked
    :ivar quota_tolerance: share by which a window may exceed the quota
    :ivar quota_slack: units by which a window may exceed it in addition
    :ivar lease: duration of the lease of a duty's only holder
    :ivar usage_window: length of a window of the usage report
    :ivar usage_due: time after the end of a window by which it is reported
    :ivar rollout_share: share of the requests that a version on trial may get
    :ivar rollout_extra: requests that a version on trial may get beyond the share
    :ivar cold_factor: multiple of a cold upstream's rate that its load must not exceed
    :ivar address_ttl: longest time for which a caller may cache the daemons' addresses
    """

    stability: float
    config_apply: float
    drain: float
    evacuate: float
    grace: float
    revoke: float
    retry_ratio: float
    retry_window: float
    retry_extra: float
    quota_window: float
    quota_tolerance: float
    quota_slack: float
    lease: float
    usage_window: float
    usage_due: float
    rollout_share: float
    rollout_extra: float
    cold_factor: float
    address_ttl: float


class GatewaySettings(NamedTuple):
    """Settings of one daemon; addresses are ``host:port``.

    :ivar front: address for callers' requests
    :ivar ready: address for readiness checks
    :ivar directory: address where callers look up the daemons' addresses, empty for none
    :ivar seeds: addresses of other machines, some of which may be stale
    :ivar internal: first and last port for traffic between daemons
    :ivar failure_domains: region of each failure domain
    :ivar store: address of the object store
    :ivar cloud: address of the cloud API, empty for none
    :ivar duties: duties that the cloud API expects the daemons to carry out
    :ivar heartbeat: seconds between heartbeats
    :ivar max_descriptors: largest number of open files
    :ivar memory: memory limit in bytes
    :ivar cores: CPU limit in cores
    :ivar link: network bandwidth in Mbit/s
    """

    name: str
    host: str
    failure_domain: str
    region: str
    front: str
    ready: str
    directory: str
    seeds: tuple[str, ...]
    internal: tuple[int, int]
    failure_domains: dict[str, str]
    store: str
    cloud: str
    duties: frozenset[str]
    heartbeat: float
    max_descriptors: int
    memory: int
    cores: float
    link: float
    bounds: SharedBounds
