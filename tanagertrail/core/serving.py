"""The path of one request: admission, queue, choice, dispatch, stream, end."""

__all__ = ["RequestServer", "ServingSettings"]

import asyncio
from collections import defaultdict
from typing import NamedTuple

from tanagertrail.core.active_requests import ActiveRequest, ActiveRequestTable, Interruption
from tanagertrail.core.configuration import ConfigurationManager
from tanagertrail.core.context import NodeContext
from tanagertrail.core.limiting import Limiter
from tanagertrail.core.requests import CallerRequest
from tanagertrail.core.slot_queues import QUARANTINE_REASON, Probe, SlotQueues
from tanagertrail.core.suspects import SuspectTracker
from tanagertrail.core.traffic import TrafficSplit
from tanagertrail.errors import UpstreamConnectError, UpstreamProtocolError, UpstreamRefusedError
from tanagertrail.model import Upstream
from tanagertrail.outcomes import Answered, Failed, NotRun, Outcome, Step, Unknown
from tanagertrail.policy.poison import Verdict
from tanagertrail.policy.retries import RetryBudget, RetryContext, may_retry
from tanagertrail.policy.version_trial import RequestResult
from tanagertrail.sinks import BaseSink, MemorySink
from tanagertrail.upstreams.base import (
    MAX_ANSWER_BYTES,
    Attempt,
    BaseUpstreamAnswer,
    BaseUpstreamClient,
)

CHAT_COMPLETIONS_PATH = "/v1/chat/completions"
SUSPECT_DELAY_SECONDS = 0.1


class ServingSettings(NamedTuple):
    """Settings of the request path.

    :ivar choice: name of the registered choice of upstream
    :ivar retry_share: retries as a share of successes
    """

    choice: str = "affinity"
    retry_share: float = 0.08


