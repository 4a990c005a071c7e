"""An asyncio protocol for TCP connections, with flow control and detection of dead peers."""

__all__ = [
    "CALLER_LIMITS",
    "MAX_CALLER_BYTES",
    "PEER_LIMITS",
    "UPSTREAM_LIMITS",
    "Channel",
    "DeadPeerLimits",
    "open_channel",
    "read_address",
    "set_socket_options",
]

import asyncio
import fcntl
import socket
import struct
import termios
from collections.abc import Callable
from typing import NamedTuple

MAX_BUFFERED_BYTES = 256 * 1024
MAX_CALLER_BYTES = 32 * 1024  # per connection of a caller, of which there are hundreds
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER for no time, which discards unsent data


class DeadPeerLimits(NamedTuple):
    """When the kernel gives up a peer that acknowledges nothing.

    :ivar idle_seconds: time without traffic before the first keep-alive probe
    :ivar interval_seconds: time between probes
    :ivar probes: unanswered probes after which the connection breaks
    :ivar bounds_unread: whether data that the peer does not take for as long breaks it too
    """

    idle_seconds: int
    interval_seconds: int
    probes: int
    bounds_unread: bool

    @property
    def dead_after(self) -> int:
        """Seconds after which an idle connection to a dead peer breaks."""
        return self.idle_seconds + self.interval_seconds * self.probes

    @property
    def user_timeout_ms(self) -> int:
        """``TCP_USER_TIMEOUT``, which overrides the number of probes unless it is 0."""
        return self.dead_after * 1000 if self.bounds_unread else 0


# A request's deadline bounds how long an upstream may leave it unread.
UPSTREAM_LIMITS = DeadPeerLimits(1, 1, 4, bounds_unread=False)
CALLER_LIMITS = DeadPeerLimits(2, 2, 4, bounds_unread=True)
PEER_LIMITS = DeadPeerLimits(2, 1, 3, bounds_unread=True)


