"""Sequential test of a new version against the old one on the same route."""

__all__ = ["RequestResult", "TrialVerdict", "VersionTrial"]

import enum
import math
from bisect import insort
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

ALARM_LIKELIHOOD = 1000.0
ALTERNATIVES = (2.0, 4.0, 8.0)
MIN_BASE_RATE = 0.03
MAX_BASE_RATE = 0.5
BASE_MARGIN = 1.5
BASE_WINDOW = 200
MIN_BASE_SAMPLES = 20
SLOW_QUANTILE = 0.95
SLOW_MARGIN = 1.2
PACE_MARGIN = 1.5  # a batch that fills up slows all streams by a part of this
CERTAIN_RATE = 0.95
UNKNOWN_BASE_RATE = 0.1


class TrialVerdict(enum.StrEnum):
    """What the evidence says of a version on one route."""

    OPEN = "open"
    BAD = "bad"


class RequestResult(NamedTuple):
    """One finished request.

    :ivar latency: seconds to the first token, or to the whole answer of a plain call
    :ivar pace: mean seconds between the events of a stream, None where there are none
    """

    version: str
    route: str
    failed: bool
    latency: float
    pace: float | None = None


@dataclass
class RankedWindow:
    """Recent values and their order."""

    values: deque[float] = field(default_factory=lambda: deque(maxlen=BASE_WINDOW))
    ranked: list[float] = field(default_factory=list)

    def add(self, value: float) -> None:
        """Add a value."""
        if len(self.values) == self.values.maxlen:
            self.ranked.remove(self.values[0])
        self.values.append(value)
        insort(self.ranked, value)

    @property
    def known(self) -> bool:
        """Whether there are values enough to tell what is usual."""
        return len(self.ranked) >= MIN_BASE_SAMPLES

    def find_limit(self, margin: float) -> float:
        """Return the value beyond which one is unusually high."""
        if not self.known:
            return math.inf
        return margin * self.ranked[int(SLOW_QUANTILE * len(self.ranked))]


@dataclass
class VersionBaseline:
    """Recent results of the old version on a route."""

    latencies: RankedWindow = field(default_factory=RankedWindow)
    paces: RankedWindow = field(default_factory=RankedWindow)
    failures: deque[bool] = field(default_factory=lambda: deque(maxlen=BASE_WINDOW))

    def add(self, evidence: RequestResult) -> None:
        """Add a result."""
        self.failures.append(evidence.failed)
        if evidence.failed:
            return
        self.latencies.add(evidence.latency)
        if evidence.pace is not None:
            self.paces.add(evidence.pace)

    def can_judge(self, evidence: RequestResult) -> bool:
        """Say whether enough is known to tell whether a result is slow."""
        return self.latencies.known and (evidence.pace is None or self.paces.known)

    def is_slow(self, evidence: RequestResult) -> bool:
        """Say whether a result is clearly slower than those of the old version."""
        if evidence.latency > self.slow_limit:
            return True
        return evidence.pace is not None and evidence.pace > self.paces.find_limit(PACE_MARGIN)

    @property
    def slow_limit(self) -> float:
        """Return the latency in seconds beyond which an answer counts as slow."""
        return self.latencies.find_limit(SLOW_MARGIN)

    @property
    def base_rate(self) -> float:
        """Return the share of bad results to expect of a version as good as the old."""
        if len(self.failures) < MIN_BASE_SAMPLES:
            return UNKNOWN_BASE_RATE
        failed = sum(self.failures) / len(self.failures)
        limit = self.slow_limit
        slow = sum(latency > limit for latency in self.latencies.ranked) / len(self.failures)
        return min(max(BASE_MARGIN * (failed + slow), MIN_BASE_RATE), MAX_BASE_RATE)


class VersionTrial:
    """Test the hypothesis that the new version on one route is no worse than the old.

    The likelihood ratio of a mixture of worse rates is a test martingale, so that the chance of
    ever passing ``ALARM_LIKELIHOOD`` under the hypothesis is at most its inverse (J. Ville, 1939).
    """

    def __init__(self, old: VersionBaseline | None = None) -> None:
        self.old = old or VersionBaseline()
        self.ratios = [1.0] * (len(ALTERNATIVES) + 1)
        self.samples = 0
        self.bad_samples = 0

    def add_old(self, evidence: RequestResult) -> None:
        """Take a result of the old version."""
        self.old.add(evidence)

    def add_new(self, evidence: RequestResult) -> TrialVerdict:
        """Take a result of the new version and judge it."""
        bad = evidence.failed or self.old.is_slow(evidence)
        self.samples += 1
        self.bad_samples += bad
        self.multiply(bad, self.old.base_rate)
        return self.judge()

    def multiply(self, bad: bool, base: float) -> None:
        """Multiply each likelihood ratio by that of one result."""
        rates = [min(factor * base, CERTAIN_RATE) for factor in ALTERNATIVES]
        for index, rate in enumerate([*rates, CERTAIN_RATE]):
            ratio = rate / base if bad else (1 - rate) / (1 - base)
            self.ratios[index] *= ratio

    @property
    def likelihood(self) -> float:
        """Return the likelihood ratio of the mixture."""
        return sum(self.ratios) / len(self.ratios)

    def judge(self) -> TrialVerdict:
        """Say what the evidence says so far."""
        return TrialVerdict.BAD if self.likelihood > ALARM_LIKELIHOOD else TrialVerdict.OPEN
