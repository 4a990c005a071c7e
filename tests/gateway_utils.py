"""Fixtures of gateway tests: daemons on loopback with fake upstreams, store and cloud API."""

import asyncio
import functools
import string
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import AbstractContextManager, asynccontextmanager, nullcontext
from typing import Any, NamedTuple

from tanagertrail.gateway.channel import open_channel
from tanagertrail.gateway.mirror import BaseKindHandler
from tanagertrail.gateway.model import GatewaySettings
from tanagertrail.gateway.node import GatewayNode
from tanagertrail.gateway.pools import CONNECT_SECONDS
from tanagertrail.gateway.upstream_stream import UpstreamStream
from tanagertrail.gateway.upstream_table import UpstreamEntry
from tanagertrail.platform.settings import decode_settings
from tanagertrail.registry import Registry
from tanagertrail.standins.cloud import StandInCloud
from tanagertrail.standins.documents import build_entry, build_route
from tanagertrail.standins.ports import HOST, find_port, find_port_pair
from tanagertrail.standins.store import StandInStore
from tanagertrail.standins.upstream import StandInUpstream

START_TIMEOUT_SECONDS = 5.0
TEST_TIMEOUT_SECONDS = 20.0


def run_in_real_time(test: Callable[..., Awaitable[None]]) -> Callable[..., None]:
    """Run an asynchronous test on the real clock, with a timeout."""

    @functools.wraps(test)
    def run(*arguments: Any) -> None:
        async def run_with_timeout() -> None:
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                await test(*arguments)

        asyncio.run(run_with_timeout())

    return run


