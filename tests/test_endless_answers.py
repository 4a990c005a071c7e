"""Upstreams in trouble that send bytes which are no answer, without end."""

import asyncio
import tracemalloc

from nose2.tools import params

from tanagertrail.errors import UpstreamConnectError, UpstreamProtocolError
from tanagertrail.upstreams.base import Attempt
from tanagertrail.upstreams.chunks import ChunkDecoder
from tanagertrail.upstreams.http import HttpUpstreamClient
from tests.gateway_utils import HOST, open_world, run_in_real_time
from tests.utils import build_upstream, raises

IN_HEAD = ("endless_line", "endless_heads", "endless_others")
IN_BODY = ("endless_chunks", "endless_body")
IN_EVENTS = ("endless_chunks", "endless_body", "endless_blocks")
PATIENCE_SECONDS = 1.0  # half of the callers' deadline in these tests
MOST_TAKEN = 8_000_000  # bytes, some sockets' buffers beyond the longest answer
MOST_KEPT = 16_000_000  # bytes of memory for one such answer


async def ask_first(world, path, fault, body=b""):
    """Have the only upstream misbehave, ask it, and check what its answer costs."""
    upstream = world.upstreams[0]
    await world.wait_until(lambda: may_be_used(world, upstream.id))
    upstream.faults.append(fault)
    upstream.endless_bytes = 0
    loop = asyncio.get_running_loop()
    tracemalloc.start()
    started = loop.time()
    try:
        reply = await world.fetch(path, body)
        took = loop.time() - started
        kept = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    await asyncio.sleep(0.1)
    sent = upstream.endless_bytes
    await asyncio.sleep(0.1)
    assert upstream.endless_bytes == sent, f"{fault}: the connection is still open"
    assert sent < MOST_TAKEN, fault
    assert took < PATIENCE_SECONDS, fault
    assert kept < MOST_KEPT, fault
    return reply


def may_be_used(world, upstream_id):
    """Say whether the daemon sends requests to an upstream after the last one broke off."""
    entry = world.node.cluster_view.upstreams.entries[upstream_id]
    return entry.accepts_work(asyncio.get_running_loop().time())


@run_in_real_time
async def test_plain_answer_without_end_is_given_up():
    async with open_world() as world:
        world.keep_one_upstream()
        await world.wait_for_upstreams(1)
        for fault in (*IN_HEAD, *IN_BODY):
            reply = await ask_first(world, "/look/1", fault)
            assert reply.status == 502, fault
            assert b"tanagertrail-server-stamp" not in reply.headers, fault
            assert (await ask_well(world)).status == 200


async def ask_well(world):
    """Ask the upstream when it is used again, which ends the row of its faults."""
    await world.wait_until(lambda: may_be_used(world, world.upstreams[0].id))
    return await world.fetch("/look/1")


@run_in_real_time
async def test_stream_without_end_is_given_up():
    async with open_world() as world:
        world.keep_one_upstream()
        await world.wait_for_upstreams(1)
        for fault in (*IN_HEAD, *IN_EVENTS):
            reply = await ask_first(world, "/once/a/events", fault, b"prompt")
            assert reply.status == 502 or not reply.whole, fault
            assert b"x" not in reply.body.replace(b"the upstream broke off", b""), fault
            assert (await ask_well(world)).status == 200


@run_in_real_time
async def test_stream_is_resumed_elsewhere_after_bytes_without_end():
    expected = b"".join(f"id: {n}\ndata: piece {n}\n\n".encode() for n in range(1, 7))
    async with open_world() as world:
        for fault in (*IN_HEAD, *IN_EVENTS):
            world.upstreams[0].faults.append(fault)
            prefer_first(world)
            reply = await world.fetch("/talk/a/events", b"prompt")
            assert not world.upstreams[0].faults, fault
            assert reply.whole, fault
            assert reply.body == expected, fault


def prefer_first(world):
    """Make the daemon believe that the second upstream is half full and the first one well."""
    entries = world.node.cluster_view.upstreams.entries
    entries["up-a"].failure_rate = entries["up-a"].backoff_until = 0.0
    entries["up-b"].in_flight_elsewhere = 4


@run_in_real_time
async def test_unsafe_request_is_not_repeated_after_bytes_without_end():
    async with open_world() as world:
        for upstream in world.upstreams:
            upstream.faults.append("endless_body")
        reply = await world.fetch("/book/1", b"slot")
        assert reply.status == 502
        assert sum(len(upstream.runs) for upstream in world.upstreams) == 1


async def serve_endlessly(head, block):
    """Serve one head and a block without end on loopback; return the server and its address."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(head)
        try:
            while True:
                writer.write(block)
                await writer.drain()
        except ConnectionError:
            writer.close()

    server = await asyncio.start_server(serve, HOST, 0)
    return server, f"{HOST}:{server.sockets[0].getsockname()[1]}"


@params(b"content-type: application/json\r\n", b"transfer-encoding: chunked\r\n")
@run_in_real_time
async def test_client_of_the_core_gives_up_a_body_without_end(field):
    block = b"x" * 65_536
    if b"chunked" in field:
        block = b"%x\r\n" % len(block) + block + b"\r\n"
    server, address = await serve_endlessly(b"HTTP/1.1 200 OK\r\n" + field + b"\r\n", block)
    client = HttpUpstreamClient()
    upstream = build_upstream(address=address)
    try:
        attempt = Attempt("a", "desk", "1", upstream, "GET", "/x", b"", timeout=2.0)
        with raises(UpstreamProtocolError):
            await client.open(attempt)
        with raises(UpstreamConnectError):
            await client.read_load(upstream)
    finally:
        server.close()


def test_chunk_that_is_announced_as_longer_than_any_event_is_refused():
    with raises(UpstreamProtocolError):
        ChunkDecoder().feed(b"7fffffff\r\nx")
