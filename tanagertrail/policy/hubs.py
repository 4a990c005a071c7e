"""Which daemons gather the states of others, and who exchanges with whom."""

__all__ = ["Topology", "compute_hub_capacity", "plan_topology"]

import math
from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import NamedTuple

from tanagertrail.policy.hashing import rank_by_hash

MAX_FULL_MESH_DAEMONS = 9  # up to this many daemons each exchanges with each
WATCHERS = 2  # daemons that follow the store for all
STANDBYS = 2  # daemons after them that step in first when the store is not followed
RANK_KEY = "hubs"
HUB_CORES = 0.5  # a hub of 67 daemons took 0.13 of a core at most, beside callers' work
HUB_LINK_MBPS = 25.0  # a hub of 67 daemons sent 2 to 10 Mbit/s in bursts
MOST_STRENGTH = 4  # instances beyond it count alike, so that hubs spread over them

NO_STRENGTHS: Mapping[str, int] = MappingProxyType({})


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
    return min(int(cores / HUB_CORES), int(link_mbps / HUB_LINK_MBPS), MOST_STRENGTH)


def plan_topology(
    own: str, others: Iterable[str], strengths: Mapping[str, int] = NO_STRENGTHS
) -> Topology:
    """Return the place of a daemon among those that live.

    About the square root of all daemons are hubs. A hub exchanges with all hubs, any other with
    the two hubs that rendezvous hashing names for it, so that the exchanges of one daemon grow
    with the square root of the fleet. Strong instances come first, since a small link that bears
    a hub's messages holds up its callers.
    """
    ranking = rank_by_hash(RANK_KEY, {own, *others})
    ranking.sort(key=lambda name: -strengths.get(name, 0))
    count = len(ranking)
    hubs = ranking if count <= MAX_FULL_MESH_DAEMONS else ranking[: max(math.isqrt(count), 3)]
    is_hub = own in hubs
    others_hubs = [name for name in hubs if name != own]
    partners = others_hubs if is_hub else rank_by_hash(own, hubs)[:2]
    rank = ranking.index(own)
    standby = WATCHERS <= rank < WATCHERS + STANDBYS
    return Topology(tuple(hubs), tuple(partners), is_hub, rank < WATCHERS, standby, rank)
