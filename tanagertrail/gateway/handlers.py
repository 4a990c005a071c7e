"""Handlers that apply changes of stored objects to a daemon's view of the cluster."""

__all__ = [
    "ConfigHandler",
    "KEPT_CONFIG_KIND",
    "EvacuationHandler",
    "KeptConfigHandler",
    "UpstreamHandler",
]

import asyncio
from collections import OrderedDict
from collections.abc import Callable

from tanagertrail.errors import InvalidInputError
from tanagertrail.gateway.cluster_view import ClusterView
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.mirror import REREGISTRATION_SECONDS, BaseKindHandler, ObjectStatus
from tanagertrail.gateway.refusals import RefusalLog
from tanagertrail.platform.records import (
    CONFIGURATION,
    UPSTREAMS,
    decode_configuration,
    decode_upstream,
)
from tanagertrail.platform.store import StoredObject

MAIN_CONFIG = "main"
# The operator writes again what a restored store has lost.
OPERATOR_REWRITE_SECONDS = 5.0
# Entries of upstreams that live no more lapse after three heartbeats of 1.2 s.
RESTORED_LAPSE_SECONDS = 5.0
MAX_REMOVED_NAMES = 4096
KEPT_CONFIG_KIND = "kept-configuration"


class ConfigHandler(BaseKindHandler):
    """Follow the operator's configuration.

    :ivar is_latest_unreadable: whether the newest stored version could not be decoded
    :ivar item_in_force: stored object of the version in force
    :ivar stored_version: version that the store had last
    :ivar on_kept: called with the version in force and its object when a restored store has an
        older one
    """

    def __init__(
        self, cluster_view: ClusterView, log: EventLog, refusals: RefusalLog | None = None
    ) -> None:
        self.cluster_view = cluster_view
        self.log = log
        self.refusals = refusals or RefusalLog(log)
        self.is_latest_unreadable = False
        self.item_in_force: StoredObject | None = None
        self.stored_version = 0
        self.on_kept: Callable[[int, StoredObject], None] = lambda version, item: None

    def replace_all(self, objects: list[StoredObject], maybe_expired: bool) -> None:
        """Apply the stored configuration."""
        for item in objects:
            self.apply_change(item, ObjectStatus.PRESENT)

    def replace_restored(self, objects: list[StoredObject]) -> None:
        """Apply the stored configuration unless it is older than the one in force."""
        self.stored_version = 0
        self.replace_all(objects, True)
        config = self.cluster_view.config
        if self.item_in_force is None or self.stored_version >= config.version:
            return
        version = config.version
        self.log.write("config_kept", version=version, stored=self.stored_version)
        self.on_kept(version, self.item_in_force)

    def apply_change(self, item: StoredObject, object_status: ObjectStatus) -> None:
        """Apply a new version; an invalid one or a deletion changes nothing."""
        if item.name != MAIN_CONFIG or object_status is not ObjectStatus.PRESENT:
            return
        try:
            config = decode_configuration(item.content)
        except InvalidInputError as error:
            self.is_latest_unreadable = True
            self.refusals.write("config_refused", CONFIGURATION, item.name, item.revision, error)
            return
        self.is_latest_unreadable = False
        self.stored_version = config.version
        if self.cluster_view.apply_config(config):
            self.item_in_force = item
            self.log.write("config_in_force", version=config.version, revision=item.revision)

    def on_synced(self, as_of: float) -> None:
        """Record when the version in force was last known to be the newest."""
        if self.cluster_view.config is not None and not self.is_latest_unreadable:
            self.cluster_view.config_confirmed_at = as_of


