"""A daemon's view of the configuration, upstreams, evacuations and rollouts."""

__all__ = ["ClusterView"]

from collections.abc import Callable

from tanagertrail.gateway.clock import BootClock
from tanagertrail.gateway.model import RolloutOrder, ServingConfig, SharedBounds
from tanagertrail.gateway.upstream_table import UpstreamTable

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
        self.on_config_change: list[Callable[[ServingConfig], None]] = []

    def apply_config(self, config: ServingConfig) -> bool:
        """Put a configuration in force unless an equal or newer one is; return whether it was."""
        if self.config is not None and config.version <= self.config.version:
            return False
        self.config = config
        for callback in self.on_config_change:
            callback(config)
        return True

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
