"""A store that comes back from a copy some seconds old, before real daemons on loopback."""

import asyncio
from contextlib import asynccontextmanager

from tanagertrail.gateway.cluster_view import ClusterView
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.handlers import EvacuationHandler, UpstreamHandler
from tanagertrail.gateway.leadership import LEASE_NAME, LEASES_KIND
from tanagertrail.gateway.losses import name_part_quarantine
from tanagertrail.gateway.mirror import ObjectStatus
from tanagertrail.gateway.quarantine import QUARANTINE_KIND
from tanagertrail.gateway.rollout_handler import RolloutHandler
from tanagertrail.platform.store import StoredObject
from tanagertrail.standins.documents import BOUNDS, build_cold, build_entry, build_route
from tests.gateway_utils import build_config, open_fleet, run_in_real_time
from tests.utils import with_virtual_time

RETURN_SECONDS = 0.3  # for which the store is away
QUARANTINE = name_part_quarantine(["0123456789abcdef"])


def add_routes(version, *names, **changes):
    """Return a version with further routes."""
    config = build_config(version, **changes)
    config["routes"].extend(build_route(name, "safe") for name in names)
    return config


def raise_counter(fleet):
    """Let the store's counter go on, so that it needs some time to come to its old value."""
    for number in range(50):
        fleet.store.put("notes", "note", {"number": number})


async def restore(fleet, older):
    """Let the store be away for a moment and come back from an older copy."""
    fleet.store.mode = "silent"
    await asyncio.sleep(RETURN_SECONDS)
    fleet.store.restore(older)
    fleet.store.mode = "up"


async def fetch_statuses(fleet, path, **changes):
    """Return the status that each daemon gives."""
    fronts = range(len(fleet.front_ports))
    return [(await fleet.fetch(path, front=front, **changes)).status for front in fronts]


async def wait_for_version(fleet, version):
    """Wait until all daemons have a version in force."""
    await fleet.wait_until(
        lambda: all(node.cluster_view.config.version == version for node in fleet.nodes)
    )


@asynccontextmanager
async def open_restored_fleet():
    """Start daemons that have seen a newer version than the store that came back."""
    async with open_fleet("entry-2", "entry-3") as fleet:
        older = fleet.store.take_copy()
        fleet.store.put("config", "main", add_routes(5, "lost"))
        await wait_for_version(fleet, 5)
        raise_counter(fleet)
        await restore(fleet, older)
        yield fleet


@run_in_real_time
async def test_change_after_the_store_came_back_older_is_not_in_force_in_time():
    async with open_restored_fleet() as fleet:
        await asyncio.sleep(1.0)
        fleet.store.put("config", "main", add_routes(9, "lost", "later"))
        await asyncio.sleep(BOUNDS.config_apply)
        assert await fetch_statuses(fleet, "/later/x") == [200] * 3


@run_in_real_time
async def test_change_just_after_the_store_came_back_older_is_not_in_force_in_time():
    async with open_restored_fleet() as fleet:
        fleet.store.put("config", "main", add_routes(9, "lost", "later"))
        await asyncio.sleep(BOUNDS.config_apply)
        assert await fetch_statuses(fleet, "/later/x") == [200] * 3


@run_in_real_time
async def test_acknowledged_version_is_taken_back_by_a_store_that_came_back_older():
    async with open_restored_fleet() as fleet:
        for _ in range(8):
            assert await fetch_statuses(fleet, "/lost/x") == [200] * 3
            await asyncio.sleep(0.3)


@run_in_real_time
async def test_daemon_that_starts_before_the_operator_wrote_again_has_the_older_version():
    async with open_restored_fleet() as fleet:
        await asyncio.sleep(1.0)
        node = await fleet.add_daemon("entry-4")
        await fleet.wait_until(lambda: node.ready)
        assert (await fleet.fetch("/lost/x", front=3)).status == 200


@run_in_real_time
async def test_revoked_key_is_in_use_again_after_the_store_came_back_older():
    async with open_fleet("entry-2", "entry-3") as fleet:
        older = fleet.store.take_copy()
        fleet.store.put("config", "main", build_config(5, tenants=[]))
        fleet.store.put(
            "config", "main", build_config(6, tenants=[{"name": "guild", "api_keys": ["key-new"]}])
        )
        await wait_for_version(fleet, 6)
        await restore(fleet, older)
        await asyncio.sleep(1.0)
        node = await fleet.add_daemon("entry-4")
        await fleet.wait_until(lambda: node.ready)
        assert await fetch_statuses(fleet, "/look/x") == [401] * 4
        assert await fetch_statuses(fleet, "/look/x", api_key="key-new") == [200] * 4


