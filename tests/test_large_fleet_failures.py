"""Failures of fleets with hundreds of instances, reproduced with a few daemons."""

import asyncio
import socket
import time

from tanagertrail.daemons.frames import encode_frame
from tanagertrail.gateway.node import GatewayNode
from tanagertrail.standins.ports import HOST
from tanagertrail.standins.store import StoreMode
from tests.gateway_utils import (
    build_config,
    build_settings,
    open_fleet,
    open_world,
    run_in_real_time,
)


@run_in_real_time
async def test_daemon_restarted_while_the_store_is_silent_refuses_until_it_answers():
    async with open_world() as world:
        world.node.close()
        world.store.mode = StoreMode.SILENT
        world.node = GatewayNode(build_settings(world.ports))
        await world.node.start()
        await asyncio.sleep(1.0)
        assert not world.node.ready
        started = time.monotonic()
        reply = await world.fetch("/look/1")
        assert (reply.status, b"retry-after" in reply.headers) == (503, True)
        assert time.monotonic() - started < 0.5, "what cannot be served is rejected at once"
        assert not any(upstream.runs for upstream in world.upstreams)
        world.store.mode = StoreMode.UP
        restored_at = time.monotonic()
        await world.wait_until(lambda: world.node.ready)
        assert time.monotonic() - restored_at < 2.5
        assert (await world.fetch("/look/1")).status == 200


@run_in_real_time
async def test_silent_cloud_api_delays_no_request_and_no_lease_renewal():
    scaling = {"min": 1, "max": 4, "boot_s": 4.0, "spot_price": 0.2, "zone_prices": {"north": 1.0}}
    services = [{"name": "desk", "max_conns": 50, "scaling": scaling}]
    async with open_world(build_config(services=services)) as world:
        world.cloud.silent = True
        await world.wait_until(lambda: world.node.leadership.fencing > 0)
        fencing = world.node.leadership.fencing
        number = 0
        # A call may take 0.9 s of the lease of 1 s, so only some checks may start one.
        while number < 20 or not world.cloud.calls:
            started = time.monotonic()
            assert (await world.fetch(f"/look/{number}")).status == 200
            assert time.monotonic() - started < 0.5
            await asyncio.sleep(0.15)
            number += 1
        assert world.node.leadership.fencing == fencing
        assert world.cloud.calls, "orders are tried"
        assert {call.fencing for call in world.cloud.calls} == {fencing}


@run_in_real_time
async def test_new_idle_upstream_gets_most_requests_beside_a_slow_one():
    async with open_world() as world:
        slow = world.keep_one_upstream()
        slow.faults.extend(["hold"] * 6)
        await world.wait_for_upstreams(1)
        pending_replies = [asyncio.create_task(world.fetch(f"/look/{n}")) for n in range(6)]
        await world.wait_until(lambda: len(world.upstreams[0].runs) == 6)
        world.register("up-b")
        await world.wait_for_upstreams(2)
        replies = [await world.fetch(f"/look/more{n}") for n in range(6)]
        slow.released.set()
        assert all(
            reply.status == 200 for reply in [*replies, *await asyncio.gather(*pending_replies)]
        )
        assert len(world.upstreams[1].runs) >= 4


@run_in_real_time
async def test_dead_daemon_is_not_listed_and_the_others_serve():
    async with open_fleet("entry-2", "entry-3", upstreams=3) as fleet:
        failed_node = fleet.nodes[2]
        failed_node.close()
        fleet.upstreams[2].crash()
        started = time.monotonic()
        replies = [await fleet.fetch(f"/look/{n}", front=n % 2) for n in range(12)]
        assert [reply.status for reply in replies] == [200] * 12
        assert time.monotonic() - started < 6.0
        await fleet.wait_until(
            lambda: all(
                failed_node.own.front not in node.list_fronts("") for node in fleet.nodes[:2]
            )
        )


@run_in_real_time
async def test_closed_daemon_serves_no_connection_that_was_accepted_just_before():
    for loop_turns in range(6):
        async with open_fleet("entry-2") as fleet:
            closed_node = fleet.nodes[1]
            port = int(closed_node.own.address.rpartition(":")[2])
            with socket.create_connection((HOST, port)) as connection:
                connection.setblocking(False)
                for _ in range(loop_turns):
                    await asyncio.sleep(0)
                closed_node.close()
                message = fleet.node.state_sync.build_request(closed_node.own.daemon)
                loop = asyncio.get_running_loop()
                try:
                    await loop.sock_sendall(connection, encode_frame(message, 0))
                    async with asyncio.timeout(0.2):
                        assert await loop.sock_recv(connection, 1) == b""
                except (ConnectionError, TimeoutError):
                    pass
