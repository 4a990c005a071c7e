"""Failures that operators of similar systems reported, reproduced with one daemon."""

import asyncio
import time

from tanagertrail.gateway.node import GatewayNode
from tanagertrail.standins.documents import build_route
from tests.gateway_utils import build_config, build_settings, open_world, run_in_real_time

LONG_TIMEOUT_ROUTES = [build_route("talk", "stream", timeout_ms=9000)]


@run_in_real_time
async def test_late_duplicate_response_does_not_reach_the_next_caller():
    """A late copy of a response was read as the response to the next request."""
    for pause in (0.0, 0.025, 0.03, 0.035, 0.06):
        async with open_world() as world:
            await keep_first_upstream(world)
            world.upstreams[0].faults.append("late_copy")
            first = await world.fetch("/book/1", b"first")
            await asyncio.sleep(pause)
            second = await world.fetch("/book/2", b"second")
            assert (first.status, first.body) == (200, b"answer of up-a"), pause
            assert second.status in (200, 502), pause
            assert b"old copy" not in second.body, pause
            runs = [run.request.body for run in world.upstreams[0].runs]
            assert runs.count(b"second") == 1, pause


@run_in_real_time
async def test_duplicate_response_before_the_next_one_is_not_relayed():
    """A copy of a response that came just before the next response was relayed instead of it."""
    for path, body in (("/book/2", b"second"), ("/look/2", b""), ("/talk/b/events", b"prompt")):
        async with open_world() as world:
            await keep_first_upstream(world)
            await world.fetch("/book/1", b"first")
            world.upstreams[0].faults.append("copy_first")
            reply = await world.fetch(path, body)
            assert b"old copy" not in reply.body, path
            assert reply.whole, path


async def keep_first_upstream(world):
    """Keep one upstream registered, so that its connections are reused."""
    world.keep_one_upstream()
    await world.wait_for_upstreams(1)


@run_in_real_time
async def test_request_accepted_during_shutdown_is_completed():
    """A request that was accepted at the end of a planned stop was cut off."""
    async with open_world() as world:
        await keep_first_upstream(world)
        world.upstreams[0].work = 0.4
        release = world.node.leadership.release
        pending_replies = []

        async def release_slowly():
            pending_replies.append(asyncio.create_task(world.fetch("/look/1")))
            await asyncio.sleep(0.2)
            await release()

        world.node.leadership.release = release_slowly
        world.node.settings = world.node.settings._replace(
            bounds=world.node.settings.bounds._replace(grace=8.0)
        )
        await world.node.stop()
        reply = await pending_replies[0]
        assert (reply.status, reply.whole) == (200, True)


@run_in_real_time
async def test_stream_that_drips_bytes_is_given_up_before_its_deadline():
    """A stream that sent single bytes now and then, but no event, ran until its deadline."""
    async with open_world(build_config(routes=LONG_TIMEOUT_ROUTES)) as world:
        world.upstreams[0].faults.append("drip")
        world.upstreams[1].faults.append("drip")
        started = time.monotonic()
        reply = await world.fetch("/talk/a/events", b"prompt", tanagertrail_deadline_ms="9000")
        assert time.monotonic() - started < 6.0
        assert reply.whole or reply.status == 200
        assert b"xx" not in reply.body


@run_in_real_time
async def test_slow_valid_stream_is_not_interrupted():
    async with open_world(build_config(routes=LONG_TIMEOUT_ROUTES)) as world:
        for upstream in world.upstreams:
            upstream.work = 0.35
        reply = await world.fetch("/talk/a/events", b"prompt", tanagertrail_deadline_ms="9000")
        assert reply.whole
        assert reply.body.count(b"data:") == 6
        assert sum(len(upstream.runs) for upstream in world.upstreams) == 1


@run_in_real_time
async def test_restarted_daemon_does_not_serve_before_it_knows_evacuated_domains():
    """A restarted daemon sent requests to a failure domain that had been evacuated."""
    for kind in ("evacuations", "rollouts"):
        async with open_world() as world:
            world.store.put("evacuations", "north", {})
            await world.wait_until(lambda: world.node.cluster_view.evacuated)
            world.node.close()
            world.store.refused_kinds.add(kind)
            world.node = GatewayNode(build_settings(world.ports))
            await world.node.start()
            await world.wait_until(lambda: world.node.cluster_view.upstreams_known)
            await asyncio.sleep(0.3)
            assert not world.node.ready, kind
            assert (await world.fetch("/look/1")).status == 503, kind
            assert not any(upstream.runs for upstream in world.upstreams), kind
            world.store.refused_kinds.clear()
            await world.wait_until(lambda: world.node.ready)
