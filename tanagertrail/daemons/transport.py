"""Interface of the transport between daemons, and its in-memory implementation."""

__all__ = ["BasePeerTransport", "MessageHandler", "MemoryNetwork", "MemoryPeerTransport"]

import asyncio
import random
from collections import Counter
from collections.abc import Callable

from tanagertrail.daemons.frames import encode_frame
from tanagertrail.daemons.messages import Message

MessageHandler = Callable[[str, Message, int], None]


class BasePeerTransport:
    """Interface of a transport: sending never blocks, and a lost connection may lose messages.

    :ivar bytes_sent: bytes sent by message type
    :ivar messages_sent: number of messages sent by message type
    """

    def __init__(self, daemon: str) -> None:
        self.daemon = daemon
        self.handler: MessageHandler | None = None
        self.bytes_sent: Counter[str] = Counter()
        self.messages_sent: Counter[str] = Counter()

    def set_handler(self, handler: MessageHandler) -> None:
        """Set the function that is called with (sender, message, stamp) for each message."""
        self.handler = handler

    def set_address(self, daemon: str, address: str) -> None:
        """Set the address at which a daemon listens."""

    def disconnect(self, daemon: str) -> None:
        """Close the connection to a daemon that has left the cluster."""

    def send(self, daemon: str, message: Message, stamp: int) -> None:
        """Send a message if the daemon can be reached."""
        raise NotImplementedError

    async def start(self) -> None:
        """Start listening."""

    async def stop(self) -> None:
        """Stop listening and close all connections."""

    def count_sent(self, message: Message, size: int) -> None:
        """Count a sent message and its bytes by type."""
        kind = type(message).__name__
        self.bytes_sent[kind] += size
        self.messages_sent[kind] += 1


class MemoryNetwork:
    """Network between daemons of one process, with delays, partitions and pauses.

    :ivar latency: least delay of a message in seconds
    :ivar jitter: largest random delay in seconds that is added to the latency; messages from one
        daemon to another stay in order
    :ivar partitions: pairs of daemons that cannot reach each other
    :ivar isolated: daemons that cannot reach any other
    :ivar paused: messages held back, by paused daemon
    :ivar last_arrivals: latest scheduled arrival by (sender, receiver)
    :ivar count_bytes: whether messages are encoded to count their bytes
    """

    def __init__(self, latency: float = 0.001, jitter: float = 0.0, seed: int = 0) -> None:
        self.latency = latency
        self.jitter = jitter
        self.rng = random.Random(seed)
        self.transports: dict[str, MemoryPeerTransport] = {}
        self.partitions: set[frozenset[str]] = set()
        self.isolated: set[str] = set()
        self.paused: dict[str, list[tuple[str, Message, int]]] = {}
        self.last_arrivals: dict[tuple[str, str], float] = {}
        self.count_bytes = True

    def connect(self, daemon: str) -> "MemoryPeerTransport":
        """Create the transport of a daemon and attach it to the network."""
        transport = MemoryPeerTransport(daemon, self)
        self.transports[daemon] = transport
        return transport

    def partition(self, first: str, second: str) -> None:
        """Stop messages between two daemons, in both directions."""
        self.partitions.add(frozenset((first, second)))

    def heal(self) -> None:
        """Remove all partitions and isolations."""
        self.partitions.clear()
        self.isolated.clear()

    def is_partitioned(self, first: str, second: str) -> bool:
        """Return whether two daemons cannot reach each other."""
        if first == second:
            return False
        isolated = first in self.isolated or second in self.isolated
        return isolated or frozenset((first, second)) in self.partitions

    def pause(self, daemon: str) -> None:
        """Hold back all messages to a daemon until it is resumed."""
        self.paused.setdefault(daemon, [])

    def resume(self, daemon: str) -> None:
        """Deliver the messages that were held back."""
        for sender, message, stamp in self.paused.pop(daemon, []):
            self.deliver(sender, daemon, message, stamp)

    def deliver_after_delay(self, sender: str, receiver: str, message: Message, stamp: int) -> None:
        """Schedule the delivery of a message after the network's delay."""
        if self.is_partitioned(sender, receiver) or receiver not in self.transports:
            return
        loop = asyncio.get_running_loop()
        delay = self.latency + self.jitter * self.rng.random()
        daemon_pair = (sender, receiver)
        arrival = max(loop.time() + delay, self.last_arrivals.get(daemon_pair, 0.0))
        self.last_arrivals[daemon_pair] = arrival
        loop.call_at(arrival, self.deliver, sender, receiver, message, stamp)

    def deliver(self, sender: str, receiver: str, message: Message, stamp: int) -> None:
        """Pass a message to its receiver's handler.

        It is held back if the receiver is paused, and dropped if it is partitioned or gone.
        """
        if receiver in self.paused:
            self.paused[receiver].append((sender, message, stamp))
            return
        transport = self.transports.get(receiver)
        if transport is None or self.is_partitioned(sender, receiver):
            return
        if transport.handler is not None:
            transport.handler(sender, message, stamp)


class MemoryPeerTransport(BasePeerTransport):
    """The transport of one daemon on an in-memory network."""

    def __init__(self, daemon: str, network: MemoryNetwork) -> None:
        super().__init__(daemon)
        self.network = network

    def send(self, daemon: str, message: Message, stamp: int) -> None:
        """Send a message if the daemon can be reached."""
        if self.network.count_bytes and daemon != self.daemon:
            self.count_sent(message, len(encode_frame(message, stamp)))
        self.network.deliver_after_delay(self.daemon, daemon, message, stamp)

    async def stop(self) -> None:
        """Detach from the network."""
        if self.network.transports.get(self.daemon) is self:
            del self.network.transports[self.daemon]
