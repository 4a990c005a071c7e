"""HTTP/1.1 over channels, parsed by h11: the callers' side and the upstreams' side."""

__all__ = [
    "ResponseHead",
    "CallerRequest",
    "CallerStream",
    "RequestRefusedError",
    "UpstreamStream",
]

import asyncio
from typing import NamedTuple

import h11

from tanagertrail.errors import TanagertrailError, UpstreamProtocolError
from tanagertrail.gateway.channel import Channel
from tanagertrail.gateway.model import Limits

Headers = list[tuple[bytes, bytes]]
MAX_ANSWER_HEAD_BYTES = 64 * 1024
MAX_INTERIM_HEADS = 8  # heads that may announce an answer; servers send one or two


class CallerRequest(NamedTuple):
    """A whole request of a caller; header names are in lower case."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    @property
    def host(self) -> str:
        """Return the host without its port, in lower case."""
        for name, value in self.headers:
            if name == b"host":
                return value.decode("latin-1").partition(":")[0].strip().lower()
        return ""


class RequestRefusedError(TanagertrailError):
    """A request cannot be read; its connection is closed after the answer."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class ResponseHead(NamedTuple):
    """Status and header of an upstream's answer."""

    status: int
    headers: Headers


class CallerStream:
    """The server's side of one connection of a caller."""

    def __init__(self, channel: Channel, limits: Limits) -> None:
        self.channel = channel
        self.limits = limits
        self.parser = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.header_bytes)
        self.response_started = False
        self.without_body = False
        self.close_after = False

    @property
    def begun_request(self) -> bool:
        """Whether bytes of a request have come that was not yet read."""
        return bool(self.channel.buffer or self.parser.trailing_data[0])

    async def read_request(self) -> CallerRequest | None:
        """Read the next request, None at the end of the connection.

        :raises RequestRefusedError: if it breaks the protocol or a limit
        :raises ConnectionError: if the connection broke
        """
        try:
            if not await self.await_first_byte():
                return None
            async with asyncio.timeout(self.limits.header_timeout):
                head = await self.next_event()
            if not isinstance(head, h11.Request):
                return None
            body = await self.read_body(head)
        except h11.RemoteProtocolError as error:
            raise RequestRefusedError(error.error_status_hint or 400, str(error)) from error
        except TimeoutError as error:
            raise RequestRefusedError(408, "the request took too long to arrive") from error
        self.response_started = False
        self.without_body = head.method == b"HEAD"
        return CallerRequest(head.method, head.target, list(head.headers), body)

    async def await_first_byte(self) -> bool:
        """Wait for the next request to begin; false if the caller closed or stayed idle."""
        if self.begun_request:
            return True
        try:
            async with asyncio.timeout(self.limits.idle_timeout):
                data = await self.channel.receive()
        except TimeoutError:
            return False
        if data:
            self.parser.receive_data(data)
        return bool(data)

    async def next_event(self) -> object:
        """Return the next event of the parser."""
        while True:
            event = self.parser.next_event()
            if event is not h11.NEED_DATA:
                return event
            self.parser.receive_data(await self.channel.receive())

    async def read_body(self, head: h11.Request) -> bytes:
        """Read the body of a request."""
        if self.parser.they_are_waiting_for_100_continue:
            self.write(h11.InformationalResponse(status_code=100, headers=[]))
        for name, value in head.headers:
            if name == b"content-length" and int(value) > self.limits.body_bytes:
                raise RequestRefusedError(413, f"the body is over {self.limits.body_bytes} bytes")
        parts: list[bytes] = []
        length = 0
        while True:
            async with asyncio.timeout(self.limits.idle_timeout):
                event = await self.next_event()
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if not isinstance(event, h11.Data):
                raise ConnectionResetError("the caller closed within a request")
            length += len(event.data)
            if length > self.limits.body_bytes:
                raise RequestRefusedError(413, f"the body is over {self.limits.body_bytes} bytes")
            parts.append(bytes(event.data))

    def write(self, *events: h11.Event) -> None:
        """Send events in one write."""
        self.channel.write(b"".join(self.parser.send(event) or b"" for event in events))

    def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""
        fields = [*headers, (b"content-length", str(len(body)).encode()), *self.closing_field()]
        self.response_started = True
        head = h11.Response(status_code=status, headers=fields)
        events: list[h11.Event] = [head, h11.EndOfMessage()]
        if body and not self.without_body:
            events.insert(1, h11.Data(data=body))
        self.write(*events)

    def start_chunked_response(self, status: int, headers: Headers, first: bytes) -> None:
        """Send the head of an answer of unknown length, and its first bytes."""
        fields = [*headers, (b"transfer-encoding", b"chunked"), *self.closing_field()]
        self.response_started = True
        self.write(h11.Response(status_code=status, headers=fields), h11.Data(data=first))

    def send_chunk(self, data: bytes) -> None:
        """Send more of an answer of unknown length."""
        self.write(h11.Data(data=data))

    def finish_response(self) -> None:
        """Mark the answer as complete."""
        self.write(h11.EndOfMessage())

    def closing_field(self) -> Headers:
        """Return the field that tells the caller of the close, if there is to be one."""
        return [(b"connection", b"close")] if self.close_after else []

    def prepare_next(self) -> bool:
        """Prepare for the next request; false if the connection must close."""
        if self.close_after or self.channel.ended:
            return False
        if self.parser.our_state is not h11.DONE or self.parser.their_state is not h11.DONE:
            return False
        self.parser.start_next_cycle()
        return True


