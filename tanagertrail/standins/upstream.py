"""A stand-in of an upstream, which runs requests and misbehaves as it is told."""

__all__ = ["FAULTS", "RunRecord", "StandInUpstream"]

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from tanagertrail.gateway.http1 import CallerRequest, CallerStream, Headers
from tanagertrail.platform import header_fields
from tanagertrail.registry import Registry
from tanagertrail.standins.base import BaseStandIn

STREAM_SUFFIX = "/events"
EVENTS = 6
ENDLESS_BLOCK = 16_384
COPY_SECONDS = 0.03  # a caller's next request comes before or after it
DRIP_SECONDS = 0.1  # less than any pause that is allowed between events


class RunRecord(NamedTuple):
    """A request that the upstream began to run."""

    request_id: str
    customer: str
    request: CallerRequest


Fault = Callable[["StandInUpstream", CallerRequest, CallerStream], Awaitable[None]]
FAULTS: Registry[Fault] = Registry("upstream fault")


class StandInUpstream(BaseStandIn):
    """Run requests.

    :ivar faults: names of faults for the next requests, in order
    :ivar runs: requests that were begun
    :ivar arrivals: ids of the requests that reached it
    :ivar arrival_times: event-loop time in seconds of each arrival
    :ivar cut: ids of requests whose connection closed while they ran
    :ivar deadly: text in a body or target that ends the upstream when it begins to run it
    :ivar deadly_part: id of a part of prompts that crashes it when it begins to answer on one
    :ivar deadly_after: events of a stream that it sends before it crashes on that part
    :ivar deadly_every: it crashes on each request of this number with that part
    :ivar part_arrivals: event-loop time in seconds of each request with that part
    :ivar ended: whether it has ended
    :ivar endless_bytes: bytes sent by faults that have no end
    :ivar work: seconds that a plain request takes, and each event of a stream
    :ivar released: set to end the requests that the fault "hold" keeps running
    :ivar named_rate: value of the rate limit that it names in its answers, None for none
    """

    def __init__(self, upstream_id: str, work: float = 0.002) -> None:
        self.id = upstream_id
        self.work = work
        self.faults: deque[str] = deque()
        self.runs: list[RunRecord] = []
        self.arrivals: list[str] = []
        self.arrival_times: list[float] = []
        self.cut: list[str] = []
        self.connections = 0
        self.deadly = b""
        self.deadly_part = ""
        self.deadly_after = 0
        self.deadly_every = 1
        self.part_arrivals: list[float] = []
        self.ended = False
        self.endless_bytes = 0
        self.named_rate: str | None = None
        self.released = asyncio.Event()
        super().__init__(upstream_id)

    async def handle(self, request: CallerRequest, stream: CallerStream) -> None:
        """Run a request, or misbehave."""
        table = dict(request.headers)
        request_id = table.get(header_fields.REQUEST_ID, b"").decode()
        self.arrivals.append(request_id)
        self.arrival_times.append(asyncio.get_running_loop().time())
        if table.get(header_fields.EXPECTED_UPSTREAM, b"").decode() != self.id:
            stream.send_response(421, [(header_fields.UPSTREAM_ID, self.id.encode())], b"")
            return
        try:
            if self.deadly and self.deadly in request.target + request.body:
                self.begin(request)
                self.crash()
            elif self.is_deadly(request):
                await self.crash_on_part(request, stream)
            elif self.faults:
                await FAULTS.get(self.faults.popleft())(self, request, stream)
            else:
                await self.run(request, stream)
        except asyncio.CancelledError:
            self.cut.append(request_id)
            raise

    def is_deadly(self, request: CallerRequest) -> bool:
        """Return whether the prompt has the deadly part and its turn has come."""
        if not self.deadly_part:
            return False
        fields = header_fields.decode_caller_fields(request.headers)
        if self.deadly_part not in fields.shared_parts:
            return False
        self.part_arrivals.append(asyncio.get_running_loop().time())
        return len(self.part_arrivals) % self.deadly_every == 0

    async def crash_on_part(self, request: CallerRequest, stream: CallerStream) -> None:
        """Read the prompt, send some events and crash."""
        self.begin(request)
        await asyncio.sleep(self.work)
        if self.deadly_after:
            await self.send_events(request, stream, self.deadly_after)
        self.crash()

    def crash(self) -> None:
        """End as a killed process does: connections are reset, new ones are refused."""
        self.ended = True
        for channel in list(self.server.busy_channels):
            channel.abort()
        self.close()

    def begin(self, request: CallerRequest) -> None:
        """Note that a request begins to run."""
        table = dict(request.headers)
        self.runs.append(
            RunRecord(
                table.get(header_fields.REQUEST_ID, b"").decode(),
                table.get(header_fields.CUSTOMER, b"").decode(),
                request,
            )
        )

    def sign(self, request: CallerRequest) -> Headers:
        """Return the header of an answer."""
        request_id = dict(request.headers).get(header_fields.REQUEST_ID, b"")
        signature = [
            (header_fields.REQUEST_ID, request_id),
            (header_fields.SERVER_STAMP, f"{self.id}.{request_id.decode()}".encode()),
            (header_fields.SERVER_LOAD, b"1,0,8"),
        ]
        return signature + self.name_rate()

    def name_rate(self) -> Headers:
        """Return the header in which an upstream in need names a rate limit."""
        if self.named_rate is None:
            return []
        return [(header_fields.RATE_LIMIT_FIELDS[1], self.named_rate.encode())]

    async def run(self, request: CallerRequest, stream: CallerStream) -> None:
        """Run a request to its end."""
        self.begin(request)
        if request.path.endswith(STREAM_SUFFIX):
            await self.send_events(request, stream, EVENTS)
            stream.finish_response()
            return
        await asyncio.sleep(self.work)
        self.answer(request, stream)

    def answer(self, request: CallerRequest, stream: CallerStream) -> None:
        """Answer a plain request."""
        stream.send_response(200, self.sign(request), b"answer of " + self.id.encode())

    async def send_events(self, request: CallerRequest, stream: CallerStream, until: int) -> None:
        """Send the events of a stream that come after the last one that the caller has."""
        last = int(dict(request.headers).get(header_fields.LAST_EVENT_ID, b"0"))
        for number in range(last + 1, until + 1):
            await asyncio.sleep(self.work)
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            if stream.response_started:
                stream.send_chunk(event)
            else:
                stream.start_chunked_response(200, self.sign(request), event)


