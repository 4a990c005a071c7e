"""Tasks that follow the kinds of objects in the platform's store."""

__all__ = ["BaseKindHandler", "KindWatch"]

import asyncio

from tanagertrail.errors import PlatformError
from tanagertrail.gateway.clock import BootClock
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.platform.store import HistoryLostError, StoreClient, StoredObject

FIRST_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 0.8  # short against the bounds on how soon a change must be in force


class BaseKindHandler:
    """Contract of what follows a kind."""

    def replace_all(self, objects: list[StoredObject], recovered: bool) -> None:
        """Take all objects of the kind.

        :param recovered: whether the store could not be reached before
        """
        raise NotImplementedError

    def apply_change(self, item: StoredObject, deleted: bool) -> None:
        """Take a change of one object."""
        raise NotImplementedError

    def note_current(self, at: float) -> None:
        """Note that all changes up to a boot time in seconds are known."""


class KindWatch:
    """Follow one kind: list it, then wait for changes."""

    def __init__(
        self,
        store: StoreClient,
        kind: str,
        handler: BaseKindHandler,
        log: EventLog,
        boot_time: BootClock,
        wait: float,
    ) -> None:
        self.store = store
        self.kind = kind
        self.handler = handler
        self.log = log
        self.boot_time = boot_time
        self.wait = wait
        self.revision: int | None = None
        self.failures = 0
        self.failed_since = 0.0

    async def run(self) -> None:
        """Follow the kind until cancelled."""
        while True:
            try:
                await self.advance()
                self.note_success()
            except HistoryLostError:
                self.log.write("history_lost", kind=self.kind, revision=self.revision)
                self.revision = None
            except PlatformError as error:
                self.note_failure(error)
                pause = FIRST_PAUSE_SECONDS * 2 ** min(self.failures - 1, 4)
                await asyncio.sleep(min(pause, MAX_PAUSE_SECONDS))

    async def advance(self) -> None:
        """Make one call and apply what it brings."""
        sent_at = self.boot_time()
        if self.revision is None:
            listing = await self.store.list_kind(self.kind)
            self.handler.replace_all(listing.objects, self.failures > 0)
            self.revision = listing.revision
        else:
            answer = await self.store.watch_kind(self.kind, self.revision, self.wait)
            for item, deleted in answer.changes:
                self.handler.apply_change(item, deleted)
            self.revision = max(self.revision, answer.revision)
        self.handler.note_current(sent_at)

    def note_failure(self, error: PlatformError) -> None:
        """Log the first failure of a series."""
        if self.failures == 0:
            self.failed_since = self.boot_time()
            self.log.write("store_lost", kind=self.kind, error=str(error)[:200])
        self.failures += 1

    def note_success(self) -> None:
        """Log the end of a series of failures."""
        if self.failures:
            away = round(self.boot_time() - self.failed_since, 3)
            self.log.write("store_regained", kind=self.kind, away_s=away, failures=self.failures)
        self.failures = 0
