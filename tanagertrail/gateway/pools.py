"""Pools of idle connections to upstreams."""

__all__ = ["ConnectionPools"]

import asyncio

from tanagertrail.gateway.channel import open_channel
from tanagertrail.gateway.upstream_stream import UpstreamStream

CONNECT_SECONDS = 0.4  # upstreams in other failure domains answer in milliseconds
MAX_IDLE_SECONDS = 4.0  # shorter than the idle timeouts of upstreams that do not announce theirs
KEEPALIVE_MARGIN_SECONDS = 1.0  # before the announced idle timeout
MAX_IDLE_PER_UPSTREAM = 16


class ConnectionPools:
    """Pools of idle connections.

    :ivar idle: idle connections by upstream id, the last used one last
    :ivar opened_count: connections opened so far
    """

    def __init__(self) -> None:
        self.idle: dict[str, list[UpstreamStream]] = {}
        self.opened_count = 0

    def acquire(self, upstream_id: str) -> UpstreamStream | None:
        """Take an idle connection that is still open out of the pool, None if there is none."""
        now = asyncio.get_running_loop().time()
        streams = self.idle.get(upstream_id, [])
        while streams:
            stream = streams.pop()
            if stream.reusable and now < stream.idle_since + self.get_idle_limit(stream):
                return stream
            stream.abort()
        return None

    async def open(self, address: str, timeout: float = CONNECT_SECONDS) -> UpstreamStream:
        """Open a new connection.

        :raises OSError: if it cannot be opened
        :raises TimeoutError: if that takes too long
        """
        host, _, port = address.rpartition(":")
        self.opened_count += 1
        return UpstreamStream(await open_channel(host, int(port), timeout))

    def release(self, upstream_id: str, stream: UpstreamStream) -> None:
        """Return a connection to the pool if it can be reused, else close it."""
        streams = self.idle.setdefault(upstream_id, [])
        if not stream.reusable or len(streams) >= MAX_IDLE_PER_UPSTREAM:
            stream.abort()
            return
        stream.idle_since = asyncio.get_running_loop().time()
        streams.append(stream)

    def get_idle_limit(self, stream: UpstreamStream) -> float:
        """Return the seconds for which a connection may be idle and still be reused."""
        if stream.keep_for is None:
            return MAX_IDLE_SECONDS
        return max(min(MAX_IDLE_SECONDS, stream.keep_for - KEEPALIVE_MARGIN_SECONDS), 0.0)

    def close_idle(self, upstream_id: str) -> None:
        """Close the idle connections of an upstream."""
        for stream in self.idle.pop(upstream_id, []):
            stream.abort()

    def close_expired(self) -> None:
        """Close connections that were idle for too long or that the upstream has closed."""
        now = asyncio.get_running_loop().time()
        for upstream_id, streams in list(self.idle.items()):
            usable = []
            for stream in streams:
                if stream.reusable and now < stream.idle_since + self.get_idle_limit(stream):
                    usable.append(stream)
                else:
                    stream.abort()
            if usable:
                self.idle[upstream_id] = usable
            else:
                del self.idle[upstream_id]

    def close(self) -> None:
        """Close all idle connections."""
        for upstream_id in list(self.idle):
            self.close_idle(upstream_id)
