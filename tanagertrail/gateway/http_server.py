"""HTTP server for callers, with graceful shutdown."""

__all__ = ["HttpServer"]

import asyncio
from collections.abc import Awaitable, Callable

import h11

from tanagertrail.gateway.channel import Channel
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.http1 import (
    CallerRequest,
    CallerStream,
    Headers,
    RequestRefusedError,
)
from tanagertrail.gateway.model import Limits

BACKLOG = 1024
DEFAULT_LIMITS = Limits(16_384, 4_194_304, 3.0, 15.0)
LINGER_SECONDS = 0.5  # after an error, so that the caller can read it before the connection closes

Handler = Callable[[CallerRequest, CallerStream], Awaitable[None]]


class HttpServer:
    """Accept connections and pass their requests to a handler.

    :ivar limits: returns the limits that are currently in force
    :ivar tasks: one task per connection
    :ivar busy_channels: connections with a request that is being handled
    :ivar streams: streams of all open connections
    :ivar stopping: whether the daemon is shutting down, so that responses announce the close
    :ivar refusal_headers: fields of the response to an unreadable request
    """

    def __init__(self, handler: Handler, limits: Callable[[], Limits], log: EventLog) -> None:
        self.handler = handler
        self.limits = limits
        self.log = log
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task] = set()
        self.busy_channels: set[Channel] = set()
        self.streams: set[CallerStream] = set()
        self.stopping = False
        self.refusal_headers: Headers = [(b"content-type", b"text/plain")]

    async def start(self, host: str, port: int) -> None:
        """Start listening.

        :raises OSError: if the port is in use
        """
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: Channel(self.accept), host, port, backlog=BACKLOG
        )

    def accept(self, channel: Channel) -> None:
        """Start a task that serves a new connection."""
        task = asyncio.create_task(self.serve(channel))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def serve(self, channel: Channel) -> None:
        """Serve the requests of a connection until it closes."""
        stream = CallerStream(channel, self.limits())
        self.streams.add(stream)
        try:
            while True:
                stream.limits = self.limits()
                request = await stream.read_request()
                if request is None:
                    break
                await self.handle_request(channel, stream, request)
                if not stream.prepare_next_request():
                    break
        except RequestRefusedError as error:
            self.log.write_routine("request_refused", status=error.status, reason=error.reason)
            await self.refuse(stream, error)
        except (ConnectionError, h11.LocalProtocolError) as error:
            self.log.write_routine("caller_connection", error=repr(error)[:120])
        finally:
            self.busy_channels.discard(channel)
            self.streams.discard(stream)
            channel.close()

    async def handle_request(
        self, channel: Channel, stream: CallerStream, request: CallerRequest
    ) -> None:
        """Run the handler for a request, and cancel it if the caller disconnects."""
        self.busy_channels.add(channel)
        stream.close_after = self.stopping
        task = asyncio.create_task(self.handler(request, stream))
        channel.on_peer_closed = task.cancel
        if channel.peer_closed:
            task.cancel()
        try:
            await task
        except asyncio.CancelledError:
            if not channel.peer_closed:
                raise
            channel.abort()
        except Exception as error:
            self.log.write("defect", error=repr(error), where="request")
            channel.abort()
            raise
        finally:
            channel.on_peer_closed = None
            self.busy_channels.discard(channel)

    async def refuse(self, stream: CallerStream, error: RequestRefusedError) -> None:
        """Send an error for an unreadable request, and give the caller time to read it.

        Incoming bytes are discarded meanwhile: closing with unread ones would reset the
        connection.
        """
        stream.close_after = True
        try:
            stream.send_response(error.status, self.refusal_headers, error.reason.encode())
        except h11.LocalProtocolError as protocol_error:
            self.log.write_routine("answer_impossible", reason=repr(protocol_error)[:120])
            return
        loop = asyncio.get_running_loop()
        linger_until = loop.time() + LINGER_SECONDS
        while not stream.channel.peer_closed and loop.time() < linger_until:
            stream.channel.read_buffered()
            await asyncio.sleep(LINGER_SECONDS / 10)

    @property
    def unanswered(self) -> bool:
        """Whether a request is being handled or has begun to arrive."""
        return bool(self.busy_channels) or any(
            stream.has_partial_request for stream in self.streams
        )

    def stop_listening(self) -> None:
        """Stop accepting new connections."""
        if self.server is not None:
            self.server.close()

    def close(self) -> None:
        """Stop listening and close all connections."""
        self.stop_listening()
        for task in list(self.tasks):
            task.cancel()
