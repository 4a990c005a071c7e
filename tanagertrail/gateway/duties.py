"""Duties of the lease holder: rollout reports, usage reports and orders of upstreams."""

__all__ = ["DutyRunner"]

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any, NamedTuple

from tanagertrail.decoding import is_integer
from tanagertrail.errors import ConflictError, PlatformError
from tanagertrail.gateway.cluster_view import ClusterView
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.leadership import Leadership
from tanagertrail.gateway.model import Service
from tanagertrail.gateway.rollout_reports import RolloutReporter
from tanagertrail.gateway.upstream_table import UpstreamEntry
from tanagertrail.gateway.usage import UsageCounter
from tanagertrail.platform.cloud import (
    MAX_CALL_SECONDS,
    CloudClient,
    CloudResult,
    FleetOrder,
)
from tanagertrail.platform.store import StoreClient
from tanagertrail.policy.canary import TrialCounts
from tanagertrail.policy.fleet import FLEET_PLANNERS, FleetSnapshot, estimate_capacity

USAGE_KIND = "tanagertrail-usage"
USAGE_SLOTS = 8  # stored objects that windows reuse in turn, so that they do not accumulate
DUTY_PERIOD_SECONDS = 0.5
WINDOW_SETTLE_SECONDS = 2.0  # after a window ends, until the counts of all daemons have arrived
DEMAND_HISTORY_SECONDS = 15.0  # fleets are planned for the peak of this span: a boot and a burst
PROMPT_RATE_SPAN_SECONDS = 5.0  # span of the average prompt rate, since callers arrive in bursts
MIN_PROMPT_RATE_SPAN_SECONDS = 2.0  # below this the rate counts as 0
REORDER_SECONDS = 3.0  # between equal orders that have not taken effect
EXHAUSTED_SECONDS = 6.0  # two repeated orders; then an exhausted domain is asked again


class CommittedWindow(NamedTuple):
    """The stored counts of a usage window.

    :ivar counts: requests by customer, None if the window must not be reported
    """

    window: int
    counts: dict[str, int] | None


def decode_window(content: Any) -> CommittedWindow | None:
    """Decode the stored counts of a usage window, or return None if they are malformed."""
    if not isinstance(content, dict) or not is_integer(content.get("window")):
        return None
    counts = content.get("counts")
    if counts is not None and not (
        isinstance(counts, dict) and all(map(is_integer, counts.values()))
    ):
        return None
    return CommittedWindow(content["window"], counts)


