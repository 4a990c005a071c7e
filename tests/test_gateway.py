"""Requests through a gateway daemon, with faulty upstreams."""

import asyncio
import gc
import time

from tanagertrail.gateway.channel import Channel
from tests.gateway_utils import build_config, build_route, open_world, run_in_real_time


@run_in_real_time
async def test_plain_response_is_complete_and_signed():
    async with open_world() as world:
        reply = await world.fetch("/look/1")
        assert reply.status == 200
        assert reply.body.startswith(b"answer of up-")
        assert b"tanagertrail-server-stamp" in reply.headers


@run_in_real_time
async def test_api_key_is_removed_and_customer_is_set():
    async with open_world() as world:
        reply = await world.fetch("/book/1", b"slot", tanagertrail_tenant="other")
        assert reply.status == 200
        run = next(run for upstream in world.upstreams for run in upstream.runs)
        assert run.customer == "guild"
        assert b"api-key" not in dict(run.request.headers)
        assert run.request.body == b"slot"


@run_in_real_time
async def test_reserved_headers_of_callers_are_dropped():
    async with open_world() as world:
        await world.fetch("/look/1", tanagertrail_hold="h", kv_from="1.2.3.4:5/x")
        run = next(run for upstream in world.upstreams for run in upstream.runs)
        names = dict(run.request.headers)
        assert b"tanagertrail-hold" not in names
        assert b"kv-from" not in names
        assert int(names[b"tanagertrail-deadline-ms"]) <= 2000


@run_in_real_time
async def test_unknown_key_and_route_are_refused():
    async with open_world() as world:
        assert (await world.fetch("/look/1", api_key="wrong")).status == 401
        assert (await world.fetch("/none/1")).status == 404
        assert all(not upstream.arrivals for upstream in world.upstreams)


@run_in_real_time
async def test_refused_safe_request_is_retried_at_the_other_upstream():
    async with open_world() as world:
        for upstream in world.upstreams:
            upstream.faults.append("refuse")
        world.upstreams[1].faults.clear()
        replies = [await world.fetch("/look/1") for _ in range(4)]
        assert [reply.status for reply in replies] == [200] * 4


@run_in_real_time
async def test_unsafe_request_is_not_retried_after_a_reset():
    async with open_world() as world:
        for upstream in world.upstreams:
            upstream.faults.append("reset")
        reply = await world.fetch("/book/1", b"slot")
        assert reply.status == 502
        assert sum(len(upstream.runs) for upstream in world.upstreams) == 1


@run_in_real_time
async def test_refused_unsafe_request_gets_503_with_retry_after():
    async with open_world() as world:
        world.keep_one_upstream().faults.append("refuse")
        await world.wait_for_upstreams(1)
        reply = await world.fetch("/book/1", b"slot")
        assert reply.status == 503
        assert float(reply.headers[b"retry-after"]) > 0
        assert not world.upstreams[0].runs


@run_in_real_time
async def test_error_of_the_only_upstream_is_relayed_with_its_signature():
    async with open_world() as world:
        world.keep_one_upstream().faults.append("fail")
        await world.wait_for_upstreams(1)
        reply = await world.fetch("/look/1")
        assert reply.status == 500
        assert b"tanagertrail-server-stamp" in reply.headers


@run_in_real_time
async def test_error_is_relayed_when_the_other_upstream_is_unreachable():
    async with open_world() as world:
        world.register("up-b", address="127.0.0.1:9")
        await world.wait_until(
            lambda: world.node.cluster_view.upstreams.entries["up-b"].record.address.endswith(":9")
        )
        world.upstreams[0].faults.extend(["fail"] * 6)
        replies = [await world.fetch("/look/1") for _ in range(3)]
        assert {reply.status for reply in replies} == {500}


@run_in_real_time
async def test_resumed_stream_omits_the_incomplete_event():
    """An incomplete event was once relayed in front of the resumed stream."""
    async with open_world() as world:
        for upstream in world.upstreams:
            upstream.faults.append("half_event")
        world.upstreams[1].faults.clear()
        replies = [await world.fetch("/talk/a/events", b"prompt") for _ in range(3)]
        expected = b"".join(f"id: {n}\ndata: piece {n}\n\n".encode() for n in range(1, 7))
        for reply in replies:
            assert reply.whole
            assert reply.body == expected


@run_in_real_time
async def test_stream_that_must_not_resume_ends_incomplete():
    async with open_world() as world:
        for upstream in world.upstreams:
            upstream.faults.append("half_event")
        reply = await world.fetch("/once/a/events", b"prompt")
        assert not reply.whole
        assert sum(len(upstream.runs) for upstream in world.upstreams) == 1


@run_in_real_time
async def test_unsolicited_response_is_discarded():
    async with open_world() as world:
        upstream = world.keep_one_upstream()
        await world.wait_for_upstreams(1)
        upstream.faults.append("extra")
        bodies = [(await world.fetch("/look/1")).body for _ in range(4)]
        assert bodies == [b"answer of up-a"] * 4


@run_in_real_time
async def test_late_response_to_another_request_is_skipped():
    async with open_world() as world:
        world.keep_one_upstream().faults.append("late_other")
        await world.wait_for_upstreams(1)
        reply = await world.fetch("/book/1", b"slot")
        assert reply.status == 200
        assert reply.body == b"answer of up-a"


@run_in_real_time
async def test_truncated_and_unsigned_responses_are_errors():
    async with open_world() as world:
        upstream = world.keep_one_upstream()
        await world.wait_for_upstreams(1)
        for fault in ("short", "unsigned"):
            upstream.faults.append(fault)
            reply = await world.fetch("/book/1", b"slot")
            assert reply.status == 502
            await asyncio.sleep(0.6)


