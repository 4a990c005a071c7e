"""Fixtures for answers on both ways to a caller: from an upstream, and through another daemon."""

import asyncio
from collections.abc import Callable
from typing import Any

from tanagertrail.gateway.channel import Channel
from tanagertrail.gateway.exchange import Exchange, UpstreamAttempt
from tanagertrail.gateway.node import GatewayNode
from tanagertrail.gateway.upstream_stream import UpstreamStream
from tanagertrail.policy.carrier_choice import CarrierCandidate
from tanagertrail.registry import Registry
from tests.answer_utils import UNUSED_SOCKET, Ending, MemoryTransport, MemoryWorld
from tests.gateway_utils import HOST, SetLinks, set_links

ORIGIN = "entry-2"
WORLDS: Registry[Callable[..., MemoryWorld]] = Registry("way of an answer")
WORLDS.register("own")(MemoryWorld)


class LinkedTransport(MemoryTransport):
    """One end of a connection between two daemons in memory.

    :ivar peer: the other end
    :ivar bytes_left: bytes that it sends before the connection ends, None for no limit
    :ivar ending: how it ends then
    """

    def __init__(self, channel: Channel) -> None:
        super().__init__(channel, self.pass_on)
        self.loop = asyncio.get_running_loop()
        self.peer: LinkedTransport | None = None
        self.bytes_left: int | None = None
        self.ending = Ending.CLOSED

    def pass_on(self, data: bytes) -> None:
        """Let the other end receive bytes, and end the connection behind the last one."""
        if self.bytes_left is None:
            self.loop.call_soon(self.peer.arrive, data)
            return
        self.loop.call_soon(self.peer.arrive, data[: self.bytes_left])
        self.bytes_left = max(self.bytes_left - len(data), 0)
        if not self.bytes_left and not self.closed:
            self.loop.call_soon(self.break_off)

    def break_off(self) -> None:
        """End the connection for both ends."""
        if self.ending is Ending.RESET and not self.peer.closed:
            self.peer.closed = True
            self.peer.channel.connection_lost(ConnectionResetError("reset by peer"))
        elif self.ending is Ending.HALF_CLOSED:
            self.write_eof()
            return
        self.close()

    def arrive(self, data: bytes) -> None:
        """Receive bytes unless this end is closed."""
        if data and not self.closed:
            self.channel.data_received(data)

    def end_arrivals(self) -> None:
        """Receive the end of what the other end sends."""
        if not self.closed:
            self.channel.eof_received()

    def write_eof(self) -> None:
        self.loop.call_soon(self.peer.end_arrivals)

    def close(self) -> None:
        if not self.closed:
            super().close()
            self.loop.call_soon(self.peer.end_arrivals)

    def get_extra_info(self, name: str, default: object = None) -> object:
        return {"peername": (HOST, 1), "socket": UNUSED_SOCKET}.get(name, default)


def link_channels() -> tuple[Channel, Channel]:
    """Connect two channels."""
    channels = Channel(), Channel()
    transports = [LinkedTransport(channel) for channel in channels]
    for channel, transport, peer in zip(channels, transports, transports[::-1], strict=True):
        channel.transport, transport.peer = transport, peer
    return channels


@WORLDS.register("carried")
class CarriedWorld(MemoryWorld):
    """A daemon that carries the requests of another one, to which callers connect.

    :ivar carriers: daemons that carry requests, by address
    :ivar hops: the carrier's ends of the connections between both
    :ivar hop_cut: bytes after which the next connection ends, how, and whether they are those to
        the carrier; None for a connection that lasts
    """

    is_cut = True

    def __init__(self, upstreams: int = 1, **changes: Any) -> None:
        super().__init__(upstreams, **changes)
        self.front = self.build_node(ORIGIN, **changes)
        self.hops: list[Channel] = []
        self.hop_cut: tuple[int, Ending, bool] | None = None
        links = SetLinks()
        links.is_cut = self.is_cut
        set_links(self.front, links)
        self.front.members.is_alive = lambda daemon, now: True
        client = self.front.dispatcher.carry_client
        client.pools.open = self.open_hop
        client.refresh_carriers = lambda now: None
        self.carriers: dict[str, GatewayNode] = {}
        self.add_carrier(self.node)

    def add_carrier(self, node: GatewayNode) -> None:
        """Let the origin and a carrier know each other."""
        address = f"{HOST}:{len(self.carriers) + 1}"
        carrier = node.members.own._replace(carrier=address)
        now = node.loop.time()
        node.members.merge_member(self.front.members.own, now, True, False)
        node.carry_server.is_ready = lambda: True
        node.carry_server.list_hosts = lambda: {HOST}
        self.front.members.merge_member(carrier, now, True)
        client = self.front.dispatcher.carry_client
        client.carriers[carrier.daemon] = carrier
        client.candidates.append(CarrierCandidate(carrier.daemon, True))
        self.carriers[address] = node

    async def open_hop(self, address: str, timeout: float = 0.0) -> UpstreamStream:
        """Open a connection from the origin to a carrier.

        :raises ConnectionRefusedError: if that has ended
        """
        if address not in self.carriers:
            raise ConnectionRefusedError("nothing listens")
        near, far = link_channels()
        if self.hop_cut is not None:
            bytes_left, ending, is_to_carrier = self.hop_cut
            sender = near.transport if is_to_carrier else far.transport
            sender.bytes_left, sender.ending = bytes_left, ending
            self.hop_cut = None
        self.hops.append(far)
        self.carriers[address].carry_server.accept(far)
        return UpstreamStream(near)

    def cut_hop(self, bytes_left: int, ending: Ending, is_to_carrier: bool) -> None:
        """End the next connection between both daemons after some bytes in one direction."""
        self.hop_cut = bytes_left, ending, is_to_carrier

    def prefer(self, name: str) -> None:
        """Make both daemons choose an upstream first."""
        super().prefer(name)
        for entry in self.front.cluster_view.upstreams.entries.values():
            entry.in_flight_elsewhere = 0 if entry.record.id == name else 4

    def close(self) -> None:
        """Stop all daemons and end what upstreams still do."""
        for node in (self.front, *self.carriers.values()):
            node.close()
        super().close()


@WORLDS.register("own, then carried")
class CutWorld(CarriedWorld):
    """A daemon that is cut off after its first attempt."""

    is_cut = False

    def __init__(self, upstreams: int = 1, **changes: Any) -> None:
        super().__init__(upstreams, **changes)
        self.attempt = self.front.dispatcher.attempt_directly
        self.front.dispatcher.attempt_directly = self.attempt_once

    async def attempt_once(self, exchange: Exchange) -> UpstreamAttempt | None:
        """Make an attempt and lose the links to all upstreams."""
        try:
            return await self.attempt(exchange)
        finally:
            self.front.links.is_cut = True
