"""Quotas of customers over all daemons, in tokens or requests."""

__all__ = ["Quota", "QuotaLimiter", "QuotaUsage", "QuotaRefusal"]

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
WINDOW_SHARE = 0.2  # of what a window may hold beyond the quota; the rest covers late reports
RELAYED_BURST_SECONDS = 0.5  # of the rate, where others' use is told by way of hubs
RELAYED_SHARE = 0.8  # of a window that is filled there; a customer that turns hot is seen late
BUCKET_SLACK = 0.2  # of the slack that may be used at once beyond burst and rate
START_SLACK = 0.5  # of the slack that may be used at a start, whatever was used before it
UNHEARD_SECONDS = 1.0  # after a start in which reports of the others are still to come
UNHEARD_SHARE = 2.0  # of an even share that a daemon uses until then
RAMP_SHARE = 0.5  # of this daemon's own rate that each other one is taken to have at least
START_SECONDS = 0.2  # of the rate that a start holds back for reports that are on their way


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

    def limit_burst(self, relayed: bool) -> float:
        """Return the units that may be used at once.

        :param relayed: whether the use of others is told by way of hubs, and so later
        """
        seconds = RELAYED_BURST_SECONDS if relayed else BURST_SECONDS
        return self.burst + seconds * self.rate + BUCKET_SLACK * self.slack

    @property
    def first_level(self) -> float:
        """Return the units that may be used at a start, when no earlier use is known."""
        return max(START_SLACK * self.slack - START_SECONDS * self.rate, 0.0)

    def limit_window(self, window: float, relayed: bool) -> float:
        """Return the units up to which a window is filled."""
        plain = self.rate * window + self.burst
        limit = plain + WINDOW_SHARE * (self.tolerance * plain + self.slack)
        return limit * RELAYED_SHARE if relayed else limit


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
        self.rows: deque[tuple[float, float]] = deque()

    def add(self, units: float, now: float) -> None:
        """Count units."""
        self.rows.append((now, units))

    def list_units(self, now: float) -> list[float]:
        """Return the units of each request of the last moments."""
        while self.rows and self.rows[0][0] < now - RECENT_SECONDS:
            self.rows.popleft()
        return [units for _, units in self.rows]


class CustomerUse:
    """What this daemon was asked for one customer, and what it let pass.

    :ivar total: units that passed since the start
    """

    def __init__(self) -> None:
        self.total = 0.0
        self.passed = RecentUnits()
        self.asked = RecentUnits()

    def add(self, units: float, now: float) -> None:
        """Count units that pass."""
        self.total += units
        self.passed.add(units, now)

    def measure_rate(self, now: float) -> float:
        """Return the units per second of the last moments."""
        return sum(self.passed.list_units(now)) / RECENT_SECONDS

    def measure_wave(self, now: float) -> float:
        """Return the units per second here that show a wave at the other daemons too.

        One request says nothing of them: at hundreds of daemons most have one at a time. What was
        asked for beside the largest request does, whether it passed or not.
        """
        asked = self.asked.list_units(now)
        beside = (sum(asked) - max(asked, default=0.0)) / RECENT_SECONDS
        return min(self.measure_rate(now), beside)


