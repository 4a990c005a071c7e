"""Tests of quotas in the first second after all daemons were killed."""

import random
from typing import NamedTuple

from tanagertrail.policy.token_quota import Quota, QuotaLimiter

DAEMONS = 89
WINDOW = 8.0
QUOTA = Quota(rate=100_000.0, burst=214_000.0, tolerance=0.1, slack=140_000.0)
HARD_LIMIT = (QUOTA.rate * WINDOW + QUOTA.burst) * 1.1 + QUOTA.slack
OUTAGE_SECONDS = 0.8  # the shortest: a process is started again and reads its modules


class Outcome(NamedTuple):
    """What was admitted in the first second.

    :ivar share: admitted units as a share of the requested ones
    :ivar largest_share: the same for requests above 20,000 units
    :ivar excess: units by which a window came nearest to the hard limit, negative below it
    """

    share: float
    largest_share: float
    excess: float


def draw_units(rng: random.Random) -> float:
    """Draw the tokens of a long request; the mean is some 7,000."""
    return min(rng.lognormvariate(8.2, 1.1), 55_000.0)


def start_all(requests_per_second: float, seed: int) -> Outcome:
    """Send one customer's requests to daemons that have just started and hear no others.

    A refused request comes back after its Retry-After. The usage before the kill was as large as
    the bucket allows.
    """
    rng = random.Random(seed)
    limiters = [QuotaLimiter(WINDOW, 0.0, random.Random(rng.random())) for _ in range(DAEMONS)]
    pending = []
    at = 0.0
    while (at := at + rng.expovariate(requests_per_second)) < 1.0:
        pending.append((at, draw_units(rng), True))
    asked = sum(units for _, units, _ in pending)
    large = sum(units for _, units, _ in pending if units > 20_000)
    used = used_large = 0.0
    excess = float("-inf")
    before = QUOTA.compute_capacity(relayed=True)
    while pending:
        pending.sort(reverse=True)
        at, units, may_return = pending.pop()
        refusal = rng.choice(limiters).admit("guild", units, QUOTA, DAEMONS, at)
        if refusal is None:
            used += units
            used_large += units * (units > 20_000)
            earlier = before + QUOTA.rate * (WINDOW - OUTAGE_SECONDS - at)
            excess = max(excess, earlier + used - HARD_LIMIT)
        elif may_return and at + refusal.retry_after < 1.0:
            pending.append((at + refusal.retry_after, units, False))
    return Outcome(used / asked, used_large / max(large, 1.0), excess)


def test_a_customer_within_its_quota_is_refused_after_a_kill_of_all_daemons():
    # A request that is larger than its daemon's part of the first second was refused everywhere.
    # The others are held until the daemons know each other's usage.
    outcomes = [start_all(30.0, seed) for seed in range(20)]
    share = sum(outcome.share for outcome in outcomes) / 20
    largest_share = sum(outcome.largest_share for outcome in outcomes) / 20
    assert share >= 0.5 and largest_share >= 0.3, (share, largest_share)


def test_a_surge_after_a_kill_of_all_daemons_exceeds_the_quota():
    for requests_per_second in (60.0, 300.0, 1500.0):
        for seed in range(10):
            assert start_all(requests_per_second, seed).excess < 0.0
