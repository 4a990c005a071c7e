"""Choice of the upstream at which a request's first event is expected soonest.

Addresses uneven machines and slow phases: where upstreams have stated loads or their read rates
were learned, long prompts go to fast upstreams, and what was just sent there counts as a queue.
"""

__all__ = ["choose_by_expected_finish", "estimate_first_event"]

from collections.abc import Sequence

import xxhash

from tanagertrail.policy.choice import PrefixIndex
from tanagertrail.policy.hashing import find_preferred
from tanagertrail.policy.placement import (
    CROSS_DOMAIN_SECONDS,
    FAILURE_COST_SECONDS,
    FULL_BATCH_SECONDS,
    HOLDER_CACHE_PROBABILITY,
    PLACEMENTS,
    PREFILL_TOKENS_PER_SECOND,
    QUEUED_BATCH_SECONDS,
    TIE_BREAK_SECONDS,
    PlacementCandidate,
    PlacementRequest,
    choose_by_expected_cost,
)

SHORT_SAMPLE = 3  # upstreams that are considered for a short prompt when loads are stale
LONG_SAMPLE = 8  # for a prompt whose reading takes most of an objective at a slow upstream
LONG_PROMPT_TOKENS = 4_000  # 25 to 40 ms of reading, more than other upstreams' loads differ by


def estimate_first_event(
    request: PlacementRequest,
    candidate: PlacementCandidate,
    index: PrefixIndex,
    cache_probability: float = 0.0,
) -> float:
    """Estimate the seconds until a request's first event at an upstream.

    :param cache_probability: probability that the upstream has cached the prompt's shared parts
    """
    running = candidate.expected_running
    load = (candidate.running if running is None else running) / max(candidate.slots, 1)
    read_rate = candidate.read_rate or PREFILL_TOKENS_PER_SECOND
    cached_parts = index.count_cached(candidate.upstream, request.parts, request.now)
    cached_tokens = sum(request.part_tokens[:cached_parts])
    if cache_probability:
        cached_tokens = max(cached_tokens, cache_probability * sum(request.part_tokens[:-1]))
    unread = request.tokens - cached_tokens + candidate.unread_tokens
    seconds = QUEUED_BATCH_SECONDS * max(load - 1.0, 0.0)
    seconds += FULL_BATCH_SECONDS * min(load, 1.0) ** 2
    seconds += unread / read_rate * (1.0 + load)
    seconds *= candidate.slowdown
    if not candidate.local:
        seconds += CROSS_DOMAIN_SECONDS
    return seconds + FAILURE_COST_SECONDS * candidate.failure_rate


def sample_upstreams(
    request: PlacementRequest, candidates: Sequence[PlacementCandidate]
) -> list[PlacementCandidate]:
    """Return some upstreams that differ between requests, more of them for a long prompt.

    The cost of the sample does not depend on the number of upstreams. A place that is drawn twice
    makes it smaller by one.
    """
    count = len(candidates)
    own_tokens = request.part_tokens[-1] if request.part_tokens else request.tokens
    size = LONG_SAMPLE if own_tokens >= LONG_PROMPT_TOKENS else SHORT_SAMPLE
    if count <= size:
        return list(candidates)
    key = request.sampling_key.encode()
    places = {xxhash.xxh64_intdigest(key, seed) % count: None for seed in range(size)}
    return [candidates[place] for place in places]


@PLACEMENTS.register("expected_finish")
def choose_by_expected_finish(
    request: PlacementRequest, candidates: Sequence[PlacementCandidate], index: PrefixIndex
) -> PlacementCandidate:
    """Choose the candidate with the earliest expected first event.

    Where nothing was stated or learned, the choice is that of ``expected_cost``.
    """
    if not any(
        candidate.read_rate is not None or candidate.expected_running is not None
        for candidate in candidates
    ):
        return choose_by_expected_cost(request, candidates, index)
    by_name = {candidate.upstream: candidate for candidate in candidates}
    holder = by_name[find_preferred(request.parts[-2], by_name)] if request.parts[1:] else None
    considered = list(candidates)
    if request.sampling_key:
        considered = sample_upstreams(request, candidates)
        if holder is not None:
            considered.append(holder)
    key = request.sampling_key or (request.parts[-1] if request.parts else "")
    draw = xxhash.xxh64_intdigest(key.encode())
    best, best_rank = candidates[0], float("inf")
    for place, candidate in enumerate(considered):
        probability = HOLDER_CACHE_PROBABILITY if candidate is holder else 0.0
        spread = ((draw >> place % 48) & 0xFFFF) / 0x10000 * TIE_BREAK_SECONDS
        rank = estimate_first_event(request, candidate, index, probability) - spread
        if rank < best_rank:
            best, best_rank = candidate, rank
    return best
