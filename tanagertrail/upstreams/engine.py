"""A toy engine: it bears a number of requests, warms up, caches prefixes, crashes and lags."""

__all__ = ["EngineCrashedError", "EngineFaults", "EngineSettings", "ToyEngine"]

import asyncio
import json
import random
from collections import Counter, OrderedDict
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import NamedTuple

from tanagertrail.errors import UpstreamConnectError, UpstreamRefusedError
from tanagertrail.model import Upstream
from tanagertrail.policy.prefixes import split_prefix_blocks
from tanagertrail.upstreams.base import Attempt, LoadReport, Order, OrderResult
from tanagertrail.upstreams.events import encode_end, encode_token

DEFAULT_ANSWER_TOKENS = 16
MAX_ANSWER_TOKENS = 100_000
COLD_SLOWDOWN = 4.0
CACHE_EVENT_HISTORY = 1000


class EngineCrashedError(Exception):
    """The engine died while it ran the request."""


class EngineSettings(NamedTuple):
    """Speeds and sizes of a toy engine.

    :ivar first_token: seconds to the first token when warm and the prompt is not cached
    :ivar token_gap: seconds between tokens when warm
    :ivar warm_up: seconds of cold start, with work, until it is warm
    :ivar cache_blocks: prefix blocks that its cache holds
    :ivar noise: standard deviation of the logarithm of each time
    """

    first_token: float = 0.1
    token_gap: float = 0.028
    service_time: float = 0.02
    warm_up: float = 0.0
    restart: float = 5.0
    cache_blocks: int = 256
    noise: float = 0.0


@dataclass
class EngineFaults:
    """Faults that a test injects into a toy engine.

    :ivar crash_marker: a body with these bytes crashes the engine
    :ivar slow: factor on all times
    :ivar fail_share: share of requests that fail after they ran
    :ivar slow_path: path on which ``path_slow`` is the factor
    """

    crash_marker: bytes = b""
    slow: float = 1.0
    fail_share: float = 0.0
    slow_path: str = ""
    path_slow: float = 1.0
    refuse: bool = False


