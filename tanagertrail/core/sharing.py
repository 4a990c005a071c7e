"""Shared objects: watched in the object API by some daemons and forwarded to all others."""

__all__ = ["SHARED_PREFIX", "SharedObjects"]

import asyncio
from collections.abc import Callable, Iterable

import xxhash

from tanagertrail.core.context import NodeContext
from tanagertrail.daemons.messages import (
    DigestAnswer,
    DigestRequest,
    ObjectRow,
    Objects,
    ObjectsRequest,
)
from tanagertrail.errors import PlatformError
from tanagertrail.objectapi.objects import StoredObject
from tanagertrail.policy.hashing import rank_by_hash

SHARED_PREFIX = "shared/"
WATCHER_COUNT = 16  # daemons that watch the store
WATCH_SECONDS = 10.0  # timeout of one watch call, which returns early on a change
WATCH_RETRY_SECONDS = 0.5
MAX_WATCH_RETRY_SECONDS = 5.0
MIN_WATCH_INTERVAL_SECONDS = 0.1
ISOLATED_SECONDS = 3.0  # a daemon that hears no neighbour for this long watches the store itself
MISMATCH_SECONDS = 1.0  # how long digests must differ before a sync; least time between two syncs
TOMBSTONE_SECONDS = 600.0
ROWS_PER_MESSAGE = 200

Subscriber = Callable[[ObjectRow], None]


