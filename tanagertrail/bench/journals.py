"""Experiment: ways to gather the records of durable jobs into writes."""

__all__ = ["JournalResult", "run_journal"]

import asyncio
import random
from typing import NamedTuple

from tanagertrail.core.context import NodeContext
from tanagertrail.core.journal import JournalWriter
from tanagertrail.daemons.transport import MemoryNetwork
from tanagertrail.errors import PlatformError
from tanagertrail.objectapi.objects import MemoryObjectStore
from tanagertrail.policy.batching import compute_write_interval
from tanagertrail.policy.journals import JobRecord, JobState, JournalEntry
from tanagertrail.timeline.events import Recorder

STORE_LATENCY_SECONDS = 0.004
STORE_CALLS_PER_SECOND = 300.0


class JournalResult(NamedTuple):
    """What one way measured at one rate.

    :ivar latency_p50: milliseconds from append to stored
    """

    batching: str
    daemons: int
    jobs_per_second: float
    writes_per_second: float
    latency_p50: float
    latency_p95: float
    stored: int
    refused: int


class JournalLoad:
    """Append jobs to the journals of some daemons at a rate."""

    def __init__(self, batching: str, daemons: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.store = MemoryObjectStore()
        self.store.faults.latency = STORE_LATENCY_SECONDS
        self.store.faults.calls_per_second = STORE_CALLS_PER_SECOND
        self.latencies: list[float] = []
        self.refused = 0
        self.writers = [self.build_writer(f"entry-{i}", batching, daemons) for i in range(daemons)]

    def build_writer(self, name: str, batching: str, daemons: int) -> JournalWriter:
        """Build and start the journal of one daemon."""
        transport = MemoryNetwork().connect(name)
        context = NodeContext(name, "d", self.store, transport, Recorder(name))
        writer = JournalWriter(context, batching)
        writer.write_interval = lambda: compute_write_interval(daemons)
        writer.start()
        return writer

    async def append(self, number: int) -> None:
        """Append one job and note how long it took."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        record = JobRecord(f"j{number}", "c", "dial", "/v1/chat/completions", b"x" * 500, 2, 60.0)
        writer = self.rng.choice(self.writers)
        try:
            await writer.append(JournalEntry(record.job_id, JobState.ACCEPTED, record))
        except PlatformError:
            self.refused += 1
            return
        self.latencies.append(loop.time() - began)


async def run_journal(
    batching: str, daemons: int, rate: float, seconds: float = 20.0, seed: int = 1
) -> JournalResult:
    """Append jobs to the journals of a fleet at a rate."""
    load = JournalLoad(batching, daemons, seed)
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    tasks = []
    while loop.time() < end:
        await asyncio.sleep(load.rng.expovariate(rate))
        tasks.append(asyncio.create_task(load.append(len(tasks))))
    await asyncio.gather(*tasks)
    elapsed = loop.time() - end + seconds
    for writer in load.writers:
        writer.cancel()
    ranked = sorted(load.latencies)
    return JournalResult(
        batching,
        daemons,
        rate,
        sum(writer.write_count for writer in load.writers) / elapsed,
        ranked[len(ranked) // 2] * 1000,
        ranked[int(len(ranked) * 0.95)] * 1000,
        len(ranked),
        load.refused,
    )
