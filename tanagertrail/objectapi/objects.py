"""Contract of the platform's object API, and its in-memory implementation."""

__all__ = [
    "MAX_VALUE_BYTES",
    "BaseObjectStore",
    "MemoryObjectStore",
    "StoreFaults",
    "StoredObject",
    "WatchResult",
]

import asyncio
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import NamedTuple

from tanagertrail.errors import (
    ConflictError,
    PlatformError,
    RateLimitedError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)

MAX_VALUE_BYTES = 1_000_000
MAX_KEY_CHARACTERS = 200
CHANGE_HISTORY = 100_000


class StoredObject(NamedTuple):
    """A stored value.

    :ivar version: number of writes to this key, from 1
    :ivar revision: position of the last write in the order of all writes
    """

    key: str
    value: bytes
    version: int
    revision: int
    deleted: bool = False


class WatchResult(NamedTuple):
    """The changes after a revision.

    :ivar complete: False if older changes were dropped, so that the caller must list anew
    """

    revision: int
    changes: tuple[StoredObject, ...]
    complete: bool = True


class BaseObjectStore:
    """Contract of the object API: versions, conditional writes, watches.

    Every call raises :class:`StoreUnavailableError` if it had no effect and, for writes,
    :class:`StoreOutcomeUnknownError` if its answer was lost.
    """

    async def get(self, key: str) -> StoredObject | None:
        """Read one object, None if it does not exist."""
        raise NotImplementedError

    async def list_objects(self, prefix: str) -> WatchResult:
        """Read all objects under a prefix."""
        raise NotImplementedError

    async def put(self, key: str, value: bytes, expected: int | None = None) -> StoredObject:
        """Write one object.

        :param expected: version that must be stored, 0 for none, None to write in any case
        :raises ConflictError: if another version is stored
        """
        raise NotImplementedError

    async def delete(self, key: str, expected: int | None = None) -> None:
        """Delete one object under the same condition as :meth:`put`."""
        raise NotImplementedError

    async def watch(self, prefix: str, after: int, wait: float) -> WatchResult:
        """Wait for changes under a prefix.

        :param after: revision after which changes are wanted
        :param wait: longest time to wait, in seconds
        """
        raise NotImplementedError


@dataclass
class StoreFaults:
    """Faults that an in-memory platform injects.

    :ivar latency: seconds added to each call
    :ivar lose_answers: number of next writes that take effect but whose answer is lost
    :ivar calls_per_second: rate above which calls are refused, None for no limit
    """

    outage: bool = False
    latency: float = 0.0
    lose_answers: int = 0
    calls_per_second: float | None = None
    cut_clients: set[str] = field(default_factory=set)


