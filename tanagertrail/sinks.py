"""Sinks that receive the body of a streamed response."""

__all__ = ["BaseSink", "MemorySink"]

import asyncio


class BaseSink:
    """Interface of a sink: writes never block, and :attr:`full` signals backpressure.

    :ivar closed: whether the receiver is gone
    """

    closed: bool = False

    def write(self, data: bytes) -> None:
        """Write bytes of the response body."""
        raise NotImplementedError

    def write_chunk(self, chunk: bytes, start: int) -> None:
        """Write the data of one complete HTTP chunk.

        :param chunk: the chunk with its size line and trailing CRLF
        :param start: position at which its data begins
        """
        self.write(chunk[start:-2])

    @property
    def full(self) -> bool:
        """Whether the writer should wait in :meth:`drain` before it writes more."""
        return False

    async def drain(self) -> None:
        """Wait until the sink is no longer full."""


class MemorySink(BaseSink):
    """Sink that keeps the response body in memory.

    :ivar times: event loop time of each write
    """

    def __init__(self) -> None:
        self.chunks: list[bytes] = []
        self.times: list[float] = []

    def write(self, data: bytes) -> None:
        """Store bytes and the time of the write."""
        self.chunks.append(data)
        self.times.append(asyncio.get_running_loop().time())

    @property
    def body(self) -> bytes:
        """Return all bytes written so far."""
        return b"".join(self.chunks)
