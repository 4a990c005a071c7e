"""A stand-in of the platform's object store, with faults that tests switch on."""

__all__ = ["StandInStore"]

import asyncio
import copy
import enum
import json
from typing import Any, NamedTuple
from urllib.parse import parse_qs, unquote

from tanagertrail.gateway.http1 import CallerRequest, CallerStream
from tanagertrail.platform.store import ERA_FIELD, OBJECTS_PATH
from tanagertrail.standins.base import BaseStandIn

PAGE_SIZE = 500
FIRST_REVISION = 100


class StoreMode(enum.StrEnum):
    """How the store treats calls."""

    UP = "up"
    BUSY = "busy"
    SILENT = "silent"
    RESET = "reset"


class StoreCopy(NamedTuple):
    """The state of a store at some time."""

    objects: dict[str, dict[str, dict[str, Any]]]
    revision: int


class StandInStore(BaseStandIn):
    """Objects by kind and name with one revision counter.

    :ivar era: number of times that it came back from an older copy, which its answers state

    :ivar lost_writes: writes that are done and not answered
    :ivar delay: seconds by which each answer is late
    :ivar raw_values: bytes that stand in answers for the strings by which documents name them
    :ivar refused_hosts: hosts whose calls are refused
    :ivar refused_kinds: kinds whose calls are refused, as at a store over its rate
    """

    def __init__(self) -> None:
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.history: list[tuple[int, str, dict[str, Any], bool]] = []
        self.revision = FIRST_REVISION
        self.forgotten = FIRST_REVISION
        self.era = 0
        self.mode = StoreMode.UP
        self.lost_writes = 0
        self.refused_kinds: set[str] = set()
        self.raw_values: dict[str, bytes] = {}
        self.delay = 0.0
        self.calls = 0
        self.changed = asyncio.Event()
        super().__init__("store")

    def put(self, kind: str, name: str, content: Any, report: Any = None) -> None:
        """Store an object as its writer would."""
        group = self.objects.setdefault(kind, {})
        self.revision += 1
        old = group.get(name)
        item = {
            "meta": {
                "name": name,
                "rev": self.revision,
                "created_rev": old["meta"]["created_rev"] if old else self.revision,
                "finalizers": [],
                "deleting": False,
            },
            "spec": content,
            "status": report if report is not None else (old["status"] if old else None),
        }
        group[name] = item
        self.note_change(kind, item, False)

    def put_raw(self, kind: str, name: str, content: bytes) -> None:
        """Store an object whose content stands in answers as these bytes."""
        label = f"raw content {len(self.raw_values)}"
        self.raw_values[label] = content
        self.put(kind, name, label)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        item = self.objects.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            self.note_change(kind, item, True)

    def note_change(self, kind: str, item: dict[str, Any], deleted: bool) -> None:
        """Keep a change for those who watch."""
        self.history.append((self.revision, kind, copy.deepcopy(item), deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    def forget_history(self) -> None:
        """Drop the history, so that watches of older revisions fail."""
        self.history.clear()
        self.forgotten = self.revision

    def take_copy(self) -> StoreCopy:
        """Return a copy of the present state."""
        return StoreCopy(copy.deepcopy(self.objects), self.revision)

    def restore(self, older: StoreCopy) -> None:
        """Come back from an older copy: its revisions are given out again in a new era."""
        self.objects = copy.deepcopy(older.objects)
        self.revision = older.revision
        self.era += 1
        self.forget_history()
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, request: CallerRequest, stream: CallerStream) -> None:
        """Answer a call, or treat it as the mode says."""
        self.calls += 1
        kind = request.path.removeprefix(OBJECTS_PATH + "/").split("/")[0]
        if self.mode is StoreMode.BUSY or kind in self.refused_kinds:
            self.reply(stream, 503, None)
            return
        if self.mode is StoreMode.RESET:
            stream.channel.abort()
            return
        if self.mode is StoreMode.SILENT:
            await asyncio.sleep(3600)
        await asyncio.sleep(self.delay)
        status, body = await self.serve(request)
        if request.method != b"GET" and self.lost_writes > 0:
            self.lost_writes -= 1
            await asyncio.sleep(3600)
        if self.mode is StoreMode.SILENT:
            await asyncio.sleep(3600)
        self.reply(stream, status, body)

    def reply(self, stream: CallerStream, status: int, body: Any) -> None:
        """Send an answer."""
        data = b"" if body is None else self.encode(body)
        fields = [
            (b"content-type", b"application/json"),
            (ERA_FIELD.encode(), str(self.era).encode()),
        ]
        stream.send_response(status, fields, data)

    def encode(self, body: Any) -> bytes:
        """Encode a document, with the raw values in their places."""
        data = json.dumps(body).encode()
        for name, raw_value in self.raw_values.items():
            data = data.replace(json.dumps(name).encode(), raw_value)
        return data

    async def serve(self, request: CallerRequest) -> tuple[int, Any]:
        """Carry out a call and return its status and body."""
        query = {
            name: values[0]
            for name, values in parse_qs(request.target.decode().partition("?")[2]).items()
        }
        path = request.path.removeprefix(OBJECTS_PATH + "/").split("/")
        kind, name = path[0], unquote(path[1]) if len(path) > 1 else None
        if request.method == b"GET" and name is None:
            if "watch" in query:
                return await self.watch(kind, int(query["watch"]), int(query["wait_ms"]) / 1000)
            return 200, self.list_page(kind, query.get("after_rev", ""))
        if request.method == b"GET":
            item = self.objects.get(kind, {}).get(name)
            return (404, None) if item is None else (200, item)
        if request.method == b"DELETE":
            return self.delete(kind, name, query)
        document = json.loads(request.body)
        if request.method == b"POST":
            return self.create(kind, document)
        return self.replace(kind, name, document, len(path) > 2)

    def list_page(self, kind: str, after: str) -> dict[str, Any]:
        """Return a page of objects."""
        names = sorted(name for name in self.objects.get(kind, {}) if name > after)
        items = [self.objects[kind][name] for name in names[:PAGE_SIZE]]
        more = len(names) > PAGE_SIZE
        return {"items": items, "more": more, "store_revision": self.revision}

    async def watch(self, kind: str, since: int, wait: float) -> tuple[int, Any]:
        """Return the changes of a kind, or none after some time."""
        until = asyncio.get_running_loop().time() + wait
        while True:
            if not self.forgotten <= since <= self.revision:
                return 410, None
            events = [
                {"object": item, "deleted": deleted}
                for revision, changed, item, deleted in self.history
                if changed == kind and revision > since
            ]
            left = until - asyncio.get_running_loop().time()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                async with asyncio.timeout(left):
                    await self.changed.wait()
            except TimeoutError:
                continue

    def create(self, kind: str, document: dict[str, Any]) -> tuple[int, Any]:
        """Create an object unless it is there."""
        name = document["meta"]["name"]
        found = self.objects.get(kind, {}).get(name)
        if found is not None:
            return 409, found
        self.put(kind, name, document.get("spec"))
        return 200, self.objects[kind][name]

    def replace(
        self, kind: str, name: str, document: dict[str, Any], report: bool
    ) -> tuple[int, Any]:
        """Replace an object or its status, under the condition that the call gives."""
        found = self.objects.get(kind, {}).get(name)
        if found is None:
            return 404, None
        expected = document["meta"].get("rev")
        if expected is not None and expected != found["meta"]["rev"]:
            return 409, found
        if report:
            self.put(kind, name, found["spec"], document.get("status"))
        elif document.get("spec") != found["spec"]:
            self.put(kind, name, document.get("spec"))
        return 200, self.objects[kind][name]

    def delete(self, kind: str, name: str, query: dict[str, str]) -> tuple[int, Any]:
        """Delete an object, under the condition that the call gives."""
        found = self.objects.get(kind, {}).get(name)
        if found is None:
            return 404, None
        if "rev" in query and int(query["rev"]) != found["meta"]["rev"]:
            return 409, found
        self.remove(kind, name)
        return 200, None
