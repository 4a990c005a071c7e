"""Active requests: relaying, interruption, and detection of cold upstreams from their tokens."""

__all__ = ["ActiveRequest", "ActiveRequestTable", "Interruption"]

import asyncio
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from tanagertrail.core.context import NodeContext
from tanagertrail.core.limiting import Limiter, ServiceVersion
from tanagertrail.core.requests import CallerRequest
from tanagertrail.model import Upstream
from tanagertrail.policy.cold_detection import ColdDetector
from tanagertrail.sinks import BaseSink
from tanagertrail.upstreams.base import BaseUpstreamAnswer, RelayEnd, TokenObserver
from tanagertrail.upstreams.events import EVENT_END, read_token_text

GAP_WINDOW_TOKENS = 4  # tokens over which one latency sample of the cold detector is averaged
DEFAULT_EXPECTED_SECONDS = (0.032, 0.25)  # token gap and answer time of an unknown service


@dataclass(frozen=True)
class Interruption:
    """The end of an attempt that this daemon stopped to continue it at another upstream."""

    reason: str


class ActiveRequest:
    """A request that is being served, over all of its attempts.

    Times are event-loop times in seconds and belong to the current attempt, 0 for none yet.

    :ivar delivered_events: the token events that the caller has received from this daemon
    :ivar version: version of the service chosen for the next or current attempt
    :ivar waiter: resolved by the slot queues with the name of the assigned upstream
    :ivar prefix_blocks: hashes of the prompt's prefix blocks, None until they are needed
    :ivar delivered_tokens: tokens that the caller has, those of an earlier run included
    :ivar attempt_count: number of attempts started
    :ivar may_have_run: whether any attempt may have reached an upstream and run
    :ivar first_token_at: arrival of the first token, or of the body of a plain answer
    :ivar attempt_tokens: tokens received in the current attempt
    :ivar interrupted: set when the current attempt shall stop
    :ivar on_first_token: called when the first token of an attempt arrives
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
        """Return the service and the version that the request is sent to."""
        return self.request.service, self.version

    def start_attempt(self, upstream: Upstream, now: float) -> None:
        """Reset the per-attempt state for a new attempt."""
        self.upstream = upstream
        self.attempt_count += 1
        self.attempt_started_at = now
        self.first_token_at = 0.0
        self.last_token_at = 0.0
        self.attempt_tokens = 0
        self.interrupted.clear()

    def interrupt(self, reason: str) -> None:
        """Stop the current attempt, so that the request continues at another upstream."""
        self.interrupt_reason = reason
        self.interrupted.set()

    def get_delivered_text(self) -> str:
        """Return the text of all tokens that the caller has received."""
        if not self.delivered_events:
            return self.request.resume_text
        events = bytes(self.delivered_events).split(EVENT_END)
        new_text = "".join(read_token_text(event) for event in events if event)
        return self.request.resume_text + new_text

    async def relay(self, answer: BaseUpstreamAnswer, observe: TokenObserver) -> RelayEnd | None:
        """Relay an answer until its end or the deadline; return None if it is interrupted."""
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
    """The attempts running on this daemon, by upstream.

    :ivar detectors: the cold-start detector of each upstream
    :ivar get_expected_seconds: returns a service's expected token gap and answer time
    """

    def __init__(self, context: NodeContext, limiter: Limiter) -> None:
        self.context = context
        self.limiter = limiter
        self.by_upstream: dict[str, list[ActiveRequest]] = defaultdict(list)
        self.detectors: dict[str, ColdDetector] = {}
        self.get_expected_seconds: Callable[[str], tuple[float, float]] = lambda service: (
            DEFAULT_EXPECTED_SECONDS
        )

    def add(self, active: ActiveRequest) -> None:
        """Add a request under the upstream of its current attempt."""
        self.by_upstream[active.upstream.name].append(active)

    def remove(self, active: ActiveRequest) -> None:
        """Remove a request from the upstream of its current attempt."""
        self.by_upstream[active.upstream.name].remove(active)

    def count(self) -> int:
        """Return the number of running attempts."""
        return sum(len(requests) for requests in self.by_upstream.values())

    def get_detector(self, upstream: str, service: str) -> ColdDetector:
        """Return the cold-start detector of an upstream, creating it on first use."""
        detector = self.detectors.get(upstream)
        if detector is None:
            gap, _ = self.get_expected_seconds(service)
            detector = self.detectors[upstream] = ColdDetector(gap)
        return detector

    def build_token_observer(self, active: ActiveRequest, upstream: Upstream) -> TokenObserver:
        """Return a callback that records a request's tokens and detects a cold upstream."""
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
        """Return whether a finished request was as slow as on a cold upstream.

        Returns None after a single token, which gives no latency between tokens.
        """
        if active.attempt_tokens > 1:
            span = active.last_token_at - active.first_token_at
            gap = span / (active.attempt_tokens - 1)
            return self.get_detector(upstream, active.request.service).is_slow(gap)
        if active.attempt_tokens == 1:
            return None
        _, answer_time = self.get_expected_seconds(active.request.service)
        return active.first_token_at - active.attempt_started_at > answer_time

    def move_excess(self, upstream: str) -> None:
        """Interrupt the newest streams in excess of the usable slots, to continue elsewhere."""
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
        """Interrupt all streams of an upstream to continue elsewhere; return their number."""
        streams = [a for a in self.by_upstream[upstream] if a.request.streamed]
        for active in streams:
            active.interrupt(reason)
        return len(streams)
