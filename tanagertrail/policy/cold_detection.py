"""Detection of a cold turn from token latencies."""

__all__ = ["ColdDetector"]

import math

DRIFT = 0.7
THRESHOLD = 4.0
BASELINE_WEIGHT = 0.05
MAX_STEP = 2.0
SLOW_RATIO = 2.0


class ColdDetector:
    """Cumulative sum of log latencies above the warm baseline of one upstream.

    The statistic is ``S = max(0, S + log(x / baseline) - DRIFT)`` and the alarm is raised at
    ``S > THRESHOLD`` (E. S. Page, "Continuous inspection schemes", Biometrika 41, 1954). One
    observation adds at most ``MAX_STEP``, so that no single stall raises the alarm.

    :ivar baseline: logarithm of the usual latency in seconds
    """

    def __init__(self, expected: float) -> None:
        self.baseline = math.log(expected)
        self.statistic = 0.0

    def observe(self, latency: float) -> bool:
        """Take a latency in seconds and return whether the upstream has turned cold."""
        excess = math.log(max(latency, 1e-6)) - self.baseline
        if excess < DRIFT:
            self.baseline += BASELINE_WEIGHT * excess
        step = min(excess - DRIFT, MAX_STEP)
        self.statistic = max(0.0, self.statistic + step)
        return self.statistic > THRESHOLD

    def is_slow(self, latency: float) -> bool:
        """Say whether one latency looks cold rather than warm."""
        return latency > SLOW_RATIO * math.exp(self.baseline)

    def reset(self) -> None:
        """Start the sum anew, after an alarm."""
        self.statistic = 0.0
