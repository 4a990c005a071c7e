"""Duties that the holder of the lease does: usage reports and orders of upstreams."""

__all__ = ["DutyRunner"]

import asyncio
from collections import deque
from collections.abc import Callable

from tanagertrail.errors import ConflictError, PlatformError
from tanagertrail.gateway.cluster_view import ClusterView
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.leadership import Leadership
from tanagertrail.gateway.model import RolloutOrder, Service
from tanagertrail.gateway.upstream_table import UpstreamEntry
from tanagertrail.gateway.usage import UsageCounter
from tanagertrail.platform.cloud import (
    LONGEST_CALL_SECONDS,
    CloudClient,
    CloudReply,
    FleetOrder,
)
from tanagertrail.platform.records import ROLLOUTS, encode_rollout_report
from tanagertrail.platform.store import StoreClient
from tanagertrail.policy.canary import CanaryState, TrialCounts, decide_canary_state
from tanagertrail.policy.fleet import FLEET_PLANNERS, FleetSnapshot

USAGE_KIND = "tanagertrail-usage"
USAGE_SLOTS = 8  # objects that are used in turn, so that none piles up
PERIOD_SECONDS = 0.5
SETTLE_SECONDS = 2.0  # after a window's end, until all daemons' counts have come
DEMAND_SECONDS = 15.0  # span whose highest demand the fleet is planned for: a boot and a burst
READ_SECONDS = 5.0  # span over which the rate of prompts is taken: callers come in clumps
LEAST_READ_SECONDS = 2.0
REORDER_SECONDS = 3.0  # between equal orders whose effect has not shown
DRY_SECONDS = 6.0  # two orders in turn, after which a domain without upstreams is asked anew


