"""Streams that broke off at one upstream: what the next one may add to them."""

from nose2.tools import params

from tests.answer_utils import (
    MemoryWorld,
    build_answer,
    build_chunk,
    build_events,
    build_refusal,
    build_stream,
    build_stream_head,
)
from tests.gateway_utils import build_route
from tests.utils import with_virtual_time

LAST_EVENT = 6
WHOLE = build_events(1, LAST_EVENT)
TEXT_TYPE = b"content-type: text/plain"
EVENT_TYPE = b"content-type: text/event-stream"
BROKEN_STREAM = build_stream_head() + build_chunk(build_events(1, 3))
UNFRAMED_HEAD = build_answer(b"", headers=[EVENT_TYPE]).replace(b"content-length: 0\r\n", b"")


def break_stream(world, name="up-a"):
    """Have the daemon choose an upstream first, whose stream breaks off after three events."""
    world.prefer(name)
    world.upstreams[name].add(BROKEN_STREAM, None)


def assert_honest(world, reply):
    """Check that a caller got whole events of its stream, and its end only after the last one."""
    assert not world.defects, world.defects
    assert reply.status == 200
    assert WHOLE.startswith(reply.body), reply.body
    assert not reply.body or reply.body.endswith(b"\n\n"), reply.body
    assert not reply.whole or reply.body == WHOLE, "the stream seems to be complete"


@params(
    (build_answer(b"failed", 500),),
    (build_answer(b"gone", 404),),
    (build_answer(b"moved", 302),),
    (build_answer(b"whose", 200, signed=False),),
    (build_answer(b"plain text", 200),),
    (build_answer(b"plain text", 200, headers=[EVENT_TYPE]),),
    (build_answer(b"", 200, headers=[EVENT_TYPE]),),
    (build_answer(b"", 204),),
    (build_answer(build_events(4, 6), 200, headers=[TEXT_TYPE]),),
    (build_answer(build_events(4, 6), 203, headers=[EVENT_TYPE]),),
    (build_stream(4, 6, TEXT_TYPE),),
    (build_stream(4, 6, EVENT_TYPE, b"content-encoding: gzip"),),
    (build_stream(4, 3),),
    (build_stream(1, 6),),
    (build_stream(3, 6),),
    (UNFRAMED_HEAD, None),
    (UNFRAMED_HEAD + b"upstream failed", None),
    (UNFRAMED_HEAD + build_events(4, 4) + build_answer(b"failed", 500) + b"\n\n", None),
    (BROKEN_STREAM[:40], None),
    (b"HTTP/1.1 500 Internal Server", None),
    (build_refusal(),),
    (build_refusal(None),),
    (build_refusal() + build_stream(4, 6),),
    (None,),
)
@with_virtual_time
async def test_other_answer_is_joined_to_a_stream_that_broke_off(*data):
    """Callers found the error's text or head in their stream, or a stream that seemed complete."""
    world = MemoryWorld(2)
    break_stream(world)
    world.upstreams["up-b"].add(*data)
    reply = await world.fetch("/talk/a/events", b"p")
    assert len(world.upstreams["up-b"].arrivals) == 1
    assert_honest(world, reply)
    assert not reply.whole
    assert reply.body.startswith(build_events(1, 3))
    outcomes = [entry.failure_rate for entry in world.node.cluster_view.upstreams.entries.values()]
    assert outcomes[0] > 0.0


@params(
    (build_answer(b"failed", 500),),
    (build_answer(b"gone", 404),),
    (build_answer(b"plain text", 200),),
    (build_refusal(),),
    (UNFRAMED_HEAD + b"half an event", None),
)
@with_virtual_time
async def test_stream_is_not_continued_at_a_third_upstream(*data):
    world = MemoryWorld(3, routes=[build_talk(attempts=3)])
    break_stream(world)
    for name in ("up-b", "up-c"):
        world.upstreams[name].add(*data)
    world.upstreams["up-c"].scripts.clear()
    world.upstreams["up-c"].add(build_stream(4, 6))
    entries = world.node.cluster_view.upstreams.entries
    entries["up-c"].in_flight_elsewhere = 6
    reply = await world.fetch("/talk/a/events", b"p")
    assert_honest(world, reply)
    assert reply.whole
    assert world.upstreams["up-c"].arrivals[0][b"last-event-id"] == b"3"


def build_talk(**changes):
    """Return a route of streams that may be resumed."""
    return build_route("talk", "stream", **changes)


@params(build_stream(4, 6), UNFRAMED_HEAD + build_events(4, 6))
@with_virtual_time
async def test_whole_continuation_is_refused(data):
    world = MemoryWorld(2)
    break_stream(world)
    world.upstreams["up-b"].add(data, None)
    reply = await world.fetch("/talk/a/events", b"p")
    assert_honest(world, reply)
    assert reply.whole


@with_virtual_time
async def test_stream_that_the_caller_resumes_repeats_events():
    world = MemoryWorld()
    world.upstreams["up-a"].add(build_stream(3, 6))
    reply = await world.fetch("/once/a/events", b"p", last_event_id="3")
    assert not world.defects
    assert reply.status == 502 or not reply.body
    world.node.cluster_view.upstreams.entries["up-a"].backoff_until = 0.0
    world.upstreams["up-a"].add(build_stream(4, 6))
    reply = await world.fetch("/once/a/events", b"p", last_event_id="3")
    assert (reply.body, reply.whole) == (build_events(4, 6), True)
