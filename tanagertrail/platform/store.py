"""Client of the platform's object store over HTTP, run from threads."""

__all__ = ["HistoryLostError", "Listing", "StoreClient", "StoredObject", "WatchAnswer"]

import asyncio
import json
import socket
from concurrent.futures import ThreadPoolExecutor
from typing import Any, NamedTuple
from urllib.parse import quote, urlencode

import urllib3

from tanagertrail.errors import (
    ConflictError,
    PlatformError,
    RateLimitedError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)

OBJECTS_PATH = "/tanagertrail/objects"
CALL_SECONDS = 1.0  # a calm store answers in milliseconds
CONNECT_SECONDS = 0.6
WATCH_MARGIN_SECONDS = 0.8
THREADS = 12
JSON_HEADERS = {"Content-Type": "application/json"}
SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 2000),
]


class HistoryLostError(PlatformError):
    """The store no longer has the history that a watch asked for."""


class StoredObject(NamedTuple):
    """An object of the store.

    :ivar revision: revision of its last change
    :ivar created: revision at which it was created
    :ivar content: what its writer stored
    :ivar report: the status that was set on it
    :ivar deleting: whether it only waits for its finalizers to go
    """

    name: str
    revision: int
    created: int
    content: Any
    report: Any
    deleting: bool = False


class Listing(NamedTuple):
    """All objects of a kind at a revision of the store."""

    objects: list[StoredObject]
    revision: int


class WatchAnswer(NamedTuple):
    """Changes since a revision: the object and whether it is gone."""

    changes: list[tuple[StoredObject, bool]]
    revision: int


class Reply(NamedTuple):
    """An answer of the store with its decoded body."""

    status: int
    body: Any


