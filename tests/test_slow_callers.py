"""Callers that do not read what they are sent."""

import asyncio

from tanagertrail.standins.misbehaviour import LONG_EVENTS
from tests.gateway_utils import open_world, run_in_real_time


@run_in_real_time
async def test_caller_that_reads_nothing_is_no_fault_of_the_upstream():
    """The upstream of a caller that stopped reading counted as one that had not answered."""
    async with open_world() as world:
        upstream = world.keep_one_upstream()
        await world.wait_for_upstreams(1)
        upstream.faults.append("long_stream")
        caller = await world.connect()
        world.send(caller, "/talk/a/events", b"prompt", tanagertrail_deadline_ms="700")
        await world.wait_until(lambda: upstream.runs)
        caller.channel.transport.pause_reading()
        await world.wait_until(lambda: not world.node.dispatcher.in_flight)
        entry = world.node.cluster_view.upstreams.entries[upstream.id]
        assert entry.failure_rate == 0.0
        await world.wait_until(lambda: upstream.cut)
        assert not world.node.http_server.streams
        caller.abort()


@run_in_real_time
async def test_pause_of_the_caller_is_not_taken_for_silence_of_the_upstream():
    async with open_world() as world:
        upstream = world.keep_one_upstream()
        await world.wait_for_upstreams(1)
        upstream.faults.append("long_stream")
        caller = await world.connect()
        world.send(caller, "/talk/a/events", b"prompt", tanagertrail_deadline_ms="2000")
        await world.wait_until(lambda: upstream.runs)
        caller.channel.transport.pause_reading()
        await asyncio.sleep(0.8)
        caller.channel.transport.resume_reading()
        reply = await world.read(caller)
        assert reply.whole
        assert reply.body.count(b"data:") == LONG_EVENTS
