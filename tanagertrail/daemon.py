"""The daemon: its settings, ports, signals and graceful stop."""

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
from tanagertrail.objectapi.http import (
    HttpCloud,
    HttpInstanceList,
    HttpObjectStore,
    PlatformClient,
)
from tanagertrail.operators.app import OperatorsApp
from tanagertrail.settings.daemon import DaemonSettings, TlsSection
from tanagertrail.tls import KeyFiles, ReloadingContext, build_peer_contexts
from tanagertrail.upstreams.http import HttpUpstreamClient
from tanagertrail.webserver import RootProxy, ServerSettings, WebServer

log = logbook.Logger(__name__)

PREPARE_SECONDS = 0.5
KEY_CHECK_SECONDS = 2.0

PartsBuilder = Callable[[DaemonRecord, TcpPeerTransport], NodeDependencies]


class Daemon:
    """One daemon process: a core, three ports and their servers."""

    def __init__(self, settings: DaemonSettings, build_parts: PartsBuilder | None = None) -> None:
        self.settings = settings
        self.loop = asyncio.get_running_loop()
        self.keys: list[ReloadingContext] = []
        self.transport = self.build_transport()
        self.build_parts = build_parts or self.build_platform_parts
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
            reloading, client = build_peer_contexts(files)
            self.keys.append(reloading)
            server = reloading.context
        host = self.settings.daemon.host
        settings = TcpSettings(host, section.port, 0, server, client)
        return TcpPeerTransport(self.settings.daemon.name, settings)

    def build_platform_parts(
        self, record: DaemonRecord, transport: TcpPeerTransport
    ) -> NodeDependencies:
        """Build the parts of a node on the platform over HTTP."""
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

    def build_server(self, section: TlsSection, root: object, layer=None) -> WebServer:
        """Build the server of one port."""
        settings = ServerSettings(
            self.settings.daemon.host,
            section.port,
            section.threads,
            section.certificate,
            section.private_key,
        )
        server = WebServer(settings, root, layer)
        if server.keys is not None:
            self.keys.append(server.keys)
        self.servers.append(server)
        return server

    async def start(self) -> None:
        """Open the ports, register and begin to serve.

        :raises PlatformError: if the platform cannot be reached
        :raises OSError: if a port is taken
        """
        await self.transport.start()
        host = self.settings.daemon.host
        callers = RootProxy()
        operators = self.operators = RootProxy()
        self.addresses: AddressMiddleware | None = None
        caller_server = self.build_server(self.settings.callers, callers, self.add_layer)
        operator_server = self.build_server(self.settings.operators, operators)
        record = DaemonRecord(
            self.settings.daemon.name,
            "",
            f"{host}:{self.transport.port}",
            f"{host}:{caller_server.bind()}",
            f"{host}:{operator_server.bind()}",
            self.settings.daemon.failure_domain,
        )
        self.node = Node(self.build_parts(record, self.transport))
        self.node.upstream_watch.on_own_reclaim = lambda left: self.stopping.set()
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
        log.info("{} serves callers on {}", record.daemon, record.caller_address)

    def add_layer(self, application: Callable) -> AddressMiddleware:
        """Put the address layer before the callers' application."""
        self.addresses = AddressMiddleware(application, self.count)
        return self.addresses

    def count(self, name: str) -> None:
        """Count an event of a server thread."""
        self.node.recorder.counters[name] += 1

    def start_tasks(self) -> None:
        """Start the daemon's own periodic tasks."""
        context = self.node.context
        self.tasks.append(PeriodicTask(context, "addresses", PREPARE_SECONDS, self.prepare))
        self.tasks.append(PeriodicTask(context, "keys", KEY_CHECK_SECONDS, self.reload_keys))

    async def prepare(self) -> None:
        """Prepare address answers for the server threads."""
        answers = [self.node.members.select_addresses() for _ in range(PREPARED_ANSWER_COUNT)]
        self.addresses.set_answers(answers)

    async def reload_keys(self) -> None:
        """Read changed TLS keys; a bad pair is recorded and the old one stays."""
        for keys in self.keys:
            try:
                if keys.reload():
                    self.node.recorder.record("keys_reloaded", detail=keys.files.certificate)
            except (OSError, ssl.SSLError) as error:
                self.node.recorder.record("keys_refused", detail=str(error))

    async def run(self) -> None:
        """Serve until a signal or a reclaim notice, then stop gracefully."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.stopping.set)
        await self.stopping.wait()
        await self.stop()

    async def stop(self) -> None:
        """Leave, serve until kept answers have run out, finish and exit."""
        log.info("{} drains", self.settings.daemon.name)
        await self.node.drain()
        await self.close()

    async def abort(self) -> None:
        """Free what a failed start has taken."""
        for server in self.servers:
            await self.loop.run_in_executor(None, server.stop)
        await self.transport.stop()

    async def close(self) -> None:
        """Close the ports and give back what is held."""
        for server in self.servers:
            await self.loop.run_in_executor(None, server.stop)
        for task in self.tasks:
            task.cancel()
        await self.node.stop()


async def run_daemon(settings: DaemonSettings) -> None:
    """Run a daemon from its settings."""
    daemon = Daemon(settings)
    try:
        await daemon.start()
    except (OSError, PlatformError):
        await daemon.abort()
        raise
    await daemon.run()
