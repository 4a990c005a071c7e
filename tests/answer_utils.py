"""Fixtures for the answers of upstreams: a daemon whose connections are all in memory."""

import asyncio
import enum
import itertools
import socket
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

import h11

from tanagertrail.gateway.channel import Channel
from tanagertrail.gateway.clock import read_boot_time
from tanagertrail.gateway.node import GatewayNode
from tanagertrail.gateway.upstream_stream import UpstreamStream
from tanagertrail.gateway.upstream_table import UpstreamEntry
from tanagertrail.platform.records import decode_configuration, decode_upstream
from tanagertrail.platform.store import StoredObject
from tests.gateway_utils import build_config, build_entry, build_settings

OWN_ID = b"@own"  # stands in scripts for the id of the request
OTHER_ID = b"@other"  # and for that of the request before it on the connection
DEADLINE_SECONDS = 2.0
PORTS = dict.fromkeys(("front", "ready", "directory", "internal", "store", "cloud"), 1)


class Ending(enum.Enum):
    """Ways in which an upstream ends a connection."""

    CLOSED = "closed"
    HALF_CLOSED = "half-closed"
    RESET = "reset"


class Step(NamedTuple):
    """A part of what an upstream does with a request.

    :ivar data: bytes that it sends, or how it ends the connection, None to close it
    :ivar delay: seconds before
    """

    data: bytes | Ending | None
    delay: float = 0.0


class Script(NamedTuple):
    """What an upstream does with a request.

    :ivar runs: whether it runs the request
    """

    steps: tuple[Step, ...]
    runs: bool = True


