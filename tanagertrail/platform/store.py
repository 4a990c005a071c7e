"""HTTP client of the platform's object store; its calls run in worker threads."""

__all__ = [
    "HistoryLostError",
    "Listing",
    "Refusal",
    "StoreClient",
    "StoredObject",
    "WatchResponse",
    "get_era",
    "is_news",
    "join_revision",
]

import asyncio
import json
import socket
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from typing import Any, NamedTuple
from urllib.parse import quote, urlencode

import urllib3

from tanagertrail.decoding import Unreadable, load_leniently
from tanagertrail.errors import (
    ConflictError,
    DecodeError,
    PlatformError,
    RateLimitedError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from tanagertrail.platform.stored_objects import (
    ERA_FACTOR,
    HistoryLostError,
    Listing,
    Refusal,
    StoredObject,
    WatchResponse,
    complete_listing,
    decode_changes,
    decode_listing_page,
    decode_object,
    get_era,
    is_news,
    join_revision,
    read_revision,
)

OBJECTS_PATH = "/tanagertrail/objects"
CALL_TIMEOUT_SECONDS = 1.0  # a store without load responds in milliseconds
CONNECT_TIMEOUT_SECONDS = 0.6
WATCH_MARGIN_SECONDS = 0.8  # time to respond after the wait of a watch is over
THREAD_COUNT = 12
ERA_FIELD = "Store-Era"
MAX_ERA_DIGITS = 6
MAX_RESPONSE_BYTES = 16_000_000
MAX_LISTED_OBJECTS = 100_000
RESPONSE_LEVELS = 4  # an answer, its array, an event, an object: their members are told apart
JSON_HEADERS = {"Content-Type": "application/json"}
SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 2000),
]


class StoreResponse(NamedTuple):
    """A response of the store: HTTP status and decoded JSON body.

    :ivar era: number of times that the store has come back from an older copy, None if not stated
    """

    status: int
    body: Any
    era: int | None = None