@FAULTS.register("refuse")
async def refuse(upstream: StandInUpstream, request: CallerRequest, stream: CallerStream) -> None:
    """Reject the request as one that has not run."""
    fields = [*upstream.sign(request)[:1], (header_fields.NOT_RUN, b"1"), *upstream.name_rate()]
    stream.send_response(503, fields, b"full")


@FAULTS.register("hold")
async def hold(upstream: StandInUpstream, request: CallerRequest, stream: CallerStream) -> None:
    """Run the request until it is released."""
    upstream.begin(request)
    await upstream.released.wait()
    upstream.answer(request, stream)


@FAULTS.register("fail")
async def fail(upstream: StandInUpstream, request: CallerRequest, stream: CallerStream) -> None:
    """Run the request and answer with a failure."""
    upstream.begin(request)
    stream.send_response(500, upstream.sign(request), b"failed")


@FAULTS.register("reset")
async def reset(upstream: StandInUpstream, request: CallerRequest, stream: CallerStream) -> None:
    """Run the request and reset the connection without an answer."""
    upstream.begin(request)
    stream.channel.abort()


@FAULTS.register("silent")
async def stay_silent(
    upstream: StandInUpstream, request: CallerRequest, stream: CallerStream
) -> None:
    """Run the request and never answer."""
    upstream.begin(request)
    await asyncio.sleep(3600)


@FAULTS.register("half_event")
async def break_within_event(
    upstream: StandInUpstream, request: CallerRequest, stream: CallerStream
) -> None:
    """Break off within the third event of a stream."""
    upstream.begin(request)
    await upstream.send_events(request, stream, 2)
    stream.send_chunk(b"id: 3\nda")
    await asyncio.sleep(0.02)
    stream.channel.close()


