"""Requests in flight: relaying, interruption, and evidence from their tokens."""

__all__ = ["ActiveRequest", "ActiveRequestTable", "Interruption"]

import asyncio
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from tanagertrail.core.context import NodeContext
from tanagertrail.core.limiting import Group, Limiter
from tanagertrail.core.requests import CallerRequest
from tanagertrail.model import Upstream
from tanagertrail.policy.cold_detection import ColdDetector
from tanagertrail.sinks import BaseSink
from tanagertrail.upstreams.base import BaseUpstreamAnswer, RelayEnd, TokenObserver
from tanagertrail.upstreams.events import EVENT_END, read_token_text

GAP_WINDOW_TOKENS = 4
DEFAULT_EXPECTED_SECONDS = (0.032, 0.25)


@dataclass(frozen=True)
class Interruption:
    """A try that this daemon ended so that it goes on at another upstream."""

    reason: str


class ActiveRequest:
    """One request on its way, over all its tries.

    :ivar events: the token events that the caller has
    :ivar delivered: tokens that the caller has
    :ivar attempts: tries begun
    :ivar may_have_run: whether some try may have run
    """

    def __init__(self, request: CallerRequest, sink: BaseSink) -> None:
        self.request = request
        self.sink = sink
        self.events = bytearray()
        self.version = ""
        self.waiter: asyncio.Future[str] = asyncio.Future()
        self.blocks: tuple[str, ...] | None = None
        self.upstream: Upstream | None = None
        self.delivered = request.resume_from
        self.attempts = 0
        self.may_have_run = False
        self.began_at = 0.0
        self.first_token_at = 0.0
        self.last_token_at = 0.0
        self.attempt_tokens = 0
        self.answer: BaseUpstreamAnswer | None = None
        self.interrupted: asyncio.Event = asyncio.Event()
        self.interrupted_by = ""
        self.on_first_token: Callable[[], None] = lambda: None

    @property
    def group(self) -> Group:
        """Return the service and version that the request goes to."""
        return self.request.service, self.version

    def begin(self, upstream: Upstream, now: float) -> None:
        """Begin a try."""
        self.upstream = upstream
        self.attempts += 1
        self.began_at = now
        self.first_token_at = 0.0
        self.last_token_at = 0.0
        self.attempt_tokens = 0
        self.interrupted.clear()

    def interrupt(self, reason: str) -> None:
        """End the running try so that it goes on elsewhere."""
        self.interrupted_by = reason
        self.interrupted.set()

    def read_text(self) -> str:
        """Return the text that the caller has."""
        if not self.events:
            return self.request.resume_text
        events = bytes(self.events).split(EVENT_END)
        fresh = "".join(read_token_text(event) for event in events if event)
        return self.request.resume_text + fresh

    async def relay(self, answer: BaseUpstreamAnswer, observe: TokenObserver) -> RelayEnd | None:
        """Relay an answer until it ends or is interrupted, which gives None."""
        relaying = asyncio.ensure_future(answer.relay(self.sink, observe))
        stopping = asyncio.ensure_future(self.interrupted.wait())
        try:
            async with asyncio.timeout_at(self.request.deadline):
                await asyncio.wait({relaying, stopping}, return_when=asyncio.FIRST_COMPLETED)
        except TimeoutError:
            reason = "the deadline has passed"
            return RelayEnd(False, answer.next_sequence, reason)
        finally:
            stopping.cancel()
            if not relaying.done():
                relaying.cancel()
                await asyncio.wait({relaying})
        if not relaying.cancelled():
            return relaying.result()
        self.delivered = answer.next_sequence
        return None


class ActiveRequestTable:
    """All flights of this daemon by upstream."""

    def __init__(self, context: NodeContext, limiter: Limiter) -> None:
        self.context = context
        self.limiter = limiter
        self.by_upstream: dict[str, list[ActiveRequest]] = defaultdict(list)
        self.detectors: dict[str, ColdDetector] = {}
        self.expected: Callable[[str], tuple[float, float]] = lambda service: (
            DEFAULT_EXPECTED_SECONDS
        )

    def add(self, flight: ActiveRequest) -> None:
        """Add a flight to its upstream."""
        self.by_upstream[flight.upstream.name].append(flight)

    def remove(self, flight: ActiveRequest) -> None:
        """Remove a flight from its upstream."""
        self.by_upstream[flight.upstream.name].remove(flight)

    def count(self) -> int:
        """Count the flights."""
        return sum(len(flights) for flights in self.by_upstream.values())

    def find_detector(self, upstream: str, service: str) -> ColdDetector:
        """Return the detector of an upstream."""
        detector = self.detectors.get(upstream)
        if detector is None:
            gap, _ = self.expected(service)
            detector = self.detectors[upstream] = ColdDetector(gap)
        return detector

    def observer(self, flight: ActiveRequest, upstream: Upstream) -> TokenObserver:
        """Return the function that takes the tokens of a flight as they come."""
        detector = self.find_detector(upstream.name, flight.request.service)
        window_tokens = 0
        window_start = 0.0

        def observe(tokens: int, at: float, events: bytes) -> None:
            nonlocal window_tokens, window_start
            flight.events += events
            flight.last_token_at = at
            flight.attempt_tokens += tokens
            if not flight.first_token_at:
                flight.first_token_at = window_start = at
                flight.on_first_token()
                return
            window_tokens += tokens
            if window_tokens < GAP_WINDOW_TOKENS:
                return
            cold = detector.observe((at - window_start) / window_tokens)
            window_tokens = 0
            window_start = at
            if cold:
                detector.reset()
                self.limiter.note_cold(upstream.name)

        return observe

    def is_slow(self, upstream: str, flight: ActiveRequest) -> bool | None:
        """Say whether a finished flight looks cold; None if it says nothing."""
        if flight.attempt_tokens > 1:
            span = flight.last_token_at - flight.first_token_at
            gap = span / (flight.attempt_tokens - 1)
            return self.find_detector(upstream, flight.request.service).is_slow(gap)
        if flight.attempt_tokens == 1:
            return None
        _, answer_time = self.expected(flight.request.service)
        return flight.first_token_at - flight.began_at > answer_time

    def shed_excess(self, upstream: str) -> None:
        """Move the newest repeatable flights beyond the usable slots to other upstreams."""
        entry = self.limiter.slot_holder.held.get(upstream)
        if entry is None or not entry.excess:
            return
        movable = [
            flight
            for flight in self.by_upstream[upstream]
            if flight.request.streamed and not flight.interrupted.is_set()
        ]
        stopping = sum(flight.interrupted.is_set() for flight in self.by_upstream[upstream])
        count = max(entry.excess - stopping, 0)
        for flight in movable[len(movable) - min(count, len(movable)) :]:
            flight.interrupt("upstream over its limit")

    def move_all(self, upstream: str, reason: str) -> int:
        """Move all streamed flights of an upstream elsewhere; return their number."""
        flights = [f for f in self.by_upstream[upstream] if f.request.streamed]
        for flight in flights:
            flight.interrupt(reason)
        return len(flights)
