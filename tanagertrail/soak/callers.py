"""Callers of the soak: they ask for addresses, keep connections and write down what they see."""

__all__ = ["Call", "CallerCrowd"]

import asyncio
import enum
import itertools
import json
import math
import random
from collections.abc import Callable
from typing import NamedTuple

from tanagertrail.errors import TanagertrailError
from tanagertrail.gateway.channel import open_channel
from tanagertrail.gateway.upstream_stream import UpstreamStream
from tanagertrail.platform import header_fields
from tanagertrail.soak.workload import (
    DEADLINE_SECONDS,
    WORK_SECONDS,
    SoakRequest,
    build_request,
    draw_long_request,
    draw_request,
)
from tanagertrail.standins.documents import CUSTOMERS, HOST_NAME, SoakCustomer
from tanagertrail.standins.ports import HOST

CONNECT_SECONDS = 1.0
ADDRESS_SECONDS = 1.0
MAX_ADDRESSES_BYTES = 65_536
CALLS_ON_ONE_CONNECTION = 12
CALL_SECONDS = 0.06  # between calls to a daemon that is cut off
PAUSE_SECONDS = (0.01, 0.12)
RESEND_SECONDS = (0.05, 0.4)
LEAVE_SHARE = 0.03  # of calls whose caller closes its connection before the answer
LONG_CALLERS_SHARE = 1 / 3  # of the callers, in addition to them

Draw = Callable[[random.Random, int], SoakRequest]


class Manner(enum.Enum):
    """How a caller uses connections."""

    LEAVES = "leaves after some calls"
    STAYS = "stays until the connection is closed"
    RETURNS = "connects to the same daemon again after that, as long as it accepts"


QUICK_MANNERS = (Manner.LEAVES, Manner.LEAVES, Manner.STAYS, Manner.RETURNS)
LONG_MANNERS = (Manner.RETURNS, Manner.STAYS)


class Call(NamedTuple):
    """A request and what its caller saw, times by the event loop in seconds.

    :ivar port: port of the daemon's front
    :ivar sent_at: when the last byte was written
    :ivar status: status of the answer, 0 for none
    :ivar whole: whether the answer was complete
    :ivar left: whether the caller closed its connection on purpose
    :ivar named_rate: whether the answer names a request rate
    :ivar work: seconds for which an upstream works on it
    :ivar deadline: seconds that its caller waits
    """

    request_id: str
    route: str
    customer: SoakCustomer
    body: bytes
    port: int
    sent_at: float
    ended_at: float
    status: int = 0
    stamp: str = ""
    answer: bytes = b""
    whole: bool = False
    left: bool = False
    named_rate: bool = False
    work: float = WORK_SECONDS
    deadline: float = DEADLINE_SECONDS


