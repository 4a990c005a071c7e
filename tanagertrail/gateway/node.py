"""One gateway daemon: its components, tasks, ports and shutdown."""

__all__ = ["GatewayNode"]

import asyncio
import random
from functools import partial

from tanagertrail.daemons.releases import RELEASE
from tanagertrail.gateway.brittle_upstreams import BrittleUpstreams
from tanagertrail.gateway.caller_guard import CallerGuard, build_budget
from tanagertrail.gateway.carry_server import CarryServer
from tanagertrail.gateway.clock import SteadyWallClock, read_boot_time, read_wall_time
from tanagertrail.gateway.cluster_view import ClusterView
from tanagertrail.gateway.crash_detector import CrashDetector
from tanagertrail.gateway.dispatch import Dispatcher
from tanagertrail.gateway.duties import DutyRunner
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.fleet_sums import sum_prompt_tokens, sum_trial_counts
from tanagertrail.gateway.gauges import list_gauges
from tanagertrail.gateway.http_server import DEFAULT_LIMITS, HttpServer
from tanagertrail.gateway.leadership import Leadership
from tanagertrail.gateway.loss_store import LossStore
from tanagertrail.gateway.members import (
    MEMBERS_KIND,
    Member,
    MemberTable,
    build_own_member,
    register_member,
)
from tanagertrail.gateway.metrics import GatewayMetrics
from tanagertrail.gateway.model import GatewaySettings, Limits
from tanagertrail.gateway.node_state import NodeState
from tanagertrail.gateway.page_server import PageServers
from tanagertrail.gateway.peers import PeerClient, PeerServer
from tanagertrail.gateway.planned_stop import PlannedStop
from tanagertrail.gateway.pools import ConnectionPools
from tanagertrail.gateway.quarantine import QUARANTINE_KIND, QuarantineStore
from tanagertrail.gateway.rate_limits import RateLimitTable
from tanagertrail.gateway.shared_rates import SharedRates
from tanagertrail.gateway.startup import Startup
from tanagertrail.gateway.state_sync import StateSync
from tanagertrail.gateway.store_follower import StoreFollower
from tanagertrail.gateway.store_watch import WatchRole
from tanagertrail.gateway.supervision import Supervisor
from tanagertrail.gateway.suspects import SuspectTracker
from tanagertrail.gateway.upstream_links import UpstreamLinks
from tanagertrail.gateway.upstream_paces import UpstreamPaces
from tanagertrail.gateway.upstream_sender import UpstreamSender
from tanagertrail.gateway.upstream_statements import UpstreamStatements
from tanagertrail.gateway.usage import UsageCounter
from tanagertrail.platform.cloud import CloudClient
from tanagertrail.platform.pages import DirectoryPage, ReadyPage
from tanagertrail.platform.store import StoreClient
from tanagertrail.policy.canary import TrialCounts
from tanagertrail.policy.link_state import select_fronts
from tanagertrail.policy.token_quota import QuotaLimiter
from tanagertrail.settings.gateway import GatewayTuning

DIRECT_PROPAGATION_SECONDS = 1.0  # two exchange periods, if all daemons exchange directly
RELAYED_PROPAGATION_SECONDS = 1.75  # two exchange periods with relays by hubs
DIRECTORY_TTL_SECONDS = 1.0
CLEANUP_INTERVAL_SECONDS = 1.0
LEADER_MISSING_SECONDS = 1.5  # of a lease of 3 s, which must expire before a claim
LEADER_LOST_SECONDS = 4.0  # after which lower-ranked daemons claim the lease too
LEASE_CANDIDATES = 3  # highest-ranked daemons, which claim a missing holder's lease first
STARTUP_SETTLE_SECONDS = 1.5  # until a new daemon knows if it is a hub, which collects usage