class UpstreamStream:
    """The client's side of one connection to an upstream.

    :ivar idle_since: event-loop time in seconds at which it was last given back
    :ivar keep_for: seconds for which the upstream keeps it when idle, None if unsaid
    """

    def __init__(self, channel: Channel) -> None:
        self.channel = channel
        self.parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_ANSWER_HEAD_BYTES)
        self.request: h11.Request | None = None
        self.used = False
        self.idle_since = 0.0
        self.keep_for: float | None = None

    def send_request(self, method: bytes, target: bytes, headers: Headers, body: bytes) -> None:
        """Send a whole request."""
        if self.used:
            self.parser.start_next_cycle()
        self.used = True
        self.request = h11.Request(method=method, target=target, headers=headers)
        data = self.parser.send(self.request)
        if body:
            data += self.parser.send(h11.Data(data=body))
        self.channel.write(data + (self.parser.send(h11.EndOfMessage()) or b""))

    async def read_head(self) -> ResponseHead:
        """Read the head of the next answer.

        :raises UpstreamProtocolError: if what comes is no answer
        :raises ConnectionError: if the connection broke before
        """
        event = await self.next_event()
        for _ in range(MAX_INTERIM_HEADS):
            if not isinstance(event, h11.InformationalResponse):
                break
            event = await self.next_event()
        if isinstance(event, h11.InformationalResponse):
            raise UpstreamProtocolError(f"more than {MAX_INTERIM_HEADS} heads before an answer")
        if not isinstance(event, h11.Response):
            raise ConnectionResetError("the upstream closed before its answer")
        return ResponseHead(event.status_code, list(event.headers))

    async def read_part(self) -> bytes | None:
        """Read more of the answer's body, None at its end."""
        event = await self.next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise UpstreamProtocolError("the answer ended early")

    async def read_remaining_body(self, most: int) -> bytes:
        """Read the whole body of the answer.

        :param most: largest length in bytes
        :raises UpstreamProtocolError: if it is longer, cut or broken
        """
        parts = []
        length = 0
        while (part := await self.read_part()) is not None:
            length += len(part)
            if length > most:
                raise UpstreamProtocolError(f"the answer is longer than {most} bytes")
            parts.append(part)
        return b"".join(parts)

    async def next_event(self) -> object:
        """Return the next event of the parser."""
        try:
            while True:
                event = self.parser.next_event()
                if event is not h11.NEED_DATA:
                    return event
                self.parser.receive_data(await self.channel.receive())
        except h11.RemoteProtocolError as error:
            raise UpstreamProtocolError(str(error)) from error

    def skip_answer(self) -> None:
        """Await another answer to the same request, after one that belonged to another."""
        following = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_ANSWER_HEAD_BYTES)
        if self.request is None or self.parser.their_state is not h11.DONE:
            raise UpstreamProtocolError("no further answer can come")
        bare = h11.Request(
            method=self.request.method, target=self.request.target, headers=[(b"host", b"skipped")]
        )
        following.send(bare)
        following.send(h11.EndOfMessage())
        rest = self.parser.trailing_data[0]
        if rest:
            following.receive_data(rest)
        self.parser = following

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent."""
        return (
            self.parser.our_state is h11.DONE
            and self.parser.their_state is h11.DONE
            and not self.parser.trailing_data[0]
            and self.channel.idle
        )

    def abort(self) -> None:
        """Close at once, which ends the work at the upstream."""
        self.channel.abort()