@FAULTS.register("extra")
async def answer_twice(
    upstream: StandInUpstream, request: CallerRequest, stream: CallerStream
) -> None:
    """Send another whole answer behind the first."""
    await upstream.run(request, stream)
    stream.channel.write(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra")


@FAULTS.register("late_other")
async def answer_other_first(
    upstream: StandInUpstream, request: CallerRequest, stream: CallerStream
) -> None:
    """Send the answer to another request before the one that is asked for."""
    stream.channel.write(
        b"HTTP/1.1 200 OK\r\n" + header_fields.REQUEST_ID + b": other\r\n"
        b"" + header_fields.SERVER_STAMP + b": x\r\ncontent-length: 5\r\n\r\nother"
    )
    await upstream.run(request, stream)


@FAULTS.register("late_copy")
async def answer_again_late(
    upstream: StandInUpstream, request: CallerRequest, stream: CallerStream
) -> None:
    """Send a second copy of the answer while the connection is kept."""
    await upstream.run(request, stream)
    asyncio.get_running_loop().call_later(COPY_SECONDS, stream.channel.write, copy_answer(upstream))


@FAULTS.register("copy_first")
async def answer_before_first(
    upstream: StandInUpstream, request: CallerRequest, stream: CallerStream
) -> None:
    """Send the answer to the request that ran before this one once more, then this one's."""
    if upstream.runs:
        stream.channel.write(copy_answer(upstream))
    await upstream.run(request, stream)


def copy_answer(upstream: StandInUpstream) -> bytes:
    """Return another copy of the last answer, as whole and signed as the first."""
    head = build_head(upstream, upstream.runs[-1].request, b"content-length: 8")
    return head + b"old copy"


@FAULTS.register("drip")
async def drip(upstream: StandInUpstream, request: CallerRequest, stream: CallerStream) -> None:
    """Send two events and then a byte of the third now and then."""
    upstream.begin(request)
    await upstream.send_events(request, stream, 2)
    for byte in b"id: 3\ndata: " + b"x" * 1000:
        await asyncio.sleep(DRIP_SECONDS)
        stream.send_chunk(bytes([byte]))


@FAULTS.register("short")
async def answer_short(
    upstream: StandInUpstream, request: CallerRequest, stream: CallerStream
) -> None:
    """Announce more bytes than are sent."""
    upstream.begin(request)
    lines = [b"HTTP/1.1 200 OK", b"content-length: 50"]
    lines.extend(name + b": " + value for name, value in upstream.sign(request))
    stream.channel.write(b"\r\n".join(lines) + b"\r\n\r\nhalf")
    await asyncio.sleep(0.02)
    stream.channel.close()


async def send_endlessly(upstream: StandInUpstream, stream: CallerStream, data: bytes) -> None:
    """Send bytes again and again until the connection closes, and count them."""
    while True:
        stream.channel.write(data)
        upstream.endless_bytes += len(data)
        await stream.channel.drain()
        await asyncio.sleep(0)


def build_head(upstream: StandInUpstream, request: CallerRequest, *lines: bytes) -> bytes:
    """Return the head of a signed success."""
    signed = [name + b": " + value for name, value in upstream.sign(request)]
    return b"\r\n".join([b"HTTP/1.1 200 OK", *signed, *lines]) + b"\r\n\r\n"


@FAULTS.register("endless_line")
async def send_endless_line(
    upstream: StandInUpstream, request: CallerRequest, stream: CallerStream
) -> None:
    """Send a head whose first line has no end."""
    upstream.begin(request)
    await send_endlessly(upstream, stream, b"x" * ENDLESS_BLOCK)


@FAULTS.register("endless_heads")
async def send_endless_heads(
    upstream: StandInUpstream, request: CallerRequest, stream: CallerStream
) -> None:
    """Send heads that announce an answer, and never the answer."""
    upstream.begin(request)
    await send_endlessly(upstream, stream, b"HTTP/1.1 103 Early Hints\r\n\r\n" * 100)


@FAULTS.register("endless_others")
async def send_endless_others(
    upstream: StandInUpstream, request: CallerRequest, stream: CallerStream
) -> None:
    """Send answers to other requests."""
    upstream.begin(request)
    head = (
        b"HTTP/1.1 200 OK\r\n" + header_fields.REQUEST_ID + b": other\r\ncontent-length: 5\r\n\r\n"
    )
    await send_endlessly(upstream, stream, (head + b"other") * 100)


@FAULTS.register("endless_chunks")
async def send_endless_chunks(
    upstream: StandInUpstream, request: CallerRequest, stream: CallerStream
) -> None:
    """Send a signed success whose chunks have no end, nor does an event in them."""
    upstream.begin(request)
    stream.channel.write(build_head(upstream, request, b"transfer-encoding: chunked"))
    block = b"%x\r\n" % ENDLESS_BLOCK + b"x" * ENDLESS_BLOCK + b"\r\n"
    await send_endlessly(upstream, stream, block)


@FAULTS.register("endless_body")
async def send_endless_body(
    upstream: StandInUpstream, request: CallerRequest, stream: CallerStream
) -> None:
    """Send a signed success that ends with its connection, which stays open."""
    upstream.begin(request)
    stream.channel.write(build_head(upstream, request, b"connection: close"))
    await send_endlessly(upstream, stream, b"x" * ENDLESS_BLOCK)


@FAULTS.register("endless_blocks")
async def send_endless_blocks(
    upstream: StandInUpstream, request: CallerRequest, stream: CallerStream
) -> None:
    """Send a signed success of blocks that look like events and have no id."""
    upstream.begin(request)
    stream.channel.write(build_head(upstream, request, b"connection: close"))
    await send_endlessly(upstream, stream, b"noise: x\n\n" * 100)


@FAULTS.register("unsigned")
async def answer_unsigned(
    upstream: StandInUpstream, request: CallerRequest, stream: CallerStream
) -> None:
    """Answer without the upstream's signature."""
    upstream.begin(request)
    stream.send_response(200, upstream.sign(request)[:1], b"whose")