@dataclass
class ToyEngine:
    """Run attempts as a model engine or a plain service would."""

    upstream: Upstream
    settings: EngineSettings = EngineSettings()
    faults: EngineFaults = field(default_factory=EngineFaults)
    seed: int = 0

    def __post_init__(self) -> None:
        self.rng = random.Random(f"{self.upstream.name}:{self.seed}")
        self.in_flight = 0
        self.peak_overshoot = 0
        self.falls = 0
        self.alive = True
        self.generation = 0
        self.cold_until: float | None = None
        self.cache: OrderedDict[str, None] = OrderedDict()
        self.cache_events: list[tuple[int, str, str]] = []
        self.cached_tokens = 0
        self.recomputed_tokens = 0
        self.executions: Counter[str] = Counter()
        self.started: Counter[str] = Counter()
        self.fencing = 0
        self.orders: dict[str, OrderResult] = {}
        self.loaded: set[str] = set()

    @property
    def cold(self) -> bool:
        """Whether the engine is in cold start."""
        if self.cold_until is None:
            return False
        return asyncio.get_running_loop().time() < self.cold_until

    @property
    def bearable(self) -> int:
        """Return the number of requests that the engine bears now."""
        return self.upstream.cold_slots if self.cold else self.upstream.slots

    def turn_cold(self, duration: float) -> None:
        """Start a cold period of a number of seconds, without a word to anyone."""
        self.cold_until = asyncio.get_running_loop().time() + duration
        self.cache.clear()

    def crash(self) -> None:
        """Die at once: all that runs is cut."""
        self.alive = False
        self.falls += 1
        self.generation += 1
        self.in_flight = 0
        self.cache.clear()

    def revive(self) -> None:
        """Come back, in cold start."""
        self.alive = True
        self.turn_cold(self.settings.warm_up)

    def begin(self, attempt: Attempt) -> int:
        """Admit an attempt and return the generation in which it runs.

        :raises UpstreamConnectError: if the engine is dead
        :raises UpstreamRefusedError: if it refuses
        :raises EngineCrashedError: if the request or the load kills it
        """
        if not self.alive:
            raise UpstreamConnectError(f"{self.upstream.name} is down")
        if self.faults.refuse:
            raise UpstreamRefusedError(f"{self.upstream.name} refuses")
        self.started[attempt.attempt_id.rpartition(".")[0]] += 1
        self.in_flight += 1
        self.peak_overshoot = max(self.peak_overshoot, self.in_flight - self.bearable)
        overloaded = self.cold and self.in_flight > 2 * self.bearable
        marker = self.faults.crash_marker
        if overloaded or (marker and marker in attempt.body):
            self.crash()
            raise EngineCrashedError(self.upstream.name)
        return self.generation

    def finish(self, generation: int) -> None:
        """Free the slot of an attempt unless the engine died meanwhile."""
        if generation == self.generation:
            self.in_flight -= 1

    async def pause(self, seconds: float, path: str, generation: int) -> None:
        """Wait as long as the work takes.

        :raises EngineCrashedError: if the engine dies meanwhile
        """
        factor = self.faults.slow * (COLD_SLOWDOWN if self.cold else 1.0)
        if self.faults.slow_path and path.startswith(self.faults.slow_path):
            factor *= self.faults.path_slow
        if self.settings.noise:
            factor *= self.rng.lognormvariate(0.0, self.settings.noise)
        await asyncio.sleep(seconds * factor)
        if generation != self.generation:
            raise EngineCrashedError(self.upstream.name)

    async def iter_events(self, attempt: Attempt, generation: int) -> AsyncIterator[bytes]:
        """Yield the events of a streamed answer that :meth:`begin` admitted."""
        tokens = read_answer_length(attempt.body)
        fresh = self.use_cache(attempt)
        await self.pause(self.settings.first_token * fresh, attempt.path, generation)
        for sequence in range(attempt.resume_from, tokens):
            if sequence > attempt.resume_from:
                await self.pause(self.settings.token_gap, attempt.path, generation)
            yield encode_token(attempt.attempt_id, sequence, f"t{sequence} ")
        yield encode_end(attempt.attempt_id, tokens)

    async def run_call(self, attempt: Attempt) -> tuple[int, bytes]:
        """Run a plain call and return status and body."""
        generation = self.begin(attempt)
        try:
            await self.pause(self.settings.service_time, attempt.path, generation)
            key = attempt.idempotency_key or attempt.attempt_id
            self.executions[key] += 1
            if self.rng.random() < self.faults.fail_share:
                return 500, b'{"error": "failed"}'
            body = {"path": attempt.path, "call": key, "number": len(self.executions)}
            return 200, json.dumps(body).encode()
        finally:
            self.finish(generation)

    def use_cache(self, attempt: Attempt) -> float:
        """Return the share of the prompt that is not cached, and cache it."""
        blocks = split_prefix_blocks(attempt.service, attempt.body)
        if not blocks:
            return 1.0
        hits = 0
        while hits < len(blocks) and blocks[hits] in self.cache:
            hits += 1
        for block in blocks:
            self.store_block(block)
        self.cached_tokens += hits
        self.recomputed_tokens += len(blocks) - hits + attempt.resume_from
        return max(1.0 - hits / len(blocks), 0.1)

    def store_block(self, block: str) -> None:
        """Put a block into the cache and evict the oldest when full."""
        if block not in self.cache:
            self.note_cache_event("stored", block)
        self.cache[block] = None
        self.cache.move_to_end(block)
        while len(self.cache) > self.settings.cache_blocks:
            evicted, _ = self.cache.popitem(last=False)
            self.note_cache_event("evicted", evicted)

    def note_cache_event(self, kind: str, block: str) -> None:
        """Keep a cache event under the next number."""
        sequence = self.cache_events[-1][0] + 1 if self.cache_events else 1
        self.cache_events.append((sequence, kind, block))
        del self.cache_events[:-CACHE_EVENT_HISTORY]

    def report_load(self) -> LoadReport:
        """Return a load report with the recent cache events."""
        events = tuple(self.cache_events)
        return LoadReport(self.upstream.name, self.in_flight, 0, self.cached_tokens, events)

    def take_order(self, order: Order) -> OrderResult:
        """Carry out an order once per key, refusing old fencing numbers if it checks them."""
        if order.key in self.orders:
            return self.orders[order.key]
        if self.upstream.checks_fencing and order.fencing < self.fencing:
            return OrderResult(False, f"fencing {order.fencing} is older than {self.fencing}")
        self.fencing = max(self.fencing, order.fencing)
        result = self.carry_out(order)
        self.orders[order.key] = result
        return result

    def carry_out(self, order: Order) -> OrderResult:
        """Change the engine as ordered."""
        if order.kind == "load":
            self.loaded.add(order.target)
        elif order.kind == "unload":
            self.loaded.discard(order.target)
        elif order.kind == "export_cache":
            return OrderResult(True, content=" ".join(self.cache))
        elif order.kind == "import_cache":
            for block in order.target.split():
                self.store_block(block)
        elif order.kind != "role":
            return OrderResult(False, f"unknown order {order.kind!r}")
        return OrderResult(True)


def read_answer_length(body: bytes) -> int:
    """Return the number of tokens that a chat request asks for."""
    try:
        asked = json.loads(body).get("max_tokens", DEFAULT_ANSWER_TOKENS)
    except (ValueError, AttributeError):
        return DEFAULT_ANSWER_TOKENS
    return min(int(asked), MAX_ANSWER_TOKENS) if isinstance(asked, int) else DEFAULT_ANSWER_TOKENS
