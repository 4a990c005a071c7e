"""How many upstreams of which kind are ordered in each failure domain."""

__all__ = ["FLEET_PLANNERS", "FleetPlan", "FleetSnapshot", "plan_reclaimable"]

import math
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import NamedTuple

from tanagertrail.policy.placement import PREFILL_TOKENS_PER_SECOND
from tanagertrail.registry import Registry

TARGET_LOAD = 0.35  # of a batch, so that first tokens come within their objective
TARGET_PREFILL_LOAD = (
    0.3  # of an engine's time for reading prompts, beyond which first tokens are late
)
TOLERATED_DOMAIN_LOSSES = 2  # failure domains whose reclaimable upstreams may go within seconds
MIN_SERVICE_UPSTREAMS = 4
SURVIVING_SHARE = 0.5  # of what is needed, left when one more domain goes and has nothing either
IDLE_FLEET_SHARE = 0.5  # of what may be ordered, kept while idle: what the operators start with

NONE_PRESENT: Mapping[str, int] = MappingProxyType({})


class FleetSnapshot(NamedTuple):
    """What the plan for one service depends on.

    :ivar prices: price of an ordinary upstream by failure domain
    :ivar reclaimable: whether reclaimable upstreams can be ordered
    :ivar min_upstreams: upstreams that each failure domain must have
    :ivar max_upstreams: upstreams that each failure domain may have
    :ivar batch: requests that an upstream runs at once
    :ivar demand: requests that run or wait, a high value of the recent past
    :ivar prompt_token_rate: tokens of prompts per second over the last seconds
    :ivar warm: reclaimable upstreams that stay and are warm, by failure domain
    :ivar on_demand: ordinary upstreams that stay, by failure domain
    :ivar present: reclaimable upstreams that stay, warm or cold, by failure domain
    :ivar closed_domains: failure domains that get no work
    :ivar exhausted_domains: failure domains in which no reclaimable upstreams were to be had lately
    :ivar rolling_out: whether the service is being moved to another version
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
    """Upstreams to be ordered, by failure domain."""

    on_demand: dict[str, int]
    reclaimable: dict[str, int]


FleetPlanner = Callable[[FleetSnapshot], FleetPlan]
FLEET_PLANNERS: Registry[FleetPlanner] = Registry("fleet plan")


@FLEET_PLANNERS.register("reclaimable")
def plan_reclaimable(snapshot: FleetSnapshot) -> FleetPlan:
    """Spread reclaimable upstreams evenly and fill in with ordinary ones while some are missing.

    Answers waves of reclaims under a rising load: the loss of one domain's upstreams is borne by
    the others, and for the next one ordinary upstreams are started at the first notice. A standing
    fleet of reclaimable upstreams keeps a rising wave from being answered by cold ones. What a
    domain cannot give, the others are asked for at the reclaimable price. While a service is
    moved no upstream is taken away: the cloud chooses which ones go, also those on trial.
    """
    domains = sorted(snapshot.prices, key=lambda name: (snapshot.prices[name], name))
    if not domains:
        return FleetPlan({}, {})
    load_count = max(
        math.ceil(snapshot.demand / (TARGET_LOAD * snapshot.batch)), MIN_SERVICE_UPSTREAMS
    )
    min_upstreams = dict.fromkeys(domains, snapshot.min_upstreams)
    if not snapshot.reclaimable:
        return FleetPlan(
            raise_to_total(min_upstreams, domains, load_count, snapshot.max_upstreams),
            dict.fromkeys(domains, 0),
        )
    spare = math.ceil(
        load_count * TOLERATED_DOMAIN_LOSSES / max(len(domains) - TOLERATED_DOMAIN_LOSSES, 1)
    )
    usable = [name for name in domains if name not in snapshot.closed_domains]
    warm = sum(snapshot.warm.get(name, 0) for name in usable)
    headroom = {name: snapshot.max_upstreams - snapshot.warm.get(name, 0) for name in domains}
    required = max(load_count, count_prefill_upstreams(snapshot.prompt_token_rate))
    shortfall = max(required - warm, count_insurance_upstreams(snapshot, usable, required))
    on_demand = distribute_evenly(dict.fromkeys(domains, 0), usable, shortfall, headroom)
    # Both kinds together stay within the bound, also while ordinary ones are still there.
    on_demand_total = {
        name: max(on_demand[name], snapshot.on_demand.get(name, 0)) for name in domains
    }
    reclaimable_limits = {
        name: max(snapshot.max_upstreams - on_demand_total[name], 0) for name in domains
    }
    minimum = {name: min(snapshot.min_upstreams, reclaimable_limits[name]) for name in domains}
    idle_count = math.ceil(IDLE_FLEET_SHARE * snapshot.max_upstreams * len(domains))
    extra = max(load_count + spare, idle_count) - sum(minimum.values())
    even_counts = distribute_evenly(minimum, domains, extra, reclaimable_limits)
    reclaimable = shift_from_exhausted(even_counts, snapshot, reclaimable_limits)
    if snapshot.rolling_out:
        on_demand = raise_to_present(on_demand, snapshot.on_demand)
        reclaimable = raise_to_present(reclaimable, snapshot.present)
    return FleetPlan(on_demand, reclaimable)


def count_insurance_upstreams(snapshot: FleetSnapshot, usable: list[str], required: int) -> int:
    """Return the ordinary upstreams without which one more reclaim would leave too few.

    Answers reclaims of one failure domain after the other within the time of a boot, with nothing
    to be had in their place: upstreams that are ordered at the last notice come too late.
    """
    if not snapshot.exhausted_domains:
        return 0
    warm = [snapshot.warm.get(name, 0) for name in usable]
    return math.ceil(SURVIVING_SHARE * required) - (sum(warm) - max(warm, default=0))


def raise_to_present(counts: Mapping[str, int], present: Mapping[str, int]) -> dict[str, int]:
    """Return counts of which none is below what is there."""
    return {name: max(count, present.get(name, 0)) for name, count in counts.items()}


def count_prefill_upstreams(prompt_token_rate: float) -> int:
    """Return the upstreams that read prompts in time.

    Answers a reclaim under load: what runs at once rises only after the upstreams that are left
    are late, while the rate at which prompts come is known before.
    """
    return math.ceil(prompt_token_rate / (TARGET_PREFILL_LOAD * PREFILL_TOKENS_PER_SECOND))


def shift_from_exhausted(
    even_counts: Mapping[str, int], snapshot: FleetSnapshot, bound: Mapping[str, int]
) -> dict[str, int]:
    """Return counts in which other domains make up for those that have nothing.

    The even share of a dry domain is asked for on, so that it is seen when there is something.
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
    """Return counts raised evenly to a total, cheap domains first, within a bound for each."""
    return distribute_evenly(
        counts, domains, total - sum(counts.values()), dict.fromkeys(domains, max_upstreams)
    )


def distribute_evenly(
    counts: Mapping[str, int], domains: list[str], extra: int, limits: Mapping[str, int]
) -> dict[str, int]:
    """Return counts raised evenly by a number, within the bound of each domain."""
    result = dict(counts)
    for _ in range(max(extra, 0)):
        unfilled_domains = [name for name in domains if result[name] < limits[name]]
        if not unfilled_domains:
            break
        result[min(unfilled_domains, key=lambda name: result[name])] += 1
    return result
