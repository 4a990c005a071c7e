"""Crowds of callers outside the limits, played against a gateway process with low limits.

Only life, memory, descriptors and one later answer are checked, no times and no share of answers.
"""

import asyncio
import contextlib
import functools
import os
import re
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

from tanagertrail.gateway.channel import open_channel
from tanagertrail.gateway.http1 import CallerRequest, CallerStream
from tanagertrail.gateway.upstream_stream import UpstreamStream
from tanagertrail.platform.records import CONFIGURATION
from tanagertrail.soak.world import SoakUpstream, SoakWorld
from tanagertrail.standins.documents import build_document
from tanagertrail.standins.ports import HOST

MEGABYTE = 1_000_000
MEMORY_MB = 96  # of which a daemon without callers takes some 42
MAX_DESCRIPTORS = 400
BODY_BYTES = 2_097_152  # largest body
CROWD = 64  # their bodies alone are more than the memory
CONNECTIONS = 500  # more than the descriptors
TEST_SECONDS = 60.0
SEND_SECONDS = 4.0  # for one caller to send, since the daemon may stop to read
PAUSE = b""
PAUSE_SECONDS = 1.0  # until all callers have sent what comes before
LAST_CHUNK = b"0\r\n"  # lacks the empty line at the end
HEAD = b"POST /book/1 HTTP/1.1\r\nhost: desk.example\r\napi-key: key-guild\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
LARGE_CHUNK = b"10000\r\n" + bytes(0x10000) + b"\r\n"
LARGE_CHUNKS = BODY_BYTES // 0x10000
SMALL_CHUNKS = b"1\r\na\r\n" * 200_000
LONG_ANSWER = bytes(900_000)  # below the longest that a daemon takes from an upstream
PIPELINED = 12  # requests that a caller sends before it reads an answer


class LongAnswerUpstream(SoakUpstream):
    """An upstream whose plain answers are long."""

    def answer(self, request: CallerRequest, stream: CallerStream) -> None:
        """Answer a plain request at length, unless it asks for a short answer."""
        body = b"short" if request.path.endswith("/short") else LONG_ANSWER
        stream.send_response(200, self.sign(request), body)


