"""The callers' side: connections, their requests and a graceful stop."""

__all__ = ["HttpServer"]

import asyncio
from collections.abc import Awaitable, Callable

import h11

from tanagertrail.gateway.channel import Channel
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.http1 import CallerRequest, CallerStream, RequestRefusedError
from tanagertrail.gateway.model import Limits

BACKLOG = 1024
DEFAULT_LIMITS = Limits(16_384, 4_194_304, 3.0, 15.0)
LINGER_SECONDS = 0.5

Handler = Callable[[CallerRequest, CallerStream], Awaitable[None]]


class HttpServer:
    """Accept callers' connections and pass their requests to a handler.

    :ivar limits: returns the limits in force
    :ivar stopping: whether the daemon is about to stop, so that answers announce the close
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

    async def start(self, host: str, port: int) -> None:
        """Listen.

        :raises OSError: if the port is taken
        """
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: Channel(self.accept), host, port, backlog=BACKLOG
        )

    def accept(self, channel: Channel) -> None:
        """Serve a new connection."""
        task = asyncio.create_task(self.serve(channel))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def serve(self, channel: Channel) -> None:
        """Serve one connection until it closes."""
        stream = CallerStream(channel, self.limits())
        self.streams.add(stream)
        try:
            while True:
                stream.limits = self.limits()
                request = await stream.read_request()
                if request is None:
                    break
                await self.answer(channel, stream, request)
                if not stream.prepare_next():
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

    async def answer(self, channel: Channel, stream: CallerStream, request: CallerRequest) -> None:
        """Have one request answered, unless its caller leaves."""
        self.busy_channels.add(channel)
        stream.close_after = self.stopping
        task = asyncio.create_task(self.handler(request, stream))
        channel.on_peer_closed = task.cancel
        if channel.ended:
            task.cancel()
        try:
            await task
        except asyncio.CancelledError:
            if not channel.ended:
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
        """Answer a request that could not be read, and let the caller read the answer."""
        stream.close_after = True
        try:
            headers = [(b"content-type", b"text/plain")]
            stream.send_response(error.status, headers, error.reason.encode())
        except h11.LocalProtocolError as fault:
            self.log.write_routine("answer_impossible", reason=repr(fault)[:120])
            return
        loop = asyncio.get_running_loop()
        until = loop.time() + LINGER_SECONDS
        while not stream.channel.ended and loop.time() < until:
            stream.channel.take()
            await asyncio.sleep(LINGER_SECONDS / 10)

    @property
    def unanswered(self) -> bool:
        """Whether a request is being answered or has begun to arrive."""
        return bool(self.busy_channels) or any(stream.begun_request for stream in self.streams)

    def stop_listening(self) -> None:
        """Take no new connections."""
        if self.server is not None:
            self.server.close()

    def close(self) -> None:
        """Close all connections."""
        self.stop_listening()
        for task in list(self.tasks):
            task.cancel()
