"""Which daemons gather the states of others, and who exchanges with whom."""

__all__ = ["Topology", "plan_topology"]

import math
from collections.abc import Iterable
from typing import NamedTuple

from tanagertrail.policy.hashing import rank_by_hash

ALL_HUBS = 9  # up to this many daemons each exchanges with each
WATCHERS = 3  # daemons that follow the store for all; others step in when these fall silent
RANK_KEY = "hubs"


class Topology(NamedTuple):
    """The place of one daemon.

    :ivar hubs: hubs in the order of their rank
    :ivar partners: daemons to exchange with each period
    """

    hubs: tuple[str, ...]
    partners: tuple[str, ...]
    is_hub: bool
    is_watcher: bool
    rank: int


def plan_topology(own: str, others: Iterable[str]) -> Topology:
    """Return the place of a daemon among those that live.

    About the square root of all daemons are hubs. A hub exchanges with all hubs, any other with
    the two hubs that rendezvous hashing names for it, so that the exchanges of one daemon grow
    with the square root of the fleet.
    """
    ranking = rank_by_hash(RANK_KEY, {own, *others})
    count = len(ranking)
    hubs = ranking if count <= ALL_HUBS else ranking[: max(math.isqrt(count), 3)]
    is_hub = own in hubs
    others_hubs = [name for name in hubs if name != own]
    partners = others_hubs if is_hub else rank_by_hash(own, hubs)[:2]
    return Topology(
        tuple(hubs), tuple(partners), is_hub, own in ranking[:WATCHERS], ranking.index(own)
    )
