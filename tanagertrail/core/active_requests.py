"""Requests in flight: relaying, interruption, and evidence from their tokens."""

__all__ = ["ActiveRequest", "ActiveRequestTable", "Interruption"]

import asyncio
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from tanagertrail.core.context import NodeContext
from tanagertrail.core.limiting import Limiter, ServiceVersion
from tanagertrail.core.requests import CallerRequest
from tanagertrail.model import Upstream
from tanagertrail.policy.cold import ColdDetector
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

    :ivar delivered_events: the token events that the caller has
    :ivar delivered_tokens: tokens that the caller has
    :ivar attempt_count: tries begun
    :ivar may_have_run: whether some try may have run
    """

    def __init__(self, request: CallerRequest, sink: BaseSink) -> None:
        self.request = request
        self.sink = sink
        self.delivered_events = bytearray()
        self.version = ""
        self.waiter: asyncio.Future[str] = asyncio.Future()
        self.prefix_blocks: tuple[str, ...] | None = None
        self.upstream: Upstream | None = None
        self.delivered_tokens = request.resume_from
        self.attempt_count = 0
        self.may_have_run = False
        self.attempt_started_at = 0.0
        self.first_token_at = 0.0
        self.last_token_at = 0.0
        self.attempt_tokens = 0
        self.answer: BaseUpstreamAnswer | None = None
        self.interrupted: asyncio.Event = asyncio.Event()
        self.interrupt_reason = ""
        self.on_first_token: Callable[[], None] = lambda: None

    @property
    def service_version(self) -> ServiceVersion:
        """Return the service and version that the request goes to."""
        return self.request.service, self.version

    def start_attempt(self, upstream: Upstream, now: float) -> None:
        """Begin a try."""
        self.upstream = upstream
        self.attempt_count += 1
        self.attempt_started_at = now
        self.first_token_at = 0.0
        self.last_token_at = 0.0
        self.attempt_tokens = 0
        self.interrupted.clear()

    def interrupt(self, reason: str) -> None:
        """End the running try so that it goes on elsewhere."""
        self.interrupt_reason = reason
        self.interrupted.set()

    def get_delivered_text(self) -> str:
        """Return the text that the caller has."""
        if not self.delivered_events:
            return self.request.resume_text
        events = bytes(self.delivered_events).split(EVENT_END)
        new_text = "".join(read_token_text(event) for event in events if event)
        return self.request.resume_text + new_text

    async def relay(self, answer: BaseUpstreamAnswer, observe: TokenObserver) -> RelayEnd | None:
        """Relay an answer until it ends or is interrupted, which gives None."""
        relay_task = asyncio.ensure_future(answer.relay(self.sink, observe))
        interrupt_task = asyncio.ensure_future(self.interrupted.wait())
        try:
            async with asyncio.timeout_at(self.request.deadline):
                await asyncio.wait(
                    {relay_task, interrupt_task}, return_when=asyncio.FIRST_COMPLETED
                )
        except TimeoutError:
            reason = "the deadline has passed"
            return RelayEnd(False, answer.next_sequence, reason)
        finally:
            interrupt_task.cancel()
            if not relay_task.done():
                relay_task.cancel()
                await asyncio.wait({relay_task})
        if not relay_task.cancelled():
            return relay_task.result()
        self.delivered_tokens = answer.next_sequence
        return None


class ActiveRequestTable:
    """All flights of this daemon by upstream."""

    def __init__(self, context: NodeContext, limiter: Limiter) -> None:
        self.context = context
        self.limiter = limiter
        self.by_upstream: dict[str, list[ActiveRequest]] = defaultdict(list)
        self.detectors: dict[str, ColdDetector] = {}
        self.get_expected_seconds: Callable[[str], tuple[float, float]] = lambda service: (
            DEFAULT_EXPECTED_SECONDS
        )

    def add(self, active: ActiveRequest) -> None:
        """Add a flight to its upstream."""
        self.by_upstream[active.upstream.name].append(active)

    def remove(self, active: ActiveRequest) -> None:
        """Remove a flight from its upstream."""
        self.by_upstream[active.upstream.name].remove(active)

    def count(self) -> int:
        """Count the flights."""
        return sum(len(requests) for requests in self.by_upstream.values())

    def get_detector(self, upstream: str, service: str) -> ColdDetector:
        """Return the detector of an upstream."""
        detector = self.detectors.get(upstream)
        if detector is None:
            gap, _ = self.get_expected_seconds(service)
            detector = self.detectors[upstream] = ColdDetector(gap)
        return detector

    def build_token_observer(self, active: ActiveRequest, upstream: Upstream) -> TokenObserver:
        """Return the function that takes the tokens of a flight as they come."""
        detector = self.get_detector(upstream.name, active.request.service)
        window_tokens = 0
        window_start = 0.0

        def observe(tokens: int, at: float, events: bytes) -> None:
            nonlocal window_tokens, window_start
            active.delivered_events += events
            active.last_token_at = at
            active.attempt_tokens += tokens
            if not active.first_token_at:
                active.first_token_at = window_start = at
                active.on_first_token()
                return
            window_tokens += tokens
            if window_tokens < GAP_WINDOW_TOKENS:
                return
            turned_cold = detector.observe((at - window_start) / window_tokens)
            window_tokens = 0
            window_start = at
            if turned_cold:
                detector.reset()
                self.limiter.announce_cold(upstream.name)

        return observe

    def is_slow(self, upstream: str, active: ActiveRequest) -> bool | None:
        """Say whether a finished flight looks cold; None if it says nothing."""
        if active.attempt_tokens > 1:
            span = active.last_token_at - active.first_token_at
            gap = span / (active.attempt_tokens - 1)
            return self.get_detector(upstream, active.request.service).is_slow(gap)
        if active.attempt_tokens == 1:
            return None
        _, answer_time = self.get_expected_seconds(active.request.service)
        return active.first_token_at - active.attempt_started_at > answer_time

    def move_excess(self, upstream: str) -> None:
        """Move the newest repeatable flights beyond the usable slots to other upstreams."""
        entry = self.limiter.slot_holder.held.get(upstream)
        if entry is None or not entry.excess:
            return
        movable = [
            active
            for active in self.by_upstream[upstream]
            if active.request.streamed and not active.interrupted.is_set()
        ]
        interrupted_count = sum(
            active.interrupted.is_set() for active in self.by_upstream[upstream]
        )
        move_count = max(entry.excess - interrupted_count, 0)
        for active in movable[len(movable) - min(move_count, len(movable)) :]:
            active.interrupt("upstream over its limit")

    def move_all_streams(self, upstream: str, reason: str) -> int:
        """Move all streamed flights of an upstream elsewhere; return their number."""
        streams = [a for a in self.by_upstream[upstream] if a.request.streamed]
        for active in streams:
            active.interrupt(reason)
        return len(streams)
