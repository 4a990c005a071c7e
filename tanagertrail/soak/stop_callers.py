"""Callers that go on using their connections while daemons stop."""

__all__ = ["MODES", "StopCallers", "StopKind"]

import asyncio
import json
import random
from collections.abc import Sequence
from typing import NamedTuple

from tanagertrail.errors import TanagertrailError
from tanagertrail.gateway.channel import open_channel
from tanagertrail.gateway.upstream_stream import UpstreamStream
from tanagertrail.platform import header_fields
from tanagertrail.soak.stop_counts import REFUSALS, StopCall
from tanagertrail.standins.documents import CUSTOMERS, HOST_NAME
from tanagertrail.standins.ports import HOST

ROUTES = {"stream": "talk", "once": "once", "order": "book", "safe": "look"}
STREAMS = frozenset({"stream", "once"})
MODES = ("kept", "asking", "fresh")
CONNECT_SECONDS = 1.0
ADDRESS_SECONDS = 1.0
LONGEST_WAIT_SECONDS = 0.3  # after a refusal that names a longer one
RETRY_SECONDS = 0.05
ADDRESS_LIVES = 3  # lifetimes of a directory's answer for which callers use it
MAX_ADDRESSES_BYTES = 65_536
MAX_BODY_BYTES = 65_536


class StopKind(NamedTuple):
    """A kind of request.

    :ivar name: a key of :data:`ROUTES`
    :ivar work: seconds for which an upstream works on it
    :ivar deadline: seconds
    """

    name: str
    work: float
    deadline: float


class StopCallers:
    """Callers, each of one kind of request, that go on until they are told to end.

    A ``kept`` caller uses its connection until it is closed and connects to the same daemon
    again until that refuses; an ``asking`` one asks the directory then; a ``fresh`` one opens a
    connection for each request.

    :ivar pause: least and greatest seconds between requests
    :ivar ending: whether no request is sent any more
    :ivar unreached: attempts to connect that failed
    """

    def __init__(self, seed: int, directories: Sequence[int], pause: tuple[float, float]) -> None:
        self.seed = seed
        self.directories = directories
        self.pause = pause
        self.calls: list[StopCall] = []
        self.ending = False
        self.unreached = 0
        self.sent = 0

    async def run(self, number: int, kind: StopKind, mode: str, front: int | None) -> None:
        """Send requests one after another until told to end.

        :param front: daemon to begin with, by the port of its front
        """
        rng = random.Random(f"{self.seed} {number}")
        loop = asyncio.get_running_loop()
        good_until = loop.time() + ADDRESS_SECONDS
        while not self.ending:
            try:
                if front is None:
                    front, life = await self.ask_directory(rng)
                    good_until = loop.time() + ADDRESS_LIVES * life
                stays = await self.use_connection(rng, kind, front, once=mode == "fresh")
            except (OSError, TimeoutError, TanagertrailError, ValueError, IndexError):
                self.unreached += 1
                front = None
                await asyncio.sleep(RETRY_SECONDS)
                continue
            is_stale = mode == "asking" or (mode == "fresh" and loop.time() > good_until)
            if is_stale or not stays:
                front = None

    async def ask_directory(self, rng: random.Random) -> tuple[int, float]:
        """Ask a daemon for addresses.

        :returns: port of a front, and the lifetime of the answer in seconds
        """
        port = rng.choice(self.directories)
        stream = UpstreamStream(await open_channel(HOST, port, ADDRESS_SECONDS))
        try:
            async with asyncio.timeout(ADDRESS_SECONDS):
                target = f"/tanagertrail/resolve?name={HOST_NAME}&region=island&zone=north"
                stream.send_request(b"GET", target.encode(), [(b"host", b"directory")], b"")
                await stream.read_head()
                document = json.loads(await stream.read_remaining_body(MAX_ADDRESSES_BYTES))
        finally:
            stream.abort()
        address = rng.choice(document["addresses"])
        return int(address.rpartition(":")[2]), float(document["ttl_s"])

    async def use_connection(
        self, rng: random.Random, kind: StopKind, front: int, once: bool
    ) -> bool:
        """Send requests on one connection until it closes.

        :param once: whether to close it after the first answer
        :returns: whether the daemon may be asked again
        """
        stream = UpstreamStream(await open_channel(HOST, front, CONNECT_SECONDS))
        try:
            while not self.ending:
                call = await self.call(stream, kind, front)
                self.calls.append(call)
                if call.status in REFUSALS:
                    await asyncio.sleep(RETRY_SECONDS)
                    return False
                await asyncio.sleep(rng.uniform(*self.pause))
                if once or not call.whole or not stream.reusable:
                    return True
            return True
        finally:
            stream.abort()

    async def call(self, stream: UpstreamStream, kind: StopKind, front: int) -> StopCall:
        """Send one request and read its answer."""
        self.sent += 1
        request_id = f"stop-{self.sent}"
        loop = asyncio.get_running_loop()
        self.send(stream, request_id, kind)
        call = StopCall(request_id, kind.name, front, kind.work, kind.deadline, loop.time())
        try:
            async with asyncio.timeout(kind.deadline):
                call = await self.read_head(stream, call)
                await stream.read_remaining_body(MAX_BODY_BYTES)
                call = call._replace(whole=True)
        except (OSError, TimeoutError, TanagertrailError):
            pass  # the call says that its answer is missing or not whole
        was_reset = isinstance(stream.channel.error, ConnectionResetError)
        return call._replace(ended_at=loop.time(), reset=was_reset)

    def send(self, stream: UpstreamStream, request_id: str, kind: StopKind) -> None:
        """Write a request that tells its upstream how long to work."""
        body = request_id.encode() if kind.name == "order" else b""
        headers = [
            (b"host", HOST_NAME.encode()),
            (header_fields.REQUEST_ID, request_id.encode()),
            (header_fields.DEADLINE_MS, str(int(kind.deadline * 1000)).encode()),
            (header_fields.API_KEY, CUSTOMERS[0].key.encode()),
        ]
        if body:
            headers.append((b"content-length", str(len(body)).encode()))
        suffix = "events" if kind.name in STREAMS else "x"
        target = f"/{ROUTES[kind.name]}/{suffix}?work={kind.work}"
        stream.send_request(b"POST" if body else b"GET", target.encode(), headers, body)

    async def read_head(self, stream: UpstreamStream, call: StopCall) -> StopCall:
        """Read the head of an answer."""
        head = await stream.read_head()
        return call._replace(
            head_at=asyncio.get_running_loop().time(),
            status=head.status,
            announced=(b"connection", b"close") in head.headers,
        )
