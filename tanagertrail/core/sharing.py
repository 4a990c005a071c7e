"""Shared objects: read from the object API by some daemons, flooded to all."""

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
WATCHERS = 16
WATCH_SECONDS = 10.0
WATCH_RETRY_SECONDS = 0.5
MAX_WATCH_RETRY_SECONDS = 5.0
MIN_WATCH_INTERVAL_SECONDS = 0.1
ISOLATED_SECONDS = 3.0
MISMATCH_SECONDS = 1.0
TOMBSTONE_SECONDS = 600.0
ROWS_PER_MESSAGE = 200

Subscriber = Callable[[ObjectRow], None]


class SharedObjects:
    """The shared objects known to one daemon.

    :ivar digest: combined hash of all keys and revisions, equal when the contents are equal
    :ivar heard_at: event-loop time of the last sign from the store or a neighbour, in seconds
    """

    def __init__(self, context: NodeContext) -> None:
        self.context = context
        self.rows: dict[str, ObjectRow] = {}
        self.deleted_at: dict[str, float] = {}
        self.subscribers: list[tuple[str, Subscriber]] = []
        self.digest = 0
        self.revision = 0
        self.heard_at = 0.0
        self.peers_heard_at = 0.0
        self.digest_changed_at = 0.0
        self.mismatch_asked_at = 0.0
        self.list_members: Callable[[], Iterable[str]] = lambda: [context.daemon]
        context.register_handler(Objects, self.receive_objects)
        context.register_handler(DigestRequest, self.receive_digest_request)
        context.register_handler(DigestAnswer, self.receive_digest_answer)
        context.register_handler(ObjectsRequest, self.receive_objects_request)

    def subscribe(self, prefix: str, subscriber: Subscriber) -> None:
        """Call a function with every news under a prefix."""
        self.subscribers.append((SHARED_PREFIX + prefix, subscriber))

    def get(self, key: str) -> ObjectRow | None:
        """Return a live object, None if there is none."""
        row = self.rows.get(SHARED_PREFIX + key)
        return None if row is None or row.deleted else row

    def list_rows(self, prefix: str) -> list[ObjectRow]:
        """Return the live objects under a prefix, by key."""
        full = SHARED_PREFIX + prefix
        keys = sorted(key for key, row in self.rows.items() if not row.deleted)
        return [self.rows[key] for key in keys if key.startswith(full)]

    async def write(self, key: str, value: bytes, expected: int) -> ObjectRow:
        """Write a shared object and spread it at once.

        :raises ConflictError: if another version is stored
        """
        stored = await self.context.store.put(SHARED_PREFIX + key, value, expected)
        row = to_row(stored)
        self.apply([row], "")
        return row

    async def remove(self, key: str, expected: int) -> None:
        """Delete a shared object; the deletion spreads by the watch."""
        await self.context.store.delete(SHARED_PREFIX + key, expected)

    async def read(self, key: str) -> ObjectRow | None:
        """Read one shared object from the store and spread it if it is news."""
        stored = await self.context.store.get(SHARED_PREFIX + key)
        if stored is None:
            return None
        row = to_row(stored)
        self.apply([row], "")
        return row

    async def load(self) -> None:
        """Read all shared objects from the store."""
        result = await self.context.store.list_objects(SHARED_PREFIX)
        self.take_list(result.changes)
        self.revision = max(self.revision, result.revision)

    def take_list(self, changes: Iterable[StoredObject]) -> None:
        """Take a whole list, in which what is missing is deleted."""
        rows = [to_row(item) for item in changes]
        present = {row.key for row in rows}
        newest = max((row.revision for row in rows), default=0)
        gone = [
            row._replace(deleted=True, value=b"", revision=row.revision + 1)
            for key, row in self.rows.items()
            if key not in present and not row.deleted and row.revision < newest
        ]
        self.apply(rows + gone, "")
        self.note_store()

    def apply(self, rows: Iterable[ObjectRow], sender: str) -> None:
        """Apply rows that are news, pass them on and tell the subscribers."""
        news = [row for row in rows if self.store_row(row)]
        if not news:
            return
        self.digest_changed_at = self.context.now()
        for neighbour in self.context.neighbours:
            if neighbour != sender:
                self.send_rows(neighbour, news)
        for row in news:
            for prefix, subscriber in self.subscribers:
                if row.key.startswith(prefix):
                    subscriber(row)

    def store_row(self, row: ObjectRow) -> bool:
        """Store a row if its revision is newer; return whether it is."""
        known = self.rows.get(row.key)
        if known is not None and known.revision >= row.revision:
            return False
        if known is not None and not known.deleted:
            self.digest ^= hash_row(known)
        if row.deleted:
            self.deleted_at[row.key] = self.context.now()
        else:
            self.digest ^= hash_row(row)
        self.rows[row.key] = row
        return True

    def drop_tombstones(self) -> None:
        """Forget deletions that every daemon has had time to learn."""
        limit = self.context.now() - TOMBSTONE_SECONDS
        for key in [key for key, at in self.deleted_at.items() if at < limit]:
            del self.deleted_at[key]
            if self.rows[key].deleted:
                del self.rows[key]

    def note_store(self) -> None:
        """Note a sign from the store."""
        self.heard_at = self.context.now()

    def compare_digest(self, sender: str, digest: int) -> None:
        """Note a neighbour's digest; ask for the difference if it lasts."""
        now = self.context.now()
        self.peers_heard_at = self.heard_at = now
        settled = now - self.digest_changed_at > MISMATCH_SECONDS
        asked = now - self.mismatch_asked_at < MISMATCH_SECONDS
        if digest != self.digest and settled and not asked:
            self.mismatch_asked_at = now
            self.context.send(sender, DigestRequest(self.context.daemon))

    def receive_objects(self, sender: str, message: Objects) -> None:
        """Take rows from a neighbour."""
        self.apply([ObjectRow._make(row) for row in message.rows], sender)

    def receive_digest_request(self, sender: str, message: DigestRequest) -> None:
        """Answer with the revisions of all rows."""
        versions = tuple((key, row.revision) for key, row in self.rows.items())
        self.context.send(sender, DigestAnswer(self.context.daemon, versions))

    def receive_digest_answer(self, sender: str, message: DigestAnswer) -> None:
        """Send what the other lacks and ask for what is missing here."""
        theirs = dict(message.versions)
        wanted = tuple(
            key
            for key, revision in theirs.items()
            if key not in self.rows or self.rows[key].revision < revision
        )
        if wanted:
            self.context.send(sender, ObjectsRequest(self.context.daemon, wanted))
        missing = [row for key, row in self.rows.items() if row.revision > theirs.get(key, 0)]
        self.send_rows(sender, missing)

    def send_all(self, daemon: str) -> None:
        """Send all rows to a daemon that may lack some."""
        self.send_rows(daemon, list(self.rows.values()))

    def send_rows(self, daemon: str, rows: list[ObjectRow]) -> None:
        """Send rows in messages of bounded length."""
        for start in range(0, len(rows), ROWS_PER_MESSAGE):
            self.context.send(daemon, Objects(tuple(rows[start : start + ROWS_PER_MESSAGE])))

    def receive_objects_request(self, sender: str, message: ObjectsRequest) -> None:
        """Answer with the rows asked for."""
        rows = [self.rows[key] for key in message.keys if key in self.rows]
        self.send_rows(sender, rows)

    def is_watcher(self) -> bool:
        """Say whether this daemon watches the store: a fixed number do, and the isolated."""
        if self.context.now() - self.peers_heard_at > ISOLATED_SECONDS:
            return True
        ranked = rank_by_hash("watchers", self.list_members())
        return self.context.daemon in ranked[:WATCHERS]

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
        """Spread a delay by the daemon's name and the time, so that daemons do not call at once."""
        key = f"{self.context.holder}:{self.context.now()}"
        return delay * (0.5 + xxhash.xxh32_intdigest(key.encode()) / 2**32)

    async def watch_once(self) -> None:
        """Wait for the next changes in the store and apply them."""
        result = await self.context.store.watch(SHARED_PREFIX, self.revision, WATCH_SECONDS)
        if not result.complete:
            self.revision = 0
            await self.load()
            return
        self.note_store()
        self.revision = max(self.revision, result.revision)
        self.apply([to_row(change) for change in result.changes], "")


def to_row(stored: StoredObject) -> ObjectRow:
    """Convert a stored object to a row."""
    return ObjectRow(stored.key, stored.value, stored.version, stored.revision, stored.deleted)


def hash_row(row: ObjectRow) -> int:
    """Hash a row's key and revision."""
    return xxhash.xxh64_intdigest(f"{row.key}\x00{row.revision}".encode())
