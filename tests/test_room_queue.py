"""Requests that wait in a daemon for a place, with the setting ``[policy] room = wait``."""

import asyncio
from contextlib import asynccontextmanager
from unittest.mock import patch

from tanagertrail.gateway import room_queue
from tanagertrail.gateway.metrics import GatewayMetrics
from tanagertrail.operators.explain import LogLine, explain_request
from tanagertrail.policy.room import RoomMode
from tanagertrail.standins.documents import build_route
from tests.gateway_utils import SetLinks, World, build_config, run_in_real_time, set_links

PATIENT = {"timeout_ms": 5000, "slo_ms": 1500}
ROUTES = [
    build_route("look", "safe", priority=0, **PATIENT),
    build_route("book", "unsafe", priority=1, **PATIENT),
    build_route("late", "unsafe", priority=4, **PATIENT),
]
PLACES = 2  # of an upstream with one slot, for the most urgent requests
SERVICE_SECONDS = 0.05  # that the daemon has measured, so that it expects places soon


@asynccontextmanager
async def open_full_world(room: RoomMode = RoomMode.WAIT):
    """Open a world whose upstream has no place for any request."""
    world = World(upstreams=1)
    tasks = []
    try:
        await world.start(build_config(routes=ROUTES))
        dispatcher = world.node.dispatcher
        dispatcher.selector.load_limits.mode = room
        dispatcher.room_queue.metrics = GatewayMetrics(list)
        world.node.brittle.service_seconds["desk"] = SERVICE_SECONDS
        world.register("up-a", capacity=1)
        await world.wait_until(lambda: get_entry(world).record.slots == 1)
        world.upstreams[0].faults.extend(["hold"] * PLACES)
        tasks = [asyncio.create_task(world.fetch("/look/held")) for _ in range(PLACES)]
        await world.wait_until(lambda: get_entry(world).running == PLACES)
        yield world
    finally:
        world.upstreams[0].released.set()
        await asyncio.gather(*tasks, return_exceptions=True)
        await world.close()


def get_entry(world):
    """Return what the daemon knows of the upstream."""
    return world.node.cluster_view.upstreams.entries["up-a"]


def count_waiting(world):
    """Count the requests that wait."""
    return world.node.dispatcher.room_queue.count_waiting()


async def start_waiting(world, path, count=1):
    """Send a request and return its task once the daemon has that many waiting requests."""
    task = asyncio.create_task(world.fetch(path, b"slot", tanagertrail_deadline_ms="5000"))
    await world.wait_until(lambda: count_waiting(world) == count)
    return task


def list_run_paths(world):
    """Return the paths of the requests that the upstream began to run, the held ones left out."""
    paths = [run.request.path for run in world.upstreams[0].runs]
    return [path for path in paths if not path.endswith("held")]


@run_in_real_time
async def test_request_waits_for_a_place_and_runs_once():
    async with open_full_world() as world:
        task = await start_waiting(world, "/book/1")
        assert not list_run_paths(world)
        world.upstreams[0].released.set()
        assert (await task).status == 200
        assert list_run_paths(world) == ["/book/1"]
        assert world.node.dispatcher.room_queue.metrics.room == {("desk", "waited"): 1}
        assert not world.node.dispatcher.room_queue.lists


@run_in_real_time
async def test_request_is_refused_at_once_unless_requests_wait():
    for room in (RoomMode.OFF, RoomMode.RETRY):
        async with open_full_world(room) as world:
            assert (await world.fetch("/book/1", b"slot")).status == 503
            assert not list_run_paths(world)


@run_in_real_time
async def test_urgent_request_goes_before_one_that_came_earlier():
    async with open_full_world() as world:
        tasks = [await start_waiting(world, "/late/1"), await start_waiting(world, "/look/1", 2)]
        world.upstreams[0].released.set()
        assert [(await task).status for task in tasks] == [200, 200]
        assert list_run_paths(world) == ["/look/1", "/late/1"]


@run_in_real_time
async def test_request_of_a_caller_that_leaves_is_dropped_at_once():
    """A request whose caller has gone would take the place of one that is still awaited."""
    async with open_full_world() as world:
        task = await start_waiting(world, "/book/1")
        task.cancel()
        await world.wait_until(lambda: count_waiting(world) == 0)
        world.upstreams[0].released.set()
        assert (await world.fetch("/look/2")).status == 200
        assert list_run_paths(world) == ["/look/2"]