class Reply(NamedTuple):
    """What a caller got; ``whole`` is false if the answer has no proper end."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    whole: bool


def build_answer(
    body: bytes = b"own answer",
    status: int = 200,
    request_id: bytes | None = OWN_ID,
    signed: bool = True,
    headers: Iterable[bytes] = (),
) -> bytes:
    """Return an answer with a length; a request id of None is left out."""
    lines = [b"HTTP/1.1 %d Status" % status, b"content-length: %d" % len(body), *headers]
    if request_id is not None:
        lines.append(b"tanagertrail-request-id: " + request_id)
    if signed:
        lines.append(b"tanagertrail-server-stamp: stamp." + (request_id or b""))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def build_refusal(request_id: bytes | None = OWN_ID, status: int = 503) -> bytes:
    """Return a refusal of a request that was not run."""
    mark = [b"tanagertrail-not-run: 1"]
    return build_answer(b"full", status, request_id, signed=False, headers=mark)


def build_stream_head(*headers: bytes, status: int = 200, request_id: bytes = OWN_ID) -> bytes:
    """Return the head of a chunked stream of events."""
    lines = [
        b"HTTP/1.1 %d Status" % status,
        b"transfer-encoding: chunked",
        b"tanagertrail-request-id: " + request_id,
        b"tanagertrail-server-stamp: stamp." + request_id,
        *(headers or [b"content-type: text/event-stream"]),
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def build_chunk(data: bytes) -> bytes:
    """Return a chunk; an empty one ends a stream."""
    return b"%x\r\n" % len(data) + data + b"\r\n"


def build_events(first: int, last: int) -> bytes:
    """Return the events of a stream with these ids, both included."""
    return b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(first, last + 1))


def build_stream(first: int, last: int, *headers: bytes) -> bytes:
    """Return a whole stream."""
    return build_stream_head(*headers) + build_chunk(build_events(first, last)) + build_chunk(b"")


UNUSED_SOCKET = socket.socket()  # has sent nothing


class MemoryTransport(asyncio.Transport):
    """A transport that hands what is written to a function.

    :ivar changed: set when something is written or the connection is closed
    """

    def __init__(self, channel: Channel, receive: Callable[[bytes], None]) -> None:
        super().__init__()
        self.channel = channel
        self.receive = receive
        self.closed = False
        self.changed = asyncio.Event()

    def write(self, data: bytes) -> None:
        if not self.closed:
            self.receive(bytes(data))
            self.changed.set()

    def is_closing(self) -> bool:
        return self.closed

    def get_extra_info(self, name: str, default: object = None) -> object:
        return UNUSED_SOCKET if name == "socket" else default

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0

    def write_eof(self) -> None:
        pass

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass

    def abort(self) -> None:
        self.close()

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.changed.set()
            asyncio.get_running_loop().call_soon(self.channel.connection_lost, None)


class MemoryConnection:
    """The upstream's side of a connection, which carries out scripts.

    :ivar request_ids: ids of the requests so far
    :ivar answers: answers to requests that were sent so far, for copies
    """

    def __init__(self, upstream: "MemoryUpstream") -> None:
        self.upstream = upstream
        self.channel = Channel()
        self.transport = MemoryTransport(self.channel, self.receive)
        self.channel.transport = self.transport
        self.received = b""
        self.request_ids: list[bytes] = []
        self.answers: list[bytes] = []
        self.tasks: list[asyncio.Task] = []

    def receive(self, data: bytes) -> None:
        """Read requests, all of which have a length or no body."""
        self.received += data
        head, end, rest = self.received.partition(b"\r\n\r\n")
        if not end:
            return
        request_line, *lines = head.split(b"\r\n")
        headers = dict(
            tuple(part.strip() for part in line.lower().split(b":", 1)) for line in lines
        )
        headers[b":path"] = request_line.split(b" ")[1]
        length = int(headers.get(b"content-length", b"0"))
        if len(rest) < length:
            return
        self.received = rest[length:]
        self.request_ids.append(headers.get(b"tanagertrail-request-id", b""))
        script = self.upstream.take_script(self, headers)
        self.tasks.append(asyncio.create_task(self.carry_out(script, self.request_ids[-1])))

    async def carry_out(self, script: Script, own_id: bytes) -> None:
        """Send what a script says."""
        earlier = [name for name in self.request_ids if name != own_id]
        other_id = earlier[-1] if earlier else b"other"
        for step in script.steps:
            await asyncio.sleep(step.delay)
            if self.transport.closed:
                return
            if not isinstance(step.data, bytes):
                self.end(step.data)
                return
            self.channel.data_received(
                step.data.replace(OWN_ID, own_id).replace(OTHER_ID, other_id)
            )

    def end(self, ending: Ending | None) -> None:
        """End the connection."""
        if ending is Ending.HALF_CLOSED:
            self.channel.eof_received()
        elif ending is Ending.RESET:
            self.transport.closed = True
            self.channel.connection_lost(ConnectionResetError("reset by peer"))
        else:
            self.transport.close()


class MemoryUpstream:
    """An upstream whose next requests are treated as scripts say, further ones well.

    :ivar runs: ids of the requests that it ran
    :ivar arrivals: headers of the requests that reached it
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.scripts: list[Script] = []
        self.runs: list[bytes] = []
        self.arrivals: list[dict[bytes, bytes]] = []
        self.connections: list[MemoryConnection] = []

    def add(self, *data: bytes | None, runs: bool = True) -> None:
        """Add a script of steps without delays."""
        self.scripts.append(Script(tuple(Step(part) for part in data), runs))

    def take_script(self, connection: MemoryConnection, headers: dict[bytes, bytes]) -> Script:
        """Return what to do with a request and note it."""
        self.arrivals.append(headers)
        script = self.scripts.pop(0) if self.scripts else Script((Step(build_answer()),))
        if script.runs:
            self.runs.append(headers.get(b"tanagertrail-request-id", b""))
        return script

    def connect(self) -> UpstreamStream:
        """Return the daemon's side of a new connection."""
        connection = MemoryConnection(self)
        self.connections.append(connection)
        return UpstreamStream(connection.channel)


class CallerChannel(Channel):
    """The daemon's side of a caller's connection.

    :ivar was_reset: whether the daemon ended it so that its end is no end of an answer
    """

    was_reset = False

    def reset(self) -> None:
        self.was_reset = True
        self.abort()


