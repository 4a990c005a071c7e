"""HTTP/1.1 connections to callers and to upstreams, parsed by h11."""

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
MAX_RESPONSE_HEAD_BYTES = 64 * 1024
MAX_INTERIM_RESPONSES = 8  # 1xx responses before the final one; servers send one or two


class CallerRequest(NamedTuple):
    """A complete request of a caller; header names are in lower case."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    @property
    def host(self) -> str:
        """The host without its port, in lower case; empty if there is no ``Host`` header."""
        for name, value in self.headers:
            if name == b"host":
                return value.decode("latin-1").partition(":")[0].strip().lower()
        return ""


class RequestRefusedError(TanagertrailError):
    """A request is malformed, too large or too slow; its connection is closed afterwards.

    :ivar status: status of the response
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class ResponseHead(NamedTuple):
    """Status and headers of an upstream's response."""

    status: int
    headers: Headers

    @property
    def is_framed(self) -> bool:
        """Whether the body has a length or chunks, rather than ending with its connection."""
        names = {name for name, _ in self.headers}
        return b"content-length" in names or b"transfer-encoding" in names


class CallerStream:
    """The server side of a caller's connection.

    :ivar response_started: whether the head of the response to the current request was sent
    :ivar is_head_request: whether the response must not have a body
    :ivar close_after: whether the connection is to close after the response
    """

    def __init__(self, channel: Channel, limits: Limits) -> None:
        self.channel = channel
        self.limits = limits
        self.parser = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.header_bytes)
        self.response_started = False
        self.is_head_request = False
        self.close_after = False

    @property
    def has_partial_request(self) -> bool:
        """Whether bytes of the next request have arrived."""
        return bool(self.channel.buffer or self.parser.trailing_data[0])

    async def read_request(self) -> CallerRequest | None:
        """Read the next request; None if the caller closed the connection or left it idle.

        :raises RequestRefusedError: if the request violates the protocol or a limit
        :raises ConnectionError: if the connection broke
        """
        try:
            if not await self.wait_for_first_byte():
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
        self.is_head_request = head.method == b"HEAD"
        return CallerRequest(head.method, head.target, list(head.headers), body)

    async def wait_for_first_byte(self) -> bool:
        """Wait for the first byte of a request; false if the caller closed or stayed idle."""
        if self.has_partial_request:
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
        """Read the body of a request.

        :raises RequestRefusedError: if it is too large
        :raises ConnectionError: if the connection closed within the body
        :raises TimeoutError: if the caller pauses for too long
        """
        if self.parser.they_are_waiting_for_100_continue:
            self.write(h11.InformationalResponse(status_code=100, headers=[]))
        for name, value in head.headers:
            if name == b"content-length" and int(value) > self.limits.body_bytes:
                raise RequestRefusedError(413, f"the body is over {self.limits.body_bytes} bytes")
        chunks: list[bytes] = []
        body_length = 0
        while True:
            async with asyncio.timeout(self.limits.idle_timeout):
                event = await self.next_event()
            if isinstance(event, h11.EndOfMessage):
                return b"".join(chunks)
            if not isinstance(event, h11.Data):
                raise ConnectionResetError("the caller closed within a request")
            body_length += len(event.data)
            if body_length > self.limits.body_bytes:
                raise RequestRefusedError(413, f"the body is over {self.limits.body_bytes} bytes")
            chunks.append(bytes(event.data))

    def write(self, *events: h11.Event) -> None:
        """Send the bytes of several events in one write."""
        self.channel.write(b"".join(self.parser.send(event) or b"" for event in events))

    def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""
        fields = [
            *headers,
            (b"content-length", str(len(body)).encode()),
            *self.build_close_header(),
        ]
        self.response_started = True
        head = h11.Response(status_code=status, headers=fields)
        events: list[h11.Event] = [head, h11.EndOfMessage()]
        if body and not self.is_head_request:
            events.insert(1, h11.Data(data=body))
        self.write(*events)

    def start_chunked_response(self, status: int, headers: Headers, first_chunk: bytes) -> None:
        """Send the head of a chunked response and its first chunk."""
        fields = [*headers, (b"transfer-encoding", b"chunked"), *self.build_close_header()]
        self.response_started = True
        self.write(h11.Response(status_code=status, headers=fields), h11.Data(data=first_chunk))

    def send_chunk(self, data: bytes) -> None:
        """Send another chunk of a chunked response."""
        self.write(h11.Data(data=data))

    def finish_response(self) -> None:
        """End a chunked response."""
        self.write(h11.EndOfMessage())

    def build_close_header(self) -> Headers:
        """Return the ``Connection: close`` header if the connection is to close, else nothing."""
        return [(b"connection", b"close")] if self.close_after else []

    def prepare_next_request(self) -> bool:
        """Reset the parser for the next request; false if the connection must close."""
        if self.close_after or self.channel.peer_closed:
            return False
        if self.parser.our_state is not h11.DONE or self.parser.their_state is not h11.DONE:
            return False
        self.parser.start_next_cycle()
        return True


