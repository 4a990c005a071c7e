"""This daemon's parts of the request rates that hold for all daemons together."""

__all__ = ["SharedRates"]

import asyncio
from collections.abc import Callable, Collection

from tanagertrail.gateway.members import MemberTable
from tanagertrail.policy.hashing import rank_by_hash
from tanagertrail.policy.hubs import MAX_FULL_MESH_DAEMONS
from tanagertrail.policy.shared_rate import FleetView, HeldRates, RateBound

FLEET_REFRESH_SECONDS = 0.25
# Time in which all daemons learn that one has started, stopped or been lost.
DIRECT_HANDOVER_SECONDS = 2.0
RELAYED_HANDOVER_SECONDS = 3.5  # if states are relayed by two hubs
MAX_RANKED_KEYS = 512


class SharedRates:
    """Divide shared rates among the daemons that this one knows to be alive.

    A daemon that is cut off from all upstreams holds no part, which the others use meanwhile.

    :ivar is_serving: returns whether this daemon accepts callers' requests and reaches upstreams
    :ivar held_rates: this daemon's parts
    :ivar ranked: serving daemons of ``ranked_fleet`` in order of preference, by key
    """

    def __init__(self, members: MemberTable, is_serving: Callable[[], bool]) -> None:
        self.members = members
        self.is_serving = is_serving
        self.held_rates = HeldRates(members.own.daemon)
        self.refreshed_at = float("-inf")
        self.ranked: dict[str, list[str]] = {}
        self.ranked_fleet: FleetView | None = None

    def now(self) -> float:
        """Return the event-loop time in seconds."""
        return asyncio.get_running_loop().time()

    @property
    def daemon_count(self) -> int:
        """The number of daemons among which rates are divided."""
        return len(self.held_rates.fleet.serving)

    def refresh_fleet(self) -> None:
        """Look up which daemons send requests to upstreams, unless that was done just now."""
        now = self.now()
        if now - self.refreshed_at < FLEET_REFRESH_SECONDS:
            return
        self.refreshed_at = now
        serving = {state.member.daemon for state in self.members.list_connected(now)}
        if self.is_serving():
            serving.add(self.members.own.daemon)
        known = self.members.count()
        live_share = self.members.count_alive(now) / known
        direct = known <= MAX_FULL_MESH_DAEMONS
        self.held_rates.observe_fleet(
            FleetView(self.members.own.daemon, frozenset(serving), live_share),
            DIRECT_HANDOVER_SECONDS if direct else RELAYED_HANDOVER_SECONDS,
            now,
        )

    def find_holders(self, key: str, count: int) -> list[str]:
        """Find the daemons of the present fleet that hold a part of what is divided.

        :param key: what is divided
        :param count: number of holders
        """
        self.refresh_fleet()
        fleet = self.held_rates.fleet
        if fleet is not self.ranked_fleet or len(self.ranked) >= MAX_RANKED_KEYS:
            self.ranked_fleet = fleet
            self.ranked.clear()
        if key not in self.ranked:
            self.ranked[key] = rank_by_hash(key, fleet.serving)
        return self.ranked[key][:count]

    def allows_request(self, key: str, rate: float, bound: RateBound) -> bool:
        """Return whether this daemon may send a request now.

        :param key: what the rate belongs to
        :param rate: requests per second from all daemons together
        """
        self.refresh_fleet()
        return self.held_rates.allows_request(key, rate, bound, self.now())

    def note_sent(self, key: str) -> None:
        """Count a request that is sent."""
        self.held_rates.note_sent(key)

    def forget_except(self, keys: Collection[str]) -> None:
        """Drop the rates that are no longer in force."""
        self.held_rates.forget_except(keys)
