"""HTTP/1.1 connections to callers, parsed by h11."""

__all__ = ["CallerRequest", "CallerStream", "Headers", "RequestRefusedError"]

import asyncio
from collections.abc import Callable, Sequence
from typing import NamedTuple

import h11

from tanagertrail.gateway.body_budget import EVENTS_PER_TURN, BodyClaim, RequestRefusedError
from tanagertrail.gateway.caller_close import RequestState
from tanagertrail.gateway.caller_guard import CallerGuard
from tanagertrail.gateway.channel import Channel, read_address
from tanagertrail.gateway.idle_wait import IdleWait
from tanagertrail.gateway.model import Limits
from tanagertrail.gateway.timed_reads import has_unread_bytes, receive_before

Headers = list[tuple[bytes, bytes]]
FAILURE_HEADERS = ((b"content-type", b"text/plain"),)
EMPTY_LINE = b"\r\n"


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


class CallerStream:
    """The server side of a caller's connection.

    :ivar get_limits: returns the limits that are currently in force
    :ivar is_stopping: returns whether the connection is to close soon
    :ivar limits: limits that apply to the current request
    :ivar idle_wait: the wait for the next request
    :ivar awaits_response: whether a request was read and its response is not complete
    :ivar response_started: whether the head of the response to the current request was sent
    :ivar is_head_request: whether the response must not have a body
    :ivar close_after: whether the connection is to close after the response
    :ivar guard: limits on what all callers hold together
    :ivar claim: what the current request holds of them, None before its body
    :ivar began_at: event-loop time in seconds at which the current request began to arrive
    :ivar timer: ends the current wait for bytes of a request, None while there is none
    :ivar refusal: why the request that is being read yields, None if it does not
    """

    def __init__(
        self,
        channel: Channel,
        get_limits: Callable[[], Limits],
        is_stopping: Callable[[], bool],
        guard: CallerGuard | None = None,
    ) -> None:
        self.channel = channel
        self.get_limits = get_limits
        self.is_stopping = is_stopping
        self.limits = get_limits()
        self.idle_wait = IdleWait(channel, get_limits)
        self.parser = h11.Connection(h11.SERVER, max_incomplete_event_size=self.limits.header_bytes)
        self.awaits_response = False
        self.response_started = False
        self.is_head_request = False
        self.close_after = False
        self.guard = guard or CallerGuard()
        self.claim: BodyClaim | None = None
        self.began_at = 0.0
        self.timer: asyncio.Timeout | None = None
        self.refusal: RequestRefusedError | None = None

    @property
    def has_partial_request(self) -> bool:
        """Whether a request has begun to arrive and is not complete."""
        is_within_body = self.parser.their_state is h11.SEND_BODY
        return is_within_body or bool(self.channel.buffer or self.parser.trailing_data[0])

    @property
    def has_next_request(self) -> bool:
        """Whether bytes of the next request have arrived, be it in the kernel's buffer."""
        return bool(self.parser.trailing_data[0]) or has_unread_bytes(self.channel)

    @property
    def request_state(self) -> RequestState:
        """Progress within the current request."""
        if self.awaits_response and self.response_started:
            return RequestState.RESPONSE_BEGUN
        if self.awaits_response:
            return RequestState.UNANSWERED
        return RequestState.PARTLY_READ if self.has_partial_request else RequestState.IDLE

    async def read_request(self) -> CallerRequest | None:
        """Read the next request; None if the caller closed the connection or left it idle.

        :raises RequestRefusedError: if the request violates the protocol or a limit
        :raises ConnectionError: if the connection broke
        """
        self.refusal = None
        try:
            if not await self.wait_for_first_byte():
                return None
            self.renew_limits()
            self.began_at = asyncio.get_running_loop().time()
            head = await self.next_event(self.limits.header_timeout)
            if not isinstance(head, h11.Request):
                return None
            if head.method == b"CONNECT":
                raise RequestRefusedError(501, "the gateway opens no tunnels")
            body = await self.read_body(head)
        except h11.RemoteProtocolError as error:
            raise RequestRefusedError(error.error_status_hint or 400, str(error)) from error
        except TimeoutError as error:
            raise RequestRefusedError(408, "the request took too long to arrive") from error
        self.awaits_response = True
        self.response_started = False
        self.is_head_request = head.method == b"HEAD"
        return CallerRequest(head.method, head.target, list(head.headers), body)

    async def wait_for_first_byte(self) -> bool:
        """Wait for the first byte of a request; false if the caller closed or stayed idle."""
        is_line_skipped = False
        while True:
            is_line_skipped = is_line_skipped or self.skip_empty_line()
            if self.parser.trailing_data[0]:
                return True
            try:
                data = await self.idle_wait.receive()
            except TimeoutError:
                return False
            if not data:
                return False
            self.parser.receive_data(data)

    def skip_empty_line(self) -> bool:
        """Skip an empty line before a request, and return whether there was one.

        Some callers send one after a body.
        """
        arrived = self.parser.trailing_data[0]
        if not arrived.startswith(EMPTY_LINE):
            return False
        self.restart_parser(arrived[len(EMPTY_LINE) :])
        return True

    def restart_parser(self, arrived: bytes) -> None:
        """Parse from the start of a request, with the limits in force.

        :param arrived: bytes of it that have arrived
        """
        self.parser = h11.Connection(h11.SERVER, max_incomplete_event_size=self.limits.header_bytes)
        if arrived:
            self.parser.receive_data(arrived)

    def renew_limits(self) -> None:
        """Apply the limits in force to the request that has begun to arrive."""
        former, self.limits = self.limits, self.get_limits()
        if self.limits.header_bytes == former.header_bytes:
            return
        self.restart_parser(self.parser.trailing_data[0])

    async def next_event(self, timeout: float) -> object:
        """Read the next event of the parser.

        :param timeout: seconds
        :raises RequestRefusedError: if the request yields to others
        :raises TimeoutError: if it is not complete in time
        """
        deadline = asyncio.get_running_loop().time() + timeout
        while True:
            event = self.parser.next_event()
            if event is not h11.NEED_DATA:
                return event
            self.parser.receive_data(await self.receive(deadline))

    async def receive(self, deadline: float) -> bytes:
        """Receive bytes of a request.

        :param deadline: event-loop time in seconds
        :raises RequestRefusedError: if the request yields to others
        :raises TimeoutError: if nothing has arrived in time
        """
        self.timer = asyncio.timeout_at(deadline)
        try:
            data = await receive_before(self.channel, self.timer)
        except TimeoutError:
            self.check_refusal()
            raise
        finally:
            self.timer = None
        self.check_refusal()
        return data

    def refuse(self, error: RequestRefusedError) -> None:
        """Refuse the request that is being read, at once if its reader waits for bytes."""
        self.refusal = error
        if self.timer is not None and not self.timer.expired():
            self.timer.reschedule(asyncio.get_running_loop().time())

    def check_refusal(self) -> None:
        """Check that the request does not yield.

        :raises RequestRefusedError: if it does
        """
        if self.refusal is not None:
            raise self.refusal

    async def read_body(self, head: h11.Request) -> bytes:
        """Read the body of a request.

        :raises RequestRefusedError: if it is too large or yields to others
        :raises ConnectionError: if the connection closed within the body
        :raises TimeoutError: if the caller pauses for too long
        """
        if self.parser.they_are_waiting_for_100_continue:
            self.write(h11.InformationalResponse(status_code=100, headers=[]))
        announced = None
        for name, value in head.headers:
            if name == b"content-length":
                announced = int(value)
                self.check_length(announced)
        claim = BodyClaim(
            read_address(self.channel), announced, self.limits.body_bytes, self.refuse
        )
        self.claim = self.guard.bodies.open(claim)
        events = 0
        while True:
            event = await self.next_event(self.limits.idle_timeout)
            if isinstance(event, h11.EndOfMessage):
                return claim.take_body()
            if not isinstance(event, h11.Data):
                raise ConnectionResetError("the caller closed within a request")
            self.check_length(claim.held + len(event.data))
            self.guard.bodies.add(claim, event.data)
            events += 1
            if events % EVENTS_PER_TURN == 0:
                await self.guard.bodies.take_turn()
            self.check_refusal()

    def check_length(self, length: int) -> None:
        """Check the length of a body in bytes.

        :raises RequestRefusedError: if it is too large
        """
        if length > self.limits.body_bytes:
            raise RequestRefusedError(413, f"the body is over {self.limits.body_bytes} bytes")

    def release_body(self) -> None:
        """Count the body of the current request no more."""
        if self.claim is not None:
            self.guard.bodies.release(self.claim)
            self.claim = None

    def write(self, *events: h11.Event) -> None:
        """Send the bytes of several events in one write."""
        self.channel.write(b"".join(self.parser.send(event) or b"" for event in events))
        self.guard.unread.note(self.channel)
        if isinstance(events[-1], h11.EndOfMessage):
            self.awaits_response = False

    def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""
        fields = [
            *headers,
            (b"content-length", str(len(body)).encode()),
            *self.build_connection_header(),
        ]
        head = h11.Response(status_code=status, headers=fields)
        events: list[h11.Event] = [head, h11.EndOfMessage()]
        if body and not self.is_head_request:
            events.insert(1, h11.Data(data=body))
        self.write(*events)
        self.response_started = True

    def send_failure(
        self, status: int, reason: str, headers: Sequence[tuple[bytes, bytes]] = FAILURE_HEADERS
    ) -> None:
        """Send an error after which the connection closes, whatever state the parser is in."""
        self.parser = h11.Connection(h11.SERVER)
        self.release_body()
        self.close_after = True
        body = b"" if self.is_head_request else reason.encode()
        self.send_response(status, list(headers), body)

    def start_chunked_response(self, status: int, headers: Headers, first_chunk: bytes) -> None:
        """Send the head of a chunked response and its first chunk."""
        fields = [*headers, (b"transfer-encoding", b"chunked"), *self.build_connection_header()]
        self.write(h11.Response(status_code=status, headers=fields), h11.Data(data=first_chunk))
        self.response_started = True

    def send_chunk(self, data: bytes) -> None:
        """Send another chunk of a chunked response."""
        self.write(h11.Data(data=data))

    def finish_response(self) -> None:
        """End a chunked response."""
        self.write(h11.EndOfMessage())

    def break_off(self) -> None:
        """Close the connection within a response, so that it does not look complete.

        A caller of HTTP/1.0 takes the end of the connection for that of a response without length.
        """
        version = self.parser.their_http_version
        if version is not None and version < b"1.1":
            self.channel.reset()
        else:
            self.channel.abort()

    def build_connection_header(self) -> Headers:
        """Build the header that announces the close or states for how long an idle one is kept.

        A response behind which another request has arrived must not announce the close.
        """
        if self.is_stopping() and not self.has_next_request:
            self.close_after = True
        if self.close_after:
            return [(b"connection", b"close")]
        if self.parser.their_state is h11.MUST_CLOSE:
            return []
        timeout = self.idle_wait.state_timeout()
        return [] if timeout is None else [(b"keep-alive", b"timeout=%d" % timeout)]

    def prepare_next_request(self) -> bool:
        """Reset the parser for the next request; false if the connection must close."""
        if self.close_after or self.channel.peer_closed:
            return False
        if self.parser.our_state is not h11.DONE or self.parser.their_state is not h11.DONE:
            return False
        self.parser.start_next_cycle()
        self.release_body()
        self.response_started = False
        self.is_head_request = False
        return True
