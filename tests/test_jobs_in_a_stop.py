"""Tests that a planned stop cuts no job whose call must run at most once."""

import asyncio

from tanagertrail.core.jobs import LATE_CALL_SECONDS
from tanagertrail.policy.journals import JobState
from tests.utils import with_cluster

CALL_SECONDS = 4.0
DRAIN_SECONDS = 1.0
TAKEOVER_SECONDS = 30.0


def slow_calls(cluster):
    """Let each call to an upstream take a while."""
    for engine in cluster.engines.values():
        engine.faults.slow = CALL_SECONDS / engine.settings.service_time


async def stop_daemon(cluster, node):
    """Stop a daemon as SIGTERM does."""
    await node.drain(address_ttl_seconds=DRAIN_SECONDS)
    await node.stop()


async def find_ended(node, job_id):
    """Return a job once it has ended."""
    async with asyncio.timeout(TAKEOVER_SECONDS):
        while (view := await node.jobs.find_job(job_id)) is None or view.state not in (
            JobState.DONE,
            JobState.FAILED,
        ):
            await asyncio.sleep(0.1)
    return view


@with_cluster(daemons=3)
async def test_call_of_a_job_is_not_cut_by_the_stop_of_its_daemon(cluster):
    first, second, _ = cluster.nodes.values()
    slow_calls(cluster)
    view = await first.accept_job(cluster.build_records_request("/bookings", "POST"))
    await asyncio.sleep(1.0)
    await stop_daemon(cluster, first)
    ended = await find_ended(second, view.job_id)
    assert (ended.state, ended.status) == (JobState.DONE, 200), ended
    assert sum(engine.executions.total() for engine in cluster.engines.values()) == 1


@with_cluster(daemons=3)
async def test_call_of_a_job_that_comes_during_a_drain_is_made_by_another_daemon(cluster):
    first, second, _ = cluster.nodes.values()
    slow_calls(cluster)
    stopping = asyncio.create_task(stop_daemon(cluster, first))
    await asyncio.sleep(DRAIN_SECONDS / 2)
    request = cluster.build_records_request("/bookings", "POST", timeout=60.0)
    view = await first.accept_job(request)
    await stopping
    ended = await find_ended(second, view.job_id)
    assert (ended.state, ended.status) == (JobState.DONE, 200), ended
    assert sum(engine.executions.total() for engine in cluster.engines.values()) == 1


@with_cluster(daemons=3)
async def test_call_that_can_not_be_recorded_does_not_hold_up_a_drain_for_good(cluster):
    first, *_ = cluster.nodes.values()
    slow_calls(cluster)
    await first.accept_job(cluster.build_records_request("/bookings", "POST", timeout=6.0))
    await asyncio.sleep(1.0)
    cluster.store.faults.outage = True
    async with asyncio.timeout(6.0 + LATE_CALL_SECONDS):
        await first.drain(address_ttl_seconds=DRAIN_SECONDS)
