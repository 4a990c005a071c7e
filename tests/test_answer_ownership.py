"""Answers of upstreams on connections that carry several requests: to which one they belong."""

from nose2.tools import params

from tanagertrail.policy.answers import AnswerFacts, Claim, judge_answer
from tests.answer_utils import (
    MemoryWorld,
    build_answer,
    build_chunk,
    build_events,
    build_refusal,
    build_stream,
)
from tests.utils import with_virtual_time

OTHER = b"@other"
PROMISES = (408, 421, 429, 503)  # statuses that tell a caller that the request was not run
INTERIM_OF_OTHER = b"HTTP/1.1 103 Early Hints\r\ntanagertrail-request-id: @other\r\n\r\n"
UNNAMED_TWO_HUNDRED = build_answer(b"whose", request_id=None)


async def warm_up(world):
    """Have a request answered well, so that a connection is kept."""
    assert (await world.fetch("/look/1")).status == 200


async def fetch_unsafe(world):
    """Send a request that may run once, and check that no promise about it is false."""
    reply = await world.fetch("/book/1", b"slot")
    assert not world.defects
    own = world.upstreams["up-a"].arrivals[-1][b"tanagertrail-request-id"]
    ran = world.runs.count(own)
    assert ran <= 1, "it ran twice"
    assert not (ran and reply.status in PROMISES), f"told {reply.status} though it ran"
    assert reply.status != 200 or reply.body == b"own answer", reply
    return reply


@params(*PROMISES, 400)
@with_virtual_time
async def test_earlier_refusal_without_an_id_is_taken_for_that_of_a_request_that_runs(status):
    """Callers were told that 8 of 8 requests had not run."""
    for _ in range(8):
        world = MemoryWorld()
        await warm_up(world)
        world.upstreams["up-a"].add(build_refusal(None, status) + build_answer())
        assert (await fetch_unsafe(world)).status == 502


@params(
    (build_refusal(OTHER) + build_answer(),),
    (build_refusal(OTHER), build_answer()),
    (build_answer(b"other", request_id=OTHER), build_answer()),
    (build_answer() + build_refusal(OTHER),),
    (build_answer() + build_refusal(None),),
    (INTERIM_OF_OTHER + build_answer(),),
    (INTERIM_OF_OTHER + build_refusal(OTHER), build_answer()),
    (build_answer(headers=[b"tanagertrail-request-id: @own"]),),
)
@with_virtual_time
async def test_answer_among_copies_of_other_answers_is_not_found(*data):
    world = MemoryWorld()
    await warm_up(world)
    world.upstreams["up-a"].add(*data)
    reply = await fetch_unsafe(world)
    assert (reply.status, reply.body, reply.whole) == (200, b"own answer", True)
    assert (await fetch_unsafe(world)).status == 200


@params(
    (UNNAMED_TWO_HUNDRED,),
    (build_answer(request_id=b"@own x"), None),
    (build_answer(request_id=b"R2"), None),
    (build_answer(signed=False),),
    (build_answer(headers=[b"tanagertrail-request-id: @other"]),),
    (build_refusal() + build_answer(),),
    (build_refusal(status=200),),
    (build_refusal(status=500),),
    (build_answer(b"unproven", 503),),
    (build_answer(b"unproven", 429),),
    (build_answer(b"unproven", 408),),
    (build_answer(headers=[b"tanagertrail-instance-id: up-z"]),),
    (b"HTTP/1.1 102 Processing\r\n\r\n" + build_refusal(),),
    (b"HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\n\r\n" + build_refusal(),),
    (build_answer(request_id=OTHER, headers=[b"connection: close"]), build_answer()),
    (b"HTTP/1.1 200 OK\r\ntanagertrail-request-id: @other\r\n\r\nendless", build_answer(), None),
)
@with_virtual_time
async def test_answer_that_proves_nothing_is_passed_on(*data):
    world = MemoryWorld()
    await warm_up(world)
    world.upstreams["up-a"].add(*data)
    assert (await fetch_unsafe(world)).status == 502
    assert not world.node.pools.idle.get("up-a"), "the connection is used again"


@with_virtual_time
async def test_true_refusals_are_told_as_not_run():
    world = MemoryWorld()
    for first_of_connection in (True, False):
        for data in (build_refusal(), build_refusal(status=429), build_refusal(status=400)):
            world.upstreams["up-a"].add(data, runs=False)
            assert (await fetch_unsafe(world)).status == 503, first_of_connection
        await warm_up(world)


@params(build_refusal(None), b"HTTP/1.1 421 X\r\ncontent-length: 0\r\n\r\n")
@with_virtual_time
async def test_refusal_without_an_id_as_first_answer_of_a_connection_is_lost(data):
    """Such a refusal cannot be that of an earlier request."""
    world = MemoryWorld()
    world.upstreams["up-a"].add(data, runs=False)
    assert (await fetch_unsafe(world)).status == 503