class MemoryWorld:
    """A daemon with upstreams and callers in memory.

    :ivar node: the daemon that reaches the upstreams
    :ivar front: the daemon that callers connect to
    :ivar defects: defects that the daemons logged
    """

    def __init__(self, upstreams: int = 1, **changes: Any) -> None:
        self.defects: list[dict[str, Any]] = []
        self.numbers = itertools.count(1)
        self.upstreams = {f"up-{letter}": MemoryUpstream(f"up-{letter}") for letter in "abc"}
        self.upstreams = dict(itertools.islice(self.upstreams.items(), upstreams))
        self.node = self.front = self.build_node("entry-1", **changes)

    def build_node(self, name: str, **changes: Any) -> GatewayNode:
        """Build a daemon that knows the configuration and the upstreams."""
        node = GatewayNode(build_settings(PORTS, name))
        write = node.log.write
        node.log.write = lambda event, **fields: (
            self.defects.append(fields) if event == "defect" else write(event, **fields)
        )
        node.pools.open = self.open
        node.crash_detector.probe_connection = self.accept_probe
        view = node.cluster_view
        view.apply_config(decode_configuration(build_config(**changes)))
        view.config_confirmed_at = read_boot_time()
        view.upstreams_known = view.evacuated_known = view.rollouts_known = True
        view.limits_known = True
        for number, upstream in enumerate(self.upstreams):
            item = StoredObject(upstream, 1, 1, build_entry(1000 + number, "north"), None)
            view.upstreams.put(decode_upstream(item), node.loop.time())
        return node

    async def open(self, address: str, timeout: float = 0.0) -> UpstreamStream:
        """Open a connection to an upstream."""
        names = list(self.upstreams)
        return self.upstreams[names[int(address.rpartition(":")[2]) - 1000]].connect()

    async def accept_probe(self, entry: UpstreamEntry) -> None:
        """Find an upstream alive."""

    def prefer(self, name: str) -> None:
        """Make the daemon choose an upstream first."""
        for entry in self.node.cluster_view.upstreams.entries.values():
            entry.in_flight_elsewhere = 0 if entry.record.id == name else 4

    async def fetch(self, path: str, body: bytes = b"", **changes: str | None) -> Reply:
        """Send a request as a caller would and return the answer.

        :param changes: further headers, ``method`` and ``version``; ``request_id=None`` leaves the
            id out
        """
        channel, received = self.send(path, body, **changes)
        return await self.read(channel, received, changes.get("method", "POST" if body else "GET"))

    def send(
        self, path: str, body: bytes = b"", **changes: str | None
    ) -> tuple[Channel, list[bytes]]:
        """Send a request on a new connection, and return it with what will be received.

        :param changes: as of :meth:`fetch`
        """
        version = changes.pop("version", "1.1")
        request_id = changes.pop("request_id", f"r{next(self.numbers)}")
        method = changes.pop("method", "POST" if body else "GET")
        headers = {
            "host": "desk.example",
            "tanagertrail-deadline-ms": str(int(DEADLINE_SECONDS * 1000)),
            "api-key": "key-guild",
        }
        headers |= {name.replace("_", "-"): value for name, value in changes.items()}
        if request_id is not None:
            headers["tanagertrail-request-id"] = request_id
        if body:
            headers["content-length"] = str(len(body))
        lines = [f"{method} {path} HTTP/{version}", *(f"{k}: {v}" for k, v in headers.items())]
        received: list[bytes] = []
        channel = CallerChannel()
        channel.transport = MemoryTransport(channel, received.append)
        self.front.http_server.accept(channel)
        channel.data_received("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
        return channel, received

    async def read(self, channel: Channel, received: list[bytes], method: str) -> Reply:
        """Read an answer until it is whole or the daemon ends the connection."""
        parser = h11.Connection(h11.CLIENT)
        parser.send(h11.Request(method=method, target="/", headers=[("host", "x")]))
        parser.send(h11.EndOfMessage())
        head, parts, whole = None, [], False
        fed = 0
        while not whole:
            if fed == len(received):
                if channel.transport.closed:
                    whole = ends_with_connection(channel, parser)
                    break
                await channel.transport.changed.wait()
                channel.transport.changed.clear()
                continue
            parser.receive_data(b"".join(received[fed:]))
            fed = len(received)
            while (event := parser.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                if isinstance(event, h11.Response):
                    head = event
                elif isinstance(event, h11.Data):
                    parts.append(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    whole = True
                    break
        await asyncio.sleep(0.01)
        assert len(received) == fed, "bytes follow a whole answer"
        channel.transport.abort()
        if head is None:
            return Reply(0, {}, b"", False)
        return Reply(head.status_code, dict(head.headers), b"".join(parts), whole)

    def close(self) -> None:
        """Stop the daemon and end what upstreams still do."""
        self.node.close()
        for upstream in self.upstreams.values():
            for connection in upstream.connections:
                for task in connection.tasks:
                    task.cancel()

    @property
    def runs(self) -> list[bytes]:
        """Ids of the requests that upstreams ran."""
        return [name for upstream in self.upstreams.values() for name in upstream.runs]


def ends_with_connection(channel: CallerChannel, parser: h11.Connection) -> bool:
    """Return whether the end of a caller's connection is that of its answer."""
    if channel.was_reset:
        return False
    try:
        parser.receive_data(b"")
        return isinstance(parser.next_event(), h11.EndOfMessage)
    except h11.RemoteProtocolError:
        return False
