"""Quarantined requests in the store, where they outlive the daemons that found them."""

__all__ = ["QUARANTINE_KIND", "QuarantineHandler", "QuarantineStore"]

import asyncio
import random
from collections.abc import Callable

from tanagertrail.errors import ConflictError, PlatformError
from tanagertrail.gateway.clock import read_wall_time
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.mirror import BaseKindHandler, KindMirror, ObjectStatus
from tanagertrail.gateway.suspects import SuspectTracker
from tanagertrail.platform.store import StoreClient, StoredObject
from tanagertrail.policy.poison import QUARANTINE_SECONDS

QUARANTINE_KIND = "tanagertrail-quarantine"
SPREAD_SECONDS = 0.1  # daemons find the same at one moment; one of them is to write it
RETRY_SECONDS = 0.5
SWEEP_SECONDS = 60.0
MOST_TRIES = 20  # to store one quarantine; the other daemons have counted the same losses


class QuarantineHandler(BaseKindHandler):
    """Follow the quarantined requests; an operator lifts one by removing its object."""

    def __init__(self, suspects: SuspectTracker) -> None:
        self.suspects = suspects
        self.names: set[str] = set()

    def replace_all(self, objects: list[StoredObject], maybe_expired: bool) -> None:
        """Take all quarantined requests."""
        present = {item.name for item in objects if not item.deleting}
        for name in self.names - present:
            self.suspects.lift_quarantine(name)
        for name in present:
            self.suspects.note_quarantine(name)
        self.names = present

    def apply_change(self, item: StoredObject, object_status: ObjectStatus) -> None:
        """Take one request in or out of quarantine."""
        if object_status is ObjectStatus.PRESENT and not item.deleting:
            self.names.add(item.name)
            self.suspects.note_quarantine(item.name)
        else:
            self.names.discard(item.name)
            self.suspects.lift_quarantine(item.name)

    def on_synced(self, as_of: float) -> None:
        """Do nothing: a quarantine holds however old the knowledge of it is."""


class QuarantineStore:
    """Store the quarantines that this daemon found, and remove those that are over."""

    def __init__(
        self, store: StoreClient, mirror: KindMirror, daemon: str, log: EventLog, rng: random.Random
    ) -> None:
        self.store = store
        self.mirror = mirror
        self.daemon = daemon
        self.log = log
        self.rng = rng
        self.tasks: set[asyncio.Task] = set()

    def start_storing(self, fingerprint: str) -> None:
        """Store a quarantine soon, unless another daemon does."""
        task = asyncio.create_task(self.store_quarantine(fingerprint))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def store_quarantine(self, fingerprint: str) -> None:
        """Store a quarantine unless it is stored already."""
        await asyncio.sleep(self.rng.uniform(0.0, SPREAD_SECONDS))
        content = {"daemon": self.daemon, "at": read_wall_time()}
        for _ in range(MOST_TRIES):
            if fingerprint in self.mirror.objects:
                return
            try:
                await self.store.create(QUARANTINE_KIND, fingerprint, content)
                return
            except ConflictError:
                return
            except PlatformError as error:
                self.log.write_routine("quarantine_not_stored", error=str(error)[:120])
                await asyncio.sleep(RETRY_SECONDS)

    async def run(self, is_leading: Callable[[], bool]) -> None:
        """Remove quarantines that are over until cancelled.

        :param is_leading: whether this daemon holds the duties
        """
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            if not is_leading():
                continue
            try:
                await self.remove_old()
            except PlatformError as error:
                self.log.write("duty_failed", error=str(error)[:200])

    async def remove_old(self) -> None:
        """Remove the quarantines that are over.

        :raises PlatformError: if the store is away
        """
        oldest = read_wall_time() - QUARANTINE_SECONDS
        for item in list(self.mirror.objects.values()):
            since = item.content.get("at") if isinstance(item.content, dict) else None
            if not isinstance(since, int | float) or since < oldest:
                await self.store.delete(QUARANTINE_KIND, item.name, item.revision)

    def close(self) -> None:
        """Stop storing."""
        for task in self.tasks:
            task.cancel()
