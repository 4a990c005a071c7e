"""How full upstreams may be made by requests of each priority."""

__all__ = ["LoadLimits", "Places"]

import asyncio
import enum

from tanagertrail.gateway.cluster_view import ClusterView
from tanagertrail.gateway.exchange import Exchange
from tanagertrail.gateway.model import ServingConfig
from tanagertrail.policy.room import MAX_LOAD_FACTOR, RoomMode, compute_load_limit


class Places(enum.Enum):
    """Whether upstreams have a place for a request.

    ``NONE`` means that none could get it even if it had a place.
    """

    FREE = enum.auto()
    FULL = enum.auto()
    NONE = enum.auto()


class LoadLimits:
    """Limits on the load of upstreams, which all daemons derive from the configuration.

    :ivar mode: limits differ by priority only if requests wait for places
    :ivar known_for: configuration that ``most_urgent`` belongs to
    :ivar most_urgent: most urgent priority of the routes of each service
    """

    def __init__(self, cluster_view: ClusterView) -> None:
        self.cluster_view = cluster_view
        self.mode = RoomMode.OFF
        self.known_for: ServingConfig | None = None
        self.most_urgent: dict[str, int] = {}

    def get_limit(self, exchange: Exchange) -> float:
        """Return the running requests per slot up to which upstreams may get a request."""
        if self.mode is not RoomMode.WAIT:
            return MAX_LOAD_FACTOR
        waited = 0.0
        if exchange.wait_began_at is not None:
            waited = asyncio.get_running_loop().time() - exchange.wait_began_at
        return compute_load_limit(self.count_priority_steps(exchange), waited)

    def count_priority_steps(self, exchange: Exchange) -> int:
        """Return the priority of a request, 0 for the most urgent of the routes of its service."""
        if self.known_for is not self.cluster_view.config:
            self.learn_priorities(self.cluster_view.config)
        most_urgent = self.most_urgent.get(exchange.service, exchange.priority)
        return max(exchange.priority - most_urgent, 0)

    def learn_priorities(self, config: ServingConfig) -> None:
        """Find the most urgent priority of the routes of each service."""
        self.known_for = config
        self.most_urgent = {}
        for routes in config.routes.values():
            for route in routes:
                for target in route.targets:
                    known = self.most_urgent.get(target.service, route.priority)
                    self.most_urgent[target.service] = min(known, route.priority)
