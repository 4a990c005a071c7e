"""Sequential test of a new version against the old one on the same route."""

__all__ = ["RequestResult", "TrialVerdict", "VersionTrial"]

import enum
import math
from bisect import insort
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

ALARM_LIKELIHOOD_RATIO = 1000.0
ALTERNATIVE_FACTORS = (2.0, 4.0, 8.0)
MIN_BASE_RATE = 0.03
MAX_BASE_RATE = 0.5
BASE_MARGIN = 1.5
BASELINE_WINDOW = 200
MIN_BASELINE_SAMPLES = 20
SLOW_QUANTILE = 0.95
SLOW_MARGIN = 1.2
EVENT_GAP_MARGIN = 1.5  # a batch that fills up slows all its streams by less than this factor
NEAR_CERTAIN_RATE = 0.95
DEFAULT_BASE_RATE = 0.1


class TrialVerdict(enum.StrEnum):
    """Verdict on a version on one route."""

    OPEN = "open"
    BAD = "bad"


class RequestResult(NamedTuple):
    """Result of one finished request.

    :ivar latency: seconds to the first token, or to the complete response if it is not streamed
    :ivar event_gap: mean seconds between the events of a stream, None where there are none
    """

    version: str
    route: str
    failed: bool
    latency: float
    event_gap: float | None = None


@dataclass
class SortedWindow:
    """Sliding window of recent values that are also kept in sorted order."""

    values: deque[float] = field(default_factory=lambda: deque(maxlen=BASELINE_WINDOW))
    sorted_values: list[float] = field(default_factory=list)

    def add(self, value: float) -> None:
        """Add a value."""
        if len(self.values) == self.values.maxlen:
            self.sorted_values.remove(self.values[0])
        self.values.append(value)
        insort(self.sorted_values, value)

    @property
    def known(self) -> bool:
        """Whether there are enough values for an estimate."""
        return len(self.sorted_values) >= MIN_BASELINE_SAMPLES

    def find_limit(self, margin: float) -> float:
        """Return the value above which a new value is unusually high."""
        if not self.known:
            return math.inf
        return margin * self.sorted_values[int(SLOW_QUANTILE * len(self.sorted_values))]


@dataclass
class VersionBaseline:
    """Baseline for a new version: recent results of the old version on the same route."""

    latencies: SortedWindow = field(default_factory=SortedWindow)
    event_gaps: SortedWindow = field(default_factory=SortedWindow)
    failures: deque[bool] = field(default_factory=lambda: deque(maxlen=BASELINE_WINDOW))

    def add(self, evidence: RequestResult) -> None:
        """Add a result."""
        self.failures.append(evidence.failed)
        if evidence.failed:
            return
        self.latencies.add(evidence.latency)
        if evidence.event_gap is not None:
            self.event_gaps.add(evidence.event_gap)

    def can_judge(self, evidence: RequestResult) -> bool:
        """Return whether there are enough results to decide whether a result is slow."""
        return self.latencies.known and (evidence.event_gap is None or self.event_gaps.known)

    def is_slow(self, evidence: RequestResult) -> bool:
        """Return whether a result is clearly slower than those of the old version."""
        if evidence.latency > self.slow_limit:
            return True
        return evidence.event_gap is not None and evidence.event_gap > self.event_gaps.find_limit(
            EVENT_GAP_MARGIN
        )

    @property
    def slow_limit(self) -> float:
        """Return the latency in seconds above which a result counts as slow."""
        return self.latencies.find_limit(SLOW_MARGIN)

    @property
    def base_rate(self) -> float:
        """Return the share of bad results expected of a version that is as good as the old one."""
        if len(self.failures) < MIN_BASELINE_SAMPLES:
            return DEFAULT_BASE_RATE
        failed = sum(self.failures) / len(self.failures)
        limit = self.slow_limit
        slow = sum(latency > limit for latency in self.latencies.sorted_values) / len(self.failures)
        return min(max(BASE_MARGIN * (failed + slow), MIN_BASE_RATE), MAX_BASE_RATE)


class VersionTrial:
    """Sequential test of the hypothesis that the new version is no worse than the old one.

    The likelihood ratio of a mixture of higher failure rates is a test martingale. Under the
    hypothesis, the probability that it ever exceeds ``ALARM_LIKELIHOOD_RATIO`` is at most the
    inverse of that value (J. Ville, 1939).

    :ivar ratios: likelihood ratio of each alternative rate
    """

    def __init__(self, old: VersionBaseline | None = None) -> None:
        self.baseline = old or VersionBaseline()
        self.ratios = [1.0] * (len(ALTERNATIVE_FACTORS) + 1)
        self.samples = 0
        self.bad_samples = 0

    def add_old(self, evidence: RequestResult) -> None:
        """Add a result of the old version."""
        self.baseline.add(evidence)

    def add_new(self, evidence: RequestResult) -> TrialVerdict:
        """Add a result of the new version and return the verdict."""
        bad = evidence.failed or self.baseline.is_slow(evidence)
        self.samples += 1
        self.bad_samples += bad
        self.update_ratios(bad, self.baseline.base_rate)
        return self.judge()

    def update_ratios(self, bad: bool, base_rate: float) -> None:
        """Multiply each likelihood ratio by that of one result.

        :param bad: whether the request failed or was slow
        :param base_rate: expected share of bad results under the hypothesis
        """
        rates = [min(factor * base_rate, NEAR_CERTAIN_RATE) for factor in ALTERNATIVE_FACTORS]
        for position, rate in enumerate([*rates, NEAR_CERTAIN_RATE]):
            ratio = rate / base_rate if bad else (1 - rate) / (1 - base_rate)
            self.ratios[position] *= ratio

    @property
    def likelihood_ratio(self) -> float:
        """Return the likelihood ratio of the mixture of alternatives."""
        return sum(self.ratios) / len(self.ratios)

    def judge(self) -> TrialVerdict:
        """Return the verdict so far."""
        return (
            TrialVerdict.BAD
            if self.likelihood_ratio > ALARM_LIKELIHOOD_RATIO
            else TrialVerdict.OPEN
        )