@run_in_real_time
async def test_caller_disconnect_cancels_the_request():
    async with open_world() as world:
        upstream = world.keep_one_upstream()
        await world.wait_for_upstreams(1)
        upstream.faults.append("silent")
        stream = await world.connect()
        world.send(stream, "/book/1", b"slot")
        await world.wait_until(lambda: upstream.runs)
        stream.abort()
        async with asyncio.timeout(0.5):  # the required bound
            while not upstream.cut:
                await asyncio.sleep(0.01)


@run_in_real_time
async def test_silent_upstream_times_out_at_the_deadline():
    async with open_world() as world:
        world.keep_one_upstream().faults.append("silent")
        await world.wait_for_upstreams(1)
        loop = asyncio.get_running_loop()
        started = loop.time()
        reply = await world.fetch("/book/1", b"slot", tanagertrail_deadline_ms="400")
        assert reply.status == 504
        assert loop.time() - started < 0.9


@run_in_real_time
async def test_silent_upstream_leaves_time_for_a_retry():
    async with open_world() as world:
        for upstream in world.upstreams:
            upstream.faults.append("silent")
        world.upstreams[1].faults.clear()
        replies = [await world.fetch("/look/1", tanagertrail_deadline_ms="600") for _ in range(3)]
        assert [reply.status for reply in replies] == [200] * 3


@run_in_real_time
async def test_other_upstream_at_a_registered_address_is_not_used():
    async with open_world() as world:
        world.keep_one_upstream().id = "up-new"
        await world.wait_for_upstreams(1)
        reply = await world.fetch("/book/1", b"slot")
        assert reply.status == 503
        assert not world.upstreams[0].runs


@run_in_real_time
async def test_new_configuration_is_applied():
    async with open_world() as world:
        assert (await world.fetch("/later/1")).status == 404
        routes = [*build_config()["routes"], build_route("later", "safe")]
        world.store.put("config", "main", build_config(5, routes=routes))
        await world.wait_until(lambda: world.node.cluster_view.config.version == 5)
        assert (await world.fetch("/later/1")).status == 200


@run_in_real_time
async def test_draining_upstream_gets_no_requests():
    async with open_world() as world:
        world.register("up-b", state="draining")
        await world.wait_until(
            lambda: world.node.cluster_view.upstreams.entries["up-b"].record.draining
        )
        for _ in range(6):
            await world.fetch("/look/1")
        assert not world.upstreams[1].arrivals


@run_in_real_time
async def test_evacuated_failure_domain_gets_no_requests():
    async with open_world() as world:
        world.register("up-b", zone="south")
        world.store.put("evacuations", "north", {})
        view = world.node.cluster_view
        # Registrations and evacuations are watched apart and come in any order.
        await world.wait_until(lambda: view.evacuated == {"north"})
        await world.wait_until(
            lambda: view.upstreams.entries["up-b"].record.failure_domain == "south"
        )
        replies = [await world.fetch("/look/1") for _ in range(4)]
        assert {reply.body for reply in replies} == {b"answer of up-b"}


@run_in_real_time
async def test_invalid_registrations_are_ignored():
    async with open_world() as world:
        world.store.put("servers", "odd-1", {"service": 5, "address": "nowhere"})
        world.store.put("servers", "odd-2", "text")
        world.register("up-b", state="resting")
        await world.wait_for_upstreams(1)
        assert (await world.fetch("/look/1")).body == b"answer of up-a"


@run_in_real_time
async def test_shutdown_completes_requests_and_announces_the_close():
    async with open_world() as world:
        for upstream in world.upstreams:
            upstream.work = 0.15
        pending_reply = asyncio.create_task(world.fetch("/talk/a/events", b"prompt"))
        await world.wait_until(lambda: any(upstream.runs for upstream in world.upstreams))
        stop_task = asyncio.create_task(world.node.stop())
        await asyncio.sleep(0.05)
        assert not world.node.ready
        late_reply = await world.fetch("/look/1")
        assert late_reply.status == 200
        assert late_reply.headers[b"connection"] == b"close"
        assert (await pending_reply).whole
        await stop_task


@run_in_real_time
async def test_events_received_during_a_suspension_are_relayed():
    """After a suspension, a daemon gave up streams whose events had already arrived (inc-6a03)."""
    async with open_world() as world:
        world.keep_one_upstream().work = 0.1
        await world.wait_for_upstreams(1)
        pending_reply = asyncio.create_task(
            world.fetch("/once/a/events", b"prompt", tanagertrail_deadline_ms="2000")
        )
        await world.wait_until(lambda: world.upstreams[0].runs)
        await asyncio.sleep(0.15)
        await suspend_daemon(world, 1.3)
        reply = await pending_reply
        assert reply.whole


def find_channels(address):
    """Return the connections from this process to an address."""
    return [
        item
        for item in gc.get_objects()
        if isinstance(item, Channel)
        and item.transport is not None
        and item.transport.get_extra_info("peername") == address
    ]


def block_event_loop(seconds):
    """Block the event loop, as a suspension of the process would."""
    time.sleep(seconds)


async def suspend_daemon(world, seconds):
    """Let events arrive and the event gap timeout expire before the daemon can read them.

    The upstream runs on the same event loop, so the daemon's side of the connection is paused
    first, while the upstream sends, and the loop is blocked afterwards.
    """
    channels = find_channels(("127.0.0.1", world.ports["up-a"]))
    for channel in channels:
        channel.transport.pause_reading()
    await asyncio.sleep(seconds / 2)
    for channel in channels:
        channel.transport.resume_reading()
    block_event_loop(seconds / 2)
