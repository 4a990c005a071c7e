"""Requests that one daemon carries for another while either stops."""

import asyncio

from nose2.tools import params

from tanagertrail.policy.stop_admission import (
    CLOSING_SECONDS,
    MAX_MARGIN_SHARE,
    MIN_EARLY_SAMPLES,
    STOP_MARGIN_SECONDS,
    StopSchedule,
)
from tests.answer_utils import (
    Script,
    Step,
    build_answer,
    build_chunk,
    build_events,
    build_stream_head,
)
from tests.carried_answer_utils import CarriedWorld
from tests.gateway_utils import build_route
from tests.utils import with_virtual_time

GRACE_SECONDS = 8.0
SILENT_SECONDS = 4.0
LONG = {"tanagertrail_deadline_ms": "9000"}
ROUTES = [
    build_route("look", "safe", timeout_ms=10_000, slo_ms=200, gap_aim_ms=100),
    build_route("talk", "stream", timeout_ms=10_000, slo_ms=200, gap_aim_ms=100),
]


def stop_late(node, seconds_left):
    """Let a daemon be in a planned stop, with a number of seconds before requests are cut."""
    now = node.loop.time()
    started = now + seconds_left + STOP_MARGIN_SECONDS - GRACE_SECONDS
    node.dispatcher.stop_gate.begin(StopSchedule(started, GRACE_SECONDS))
    node.stopping = True


def add_silent_answer(world, path):
    """Let the first upstream be silent for a while before its answer, or within a stream."""
    if path == "/look/1":
        steps = (Step(build_answer(), SILENT_SECONDS),)
    else:
        steps = (
            Step(build_stream_head() + build_chunk(build_events(1, 1)), 0.0),
            Step(build_chunk(build_events(2, 3)) + build_chunk(b""), SILENT_SECONDS),
        )
    world.upstreams["up-a"].scripts.append(Script(steps))


@params("/look/1", "/talk/a/events")
@with_virtual_time
async def test_carrier_gives_up_a_silent_attempt_that_a_stopping_origin_does_not_repeat(path):
    """The answer was lost, although the upstream was sound and ended before the stop."""
    world = CarriedWorld(2, routes=ROUTES)
    world.prefer("up-a")
    add_silent_answer(world, path)
    world.node.loop.call_later(0.1, world.prefer, "up-b")
    asked = asyncio.create_task(world.fetch(path, **LONG))
    await asyncio.sleep(0.05)
    assert len(world.runs) == 1
    stop_late(world.front, SILENT_SECONDS + 1.0)
    member, now = world.front.members.own, world.node.loop.time()
    world.node.members.merge_member(member, now, world.front.ready, False)
    reply = await asked
    assert (reply.status, reply.whole, len(world.runs)) == (200, True, 1), reply


@with_virtual_time
async def test_carrier_repeats_a_silent_attempt_of_an_origin_that_serves():
    world = CarriedWorld(2, routes=ROUTES)
    world.prefer("up-a")
    add_silent_answer(world, "/look/1")
    world.node.loop.call_later(0.1, world.prefer, "up-b")
    assert (await world.fetch("/look/1", **LONG)).status == 200
    assert len(world.runs) == 2


@with_virtual_time
async def test_request_is_accepted_while_carried_ones_of_its_route_last_longer_than_any():
    """Only own requests in progress showed a stopping daemon that upstreams grew slower."""
    routes = [build_route("look", "safe", timeout_ms=10_000, attempts=1)]
    world = CarriedWorld(2, routes=routes)
    gate = world.node.dispatcher.stop_gate
    for _ in range(MIN_EARLY_SAMPLES):
        gate.durations.add("look", 0, 0.01, world.node.loop.time())
    world.prefer("up-a")
    add_silent_answer(world, "/look/1")
    carried = asyncio.create_task(world.fetch("/look/1", **LONG))
    await asyncio.sleep(1.0)
    grace = (2.0 + CLOSING_SECONDS) / (1 - MAX_MARGIN_SHARE)
    gate.begin(StopSchedule(world.node.loop.time() - 1.0, grace))
    world.node.stopping = True
    world.front, origin = world.node, world.front
    assert (await world.fetch("/look/2", **LONG)).status == 503
    world.front = origin
    assert (await carried).status == 200
    assert not gate.running


@with_virtual_time
async def test_lengths_of_carried_requests_are_not_looked_at():
    world = CarriedWorld()
    assert (await world.fetch("/look/1")).status == 200
    estimate = world.node.dispatcher.stop_gate.durations.estimate("look", 0, world.node.loop.time())
    assert estimate.samples == 1


@with_virtual_time
async def test_carrier_that_stops_tries_another_upstream_late():
    world = CarriedWorld(2)

    async def refuse(address, timeout=0.0):
        stop_late(world.node, 0.0)
        world.node.pools.open = world.open
        raise ConnectionRefusedError("the connection is refused")

    world.node.pools.open = refuse
    reply = await world.fetch("/book/1", b"order")
    assert (reply.status, world.runs) == (503, [])


@with_virtual_time
async def test_carrier_that_stops_takes_a_request():
    world = CarriedWorld()
    world.node.carry_server.is_ready = lambda: world.node.ready
    assert (await world.fetch("/book/1", b"order")).status == 200
    world.node.stopping = True
    reply = await world.fetch("/book/2", b"order")
    assert (reply.status, len(world.runs)) == (503, 1)


@with_virtual_time
async def test_origin_that_stops_asks_another_carrier_late():
    world = CarriedWorld()
    world.add_carrier(world.build_node("entry-3"))
    asked = []

    def refuse_late():
        asked.append(world.front)
        stop_late(world.front, 0.0)
        return False

    for node in world.carriers.values():
        node.carry_server.is_ready = refuse_late
    assert (await world.fetch("/book/1", b"order")).status == 503
    assert len(asked) == 1