class UpstreamStream:
    """The client side of a connection to an upstream.

    :ivar request: the last request sent
    :ivar has_sent_request: whether a request was sent before
    :ivar idle_since: event-loop time in seconds at which it was returned to the pool
    :ivar keep_for: seconds for which the upstream keeps it open when idle, None if unknown
    """

    def __init__(self, channel: Channel) -> None:
        self.channel = channel
        self.parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_HEAD_BYTES)
        self.request: h11.Request | None = None
        self.has_sent_request = False
        self.idle_since = 0.0
        self.keep_for: float | None = None

    def send_request(self, method: bytes, target: bytes, headers: Headers, body: bytes) -> None:
        """Send a complete request."""
        if self.has_sent_request:
            self.parser.start_next_cycle()
        self.has_sent_request = True
        self.request = h11.Request(method=method, target=target, headers=headers)
        data = self.parser.send(self.request)
        if body:
            data += self.parser.send(h11.Data(data=body))
        self.channel.write(data + (self.parser.send(h11.EndOfMessage()) or b""))

    async def read_head(self) -> ResponseHead:
        """Read the head of the final response, skipping interim ones.

        :raises UpstreamProtocolError: if the upstream violates HTTP
        :raises ConnectionError: if the connection closed or broke before
        """
        event = await self.next_event()
        for _ in range(MAX_INTERIM_RESPONSES):
            if not isinstance(event, h11.InformationalResponse):
                break
            event = await self.next_event()
        if isinstance(event, h11.InformationalResponse):
            raise UpstreamProtocolError(f"more than {MAX_INTERIM_RESPONSES} heads before an answer")
        if not isinstance(event, h11.Response):
            raise ConnectionResetError("the upstream closed before its answer")
        return ResponseHead(event.status_code, list(event.headers))

    async def read_body_chunk(self) -> bytes | None:
        """Read the next chunk of the response body, None at its end.

        :raises UpstreamProtocolError: if the body is cut short
        """
        event = await self.next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise UpstreamProtocolError("the answer ended early")

    async def read_remaining_body(self, max_bytes: int) -> bytes:
        """Read the rest of the response body.

        :param max_bytes: largest length
        :raises UpstreamProtocolError: if it is longer, cut short or malformed
        """
        chunks = []
        body_length = 0
        while (chunk := await self.read_body_chunk()) is not None:
            body_length += len(chunk)
            if body_length > max_bytes:
                raise UpstreamProtocolError(f"the answer is longer than {max_bytes} bytes")
            chunks.append(chunk)
        return b"".join(chunks)

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

    def skip_response(self) -> None:
        """Prepare to read another response, after one that belonged to a different request.

        h11 accepts one response per request. A new parser in the state after the same request
        continues with the bytes that were already received.

        :raises UpstreamProtocolError: if the response was not read to its end
        """
        next_parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_HEAD_BYTES)
        if self.request is None or self.parser.their_state is not h11.DONE:
            raise UpstreamProtocolError("no further answer can come")
        placeholder = h11.Request(
            method=self.request.method, target=self.request.target, headers=[(b"host", b"skipped")]
        )
        next_parser.send(placeholder)
        next_parser.send(h11.EndOfMessage())
        buffered = self.parser.trailing_data[0]
        if buffered:
            next_parser.receive_data(buffered)
        self.parser = next_parser

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on this connection."""
        return (
            self.parser.our_state is h11.DONE
            and self.parser.their_state is h11.DONE
            and not self.parser.trailing_data[0]
            and self.channel.idle
        )

    def abort(self) -> None:
        """Close the connection immediately, which cancels the request at the upstream."""
        self.channel.discard()
