"""Tasks that follow the kinds of objects in the platform's store."""

__all__ = ["KindWatch"]

import asyncio
import random
from collections.abc import Callable

from tanagertrail.errors import PlatformError
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.mirror import KindMirror
from tanagertrail.platform.store import HistoryLostError, StoreClient

FIRST_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 0.8  # short against the bounds on how soon a change must be in force
LOOK_SECONDS = 0.2
STEP_IN_SECONDS = 0.8  # span over which daemons step in, so that they do not all do


class KindWatch:
    """Follow one kind for all daemons, or step in when nobody else seems to.

    :ivar wait: seconds for which one call waits for changes
    :ivar patience: age of the mirror in seconds beyond which this daemon steps in
    """

    def __init__(
        self,
        store: StoreClient,
        mirror: KindMirror,
        log: EventLog,
        rng: random.Random,
        wait: float,
        patience: float,
        is_watcher: Callable[[], bool],
        on_change: Callable[[], None],
    ) -> None:
        self.store = store
        self.mirror = mirror
        self.log = log
        self.rng = rng
        self.wait = wait
        self.patience = patience
        self.is_watcher = is_watcher
        self.on_change = on_change
        self.failures = 0
        self.failed_since = 0.0
        self.relist = False

    async def run(self) -> None:
        """Follow the kind until cancelled."""
        while True:
            limit = self.patience + STEP_IN_SECONDS * self.rng.random()
            if not self.is_watcher() and self.mirror.age < limit:
                await asyncio.sleep(LOOK_SECONDS)
                continue
            try:
                await self.advance()
                self.note_success()
            except HistoryLostError:
                self.log.write("history_lost", kind=self.mirror.kind, revision=self.mirror.revision)
                self.relist = True
            except PlatformError as error:
                self.note_failure(error)
                pause = FIRST_PAUSE_SECONDS * 2 ** min(self.failures - 1, 4)
                await asyncio.sleep(min(pause, MAX_PAUSE_SECONDS) * self.rng.uniform(0.8, 1.2))

    async def advance(self) -> None:
        """Make one call and take what it brings."""
        sent_at = self.mirror.boot_time()
        if self.relist or self.mirror.revision == 0:
            listing = await self.store.list_kind(self.mirror.kind)
            changed = self.mirror.take_listing(listing, sent_at)
            self.relist = False
        else:
            # A mirror that is not fresh is proved by an answer at once, not after a wait.
            wait = self.wait if self.mirror.age < self.patience else 0.0
            revision = self.mirror.revision
            answer = await self.store.watch_kind(self.mirror.kind, revision, wait)
            changed = self.mirror.take_answer(answer, sent_at)
        if changed:
            self.on_change()

    def note_failure(self, error: PlatformError) -> None:
        """Log the first failure of a series."""
        if self.failures == 0:
            self.failed_since = self.mirror.boot_time()
            self.log.write("store_lost", kind=self.mirror.kind, error=str(error)[:200])
        self.failures += 1

    def note_success(self) -> None:
        """Log the end of a series of failures."""
        if self.failures:
            away = round(self.mirror.boot_time() - self.failed_since, 3)
            self.log.write(
                "store_regained", kind=self.mirror.kind, away_s=away, failures=self.failures
            )
        self.failures = 0
