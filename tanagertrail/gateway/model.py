"""Values that the gateway works on, free of any platform's names."""

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
    "RolloutOrder",
    "Service",
    "ServingConfig",
    "SharedBounds",
    "Upstream",
    "WeightedService",
]

import enum
from typing import NamedTuple

from tanagertrail.policy.canary import CanaryState


class RouteKind(enum.StrEnum):
    """What may be done again with a request of a route."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class WeightedService(NamedTuple):
    """A service that a route sends to, with its share of the requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """A route by host and path prefix.

    :ivar timeout: seconds for which a request may be kept waiting
    :ivar latency_objective: seconds within which an answer is on time
    :ivar priority: rank of its requests, 0 before all others
    :ivar attempts: upstreams to which one request may be sent
    :ivar public: whether requests need no key
    :ivar sticky: whether requests carry the parts of a prompt
    :ivar resumable: whether a stream may go on at another upstream
    :ivar event_gap_objective: longest pause in seconds between events that is on time
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
        """Say whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or (self.kind is RouteKind.STREAM and self.resumable)

    @property
    def streamed(self) -> bool:
        """Say whether the answer is a series of events."""
        return self.kind is RouteKind.STREAM


class Engine(NamedTuple):
    """What one model engine holds.

    :ivar batch: requests that run at once
    :ivar kv_cache_tokens: tokens that running requests and cached parts share
    """

    batch: int
    kv_cache_tokens: int


class FleetLimits(NamedTuple):
    """How many upstreams of a service may be ordered in each failure domain.

    :ivar boot_seconds: seconds until a new upstream serves
    :ivar reclaimable_price: price of a reclaimable upstream against an ordinary one
    :ivar prices: price of an upstream by failure domain
    """

    min_per_domain: int
    max_per_domain: int
    boot_seconds: float
    reclaimable_price: float | None
    prices: dict[str, float]


class Service(NamedTuple):
    """A service that upstreams run.

    :ivar max_connections: connections that one upstream accepts from all daemons
    :ivar cold_seconds: seconds for which an upstream is cold after its start
    :ivar cold_rate: requests per second that a cold upstream bears
    """

    name: str
    health_path: str
    max_connections: int
    cold_seconds: float
    cold_rate: float
    engine: Engine | None
    fleet: FleetLimits | None


class Limits(NamedTuple):
    """What a caller may send, in bytes, and how long it may take, in seconds."""

    header_bytes: int
    body_bytes: int
    header_timeout: float
    idle_timeout: float


class Customer(NamedTuple):
    """A customer with its keys and its quota.

    :ivar priority: rank that goes before the route's, None for the route's
    :ivar rate: quota in units per second, 0 for none
    :ivar burst: units beyond the rate
    :ivar counts_tokens: whether the unit is a token rather than a request
    :ivar plain_tokens: tokens that a request without a token count stands for
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

    :ivar routes: routes by host, those with the longest prefix first
    :ivar keys: customer by key
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    limits: Limits
    customers: dict[str, Customer]
    keys: dict[str, Customer]

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


class Upstream(NamedTuple):
    """A replica of a service as it registered itself.

    :ivar id: name of this incarnation
    :ivar slots: requests that it runs at once
    :ivar cold_for: seconds for which it stays cold, as of its last report
    :ivar born: Unix time in seconds of its start, 0 if unknown
    :ivar terminates_in: seconds until it is taken away, None if it stays
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


class RolloutOrder(NamedTuple):
    """An order to move a service to a version.

    :ivar version: version that the service is moved to
    :ivar seconds: seconds in which the move has to end
    :ivar state: state that was reported last, empty for none
    :ivar reported_version: version of which that state was reported
    :ivar revision: revision of the stored object
    :ivar order_id: revision at which the order was first stored
    """

    service: str
    version: str
    seconds: float
    state: str
    reported_version: str
    revision: int
    order_id: int

    @property
    def ended(self) -> bool:
        """Say whether an end of the move was reported."""
        ends = (CanaryState.COMPLETED, CanaryState.ROLLED_BACK)
        return self.reported_version == self.version and self.state in ends

    @property
    def completed(self) -> bool:
        """Say whether the service was moved to the version."""
        return self.ended and self.state == CanaryState.COMPLETED


class PromptPart(NamedTuple):
    """A part of a prompt that other requests may share."""

    id: str
    tokens: int


class PromptShape(NamedTuple):
    """What a caller says of a prompt.

    :ivar input_tokens: prompt tokens
    :ivar max_output_tokens: most tokens of the answer
    :ivar expected_output_tokens: tokens of the answer that the caller expects, None if unsaid
    """

    model: str
    input_tokens: int
    max_output_tokens: int
    expected_output_tokens: int | None
    parts: tuple[PromptPart, ...]


class SharedBounds(NamedTuple):
    """Bounds that hold over all daemons, times in seconds.

    :ivar stability: time after which a repaired part counts as calm
    :ivar config_apply: time after which a new configuration holds everywhere
    :ivar drain: time after which an upstream that leaves gets no work
    :ivar evacuate: time after which an emptied failure domain gets no work
    :ivar grace: time between SIGTERM and SIGKILL
    :ivar revoke: time after which a removed key must not work anywhere
    :ivar retry_ratio: repeats for each request of a service
    :ivar retry_window: window in which repeats are counted
    :ivar retry_extra: repeats of a window beyond the ratio
    :ivar quota_window: window in which a quota is checked
    :ivar quota_tolerance: share by which a window may pass the quota
    :ivar quota_slack: units by which a window may pass it besides
    :ivar lease: time for which a duty's holder is alone
    :ivar usage_window: length of a window of the usage report
    :ivar usage_due: time after its end by which a window is reported
    :ivar rollout_share: share of requests that an unproved version may get
    :ivar rollout_extra: requests of an unproved version beyond the share
    :ivar cold_factor: factor on a cold upstream's rate
    :ivar answer_lifetime: longest time for which a caller keeps an address answer
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
    answer_lifetime: float


class GatewaySettings(NamedTuple):
    """What one daemon is told at its start; addresses are ``host:port``.

    :ivar front: address for callers' requests
    :ivar ready: address for readiness questions
    :ivar directory: address for callers' address questions, empty if it answers none
    :ivar seeds: addresses of other machines, which may be stale
    :ivar internal: first and last port for traffic between daemons
    :ivar failure_domains: region of each failure domain
    :ivar duties: duties that the cloud API expects
    :ivar memory: memory limit in bytes
    :ivar cores: processor that it may use, in cores
    :ivar link: bandwidth of its link in Mbit/s
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
