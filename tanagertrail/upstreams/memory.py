"""In-memory upstreams, with faults on the way of an answer."""

__all__ = ["MemoryUpstreamClient", "WireFaults"]

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass

from tanagertrail.errors import UpstreamConnectError, UpstreamProtocolError
from tanagertrail.model import Upstream
from tanagertrail.sinks import BaseSink
from tanagertrail.upstreams.base import (
    Attempt,
    BaseUpstreamAnswer,
    BaseUpstreamClient,
    LoadReport,
    Order,
    OrderResult,
    PlainAnswer,
    RelayEnd,
    TokenObserver,
)
from tanagertrail.upstreams.engine import EngineCrashedError, ToyEngine
from tanagertrail.upstreams.events import EventChecker

NEVER = float("inf")


@dataclass
class WireFaults:
    """Faults between a daemon and its upstreams; each strikes the next answers.

    :ivar cut_after: events after which the next ``cuts`` answers are cut
    :ivar lose_heads: number of next answers whose head never comes
    :ivar lose_ends: number of next answers whose explicit end is lost
    :ivar duplicate: whether every event comes twice
    :ivar foreign: event that is put before every event
    """

    cuts: int = 0
    cut_after: int = 0
    lose_heads: int = 0
    lose_ends: int = 0
    skip_events: int = 0
    duplicate: bool = False
    foreign: bytes = b""
    unreachable: bool = False


class MemoryUpstreamAnswer(BaseUpstreamAnswer):
    """The answer of an in-memory engine."""

    def __init__(self, engine: ToyEngine, attempt: Attempt, faults: WireFaults) -> None:
        self.engine = engine
        self.attempt = attempt
        self.generation = engine.begin(attempt)
        self.events = engine.iter_events(attempt, self.generation)
        self.faults = faults
        self.released = False
        self.streamed = True
        self.content_type = "text/event-stream"
        self.checker = EventChecker(attempt.attempt_id, attempt.resume_from)

    @property
    def next_sequence(self) -> int:
        """Return the number of tokens that the sink has."""
        return self.checker.next_sequence

    async def relay(self, sink: BaseSink, observe: TokenObserver) -> RelayEnd:
        """Move the checked events to the sink until the end."""
        try:
            async for data in self.iter_wire():
                self.deliver(data, sink, observe)
                if sink.closed:
                    return self.end("the caller is gone", caller_gone=True)
        except EngineCrashedError as error:
            return self.end(f"{error} crashed", crashed=True)
        except UpstreamProtocolError as error:
            return self.end(str(error))
        if not self.checker.ended:
            return self.end("the answer was cut", crashed=True)
        return RelayEnd(True, self.checker.next_sequence)

    def deliver(self, data: bytes, sink: BaseSink, observe: TokenObserver) -> None:
        """Check bytes and pass on what holds."""
        before = self.checker.next_sequence
        passed = self.checker.feed(data)
        if passed:
            sink.write(passed)
            now = asyncio.get_running_loop().time()
            observe(self.checker.next_sequence - before, now, passed)

    def end(self, reason: str, crashed: bool = False, caller_gone: bool = False) -> RelayEnd:
        """Return an incomplete end."""
        return RelayEnd(False, self.checker.next_sequence, reason, crashed, caller_gone)

    async def iter_wire(self) -> AsyncIterator[bytes]:
        """Yield the engine's events with the faults of the wire."""
        faults = self.faults
        cut_at = faults.cut_after if faults.cuts > 0 else NEVER
        faults.cuts = max(faults.cuts - 1, 0)
        count = 0
        async for event in self.events:
            if count >= cut_at:
                return
            count += 1
            if event.startswith(b"event: end") and faults.lose_ends > 0:
                faults.lose_ends -= 1
                return
            if faults.skip_events > 0:
                faults.skip_events -= 1
                continue
            yield faults.foreign + event
            if faults.duplicate:
                yield event

    async def close(self) -> None:
        """Cancel the engine's work and free its slot."""
        await self.events.aclose()
        if not self.released:
            self.released = True
            self.engine.finish(self.generation)


class MemoryUpstreamClient(BaseUpstreamClient):
    """Reach toy engines in the same process."""

    def __init__(self, engines: dict[str, ToyEngine], latency: float = 0.001) -> None:
        self.engines = engines
        self.latency = latency
        self.faults = WireFaults()
        self.unreachable: set[str] = set()

    def find_engine(self, upstream: Upstream) -> ToyEngine:
        """Return the engine of an upstream.

        :raises UpstreamConnectError: if it is not reachable
        """
        engine = self.engines.get(upstream.name)
        cut = self.faults.unreachable or upstream.name in self.unreachable
        if engine is None or cut or not engine.alive:
            raise UpstreamConnectError(f"{upstream.name} is not reachable")
        return engine

    async def open(self, attempt: Attempt) -> BaseUpstreamAnswer:
        """Send an attempt and wait for the head of its answer."""
        await asyncio.sleep(self.latency)
        engine = self.find_engine(attempt.upstream)
        try:
            if is_streamed(attempt):
                return await self.open_stream(engine, attempt)
            status, body = await engine.run_call(attempt)
        except EngineCrashedError as error:
            raise UpstreamProtocolError(f"{error} crashed") from error
        if self.faults.lose_heads > 0:
            self.faults.lose_heads -= 1
            raise UpstreamProtocolError("the answer was lost")
        return PlainAnswer(status, "application/json", body)

    async def open_stream(self, engine: ToyEngine, attempt: Attempt) -> BaseUpstreamAnswer:
        """Start a streamed answer; its first event proves that it runs."""
        answer = MemoryUpstreamAnswer(engine, attempt, self.faults)
        if self.faults.lose_heads > 0:
            self.faults.lose_heads -= 1
            await answer.close()
            raise UpstreamProtocolError("the answer was lost")
        return answer

    async def read_load(self, upstream: Upstream) -> LoadReport:
        """Read a load report."""
        await asyncio.sleep(self.latency)
        return self.find_engine(upstream).report_load()

    async def send_order(self, upstream: Upstream, order: Order) -> OrderResult:
        """Send an order."""
        await asyncio.sleep(self.latency)
        return self.find_engine(upstream).take_order(order)


def is_streamed(attempt: Attempt) -> bool:
    """Say whether an attempt asks for a model answer, which upstreams always stream."""
    return attempt.path == "/v1/chat/completions"