class KeptConfigHandler(BaseKindHandler):
    """Follow the version that other daemons keep in force though a restored store has lost it."""

    def __init__(self, config_handler: ConfigHandler) -> None:
        self.config_handler = config_handler

    def replace_all(self, objects: list[StoredObject], maybe_expired: bool) -> None:
        """Apply the version that is kept."""
        self.config_handler.replace_all(objects, maybe_expired)

    def apply_change(self, item: StoredObject, object_status: ObjectStatus) -> None:
        """Apply the version that is kept."""
        self.config_handler.apply_change(item, object_status)

    def on_synced(self, as_of: float) -> None:
        """Do nothing: only the store shows which version is the newest."""


class UpstreamHandler(BaseKindHandler):
    """Follow the registrations of upstreams.

    :ivar removal_timers: pending removals of upstreams whose registration may have expired
    :ivar removed: start time of upstreams that were deregistered, the newest last
    :ivar doubtful: entries of a restored store that contradict what was known before
    :ivar returns_by: boot time in seconds by which upstreams are back whose registrations have
        expired, None before any outage
    """

    def __init__(
        self, cluster_view: ClusterView, log: EventLog, refusals: RefusalLog | None = None
    ) -> None:
        self.cluster_view = cluster_view
        self.log = log
        self.refusals = refusals or RefusalLog(log)
        self.removal_timers: dict[str, asyncio.TimerHandle] = {}
        self.removed: OrderedDict[str, float] = OrderedDict()
        self.doubtful: dict[str, StoredObject] = {}
        self.returns_by: float | None = None
        self.doubtful_timer: asyncio.TimerHandle | None = None

    @property
    def table(self):
        """Return the table of upstreams."""
        return self.cluster_view.upstreams

    def replace_all(self, objects: list[StoredObject], maybe_expired: bool) -> None:
        """Apply a complete listing; after an outage, missing upstreams may register again."""
        self.doubtful = {
            item.name: item for item in objects if self.doubtful.get(item.name) == item
        }
        objects = [item for item in objects if item.name not in self.doubtful]
        present = {item.name for item in objects} | self.doubtful.keys()
        for name in [name for name in self.table.entries if name not in present]:
            if maybe_expired:
                self.schedule_removal(name)
            else:
                self.remove(name, "not listed")
        for item in objects:
            self.apply_change(item, ObjectStatus.PRESENT)
        self.cluster_view.upstreams_known = True

    def replace_restored(self, objects: list[StoredObject]) -> None:
        """Apply a restored listing without what is known to have left, drained or started again.

        An entry that still stands when those of dead upstreams have lapsed is that of a live one.
        """
        self.doubtful = {item.name: item for item in objects if self.contradicts_known(item)}
        self.replace_all(objects, True)
        if self.doubtful_timer is not None:
            self.doubtful_timer.cancel()
        if self.doubtful:
            self.log.write("upstreams_doubtful", upstreams=sorted(self.doubtful))
            self.doubtful_timer = asyncio.get_running_loop().call_later(
                RESTORED_LAPSE_SECONDS, self.accept_doubtful
            )

    def contradicts_known(self, item: StoredObject) -> bool:
        """Return whether an entry shows an upstream before it left, drained or started again."""
        try:
            record = decode_upstream(item)
        except InvalidInputError:
            return False
        entry = self.table.entries.get(item.name)
        if entry is None:
            return self.removed.get(item.name) == record.born
        if record.born != entry.record.born:
            return record.born < entry.record.born
        return entry.record.draining and not record.draining

    def accept_doubtful(self) -> None:
        """Apply the doubtful entries that still stand."""
        doubtful, self.doubtful = self.doubtful, {}
        for item in doubtful.values():
            self.apply_change(item, ObjectStatus.PRESENT)

    def schedule_removal(self, name: str) -> None:
        """Remove an upstream unless it registers again in time."""
        if name not in self.removal_timers:
            seconds = REREGISTRATION_SECONDS
            if self.returns_by is not None:
                seconds = max(self.returns_by - self.cluster_view.boot_time(), 0.0)
            loop = asyncio.get_running_loop()
            self.removal_timers[name] = loop.call_later(seconds, self.remove_missing, name)
            self.log.write("upstream_missing", upstream=name, kept_s=round(seconds, 3))

    def note_outage(self, returns_by: float) -> None:
        """Keep upstreams that are missing after an outage until live ones are back."""
        self.returns_by = returns_by

    def remove_missing(self, name: str) -> None:
        """Remove an upstream that has not registered again."""
        self.removal_timers.pop(name, None)
        self.remove(name, "has not returned")

    def cancel_removal(self, name: str) -> None:
        """Keep an upstream whose removal was scheduled."""
        timer = self.removal_timers.pop(name, None)
        if timer is not None:
            timer.cancel()

    def remove(self, name: str, reason: str) -> None:
        """Remove an upstream."""
        entry = self.table.remove(name)
        if entry is None:
            return
        self.removed[name] = entry.record.born
        self.removed.move_to_end(name)
        if len(self.removed) > MAX_REMOVED_NAMES:
            self.removed.popitem(last=False)
        self.log.write("upstream_removed", upstream=name, reason=reason)

    def apply_change(self, item: StoredObject, object_status: ObjectStatus) -> None:
        """Apply a change of a registration; an invalid one removes the upstream."""
        self.doubtful.pop(item.name, None)
        if object_status is ObjectStatus.MAYBE_EXPIRED:
            self.schedule_removal(item.name)
            return
        if object_status is ObjectStatus.REMOVED or item.deleting:
            self.remove(item.name, "deregistered")
            return
        self.cancel_removal(item.name)
        try:
            record = decode_upstream(item)
        except InvalidInputError as error:
            self.refusals.write(
                "upstream_refused", UPSTREAMS, item.name, item.revision, error, upstream=item.name
            )
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
    """Follow the failure domains that are evacuated and get no requests.

    :ivar return_timers: pending ends of evacuations that a restored store has lost
    """

    def __init__(self, cluster_view: ClusterView, log: EventLog) -> None:
        self.cluster_view = cluster_view
        self.log = log
        self.return_timers: dict[str, asyncio.TimerHandle] = {}

    def replace_restored(self, objects: list[StoredObject]) -> None:
        """Apply a restored listing; evacuations that it lacks go on until they may be written."""
        missing = self.cluster_view.evacuated - {item.name for item in objects}
        self.replace_all(objects, True)
        for name in missing:
            self.cluster_view.evacuated.add(name)
            self.cancel_end(name)
            self.log.write("domain_kept", failure_domain=name, kept_s=OPERATOR_REWRITE_SECONDS)
            self.return_timers[name] = asyncio.get_running_loop().call_later(
                OPERATOR_REWRITE_SECONDS, self.end_lost, name
            )

    def cancel_end(self, name: str) -> None:
        """Keep an evacuation whose end was scheduled."""
        timer = self.return_timers.pop(name, None)
        if timer is not None:
            timer.cancel()

    def end_lost(self, name: str) -> None:
        """End an evacuation that was not written again."""
        self.return_timers.pop(name, None)
        self.cluster_view.evacuated.discard(name)
        self.log.write("domain", failure_domain=name, out=False, revision=0)

    def replace_all(self, objects: list[StoredObject], maybe_expired: bool) -> None:
        """Apply a complete listing of the evacuated failure domains."""
        present = {item.name for item in objects if not item.deleting}
        for name in present:
            self.cancel_end(name)
        if present != self.cluster_view.evacuated:
            self.log.write("domains_out", failure_domains=sorted(present))
        self.cluster_view.evacuated = present
        self.cluster_view.evacuated_known = True

    def apply_change(self, item: StoredObject, object_status: ObjectStatus) -> None:
        """Evacuate a failure domain or return it to service."""
        self.cancel_end(item.name)
        out = object_status is ObjectStatus.PRESENT and not item.deleting
        self.log.write("domain", failure_domain=item.name, out=out, revision=item.revision)
        if out:
            self.cluster_view.evacuated.add(item.name)
        else:
            self.cluster_view.evacuated.discard(item.name)
