"""Tests that requests which crash upstreams are found and quarantined across daemons."""

import asyncio

from tanagertrail.outcomes import Answered, NotRun
from tests.utils import with_cluster

CRASH_PROMPT = "crash me"


def enable_crash_marker(cluster):
    for engine in cluster.engines.values():
        engine.faults.crash_marker = CRASH_PROMPT.encode()


async def send_repeatedly(cluster, rounds):
    outcomes = []
    for _ in range(rounds):
        for node in list(cluster.nodes.values()):
            request = cluster.build_request(prompt=CRASH_PROMPT, timeout=10.0)
            outcomes.append((await cluster.send_request(request, node))[0])
    return outcomes


@with_cluster(daemons=3, replicas=6)
async def test_repeated_poison_request_crashes_at_most_two_upstreams(cluster):
    enable_crash_marker(cluster)
    outcomes = await send_repeatedly(cluster, 3)
    assert sum(engine.falls for engine in cluster.engines.values()) <= 2
    assert isinstance(outcomes[-1], NotRun)
    assert outcomes[-1].status == 422


@with_cluster(daemons=3, replicas=6)
async def test_concurrent_poison_requests_crash_at_most_two_upstreams(cluster):
    """Copies that reach several daemons at once must not each crash an upstream of their own."""
    enable_crash_marker(cluster)
    poison_requests = [
        cluster.send_request(cluster.build_request(prompt=CRASH_PROMPT, timeout=10.0), node)
        for node in list(cluster.nodes.values())
    ]
    await asyncio.gather(*poison_requests)
    assert sum(engine.falls for engine in cluster.engines.values()) <= 2


@with_cluster(daemons=3, replicas=6, slots=6)
async def test_normal_requests_beside_poison_requests_are_answered(cluster):
    enable_crash_marker(cluster)
    nodes = list(cluster.nodes.values())
    normal_requests = [
        cluster.send_request(cluster.build_request(prompt=f"dial {n}", tokens=40), nodes[n % 3])
        for n in range(30)
    ]
    poison_requests = [
        cluster.send_request(cluster.build_request(prompt=CRASH_PROMPT), node) for node in nodes
    ]
    results = await asyncio.gather(*normal_requests, *poison_requests)
    assert all(isinstance(outcome, Answered) for outcome, _ in results[:30])
    quarantined = set().union(*(node.suspects.poison_tracker.quarantined for node in nodes))
    assert len(quarantined) <= 1, "a normal request was quarantined"


@with_cluster(daemons=3, replicas=8)
async def test_wave_of_crashes_quarantines_no_request(cluster):
    """Upstreams that crash together, as in a reclaim, must not count against their requests."""
    nodes = list(cluster.nodes.values())
    pending = [
        cluster.send_request(cluster.build_request(prompt=f"dial {n}", tokens=60), nodes[n % 3])
        for n in range(16)
    ]
    running = asyncio.gather(*pending)
    await asyncio.sleep(0.6)
    for name in ("dial-1", "dial-5", "dial-2", "dial-6"):
        cluster.engines[name].crash()
    results = await running
    assert all(isinstance(outcome, Answered) for outcome, _ in results)
    assert not any(node.suspects.poison_tracker.quarantined for node in nodes)


@with_cluster(daemons=1, replicas=2, slots=1)
async def test_suspect_is_refused_by_its_deadline(cluster):
    """Waiting for the preferred upstream must not outlast a suspect's deadline.

    In the scenario full_outage two suspects were answered 0.16 s after their deadline.
    """
    (node,) = cluster.nodes.values()
    occupying_tasks = [
        asyncio.create_task(
            cluster.send_request(cluster.build_request(prompt=name, tokens=200), node)
        )
        for name in ("first", "second")
    ]
    await asyncio.sleep(0.5)
    request = cluster.build_request(prompt=CRASH_PROMPT, timeout=0.2)
    fingerprint = node.suspects.get_fingerprint(request)
    node.suspects.poison_tracker.crashes[fingerprint] = {("dial-9", 0.0)}
    outcome, _ = await cluster.send_request(request, node)
    now = asyncio.get_running_loop().time()
    assert isinstance(outcome, NotRun)
    assert now <= request.deadline + 0.1
    for task in occupying_tasks:
        task.cancel()
