"""Virtual time and an in-memory cluster, for tests and benchmarks."""

__all__ = ["Cluster", "ClusterSettings", "run_in_virtual_time"]

import asyncio
import itertools
import json
from collections import defaultdict
from collections.abc import Coroutine
from typing import Any, NamedTuple, TypeVar

import looptime

from tanagertrail.core.members import DaemonRecord
from tanagertrail.core.node import Node, NodeDependencies
from tanagertrail.core.requests import CallerRequest
from tanagertrail.core.serving import ServingSettings
from tanagertrail.daemons.transport import MemoryNetwork
from tanagertrail.model import FailureDomain, Priority, Service, Upstream, Version
from tanagertrail.objectapi.cloud import MemoryCloud
from tanagertrail.objectapi.instances import Instance, MemoryInstanceList
from tanagertrail.objectapi.objects import MemoryObjectStore
from tanagertrail.outcomes import Outcome, Step, Unknown
from tanagertrail.policy.tickets import Ticket
from tanagertrail.sinks import MemorySink
from tanagertrail.upstreams.engine import EngineSettings, ToyEngine
from tanagertrail.upstreams.memory import MemoryUpstreamClient

T = TypeVar("T")
START_TIME = 1000.0
SETTLE_SECONDS = 4.0
DOMAINS = ("sapporo", "otaru", "asahikawa", "hakodate")
CHAT_COMPLETIONS_PATH = "/v1/chat/completions"


