"""Which daemons gather the states of others, and who exchanges with whom."""

__all__ = ["Topology", "compute_hub_capacity", "plan_topology"]

import math
from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import NamedTuple

from tanagertrail.policy.hashing import rank_by_hash

MAX_FULL_MESH_DAEMONS = 9  # up to this many daemons each exchanges with each
WATCHER_COUNT = 2  # daemons that follow the store for all
STANDBY_COUNT = 2  # daemons after them that step in first when the store is not followed
HUB_RANKING_KEY = "hubs"
CORES_PER_CAPACITY_UNIT = (
    0.5  # a hub of 67 daemons took 0.13 of a core at most, beside callers' work
)
LINK_MBPS_PER_CAPACITY_UNIT = 25.0  # a hub of 67 daemons sent 2 to 10 Mbit/s in bursts
MAX_HUB_CAPACITY = 4  # instances beyond it count alike, so that hubs spread over them

NO_CAPACITIES: Mapping[str, int] = MappingProxyType({})


class Topology(NamedTuple):
    """The place of one daemon.

    :ivar hubs: hubs in the order of their rank
    :ivar partners: daemons to exchange with each period
    """

    hubs: tuple[str, ...]
    partners: tuple[str, ...]
    is_hub: bool
    is_watcher: bool
    is_standby: bool
    rank: int


def compute_hub_capacity(cores: float, link_mbps: float) -> int:
    """Return how well an instance bears a hub's work, from 0 to a few.

    :param cores: processor, in cores
    :param link_mbps: bandwidth of its link in Mbit/s
    """
    return min(
        int(cores / CORES_PER_CAPACITY_UNIT),
        int(link_mbps / LINK_MBPS_PER_CAPACITY_UNIT),
        MAX_HUB_CAPACITY,
    )


def plan_topology(
    own: str, others: Iterable[str], capacities: Mapping[str, int] = NO_CAPACITIES
) -> Topology:
    """Return the place of a daemon among those that live.

    About the square root of all daemons are hubs. A hub exchanges with all hubs, any other with
    the two hubs that rendezvous hashing names for it, so that the exchanges of one daemon grow
    with the square root of the fleet. Strong instances come first, since a small link that bears
    a hub's messages holds up its callers.
    """
    ranking = rank_by_hash(HUB_RANKING_KEY, {own, *others})
    ranking.sort(key=lambda name: -capacities.get(name, 0))
    count = len(ranking)
    hubs = ranking if count <= MAX_FULL_MESH_DAEMONS else ranking[: max(math.isqrt(count), 3)]
    is_hub = own in hubs
    other_hubs = [name for name in hubs if name != own]
    partners = other_hubs if is_hub else rank_by_hash(own, hubs)[:2]
    rank = ranking.index(own)
    standby = WATCHER_COUNT <= rank < WATCHER_COUNT + STANDBY_COUNT
    return Topology(tuple(hubs), tuple(partners), is_hub, rank < WATCHER_COUNT, standby, rank)