class RequestServer:
    """Serve requests with the slots of this daemon."""

    def __init__(
        self,
        context: NodeContext,
        configuration: ConfigurationManager,
        limiter: Limiter,
        traffic: TrafficSplit,
        suspects: SuspectTracker,
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
        self.budgets: dict[str, RetryBudget] = defaultdict(
            lambda: RetryBudget(settings.retry_share)
        )
        self.active_requests = ActiveRequestTable(context, limiter)
        self.on_step: Probe = lambda step, request: None
        self.slot_queues = SlotQueues(
            context,
            limiter,
            suspects,
            self.active_requests,
            settings.choice,
            lambda step, request: self.on_step(step, request),
        )
        limiter.on_cold = self.active_requests.shed_excess
        traffic.on_stop = self.slot_queues.redirect_version

    async def serve(self, request: CallerRequest, sink: BaseSink | None = None) -> Outcome:
        """Serve a request to its final outcome; a streamed answer goes to the sink."""
        recorder = self.context.recorder
        recorder.record("request", request=request.request_id, detail=request.service)
        self.on_step(Step.ADMISSION, request)
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
            return NotRun(Step.ADMISSION, own, QUARANTINE_REASON, 422, None)
        if request.deadline <= self.context.now():
            return NotRun(Step.ADMISSION, own, "the deadline has passed", 504, None)
        return None

    async def run_attempts(self, request: CallerRequest, sink: BaseSink) -> Outcome:
        """Try until there is a final outcome."""
        flight = ActiveRequest(request, sink)
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

    def wants_retry(self, flight: ActiveRequest, outcome: Outcome) -> bool:
        """Say whether another try follows an outcome."""
        request = flight.request
        question = RetryContext(
            outcome,
            request.repeatable,
            flight.attempts,
            request.deadline - self.context.now(),
            self.slot_queues.rates[flight.group].seconds,
        )
        return may_retry(question, self.budgets[request.service])

    def finish(self, flight: ActiveRequest, outcome: Outcome) -> Outcome:
        """Return the final outcome; tokens that the caller has make it a failure."""
        if isinstance(outcome, Answered) or not flight.delivered:
            return outcome
        return Failed(outcome.step, outcome.peer, outcome.reason, tokens=flight.delivered)

    def finish_refused(self, flight: ActiveRequest, refusal: NotRun) -> Outcome:
        """Return the final outcome of a request that got no upstream.

        An earlier try that may have run makes a later refusal no proof.
        """
        if flight.delivered:
            return Failed(refusal.step, refusal.peer, refusal.reason, tokens=flight.delivered)
        if flight.may_have_run:
            return Unknown(refusal.step, refusal.peer, refusal.reason)
        return refusal

    async def take_upstream(self, flight: ActiveRequest) -> Upstream | NotRun:
        """Queue for a slot of an upstream of a version chosen now."""
        request = flight.request
        while True:
            service = self.configuration.current.services.get(request.service)
            if service is None:
                reason = f"service {request.service!r} was removed"
                return NotRun(Step.QUEUE, self.context.daemon, reason, 404, None)
            flight.version = self.traffic.choose_version(request.service, service)
            taken = await self.slot_queues.wait_slot(flight)
            if taken is not None:
                return taken

    async def run_attempt(
        self, flight: ActiveRequest, upstream: Upstream
    ) -> Outcome | Interruption:
        """Run one try on a slot that was taken, and give the slot back."""
        request = flight.request
        group = flight.group
        flight.begin(upstream, self.context.now())
        self.active_requests.add(flight)
        self.limiter.demands[group].in_flight += 1
        self.context.recorder.record(
            "dispatch", request=request.request_id, upstream=upstream.name, step=Step.DISPATCH
        )
        outcome: Outcome | Interruption | None = None
        try:
            outcome = await self.open_and_relay(flight, upstream)
            return outcome
        finally:
            self.active_requests.remove(flight)
            self.limiter.demands[group].in_flight -= 1
            self.limiter.release(upstream.name, self.note_result(flight, upstream, outcome))
            self.slot_queues.pump(group)

    async def open_and_relay(
        self, flight: ActiveRequest, upstream: Upstream
    ) -> Outcome | Interruption:
        """Open an attempt, move its answer and classify what comes of it."""
        name = upstream.name
        attempt = self.build_attempt(flight, upstream)
        self.on_step(Step.DISPATCH, flight.request)
        try:
            answer = await self.client.open(attempt)
        except UpstreamConnectError as error:
            self.slot_queues.open_breaker(name)
            return NotRun(Step.DISPATCH, name, str(error))
        except UpstreamRefusedError as error:
            return NotRun(Step.HEAD, name, str(error))
        except UpstreamProtocolError as error:
            flight.may_have_run = True
            self.suspects.note_crash(flight, upstream, self.active_requests)
            self.limiter.note_cold(name)
            return Unknown(Step.HEAD, name, str(error), crashed=True)
        flight.may_have_run = True
        self.on_step(Step.HEAD, flight.request)
        try:
            if answer.streamed:
                return await self.relay(flight, upstream, answer)
            return await self.read_plain(flight, upstream, answer)
        finally:
            await answer.close()

    def build_attempt(self, flight: ActiveRequest, upstream: Upstream) -> Attempt:
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
        self, flight: ActiveRequest, upstream: Upstream, answer: BaseUpstreamAnswer
    ) -> Outcome:
        """Read a plain answer."""
        self.on_step(Step.STREAM, flight.request)
        try:
            body = await answer.read_body(MAX_ANSWER_BYTES)
        except UpstreamProtocolError as error:
            return Unknown(Step.END, upstream.name, str(error))
        self.on_step(Step.END, flight.request)
        flight.first_token_at = self.context.now()
        if answer.status >= 500:
            reason = f"the service answered {answer.status}"
            return Failed(Step.END, upstream.name, reason, answer.status)
        return Answered(
            upstream.name, status=answer.status, body=body, content_type=answer.content_type
        )

    async def relay(
        self, flight: ActiveRequest, upstream: Upstream, answer: BaseUpstreamAnswer
    ) -> Outcome | Interruption:
        """Move a streamed answer until its end, the deadline or an interruption."""
        before = flight.delivered
        observe = self.active_requests.observer(flight, upstream)
        flight.on_first_token = lambda: self.on_step(Step.STREAM, flight.request)
        end = await flight.relay(answer, observe)
        self.on_step(Step.END, flight.request)
        if end is None:
            return Interruption(flight.interrupted_by)
        flight.delivered = end.next_sequence
        if end.complete:
            return Answered(upstream.name, tokens=end.next_sequence, tokens_recomputed=before)
        if end.caller_gone:
            return Failed(Step.STREAM, "caller", end.reason, 499, end.next_sequence)
        if end.crashed:
            self.suspects.note_crash(flight, upstream, self.active_requests)
            self.limiter.note_cold(upstream.name)
        return Unknown(Step.STREAM, upstream.name, end.reason, crashed=end.crashed)

    def note_result(
        self, flight: ActiveRequest, upstream: Upstream, outcome: Outcome | Interruption | None
    ) -> bool | None:
        """Learn from a try; return whether it was slow, None if it says nothing."""
        if outcome is None or isinstance(outcome, Interruption | NotRun):
            return None
        now = self.context.now()
        answered = isinstance(outcome, Answered)
        latency = (flight.first_token_at or now) - flight.began_at
        if answered:
            self.slot_queues.rates[flight.group].observe(now - flight.began_at)
            self.suspects.note_success(flight.request)
        gone = isinstance(outcome, Failed) and outcome.peer == "caller"
        if not gone and flight.attempts == 1:
            route = flight.request.path
            evidence = RequestResult(flight.version, route, not answered, latency)
            self.traffic.observe(flight.request.service, evidence)
        return self.active_requests.is_slow(upstream.name, flight) if answered else None
