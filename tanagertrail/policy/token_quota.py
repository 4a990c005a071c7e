"""Per-customer quotas, in tokens or requests, enforced jointly by all daemons."""

__all__ = ["Quota", "QuotaLimiter", "QuotaRefusal", "QuotaUsage"]

import random
from collections import deque
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

RATE_WINDOW_SECONDS = 1.0  # sliding window over which a daemon measures its current rate
REPORT_TIMEOUT_SECONDS = 2.0  # four missed reports
MIN_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 5.0
BURST_SECONDS = 1.0  # bucket capacity beyond the burst, in seconds of the rate

# Share of the rate at which buckets refill while the window may include usage from before the
# daemon's start.
STARTUP_RATE_SHARE = 0.8

# Share of the tolerance and slack that is admitted; the rest covers late reports.
WINDOW_EXCESS_SHARE = 0.2

RELAYED_BURST_SECONDS = 0.5  # replaces BURST_SECONDS where usage is reported through hubs

# Share of the window limit that is admitted where usage is reported through hubs, since a surge of
# a customer's traffic is then seen late.
RELAYED_WINDOW_SHARE = 0.8

BUCKET_SLACK_SHARE = 0.2  # bucket capacity beyond burst and rate, as a share of the slack
STARTUP_SLACK_SHARE = 0.5  # share of the slack that may be used at a start, despite earlier usage

# A daemon that has just started admits at most this multiple of an even share during these seconds,
# until the reports of the other daemons have arrived.
STARTUP_UNREPORTED_SECONDS = 1.0
STARTUP_SHARE_FACTOR = 2.0

PEER_SURGE_SHARE = 0.5  # each other daemon is assumed to use this share of this one's rate at least
STARTUP_RESERVE_SECONDS = 0.2  # seconds of the rate held back at a start for reports on their way


class Quota(NamedTuple):
    """The limits of one customer.

    :ivar rate: units per second
    :ivar burst: units that may be used at once
    :ivar tolerance: share by which usage in a window may exceed rate and burst
    :ivar slack: units by which it may exceed them in addition to the tolerance
    """

    rate: float
    burst: float
    tolerance: float = 0.0
    slack: float = 0.0

    def compute_capacity(self, relayed: bool) -> float:
        """Return the bucket's capacity in units.

        :param relayed: whether other daemons' usage arrives through hubs, and therefore later
        """
        seconds = RELAYED_BURST_SECONDS if relayed else BURST_SECONDS
        return self.burst + seconds * self.rate + BUCKET_SLACK_SHARE * self.slack

    @property
    def initial_level(self) -> float:
        """Return the bucket level after a start, when earlier usage is unknown."""
        return max(STARTUP_SLACK_SHARE * self.slack - STARTUP_RESERVE_SECONDS * self.rate, 0.0)

    def compute_window_limit(self, window: float, relayed: bool) -> float:
        """Return the units that may be admitted within a window."""
        base_limit = self.rate * window + self.burst
        limit = base_limit + WINDOW_EXCESS_SHARE * (self.tolerance * base_limit + self.slack)
        return limit * RELAYED_WINDOW_SHARE if relayed else limit


class QuotaUsage(NamedTuple):
    """A customer's usage at one daemon, or the sum over several daemons.

    :ivar used: units since the daemon's start
    :ivar rate: current units per second
    """

    used: float
    rate: float


class QuotaRefusal(NamedTuple):
    """Why a request exceeds its customer's quota.

    :ivar retry_after: seconds after which the caller may retry
    :ivar units: units that were requested
    :ivar level: units in the bucket
    :ivar used: units that all daemons used in the window
    :ivar limit: units that all daemons may use in a window
    :ivar heard: number of other daemons whose usage is known
    :ivar starting: whether this daemon has just started, so that it cannot know their usage yet
    """

    retry_after: float
    units: float
    level: float
    used: float
    limit: float
    heard: int
    starting: bool = False


