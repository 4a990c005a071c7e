"""Connection fields that name fields which every recipient needs."""

from nose2.tools import params

from tests.answer_utils import MemoryWorld, build_answer
from tests.utils import with_virtual_time


@params(
    "host",
    "tanagertrail-request-id",
    "tanagertrail-model",
    "tanagertrail-token-count",
    "tanagertrail-prompt-prefix",
)
@with_virtual_time
async def test_field_that_upstreams_need_is_dropped_for_a_connection_field(name):
    world = MemoryWorld()
    fields = {
        "tanagertrail_model": "m",
        "tanagertrail_token_count": "3,4",
        "tanagertrail_prompt_prefix": "aa:3",
    }
    reply = await world.fetch("/look/1", connection=f"x-own, {name.title()}", x_own="1", **fields)
    assert (reply.status, reply.whole) == (200, True)
    assert not world.defects
    [arrived] = world.upstreams["up-a"].arrivals
    assert name.encode() in arrived
    assert b"x-own" not in arrived
    [entry] = world.node.cluster_view.upstreams.entries.values()
    assert entry.accepts_work(world.node.loop.time())


@with_virtual_time
async def test_signature_of_an_answer_is_dropped_for_a_connection_field():
    world = MemoryWorld()
    option = b"connection: tanagertrail-server-stamp, x-own"
    world.upstreams["up-a"].add(build_answer(headers=[option, b"x-own: 1"]))
    reply = await world.fetch("/look/1")
    assert reply.status == 200
    assert b"tanagertrail-server-stamp" in reply.headers
    assert b"x-own" not in reply.headers