class CallerCrowd:
    """Several callers that go on until they are cancelled.

    :ivar links: port to connect to, by the port of the front that a daemon names
    :ivar extra_routes: routes that later configurations added, newest last
    """

    def __init__(
        self, seed: int, directories: list[int], links: dict[int, int], extra_routes: list[str]
    ) -> None:
        self.rng = random.Random(seed)
        self.directories = directories
        self.links = links
        self.extra_routes = extra_routes
        self.calls: list[Call] = []
        self.numbers = itertools.count(1)

    async def run(self, callers: int) -> None:
        """Run callers, and others with long requests, until cancelled."""
        async with asyncio.TaskGroup() as group:
            for number in range(callers):
                own_rng = random.Random(self.rng.random() + number)
                manner = QUICK_MANNERS[number % len(QUICK_MANNERS)]
                group.create_task(self.run_caller(own_rng, self.draw, manner))
            for number in range(math.ceil(callers * LONG_CALLERS_SHARE)):
                own_rng = random.Random(self.rng.random())
                manner = LONG_MANNERS[number % len(LONG_MANNERS)]
                group.create_task(self.run_caller(own_rng, draw_long_request, manner))

    def draw(self, rng: random.Random, number: int) -> SoakRequest:
        """Draw a quick request."""
        return draw_request(rng, number, self.extra_routes)

    async def run_caller(self, rng: random.Random, draw: Draw, manner: Manner) -> None:
        """Ask for addresses and send requests until cancelled."""
        front: int | None = None
        while True:
            try:
                if front is None:
                    front = rng.choice(await self.ask_directory(rng))
                else:
                    await asyncio.sleep(rng.uniform(*PAUSE_SECONDS))
                again = await self.use_front(rng, front, draw, manner)
                front = front if again else None
            except (OSError, TimeoutError, TanagertrailError, ValueError, IndexError):
                front = None
                await asyncio.sleep(rng.uniform(0.05, 0.2))

    async def keep_calling(self, rng: random.Random, front: int, seconds: float) -> None:
        """Send requests to one daemon at an even pace, whether or not earlier ones are answered."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        async with asyncio.TaskGroup() as group:
            while loop.time() < until:
                group.create_task(self.call_once(random.Random(rng.random()), front))
                await asyncio.sleep(CALL_SECONDS)

    async def call_once(self, rng: random.Random, front: int) -> None:
        """Send one request on a connection of its own."""
        try:
            stream = UpstreamStream(await open_channel(HOST, self.links[front], CONNECT_SECONDS))
        except (OSError, TimeoutError):
            return
        try:
            request = self.draw(rng, next(self.numbers))
            self.calls.append(await self.call(rng, stream, front, request))
        except (OSError, TanagertrailError):
            pass  # the connection broke before the request was written
        finally:
            stream.abort()

    async def ask_directory(self, rng: random.Random) -> list[int]:
        """Return the ports of the fronts that a daemon names."""
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
        return [int(address.rpartition(":")[2]) for address in document["addresses"]]

    async def use_front(self, rng: random.Random, front: int, draw: Draw, manner: Manner) -> bool:
        """Send requests on one connection, as long as it stands and the caller stays.

        :returns: whether the caller connects to the same daemon again
        """
        port = self.links.get(front, front)
        stream = UpstreamStream(await open_channel(HOST, port, CONNECT_SECONDS))
        answered = 0
        try:
            while manner is not Manner.LEAVES or answered < CALLS_ON_ONE_CONNECTION:
                request = draw(rng, next(self.numbers))
                call = await self.call(rng, stream, front, request)
                self.calls.append(call)
                answered += call.status > 0
                if not call.whole or call.left or not stream.reusable:
                    break
                await asyncio.sleep(rng.uniform(*PAUSE_SECONDS))
        finally:
            stream.abort()
        return manner is Manner.RETURNS and answered > 0

    async def call(
        self, rng: random.Random, stream: UpstreamStream, front: int, request: SoakRequest
    ) -> Call:
        """Send one request and read its answer."""
        call = self.send(stream, request, front)
        if rng.random() < LEAVE_SHARE:
            await asyncio.sleep(rng.uniform(0.0, 0.05))
            return call._replace(left=True, ended_at=asyncio.get_running_loop().time())
        return await self.await_answer(stream, call)

    async def send_again(self, rng: random.Random, body: bytes, seconds: float) -> None:
        """Send one request again and again under new ids, each time to any daemon."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            await self.send_anywhere(rng, "book", body)
            await asyncio.sleep(rng.uniform(*RESEND_SECONDS))

    async def send_with_part(
        self, rng: random.Random, body: bytes, part: str, seconds: float
    ) -> None:
        """Send streams whose prompts share a part, no two alike, each to any daemon."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            own_body = body + f" {next(self.numbers)}".encode()
            await self.send_anywhere(rng, "talk", own_body, part)
            await asyncio.sleep(rng.uniform(*RESEND_SECONDS))

    async def send_anywhere(
        self, rng: random.Random, route: str, body: bytes, second_part: str = ""
    ) -> None:
        """Send one request to any daemon and note what came of it."""
        front = rng.choice(list(self.links))
        request = build_request(next(self.numbers), route, CUSTOMERS[0], body, second_part)
        try:
            stream = UpstreamStream(await open_channel(HOST, self.links[front], CONNECT_SECONDS))
        except (OSError, TimeoutError):
            return
        call = self.send(stream, request, front)
        self.calls.append(await self.await_answer(stream, call))
        stream.abort()

    async def await_answer(self, stream: UpstreamStream, call: Call) -> Call:
        """Return a call with its answer, or with the time at which none had come."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(call.deadline):
                return await self.read(stream, call)
        except (OSError, TimeoutError, TanagertrailError):
            return call._replace(ended_at=loop.time())

    def send(self, stream: UpstreamStream, request: SoakRequest, front: int) -> Call:
        """Write a request and return its call, which has no answer yet."""
        headers = [
            (b"host", HOST_NAME.encode()),
            (header_fields.REQUEST_ID, request.request_id.encode()),
            (header_fields.DEADLINE_MS, str(int(request.deadline * 1000)).encode()),
            (header_fields.API_KEY, request.customer.key.encode()),
            (header_fields.CUSTOMER, b"somebody-else"),
        ]
        if request.prompt_prefix:
            headers.append((header_fields.MODEL, b"m"))
            headers.append((header_fields.PROMPT_PREFIX, request.prompt_prefix.encode()))
        if request.body:
            headers.append((b"content-length", str(len(request.body)).encode()))
        stream.send_request(request.method, request.path, headers, request.body)
        now = asyncio.get_running_loop().time()
        return Call(
            request.request_id,
            request.route,
            request.customer,
            request.body,
            front,
            now,
            now,
            work=request.work,
            deadline=request.deadline,
        )

    async def read(self, stream: UpstreamStream, call: Call) -> Call:
        """Read an answer to its end."""
        loop = asyncio.get_running_loop()
        head = await stream.read_head()
        stamp = dict(head.headers).get(header_fields.SERVER_STAMP, b"").decode()
        named_rate = header_fields.decode_rate_limit(head.headers) is not None
        parts: list[bytes] = []
        whole = False
        try:
            while (part := await stream.read_body_chunk()) is not None:
                parts.append(part)
            whole = True
        except (OSError, TimeoutError, TanagertrailError):
            pass  # an answer that is cut counts as not whole
        return call._replace(
            ended_at=loop.time(),
            status=head.status,
            stamp=stamp,
            answer=b"".join(parts),
            whole=whole,
            named_rate=named_rate,
        )