class Channel(asyncio.Protocol):
    """A buffered connection.

    :ivar on_connected: called once the connection is established
    :ivar limits: when the peer counts as dead
    :ivar buffer: bytes that were received but not read yet
    :ivar received_bytes: number of bytes received so far
    :ivar peer_closed: whether the peer sends no more
    :ivar error: why the connection broke, None if it was closed in order
    :ivar disconnected: set once the connection is lost
    :ivar data_available: set while there is something to read, be it the end of the stream
    :ivar writable: cleared while the send buffer is full
    :ivar max_buffered: bytes beyond which reading is paused, and the most that is read at once
    :ivar on_lost: called once the connection is lost
    :ivar on_peer_closed: called once when the peer closes or the connection is lost
    :ivar paused: whether reading is paused because the buffer is full
    """

    def __init__(
        self,
        on_connected: Callable[["Channel"], None] | None = None,
        limits: DeadPeerLimits = CALLER_LIMITS,
        max_buffered: int = MAX_BUFFERED_BYTES,
    ) -> None:
        self.on_connected = on_connected
        self.limits = limits
        self.max_buffered = max_buffered
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.received_bytes = 0
        self.peer_closed = False
        self.error: Exception | None = None
        self.disconnected = asyncio.Event()
        self.data_available = asyncio.Event()
        self.writable = asyncio.Event()
        self.writable.set()
        self.on_peer_closed: Callable[[], None] | None = None
        self.on_lost: Callable[[], None] | None = None
        self.paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, set socket options and call :attr:`on_connected`."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.max_size = self.max_buffered  # of one read by asyncio's socket transports
        set_socket_options(transport.get_extra_info("socket"), self.limits)
        if self.on_connected is not None:
            self.on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Buffer bytes, and pause reading if there are too many."""
        self.buffer += data
        self.received_bytes += len(data)
        self.data_available.set()
        if len(self.buffer) > self.max_buffered and not self.paused:
            self.paused = True
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        """Record that the peer sends no more, and keep the connection open for writing."""
        self.note_peer_closed()
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """Record that the connection is closed or broken."""
        self.error = error
        self.disconnected.set()
        self.writable.set()
        self.note_peer_closed()
        if self.on_lost is not None:
            self.on_lost()

    def note_peer_closed(self) -> None:
        """Wake up a waiting reader and call :attr:`on_peer_closed` the first time."""
        is_first = not self.peer_closed
        self.peer_closed = True
        self.data_available.set()
        if is_first and self.on_peer_closed is not None:
            self.on_peer_closed()

    def pause_writing(self) -> None:
        """Make :meth:`drain` wait, because the send buffer is full."""
        self.writable.clear()

    def resume_writing(self) -> None:
        """Let :meth:`drain` continue, because there is space in the send buffer."""
        self.writable.set()

    def read_buffered(self) -> bytes:
        """Return the buffered bytes, clear the buffer and resume reading."""
        data = bytes(self.buffer)
        self.buffer.clear()
        if not self.peer_closed:
            self.data_available.clear()
        if self.paused and not self.disconnected.is_set():
            self.paused = False
            self.transport.resume_reading()
        return data

    async def receive(self) -> bytes:
        """Wait for bytes and return them, empty at the end of the stream.

        :raises ConnectionError: if the connection broke
        """
        if not self.buffer and not self.peer_closed:
            await self.data_available.wait()
        if not self.buffer and self.error is not None:
            raise ConnectionResetError(str(self.error)) from self.error
        return self.read_buffered()

    def write(self, data: bytes) -> None:
        """Send bytes, unless the connection is closing."""
        if not self.transport.is_closing():
            self.transport.write(data)

    async def drain(self) -> None:
        """Wait until there is space in the send buffer.

        :raises ConnectionError: if the connection is lost
        """
        if not self.writable.is_set():
            await self.writable.wait()
        if self.disconnected.is_set():
            raise ConnectionResetError("the connection is gone")

    @property
    def idle(self) -> bool:
        """Whether the connection is open and no unexpected bytes were received."""
        return not (self.peer_closed or self.buffer or self.disconnected.is_set())

    def close(self) -> None:
        """Close the connection after sending what is buffered."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close the connection immediately."""
        if self.transport is not None:
            self.transport.abort()

    def reset(self) -> None:
        """Close the connection immediately, so that its peer does not see an end in order."""
        if self.transport is None or self.transport.is_closing():
            return
        sock = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.transport.abort()

    def discard(self) -> None:
        """Close the connection immediately, and keep what is on its way from arriving later.

        The kernel would go on sending what the peer has not acknowledged.
        """
        if self.transport is None or self.transport.is_closing():
            return
        if count_unacknowledged_bytes(self.transport.get_extra_info("socket")):
            self.reset()
        else:
            self.transport.abort()


def read_address(channel: Channel) -> str:
    """Return the address of the peer, empty if it is unknown."""
    host, *_ = channel.transport.get_extra_info("peername") or ("",)
    return host


def count_unacknowledged_bytes(sock: socket.socket) -> int:
    """Count the bytes in the kernel's send queue that the peer has not acknowledged."""
    (count,) = struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4)))
    return count


def set_socket_options(sock: socket.socket, limits: DeadPeerLimits) -> None:
    """Disable Nagle's algorithm, and make the kernel detect a dead peer within seconds."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, limits.idle_seconds)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, limits.interval_seconds)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, limits.probes)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limits.user_timeout_ms)


async def open_channel(host: str, port: int, timeout: float) -> Channel:
    """Open a connection to an upstream.

    :param timeout: seconds
    :raises OSError: if the connection cannot be made
    :raises TimeoutError: if it takes too long
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout):
        _, channel = await loop.create_connection(
            lambda: Channel(limits=UPSTREAM_LIMITS), host, port
        )
    return channel
