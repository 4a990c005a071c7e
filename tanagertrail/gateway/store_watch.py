"""Tasks that follow the kinds of objects in the platform's store."""

__all__ = ["KindWatch", "StoreBackoff", "WatchTiming", "WatchRole"]

import asyncio
import random
from collections.abc import Callable
from typing import NamedTuple

from tanagertrail.errors import PlatformError
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.mirror import KindMirror
from tanagertrail.platform.store import HistoryLostError, StoreClient

FIRST_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 0.8  # short against the bounds on how soon a change must be in force
LOOK_SECONDS = 0.2
STANDBY_SECONDS = 0.2  # by which a standby steps in before all others
STEP_IN_SECONDS = 0.2  # span over which the others step in, so that they do not all do
SHORTEST_LOOK_SECONDS = 0.01
MISSED_SECONDS = 1.0  # by which the answer to a call is late when the store is taken as lost
BATCH_SECONDS = 0.1  # changes that come within this span are fetched together


class WatchTiming(NamedTuple):
    """How a kind is followed.

    :ivar wait: seconds for which one call waits for changes, at most
    :ivar patience: age in seconds of what is known beyond which any daemon asks the store
    """

    wait: float
    patience: float


class WatchRole(NamedTuple):
    """What a daemon does to follow the store for all.

    :ivar follows: whether it follows the store, as nobody before it does
    :ivar standby: whether it steps in first
    :ivar spread: seconds in which what a watcher knows is told to all daemons
    """

    follows: bool
    standby: bool
    spread: float


class StoreBackoff:
    """Lets one of a daemon's watches try a store that fails, and all once it has answered.

    Answers an outage at hundreds of daemons: six watches of each that try on by themselves are a
    load of their own on a store that comes back.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.failures = 0
        self.next_at = 0.0

    def find_wait(self, now: float) -> float:
        """Return the seconds until a watch may ask, 0 for now."""
        return max(self.next_at - now, 0.0) if self.failures else 0.0

    def claim(self, now: float) -> None:
        """Note that a watch asks, so that no other one does while the store fails."""
        if self.failures:
            self.next_at = now + MAX_PAUSE_SECONDS

    def note_failure(self, now: float) -> None:
        """Take a failed call."""
        pause = FIRST_PAUSE_SECONDS * 2 ** min(self.failures, 4)
        self.failures += 1
        self.next_at = now + min(pause, MAX_PAUSE_SECONDS) * self.rng.uniform(0.8, 1.2)

    def note_success(self) -> None:
        """Take an answer."""
        self.failures = 0


class KindWatch:
    """Follow one kind for all daemons, or step in when nobody else seems to."""

    def __init__(
        self,
        store: StoreClient,
        mirror: KindMirror,
        log: EventLog,
        rng: random.Random,
        pace: WatchTiming,
        get_role: Callable[[], WatchRole],
        on_change: Callable[[], None],
        gate: StoreBackoff | None = None,
    ) -> None:
        self.gate = gate or StoreBackoff(rng)
        self.store = store
        self.mirror = mirror
        self.log = log
        self.rng = rng
        self.pace = pace
        self.get_role = get_role
        self.on_change = on_change
        self.answered_at = float("-inf")
        self.last_wait = 0.0
        self.failures = 0
        self.failed_since = 0.0
        self.relist = False
        self.step_in_share = rng.random()

    async def run(self) -> None:
        """Follow the kind until cancelled."""
        while True:
            due = self.find_due()
            due = max(due, self.gate.find_wait(self.mirror.boot_time()))
            if due > 0:
                await asyncio.sleep(min(max(due, SHORTEST_LOOK_SECONDS), LOOK_SECONDS))
                continue
            self.gate.claim(self.mirror.boot_time())
            self.step_in_share = self.rng.random()
            try:
                await self.advance()
                self.note_success()
            except HistoryLostError:
                self.log.write("history_lost", kind=self.mirror.kind, revision=self.mirror.revision)
                self.relist = True
                self.gate.note_success()
            except PlatformError as error:
                self.note_failure(error)

    def must_ask(self) -> bool:
        """Say whether this daemon asks the store now."""
        return self.find_due() <= 0

    def find_due(self) -> float:
        """Return the seconds after which this daemon asks the store if it hears nothing."""
        role = self.get_role()
        if role.follows:
            return 0.0
        later = 0.0
        if not role.standby:
            later = STANDBY_SECONDS + STEP_IN_SECONDS * self.step_in_share
        return self.pace.patience + later - self.mirror.age

    @property
    def answered(self) -> bool:
        """Say whether the store has answered this daemon lately."""
        silent = self.mirror.boot_time() - self.answered_at
        return silent < self.last_wait + MISSED_SECONDS

    def choose_wait(self) -> float:
        """Return the seconds for which the next call waits.

        What is not fresh is proved by an answer at once, not after a wait, and so is the return of
        a store that has failed.
        """
        if self.gate.failures or self.mirror.age >= self.pace.patience:
            return 0.0
        return min(self.pace.wait, max(self.pace.patience - self.get_role().spread, LOOK_SECONDS))

    async def advance(self) -> None:
        """Make one call and take what it brings."""
        sent_at = self.mirror.boot_time()
        changed = False
        if self.relist or self.mirror.revision == 0:
            listing = await self.store.list_kind(self.mirror.kind)
            changed = self.mirror.apply_listing(listing, sent_at)
            self.relist = False
        else:
            wait = self.last_wait = self.choose_wait()
            answer = await self.store.watch_kind(self.mirror.kind, self.mirror.revision, wait)
            # No changes within a wait prove what is known up to the end of the wait.
            waited = wait if not answer.changes and self.outlasted(sent_at, wait) else 0.0
            changed = self.mirror.apply_watch(answer, sent_at + waited)
        if changed:
            self.on_change()
            await asyncio.sleep(BATCH_SECONDS)

    def outlasted(self, sent_at: float, wait: float) -> bool:
        """Say whether a call took as long as it was to wait."""
        return self.mirror.boot_time() - sent_at >= wait

    def note_failure(self, error: PlatformError) -> None:
        """Log the first failure of a series."""
        if self.failures == 0:
            self.failed_since = self.mirror.boot_time()
            self.log.write("store_lost", kind=self.mirror.kind, error=str(error)[:200])
        self.failures += 1
        self.gate.note_failure(self.mirror.boot_time())

    def note_success(self) -> None:
        """Note an answer, and log the end of a series of failures."""
        self.answered_at = self.mirror.boot_time()
        self.gate.note_success()
        if self.failures:
            away = round(self.mirror.boot_time() - self.failed_since, 3)
            self.log.write(
                "store_regained", kind=self.mirror.kind, away_s=away, failures=self.failures
            )
        self.failures = 0