@run_in_real_time
async def test_quarantine_lost_with_the_copy_is_taken_for_an_operators_lift():
    async with open_fleet("entry-2", "entry-3") as fleet:
        older = fleet.store.take_copy()
        fleet.store.put(QUARANTINE_KIND, QUARANTINE, {"daemon": "entry-1", "at": 4e9})
        fleet.store.put(QUARANTINE_KIND, "f00d", {"daemon": "entry-1", "at": 4e9})
        await fleet.wait_until(
            lambda: all(len(node.suspects.attributor.quarantined) == 1 for node in fleet.nodes)
        )
        await restore(fleet, older)
        await fleet.wait_until(lambda: len(fleet.store.objects.get(QUARANTINE_KIND, {})) == 2)
        await asyncio.sleep(1.0)
        for node in fleet.nodes:
            assert len(node.suspects.attributor.quarantined) == 1
            assert list(node.suspects.poison_tracker.quarantined) == ["f00d"]
        fleet.store.remove(QUARANTINE_KIND, "f00d")
        await fleet.wait_until(
            lambda: not any(node.suspects.poison_tracker.quarantined for node in fleet.nodes)
        )


@run_in_real_time
async def test_upstream_that_left_is_in_use_again_after_the_store_came_back_older():
    async with open_fleet("entry-2", "entry-3", upstreams=4) as fleet:
        older = fleet.store.take_copy()
        fleet.store.remove("servers", "up-a")
        fleet.register("up-b", state="draining")
        await fleet.wait_until(
            lambda: all(
                len(node.cluster_view.upstreams.entries) == 3
                and node.cluster_view.upstreams.entries["up-b"].record.draining
                for node in fleet.nodes
            )
        )
        await restore(fleet, older)
        for _ in range(12):
            await asyncio.sleep(0.1)
            for node in fleet.nodes:
                entries = node.cluster_view.upstreams.entries
                assert "up-a" not in entries
                assert entries["up-b"].record.draining
        fleet.register("up-a", capacity=9)
        await fleet.wait_until(
            lambda: all("up-a" in node.cluster_view.upstreams.entries for node in fleet.nodes)
        )


@run_in_real_time
async def test_upstreams_that_the_copy_lacks_are_taken_for_gone():
    async with open_fleet("entry-2", "entry-3", upstreams=2) as fleet:
        both = fleet.store.take_copy()
        fleet.store.remove("servers", "up-b")
        older = fleet.store.take_copy()
        fleet.store.restore(both)
        await asyncio.sleep(1.0)
        await restore(fleet, older)
        await asyncio.sleep(1.5)
        assert all("up-b" in node.cluster_view.upstreams.entries for node in fleet.nodes)
        fleet.register("up-b")
        await asyncio.sleep(1.5)
        assert all("up-b" in node.cluster_view.upstreams.entries for node in fleet.nodes)


@run_in_real_time
async def test_evacuation_lost_with_the_copy_is_taken_for_its_end():
    async with open_fleet("entry-2", "entry-3") as fleet:
        older = fleet.store.take_copy()
        fleet.store.put("evacuations", "south", {})
        await fleet.wait_until(
            lambda: all("south" in node.cluster_view.evacuated for node in fleet.nodes)
        )
        await restore(fleet, older)
        await asyncio.sleep(1.5)
        assert all("south" in node.cluster_view.evacuated for node in fleet.nodes)
        fleet.store.put("evacuations", "south", {})
        await asyncio.sleep(0.5)
        fleet.store.remove("evacuations", "south")
        await fleet.wait_until(lambda: not any(node.cluster_view.evacuated for node in fleet.nodes))


@with_virtual_time
async def test_evacuation_that_a_listing_shows_again_ends_with_the_grace():
    """A daemon that gets listings from others sees no single change."""
    view = ClusterView(BOUNDS, lambda: 0.0)
    log = EventLog("entry-1", asyncio.get_running_loop().time)
    handler = EvacuationHandler(view, log)
    item = StoredObject("south", 7, 1, {}, None)
    handler.replace_all([item], False)
    handler.replace_restored([])
    handler.replace_restored([])
    assert view.evacuated == {"south"}
    handler.replace_all([item], False)
    await asyncio.sleep(60.0)
    assert view.evacuated == {"south"}
    handler.replace_restored([])
    await asyncio.sleep(60.0)
    assert not view.evacuated


@with_virtual_time
async def test_rollout_order_that_a_listing_shows_again_is_dropped_with_the_grace():
    view = ClusterView(BOUNDS, lambda: 0.0)
    handler = RolloutHandler(view, EventLog("entry-1", asyncio.get_running_loop().time))
    content = {"service": "desk", "target": "v2", "duration_s": 9}
    ended = StoredObject("desk", 7, 1, content, {"state": "completed", "target": "v2"})
    handler.replace_all([ended], False)
    assert view.rollouts["desk"].completed
    handler.replace_restored([ended._replace(revision=8, report=None)])
    assert view.rollouts["desk"].completed
    assert view.rollouts["desk"].is_report_lost
    handler.replace_restored([])
    handler.replace_all([ended], False)
    await asyncio.sleep(60.0)
    assert view.rollouts["desk"].completed
    handler.replace_restored([])
    assert view.rollouts["desk"].completed
    await asyncio.sleep(60.0)
    assert not view.rollouts


