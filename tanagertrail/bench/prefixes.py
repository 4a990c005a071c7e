"""Experiment: prompt blocks recomputed by each choice of upstream, against a perfect oracle."""

__all__ = ["PrefixResult", "run_prefixes"]

import heapq
import random
from collections import OrderedDict, deque
from collections.abc import Iterator
from typing import NamedTuple

from tanagertrail.policy.choice import CHOICES, Candidate, ChoiceRequest, PrefixIndex

UPSTREAMS = 10
SLOTS = 8
DAEMONS = 9
CACHE_BLOCKS = 160
GROUPS = 60
PREFIX_BLOCKS = 12
TAIL_BLOCKS = 3
REQUESTS = 20_000
LOAD = 0.6
SERVICE_SECONDS = 4.0
EVENT_DELAY_SECONDS = 5.0
EVENT_LOSS = 0.1
ORACLE = "oracle"


class PrefixResult(NamedTuple):
    """What one choice measured.

    :ivar recomputed: blocks computed as a share of all blocks
    :ivar saving: saving over ``least_loaded`` as a share of the oracle's
    :ivar hottest: largest mean load of an upstream over the mean of all
    """

    choice: str
    recomputed: float
    saving: float
    hottest: float


class Cache:
    """The true cache of one upstream."""

    def __init__(self) -> None:
        self.blocks: OrderedDict[str, None] = OrderedDict()

    def count_hits(self, blocks: tuple[str, ...]) -> int:
        """Count the leading blocks that are cached."""
        for count, block in enumerate(blocks):
            if block not in self.blocks:
                return count
        return len(blocks)

    def use(self, blocks: tuple[str, ...]) -> tuple[list[str], list[str]]:
        """Cache blocks; return what was stored and what was evicted."""
        stored, evicted = [], []
        for block in blocks:
            if block not in self.blocks:
                stored.append(block)
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        while len(self.blocks) > CACHE_BLOCKS:
            evicted.append(self.blocks.popitem(last=False)[0])
        return stored, evicted


class Model:
    """Requests of many prefix groups, through daemons that share no index."""

    def __init__(self, choice: str, seed: int = 1) -> None:
        self.choice = choice
        self.rng = random.Random(seed)
        self.names = [f"dial-{index}" for index in range(UPSTREAMS)]
        self.caches = {name: Cache() for name in self.names}
        self.in_flight = dict.fromkeys(self.names, 0)
        self.busy = dict.fromkeys(self.names, 0.0)
        self.indexes = [PrefixIndex() for _ in range(DAEMONS)]
        self.events: deque[tuple[float, str, list[str], list[str]]] = deque()
        self.finishing: list[tuple[float, str]] = []
        self.recomputed = 0
        self.total = 0

    def run(self) -> None:
        """Run all requests."""
        now = 0.0
        rate = LOAD * UPSTREAMS * SLOTS / SERVICE_SECONDS
        for number in range(REQUESTS):
            now += self.rng.expovariate(rate)
            self.advance(now)
            self.serve(now, self.draw_blocks(number))

    def draw_blocks(self, number: int) -> tuple[str, ...]:
        """Draw the blocks of a request: a shared prefix and a tail of its own."""
        group = min(int(self.rng.paretovariate(0.8)), GROUPS) - 1
        prefix = [f"g{group}.{index}" for index in range(PREFIX_BLOCKS)]
        return tuple(prefix + [f"r{number}.{index}" for index in range(TAIL_BLOCKS)])

    def advance(self, now: float) -> None:
        """Finish requests and let late events arrive."""
        while self.finishing and self.finishing[0][0] <= now:
            _, name = heapq.heappop(self.finishing)
            self.in_flight[name] -= 1
        while self.events and self.events[0][0] <= now:
            at, name, stored, evicted = self.events.popleft()
            for index in self.indexes:
                index.note_stored(name, stored, at)
                for block in evicted:
                    index.note_evicted(name, block)

    def serve(self, now: float, blocks: tuple[str, ...]) -> None:
        """Choose an upstream for a request and compute what it has not cached."""
        candidates = [
            Candidate(name, self.in_flight[name] / SLOTS, SLOTS - self.in_flight[name])
            for name in self.names
            if self.in_flight[name] < SLOTS
        ]
        if not candidates:
            return
        index = self.rng.choice(self.indexes)
        name = self.pick(blocks, candidates, index, now)
        cache = self.caches[name]
        self.recomputed += len(blocks) - cache.count_hits(blocks)
        self.total += len(blocks)
        stored, evicted = cache.use(blocks)
        index.note_stored(name, blocks, now)
        if self.rng.random() > EVENT_LOSS:
            self.events.append((now + EVENT_DELAY_SECONDS, name, stored, evicted))
        self.in_flight[name] += 1
        self.busy[name] += SERVICE_SECONDS
        heapq.heappush(self.finishing, (now + SERVICE_SECONDS, name))

    def pick(
        self,
        blocks: tuple[str, ...],
        candidates: list[Candidate],
        index: PrefixIndex,
        now: float,
    ) -> str:
        """Choose by the named policy, or by the true caches."""
        if self.choice == ORACLE:
            best = max(
                candidates,
                key=lambda item: (self.caches[item.upstream].count_hits(blocks), -item.load),
            )
            return best.upstream
        request = ChoiceRequest(blocks, now, blocks[-1])
        return CHOICES.get(self.choice)(request, candidates, index, self.rng).upstream

    @property
    def share(self) -> float:
        """Return the share of blocks that were computed."""
        return self.recomputed / self.total

    @property
    def hottest(self) -> float:
        """Return the largest load over the mean load."""
        return max(self.busy.values()) * UPSTREAMS / sum(self.busy.values())


def run_prefixes(seed: int = 1) -> Iterator[PrefixResult]:
    """Measure every choice and the oracle on the same requests."""
    models = {name: Model(name, seed) for name in (*CHOICES, ORACLE)}
    for model in models.values():
        model.run()
    base = models["least_loaded"].share
    possible = base - models[ORACLE].share
    for name, model in models.items():
        yield PrefixResult(name, model.share, (base - model.share) / possible, model.hottest)
