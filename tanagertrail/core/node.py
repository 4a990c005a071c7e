"""The core of one daemon, which is independent of the HTTP servers in front of it."""

__all__ = ["Node", "NodeDependencies"]

import asyncio
from typing import NamedTuple

from tanagertrail.core.at_most_once_calls import AtMostOnceCallHandler
from tanagertrail.core.compaction import TicketCompactor
from tanagertrail.core.configuration import CommitOutcome, ConfigurationManager
from tanagertrail.core.context import NodeContext, PeriodicTask
from tanagertrail.core.duties import DutyLeaseManager
from tanagertrail.core.freshness import TICK_SECONDS, FreshnessMonitor
from tanagertrail.core.jobs import JobManager, JobView
from tanagertrail.core.limiting import Limiter
from tanagertrail.core.members import DaemonRecord, MembershipManager
from tanagertrail.core.requests import CallerRequest
from tanagertrail.core.rollouts import RolloutController
from tanagertrail.core.serving import RequestServer, ServingSettings
from tanagertrail.core.sharing import SharedObjects
from tanagertrail.core.suspects import SuspectTracker
from tanagertrail.core.takeover import JournalTakeover
from tanagertrail.core.traffic import TrafficSplit
from tanagertrail.core.upstream_watch import UpstreamWatch
from tanagertrail.daemons.transport import BasePeerTransport
from tanagertrail.model import Configuration
from tanagertrail.objectapi.cloud import BaseCloud
from tanagertrail.objectapi.instances import BaseInstanceList
from tanagertrail.objectapi.objects import BaseObjectStore
from tanagertrail.outcomes import NotRun, Outcome, Step, Unknown
from tanagertrail.policy.membership import ADDRESS_TTL_SECONDS, HEARTBEAT_SECONDS
from tanagertrail.policy.tickets import Ticket
from tanagertrail.sinks import BaseSink
from tanagertrail.timeline.events import Recorder
from tanagertrail.upstreams.base import BaseUpstreamClient

LEDGER_CLAIM_INTERVAL_SECONDS = 0.5
SLOT_REPORT_INTERVAL_SECONDS = 0.2
LEASE_INTERVAL_SECONDS = 2.0
ROLLOUT_INTERVAL_SECONDS = 0.5
EVIDENCE_INTERVAL_SECONDS = 1.0
INSTANCE_LIST_INTERVAL_SECONDS = 2.0
REPAIR_INTERVAL_SECONDS = 1.0
JOURNAL_TRIM_INTERVAL_SECONDS = 10.0
COMPACTION_INTERVAL_SECONDS = 5.0
FLUSH_SECONDS = 0.05  # before the transport closes, so that the last messages are sent
STALE_RETRY_AFTER_SECONDS = 1.0


class NodeDependencies(NamedTuple):
    """The external services and settings that a node is built from.

    :ivar record: this daemon's registration; its incarnation is assigned at start
    :ivar batching: name of the registered rule by which the journal batches its writes
    """

    record: DaemonRecord
    store: BaseObjectStore
    instances: BaseInstanceList
    cloud: BaseCloud
    transport: BasePeerTransport
    client: BaseUpstreamClient
    serving: ServingSettings = ServingSettings()
    batching: str = "paced"


