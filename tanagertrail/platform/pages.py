"""Pages that the platform and its clients ask of a daemon, served by CherryPy."""

__all__ = ["DirectoryPage", "MetricsPage", "ReadyPage"]

from collections.abc import Callable

import cherrypy

from tanagertrail.webserver import respond_json

RESOLVE_PATH = ("tanagertrail", "resolve")
READY_PATH = ("tanagertrail", "ready")
METRICS_PATH = ("metrics",)


class Page:
    """A page at one path; all other paths are unknown."""

    path: tuple[str, ...] = ()

    @cherrypy.expose
    def default(self, *path: str, **query: str) -> bytes:
        """Answer a request."""
        if path != self.path:
            return respond_json({"error": "unknown path"}, 404)
        return self.answer(query)

    def answer(self, query: dict[str, str]) -> bytes:
        """Answer a request for the page."""
        raise NotImplementedError


class DirectoryPage(Page):
    """Tells callers which addresses to use.

    :ivar list_addresses: returns addresses for a caller's failure domain
    :ivar lifetime: seconds for which the answer holds
    """

    path = RESOLVE_PATH

    def __init__(self, list_addresses: Callable[[str], list[str]], lifetime: float) -> None:
        self.list_addresses = list_addresses
        self.lifetime = lifetime

    def answer(self, query: dict[str, str]) -> bytes:
        """Answer with the addresses of daemons that serve."""
        addresses = self.list_addresses(query.get("zone", ""))
        status = 200 if addresses else 503
        return respond_json({"addresses": addresses, "ttl_s": self.lifetime}, status)


class ReadyPage(Page):
    """Tells whether the daemon takes callers' requests."""

    path = READY_PATH

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self.is_ready = is_ready

    def answer(self, query: dict[str, str]) -> bytes:
        """Answer 200 if the daemon is ready, else 503."""
        ready = self.is_ready()
        return respond_json({"ready": ready}, 200 if ready else 503)


class MetricsPage(Page):
    """Shows the metrics as text."""

    path = METRICS_PATH

    def __init__(self, render: Callable[[], bytes]) -> None:
        self.render = render

    def answer(self, query: dict[str, str]) -> bytes:
        """Answer with all metrics."""
        cherrypy.serving.response.headers["Content-Type"] = "text/plain; version=0.0.4"
        return self.render()
