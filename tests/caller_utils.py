"""Fixtures of tests of callers' connections: a server on in-memory connections."""

import asyncio
import functools
import socket
from collections.abc import Awaitable, Callable

from tanagertrail.gateway.channel import Channel
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.http1 import CallerRequest, CallerStream
from tanagertrail.gateway.http_server import HttpServer
from tanagertrail.gateway.model import Limits
from tanagertrail.testing import run_in_virtual_time

IDLE_SECONDS = 15.0
REQUEST = b"GET /%d HTTP/1.1\r\nhost: desk.example\r\n\r\n"

Handler = Callable[[CallerRequest, CallerStream], Awaitable[None]]


class ServerSocket:
    """The server's end of a socket pair, without options of TCP."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock

    def setsockopt(self, *options: int) -> None:
        """Ignore an option."""

    def fileno(self) -> int:
        """Return the descriptor."""
        return self.sock.fileno()


class MemoryTransport(asyncio.Transport):
    """A transport whose incoming bytes stay in a socket until they are delivered.

    :ivar sent: bytes that the server sent
    :ivar closed_at: event-loop time in seconds at which the server closed, None if it has not
    :ivar aborted: whether the server closed without sending the rest
    :ivar half_closed: whether the server announced that it sends no more
    :ivar unsent: bytes that the kernel has not taken from the server yet
    """

    def __init__(self, server: HttpServer) -> None:
        super().__init__()
        self.caller_socket, self.server_socket = socket.socketpair()
        self.server_socket.setblocking(False)
        self.sent = bytearray()
        self.closed_at: float | None = None
        self.aborted = False
        self.half_closed = False
        self.unsent = 0
        self.is_peer_closed = False
        self.channel = Channel(server.accept)
        self.channel.connection_made(self)

    def get_extra_info(self, name, default=None):
        """Return the socket."""
        return ServerSocket(self.server_socket) if name == "socket" else default

    def send(self, data: bytes) -> None:
        """Send bytes as the caller; they are not delivered yet."""
        self.caller_socket.sendall(data)

    def end(self) -> None:
        """Close the connection as the caller; this is not delivered yet."""
        self.caller_socket.close()
        self.is_peer_closed = True

    def deliver(self) -> None:
        """Pass what the caller sent to the server, as the event loop does."""
        if self.closed_at is not None or self.channel.peer_closed:
            return
        try:
            data = self.server_socket.recv(65_536)
        except BlockingIOError:
            return
        if data:
            self.channel.data_received(data)
        else:
            self.channel.eof_received()

    def deliver_after(self, turns: int) -> None:
        """Deliver after a number of turns of the event loop."""
        if turns:
            asyncio.get_running_loop().call_soon(self.deliver_after, turns - 1)
        else:
            self.deliver()

    def write(self, data: bytes) -> None:
        """Send bytes as the server."""
        assert not self.half_closed
        self.sent += data

    def write_eof(self) -> None:
        """Announce that the server sends no more."""
        self.half_closed = True

    def can_write_eof(self) -> bool:
        """Return true, as for TCP."""
        return True

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        """Ignore the limits, since all bytes are sent at once."""

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that are not sent yet."""
        return self.unsent

    def pause_reading(self) -> None:
        """Ignore the full buffer."""

    def resume_reading(self) -> None:
        """Ignore the empty buffer."""

    def is_closing(self) -> bool:
        """Return whether the server has closed."""
        return self.closed_at is not None

    def close(self) -> None:
        """Close as the server."""
        if self.closed_at is None:
            loop = asyncio.get_running_loop()
            self.closed_at = loop.time()
            loop.call_soon(self.channel.connection_lost, None)

    def abort(self) -> None:
        """Close as the server without sending the rest."""
        if self.closed_at is None:
            self.aborted = True
            self.close()

    @property
    def answers(self) -> int:
        """The number of final responses that the server has begun."""
        return self.sent.count(b"HTTP/1.1 ") - self.sent.count(b"HTTP/1.1 1")

    def release(self) -> None:
        """Close the sockets."""
        self.caller_socket.close()
        self.server_socket.close()


class CallerWorld:
    """An HTTP server with in-memory connections.

    :ivar limits: the limits in force
    :ivar handled: targets of the requests that were handled
    :ivar work: seconds that a request takes
    """

    def __init__(self, handler: Handler | None = None) -> None:
        self.limits = Limits(16_384, 4_194_304, 3.0, IDLE_SECONDS)
        self.handled: list[str] = []
        self.work = 0.0
        self.log = EventLog("entry-1", asyncio.get_running_loop().time)
        self.lines: list[dict] = []
        self.log.write = lambda event, **fields: self.lines.append({"event": event, **fields})
        self.server = HttpServer(handler or self.handle, lambda: self.limits, self.log)
        self.transports: list[MemoryTransport] = []

    async def handle(self, request: CallerRequest, stream: CallerStream) -> None:
        """Answer a request."""
        self.handled.append(request.path)
        if self.work:
            await asyncio.sleep(self.work)
        stream.send_response(200, [], request.path.encode())

    def set_idle_limit(self, seconds: float) -> None:
        """Change the idle timeout, as a new configuration does."""
        self.limits = self.limits._replace(idle_timeout=seconds)

    def connect(self) -> MemoryTransport:
        """Open a connection."""
        transport = MemoryTransport(self.server)
        self.transports.append(transport)
        return transport

    async def request(self, transport: MemoryTransport, number: int = 0) -> None:
        """Send a request and let the server answer."""
        transport.send(REQUEST % number)
        transport.deliver()
        await turn_loop()

    def close(self) -> None:
        """Close all connections."""
        self.server.close()
        for transport in self.transports:
            transport.release()


async def turn_loop(turns: int = 12) -> None:
    """Let the event loop run the callbacks that are ready."""
    for _ in range(turns):
        await asyncio.sleep(0)


def with_callers(test: Callable[[CallerWorld], Awaitable[None]]) -> Callable[[], None]:
    """Pass a server on in-memory connections to a test, and run it in virtual time."""

    async def run_in_world(*arguments) -> None:
        world = CallerWorld()
        try:
            await test(world, *arguments)
        finally:
            world.close()

    @functools.wraps(test)
    def run(*arguments) -> None:
        run_in_virtual_time(run_in_world(*arguments))

    del run.__wrapped__  # else the test seems to take the world as a parameter
    return run
