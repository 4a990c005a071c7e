"""HTTP server for callers, with graceful shutdown."""

__all__ = ["HttpServer"]

import asyncio
import itertools
import socket
import traceback
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator

from tanagertrail.errors import IncompleteResponseError
from tanagertrail.gateway.caller_close import (
    LINGER_SECONDS,
    LINGERING_REASONS,
    CloseReason,
    RequestState,
    end_sending,
    linger,
)
from tanagertrail.gateway.caller_connections import CallerConnections
from tanagertrail.gateway.caller_guard import CallerGuard
from tanagertrail.gateway.channel import MAX_CALLER_BYTES, Channel, read_address
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.http1 import (
    FAILURE_HEADERS,
    CallerRequest,
    CallerStream,
    Headers,
    RequestRefusedError,
)
from tanagertrail.gateway.model import Limits
from tanagertrail.platform.header_fields import decode_caller_fields

BACKLOG = 1024
ACCEPTS_PER_TURN = 8  # of the event loop; connections that make room need some four turns
ACCEPT_TURNS = 3  # of the event loop, in which it makes transports of accepted connections
LAST_ARRIVALS_SECONDS = 0.1  # for the first request on a connection that was accepted last
LAST_READ_SECONDS = 0.05  # to read what has arrived, also at the end of the grace period
QUIET_REASONS = frozenset({CloseReason.IDLE, CloseReason.EVICTED, CloseReason.STOPPED})
DEFAULT_LIMITS = Limits(16_384, 4_194_304, 3.0, 15.0)

Handler = Callable[[CallerRequest, CallerStream], Awaitable[None]]