@dataclass
class PeerUse:
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
        self.own: dict[str, CustomerUse] = {}
        self.peers: dict[str, PeerUse] = {}
        self.buckets: dict[str, Bucket] = {}

    def build_report(self, now: float) -> dict[str, QuotaUsage]:
        """Return what the other daemons are to know."""
        return {
            customer: QuotaUsage(use.total, use.measure_rate(now))
            for customer, use in self.own.items()
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
        known = self.peers.get(daemon)
        if known is not None:
            for customer, bucket in self.buckets.items():
                used = self.count_used(known, incarnation, customer, news)
                bucket.level -= used - known.predicted.get(customer, 0.0)
                bucket.note_used(used, now)
        self.peers[daemon] = PeerUse(incarnation, now, dict(news), daemons)

    def count_used(
        self, known: PeerUse, incarnation: int, customer: str, news: Mapping[str, QuotaUsage]
    ) -> float:
        """Return the units that a daemon used since its last report."""
        used = news[customer].used if customer in news else 0.0
        before = 0.0
        if known.incarnation == incarnation and customer in known.news:
            before = known.news[customer].used
        return max(used - before, 0.0)

    def retain_daemons(self, keep: Collection[str]) -> None:
        """Forget the reports of all daemons but some."""
        for daemon in [name for name in self.peers if name not in keep]:
            del self.peers[daemon]

    @property
    def relayed(self) -> bool:
        """Say whether the use of others is told by way of hubs."""
        return any(peer.daemons > 1 for peer in self.peers.values())

    def settle(self, customer: str, quota: Quota, members: int, now: float) -> Bucket:
        """Bring a bucket up to date."""
        bucket = self.buckets.get(customer)
        if bucket is None:
            bucket = self.buckets[customer] = Bucket(self.started_at, quota.first_level)
        before = bucket.updated_at
        span = now - before
        bucket.updated_at = now
        young = now - self.started_at < self.window
        wave = self.measure_wave(customer, now)
        bucket.level += span * quota.rate * (START_SHARE if young else 1.0)
        for peer in self.peers.values():
            if now - peer.heard_at <= SILENT_SECONDS:
                # What was used up to the last report is in the report.
                rate = self.predict_rate(customer, peer, wave)
                units = rate * (now - max(before, peer.heard_at))
                peer.predicted[customer] = peer.predicted.get(customer, 0.0) + units
                bucket.level -= units
        silent = max(members - 1 - self.count_heard(now), 0)
        bucket.level -= span * quota.rate * silent / max(members, 1)
        bucket.level = min(bucket.level, quota.limit_burst(self.relayed))
        bucket.expire(now - self.window)
        return bucket

    def measure_wave(self, customer: str, now: float) -> float:
        """Return the units per second here that show a wave at the others too."""
        use = self.own.get(customer)
        return use.measure_wave(now) if use is not None else 0.0

    def predict_rate(self, customer: str, peer: PeerUse, wave: float) -> float:
        """Estimate the units per second that the daemons of a report use now.

        A customer that turns hot does so at all daemons together, before any report tells it.
        """
        reported = peer.news[customer].rate if customer in peer.news else 0.0
        return max(reported, RAMP_SHARE * wave * peer.daemons)

    def count_window(self, customer: str, bucket: Bucket, quota: Quota, members: int) -> float:
        """Estimate the units that all daemons used in the window."""
        total = bucket.total
        for peer in self.peers.values():
            if bucket.updated_at - peer.heard_at <= SILENT_SECONDS:
                total += peer.predicted.get(customer, 0.0)
        silent = max(members - 1 - self.count_heard(bucket.updated_at), 0)
        limit = quota.limit_window(self.window, self.relayed)
        return total + limit * silent / max(members, 1)

    def admit(
        self, customer: str, units: float, quota: Quota, members: int, now: float
    ) -> QuotaRefusal | None:
        """Let units pass, or say why not.

        A request larger than the burst passes when the bucket is full.

        :param members: daemons that may use the quota, this one included
        """
        own = self.own.setdefault(customer, CustomerUse())
        own.asked.add(units, now)
        bucket = self.settle(customer, quota, members, now)
        needed = min(units, quota.limit_burst(self.relayed))
        used = self.count_window(customer, bucket, quota, members)
        limit = quota.limit_window(self.window, self.relayed)
        unheard = self.count_unheard(customer, units, quota, members, now)
        excess = max(used + needed - limit, unheard)
        if bucket.level >= needed and excess <= 0:
            bucket.take(units, now)
            own.add(units, now)
            return None
        wait = max(needed - bucket.level, excess) / quota.rate
        return QuotaRefusal(
            min(max(wait, LEAST_RETRY_SECONDS), MOST_RETRY_SECONDS),
            units,
            bucket.level,
            used,
            limit,
            self.count_heard(now),
        )

    def count_unheard(
        self, customer: str, units: float, quota: Quota, members: int, now: float
    ) -> float:
        """Return by how much a use just after the start passes this daemon's share.

        All daemons that start at once know nothing of each other's use. A single request may be
        larger than the share.
        """
        span = now - self.started_at
        use = self.own.get(customer)
        if span > UNHEARD_SECONDS or use is None or members == 1:
            return 0.0
        share = UNHEARD_SHARE / members * (quota.first_level + span * quota.rate)
        return use.total + units - share

    def count_heard(self, now: float) -> int:
        """Count the other daemons whose use is known."""
        return sum(
            peer.daemons for peer in self.peers.values() if now - peer.heard_at <= SILENT_SECONDS
        )
