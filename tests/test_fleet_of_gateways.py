"""Tests with several gateway daemons and one store: updates, staleness, listing, outages."""

import asyncio

from tanagertrail.gateway.clock import read_boot_time
from tanagertrail.gateway.node import GatewayNode
from tanagertrail.platform.store import Listing
from tanagertrail.standins.store import StoreMode
from tests.gateway_utils import (
    build_config,
    build_settings,
    find_port,
    open_fleet,
    run_in_real_time,
)


def cut_off_from_store(node):
    """Make all of a daemon's calls to the store fail."""
    node.store.pool.close()

    def refuse(*arguments):
        from tanagertrail.errors import StoreUnavailableError

        raise StoreUnavailableError("cut off")

    node.store.send = refuse


@run_in_real_time
async def test_daemon_cut_off_from_the_store_learns_from_its_peers():
    async with open_fleet("entry-2") as fleet:
        other = fleet.nodes[1]
        cut_off_from_store(other)
        fleet.store.put("config", "main", build_config(9))
        await fleet.wait_until(lambda: other.cluster_view.config.version == 9)
        fleet.store.remove("servers", "up-b")
        await fleet.wait_until(lambda: "up-b" not in other.cluster_view.upstreams.entries)
        await asyncio.sleep(1.5)
        assert other.cluster_view.config_age < 3.0


@run_in_real_time
async def test_daemon_started_while_the_store_is_unreachable_learns_from_its_peers():
    async with open_fleet() as fleet:
        fleet.store.mode = StoreMode.RESET
        own = {key: find_port() for key in ("front", "ready", "directory", "internal")}
        node = GatewayNode(build_settings(fleet.ports | own, "entry-2"))
        node.peer_client.seeds = (fleet.node.own.address,)
        fleet.nodes.append(node)
        await node.start()
        await fleet.wait_until(lambda: node.ready)


@run_in_real_time
async def test_ended_daemon_is_no_longer_listed():
    async with open_fleet("entry-2") as fleet:
        gone = fleet.nodes.pop()
        gone.close()
        await fleet.wait_until(lambda: len(fleet.node.list_fronts("")) == 1)


@run_in_real_time
async def test_stopping_daemon_is_not_listed_and_still_serves():
    async with open_fleet("entry-2") as fleet:
        other = fleet.nodes[1]
        stopping = asyncio.create_task(fleet.node.stop())
        await fleet.wait_until(lambda: other.list_fronts("") == [other.own.front])
        assert (await fleet.fetch("/look/1")).status == 200
        await stopping


@run_in_real_time
async def test_keys_are_refused_when_the_configuration_may_be_old():
    async with open_fleet() as fleet:
        fleet.store.mode = StoreMode.SILENT
        fleet.node.cluster_view.boot_time = lambda: read_boot_time() + 30.0
        reply = await fleet.fetch("/look/1")
        assert reply.status == 503
        assert float(reply.headers[b"retry-after"]) > 0
        assert all(not upstream.arrivals for upstream in fleet.upstreams)


@run_in_real_time
async def test_unknown_route_is_not_denied_while_the_configuration_may_be_old():
    async with open_fleet() as fleet:
        fleet.store.mode = StoreMode.SILENT
        fleet.node.cluster_view.boot_time = lambda: read_boot_time() + 30.0
        assert (await fleet.fetch("/none/1")).status == 503


@run_in_real_time
async def test_revoked_key_is_refused():
    async with open_fleet("entry-2") as fleet:
        tenants = [{"name": "guild", "api_keys": ["another"]}]
        fleet.store.put("config", "main", build_config(4, tenants=tenants))
        await fleet.wait_until(lambda: fleet.node.cluster_view.config.version == 4)
        assert (await fleet.fetch("/look/1")).status == 401


@run_in_real_time
async def test_requests_are_served_through_an_outage_of_the_store():
    async with open_fleet() as fleet:
        fleet.store.mode = StoreMode.BUSY
        replies = [await fleet.fetch("/look/1") for _ in range(5)]
        assert {reply.status for reply in replies} == {200}


@run_in_real_time
async def test_store_is_relisted_after_its_history_is_lost():
    async with open_fleet() as fleet:
        mirror = fleet.node.mirrors["servers"]
        fleet.store.remove("servers", "up-b")
        fleet.store.forget_history()
        await fleet.wait_until(lambda: "up-b" not in mirror.objects)
        fleet.register("up-b")
        await fleet.wait_until(lambda: "up-b" in fleet.node.cluster_view.upstreams.entries)


@run_in_real_time
async def test_upstreams_that_expired_in_an_outage_may_return():
    async with open_fleet() as fleet:
        mirror = fleet.node.mirrors["servers"]
        kept = [item for item in mirror.objects.values() if item.name == "up-a"]
        mirror.synced_at -= 20.0
        mirror.apply_listing(Listing(kept, mirror.revision + 1), read_boot_time())
        assert "up-b" in fleet.node.cluster_view.upstreams.entries
        fleet.store.revision += 10
        fleet.register("up-b")
        await fleet.wait_until(lambda: "up-b" in mirror.objects)
        await asyncio.sleep(2.5)
        assert "up-b" in fleet.node.cluster_view.upstreams.entries


async def run_rollout(fleet, seconds, upstream_fault):
    """Order a rollout to up-b's version and send requests until it ends.

    Return its report and the revision of the order.

    :param upstream_fault: fault of each answer of up-b, None for no faults
    """
    fleet.register("up-b", version="v2")
    await fleet.wait_until(
        lambda: fleet.node.cluster_view.upstreams.entries["up-b"].record.version == "v2"
    )
    order = {"service": "desk", "target": "v2", "duration_s": seconds}
    fleet.store.put("rollouts", "desk", order)
    revision = fleet.store.revision
    await fleet.wait_until(lambda: "desk" in fleet.node.cluster_view.rollouts)
    for _ in range(500):
        if upstream_fault and not fleet.upstreams[1].faults:
            fleet.upstreams[1].faults.append(upstream_fault)
        await fleet.fetch("/look/1")
        await asyncio.sleep(0.02)
        report = fleet.store.objects["rollouts"]["desk"]["status"]
        if report and report["state"] != "running":
            return report, revision
    raise AssertionError("the rollout has not ended")


def build_reported(seconds, revision):
    """Return what a report says of its order, before which v1 was in service."""
    return {"revision": revision, "duration_s": seconds, "served": ["v1"], "withdrawn": []}


@run_in_real_time
async def test_good_version_is_completed_and_takes_all_requests():
    async with open_fleet() as fleet:
        report, revision = await run_rollout(fleet, 6.0, None)
        assert report == {
            "state": "completed",
            "target": "v2",
            "order": build_reported(6.0, revision),
        }
        trials = fleet.node.dispatcher.trials
        await fleet.wait_until(lambda: trials.get_version_use("desk", "v1").value == "forbidden")
        assert (await fleet.fetch("/look/1")).body == b"answer of up-b"


@run_in_real_time
async def test_bad_version_gets_few_requests_and_is_rolled_back():
    async with open_fleet() as fleet:
        report, revision = await run_rollout(fleet, 10.0, "fail")
        assert report == {
            "state": "rolled_back",
            "target": "v2",
            "order": build_reported(10.0, revision),
        }
        arrivals = len(fleet.upstreams[1].arrivals)
        total = arrivals + len(fleet.upstreams[0].arrivals)
        assert arrivals <= 0.1 * total + 50
