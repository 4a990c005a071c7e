"""Detection of dead peers by the kernel, which must not mistake a silent one for dead."""

import asyncio
import socket

from tanagertrail.gateway import channel
from tanagertrail.gateway.channel import Channel, open_channel, set_socket_options
from tanagertrail.gateway.upstream_stream import UpstreamStream
from tanagertrail.standins.blackhole import drop_incoming, pass_incoming
from tanagertrail.standins.ports import HOST
from tests.gateway_utils import run_in_real_time

SHORT_LIMITS = channel.DeadPeerLimits(1, 1, 2, bounds_unread=False)
ALLOWED_SECONDS = 2.4  # two probes are lost by then, and the time for a third answer isn't over


async def open_pair():
    """Open a connection and return the opener's and the listener's side, and the server."""
    accepted = asyncio.get_running_loop().create_future()
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: Channel(accepted.set_result), HOST, 0)
    opened = await open_channel(HOST, server.sockets[0].getsockname()[1], 1.0)
    return opened, await accepted, server


def read_option(side, option):
    """Read a TCP option of a connection."""
    return side.transport.get_extra_info("socket").getsockopt(socket.IPPROTO_TCP, option)


@run_in_real_time
async def test_keep_alive_count_decides_when_an_idle_peer_is_dead():
    opened, accepted, server = await open_pair()
    for side, limits in ((opened, channel.UPSTREAM_LIMITS), (accepted, channel.CALLER_LIMITS)):
        idle = read_option(side, socket.TCP_KEEPIDLE)
        interval = read_option(side, socket.TCP_KEEPINTVL)
        dead_after = idle + interval * read_option(side, socket.TCP_KEEPCNT)
        user_timeout = read_option(side, socket.TCP_USER_TIMEOUT) / 1000
        assert dead_after == limits.dead_after
        assert user_timeout in (0, dead_after)
        side.abort()
    server.close()


@run_in_real_time
async def test_peer_that_is_silent_within_its_limits_is_not_cut_off():
    """One lost probe, or data left unread for 3 s, broke connections to sound peers."""
    silent, silent_peer, first_server = await open_pair()
    unread, reader, second_server = await open_pair()
    for side in (silent, unread):
        set_socket_options(side.transport.get_extra_info("socket"), SHORT_LIMITS)
    drop_incoming(silent_peer.transport.get_extra_info("socket"))
    reader.transport.pause_reading()
    unread.write(b"x" * 16_000_000)
    await asyncio.sleep(ALLOWED_SECONDS)
    assert not silent.disconnected.is_set()
    async with asyncio.timeout(SHORT_LIMITS.dead_after - ALLOWED_SECONDS + 0.5):
        await silent.disconnected.wait()
    assert silent.error is not None
    assert not unread.disconnected.is_set()
    for side in (silent_peer, unread, reader):
        side.abort()
    first_server.close()
    second_server.close()


@run_in_real_time
async def test_request_that_was_given_up_does_not_arrive_after_the_link_is_back():
    """The kernel went on sending requests of connections that had been closed."""
    opened, accepted, server = await open_pair()
    link = accepted.transport.get_extra_info("socket")
    drop_incoming(link)
    stream = UpstreamStream(opened)
    stream.send_request(b"GET", b"/late", [(b"host", b"desk.example")], b"")
    await asyncio.sleep(0.1)
    stream.abort()
    await asyncio.sleep(0.1)
    pass_incoming(link)
    await asyncio.sleep(1.2)
    assert not accepted.buffer
    accepted.abort()
    server.close()


def test_unread_data_is_bounded_for_callers_only():
    assert channel.UPSTREAM_LIMITS.user_timeout_ms == 0
    for limits in (channel.CALLER_LIMITS, channel.PEER_LIMITS):
        assert limits.user_timeout_ms == limits.dead_after * 1000
