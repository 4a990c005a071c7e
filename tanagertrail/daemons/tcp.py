"""Transport between daemons over TCP or TLS, on asyncio streams."""

__all__ = ["TcpPeerTransport", "TcpSettings"]

import asyncio
import ssl
from collections import deque
from typing import NamedTuple

import logbook

from tanagertrail.daemons.frames import PROTOCOL_VERSION, encode_frame, read_frame
from tanagertrail.daemons.messages import Hello, Message
from tanagertrail.daemons.transport import BasePeerTransport
from tanagertrail.errors import FrameError

log = logbook.Logger(__name__)

CONNECT_TIMEOUT = 1.0
HELLO_TIMEOUT = 5.0
RECONNECT_SECONDS = 0.5
MAX_QUEUED_MESSAGES = 1000
MAX_INBOUND_CONNECTIONS = 1000


class TcpSettings(NamedTuple):
    """Listening address of a daemon, its incarnation and its TLS contexts."""

    host: str
    port: int
    incarnation: int
    server_tls: ssl.SSLContext | None = None
    client_tls: ssl.SSLContext | None = None


class PeerLink:
    """The outgoing connection to one daemon and its message queue, served by one task."""

    def __init__(self, transport: "TcpPeerTransport", daemon: str, address: str) -> None:
        self.transport = transport
        self.daemon = daemon
        self.address = address
        self.queue: deque[tuple[Message, int]] = deque(maxlen=MAX_QUEUED_MESSAGES)
        self.has_messages = asyncio.Event()
        self.task = asyncio.create_task(self.run())

    def enqueue(self, message: Message, stamp: int) -> None:
        """Queue a message; the oldest is dropped when the queue is full."""
        self.queue.append((message, stamp))
        self.has_messages.set()

    async def run(self) -> None:
        """Connect once there are messages, write them, and reconnect after a failure.

        A failure drops the queued messages.
        """
        while True:
            await self.has_messages.wait()
            try:
                await self.write_queue()
            except (OSError, TimeoutError):
                self.transport.count_failure("peer_connect_failures")
                self.queue.clear()
                self.has_messages.clear()
                await asyncio.sleep(RECONNECT_SECONDS)

    async def write_queue(self) -> None:
        """Open a connection and write queued messages to it until it fails."""
        host, _, port = self.address.rpartition(":")
        tls = self.transport.settings.client_tls
        async with asyncio.timeout(CONNECT_TIMEOUT):
            _, writer = await asyncio.open_connection(host, int(port), ssl=tls)
        try:
            writer.write(encode_frame(self.transport.build_hello(), 0))
            while True:
                self.write_batch(writer)
                await writer.drain()
                await self.has_messages.wait()
        finally:
            writer.close()

    def write_batch(self, writer: asyncio.StreamWriter) -> None:
        """Write all queued messages to the connection."""
        if writer.is_closing():
            raise ConnectionResetError(self.daemon)
        while self.queue:
            message, stamp = self.queue.popleft()
            frame = encode_frame(message, stamp)
            self.transport.count_sent(message, len(frame))
            writer.write(frame)
        self.has_messages.clear()


class TcpPeerTransport(BasePeerTransport):
    """Accept connections from other daemons, and connect to a daemon on the first message to it.

    Each connection carries messages one way, from the daemon that opened it.

    :ivar inbound_tasks: tasks that serve incoming connections
    :ivar failure_counts: number of failures by name
    """

    def __init__(self, daemon: str, settings: TcpSettings) -> None:
        super().__init__(daemon)
        self.settings = settings
        self.addresses: dict[str, str] = {}
        self.outgoing_links: dict[str, PeerLink] = {}
        self.inbound_tasks: set[asyncio.Task] = set()
        self.server: asyncio.Server | None = None
        self.failure_counts: dict[str, int] = {}

    @property
    def port(self) -> int:
        """Return the port on which the transport listens."""
        return self.server.sockets[0].getsockname()[1]

    def build_hello(self) -> Hello:
        """Build the hello message of this daemon."""
        return Hello(PROTOCOL_VERSION, self.daemon, self.settings.incarnation)

    def count_failure(self, name: str) -> None:
        """Count a failure under a name."""
        self.failure_counts[name] = self.failure_counts.get(name, 0) + 1

    def set_address(self, daemon: str, address: str) -> None:
        """Set the address at which a daemon listens; if it changed, close the old connection."""
        if self.addresses.get(daemon) != address:
            self.disconnect(daemon)
            self.addresses[daemon] = address

    def disconnect(self, daemon: str) -> None:
        """Close the connection to a daemon and remove its address."""
        self.addresses.pop(daemon, None)
        link = self.outgoing_links.pop(daemon, None)
        if link is not None:
            link.task.cancel()

    def send(self, daemon: str, message: Message, stamp: int) -> None:
        """Queue a message to a daemon; it is dropped if the daemon's address is unknown.

        A message of a daemon to itself is handled in the next turn of the event loop.
        """
        if daemon == self.daemon:
            asyncio.get_running_loop().call_soon(self.handler, daemon, message, stamp)
            return
        address = self.addresses.get(daemon)
        if address is None:
            return
        if daemon not in self.outgoing_links:
            self.outgoing_links[daemon] = PeerLink(self, daemon, address)
        self.outgoing_links[daemon].enqueue(message, stamp)

    async def start(self) -> None:
        """Start listening, unless the transport listens already."""
        if self.server is not None:
            return
        self.server = await asyncio.start_server(
            self.serve_connection,
            self.settings.host,
            self.settings.port,
            ssl=self.settings.server_tls,
        )

    async def serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one incoming connection until it ends.

        Connections above the limit are closed at once.
        """
        task = asyncio.current_task()
        self.inbound_tasks.add(task)
        try:
            if len(self.inbound_tasks) <= MAX_INBOUND_CONNECTIONS:
                await self.read_messages(reader)
        except FrameError as error:
            self.count_failure("frame_errors")
            log.warning("closing a peer connection after an invalid frame: {}", error)
        except (asyncio.IncompleteReadError, OSError, TimeoutError, asyncio.CancelledError):
            self.count_failure("connections_ended")
        finally:
            self.inbound_tasks.discard(task)
            writer.close()

    async def read_messages(self, reader: asyncio.StreamReader) -> None:
        """Read the hello, then pass each message to the handler.

        :raises FrameError: if a frame is invalid or the hello has another protocol version
        """
        async with asyncio.timeout(HELLO_TIMEOUT):
            _, hello = await read_frame(reader)
        if not isinstance(hello, Hello) or hello.protocol != PROTOCOL_VERSION:
            raise FrameError(f"expected a hello of protocol {PROTOCOL_VERSION}")
        while True:
            stamp, message = await read_frame(reader)
            self.handler(hello.daemon, message, stamp)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        for daemon in list(self.outgoing_links):
            self.disconnect(daemon)
        for task in list(self.inbound_tasks):
            task.cancel()
        if self.server is not None:
            self.server.close()
