"""Losses of upstreams in the store, so that suspicions outlive a kill of all daemons."""

__all__ = ["LOSSES_KIND", "LossStore"]

import asyncio
from typing import Any

from tanagertrail.decoding import MAX_NAME_LENGTH, MAX_UNIX_MILLISECONDS
from tanagertrail.errors import ConflictError, PlatformError
from tanagertrail.gateway.clock import read_wall_time
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.losses import UpstreamLoss
from tanagertrail.gateway.suspects import SuspectTracker
from tanagertrail.platform.store import StoreClient, StoredObject
from tanagertrail.policy.poison import CrashReport

LOSSES_KIND = "tanagertrail-losses"
SLOTS = 8  # stored objects of a daemon, which it reuses in turn
MAX_STORED_REQUESTS = 16  # of one loss
LAPSE_SECONDS = 300.0  # a request that crashes upstreams comes again sooner
RETRY_SECONDS = 1.0
MAX_TEXT_LENGTH = 2 * MAX_NAME_LENGTH  # an upstream's name and start, or a fingerprint
MAX_ATTEMPTS = 5  # of a write; a read is tried until it succeeds


class LossStore:
    """Store the losses whose requests remain suspect, and read those of before the start.

    :ivar revisions: revision of each stored object of this daemon, by slot
    """

    def __init__(
        self, store: StoreClient, suspects: SuspectTracker, daemon: str, log: EventLog
    ) -> None:
        self.store = store
        self.suspects = suspects
        self.daemon = daemon
        self.log = log
        self.revisions: dict[int, int] = {}
        self.queue: asyncio.Queue[UpstreamLoss] = asyncio.Queue(SLOTS)

    def add(self, loss: UpstreamLoss) -> None:
        """Have a loss stored; while the store is away, only the first ones are kept."""
        if not self.queue.full():
            self.queue.put_nowait(loss)

    async def run(self) -> None:
        """Read what is stored, then store losses until cancelled."""
        await self.read_until_known()
        while True:
            loss = await self.queue.get()
            await self.store_loss(loss)

    async def read_until_known(self) -> None:
        """Read the stored losses, and count those that have not lapsed."""
        while True:
            try:
                listing = await self.store.list_kind(LOSSES_KIND)
            except PlatformError as error:
                self.log.write_routine("losses_not_read", error=str(error)[:120])
                await asyncio.sleep(RETRY_SECONDS)
            else:
                break
        known = 0
        for item in listing.objects:
            self.note_own_revision(item)
            report = decode_loss(item.content, read_wall_time(), self.suspects.now())
            if report is not None:
                self.suspects.restore_loss(report)
                known += 1
        if known:
            self.log.write("losses_restored", losses=known, stored=len(listing.objects))

    def note_own_revision(self, item: StoredObject) -> None:
        """Record the revision of an object that this daemon has stored before."""
        daemon, _, slot = item.name.rpartition("-")
        if daemon == self.daemon and slot.isascii() and slot.isdigit():
            self.revisions[int(slot)] = item.revision

    async def store_loss(self, loss: UpstreamLoss) -> None:
        """Store a loss in the next slot, in the place of an older one."""
        slot = loss.number % SLOTS
        name = f"{self.daemon}-{slot}"
        content = encode_loss(loss, read_wall_time())
        for _ in range(MAX_ATTEMPTS):
            try:
                if slot in self.revisions:
                    stored = await self.store.replace(
                        LOSSES_KIND, name, content, self.revisions[slot]
                    )
                else:
                    stored = await self.store.create(LOSSES_KIND, name, content)
            except ConflictError:
                await self.read_revision(slot, name)
            except PlatformError as error:
                self.log.write_routine("loss_not_stored", error=str(error)[:120])
                await asyncio.sleep(RETRY_SECONDS)
            else:
                self.revisions[slot] = stored.revision
                return

    async def read_revision(self, slot: int, name: str) -> None:
        """Read the revision of an object that has changed, or note that it is gone."""
        self.revisions.pop(slot, None)
        try:
            found = await self.store.read(LOSSES_KIND, name)
        except PlatformError:
            await asyncio.sleep(RETRY_SECONDS)  # the next attempt conflicts and reads again
            return
        if found is not None:
            self.revisions[slot] = found.revision


def encode_loss(loss: UpstreamLoss, wall_time: float) -> dict[str, Any]:
    """Encode a loss to be stored.

    :param wall_time: Unix time in seconds
    """
    return {
        "at": round(wall_time, 3),
        "upstream": loss.upstream,
        "version": loss.version,
        "failure_domain": loss.failure_domain,
        "requests": list(loss.fingerprints[:MAX_STORED_REQUESTS]),
    }


def decode_loss(content: Any, wall_time: float, now: float) -> CrashReport | None:
    """Decode a stored loss; None if it cannot be read or has lapsed.

    :param wall_time: Unix time in seconds
    :param now: event-loop time in seconds
    """
    if not isinstance(content, dict):
        return None
    at = content.get("at")
    if type(at) not in (int, float) or not abs(at) < MAX_UNIX_MILLISECONDS:
        return None
    age = max(wall_time - at, 0.0)
    texts = [content.get(field) for field in ("upstream", "version", "failure_domain")]
    requests = content.get("requests")
    if age > LAPSE_SECONDS or not isinstance(requests, list):
        return None
    names = [*texts, *requests]
    if len(requests) > MAX_STORED_REQUESTS or not all(is_short_text(name) for name in names):
        return None
    upstream, version, failure_domain = texts
    return CrashReport(upstream, version, failure_domain, tuple(requests), now - age)


def is_short_text(value: Any) -> bool:
    """Return whether a value is a text of bounded length."""
    return isinstance(value, str) and len(value) <= MAX_TEXT_LENGTH
