"""Per-customer quotas, in tokens or requests, enforced jointly by all daemons."""

__all__ = ["Quota", "QuotaLimiter", "QuotaRefusal", "QuotaUsage"]

import random
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from tanagertrail.policy.quota_usage import Bucket, CustomerUsage

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

MAX_DIRECT_DAEMONS = 9  # larger fleets report usage through hubs, see ``policy/hubs``

# Age of the usage in a hub's report when it arrives, by the periods of the exchanges on its way.
REPORT_LAG_SECONDS = 1.1
RATE_GROWTH_FACTOR = 2.0  # a reported rate is assumed to grow on by this multiple of its growth

# An inferred rate counts as this multiple: daemons that got few requests infer too little.
INFERRED_RATE_FACTOR = 1.5

# Unreported usage up to this share of the tolerance and slack counts as none: single requests of a
# small customer let its rate seem to grow.
UNREPORTED_EXCESS_SHARE = 0.2

# Requests at each daemon that nobody can tell from usual ones, and the largest share of rate and
# burst that is held back for them. Without it a customer with a request per daemon in 8 s exceeded
# its limit in surges to 8 times its usual traffic.
UNNOTICED_REQUESTS = 0.25
UNNOTICED_MAX_SHARE = 0.12

USUAL_RATE_SHARE = 0.5  # of the quota's rate: what counts as usual while nothing is known

# Share of the unreported usage that is held back from the bucket. The window already counts it.
BUCKET_UNREPORTED_SHARE = 0.15

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
        if relayed:
            return base_limit
        return base_limit + WINDOW_EXCESS_SHARE * self.compute_excess(window)

    def compute_excess(self, window: float) -> float:
        """Return the units by which usage in a window may exceed rate and burst."""
        return self.tolerance * (self.rate * window + self.burst) + self.slack


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
    :ivar level: units in the bucket, less those held back for unreported usage
    :ivar used: units that all daemons used in the window, unreported ones included
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


@dataclass
class PeerReport:
    """The last report received from a peer.

    :ivar heard_at: event-loop time in seconds at which the report was received
    :ivar news: usage by customer
    :ivar daemons: number of daemons whose usage the report sums up
    :ivar earlier_rates: units per second by customer in the report before
    :ivar predicted: units by customer taken from the bucket in anticipation since the report
    """

    incarnation: int
    heard_at: float
    news: dict[str, QuotaUsage]
    daemons: int = 1
    earlier_rates: dict[str, float] = field(default_factory=dict)
    predicted: dict[str, float] = field(default_factory=dict)


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

    Sums of hubs arrive late. What they may lack is estimated from the reported rate, its growth
    and this daemon's own requests, and counts as used until reports show it.

    :ivar window: length in seconds of the window in which rate and burst must hold together
    :ivar rng: draws the rounding of customers' shares at a start, None for none
    :ivar dropped_sum: last report of a hub that this daemon no longer asks, None before the first
    """

    def __init__(self, window: float, started_at: float, rng: random.Random | None = None) -> None:
        self.window = window
        self.started_at = started_at
        self.rng = rng
        self.own_usage: dict[str, CustomerUsage] = {}
        self.peer_reports: dict[str, PeerReport] = {}
        self.buckets: dict[str, Bucket] = {}
        self.dropped_sum: PeerReport | None = None

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
        if daemons > 1 and (known is None or known.incarnation != incarnation):
            self.bridge_reports(known or self.dropped_sum, news, now)
        elif known is not None:
            for customer, bucket in self.buckets.items():
                used = self.count_new_units(known, incarnation, customer, news)
                bucket.level -= used - known.predicted.get(customer, 0.0)
                bucket.record_usage(used, now)
        earlier = {name: usage.rate for name, usage in known.news.items()} if known else {}
        self.peer_reports[daemon] = PeerReport(incarnation, now, dict(news), daemons, earlier)

    def bridge_reports(
        self, last: PeerReport | None, news: Mapping[str, QuotaUsage], now: float
    ) -> None:
        """Record what was used between the last report of one hub and the first of another.

        The sums of two hubs cannot be subtracted, since a hub lacks what ended before its start.

        :param last: None if there was no report
        """
        if last is None:
            return
        gap = min(now - last.heard_at, self.window)
        for customer, bucket in self.buckets.items():
            rates = [report[customer].rate for report in (last.news, news) if customer in report]
            predicted = last.predicted.get(customer, 0.0)
            used = max(max(rates, default=0.0) * gap, predicted)
            bucket.level -= used - predicted
            bucket.record_usage(used, now)

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
            dropped = self.peer_reports.pop(daemon)
            if dropped.daemons > 1:
                self.dropped_sum = dropped

    @property
    def relayed(self) -> bool:
        """Whether other daemons' usage arrives through hubs, as sums or, at a hub, one by one."""
        reports = self.peer_reports
        return len(reports) >= MAX_DIRECT_DAEMONS or any(
            peer.daemons > 1 for peer in reports.values()
        )

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

    def estimate_unreported(
        self, customer: str, bucket: Bucket, quota: Quota, members: int
    ) -> float:
        """Estimate the units that neither the reports nor their predictions count."""
        if not self.relayed:
            return 0.0
        now = bucket.updated_at
        reported = growth = age = 0.0
        for peer in self.peer_reports.values():
            if customer in peer.news and now - peer.heard_at <= REPORT_TIMEOUT_SECONDS:
                rate = peer.news[customer].rate
                reported += rate
                growth += rate - peer.earlier_rates.get(customer, rate)
                age = max(age, now - peer.heard_at)
        average = bucket.total_units / self.window
        usual = max(reported, average, USUAL_RATE_SHARE * quota.rate)
        inferred = members * self.own_usage[customer].infer_rate(usual / members, now)
        rate = max(
            reported + RATE_GROWTH_FACTOR * max(growth, 0.0), INFERRED_RATE_FACTOR * inferred
        )
        # A steady rate needs no allowance for the lag, since late entries also expire late.
        units = max(rate - average, 0.0) * REPORT_LAG_SECONDS + max(rate - reported, 0.0) * age
        base_limit = self.window * quota.rate + quota.burst
        one_each = members * self.own_usage[customer].mean_units
        units += min(UNNOTICED_REQUESTS * one_each, UNNOTICED_MAX_SHARE * base_limit)
        return max(units - UNREPORTED_EXCESS_SHARE * quota.compute_excess(self.window), 0.0)

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
        unreported = self.estimate_unreported(customer, bucket, quota, members)
        used = self.estimate_window_usage(customer, bucket, quota, members) + unreported
        level = bucket.level - BUCKET_UNREPORTED_SHARE * unreported
        limit = quota.compute_window_limit(self.window, self.relayed)
        startup_excess = self.compute_startup_excess(customer, units, quota, members, now)
        excess = max(used + needed - limit, startup_excess)
        if level >= needed and excess <= 0:
            bucket.take(units, now)
            own_usage.add(units, now)
            return None
        wait = max(needed - level, excess) / quota.rate
        return QuotaRefusal(
            min(max(wait, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS),
            units,
            level,
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