def run_in_virtual_time(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine on an event loop whose clock skips all waiting."""
    loop = looptime.new_event_loop(start=START_TIME, noop_cycles=0)
    try:
        return loop.run_until_complete(coroutine)
    finally:
        cancel_all_tasks(loop)
        loop.close()


def cancel_all_tasks(loop: asyncio.AbstractEventLoop) -> None:
    """Cancel all tasks of an event loop and wait until they have ended."""
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))


class ClusterSettings(NamedTuple):
    """Sizes and timing of an in-memory cluster.

    :ivar daemons: number of daemons
    :ivar replicas: number of upstreams of the model service
    :ivar slots: slots of each upstream when warm
    :ivar cold_slots: slots of each upstream during a cold start
    :ivar list_lag: seconds by which the instance list is out of date
    :ivar network_latency: delay in seconds of a message between daemons
    """

    daemons: int = 1
    replicas: int = 4
    slots: int = 4
    cold_slots: int = 1
    engine: EngineSettings = EngineSettings()
    serving: ServingSettings = ServingSettings()
    list_lag: float = 0.5
    network_latency: float = 0.001


class Cluster:
    """Nodes of many daemons in one process, on an in-memory platform, network and upstreams.

    :ivar request_tasks: requests in progress, by the daemon that serves them
    """

    def __init__(self, **sizes: Any) -> None:
        self.settings = settings = ClusterSettings(**sizes)
        self.store = MemoryObjectStore()
        self.instances = MemoryInstanceList(settings.list_lag)
        self.cloud = MemoryCloud()
        self.network = MemoryNetwork(settings.network_latency)
        self.engines: dict[str, ToyEngine] = {}
        self.nodes: dict[str, Node] = {}
        self.clients: dict[str, MemoryUpstreamClient] = {}
        self.request_tasks: dict[str, set[asyncio.Task]] = defaultdict(set)
        self.request_numbers = itertools.count(1)

    def build_upstreams(self, prefix: str, count: int, port: int) -> tuple[Upstream, ...]:
        """Build upstreams, spread over the failure domains, and their simulated engines."""
        upstreams = []
        for index in range(count):
            upstream = Upstream(
                name=f"{prefix}-{index + 1}",
                address=f"10.{port % 250}.{index // 250}.{index % 250}:{port}",
                failure_domain=DOMAINS[index % len(DOMAINS)],
                slots=self.settings.slots,
                cold_slots=self.settings.cold_slots,
            )
            self.engines[upstream.name] = ToyEngine(upstream, self.settings.engine)
            upstreams.append(upstream)
        return tuple(upstreams)

    def build_ticket(self) -> Ticket:
        """Build the first ticket: a model service and a records service."""
        model = Service(
            versions={
                "v1": Version(upstreams=self.build_upstreams("dial", self.settings.replicas, 9000))
            },
            current="v1",
        )
        desk = Service(
            kind="records",
            versions={"d1": Version(upstreams=self.build_upstreams("desk", 4, 9500))},
            current="d1",
            non_repeatable=("/bookings",),
        )
        domains = {name: FailureDomain() for name in DOMAINS}
        return Ticket(
            operator="test", services={"dial": model, "desk": desk}, failure_domains=domains
        )

    def build_node(self, name: str, domain: str) -> Node:
        """Build the node of a daemon without starting it."""
        client = MemoryUpstreamClient(self.engines)
        record = DaemonRecord(name, "", name, f"{name}:80", f"{name}:81", domain)
        node = Node(
            NodeDependencies(
                record,
                self.store.connect(name),
                self.instances,
                self.cloud,
                self.network.connect(name),
                client,
                self.settings.serving,
            )
        )
        self.clients[name] = client
        self.nodes[name] = node
        return node

    async def start_node(self, name: str, domain: str = DOMAINS[0]) -> Node:
        """Start a daemon, or a new incarnation of one that was killed."""
        node = self.build_node(name, domain)
        self.instances.set_instance(Instance(name, domain))
        await node.start()
        return node

    async def kill_node(self, name: str, remove_instance: bool = False) -> None:
        """Kill a daemon and all requests that it serves, without a shutdown.

        :param remove_instance: whether its instance also leaves the platform's instance list
        """
        await self.nodes.pop(name).kill()
        for task in self.request_tasks.pop(name, set()):
            task.cancel()
        if remove_instance:
            self.instances.remove_instance(name)

    async def start(self) -> None:
        """Start all daemons and commit the first ticket."""
        names = [f"entry-{index + 1}" for index in range(self.settings.daemons)]
        for index, name in enumerate(names):
            await self.start_node(name, DOMAINS[index % len(DOMAINS)])
        await self.first_node.commit_ticket(self.build_ticket())
        await asyncio.sleep(SETTLE_SECONDS)

    @property
    def first_node(self) -> Node:
        """Return the running daemon that was started first."""
        return next(iter(self.nodes.values()))

    def build_request(
        self,
        service: str = "dial",
        tokens: int = 8,
        timeout: float = 20.0,
        prompt: str = "Refinish the lume of this dial.",
        **fields: Any,
    ) -> CallerRequest:
        """Build a streamed chat request."""
        messages = [{"role": "user", "content": prompt}]
        body = json.dumps({"messages": messages, "max_tokens": tokens}).encode()
        values: dict[str, Any] = {
            "request_id": f"r{next(self.request_numbers)}",
            "service": service,
            "method": "POST",
            "path": CHAT_COMPLETIONS_PATH,
            "body": body,
            "deadline": asyncio.get_running_loop().time() + timeout,
            "priority": Priority.QUESTION,
            "streamed": True,
        }
        return CallerRequest(**{**values, **fields})

    def build_call(self, path: str = "/slots", method: str = "GET", **fields: Any) -> CallerRequest:
        """Build a request to the records service, which isn't streamed."""
        repeatable = method == "GET"
        values = {"method": method, "path": path, "repeatable": repeatable, "streamed": False}
        return self.build_request("desk", **{**values, **fields})

    async def send_request(
        self, request: CallerRequest, node: Node | None = None
    ) -> tuple[Outcome, bytes]:
        """Send a request to a daemon; return its outcome and the bytes delivered.

        If the daemon is killed, the outcome is unknown to the caller.
        """
        sink = MemorySink()
        node = node or self.first_node
        name = node.context.daemon
        task = asyncio.ensure_future(node.serve(request, sink))
        self.request_tasks[name].add(task)
        task.add_done_callback(self.request_tasks[name].discard)
        await asyncio.wait({task})
        if task.cancelled():
            return Unknown(Step.ADDRESS, name, "the daemon was lost"), sink.body
        return task.result(), sink.body

    def max_overshoot(self) -> int:
        """Return the largest number of requests by which an engine ever exceeded its slots."""
        return max(engine.peak_overshoot for engine in self.engines.values())