class SharedObjects:
    """The shared objects known to one daemon.

    :ivar rows: the newest known row of each key, deletions included
    :ivar deleted_at: event-loop time at which each deletion was learnt
    :ivar revision: revision of the store up to which this daemon has watched
    :ivar digest: combined hash of all keys and revisions, equal when the contents are equal
    :ivar last_contact_at: event-loop time of the last message from the store or a neighbour
    """

    def __init__(self, context: NodeContext) -> None:
        self.context = context
        self.rows: dict[str, ObjectRow] = {}
        self.deleted_at: dict[str, float] = {}
        self.subscribers: list[tuple[str, Subscriber]] = []
        self.digest = 0
        self.revision = 0
        self.last_contact_at = 0.0
        self.last_peer_contact_at = 0.0
        self.digest_changed_at = 0.0
        self.sync_requested_at = 0.0
        self.list_members: Callable[[], Iterable[str]] = lambda: [context.daemon]
        context.register_handler(Objects, self.receive_objects)
        context.register_handler(DigestRequest, self.receive_digest_request)
        context.register_handler(DigestAnswer, self.receive_digest_answer)
        context.register_handler(ObjectsRequest, self.receive_objects_request)

    def subscribe(self, prefix: str, subscriber: Subscriber) -> None:
        """Call a function with every new or changed row under a prefix."""
        self.subscribers.append((SHARED_PREFIX + prefix, subscriber))

    def get(self, key: str) -> ObjectRow | None:
        """Return an object, or None if it does not exist or is deleted."""
        row = self.rows.get(SHARED_PREFIX + key)
        return None if row is None or row.deleted else row

    def list_rows(self, prefix: str) -> list[ObjectRow]:
        """Return the objects under a prefix that are not deleted, sorted by key."""
        full_prefix = SHARED_PREFIX + prefix
        keys = sorted(key for key, row in self.rows.items() if not row.deleted)
        return [self.rows[key] for key in keys if key.startswith(full_prefix)]

    async def write(self, key: str, value: bytes, expected_version: int) -> ObjectRow:
        """Write a shared object and send it to the neighbours.

        :param expected_version: version that must be stored, 0 for none
        :raises ConflictError: if another version is stored
        """
        stored = await self.context.store.put(SHARED_PREFIX + key, value, expected_version)
        row = build_row(stored)
        self.apply_rows([row], "")
        return row

    async def remove(self, key: str, expected_version: int) -> None:
        """Delete a shared object; daemons learn of the deletion by the watch."""
        await self.context.store.delete(SHARED_PREFIX + key, expected_version)

    async def read(self, key: str) -> ObjectRow | None:
        """Read a shared object from the store, and send it to the neighbours if it is newer."""
        stored = await self.context.store.get(SHARED_PREFIX + key)
        if stored is None:
            return None
        row = build_row(stored)
        self.apply_rows([row], "")
        return row

    async def load(self) -> None:
        """Read all shared objects from the store."""
        result = await self.context.store.list_objects(SHARED_PREFIX)
        self.apply_listing(result.changes)
        self.revision = max(self.revision, result.revision)

    def apply_listing(self, changes: Iterable[StoredObject]) -> None:
        """Apply a complete listing; known objects that it lacks are marked as deleted."""
        rows = [build_row(item) for item in changes]
        present = {row.key for row in rows}
        newest_revision = max((row.revision for row in rows), default=0)
        removed_rows = [
            row._replace(deleted=True, value=b"", revision=row.revision + 1)
            for key, row in self.rows.items()
            if key not in present and not row.deleted and row.revision < newest_revision
        ]
        self.apply_rows(rows + removed_rows, "")
        self.record_store_contact()

    def apply_rows(self, rows: Iterable[ObjectRow], sender: str) -> None:
        """Apply rows that are newer, forward them to the other neighbours, and call subscribers."""
        new_rows = [row for row in rows if self.store_row(row)]
        if not new_rows:
            return
        self.digest_changed_at = self.context.now()
        for neighbour in self.context.neighbours:
            if neighbour != sender:
                self.send_rows(neighbour, new_rows)
        for row in new_rows:
            for prefix, subscriber in self.subscribers:
                if row.key.startswith(prefix):
                    subscriber(row)

    def store_row(self, row: ObjectRow) -> bool:
        """Store a row and update the digest if its revision is newer; return whether it is."""
        existing = self.rows.get(row.key)
        if existing is not None and existing.revision >= row.revision:
            return False
        if existing is not None and not existing.deleted:
            self.digest ^= hash_row(existing)
        if row.deleted:
            self.deleted_at[row.key] = self.context.now()
        else:
            self.digest ^= hash_row(row)
        self.rows[row.key] = row
        return True

    def drop_tombstones(self) -> None:
        """Forget deletions older than ``TOMBSTONE_SECONDS``, which all daemons have learnt."""
        cutoff = self.context.now() - TOMBSTONE_SECONDS
        for key in [key for key, at in self.deleted_at.items() if at < cutoff]:
            del self.deleted_at[key]
            if self.rows[key].deleted:
                del self.rows[key]

    def record_store_contact(self) -> None:
        """Record that the store has responded."""
        self.last_contact_at = self.context.now()

    def compare_digest(self, sender: str, digest: int) -> None:
        """Record a neighbour's message; start a sync if its digest differs for a while."""
        now = self.context.now()
        self.last_peer_contact_at = self.last_contact_at = now
        settled = now - self.digest_changed_at > MISMATCH_SECONDS
        recently_requested = now - self.sync_requested_at < MISMATCH_SECONDS
        if digest != self.digest and settled and not recently_requested:
            self.sync_requested_at = now
            self.context.send(sender, DigestRequest(self.context.daemon))

    def receive_objects(self, sender: str, message: Objects) -> None:
        """Apply rows from a neighbour."""
        self.apply_rows([ObjectRow._make(row) for row in message.rows], sender)

    def receive_digest_request(self, sender: str, message: DigestRequest) -> None:
        """Reply with the revisions of all rows."""
        revisions = tuple((key, row.revision) for key, row in self.rows.items())
        self.context.send(sender, DigestAnswer(self.context.daemon, revisions))

    def receive_digest_answer(self, sender: str, message: DigestAnswer) -> None:
        """Send the rows that are newer here, and request those that are newer at the sender."""
        remote_revisions = dict(message.revisions)
        wanted_keys = tuple(
            key
            for key, revision in remote_revisions.items()
            if key not in self.rows or self.rows[key].revision < revision
        )
        if wanted_keys:
            self.context.send(sender, ObjectsRequest(self.context.daemon, wanted_keys))
        newer_rows = [
            row for key, row in self.rows.items() if row.revision > remote_revisions.get(key, 0)
        ]
        self.send_rows(sender, newer_rows)

    def send_all_rows(self, daemon: str) -> None:
        """Send all rows to a daemon."""
        self.send_rows(daemon, list(self.rows.values()))

    def send_rows(self, daemon: str, rows: list[ObjectRow]) -> None:
        """Send rows, at most ``ROWS_PER_MESSAGE`` in one message."""
        for start in range(0, len(rows), ROWS_PER_MESSAGE):
            self.context.send(daemon, Objects(tuple(rows[start : start + ROWS_PER_MESSAGE])))

    def receive_objects_request(self, sender: str, message: ObjectsRequest) -> None:
        """Reply with the requested rows."""
        rows = [self.rows[key] for key in message.keys if key in self.rows]
        self.send_rows(sender, rows)

    def is_watcher(self) -> bool:
        """Return whether this daemon watches the store: a fixed number do, and isolated ones."""
        if self.context.now() - self.last_peer_contact_at > ISOLATED_SECONDS:
            return True
        ranked = rank_by_hash("watchers", self.list_members())
        return self.context.daemon in ranked[:WATCHER_COUNT]

    async def run_watch(self) -> None:
        """Watch the store while this daemon is a watcher, backing off while it fails."""
        delay = WATCH_RETRY_SECONDS
        while True:
            if not self.is_watcher():
                await asyncio.sleep(WATCH_RETRY_SECONDS)
                continue
            try:
                await self.watch_once()
            except PlatformError:
                self.context.recorder.count("watch_failures")
                await asyncio.sleep(self.jitter(delay))
                delay = min(delay * 2, MAX_WATCH_RETRY_SECONDS)
            else:
                delay = WATCH_RETRY_SECONDS
                await asyncio.sleep(MIN_WATCH_INTERVAL_SECONDS)

    def jitter(self, delay: float) -> float:
        """Randomize a delay by daemon and time, so that daemons do not retry simultaneously."""
        key = f"{self.context.holder}:{self.context.now()}"
        return delay * (0.5 + xxhash.xxh32_intdigest(key.encode()) / 2**32)

    async def watch_once(self) -> None:
        """Wait for the next changes in the store and apply them, or reload if some were missed."""
        result = await self.context.store.watch(SHARED_PREFIX, self.revision, WATCH_SECONDS)
        if not result.complete:
            self.revision = 0
            await self.load()
            return
        self.record_store_contact()
        self.revision = max(self.revision, result.revision)
        self.apply_rows([build_row(change) for change in result.changes], "")


def build_row(stored: StoredObject) -> ObjectRow:
    """Convert a stored object to a row."""
    return ObjectRow(stored.key, stored.value, stored.version, stored.revision, stored.deleted)


def hash_row(row: ObjectRow) -> int:
    """Return a hash of a row's key and revision."""
    return xxhash.xxh64_intdigest(f"{row.key}\x00{row.revision}".encode())
