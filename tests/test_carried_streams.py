"""Streams and answers that come through another daemon: what a caller may get of them."""

import asyncio
import itertools

from nose2.tools import params

from tanagertrail.gateway.carry_protocol import CarriedResult, CarryOutcome, build_result_headers
from tanagertrail.gateway.exchange import AttemptResult
from tanagertrail.policy.silence import MAX_EVENT_SECONDS
from tests.answer_utils import (
    DEADLINE_SECONDS,
    OWN_ID,
    Script,
    Step,
    build_answer,
    build_chunk,
    build_stream,
    build_stream_head,
)
from tests.carried_answer_utils import WORLDS, CarriedWorld
from tests.gateway_utils import build_route
from tests.test_broken_streams import EVENT_TYPE, TEXT_TYPE, assert_honest, break_stream
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


@params(*CARRIED_WAYS)
@with_virtual_time
async def test_answer_of_another_kind_is_joined_to_a_carried_stream(way):
    """Two of two continuations as plain text or compressed were joined to the events before."""
    for head in ((TEXT_TYPE,), (EVENT_TYPE, b"content-encoding: gzip")):
        world, reply = await resume_stream(way, build_stream(4, 6, *head))
        assert_honest(world, reply)
        assert not reply.whole


@params(*WORLDS)
@with_virtual_time
async def test_upstream_that_fails_to_resume_a_stream_counts_as_sound(way):
    answers = (
        build_answer(b"gone", 404),
        build_answer(b"", headers=[EVENT_TYPE]),
        build_stream(4, 6, TEXT_TYPE),
    )
    for data in answers:
        world, reply = await resume_stream(way, data)
        assert not reply.whole
        reaching = world.node if way != "own" else world.front
        assert reaching.cluster_view.upstreams.entries["up-b"].failure_rate > 0.0


@params(*WORLDS)
@with_virtual_time
async def test_stream_is_kept_past_its_deadline_for_a_caller_that_does_not_read(way):
    world = WORLDS.get(way)()
    world.upstreams["up-a"].add(build_stream(1, 6))
    channel, _ = world.send("/talk/a/events", b"p")
    channel.pause_writing()
    await asyncio.sleep(DEADLINE_SECONDS + 0.5)
    assert channel.transport.closed
    assert not world.front.dispatcher.in_flight
    assert not world.defects


def replace_carrier(world, *data, delay=0.0):
    """Have the carrier send bytes instead of carrying requests; return those that reach it."""
    requests = []

    async def answer(request, stream):
        requests.append(request)
        request_id = dict(request.headers)[b"tanagertrail-request-id"]
        for part in data:
            stream.channel.write(part.replace(OWN_ID, request_id))
            await asyncio.sleep(delay)

    world.node.carry_server.handler = answer
    return requests


def build_mark(outcome):
    """Build the field of a carrier's answer to the request."""
    ((name, value),) = build_result_headers([], CarriedResult(OWN_ID.decode(), outcome))
    return name + b": " + value


@with_virtual_time
async def test_carrier_that_never_ends_an_event_holds_a_stream():
    world = CarriedWorld(routes=[build_route("talk", "stream", attempts=1, timeout_ms=9000)])
    head = build_stream_head(EVENT_TYPE, build_mark(AttemptResult.DELIVERED))
    drip = [build_chunk(b"x")] * 100
    replace_carrier(world, head, build_chunk(b"id: 1\ndata: "), *drip, delay=0.1)
    started = world.node.loop.time()
    reply = await world.fetch("/talk/a/events", b"p", tanagertrail_deadline_ms="9000")
    assert reply.status == 502
    assert world.node.loop.time() - started < MAX_EVENT_SECONDS + 0.5


@with_virtual_time
async def test_refusal_of_a_carrier_is_believed_although_bytes_follow_it():
    world = CarriedWorld()
    refusal = build_answer(b"full", 503, headers=[build_mark(CarryOutcome.NOT_CARRIED)])
    other = build_answer(headers=[build_mark(AttemptResult.DELIVERED)])
    requests = replace_carrier(world, refusal + other)
    reply = await world.fetch("/book/1", b"order")
    assert len(requests) == 1
    assert reply.status == 502


@with_virtual_time
async def test_requests_without_an_id_share_a_connection_to_a_carrier():
    world = CarriedWorld()
    for _ in range(2):
        world.upstreams["up-a"].add(build_answer(request_id=None))
        assert (await world.fetch("/look/1", request_id=None)).status == 200
    assert len(world.hops) == 2


@params(*WORLDS)
@with_virtual_time
async def test_resend_after_a_silence_is_charged_twice(way):
    world = WORLDS.get(way)(2)
    world.prefer("up-a")
    world.upstreams["up-a"].scripts.append(Script((Step(b"", 3600.0),)))
    world.node.loop.call_later(0.1, world.prefer, "up-b")
    reply = await world.fetch("/look/1")
    assert reply.status == 200
    assert len(world.runs) == 2
    daemons = {id(node): node for node in (world.node, world.front)}.values()
    budgets = [node.dispatcher.get_retry_budget("desk") for node in daemons]
    assert sum(len(budget.retries) for budget in budgets) == 1


@with_virtual_time
async def test_carrier_gives_up_a_silent_attempt_that_its_origin_may_not_repeat():
    world = CarriedWorld(2)
    world.prefer("up-a")
    world.upstreams["up-a"].scripts.append(Script((Step(b"", 3600.0),)))
    world.node.loop.call_later(0.1, world.prefer, "up-b")
    world.front.dispatcher.get_retry_budget("desk").extra = 0.0
    assert (await world.fetch("/look/1")).status == 200
