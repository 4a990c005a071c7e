"""Watches of the platform's store, shared between the daemons of a fleet."""

__all__ = ["KindWatch", "StoreBackoff", "WatchRole", "WatchTiming"]

import asyncio
import random
from collections.abc import Callable
from typing import NamedTuple

from tanagertrail.errors import PlatformError
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.mirror import KindMirror
from tanagertrail.platform.store import HistoryLostError, StoreClient

INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 0.8  # short compared with the bounds on how soon a change must take effect
CHECK_INTERVAL_SECONDS = 0.2  # longest sleep before the role is checked again
STANDBY_HEAD_START_SECONDS = 0.2  # a standby takes over this much earlier than other daemons
TAKEOVER_SPREAD_SECONDS = 0.2  # other daemons take over spread over this time, not all at once
MIN_SLEEP_SECONDS = 0.01
RESPONSE_GRACE_SECONDS = 1.0  # an answer this late means that the store is unreachable
BATCH_WINDOW_SECONDS = 0.1  # changes within this time are fetched together


class WatchTiming(NamedTuple):
    """How a kind is watched.

    :ivar max_wait: longest time in seconds for which one call waits for changes
    :ivar max_staleness: staleness of the mirror in seconds beyond which any daemon asks the store
    """

    max_wait: float
    max_staleness: float


class WatchRole(NamedTuple):
    """A daemon's part in watching the store for the whole fleet.

    :ivar is_watching: whether it watches the store, since no higher-ranked daemon does
    :ivar is_standby: whether it is among the first to take over
    :ivar propagation_seconds: time in which a watcher's changes reach all daemons
    """

    is_watching: bool
    is_standby: bool
    propagation_seconds: float


