"""How many upstreams of which kind are ordered in each failure domain."""

__all__ = ["FLEET_PLANNERS", "FleetPlan", "FleetSnapshot", "plan_reclaimable"]

import math
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import NamedTuple

from tanagertrail.policy.placement import PREFILL_TOKENS_PER_SECOND
from tanagertrail.registry import Registry

TARGET_LOAD = 0.35  # of a batch, so that first tokens come within their objective
READ_LOAD = 0.3  # of an engine's time for reading prompts, beyond which first tokens are late
DOMAINS_LOST = 2  # failure domains whose reclaimable upstreams may go within seconds
LEAST_UPSTREAMS = 4
SURVIVING_SHARE = 0.5  # of what is needed, left when one more domain goes and has nothing either
STANDING_SHARE = 0.5  # of what may be ordered, kept while idle: what the operators start with

NONE_PRESENT: Mapping[str, int] = MappingProxyType({})


class FleetSnapshot(NamedTuple):
    """What the plan for one service depends on.

    :ivar prices: price of an ordinary upstream by failure domain
    :ivar reclaimable: whether reclaimable upstreams can be ordered
    :ivar least: upstreams that each failure domain must have
    :ivar most: upstreams that each failure domain may have
    :ivar batch: requests that an upstream runs at once
    :ivar demand: requests that run or wait, a high value of the recent past
    :ivar read_rate: tokens of prompts per second over the last seconds
    :ivar warm: reclaimable upstreams that stay and are warm, by failure domain
    :ivar ordinary: ordinary upstreams that stay, by failure domain
    :ivar present: reclaimable upstreams that stay, warm or cold, by failure domain
    :ivar closed: failure domains that get no work
    :ivar dry: failure domains in which no reclaimable upstreams were to be had lately
    :ivar moving: whether the service is being moved to another version
    """

    prices: Mapping[str, float]
    reclaimable: bool
    min_per_domain: int
    max_per_domain: int
    batch: int
    demand: float
    read_rate: float
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
def plan_reclaimable(view: FleetSnapshot) -> FleetPlan:
    """Spread reclaimable upstreams evenly and fill in with ordinary ones while some are missing.

    Answers waves of reclaims under a rising load: the loss of one domain's upstreams is borne by
    the others, and for the next one ordinary upstreams are started at the first notice. A standing
    fleet of reclaimable upstreams keeps a rising wave from being answered by cold ones. What a
    domain cannot give, the others are asked for at the reclaimable price. While a service is
    moved no upstream is taken away: the cloud chooses which ones go, also those on trial.
    """
    domains = sorted(view.prices, key=lambda name: (view.prices[name], name))
    if not domains:
        return FleetPlan({}, {})
    wanted = max(math.ceil(view.demand / (TARGET_LOAD * view.batch)), LEAST_UPSTREAMS)
    min_per_domain = dict.fromkeys(domains, view.min_per_domain)
    if not view.reclaimable:
        return FleetPlan(
            add_evenly(min_per_domain, domains, wanted, view.max_per_domain),
            dict.fromkeys(domains, 0),
        )
    spare = math.ceil(wanted * DOMAINS_LOST / max(len(domains) - DOMAINS_LOST, 1))
    usable = [name for name in domains if name not in view.closed_domains]
    warm = sum(view.warm.get(name, 0) for name in usable)
    room = {name: view.max_per_domain - view.warm.get(name, 0) for name in domains}
    needed = max(wanted, count_readers(view.read_rate))
    missing = max(needed - warm, count_uninsured(view, usable, needed))
    on_demand = add_within(dict.fromkeys(domains, 0), usable, missing, room)
    # Both kinds together stay within the bound, also while ordinary ones are still there.
    kept = {name: max(on_demand[name], view.on_demand.get(name, 0)) for name in domains}
    bound = {name: max(view.max_per_domain - kept[name], 0) for name in domains}
    first = {name: min(view.min_per_domain, bound[name]) for name in domains}
    standing = math.ceil(STANDING_SHARE * view.max_per_domain * len(domains))
    extra = max(wanted + spare, standing) - sum(first.values())
    even = add_within(first, domains, extra, bound)
    reclaimable = move_from_dry(even, view, bound)
    if view.rolling_out:
        on_demand = keep_present(on_demand, view.on_demand)
        reclaimable = keep_present(reclaimable, view.present)
    return FleetPlan(on_demand, reclaimable)


def count_uninsured(view: FleetSnapshot, usable: list[str], needed: int) -> int:
    """Return the ordinary upstreams without which one more reclaim would leave too few.

    Answers reclaims of one failure domain after the other within the time of a boot, with nothing
    to be had in their place: upstreams that are ordered at the last notice come too late.
    """
    if not view.exhausted_domains:
        return 0
    warm = [view.warm.get(name, 0) for name in usable]
    return math.ceil(SURVIVING_SHARE * needed) - (sum(warm) - max(warm, default=0))


def keep_present(counts: Mapping[str, int], present: Mapping[str, int]) -> dict[str, int]:
    """Return counts of which none is below what is there."""
    return {name: max(count, present.get(name, 0)) for name, count in counts.items()}


def count_readers(read_rate: float) -> int:
    """Return the upstreams that read prompts in time.

    Answers a reclaim under load: what runs at once rises only after the upstreams that are left
    are late, while the rate at which prompts come is known before.
    """
    return math.ceil(read_rate / (READ_LOAD * PREFILL_TOKENS_PER_SECOND))


def move_from_dry(
    even: Mapping[str, int], view: FleetSnapshot, bound: Mapping[str, int]
) -> dict[str, int]:
    """Return counts in which other domains make up for those that have nothing.

    The even share of a dry domain is asked for on, so that it is seen when there is something.
    """
    given = [
        name
        for name in even
        if name not in view.exhausted_domains and name not in view.closed_domains
    ]
    missing = sum(
        even[name] - view.present.get(name, 0) for name in view.exhausted_domains if name in even
    )
    return add_within(even, given, missing, bound)


def add_evenly(
    counts: Mapping[str, int], domains: list[str], total: int, max_per_domain: int
) -> dict[str, int]:
    """Return counts raised evenly to a total, cheap domains first, within a bound for each."""
    return add_within(
        counts, domains, total - sum(counts.values()), dict.fromkeys(domains, max_per_domain)
    )


def add_within(
    counts: Mapping[str, int], domains: list[str], extra: int, max_per_domain: Mapping[str, int]
) -> dict[str, int]:
    """Return counts raised evenly by a number, within the bound of each domain."""
    result = dict(counts)
    for _ in range(max(extra, 0)):
        open_domains = [name for name in domains if result[name] < max_per_domain[name]]
        if not open_domains:
            break
        result[min(open_domains, key=lambda name: result[name])] += 1
    return result
