"""One gateway daemon: its tasks, its ports and its stop."""

__all__ = ["GatewayNode"]

import asyncio
import itertools
import random

from tanagertrail.daemons.peer_messages import DaemonState, FleetSummary
from tanagertrail.gateway.clock import SteadyWallClock, read_boot_time, read_wall_time
from tanagertrail.gateway.cluster_view import ClusterView
from tanagertrail.gateway.crash_detector import CrashDetector
from tanagertrail.gateway.dispatch import Dispatcher
from tanagertrail.gateway.duties import DutyRunner
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.gauges import list_gauges
from tanagertrail.gateway.handlers import (
    ConfigHandler,
    EvacuationHandler,
    RolloutHandler,
    UpstreamHandler,
)
from tanagertrail.gateway.http_server import DEFAULT_LIMITS, HttpServer
from tanagertrail.gateway.leadership import Leadership
from tanagertrail.gateway.members import (
    MEMBERS_KIND,
    Member,
    MemberHandler,
    MemberTable,
    build_own_member,
    register_member,
)
from tanagertrail.gateway.metrics import GatewayMetrics
from tanagertrail.gateway.mirror import BaseKindHandler, KindMirror
from tanagertrail.gateway.model import GatewaySettings, Limits
from tanagertrail.gateway.page_server import PageServers
from tanagertrail.gateway.peers import PeerLinks, PeerServer
from tanagertrail.gateway.pools import ConnectionPools
from tanagertrail.gateway.quarantine import QUARANTINE_KIND, QuarantineHandler, QuarantineStore
from tanagertrail.gateway.state_sync import StateSync, SyncDelegate
from tanagertrail.gateway.store_watch import KindWatch, StoreBackoff, WatchRole, WatchTiming
from tanagertrail.gateway.suspects import SuspectTracker
from tanagertrail.gateway.upstream_sender import UpstreamSender
from tanagertrail.gateway.usage import UsageCounter
from tanagertrail.platform.cloud import CloudClient
from tanagertrail.platform.pages import DirectoryPage, ReadyPage
from tanagertrail.platform.records import CONFIGURATION, EVACUATIONS, ROLLOUTS, UPSTREAMS
from tanagertrail.platform.store import StoreClient
from tanagertrail.policy.canary import TrialCounts
from tanagertrail.policy.token_quota import QuotaLimiter, QuotaUsage
from tanagertrail.settings.gateway import GatewayTuning

CONFIG_STALENESS_SHARE = 0.68  # of the bound on a new configuration
DRAIN_STALENESS_SHARE = 0.68  # of the bound on an upstream that leaves
ORDER_STALENESS_SHARE = 0.78  # of the bound on a failure domain that is emptied
LONGEST_WAIT_SECONDS = 2.0
RARE_CHANGE_TIMING = WatchTiming(8.0, 12.0)  # of kinds whose changes are not urgent
DIRECT_PROPAGATION_SECONDS = 1.0  # two exchanges of daemons that all hear each other
RELAYED_PROPAGATION_SECONDS = 1.75  # two exchanges by way of hubs
ANSWER_LIFETIME_SECONDS = 1.0
SWEEP_SECONDS = 1.0
LEAVE_QUIET_SECONDS = 3.5  # callers keep an address answer three times its lifetime
STOP_MARGIN_SECONDS = 0.6
QUIET_LOOK_SECONDS = 0.05
LEADER_SILENT_SECONDS = 1.5  # of a lease of 3 s, which is waited for before a claim
LEADER_LOST_SECONDS = 4.0  # after which others than the first candidates claim the lease
LEASE_CANDIDATES = 3
SETTLE_SECONDS = 1.5  # until a new daemon knows whether it is a hub, which gathers the usage


