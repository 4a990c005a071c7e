"""Requests for a tunnel, which the gateway does not offer."""

from tests.answer_utils import MemoryWorld
from tests.utils import with_virtual_time


@with_virtual_time
async def test_request_for_a_tunnel_takes_the_upstreams_of_all_callers_out_of_use():
    for path in ("/look/1", "/book/1", "/talk/1/events", "desk.example:443"):
        world = MemoryWorld(upstreams=2)
        reply = await world.fetch(path, method="CONNECT")
        assert (reply.status, reply.whole) == (501, True), path
        assert not world.runs and not world.defects
        for entry in world.node.cluster_view.upstreams.entries.values():
            assert entry.accepts_work(world.node.loop.time())
