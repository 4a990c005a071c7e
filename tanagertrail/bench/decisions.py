"""Experiment: processor time of one decision for an upstream, by placement and kind of prompt."""

__all__ = ["DecisionResult", "run_decisions"]

import random
import time
from typing import NamedTuple

from tanagertrail.emulator.uneven_daemon import build_selector
from tanagertrail.gateway.model import Upstream
from tanagertrail.gateway.upstream_load import StatedLoad
from tanagertrail.gateway.upstream_table import UpstreamEntry
from tanagertrail.platform.header_fields import UpstreamLoad
from tanagertrail.policy.placement import PlacementRequest

PROMPTS = {"short": (119, 79, 628), "tag": (341, 227, 1800), "long": (512, 4870, 54_600)}
SPEEDS = (0.6, 1.0, 1.6)
SLOTS = 12
ROUNDS = 2000


class DecisionResult(NamedTuple):
    """Processor time of a decision.

    :ivar describe_us: microseconds to describe the upstreams that are considered
    :ivar decide_us: microseconds to describe them and to choose
    """

    placement: str
    prompt: str
    upstreams: int
    describe_us: float
    decide_us: float


def build_entries(count: int) -> list[UpstreamEntry]:
    """Build upstreams of uneven speeds; a third have stated their load lately."""
    entries = []
    for number in range(count):
        name, domain = f"i-{number:010x}", f"d{number % 4}"
        record = Upstream(name, "m", "h:1", domain, "v", SLOTS, False, 0, 1.0, False, None)
        entry = UpstreamEntry(record)
        entry.in_flight_elsewhere = number % SLOTS
        entry.read_rate = 150_000.0 * SPEEDS[number % 3]
        if number % 3 == 0:
            entry.load = StatedLoad(UpstreamLoad(4, 0, SLOTS, 100), 4, 10.0)
        entries.append(entry)
    return entries


def run_decisions(placement: str, prompt: str, upstreams: int) -> DecisionResult:
    """Measure decisions with the stale loads of many daemons."""
    entries = {entry.record.id: entry for entry in build_entries(upstreams)}
    tokens = PROMPTS[prompt]
    selector = build_selector("bench", "d0", time.monotonic, placement, random.Random(1))
    described, taken = 0.0, 0.0
    for number in range(ROUNDS):
        parts = ("common", f"session-{number % 85}", f"own-{number}")
        request = PlacementRequest(parts, tokens, sum(tokens), 10.0, f"r{number}")
        started = time.process_time()
        sample = selector.sample_entries(request, entries)
        candidates = [selector.build_candidate(entry, 10.3) for entry in sample]
        described += time.process_time() - started
        chosen = selector.choose_candidate(request, candidates, selector.prefix_index)
        taken += time.process_time() - started
        selector.prefix_index.note_stored(chosen.upstream, parts, 10.0)
    return DecisionResult(
        placement,
        prompt,
        upstreams,
        round(1e6 * described / ROUNDS, 1),
        round(1e6 * taken / ROUNDS, 1),
    )
