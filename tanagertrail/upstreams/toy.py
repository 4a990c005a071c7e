"""HTTP server of toy engines, the stand-in of real upstreams."""

__all__ = ["ToyServer"]

import asyncio
import json

import cherrypy

from tanagertrail.errors import UpstreamConnectError, UpstreamRefusedError
from tanagertrail.model import Upstream
from tanagertrail.sockets import SocketSink, get_request_socket, mark_response_sent
from tanagertrail.upstreams.base import Attempt, Order
from tanagertrail.upstreams.engine import EngineCrashedError, ToyEngine
from tanagertrail.upstreams.http import HEADER_NOT_RUN
from tanagertrail.webserver import (
    ServerSettings,
    WebServer,
    read_body,
    respond_json,
    run_on_event_loop,
)

DEFAULT_THREADS = 16


class EngineApp:
    """Routes of one toy engine."""

    def __init__(self, engine: ToyEngine, loop: asyncio.AbstractEventLoop) -> None:
        self.engine = engine
        self.loop = loop

    @cherrypy.expose
    def default(self, *path: str, **query: str) -> bytes:
        """Serve every path."""
        route = "/" + "/".join(path)
        if route == "/engine/load":
            return respond_json(self.engine.report_load()._asdict())
        if route == "/engine/orders":
            return self.take_order()
        attempt = self.read_attempt(route)
        try:
            if route == "/v1/chat/completions":
                return self.serve_stream(attempt)
            status, body = run_on_event_loop(self.loop, self.engine.run_call(attempt))
        except (UpstreamRefusedError, UpstreamConnectError) as error:
            cherrypy.response.headers[HEADER_NOT_RUN] = "true"
            return respond_json({"error": str(error)}, 503)
        except EngineCrashedError:
            return self.drop_connection()
        cherrypy.response.headers["Content-Type"] = "application/json"
        cherrypy.response.status = status
        return body

    def take_order(self) -> bytes:
        """Carry out an order."""
        order = Order(**json.loads(read_body()))
        return respond_json(self.engine.take_order(order)._asdict())

    def read_attempt(self, route: str) -> Attempt:
        """Build an attempt from the current request."""
        headers = cherrypy.request.headers
        return Attempt(
            attempt_id=headers.get("X-Request-Id", "none"),
            service=headers.get("X-Service", ""),
            version=headers.get("X-Version", ""),
            upstream=self.engine.upstream,
            method=cherrypy.request.method,
            path=route,
            body=read_body(),
            resume_from=int(headers.get("X-Resume-From", "0")),
            idempotency_key=headers.get("Idempotency-Key", ""),
        )

    def serve_stream(self, attempt: Attempt) -> bytes:
        """Let the event loop write a streamed answer."""
        sink = SocketSink(get_request_socket(), self.loop)
        whole = run_on_event_loop(self.loop, self.write_stream(attempt, sink))
        mark_response_sent(keep_alive=whole)
        return b""

    async def write_stream(self, attempt: Attempt, sink: SocketSink) -> bool:
        """Write the engine's events and return whether the answer is whole."""
        generation = self.engine.begin(attempt)
        try:
            sink.start()
            async for event in self.engine.iter_events(attempt, generation):
                sink.write(event)
                if sink.closed:
                    return False
            await sink.finish()
        except EngineCrashedError:
            sink.release()
            return False
        finally:
            self.engine.finish(generation)
        return not sink.closed

    def drop_connection(self) -> bytes:
        """Close the connection without an answer."""
        mark_response_sent(keep_alive=False)
        return b""


class ToyServer:
    """Serve one toy engine over HTTP."""

    def __init__(self, engine: ToyEngine, threads: int = DEFAULT_THREADS) -> None:
        self.engine = engine
        host, _, port = engine.upstream.address.rpartition(":")
        app = EngineApp(engine, asyncio.get_running_loop())
        self.web = WebServer(ServerSettings(host, int(port), threads), app)

    def start(self) -> None:
        """Start serving."""
        self.web.start()

    def stop(self) -> None:
        """Stop serving."""
        self.web.stop()

    @property
    def upstream(self) -> Upstream:
        """Return the upstream with the port that is bound."""
        host = self.web.settings.host
        return self.engine.upstream.model_copy(update={"address": f"{host}:{self.web.port}"})
