"""CherryPy servers that run in threads beside an event loop, and helpers for their handlers."""

__all__ = [
    "RootProxy",
    "ServerSettings",
    "WebServer",
    "run_on_event_loop",
    "close_after_response",
    "read_body",
    "respond_json",
]

import asyncio
import json
import threading
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple, TypeVar

import cherrypy
from cheroot.ssl.builtin import BuiltinSSLAdapter
from cheroot.wsgi import Server

from tanagertrail.errors import BodyTooLargeError, Violation
from tanagertrail.sockets import HandoverGateway
from tanagertrail.tls import KeyFiles, ReloadingContext

T = TypeVar("T")
WsgiMiddleware = Callable[[Callable], Callable]
DEFAULT_MAX_BODY_BYTES = 1_000_000
MAX_HEADER_BYTES = 16_384
MAX_KEEP_ALIVE_CONNECTIONS = 4000
SHUTDOWN_SECONDS = 5


class ServerSettings(NamedTuple):
    """Address, TLS files and worker threads of a server.

    :ivar threads: number of worker threads; each handles one request at a time
    """

    host: str
    port: int
    threads: int = 16
    certificate: str = ""
    private_key: str = ""


class WebServer:
    """Serve one CherryPy application from threads of this process.

    :ivar reloading_context: TLS context of the server, None without TLS
    :ivar bound: whether the port was bound
    """

    def __init__(
        self, settings: ServerSettings, root: object, middleware: WsgiMiddleware | None = None
    ) -> None:
        self.settings = settings
        config = {
            "/": {
                "tools.trailing_slash.on": False,
                "request.show_tracebacks": False,
                "request.process_request_body": False,
                "tools.encode.on": False,
            }
        }
        application = cherrypy.Application(root, "", config)
        application.log.screen = False
        application.log.access = lambda: None
        application.log.error_log.propagate = False
        self.server = Server(
            (settings.host, settings.port),
            middleware(application) if middleware else application,
            numthreads=settings.threads,
            request_queue_size=2048,
            timeout=60,
            shutdown_timeout=SHUTDOWN_SECONDS,
        )
        self.server.gateway = HandoverGateway
        self.server.keep_alive_conn_limit = MAX_KEEP_ALIVE_CONNECTIONS
        self.server.max_request_header_size = MAX_HEADER_BYTES
        self.server.error_log = lambda *arguments, **keyword_arguments: None
        self.reloading_context = self.enable_tls()
        self.bound = False
        self.thread: threading.Thread | None = None

    def enable_tls(self) -> ReloadingContext | None:
        """Enable TLS if a certificate is configured; return its reloading context."""
        settings = self.settings
        if not settings.certificate:
            return None
        reloading_context = ReloadingContext(KeyFiles(settings.certificate, settings.private_key))
        adapter = BuiltinSSLAdapter(settings.certificate, settings.private_key)
        adapter.context = reloading_context.context
        self.server.ssl_adapter = adapter
        return reloading_context

    def bind(self) -> int:
        """Bind the port, unless it is bound already, and return its number.

        :raises OSError: if the port is in use
        """
        if not self.bound:
            self.server.prepare()
            self.bound = True
        return self.port

    def start(self) -> None:
        """Bind the port if necessary and start serving in a thread.

        :raises OSError: if the port is in use
        """
        self.bind()
        self.thread = threading.Thread(target=self.server.serve, daemon=True)
        self.thread.start()

    @property
    def port(self) -> int:
        """Return the bound port."""
        return self.server.bind_addr[1]

    def stop(self) -> None:
        """Stop serving, after at most ``SHUTDOWN_SECONDS`` for requests in progress."""
        self.server.stop()


class RootProxy:
    """CherryPy root that delegates to a target, which is set after the port was bound."""

    def __init__(self) -> None:
        self.target = None

    @cherrypy.expose
    def default(self, *path: str, **query: str) -> bytes:
        """Delegate a request to the target."""
        return self.target.default(*path, **query)


def run_on_event_loop(loop: asyncio.AbstractEventLoop, coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine on the event loop from a worker thread and return its result."""
    return asyncio.run_coroutine_threadsafe(coroutine, loop).result()


def read_body(limit: int = DEFAULT_MAX_BODY_BYTES) -> bytes:
    """Read the body of the current request.

    :param limit: maximum length in bytes
    :raises BodyTooLargeError: if the body is longer, or its Content-Length is not a number
    """
    request = cherrypy.serving.request
    length = request.headers.get("Content-Length")
    if length is None and not request.headers.get("Transfer-Encoding"):
        return b""
    if length is not None and (not length.isdigit() or int(length) > limit):
        raise build_body_too_large_error(limit, length)
    body = request.rfile.read(limit + 1) if length is None else request.rfile.read(int(length))
    if len(body) > limit:
        raise build_body_too_large_error(limit, f"over {limit}")
    return body


def build_body_too_large_error(limit: int, value: str) -> BodyTooLargeError:
    """Build the error for a body above the limit, and have the connection closed."""
    close_after_response()
    return BodyTooLargeError([Violation("body", f"must be at most {limit} bytes", value)])


def close_after_response() -> None:
    """Close the caller's connection after the current response."""
    cherrypy.serving.response.headers["Connection"] = "close"


def respond_json(document: object, status: int = 200) -> bytes:
    """Set status and content type of the current response and return a JSON body."""
    response = cherrypy.serving.response
    response.status = status
    response.headers["Content-Type"] = "application/json"
    return json.dumps(document).encode()
