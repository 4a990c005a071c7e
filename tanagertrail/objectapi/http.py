"""Clients of the platform over HTTP, by urllib3 in threads."""

__all__ = [
    "HttpCloud",
    "HttpInstanceList",
    "HttpObjectStore",
    "HttpWeightStore",
    "PlatformClient",
]

import asyncio
import base64
import json
from concurrent.futures import ThreadPoolExecutor
from typing import Any, NamedTuple
from urllib.parse import quote, urlencode

import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from tanagertrail.errors import (
    ConflictError,
    PlatformError,
    RateLimitedError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from tanagertrail.objectapi.cloud import (
    BaseCloud,
    ReclaimNoticeRow,
    StartedInstance,
    StartRefusedError,
)
from tanagertrail.objectapi.instances import BaseInstanceList, Instance, InstanceState
from tanagertrail.objectapi.objects import BaseObjectStore, StoredObject, WatchResult
from tanagertrail.objectapi.weights import BaseWeightStore, WeightGrant

CALL_THREADS = 16
WATCH_THREADS = 2
CONNECTIONS = 16
WATCH_MARGIN_SECONDS = 5.0


class Reply(NamedTuple):
    """An HTTP answer of the platform."""

    status: int
    headers: dict[str, str]
    body: bytes


class PlatformClient:
    """Call the platform from threads, and tell calls without effect from lost answers."""

    def __init__(self, address: str, timeout: float = 2.0) -> None:
        self.base = f"http://{address}"
        self.timeout = timeout
        self.pool = urllib3.PoolManager(maxsize=CONNECTIONS, retries=False)
        self.executor = ThreadPoolExecutor(CALL_THREADS, thread_name_prefix="platform")
        self.watch_executor = ThreadPoolExecutor(WATCH_THREADS, thread_name_prefix="watch")

    def close(self) -> None:
        """Stop the threads."""
        self.executor.shutdown(wait=False, cancel_futures=True)
        self.watch_executor.shutdown(wait=False, cancel_futures=True)
        self.pool.clear()

    async def call(self, method: str, path: str, body: bytes | None = None) -> Reply:
        """Make a call in a thread.

        :raises StoreUnavailableError: if it had no effect
        :raises StoreOutcomeUnknownError: if it was a write whose answer was lost
        """
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(
            self.executor, self.send, method, path, body, self.timeout
        )

    async def wait(self, path: str, timeout: float) -> Reply:
        """Make a waiting read in a thread of its own kind."""
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(
            self.watch_executor, self.send, "GET", path, None, timeout
        )

    def send(self, method: str, path: str, body: bytes | None, timeout: float) -> Reply:
        """Make a call and sort out its failure."""
        try:
            response = self.pool.request(
                method,
                self.base + path,
                body=body,
                timeout=urllib3.Timeout(connect=self.timeout, read=timeout),
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise StoreUnavailableError(str(error)) from error
        except (HTTPError, OSError) as error:
            if method == "GET":
                raise StoreUnavailableError(str(error)) from error
            raise StoreOutcomeUnknownError(str(error)) from error
        return check_reply(Reply(response.status, dict(response.headers), response.data))

    async def call_json(self, method: str, path: str, document: object = None) -> Any:
        """Make a call with JSON both ways."""
        body = json.dumps(document).encode() if document is not None else None
        return json.loads((await self.call(method, path, body)).body)


def check_reply(reply: Reply) -> Reply:
    """Raise the error that a status stands for."""
    if reply.status == 429:
        raise RateLimitedError(reply.body.decode("utf-8", "replace"))
    if reply.status == 503:
        raise StoreUnavailableError(reply.body.decode("utf-8", "replace"))
    if reply.status >= 400 and reply.status not in (404, 409):
        raise PlatformError(reply.body.decode("utf-8", "replace"))
    return reply


class HttpObjectStore(BaseObjectStore):
    """Reach the object API over HTTP."""

    def __init__(self, client: PlatformClient) -> None:
        self.client = client

    async def get(self, key: str) -> StoredObject | None:
        """Read one object, None if it does not exist."""
        reply = await self.client.call("GET", f"/objects/{quote(key)}")
        return None if reply.status == 404 else read_object(json.loads(reply.body))

    async def list_objects(self, prefix: str) -> WatchResult:
        """Read all objects under a prefix."""
        reply = await self.client.call("GET", f"/objects?{urlencode({'prefix': prefix})}")
        return read_result(json.loads(reply.body))

    async def put(self, key: str, value: bytes, expected: int | None = None) -> StoredObject:
        """Write one object."""
        reply = await self.client.call("PUT", build_write_path(key, expected), value)
        document = json.loads(reply.body)
        check_conflict(key, expected, reply.status, document)
        return StoredObject(key, value, document["version"], document["revision"])

    async def delete(self, key: str, expected: int | None = None) -> None:
        """Delete one object."""
        reply = await self.client.call("DELETE", build_write_path(key, expected))
        check_conflict(key, expected, reply.status, json.loads(reply.body))

    async def watch(self, prefix: str, after: int, wait: float) -> WatchResult:
        """Wait for changes under a prefix."""
        query = urlencode({"prefix": prefix, "after": after, "wait": wait})
        reply = await self.client.wait(f"/watch?{query}", wait + WATCH_MARGIN_SECONDS)
        return read_result(json.loads(reply.body))


def build_write_path(key: str, expected: int | None) -> str:
    """Return the path of a conditional write."""
    query = "" if expected is None else f"?{urlencode({'expected': expected})}"
    return f"/objects/{quote(key)}{query}"


def check_conflict(key: str, expected: int | None, status: int, document: dict) -> None:
    """Raise if a conditional write found another version."""
    if status == 409:
        raise ConflictError(key, expected or 0, document["found"])


def read_object(document: dict) -> StoredObject:
    """Build an object from its JSON form."""
    value = base64.b64decode(document["value"])
    return StoredObject(
        document["key"], value, document["version"], document["revision"], document["deleted"]
    )


def read_result(document: dict) -> WatchResult:
    """Build the result of a list or watch from its JSON form."""
    changes = tuple(read_object(item) for item in document["changes"])
    return WatchResult(document["revision"], changes, document["complete"])


class HttpInstanceList(BaseInstanceList):
    """Read the instance list over HTTP."""

    def __init__(self, client: PlatformClient) -> None:
        self.client = client

    async def read(self) -> list[Instance]:
        """Read the list."""
        rows = await self.client.call_json("GET", "/instances")
        return [Instance(name, domain, InstanceState(state)) for name, domain, state in rows]


class HttpCloud(BaseCloud):
    """Reach the cloud API over HTTP."""

    def __init__(self, client: PlatformClient) -> None:
        self.client = client

    async def read_notices(self) -> list[ReclaimNoticeRow]:
        """Read the reclaim notices in force."""
        rows = await self.client.call_json("GET", "/cloud/notices")
        return [ReclaimNoticeRow(name, left) for name, left in rows]

    async def start_instance(self, failure_domain: str, reclaimable: bool) -> StartedInstance:
        """Start an instance."""
        order = {"failure_domain": failure_domain, "reclaimable": reclaimable}
        body = json.dumps(order).encode()
        reply = await self.client.call("POST", "/cloud/instances", body)
        document = json.loads(reply.body)
        if reply.status == 409:
            raise StartRefusedError(document["error"])
        return StartedInstance(**document)

    async def stop_instance(self, name: str) -> None:
        """Stop an instance for good."""
        await self.client.call("DELETE", f"/cloud/instances/{quote(name)}")

    async def read_prices(self) -> dict[str, float]:
        """Read the hourly price by failure domain."""
        return await self.client.call_json("GET", "/cloud/prices")


class HttpWeightStore(BaseWeightStore):
    """Reach the weight store over HTTP."""

    def __init__(self, client: PlatformClient) -> None:
        self.client = client

    async def request_grant(self, name: str) -> WeightGrant:
        """Ask for leave to load weights."""
        return WeightGrant(**await self.client.call_json("POST", f"/weights/{quote(name)}"))
