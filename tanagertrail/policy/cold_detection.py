"""Detection of upstreams that became cold, from their token latencies."""

__all__ = ["ColdDetector"]

import math

DRIFT = 0.7
THRESHOLD = 4.0
BASELINE_WEIGHT = 0.05
MAX_STEP = 2.0
SLOW_RATIO = 2.0


class ColdDetector:
    """CUSUM test on the logarithm of one upstream's latencies, relative to its warm baseline.

    The statistic is ``S = max(0, S + log(x / baseline) - DRIFT)``, and the alarm is raised if
    ``S > THRESHOLD`` (E. S. Page, "Continuous inspection schemes", Biometrika 41, 1954). One
    observation adds at most ``MAX_STEP``, so that no single stall raises the alarm.

    :ivar baseline: logarithm of the usual latency in seconds
    """

    def __init__(self, expected: float) -> None:
        self.baseline = math.log(expected)
        self.statistic = 0.0

    def observe(self, latency: float) -> bool:
        """Add a latency in seconds; return whether the upstream has become cold."""
        excess = math.log(max(latency, 1e-6)) - self.baseline
        if excess < DRIFT:
            self.baseline += BASELINE_WEIGHT * excess
        step = min(excess - DRIFT, MAX_STEP)
        self.statistic = max(0.0, self.statistic + step)
        return self.statistic > THRESHOLD

    def is_slow(self, latency: float) -> bool:
        """Return whether a single latency is typical of a cold upstream."""
        return latency > SLOW_RATIO * math.exp(self.baseline)

    def reset(self) -> None:
        """Reset the statistic after an alarm."""
        self.statistic = 0.0