@with_virtual_time
async def test_upstream_that_left_comes_back_with_a_second_listing():
    view = ClusterView(BOUNDS, lambda: 0.0)
    handler = UpstreamHandler(view, EventLog("entry-1", asyncio.get_running_loop().time))
    left, stays = (
        StoredObject(name, 5, 1, build_entry(9, "north", born=1_700_000_000_000), None)
        for name in ("left", "stays")
    )
    handler.replace_all([left, stays], False)
    handler.apply_change(left, ObjectStatus.REMOVED)
    for replace in (
        lambda: handler.replace_restored([left, stays]),
        lambda: handler.replace_all([left, stays], False),
    ):
        replace()
        assert list(view.upstreams.entries) == ["stays"]
    handler.replace_all([stays], False)
    await asyncio.sleep(60.0)
    assert list(view.upstreams.entries) == ["stays"], "it was gone from the store as well"


@with_virtual_time
async def test_cold_upstream_that_started_again_is_taken_for_the_warm_one_before():
    """Soak seed 9001: up-3 got 33 requests of 20 in a second while cold."""
    view = ClusterView(BOUNDS, lambda: 0.0)
    handler = UpstreamHandler(view, EventLog("entry-1", asyncio.get_running_loop().time))
    ended = []
    view.upstreams.on_registration_ended = lambda entry, reason: ended.append(reason)
    born = 1_700_000_000_000
    warm = StoredObject("up-a", 5, 1, build_entry(9, "north", born=born), None)
    cold = warm._replace(revision=7, content=build_cold(9, "north", 3.0, born=born + 1))
    handler.replace_all([warm], False)
    handler.apply_change(cold, ObjectStatus.PRESENT)
    entry = view.upstreams.entries["up-a"]
    ended.clear()
    handler.replace_restored([warm])
    assert view.upstreams.entries["up-a"] is entry
    assert entry.cold_until > asyncio.get_running_loop().time()
    handler.apply_change(cold._replace(revision=8), ObjectStatus.PRESENT)
    assert view.upstreams.entries["up-a"] is entry
    assert ended == []
    handler.replace_restored([warm])
    await asyncio.sleep(60.0)
    assert view.upstreams.entries["up-a"].record.born < entry.record.born, "its clock was set back"


@run_in_real_time
async def test_fencing_numbers_count_down_with_a_store_that_came_back_older():
    async with open_fleet("entry-2", "entry-3") as fleet:
        await fleet.wait_until(lambda: any(node.leadership.fencing for node in fleet.nodes))
        older = fleet.store.take_copy()
        older.objects.pop(LEASES_KIND, None)
        (holder,) = [node for node in fleet.nodes if node.leadership.fencing]
        first = holder.leadership.fencing
        await restore(fleet, older)
        await fleet.wait_until(lambda: fleet.store.objects.get(LEASES_KIND))
        await asyncio.sleep(1.0)
        assert [node for node in fleet.nodes if node.leadership.fencing] == [holder]
        assert fleet.store.objects[LEASES_KIND][LEASE_NAME]["spec"]["fencing"] == first
        await restore(fleet, older)
        holder.close()
        fleet.nodes.remove(holder)
        async with asyncio.timeout(9.0):
            while not any(node.leadership.fencing for node in fleet.nodes):
                await asyncio.sleep(0.05)
        assert max(node.leadership.fencing for node in fleet.nodes) > first


@run_in_real_time
async def test_claim_that_nobody_has_heard_of_is_claimed_again_under_its_number():
    async with open_fleet("entry-2", "entry-3") as fleet:
        older = fleet.store.take_copy()
        await fleet.wait_until(lambda: any(node.leadership.fencing for node in fleet.nodes))
        (holder,) = [node for node in fleet.nodes if node.leadership.fencing]
        first = holder.leadership.fencing
        for node in fleet.nodes:
            if node is not holder:
                node.leadership.highest_fencing = 0
        fleet.store.restore(older)
        for _ in range(20):
            await asyncio.sleep(0.1)
            fencing = [node.leadership.fencing for node in fleet.nodes if node is not holder]
            assert not any(fencing), "claimed while the first holder may act"
        holder.close()
        others = [node for node in fleet.nodes if node is not holder]
        async with asyncio.timeout(9.0):
            while not any(node.leadership.fencing for node in others):
                await asyncio.sleep(0.05)
        assert max(node.leadership.fencing for node in others) > first
