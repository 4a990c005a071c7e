"""The journal of one daemon in the object store, written by group commit.

A journal is a series of numbered segments. To take it over, another daemon adds a seal: a last
segment that has no entries and names the daemon that added it.
"""

__all__ = ["JournalSealedError", "JournalWriter", "read_segments", "seal_journal"]

import asyncio
import uuid
from collections.abc import Callable

from tanagertrail.core.context import NodeContext
from tanagertrail.errors import (
    ConflictError,
    PlatformError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from tanagertrail.policy.batching import BATCHINGS, compute_write_interval
from tanagertrail.policy.journals import JournalEntry, Segment, decode_segment, encode_segment

JOURNALS_PREFIX = "journals/"
UNKNOWN_WRITE_RETRY_SECONDS = 0.3
MAX_SEGMENT_BYTES = 900_000


class JournalSealedError(PlatformError):
    """The journal is sealed: another daemon has taken it over."""


def build_segment_key(holder: str, number: int) -> str:
    """Return the store key of a journal's segment."""
    return f"{JOURNALS_PREFIX}{holder}/{number:08d}"


class JournalWriter:
    """Append entries to this daemon's journal; they queue while one task writes segments.

    Each segment is created under the next number on condition that it does not exist. A daemon
    that was paused while its journal was sealed therefore cannot add a segment.

    :ivar write_interval: returns the seconds between two paced writes
    :ivar pending_entries: entries to be written, each with a future that ends once it is stored
    """

    def __init__(self, context: NodeContext, batching: str = "paced") -> None:
        self.context = context
        self.write_interval: Callable[[], float] = lambda: compute_write_interval(1)
        self.last_write_at = float("-inf")
        self.batching = BATCHINGS.get(batching)
        self.next_segment_number = 1
        self.pending_entries: list[tuple[JournalEntry, asyncio.Future[None]]] = []
        self.entries_available = asyncio.Event()
        self.sealed = False
        self.write_count = 0
        self.writer_task: asyncio.Task | None = None

    def start(self) -> None:
        """Start the task that writes segments."""
        self.writer_task = asyncio.create_task(self.run(), name="journal")

    def cancel(self) -> None:
        """Cancel the task that writes segments."""
        if self.writer_task is not None:
            self.writer_task.cancel()

    async def append(self, entry: JournalEntry) -> None:
        """Append an entry and wait until it is stored.

        :raises StoreUnavailableError: if it was not stored
        :raises JournalSealedError: if the journal was taken over
        """
        if self.sealed:
            raise JournalSealedError(self.context.holder)
        stored_future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.pending_entries.append((entry, stored_future))
        self.entries_available.set()
        await stored_future

    async def run(self) -> None:
        """Write the pending entries in batches until the task is cancelled."""
        while True:
            await self.entries_available.wait()
            await asyncio.sleep(self.compute_delay())
            batch = self.pop_batch()
            if not self.pending_entries:
                self.entries_available.clear()
            if batch:
                await self.write_batch(batch)

    def compute_delay(self) -> float:
        """Return the seconds to wait before the next write."""
        if not self.batching.paced:
            return self.batching.delay
        return max(self.last_write_at + self.write_interval() - self.context.now(), 0.0)

    def pop_batch(self) -> list[tuple[JournalEntry, asyncio.Future[None]]]:
        """Remove and return the entries of the next segment."""
        size = 0
        count = 0
        for entry, _ in self.pending_entries[: self.batching.max_entries]:
            size += estimate_size(entry)
            if count and size > MAX_SEGMENT_BYTES:
                break
            count += 1
        batch, self.pending_entries = self.pending_entries[:count], self.pending_entries[count:]
        return batch

    async def write_batch(self, batch: list[tuple[JournalEntry, asyncio.Future[None]]]) -> None:
        """Write one segment and resolve the futures of its entries."""
        segment = Segment(uuid.uuid4().hex, tuple(entry for entry, _ in batch))
        error: PlatformError | None = None
        try:
            await self.write_segment(segment)
        except PlatformError as failure:
            error = failure
        for _, stored_future in batch:
            if stored_future.done():
                continue
            if error is None:
                stored_future.set_result(None)
            else:
                stored_future.set_exception(error)

    async def write_segment(self, segment: Segment) -> None:
        """Create the next segment of the journal.

        :raises StoreUnavailableError: if it was not stored
        :raises JournalSealedError: if the journal was taken over
        """
        key = build_segment_key(self.context.holder, self.next_segment_number)
        self.write_count += 1
        self.last_write_at = self.context.now()
        try:
            await self.context.store.put(key, encode_segment(segment), 0)
        except ConflictError:
            self.mark_sealed()
            raise JournalSealedError(self.context.holder) from None
        except StoreOutcomeUnknownError:
            await self.resolve_unknown_write(key, segment)
        self.next_segment_number += 1

    async def resolve_unknown_write(self, key: str, segment: Segment) -> None:
        """Repeat a write that got no answer until it is known whether the segment is stored.

        No later segment may be stored before this one, so the journal waits here.

        :raises JournalSealedError: if the journal was taken over
        """
        while True:
            await asyncio.sleep(UNKNOWN_WRITE_RETRY_SECONDS)
            try:
                await self.context.store.put(key, encode_segment(segment), 0)
                return
            except ConflictError:
                if await self.is_own_segment(key, segment):
                    return
                self.mark_sealed()
                raise JournalSealedError(self.context.holder) from None
            except (StoreUnavailableError, StoreOutcomeUnknownError):
                self.context.recorder.count("journal_writes_unsettled")

    async def is_own_segment(self, key: str, segment: Segment) -> bool:
        """Say whether the stored segment is the one that this daemon wrote."""
        while True:
            try:
                stored = await self.context.store.get(key)
            except PlatformError:
                await asyncio.sleep(UNKNOWN_WRITE_RETRY_SECONDS)
                continue
            return stored is not None and decode_segment(stored.value).nonce == segment.nonce

    def mark_sealed(self) -> None:
        """Mark this journal as taken over; no more entries are accepted."""
        if not self.sealed:
            self.sealed = True
            self.context.recorder.record("journal_sealed", detail=self.context.holder)


def estimate_size(entry: JournalEntry) -> int:
    """Return the approximate size of an encoded entry in bytes."""
    size = 200 + len(entry.text.encode())
    if entry.record is not None:
        size += len(entry.record.body) + len(entry.record.text.encode())
    return size


async def read_segments(context: NodeContext, holder: str) -> list[Segment]:
    """Read all segments of a journal in order."""
    result = await context.store.list_objects(f"{JOURNALS_PREFIX}{holder}/")
    return [decode_segment(item.value) for item in result.changes]


async def seal_journal(context: NodeContext, holder: str) -> list[Segment] | None:
    """Seal a journal for this daemon and return its segments.

    :returns: None if another daemon has sealed the journal
    """
    while True:
        result = await context.store.list_objects(f"{JOURNALS_PREFIX}{holder}/")
        segments = [decode_segment(item.value) for item in result.changes]
        if segments and segments[-1].sealed_by:
            return segments if segments[-1].sealed_by == context.holder else None
        last_number = int(result.changes[-1].key.rpartition("/")[2]) if result.changes else 0
        seal_segment = Segment(uuid.uuid4().hex, (), context.holder)
        key = build_segment_key(holder, last_number + 1)
        try:
            await context.store.put(key, encode_segment(seal_segment), 0)
        except ConflictError:
            continue
        return segments
