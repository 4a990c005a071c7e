"""HTTP/1.1 connections to upstreams, parsed by h11."""

__all__ = ["Representation", "ResponseHead", "UpstreamStream", "read_body"]

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import h11

from tanagertrail.errors import UpstreamProtocolError
from tanagertrail.gateway.body_budget import EVENTS_PER_TURN
from tanagertrail.gateway.byte_blocks import ByteBlocks
from tanagertrail.gateway.channel import Channel
from tanagertrail.gateway.http1 import Headers

MAX_RESPONSE_HEAD_BYTES = 64 * 1024
MAX_INTERIM_RESPONSES = 8  # 1xx responses before the final one; servers send one or two


class Representation(NamedTuple):
    """Form of a response, the same in all parts of a resumed stream."""

    status: int
    media_type: str
    encoding: str


class ResponseHead(NamedTuple):
    """Status and headers of an upstream's response.

    :ivar interim_statuses: statuses of the interim responses before it
    """

    status: int
    headers: Headers
    interim_statuses: tuple[int, ...] = ()

    @property
    def is_framed(self) -> bool:
        """Whether the body has a length or chunks, rather than ending with its connection."""
        names = {name for name, _ in self.headers}
        return b"content-length" in names or b"transfer-encoding" in names

    @property
    def representation(self) -> Representation:
        """Status, media type and encoding."""
        fields = {name: value.decode("latin-1").lower() for name, value in self.headers}
        media_type = fields.get(b"content-type", "").partition(";")[0].strip()
        return Representation(self.status, media_type, fields.get(b"content-encoding", "").strip())


class UpstreamStream:
    """The client side of a connection to an upstream.

    :ivar request: the last request sent
    :ivar sent_requests: number of requests sent
    :ivar skipped_responses: number of responses that belonged to other requests
    :ivar idle_since: event-loop time in seconds at which it was returned to the pool
    :ivar chunks: number of chunks of responses that were read
    :ivar keep_for: seconds for which the upstream keeps it open when idle, None if unknown
    """

    def __init__(self, channel: Channel) -> None:
        self.channel = channel
        self.parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_HEAD_BYTES)
        self.request: h11.Request | None = None
        self.sent_requests = 0
        self.skipped_responses = 0
        self.chunks = 0
        self.idle_since = 0.0
        self.keep_for: float | None = None

    def send_request(self, method: bytes, target: bytes, headers: Headers, body: bytes) -> None:
        """Send a complete request."""
        data = self.build_head(method, target, headers)
        if body:
            data += self.parser.send(h11.Data(data=body))
        self.channel.write(data + (self.parser.send(h11.EndOfMessage()) or b""))

    def send_head(self, method: bytes, target: bytes, headers: Headers) -> None:
        """Send the head of a request whose body follows."""
        self.channel.write(self.build_head(method, target, headers))

    def build_head(self, method: bytes, target: bytes, headers: Headers) -> bytes:
        """Begin a request, and return the bytes of its head."""
        if self.sent_requests:
            self.parser.start_next_cycle()
        self.sent_requests += 1
        self.request = h11.Request(method=method, target=target, headers=headers)
        return self.parser.send(self.request)

    async def read_head(self) -> ResponseHead:
        """Read the head of the final response, skipping interim ones.

        :raises UpstreamProtocolError: if the upstream violates HTTP
        :raises ConnectionError: if the connection closed or broke before
        """
        interim_statuses: list[int] = []
        while isinstance(event := await self.next_event(), h11.InformationalResponse):
            interim_statuses.append(event.status_code)
            if len(interim_statuses) > MAX_INTERIM_RESPONSES:
                raise UpstreamProtocolError(
                    f"more than {MAX_INTERIM_RESPONSES} heads before an answer"
                )
        if not isinstance(event, h11.Response):
            raise ConnectionResetError("the upstream closed before its answer")
        return ResponseHead(event.status_code, list(event.headers), tuple(interim_statuses))

    async def read_body_chunk(self) -> bytes | None:
        """Read the next chunk of the response body, None at its end.

        Very small chunks must not keep the event loop from others.

        :raises UpstreamProtocolError: if the body is cut short
        """
        self.chunks += 1
        if self.chunks % EVENTS_PER_TURN == 0:
            await asyncio.sleep(0)
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
        return await read_body(self.read_body_chunk, max_bytes)

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
        self.skipped_responses += 1

    @property
    def has_only_one_exchange(self) -> bool:
        """Whether nothing but the current request and its response was exchanged."""
        return self.sent_requests == 1 and not self.skipped_responses

    @property
    def has_unread_bytes(self) -> bool:
        """Whether bytes were received beyond what was read."""
        return bool(self.channel.buffer or self.parser.trailing_data[0])

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on this connection."""
        return (
            self.parser.our_state is h11.DONE
            and self.parser.their_state is h11.DONE
            and not self.has_unread_bytes
            and self.channel.idle
        )

    def abort(self) -> None:
        """Close the connection immediately, which cancels the request at the upstream."""
        self.channel.discard()


async def read_body(read_chunk: Callable[[], Awaitable[bytes | None]], max_bytes: int) -> bytes:
    """Read the chunks of a body until there is none.

    :param max_bytes: largest length
    :raises UpstreamProtocolError: if it is longer, cut short or malformed
    """
    data = ByteBlocks()
    while (chunk := await read_chunk()) is not None:
        data.add(chunk)
        if data.length > max_bytes:
            raise UpstreamProtocolError(f"the answer is longer than {max_bytes} bytes")
    return data.take()