class HttpServer:
    """Accept connections and pass their requests to a handler.

    :ivar limits: returns the limits that are currently in force
    :ivar tasks: one task per connection
    :ivar lingering: those of them that only wait for the caller to read its last response
    :ivar busy_channels: connections with a request that is being handled
    :ivar streams: streams of all open connections
    :ivar stopping: whether the daemon is shutting down, so that responses announce the close
    :ivar ending: whether idle connections close at once
    :ivar closes: closed connections by reason
    :ivar refusal_headers: fields of the response to an unreadable request
    :ivar guard: limits on what all callers hold together
    :ivar connections: all open connections, and the limit on them
    """

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], Limits],
        log: EventLog,
        guard: CallerGuard | None = None,
        max_connections: Callable[[], int] = lambda: 0,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.log = log
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task] = set()
        self.lingering: set[asyncio.Task] = set()
        self.busy_channels: set[Channel] = set()
        self.streams: set[CallerStream] = set()
        self.stopping = False
        self.ending = False
        self.closes: Counter[CloseReason] = Counter()
        self.refusal_headers: Headers = list(FAILURE_HEADERS)
        self.guard = guard or CallerGuard()
        self.connections = CallerConnections(max_connections, self.guard)

    async def start(self, host: str, port: int) -> None:
        """Start listening.

        :raises OSError: if the port is in use
        """
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            self.build_channel, host, port, backlog=ACCEPTS_PER_TURN
        )
        for listener in self.server.sockets:
            with listener.dup() as duplicate:
                duplicate.listen(BACKLOG)  # asyncio accepts as many in a turn as may wait

    def build_channel(self) -> Channel:
        """Build the channel of a connection that is being accepted."""
        return Channel(self.accept, max_buffered=MAX_CALLER_BYTES)

    def accept(self, channel: Channel) -> None:
        """Start a task that serves a new connection, if there is room for it."""
        if not self.connections.admit(channel):
            self.reject(channel)
            return
        task = asyncio.create_task(self.serve(channel))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def reject(self, channel: Channel) -> None:
        """Close a connection for which there is no room, without reading from it."""
        self.closes[CloseReason.OVER_LIMIT] += 1
        self.log.write_routine(
            "caller_connection_rejected",
            address=read_address(channel),
            open=len(self.connections.streams),
            limit=self.connections.get_limit(),
        )
        channel.abort()

    async def serve(self, channel: Channel) -> None:
        """Serve the requests of a connection, and close it."""
        try:
            reason = await self.serve_until_close(channel)
            makes_room = reason is CloseReason.REFUSED and self.connections.is_full
            if makes_room or reason in QUIET_REASONS:
                end_sending(channel)
            elif reason in LINGERING_REASONS:
                await self.let_caller_read(channel)
        finally:
            channel.close()

    async def let_caller_read(self, channel: Channel) -> None:
        """Linger before the close of a connection; the cut of requests does not end this."""
        task = asyncio.current_task()
        self.lingering.add(task)
        try:
            await linger(channel)
        finally:
            self.lingering.discard(task)

    async def serve_until_close(self, channel: Channel) -> CloseReason:
        """Serve the requests of a connection until it is to close, and return the reason."""
        stream = CallerStream(channel, self.limits, lambda: self.stopping, self.guard)
        self.streams.add(stream)
        self.connections.note_serving(stream)
        if self.ending:
            stream.idle_wait.end()
        reason = CloseReason.STOPPED
        try:
            reason = await self.serve_requests(channel, stream)
        except RequestRefusedError as error:
            reason = CloseReason.REFUSED
            self.log.write_routine("request_refused", status=error.status, reason=error.reason)
            stream.send_failure(error.status, error.reason, self.build_refusal_headers(error))
        except ConnectionError as error:
            reason = CloseReason.CALLER_BROKE
            self.log.write_routine("caller_connection", error=repr(error)[:120])
        except asyncio.CancelledError:
            reason = self.answer_cut_request(stream)
            if reason is CloseReason.STOPPED:
                raise
        except Exception as error:
            reason = CloseReason.DEFECT
            self.handle_defect(stream, error)
        finally:
            self.note_close(stream, reason)
            stream.release_body()
            self.streams.discard(stream)
            self.connections.note_closing(channel)
        return reason

    def build_refusal_headers(self, error: RequestRefusedError) -> Headers:
        """Build the headers of the response to a request that is refused."""
        if error.retry_after is None:
            return self.refusal_headers
        return [*self.refusal_headers, (b"retry-after", f"{error.retry_after:.2f}".encode())]

    async def serve_requests(self, channel: Channel, stream: CallerStream) -> CloseReason:
        """Serve requests one after another, and return why the connection is to close.

        A request is read only when the response to the one before has been taken.
        """
        while True:
            request = await stream.read_request()
            if request is None and channel.peer_closed:
                return CloseReason.CALLER_CLOSED
            if request is None:
                return self.name_idle_close(channel)
            reason = await self.handle_request(channel, stream, request)
            if reason is not None:
                return reason
            if not stream.prepare_next_request():
                return CloseReason.ANNOUNCED
            await channel.drain()

    def name_idle_close(self, channel: Channel) -> CloseReason:
        """Name the reason for which an idle connection is closed."""
        if self.ending:
            return CloseReason.STOPPED
        has_made_room = channel in self.connections.leaving
        return CloseReason.EVICTED if has_made_room else CloseReason.IDLE

    def note_close(self, stream: CallerStream, reason: CloseReason) -> None:
        """Count a closed connection, and log it if a request on it was not answered."""
        self.closes[reason] += 1
        state = stream.request_state
        if state is RequestState.IDLE or reason in (CloseReason.REFUSED, CloseReason.CUT):
            return  # these are logged where they are decided
        if reason in (CloseReason.CALLER_CLOSED, CloseReason.CALLER_BROKE):
            self.log.write_routine("caller_closed", reason=reason, state=state)
        else:
            self.log.write("caller_closed", reason=reason, state=state)

    async def handle_request(
        self, channel: Channel, stream: CallerStream, request: CallerRequest
    ) -> CloseReason | None:
        """Run the handler for a request, and cancel it if the caller disconnects.

        :returns: why the connection must close, None if it may be kept
        """
        self.busy_channels.add(channel)
        task = asyncio.create_task(self.handler(request, stream))
        channel.on_peer_closed = task.cancel
        if channel.peer_closed:
            task.cancel()
        try:
            await task
        except asyncio.CancelledError as error:
            if asyncio.current_task().cancelling():
                raise
            if not channel.peer_closed:
                self.handle_defect(stream, error, request)
                return CloseReason.DEFECT
            channel.abort()
        except Exception as error:
            self.handle_defect(stream, error, request)
            return CloseReason.DEFECT
        finally:
            channel.on_peer_closed = None
            self.busy_channels.discard(channel)
        if channel.peer_closed:
            return CloseReason.CALLER_CLOSED
        if channel.transport.is_closing():
            return CloseReason.BROKEN_OFF
        if stream.awaits_response:
            self.handle_defect(stream, IncompleteResponseError("no complete response"), request)
            return CloseReason.DEFECT
        return None

    def handle_defect(
        self, stream: CallerStream, error: BaseException, request: CallerRequest | None = None
    ) -> None:
        """Log an unexpected error and answer the request, or break off a response that has begun.

        :param request: the request that failed, None if it was not read yet
        """
        origin = traceback.extract_tb(error.__traceback__)[-1:]
        self.log.write(
            "defect",
            where="request",
            error=repr(error)[:300],
            at=[f"{frame.filename}:{frame.lineno}" for frame in origin],
            request=decode_caller_fields(request.headers).request_id if request else None,
            state=stream.request_state,
        )
        state = stream.request_state
        if state is RequestState.RESPONSE_BEGUN:
            stream.break_off()
        elif state is not RequestState.IDLE and not stream.channel.transport.is_closing():
            stream.send_failure(500, "the gateway failed")

    def answer_cut_request(self, stream: CallerStream) -> CloseReason:
        """Answer a request that is cut because the daemon ends, or break off its response."""
        state = stream.request_state
        is_idle = (
            state is RequestState.IDLE and not stream.channel.transport.get_write_buffer_size()
        )
        if not self.ending or is_idle or stream.channel.peer_closed:
            return CloseReason.STOPPED
        asyncio.current_task().uncancel()  # the task goes on to send the answer
        if state is RequestState.IDLE:
            return CloseReason.UNREAD
        self.log.write("caller_closed", reason=CloseReason.CUT, state=state)
        if state is RequestState.RESPONSE_BEGUN:
            stream.break_off()
        elif state is RequestState.UNANSWERED:
            stream.send_failure(504, "the gateway ends")
        else:
            stream.send_failure(503, "the gateway ends", self.refusal_headers)
        return CloseReason.CUT

    @property
    def unanswered(self) -> bool:
        """Whether a request is being handled or has begun to arrive, or a response is unsent."""
        return bool(self.busy_channels) or any(
            stream.has_partial_request or stream.channel.transport.get_write_buffer_size()
            for stream in self.streams
        )

    async def finish(self, deadline: float, lingers_for: float = LINGER_SECONDS) -> int:
        """Stop accepting, answer what has arrived, and close all connections.

        :param deadline: event-loop time in seconds at which requests in progress are cut
        :param lingers_for: seconds after that in which callers may read the last responses
        :returns: number of requests that were cut
        """
        loop = asyncio.get_running_loop()
        self.stopping = True
        await self.accept_last_connections()
        await self.wait_for_connections(min(deadline, loop.time() + LAST_ARRIVALS_SECONDS))
        self.ending = True
        for stream in self.streams:
            stream.idle_wait.end()
        await self.wait_for_connections(max(deadline, loop.time() + LAST_READ_SECONDS))
        for task in self.tasks - self.lingering:
            task.cancel()
        await self.wait_for_connections(loop.time() + lingers_for)
        return self.closes[CloseReason.CUT]

    async def wait_for_connections(self, latest: float) -> None:
        """Wait until all connections have closed, until an event-loop time in seconds at most."""
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=latest - asyncio.get_running_loop().time())

    def stop_listening(self) -> None:
        """Stop accepting new connections."""
        if self.server is not None:
            self.server.close()

    async def accept_last_connections(self) -> None:
        """Stop listening, and accept the connections that this would reset.

        These wait in the kernel, or the event loop has accepted them and made no transport yet.
        """
        loop = asyncio.get_running_loop()
        listeners = self.server.sockets if self.server is not None else ()
        for listener in listeners:
            loop.remove_reader(listener.fileno())
        for _ in range(ACCEPT_TURNS):
            await asyncio.sleep(0)
        connecting = []
        for listener in listeners:
            with listener.dup() as duplicate:
                room = self.connections.count_room()
                for connection in itertools.islice(self.accept_each(duplicate), room):
                    work = loop.connect_accepted_socket(self.build_channel, connection)
                    connecting.append(loop.create_task(work))
        self.stop_listening()
        await asyncio.gather(*connecting)

    def accept_each(self, listener: socket.socket) -> Iterator[socket.socket]:
        """Accept connections until none waits."""
        while True:
            try:
                connection, _ = listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                self.log.write("accept_failed", error=repr(error)[:120])
                return
            connection.setblocking(False)
            yield connection

    def close(self) -> None:
        """Stop listening and close all connections."""
        self.stop_listening()
        for task in list(self.tasks):
            task.cancel()
