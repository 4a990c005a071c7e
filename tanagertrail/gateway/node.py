"""One gateway daemon: its tasks, its ports and its stop."""

__all__ = ["GatewayNode"]

import asyncio
import random

from tanagertrail.daemons.reports import PeerReport
from tanagertrail.errors import ConflictError, PlatformError
from tanagertrail.gateway.beliefs import Beliefs
from tanagertrail.gateway.clock import read_boot_time, read_wall_time
from tanagertrail.gateway.dispatch import Dispatcher
from tanagertrail.gateway.duties import DutyRunner
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.front import DEFAULT_LIMITS, FrontServer
from tanagertrail.gateway.handlers import (
    ConfigHandler,
    EvacuationHandler,
    RolloutHandler,
    UpstreamHandler,
    take_document,
)
from tanagertrail.gateway.leadership import Leadership
from tanagertrail.gateway.members import (
    MEMBERS_KIND,
    Member,
    MemberHandler,
    MemberTable,
    describe_self,
)
from tanagertrail.gateway.model import GatewaySettings, Limits
from tanagertrail.gateway.peers import PeerLinks, PeerServer, ReportSource
from tanagertrail.gateway.pools import ConnectionPools
from tanagertrail.gateway.sending import UpstreamSender
from tanagertrail.gateway.usage import UsageCounter
from tanagertrail.gateway.watching import BaseKindHandler, KindWatch
from tanagertrail.platform.cloud import CloudClient
from tanagertrail.platform.pages import DirectoryPage, ReadyPage
from tanagertrail.platform.records import CONFIGURATION, EVACUATIONS, ROLLOUTS, UPSTREAMS
from tanagertrail.platform.store import StoreClient
from tanagertrail.policy.token_quota import QuotaLedger, QuotaNews
from tanagertrail.webserver import ServerSettings, WebServer

CONFIG_WAIT_SECONDS = 1.2  # a key taken away must be known well before its bound
KIND_WAIT_SECONDS = 1.5  # a silent connection is found out within the bounds on drains
MEMBERS_WAIT_SECONDS = 10.0
ANSWER_LIFETIME_SECONDS = 1.0
SWEEP_SECONDS = 1.0
LEAVE_QUIET_SECONDS = 3.5  # callers keep an address answer three times its lifetime
STOP_MARGIN_SECONDS = 0.6
PAGE_THREADS = 4
LEADER_SILENT_SECONDS = 1.5