@run_in_real_time
async def test_waiting_request_is_refused_as_not_run_by_a_planned_stop():
    async with open_full_world() as world:
        task = await start_waiting(world, "/book/1")
        stop = asyncio.create_task(world.node.stop())
        reply = await task
        assert reply.status == 503
        assert float(reply.headers[b"retry-after"]) > 0
        world.upstreams[0].released.set()
        await stop
        assert not list_run_paths(world)


@run_in_real_time
async def test_waiting_request_is_refused_once_no_upstream_is_left():
    async with open_full_world() as world:
        task = await start_waiting(world, "/book/1")
        world.store.remove("servers", "up-a")
        assert (await task).status == 503
        assert not list_run_paths(world)
        assert world.node.dispatcher.room_queue.metrics.room == {("desk", "upstreams lost"): 1}


@run_in_real_time
async def test_waiting_request_goes_on_when_the_load_limit_of_the_upstream_rises():
    """Only the ends of a daemon's own requests would otherwise be noticed."""
    async with open_full_world() as world:
        task = await start_waiting(world, "/book/1")
        world.register("up-a", capacity=8)
        assert (await task).status == 200


@run_in_real_time
async def test_request_that_no_place_is_expected_for_in_time_is_refused_at_once():
    async with open_full_world() as world:
        world.node.brittle.service_seconds["desk"] = 30.0
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        reply = await world.fetch("/book/1", b"slot")
        assert loop.time() - started_at < 0.5
        assert reply.status == 503
        assert float(reply.headers[b"retry-after"]) > 0.3
        assert world.node.dispatcher.room_queue.metrics.room == {("desk", "refused at once"): 1}


@run_in_real_time
async def test_wait_does_not_outlast_what_it_is_for():
    async with open_full_world() as world:
        reply = await world.fetch("/book/1", b"slot", tanagertrail_deadline_ms="400")
        assert reply.status == 503
        assert not list_run_paths(world)
        assert world.node.dispatcher.room_queue.metrics.room == {("desk", "wait ran out"): 1}


@run_in_real_time
async def test_least_urgent_request_yields_when_too_many_wait():
    with patch.object(room_queue, "MAX_WAITING", 1):
        async with open_full_world() as world:
            late = await start_waiting(world, "/late/1")
            urgent = await start_waiting(world, "/look/1")
            assert (await late).status == 503
            world.upstreams[0].released.set()
            assert (await urgent).status == 200


@run_in_real_time
async def test_request_does_not_wait_for_a_brittle_upstream():
    """Its slots are divided between the daemons, and its refusals tell callers when to return."""
    async with open_full_world() as world:
        world.node.brittle.is_brittle = lambda entry: True
        assert (await world.fetch("/book/1", b"slot")).status == 503
        assert not world.node.dispatcher.room_queue.metrics.room


@run_in_real_time
async def test_waiting_request_is_left_to_carriers_when_the_daemon_is_cut_off():
    """It would wait for upstreams that the daemon does not reach."""
    async with open_full_world() as world:
        task = await start_waiting(world, "/book/1")
        set_links(world.node, SetLinks())
        reply = await task
        assert reply.status == 503
        assert reply.body == b"no daemon can carry the request"


@run_in_real_time
async def test_explanation_of_a_request_shows_its_wait_and_the_figures_behind_a_refusal():
    async with open_full_world() as world:
        lines = []
        log = world.node.log

        def note(event, **fields):
            lines.append(LogLine(1.0, "entry-1", event, fields))

        with patch.object(log, "write_routine", note), patch.object(log, "write", note):
            waiting = await start_waiting(world, "/book/1")
            world.upstreams[0].released.set()
            await waiting
            served = f"r{world.request_count}"
            world.upstreams[0].released.clear()
            world.upstreams[0].faults.extend(["hold"] * PLACES)
            tasks = [asyncio.create_task(world.fetch("/look/held")) for _ in range(PLACES)]
            await world.wait_until(lambda: get_entry(world).running == PLACES)
            world.node.brittle.service_seconds["desk"] = 30.0
            world.node.dispatcher.room_queue.rates.clear()
            await world.fetch("/book/2", b"slot")
            refused = f"r{world.request_count}"
            world.upstreams[0].released.set()
            await asyncio.gather(*tasks)
        waited = next(line for line in explain_request(served, lines).own if line.event == "waited")
        assert {"aim", "waited_s", "expected_s", "left_s", "ahead", "waiting"} <= set(waited.fields)
        own = explain_request(refused, lines).own
        refusal = next(line for line in own if line.event == "refused")
        assert refusal.fields["room"] == "refused at once"
        assert refusal.fields["expected_s"] > 1.0