class RecentUnits:
    """The units of each request within the last ``RATE_WINDOW_SECONDS``."""

    def __init__(self) -> None:
        self.samples: deque[tuple[float, float]] = deque()

    def add(self, units: float, now: float) -> None:
        """Add the units of one request."""
        self.samples.append((now, units))

    def list_units(self, now: float) -> list[float]:
        """Return the units of each recent request."""
        while self.samples and self.samples[0][0] < now - RATE_WINDOW_SECONDS:
            self.samples.popleft()
        return [units for _, units in self.samples]


class CustomerUsage:
    """What one customer requested from this daemon, and what was admitted.

    :ivar total_units: units that were admitted since the start
    :ivar rounding: number in [0, 1) by which a request may exceed a share that is smaller than it;
        it differs between daemons, so that all together use the share on average
    """

    def __init__(self, rounding: float = 0.0) -> None:
        self.rounding = rounding
        self.total_units = 0.0
        self.admitted = RecentUnits()
        self.requested = RecentUnits()

    def add(self, units: float, now: float) -> None:
        """Count admitted units."""
        self.total_units += units
        self.admitted.add(units, now)

    def measure_rate(self, now: float) -> float:
        """Return the recently admitted units per second."""
        return sum(self.admitted.list_units(now)) / RATE_WINDOW_SECONDS

    def measure_surge(self, now: float) -> float:
        """Return the units per second here that indicate a surge at the other daemons too.

        A single request indicates nothing: with hundreds of daemons most have at most one at a
        time. So the largest request is left out, and refused requests count like admitted ones.
        """
        requested = self.requested.list_units(now)
        others = (sum(requested) - max(requested, default=0.0)) / RATE_WINDOW_SECONDS
        return min(self.measure_rate(now), others)


@dataclass
class PeerReport:
    """The last report received from a peer.

    :ivar heard_at: event-loop time in seconds at which the report was received
    :ivar news: usage by customer
    :ivar daemons: number of daemons whose usage the report sums up
    :ivar predicted: units by customer taken from the bucket in anticipation since the report
    """

    incarnation: int
    heard_at: float
    news: dict[str, QuotaUsage]
    daemons: int = 1
    predicted: dict[str, float] = field(default_factory=dict)


class Bucket:
    """A token bucket with a sliding window of usage.

    :ivar level: available units; negative if reports showed more usage than was predicted
    :ivar used: (time, units) entries of all daemons in the window
    :ivar total_units: sum of the units in the window
    """

    def __init__(self, updated_at: float, level: float) -> None:
        self.level = level
        self.updated_at = updated_at
        self.used: deque[tuple[float, float]] = deque()
        self.total_units = 0.0

    def take(self, units: float, now: float) -> None:
        """Take units from the bucket and record them in the window."""
        self.level -= units
        self.record_usage(units, now)

    def record_usage(self, units: float, now: float) -> None:
        """Record units in the window without taking them from the bucket."""
        self.used.append((now, units))
        self.total_units += units

    def expire(self, oldest: float) -> None:
        """Drop the entries that are older than the window."""
        while self.used and self.used[0][0] < oldest:
            self.total_units -= self.used.popleft()[1]


