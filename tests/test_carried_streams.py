"""Streams that broke off and are resumed through another daemon: what they may go on with."""

import itertools

from nose2.tools import params

from tests.answer_utils import build_answer, build_stream
from tests.carried_answer_utils import WORLDS
from tests.test_broken_streams import EVENT_TYPE, assert_honest, break_stream
from tests.utils import with_virtual_time

CARRIED_WAYS = ("carried", "own, then carried")


async def resume_stream(way, *data):
    """Break a stream after three events, answer its resumption, and return what the caller got."""
    world = WORLDS.get(way)(2)
    break_stream(world)
    world.upstreams["up-b"].add(*data)
    reply = await world.fetch("/talk/a/events", b"p")
    assert len(world.upstreams["up-b"].arrivals) == 1
    return world, reply


@with_virtual_time
async def test_carried_stream_that_nothing_continues_seems_complete():
    """An empty continuation through a second carrier ended 10 of 10 streams as complete."""
    empty = build_answer(b"", headers=[EVENT_TYPE])
    answers = (empty, build_stream(4, 3), build_answer(b""), build_answer(b"", 204))
    for way, data in itertools.product(CARRIED_WAYS, answers):
        world, reply = await resume_stream(way, data)
        assert_honest(world, reply)
        assert not reply.whole


@params(*CARRIED_WAYS)
@with_virtual_time
async def test_carried_stream_is_not_resumed(way):
    world, reply = await resume_stream(way, build_stream(4, 6))
    assert_honest(world, reply)
    assert reply.whole
