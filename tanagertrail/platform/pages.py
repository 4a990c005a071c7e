"""Pages that the platform and its clients ask of a daemon."""

__all__ = ["DirectoryPage", "MetricsPage", "Page", "PageAnswer", "ReadyPage"]

import asyncio
import json
from collections.abc import Callable
from typing import NamedTuple
from urllib.parse import parse_qsl

JSON_TYPE = b"application/json"
TEXT_TYPE = b"text/plain; version=0.0.4"


class PageAnswer(NamedTuple):
    """Status, content type and body of a page."""

    status: int
    content_type: bytes
    body: bytes


class Page:
    """A page at one path; all other paths are unknown."""

    path = ""

    async def answer(self, path: str, query: str) -> PageAnswer:
        """Answer a request."""
        if path.rstrip("/") != self.path:
            return answer_json(404, {"error": "unknown path"})
        return await self.render(dict(parse_qsl(query)))

    async def render(self, query: dict[str, str]) -> PageAnswer:
        """Answer a request for the page."""
        raise NotImplementedError


class DirectoryPage(Page):
    """Tells callers which addresses to use.

    :ivar list_addresses: returns addresses for a caller's failure domain
    :ivar lifetime: seconds for which the answer holds
    """

    path = "/tanagertrail/resolve"

    def __init__(self, list_addresses: Callable[[str], list[str]], lifetime: float) -> None:
        self.list_addresses = list_addresses
        self.lifetime = lifetime

    async def render(self, query: dict[str, str]) -> PageAnswer:
        """Answer with the addresses of daemons that serve."""
        addresses = self.list_addresses(query.get("zone", ""))
        status = 200 if addresses else 503
        return answer_json(status, {"addresses": addresses, "ttl_s": self.lifetime})


class ReadyPage(Page):
    """Tells whether the daemon takes callers' requests."""

    path = "/tanagertrail/ready"

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self.is_ready = is_ready

    async def render(self, query: dict[str, str]) -> PageAnswer:
        """Answer 200 if the daemon is ready, else 503."""
        ready = self.is_ready()
        return answer_json(200 if ready else 503, {"ready": ready})


class MetricsPage(Page):
    """Shows the metrics as text, put together in a thread."""

    path = "/metrics"

    def __init__(self, render_text: Callable[[], bytes]) -> None:
        self.render_text = render_text

    async def render(self, query: dict[str, str]) -> PageAnswer:
        """Answer with all metrics."""
        return PageAnswer(200, TEXT_TYPE, await asyncio.to_thread(self.render_text))


def answer_json(status: int, document: object) -> PageAnswer:
    """Return a JSON document as an answer."""
    return PageAnswer(status, JSON_TYPE, json.dumps(document).encode())
