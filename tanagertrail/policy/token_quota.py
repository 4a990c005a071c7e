"""Quotas of customers over all daemons, in tokens or requests."""

__all__ = ["Quota", "QuotaLimiter", "QuotaUsage", "QuotaRefusal"]

from collections import deque
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

RATE_WINDOW_SECONDS = 1.0  # span over which a daemon's present rate is taken
REPORT_TIMEOUT_SECONDS = 2.0  # four reports missed
MIN_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 5.0
BURST_SECONDS = 1.0  # of the rate that may be used at once beyond the burst
STARTUP_RATE_SHARE = 0.8  # of the rate while a window may hold what was used before the start
WINDOW_EXCESS_SHARE = (
    0.2  # of what a window may hold beyond the quota; the rest covers late reports
)
RELAYED_BURST_SECONDS = 0.5  # of the rate, where others' use is told by way of hubs
RELAYED_WINDOW_SHARE = (
    0.8  # of a window that is filled there; a customer that turns hot is seen late
)
BUCKET_SLACK_SHARE = 0.2  # of the slack that may be used at once beyond burst and rate
STARTUP_SLACK_SHARE = 0.5  # of the slack that may be used at a start, whatever was used before it
STARTUP_UNREPORTED_SECONDS = 1.0  # after a start in which reports of the others are still to come
STARTUP_SHARE_FACTOR = 2.0  # of an even share that a daemon uses until then
PEER_SURGE_SHARE = 0.5  # of this daemon's own rate that each other one is taken to have at least
STARTUP_RESERVE_SECONDS = (
    0.2  # of the rate that a start holds back for reports that are on their way
)


class Quota(NamedTuple):
    """What a customer may use.

    :ivar rate: units per second
    :ivar burst: units that may be used at once
    :ivar tolerance: share by which a window may pass rate and burst
    :ivar slack: units by which a window may pass them besides
    """

    rate: float
    burst: float
    tolerance: float = 0.0
    slack: float = 0.0

    def compute_capacity(self, relayed: bool) -> float:
        """Return the units that may be used at once.

        :param relayed: whether the use of others is told by way of hubs, and so later
        """
        seconds = RELAYED_BURST_SECONDS if relayed else BURST_SECONDS
        return self.burst + seconds * self.rate + BUCKET_SLACK_SHARE * self.slack

    @property
    def initial_level(self) -> float:
        """Return the units that may be used at a start, when no earlier use is known."""
        return max(STARTUP_SLACK_SHARE * self.slack - STARTUP_RESERVE_SECONDS * self.rate, 0.0)

    def compute_window_limit(self, window: float, relayed: bool) -> float:
        """Return the units up to which a window is filled."""
        base_limit = self.rate * window + self.burst
        limit = base_limit + WINDOW_EXCESS_SHARE * (self.tolerance * base_limit + self.slack)
        return limit * RELAYED_WINDOW_SHARE if relayed else limit


class QuotaUsage(NamedTuple):
    """What a daemon says of one customer.

    :ivar used: units since the daemon's start
    :ivar rate: units per second now
    """

    used: float
    rate: float


class QuotaRefusal(NamedTuple):
    """Why units may not pass now.

    :ivar retry_after: seconds after which they may be asked for again
    :ivar units: units that were asked for
    :ivar level: units in the bucket
    :ivar used: units that all daemons used in the window
    :ivar limit: units that the window may hold
    :ivar heard: daemons whose use is known, this one left out
    """

    retry_after: float
    units: float
    level: float
    used: float
    limit: float
    heard: int


class RecentUnits:
    """Units of the last moments."""

    def __init__(self) -> None:
        self.samples: deque[tuple[float, float]] = deque()

    def add(self, units: float, now: float) -> None:
        """Count units."""
        self.samples.append((now, units))

    def list_units(self, now: float) -> list[float]:
        """Return the units of each request of the last moments."""
        while self.samples and self.samples[0][0] < now - RATE_WINDOW_SECONDS:
            self.samples.popleft()
        return [units for _, units in self.samples]