class StoreBackoff:
    """Exponential backoff shared by all of a daemon's watches.

    While the store fails, only one watch retries; after it succeeds, all watches continue. With
    hundreds of daemons, six watches in each that retry independently would overload a store that
    is recovering.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.failures = 0
        self.next_attempt_at = 0.0

    def get_delay(self, now: float) -> float:
        """Return the seconds until a watch may call the store, 0 for now."""
        return max(self.next_attempt_at - now, 0.0) if self.failures else 0.0

    def reserve_attempt(self, now: float) -> None:
        """Reserve the next attempt for one watch while the store fails."""
        if self.failures:
            self.next_attempt_at = now + MAX_BACKOFF_SECONDS

    def record_failure(self, now: float) -> None:
        """Record a failed call and schedule the next attempt."""
        delay = INITIAL_BACKOFF_SECONDS * 2 ** min(self.failures, 4)
        self.failures += 1
        self.next_attempt_at = now + min(delay, MAX_BACKOFF_SECONDS) * self.rng.uniform(0.8, 1.2)

    def record_success(self) -> None:
        """Record an answer, which ends the backoff."""
        self.failures = 0


class KindWatch:
    """Watch one kind for all daemons, or take over when no other daemon seems to.

    :ivar get_role: returns the current role of this daemon
    :ivar on_change: called after the mirror has changed
    :ivar last_answer_at: boot time in seconds of the store's last answer
    :ivar last_wait: seconds for which the last call was to wait for changes
    :ivar failures: consecutive failed calls
    :ivar failed_since: boot time in seconds of the first of them
    :ivar needs_relist: whether the store's history no longer covers the mirror's revision
    :ivar takeover_jitter: random share of :data:`TAKEOVER_SPREAD_SECONDS`
    """

    def __init__(
        self,
        store: StoreClient,
        mirror: KindMirror,
        log: EventLog,
        rng: random.Random,
        timing: WatchTiming,
        get_role: Callable[[], WatchRole],
        on_change: Callable[[], None],
        backoff: StoreBackoff | None = None,
    ) -> None:
        self.backoff = backoff or StoreBackoff(rng)
        self.store = store
        self.mirror = mirror
        self.log = log
        self.rng = rng
        self.timing = timing
        self.get_role = get_role
        self.on_change = on_change
        self.last_answer_at = float("-inf")
        self.last_wait = 0.0
        self.failures = 0
        self.failed_since = 0.0
        self.needs_relist = False
        self.takeover_jitter = rng.random()

    async def run(self) -> None:
        """Watch the kind until cancelled; after a failure, the next run lists it anew."""
        try:
            await self.follow()
        except Exception:
            self.needs_relist = True
            raise

    async def follow(self) -> None:
        """Call the store whenever that is due, until cancelled."""
        while True:
            delay = self.get_poll_delay()
            delay = max(delay, self.backoff.get_delay(self.mirror.boot_time()))
            if delay > 0:
                await asyncio.sleep(min(max(delay, MIN_SLEEP_SECONDS), CHECK_INTERVAL_SECONDS))
                continue
            self.backoff.reserve_attempt(self.mirror.boot_time())
            self.takeover_jitter = self.rng.random()
            try:
                await self.poll()
                self.record_success()
            except HistoryLostError:
                self.log.write("history_lost", kind=self.mirror.kind, revision=self.mirror.revision)
                self.needs_relist = True
                self.backoff.record_success()
            except PlatformError as error:
                self.record_failure(error)

    def is_poll_due(self) -> bool:
        """Return whether this daemon calls the store now."""
        return self.get_poll_delay() <= 0

    def get_poll_delay(self) -> float:
        """Return the seconds until this daemon calls the store unless it gets an update."""
        role = self.get_role()
        if role.is_watching:
            return 0.0
        takeover_delay = 0.0
        if not role.is_standby:
            takeover_delay = (
                STANDBY_HEAD_START_SECONDS + TAKEOVER_SPREAD_SECONDS * self.takeover_jitter
            )
        return self.timing.max_staleness + takeover_delay - self.mirror.staleness

    @property
    def is_store_reachable(self) -> bool:
        """Return whether the store has answered this daemon recently."""
        silent = self.mirror.boot_time() - self.last_answer_at
        return silent < self.last_wait + RESPONSE_GRACE_SECONDS

    def choose_wait_seconds(self) -> float:
        """Return the seconds for which the next call waits for changes.

        A stale mirror, or a store that has failed, needs an immediate answer rather than one after
        a wait.
        """
        if self.backoff.failures or self.mirror.staleness >= self.timing.max_staleness:
            return 0.0
        return min(
            self.timing.max_wait,
            max(
                self.timing.max_staleness - self.get_role().propagation_seconds,
                CHECK_INTERVAL_SECONDS,
            ),
        )

    async def poll(self) -> None:
        """Call the store once and apply its answer to the mirror."""
        sent_at = self.mirror.boot_time()
        changed = False
        if self.needs_relist or self.mirror.revision == 0:
            listing = await self.store.list_kind(self.mirror.kind)
            changed = self.mirror.apply_listing(listing, sent_at)
            self.needs_relist = False
        else:
            wait = self.last_wait = self.choose_wait_seconds()
            answer = await self.store.watch_kind(self.mirror.kind, self.mirror.revision, wait)
            # An answer without changes after the full wait shows that the mirror is current up
            # to the end of the wait.
            waited = wait if not answer.changes and self.waited_in_full(sent_at, wait) else 0.0
            changed = self.mirror.apply_watch(answer, sent_at + waited)
        if changed:
            self.on_change()
            await asyncio.sleep(BATCH_WINDOW_SECONDS)

    def waited_in_full(self, sent_at: float, wait: float) -> bool:
        """Return whether a call took at least as long as it was to wait."""
        return self.mirror.boot_time() - sent_at >= wait

    def record_failure(self, error: PlatformError) -> None:
        """Record a failed call and log the first one of a series."""
        if self.failures == 0:
            self.failed_since = self.mirror.boot_time()
            self.log.write("store_lost", kind=self.mirror.kind, error=str(error)[:200])
        self.failures += 1
        self.backoff.record_failure(self.mirror.boot_time())

    def record_success(self) -> None:
        """Record an answer and log the end of a series of failures."""
        self.last_answer_at = self.mirror.boot_time()
        self.backoff.record_success()
        if self.failures:
            outage_seconds = round(self.mirror.boot_time() - self.failed_since, 3)
            self.log.write(
                "store_regained",
                kind=self.mirror.kind,
                away_s=outage_seconds,
                failures=self.failures,
            )
        self.failures = 0