class GatewayNode(ReportSource):
    """The tasks of one daemon."""

    def __init__(self, settings: GatewaySettings, seeds: tuple[str, ...] = ()) -> None:
        self.settings = settings
        self.loop = asyncio.get_running_loop()
        self.incarnation = int(read_wall_time() * 1000)
        self.log = EventLog(settings.name, self.loop.time)
        self.rng = random.Random(self.incarnation)
        self.beliefs = Beliefs(settings.bounds, read_boot_time)
        self.store = StoreClient(settings.store)
        self.own = describe_self(settings, self.incarnation)
        self.members = MemberTable(self.own, self.log)
        self.pools = ConnectionPools()
        self.quota = QuotaLedger(self.loop.time())
        self.usage = UsageCounter(settings.bounds.usage_window, read_wall_time)
        self.dispatcher = Dispatcher(
            self.beliefs,
            self.members,
            UpstreamSender(self.pools, self.usage),
            self.quota,
            self.log,
            self.rng,
        )
        self.leadership = Leadership(
            self.store,
            settings.name,
            self.incarnation,
            settings.bounds.lease,
            self.log,
            read_boot_time,
            self.rng,
        )
        self.front = FrontServer(self.dispatcher.handle, self.get_limits, self.log)
        self.peer_server = PeerServer(self, self.log)
        self.links = PeerLinks(self, self.members, self.log, self.rng, read_boot_time, seeds)
        self.pages: list[WebServer] = []
        self.tasks: list[asyncio.Task] = []
        self.counter = 0
        self.leading_heard = (0, -LEADER_SILENT_SECONDS)
        self.leaving = False

    def get_limits(self) -> Limits:
        """Return the limits of callers' requests."""
        config = self.beliefs.config
        return config.limits if config else DEFAULT_LIMITS

    async def start(self) -> None:
        """Open the ports and start the tasks.

        :raises OSError: if a port is taken
        """
        await self.peer_server.start(self.settings.host, self.settings.internal[0])
        host, _, port = self.settings.front.rpartition(":")
        await self.front.start(host, int(port))
        self.serve_page(self.settings.ready, ReadyPage(lambda: self.ready))
        if self.settings.directory:
            lifetime = min(ANSWER_LIFETIME_SECONDS, self.settings.bounds.answer_lifetime)
            self.serve_page(self.settings.directory, DirectoryPage(self.list_fronts, lifetime))
        self.watch(CONFIGURATION, ConfigHandler(self.beliefs, self.log), CONFIG_WAIT_SECONDS)
        self.watch(UPSTREAMS, UpstreamHandler(self.beliefs, self.log), KIND_WAIT_SECONDS)
        self.watch(EVACUATIONS, EvacuationHandler(self.beliefs, self.log), KIND_WAIT_SECONDS)
        self.watch(ROLLOUTS, RolloutHandler(self.beliefs, self.log), KIND_WAIT_SECONDS)
        self.watch(MEMBERS_KIND, MemberHandler(self.members, self.loop.time), MEMBERS_WAIT_SECONDS)
        self.spawn(self.register())
        self.spawn(self.links.run())
        self.spawn(self.sweep())
        self.spawn(self.leadership.run())
        if self.settings.cloud:
            self.spawn(self.build_duties().run())
        self.log.write("started", incarnation=self.incarnation, front=self.settings.front)

    def build_duties(self) -> DutyRunner:
        """Return the runner of the duties."""
        return DutyRunner(
            self.beliefs,
            self.leadership,
            self.store,
            CloudClient(self.settings.cloud),
            self.usage,
            self.settings.name,
            self.log,
        )

    def serve_page(self, address: str, page: object) -> None:
        """Serve a page from threads."""
        host, _, port = address.rpartition(":")
        server = WebServer(ServerSettings(host, int(port), PAGE_THREADS), page)
        server.start()
        self.pages.append(server)

    def watch(self, kind: str, handler: BaseKindHandler, wait: float) -> None:
        """Follow a kind of stored objects."""
        watch = KindWatch(self.store, kind, handler, self.log, read_boot_time, wait)
        self.spawn(watch.run())

    def spawn(self, work) -> None:
        """Run a task; one that fails is logged and ends the daemon."""
        task = asyncio.create_task(work)
        self.tasks.append(task)
        task.add_done_callback(self.note_task_end)

    def note_task_end(self, task: asyncio.Task) -> None:
        """Log the failure of a task."""
        if not task.cancelled() and task.exception() is not None:
            self.log.write("defect", error=repr(task.exception()), where=task.get_name())
            raise task.exception()

    async def register(self) -> None:
        """Register this daemon in the store."""
        while True:
            try:
                await self.put_registration()
                return
            except PlatformError as error:
                self.log.write("registration_failed", error=str(error)[:200])
                await asyncio.sleep(self.rng.uniform(0.3, 0.8))

    async def put_registration(self) -> None:
        """Create or replace the registration.

        :raises PlatformError: if it failed or its answer was lost
        """
        try:
            await self.store.create(MEMBERS_KIND, self.own.daemon, self.own.encode())
        except ConflictError:
            found = await self.store.read(MEMBERS_KIND, self.own.daemon)
            revision = found.revision if found else 0
            await self.store.replace(MEMBERS_KIND, self.own.daemon, self.own.encode(), revision)

    async def sweep(self) -> None:
        """Close connections that are no longer needed."""
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            for upstream_id in list(self.pools.idle):
                if upstream_id not in self.beliefs.upstreams.entries:
                    self.pools.forget(upstream_id)
            self.pools.sweep()

    @property
    def ready(self) -> bool:
        """Whether callers' requests are served."""
        return self.beliefs.complete and not self.leaving

    def list_fronts(self, failure_domain: str) -> list[str]:
        """Return the addresses for a caller; called from threads of the page."""
        now = self.loop.time()
        fronts = [member.front for member in self.members.list_fronts(now)]
        if self.ready:
            fronts.append(self.own.front)
        return fronts

    def build_report(self, known_version: int) -> PeerReport:
        """Return this daemon's report."""
        now = self.loop.time()
        self.counter += 1
        config = self.beliefs.config
        version = config.version if config else 0
        age = self.beliefs.proof_age
        flights = tuple(
            (entry.record.id, entry.in_flight)
            for entry in self.beliefs.upstreams.entries.values()
            if entry.in_flight
        )
        news = self.quota.build_report(now)
        quota = tuple((name, item.used, item.rate) for name, item in news.items())
        return PeerReport(
            self.own.daemon,
            self.own.incarnation,
            self.counter,
            self.own.address,
            self.own.front,
            self.own.failure_domain,
            self.ready,
            version,
            int(age * 1000) if age < 1e6 else -1,
            self.beliefs.document if version > known_version else b"",
            flights,
            quota,
            self.usage.encode(),
            self.leadership.fencing,
            self.members.build_rows(now),
        )

    def take_report(self, report: PeerReport, asked_at: float | None) -> None:
        """Take another daemon's report."""
        now = self.loop.time()
        member = Member(
            report.daemon,
            report.incarnation,
            report.address,
            report.front,
            report.failure_domain,
        )
        self.members.learn(member, now, report.serving)
        self.members.take_rows(report.members, now)
        if report.configuration:
            take_document(self.beliefs, self.log, report.configuration, report.daemon)
        if asked_at is not None and report.proof_age_ms >= 0:
            self.beliefs.prove(report.config_version, asked_at - report.proof_age_ms / 1000)
        if report.leading >= self.leading_heard[0]:
            self.leading_heard = (report.leading, now) if report.leading else self.leading_heard
        self.leadership.holder_heard = now - self.leading_heard[1] < LEADER_SILENT_SECONDS
        self.take_flights(report)
        news = {name: QuotaNews(used, rate) for name, used, rate in report.quota}
        self.quota.note_report(report.daemon, report.incarnation, news, now)
        self.usage.take(report.daemon, report.incarnation, report.usage)

    def take_flights(self, report: PeerReport) -> None:
        """Take the requests that another daemon has at upstreams."""
        flights = dict(report.flights)
        for upstream_id, entry in self.beliefs.upstreams.entries.items():
            count = flights.get(upstream_id, 0)
            if count:
                entry.elsewhere[report.daemon] = count
            else:
                entry.elsewhere.pop(report.daemon, None)

    def take_settings(self, settings: GatewaySettings) -> None:
        """Take settings that were read again; addresses change only with a new start."""
        self.settings = settings
        self.beliefs.bounds = settings.bounds
        self.log.write("reloaded", store=settings.store)

    async def stop(self) -> None:
        """Leave, serve what still comes, and stop before the grace ends."""
        self.leaving = self.front.leaving = True
        self.log.write("leaving", in_flight=self.dispatcher.in_flight)
        self.links.start_exchanges()
        started = self.loop.time()
        latest = started + self.settings.bounds.grace - STOP_MARGIN_SECONDS
        while self.loop.time() < latest:
            await asyncio.sleep(0.1)
            quiet = self.loop.time() - started > LEAVE_QUIET_SECONDS
            if quiet and self.dispatcher.in_flight == 0:
                break
        await self.leadership.release()
        self.log.write("stopped", in_flight=self.dispatcher.in_flight)
        self.close()

    def close(self) -> None:
        """Close ports and connections at once."""
        self.front.close()
        for task in self.tasks:
            task.cancel()
        self.peer_server.close()
        self.links.close()
        self.pools.close()
        self.store.close()
        for page in self.pages:
            page.stop()
