"""The server that all stand-ins share."""

__all__ = ["BaseStandIn"]

import asyncio

from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.http1 import CallerRequest, CallerStream
from tanagertrail.gateway.http_server import DEFAULT_LIMITS, HttpServer


class BaseStandIn:
    """Listen for requests and have them handled."""

    def __init__(self, name: str) -> None:
        log = EventLog(name, asyncio.get_running_loop().time)
        self.server = HttpServer(self.handle, lambda: DEFAULT_LIMITS, log)

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        await self.server.start(host, port)

    def close(self) -> None:
        """Stop listening."""
        self.server.close()

    async def handle(self, request: CallerRequest, stream: CallerStream) -> None:
        """Answer a request."""
        raise NotImplementedError
