"""Choice of the upstream for a request by its expected cost in seconds."""

__all__ = [
    "PLACEMENTS",
    "SAMPLERS",
    "PlacementCandidate",
    "PlacementFunction",
    "PlacementRequest",
    "choose_by_expected_cost",
    "estimate_cost",
    "estimate_uncached",
]

from collections.abc import Callable, Sequence
from typing import NamedTuple

from tanagertrail.policy.choice import PrefixIndex
from tanagertrail.policy.hashing import score_pair
from tanagertrail.registry import Registry

PREFILL_TOKENS_PER_SECOND = 140_000.0  # prefill rate of the deployed engines

# Delay that a full batch adds to a new request, measured by `tanagertrail-bench load`.
FULL_BATCH_SECONDS = 0.1

QUEUED_BATCH_SECONDS = 1.0  # delay added by a full batch of queued requests: one answer's duration
CROSS_DOMAIN_SECONDS = 0.004  # round trip to another failure domain, including its traffic cost
FAILURE_COST_SECONDS = 2.0  # cost of a certain failure, more than any acceptable wait
TIE_BREAK_SECONDS = 0.004  # largest preference among upstreams without the prefix, by hash
HOLDER_CACHE_PROBABILITY = 0.9  # probability that a prefix's holder has cached its shared parts

# Upstreams of the own and of other failure domains that are considered when loads are stale.
LOCAL_SAMPLE = 1
REMOTE_SAMPLE = 1


class PlacementCandidate(NamedTuple):
    """An upstream that may take a request.

    :ivar running: estimated number of requests that all daemons have there
    :ivar slots: requests that it runs concurrently
    :ivar failure_rate: share of recent requests that failed there, between 0 and 1
    :ivar local: whether it is in the daemon's own failure domain
    :ivar expected_running: the same number by what it has stated itself lately, None without that
    :ivar read_rate: prompt tokens that it reads in a second, None if nothing was learned
    :ivar pace: how fast it reads relative to the others of its service
    :ivar slowdown: how many times as long as usual its work takes now
    :ivar unread_tokens: prompt tokens that this daemon has sent there and that are not read yet
    """

    upstream: str
    running: float
    slots: int
    failure_rate: float
    local: bool
    expected_running: float | None = None
    read_rate: float | None = None
    pace: float = 1.0
    slowdown: float = 1.0
    unread_tokens: float = 0.0


class PlacementRequest(NamedTuple):
    """A request to be placed.

    :ivar parts: ids of the prompt's parts in order; the last one belongs to this request only
    :ivar part_tokens: number of tokens of each part
    :ivar tokens: number of tokens of the whole prompt
    :ivar now: event-loop time in seconds
    :ivar sampling_key: unique text per request if loads are stale, so that daemons with the same
        stale loads choose differently; empty if loads are fresh
    """

    parts: tuple[str, ...]
    part_tokens: tuple[int, ...]
    tokens: int
    now: float
    sampling_key: str = ""


PlacementFunction = Callable[
    [PlacementRequest, Sequence[PlacementCandidate], PrefixIndex], PlacementCandidate
]
PLACEMENTS: Registry[PlacementFunction] = Registry("placement")
# Samplers of the placements that need no description of most upstreams: places of those to describe
# by the request, the ids of all that may take it and their paces.
SamplerFunction = Callable[[PlacementRequest, Sequence[str], Sequence[float]], list[int]]
SAMPLERS: Registry[SamplerFunction] = Registry("sampler")


def estimate_uncached(
    request: PlacementRequest,
    candidate: PlacementCandidate,
    index: PrefixIndex,
    cache_probability: float,
) -> float:
    """Estimate the tokens of a prompt that an upstream has not cached.

    :param cache_probability: probability that the upstream has cached the prompt's shared parts
    """
    cached_parts = index.count_cached(candidate.upstream, request.parts, request.now)
    cached_tokens = sum(request.part_tokens[:cached_parts])
    expected_cached_tokens = cache_probability * sum(request.part_tokens[:-1])
    return request.tokens - max(cached_tokens, expected_cached_tokens)


