"""Pages for the platform and its clients, served from the event loop."""

__all__ = ["PageServer", "PageServers"]

from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.http1 import CallerRequest, CallerStream
from tanagertrail.gateway.http_server import DEFAULT_LIMITS, HttpServer
from tanagertrail.gateway.metrics import GatewayMetrics
from tanagertrail.platform.pages import MetricsPage, Page


class PageServer:
    """Serve one page at an address.

    Threads of a web server would take turns with the event loop that carries callers' answers, and
    cost each start the import of the server.
    """

    def __init__(self, page: Page, log: EventLog) -> None:
        self.page = page
        self.front = HttpServer(self.handle, lambda: DEFAULT_LIMITS, log)

    async def start(self, host: str, port: int) -> None:
        """Listen.

        :raises OSError: if the port is taken
        """
        await self.front.start(host, port)

    async def handle(self, request: CallerRequest, stream: CallerStream) -> None:
        """Answer a request for the page."""
        _, _, query = request.target.partition(b"?")
        answer = await self.page.answer(request.path, query.decode("latin-1"))
        headers = [(b"content-type", answer.content_type)]
        stream.send_response(answer.status, headers, answer.body)

    def close(self) -> None:
        """Close all connections."""
        self.front.close()


class PageServers:
    """The servers of a daemon's pages."""

    def __init__(self, log: EventLog) -> None:
        self.log = log
        self.servers: list[PageServer] = []

    async def serve(self, address: str, page: Page) -> None:
        """Serve a page.

        :raises OSError: if the port is taken
        """
        host, _, port = address.rpartition(":")
        server = PageServer(page, self.log)
        await server.start(host, int(port))
        self.servers.append(server)

    async def serve_metrics(self, address: str, metrics: GatewayMetrics) -> None:
        """Serve the metrics.

        :raises OSError: if the port is taken
        """
        await self.serve(address, MetricsPage(lambda: render_text(metrics)))

    def close(self) -> None:
        """Close all connections."""
        for server in self.servers:
            server.close()


def render_text(metrics: GatewayMetrics) -> bytes:
    """Return the metrics as text."""
    # Imported here since most daemons are never asked for metrics.
    from tanagertrail.gateway.exporter import render_metrics

    return render_metrics(metrics)
