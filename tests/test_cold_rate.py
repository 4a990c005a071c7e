"""Cold upstreams before many daemons."""

import random

from tanagertrail.policy.cold_rate import ColdRateLimiter

RATE = 23.0
BOUND = RATE * 1.5 + 5


def most_in_a_second(daemons, seconds=6.0, step=0.01):
    """Return the most requests of any second when each daemon always has one to send."""
    rng = random.Random(1)
    allowances = [ColdRateLimiter(0.0, rng.random()) for _ in range(daemons)]
    sent = []
    for tick in range(int(seconds / step)):
        now = tick * step
        for allowance in allowances:
            if allowance.allows_request(RATE, daemons, now):
                allowance.spend()
                sent.append(now)
    return max(sum(start <= at < start + 1.0 for at in sent) for start in sent), len(sent)


def test_cold_upstream_is_not_overrun_by_any_number_of_daemons():
    """FAILBACK on kumo-dial-grown quiet-1: 67 daemons each rounded their share up to one."""
    for daemons in (1, 8, 67, 380):
        most, _ = most_in_a_second(daemons)
        assert most <= BOUND, daemons


def test_cold_upstream_is_used():
    for daemons in (1, 8, 67):
        _, count = most_in_a_second(daemons)
        assert count >= 0.5 * RATE * 6.0, daemons
