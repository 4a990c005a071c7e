"""A load of address questions over kept connections."""

__all__ = ["QuestionResult", "run_questions"]

import asyncio
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from tanagertrail.bench.streams import MAX_GAP_MICROSECONDS, read_cpu_seconds

QUESTION = b"GET /v1/addresses HTTP/1.1\r\nHost: bench\r\n\r\n"


class QuestionResult(NamedTuple):
    """What the load measured.

    :ivar p95: time to the answer in milliseconds, for 95 in 100
    :ivar cpu_percent: share of a core that the process took
    """

    connections: int
    answered: int
    per_second: float
    p50: float
    p95: float
    cpu_percent: float


async def ask_repeatedly(address: str, until: float, times: HdrHistogram) -> int:
    """Ask on one connection until a time; return the number of answers."""
    loop = asyncio.get_running_loop()
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    answered = 0
    while loop.time() < until:
        began = loop.time()
        writer.write(QUESTION)
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
        await reader.readexactly(length)
        times.record_value(max(int((loop.time() - began) * 1e6), 1))
        answered += 1
    writer.close()
    return answered


async def run_questions(address: str, connections: int, seconds: float, pid: int) -> QuestionResult:
    """Ask as fast as the connections allow."""
    times = HdrHistogram(1, MAX_GAP_MICROSECONDS, 3)
    loop = asyncio.get_running_loop()
    cpu = read_cpu_seconds(pid) if pid else 0.0
    until = loop.time() + seconds
    counts = await asyncio.gather(
        *(ask_repeatedly(address, until, times) for _ in range(connections))
    )
    spent = read_cpu_seconds(pid) - cpu if pid else 0.0
    return QuestionResult(
        connections,
        sum(counts),
        sum(counts) / seconds,
        times.get_value_at_percentile(50) / 1000,
        times.get_value_at_percentile(95) / 1000,
        spent / seconds * 100,
    )