class GatewayNode:
    """One gateway daemon with all its components and tasks."""

    def __init__(self, settings: GatewaySettings, tuning: GatewayTuning | None = None) -> None:
        self.settings = settings
        self.tuning = tuning or GatewayTuning()
        self.caller_budget = build_budget(settings, self.tuning)
        self.loop = asyncio.get_running_loop()
        self.incarnation = int(read_wall_time() * 1000)  # Unix time in milliseconds
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
        self.quota = QuotaLimiter(settings.bounds.quota_window, self.loop.time(), self.rng)
        self.wall_clock = SteadyWallClock(read_wall_time, read_boot_time)
        self.usage = UsageCounter(settings.bounds.usage_window, self.wall_clock.read)
        self.links = UpstreamLinks(self.cluster_view, self.pools, self.members, self.log, self.rng)
        self.links.on_change = self.handle_links_change
        self.crash_detector.reaches_upstreams = self.links.await_verdict
        self.shared_rates = SharedRates(
            self.members, lambda: self.ready and self.links.reaches_upstreams
        )
        self.rate_limits = RateLimitTable(self.shared_rates, self.log, read_boot_time)
        self.statements = UpstreamStatements(self.cluster_view.upstreams, self.log, read_boot_time)
        self.cluster_view.upstreams.states_leaving = self.statements.is_leaving
        self.crash_detector.states_leaving = self.statements.is_leaving
        self.brittle = BrittleUpstreams(
            self.cluster_view.upstreams, self.shared_rates, self.log, read_boot_time
        )
        self.paces = UpstreamPaces(
            self.cluster_view.upstreams, self.statements, read_boot_time, self.rng
        )
        self.dispatcher = Dispatcher(
            self.cluster_view,
            self.members,
            UpstreamSender(
                self.pools,
                self.usage,
                self.crash_detector,
                self.suspects,
                self.rate_limits,
                self.statements,
                self.brittle,
                self.paces,
                self.links,
                self.tuning.answers.most_bytes,
                self.log,
            ),
            self.quota,
            self.suspects,
            self.links,
            self.log,
            self.rng,
            self.tuning.policy.placement,
            self.tuning.policy.room,
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
        self.guard = CallerGuard(lambda: self.caller_budget)
        self.http_server = HttpServer(
            self.dispatcher.handle,
            self.get_limits,
            self.log,
            self.guard,
            lambda: self.caller_budget.connections,
        )
        self.carry_server = CarryServer(
            self.dispatcher,
            self.get_limits,
            self.log,
            settings.cores,
            settings.max_descriptors,
            self.guard,
        )
        self.carry_server.is_ready = lambda: self.ready
        self.carry_server.list_hosts = self.list_peer_hosts
        self.follower = StoreFollower(
            self.store, self.cluster_view, self.members, self.suspects, self.log, self.rng
        )
        self.follower.get_watch_role = self.get_watch_role
        self.follower.on_restored = self.handle_restored_store
        self.mirrors, self.watches = self.follower.mirrors, self.follower.watches
        self.node_state = NodeState(self)
        self.state_sync = StateSync(self.node_state, self.members, self.mirrors)
        self.state_sync.on_heard = self.follower.contact.note_heard
        self.peer_server = PeerServer(self.state_sync, self.log)
        self.peer_client = PeerClient(
            self.state_sync, self.members, self.log, self.rng, read_boot_time, self.list_seeds()
        )
        self.follower.on_change = self.peer_client.schedule_push
        self.follower.on_config_kept = self.peer_client.exchange_with_all
        self.leadership.may_observe = self.may_observe_lease
        self.leadership.may_hold = lambda: self.state_sync.topology.is_hub
        self.started_at = self.loop.time()
        self.dispatcher.startup = self.build_startup()
        self.page_servers = PageServers(self.log, self.guard, self.tuning.callers.page_connections)
        self.supervisor = Supervisor(self.log)
        self.peer_server.on_defect = self.peer_client.on_defect = self.supervisor.report
        self.quarantine: QuarantineStore | None = None
        self.duty_runner: DutyRunner | None = None
        self.leader_seen_at = self.loop.time() - LEADER_MISSING_SECONDS
        self.stopping = False  # while set, this daemon does not report itself as serving

    @property
    def own(self) -> Member:
        """Return this daemon as a member of the fleet."""
        return self.members.own

    def get_limits(self) -> Limits:
        """Return the limits on callers' requests."""
        config = self.cluster_view.config
        return config.limits if config else DEFAULT_LIMITS

    async def start(self) -> None:
        """Open the ports and start the tasks.

        :raises OSError: if a port is already in use
        """
        await self.peer_server.start(self.settings.host, self.settings.internal[0])
        if self.own.carrier:
            await self.carry_server.start(self.settings.host, self.settings.internal[0] + 1)
        host, _, port = self.settings.front.rpartition(":")
        await self.http_server.start(host, int(port))
        await self.page_servers.serve(self.settings.ready, ReadyPage(lambda: self.ready))
        if self.settings.directory:
            lifetime = min(DIRECTORY_TTL_SECONDS, self.settings.bounds.address_ttl)
            await self.page_servers.serve(
                self.settings.directory, DirectoryPage(self.list_fronts, lifetime)
            )
        if self.tuning.metrics.port:
            metrics = GatewayMetrics(lambda: list_gauges(self))
            self.dispatcher.metrics = self.dispatcher.silences.metrics = metrics
            self.dispatcher.retry_rules.metrics = self.dispatcher.room_queue.metrics = metrics
            address = f"{self.settings.host}:{self.tuning.metrics.port}"
            await self.page_servers.serve_metrics(address, metrics)
        for watch in self.follower.build_watches(self.settings.bounds):
            self.supervisor.start(f"watch of {watch.mirror.kind}", watch.run)
        self.quarantine = QuarantineStore(
            self.store, self.mirrors[QUARANTINE_KIND], self.settings.name, self.log, self.rng
        )
        self.suspects.on_loss = self.peer_client.exchange_with_all
        self.rate_limits.on_change = self.peer_client.exchange_with_all
        self.statements.on_change = self.peer_client.exchange_with_all
        self.brittle.on_change = self.peer_client.exchange_with_all
        self.suspects.on_quarantine = self.quarantine.start_storing
        self.follower.quarantine_handler.on_lost = self.quarantine.start_storing
        self.suspects.on_refuted = self.quarantine.start_removing
        self.suspects.hears_all_losses = self.state_sync.hears_all_losses
        self.suspects.relays = self.is_relaying_hub
        self.quarantine.adopt_task = self.supervisor.adopt
        self.supervisor.start("quarantines", self.run_quarantines)
        losses = LossStore(self.store, self.suspects, self.settings.name, self.log)
        self.suspects.on_suspect = losses.add
        self.supervisor.start("losses", losses.run)
        self.start_registration()
        self.supervisor.start("exchange", self.peer_client.run)
        self.supervisor.start("startup", self.dispatcher.startup.run)
        self.supervisor.start("cleanup", self.run_cleanup)
        self.links.waiting = lambda: self.dispatcher.in_flight
        self.supervisor.start("links", self.links.run)
        self.supervisor.start("lease", self.leadership.run)
        if self.settings.cloud:
            self.duty_runner = self.build_duty_runner()
            self.supervisor.start("duties", self.duty_runner.run)
        front, release = self.settings.front, RELEASE
        self.log.write("started", incarnation=self.incarnation, front=front, release=release)

    def build_startup(self) -> Startup:
        """Return what learns the limits in force and holds requests until then."""
        longest_wait = self.tuning.policy.startup_wait_ms / 1000
        startup = Startup(self.cluster_view, self.members, self.log, longest_wait)
        startup.contact_silent = lambda: self.peer_client.contact_silent_members(set())
        startup.is_listed = lambda: self.mirrors[MEMBERS_KIND].synced_at is not None
        return startup

    def build_duty_runner(self) -> DutyRunner:
        """Return the runner of the lease holder's duties."""
        return DutyRunner(
            self.cluster_view,
            self.leadership,
            self.store,
            CloudClient(self.settings.cloud),
            self.usage,
            self.settings.name,
            self.log,
            self.tuning.policy.fleet,
            self.get_trial_counts,
            self.get_prompt_tokens,
            self.rate_limits.get_rate,
        )

    def get_trial_counts(self, service: str, order_id: int) -> TrialCounts:
        """Return the trial results of all daemons for one rollout order."""
        own = self.dispatcher.trials.encode()
        return sum_trial_counts(own, self.state_sync.states.values(), service, order_id)

    def get_prompt_tokens(self, service: str) -> float:
        """Return the prompt tokens that all known daemons sent to a service since they started."""
        own = self.dispatcher.prompt_tokens_sent[service]
        return own + sum_prompt_tokens(self.state_sync.states.values(), service)

    def list_seeds(self) -> tuple[str, ...]:
        """Return addresses to try for other daemons while none is known."""
        port = self.settings.internal[0]
        return tuple(f"{seed.rpartition(':')[0]}:{port}" for seed in self.settings.seeds)

    def list_peer_hosts(self) -> set[str]:
        """Return the hosts of other daemons."""
        return self.members.list_hosts() | {seed.rpartition(":")[0] for seed in self.settings.seeds}

    def handle_restored_store(self) -> None:
        """Do again what a store that came back from an older copy may have lost."""
        self.leadership.note_store_restored()
        if self.duty_runner is not None:
            self.duty_runner.note_store_restored()
        self.start_registration()

    def start_registration(self) -> None:
        """Start to register this daemon in the store."""
        work = partial(register_member, self.store, self.members, self.log, self.rng)
        self.supervisor.start("registration", work)

    async def run_quarantines(self) -> None:
        """Remove expired quarantines while this daemon holds the lease, until cancelled."""
        await self.quarantine.run(lambda: self.leadership.fencing > 0)

    def get_watch_role(self) -> WatchRole:
        """Return this daemon's part in watching the store."""
        topology = self.state_sync.topology
        direct = len(topology.hubs) > len(self.members.states)
        settled = self.loop.time() - self.started_at >= STARTUP_SETTLE_SECONDS
        propagation_seconds = DIRECT_PROPAGATION_SECONDS if direct else RELAYED_PROPAGATION_SECONDS
        is_watching = topology.is_watcher
        if topology.is_standby:
            is_watching = not self.state_sync.is_store_reachable_by(topology.hubs[: topology.rank])
        return WatchRole(is_watching and settled, topology.is_standby, propagation_seconds)

    async def run_cleanup(self) -> None:
        """Drop connections and counts that are no longer needed, until cancelled."""
        while True:
            await asyncio.sleep(CLEANUP_INTERVAL_SECONDS)
            for upstream_id in list(self.pools.idle):
                if upstream_id not in self.cluster_view.upstreams.entries:
                    self.pools.close_idle(upstream_id)
            self.pools.close_expired()
            self.dispatcher.carry_client.pools.close_expired()
            alive = [state.member.daemon for state in self.members.list_alive(self.loop.time())]
            self.cluster_view.upstreams.drop_dead_daemons(alive)
            self.suspects.forget_daemons_except(alive)
            self.shared_rates.refresh_fleet()
            self.rate_limits.forget_ended(self.cluster_view.upstreams.entries)
            self.statements.forget_ended()
            self.brittle.forget_ended(self.cluster_view.upstreams.entries)
            self.brittle.forget_rooms()
            self.paces.forget_ended(self.cluster_view.upstreams.entries)
            self.paces.refresh_rates()
            self.shared_rates.forget_except(self.rate_limits.list_keys())
            if self.state_sync.topology.is_hub:
                self.quota.retain_daemons(self.state_sync.states)
            if self.members.is_registration_outdated:
                self.start_registration()

    @property
    def ready(self) -> bool:
        """Return whether callers' requests are served."""
        return self.cluster_view.complete and not self.stopping

    def list_fronts(self, failure_domain: str) -> list[str]:
        """Return the addresses of the daemons that serve callers."""
        serving = [
            (state.member.front, state.reaches_upstreams)
            for state in self.members.list_serving(self.loop.time())
        ]
        if self.ready:
            serving.append((self.own.front, self.links.reaches_upstreams))
        return select_fronts(serving)

    def handle_links_change(self) -> None:
        """Tell the other daemons whether upstreams are reached, and drop what no longer holds."""
        entries = self.cluster_view.upstreams.entries.values()
        self.pools.close()
        if self.links.reaches_upstreams:
            for entry in entries:
                entry.clear_failures()
        else:
            self.crash_detector.forget_unanswered(entries)
        self.peer_client.exchange_with_all()

    def may_observe_lease(self) -> bool:
        """Return whether the lease holder is missing and this daemon may claim the lease."""
        topology = self.state_sync.topology
        silent = self.loop.time() - self.leader_seen_at
        is_new = self.loop.time() - self.started_at < STARTUP_SETTLE_SECONDS
        if not topology.is_hub or is_new or silent < LEADER_MISSING_SECONDS:
            return False
        return topology.rank < LEASE_CANDIDATES or silent > LEADER_LOST_SECONDS

    def is_relaying_hub(self) -> bool:
        """Return whether this daemon is a hub and others are not."""
        topology = self.state_sync.topology
        return topology.is_hub and len(topology.hubs) <= len(self.members.states)

    def apply_settings(self, settings: GatewaySettings, cause: str) -> None:
        """Apply reloaded settings; changed addresses take effect only after a restart."""
        changed = [
            name
            for name, old, new in zip(settings._fields, self.settings, settings, strict=True)
            if old != new
        ]
        self.settings = settings
        self.caller_budget = build_budget(settings, self.tuning)
        self.cluster_view.bounds = settings.bounds
        self.leadership.lease_duration = settings.bounds.lease
        self.log.write("reloaded", cause=cause, changed=changed)

    async def stop(self) -> None:
        """Stop being listed, serve what still arrives, and end within the grace period."""
        self.stopping = True
        self.log.write("leaving", in_flight=self.dispatcher.in_flight)
        self.peer_client.exchange_with_all()
        servers, pages = (self.http_server, self.carry_server), self.page_servers.http_servers
        gate = self.dispatcher.stop_gate
        stop = PlannedStop(servers, self.leadership, self.supervisor, self.log, gate, pages)
        await stop.run(self.settings.bounds.grace)
        self.close()

    def close(self) -> None:
        """Close all ports and connections immediately."""
        self.http_server.close()
        self.carry_server.close()
        self.supervisor.close()
        if self.quarantine is not None:
            self.quarantine.close()
        self.peer_server.close()
        self.peer_client.close()
        self.pools.close()
        self.dispatcher.carry_client.close()
        self.store.close()
        self.page_servers.close()
