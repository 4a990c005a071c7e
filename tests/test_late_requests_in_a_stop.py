"""Tests that a stopping daemon accepts only requests that end before it does."""

import asyncio
import time
from typing import NamedTuple

from tanagertrail.standins.documents import build_route
from tests.gateway_utils import build_config, open_world, run_in_real_time

PATIENT = {"timeout_ms": 10_000, "slo_ms": 4000, "gap_aim_ms": 2000}
ROUTES = [
    build_route("book", "unsafe", **PATIENT),
    build_route("talk", "stream", **PATIENT),
    build_route("once", "stream", resumable=False, attempts=1, **PATIENT),
    build_route("look", "safe", **PATIENT),
]
PATHS = ("/talk/a/events", "/once/a/events", "/book/1", "/look/1")
GRACE_SECONDS = 8.0
WORK_SECONDS = 0.3  # of a plain request, and of each of a stream's six events
WARM_SECONDS = 4.5  # for each caller to have several answers before the stop
STAGGER_SECONDS = 0.15  # between callers, so that requests come at all phases of the stop
LATE_SECONDS = 3.0  # after which a request that is cut is excused by nothing
MIN_SERVED = 30  # of the requests that come in the first half of the stop


class Call(NamedTuple):
    """A request and its answer as the caller saw it; status 0 stands for no answer."""

    request_id: str
    path: str
    sent_at: float
    status: int
    whole: bool
    headers: dict[bytes, bytes]


async def call_once(world, stream, path):
    """Send a request and return what came of it."""
    sent_at = time.monotonic()
    deadline = {"tanagertrail_deadline_ms": "10000"}
    request_id = world.send(stream, path, b"" if path == "/look/1" else b"order", **deadline)
    try:
        reply = await world.read(stream)
    except Exception:
        return Call(request_id, path, sent_at, 0, False, {})
    return Call(request_id, path, sent_at, reply.status, reply.whole, reply.headers)


async def call_until_gone(world, path, calls):
    """Send one request after another to a daemon until it takes no connection any more."""
    while True:
        try:
            stream = await world.connect()
        except OSError:
            return
        is_open = True
        while is_open:
            call = await call_once(world, stream, path)
            calls.append(call)
            is_open = call.whole and call.headers.get(b"connection") != b"close"
            await asyncio.sleep(float(call.headers.get(b"retry-after", b"0")))
        stream.abort()


async def play_stop(world, paths):
    """Stop the daemon under callers who go on asking it; return their calls and the time."""
    calls = []
    tasks = []
    for path in paths:
        tasks.append(asyncio.create_task(call_until_gone(world, path, calls)))
        await asyncio.sleep(STAGGER_SECONDS)
    await asyncio.sleep(WARM_SECONDS)
    stopped_at = time.monotonic()
    await world.node.stop()
    await asyncio.gather(*tasks)
    return calls, stopped_at


def list_runs(world):
    """Return the ids of the requests that an upstream began to run."""
    return {record.request_id for upstream in world.upstreams for record in upstream.runs}


def is_cut(call, runs):
    """Return whether a request was passed on, and its answer is missing, broken off or 504."""
    return call.request_id in runs and not (call.whole and call.status == 200)


def describe(calls, stopped_at):
    """Return path, seconds from the stop to the request, and status of each call."""
    return sorted((c.path, round(c.sent_at - stopped_at, 1), c.status) for c in calls)


async def open_patient_world(test):
    """Run a test in a world whose requests last for a while."""
    async with open_world(build_config(routes=ROUTES)) as world:
        bounds = world.node.settings.bounds._replace(grace=GRACE_SECONDS)
        world.node.settings = world.node.settings._replace(bounds=bounds)
        for upstream in world.upstreams:
            upstream.work = WORK_SECONDS
        await test(world)


@run_in_real_time
async def test_late_requests_are_not_accepted_and_cut():
    """Requests that came from 3 s after SIGTERM on were passed on and cut at its end."""

    async def test(world):
        calls, stopped_at = await play_stop(world, PATHS * 3)
        runs = list_runs(world)
        cut = [call for call in calls if is_cut(call, runs)]
        assert not cut, f"{len(cut)} of {len(calls)} calls: {describe(cut, stopped_at)}"
        late = [call for call in calls if call.sent_at - stopped_at > LATE_SECONDS]
        refused = [call for call in late if call.status == 503]
        assert any(call.path == "/once/a/events" for call in refused)
        for call in refused:
            assert call.request_id not in runs
            assert call.headers[b"connection"] == b"close"
            assert float(call.headers[b"retry-after"]) > 0
        first_half = [call for call in calls if 0 < call.sent_at - stopped_at < GRACE_SECONDS / 2]
        assert sum(call.status == 200 for call in first_half) >= MIN_SERVED

    await open_patient_world(test)


@run_in_real_time
async def test_requests_are_cut_when_upstreams_turn_slower_within_a_stop():
    """The lengths of those before made late requests look short: LOST on kumo-dial."""

    async def test(world):
        def set_work(seconds):
            for upstream in world.upstreams:
                upstream.work = seconds

        set_work(0.005)
        until_slow = WARM_SECONDS + len(PATHS) * STAGGER_SECONDS + LATE_SECONDS + 1.0
        asyncio.get_running_loop().call_later(until_slow, set_work, GRACE_SECONDS)
        calls, stopped_at = await play_stop(world, PATHS)
        cut = [call for call in calls if is_cut(call, list_runs(world))]
        assert not cut, describe(cut, stopped_at)
        served = [call for call in calls if call.status == 200]
        assert len(served) >= 20 * len(PATHS), "too few lengths for a forecast"

    await open_patient_world(test)


@run_in_real_time
async def test_order_of_unknown_length_is_refused_late_in_a_stop():
    """Orders that may run only once were run late in a stop, and answered 504 at its end."""

    async def test(world):
        for upstream in world.upstreams:
            upstream.work = 4.5
        stopping = asyncio.create_task(world.node.stop())
        await asyncio.sleep(LATE_SECONDS + 0.3)
        reply = await world.fetch("/book/1", b"order", tanagertrail_deadline_ms="9000")
        assert (reply.status, reply.headers[b"connection"]) == (503, b"close"), reply
        assert not list_runs(world)
        await stopping

    await open_patient_world(test)
