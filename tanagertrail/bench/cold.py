"""Experiment: false alarms and delay of the cold detector on a noisy model."""

__all__ = ["ColdResult", "run_cold"]

import math
import random
from typing import NamedTuple

from tanagertrail.policy.cold_detection import ColdDetector

TOKEN_GAP_SECONDS = 0.028
WINDOW_TOKENS = 4
NOISE = 0.35
STALL_SHARE = 0.01
STALL_FACTOR = 3.0
COLD_FACTOR = 4.0
TRIALS = 300
SECONDS_PER_HOUR = 3600.0


class ColdResult(NamedTuple):
    """What one threshold measured.

    :ivar delay_p95: seconds from the cold turn to the alarm, in 95 of 100 trials
    """

    streams: int
    upstream_hours: float
    false_alarms: int
    delay_p50: float
    delay_p95: float


def draw_window(rng: random.Random, factor: float) -> float:
    """Draw the mean gap of one window of tokens, in seconds."""
    total = 0.0
    for _ in range(WINDOW_TOKENS):
        gap = TOKEN_GAP_SECONDS * factor * math.exp(rng.gauss(0.0, NOISE))
        total += gap * STALL_FACTOR if rng.random() < STALL_SHARE else gap
    return total / WINDOW_TOKENS


def count_false_alarms(rng: random.Random, hours: float, streams: int) -> int:
    """Count the alarms of a warm upstream."""
    detector = ColdDetector(0.032)
    per_second = streams / (TOKEN_GAP_SECONDS * WINDOW_TOKENS)
    alarms = 0
    for _ in range(round(hours * SECONDS_PER_HOUR * per_second)):
        if detector.observe(draw_window(rng, 1.0)):
            alarms += 1
            detector.reset()
    return alarms


def measure_delay(rng: random.Random, streams: int) -> float:
    """Return the seconds from a cold turn to the alarm."""
    detector = ColdDetector(0.032)
    for _ in range(200):
        detector.observe(draw_window(rng, 1.0))
    detector.reset()
    clocks = [rng.random() * TOKEN_GAP_SECONDS * WINDOW_TOKENS for _ in range(streams)]
    while True:
        index = min(range(streams), key=clocks.__getitem__)
        window = draw_window(rng, COLD_FACTOR)
        clocks[index] += window * WINDOW_TOKENS
        if detector.observe(window):
            return clocks[index]


def run_cold(streams: int, hours: float = 2.0, seed: int = 1) -> ColdResult:
    """Measure the detector with a number of streams at one upstream."""
    rng = random.Random(seed)
    alarms = count_false_alarms(rng, hours, streams)
    delays = sorted(measure_delay(rng, streams) for _ in range(TRIALS))
    return ColdResult(streams, hours, alarms, delays[TRIALS // 2], delays[round(TRIALS * 0.95)])
