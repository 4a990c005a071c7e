"""Experiment: ways to divide a shared request rate among daemons."""

__all__ = ["DIVISIONS", "RatesResult", "run_rates"]

import random
from bisect import bisect_left
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from tanagertrail.policy.cold_rate import ColdRateLimiter
from tanagertrail.policy.hashing import rank_by_hash
from tanagertrail.policy.shared_rate import FleetView, HeldRates, RateBound, count_rate_holders
from tanagertrail.registry import Registry

MEASURED_SECONDS = 30.0
UPSTREAM = "up"
CARRIERS = 3  # that a daemon asks for a request for which it has no part left

# Asks a daemon by number whether it may send a request at a time, and counts it if so.
Spend = Callable[[int, float], bool]
Division = Callable[[int, float, RateBound, random.Random], Spend]
DIVISIONS: Registry[Division] = Registry("division of a rate")


class RatesResult(NamedTuple):
    """What one way of dividing came to.

    :ivar fullest: requests in the fullest window, as a share of what the bound allows
    :ivar used: requests sent while callers press, as a share of the rate
    """

    division: str
    daemons: int
    rate: float
    fullest: float
    used: float


@DIVISIONS.register("equal")
def divide_equally(daemons: int, rate: float, bound: RateBound, rng: random.Random) -> Spend:
    """Give each daemon a token bucket with an even share."""
    limiters = [ColdRateLimiter(0.0, rng.random()) for _ in range(daemons)]

    def spend(daemon: int, now: float) -> bool:
        allowed = limiters[daemon].allows_request(rate, daemons, now)
        if allowed:
            limiters[daemon].spend()
        return allowed

    return spend


@DIVISIONS.register("rounded")
def divide_and_round_up(daemons: int, rate: float, bound: RateBound, rng: random.Random) -> Spend:
    """Give each daemon its even share of each window, and one request at least."""
    sent: list[deque[float]] = [deque() for _ in range(daemons)]
    most = max(round(rate * bound.window / daemons), 1)

    def spend(daemon: int, now: float) -> bool:
        times = sent[daemon]
        while times and times[0] <= now - bound.window:
            times.popleft()
        if len(times) >= most:
            return False
        times.append(now)
        return True

    return spend


@DIVISIONS.register("holders")
def divide_among_holders(daemons: int, rate: float, bound: RateBound, rng: random.Random) -> Spend:
    """Give a few daemons, found by rendezvous hashing, a token bucket each."""
    names = frozenset(f"d{number}" for number in range(daemons))
    parts = [HeldRates(f"d{number}") for number in range(daemons)]
    for own in parts:
        own.observe_fleet(FleetView(own.fleet.own, names, 1.0), 0.0, 0.0)

    def spend(daemon: int, now: float) -> bool:
        allowed = parts[daemon].allows_request(UPSTREAM, rate, bound, now)
        if allowed:
            parts[daemon].note_sent(UPSTREAM)
        return allowed

    return spend


@DIVISIONS.register("carrying holders")
def divide_among_carriers(daemons: int, rate: float, bound: RateBound, rng: random.Random) -> Spend:
    """Give a few daemons a token bucket each, and have them carry requests of the others."""
    spend_own = divide_among_holders(daemons, rate, bound, rng)
    names = {f"d{number}": number for number in range(daemons)}
    ranked = rank_by_hash(UPSTREAM, names)[: count_rate_holders(rate, bound)]
    holders = [names[name] for name in ranked]

    def spend(daemon: int, now: float) -> bool:
        carriers = rng.sample(holders, min(CARRIERS, len(holders)))
        return any(spend_own(number, now) for number in (daemon, *carriers))

    return spend


def run_rates(
    division: str, daemons: int, rate: float, load: float, bound: RateBound, idle: float = 0.0
) -> RatesResult:
    """Measure one way of dividing a rate while callers press.

    :param load: requests per second of callers at each daemon
    :param idle: seconds without callers before, in which parts may be saved up
    """
    rng = random.Random(1)
    spend = DIVISIONS.get(division)(daemons, rate, bound, rng)
    for daemon in range(daemons):
        spend(daemon, 0.0)
    sent = []
    now = idle
    while now < idle + MEASURED_SECONDS:
        now += rng.expovariate(load * daemons)
        if spend(rng.randrange(daemons), now):
            sent.append(now)
    fullest = max(
        (bisect_left(sent, at + bound.window) - number for number, at in enumerate(sent)),
        default=0,
    )
    most = bound.factor * rate * bound.window + bound.extra
    return RatesResult(
        division, daemons, rate, fullest / most, len(sent) / (rate * MEASURED_SECONDS)
    )
