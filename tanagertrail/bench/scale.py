"""Experiment: slopes of control traffic, store calls, CPU and memory with the number of daemons."""

__all__ = ["ScaleResult", "SpreadResult", "run_scale", "run_spread"]

import asyncio
import time
import tracemalloc
from typing import NamedTuple

from tanagertrail.bench.limits import count_sent
from tanagertrail.model import FailureDomain
from tanagertrail.policy.membership import MemberState
from tanagertrail.policy.tickets import Ticket
from tanagertrail.testing import DOMAINS, Cluster

QUIET_SECONDS = 20.0
BURST_TICKETS = 25
BURST_RATE = 5.0
STEP_SECONDS = 0.05
LIMIT_SECONDS = 30.0
STORE_CALLS_PER_SECOND = 2000.0


class ScaleResult(NamedTuple):
    """Costs of a quiet fleet.

    :ivar bytes_per_second: control bytes that a daemon sends
    :ivar cpu_percent: share of a core that a daemon's periodic work takes
    :ivar kilobytes: memory of one core's state
    :ivar store_calls: store calls of the whole fleet a second
    :ivar degree: largest number of neighbours
    """

    daemons: int
    upstreams: int
    bytes_per_second: float
    cpu_percent: float
    kilobytes: float
    store_calls: float
    store_peak: int
    degree: int


class SpreadResult(NamedTuple):
    """How news spreads.

    :ivar ticket_worst: seconds until the slowest ticket of a burst was in force everywhere
    :ivar death_seen: seconds until no daemon's answers named a killed one
    """

    daemons: int
    ticket_worst: float
    store_peak: int
    death_seen: float


async def build_quiet(daemons: int, upstreams: int) -> Cluster:
    """Start a fleet and let it settle."""
    cluster = Cluster(daemons=daemons, replicas=upstreams, slots=8, cold_slots=2)
    await cluster.start()
    await asyncio.sleep(QUIET_SECONDS / 2)
    return cluster


async def run_scale(daemons: int, upstreams: int) -> ScaleResult:
    """Measure a quiet fleet."""
    tracemalloc.start()
    cluster = await build_quiet(daemons, upstreams)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    sent = count_sent(cluster)
    calls = cluster.store.calls.total()
    cluster.store.peak_calls_per_second = 0
    cpu = time.process_time()
    await asyncio.sleep(QUIET_SECONDS)
    cpu = time.process_time() - cpu
    return ScaleResult(
        daemons,
        upstreams,
        (count_sent(cluster) - sent) / QUIET_SECONDS / daemons,
        cpu / QUIET_SECONDS / daemons * 100,
        held / 1000 / daemons,
        (cluster.store.calls.total() - calls) / QUIET_SECONDS,
        cluster.store.peak_calls_per_second,
        max(len(node.context.neighbours) for node in cluster.nodes.values()),
    )


async def run_spread(daemons: int, upstreams: int) -> SpreadResult:
    """Measure a burst of tickets and the death of a daemon."""
    cluster = await build_quiet(daemons, upstreams)
    cluster.store.faults.calls_per_second = STORE_CALLS_PER_SECOND
    cluster.store.peak_calls_per_second = 0
    worst = await measure_burst(cluster)
    peak = cluster.store.peak_calls_per_second
    return SpreadResult(daemons, worst, peak, await measure_death(cluster))


async def measure_burst(cluster: Cluster) -> float:
    """Commit a burst of tickets and return the worst time until one is in force everywhere."""
    loop = asyncio.get_running_loop()
    committed: dict[int, float] = {}
    waits: dict[int, float] = {}

    async def commit(index: int) -> None:
        state = "out" if index % 2 else "in"
        ticket = Ticket(failure_domains={DOMAINS[index % 4]: FailureDomain(state=state)})
        began = loop.time()
        outcome = await cluster.first_node.commit_ticket(ticket)
        committed[outcome.number] = began

    tasks = []
    for index in range(BURST_TICKETS):
        tasks.append(asyncio.create_task(commit(index)))
        await asyncio.sleep(1 / BURST_RATE)
        note_in_force(cluster, committed, waits)
    await asyncio.gather(*tasks)
    end = loop.time() + LIMIT_SECONDS
    while len(waits) < BURST_TICKETS and loop.time() < end:
        await asyncio.sleep(STEP_SECONDS)
        note_in_force(cluster, committed, waits)
    return max(waits.values()) if len(waits) == BURST_TICKETS else float("inf")


def note_in_force(cluster: Cluster, committed: dict[int, float], waits: dict[int, float]) -> None:
    """Note which committed tickets are in force everywhere by now."""
    now = asyncio.get_running_loop().time()
    lowest = min(node.configuration.current.number for node in cluster.nodes.values())
    for number, began in committed.items():
        if number <= lowest and number not in waits:
            waits[number] = now - began


async def measure_death(cluster: Cluster) -> float:
    """Kill a daemon and return the seconds until no other holds it for live."""
    loop = asyncio.get_running_loop()
    name = list(cluster.nodes)[len(cluster.nodes) // 2]
    await cluster.kill_node(name)
    began = loop.time()
    while loop.time() < began + LIMIT_SECONDS:
        states = [node.members.membership.members.get(name) for node in cluster.nodes.values()]
        if all(state is None or state.state is not MemberState.LIVE for state in states):
            return loop.time() - began
        await asyncio.sleep(STEP_SECONDS)
    return float("inf")
