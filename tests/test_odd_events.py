"""Events of streams with odd ids or lines."""

from nose2.tools import params

from tanagertrail.gateway.sse import EventSplitter
from tests.answer_utils import (
    MemoryWorld,
    build_chunk,
    build_events,
    build_stream,
    build_stream_head,
)
from tests.utils import with_virtual_time

WHOLE = build_events(1, 6)


@params(
    b"id: 4\ndata: x\nid: 9\n\n",
    b"id: 4\xb2\ndata: x\n\n",
    b"id: \xb2\ndata: x\n\n",
    b"id: " + b"9" * 5000 + b"\ndata: x\n\n",
    b"id: four\ndata: x\n\n",
    b"id: -4\ndata: x\n\n",
    b"id: 4.5\ndata: x\n\n",
    b"id: 4\x01\ndata: x\n\n",
    b"id: 4\ndata: x\nan error of the upstream\n\n",
    b'{"error": "failed"}\nid: 4\ndata: x\n\n',
    b"HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\nid: 4\ndata: x\n\n",
    b"data: x\n\n",
    b"\n\n",
)
@with_virtual_time
async def test_odd_event_reaches_the_caller_or_ends_the_task(event):
    for path, first in (("/once/a/events", 4), ("/talk/a/events", 4), ("/talk/b/events", 1)):
        world = MemoryWorld(2)
        world.prefer("up-a")
        begun = build_events(1, 3) if first == 4 else b""
        world.upstreams["up-a"].add(build_stream_head() + build_chunk(begun + event))
        world.upstreams["up-b"].add(build_stream(first, 6))
        reply = await world.fetch(path, b"p")
        assert not world.defects, world.defects
        assert reply.status in (200, 502)
        assert reply.status == 502 or WHOLE.startswith(reply.body), reply.body
        assert reply.whole == (reply.body == WHOLE) or reply.status == 502


@with_virtual_time
async def test_fields_of_sound_events_are_refused():
    event = (
        b"tanagertrail-weight-versions: 7\n: a comment\nevent: token\nid:1\nretry: 5\n"
        b"data: a: b\ndata\ndata:\n\n"
    )
    world = MemoryWorld()
    world.upstreams["up-a"].add(build_stream_head() + build_chunk(event) + build_chunk(b""))
    reply = await world.fetch("/once/a/events", b"p")
    assert (reply.body, reply.whole) == (event, True)


@params("abc", "4\xb2", "", "9" * 5000, "\xff")
@with_virtual_time
async def test_odd_last_event_id_of_a_caller_ends_the_task(last_event_id):
    world = MemoryWorld()
    world.upstreams["up-a"].add(build_stream(4, 6))
    reply = await world.fetch("/once/a/events", b"p", last_event_id=last_event_id)
    assert not world.defects
    assert (reply.body, reply.whole) == (build_events(4, 6), True)
    passed_on = world.upstreams["up-a"].arrivals[0][b"last-event-id"]
    assert passed_on == last_event_id.lower().encode("latin-1")


def test_events_are_the_same_however_they_are_cut():
    data = build_events(1, 3) + b"id: 4\nda"
    for size in range(1, len(data)):
        splitter = EventSplitter()
        parts = [data[at : at + size] for at in range(0, len(data), size)]
        assert b"".join(splitter.feed(part) for part in parts) == build_events(1, 3)
        assert (splitter.buffer, splitter.error) == (b"id: 4\nda", "")
