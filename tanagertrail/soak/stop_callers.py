"""Callers that go on using their connections while daemons stop."""

__all__ = ["MODES", "StopCallers", "StopKind"]

import asyncio
import json
import random
import socket
from collections.abc import Sequence
from typing import NamedTuple

import h11

from tanagertrail.errors import TanagertrailError
from tanagertrail.gateway.channel import open_channel
from tanagertrail.gateway.upstream_stream import UpstreamStream
from tanagertrail.platform import header_fields
from tanagertrail.soak.stop_counts import REFUSALS, StopCall
from tanagertrail.standins.documents import CUSTOMERS, HOST_NAME
from tanagertrail.standins.ports import HOST

ROUTES = {"stream": "talk", "once": "once", "order": "book", "safe": "look"}
STREAMS = frozenset({"stream", "once"})
KEPT, ASKING, FRESH, PIPELINED, PROTOCOL = "kept", "asking", "fresh", "pipelined", "protocol"
CHUNKED, SLOW = "chunked", "slow"
MODES = (KEPT, ASKING, FRESH)
LOYAL = frozenset({KEPT, PIPELINED, CHUNKED, SLOW})  # connect to the same daemon again
CHUNKS = (b"s" * 16_000, b"e" * 8_000)  # of a long body
CHUNKED_BODY = (b"transfer-encoding", b"chunked")
CHUNK_PAUSE_SECONDS = 0.02
SLOW_RECEIVE_BYTES = 4_096  # of the receive buffer of a caller that reads slowly
SLOW_READ_SECONDS = 0.15
CONNECT_SECONDS = 1.0
ADDRESS_SECONDS = 1.0
RETRY_SECONDS = 0.05
ADDRESS_LIVES = (1, 3)  # lifetimes of a directory's answer for which callers use it
MAX_DIRECTORIES = 3
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


class AddressBook:
    """Addresses from the directory, kept for their lifetime and while no new ones are to be had.

    :ivar lives: lifetimes of an answer for which it is used
    :ivar fronts: ports of the fronts of the last answer
    :ivar failed: those that have failed since
    :ivar good_until: event-loop time in seconds
    """

    def __init__(self, directories: Sequence[int], rng: random.Random, lives: float) -> None:
        self.directories = directories
        self.rng = rng
        self.lives = lives
        self.fronts: list[int] = []
        self.failed: set[int] = set()
        self.good_until = 0.0

    async def list_fronts(self) -> list[int]:
        """List the fronts, after asking again if the last answer has expired."""
        if asyncio.get_running_loop().time() >= self.good_until:
            await self.renew()
        return self.fronts

    async def choose_front(self) -> int | None:
        """Choose a front that has not failed, None if there is none."""
        fronts = [front for front in await self.list_fronts() if front not in self.failed]
        return self.rng.choice(fronts) if fronts else None

    async def renew(self) -> None:
        """Ask up to three daemons; an answer without addresses counts as a failure."""
        now = asyncio.get_running_loop().time
        asked = self.rng.sample(self.directories, min(MAX_DIRECTORIES, len(self.directories)))
        for port in asked:
            try:
                fronts, lifetime = await self.ask(port)
            except (OSError, TimeoutError, TanagertrailError, ValueError, KeyError):
                continue
            if fronts:
                self.fronts, self.failed = fronts, set()
                self.good_until = now() + self.lives * lifetime
                return
        self.good_until = now() + RETRY_SECONDS

    async def ask(self, port: int) -> tuple[list[int], float]:
        """Ask one daemon for ports of fronts and for their lifetime in seconds."""
        stream = UpstreamStream(await open_channel(HOST, port, ADDRESS_SECONDS))
        try:
            async with asyncio.timeout(ADDRESS_SECONDS):
                target = f"/tanagertrail/resolve?name={HOST_NAME}&region=island&zone=north"
                stream.send_request(b"GET", target.encode(), [(b"host", b"directory")], b"")
                await stream.read_head()
                document = json.loads(await stream.read_remaining_body(MAX_ADDRESSES_BYTES))
        finally:
            stream.abort()
        fronts = [int(address.rpartition(":")[2]) for address in document["addresses"]]
        return fronts, float(document["ttl_s"])