def build_config(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a configuration with a route of each kind, changed at the top level."""
    config = {
        "version": version,
        "routes": [
            build_route("look", "safe"),
            build_route("book", "unsafe"),
            build_route("talk", "stream"),
            build_route("once", "stream", resumable=False, attempts=1),
        ],
        "services": [{"name": "desk", "max_conns": 50}],
        "tenants": [{"name": "guild", "api_keys": ["key-guild"]}],
    }
    return config | changes


def build_settings(ports: dict[str, int], name: str = "entry-1") -> GatewaySettings:
    """Return the settings of a daemon on loopback."""
    return decode_settings(
        {
            "node_name": name,
            "ip": HOST,
            "zone": "north",
            "region": "island",
            "internal_ports": [ports["internal"], ports.get("carrier", ports["internal"])],
            "zones": {"north": "island"},
            "listen": {
                "front": f"{HOST}:{ports['front']}",
                "ready": f"{HOST}:{ports['ready']}",
                "directory": f"{HOST}:{ports['directory']}",
            },
            "platform": {"address": f"{HOST}:{ports['store']}"},
            "cloud_api": {"address": f"{HOST}:{ports['cloud']}"},
            "bounds": {"grace_s": 3, "lease_ms": 1000},
        }
    )


class NoOpHandler(BaseKindHandler):
    """A handler of stored objects that does nothing."""

    def replace_all(self, objects, maybe_expired):
        pass

    def apply_change(self, item, object_status):
        pass

    def on_synced(self, as_of):
        pass


class Reply(NamedTuple):
    """A response as the caller received it; ``whole`` is false if the body was cut short."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    whole: bool = True


class World:
    """A daemon, a store, a cloud API and the upstreams of one service.

    :ivar ports: port by role or upstream id
    :ivar front_ports: ports on which the daemons accept requests
    """

    def __init__(
        self, upstreams: int = 2, upstream_type: type[StandInUpstream] = StandInUpstream
    ) -> None:
        upstream_ids = [f"up-{letter}" for letter in string.ascii_lowercase[:upstreams]]
        names = ("front", "ready", "directory", "store", "cloud", *upstream_ids)
        self.ports = {name: find_port() for name in names}
        self.ports["internal"], self.ports["carrier"] = find_port_pair()
        self.front_ports = [self.ports["front"]]
        self.store = StandInStore()
        self.cloud = StandInCloud()
        self.upstreams = [upstream_type(name) for name in upstream_ids]
        self.node: GatewayNode | None = None
        self.request_count = 0

    async def start(self, config: dict[str, Any]) -> None:
        """Start all parts and wait until the daemon is ready."""
        await self.store.start(HOST, self.ports["store"])
        await self.cloud.start(HOST, self.ports["cloud"])
        self.store.put("config", "main", config)
        for upstream in self.upstreams:
            await upstream.start(HOST, self.ports[upstream.id])
            self.register(upstream.id)
        self.node = GatewayNode(build_settings(self.ports))
        await self.node.start()
        await self.wait_until(lambda: self.node.ready)

    def register(self, upstream_id: str, **changes: Any) -> None:
        """Register an upstream in the store; changes are fields of the entry."""
        entry = build_entry(self.ports[upstream_id], "north", **changes)
        self.store.put("servers", upstream_id, entry)

    def keep_one_upstream(self) -> StandInUpstream:
        """Deregister the second upstream and return the first."""
        self.store.remove("servers", "up-b")
        return self.upstreams[0]

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            while not condition():
                await asyncio.sleep(0.01)

    async def wait_for_upstreams(self, count: int) -> None:
        """Wait until the daemon knows exactly this number of upstreams."""
        await self.wait_until(lambda: len(self.node.cluster_view.upstreams.entries) == count)

    async def fetch(self, path: str, body: bytes = b"", front: int = 0, **changes: str) -> Reply:
        """Send a request on a new connection and read the response.

        :param front: index of the daemon that gets it
        """
        stream = await self.connect(front)
        try:
            self.send(stream, path, body, **changes)
            return await self.read(stream)
        finally:
            stream.abort()

    async def connect(self, front: int = 0) -> UpstreamStream:
        """Open a caller's connection to a daemon."""
        return UpstreamStream(await open_channel(HOST, self.front_ports[front], 1.0))

    def send(self, stream: UpstreamStream, path: str, body: bytes = b"", **changes: str) -> str:
        """Send a request and return its id; changes are headers, an empty one is left out."""
        self.request_count += 1
        request_id = f"r{self.request_count}"
        headers = {
            "host": "desk.example",
            "tanagertrail-request-id": request_id,
            "tanagertrail-deadline-ms": "2000",
            "api-key": "key-guild",
        }
        headers |= {name.replace("_", "-"): value for name, value in changes.items()}
        if body:
            headers["content-length"] = str(len(body))
        fields = [(name.encode(), value.encode()) for name, value in headers.items() if value]
        stream.send_request(b"POST" if body else b"GET", path.encode(), fields, body)
        return request_id

    async def read(self, stream: UpstreamStream) -> Reply:
        """Read a response."""
        head = await stream.read_head()
        parts = []
        whole = True
        try:
            while (part := await stream.read_body_chunk()) is not None:
                parts.append(part)
        except Exception:
            whole = False
        return Reply(head.status, dict(head.headers), b"".join(parts), whole)

    async def close(self) -> None:
        """Stop all parts."""
        if self.node is not None:
            self.node.close()
        for upstream in self.upstreams:
            upstream.close()
        self.store.close()
        self.cloud.close()


@asynccontextmanager
async def open_world(config: dict[str, Any] | None = None):
    """Start a world, yield it and stop it."""
    world = World()
    try:
        await world.start(config or build_config())
        yield world
    finally:
        await world.close()


class Fleet(World):
    """A world with several daemons.

    :ivar nodes: the daemons, the first one included once the others are started
    """

    def __init__(
        self, upstreams: int = 2, upstream_type: type[StandInUpstream] = StandInUpstream
    ) -> None:
        super().__init__(upstreams, upstream_type)
        self.nodes: list[GatewayNode] = []

    async def add_daemon(self, name: str) -> GatewayNode:
        """Start another daemon."""
        own_ports = {key: find_port() for key in ("front", "ready", "directory")}
        own_ports["internal"], own_ports["carrier"] = find_port_pair()
        settings = build_settings(self.ports | own_ports, name)
        node = GatewayNode(settings)
        await node.start()
        self.front_ports.append(own_ports["front"])
        self.nodes.append(node)
        return node

    async def close(self) -> None:
        """Stop all parts."""
        for node in self.nodes:
            node.close()
        await super().close()


@asynccontextmanager
async def open_fleet(
    *names: str, upstreams: int = 2, upstream_type: type[StandInUpstream] = StandInUpstream
):
    """Start a world with further daemons, yield it once they know each other, and stop it."""
    fleet = Fleet(upstreams, upstream_type)
    try:
        await fleet.start(build_config())
        fleet.nodes.append(fleet.node)
        for name in names:
            await fleet.add_daemon(name)
        await fleet.wait_until(
            lambda: all(len(node.list_fronts("")) == len(fleet.nodes) for node in fleet.nodes)
        )
        yield fleet
    finally:
        await fleet.close()


def let_daemons_know_each_other(fleet: Fleet) -> None:
    """Let each daemon know that all others know the fleet."""
    for node in fleet.nodes:
        node.shared_rates.refreshed_at = float("-inf")
        node.shared_rates.refresh_fleet()
        node.shared_rates.held_rates.settled_at = 0.0


Cut = Callable[[str, float], Awaitable[UpstreamStream]]
CUTS: Registry[Cut] = Registry("cut")


@CUTS.register("hanging")
async def hang(address: str, timeout: float = CONNECT_SECONDS) -> UpstreamStream:
    """Open no connection within the timeout."""
    await asyncio.sleep(timeout)
    raise TimeoutError("the connection hangs")


@CUTS.register("refused")
async def refuse_connection(address: str, timeout: float = CONNECT_SECONDS) -> UpstreamStream:
    """Refuse a connection."""
    raise ConnectionRefusedError("the connection is refused")


class SetLinks:
    """A daemon's links as a test sets them; no other daemon is told of their state.

    :ivar settles_as_cut: whether the next verdict is that the daemon is cut off
    """

    def __init__(self, settles_as_cut: bool = False) -> None:
        self.is_cut = not settles_as_cut
        self.settles_as_cut = settles_as_cut
        self.reaches_upstreams = True
        self.rounds = 0

    def uses_own_links(self) -> bool:
        """Return whether the daemon is not cut off."""
        return not self.is_cut

    async def settle(self) -> bool:
        """Return whether the daemon is cut off."""
        self.is_cut |= self.settles_as_cut
        return self.is_cut

    def note_reached(self, entry: UpstreamEntry) -> None:
        """Ignore what an upstream sent."""

    def watch_connect(self, entry: UpstreamEntry) -> AbstractContextManager[None]:
        """Watch nothing."""
        return nullcontext()


def set_links(node: GatewayNode, links: SetLinks) -> None:
    """Replace what a daemon knows of its links."""
    node.links.on_change = lambda: None
    node.links = node.dispatcher.links = node.dispatcher.sender.links = links


def cut_off_from_upstreams(node: GatewayNode, cut: str = "hanging") -> None:
    """Let a daemon open no connection to any upstream, and tell it that it is cut off."""
    node.pools.close()
    node.pools.open = CUTS.get(cut)
    set_links(node, SetLinks())


def list_tries(node: GatewayNode) -> Counter[str]:
    """Return the requests that a daemon sent to each upstream."""
    entries = node.cluster_view.upstreams.entries
    return Counter({name: entry.sent_count for name, entry in entries.items()})
