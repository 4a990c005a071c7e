"""Sums of the token counts that callers state, as told to other daemons."""

from tanagertrail.daemons.peer_messages import pack_rows
from tanagertrail.gateway.peer_rows import unpack_state
from tests.answer_utils import MemoryWorld
from tests.utils import with_virtual_time

REQUESTS = 20_000


@with_virtual_time
async def test_daemon_cannot_tell_others_its_state_after_requests_with_huge_token_counts():
    world = MemoryWorld()
    reply = await world.fetch("/look/1", tanagertrail_token_count="9" * 15 + ",1")
    assert reply.status == 200
    sums = world.node.dispatcher.prompt_tokens_sent
    for _ in range(REQUESTS - 1):
        sums["desk"] += 10**15 - 1  # as in each further request of the same kind
    state = unpack_state(pack_rows([world.node.node_state.describe_state()]))
    assert dict(state.prompt_tokens)["desk"] == float(sums["desk"])