class CustomerUsage:
    """What this daemon was asked for one customer, and what it let pass.

    :ivar total_units: units that were admitted since the start
    """

    def __init__(self) -> None:
        self.total_units = 0.0
        self.admitted = RecentUnits()
        self.requested = RecentUnits()

    def add(self, units: float, now: float) -> None:
        """Count units that pass."""
        self.total_units += units
        self.admitted.add(units, now)

    def measure_rate(self, now: float) -> float:
        """Return the units per second of the last moments."""
        return sum(self.admitted.list_units(now)) / RATE_WINDOW_SECONDS

    def measure_surge(self, now: float) -> float:
        """Return the units per second here that show a wave at the other daemons too.

        One request says nothing of them: at hundreds of daemons most have one at a time. What was
        asked for beside the largest request does, whether it passed or not.
        """
        requested = self.requested.list_units(now)
        others = (sum(requested) - max(requested, default=0.0)) / RATE_WINDOW_SECONDS
        return min(self.measure_rate(now), others)


@dataclass
class PeerReport:
    """What was reported last, and what was taken off for it since.

    :ivar daemons: daemons whose use the report sums up
    """

    incarnation: int
    heard_at: float
    news: dict[str, QuotaUsage]
    daemons: int = 1
    predicted: dict[str, float] = field(default_factory=dict)


class Bucket:
    """Units that a customer may use now, and what was used in the window.

    :ivar level: units, below zero after more was used than was known
    :ivar used: (time, units) of all daemons in the window
    """

    def __init__(self, updated_at: float, level: float) -> None:
        self.level = level
        self.updated_at = updated_at
        self.used: deque[tuple[float, float]] = deque()
        self.total_units = 0.0

    def take(self, units: float, now: float) -> None:
        """Count units that were used."""
        self.level -= units
        self.record_usage(units, now)

    def record_usage(self, units: float, now: float) -> None:
        """Count units in the window only."""
        self.used.append((now, units))
        self.total_units += units

    def expire(self, oldest: float) -> None:
        """Forget what lies before the window."""
        while self.used and self.used[0][0] < oldest:
            self.total_units -= self.used.popleft()[1]


