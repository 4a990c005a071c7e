"""Upstreams that are silent for a while, or for good."""

import asyncio
import time

from nose2.tools import params

from tanagertrail.standins.documents import build_route
from tests.gateway_utils import build_config, open_world, run_in_real_time

EVENTS = b"".join(f"id: {n}\ndata: piece {n}\n\n".encode() for n in range(1, 7))
PATIENT = {"timeout_ms": 9000}
ROUTES = [
    build_route("look", "safe", **PATIENT),
    build_route("book", "unsafe", **PATIENT),
    build_route("talk", "stream", **PATIENT),
    build_route("once", "stream", resumable=False, attempts=1, **PATIENT),
]
PATHS = ("/look/1", "/book/1", "/talk/a/events", "/once/a/events")
REPEATABLE_PATHS = ("/look/1", "/talk/a/events")
CALLER_GAP_SECONDS = 2.0  # after which callers abandon a stream of these routes


def open_patient_world():
    """Open a world whose routes allow 9 s."""
    return open_world(build_config(routes=ROUTES))


async def ask(world, path):
    """Send a request; streams and unsafe requests have a body."""
    body = b"" if path.startswith("/look") else b"prompt"
    started = time.monotonic()
    reply = await world.fetch(path, body, tanagertrail_deadline_ms="9000")
    return reply, time.monotonic() - started


def is_whole(path, reply):
    """Say whether a response is the whole one of a sound upstream."""
    if path.endswith("/events"):
        return reply.whole and reply.body == EVENTS
    return reply.whole and reply.status == 200 and reply.body.startswith(b"answer of up-")


def count_runs(world):
    """Return the number of runs at all upstreams."""
    return sum(len(upstream.runs) for upstream in world.upstreams)


@params("pause_within", "pause_first")
@run_in_real_time
async def test_silence_of_a_second_ends_nothing(fault):
    """Streams were cut, or run again elsewhere, 1 s after the last event of a sound upstream."""
    async with open_patient_world() as world:
        for upstream in world.upstreams:
            upstream.faults.extend([fault] * len(PATHS))
        answers = await asyncio.gather(*(ask(world, path) for path in PATHS))
        for path, (reply, _) in zip(PATHS, answers, strict=True):
            assert is_whole(path, reply), path
        assert count_runs(world) == len(PATHS)


@run_in_real_time
async def test_silence_of_both_upstreams_ends_nothing():
    async with open_patient_world() as world:
        for upstream in world.upstreams:
            upstream.pause = 1.5
            upstream.faults.extend(["pause_within"] * 12)
        answers = await asyncio.gather(*(ask(world, PATHS[2 + n % 2]) for n in range(12)))
        assert [reply.body == EVENTS for reply, _ in answers] == [True] * 12
        assert count_runs(world) == 12


@run_in_real_time
async def test_silence_of_two_seconds_ends_nothing_that_may_run_once():
    async with open_patient_world() as world:
        for upstream in world.upstreams:
            upstream.pause = 2.2
            upstream.faults.extend(["pause_within", "pause_within"])
        paths = ("/book/1", "/once/a/events")
        answers = await asyncio.gather(*(ask(world, path) for path in paths))
        for path, (reply, _) in zip(paths, answers, strict=True):
            assert is_whole(path, reply), path
        assert count_runs(world) == 2


@params(("silent", "stall_within"), ("freeze_within",), ("vanish_within",))
@run_in_real_time
async def test_stream_goes_on_elsewhere_before_its_caller_gives_up(*faults):
    """An upstream that never goes on must not hold a stream to its deadline."""
    async with open_patient_world() as world:
        prefer_first(world)
        world.upstreams[0].faults.extend(faults)
        answers = await asyncio.gather(*(ask(world, f"/talk/{fault}/events") for fault in faults))
        for reply, seconds in answers:
            assert reply.whole and reply.body == EVENTS
            assert seconds < CALLER_GAP_SECONDS
        assert [len(upstream.runs) for upstream in world.upstreams] == [len(faults)] * 2


def prefer_first(world):
    """Make the daemon believe that the second upstream runs requests of other daemons."""
    world.node.cluster_view.upstreams.entries["up-b"].in_flight_elsewhere = 3


@run_in_real_time
async def test_safe_request_is_sent_elsewhere_long_before_its_deadline():
    async with open_patient_world() as world:
        prefer_first(world)
        world.upstreams[0].faults.append("silent")
        reply, seconds = await ask(world, "/look/1")
        assert is_whole("/look/1", reply)
        assert seconds < CALLER_GAP_SECONDS


@run_in_real_time
async def test_unsafe_request_runs_once_though_its_upstream_is_silent():
    async with open_patient_world() as world:
        prefer_first(world)
        world.upstreams[0].faults.append("silent")
        started = time.monotonic()
        reply = await world.fetch("/book/1", b"slot", tanagertrail_deadline_ms="2400")
        assert reply.status == 504
        assert time.monotonic() - started > 2.2
        assert count_runs(world) == 1


