"""Choice of the upstream for a request by the time it is expected to cost there."""

__all__ = [
    "PLACEMENTS",
    "PlacementFunction",
    "PlacementCandidate",
    "PlacementRequest",
    "choose_by_expected_cost",
    "estimate_cost",
]

from collections.abc import Callable, Sequence
from typing import NamedTuple

from tanagertrail.policy.choice import PrefixIndex
from tanagertrail.policy.hashing import score_pair
from tanagertrail.registry import Registry

PREFILL_TOKENS_PER_SECOND = 140_000.0  # rate at which the deployed engines read prompts
FULL_BATCH_SECONDS = (
    0.1  # delay that a full batch adds to a new request, by `tanagertrail-bench load`
)
QUEUED_BATCH_SECONDS = 1.0  # delay that a whole batch of waiting requests adds: one answer's time
CROSS_DOMAIN_SECONDS = 0.004  # round trip to another failure domain, with its price in bytes
FAILURE_COST_SECONDS = 2.0  # cost of a sure failure, above any wait that is worth while
TIE_BREAK_SECONDS = 0.004  # breaks ties between upstreams without the prefix alike everywhere
HOLDER_CACHE_PROBABILITY = 0.9  # chance that the first by hash holds what other requests share
LOCAL_SAMPLE = 1  # upstreams of the own failure domain that are looked at with stale loads
REMOTE_SAMPLE = 1


class PlacementCandidate(NamedTuple):
    """An upstream that may take a request.

    :ivar running: requests of all daemons that are believed to be there
    :ivar slots: requests that it runs at once
    :ivar failure_rate: share of recent requests that failed there, between 0 and 1
    :ivar local: whether it is in the daemon's own failure domain
    """

    upstream: str
    running: float
    slots: int
    failure_rate: float
    local: bool


class PlacementRequest(NamedTuple):
    """What a request asks of an upstream.

    :ivar parts: ids of the prompt's parts in order; the last one is the request's own
    :ivar part_tokens: tokens of each of these parts
    :ivar tokens: all tokens of the prompt
    :ivar now: event-loop time in seconds
    :ivar sampling_key: text that is new for each request, where loads are too old to be compared
        by all daemons alike; empty where they are fresh
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


def estimate_cost(
    request: PlacementRequest,
    candidate: PlacementCandidate,
    index: PrefixIndex,
    cache_probability: float = 0.0,
) -> float:
    """Estimate the seconds that a request costs at an upstream, for itself and others.

    :param cache_probability: chance that the upstream holds the parts that other requests share
    """
    load = candidate.running / max(candidate.slots, 1)
    cost = FULL_BATCH_SECONDS * min(load, 1.0) ** 2 + QUEUED_BATCH_SECONDS * max(load - 1.0, 0.0)
    cached_parts = index.count_cached(candidate.upstream, request.parts, request.now)
    cached_tokens = sum(request.part_tokens[:cached_parts])
    expected_cached_tokens = cache_probability * sum(request.part_tokens[:-1])
    uncached_tokens = request.tokens - max(cached_tokens, expected_cached_tokens)
    cost += uncached_tokens / PREFILL_TOKENS_PER_SECOND * (1.0 + load)
    if not candidate.local:
        cost += CROSS_DOMAIN_SECONDS
    return cost + FAILURE_COST_SECONDS * candidate.failure_rate


def find_prefix_holder(
    request: PlacementRequest, candidates: Sequence[PlacementCandidate]
) -> PlacementCandidate | None:
    """Return the upstream at which all daemons look first for the parts that requests share."""
    if len(request.parts) < 2:
        return None
    return max(candidates, key=lambda candidate: score_pair(request.parts[-2], candidate.upstream))


def sample_candidates(
    request: PlacementRequest,
    candidates: Sequence[PlacementCandidate],
    holder: PlacementCandidate | None,
) -> list[PlacementCandidate]:
    """Return the holder and a few other upstreams, others for each request.

    Answers many daemons that read the same old loads: were each to take the least loaded of all,
    all would take the same one until the next report.
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
    """Choose the seat of the least expected cost.

    Answers waves of long prompts that share parts: a part is read again only where the queue at
    its holder would cost more than the reading. Daemons do not tell each other what they sent
    where; they agree on the holder of a shared part by rendezvous hashing.
    """
    holder = find_prefix_holder(request, candidates)
    considered = (
        sample_candidates(request, candidates, holder) if request.sampling_key else candidates
    )
    key = request.sampling_key or (request.parts[-1] if request.parts else "")

    def rank(candidate: PlacementCandidate) -> float:
        tie_break = score_pair(key, candidate.upstream) / 2**64 * TIE_BREAK_SECONDS
        share = HOLDER_CACHE_PROBABILITY if candidate is holder else 0.0
        return estimate_cost(request, candidate, index, share) - tie_break

    return min(considered, key=rank)


@PLACEMENTS.register("least_running")
def choose_least_running(
    request: PlacementRequest, candidates: Sequence[PlacementCandidate], index: PrefixIndex
) -> PlacementCandidate:
    """Choose the seat with the fewest requests; a baseline that all daemons follow alike."""
    return min(
        candidates,
        key=lambda candidate: (candidate.running / max(candidate.slots, 1), candidate.upstream),
    )


@PLACEMENTS.register("own_hints")
def choose_by_own_hints(
    request: PlacementRequest, candidates: Sequence[PlacementCandidate], index: PrefixIndex
) -> PlacementCandidate:
    """Choose the least expected cost by what this daemon itself sent where; a baseline."""
    return min(
        candidates,
        key=lambda candidate: (estimate_cost(request, candidate, index), candidate.upstream),
    )
