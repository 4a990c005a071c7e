"""Pages that the platform and its clients ask of a daemon."""

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
    """A page at one path; all other paths are unknown."""

    path = ""

    async def handle(self, path: str, query: str) -> PageResponse:
        """Answer a request."""
        if path.rstrip("/") != self.path:
            return build_json_response(404, {"error": "unknown path"})
        return await self.render(dict(parse_qsl(query)))

    async def render(self, query: dict[str, str]) -> PageResponse:
        """Answer a request for the page."""
        raise NotImplementedError


class DirectoryPage(Page):
    """Tells callers which addresses to use.

    :ivar list_addresses: returns addresses for a caller's failure domain
    :ivar ttl_seconds: seconds for which the answer holds
    """

    path = "/tanagertrail/resolve"

    def __init__(self, list_addresses: Callable[[str], list[str]], ttl_seconds: float) -> None:
        self.list_addresses = list_addresses
        self.ttl_seconds = ttl_seconds

    async def render(self, query: dict[str, str]) -> PageResponse:
        """Answer with the addresses of daemons that serve."""
        addresses = self.list_addresses(query.get("zone", ""))
        status = 200 if addresses else 503
        return build_json_response(status, {"addresses": addresses, "ttl_s": self.ttl_seconds})


class ReadyPage(Page):
    """Tells whether the daemon takes callers' requests."""

    path = "/tanagertrail/ready"

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self.is_ready = is_ready

    async def render(self, query: dict[str, str]) -> PageResponse:
        """Answer 200 if the daemon is ready, else 503."""
        ready = self.is_ready()
        return build_json_response(200 if ready else 503, {"ready": ready})


class MetricsPage(Page):
    """Shows the metrics as text, put together in a thread."""

    path = "/metrics"

    def __init__(self, render_text: Callable[[], bytes]) -> None:
        self.render_text = render_text

    async def render(self, query: dict[str, str]) -> PageResponse:
        """Answer with all metrics."""
        return PageResponse(200, TEXT_TYPE, await asyncio.to_thread(self.render_text))


def build_json_response(status: int, document: object) -> PageResponse:
    """Return a JSON document as an answer."""
    return PageResponse(status, JSON_TYPE, json.dumps(document).encode())
