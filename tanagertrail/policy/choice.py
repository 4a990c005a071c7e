"""Algorithms that choose an upstream among those with a free slot."""

__all__ = ["CHOICES", "Candidate", "ChoiceRequest", "PrefixIndex"]

import random
from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from tanagertrail.policy.hashing import score_pair
from tanagertrail.registry import Registry

BOUNDED_LOAD_FACTOR = 1.25
DEFAULT_HINT_SECONDS = 120.0
MAX_INDEX_BLOCKS = 50_000
PLACEMENT_PREFIX_BLOCKS = 4


class Candidate(NamedTuple):
    """An upstream that may take the request.

    :ivar load: requests in flight that this daemon knows of, as a share of the slots
    :ivar available: slots that are free for new requests
    :ivar price: cost of its instance per hour
    """

    upstream: str
    load: float
    available: int
    price: float = 1.0
    local: bool = False


class ChoiceRequest(NamedTuple):
    """The request for which an upstream is chosen.

    :ivar blocks: hashes of the prompt's prefix blocks
    :ivar now: event-loop time in seconds
    :ivar fingerprint: hash of the request, which breaks ties between equally loaded upstreams
    """

    blocks: tuple[str, ...]
    now: float
    fingerprint: str = ""


class PrefixIndex:
    """Expiring hints of which upstreams have cached which prefix blocks.

    :ivar lifetime: seconds after which a hint expires
    :ivar holders: expiry time of the hint by block and upstream
    """

    def __init__(self, lifetime: float = DEFAULT_HINT_SECONDS) -> None:
        self.lifetime = lifetime
        self.holders: OrderedDict[str, dict[str, float]] = OrderedDict()

    def note_stored(self, upstream: str, blocks: Iterable[str], now: float) -> None:
        """Record that an upstream has cached some blocks, or is about to."""
        for block in blocks:
            self.holders.setdefault(block, {})[upstream] = now + self.lifetime
            self.holders.move_to_end(block)
        while len(self.holders) > MAX_INDEX_BLOCKS:
            self.holders.popitem(last=False)

    def note_evicted(self, upstream: str, block: str) -> None:
        """Record that an upstream has evicted a block."""
        self.holders.get(block, {}).pop(upstream, None)

    def forget_upstream(self, upstream: str) -> None:
        """Remove all hints for an upstream that lost its cache."""
        for holders in self.holders.values():
            holders.pop(upstream, None)

    def count_cached(self, upstream: str, blocks: Sequence[str], now: float) -> int:
        """Count the leading blocks that an upstream has probably cached."""
        for count, block in enumerate(blocks):
            if self.holders.get(block, {}).get(upstream, 0.0) <= now:
                return count
        return len(blocks)


Choice = Callable[[ChoiceRequest, Sequence[Candidate], PrefixIndex, random.Random], Candidate]
CHOICES: Registry[Choice] = Registry("choice")


@CHOICES.register("least_loaded")
def choose_least_loaded(
    request: ChoiceRequest,
    candidates: Sequence[Candidate],
    index: PrefixIndex,
    rng: random.Random,
) -> Candidate:
    """Choose the least loaded candidate; among equals, a repeated request gets the same one."""

    def rank(item: Candidate) -> tuple[float, int]:
        return item.load, score_pair(request.fingerprint, item.upstream)

    return min(candidates, key=rank)


@CHOICES.register("two_choices")
def choose_of_two(
    request: ChoiceRequest,
    candidates: Sequence[Candidate],
    index: PrefixIndex,
    rng: random.Random,
) -> Candidate:
    """Choose the less loaded of two random candidates."""
    sampled = rng.sample(list(candidates), min(2, len(candidates)))
    return min(sampled, key=lambda item: item.load)


@CHOICES.register("affinity")
def choose_by_prefix(
    request: ChoiceRequest,
    candidates: Sequence[Candidate],
    index: PrefixIndex,
    rng: random.Random,
) -> Candidate:
    """Choose the candidate with the longest cached prefix among those with bounded load.

    Among candidates with equally long cached prefixes, the cheaper and then the less loaded one is
    chosen. Prompts that no candidate has cached are placed by rendezvous hashing with bounded
    loads, so that daemons agree without sharing hints (V. Mirrokni, M. Thorup, M. Zadimoghaddam,
    "Consistent hashing with bounded loads", SODA 2018).
    """
    if not request.blocks:
        return choose_least_loaded(request, candidates, index, rng)
    mean_load = sum(item.load for item in candidates) / len(candidates)
    lightly_loaded = [item for item in candidates if item.load <= BOUNDED_LOAD_FACTOR * mean_load]
    placement_block = request.blocks[min(PLACEMENT_PREFIX_BLOCKS, len(request.blocks)) - 1]

    def score(item: Candidate) -> tuple[int, float, float, int]:
        cached = index.count_cached(item.upstream, request.blocks, request.now)
        load = item.load if cached else 0.0
        return cached, -item.price, -load, score_pair(placement_block, item.upstream)

    return max(lightly_loaded or candidates, key=score)
