"""Quotas of customers over all daemons, in tokens or requests."""

__all__ = ["Quota", "QuotaLedger", "QuotaNews", "QuotaRefusal"]

from collections import deque
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

RECENT_SECONDS = 1.0  # span over which a daemon's present rate is taken
SILENT_SECONDS = 2.0  # four reports missed
LEAST_RETRY_SECONDS = 0.2
MOST_RETRY_SECONDS = 5.0
BURST_SECONDS = 1.0  # of the rate that may be used at once beyond the burst
START_SHARE = 0.8  # of the rate while a window may hold what was used before the start


class Quota(NamedTuple):
    """What a customer may use.

    :ivar rate: units per second
    :ivar burst: units that may be used at once
    """

    rate: float
    burst: float


class QuotaNews(NamedTuple):
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


class CustomerUse:
    """Units that this daemon let pass for one customer."""

    def __init__(self) -> None:
        self.total = 0.0
        self.recent: deque[tuple[float, float]] = deque()

    def add(self, units: float, now: float) -> None:
        """Count units."""
        self.total += units
        self.recent.append((now, units))

    def measure_rate(self, now: float) -> float:
        """Return the units per second of the last moments."""
        while self.recent and self.recent[0][0] < now - RECENT_SECONDS:
            self.recent.popleft()
        return sum(units for _, units in self.recent) / RECENT_SECONDS


@dataclass
class PeerUse:
    """What was reported last, and what was taken off for it since.

    :ivar daemons: daemons whose use the report sums up
    """

    incarnation: int
    heard_at: float
    news: dict[str, QuotaNews]
    daemons: int = 1
    predicted: dict[str, float] = field(default_factory=dict)


class Bucket:
    """Units that a customer may use now, and what was used in the window.

    :ivar level: units, below zero after more was used than was known
    :ivar used: (time, units) of all daemons in the window
    """

    def __init__(self, updated_at: float) -> None:
        self.level = 0.0
        self.updated_at = updated_at
        self.used: deque[tuple[float, float]] = deque()
        self.total = 0.0

    def take(self, units: float, now: float) -> None:
        """Count units that were used."""
        self.level -= units
        self.note_used(units, now)

    def note_used(self, units: float, now: float) -> None:
        """Count units in the window only."""
        self.used.append((now, units))
        self.total += units

    def expire(self, oldest: float) -> None:
        """Forget what lies before the window."""
        while self.used and self.used[0][0] < oldest:
            self.total -= self.used.popleft()[1]


class QuotaLedger:
    """One token bucket and one window for each customer, kept alike by all daemons.

    Answers a customer that sends many times its usual through all daemons at once. Each daemon
    takes off what it lets pass and what the others use: at the rate that they reported last,
    corrected by what they report next. A member that has gone silent is taken to use its even
    share, so that daemons that cannot hear each other together stay within the quota. A bucket
    is empty at a daemon's start and holds a few seconds' units, so that a quota holds over a
    start of all daemons too, after which no window is known.

    :ivar window: seconds in which rate and burst bind together
    """

    def __init__(self, window: float, started_at: float) -> None:
        self.window = window
        self.started_at = started_at
        self.own: dict[str, CustomerUse] = {}
        self.peers: dict[str, PeerUse] = {}
        self.buckets: dict[str, Bucket] = {}

    def build_report(self, now: float) -> dict[str, QuotaNews]:
        """Return what the other daemons are to know."""
        return {
            customer: QuotaNews(use.total, use.measure_rate(now))
            for customer, use in self.own.items()
        }

    def note_report(
        self,
        daemon: str,
        incarnation: int,
        news: Mapping[str, QuotaNews],
        now: float,
        daemons: int = 1,
    ) -> None:
        """Take what another daemon reported of itself, or of several."""
        known = self.peers.get(daemon)
        if known is not None:
            for customer, bucket in self.buckets.items():
                used = self.count_used(known, incarnation, customer, news)
                bucket.level -= used - known.predicted.get(customer, 0.0)
                bucket.note_used(used, now)
        self.peers[daemon] = PeerUse(incarnation, now, dict(news), daemons)

    def count_used(
        self, known: PeerUse, incarnation: int, customer: str, news: Mapping[str, QuotaNews]
    ) -> float:
        """Return the units that a daemon used since its last report."""
        used = news[customer].used if customer in news else 0.0
        before = 0.0
        if known.incarnation == incarnation and customer in known.news:
            before = known.news[customer].used
        return max(used - before, 0.0)

    def forget_daemons(self, keep: Collection[str]) -> None:
        """Forget the reports of all daemons but some."""
        for daemon in [name for name in self.peers if name not in keep]:
            del self.peers[daemon]

    def settle(self, customer: str, quota: Quota, members: int, now: float) -> Bucket:
        """Bring a bucket up to date."""
        bucket = self.buckets.get(customer)
        if bucket is None:
            bucket = self.buckets[customer] = Bucket(self.started_at)
        span = now - bucket.updated_at
        bucket.updated_at = now
        young = now - self.started_at < self.window
        bucket.level += span * quota.rate * (START_SHARE if young else 1.0)
        for peer in self.peers.values():
            if now - peer.heard_at <= SILENT_SECONDS:
                rate = peer.news[customer].rate if customer in peer.news else 0.0
                peer.predicted[customer] = peer.predicted.get(customer, 0.0) + rate * span
                bucket.level -= rate * span
        silent = max(members - 1 - self.count_heard(now), 0)
        bucket.level -= span * quota.rate * silent / max(members, 1)
        bucket.level = min(bucket.level, quota.burst + BURST_SECONDS * quota.rate)
        bucket.expire(now - self.window)
        return bucket

    def count_window(self, customer: str, bucket: Bucket, quota: Quota, members: int) -> float:
        """Estimate the units that all daemons used in the window."""
        total = bucket.total
        for peer in self.peers.values():
            if bucket.updated_at - peer.heard_at <= SILENT_SECONDS:
                total += peer.predicted.get(customer, 0.0)
        silent = max(members - 1 - self.count_heard(bucket.updated_at), 0)
        return total + self.limit_window(quota) * silent / max(members, 1)

    def limit_window(self, quota: Quota) -> float:
        """Return the units that a window may hold."""
        return quota.rate * self.window + quota.burst

    def admit(
        self, customer: str, units: float, quota: Quota, members: int, now: float
    ) -> QuotaRefusal | None:
        """Let units pass, or say why not.

        A request larger than the burst passes when the bucket is full.

        :param members: daemons that may use the quota, this one included
        """
        bucket = self.settle(customer, quota, members, now)
        needed = min(units, quota.burst + BURST_SECONDS * quota.rate)
        used = self.count_window(customer, bucket, quota, members)
        excess = used + needed - self.limit_window(quota)
        if bucket.level >= needed and excess <= 0:
            bucket.take(units, now)
            self.own.setdefault(customer, CustomerUse()).add(units, now)
            return None
        wait = max(needed - bucket.level, excess) / quota.rate
        return QuotaRefusal(
            min(max(wait, LEAST_RETRY_SECONDS), MOST_RETRY_SECONDS),
            units,
            bucket.level,
            used,
            self.limit_window(quota),
            self.count_heard(now),
        )

    def count_heard(self, now: float) -> int:
        """Count the other daemons whose use is known."""
        return sum(
            peer.daemons for peer in self.peers.values() if now - peer.heard_at <= SILENT_SECONDS
        )
