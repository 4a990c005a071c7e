"""Tests that a planned stop answers what has arrived."""

import asyncio
import socket
import time

from nose2.tools import params

from tanagertrail.gateway.channel import open_channel
from tanagertrail.gateway.http_server import LAST_READ_SECONDS
from tanagertrail.gateway.upstream_stream import UpstreamStream
from tanagertrail.policy.durations import LengthEstimate
from tanagertrail.policy.stop_admission import MIN_SAMPLES
from tanagertrail.standins.ports import HOST, find_port
from tests.caller_utils import REQUEST, CallerWorld, turn_loop, with_callers
from tests.gateway_utils import open_world, run_in_real_time

LATE_SECONDS = 0.05


def set_grace(world, seconds):
    """Change the grace period of a daemon."""
    bounds = world.node.settings.bounds._replace(grace=seconds)
    world.node.settings = world.node.settings._replace(bounds=bounds)


def know_short_lengths(world):
    """Let a daemon know that all requests are short, however busy the machine is."""
    estimate = LengthEstimate(0.01, 0.01, MIN_SAMPLES)
    world.node.dispatcher.stop_gate.durations.estimate = lambda kind, size, now: estimate


def call_before_listening_ends(world, action):
    """Call a function when the daemon is about to stop listening."""
    server = world.node.http_server
    stop_listening = server.stop_listening

    def stop_listening_late():
        server.stop_listening = stop_listening
        action()
        stop_listening()

    server.stop_listening = stop_listening_late


@run_in_real_time
async def test_request_sent_on_a_kept_connection_as_the_daemon_ends_is_answered():
    async with open_world() as world:
        set_grace(world, 2.0)
        know_short_lengths(world)
        callers = [await world.connect() for _ in range(8)]
        for caller in callers[:4]:
            world.send(caller, "/look/1")
            assert (await world.read(caller)).status == 200
        call_before_listening_ends(
            world, lambda: [world.send(caller, "/look/2") for caller in callers]
        )
        await world.node.stop()
        assert [(await world.read(caller)).status for caller in callers] == [200] * 8


@run_in_real_time
async def test_first_request_on_a_connection_accepted_last_is_answered():
    async with open_world() as world:
        set_grace(world, 2.0)
        know_short_lengths(world)
        caller = UpstreamStream(await open_channel(HOST, world.ports["front"], 1.0))
        loop = asyncio.get_running_loop()
        call_before_listening_ends(
            world, lambda: loop.call_later(LATE_SECONDS, world.send, caller, "/look/1")
        )
        await world.node.stop()
        assert (await world.read(caller)).status == 200


@run_in_real_time
async def test_first_request_on_a_connection_accepted_last_is_refused_if_its_length_is_unknown():
    async with open_world() as world:
        set_grace(world, 2.0)
        caller = UpstreamStream(await open_channel(HOST, world.ports["front"], 1.0))
        loop = asyncio.get_running_loop()
        call_before_listening_ends(
            world, lambda: loop.call_later(LATE_SECONDS, world.send, caller, "/look/1")
        )
        await world.node.stop()
        reply = await world.read(caller)
        assert (reply.status, reply.headers[b"connection"], reply.whole) == (503, b"close", True)
        assert not any(upstream.arrivals for upstream in world.upstreams)


@run_in_real_time
async def test_request_cut_at_the_end_of_the_grace_period_gets_an_error():
    async with open_world() as world:
        set_grace(world, 0.9)
        world.keep_one_upstream().faults.append("silent")
        await world.wait_for_upstreams(1)
        pending_reply = asyncio.create_task(world.fetch("/book/1", b"thing"))
        await world.wait_until(lambda: world.upstreams[0].runs)
        await world.node.stop()
        reply = await pending_reply
        assert (reply.status, reply.whole) == (504, True)


@run_in_real_time
async def test_stream_cut_at_the_end_of_the_grace_period_does_not_look_complete():
    async with open_world() as world:
        set_grace(world, 0.9)
        world.keep_one_upstream().work = 0.2
        await world.wait_for_upstreams(1)
        pending_reply = asyncio.create_task(world.fetch("/talk/a/events", b"thing"))
        await world.wait_until(lambda: world.upstreams[0].runs)
        await world.node.stop()
        reply = await pending_reply
        assert (reply.status, reply.whole) == (200, False)


@run_in_real_time
async def test_stream_is_cut_before_the_last_sixth_of_a_short_grace_period():
    async with open_world() as world:
        grace = 1.8
        set_grace(world, grace)
        world.keep_one_upstream().work = 0.5
        await world.wait_for_upstreams(1)
        pending_reply = asyncio.create_task(world.fetch("/talk/a/events", b"thing"))
        await world.wait_until(lambda: world.upstreams[0].runs)
        started = time.monotonic()
        stop = asyncio.create_task(world.node.stop())
        assert not (await pending_reply).whole
        assert time.monotonic() - started >= grace * 5 / 6
        await stop
        assert time.monotonic() - started < grace