@with_virtual_time
async def test_true_refusals_without_ids_are_doubted_for_ever():
    world = MemoryWorld()
    await warm_up(world)
    world.upstreams["up-a"].add(build_refusal(None), runs=False)
    assert (await fetch_unsafe(world)).status == 502
    for _ in range(3):
        await warm_up(world)
        world.upstreams["up-a"].add(build_refusal(None), runs=False)
        assert (await fetch_unsafe(world)).status == 503


@with_virtual_time
async def test_doubtful_refusals_keep_a_full_upstream_out_of_use():
    world = MemoryWorld()
    await warm_up(world)
    world.upstreams["up-a"].add(build_refusal(None), runs=False)
    assert (await world.fetch("/look/1")).status == 502
    assert (await world.fetch("/look/1")).status == 200


@with_virtual_time
async def test_refusal_without_an_id_behind_another_answer_counts_on_a_new_connection():
    world = MemoryWorld()
    world.upstreams["up-a"].add(build_refusal(OTHER) + build_refusal(None))
    assert (await fetch_unsafe(world)).status == 502


@with_virtual_time
async def test_request_without_an_id_gets_the_answer_to_another():
    """Without ids nothing on a kept connection can be told apart."""
    world = MemoryWorld()
    unnamed = build_answer(b"own answer", request_id=None)
    for _ in range(3):
        world.upstreams["up-a"].add(unnamed)
        reply = await world.fetch("/look/1", request_id=None)
        assert (reply.status, reply.body) == (200, b"own answer")
    connections = world.upstreams["up-a"].connections
    assert [len(connection.request_ids) for connection in connections] == [1, 1, 1]


@with_virtual_time
async def test_copy_that_comes_while_a_connection_is_idle_is_taken_for_the_next_answer():
    for copy in (build_refusal(None), build_refusal(OTHER), UNNAMED_TWO_HUNDRED):
        world = MemoryWorld()
        await warm_up(world)
        world.upstreams["up-a"].connections[-1].channel.data_received(copy)
        assert (await fetch_unsafe(world)).status == 200
        assert len(world.upstreams["up-a"].connections) == 2


@with_virtual_time
async def test_idempotent_request_is_not_sent_elsewhere_after_an_answer_that_proves_nothing():
    world = MemoryWorld(2)
    world.prefer("up-a")
    await warm_up(world)
    world.upstreams["up-a"].add(build_refusal(None) + build_answer())
    world.upstreams["up-b"].add(build_answer(b"of up-b"))
    assert (await world.fetch("/look/1")).body == b"of up-b"


@with_virtual_time
async def test_answer_to_a_head_request_is_lost_behind_copies():
    own = build_answer().removesuffix(b"own answer")
    world = MemoryWorld()
    await warm_up(world)
    world.upstreams["up-a"].add(build_refusal(OTHER).removesuffix(b"full") + own)
    reply = await world.fetch("/look/1", method="HEAD")
    assert (reply.status, reply.body, reply.whole) == (200, b"", True)
    world.upstreams["up-a"].add(build_refusal(OTHER) + own)
    reply = await world.fetch("/look/1", method="HEAD")
    assert (reply.status, reply.whole) == (502, True)


@with_virtual_time
async def test_unnamed_stream_is_passed_on():
    world = MemoryWorld()
    await warm_up(world)
    named = build_stream(1, 3)
    world.upstreams["up-a"].add(named.replace(b"tanagertrail-request-id: @own\r\n", b""))
    assert (await world.fetch("/once/a/events", b"p")).status == 502
    world.upstreams["up-a"].add(build_refusal(OTHER) + named)
    world.node.cluster_view.upstreams.entries["up-a"].backoff_until = 0.0
    reply = await world.fetch("/once/a/events", b"p")
    assert (reply.body, reply.whole) == (build_events(1, 3), True)


@with_virtual_time
async def test_refusal_within_a_stream_reaches_the_caller():
    for copy in (build_refusal(None), build_refusal(OTHER)):
        world = MemoryWorld()
        stream = build_stream(1, 4)
        cut = stream.index(build_chunk(b""))
        world.upstreams["up-a"].add(stream[:cut] + copy + stream[cut:])
        reply = await world.fetch("/once/a/events", b"p")
        assert not reply.whole
        assert build_events(1, 4).startswith(reply.body)


def test_answer_without_an_id_is_proof_of_nothing():
    facts = AnswerFacts(200, frozenset(), False, True, "")
    assert judge_answer("r1", "up-a", facts, is_first=True).claim is Claim.UNPROVEN
    named = facts._replace(request_ids=frozenset({"r1"}))
    assert judge_answer("r1", "up-a", named, is_first=False).claim is Claim.RESULT
    assert judge_answer("R1", "up-a", named, is_first=False).claim is Claim.OTHER
