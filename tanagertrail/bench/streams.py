"""A load of streamed answers over real sockets, and the gaps between their tokens."""

__all__ = ["StreamLoad", "StreamResult", "read_cpu_seconds", "read_rss_bytes", "run_stream_load"]

import asyncio
import os
from pathlib import Path
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from tanagertrail.bench.build import build_chat_body

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MAX_GAP_MICROSECONDS = 60_000_000
READ_BYTES = 65536
TOKEN_GAP_SECONDS = 0.028
DONE_MARK = b"[DONE]"
END_MARK = b"event: end"
LAST_CHUNK = b"\r\n0\r\n\r\n"


class StreamLoad(NamedTuple):
    """A load.

    :ivar streams: streams open at once
    :ivar rounds: answers that each caller asks for, one after the other
    :ivar pid: process whose CPU time is measured, 0 for none
    """

    address: str
    service: str
    streams: int
    tokens: int
    rounds: int
    pid: int = 0


class StreamResult(NamedTuple):
    """What a load measured.

    :ivar gap_p50: middle gap between tokens, in milliseconds
    :ivar cpu_per_token: CPU time of the process in microseconds
    :ivar rss: memory of the process in megabytes
    """

    streams: int
    whole: int
    tokens: int
    tokens_per_second: float
    gap_p50: float
    gap_p95: float
    gap_p99: float
    cpu_per_token: float
    rss: float


def read_cpu_seconds(pid: int) -> float:
    """Return the CPU time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def read_rss_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


class StreamCaller:
    """One caller, which asks for answers on one connection."""

    def __init__(self, load: StreamLoad, gaps: HdrHistogram) -> None:
        self.load = load
        self.gaps = gaps
        self.tokens = 0
        self.whole = 0

    async def run(self, delay: float) -> None:
        """Ask for all answers."""
        await asyncio.sleep(delay)
        host, _, port = self.load.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            for _ in range(self.load.rounds):
                writer.write(self.build_request())
                await self.read_answer(reader)
        finally:
            writer.close()

    def build_request(self) -> bytes:
        """Build an HTTP request for a streamed answer."""
        body = build_chat_body(self.load.service, self.load.tokens)
        head = (
            "POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\n"
            "Content-Type: application/json\r\nX-Service: bench\r\nX-Request-Id: bench.1\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body

    async def read_answer(self, reader: asyncio.StreamReader) -> None:
        """Read one answer to its end and note the gaps."""
        loop = asyncio.get_running_loop()
        last = 0.0
        tail = b""
        while True:
            data = await reader.read(READ_BYTES)
            if not data:
                return
            now = loop.time()
            count = data.count(b'"delta"')
            if count and last:
                self.gaps.record_value(max(int((now - last) * 1e6), 1))
            if count:
                last = now
            self.tokens += count
            tail = (tail + data)[-200:]
            if tail.endswith(LAST_CHUNK):
                self.whole += DONE_MARK in tail or END_MARK in tail
                return


async def run_stream_load(load: StreamLoad) -> StreamResult:
    """Run a load and measure it."""
    gaps = HdrHistogram(1, MAX_GAP_MICROSECONDS, 3)
    callers = [StreamCaller(load, gaps) for _ in range(load.streams)]
    loop = asyncio.get_running_loop()
    began = loop.time()
    cpu = read_cpu_seconds(load.pid) if load.pid else 0.0
    spread = load.tokens * TOKEN_GAP_SECONDS / load.streams
    await asyncio.gather(
        *(caller.run(index * spread) for index, caller in enumerate(callers)),
        return_exceptions=True,
    )
    elapsed = loop.time() - began
    tokens = sum(caller.tokens for caller in callers)
    spent = read_cpu_seconds(load.pid) - cpu if load.pid else 0.0
    return StreamResult(
        streams=load.streams,
        whole=sum(caller.whole for caller in callers),
        tokens=tokens,
        tokens_per_second=tokens / elapsed,
        gap_p50=gaps.get_value_at_percentile(50) / 1000,
        gap_p95=gaps.get_value_at_percentile(95) / 1000,
        gap_p99=gaps.get_value_at_percentile(99) / 1000,
        cpu_per_token=spent / max(tokens, 1) * 1e6,
        rss=read_rss_bytes(load.pid) / 1e6 if load.pid else 0.0,
    )