@run_in_real_time
async def test_slow_release_of_the_lease_does_not_use_up_the_grace_period():
    async with open_world() as world:
        set_grace(world, 1.0)
        world.node.leadership.release = lambda: asyncio.sleep(5.0)
        started = time.monotonic()
        await world.node.stop()
        assert time.monotonic() - started < 1.0


@with_callers
async def test_body_that_is_arriving_counts_as_unanswered(world):
    transport = world.connect()
    transport.send(b"POST /1 HTTP/1.1\r\nhost: desk.example\r\ncontent-length: 4\r\n\r\n")
    transport.deliver()
    await turn_loop()
    assert world.server.unanswered
    transport.send(b"body")
    transport.deliver()
    await turn_loop()
    assert (transport.answers, world.server.unanswered) == (1, False)


@with_callers
async def test_response_that_is_not_sent_yet_counts_as_unanswered(world):
    transport = world.connect()
    transport.unsent = 100_000
    await world.request(transport)
    assert world.server.unanswered
    transport.unsent = 0
    assert not world.server.unanswered


@with_callers
async def test_idle_connections_do_not_hold_up_the_end(world):
    transports = [world.connect() for _ in range(3)]
    await world.request(transports[0])
    started = asyncio.get_running_loop().time()
    assert await world.server.finish(started + 10) == 0
    assert asyncio.get_running_loop().time() - started < 0.5
    assert all(transport.half_closed for transport in transports)


@with_callers
async def test_connection_accepted_while_idle_ones_close_is_not_cut_in_its_wait(world):
    world.work = 5.0
    await world.request(world.connect())
    transports = []
    loop = asyncio.get_running_loop()
    loop.call_later(LAST_READ_SECONDS / 2, lambda: transports.append(world.connect()))
    await world.server.finish(loop.time() - 1)
    assert transports[0].half_closed


@params(0, 1, 2, 3)
@run_in_real_time
async def test_connection_opened_as_listening_ends_is_not_reset(turns):
    world = CallerWorld()
    port = find_port()
    await world.server.start(HOST, port)
    loop = asyncio.get_running_loop()
    finish = loop.create_task(world.server.finish(loop.time() + 2))
    await turn_loop(turns)
    caller = socket.create_connection((HOST, port), timeout=1.0)
    caller.sendall(REQUEST % 1)
    await finish
    assert caller.recv(1000).startswith(b"HTTP/1.1 200 ")
    caller.close()
    world.close()


@with_callers
async def test_request_read_by_half_at_the_end_is_refused_as_not_run(world):
    transport = world.connect()
    transport.send((REQUEST % 1)[:9])
    transport.deliver()
    await turn_loop()
    world.server.stopping = True
    await world.server.finish(asyncio.get_running_loop().time() + 1)
    assert transport.sent.startswith(b"HTTP/1.1 503 ")
    assert world.handled == []


@params("announced", "kept")
@with_callers
async def test_answer_that_is_still_read_when_requests_are_cut_is_not_broken_off(world, close):
    """A whole answer was cut at its caller's pace, with half a second of the stop left."""
    loop = asyncio.get_running_loop()
    transport = world.connect()
    transport.unsent = 100_000
    transport.channel.pause_writing()
    world.server.stopping = close == "announced"
    await world.request(transport)
    assert transport.answers == 1
    cuts_at = loop.time() + 0.3

    def read_rest():
        transport.unsent = 0
        transport.channel.resume_writing()
        transport.end()
        transport.deliver()

    loop.call_at(cuts_at + 0.2, read_rest)
    cut = await world.server.finish(cuts_at, 0.5)
    assert not transport.aborted
    assert transport.closed_at >= cuts_at + 0.2
    assert (cut, loop.time() <= cuts_at + 0.5) == (0, True)


@with_callers
async def test_caller_that_reads_nothing_does_not_hold_up_the_end(world):
    loop = asyncio.get_running_loop()
    transport = world.connect()
    transport.unsent = 100_000
    transport.channel.pause_writing()
    world.server.stopping = True
    await world.request(transport)
    cuts_at = loop.time() + 0.3
    await world.server.finish(cuts_at, 0.5)
    assert loop.time() <= cuts_at + 0.5 + 1e-6


@with_callers
async def test_request_read_by_half_at_the_end_is_refused_with_the_fields_of_its_server(world):
    """A carrier's origin could not tell that the request did not run, and answered 502."""
    world.server.refusal_headers = [(b"carry-result", b"not run")]
    transport = world.connect()
    transport.send((REQUEST % 1)[:9])
    transport.deliver()
    await turn_loop()
    await world.server.finish(asyncio.get_running_loop().time() + 1)
    assert transport.sent.startswith(b"HTTP/1.1 503 ")
    assert b"carry-result: not run" in transport.sent