class StoreClient:
    """Access objects in the store; each call changes at most one object.

    :ivar era: newest era of the store that this daemon knows of
    :ivar on_restored: called with the former and the new era when the store shows a newer one
    :ivar on_refused: called with the kind of an object that cannot be read, and why
    """

    def __init__(self, address: str, thread_count: int = THREAD_COUNT) -> None:
        host, _, port = address.rpartition(":")
        self.pool = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=thread_count, retries=False, socket_options=SOCKET_OPTIONS
        )
        self.executor = ThreadPoolExecutor(thread_count, thread_name_prefix="store")
        self.call_count = 0
        self.era: int | None = None
        self.on_restored: Callable[[int, int], None] = lambda former, era: None
        self.on_refused: Callable[[str, Refusal], None] = lambda kind, refusal: None

    def decode(self, kind: str, response: StoreResponse) -> StoredObject:
        """Decode the object in a response.

        :raises PlatformError: if its name or a revision cannot be read
        """
        return decode_object(response.body, response.era, partial(self.on_refused, kind))

    async def list_kind(self, kind: str, allow_stale: bool = False) -> Listing:
        """Read all objects of a kind, page by page, as of one revision.

        Objects of earlier pages may change before the last one is read. Such changes are read as a
        watch would, from the revision of the first page.

        :param allow_stale: whether the listing may be some seconds old
        :raises HistoryLostError: if these changes are gone
        :raises PlatformError: if a page is malformed or the pages have no end
        """
        objects: list[StoredObject] = []
        era = first_revision = 0
        query: dict[str, Any] = {"stale_ok": 1} if allow_stale else {}
        while True:
            response = await self.call("GET", f"/{kind}", query)
            if query.get("after_rev") and response.era != era:
                raise StoreUnavailableError(f"{kind}: the store came back while it was listed")
            era = response.era
            page = decode_listing_page(response.body, era, partial(self.on_refused, kind))
            first_revision = first_revision or page.revision
            objects.extend(page.objects)
            if page.next_after is None and page.revision == first_revision:
                return Listing(objects, page.revision)
            if page.next_after is None:
                changes = await self.watch_kind(kind, first_revision, 0.0)
                return complete_listing(objects, changes)
            if page.next_after == query.get("after_rev") or len(objects) > MAX_LISTED_OBJECTS:
                raise PlatformError(f"{kind}: the pages of the listing have no end")
            query = {**query, "after_rev": page.next_after}

    async def watch_kind(self, kind: str, revision: int, wait: float) -> WatchResponse:
        """Wait for changes of a kind after a revision (long poll).

        :param wait: seconds after which the store responds even without changes
        :raises HistoryLostError: if the store no longer has these changes
        """
        era, number = divmod(revision, ERA_FACTOR)
        if self.era is not None and era != self.era:
            raise HistoryLostError(f"{kind}: the store is in era {self.era}, not {era}")
        query = {"watch": number, "wait_ms": int(wait * 1000)}
        response = await self.call("GET", f"/{kind}", query, wait + WATCH_MARGIN_SECONDS)
        if response.era != era:
            raise HistoryLostError(f"{kind}: the store is in era {response.era}, not {era}")
        return decode_changes(response.body, era, number, partial(self.on_refused, kind))

    async def read(self, kind: str, name: str) -> StoredObject | None:
        """Read one object, None if it does not exist."""
        response = await self.call(
            "GET", f"/{kind}/{quote(name, safe='')}", allowed_statuses=(404,)
        )
        return None if response.status == 404 else self.decode(kind, response)

    async def create(self, kind: str, name: str, content: Any) -> StoredObject:
        """Create an object.

        :raises ConflictError: if it exists
        :raises StoreOutcomeUnknownError: if it may have been created
        """
        response = await self.write("POST", f"/{kind}", name, content)
        return self.decode(kind, response)

    async def replace(self, kind: str, name: str, content: Any, revision: int) -> StoredObject:
        """Replace an object unless it has changed since a revision.

        :raises ConflictError: if it has changed
        :raises StoreOutcomeUnknownError: if it may have been replaced
        """
        path = f"/{kind}/{quote(name, safe='')}"
        response = await self.write("PUT", path, name, content, revision)
        return self.decode(kind, response)

    async def set_status(self, kind: str, name: str, status: Any, revision: int) -> None:
        """Set the status of an object unless it has changed since a revision."""
        era, number = self.split_current(revision, name)
        document = {"meta": {"name": name, "rev": number}, "status": status}
        path = f"/{kind}/{quote(name, safe='')}/status"
        await self.call("PUT", path, document=document, expected_era=era)

    async def delete(self, kind: str, name: str, revision: int) -> None:
        """Delete an object unless it has changed since a revision."""
        era, number = self.split_current(revision, name)
        path = f"/{kind}/{quote(name, safe='')}"
        query = {"rev": number}
        await self.call("DELETE", path, query, allowed_statuses=(404,), expected_era=era)

    def split_current(self, revision: int, name: str) -> tuple[int, int]:
        """Return era and number of a revision on which a write depends.

        :raises ConflictError: if it is of an era that is over, whose numbers are given out again
        """
        era, number = divmod(revision, ERA_FACTOR)
        if self.era is not None and era != self.era:
            raise ConflictError(name, revision, 0)
        return era, number

    async def write(
        self, method: str, path: str, name: str, content: Any, revision: int | None = None
    ) -> StoreResponse:
        """Send an object to be created or replaced."""
        meta: dict[str, Any] = {"name": name, "finalizers": []}
        era = None
        if revision is not None:
            era, meta["rev"] = self.split_current(revision, name)
        document = {"meta": meta, "spec": content}
        return await self.call(method, path, document=document, expected_era=era)

    async def call(
        self,
        method: str,
        path: str,
        query: dict[str, Any] | None = None,
        timeout: float = CALL_TIMEOUT_SECONDS,
        document: Any = None,
        allowed_statuses: tuple[int, ...] = (),
        expected_era: int | None = None,
    ) -> StoreResponse:
        """Make one call in a worker thread.

        :param allowed_statuses: error statuses for which to return the response
        :param expected_era: era of the revision on which a write depends, None for none
        :raises PlatformError: or a subclass, which may tell whether the call had an effect
        """
        target = OBJECTS_PATH + path + (f"?{urlencode(query)}" if query else "")
        body = None if document is None else json.dumps(document)
        self.call_count += 1
        loop = asyncio.get_running_loop()
        response = await loop.run_in_executor(
            self.executor, self.send, method, target, body, timeout
        )
        response = self.check_era(response, method, target, expected_era)
        if response.status in allowed_statuses or 200 <= response.status < 300:
            return response
        raise build_error(response, target)

    def check_era(
        self, response: StoreResponse, method: str, target: str, expected_era: int | None
    ) -> StoreResponse:
        """Take note of a newer era, and return the response with its era.

        :raises StoreUnavailableError: if a read was answered from an era that is over
        :raises StoreOutcomeUnknownError: if a write met another era than it was meant for
        """
        era = response.era if response.era is not None else self.era or 0
        former, self.era = self.era, max(era, self.era or 0)
        if former is not None and era > former:
            self.on_restored(former, era)
        if era < self.era and method == "GET":
            raise StoreUnavailableError(f"{method} {target}: an answer of era {era}")
        if era < self.era or expected_era not in (None, era):
            raise StoreOutcomeUnknownError(f"{method} {target}: answered in era {era}")
        return response._replace(era=era)

    def send(self, method: str, target: str, body: str | None, timeout: float) -> StoreResponse:
        """Send one call and read the response; runs in a worker thread."""
        timeouts = urllib3.Timeout(connect=CONNECT_TIMEOUT_SECONDS, read=timeout)
        try:
            http_response = self.pool.request(
                method,
                target,
                body=body,
                headers=JSON_HEADERS,
                timeout=timeouts,
                preload_content=False,
            )
            data = read_limited(http_response)
        except urllib3.exceptions.ConnectTimeoutError as error:
            raise StoreUnavailableError(f"{method} {target}: {error}") from error
        except urllib3.exceptions.NewConnectionError as error:
            raise StoreUnavailableError(f"{method} {target}: {error}") from error
        except urllib3.exceptions.HTTPError as error:
            raise StoreOutcomeUnknownError(f"{method} {target}: {error}") from error
        body = load_leniently(data, RESPONSE_LEVELS) if data else None
        if isinstance(body, Unreadable):
            raise StoreOutcomeUnknownError(f"{method} {target}: malformed answer: {body.reason}")
        era = decode_era(http_response.headers.get(ERA_FIELD))
        return StoreResponse(http_response.status, body, era)

    def close(self) -> None:
        """Close the idle connections; calls in progress end by their timeouts."""
        self.executor.shutdown(wait=False, cancel_futures=True)
        self.pool.close()


