"""How fast each upstream reads prompts, learned from the times to the first events of answers.

Addresses uneven machines: engines of one service differ by a factor of 2.7, and a prompt of 54,600
tokens that takes 0.35 s at a typical one misses its objective of 0.545 s at a slow one.

An estimate holds a read rate in tokens per second, which daemons with different samples can
compare. The pace of an upstream is its rate relative to the median over its service.
"""

__all__ = [
    "FixedPart",
    "PaceEstimate",
    "ReadSample",
    "apply_sample",
    "find_typical_rate",
    "merge_estimates",
    "shrink_rate",
    "weigh_sample",
]

import math
import statistics
from collections.abc import Iterable
from typing import NamedTuple

MIN_PACE, MAX_PACE = 0.25, 4.0
MIN_RATE, MAX_RATE = 1_000.0, 10_000_000.0  # tokens per second; beyond, a sample is no reading
HALF_LIFE_SECONDS = 60.0  # of the weight; a machine keeps its speed until its upstream restarts
MAX_WEIGHT = 12.0  # samples over which an estimate averages, so that it follows within some seconds
# Tokens whose reading takes about as long as the noise of a step and the network; shorter prompts
# say little.
NOISE_TOKENS = 1_000.0
MIN_READ_TOKENS = 1_200
SLOW_PHASE = 1.3  # stated slowdown from which a reading may span the end of a slow phase
DOUBTFUL_SHARE = 0.3  # weight of a sample at a full upstream or in a slow phase
MAX_STEP = math.log(2.0)  # that one sample may differ from an estimate with some weight
SETTLED_WEIGHT = 2.0  # from which samples are bounded by MAX_STEP
# Waiting, other prompts and unstated slowness only add time, so slow samples are believed less.
SLOWER_SHARE = 0.5
TRUST_WEIGHT = 1.0  # at which an estimate counts half against the typical rate
SHORT_PROMPT_TOKENS = 1_000  # whose time to the first event is mostly the fixed part
FIXED_QUANTILE = 0.3
FIXED_STEP_SECONDS = 0.0005
FIRST_FIXED_SECONDS = 0.005  # until answers were seen: a step of an engine and a round trip
MAX_FIXED_SECONDS = 0.03
MIN_READ_SHARE = 0.2  # of the time to the first event, which at least is reading


class ReadSample(NamedTuple):
    """The first event of an answer.

    :ivar tokens: prompt tokens that the upstream probably had to read
    :ivar uncertain: tokens that it may or may not have cached
    :ivar seconds: time from the request to the first event
    :ivar slowdown: stated time of work relative to the usual, 1.0 if not stated
    :ivar full: whether the upstream had more requests than slots, as far as known
    """

    tokens: float
    uncertain: float
    seconds: float
    slowdown: float
    full: bool


class PaceEstimate(NamedTuple):
    """What is known of an upstream's reading.

    :ivar born: start time of the upstream's incarnation, as in its registration
    :ivar rate: tokens read in a second
    :ivar weight: samples behind it, as of ``at``
    :ivar at: boot time in seconds of the newest sample
    """

    born: float
    rate: float
    weight: float
    at: float

    def weigh(self, now: float) -> float:
        """Return the weight that is left at a time."""
        return self.weight * 0.5 ** (max(now - self.at, 0.0) / HALF_LIFE_SECONDS)


class FixedPart:
    """The seconds to a first event that do not depend on the prompt, a low quantile of a service.

    :ivar seconds: current estimate
    """

    def __init__(self) -> None:
        self.seconds = FIRST_FIXED_SECONDS

    def note(self, sample: ReadSample, typical_rate: float) -> None:
        """Learn from a prompt that is short enough."""
        if sample.tokens + sample.uncertain > SHORT_PROMPT_TOKENS:
            return
        rest = sample.seconds / sample.slowdown - sample.tokens / typical_rate
        share = FIXED_QUANTILE if rest > self.seconds else FIXED_QUANTILE - 1.0
        moved = self.seconds + FIXED_STEP_SECONDS * share
        self.seconds = min(max(moved, 0.0), MAX_FIXED_SECONDS)


def weigh_sample(sample: ReadSample) -> float:
    """Return the weight of a sample between 0 and 1, 0 if it says nothing of the read rate."""
    if sample.tokens < MIN_READ_TOKENS or sample.seconds <= 0.0:
        return 0.0
    weight = (sample.tokens / (sample.tokens + sample.uncertain + NOISE_TOKENS)) ** 2
    if sample.full or sample.slowdown >= SLOW_PHASE:
        weight *= DOUBTFUL_SHARE
    return weight


def apply_sample(
    known: PaceEstimate | None, born: float, sample: ReadSample, fixed: float, now: float
) -> PaceEstimate | None:
    """Return the estimate after a sample; one of an earlier incarnation is left behind.

    :param fixed: seconds to a first event that do not depend on the prompt
    :param now: boot time in seconds
    """
    weight = weigh_sample(sample)
    if not weight:
        return known
    seconds = sample.seconds / sample.slowdown
    rate = sample.tokens / max(seconds - fixed, MIN_READ_SHARE * seconds)
    rate = min(max(rate, MIN_RATE), MAX_RATE)
    if known is None or known.born != born:
        return PaceEstimate(born, rate, weight, now)
    left = known.weigh(now)
    step = math.log(rate / known.rate)
    if left >= SETTLED_WEIGHT:
        step = min(max(step, -MAX_STEP), MAX_STEP)
    if step < 0.0:
        step *= SLOWER_SHARE
    total = min(left + weight, MAX_WEIGHT)
    return PaceEstimate(born, known.rate * math.exp(step * weight / total), total, now)


def merge_estimates(known: PaceEstimate | None, new: PaceEstimate) -> PaceEstimate:
    """Return the estimate with more evidence, of the latest incarnation.

    The weights halve at the same speed, so that daemons which hear of the same estimates in any
    order, and repeatedly, keep the same one.
    """
    if known is None or new.born > known.born:
        return new
    if new.born < known.born:
        return known
    latest = max(known.at, new.at)
    return max(known, new, key=lambda item: (item.weigh(latest), item.at, item.rate))


def find_typical_rate(estimates: Iterable[PaceEstimate]) -> float | None:
    """Return the median rate over the upstreams of a service, None if there is none."""
    rates = [estimate.rate for estimate in estimates]
    return statistics.median(rates) if rates else None


def shrink_rate(estimate: PaceEstimate, typical: float, now: float) -> float:
    """Return the rate to expect: near the typical one while there is little evidence."""
    weight = estimate.weigh(now)
    pace = (estimate.rate / typical) ** (weight / (weight + TRUST_WEIGHT))
    return typical * min(max(pace, MIN_PACE), MAX_PACE)