class MemoryObjectStore(BaseObjectStore):
    """Keep objects in memory; clients made by :meth:`connect` share them."""

    def __init__(self) -> None:
        self.objects: dict[str, StoredObject] = {}
        self.changes: deque[StoredObject] = deque(maxlen=CHANGE_HISTORY)
        self.revision = 0
        self.waiters: set[asyncio.Future[None]] = set()
        self.faults = StoreFaults()
        self.calls: Counter[str] = Counter()
        self.recent_calls: deque[float] = deque()
        self.peak_calls_per_second = 0

    def connect(self, client: str) -> "MemoryObjectStoreClient":
        """Return a client that can be cut from the store by name."""
        return MemoryObjectStoreClient(self, client)

    async def begin_call(self, kind: str, client: str = "") -> None:
        """Count a call and apply the faults that strike before it takes effect."""
        self.calls[kind] += 1
        self.count_rate()
        if self.faults.latency:
            await asyncio.sleep(self.faults.latency)
        if self.faults.outage or client in self.faults.cut_clients:
            raise StoreUnavailableError("the object API is not reachable")

    def count_rate(self) -> None:
        """Count the calls of the last second and refuse those over the rate."""
        now = asyncio.get_running_loop().time()
        while self.recent_calls and self.recent_calls[0] <= now - 1.0:
            self.recent_calls.popleft()
        limit = self.faults.calls_per_second
        if limit is not None and len(self.recent_calls) >= limit:
            raise RateLimitedError(f"over {limit} calls a second")
        self.recent_calls.append(now)
        self.peak_calls_per_second = max(self.peak_calls_per_second, len(self.recent_calls))

    async def get(self, key: str) -> StoredObject | None:
        """Read one object, None if it does not exist."""
        await self.begin_call("get")
        return self.objects.get(key)

    async def list_objects(self, prefix: str) -> WatchResult:
        """Read all objects under a prefix."""
        await self.begin_call("list")
        found = [item for key, item in sorted(self.objects.items()) if key.startswith(prefix)]
        return WatchResult(self.revision, tuple(found))

    async def put(self, key: str, value: bytes, expected: int | None = None) -> StoredObject:
        """Write one object."""
        await self.begin_call("put")
        return await self.write(key, value, expected, deleted=False)

    async def delete(self, key: str, expected: int | None = None) -> None:
        """Delete one object."""
        await self.begin_call("delete")
        await self.write(key, b"", expected, deleted=True)

    async def write(
        self, key: str, value: bytes, expected: int | None, deleted: bool
    ) -> StoredObject:
        """Apply one write and wake the watches."""
        check_write(key, value)
        stored = self.objects.get(key)
        found = stored.version if stored else 0
        if expected is not None and expected != found:
            raise ConflictError(key, expected, found)
        self.revision += 1
        written = StoredObject(key, value, found + 1, self.revision, deleted)
        if deleted:
            self.objects.pop(key, None)
        else:
            self.objects[key] = written
        self.changes.append(written)
        self.wake_watches()
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise StoreOutcomeUnknownError("the answer was lost")
        return written

    async def watch(self, prefix: str, after: int, wait: float) -> WatchResult:
        """Wait for changes under a prefix."""
        await self.begin_call("watch")
        deadline = asyncio.get_running_loop().time() + wait
        while True:
            result = self.read_changes(prefix, after)
            remaining = deadline - asyncio.get_running_loop().time()
            if result.changes or not result.complete or remaining <= 0:
                return result
            await self.wait_change(remaining)

    def read_changes(self, prefix: str, after: int) -> WatchResult:
        """Return the changes under a prefix after a revision, without waiting."""
        if after > self.revision:
            return WatchResult(self.revision, (), complete=False)
        oldest = self.changes[0].revision if self.changes else self.revision + 1
        if after + 1 < oldest:
            return WatchResult(self.revision, (), complete=False)
        found = []
        for change in reversed(self.changes):
            if change.revision <= after:
                break
            if change.key.startswith(prefix):
                found.append(change)
        return WatchResult(self.revision, tuple(reversed(found)))

    def wake_watches(self) -> None:
        """Wake every watch after a write."""
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_result(None)
        self.waiters.clear()

    async def wait_change(self, timeout: float) -> None:
        """Wait until something is written or the time is over."""
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waiters.add(waiter)
        try:
            async with asyncio.timeout(timeout):
                await waiter
        except TimeoutError:
            return
        finally:
            self.waiters.discard(waiter)


class MemoryObjectStoreClient(BaseObjectStore):
    """One client's way to a shared in-memory store, which can be cut."""

    def __init__(self, store: MemoryObjectStore, client: str) -> None:
        self.store = store
        self.client = client

    def check_reachable(self) -> None:
        """Raise if this client is cut from the store."""
        if self.client in self.store.faults.cut_clients:
            raise StoreUnavailableError(f"{self.client} is cut from the object API")

    async def get(self, key: str) -> StoredObject | None:
        """Read one object, None if it does not exist."""
        self.check_reachable()
        return await self.store.get(key)

    async def list_objects(self, prefix: str) -> WatchResult:
        """Read all objects under a prefix."""
        self.check_reachable()
        return await self.store.list_objects(prefix)

    async def put(self, key: str, value: bytes, expected: int | None = None) -> StoredObject:
        """Write one object."""
        self.check_reachable()
        return await self.store.put(key, value, expected)

    async def delete(self, key: str, expected: int | None = None) -> None:
        """Delete one object."""
        self.check_reachable()
        await self.store.delete(key, expected)

    async def watch(self, prefix: str, after: int, wait: float) -> WatchResult:
        """Wait for changes; a cut that comes while waiting fails the call."""
        self.check_reachable()
        result = await self.store.watch(prefix, after, wait)
        self.check_reachable()
        return result


def check_write(key: str, value: bytes) -> None:
    """Check a key and value against the limits of the object API.

    :raises PlatformError: if a limit is broken
    """
    if not key or len(key) > MAX_KEY_CHARACTERS:
        raise PlatformError(f"key: must have 1 to {MAX_KEY_CHARACTERS} characters")
    if len(value) > MAX_VALUE_BYTES:
        raise PlatformError(f"value: must be at most {MAX_VALUE_BYTES} bytes, has {len(value)}")