def decode_era(value: str | None) -> int | None:
    """Decode the era that an answer states, None if it states none."""
    if value is None or len(value) > MAX_ERA_DIGITS or not (value.isascii() and value.isdigit()):
        return None
    return int(value)


def read_limited(response: urllib3.BaseHTTPResponse) -> bytes:
    """Read the body of a response.

    :raises StoreOutcomeUnknownError: if it is too long
    """
    data = response.read(MAX_RESPONSE_BYTES + 1)
    if len(data) > MAX_RESPONSE_BYTES:
        response.close()
        raise StoreOutcomeUnknownError(f"an answer of more than {MAX_RESPONSE_BYTES} bytes")
    response.release_conn()
    return data


def build_error(response: StoreResponse, target: str) -> PlatformError:
    """Build the exception for an error status."""
    if response.status == 410:
        return HistoryLostError(target)
    if response.status == 429:
        return RateLimitedError(f"{target}: rate limit")
    if response.status == 503:
        return StoreUnavailableError(f"{target}: unavailable")
    if response.status == 409:
        return ConflictError(target, 0, find_revision(response.body))
    return PlatformError(f"{target}: status {response.status}")


def find_revision(body: Any) -> int:
    """Return the revision of the object in the body of a response, 0 if it cannot be read."""
    meta = body.get("meta") if isinstance(body, dict) else None
    try:
        return read_revision(meta, "rev", 0) if isinstance(meta, dict) else 0
    except DecodeError:
        return 0
