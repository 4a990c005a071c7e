"""Connections to upstreams that are kept for further requests."""

__all__ = ["ConnectionPools"]

import asyncio

from tanagertrail.gateway.channel import open_channel
from tanagertrail.gateway.http1 import UpstreamStream

CONNECT_SECONDS = 0.4  # a failure domain away answers in milliseconds
MAX_IDLE_SECONDS = 4.0  # shorter than idle time-outs that upstreams do not announce
KEEP_MARGIN_SECONDS = 1.0
MAX_IDLE_PER_UPSTREAM = 16


class ConnectionPools:
    """Idle connections by the upstream's id."""

    def __init__(self) -> None:
        self.idle: dict[str, list[UpstreamStream]] = {}
        self.opened_count = 0

    def acquire(self, upstream_id: str) -> UpstreamStream | None:
        """Take a kept connection that still stands."""
        now = asyncio.get_running_loop().time()
        streams = self.idle.get(upstream_id, [])
        while streams:
            stream = streams.pop()
            if stream.reusable and now < stream.idle_since + self.limit_idle(stream):
                return stream
            stream.abort()
        return None

    async def open(self, address: str, timeout: float = CONNECT_SECONDS) -> UpstreamStream:
        """Open a new connection.

        :raises OSError: if it cannot be made in time
        """
        host, _, port = address.rpartition(":")
        self.opened_count += 1
        return UpstreamStream(await open_channel(host, int(port), timeout))

    def release(self, upstream_id: str, stream: UpstreamStream) -> None:
        """Keep a connection whose answer was read to its end, or close it."""
        streams = self.idle.setdefault(upstream_id, [])
        if not stream.reusable or len(streams) >= MAX_IDLE_PER_UPSTREAM:
            stream.abort()
            return
        stream.idle_since = asyncio.get_running_loop().time()
        streams.append(stream)

    def limit_idle(self, stream: UpstreamStream) -> float:
        """Return the seconds for which a connection may stay idle."""
        if stream.keep_for is None:
            return MAX_IDLE_SECONDS
        return max(min(MAX_IDLE_SECONDS, stream.keep_for - KEEP_MARGIN_SECONDS), 0.0)

    def close_idle(self, upstream_id: str) -> None:
        """Close the kept connections of an upstream that is gone."""
        for stream in self.idle.pop(upstream_id, []):
            stream.abort()

    def close_expired(self) -> None:
        """Close the connections that have been idle for too long."""
        now = asyncio.get_running_loop().time()
        for upstream_id, streams in list(self.idle.items()):
            kept = []
            for stream in streams:
                if stream.reusable and now < stream.idle_since + self.limit_idle(stream):
                    kept.append(stream)
                else:
                    stream.abort()
            if kept:
                self.idle[upstream_id] = kept
            else:
                del self.idle[upstream_id]

    def close(self) -> None:
        """Close all connections."""
        for upstream_id in list(self.idle):
            self.close_idle(upstream_id)
