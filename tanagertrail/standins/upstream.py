"""A stand-in of an upstream, which runs requests and misbehaves as it is told."""

__all__ = ["RunRecord", "StandInUpstream"]

import asyncio
import weakref
from collections import deque
from typing import NamedTuple

from tanagertrail.gateway.http1 import CallerRequest, CallerStream, Headers
from tanagertrail.platform import header_fields
from tanagertrail.standins.base import BaseStandIn
from tanagertrail.standins.blackhole import drop_incoming
from tanagertrail.standins.misbehaviour import EVENTS, FAULTS, STREAM_SUFFIX


class RunRecord(NamedTuple):
    """A request that the upstream began to run."""

    request_id: str
    customer: str
    request: CallerRequest


class StandInUpstream(BaseStandIn):
    """Run requests.

    :ivar faults: names of faults for the next requests, in order
    :ivar resume_fault: name of the fault for requests that resume a stream, empty for none
    :ivar kept: connections that have carried a request before
    :ivar runs: requests that were begun
    :ivar arrivals: ids of the requests that reached it
    :ivar arrival_times: event-loop time in seconds of each arrival
    :ivar cut: ids of requests whose connection closed while they ran
    :ivar cut_times: event-loop time in seconds of the last such close, by request
    :ivar refused_earlier: ids of requests that got a refusal of an earlier one
    :ivar deadly: text in a body or target that ends the upstream when it begins to run it
    :ivar deadly_part: id of a part of prompts that crashes it when it begins to answer on one
    :ivar deadly_after: events of a stream that it sends before it crashes on that part
    :ivar deadly_every: it crashes on each request of this number with that part
    :ivar part_arrivals: event-loop time in seconds of each request with that part
    :ivar part_crashes: the deadly part and event-loop time in seconds of each crash on one
    :ivar ended: whether it has ended
    :ivar endless_bytes: bytes sent by faults that have no end
    :ivar work: seconds that a plain request takes, and each event of a stream
    :ivar pause: seconds of silence of the faults that go on afterwards
    :ivar thawed: cleared while the process is stopped, so that nothing is answered
    :ivar released: set to end the requests that the fault "hold" keeps running
    :ivar brittle: value of the field that says it is brittle, None while it is not
    :ivar named_rate: value of the rate limit that it names in its answers, None for none
    :ivar leaving: value in which it states that it leaves, None for none
    :ivar wait: value of the wait that it asks for when it refuses, None for none
    """

    def __init__(self, upstream_id: str, work: float = 0.002) -> None:
        self.id = upstream_id
        self.work = work
        self.faults: deque[str] = deque()
        self.resume_fault = ""
        self.kept: weakref.WeakSet[CallerStream] = weakref.WeakSet()
        self.runs: list[RunRecord] = []
        self.arrivals: list[str] = []
        self.arrival_times: list[float] = []
        self.cut: list[str] = []
        self.cut_times: dict[str, float] = {}
        self.refused_earlier: list[str] = []
        self.connections = 0
        self.deadly = b""
        self.deadly_part = ""
        self.deadly_after = 0
        self.deadly_every = 1
        self.part_arrivals: list[float] = []
        self.part_crashes: list[tuple[str, float]] = []
        self.ended = False
        self.endless_bytes = 0
        self.named_rate: str | None = None
        self.leaving: str | None = None
        self.wait: str | None = None
        self.brittle: str | None = None
        self.pause = 1.2
        self.thawed = asyncio.Event()
        self.thawed.set()
        self.released = asyncio.Event()
        super().__init__(upstream_id)

    async def handle(self, request: CallerRequest, stream: CallerStream) -> None:
        """Run a request, or misbehave."""
        await self.thawed.wait()
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
            elif self.resume_fault and header_fields.LAST_EVENT_ID in table:
                await FAULTS.get(self.resume_fault)(self, request, stream)
            elif self.faults:
                await FAULTS.get(self.faults.popleft())(self, request, stream)
            else:
                await self.run(request, stream)
        except asyncio.CancelledError:
            self.cut.append(request_id)
            self.cut_times[request_id] = asyncio.get_running_loop().time()
            raise
        finally:
            self.kept.add(stream)

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
        if not self.ended:
            self.part_crashes.append((self.deadly_part, asyncio.get_running_loop().time()))
            self.crash()

    def crash(self) -> None:
        """End as a killed process does: connections are reset, new ones are refused."""
        self.ended = True
        for channel in list(self.server.busy_channels):
            channel.abort()
        self.close()

    def vanish(self) -> None:
        """Acknowledge nothing any more, as after a loss of power or of the link."""
        for listening in self.server.server.sockets:
            drop_incoming(listening)
        for stream in self.server.streams:
            drop_incoming(stream.channel.transport.get_extra_info("socket"))

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
        statements = self.name_rate() + self.state_leaving() + self.state_brittle()
        return signature + statements

    def name_rate(self) -> Headers:
        """Return the header in which an upstream in need names a rate limit."""
        if self.named_rate is None:
            return []
        return [(header_fields.RATE_LIMIT_FIELDS[1], self.named_rate.encode())]

    def state_leaving(self) -> Headers:
        """Return the header in which an upstream states that it leaves."""
        return [] if self.leaving is None else [(b"server-leaving", self.leaving.encode())]

    def ask_for_wait(self) -> Headers:
        """Return the header in which a refusing upstream asks for a wait."""
        return [] if self.wait is None else [(b"retry-after", self.wait.encode())]

    def state_brittle(self) -> Headers:
        """Build the header in which a brittle upstream says so."""
        if self.brittle is None:
            return []
        return [(header_fields.BRITTLE_FIELDS[1], self.brittle.encode())]

    async def run(self, request: CallerRequest, stream: CallerStream) -> None:
        """Run a request to its end."""
        self.begin(request)
        if request.path.endswith(STREAM_SUFFIX):
            await self.send_events(request, stream, EVENTS)
            stream.finish_response()
            return
        await asyncio.sleep(self.choose_work(request))
        self.answer(request, stream)

    def choose_work(self, request: CallerRequest) -> float:
        """Choose the seconds that a plain request takes, or each event of a stream."""
        return self.work

    def answer(self, request: CallerRequest, stream: CallerStream) -> None:
        """Answer a plain request."""
        stream.send_response(200, self.sign(request), b"answer of " + self.id.encode())

    async def send_events(
        self, request: CallerRequest, stream: CallerStream, until: int, last: int | None = None
    ) -> int:
        """Send the events of a stream up to a number, and return the number of the last one.

        :param last: number of the last event that was sent; without it, the last one that the
            caller has
        """
        if last is None:
            last = int(dict(request.headers).get(header_fields.LAST_EVENT_ID, b"0"))
        for number in range(last + 1, until + 1):
            await asyncio.sleep(self.choose_work(request))
            await self.thawed.wait()
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            if stream.response_started:
                stream.send_chunk(event)
            else:
                stream.start_chunked_response(200, self.sign(request), event)
        return max(last, until)
