"""The lease that lets one daemon at a time perform the fleet-wide duties."""

__all__ = ["MAX_FENCING", "Leadership"]

import asyncio
import math
import random
from collections.abc import Callable
from typing import Any, NamedTuple

from tanagertrail.decoding import is_integer
from tanagertrail.errors import ConflictError, PlatformError, StoreOutcomeUnknownError
from tanagertrail.gateway.clock import BootClock
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.platform.store import StoreClient, StoredObject
from tanagertrail.policy.leases import CLOCK_MARGIN, LeaseRecord, LeaseWatch, may_act

LEASES_KIND = "tanagertrail-leases"
LEASE_NAME = "duties"
RENEWAL_INTERVAL_SHARE = 0.3  # of the lease, so that two renewals in a row may fail
OBSERVE_INTERVAL_SECONDS = 0.5  # between reads of a lease that this daemon does not hold
MAX_LOST_CLAIMS = 100  # that a store may have forgotten, each of which took at least a lease
LOST_CLAIMS_SECONDS = 60.0  # after the return of a store in which claims skip their numbers
MAX_FENCING = 10**12  # a higher number is none that a daemon has claimed
RECENT_RENEWAL_SHARE = 0.5  # of the lease; a holder whose last renewal is older counts as missing


def decode_lease(content: Any) -> LeaseRecord | None:
    """Decode a stored lease, or return None if it is malformed."""
    if not isinstance(content, dict):
        return None
    holder, fencing, renewal = (content.get(name) for name in ("holder", "fencing", "renewal"))
    if not (isinstance(holder, str) and is_integer(fencing, 0, MAX_FENCING)):
        return None
    if not is_integer(renewal, 0, MAX_FENCING):
        return None
    return LeaseRecord(holder, fencing, renewal, content.get("released") is True)


class ReportedRenewal(NamedTuple):
    """The last renewal that a holder reported in its state.

    :ivar renewal: number of the renewal in the holder's tenure
    :ivar sent_at: latest boot time in seconds at which the renewal can have been sent
    """

    fencing: int
    renewal: int
    sent_at: float