class CrowdWorld(SoakWorld):
    """A daemon with low limits.

    :ivar most_open: largest number of open descriptors that was seen
    """

    upstream_type = LongAnswerUpstream

    def __init__(self, folder: Path) -> None:
        super().__init__(1, 1, 1, folder)
        self.most_open = 0
        self.callers: list[asyncio.StreamWriter] = []

    def put_config(self) -> None:
        """Store a configuration with a low limit on bodies."""
        document = build_document(self.version, self.extra_routes, self.keys)
        document["limits"] = {"max_body_bytes": BODY_BYTES}
        self.store.put(CONFIGURATION, "main", document)

    async def add_daemons(self, store_port: int, cloud_port: int) -> None:
        """Build the daemon, on a small machine."""
        await super().add_daemons(store_port, cloud_port)
        path = self.daemons[0].settings_path
        text = re.sub("memory_mb = .*", f"memory_mb = {MEMORY_MB}", path.read_text())
        path.write_text(re.sub("max_fds = .*", f"max_fds = {MAX_DESCRIPTORS}", text))

    @property
    def process_folder(self) -> Path:
        """The folder of the daemon's process in the system's table."""
        return Path(f"/proc/{self.daemons[0].process.pid}")

    def read_peak_memory(self) -> int:
        """Return the largest resident memory of the daemon so far in bytes."""
        status = (self.process_folder / "status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) * 1024

    async def watch_descriptors(self) -> None:
        """Note the number of open descriptors again and again."""
        while self.daemons[0].running:
            self.most_open = max(self.most_open, len(os.listdir(self.process_folder / "fd")))
            await asyncio.sleep(0.02)

    async def play(self, count: int, *parts: bytes) -> None:
        """Let callers send parts at the same time, and keep their connections open."""
        await asyncio.gather(*(self.send(parts) for _ in range(count)))

    async def send(self, parts: tuple[bytes, ...]) -> None:
        """Send as one caller, as long as the daemon reads and keeps the connection."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(SEND_SECONDS):
                port = self.daemons[0].ports.front
                _, writer = await asyncio.open_connection(HOST, port, limit=1024)
                self.callers.append(writer)
                for part in parts:
                    if part is PAUSE:
                        await asyncio.sleep(PAUSE_SECONDS)
                    writer.write(part)
                    await writer.drain()

    async def await_answer(self) -> None:
        """Wait until the daemon knows its configuration and upstreams."""
        while (await self.fetch())[0] != 200:
            await asyncio.sleep(0.1)

    async def check(self) -> None:
        """Check that the daemon lives within its limits and answers an ordinary request."""
        status, body = await self.fetch()
        peak = self.read_peak_memory()
        seen = f"peak {peak / MEGABYTE:.0f} MB, {self.most_open} descriptors, {status} {body}"
        print(seen, end=" ")
        assert self.daemons[0].running, seen
        assert peak <= MEMORY_MB * MEGABYTE, seen
        assert self.most_open <= MAX_DESCRIPTORS, seen
        assert status == 200, seen

    async def fetch(self) -> tuple[int, bytes]:
        """Send an ordinary request, and return status and body of the answer."""
        stream = UpstreamStream(await open_channel(HOST, self.daemons[0].ports.front, 5.0))
        fields = [(b"host", b"desk.example"), (b"api-key", b"key-guild")]
        fields.append((b"tanagertrail-request-id", b"ordinary"))
        stream.send_request(b"GET", b"/look/short", fields, b"")
        try:
            head = await stream.read_head()
            return head.status, await stream.read_remaining_body(1024)
        finally:
            stream.abort()


Play = Callable[[CrowdWorld], Awaitable[None]]


def with_crowd(play: Play) -> Callable[[], None]:
    """Play a crowd against a daemon, and check the daemon while the crowd is still connected."""

    async def run_in_world() -> None:
        with tempfile.TemporaryDirectory() as folder:
            world = CrowdWorld(Path(folder))
            try:
                async with asyncio.timeout(TEST_SECONDS):
                    await world.start()
                    await world.await_answer()
                    watch = asyncio.create_task(world.watch_descriptors())
                    try:
                        await play(world)
                        await world.check()
                    finally:
                        watch.cancel()
            finally:
                for writer in world.callers:
                    writer.transport.abort()
                await world.close()

    @functools.wraps(play)
    def run() -> None:
        asyncio.run(run_in_world())

    del run.__wrapped__  # else the test seems to take the world as a parameter
    return run


@with_crowd
async def test_bodies_that_are_announced_over_the_limit(world):
    """Bodies that are refused by their announced length must not be held while they arrive."""
    head = HEAD + b"content-length: %d\r\n\r\n" % (8 * BODY_BYTES)
    await world.play(CROWD, head, *[LARGE_CHUNK] * 4 * LARGE_CHUNKS)


@with_crowd
async def test_bodies_that_are_sent_over_the_limit(world):
    """Each body was held up to the limit, whatever others held."""
    parts = [LARGE_CHUNK] * (LARGE_CHUNKS - 1)
    await world.play(CROWD, CHUNKED, *parts, PAUSE, *parts)


@with_crowd
async def test_bodies_in_large_chunks_that_lack_their_end(world):
    """Open bodies within the limit on each of them held more than the machine has."""
    await world.play(CROWD, CHUNKED, *[LARGE_CHUNK] * (LARGE_CHUNKS - 1), LAST_CHUNK)


@with_crowd
async def test_bodies_that_lack_their_last_byte(world):
    """Open bodies with an announced length held more than the machine has."""
    head = HEAD + b"content-length: %d\r\n\r\n" % BODY_BYTES
    await world.play(CROWD, head, *[LARGE_CHUNK] * (LARGE_CHUNKS - 1))


@with_crowd
async def test_bodies_in_very_small_chunks_that_lack_their_end(world):
    """An object for each chunk took many times the bytes of the body."""
    await world.play(8, CHUNKED, SMALL_CHUNKS, LAST_CHUNK)


@with_crowd
async def test_many_half_heads(world):
    """Connections with a part of a head took all descriptors."""
    await world.play(CONNECTIONS, HEAD + b"field: " + b"x" * 8000)


@with_crowd
async def test_many_idle_connections(world):
    """Connections without a request took all descriptors."""
    await world.play(CONNECTIONS)


@with_crowd
async def test_callers_that_do_not_read_their_answers(world):
    """Answers to pipelined requests were held while nothing was read, whatever others held."""
    request = b"GET /look/%d HTTP/1.1\r\nhost: desk.example\r\napi-key: key-guild\r\n"
    request += b"tanagertrail-request-id: unread-%d\r\n\r\n"
    requests = b"".join(request % (number, number) for number in range(PIPELINED))
    await world.play(16, requests)
    await asyncio.sleep(2.0)  # for the upstream to answer
