"""The path of one request: admission, queue, choice, dispatch, stream, end."""

__all__ = ["RequestServer", "ServingSettings"]

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable
from typing import NamedTuple

from tanagertrail.core.configuring import ConfigurationKeeper
from tanagertrail.core.context import NodeContext
from tanagertrail.core.flights import Flight, FlightTable, Interruption
from tanagertrail.core.limiting import Group, Limiter
from tanagertrail.core.requests import CallerRequest
from tanagertrail.core.suspects import SuspectRegister
from tanagertrail.core.traffic import TrafficSplit
from tanagertrail.errors import (
    UpstreamConnectError,
    UpstreamProtocolError,
    UpstreamRefusedError,
)
from tanagertrail.model import Service, Upstream
from tanagertrail.outcomes import Answered, Failed, NotRun, Outcome, Step, Unknown
from tanagertrail.policy.choice import CHOICES, Candidate, ChoiceRequest, PrefixIndex
from tanagertrail.policy.evidence import Evidence
from tanagertrail.policy.health import CircuitBreaker
from tanagertrail.policy.poison import Verdict
from tanagertrail.policy.prefixes import split_prefix_blocks
from tanagertrail.policy.queueing import FairQueue, QueueItem, ServiceRate
from tanagertrail.policy.retries import RetryBudget, RetryQuestion, may_retry
from tanagertrail.sinks import BaseSink, MemorySink
from tanagertrail.upstreams.base import Attempt, BaseUpstreamAnswer, BaseUpstreamClient

MAX_ANSWER_BYTES = 16_000_000
MODEL_PATH = "/v1/chat/completions"
Probe = Callable[[Step, CallerRequest], None]

SUSPECT_DELAY_SECONDS = 0.1
REDIRECT = ""
TOO_LATE = "?"


class ServingSettings(NamedTuple):
    """Settings of the request path.

    :ivar choice: name of the registered choice of upstream
    :ivar retry_share: retries as a share of successes
    """

    choice: str = "affinity"
    retry_share: float = 0.08
    seed: int = 0