class Leadership:
    """Hold the lease, or observe it and claim it after it expires.

    :ivar holder: name and incarnation of this daemon, as stored in the lease
    :ivar lease_duration: seconds for which a renewal holds
    :ivar fencing: fencing number while this daemon holds the lease, else 0
    :ivar record: the lease as last written by this daemon, None while it is not held
    :ivar revision: store revision of the held lease
    :ivar may_observe: returns whether this daemon may read the lease in order to claim it
    :ivar may_hold: returns whether this daemon knows enough to perform the duties
    :ivar renewed_at: boot time in seconds just before the last successful renewal was sent
    :ivar first_tries: boot time in seconds at which each renewal without an answer was first sent
    :ivar stopping: whether the daemon stops and no longer acts as the holder
    :ivar highest_fencing: highest fencing number that this daemon has heard of, which a store that
        comes back from an older copy may have lost
    :ivar restored_at: boot time in seconds at which the store was last seen to have come back so
    """

    def __init__(
        self,
        store: StoreClient,
        daemon: str,
        incarnation: int,
        lease_duration: float,
        log: EventLog,
        boot_time: BootClock,
        rng: random.Random,
    ) -> None:
        self.store = store
        self.holder = f"{daemon}@{incarnation}"
        self.lease_duration = lease_duration
        self.log = log
        self.boot_time = boot_time
        self.rng = rng
        self.lease_watch = LeaseWatch(lease_duration)
        self.record: LeaseRecord | None = None
        self.revision = 0
        self.renewed_at = 0.0
        self.first_tries: dict[int, float] = {}
        self.may_observe: Callable[[], bool] = lambda: True
        self.may_hold: Callable[[], bool] = lambda: True
        self.stopping = False
        self.highest_fencing = 0
        self.restored_at = -math.inf
        self.reported_renewal = ReportedRenewal(0, 0, 0.0)

    @property
    def fencing(self) -> int:
        """Return the fencing number while the lease is held, else 0."""
        return self.record.fencing if self.record is not None else 0

    @property
    def renewed_recently(self) -> bool:
        """Return whether the lease is held and was renewed recently."""
        age = self.boot_time() - self.renewed_at
        return self.record is not None and age < self.lease_duration * RECENT_RENEWAL_SHARE

    def encode_renewal(self) -> tuple:
        """Return the number and age in milliseconds of the last renewal, () if not the holder."""
        if self.record is None:
            return ()
        return (self.record.renewal, int((self.boot_time() - self.renewed_at) * 1000))

    def record_renewal(self, fencing: int, renewal: tuple, delay_ms: int) -> None:
        """Record the last renewal that a holder reported.

        :param renewal: number and age in milliseconds as given by :meth:`encode_renewal`
        :param delay_ms: milliseconds since the holder reported it
        """
        self.note_fencing(fencing)
        number, age_ms = renewal
        sent_at = self.boot_time() - (age_ms + delay_ms) / 1000
        self.reported_renewal = ReportedRenewal(fencing, number, sent_at)

    def note_fencing(self, fencing: int) -> None:
        """Record a fencing number that was in use."""
        self.highest_fencing = max(self.highest_fencing, fencing)

    def note_store_restored(self) -> None:
        """Record that the store came back from an older copy, which may lack claims of the lease.

        Their holders may act until their leases run out, and their numbers may be unknown here.
        """
        self.restored_at = self.boot_time()

    def may_act(self, duration: float) -> bool:
        """Return whether an action may start now that takes up to some seconds."""
        if self.record is None or self.stopping:
            return False
        return may_act(self.renewed_at, self.boot_time(), duration, self.lease_duration)

    async def run(self) -> None:
        """Hold or observe the lease until cancelled."""
        while True:
            pause = await self.step()
            await asyncio.sleep(pause * self.rng.uniform(0.8, 1.1))

    async def step(self) -> float:
        """Renew, release or try to claim the lease; return the seconds until the next step."""
        try:
            if self.record is not None and not self.may_hold():
                await self.release_held_lease()
            elif self.record is not None:
                await self.renew()
                return self.lease_duration * RENEWAL_INTERVAL_SHARE
            elif self.may_observe():
                await self.try_claim()
        except PlatformError as error:
            self.log.write_routine("lease_failed", error=str(error)[:120])
        return OBSERVE_INTERVAL_SECONDS

    async def renew(self) -> None:
        """Renew the held lease."""
        sent_at = self.boot_time()
        if sent_at > self.renewed_at + self.lease_duration:
            self.mark_lost("ran out")
            return
        renewed_lease = self.record._replace(renewal=self.record.renewal + 1)
        first_sent_at = self.first_tries.setdefault(renewed_lease.renewal, sent_at)
        try:
            stored = await self.write_lease(renewed_lease, self.revision)
        except (ConflictError, StoreOutcomeUnknownError):
            # Others count the lease from when it was written, perhaps by an earlier try.
            await self.verify_unanswered_renewal(renewed_lease, first_sent_at)
        else:
            self.mark_held(renewed_lease, stored.revision, sent_at)

    async def verify_unanswered_renewal(self, written: LeaseRecord, sent_at: float) -> None:
        """Read the lease to find out whether a renewal without an answer took effect."""
        found = await self.store.read(LEASES_KIND, LEASE_NAME)
        record = decode_lease(found.content) if found else None
        if record == written:
            self.mark_held(written, found.revision, sent_at)
        elif record is None or record.fencing < written.fencing:
            await self.write_lost_lease(written, found, sent_at)
        elif record.holder != self.holder:
            self.mark_lost("taken over")
        else:
            self.revision = found.revision

    async def write_lost_lease(
        self, record: LeaseRecord, found: StoredObject | None, sent_at: float
    ) -> None:
        """Write the held lease again, which a store that came back from an older copy has lost.

        :param found: the lease of an earlier holder, or None
        """
        try:
            stored = await self.write_lease(record, found.revision if found else None)
        except ConflictError:
            self.mark_lost("written by another daemon")
            return
        self.log.write("lease_restored", fencing=record.fencing)
        self.mark_held(record, stored.revision, sent_at)

    async def try_claim(self) -> None:
        """Read the lease and claim it if it has expired or was released."""
        if self.stopping:
            return
        found = await self.store.read(LEASES_KIND, LEASE_NAME)
        now = self.boot_time()
        self.observe_lease(found, now)
        if now < self.restored_at + self.lease_duration * CLOCK_MARGIN:
            return
        if not self.lease_watch.may_claim(now):
            return
        claim = self.lease_watch.build_claim(self.holder)
        lost_claims = MAX_LOST_CLAIMS if now < self.restored_at + LOST_CLAIMS_SECONDS else 0
        fencing = max(claim.fencing, self.highest_fencing + 1) + lost_claims
        claim = claim._replace(fencing=fencing)
        try:
            stored = await self.write_lease(claim, found.revision if found else None)
        except ConflictError:
            return
        self.mark_held(claim, stored.revision, now)
        self.log.write("lease_claimed", fencing=claim.fencing)

    def observe_lease(self, found: StoredObject | None, now: float) -> None:
        """Record the lease as read from the store."""
        record = decode_lease(found.content) if found else None
        if record is not None:
            self.note_fencing(record.fencing)
        elif self.highest_fencing:
            # The holder of a lease that the store has lost may still act.
            record = LeaseRecord("", self.highest_fencing, 0)
        if record is not None and (record.fencing, record.renewal) == self.reported_renewal[:2]:
            # The lease runs from the renewal that the holder reported, not from this first read.
            now = min(now, self.reported_renewal.sent_at)
        self.lease_watch.observe(record, found.revision if found else 0, now)

    async def write_lease(self, record: LeaseRecord, revision: int | None) -> StoredObject:
        """Write the lease on the condition that it has not changed.

        :param revision: revision to replace, None to create the lease
        """
        content = record._asdict()
        if revision is None:
            return await self.store.create(LEASES_KIND, LEASE_NAME, content)
        return await self.store.replace(LEASES_KIND, LEASE_NAME, content, revision)

    def mark_held(self, record: LeaseRecord, revision: int, sent_at: float) -> None:
        """Record that the lease is held."""
        self.record = record
        self.revision = revision
        self.renewed_at = sent_at
        self.first_tries.clear()
        self.note_fencing(record.fencing)

    def mark_lost(self, reason: str) -> None:
        """Record that the lease is no longer held."""
        self.log.write("lease_lost", fencing=self.fencing, reason=reason)
        self.record = None
        self.first_tries.clear()
        self.lease_watch = LeaseWatch(self.lease_duration)

    async def release(self) -> None:
        """Release the lease for good, so that another daemon need not wait for it to expire."""
        self.stopping = True
        await self.release_held_lease()

    async def release_held_lease(self) -> None:
        """Mark the stored lease as released if it is held."""
        if self.record is None:
            return
        record, self.record = self.record._replace(released=True), None
        try:
            await self.write_lease(record, self.revision)
            self.log.write("lease_released", fencing=record.fencing)
        except PlatformError as error:
            self.log.write("lease_release_failed", error=str(error)[:120])
