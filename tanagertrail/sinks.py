"""Sinks that take the bytes of a streamed answer."""

__all__ = ["BaseSink", "MemorySink"]

import asyncio


class BaseSink:
    """Contract of a sink: it takes bytes at once and says when it is full or closed."""

    closed: bool = False

    def write(self, data: bytes) -> None:
        """Take bytes of the answer's body."""
        raise NotImplementedError

    def write_chunk(self, chunk: bytes, start: int) -> None:
        """Take one whole HTTP chunk, whose body begins at a position."""
        self.write(chunk[start:-2])

    @property
    def full(self) -> bool:
        """Whether the writer should wait for :meth:`drain`."""
        return False

    async def drain(self) -> None:
        """Wait until the sink is no longer full."""


class MemorySink(BaseSink):
    """Keep the bytes of an answer in memory."""

    def __init__(self) -> None:
        self.chunks: list[bytes] = []
        self.times: list[float] = []

    def write(self, data: bytes) -> None:
        """Keep bytes and the time at which they came."""
        self.chunks.append(data)
        self.times.append(asyncio.get_running_loop().time())

    @property
    def body(self) -> bytes:
        """Return all bytes so far."""
        return b"".join(self.chunks)
