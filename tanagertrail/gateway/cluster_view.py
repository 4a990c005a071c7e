"""A daemon's view of the configuration, upstreams, evacuations and rollouts."""

__all__ = ["ClusterView"]

import asyncio
from collections.abc import Callable

from tanagertrail.gateway.clock import BootClock
from tanagertrail.gateway.model import ServingConfig, SharedBounds
from tanagertrail.gateway.upstream_table import UpstreamTable
from tanagertrail.policy.canary import VersionUse, choose_version_use
from tanagertrail.policy.rollout_orders import RolloutOrder

REVOKE_MARGIN_SECONDS = 0.4  # from the check of a key until the request's work starts


class ClusterView:
    """The state shared by a daemon's tasks, modified only from the event loop.

    :ivar bounds: limits on how late changes may take effect
    :ivar config: configuration in force, None while none is known
    :ivar config_confirmed_at: boot time in seconds at which it was last known to be the newest
    :ivar upstreams_known: whether the upstreams have been listed since the start; likewise
        ``evacuated_known`` and ``rollouts_known``
    :ivar limits_known: whether another daemon has told which rates upstreams accept, or none can
    :ivar evacuated: failure domains that get no work
    :ivar rollouts: rollout orders by service
    :ivar rollouts_seen_at: event-loop time in seconds of the first sight of an order, by service
        and order
    :ivar withdrawn: versions by service that were ordered before and not completed
    :ivar on_config_change: callbacks that get each new configuration
    """

    def __init__(self, bounds: SharedBounds, boot_time: BootClock) -> None:
        self.bounds = bounds
        self.boot_time = boot_time
        self.config: ServingConfig | None = None
        self.config_confirmed_at: float | None = None
        self.upstreams = UpstreamTable()
        self.upstreams_known = False
        self.evacuated_known = False
        self.rollouts_known = False
        self.limits_known = False
        self.evacuated: set[str] = set()
        self.rollouts: dict[str, RolloutOrder] = {}
        self.rollouts_seen_at: dict[tuple[str, int], float] = {}
        self.withdrawn: dict[str, tuple[str, ...]] = {}
        self.on_config_change: list[Callable[[ServingConfig], None]] = []

    def apply_config(self, config: ServingConfig) -> bool:
        """Put a configuration in force unless an equal or newer one is; return whether it was."""
        if self.config is not None and config.version <= self.config.version:
            return False
        self.config = config
        for callback in self.on_config_change:
            callback(config)
        return True

    def put_rollout(self, order: RolloutOrder) -> None:
        """Put a rollout order in the place of the service's former one."""
        self.rollouts[order.service] = order
        seen_at = self.get_rollout_seen_at(order)
        for key in [key for key in self.rollouts_seen_at if key[0] == order.service]:
            del self.rollouts_seen_at[key]
        self.rollouts_seen_at[order.service, order.order_id] = seen_at

    def remove_rollout(self, service: str) -> None:
        """Remove the rollout order of a service; its version stays out of use if not completed."""
        order = self.rollouts.pop(service, None)
        if order is None or order.completed or order.is_return:
            return
        known = self.withdrawn.get(service, ())
        self.withdrawn[service] = tuple(dict.fromkeys((*known, order.version)))

    def get_rollout_seen_at(self, order: RolloutOrder) -> float:
        """Return the event-loop time in seconds at which an order was first seen."""
        now = asyncio.get_running_loop().time()
        return self.rollouts_seen_at.setdefault((order.service, order.order_id), now)

    def get_version_use(self, service: str, version: str) -> VersionUse:
        """Return whether upstreams of a version of a service may get requests.

        A version that was withdrawn is used if a service has no other one in service.
        """
        order = self.rollouts.get(service)
        withdrawn = self.withdrawn.get(service, ())
        use = choose_version_use(order, version, withdrawn)
        if use is VersionUse.FORBIDDEN and version in withdrawn:
            versions = {entry.record.version for entry in self.upstreams.iter_service(service)}
            uses = {choose_version_use(order, other, withdrawn) for other in versions}
            if VersionUse.ALLOWED not in uses:
                return VersionUse.ALLOWED
        return use

    def is_on_trial(self, service: str, version: str) -> bool:
        """Return whether a version of a service has not been proven by a completed rollout."""
        order = self.rollouts.get(service)
        if order is not None and version == order.version:
            return not (order.completed or order.is_return)
        withdrawn = self.withdrawn.get(service, ())
        return version in withdrawn and (
            self.get_version_use(service, version) is VersionUse.FORBIDDEN
        )

    @property
    def config_age(self) -> float:
        """Return the seconds since the configuration was last known to be the newest."""
        if self.config_confirmed_at is None:
            return float("inf")
        return self.boot_time() - self.config_confirmed_at

    @property
    def revocations_current(self) -> bool:
        """Return whether a revocation of a key that must be in force would be known here."""
        return self.config_age < self.bounds.revoke - REVOKE_MARGIN_SECONDS

    @property
    def complete(self) -> bool:
        """Return whether enough is known to serve.

        A restarted daemon must not use upstreams or failure domains that were taken out of use
        before its start, nor send more than upstreams have told others that they accept.
        """
        kinds_known = self.upstreams_known and self.evacuated_known and self.rollouts_known
        return self.config is not None and kinds_known and self.limits_known