class QuotaLimiter:
    """Limit each customer's usage over all daemons with a token bucket and a sliding window.

    Every daemon keeps a copy of each bucket, so that a customer that sends many times its usual
    traffic through all daemons at once is limited. A daemon subtracts what it admits itself and
    what the others are predicted to use, at the rate that they last reported; the next report
    corrects the prediction. A daemon that has stopped reporting is assumed to use an even share,
    so that partitioned daemons together stay within the quota. A bucket is nearly empty when its
    daemon starts and holds only a few seconds' units, so that the quota also holds when all
    daemons restart and no earlier usage is known. Part of the tolerance and slack is used, in
    particular right after a start, when all callers retry together.

    :ivar window: length in seconds of the window in which rate and burst must hold together
    :ivar rng: draws the rounding of customers' shares at a start, None for none
    """

    def __init__(self, window: float, started_at: float, rng: random.Random | None = None) -> None:
        self.window = window
        self.started_at = started_at
        self.rng = rng
        self.own_usage: dict[str, CustomerUsage] = {}
        self.peer_reports: dict[str, PeerReport] = {}
        self.buckets: dict[str, Bucket] = {}

    def build_report(self, now: float) -> dict[str, QuotaUsage]:
        """Return this daemon's usage by customer, to be sent to the other daemons."""
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
        """Apply a report on one or several other daemons.

        :param daemon: sender of the report
        :param news: usage by customer
        :param daemons: number of daemons whose usage the report sums up
        """
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
        """Return the units that a customer used since the sender's previous report."""
        used = news[customer].used if customer in news else 0.0
        previous = 0.0
        if known.incarnation == incarnation and customer in known.news:
            previous = known.news[customer].used
        return max(used - previous, 0.0)

    def retain_daemons(self, keep: Collection[str]) -> None:
        """Drop the reports of all daemons that are not listed."""
        for daemon in [name for name in self.peer_reports if name not in keep]:
            del self.peer_reports[daemon]

    @property
    def relayed(self) -> bool:
        """Whether other daemons' usage arrives as sums through hubs."""
        return any(peer.daemons > 1 for peer in self.peer_reports.values())

    def refill(self, customer: str, quota: Quota, members: int, now: float) -> Bucket:
        """Refill a customer's bucket up to now and subtract the predicted usage of the others."""
        bucket = self.buckets.get(customer)
        if bucket is None:
            bucket = self.buckets[customer] = Bucket(self.started_at, quota.initial_level)
        previous_update = bucket.updated_at
        elapsed = now - previous_update
        bucket.updated_at = now
        starting_up = now - self.started_at < self.window
        surge_rate = self.measure_surge(customer, now)
        bucket.level += elapsed * quota.rate * (STARTUP_RATE_SHARE if starting_up else 1.0)
        for peer in self.peer_reports.values():
            if now - peer.heard_at <= REPORT_TIMEOUT_SECONDS:
                # The report already includes the usage before it was received.
                rate = self.predict_rate(customer, peer, surge_rate)
                units = rate * (now - max(previous_update, peer.heard_at))
                peer.predicted[customer] = peer.predicted.get(customer, 0.0) + units
                bucket.level -= units
        silent_daemons = max(members - 1 - self.count_reporting_daemons(now), 0)
        bucket.level -= elapsed * quota.rate * silent_daemons / max(members, 1)
        bucket.level = min(bucket.level, quota.compute_capacity(self.relayed))
        bucket.expire(now - self.window)
        return bucket

    def measure_surge(self, customer: str, now: float) -> float:
        """Return the units per second here that indicate a surge at the other daemons too."""
        usage = self.own_usage.get(customer)
        return usage.measure_surge(now) if usage is not None else 0.0

    def predict_rate(self, customer: str, peer: PeerReport, wave: float) -> float:
        """Estimate the units per second that the daemons of a report use now.

        A customer's traffic surges at all daemons at once, before any report shows it.

        :param wave: units per second here that indicate a surge at the other daemons too
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
        """Admit a request, or return the reason for its refusal.

        A request that is larger than the bucket's capacity is admitted when the bucket is full.

        :param members: number of daemons that share the quota, this one included
        """
        own_usage = self.own_usage.get(customer)
        if own_usage is None:
            rounding = self.rng.random() if self.rng is not None else 0.0
            own_usage = self.own_usage[customer] = CustomerUsage(rounding)
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
            now - self.started_at <= STARTUP_UNREPORTED_SECONDS,
        )

    def compute_startup_excess(
        self, customer: str, units: float, quota: Quota, members: int, now: float
    ) -> float:
        """Return by how many units a request exceeds this daemon's share just after the start.

        Daemons that start at the same time do not know each other's usage yet. A request that is
        larger than the rest of the share is admitted at some of them.
        """
        elapsed = now - self.started_at
        usage = self.own_usage.get(customer)
        if elapsed > STARTUP_UNREPORTED_SECONDS or usage is None or members == 1:
            return 0.0
        share = STARTUP_SHARE_FACTOR / members * (quota.initial_level + elapsed * quota.rate)
        return usage.total_units + (1.0 - usage.rounding) * units - share

    def count_reporting_daemons(self, now: float) -> int:
        """Count the other daemons whose usage is known."""
        return sum(
            peer.daemons
            for peer in self.peer_reports.values()
            if now - peer.heard_at <= REPORT_TIMEOUT_SECONDS
        )
