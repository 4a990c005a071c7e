"""Exchange topology of the daemons: which are hubs, and which exchange states with each other."""

__all__ = ["Topology", "compute_hub_capacity", "plan_topology"]

import math
from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import NamedTuple

from tanagertrail.policy.hashing import rank_by_hash

MAX_FULL_MESH_DAEMONS = 9  # up to this many daemons, all exchange with each other
WATCHER_COUNT = 2  # daemons that watch the store on behalf of all
STANDBY_COUNT = 2  # next daemons in rank, the first to take over if no watcher follows the store
HUB_RANKING_KEY = "hubs"
CORES_PER_CAPACITY_UNIT = (
    0.5  # a hub of 67 daemons used at most 0.13 cores besides its callers' work
)
LINK_MBPS_PER_CAPACITY_UNIT = 25.0  # a hub of 67 daemons sent 2 to 10 Mbit/s in bursts
MAX_HUB_CAPACITY = 4  # larger instances rank equally, so that hubs are spread over them

NO_CAPACITIES: Mapping[str, int] = MappingProxyType({})


class Topology(NamedTuple):
    """The topology as seen by one daemon.

    :ivar hubs: hubs in the order of their rank
    :ivar partners: daemons to exchange with in each period
    :ivar is_watcher: whether this daemon watches the store on behalf of all
    :ivar is_standby: whether this daemon is among the first to take over from a watcher
    :ivar rank: position of this daemon in the order of all daemons, 0 for the first
    """

    hubs: tuple[str, ...]
    partners: tuple[str, ...]
    is_hub: bool
    is_watcher: bool
    is_standby: bool
    rank: int


def compute_hub_capacity(cores: float, link_mbps: float) -> int:
    """Return an instance's capacity for a hub's work, from 0 to ``MAX_HUB_CAPACITY``.

    :param cores: number of processor cores
    :param link_mbps: link bandwidth in Mbit/s
    """
    return min(
        int(cores / CORES_PER_CAPACITY_UNIT),
        int(link_mbps / LINK_MBPS_PER_CAPACITY_UNIT),
        MAX_HUB_CAPACITY,
    )


def plan_topology(
    own: str, others: Iterable[str], capacities: Mapping[str, int] = NO_CAPACITIES
) -> Topology:
    """Return the topology as seen by one daemon.

    The number of hubs is about the square root of the number of daemons. A hub exchanges with all
    hubs, any other daemon with the two hubs that rendezvous hashing assigns to it, so that the
    exchanges per daemon grow with the square root of the fleet. Instances with a high capacity are
    ranked first, because a hub's messages on a small link delay its callers.

    :param own: this daemon
    :param others: the other live daemons
    :param capacities: capacity for a hub's work by daemon
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
