"""Crowds of callers outside the limits, at one daemon."""

__all__: list[str] = []

import asyncio
import contextlib
from typing import NamedTuple

from tanagertrail.soak.faults import pick_daemon
from tanagertrail.soak.plan import Fault, register_fault
from tanagertrail.soak.world import SoakWorld
from tanagertrail.standins.documents import HOST_NAME
from tanagertrail.standins.ports import HOST

BODY_BYTES = 4_194_304  # the largest that daemons accept
PART_BYTES = 65_536
HEAD = b"POST /book/x HTTP/1.1\r\nhost: %s\r\n" % HOST_NAME.encode()
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
STATED = HEAD + b"content-length: %d\r\n\r\n" % BODY_BYTES
UNREAD_BYTES = 1024  # of a caller's buffer, since it reads nothing


class Crowd(NamedTuple):
    """Callers that send the same and keep their connections open.

    :ivar head: what each sends first
    :ivar part: what each sends again and again
    :ivar repeats: how many times
    """

    callers: int
    head: bytes
    part: bytes = b""
    repeats: int = 0


# None of their requests is complete, so that none may run. Together they exceed what a daemon of
# the soak gives to bodies (40 MB), or its connections (358).
CROWDS = (
    Crowd(16, STATED, bytes(PART_BYTES), BODY_BYTES // PART_BYTES - 1),
    Crowd(16, CHUNKED, b"10000\r\n" + bytes(PART_BYTES) + b"\r\n", BODY_BYTES // PART_BYTES - 1),
    Crowd(4, CHUNKED, b"1\r\na\r\n" * 10_000, 10),
    Crowd(450, HEAD + b"field: " + b"x" * 8000),
    Crowd(450, b""),
)


async def send(port: int, crowd: Crowd, seconds: float) -> None:
    """Send as one caller, and keep the connection open until the fault ends."""
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(seconds):
            _, writer = await asyncio.open_connection(HOST, port, limit=UNREAD_BYTES)
            try:
                writer.write(crowd.head)
                for _ in range(crowd.repeats):
                    writer.write(crowd.part)
                    await writer.drain()
                await asyncio.sleep(seconds)
            finally:
                writer.transport.abort()


@register_fault("caller crowd", 2.0, 5.0, chance=0.3)
async def send_crowd(world: SoakWorld, fault: Fault) -> None:
    """Send a daemon what is outside the limits, from many callers at once."""
    daemon = pick_daemon(world, fault)
    crowd = CROWDS[fault.target % len(CROWDS)]
    await asyncio.gather(
        *(send(daemon.ports.front, crowd, fault.seconds) for _ in range(crowd.callers))
    )