class DutyRunner:
    """Do the duties while this daemon holds the lease."""

    def __init__(
        self,
        cluster_view: ClusterView,
        leadership: Leadership,
        store: StoreClient,
        cloud: CloudClient,
        usage: UsageCounter,
        daemon: str,
        log: EventLog,
        plan: str = "reclaimable",
        count_trial: Callable[[str, int], TrialCounts] = lambda service, order: TrialCounts(),
        count_read: Callable[[str], float] = lambda service: 0.0,
    ) -> None:
        self.cluster_view = cluster_view
        self.leadership = leadership
        self.store = store
        self.cloud = cloud
        self.usage = usage
        self.daemon = daemon
        self.log = log
        self.count_trial = count_trial
        self.count_read = count_read
        self.read: dict[str, deque[tuple[float, float]]] = {}
        self.moves_seen: dict[tuple[str, int], float] = {}
        self.plan = FLEET_PLANNERS.get(plan)
        self.reported: set[int] = set()
        self.demand: dict[str, deque[tuple[float, int]]] = {}
        self.ordered_at: dict[FleetOrder, float] = {}
        self.dry_until: dict[tuple[str, str], float] = {}
        self.started_window = usage.current_window()

    async def run(self) -> None:
        """Do what is due until cancelled."""
        while True:
            await asyncio.sleep(PERIOD_SECONDS)
            self.note_demand()
            if not self.leadership.may_act(LONGEST_CALL_SECONDS):
                continue
            try:
                await self.report_moves()
                await self.order_fleets()
                await self.report_windows()
            except PlatformError as error:
                self.log.write("duty_failed", error=str(error)[:200])

    def note_demand(self) -> None:
        """Note how many requests are at the upstreams of each service."""
        now = asyncio.get_running_loop().time()
        if self.cluster_view.config is None:
            return
        for name in self.cluster_view.config.services:
            running = sum(entry.running for entry in self.cluster_view.upstreams.iter_service(name))
            history = self.demand.setdefault(name, deque())
            history.append((now, running))
            while history[0][0] < now - DEMAND_SECONDS:
                history.popleft()

    def measure_read(self, service: str) -> float:
        """Return the tokens of prompts that all daemons sent to a service per second."""
        now = asyncio.get_running_loop().time()
        totals = self.read.setdefault(service, deque())
        totals.append((now, self.count_read(service)))
        while totals[0][0] < now - READ_SECONDS:
            totals.popleft()
        span = now - totals[0][0]
        rise = totals[-1][1] - totals[0][1]
        return max(rise, 0.0) / span if span >= LEAST_READ_SECONDS else 0.0

    async def report_moves(self) -> None:
        """Report the moves of services whose state has changed."""
        now = asyncio.get_running_loop().time()
        for order in list(self.cluster_view.rollouts.values()):
            seen_at = self.moves_seen.setdefault((order.service, order.order_id), now)
            if order.ended:
                continue
            state = order.state if order.reported_version == order.version else ""
            counts = self.count_trial(order.service, order.order_id)
            standing = sum(self.count_upstreams(order.service, on_trial=True).values())
            decided = decide_canary_state(counts, now - seen_at, order.seconds, standing)
            if decided != state:
                await self.report_move(order, decided, counts)

    async def report_move(
        self, order: RolloutOrder, state: CanaryState, counts: TrialCounts
    ) -> None:
        """Store the state of a move.

        :raises PlatformError: if the order has changed or the store is away
        """
        report = encode_rollout_report(order.version, state)
        await self.store.set_report(ROLLOUTS, order.service, report, order.revision)
        self.log.write(
            "rollout_report",
            service=order.service,
            version=order.version,
            state=state,
            **counts._asdict(),
        )

    async def report_windows(self) -> None:
        """Report the windows that have settled and are not yet due for too long."""
        wall = self.usage.wall_time()
        length = self.usage.window
        newest = int((wall - SETTLE_SECONDS) // length) - 1
        for window in range(newest - 1, newest + 1):
            if window not in self.reported and window >= self.started_window:
                await self.report_window(window)
        self.reported = {window for window in self.reported if window > newest - 10}

    async def report_window(self, window: int) -> None:
        """Report one window with the counts that the store holds for it.

        :raises PlatformError: if the counts cannot be agreed on
        """
        counts = await self.agree_counts(window)
        if counts is None or not self.leadership.may_act(LONGEST_CALL_SECONDS):
            return
        fencing = self.leadership.fencing
        reply = await self.cloud.report_usage(self.daemon, fencing, window, counts)
        self.log.write("usage", window=window, counts=counts, fencing=fencing, reply=reply)
        if reply is CloudReply.DONE:
            self.reported.add(window)

    async def agree_counts(self, window: int) -> dict[str, int] | None:
        """Store a window's counts, or return those that another holder has stored.

        Only one set of counts may ever be reported for a window.
        """
        name = f"window-{window % USAGE_SLOTS}"
        content = {"window": window, "counts": self.usage.sum_window(window)}
        try:
            await self.store.create(USAGE_KIND, name, content)
            return content["counts"]
        except ConflictError:
            found = await self.store.read(USAGE_KIND, name)
        if found is None or not isinstance(found.content, dict):
            return None
        if found.content.get("window") == window:
            return found.content["counts"]
        if found.content.get("window", 0) > window:
            return None
        await self.store.replace(USAGE_KIND, name, content, found.revision)
        return content["counts"]

    async def order_fleets(self) -> None:
        """Order upstreams where there are too many or too few."""
        if self.cluster_view.config is None or not self.cluster_view.upstreams_known:
            return
        for service in self.cluster_view.config.services.values():
            if service.fleet is not None:
                await self.order_fleet(service)

    async def order_fleet(self, service: Service) -> None:
        """Order one service's upstreams where their number differs from the plan."""
        plan = self.plan(self.view_fleet(service))
        present = self.count_upstreams(service.name)
        on_trial = self.count_upstreams(service.name, on_trial=True)
        for reclaimable, counts in ((True, plan.reclaimable), (False, plan.on_demand)):
            for domain, desired in counts.items():
                key = (domain, reclaimable)
                if present.get(key, 0) != desired:
                    # The platform counts upstreams that are on trial like the others.
                    total = desired + on_trial.get(key, 0)
                    await self.send_order(FleetOrder(service.name, domain, reclaimable, total))

    def view_fleet(self, service: Service) -> FleetSnapshot:
        """Return what the plan for a service depends on."""
        fleet = service.fleet
        history = self.demand.get(service.name, ())
        return FleetSnapshot(
            fleet.prices,
            fleet.reclaimable_price is not None,
            fleet.min_per_domain,
            fleet.max_per_domain,
            service.engine.batch if service.engine else 1,
            max((running for _, running in history), default=0),
            self.measure_read(service.name),
            self.count_warm(service.name),
            self.count_kind(service.name, reclaimable=False),
            self.count_kind(service.name, reclaimable=True),
            frozenset(self.cluster_view.evacuated),
            self.list_dry(service.name),
            self.is_moving(service.name),
        )

    def is_moving(self, service: str) -> bool:
        """Say whether a service is being moved to another version."""
        order = self.cluster_view.rollouts.get(service)
        return order is not None and not order.ended

    def is_on_trial(self, entry: UpstreamEntry) -> bool:
        """Say whether an upstream has a version that its service is not moved to yet."""
        order = self.cluster_view.rollouts.get(entry.record.service)
        return order is not None and entry.record.version == order.version and not order.completed

    def list_dry(self, service: str) -> frozenset[str]:
        """Return the failure domains in which no reclaimable upstreams were to be had lately."""
        now = asyncio.get_running_loop().time()
        return frozenset(
            domain
            for (name, domain), until in self.dry_until.items()
            if name == service and now < until
        )

    def count_warm(self, service: str) -> dict[str, int]:
        """Count the reclaimable upstreams that stay and are warm, by failure domain."""
        now = asyncio.get_running_loop().time()
        counts: dict[str, int] = {}
        for entry in self.cluster_view.upstreams.iter_service(service):
            if self.is_on_trial(entry):
                continue
            if entry.record.reclaimable and entry.accepts_work(now) and now >= entry.cold_until:
                domain = entry.record.failure_domain
                counts[domain] = counts.get(domain, 0) + 1
        return counts

    def count_kind(self, service: str, reclaimable: bool) -> dict[str, int]:
        """Count the upstreams of one kind that stay, by failure domain."""
        present = self.count_upstreams(service)
        return {domain: n for (domain, kind), n in present.items() if kind == reclaimable}

    def count_upstreams(self, service: str, on_trial: bool = False) -> dict[tuple[str, bool], int]:
        """Count the upstreams that stay, by failure domain and kind.

        :param on_trial: count those of a version on trial rather than all others
        """
        counts: dict[tuple[str, bool], int] = {}
        for entry in self.cluster_view.upstreams.iter_service(service):
            if self.is_on_trial(entry) is not on_trial:
                continue
            if not entry.record.draining and not entry.gone:
                key = (entry.record.failure_domain, entry.record.reclaimable)
                counts[key] = counts.get(key, 0) + 1
        return counts

    async def send_order(self, order: FleetOrder) -> None:
        """Send an order unless the same was sent a moment ago."""
        now = asyncio.get_running_loop().time()
        if now - self.ordered_at.get(order, -REORDER_SECONDS) < REORDER_SECONDS:
            return
        if not self.leadership.may_act(LONGEST_CALL_SECONDS):
            return
        self.ordered_at[order] = now
        fencing = self.leadership.fencing
        reply = await self.cloud.order_upstreams(self.daemon, fencing, order)
        if order.reclaimable:
            dry = reply is CloudReply.NOT_AVAILABLE
            self.dry_until[order.service, order.failure_domain] = now + DRY_SECONDS if dry else 0.0
        self.log.write("fleet_order", **order._asdict(), fencing=fencing, reply=reply)