class QuotaLimiter:
    """One token bucket and one window for each customer, kept alike by all daemons.

    Answers a customer that sends many times its usual through all daemons at once. Each daemon
    takes off what it lets pass and what the others use: at the rate that they reported last,
    corrected by what they report next. A member that has gone silent is taken to use its even
    share, so that daemons that cannot hear each other together stay within the quota. A bucket
    is nearly empty at a daemon's start and holds a few seconds' units, so that a quota holds over a
    start of all daemons too, after which no window is known. What a window may hold beyond the
    quota is used in part: at once after a start, when all callers come back together.

    :ivar window: seconds in which rate and burst bind together
    """

    def __init__(self, window: float, started_at: float) -> None:
        self.window = window
        self.started_at = started_at
        self.own_usage: dict[str, CustomerUsage] = {}
        self.peer_reports: dict[str, PeerReport] = {}
        self.buckets: dict[str, Bucket] = {}

    def build_report(self, now: float) -> dict[str, QuotaUsage]:
        """Return what the other daemons are to know."""
        return {
            customer: QuotaUsage(usage.total_units, usage.measure_rate(now))
            for customer, usage in self.own_usage.items()
        }

    def note_report(
        self,
        daemon: str,
        incarnation: int,
        news: Mapping[str, QuotaUsage],
        now: float,
        daemons: int = 1,
    ) -> None:
        """Take what another daemon reported of itself, or of several."""
        known = self.peer_reports.get(daemon)
        if known is not None:
            for customer, bucket in self.buckets.items():
                used = self.count_new_units(known, incarnation, customer, news)
                bucket.level -= used - known.predicted.get(customer, 0.0)
                bucket.record_usage(used, now)
        self.peer_reports[daemon] = PeerReport(incarnation, now, dict(news), daemons)

    def count_new_units(
        self,
        known: PeerReport,
        incarnation: int,
        customer: str,
        news: Mapping[str, QuotaUsage],
    ) -> float:
        """Return the units that a daemon used since its last report."""
        used = news[customer].used if customer in news else 0.0
        previous = 0.0
        if known.incarnation == incarnation and customer in known.news:
            previous = known.news[customer].used
        return max(used - previous, 0.0)

    def retain_daemons(self, keep: Collection[str]) -> None:
        """Forget the reports of all daemons but some."""
        for daemon in [name for name in self.peer_reports if name not in keep]:
            del self.peer_reports[daemon]

    @property
    def relayed(self) -> bool:
        """Say whether the use of others is told by way of hubs."""
        return any(peer.daemons > 1 for peer in self.peer_reports.values())

    def refill(self, customer: str, quota: Quota, members: int, now: float) -> Bucket:
        """Bring a bucket up to date."""
        bucket = self.buckets.get(customer)
        if bucket is None:
            bucket = self.buckets[customer] = Bucket(self.started_at, quota.initial_level)
        previous = bucket.updated_at
        elapsed = now - previous
        bucket.updated_at = now
        starting_up = now - self.started_at < self.window
        wave = self.measure_surge(customer, now)
        bucket.level += elapsed * quota.rate * (STARTUP_RATE_SHARE if starting_up else 1.0)
        for peer in self.peer_reports.values():
            if now - peer.heard_at <= REPORT_TIMEOUT_SECONDS:
                # What was used up to the last report is in the report.
                rate = self.predict_rate(customer, peer, wave)
                units = rate * (now - max(previous, peer.heard_at))
                peer.predicted[customer] = peer.predicted.get(customer, 0.0) + units
                bucket.level -= units
        silent_daemons = max(members - 1 - self.count_reporting_daemons(now), 0)
        bucket.level -= elapsed * quota.rate * silent_daemons / max(members, 1)
        bucket.level = min(bucket.level, quota.compute_capacity(self.relayed))
        bucket.expire(now - self.window)
        return bucket

    def measure_surge(self, customer: str, now: float) -> float:
        """Return the units per second here that show a wave at the others too."""
        usage = self.own_usage.get(customer)
        return usage.measure_surge(now) if usage is not None else 0.0

    def predict_rate(self, customer: str, peer: PeerReport, wave: float) -> float:
        """Estimate the units per second that the daemons of a report use now.

        A customer that turns hot does so at all daemons together, before any report tells it.
        """
        reported = peer.news[customer].rate if customer in peer.news else 0.0
        return max(reported, PEER_SURGE_SHARE * wave * peer.daemons)

    def estimate_window_usage(
        self, customer: str, bucket: Bucket, quota: Quota, members: int
    ) -> float:
        """Estimate the units that all daemons used in the window."""
        total_units = bucket.total_units
        for peer in self.peer_reports.values():
            if bucket.updated_at - peer.heard_at <= REPORT_TIMEOUT_SECONDS:
                total_units += peer.predicted.get(customer, 0.0)
        silent_daemons = max(members - 1 - self.count_reporting_daemons(bucket.updated_at), 0)
        limit = quota.compute_window_limit(self.window, self.relayed)
        return total_units + limit * silent_daemons / max(members, 1)

    def admit(
        self, customer: str, units: float, quota: Quota, members: int, now: float
    ) -> QuotaRefusal | None:
        """Let units pass, or say why not.

        A request larger than the burst passes when the bucket is full.

        :param members: daemons that may use the quota, this one included
        """
        own_usage = self.own_usage.setdefault(customer, CustomerUsage())
        own_usage.requested.add(units, now)
        bucket = self.refill(customer, quota, members, now)
        needed = min(units, quota.compute_capacity(self.relayed))
        used = self.estimate_window_usage(customer, bucket, quota, members)
        limit = quota.compute_window_limit(self.window, self.relayed)
        startup_excess = self.compute_startup_excess(customer, units, quota, members, now)
        excess = max(used + needed - limit, startup_excess)
        if bucket.level >= needed and excess <= 0:
            bucket.take(units, now)
            own_usage.add(units, now)
            return None
        wait = max(needed - bucket.level, excess) / quota.rate
        return QuotaRefusal(
            min(max(wait, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS),
            units,
            bucket.level,
            used,
            limit,
            self.count_reporting_daemons(now),
        )

    def compute_startup_excess(
        self, customer: str, units: float, quota: Quota, members: int, now: float
    ) -> float:
        """Return by how much a use just after the start passes this daemon's share.

        All daemons that start at once know nothing of each other's use. A single request may be
        larger than the share.
        """
        elapsed = now - self.started_at
        usage = self.own_usage.get(customer)
        if elapsed > STARTUP_UNREPORTED_SECONDS or usage is None or members == 1:
            return 0.0
        share = STARTUP_SHARE_FACTOR / members * (quota.initial_level + elapsed * quota.rate)
        return usage.total_units + units - share

    def count_reporting_daemons(self, now: float) -> int:
        """Count the other daemons whose use is known."""
        return sum(
            peer.daemons
            for peer in self.peer_reports.values()
            if now - peer.heard_at <= REPORT_TIMEOUT_SECONDS
        )