class DutyRunner:
    """Perform the duties while this daemon holds the lease.

    :ivar rollouts: reports of the rollouts' states
    :ivar get_prompt_tokens: returns the prompt tokens that all daemons sent to a service
    :ivar get_named_rate: returns the requests per second that an upstream accepts, if it names any
    :ivar prompt_token_history: (time, prompt tokens) samples by service
    :ivar reported_windows: usage windows that the cloud API has accepted
    :ivar committed_counts: counts by usage window that the store had accepted
    :ivar demand_history: (time, running requests) samples by service
    :ivar last_ordered_at: event-loop time at which each order was last sent
    :ivar exhausted_until: event-loop time until which a failure domain counts as out of
        reclaimable upstreams, by service and failure domain
    :ivar first_window: first usage window that this daemon reports
    """

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
        get_trial_counts: Callable[[str, int], TrialCounts] = lambda service, order: TrialCounts(),
        get_prompt_tokens: Callable[[str], float] = lambda service: 0.0,
        get_named_rate: Callable[[UpstreamEntry], float | None] = lambda entry: None,
    ) -> None:
        self.cluster_view = cluster_view
        self.leadership = leadership
        self.store = store
        self.cloud = cloud
        self.usage = usage
        self.daemon = daemon
        self.log = log
        self.rollouts = RolloutReporter(
            cluster_view, store, log, get_trial_counts, self.count_trial_upstreams
        )
        self.get_prompt_tokens = get_prompt_tokens
        self.get_named_rate = get_named_rate
        self.prompt_token_history: dict[str, deque[tuple[float, float]]] = {}
        self.planner = FLEET_PLANNERS.get(plan)
        self.reported_windows: set[int] = set()
        self.committed_counts: dict[int, dict[str, int]] = {}
        self.demand_history: dict[str, deque[tuple[float, int]]] = {}
        self.last_ordered_at: dict[FleetOrder, float] = {}
        self.exhausted_until: dict[tuple[str, str], float] = {}
        self.first_window = usage.current_window()

    async def run(self) -> None:
        """Perform the duties periodically until cancelled."""
        while True:
            await asyncio.sleep(DUTY_PERIOD_SECONDS)
            self.record_demand()
            for duty in (self.report_rollouts, self.reconcile_fleets, self.report_windows):
                if self.leadership.may_act(MAX_CALL_SECONDS):
                    await self.perform(duty)

    async def perform(self, duty: Callable[[], Awaitable[None]]) -> None:
        """Perform one duty; its failure keeps no other from being performed."""
        try:
            await duty()
        except PlatformError as error:
            self.log.write("duty_failed", error=str(error)[:200])

    def record_demand(self) -> None:
        """Record how many requests run at the upstreams of each service."""
        now = asyncio.get_running_loop().time()
        if self.cluster_view.config is None:
            return
        for name in self.cluster_view.config.services:
            running = sum(entry.running for entry in self.cluster_view.upstreams.iter_service(name))
            history = self.demand_history.setdefault(name, deque())
            history.append((now, running))
            while history[0][0] < now - DEMAND_HISTORY_SECONDS:
                history.popleft()

    def measure_prompt_rate(self, service: str) -> float:
        """Return the prompt tokens per second that all daemons send to a service."""
        now = asyncio.get_running_loop().time()
        totals = self.prompt_token_history.setdefault(service, deque())
        totals.append((now, self.get_prompt_tokens(service)))
        while totals[0][0] < now - PROMPT_RATE_SPAN_SECONDS:
            totals.popleft()
        span = now - totals[0][0]
        increase = totals[-1][1] - totals[0][1]
        return max(increase, 0.0) / span if span >= MIN_PROMPT_RATE_SPAN_SECONDS else 0.0

    async def report_rollouts(self) -> None:
        """Report the rollouts whose state has changed; one that fails holds up no other."""
        for order in list(self.cluster_view.rollouts.values()):
            if self.leadership.may_act(MAX_CALL_SECONDS):
                await self.perform(partial(self.rollouts.update, order))

    def note_store_restored(self) -> None:
        """Leave windows to the daemon that held the duties before, if their records may be lost.

        That daemon has its own records of what it reported.
        """
        if not self.leadership.fencing:
            self.first_window = max(self.first_window, self.usage.current_window())

    async def report_windows(self) -> None:
        """Report the settled windows that are not yet too old to report."""
        wall_time = self.usage.wall_time()
        window_length = self.usage.window
        newest = int((wall_time - WINDOW_SETTLE_SECONDS) // window_length) - 1
        for window in range(newest - 1, newest + 1):
            if window not in self.reported_windows and window >= self.first_window:
                await self.report_window(window)
        self.reported_windows = {window for window in self.reported_windows if window > newest - 10}
        for window in [name for name in self.committed_counts if name <= newest - 10]:
            del self.committed_counts[window]

    async def report_window(self, window: int) -> None:
        """Report one window with the counts committed to the store.

        :raises PlatformError: if the counts cannot be committed
        """
        counts = await self.commit_window_counts(window)
        if counts is not None:
            self.committed_counts[window] = counts
        if counts is None or not self.leadership.may_act(MAX_CALL_SECONDS):
            return
        fencing = self.leadership.fencing
        reply = await self.cloud.report_usage(self.daemon, fencing, window, counts)
        self.log.write("usage", window=window, counts=counts, fencing=fencing, reply=reply)
        if reply is CloudResult.DONE:
            self.reported_windows.add(window)

    async def commit_window_counts(self, window: int) -> dict[str, int] | None:
        """Store a window's counts, or return those that another holder has stored.

        Only one set of counts may ever be reported for a window. Returns None if a later window
        already uses the stored object, or another writer has spoiled it.
        """
        name = f"window-{window % USAGE_SLOTS}"
        committed = self.committed_counts.get(window)
        counts = self.usage.sum_window(window) if committed is None else committed
        content = {"window": window, "counts": counts}
        try:
            await self.store.create(USAGE_KIND, name, content)
            return content["counts"]
        except ConflictError:
            found = await self.store.read(USAGE_KIND, name)
        if found is None:
            return None
        stored = decode_window(found.content)
        if stored is None or stored.window > window + USAGE_SLOTS:
            # Counts that were reported from this record may be lost, so others must not be.
            self.log.write("usage_record_refused", name=name, revision=found.revision)
            content["counts"] = committed
        elif stored.window == window:
            return stored.counts
        elif stored.window > window:
            return None
        await self.store.replace(USAGE_KIND, name, content, found.revision)
        return content["counts"]

    async def reconcile_fleets(self) -> None:
        """Order upstreams for each service with too many or too few."""
        if self.cluster_view.config is None or not self.cluster_view.upstreams_known:
            return
        for service in self.cluster_view.config.services.values():
            if service.fleet is not None:
                await self.reconcile_fleet(service)

    async def reconcile_fleet(self, service: Service) -> None:
        """Order upstreams of one service wherever their number differs from the plan."""
        plan = self.planner(self.snapshot_fleet(service))
        present = self.count_upstreams(service.name)
        on_trial = self.count_upstreams(service.name, on_trial=True)
        for reclaimable, counts in ((True, plan.reclaimable), (False, plan.on_demand)):
            for domain, desired in counts.items():
                key = (domain, reclaimable)
                if present.get(key, 0) != desired:
                    # The platform counts upstreams on trial like all others.
                    total = desired + on_trial.get(key, 0)
                    await self.send_order(FleetOrder(service.name, domain, reclaimable, total))

    def snapshot_fleet(self, service: Service) -> FleetSnapshot:
        """Return the input of the fleet planner for a service."""
        fleet = service.fleet
        history = self.demand_history.get(service.name, ())
        return FleetSnapshot(
            fleet.prices,
            fleet.reclaimable_price is not None,
            fleet.min_per_domain,
            fleet.max_per_domain,
            service.engine.batch if service.engine else 1,
            max((running for _, running in history), default=0),
            self.measure_prompt_rate(service.name),
            self.count_warm_reclaimable(service.name),
            self.count_by_domain(service.name, reclaimable=False),
            self.count_by_domain(service.name, reclaimable=True),
            frozenset(self.cluster_view.evacuated),
            self.list_exhausted_domains(service.name),
            self.is_rolling_out(service.name),
        )

    def is_rolling_out(self, service: str) -> bool:
        """Return whether a rollout of a service is in progress."""
        order = self.cluster_view.rollouts.get(service)
        return order is not None and not (order.ended or order.is_return)

    def is_on_trial(self, entry: UpstreamEntry) -> bool:
        """Return whether an upstream runs a version whose rollout is not completed."""
        return self.cluster_view.is_on_trial(entry.record.service, entry.record.version)

    def list_exhausted_domains(self, service: str) -> frozenset[str]:
        """Return the failure domains that recently had no reclaimable upstreams available."""
        now = asyncio.get_running_loop().time()
        return frozenset(
            domain
            for (name, domain), until in self.exhausted_until.items()
            if name == service and now < until
        )

    def count_warm_reclaimable(self, service: str) -> dict[str, int]:
        """Count the warm reclaimable upstreams that accept work, by failure domain.

        Upstreams that name a rate count as much as they give.
        """
        now = asyncio.get_running_loop().time()
        capacities: dict[str, float] = {}
        for entry in self.cluster_view.upstreams.iter_service(service):
            if self.is_on_trial(entry):
                continue
            if entry.record.reclaimable and entry.accepts_work(now) and now >= entry.cold_until:
                domain = entry.record.failure_domain
                capacities[domain] = capacities.get(domain, 0.0) + self.estimate_capacity(entry)
        return {domain: int(capacity) for domain, capacity in capacities.items()}

    def estimate_capacity(self, entry: UpstreamEntry) -> float:
        """Return what an upstream serves, as a share of what one without a limit serves."""
        config = self.cluster_view.config
        service = config.services.get(entry.record.service) if config is not None else None
        batch = service.engine.batch if service and service.engine else entry.record.slots
        return estimate_capacity(self.get_named_rate(entry), max(batch, 1))

    def count_trial_upstreams(self, service: str) -> int:
        """Return the capacity of the upstreams of the ordered version, in whole upstreams."""
        order = self.cluster_view.rollouts.get(service)
        return int(
            sum(
                self.estimate_capacity(entry)
                for entry in self.cluster_view.upstreams.iter_service(service)
                if order is not None
                and entry.record.version == order.version
                and self.cluster_view.upstreams.is_staying(entry)
            )
        )

    def count_by_domain(self, service: str, reclaimable: bool) -> dict[str, int]:
        """Count the remaining upstreams that are reclaimable or not, by failure domain."""
        present = self.count_upstreams(service)
        return {domain: n for (domain, kind), n in present.items() if kind == reclaimable}

    def count_upstreams(self, service: str, on_trial: bool = False) -> dict[tuple[str, bool], int]:
        """Count the upstreams that are neither leaving nor gone.

        Keys are pairs of the failure domain and whether the upstream is reclaimable.

        :param on_trial: count upstreams of a version on trial instead of all others
        """
        counts: dict[tuple[str, bool], int] = {}
        for entry in self.cluster_view.upstreams.iter_service(service):
            if self.is_on_trial(entry) is not on_trial:
                continue
            if self.cluster_view.upstreams.is_staying(entry):
                key = (entry.record.failure_domain, entry.record.reclaimable)
                counts[key] = counts.get(key, 0) + 1
        return counts

    async def send_order(self, order: FleetOrder) -> None:
        """Send an order unless the same one was sent recently."""
        now = asyncio.get_running_loop().time()
        if now - self.last_ordered_at.get(order, -REORDER_SECONDS) < REORDER_SECONDS:
            return
        if not self.leadership.may_act(MAX_CALL_SECONDS):
            return
        self.last_ordered_at[order] = now
        fencing = self.leadership.fencing
        reply = await self.cloud.order_upstreams(self.daemon, fencing, order)
        if order.reclaimable:
            exhausted = reply is CloudResult.NOT_AVAILABLE
            self.exhausted_until[order.service, order.failure_domain] = (
                now + EXHAUSTED_SECONDS if exhausted else 0.0
            )
        self.log.write("fleet_order", **order._asdict(), fencing=fencing, reply=reply)
