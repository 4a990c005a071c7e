"""Tests of the rate limit for a cold upstream that many daemons use."""

import random

from tanagertrail.policy.cold_rate import ColdRateLimiter

RATE = 23.0
MAX_REQUESTS_PER_SECOND = RATE * 1.5 + 5


def measure_requests(daemons, seconds=6.0, step=0.01, idle=0.0):
    """Return the most requests within any second, and their total, if daemons send all they may.

    :param idle: seconds without callers after the upstream has turned cold
    """
    rng = random.Random(1)
    limiters = [ColdRateLimiter(0.0, rng.random()) for _ in range(daemons)]
    sent_at = []
    for step_number in range(int(seconds / step)):
        now = idle + step_number * step
        for limiter in limiters:
            if limiter.allows_request(RATE, daemons, now):
                limiter.spend()
                sent_at.append(now)
    return max(sum(start <= at < start + 1.0 for at in sent_at) for start in sent_at), len(sent_at)


def test_cold_upstream_is_not_overloaded_by_any_number_of_daemons():
    """67 daemons each rounded their share up to one request (FAILBACK, kumo-dial-grown quiet-1)."""
    for daemons in (1, 8, 67, 380):
        most, _ = measure_requests(daemons)
        assert most <= MAX_REQUESTS_PER_SECOND, daemons


def test_callers_that_come_after_a_quiet_time_overload_a_cold_upstream():
    """195 daemons had each saved a request for an upstream that was cold for 20 s."""
    for daemons in (1, 8, 67, 195, 380):
        for idle in (1.0, 2.9, 20.0):
            most, _ = measure_requests(daemons, idle=idle)
            assert most <= MAX_REQUESTS_PER_SECOND, (daemons, idle)


def test_rate_of_a_cold_upstream_is_mostly_used():
    for daemons in (1, 8, 67):
        _, count = measure_requests(daemons)
        assert count >= 0.5 * RATE * 6.0, daemons