class Node:
    """Connect the components of one daemon and run its periodic tasks.

    :ivar leaving: whether the daemon is draining before it exits
    :ivar active_request_count: number of requests that a drain waits for
    :ivar idle: set while there are no active requests
    """

    def __init__(self, dependencies: NodeDependencies) -> None:
        self.dependencies = dependencies
        record = dependencies.record
        self.recorder = Recorder(record.daemon)
        self.context = NodeContext(
            record.daemon,
            record.failure_domain,
            dependencies.store,
            dependencies.transport,
            self.recorder,
        )
        self.shared = SharedObjects(self.context)
        self.members = MembershipManager(self.context, self.shared, dependencies.instances)
        self.configuration = ConfigurationManager(self.context, self.shared)
        self.members.get_ticket_number = lambda: self.configuration.current.number
        self.freshness = FreshnessMonitor(self.context, self.shared)
        self.freshness.has_peers = lambda: len(self.members.membership.members) > 1
        self.limiter = Limiter(self.context, self.shared, self.members)
        self.traffic = TrafficSplit(self.context, self.shared, self.configuration)
        self.suspects = SuspectTracker(self.context)
        self.duties = DutyLeaseManager(self.context, self.members)
        self.compactor = TicketCompactor(self.context, self.shared, self.configuration, self.duties)
        self.rollouts = RolloutController(
            self.context, self.shared, self.configuration, self.duties, self.traffic
        )
        self.server = RequestServer(
            self.context,
            self.configuration,
            self.limiter,
            self.traffic,
            self.suspects,
            dependencies.client,
            dependencies.serving,
        )
        self.calls = AtMostOnceCallHandler(self.context, self.members, self.server)
        self.jobs = JobManager(
            self.context, self.members, self.duties, self.server, self.calls, dependencies.batching
        )
        self.takeover = JournalTakeover(self.context, self.members, self.duties, self.jobs)
        self.upstream_watch = UpstreamWatch(
            self.context, self.server, dependencies.client, dependencies.cloud
        )
        self.configuration.listen(self.apply_configuration)
        self.tasks: list[PeriodicTask | asyncio.Task] = []
        self.leaving = False
        self.active_request_count = 0
        self.idle = asyncio.Event()
        self.idle.set()

    def apply_configuration(self, configuration: Configuration, ticket: Ticket | None) -> None:
        """Pass a new configuration to the limiter and to the upstream watch."""
        self.limiter.configure(configuration)
        self.upstream_watch.configure(configuration)

    async def start(self) -> None:
        """Register, load the configuration in force and start the periodic tasks.

        :raises PlatformError: if the store cannot be reached
        """
        await self.dependencies.transport.start()
        await self.members.register(self.dependencies.record)
        await self.configuration.load_snapshot()
        await self.shared.load()
        self.limiter.configure(self.configuration.current)
        self.limiter.send_reports(list(self.limiter.upstreams))
        self.start_tasks()
        self.recorder.record("daemon_started", detail=self.context.holder)

    def start_tasks(self) -> None:
        """Start the journal, the periodic tasks and the watch of the shared objects."""
        self.jobs.start()
        steps = (
            ("tick", TICK_SECONDS, self.freshness.tick),
            ("heartbeat", HEARTBEAT_SECONDS, self.members.send_heartbeats),
            ("claim", LEDGER_CLAIM_INTERVAL_SECONDS, self.limiter.claim_shards),
            ("report", SLOT_REPORT_INTERVAL_SECONDS, self.limiter.send_due_reports),
            ("lease", LEASE_INTERVAL_SECONDS, self.duties.step),
            ("rollout", ROLLOUT_INTERVAL_SECONDS, self.rollouts.step),
            ("evidence", EVIDENCE_INTERVAL_SECONDS, self.rollouts.report),
            ("instances", INSTANCE_LIST_INTERVAL_SECONDS, self.members.read_instances),
            ("repair", REPAIR_INTERVAL_SECONDS, self.repair),
            ("call_repair", REPAIR_INTERVAL_SECONDS, self.calls.repair),
            ("takeover", REPAIR_INTERVAL_SECONDS, self.takeover.take_over_lost_journals),
            ("trim", JOURNAL_TRIM_INTERVAL_SECONDS, self.jobs.trim),
            ("compact", COMPACTION_INTERVAL_SECONDS, self.compactor.step),
            *self.upstream_watch.list_periodic_steps(),
        )
        for name, interval, step in steps:
            self.tasks.append(PeriodicTask(self.context, name, interval, step))
        self.tasks.append(asyncio.create_task(self.shared.run_watch(), name="watch"))

    async def repair(self) -> None:
        """Drop old tombstones of shared objects and fetch a missing ticket."""
        self.shared.drop_tombstones()
        await self.configuration.fetch_missing()

    @property
    def ready(self) -> bool:
        """Whether this daemon is ready for callers: not leaving and not partitioned."""
        return not self.leaving and not self.freshness.partitioned

    async def serve(self, request: CallerRequest, sink: BaseSink | None = None) -> Outcome:
        """Serve a caller's request; a streamed answer goes to the sink."""
        refusal = await self.check_freshness()
        if refusal is not None:
            return refusal
        self.begin_request()
        try:
            if self.must_run_at_most_once(request):
                return await self.calls.serve(request)
            return await self.server.serve(request, sink)
        finally:
            self.end_request()

    async def accept_job(self, request: CallerRequest) -> JobView | NotRun | Unknown:
        """Accept a durable job, or say why not."""
        refusal = await self.check_freshness()
        if refusal is not None:
            return refusal
        self.begin_request()
        try:
            return await self.jobs.accept(request)
        finally:
            self.end_request()

    async def check_freshness(self) -> NotRun | None:
        """Return a refusal if this daemon may not know the configuration in force, else None."""
        if await self.freshness.check():
            return None
        reason = "this daemon is cut off and does not know what is in force"
        return NotRun(Step.ADMISSION, self.context.daemon, reason, 503, STALE_RETRY_AFTER_SECONDS)

    def must_run_at_most_once(self, request: CallerRequest) -> bool:
        """Say whether a request must run at most once.

        It must if its path is non-repeatable by the configuration, unless it is marked as
        repeatable or has no idempotency key.
        """
        service = self.configuration.current.services.get(request.service)
        if service is None or request.repeatable or not request.idempotency_key:
            return False
        return any(request.path.startswith(prefix) for prefix in service.non_repeatable)

    def begin_request(self) -> None:
        """Count a request as active; a drain waits for it."""
        self.active_request_count += 1
        self.idle.clear()

    def end_request(self) -> None:
        """Count an active request as ended."""
        self.active_request_count -= 1
        if not self.active_request_count:
            self.idle.set()

    async def commit_ticket(self, ticket: Ticket) -> CommitOutcome:
        """Commit an operator's ticket."""
        refusal = await self.check_freshness()
        return refusal or await self.configuration.commit(ticket)

    async def drain(self, address_ttl_seconds: float = ADDRESS_TTL_SECONDS) -> None:
        """Withdraw this daemon's address, serve until callers no longer use it, then finish.

        :param address_ttl_seconds: seconds for which callers may keep an address
        """
        self.leaving = self.jobs.leaving = True
        self.members.announce_leaving()
        await asyncio.sleep(address_ttl_seconds)
        await self.idle.wait()
        await self.jobs.finish_calls()

    async def stop(self) -> None:
        """Stop the jobs, release slots, leases and the registration, and stop all tasks."""
        await self.jobs.stop_running_jobs()
        self.limiter.release_unused()
        await self.duties.release_all()
        await self.members.unregister()
        await asyncio.sleep(FLUSH_SECONDS)
        await self.kill()

    async def kill(self) -> None:
        """Stop at once and release nothing, like a killed process."""
        for task in self.tasks:
            task.cancel()
        self.tasks.clear()
        self.jobs.cancel()
        await self.dependencies.transport.stop()