def decode_object(item: Any) -> StoredObject:
    """Decode an object.

    :raises PlatformError: if it is malformed
    """
    try:
        meta = item["meta"]
        return StoredObject(
            str(meta["name"]),
            int(meta["rev"]),
            int(meta.get("created_rev") or 0),
            item.get("spec"),
            item.get("status"),
            bool(meta.get("deleting")),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise PlatformError(f"malformed object in the store's answer: {error!r}") from error


class StoreClient:
    """Call the store; each call changes one object at most."""

    def __init__(self, address: str, threads: int = THREADS) -> None:
        host, _, port = address.rpartition(":")
        self.pool = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=threads, retries=False, socket_options=SOCKET_OPTIONS
        )
        self.executor = ThreadPoolExecutor(threads, thread_name_prefix="store")
        self.calls = 0

    async def list_kind(self, kind: str, stale: bool = False) -> Listing:
        """Read all objects of a kind, page by page.

        :param stale: whether an answer some seconds old will do
        """
        objects: list[StoredObject] = []
        query: dict[str, Any] = {"stale_ok": 1} if stale else {}
        while True:
            reply = await self.call("GET", f"/{kind}", query)
            body = expect_table(reply)
            objects.extend(decode_object(item) for item in body.get("items", []))
            if not body.get("more") or not objects:
                return Listing(objects, int(body.get("store_revision", 0)))
            query = {**query, "after_rev": objects[-1].name}

    async def watch_kind(self, kind: str, revision: int, wait: float) -> WatchAnswer:
        """Wait for changes of a kind after a revision.

        :param wait: seconds after which an answer without changes comes
        :raises HistoryLostError: if the changes are no longer known
        """
        query = {"watch": revision, "wait_ms": int(wait * 1000)}
        reply = await self.call("GET", f"/{kind}", query, wait + WATCH_MARGIN_SECONDS)
        body = expect_table(reply)
        changes = [
            (decode_object(event.get("object")), bool(event.get("deleted")))
            for event in body.get("events", [])
        ]
        return WatchAnswer(changes, int(body.get("store_revision", revision)))

    async def read(self, kind: str, name: str) -> StoredObject | None:
        """Read one object, None if there is none."""
        reply = await self.call("GET", f"/{kind}/{quote(name, safe='')}", allow=(404,))
        return None if reply.status == 404 else decode_object(reply.body)

    async def create(self, kind: str, name: str, content: Any) -> StoredObject:
        """Create an object.

        :raises ConflictError: if it is there
        :raises StoreOutcomeUnknownError: if it may have been created
        """
        reply = await self.write("POST", f"/{kind}", name, content)
        return decode_object(reply.body)

    async def replace(self, kind: str, name: str, content: Any, revision: int) -> StoredObject:
        """Replace an object that has not changed since a revision.

        :raises ConflictError: if it has changed
        :raises StoreOutcomeUnknownError: if it may have been replaced
        """
        path = f"/{kind}/{quote(name, safe='')}"
        reply = await self.write("PUT", path, name, content, revision)
        return decode_object(reply.body)

    async def set_report(self, kind: str, name: str, report: Any, revision: int) -> None:
        """Set the status of an object that has not changed since a revision."""
        document = {"meta": {"name": name, "rev": revision}, "status": report}
        path = f"/{kind}/{quote(name, safe='')}/status"
        await self.call("PUT", path, document=document)

    async def delete(self, kind: str, name: str, revision: int) -> None:
        """Delete an object that has not changed since a revision."""
        await self.call(
            "DELETE", f"/{kind}/{quote(name, safe='')}", {"rev": revision}, allow=(404,)
        )

    async def write(
        self, method: str, path: str, name: str, content: Any, revision: int | None = None
    ) -> Reply:
        """Send an object."""
        meta: dict[str, Any] = {"name": name, "finalizers": []}
        if revision is not None:
            meta["rev"] = revision
        return await self.call(method, path, document={"meta": meta, "spec": content})

    async def call(
        self,
        method: str,
        path: str,
        query: dict[str, Any] | None = None,
        timeout: float = CALL_SECONDS,
        document: Any = None,
        allow: tuple[int, ...] = (),
    ) -> Reply:
        """Make one call from a thread.

        :raises PlatformError: one of its subclasses, which says whether the call had an effect
        """
        target = OBJECTS_PATH + path + (f"?{urlencode(query)}" if query else "")
        body = None if document is None else json.dumps(document)
        self.calls += 1
        loop = asyncio.get_running_loop()
        reply = await loop.run_in_executor(self.executor, self.send, method, target, body, timeout)
        if reply.status in allow or 200 <= reply.status < 300:
            return reply
        raise build_error(reply, target)

    def send(self, method: str, target: str, body: str | None, timeout: float) -> Reply:
        """Send one call and read its answer; runs in a thread."""
        limits = urllib3.Timeout(connect=CONNECT_SECONDS, read=timeout)
        try:
            response = self.pool.request(
                method, target, body=body, headers=JSON_HEADERS, timeout=limits
            )
        except urllib3.exceptions.ConnectTimeoutError as error:
            raise StoreUnavailableError(f"{method} {target}: {error}") from error
        except urllib3.exceptions.NewConnectionError as error:
            raise StoreUnavailableError(f"{method} {target}: {error}") from error
        except urllib3.exceptions.HTTPError as error:
            raise StoreOutcomeUnknownError(f"{method} {target}: {error}") from error
        try:
            return Reply(response.status, json.loads(response.data) if response.data else None)
        except ValueError as error:
            raise StoreOutcomeUnknownError(f"{method} {target}: malformed answer") from error

    def close(self) -> None:
        """Drop the connections; calls in progress end by their time-outs."""
        self.executor.shutdown(wait=False, cancel_futures=True)
        self.pool.close()


def expect_table(reply: Reply) -> dict[str, Any]:
    """Return the body of an answer, which must be a table.

    :raises PlatformError: if it is not
    """
    if not isinstance(reply.body, dict):
        raise PlatformError("the store's answer must be a table")
    return reply.body


def build_error(reply: Reply, target: str) -> PlatformError:
    """Return the exception for an answer that reports a failure."""
    if reply.status == 410:
        return HistoryLostError(target)
    if reply.status == 429:
        return RateLimitedError(f"{target}: rate limit")
    if reply.status == 503:
        return StoreUnavailableError(f"{target}: unavailable")
    if reply.status == 409:
        found = 0
        if isinstance(reply.body, dict) and isinstance(reply.body.get("meta"), dict):
            found = int(reply.body["meta"].get("rev") or 0)
        return ConflictError(target, 0, found)
    return PlatformError(f"{target}: status {reply.status}")
