"""Mirrors and watches of all kinds of stored objects that a daemon follows."""

__all__ = ["CONFIG_STALENESS_SHARE", "DRAIN_STALENESS_SHARE", "StoreFollower"]

import asyncio
import random
from collections.abc import Callable
from functools import partial

from tanagertrail.gateway.clock import read_boot_time
from tanagertrail.gateway.cluster_view import ClusterView
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.handlers import (
    KEPT_CONFIG_KIND,
    ConfigHandler,
    EvacuationHandler,
    KeptConfigHandler,
    UpstreamHandler,
)
from tanagertrail.gateway.members import MEMBERS_KIND, MemberHandler, MemberTable
from tanagertrail.gateway.mirror import BaseKindHandler, KindMirror
from tanagertrail.gateway.model import SharedBounds
from tanagertrail.gateway.peer_contact import PeerContact
from tanagertrail.gateway.quarantine import QUARANTINE_KIND, QuarantineHandler
from tanagertrail.gateway.refusals import RefusalLog
from tanagertrail.gateway.rollout_handler import RolloutHandler
from tanagertrail.gateway.store_watch import KindWatch, StoreBackoff, WatchRole, WatchTiming
from tanagertrail.gateway.suspects import SuspectTracker
from tanagertrail.platform.records import CONFIGURATION, EVACUATIONS, UPSTREAMS
from tanagertrail.platform.rollout_records import ROLLOUTS
from tanagertrail.platform.store import StoreClient, StoredObject, get_era

CONFIG_STALENESS_SHARE = 0.68  # of the bound on applying a new configuration
DRAIN_STALENESS_SHARE = 0.68  # of the bound on draining an upstream
ORDER_STALENESS_SHARE = 0.78  # of the bound on evacuating a failure domain
MAX_WAIT_SECONDS = 2.0  # of one watch call for changes
RARE_TIMING = WatchTiming(8.0, 12.0)  # for kinds whose changes are not urgent


class StoreFollower:
    """Follow the store's objects, also when it comes back from an older copy.

    :ivar mirrors: mirrors by kind, also those that only other daemons update
    :ivar watches: watches of the kinds that the store has
    :ivar era: newest era of the store that was handled
    :ivar contact: when other daemons were heard
    :ivar refusals: stored objects that cannot be used
    :ivar get_watch_role: returns the daemon's part in watching the store
    :ivar on_change: called after a watch has changed a mirror
    :ivar on_config_kept: called when a restored store has an older configuration than is in force
    :ivar on_restored: called once for each time that the store came back from an older copy
    """

    def __init__(
        self,
        store: StoreClient,
        cluster_view: ClusterView,
        members: MemberTable,
        suspects: SuspectTracker,
        log: EventLog,
        rng: random.Random,
    ) -> None:
        self.store = store
        self.cluster_view = cluster_view
        self.members = members
        self.log = log
        self.rng = rng
        self.backoff = StoreBackoff(rng)
        self.mirrors: dict[str, KindMirror] = {}
        self.watches: list[KindWatch] = []
        self.era = 0
        self.contact = PeerContact(read_boot_time)
        self.refusals = RefusalLog(log)
        self.config_handler = ConfigHandler(cluster_view, log, self.refusals)
        self.quarantine_handler = QuarantineHandler(suspects)
        self.get_watch_role: Callable[[], WatchRole] = lambda: WatchRole(True, False, 0.0)
        self.on_change: Callable[[], None] = lambda: None
        self.on_config_kept: Callable[[], None] = lambda: None
        self.on_restored: Callable[[], None] = lambda: None
        store.on_restored = self.note_era
        store.on_refused = self.refusals.note

    def build_watches(self, bounds: SharedBounds) -> list[KindWatch]:
        """Build the mirrors, and return the watches that are to be run.

        :param bounds: limits on how late changes may take effect
        """
        config_timing = WatchTiming(MAX_WAIT_SECONDS, CONFIG_STALENESS_SHARE * bounds.config_apply)
        upstream_timing = WatchTiming(MAX_WAIT_SECONDS, DRAIN_STALENESS_SHARE * bounds.drain)
        order_timing = WatchTiming(MAX_WAIT_SECONDS, ORDER_STALENESS_SHARE * bounds.evacuate)
        view, log, refusals = self.cluster_view, self.log, self.refusals
        member_handler = MemberHandler(self.members, asyncio.get_running_loop().time, refusals)
        self.add_watch(CONFIGURATION, self.config_handler, config_timing)
        self.share_kept_config()
        self.add_watch(UPSTREAMS, UpstreamHandler(view, log, refusals), upstream_timing)
        self.add_watch(EVACUATIONS, EvacuationHandler(view, log), order_timing)
        self.add_watch(ROLLOUTS, RolloutHandler(view, log, refusals), order_timing)
        self.add_watch(MEMBERS_KIND, member_handler, RARE_TIMING)
        self.add_watch(QUARANTINE_KIND, self.quarantine_handler, RARE_TIMING)
        return self.watches

    def add_watch(self, kind: str, handler: BaseKindHandler, timing: WatchTiming) -> None:
        """Add the mirror and the watch of a kind of stored objects."""
        mirror = self.mirrors[kind] = KindMirror(kind, handler, read_boot_time)
        mirror.on_refused = partial(self.refusals.note, kind)
        mirror.was_cut_off = self.contact.was_cut_off
        mirror.on_restored = lambda former, revision: self.note_era(
            get_era(former), get_era(revision)
        )
        watch = KindWatch(
            self.store,
            mirror,
            self.log,
            self.rng,
            timing,
            self.get_watch_role,
            self.on_change,
            self.backoff,
        )
        self.watches.append(watch)

    def share_kept_config(self) -> None:
        """Tell other daemons the version in force when a restored store has an older one.

        Its version takes the place of a revision, since it comes from no listing of the store.
        """
        mirror = KindMirror(
            KEPT_CONFIG_KIND, KeptConfigHandler(self.config_handler), read_boot_time
        )
        mirror.on_refused = partial(self.refusals.note, KEPT_CONFIG_KIND)
        self.mirrors[KEPT_CONFIG_KIND] = mirror

        def keep(version: int, item: StoredObject) -> None:
            mirror.replace([item], version, False)
            self.on_config_kept()

        self.config_handler.on_kept = keep

    def note_era(self, former: int, era: int) -> None:
        """Handle once that the store came back from an older copy.

        :param former: era of what was known before
        """
        if era <= self.era:
            return
        self.era = era
        self.store.era = max(era, self.store.era or 0)
        config = self.cluster_view.config
        self.log.write(
            "store_restored",
            former_era=former,
            era=era,
            config=config.version if config else 0,
            revisions={kind: mirror.revision for kind, mirror in self.mirrors.items()},
            quarantines=len(self.quarantine_handler.names),
        )
        self.on_restored()