def estimate_cost(
    request: PlacementRequest,
    candidate: PlacementCandidate,
    index: PrefixIndex,
    cache_probability: float = 0.0,
) -> float:
    """Estimate the seconds that a request costs itself and others at an upstream.

    :param cache_probability: probability that the upstream has cached the prompt's shared parts
    """
    load = candidate.running / max(candidate.slots, 1)
    cost = FULL_BATCH_SECONDS * min(load, 1.0) ** 2 + QUEUED_BATCH_SECONDS * max(load - 1.0, 0.0)
    uncached_tokens = estimate_uncached(request, candidate, index, cache_probability)
    cost += uncached_tokens / PREFILL_TOKENS_PER_SECOND * (1.0 + load)
    if not candidate.local:
        cost += CROSS_DOMAIN_SECONDS
    return cost + FAILURE_COST_SECONDS * candidate.failure_rate


def find_prefix_holder(
    request: PlacementRequest, candidates: Sequence[PlacementCandidate]
) -> PlacementCandidate | None:
    """Return the upstream that all daemons prefer for the prompt's shared parts."""
    if len(request.parts) < 2:
        return None
    return max(candidates, key=lambda candidate: score_pair(request.parts[-2], candidate.upstream))


def sample_candidates(
    request: PlacementRequest,
    candidates: Sequence[PlacementCandidate],
    holder: PlacementCandidate | None,
) -> list[PlacementCandidate]:
    """Return the holder and a few other upstreams that differ between requests.

    Many daemons see the same stale loads. If each chose the least loaded of all upstreams, all
    would choose the same one until the next report.
    """
    shuffled = sorted(
        candidates, key=lambda candidate: -score_pair(request.sampling_key, candidate.upstream)
    )
    local = [candidate for candidate in shuffled if candidate.local][:LOCAL_SAMPLE]
    remote_count = LOCAL_SAMPLE + REMOTE_SAMPLE - len(local)
    remote = [candidate for candidate in shuffled if not candidate.local][:remote_count]
    return [*local, *remote, *([holder] if holder is not None else [])]


@PLACEMENTS.register("expected_cost")
def choose_by_expected_cost(
    request: PlacementRequest, candidates: Sequence[PlacementCandidate], index: PrefixIndex
) -> PlacementCandidate:
    """Choose the candidate with the lowest expected cost.

    In bursts of long prompts with shared parts, a part is recomputed at another upstream only if
    the queue at its holder would cost more. Daemons do not exchange where they sent requests; they
    agree on the holder of a shared part by rendezvous hashing.
    """
    holder = find_prefix_holder(request, candidates)
    considered = (
        sample_candidates(request, candidates, holder) if request.sampling_key else candidates
    )
    key = request.sampling_key or (request.parts[-1] if request.parts else "")

    def rank(candidate: PlacementCandidate) -> float:
        tie_break = score_pair(key, candidate.upstream) / 2**64 * TIE_BREAK_SECONDS
        cache_probability = HOLDER_CACHE_PROBABILITY if candidate is holder else 0.0
        return estimate_cost(request, candidate, index, cache_probability) - tie_break

    return min(considered, key=rank)


@PLACEMENTS.register("least_running")
def choose_least_running(
    request: PlacementRequest, candidates: Sequence[PlacementCandidate], index: PrefixIndex
) -> PlacementCandidate:
    """Choose the candidate with the lowest load; a baseline for comparisons.

    Daemons with the same loads all choose the same candidate.
    """
    return min(
        candidates,
        key=lambda candidate: (candidate.running / max(candidate.slots, 1), candidate.upstream),
    )


@PLACEMENTS.register("own_hints")
def choose_by_own_hints(
    request: PlacementRequest, candidates: Sequence[PlacementCandidate], index: PrefixIndex
) -> PlacementCandidate:
    """Choose by expected cost from this daemon's own prefix hints only; a baseline."""
    return min(
        candidates,
        key=lambda candidate: (estimate_cost(request, candidate, index), candidate.upstream),
    )
