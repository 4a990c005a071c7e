"""HTTP pages that a daemon serves to the platform and its clients."""

__all__ = ["DirectoryPage", "MetricsPage", "Page", "PageResponse", "ReadyPage"]

import asyncio
import json
from collections.abc import Callable
from typing import NamedTuple
from urllib.parse import parse_qsl

JSON_TYPE = b"application/json"
TEXT_TYPE = b"text/plain; version=0.0.4"


class PageResponse(NamedTuple):
    """Status, content type and body of a page."""

    status: int
    content_type: bytes
    body: bytes


class Page:
    """A page at one path; requests for any other path get status 404."""

    path = ""

    async def handle(self, path: str, query: str) -> PageResponse:
        """Respond to a request."""
        if path.rstrip("/") != self.path:
            return build_json_response(404, {"error": "unknown path"})
        return await self.render(dict(parse_qsl(query)))

    async def render(self, query: dict[str, str]) -> PageResponse:
        """Build the page from its query parameters."""
        raise NotImplementedError


class DirectoryPage(Page):
    """Tells callers which daemons to send requests to.

    :ivar list_addresses: returns the daemons' addresses for a caller's failure domain
    :ivar ttl_seconds: seconds for which a caller may cache the response
    """

    path = "/tanagertrail/resolve"

    def __init__(self, list_addresses: Callable[[str], list[str]], ttl_seconds: float) -> None:
        self.list_addresses = list_addresses
        self.ttl_seconds = ttl_seconds

    async def render(self, query: dict[str, str]) -> PageResponse:
        """List the addresses of serving daemons; the status is 503 if there are none."""
        addresses = self.list_addresses(query.get("zone", ""))
        status = 200 if addresses else 503
        return build_json_response(status, {"addresses": addresses, "ttl_s": self.ttl_seconds})


class ReadyPage(Page):
    """Tells whether the daemon accepts callers' requests."""

    path = "/tanagertrail/ready"

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self.is_ready = is_ready

    async def render(self, query: dict[str, str]) -> PageResponse:
        """Respond with status 200 if the daemon is ready, else 503."""
        ready = self.is_ready()
        return build_json_response(200 if ready else 503, {"ready": ready})


class MetricsPage(Page):
    """Serves all metrics as text, rendered in a thread to keep the event loop free."""

    path = "/metrics"

    def __init__(self, render_text: Callable[[], bytes]) -> None:
        self.render_text = render_text

    async def render(self, query: dict[str, str]) -> PageResponse:
        """Render all metrics."""
        return PageResponse(200, TEXT_TYPE, await asyncio.to_thread(self.render_text))


def build_json_response(status: int, document: object) -> PageResponse:
    """Build a response with a JSON document as its body."""
    return PageResponse(status, JSON_TYPE, json.dumps(document).encode())
