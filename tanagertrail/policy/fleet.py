"""Planning of how many upstreams of each kind to order in each failure domain."""

__all__ = [
    "FLEET_PLANNERS",
    "FleetPlan",
    "FleetSnapshot",
    "estimate_capacity",
    "plan_reclaimable",
]

import math
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import NamedTuple

from tanagertrail.policy.placement import PREFILL_TOKENS_PER_SECOND, QUEUED_BATCH_SECONDS
from tanagertrail.registry import Registry

TARGET_LOAD = 0.35  # share of a batch in use at which first tokens meet their objective
TARGET_PREFILL_LOAD = 0.3  # share of an engine's time beyond which first tokens are late
TOLERATED_DOMAIN_LOSSES = 2  # failure domains that may lose their reclaimable upstreams in seconds
MIN_SERVICE_UPSTREAMS = 4
SURVIVING_SHARE = 0.5  # of the required upstreams, to remain if one more domain is exhausted
IDLE_FLEET_SHARE = 0.5  # of the allowed upstreams, kept while idle; operators start with this many

NONE_PRESENT: Mapping[str, int] = MappingProxyType({})


class FleetSnapshot(NamedTuple):
    """State of one service on which its plan depends.

    On-demand upstreams run on instances that the cloud does not reclaim. Upstreams that are about
    to be stopped or reclaimed are not counted.

    :ivar prices: price of an on-demand upstream by failure domain
    :ivar reclaimable: whether reclaimable upstreams can be ordered
    :ivar min_upstreams: minimum number of upstreams per failure domain
    :ivar max_upstreams: maximum number of upstreams per failure domain
    :ivar batch: requests that an upstream runs concurrently
    :ivar demand: recent peak of running and queued requests
    :ivar prompt_token_rate: prompt tokens per second in the last seconds
    :ivar warm: capacity of the warm reclaimable upstreams by failure domain, in whole upstreams
    :ivar on_demand: on-demand upstreams by failure domain
    :ivar present: reclaimable upstreams by failure domain, warm or cold
    :ivar closed_domains: failure domains that get no work
    :ivar exhausted_domains: failure domains that recently had no reclaimable instances to offer
    :ivar rolling_out: whether a rollout of another version is running
    """

    prices: Mapping[str, float]
    reclaimable: bool
    min_upstreams: int
    max_upstreams: int
    batch: int
    demand: float
    prompt_token_rate: float
    warm: Mapping[str, int]
    on_demand: Mapping[str, int]
    present: Mapping[str, int] = NONE_PRESENT
    closed_domains: frozenset[str] = frozenset()
    exhausted_domains: frozenset[str] = frozenset()
    rolling_out: bool = False


class FleetPlan(NamedTuple):
    """Desired number of upstreams by failure domain."""

    on_demand: dict[str, int]
    reclaimable: dict[str, int]


def estimate_capacity(rate: float | None, batch: int) -> float:
    """Return what an upstream serves, as a share of what one without a rate limit serves.

    Upstreams that accept a few requests a second must be replaced rather than counted, because the
    load that they refuse falls on the others.

    :param rate: requests per second that it accepts, None for no limit
    :param batch: requests that it runs concurrently
    """
    if rate is None:
        return 1.0
    return min(rate * QUEUED_BATCH_SECONDS / (TARGET_LOAD * batch), 1.0)


FleetPlanner = Callable[[FleetSnapshot], FleetPlan]
FLEET_PLANNERS: Registry[FleetPlanner] = Registry("fleet plan")


