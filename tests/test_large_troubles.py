"""Troubles that days at hundreds of instances bring, replayed with a few daemons."""

import asyncio
import time

from tanagertrail.gateway.node import GatewayNode
from tanagertrail.standins.store import StoreMode
from tests.gateway_utils import build_config, build_settings, open_fleet, open_world, real_time


@real_time
async def test_daemons_killed_while_the_store_is_silent_refuse_until_it_answers():
    async with open_world() as world:
        world.node.close()
        world.store.mode = StoreMode.SILENT
        world.node = GatewayNode(build_settings(world.ports))
        await world.node.start()
        await asyncio.sleep(1.0)
        assert not world.node.ready
        started = time.monotonic()
        reply = await world.ask("/look/1")
        assert (reply.status, b"retry-after" in reply.headers) == (503, True)
        assert time.monotonic() - started < 0.5, "what cannot be served is rejected at once"
        assert not any(upstream.runs for upstream in world.upstreams)
        world.store.mode = StoreMode.UP
        back = time.monotonic()
        await world.wait_until(lambda: world.node.ready)
        assert time.monotonic() - back < 2.5
        assert (await world.ask("/look/1")).status == 200


@real_time
async def test_silent_cloud_api_holds_up_no_caller_and_no_lease():
    scaled = {"min": 1, "max": 4, "boot_s": 4.0, "spot_price": 0.2, "zone_prices": {"north": 1.0}}
    services = [{"name": "desk", "max_conns": 50, "scaling": scaled}]
    async with open_world(build_config(services=services)) as world:
        world.cloud.silent = True
        await world.wait_until(lambda: world.node.leadership.fencing > 0)
        fencing = world.node.leadership.fencing
        for number in range(20):
            started = time.monotonic()
            assert (await world.ask(f"/look/{number}")).status == 200
            assert time.monotonic() - started < 0.5
            await asyncio.sleep(0.15)
        assert world.node.leadership.fencing == fencing
        assert world.cloud.calls, "orders are tried"
        assert {call.fencing for call in world.cloud.calls} == {fencing}


@real_time
async def test_empty_upstream_that_is_added_gets_requests_and_a_slow_one_few():
    async with open_world() as world:
        world.keep_one_upstream().work = 0.3
        await world.wait_for_upstreams(1)
        running = [asyncio.create_task(world.ask(f"/look/{n}")) for n in range(6)]
        await world.wait_until(lambda: len(world.upstreams[0].runs) == 6)
        world.register("up-b")
        await world.wait_for_upstreams(2)
        replies = [await world.ask(f"/look/more{n}") for n in range(6)]
        assert all(reply.status == 200 for reply in [*replies, *await asyncio.gather(*running)])
        assert len(world.upstreams[1].runs) >= 4


@real_time
async def test_failure_domain_without_power_is_not_named_and_the_others_serve():
    async with open_fleet("entry-2", "entry-3", upstreams=3) as fleet:
        dark = fleet.nodes[2]
        dark.close()
        fleet.upstreams[2].crash()
        started = time.monotonic()
        replies = [await fleet.ask(f"/look/{n}", front=n % 2) for n in range(12)]
        assert [reply.status for reply in replies] == [200] * 12
        assert time.monotonic() - started < 6.0
        await fleet.wait_until(
            lambda: all(dark.own.front not in node.list_fronts("") for node in fleet.nodes[:2])
        )
