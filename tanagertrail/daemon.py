"""The daemon process: its servers, signal handling and graceful shutdown."""

__all__ = ["Daemon", "run_daemon"]

import asyncio
import signal
import ssl
from collections.abc import Callable

import logbook

from tanagertrail.callers.addresses import PREPARED_ANSWER_COUNT, AddressMiddleware
from tanagertrail.callers.app import CallersApp, CallersContext
from tanagertrail.core.context import PeriodicTask
from tanagertrail.core.members import DaemonRecord
from tanagertrail.core.node import Node, NodeDependencies
from tanagertrail.core.serving import ServingSettings
from tanagertrail.daemons.tcp import TcpPeerTransport, TcpSettings
from tanagertrail.errors import PlatformError
from tanagertrail.metrics import DaemonMetrics
from tanagertrail.objectapi.http import HttpCloud, HttpInstanceList, HttpObjectStore, PlatformClient
from tanagertrail.operators.app import OperatorsApp
from tanagertrail.settings.daemon import DaemonSettings, TlsSection
from tanagertrail.tls import KeyFiles, ReloadingContext, build_peer_contexts
from tanagertrail.upstreams.http import HttpUpstreamClient
from tanagertrail.webserver import RootProxy, ServerSettings, WebServer

log = logbook.Logger(__name__)

ADDRESS_REFRESH_SECONDS = 0.5
CERTIFICATE_CHECK_SECONDS = 2.0

DependenciesBuilder = Callable[[DaemonRecord, TcpPeerTransport], NodeDependencies]


