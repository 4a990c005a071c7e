"""A TCP connection as a protocol that buffers bytes and tells when its peer has left."""

__all__ = ["Channel", "open_channel", "set_socket_options"]

import asyncio
import socket
from collections.abc import Callable

MAX_BUFFERED_BYTES = 256 * 1024
USER_TIMEOUT_MS = 3000  # bytes that a dead peer has not acknowledged end the connection
KEEPALIVE_IDLE_SECONDS = 2
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 3


class Channel(asyncio.Protocol):
    """Bytes of one connection.

    :ivar ended: whether the peer has sent its last byte
    :ivar error: why the connection broke, None if it ended in order
    """

    def __init__(self, on_connected: Callable[["Channel"], None] | None = None) -> None:
        self.on_connected = on_connected
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.ended = False
        self.error: Exception | None = None
        self.lost = asyncio.Event()
        self.arrival = asyncio.Event()
        self.writable = asyncio.Event()
        self.writable.set()
        self.on_peer_closed: Callable[[], None] | None = None
        self.paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        set_socket_options(transport.get_extra_info("socket"))
        if self.on_connected is not None:
            self.on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Buffer bytes and stop reading when too many wait."""
        self.buffer += data
        self.arrival.set()
        if len(self.buffer) > MAX_BUFFERED_BYTES and not self.paused:
            self.paused = True
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        """Note that the peer sends no more."""
        self.note_end()
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """Note that the connection is gone."""
        self.error = error
        self.lost.set()
        self.writable.set()
        self.note_end()

    def note_end(self) -> None:
        """Wake whoever waits for bytes."""
        first = not self.ended
        self.ended = True
        self.arrival.set()
        if first and self.on_peer_closed is not None:
            self.on_peer_closed()

    def pause_writing(self) -> None:
        """Note that the peer reads more slowly than is written."""
        self.writable.clear()

    def resume_writing(self) -> None:
        """Note that the peer has caught up."""
        self.writable.set()

    def take(self) -> bytes:
        """Take the buffered bytes."""
        data = bytes(self.buffer)
        self.buffer.clear()
        if not self.ended:
            self.arrival.clear()
        if self.paused and not self.lost.is_set():
            self.paused = False
            self.transport.resume_reading()
        return data

    async def receive(self) -> bytes:
        """Wait for bytes and take them; empty at the end.

        :raises ConnectionError: if the connection broke
        """
        if not self.buffer and not self.ended:
            await self.arrival.wait()
        if not self.buffer and self.error is not None:
            raise ConnectionResetError(str(self.error)) from self.error
        return self.take()

    def write(self, data: bytes) -> None:
        """Send bytes."""
        if not self.transport.is_closing():
            self.transport.write(data)

    async def drain(self) -> None:
        """Wait until the peer has caught up.

        :raises ConnectionError: if the connection is gone
        """
        if not self.writable.is_set():
            await self.writable.wait()
        if self.lost.is_set():
            raise ConnectionResetError("the connection is gone")

    @property
    def idle(self) -> bool:
        """Whether the connection stands and nothing has come unasked."""
        return not (self.ended or self.buffer or self.lost.is_set())

    def close(self) -> None:
        """Send what is buffered and close."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close at once."""
        if self.transport is not None:
            self.transport.abort()


def set_socket_options(sock: socket.socket) -> None:
    """Make a socket find out that its peer has gone silent."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


async def open_channel(host: str, port: int, timeout: float) -> Channel:
    """Connect to an address.

    :param timeout: seconds
    :raises OSError: if the connection cannot be made
    :raises TimeoutError: if it takes too long
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout):
        _, channel = await loop.create_connection(Channel, host, port)
    return channel