@run_in_real_time
async def test_silent_stream_is_held_while_no_other_upstream_can_take_it():
    async with open_patient_world() as world:
        world.keep_one_upstream().faults.append("pause_within")
        world.upstreams[0].pause = 1.8
        await world.wait_for_upstreams(1)
        reply, _ = await ask(world, "/talk/a/events")
        assert reply.whole and reply.body == EVENTS


@run_in_real_time
async def test_silent_stream_is_held_while_the_retry_budget_is_empty():
    """A stream was broken off first, and the retry budget was asked afterwards."""
    async with open_patient_world() as world:
        budget = world.node.dispatcher.get_retry_budget("desk")
        budget.ratio = budget.extra = 0.0
        for upstream in world.upstreams:
            upstream.pause = 1.8
            upstream.faults.append("pause_within")
        reply, _ = await ask(world, "/talk/a/events")
        assert reply.whole and reply.body == EVENTS
        assert count_runs(world) == 1


@run_in_real_time
async def test_silent_streams_end_whole_beside_a_change_and_a_stop():
    """Streams of a silent upstream were cut while a new configuration came, or a planned stop."""
    async with open_patient_world() as world:
        for upstream in world.upstreams:
            upstream.faults.extend(["pause_within"] * 2)
        streams = [asyncio.create_task(ask(world, path)) for path in PATHS[2:]]
        await asyncio.sleep(0.2)
        world.store.put("config", "main", build_config(5, routes=ROUTES))
        await world.wait_until(lambda: world.node.cluster_view.config.version == 5)
        stopping = asyncio.create_task(world.node.stop())
        for task in streams:
            reply, _ = await task
            assert reply.whole and reply.body == EVENTS
        stopping.cancel()


def stop_event_loop(seconds):
    """Keep the event loop from running, as a suspended process does."""
    time.sleep(seconds)


@run_in_real_time
async def test_stall_of_the_daemon_is_not_taken_for_silence():
    async with open_patient_world() as world:
        for upstream in world.upstreams:
            upstream.pause = 0.4
            upstream.faults.append("pause_within")
        task = asyncio.create_task(ask(world, "/talk/a/events"))
        await world.wait_until(lambda: count_runs(world) == 1)
        await asyncio.sleep(0.1)
        stop_event_loop(2.0)
        reply, _ = await task
        assert reply.whole and reply.body == EVENTS
        assert count_runs(world) == 1


@run_in_real_time
async def test_new_requests_avoid_an_upstream_found_silent_until_it_is_heard():
    async with open_patient_world() as world:
        prefer_first(world)
        world.upstreams[0].faults.append("freeze_within")
        first, _ = await ask(world, "/talk/a/events")
        assert first.body == EVENTS
        replies = [await ask(world, "/look/1") for _ in range(3)]
        assert max(seconds for _, seconds in replies) < 0.5
        assert {reply.body for reply, _ in replies} == {b"answer of up-b"}


@run_in_real_time
async def test_new_requests_avoid_an_upstream_whose_stream_may_run_only_once():
    """Requests went on to an upstream as long as its silent ones could not be sent elsewhere."""
    async with open_patient_world() as world:
        prefer_first(world)
        world.upstreams[0].faults.append("freeze_within")
        held = asyncio.create_task(ask(world, "/once/a/events"))
        await world.wait_until(lambda: world.upstreams[0].runs)
        await asyncio.sleep(1.9)
        reply, seconds = await ask(world, "/book/1")
        assert (reply.body, seconds < 0.5) == (b"answer of up-b", True)
        world.upstreams[0].thawed.set()
        reply, _ = await held
        assert reply.whole and reply.body == EVENTS


@run_in_real_time
async def test_stream_lasts_though_its_upstream_left_the_registry():
    async with open_patient_world() as world:
        upstream = world.keep_one_upstream()
        await world.wait_for_upstreams(1)
        upstream.faults.append("pause_within")
        task = asyncio.create_task(ask(world, "/once/a/events"))
        await world.wait_until(lambda: upstream.runs)
        world.store.remove("servers", upstream.id)
        await world.wait_for_upstreams(0)
        reply, _ = await task
        assert reply.whole and reply.body == EVENTS


@run_in_real_time
async def test_stream_ends_when_its_upstream_has_started_again():
    """A new process under the same id never goes on with what the former one ran."""
    async with open_patient_world() as world:
        upstream = world.keep_one_upstream()
        await world.wait_for_upstreams(1)
        entries = world.node.cluster_view.upstreams.entries
        world.register(upstream.id, born=1000)
        await world.wait_until(lambda: entries[upstream.id].record.born)
        upstream.faults.append("stall_within")
        started = time.monotonic()
        task = asyncio.create_task(ask(world, "/once/a/events"))
        await world.wait_until(lambda: upstream.runs)
        world.register(upstream.id, born=2000)
        reply, _ = await task
        assert not reply.whole and EVENTS.startswith(reply.body)
        assert time.monotonic() - started < CALLER_GAP_SECONDS