class RequestServer:
    """Serve requests with the slots of this daemon."""

    def __init__(
        self,
        context: NodeContext,
        configuration: ConfigurationKeeper,
        limiter: Limiter,
        traffic: TrafficSplit,
        suspects: SuspectRegister,
        client: BaseUpstreamClient,
        settings: ServingSettings,
    ) -> None:
        self.context = context
        self.configuration = configuration
        self.limiter = limiter
        self.traffic = traffic
        self.suspects = suspects
        self.client = client
        self.settings = settings
        self.choose = CHOICES.get(settings.choice)
        self.rng = random.Random(f"{context.daemon}:{settings.seed}")
        self.index = PrefixIndex()
        self.queues: dict[Group, FairQueue] = defaultdict(FairQueue)
        self.rates: dict[Group, ServiceRate] = defaultdict(ServiceRate)
        self.budgets: dict[str, RetryBudget] = defaultdict(
            lambda: RetryBudget(settings.retry_share)
        )
        self.breakers: dict[str, CircuitBreaker] = defaultdict(CircuitBreaker)
        self.flights = FlightTable(context, limiter)
        self.probe: Probe = lambda step, request: None
        limiter.is_open = lambda name: self.is_open(name, context.now())
        suspects.on_crash = self.open_breaker
        limiter.on_slots = self.take_slots
        limiter.on_cold = self.flights.shed_excess
        traffic.on_stop = self.redirect_version

    async def serve(self, request: CallerRequest, sink: BaseSink | None = None) -> Outcome:
        """Serve a request to its final outcome; a streamed answer goes to the sink."""
        recorder = self.context.recorder
        recorder.record("request", request=request.request_id, detail=request.service)
        self.probe(Step.ADMISSION, request)
        refused = self.check_request(request)
        outcome = refused or await self.run_attempts(request, sink or MemorySink())
        kind = type(outcome).__name__.lower()
        detail = getattr(outcome, "reason", "")
        step, peer = outcome.step, outcome.peer
        recorder.record(
            f"outcome_{kind}",
            request=request.request_id,
            upstream=peer,
            step=step,
            detail=detail,
        )
        if isinstance(outcome, Answered):
            self.budgets[request.service].earn()
        return outcome

    def check_request(self, request: CallerRequest) -> Outcome | None:
        """Refuse a request that cannot be served at all."""
        own = self.context.daemon
        service = self.configuration.current.services.get(request.service)
        if service is None:
            reason = f"no service {request.service!r}"
            return NotRun(Step.ADMISSION, own, reason, 404, None)
        if self.suspects.judge(request) is Verdict.QUARANTINED:
            reason = "this request has crashed upstreams and is quarantined"
            return NotRun(Step.ADMISSION, own, reason, 422, None)
        if request.deadline <= self.context.now():
            return NotRun(Step.ADMISSION, own, "the deadline has passed", 504, None)
        return None

    async def run_attempts(self, request: CallerRequest, sink: BaseSink) -> Outcome:
        """Try until there is a final outcome."""
        flight = Flight(request, sink)
        while True:
            upstream = await self.take_upstream(flight)
            if not isinstance(upstream, Upstream):
                return self.finish_refused(flight, upstream)
            outcome = await self.run_attempt(flight, upstream)
            if isinstance(outcome, Interruption):
                continue
            if not self.wants_retry(flight, outcome):
                return self.finish(flight, outcome)
            if self.suspects.judge(request) is not Verdict.CLEAR:
                await asyncio.sleep(SUSPECT_DELAY_SECONDS)
            if self.suspects.judge(request) is Verdict.QUARANTINED:
                return self.finish(flight, outcome)
            self.context.recorder.record(
                "retry", request=request.request_id, step=outcome.step, detail=outcome.reason
            )

    def wants_retry(self, flight: Flight, outcome: Outcome) -> bool:
        """Say whether another try follows an outcome."""
        request = flight.request
        question = RetryQuestion(
            outcome,
            request.repeatable,
            flight.attempts,
            request.deadline - self.context.now(),
            self.rates[flight.group].seconds,
        )
        return may_retry(question, self.budgets[request.service])

    def finish(self, flight: Flight, outcome: Outcome) -> Outcome:
        """Return the final outcome; tokens that the caller has make it a failure."""
        if isinstance(outcome, Answered) or not flight.delivered:
            return outcome
        return Failed(outcome.step, outcome.peer, outcome.reason, tokens=flight.delivered)

    def finish_refused(self, flight: Flight, refusal: NotRun) -> Outcome:
        """Return the final outcome of a request that got no upstream.

        An earlier try that may have run makes a later refusal no proof.
        """
        if flight.delivered:
            return Failed(refusal.step, refusal.peer, refusal.reason, tokens=flight.delivered)
        if flight.may_have_run:
            return Unknown(refusal.step, refusal.peer, refusal.reason)
        return refusal

    async def take_upstream(self, flight: Flight) -> Upstream | NotRun:
        """Queue for a slot of an upstream of a version chosen now."""
        request = flight.request
        while True:
            service = self.configuration.current.services.get(request.service)
            if service is None:
                reason = f"service {request.service!r} was removed"
                return NotRun(Step.QUEUE, self.context.daemon, reason, 404, None)
            flight.version = self.traffic.choose_version(request.service, service)
            taken = await self.wait_slot(flight, service)
            if taken is not None:
                return taken

    async def wait_slot(self, flight: Flight, service: Service) -> Upstream | NotRun | None:
        """Wait for a slot of the flight's version; None if the version must be chosen anew."""
        request = flight.request
        group = flight.group
        queue = self.queues[group]
        now = self.context.now()
        refusal = queue.admit(request.deadline, now, self.count_slots(group), self.rates[group])
        if refusal is not None:
            return NotRun(
                Step.ADMISSION, self.context.daemon, refusal.reason, 503, refusal.retry_after
            )
        waiter: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        flight.waiter = waiter
        item = queue.push(request.priority, request.customer, request.deadline, flight)
        self.limiter.demands[group].waiting += 1
        self.probe(Step.QUEUE, request)
        self.pump(group)
        try:
            if not waiter.done():
                self.limiter.ask_urgently(group)
            async with asyncio.timeout_at(request.deadline):
                await waiter
        except TimeoutError:
            self.context.recorder.count("queue_timeouts")
        except asyncio.CancelledError:
            self.give_back(waiter)
            raise
        finally:
            self.leave_queue(group, item, waiter)
        if waiter.cancelled():
            wait = max(self.rates[group].seconds, 1.0)
            return NotRun(Step.QUEUE, self.context.daemon, "no slot came free in time", 503, wait)
        name = waiter.result()
        if name == TOO_LATE:
            wait = queue.estimate_wait(self.count_slots(group), self.rates[group])
            reason = "the deadline cannot be met any more"
            return NotRun(Step.QUEUE, self.context.daemon, reason, 503, max(wait, 1.0))
        return None if name == REDIRECT else self.limiter.upstreams[name]

    def give_back(self, waiter: asyncio.Future[str]) -> None:
        """Give back the slot that a request was given as it was cancelled."""
        given = waiter.done() and not waiter.cancelled()
        if given and waiter.result() not in (REDIRECT, TOO_LATE):
            self.limiter.release(waiter.result(), None)

    def leave_queue(self, group: Group, item: QueueItem, waiter: asyncio.Future) -> None:
        """Take a waiter out of the queue; a slot that it was given too late goes back."""
        self.queues[group].remove(item)
        self.limiter.demands[group].waiting -= 1
        if not waiter.done():
            waiter.cancel()

    def count_slots(self, group: Group) -> int:
        """Return the slots of a group that this daemon has or could have, at least one."""
        held = self.limiter.holder.held
        entries = [held[n] for n in self.limiter.group_upstreams.get(group, ()) if n in held]
        return max(sum(entry.usable + entry.free_hint for entry in entries), 1)

    def take_slots(self, upstream: str) -> None:
        """Give newly allotted slots to waiting requests; shed what a cold upstream cannot bear."""
        group = self.limiter.groups.get(upstream)
        if group is not None:
            self.pump(group)
        entry = self.limiter.holder.held[upstream]
        if entry.regime and entry.bound <= entry.cold_slots:
            self.flights.shed_excess(upstream)

    def pump(self, group: Group) -> None:
        """Give free slots to waiting requests in fair order."""
        queue = self.queues[group]
        while len(queue):
            candidates = self.list_candidates(group)
            if not candidates:
                return
            item = queue.pop(self.context.now(), self.rates[group])
            if item is None:
                return
            self.assign(item.payload, candidates)

    def assign(self, flight: Flight, candidates: list[Candidate]) -> None:
        """Give a waiting request one of the candidates."""
        request = flight.request
        if flight.waiter.done():
            return
        now = self.context.now()
        if now + self.rates[flight.group].seconds > request.deadline:
            flight.waiter.set_result(TOO_LATE)
            return
        if flight.blocks is None:
            flight.blocks = tuple(split_prefix_blocks(request.service, request.body))
        pool = self.suspects.narrow(request, candidates)
        question = ChoiceRequest(flight.blocks, now, self.suspects.find_fingerprint(request))
        chosen = self.choose(question, pool, self.index, self.rng)
        self.limiter.acquire(chosen.upstream)
        self.probe(Step.CHOICE, request)
        self.index.note_stored(chosen.upstream, flight.blocks, question.now)
        flight.waiter.set_result(chosen.upstream)

    def list_candidates(self, group: Group) -> list[Candidate]:
        """Return the upstreams of a group that have a free slot and may take work."""
        now = self.context.now()
        candidates = []
        for name in self.limiter.group_upstreams.get(group, ()):
            entry = self.limiter.holder.held.get(name)
            if entry is None or entry.available == 0 or not self.is_open(name, now):
                continue
            upstream = self.limiter.upstreams[name]
            load = entry.in_flight / max(entry.usable, 1)
            local = upstream.failure_domain == self.context.failure_domain
            candidates.append(Candidate(name, load, entry.available, upstream.price, local))
        return candidates

    def is_open(self, name: str, now: float) -> bool:
        """Say whether an upstream may take new work."""
        breaker = self.breakers.get(name)
        if breaker is not None and breaker.is_open(now):
            return False
        return name not in self.limiter.excluded

    def open_breaker(self, name: str) -> None:
        """Keep work from an upstream that was not reached; it may come back cold."""
        self.breakers[name].note_failure(self.context.now())
        self.limiter.note_cold(name)

    def close_breaker(self, name: str) -> None:
        """Give work again to an upstream that was reached."""
        breaker = self.breakers[name]
        was_open = breaker.is_open(self.context.now())
        breaker.note_success()
        group = self.limiter.groups.get(name)
        if was_open and group is not None:
            self.limiter.ask_urgently(group)
            self.pump(group)

    def redirect_version(self, service: str, version: str) -> None:
        """Let waiting requests choose anew when their version gets no more traffic."""
        queue = self.queues.get((service, version))
        if queue is None:
            return
        for item in queue.drop_where(lambda item: True):
            if not item.payload.waiter.done():
                item.payload.waiter.set_result(REDIRECT)

    async def run_attempt(self, flight: Flight, upstream: Upstream) -> Outcome | Interruption:
        """Run one try on a slot that was taken, and give the slot back."""
        request = flight.request
        group = flight.group
        flight.begin(upstream, self.context.now())
        self.flights.add(flight)
        self.limiter.demands[group].in_flight += 1
        self.context.recorder.record(
            "dispatch", request=request.request_id, upstream=upstream.name, step=Step.DISPATCH
        )
        outcome: Outcome | Interruption | None = None
        try:
            outcome = await self.open_and_relay(flight, upstream)
            return outcome
        finally:
            self.flights.remove(flight)
            self.limiter.demands[group].in_flight -= 1
            self.limiter.release(upstream.name, self.note_result(flight, upstream, outcome))
            self.pump(group)

    async def open_and_relay(self, flight: Flight, upstream: Upstream) -> Outcome | Interruption:
        """Open an attempt, move its answer and classify what comes of it."""
        name = upstream.name
        attempt = self.build_attempt(flight, upstream)
        self.probe(Step.DISPATCH, flight.request)
        try:
            answer = await self.client.open(attempt)
        except UpstreamConnectError as error:
            self.open_breaker(name)
            return NotRun(Step.DISPATCH, name, str(error))
        except UpstreamRefusedError as error:
            return NotRun(Step.HEAD, name, str(error))
        except UpstreamProtocolError as error:
            flight.may_have_run = True
            self.suspects.note_crash(flight, upstream, self.flights)
            self.limiter.note_cold(name)
            return Unknown(Step.HEAD, name, str(error), crashed=True)
        flight.may_have_run = True
        self.probe(Step.HEAD, flight.request)
        try:
            if answer.streamed:
                return await self.relay(flight, upstream, answer)
            return await self.read_plain(flight, upstream, answer)
        finally:
            await answer.close()

    def build_attempt(self, flight: Flight, upstream: Upstream) -> Attempt:
        """Build the next attempt of a request."""
        request = flight.request
        return Attempt(
            attempt_id=f"{request.request_id}.{flight.attempts}",
            service=request.service,
            version=flight.version,
            upstream=upstream,
            method=request.method,
            path=request.path,
            body=request.body,
            content_type=request.content_type,
            priority=int(request.priority),
            timeout=max(request.deadline - self.context.now(), 0.001),
            resume_from=flight.delivered,
            resume_text=flight.read_text(),
            idempotency_key=request.idempotency_key,
        )

    async def read_plain(
        self, flight: Flight, upstream: Upstream, answer: BaseUpstreamAnswer
    ) -> Outcome:
        """Read a plain answer."""
        self.probe(Step.STREAM, flight.request)
        try:
            body = await answer.read_body(MAX_ANSWER_BYTES)
        except UpstreamProtocolError as error:
            return Unknown(Step.END, upstream.name, str(error))
        self.probe(Step.END, flight.request)
        flight.first_token_at = self.context.now()
        if answer.status >= 500:
            reason = f"the service answered {answer.status}"
            return Failed(Step.END, upstream.name, reason, answer.status)
        return Answered(
            upstream.name, status=answer.status, body=body, content_type=answer.content_type
        )

    async def relay(
        self, flight: Flight, upstream: Upstream, answer: BaseUpstreamAnswer
    ) -> Outcome | Interruption:
        """Move a streamed answer until its end, the deadline or an interruption."""
        before = flight.delivered
        observe = self.flights.observer(flight, upstream)
        flight.on_first_token = lambda: self.probe(Step.STREAM, flight.request)
        end = await flight.relay(answer, observe)
        self.probe(Step.END, flight.request)
        if end is None:
            return Interruption(flight.interrupted_by)
        flight.delivered = end.next_sequence
        if end.complete:
            return Answered(upstream.name, tokens=end.next_sequence, tokens_recomputed=before)
        if end.caller_gone:
            return Failed(Step.STREAM, "caller", end.reason, 499, end.next_sequence)
        if end.crashed:
            self.suspects.note_crash(flight, upstream, self.flights)
            self.limiter.note_cold(upstream.name)
        return Unknown(Step.STREAM, upstream.name, end.reason, crashed=end.crashed)

    def note_result(
        self, flight: Flight, upstream: Upstream, outcome: Outcome | Interruption | None
    ) -> bool | None:
        """Learn from a try; return whether it was slow, None if it says nothing."""
        if outcome is None or isinstance(outcome, Interruption | NotRun):
            return None
        now = self.context.now()
        answered = isinstance(outcome, Answered)
        latency = (flight.first_token_at or now) - flight.began_at
        if answered:
            self.rates[flight.group].observe(now - flight.began_at)
            self.suspects.note_success(flight.request)
        gone = isinstance(outcome, Failed) and outcome.peer == "caller"
        if not gone and flight.attempts == 1:
            route = flight.request.path
            evidence = Evidence(flight.version, route, not answered, latency)
            self.traffic.observe(flight.request.service, evidence)
        return self.flights.is_slow(upstream.name, flight) if answered else None
