"""Division of a request rate, which holds for all daemons together, among a few of them."""

__all__ = [
    "NAMED_RATE_BOUND",
    "FleetView",
    "HeldRates",
    "RateBound",
    "RateShare",
    "SharedRateLimiter",
    "count_rate_holders",
    "plan_share",
]

from collections.abc import Collection
from typing import NamedTuple

from tanagertrail.policy.hashing import rank_by_hash

USED_SHARE = 0.95  # of the rate
RESERVED_REQUESTS = 2.0  # of a bound, for daemons that briefly disagree on who the holders are
MIN_RATE = 0.1  # requests per second, so that the end of a limit of zero is noticed


class RateBound(NamedTuple):
    """How far the requests of a window may exceed a rate.

    :ivar window: length of the window in seconds
    :ivar factor: multiple of the rate that the window may hold
    :ivar extra: requests that it may hold in addition
    """

    window: float
    factor: float
    extra: float

    def compute_burst(self, rate: float) -> float:
        """Return the requests that all daemons may send at once, beside the steady rate.

        :param rate: requests per second
        """
        excess = (self.factor - USED_SHARE) * rate * self.window
        return max(excess + self.extra - RESERVED_REQUESTS, 1.0)


NAMED_RATE_BOUND = RateBound(window=4.0, factor=1.5, extra=5.0)  # for rates that upstreams name


class FleetView(NamedTuple):
    """The daemons among which a rate is divided, as one of them sees them.

    :ivar own: this daemon
    :ivar serving: live daemons that accept callers' requests, this one included if it does
    :ivar live_share: live daemons as a share of all known ones, in (0, 1]
    """

    own: str
    serving: frozenset[str]
    live_share: float


class RateShare(NamedTuple):
    """One holder's part of a rate.

    :ivar rank: position among the holders, 0 for the first
    :ivar holders: number of holders
    :ivar rate: requests per second
    :ivar burst: requests that may be sent at once
    :ivar first_tokens: tokens at the start, which differ so that holders send apart
    """

    rank: int
    holders: int
    rate: float
    burst: float
    first_tokens: float


def count_rate_holders(rate: float, bound: RateBound) -> int:
    """Count the daemons among which a rate is divided, if there are as many.

    Each can send one request at once, and together these must fit in the bound.

    :param rate: requests per second from all daemons together
    """
    return int(bound.compute_burst(max(rate, MIN_RATE)))


def plan_share(key: str, rate: float, bound: RateBound, fleet: FleetView) -> RateShare | None:
    """Return this daemon's part of a rate, None if it holds none.

    Only a few daemons hold a part. Holders are chosen by rendezvous hashing, so that daemons agree
    without messages and a change of the fleet moves few parts. A part shrinks with the share of
    daemons that are out of touch, since these may divide the same rate among themselves.

    :param key: what the rate belongs to
    :param rate: requests per second from all daemons together
    """
    rate = max(rate, MIN_RATE)
    burst = bound.compute_burst(rate)
    holders = rank_by_hash(key, fleet.serving)[: count_rate_holders(rate, bound)]
    if fleet.own not in holders:
        return None
    rank = holders.index(fleet.own)
    part = fleet.live_share / len(holders)
    return RateShare(
        rank,
        len(holders),
        USED_SHARE * rate * part,
        max(burst * part, 1.0),
        part * (len(holders) - rank),
    )


class SharedRateLimiter:
    """Token bucket for one daemon's part of a shared rate.

    :ivar share: this daemon's part, None while it holds none
    :ivar tokens: requests that may be sent now
    :ivar usable_from: time in seconds from which the part may be used, None before the first one
    :ivar updated_at: time in seconds up to which tokens were added
    :ivar spent: requests that were sent
    """

    def __init__(self) -> None:
        self.share: RateShare | None = None
        self.tokens = 0.0
        self.usable_from: float | None = None
        self.updated_at = 0.0
        self.spent = 0

    def apply_share(self, share: RateShare | None, handover: float, now: float) -> None:
        """Put a part in force.

        A daemon that takes a part over waits until the former holder has learnt that it is none
        any more. What both send within a window fits in the bound, since nothing is earned while
        it waits.

        :param handover: seconds until a former holder knows of its successor, 0 if there is none
        """
        self.refill(now)
        if share is not None and self.share is None:
            if self.usable_from is None:
                self.tokens = share.first_tokens
            self.usable_from = self.updated_at = now + handover
        self.share = share

    def refill(self, now: float) -> None:
        """Add the tokens earned since the last call."""
        if self.share is None or now <= self.updated_at:
            return
        earned = self.share.rate * (now - self.updated_at)
        self.tokens = min(self.tokens + earned, self.share.burst)
        self.updated_at = now

    def allows_request(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        self.refill(now)
        if self.share is None or now < self.usable_from:
            return False
        return self.tokens >= 1.0

    def spend(self) -> None:
        """Take a token for a request that is sent."""
        self.tokens -= 1.0
        self.spent += 1


class HeldRate:
    """A shared rate and the part of it that this daemon holds.

    :ivar rate: requests per second from all daemons together
    :ivar fleet: the fleet for which the part was planned
    """

    def __init__(self) -> None:
        self.limiter = SharedRateLimiter()
        self.rate = 0.0
        self.fleet: FleetView | None = None


class HeldRates:
    """One daemon's parts of all shared rates, kept in line with the fleet.

    :ivar fleet: the daemons among which rates are divided
    :ivar handover: seconds in which all daemons learn of a change of the fleet
    :ivar settled_at: time in seconds at which all know of the last change
    :ivar held: rates by key
    """

    def __init__(self, own: str) -> None:
        self.fleet = FleetView(own, frozenset(), 1.0)
        self.handover = 0.0
        self.settled_at = 0.0
        self.held: dict[str, HeldRate] = {}

    def observe_fleet(self, fleet: FleetView, handover: float, now: float) -> None:
        """Put a view of the fleet in force.

        :param handover: seconds in which all daemons learn of a change of the fleet
        """
        self.handover = handover
        if fleet == self.fleet:
            return
        if fleet.serving != self.fleet.serving:
            self.settled_at = now + handover
        self.fleet = fleet

    def allows_request(self, key: str, rate: float, bound: RateBound, now: float) -> bool:
        """Return whether this daemon may send a request now.

        :param key: what the rate belongs to
        :param rate: requests per second from all daemons together
        """
        held = self.held.setdefault(key, HeldRate())
        if held.rate != rate or held.fleet is not self.fleet:
            share = plan_share(key, rate, bound, self.fleet)
            held.limiter.apply_share(share, self.handover if now < self.settled_at else 0.0, now)
            held.rate = rate
            held.fleet = self.fleet
        return held.limiter.allows_request(now)

    def note_sent(self, key: str) -> None:
        """Count a request that is sent."""
        held = self.held.get(key)
        if held is not None:
            held.limiter.spend()

    def forget_except(self, keys: Collection[str]) -> None:
        """Drop the rates that are no longer in force."""
        for key in [key for key in self.held if key not in keys]:
            del self.held[key]
