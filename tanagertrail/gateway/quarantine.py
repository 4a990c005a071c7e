"""Quarantines of requests and prompt parts in the store, where they outlive the daemons."""

__all__ = ["QUARANTINE_KIND", "QuarantineHandler", "QuarantineStore"]

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

from tanagertrail.decoding import MAX_UNIX_MILLISECONDS
from tanagertrail.errors import ConflictError, PlatformError
from tanagertrail.gateway.clock import read_wall_time
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.mirror import BaseKindHandler, KindMirror, ObjectStatus
from tanagertrail.gateway.suspects import SuspectTracker
from tanagertrail.platform.store import StoreClient, StoredObject
from tanagertrail.policy.poison import QUARANTINE_SECONDS

QUARANTINE_KIND = "tanagertrail-quarantine"
STORE_JITTER_SECONDS = 0.1  # daemons reach the same verdict at once, and only one needs to write
STORE_RETRY_SECONDS = 0.5
CLEANUP_PERIOD_SECONDS = 60.0
MAX_STORE_ATTEMPTS = 20  # the other daemons count the same losses and store it too


class QuarantineHandler(BaseKindHandler):
    """Apply the stored quarantines; an operator lifts one by deleting its object.

    :ivar names: names of the quarantines that apply
    :ivar on_lost: called with the name of a quarantine that a restored store lacks
    """

    def __init__(self, suspects: SuspectTracker) -> None:
        self.suspects = suspects
        self.names: set[str] = set()
        self.on_lost: Callable[[str], None] = lambda name: None

    def replace_restored(self, objects: list[StoredObject]) -> None:
        """Apply a restored listing, and have the quarantines stored again that it lacks."""
        lost = self.names - {item.name for item in objects}
        self.names -= lost
        self.replace_all(objects, True)
        self.names |= lost
        for name in sorted(lost):
            self.on_lost(name)

    def replace_all(self, objects: list[StoredObject], maybe_expired: bool) -> None:
        """Replace the known quarantines by those of a complete listing."""
        present = {item.name for item in objects if not item.deleting}
        for name in self.names - present:
            self.suspects.lift_quarantine(name)
        for name in present:
            self.suspects.note_quarantine(name)
        self.names = present

    def apply_change(self, item: StoredObject, object_status: ObjectStatus) -> None:
        """Start or lift one quarantine."""
        if object_status is ObjectStatus.PRESENT and not item.deleting:
            self.names.add(item.name)
            self.suspects.note_quarantine(item.name)
        else:
            self.names.discard(item.name)
            self.suspects.lift_quarantine(item.name)

    def on_synced(self, as_of: float) -> None:
        """Do nothing: a quarantine applies even if the mirror is out of date."""


def read_start(content: Any) -> float | None:
    """Read the Unix time in seconds at which a quarantine began, None if it is malformed."""
    since = content.get("at") if isinstance(content, dict) else None
    is_number = isinstance(since, int | float) and not isinstance(since, bool)
    return float(since) if is_number and abs(since) <= MAX_UNIX_MILLISECONDS else None


class QuarantineStore:
    """Store the quarantines that this daemon imposes, and remove expired ones.

    :ivar adopt_task: called with the name and each task, to log its failure
    """

    def __init__(
        self, store: StoreClient, mirror: KindMirror, daemon: str, log: EventLog, rng: random.Random
    ) -> None:
        self.store = store
        self.mirror = mirror
        self.daemon = daemon
        self.log = log
        self.rng = rng
        self.tasks: set[asyncio.Task] = set()
        self.adopt_task: Callable[[str, asyncio.Task], object] = lambda name, task: None

    def start_storing(self, name: str) -> None:
        """Start a task that stores a quarantine unless another daemon does first."""
        self.start_task(self.store_quarantine(name))

    def start_task(self, work: Coroutine[Any, Any, None]) -> None:
        """Start a task that ends by itself."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        self.adopt_task("quarantine", task)

    async def store_quarantine(self, name: str) -> None:
        """Store a quarantine after a random delay, unless it is stored by then."""
        await asyncio.sleep(self.rng.uniform(0.0, STORE_JITTER_SECONDS))
        content = {"daemon": self.daemon, "at": read_wall_time()}
        for _ in range(MAX_STORE_ATTEMPTS):
            if name in self.mirror.objects:
                return
            try:
                await self.store.create(QUARANTINE_KIND, name, content)
                return
            except ConflictError:
                return
            except PlatformError as error:
                self.log.write_routine("quarantine_not_stored", error=str(error)[:120])
                await asyncio.sleep(STORE_RETRY_SECONDS)

    def start_removing(self, name: str) -> None:
        """Start a task that removes a quarantine that was refuted."""
        self.start_task(self.remove_quarantine(name))

    async def remove_quarantine(self, name: str) -> None:
        """Remove a quarantine from the store, unless another daemon does first."""
        for _ in range(MAX_STORE_ATTEMPTS):
            item = self.mirror.objects.get(name)
            if item is None:
                return
            try:
                await self.store.delete(QUARANTINE_KIND, name, item.revision)
                return
            except ConflictError:
                return
            except PlatformError as error:
                self.log.write_routine("quarantine_not_removed", error=str(error)[:120])
                await asyncio.sleep(STORE_RETRY_SECONDS)

    async def run(self, is_leading: Callable[[], bool]) -> None:
        """Remove expired quarantines periodically until cancelled.

        :param is_leading: returns whether this daemon holds the lease
        """
        while True:
            await asyncio.sleep(CLEANUP_PERIOD_SECONDS)
            if not is_leading():
                continue
            try:
                await self.remove_expired()
            except PlatformError as error:
                self.log.write("duty_failed", error=str(error)[:200])

    async def remove_expired(self) -> None:
        """Remove expired and malformed quarantines from the store.

        :raises PlatformError: if the store is unavailable
        """
        now = read_wall_time()
        for item in list(self.mirror.objects.values()):
            since = read_start(item.content)
            if since is None or abs(now - since) > QUARANTINE_SECONDS:
                await self.store.delete(QUARANTINE_KIND, item.name, item.revision)

    def close(self) -> None:
        """Cancel the tasks that store quarantines."""
        for task in self.tasks:
            task.cancel()