@FLEET_PLANNERS.register("reclaimable")
def plan_reclaimable(snapshot: FleetSnapshot) -> FleetPlan:
    """Spread reclaimable upstreams evenly, and use on-demand ones while some are missing.

    The plan is made for several reclaims under rising load: the other domains can absorb the loss
    of one, and at the first reclaim notice on-demand upstreams are started for the next loss. An
    idle fleet of reclaimable upstreams is kept so that a rise in load does not meet cold ones. If
    a domain is exhausted, reclaimable upstreams are ordered in the others. No upstream is removed
    during a rollout, because the cloud chooses which ones to stop and could stop those on trial.
    """
    domains = sorted(snapshot.prices, key=lambda name: (snapshot.prices[name], name))
    if not domains:
        return FleetPlan({}, {})
    upstreams_for_load = max(
        math.ceil(snapshot.demand / (TARGET_LOAD * snapshot.batch)), MIN_SERVICE_UPSTREAMS
    )
    min_upstreams = dict.fromkeys(domains, snapshot.min_upstreams)
    if not snapshot.reclaimable:
        return FleetPlan(
            raise_to_total(min_upstreams, domains, upstreams_for_load, snapshot.max_upstreams),
            dict.fromkeys(domains, 0),
        )
    spare = math.ceil(
        upstreams_for_load
        * TOLERATED_DOMAIN_LOSSES
        / max(len(domains) - TOLERATED_DOMAIN_LOSSES, 1)
    )
    usable = [name for name in domains if name not in snapshot.closed_domains]
    warm = sum(snapshot.warm.get(name, 0) for name in usable)
    headroom = {name: snapshot.max_upstreams - snapshot.warm.get(name, 0) for name in domains}
    required = max(upstreams_for_load, count_prefill_upstreams(snapshot.prompt_token_rate))
    shortfall = max(required - warm, count_insurance_upstreams(snapshot, usable, required))
    on_demand = distribute_evenly(dict.fromkeys(domains, 0), usable, shortfall, headroom)
    # Both kinds together stay within the limit, including on-demand upstreams yet to be stopped.
    on_demand_total = {
        name: max(on_demand[name], snapshot.on_demand.get(name, 0)) for name in domains
    }
    reclaimable_limits = {
        name: max(snapshot.max_upstreams - on_demand_total[name], 0) for name in domains
    }
    minimum = {name: min(snapshot.min_upstreams, reclaimable_limits[name]) for name in domains}
    idle_count = math.ceil(IDLE_FLEET_SHARE * snapshot.max_upstreams * len(domains))
    extra = max(upstreams_for_load + spare, idle_count) - sum(minimum.values())
    even_counts = distribute_evenly(minimum, domains, extra, reclaimable_limits)
    reclaimable = shift_from_exhausted(even_counts, snapshot, reclaimable_limits)
    if snapshot.rolling_out:
        on_demand = raise_to_present(on_demand, snapshot.on_demand)
        reclaimable = raise_to_present(reclaimable, snapshot.present)
    return FleetPlan(on_demand, reclaimable)


def count_insurance_upstreams(snapshot: FleetSnapshot, usable: list[str], required: int) -> int:
    """Return how many on-demand upstreams are needed so that one more reclaim leaves enough.

    Failure domains may be reclaimed one after the other within the time of a boot, with no
    replacement available. Upstreams ordered at the last reclaim notice would then start too late.
    """
    if not snapshot.exhausted_domains:
        return 0
    warm = [snapshot.warm.get(name, 0) for name in usable]
    return math.ceil(SURVIVING_SHARE * required) - (sum(warm) - max(warm, default=0))


def raise_to_present(counts: Mapping[str, int], present: Mapping[str, int]) -> dict[str, int]:
    """Return the counts, each raised to the number of upstreams present."""
    return {name: max(count, present.get(name, 0)) for name, count in counts.items()}


def count_prefill_upstreams(prompt_token_rate: float) -> int:
    """Return how many upstreams are needed to process prompts in time.

    After a reclaim under load the number of running requests rises only once the remaining
    upstreams are late, while the rate of prompt tokens is known earlier.
    """
    return math.ceil(prompt_token_rate / (TARGET_PREFILL_LOAD * PREFILL_TOKENS_PER_SECOND))


def shift_from_exhausted(
    even_counts: Mapping[str, int], snapshot: FleetSnapshot, bound: Mapping[str, int]
) -> dict[str, int]:
    """Return counts in which other domains compensate for the exhausted ones.

    The even share of an exhausted domain is still ordered, to notice when it has instances again.
    """
    available_domains = [
        name
        for name in even_counts
        if name not in snapshot.exhausted_domains and name not in snapshot.closed_domains
    ]
    shortfall = sum(
        even_counts[name] - snapshot.present.get(name, 0)
        for name in snapshot.exhausted_domains
        if name in even_counts
    )
    return distribute_evenly(even_counts, available_domains, shortfall, bound)


def raise_to_total(
    counts: Mapping[str, int], domains: list[str], total: int, max_upstreams: int
) -> dict[str, int]:
    """Return counts raised evenly to a total, cheapest domains first, up to a limit for each."""
    return distribute_evenly(
        counts, domains, total - sum(counts.values()), dict.fromkeys(domains, max_upstreams)
    )


def distribute_evenly(
    counts: Mapping[str, int], domains: list[str], extra: int, limits: Mapping[str, int]
) -> dict[str, int]:
    """Return counts raised evenly by a number in total, up to the limit of each domain."""
    result = dict(counts)
    for _ in range(max(extra, 0)):
        unfilled_domains = [name for name in domains if result[name] < limits[name]]
        if not unfilled_domains:
            break
        result[min(unfilled_domains, key=lambda name: result[name])] += 1
    return result
