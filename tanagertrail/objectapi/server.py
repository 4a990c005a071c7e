"""HTTP server of the in-memory platform, the stand-in of the real one."""

__all__ = ["MemoryPlatform", "PlatformServer", "main"]

import asyncio
import base64
import json
import signal

import cherrypy
import fire

from tanagertrail.errors import (
    ConflictError,
    PlatformError,
    RateLimitedError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from tanagertrail.objectapi.cloud import MemoryCloud, StartRefusedError
from tanagertrail.objectapi.instances import Instance, InstanceState, MemoryInstanceList
from tanagertrail.objectapi.objects import MemoryObjectStore, StoredObject, WatchResult
from tanagertrail.objectapi.weights import MemoryWeightStore
from tanagertrail.sockets import mark_response_sent
from tanagertrail.webserver import (
    ServerSettings,
    WebServer,
    read_body,
    respond_json,
    run_on_event_loop,
)

MAX_BODY_BYTES = 1_100_000
SERVER_THREADS = 64
MAX_WAIT_SECONDS = 30.0


class MemoryPlatform:
    """All in-memory twins of the platform."""

    def __init__(self, list_lag: float = 0.0) -> None:
        self.objects = MemoryObjectStore()
        self.instances = MemoryInstanceList(list_lag)
        self.cloud = MemoryCloud()
        self.weights = MemoryWeightStore()

    def set_faults(self, changes: dict[str, object]) -> None:
        """Set faults of the object API by name.

        :raises KeyError: if there is no such fault
        """
        for name, value in changes.items():
            if not hasattr(self.objects.faults, name):
                raise KeyError(name)
            setattr(self.objects.faults, name, value)


class PlatformApp:
    """Routes of the stand-in."""

    def __init__(self, platform: MemoryPlatform, loop: asyncio.AbstractEventLoop) -> None:
        self.platform = platform
        self.loop = loop

    @cherrypy.expose
    def default(self, *path: str, **query: str) -> bytes:
        """Serve every path and turn errors to statuses."""
        try:
            return self.route(path, query)
        except ConflictError as error:
            return respond_json({"found": error.found}, 409)
        except StartRefusedError as error:
            return respond_json({"error": str(error)}, 409)
        except RateLimitedError as error:
            return respond_json({"error": str(error)}, 429)
        except StoreUnavailableError as error:
            return respond_json({"error": str(error)}, 503)
        except StoreOutcomeUnknownError:
            mark_response_sent(keep_alive=False)
            return b""
        except (PlatformError, ValueError, KeyError) as error:
            return respond_json({"error": repr(error)}, 400)

    def route(self, path: tuple[str, ...], query: dict[str, str]) -> bytes:
        """Find the handler of a path."""
        match (cherrypy.request.method, *path):
            case ("GET", "objects"):
                return respond_result(self.run(self.objects.list_objects(query["prefix"])))
            case ("GET", "watch"):
                return self.watch(query)
            case (method, "objects", *parts):
                return self.use_object(method, "/".join(parts), query)
            case (method, "instances", *parts):
                return self.use_instances(method, parts)
            case (method, "cloud", *parts):
                return self.use_cloud(method, parts)
            case ("POST", "weights", name):
                grant = self.run(self.platform.weights.request_grant(name))
                return respond_json(grant._asdict())
            case ("POST", "faults"):
                self.platform.set_faults(json.loads(read_body()))
                return respond_json({})
            case ("GET", "calls"):
                return respond_json(dict(self.objects.calls))
            case _:
                return respond_json({"error": "no such path"}, 404)

    @property
    def objects(self) -> MemoryObjectStore:
        """Return the object store."""
        return self.platform.objects

    def run(self, work):
        """Run a coroutine on the event loop."""
        return run_on_event_loop(self.loop, work)

    def use_object(self, method: str, key: str, query: dict[str, str]) -> bytes:
        """Read, write or delete one object."""
        if method == "GET":
            stored = self.run(self.objects.get(key))
            if stored is None:
                return respond_json({"error": "no such object"}, 404)
            return respond_json(encode_object(stored))
        expected = int(query["expected"]) if "expected" in query else None
        if method == "PUT":
            written = self.run(self.objects.put(key, read_body(MAX_BODY_BYTES), expected))
            return respond_json({"version": written.version, "revision": written.revision})
        if method == "DELETE":
            self.run(self.objects.delete(key, expected))
            return respond_json({})
        return respond_json({"error": f"method {method}"}, 405)

    def watch(self, query: dict[str, str]) -> bytes:
        """Wait for changes."""
        wait = min(float(query["wait"]), MAX_WAIT_SECONDS)
        work = self.objects.watch(query["prefix"], int(query["after"]), wait)
        return respond_result(self.run(work))

    def use_instances(self, method: str, parts: list[str]) -> bytes:
        """Read the instance list, or change it as the cloud would."""
        instances = self.platform.instances
        if method == "GET":
            rows = self.run(instances.read())
            return respond_json([[row.name, row.failure_domain, str(row.state)] for row in rows])
        if method == "PUT":
            document = json.loads(read_body())
            state = InstanceState(document.get("state", "live"))
            instance = Instance(parts[0], document["failure_domain"], state)
            self.call(instances.set_instance, instance)
            return respond_json({})
        self.call(instances.remove_instance, parts[0])
        return respond_json({})

    def call(self, function, *arguments) -> None:
        """Call a plain function on the event loop."""

        async def run() -> None:
            function(*arguments)

        self.run(run())

    def use_cloud(self, method: str, parts: list[str]) -> bytes:
        """Serve the cloud API."""
        cloud = self.platform.cloud
        match (method, *parts):
            case ("GET", "notices"):
                rows = self.run(cloud.read_notices())
                return respond_json([list(row) for row in rows])
            case ("POST", "notices"):
                document = json.loads(read_body())
                self.call(cloud.give_notice, document["instance"], document["seconds"])
                return respond_json({})
            case ("GET", "prices"):
                return respond_json(self.run(cloud.read_prices()))
            case ("POST", "instances"):
                order = json.loads(read_body())
                started = self.run(
                    cloud.start_instance(order["failure_domain"], order["reclaimable"])
                )
                return respond_json(started._asdict())
            case ("DELETE", "instances", name):
                self.run(cloud.stop_instance(name))
                return respond_json({})
            case _:
                return respond_json({"error": "no such path"}, 404)


def encode_object(stored: StoredObject) -> dict:
    """Return the JSON form of an object."""
    return {**stored._asdict(), "value": base64.b64encode(stored.value).decode()}


def respond_result(result: WatchResult) -> bytes:
    """Answer a list or watch."""
    changes = [encode_object(item) for item in result.changes]
    return respond_json(
        {"revision": result.revision, "changes": changes, "complete": result.complete}
    )


class PlatformServer:
    """Serve an in-memory platform over HTTP."""

    def __init__(self, platform: MemoryPlatform, host: str, port: int) -> None:
        self.platform = platform
        app = PlatformApp(platform, asyncio.get_running_loop())
        self.web = WebServer(ServerSettings(host, port, SERVER_THREADS), app)

    @property
    def address(self) -> str:
        """Return the address that is bound."""
        return f"{self.web.settings.host}:{self.web.port}"

    def start(self) -> None:
        """Start serving."""
        self.web.start()

    def stop(self) -> None:
        """Stop serving."""
        self.web.stop()


async def serve(host: str, port: int, list_lag: float) -> None:
    """Serve a platform until a signal comes."""
    server = PlatformServer(MemoryPlatform(list_lag), host, port)
    server.start()
    print(f"platform stand-in on {server.address}", flush=True)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
    await asyncio.to_thread(server.stop)


def run_server(host: str = "127.0.0.1", port: int = 8090, list_lag: float = 0.0) -> None:
    """Run the platform stand-in."""
    asyncio.run(serve(host, port, list_lag))


def main() -> None:
    """Run the platform stand-in from the command line."""
    fire.Fire(run_server)


if __name__ == "__main__":
    main()
