"""Requests that an upstream refuses as not run, with the setting ``[policy] room = retry``."""

from contextlib import asynccontextmanager

from tanagertrail.gateway.metrics import GatewayMetrics
from tanagertrail.policy.room import MAX_SENDS, RoomMode
from tests.gateway_utils import (
    SetLinks,
    World,
    build_config,
    open_fleet,
    run_in_real_time,
    set_links,
)


@asynccontextmanager
async def open_full_world(refusing: int, upstreams: int = 2, room: RoomMode = RoomMode.RETRY):
    """Open a world of which some upstreams refuse the next request that reaches them."""
    world = World(upstreams)
    try:
        await world.start(build_config())
        rules = world.node.dispatcher.retry_rules
        world.node.dispatcher.selector.load_limits.mode = room
        rules.metrics = GatewayMetrics(list)
        for upstream in world.upstreams[:refusing]:
            upstream.faults.append("refuse")
        yield world
    finally:
        await world.close()


def count_runs(world: World) -> int:
    """Count the requests that upstreams began to run."""
    return sum(len(upstream.runs) for upstream in world.upstreams)


def count_arrivals(world: World) -> int:
    """Count the requests that reached upstreams."""
    return sum(len(upstream.arrivals) for upstream in world.upstreams)


@run_in_real_time
async def test_refused_unsafe_request_is_served_elsewhere_and_runs_once():
    """A call was passed back to its caller though the other upstream had places."""
    async with open_full_world(1) as world:
        replies = [await world.fetch("/book/1", b"slot") for _ in range(4)]
        assert [reply.status for reply in replies] == [200] * 4
        assert count_runs(world) == 4
        assert count_arrivals(world) == 5
        metrics = world.node.dispatcher.retry_rules.metrics
        assert metrics.room == {("desk", "retried elsewhere"): 1}


@run_in_real_time
async def test_refused_unsafe_request_is_passed_back_while_the_setting_is_off():
    async with open_full_world(2, room=RoomMode.OFF) as world:
        assert (await world.fetch("/book/1", b"slot")).status == 503
        assert count_arrivals(world) == 1


@run_in_real_time
async def test_request_is_sent_to_each_upstream_once_and_not_more_often_than_allowed():
    for upstreams in (2, MAX_SENDS + 1):
        async with open_full_world(upstreams, upstreams) as world:
            reply = await world.fetch("/book/1", b"slot")
            assert reply.status == 503
            assert float(reply.headers[b"retry-after"]) > 0
            assert count_arrivals(world) == min(upstreams, MAX_SENDS)
            assert max(len(upstream.arrivals) for upstream in world.upstreams) == 1


@run_in_real_time
async def test_request_that_may_have_run_is_not_sent_again_after_a_refusal():
    async with open_full_world(1) as world:
        for upstream in world.upstreams:
            upstream.faults.append("reset")
        assert (await world.fetch("/book/1", b"slot")).status == 502
        assert count_runs(world) == 1


@run_in_real_time
async def test_refused_request_is_passed_back_when_the_retry_budget_is_used_up():
    async with open_full_world(2) as world:
        budget = world.node.dispatcher.get_retry_budget("desk")
        budget.ratio = budget.extra = 0.0
        assert (await world.fetch("/book/1", b"slot")).status == 503
        assert count_arrivals(world) == 1
        metrics = world.node.dispatcher.retry_rules.metrics
        assert metrics.room == {("desk", "retry budget used up"): 1}


@run_in_real_time
async def test_rejections_of_a_brittle_upstream_use_up_the_attempts():
    """Each rejection counts against a brittle upstream, so that none is added to them."""
    async with open_full_world(2) as world:
        for upstream in world.upstreams:
            upstream.brittle = "3"
        assert (await world.fetch("/book/1", b"slot")).status == 503
        assert count_arrivals(world) == 1


@run_in_real_time
async def test_upstream_that_asked_for_a_wait_is_left_alone_and_another_one_serves():
    async with open_full_world(1) as world:
        world.upstreams[0].wait = "5"
        replies = [await world.fetch("/book/1", b"slot") for _ in range(4)]
        assert [reply.status for reply in replies] == [200] * 4
        assert len(world.upstreams[0].arrivals) <= 1


@run_in_real_time
async def test_refused_request_of_a_daemon_that_is_cut_off_is_carried_elsewhere():
    """Refusals that came through a carrier would use up the attempts of a daemon cut off."""
    async with open_fleet("entry-2") as fleet:
        for node in fleet.nodes:
            node.dispatcher.selector.load_limits.mode = RoomMode.RETRY
        set_links(fleet.nodes[0], SetLinks())
        fleet.upstreams[0].faults.append("refuse")
        replies = [await fleet.fetch("/book/1", b"slot") for _ in range(4)]
        assert [reply.status for reply in replies] == [200] * 4
        assert count_runs(fleet) == 4
        assert count_arrivals(fleet) == 5
