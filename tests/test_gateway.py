"""The path of requests through a gateway daemon, with upstreams that misbehave."""

import asyncio
import gc
import time

from tanagertrail.gateway.channel import Channel
from tests.gateway_utils import build_config, build_route, open_world, real_time


@real_time
async def test_plain_request_is_answered_whole_and_signed():
    async with open_world() as world:
        reply = await world.ask("/look/1")
        assert reply.status == 200
        assert reply.body.startswith(b"answer of up-")
        assert b"tanagertrail-server-stamp" in reply.headers


@real_time
async def test_key_is_kept_and_customer_is_named():
    async with open_world() as world:
        reply = await world.ask("/book/1", b"slot", tanagertrail_tenant="other")
        assert reply.status == 200
        run = next(run for upstream in world.upstreams for run in upstream.runs)
        assert run.customer == "guild"
        assert b"api-key" not in dict(run.request.headers)
        assert run.request.body == b"slot"


@real_time
async def test_fields_that_the_gateway_sets_are_not_taken_from_callers():
    async with open_world() as world:
        await world.ask("/look/1", tanagertrail_hold="h", kv_from="1.2.3.4:5/x")
        run = next(run for upstream in world.upstreams for run in upstream.runs)
        names = dict(run.request.headers)
        assert b"tanagertrail-hold" not in names
        assert b"kv-from" not in names
        assert int(names[b"tanagertrail-deadline-ms"]) <= 2000


@real_time
async def test_unknown_key_and_route_are_refused():
    async with open_world() as world:
        assert (await world.ask("/look/1", api_key="wrong")).status == 401
        assert (await world.ask("/none/1")).status == 404
        assert all(not upstream.arrivals for upstream in world.upstreams)


@real_time
async def test_refused_safe_request_goes_to_the_other_upstream():
    async with open_world() as world:
        for upstream in world.upstreams:
            upstream.faults.append("refuse")
        world.upstreams[1].faults.clear()
        replies = [await world.ask("/look/1") for _ in range(4)]
        assert [reply.status for reply in replies] == [200] * 4


@real_time
async def test_unsafe_request_is_not_sent_again_after_a_reset():
    async with open_world() as world:
        for upstream in world.upstreams:
            upstream.faults.append("reset")
        reply = await world.ask("/book/1", b"slot")
        assert reply.status == 502
        assert sum(len(upstream.runs) for upstream in world.upstreams) == 1


@real_time
async def test_refused_unsafe_request_is_answered_503_with_a_time():
    async with open_world() as world:
        world.keep_one_upstream().faults.append("refuse")
        await world.wait_for_upstreams(1)
        reply = await world.ask("/book/1", b"slot")
        assert reply.status == 503
        assert float(reply.headers[b"retry-after"]) > 0
        assert not world.upstreams[0].runs


@real_time
async def test_failure_of_the_only_upstream_is_passed_on_with_its_signature():
    async with open_world() as world:
        world.keep_one_upstream().faults.append("fail")
        await world.wait_for_upstreams(1)
        reply = await world.ask("/look/1")
        assert reply.status == 500
        assert b"tanagertrail-server-stamp" in reply.headers


@real_time
async def test_failure_is_passed_on_when_no_other_upstream_is_reached():
    async with open_world() as world:
        world.register("up-b", address="127.0.0.1:9")
        await world.wait_until(
            lambda: world.node.cluster_view.upstreams.entries["up-b"].record.address.endswith(":9")
        )
        world.upstreams[0].faults.extend(["fail"] * 6)
        replies = [await world.ask("/look/1") for _ in range(3)]
        assert {reply.status for reply in replies} == {500}


@real_time
async def test_stream_broken_within_an_event_goes_on_without_its_half():
    """MIXED on trouble-1: the half event stood before the resumed stream."""
    async with open_world() as world:
        for upstream in world.upstreams:
            upstream.faults.append("half_event")
        world.upstreams[1].faults.clear()
        replies = [await world.ask("/talk/a/events", b"prompt") for _ in range(3)]
        expected = b"".join(f"id: {n}\ndata: piece {n}\n\n".encode() for n in range(1, 7))
        for reply in replies:
            assert reply.whole
            assert reply.body == expected


@real_time
async def test_stream_that_may_not_resume_is_cut_visibly():
    async with open_world() as world:
        for upstream in world.upstreams:
            upstream.faults.append("half_event")
        reply = await world.ask("/once/a/events", b"prompt")
        assert not reply.whole
        assert sum(len(upstream.runs) for upstream in world.upstreams) == 1


@real_time
async def test_extra_answer_reaches_nobody():
    async with open_world() as world:
        upstream = world.keep_one_upstream()
        await world.wait_for_upstreams(1)
        upstream.faults.append("extra")
        bodies = [(await world.ask("/look/1")).body for _ in range(4)]
        assert bodies == [b"answer of up-a"] * 4


@real_time
async def test_late_answer_to_another_request_is_skipped():
    async with open_world() as world:
        world.keep_one_upstream().faults.append("late_other")
        await world.wait_for_upstreams(1)
        reply = await world.ask("/book/1", b"slot")
        assert reply.status == 200
        assert reply.body == b"answer of up-a"


@real_time
async def test_short_and_unsigned_answers_are_no_success():
    async with open_world() as world:
        upstream = world.keep_one_upstream()
        await world.wait_for_upstreams(1)
        for fault in ("short", "unsigned"):
            upstream.faults.append(fault)
            reply = await world.ask("/book/1", b"slot")
            assert reply.status == 502
            await asyncio.sleep(0.6)


