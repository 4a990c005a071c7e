"""Handlers that apply changes of stored objects to a daemon's view of the cluster."""

__all__ = [
    "ConfigHandler",
    "EvacuationHandler",
    "RolloutHandler",
    "UpstreamHandler",
]

import asyncio

from tanagertrail.errors import InvalidInputError
from tanagertrail.gateway.cluster_view import ClusterView
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.mirror import BaseKindHandler, ObjectStatus
from tanagertrail.platform.records import (
    decode_configuration,
    decode_rollout,
    decode_upstream,
)
from tanagertrail.platform.store import StoredObject

MAIN_CONFIG = "main"
# Registrations that expired during an outage of the store are back about 2 s after its end.
REREGISTRATION_GRACE_SECONDS = 2.3


class ConfigHandler(BaseKindHandler):
    """Follow the operator's configuration.

    :ivar is_latest_unreadable: whether the newest stored version could not be decoded
    """

    def __init__(self, cluster_view: ClusterView, log: EventLog) -> None:
        self.cluster_view = cluster_view
        self.log = log
        self.is_latest_unreadable = False

    def replace_all(self, objects: list[StoredObject], maybe_expired: bool) -> None:
        """Apply the stored configuration."""
        for item in objects:
            self.apply_change(item, ObjectStatus.PRESENT)

    def apply_change(self, item: StoredObject, object_status: ObjectStatus) -> None:
        """Apply a new version; an invalid one or a deletion changes nothing."""
        if item.name != MAIN_CONFIG or object_status is not ObjectStatus.PRESENT:
            return
        try:
            config = decode_configuration(item.content)
        except InvalidInputError as error:
            self.is_latest_unreadable = True
            self.log.write("config_refused", revision=item.revision, error=str(error)[:500])
            return
        self.is_latest_unreadable = False
        if self.cluster_view.apply_config(config):
            self.log.write("config_in_force", version=config.version, revision=item.revision)

    def on_synced(self, as_of: float) -> None:
        """Record when the version in force was last known to be the newest."""
        if self.cluster_view.config is not None and not self.is_latest_unreadable:
            self.cluster_view.config_confirmed_at = as_of


class UpstreamHandler(BaseKindHandler):
    """Follow the registrations of upstreams.

    :ivar removal_timers: pending removals of upstreams whose registration may have expired
    """

    def __init__(self, cluster_view: ClusterView, log: EventLog) -> None:
        self.cluster_view = cluster_view
        self.log = log
        self.removal_timers: dict[str, asyncio.TimerHandle] = {}

    @property
    def table(self):
        """Return the table of upstreams."""
        return self.cluster_view.upstreams

    def replace_all(self, objects: list[StoredObject], maybe_expired: bool) -> None:
        """Apply a complete listing; after an outage, missing upstreams may register again."""
        present = {item.name for item in objects}
        for name in [name for name in self.table.entries if name not in present]:
            if maybe_expired:
                self.schedule_removal(name)
            else:
                self.remove(name, "not listed")
        for item in objects:
            self.apply_change(item, ObjectStatus.PRESENT)
        self.cluster_view.upstreams_known = True

    def schedule_removal(self, name: str) -> None:
        """Remove an upstream unless it registers again within the grace period."""
        if name not in self.removal_timers:
            loop = asyncio.get_running_loop()
            self.removal_timers[name] = loop.call_later(
                REREGISTRATION_GRACE_SECONDS, self.remove_missing, name
            )
            self.log.write("upstream_missing", upstream=name, kept_s=REREGISTRATION_GRACE_SECONDS)

    def remove_missing(self, name: str) -> None:
        """Remove an upstream that has not registered again."""
        self.removal_timers.pop(name, None)
        self.remove(name, "has not returned")

    def remove(self, name: str, reason: str) -> None:
        """Remove an upstream."""
        if self.table.remove(name) is not None:
            self.log.write("upstream_removed", upstream=name, reason=reason)

    def apply_change(self, item: StoredObject, object_status: ObjectStatus) -> None:
        """Apply a change of a registration; an invalid one removes the upstream."""
        if object_status is ObjectStatus.MAYBE_EXPIRED:
            self.schedule_removal(item.name)
            return
        if object_status is ObjectStatus.REMOVED or item.deleting:
            self.remove(item.name, "deregistered")
            return
        timer = self.removal_timers.pop(item.name, None)
        if timer is not None:
            timer.cancel()
        try:
            record = decode_upstream(item)
        except InvalidInputError as error:
            self.log.write("upstream_refused", upstream=item.name, error=str(error)[:200])
            self.remove(item.name, "unreadable")
            return
        now = asyncio.get_running_loop().time()
        if self.table.put(record, now):
            self.log.write(
                "upstream_registered",
                upstream=record.id,
                service=record.service,
                address=record.address,
                failure_domain=record.failure_domain,
                version=record.version,
                draining=record.draining,
                cold_s=record.cold_for,
                reclaimable=record.reclaimable,
                leaves_s=record.terminates_in,
                revision=item.revision,
            )


class EvacuationHandler(BaseKindHandler):
    """Follow the failure domains that are evacuated and get no requests."""

    def __init__(self, cluster_view: ClusterView, log: EventLog) -> None:
        self.cluster_view = cluster_view
        self.log = log

    def replace_all(self, objects: list[StoredObject], maybe_expired: bool) -> None:
        """Apply a complete listing of the evacuated failure domains."""
        present = {item.name for item in objects if not item.deleting}
        if present != self.cluster_view.evacuated:
            self.log.write("domains_out", failure_domains=sorted(present))
        self.cluster_view.evacuated = present
        self.cluster_view.evacuated_known = True

    def apply_change(self, item: StoredObject, object_status: ObjectStatus) -> None:
        """Evacuate a failure domain or return it to service."""
        out = object_status is ObjectStatus.PRESENT and not item.deleting
        self.log.write("domain", failure_domain=item.name, out=out, revision=item.revision)
        if out:
            self.cluster_view.evacuated.add(item.name)
        else:
            self.cluster_view.evacuated.discard(item.name)


class RolloutHandler(BaseKindHandler):
    """Follow the rollout orders."""

    def __init__(self, cluster_view: ClusterView, log: EventLog) -> None:
        self.cluster_view = cluster_view
        self.log = log

    def replace_all(self, objects: list[StoredObject], maybe_expired: bool) -> None:
        """Apply a complete listing of the orders."""
        present = {item.name for item in objects}
        for name in [name for name in self.cluster_view.rollouts if name not in present]:
            del self.cluster_view.rollouts[name]
        for item in objects:
            self.apply_change(item, ObjectStatus.PRESENT)
        self.cluster_view.rollouts_known = True

    def apply_change(self, item: StoredObject, object_status: ObjectStatus) -> None:
        """Apply a change of an order; an invalid one changes nothing."""
        if object_status is not ObjectStatus.PRESENT or item.deleting:
            self.cluster_view.rollouts.pop(item.name, None)
            return
        try:
            order = decode_rollout(item)
        except InvalidInputError as error:
            self.log.write("rollout_refused", service=item.name, error=str(error)[:200])
            return
        self.cluster_view.rollouts[item.name] = order
        self.log.write(
            "rollout",
            service=order.service,
            version=order.version,
            state=order.state,
            revision=order.revision,
        )