class StopCallers:
    """Callers, each of one kind of request, that go on until they are told to end.

    A ``kept`` caller uses its connection until it is closed and connects to the same daemon
    again until that refuses; an ``asking`` one asks the directory then; a ``fresh`` one opens a
    connection for each request; a ``pipelined`` one is a kept one that sends two at a time. A
    ``protocol`` one renews its addresses and leaves connections to those that are missing.
    A ``chunked`` one is a kept one that sends a long body in chunks, with pauses; a ``slow`` one
    a kept one that reads each answer late.

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
        lives = 0 if mode == ASKING else rng.choice(ADDRESS_LIVES)
        book = AddressBook(self.directories, rng, lives)
        while not self.ending:
            front = front or await book.choose_front()
            if front is None:
                await asyncio.sleep(RETRY_SECONDS)
                continue
            try:
                stays = await self.use_connection(book, kind, front, mode)
            except (OSError, TimeoutError):
                self.unreached += 1
                book.failed.add(front)
                stays = False
                await asyncio.sleep(RETRY_SECONDS)
            if mode not in LOYAL or not stays:
                front = None

    async def use_connection(
        self, book: AddressBook, kind: StopKind, front: int, mode: str
    ) -> bool:
        """Send requests on one connection until it closes.

        :returns: whether the daemon may be asked again
        :raises OSError: if the connection cannot be made
        :raises TimeoutError: if that takes too long
        """
        stream = UpstreamStream(await open_channel(HOST, front, CONNECT_SECONDS))
        try:
            while not self.ending:
                if mode == PROTOCOL and front not in await book.list_fronts():
                    return False
                if mode == PIPELINED:
                    stream, call = await self.exchange_two(stream, kind, front)
                elif mode == CHUNKED:
                    call = await self.read_answer(
                        stream, await self.send_chunks(stream, kind, front)
                    )
                elif mode == SLOW:
                    call = await self.read_late(stream, self.send(stream, kind, front, mode))
                else:
                    call = await self.read_answer(stream, self.send(stream, kind, front, mode))
                if call.status in REFUSALS:
                    book.failed.add(front)
                    await asyncio.sleep(RETRY_SECONDS)
                    return False
                await asyncio.sleep(book.rng.uniform(*self.pause))
                if mode == FRESH or not call.whole or not stream.reusable:
                    return True
            return True
        finally:
            stream.abort()

    async def exchange_two(
        self, stream: UpstreamStream, kind: StopKind, front: int
    ) -> tuple[UpstreamStream, StopCall]:
        """Send two requests at once and read their answers.

        :returns: the stream that goes on with the connection, and the second call
        """
        second = UpstreamStream(stream.channel)
        calls = [self.send(item, kind, front, PIPELINED) for item in (stream, second)]
        first_call = await self.read_answer(stream, calls[0])
        arrived = stream.parser.trailing_data[0]
        if not first_call.whole:
            stream.abort()
        elif arrived:
            second.parser.receive_data(arrived)
        return second, await self.read_answer(second, calls[1])

    def send(
        self,
        stream: UpstreamStream,
        kind: StopKind,
        front: int,
        mode: str,
        is_whole: bool = True,
    ) -> StopCall:
        """Write a request that tells its upstream how long to work.

        :param is_whole: whether it has no body that follows
        """
        self.sent += 1
        request_id = f"stop-{self.sent}"
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
        if is_whole:
            stream.send_request(b"POST" if body else b"GET", target.encode(), headers, body)
        else:
            headers = [item for item in headers if item[0] != b"content-length"]
            stream.send_head(b"POST", target.encode(), [*headers, CHUNKED_BODY])
        sent_at = asyncio.get_running_loop().time()
        return StopCall(request_id, kind.name, front, kind.work, kind.deadline, sent_at, mode=mode)

    async def send_chunks(self, stream: UpstreamStream, kind: StopKind, front: int) -> StopCall:
        """Write a request with a long body in chunks, with pauses between them."""
        call = self.send(stream, kind, front, CHUNKED, is_whole=False)
        for chunk in CHUNKS:
            await asyncio.sleep(CHUNK_PAUSE_SECONDS)
            stream.channel.write(stream.parser.send(h11.Data(data=chunk)))
        await asyncio.sleep(CHUNK_PAUSE_SECONDS)
        stream.channel.write(stream.parser.send(h11.EndOfMessage()))
        return call._replace(sent_at=asyncio.get_running_loop().time())

    async def read_late(self, stream: UpstreamStream, call: StopCall) -> StopCall:
        """Read an answer in small parts, each some time after it has come."""
        transport = stream.channel.transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_RECEIVE_BYTES)
        reading = asyncio.create_task(self.read_answer(stream, call))
        while not reading.done():
            transport.pause_reading()
            await asyncio.sleep(SLOW_READ_SECONDS)
            if not transport.is_closing():
                transport.resume_reading()
            await asyncio.sleep(0.0)
        return reading.result()

    async def read_answer(self, stream: UpstreamStream, call: StopCall) -> StopCall:
        """Read an answer, and note what its caller saw."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout_at(call.sent_at + call.deadline):
                head = await stream.read_head()
                announced = (b"connection", b"close") in head.headers
                call = call._replace(head_at=loop.time(), status=head.status, announced=announced)
                await stream.read_remaining_body(MAX_BODY_BYTES)
                call = call._replace(whole=True)
        except (OSError, TimeoutError, TanagertrailError):
            pass  # the call says that its answer is missing or not whole
        was_reset = isinstance(stream.channel.error, ConnectionResetError)
        call = call._replace(ended_at=loop.time(), reset=was_reset)
        self.calls.append(call)
        return call