class GatewayNode(SyncDelegate):
    """The tasks of one daemon."""

    def __init__(self, settings: GatewaySettings, tuning: GatewayTuning | None = None) -> None:
        self.settings = settings
        self.tuning = tuning or GatewayTuning()
        self.loop = asyncio.get_running_loop()
        self.incarnation = int(read_wall_time() * 1000)
        rate = self.tuning.log.routine_lines_per_second
        self.log = EventLog(settings.name, self.loop.time, rate)
        self.rng = random.Random(self.incarnation)
        self.cluster_view = ClusterView(settings.bounds, read_boot_time)
        self.store = StoreClient(settings.store)
        self.members = MemberTable(build_own_member(settings, self.incarnation), self.log)
        self.pools = ConnectionPools()
        self.crash_detector = CrashDetector(self.log)
        self.cluster_view.upstreams.on_registration_ended = self.crash_detector.note_crashed
        self.suspects = SuspectTracker(self.log)
        self.crash_detector.on_crash = self.suspects.record_loss
        self.quota = QuotaLimiter(settings.bounds.quota_window, self.loop.time())
        self.wall_clock = SteadyWallClock(read_wall_time, read_boot_time)
        self.usage = UsageCounter(settings.bounds.usage_window, self.wall_clock.read)
        self.dispatcher = Dispatcher(
            self.cluster_view,
            self.members,
            UpstreamSender(
                self.pools,
                self.usage,
                self.crash_detector,
                self.suspects,
                self.tuning.answers.most_bytes,
            ),
            self.quota,
            self.suspects,
            self.log,
            self.rng,
            self.tuning.policy.placement,
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
        self.front = HttpServer(self.dispatcher.handle, self.get_limits, self.log)
        self.mirrors: dict[str, KindMirror] = {}
        self.watches: list[KindWatch] = []
        self.store_backoff = StoreBackoff(self.rng)
        self.state_sync = StateSync(self, self.members, self.mirrors)
        self.peer_server = PeerServer(self.state_sync, self.log)
        self.links = PeerLinks(
            self.state_sync, self.members, self.log, self.rng, read_boot_time, self.list_seeds()
        )
        self.leadership.may_follow = self.may_follow_lease
        self.leadership.may_hold = lambda: self.state_sync.topology.is_hub
        self.started_at = self.loop.time()
        self.pages = PageServers(self.log)
        self.tasks: list[asyncio.Task] = []
        self.counter = 0
        self.quarantine: QuarantineStore | None = None
        self.leader_heard_at = self.loop.time() - LEADER_SILENT_SECONDS
        self.leaving = False

    @property
    def own(self) -> Member:
        """Return the description of this daemon."""
        return self.members.own

    def get_limits(self) -> Limits:
        """Return the limits of callers' requests."""
        config = self.cluster_view.config
        return config.limits if config else DEFAULT_LIMITS

    async def start(self) -> None:
        """Open the ports and start the tasks.

        :raises OSError: if a port is taken
        """
        await self.peer_server.start(self.settings.host, self.settings.internal[0])
        host, _, port = self.settings.front.rpartition(":")
        await self.front.start(host, int(port))
        await self.pages.serve(self.settings.ready, ReadyPage(lambda: self.ready))
        if self.settings.directory:
            lifetime = min(ANSWER_LIFETIME_SECONDS, self.settings.bounds.answer_lifetime)
            await self.pages.serve(
                self.settings.directory, DirectoryPage(self.list_fronts, lifetime)
            )
        if self.tuning.metrics.port:
            metrics = self.dispatcher.metrics = GatewayMetrics(lambda: list_gauges(self))
            address = f"{self.settings.host}:{self.tuning.metrics.port}"
            await self.pages.serve_metrics(address, metrics)
        bounds = self.settings.bounds
        config_timing = WatchTiming(
            LONGEST_WAIT_SECONDS, CONFIG_STALENESS_SHARE * bounds.config_apply
        )
        upstream_timing = WatchTiming(LONGEST_WAIT_SECONDS, DRAIN_STALENESS_SHARE * bounds.drain)
        order_timing = WatchTiming(LONGEST_WAIT_SECONDS, ORDER_STALENESS_SHARE * bounds.evacuate)
        self.watch(CONFIGURATION, ConfigHandler(self.cluster_view, self.log), config_timing)
        self.watch(UPSTREAMS, UpstreamHandler(self.cluster_view, self.log), upstream_timing)
        self.watch(EVACUATIONS, EvacuationHandler(self.cluster_view, self.log), order_timing)
        self.watch(ROLLOUTS, RolloutHandler(self.cluster_view, self.log), order_timing)
        self.watch(MEMBERS_KIND, MemberHandler(self.members, self.loop.time), RARE_CHANGE_TIMING)
        self.watch(QUARANTINE_KIND, QuarantineHandler(self.suspects), RARE_CHANGE_TIMING)
        self.quarantine = QuarantineStore(
            self.store, self.mirrors[QUARANTINE_KIND], self.settings.name, self.log, self.rng
        )
        self.suspects.on_loss = self.links.tell_all
        self.suspects.on_quarantine = self.quarantine.start_storing
        self.spawn(self.quarantine.run(lambda: self.leadership.fencing > 0))
        self.spawn(register_member(self.store, self.members, self.log, self.rng))
        self.spawn(self.links.run())
        self.spawn(self.sweep())
        self.spawn(self.leadership.run())
        if self.settings.cloud:
            self.spawn(self.build_duties().run())
        self.log.write("started", incarnation=self.incarnation, front=self.settings.front)

    def build_duties(self) -> DutyRunner:
        """Return the runner of the duties."""
        return DutyRunner(
            self.cluster_view,
            self.leadership,
            self.store,
            CloudClient(self.settings.cloud),
            self.usage,
            self.settings.name,
            self.log,
            self.tuning.policy.fleet,
            self.count_trial,
            self.count_read,
        )

    def count_trial(self, service: str, order_id: int) -> TrialCounts:
        """Return what all daemons saw of a move."""
        total = TrialCounts()
        own = self.dispatcher.trials.encode()
        states = [known.state.trials for known in self.state_sync.states.values()]
        for name, order, counts in itertools.chain(own, *states):
            if (name, order) == (service, order_id):
                total = total.add(TrialCounts(*counts))
        return total

    def count_read(self, service: str) -> float:
        """Return the tokens of prompts that living daemons sent to a service since they started.

        A daemon that leaves or starts anew makes the sum fall, which counts as no rise.
        """
        own = self.dispatcher.prompt_tokens_sent[service]
        states = [known.state.prompt_tokens for known in self.state_sync.states.values()]
        return own + sum(dict(read).get(service, 0) for read in states)

    def list_seeds(self) -> tuple[str, ...]:
        """Return addresses at which other daemons may be met while none is known."""
        port = self.settings.internal[0]
        hosts = (seed.rpartition(":")[0] for seed in self.settings.seeds)
        return tuple(f"{host}:{port}" for host in hosts)

    def watch(self, kind: str, handler: BaseKindHandler, timing: WatchTiming) -> None:
        """Follow a kind of stored objects."""
        mirror = self.mirrors[kind] = KindMirror(kind, handler, read_boot_time)
        watch = KindWatch(
            self.store,
            mirror,
            self.log,
            self.rng,
            timing,
            self.describe_role,
            self.links.push_news,
            self.store_backoff,
        )
        self.watches.append(watch)
        self.spawn(watch.run())

    def describe_role(self) -> WatchRole:
        """Return what this daemon does to follow the store."""
        topology = self.state_sync.topology
        direct = len(topology.hubs) > len(self.members.states)
        settled = self.loop.time() - self.started_at >= SETTLE_SECONDS
        propagation_seconds = DIRECT_PROPAGATION_SECONDS if direct else RELAYED_PROPAGATION_SECONDS
        is_watching = topology.is_watcher
        if topology.is_standby:
            is_watching = not self.state_sync.is_store_reachable_by(topology.hubs[: topology.rank])
        return WatchRole(is_watching and settled, topology.is_standby, propagation_seconds)

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

    async def sweep(self) -> None:
        """Close connections that are no longer needed."""
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            for upstream_id in list(self.pools.idle):
                if upstream_id not in self.cluster_view.upstreams.entries:
                    self.pools.close_idle(upstream_id)
            self.pools.close_expired()
            alive = [
                state.member.daemon for state in self.members.list_alive_members(self.loop.time())
            ]
            self.cluster_view.upstreams.drop_dead_daemons(alive)
            if self.state_sync.topology.is_hub:
                self.quota.retain_daemons(self.state_sync.states)

    @property
    def ready(self) -> bool:
        """Whether callers' requests are served."""
        return self.cluster_view.complete and not self.leaving

    def list_fronts(self, failure_domain: str) -> list[str]:
        """Return the addresses for a caller."""
        now = self.loop.time()
        fronts = [member.front for member in self.members.list_fronts(now)]
        if self.ready:
            fronts.append(self.own.front)
        return fronts

    def may_follow_lease(self) -> bool:
        """Say whether this daemon is to claim the lease if its holder falls silent."""
        topology = self.state_sync.topology
        silent = self.loop.time() - self.leader_heard_at
        if not topology.is_hub or silent < LEADER_SILENT_SECONDS:
            return False
        if self.loop.time() - self.started_at < SETTLE_SECONDS:
            return False
        return topology.rank < LEASE_CANDIDATES or silent > LEADER_LOST_SECONDS

    def on_store_update(self) -> None:
        """Pass on news of the store."""
        self.links.push_news()

    def describe_state(self) -> DaemonState:
        """Return this daemon's state."""
        now = self.loop.time()
        self.counter += 1
        flights = tuple(
            (entry.record.id, entry.in_flight)
            for entry in self.cluster_view.upstreams.entries.values()
            if entry.in_flight
        )
        news = self.quota.build_report(now)
        quota = tuple((name, item.used, item.rate) for name, item in news.items())
        return self.own.build_state(
            self.counter,
            serving=self.ready,
            lease_fencing=self.leadership.fencing if self.leadership.renewing else 0,
            lease_renewal=self.leadership.describe_renewal(),
            store_reachable=all(watch.is_store_reachable for watch in self.watches),
            in_flight=flights,
            quota=quota,
            usage=self.usage.encode(),
            trials=self.dispatcher.trials.encode(),
            prompt_tokens=tuple(self.dispatcher.prompt_tokens_sent.items()),
            upstream_losses=self.suspects.encode_losses(),
        )

    def apply_state(self, state: DaemonState) -> None:
        """Take another daemon's state; one that is no hub is told sums besides."""
        now = self.loop.time()
        if state.lease_fencing:
            self.record_leader_seen(state.age_ms / 1000)
            self.leadership.note_told(state.lease_fencing, state.lease_renewal, state.age_ms)
        self.usage.merge(state.daemon, state.incarnation, state.usage)
        reported_at = now - state.age_ms / 1000
        self.suspects.merge_losses(
            state.daemon, state.incarnation, state.upstream_losses, reported_at
        )
        if self.state_sync.topology.is_hub:
            news = {name: QuotaUsage(used, rate) for name, used, rate in state.quota}
            self.quota.note_report(state.daemon, state.incarnation, news, now)
            self.cluster_view.upstreams.record_in_flight(state.daemon, dict(state.in_flight))

    def record_leader_seen(self, age: float) -> None:
        """Note that the holder of the lease lived some seconds ago."""
        self.leader_heard_at = max(self.leader_heard_at, self.loop.time() - age)

    def apply_fleet_summary(self, hub: str, incarnation: int, summary: FleetSummary) -> None:
        """Take what all other daemons do together."""
        self.quota.retain_daemons((hub,))
        news = {name: QuotaUsage(used, rate) for name, used, rate in summary.quota}
        self.quota.note_report(hub, incarnation, news, self.loop.time(), summary.daemon_count)
        self.cluster_view.upstreams.replace_in_flight(dict(summary.in_flight))

    def take_settings(self, settings: GatewaySettings, cause: str) -> None:
        """Take settings that were read again; addresses change only with a new start."""
        changed = [
            name
            for name, old, new in zip(settings._fields, self.settings, settings, strict=True)
            if old != new
        ]
        self.settings = settings
        self.cluster_view.bounds = settings.bounds
        self.leadership.lease = settings.bounds.lease
        self.log.write("reloaded", cause=cause, changed=changed)

    async def stop(self) -> None:
        """Leave, serve what still comes, and stop before the grace ends."""
        self.leaving = self.front.stopping = True
        self.log.write("leaving", in_flight=self.dispatcher.in_flight)
        self.links.tell_all()
        started = self.loop.time()
        latest = started + self.settings.bounds.grace - STOP_MARGIN_SECONDS
        await self.await_quiet(started + LEAVE_QUIET_SECONDS, latest)
        await self.leadership.release()
        # Requests may have come while the store was asked.
        await self.await_quiet(started, latest)
        self.front.stop_listening()
        await self.await_quiet(started, latest)
        self.log.write("stopped", in_flight=self.dispatcher.in_flight)
        self.close()

    async def await_quiet(self, earliest: float, latest: float) -> None:
        """Wait until a time, and on until no caller waits for an answer.

        :param latest: event-loop time in seconds after which callers are no longer waited for
        """
        while self.loop.time() < latest:
            if self.loop.time() >= earliest and not self.front.unanswered:
                break
            await asyncio.sleep(QUIET_LOOK_SECONDS)

    def close(self) -> None:
        """Close ports and connections at once."""
        self.front.close()
        for task in self.tasks:
            task.cancel()
        if self.quarantine is not None:
            self.quarantine.close()
        self.peer_server.close()
        self.links.close()
        self.pools.close()
        self.store.close()
        self.pages.close()
