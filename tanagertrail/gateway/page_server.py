"""HTTP servers for the pages that the platform and its clients request."""

__all__ = ["PageServer", "PageServers"]

from tanagertrail.gateway.caller_guard import CallerGuard
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.http1 import CallerRequest, CallerStream
from tanagertrail.gateway.http_server import HttpServer
from tanagertrail.gateway.metrics import GatewayMetrics
from tanagertrail.gateway.model import Limits
from tanagertrail.platform.pages import MetricsPage, Page

PAGE_LIMITS = Limits(16_384, 16_384, 3.0, 15.0)  # requests for pages have no body to speak of


class PageServer:
    """Serve one page at an address, from the event loop.

    The threads of a web server would compete with the event loop that relays callers' answers, and
    importing the server would delay each start.
    """

    def __init__(self, page: Page, log: EventLog, guard: CallerGuard, max_connections: int) -> None:
        self.page = page
        self.http_server = HttpServer(
            self.handle, lambda: PAGE_LIMITS, log, guard, lambda: max_connections
        )

    async def start(self, host: str, port: int) -> None:
        """Start listening.

        :raises OSError: if the port is already in use
        """
        await self.http_server.start(host, port)

    async def handle(self, request: CallerRequest, stream: CallerStream) -> None:
        """Respond to a request for the page."""
        _, _, query = request.target.partition(b"?")
        answer = await self.page.handle(request.path, query.decode("latin-1"))
        headers = [(b"content-type", answer.content_type)]
        stream.send_response(answer.status, headers, answer.body)

    def close(self) -> None:
        """Close all connections."""
        self.http_server.close()


class PageServers:
    """All page servers of a daemon.

    :ivar max_connections: largest number of connections to each page, 0 for no limit
    """

    def __init__(self, log: EventLog, guard: CallerGuard, max_connections: int) -> None:
        self.log = log
        self.guard = guard
        self.max_connections = max_connections
        self.servers: list[PageServer] = []

    async def serve(self, address: str, page: Page) -> None:
        """Start to serve a page.

        :raises OSError: if the port is already in use
        """
        host, _, port = address.rpartition(":")
        server = PageServer(page, self.log, self.guard, self.max_connections)
        await server.start(host, int(port))
        self.servers.append(server)

    async def serve_metrics(self, address: str, metrics: GatewayMetrics) -> None:
        """Start to serve the metrics page.

        :raises OSError: if the port is already in use
        """
        await self.serve(address, MetricsPage(lambda: render_text(metrics)))

    @property
    def http_servers(self) -> list[HttpServer]:
        """The servers of the connections."""
        return [server.http_server for server in self.servers]

    def close(self) -> None:
        """Close all connections."""
        for server in self.servers:
            server.close()


def render_text(metrics: GatewayMetrics) -> bytes:
    """Return the metrics in the Prometheus text format."""
    # Imported here, since most daemons never get a request for metrics.
    from tanagertrail.gateway.exporter import render_metrics

    return render_metrics(metrics)
