"""Choice of the upstream at which a request's first event is expected soonest.

Addresses uneven machines and slow phases: where upstreams have stated loads or their read rates
were learned, long prompts go to fast upstreams, and what was just sent there counts as a queue.
"""

__all__ = ["choose_by_expected_finish", "estimate_first_event", "sample_upstreams"]

from bisect import bisect_right
from collections.abc import Sequence
from itertools import accumulate

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
    SAMPLERS,
    TIE_BREAK_SECONDS,
    PlacementCandidate,
    PlacementRequest,
    choose_by_expected_cost,
    estimate_uncached,
    sample_candidates,
)

# Upstreams that are considered beside the holder of a prompt's shared parts when loads are stale.
# In the emulator 3 to 8 were worse for every kind: daemons chose the same upstreams of low load.
SHORT_SAMPLE = 1
LONG_SAMPLE = 2
LONG_PROMPT_TOKENS = 4_000  # own tokens, which take 25 to 40 ms: more than loads differ by
HASH_RANGE = 2**64


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
    unread = estimate_uncached(request, candidate, index, cache_probability)
    unread += candidate.unread_tokens
    waiting = FULL_BATCH_SECONDS * min(load, 1.0) ** 2 + QUEUED_BATCH_SECONDS * max(load - 1.0, 0.0)
    seconds = waiting / candidate.pace + unread / read_rate * (1.0 + load)
    seconds *= candidate.slowdown
    if not candidate.local:
        seconds += CROSS_DOMAIN_SECONDS
    return seconds + FAILURE_COST_SECONDS * candidate.failure_rate


@SAMPLERS.register("expected_finish")
def sample_upstreams(
    request: PlacementRequest, names: Sequence[str], paces: Sequence[float]
) -> list[int]:
    """Return the places of some upstreams that differ between requests, and of the holder, last.

    Without shared parts there is no holder, and one more upstream is drawn.

    An upstream is drawn in proportion to its pace, so that each gets what it can do although the
    loads that daemons know are stale. One that is drawn twice makes the sample smaller.

    :param names: ids of the upstreams that may take the request
    :param paces: how fast each reads relative to the others of its service
    """
    own_tokens = request.part_tokens[-1] if request.part_tokens else request.tokens
    size = LONG_SAMPLE if own_tokens >= LONG_PROMPT_TOKENS else SHORT_SAMPLE
    if len(request.parts) < 2:
        size += 1  # in the place of the holder
    key = request.sampling_key.encode()
    bounds = list(accumulate(paces))
    scale = bounds[-1] / HASH_RANGE
    draws = [xxhash.xxh64_intdigest(key, seed) * scale for seed in range(size)]
    last = len(names) - 1
    places = dict.fromkeys(min(bisect_right(bounds, draw), last) for draw in draws)
    if request.parts[1:]:
        holder = names.index(find_preferred(request.parts[-2], names))
        places.pop(holder, None)
        places[holder] = None
    return list(places)


@PLACEMENTS.register("expected_finish")
def choose_by_expected_finish(
    request: PlacementRequest, candidates: Sequence[PlacementCandidate], index: PrefixIndex
) -> PlacementCandidate:
    """Choose the candidate with the earliest expected first event.

    Where nothing was stated or learned, the choice is that of ``expected_cost``.

    :param candidates: all that may take the request, or a sample with the holder
    """
    if not any(
        candidate.read_rate is not None or candidate.expected_running is not None
        for candidate in candidates
    ):
        return choose_by_expected_cost(request, candidates, index)
    if request.sampling_key and not request.parts:
        candidates = sample_candidates(request, candidates, None)
    elif request.sampling_key and len(candidates) > LONG_SAMPLE + 1:
        names = [candidate.upstream for candidate in candidates]
        places = sample_upstreams(request, names, [candidate.pace for candidate in candidates])
        candidates = [candidates[place] for place in places]
    names = [candidate.upstream for candidate in candidates]
    holder = find_preferred(request.parts[-2], names) if request.parts[1:] else ""
    key = request.sampling_key or (request.parts[-1] if request.parts else "")
    draw = xxhash.xxh64_intdigest(key.encode())
    best, best_rank = candidates[0], float("inf")
    for place, candidate in enumerate(candidates):
        probability = HOLDER_CACHE_PROBABILITY if candidate.upstream == holder else 0.0
        spread = ((draw >> place % 48) & 0xFFFF) / 0x10000 * TIE_BREAK_SECONDS
        rank = estimate_first_event(request, candidate, index, probability) - spread
        if rank < best_rank:
            best, best_rank = candidate, rank
    return best