@real_time
async def test_caller_that_leaves_ends_its_work():
    async with open_world() as world:
        upstream = world.keep_one_upstream()
        await world.wait_for_upstreams(1)
        upstream.faults.append("silent")
        stream = await world.connect()
        world.send(stream, "/book/1", b"slot")
        await world.wait_until(lambda: upstream.runs)
        stream.abort()
        async with asyncio.timeout(0.5):  # the time in which the rules ask for it
            while not upstream.cut:
                await asyncio.sleep(0.01)


@real_time
async def test_silent_upstream_is_given_up_at_the_deadline():
    async with open_world() as world:
        world.keep_one_upstream().faults.append("silent")
        await world.wait_for_upstreams(1)
        loop = asyncio.get_running_loop()
        started = loop.time()
        reply = await world.ask("/book/1", b"slot", tanagertrail_deadline_ms="400")
        assert reply.status == 504
        assert loop.time() - started < 0.9


@real_time
async def test_silent_upstream_leaves_time_for_another():
    async with open_world() as world:
        for upstream in world.upstreams:
            upstream.faults.append("silent")
        world.upstreams[1].faults.clear()
        replies = [await world.ask("/look/1", tanagertrail_deadline_ms="600") for _ in range(3)]
        assert [reply.status for reply in replies] == [200] * 3


@real_time
async def test_upstream_at_an_address_of_another_is_not_used():
    async with open_world() as world:
        world.keep_one_upstream().id = "up-new"
        await world.wait_for_upstreams(1)
        reply = await world.ask("/book/1", b"slot")
        assert reply.status == 503
        assert not world.upstreams[0].runs


@real_time
async def test_new_configuration_is_followed():
    async with open_world() as world:
        assert (await world.ask("/later/1")).status == 404
        routes = [*build_config()["routes"], build_route("later", "safe")]
        world.store.put("config", "main", build_config(5, routes=routes))
        await world.wait_until(lambda: world.node.cluster_view.config.version == 5)
        assert (await world.ask("/later/1")).status == 200


@real_time
async def test_draining_upstream_gets_no_work():
    async with open_world() as world:
        world.register("up-b", state="draining")
        await world.wait_until(
            lambda: world.node.cluster_view.upstreams.entries["up-b"].record.draining
        )
        for _ in range(6):
            await world.ask("/look/1")
        assert not world.upstreams[1].arrivals


@real_time
async def test_emptied_failure_domain_gets_no_work():
    async with open_world() as world:
        world.register("up-b", zone="south")
        world.store.put("evacuations", "north", {})
        await world.wait_until(lambda: world.node.cluster_view.evacuated == {"north"})
        replies = [await world.ask("/look/1") for _ in range(4)]
        assert {reply.body for reply in replies} == {b"answer of up-b"}


@real_time
async def test_unreadable_registrations_name_no_upstream():
    async with open_world() as world:
        world.store.put("servers", "odd-1", {"service": 5, "address": "nowhere"})
        world.store.put("servers", "odd-2", "text")
        world.register("up-b", state="resting")
        await world.wait_for_upstreams(1)
        assert (await world.ask("/look/1")).body == b"answer of up-a"


@real_time
async def test_stop_finishes_what_runs_and_tells_callers():
    async with open_world() as world:
        for upstream in world.upstreams:
            upstream.work = 0.15
        asking = asyncio.create_task(world.ask("/talk/a/events", b"prompt"))
        await world.wait_until(lambda: any(upstream.runs for upstream in world.upstreams))
        stopping = asyncio.create_task(world.node.stop())
        await asyncio.sleep(0.05)
        assert not world.node.ready
        late = await world.ask("/look/1")
        assert late.status == 200
        assert late.headers[b"connection"] == b"close"
        assert (await asking).whole
        await stopping


@real_time
async def test_frozen_daemon_passes_on_what_came_meanwhile():
    """Incident inc-6a03: at its thaw a daemon gave up streams whose events had arrived."""
    async with open_world() as world:
        world.keep_one_upstream().work = 0.1
        await world.wait_for_upstreams(1)
        asking = asyncio.create_task(
            world.ask("/once/a/events", b"prompt", tanagertrail_deadline_ms="2000")
        )
        await world.wait_until(lambda: world.upstreams[0].runs)
        await asyncio.sleep(0.15)
        await freeze_upstream_channel(world, 1.3)
        reply = await asking
        assert reply.whole


def find_channels(address):
    """Return the connections that this process has opened to an address."""
    return [
        item
        for item in gc.get_objects()
        if isinstance(item, Channel)
        and item.transport is not None
        and item.transport.get_extra_info("peername") == address
    ]


def stand_still(seconds):
    """Block the event loop, as a frozen process would."""
    time.sleep(seconds)


async def freeze_upstream_channel(world, seconds):
    """Have events arrive and the gap's limit pass before the daemon can read them.

    The test's event loop serves upstream and daemon alike, so the daemon's connection to the
    upstream is held back until the loop stands still.
    """
    channels = find_channels(("127.0.0.1", world.ports["up-a"]))
    for channel in channels:
        channel.transport.pause_reading()
    await asyncio.sleep(seconds / 2)
    for channel in channels:
        channel.transport.resume_reading()
    stand_still(seconds / 2)
