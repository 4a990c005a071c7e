"""How many upstreams of which kind are ordered in each failure domain."""

__all__ = ["FLEET_PLANS", "FleetPlan", "FleetView", "plan_reclaimable"]

import math
from collections.abc import Callable, Mapping
from typing import NamedTuple

from tanagertrail.registry import Registry

TARGET_LOAD = 0.35  # of a batch, so that first tokens come within their objective
DOMAINS_LOST = 1  # failure domains whose reclaimable upstreams may go at once
LEAST_UPSTREAMS = 4


class FleetView(NamedTuple):
    """What the plan for one service depends on.

    :ivar prices: price of an ordinary upstream by failure domain
    :ivar reclaimable: whether reclaimable upstreams can be ordered
    :ivar least: upstreams that each failure domain must have
    :ivar most: upstreams that each failure domain may have
    :ivar batch: requests that an upstream runs at once
    :ivar demand: requests that run or wait, a high value of the recent past
    """

    prices: Mapping[str, float]
    reclaimable: bool
    least: int
    most: int
    batch: int
    demand: float


class FleetPlan(NamedTuple):
    """Upstreams to be ordered, by failure domain."""

    ordinary: dict[str, int]
    reclaimable: dict[str, int]


Plan = Callable[[FleetView], FleetPlan]
FLEET_PLANS: Registry[Plan] = Registry("fleet plan")


@FLEET_PLANS.register("reclaimable")
def plan_reclaimable(view: FleetView) -> FleetPlan:
    """Spread reclaimable upstreams evenly, so many that the loss of a domain is borne.

    Answers waves of reclaims under a rising load: what is left after a domain's upstreams were
    taken still bears the demand, at a fraction of the price of ordinary upstreams.
    """
    domains = sorted(view.prices, key=lambda name: (view.prices[name], name))
    if not domains:
        return FleetPlan({}, {})
    wanted = max(math.ceil(view.demand / (TARGET_LOAD * view.batch)), LEAST_UPSTREAMS)
    spare = math.ceil(wanted * DOMAINS_LOST / max(len(domains) - DOMAINS_LOST, 1))
    counts = spread_evenly(domains, wanted + spare, view.least, view.most)
    nothing = dict.fromkeys(domains, 0)
    return FleetPlan(nothing, counts) if view.reclaimable else FleetPlan(counts, nothing)


def spread_evenly(domains: list[str], total: int, least: int, most: int) -> dict[str, int]:
    """Return counts that add up to a total where the bounds allow it, cheap domains first."""
    counts = dict.fromkeys(domains, least)
    while sum(counts.values()) < total:
        open_domains = [name for name in domains if counts[name] < most]
        if not open_domains:
            break
        counts[min(open_domains, key=lambda name: counts[name])] += 1
    return counts