class Daemon:
    """One daemon: a node, and servers for callers, operators and other daemons.

    :ivar tls_contexts: server contexts whose certificates are reloaded
    :ivar build_dependencies: builds the dependencies of the node; replaced by the demonstration
    :ivar stopping: set when the daemon should stop
    """

    def __init__(
        self, settings: DaemonSettings, build_dependencies: DependenciesBuilder | None = None
    ) -> None:
        self.settings = settings
        self.loop = asyncio.get_running_loop()
        self.tls_contexts: list[ReloadingContext] = []
        self.transport = self.build_transport()
        self.build_dependencies = build_dependencies or self.build_platform_dependencies
        self.stopping = asyncio.Event()
        self.node: Node | None = None
        self.servers: list[WebServer] = []
        self.tasks: list[PeriodicTask] = []

    def build_transport(self) -> TcpPeerTransport:
        """Build the transport to other daemons."""
        section = self.settings.daemons
        server = client = None
        if section.certificate:
            files = KeyFiles(section.certificate, section.private_key, section.authority)
            server_context, client = build_peer_contexts(files)
            self.tls_contexts.append(server_context)
            server = server_context.context
        host = self.settings.daemon.host
        settings = TcpSettings(host, section.port, 0, server, client)
        return TcpPeerTransport(self.settings.daemon.name, settings)

    def build_platform_dependencies(
        self, record: DaemonRecord, transport: TcpPeerTransport
    ) -> NodeDependencies:
        """Build the dependencies of a node, with the platform accessed over HTTP."""
        section = self.settings.platform
        client = PlatformClient(section.address, section.timeout)
        policy = self.settings.policy
        return NodeDependencies(
            record,
            HttpObjectStore(client),
            HttpInstanceList(client),
            HttpCloud(client),
            transport,
            HttpUpstreamClient(self.settings.callers.relay),
            ServingSettings(policy.choice, policy.retry_share),
        )

    def build_server(self, section: TlsSection, root: object, middleware=None) -> WebServer:
        """Build the HTTP server of one port."""
        settings = ServerSettings(
            self.settings.daemon.host,
            section.port,
            section.threads,
            section.certificate,
            section.private_key,
        )
        server = WebServer(settings, root, middleware)
        if server.reloading_context is not None:
            self.tls_contexts.append(server.reloading_context)
        self.servers.append(server)
        return server

    async def start(self) -> None:
        """Bind the ports, register the daemon and start serving.

        :raises PlatformError: if the platform cannot be reached
        :raises OSError: if a port is in use
        """
        await self.transport.start()
        host = self.settings.daemon.host
        callers = RootProxy()
        operators = self.operators = RootProxy()
        self.addresses: AddressMiddleware | None = None
        caller_server = self.build_server(self.settings.callers, callers, self.add_address_layer)
        operator_server = self.build_server(self.settings.operators, operators)
        record = DaemonRecord(
            self.settings.daemon.name,
            "",
            f"{host}:{self.transport.port}",
            f"{host}:{caller_server.bind()}",
            f"{host}:{operator_server.bind()}",
            self.settings.daemon.failure_domain,
        )
        self.node = Node(self.build_dependencies(record, self.transport))
        self.node.upstream_watch.on_own_reclaim = lambda seconds_left: self.stopping.set()
        metrics = DaemonMetrics(self.node)
        section = self.settings.callers
        callers.target = CallersApp(
            CallersContext(self.node, self.loop, metrics.render, section.relay, section.max_body)
        )
        operators.target = OperatorsApp(self.node, self.loop, self.settings.operators.token)
        await self.node.start()
        for server in self.servers:
            server.start()
        self.start_tasks()
        log.info("daemon {} accepts requests on {}", record.daemon, record.caller_address)

    def add_address_layer(self, application: Callable) -> AddressMiddleware:
        """Wrap the callers' application in the middleware that answers address requests."""
        self.addresses = AddressMiddleware(application, self.count_event)
        return self.addresses

    def count_event(self, name: str) -> None:
        """Count an event in a server thread."""
        self.node.recorder.counters[name] += 1

    def start_tasks(self) -> None:
        """Start the periodic tasks of the daemon itself."""
        context = self.node.context
        self.tasks.append(
            PeriodicTask(context, "addresses", ADDRESS_REFRESH_SECONDS, self.refresh_addresses)
        )
        self.tasks.append(
            PeriodicTask(context, "keys", CERTIFICATE_CHECK_SECONDS, self.reload_certificates)
        )

    async def refresh_addresses(self) -> None:
        """Prepare address lists, which the server threads return without the event loop."""
        answers = [self.node.members.select_addresses() for _ in range(PREPARED_ANSWER_COUNT)]
        self.addresses.set_answers(answers)

    async def reload_certificates(self) -> None:
        """Reload changed TLS certificates; an invalid pair is recorded and the old one kept."""
        for tls_context in self.tls_contexts:
            try:
                if tls_context.reload():
                    self.node.recorder.record("keys_reloaded", detail=tls_context.files.certificate)
            except (OSError, ssl.SSLError) as error:
                self.node.recorder.record("keys_refused", detail=str(error))

    async def run(self) -> None:
        """Serve until SIGTERM, SIGINT or a reclaim notice, then stop gracefully."""
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(signal_number, self.stopping.set)
        await self.stopping.wait()
        await self.stop()

    async def stop(self) -> None:
        """Drain the node, then close the daemon.

        Callers cache address lists, so the node serves until lists with its address have expired.
        """
        log.info("daemon {} is draining", self.settings.daemon.name)
        await self.node.drain()
        await self.close()

    async def abort(self) -> None:
        """Stop the servers and the transport after a failed start."""
        for server in self.servers:
            await self.loop.run_in_executor(None, server.stop)
        await self.transport.stop()

    async def close(self) -> None:
        """Stop the servers, the periodic tasks and the node."""
        for server in self.servers:
            await self.loop.run_in_executor(None, server.stop)
        for task in self.tasks:
            task.cancel()
        await self.node.stop()


async def run_daemon(settings: DaemonSettings) -> None:
    """Run a daemon until it is told to stop.

    :raises PlatformError: if the platform cannot be reached at the start
    :raises OSError: if a port is in use
    """
    daemon = Daemon(settings)
    try:
        await daemon.start()
    except (OSError, PlatformError):
        await daemon.abort()
        raise
    await daemon.run()
