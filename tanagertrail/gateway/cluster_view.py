"""What one daemon believes of configuration, upstreams, failure domains and moves."""

__all__ = ["ClusterView"]

from collections.abc import Callable

from tanagertrail.gateway.clock import BootClock
from tanagertrail.gateway.model import RolloutOrder, ServingConfig, SharedBounds
from tanagertrail.gateway.upstream_table import UpstreamTable

REVOKE_MARGIN_SECONDS = 0.4  # between the check of a key and the start of its work


class ClusterView:
    """The shared state of a daemon's tasks; only the event loop changes it.

    :ivar config: configuration in force, None while none is known
    :ivar config_confirmed_at: boot time in seconds at which it was last known to be the newest
    :ivar evacuated: failure domains that get no work
    :ivar rollouts: orders to move services, by service
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
        self.evacuated: set[str] = set()
        self.rollouts: dict[str, RolloutOrder] = {}
        self.on_config: list[Callable[[ServingConfig], None]] = []

    def apply_config(self, config: ServingConfig) -> bool:
        """Take a configuration unless an equal or newer one is in force."""
        if self.config is not None and config.version <= self.config.version:
            return False
        self.config = config
        for notify in self.on_config:
            notify(config)
        return True

    @property
    def config_age(self) -> float:
        """Return the seconds since the configuration was known to be the newest."""
        if self.config_confirmed_at is None:
            return float("inf")
        return self.boot_time() - self.config_confirmed_at

    @property
    def revocations_current(self) -> bool:
        """Say whether a key that was taken away would be known here."""
        return self.config_age < self.bounds.revoke - REVOKE_MARGIN_SECONDS

    @property
    def complete(self) -> bool:
        """Say whether enough is known to serve.

        A daemon that started again must not use what was taken out of use before its start.
        """
        listed = self.upstreams_known and self.evacuated_known and self.rollouts_known
        return self.config is not None and listed
