"""Request path of the core: admission, queueing, dispatch to upstreams, streaming and retries."""

__all__ = ["RequestServer", "ServingSettings"]

import asyncio
from collections import defaultdict
from typing import NamedTuple

from tanagertrail.core.active_requests import ActiveRequest, ActiveRequestTable, Interruption
from tanagertrail.core.configuration import ConfigurationManager
from tanagertrail.core.context import NodeContext
from tanagertrail.core.limiting import Limiter
from tanagertrail.core.requests import CallerRequest
from tanagertrail.core.slot_queues import QUARANTINE_REASON, SlotQueues, StepObserver
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
SUSPECT_DELAY_SECONDS = 0.1  # wait before a suspect's next attempt


class ServingSettings(NamedTuple):
    """Settings of the request path.

    :ivar choice: name under which the upstream selection policy is registered
    :ivar retry_share: retries allowed per service, as a share of its successes
    """

    choice: str = "affinity"
    retry_share: float = 0.08


class RequestServer:
    """Serves requests on upstreams of which this daemon holds slots.

    :ivar retry_budgets: the retry budget of each service
    :ivar on_step: called when a request reaches a step; experiments inject faults there
    """

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
        self.retry_budgets: dict[str, RetryBudget] = defaultdict(
            lambda: RetryBudget(settings.retry_share)
        )
        self.active_requests = ActiveRequestTable(context, limiter)
        self.on_step: StepObserver = lambda step, request: None
        self.slot_queues = SlotQueues(
            context,
            limiter,
            suspects,
            self.active_requests,
            settings.choice,
            lambda step, request: self.on_step(step, request),
        )
        limiter.on_upstream_cold = self.active_requests.move_excess
        traffic.on_version_stopped = self.slot_queues.redirect_version

    async def serve(self, request: CallerRequest, sink: BaseSink | None = None) -> Outcome:
        """Serve a request and return its final outcome; a streamed answer goes to the sink."""
        recorder = self.context.recorder
        recorder.record("request", request=request.request_id, detail=request.service)
        self.on_step(Step.ADMISSION, request)
        refusal = self.check_request(request)
        outcome = refusal or await self.run_attempts(request, sink or MemorySink())
        kind = type(outcome).__name__.lower()
        detail = getattr(outcome, "reason", "")
        step, peer = outcome.step, outcome.peer
        recorder.record(
            f"outcome_{kind}", request=request.request_id, upstream=peer, step=step, detail=detail
        )
        if isinstance(outcome, Answered):
            self.retry_budgets[request.service].earn()
        return outcome

    def check_request(self, request: CallerRequest) -> Outcome | None:
        """Return a refusal if a request cannot be served at all, else None."""
        daemon = self.context.daemon
        service = self.configuration.current.services.get(request.service)
        if service is None:
            reason = f"no service {request.service!r}"
            return NotRun(Step.ADMISSION, daemon, reason, 404, None)
        if self.suspects.judge(request) is Verdict.QUARANTINED:
            return NotRun(Step.ADMISSION, daemon, QUARANTINE_REASON, 422, None)
        if request.deadline <= self.context.now():
            return NotRun(Step.ADMISSION, daemon, "the deadline has passed", 504, None)
        return None

    async def run_attempts(self, request: CallerRequest, sink: BaseSink) -> Outcome:
        """Make attempts until one has a final outcome."""
        active = ActiveRequest(request, sink)
        while True:
            upstream = await self.acquire_upstream(active)
            if not isinstance(upstream, Upstream):
                return self.finalize_refusal(active, upstream)
            outcome = await self.run_attempt(active, upstream)
            if isinstance(outcome, Interruption):
                continue
            if not self.should_retry(active, outcome):
                return self.finalize_outcome(active, outcome)
            if self.suspects.judge(request) is not Verdict.CLEAR:
                await asyncio.sleep(SUSPECT_DELAY_SECONDS)
            if self.suspects.judge(request) is Verdict.QUARANTINED:
                return self.finalize_outcome(active, outcome)
            self.context.recorder.record(
                "retry", request=request.request_id, step=outcome.step, detail=outcome.reason
            )

    def should_retry(self, active: ActiveRequest, outcome: Outcome) -> bool:
        """Return whether to retry after an outcome; a retry is charged to the service's budget."""
        request = active.request
        retry_context = RetryContext(
            outcome,
            request.repeatable,
            active.attempt_count,
            request.deadline - self.context.now(),
            self.slot_queues.service_times[active.service_version].seconds,
        )
        return may_retry(retry_context, self.retry_budgets[request.service])

    def finalize_outcome(self, active: ActiveRequest, outcome: Outcome) -> Outcome:
        """Return the final outcome, a failure if the caller has got part of the answer."""
        if isinstance(outcome, Answered) or not active.delivered_tokens:
            return outcome
        return Failed(outcome.step, outcome.peer, outcome.reason, tokens=active.delivered_tokens)

    def finalize_refusal(self, active: ActiveRequest, refusal: NotRun) -> Outcome:
        """Return the final outcome of a request for whose next attempt there is no upstream.

        If an earlier attempt may have run, the refusal does not prove that the request has not.
        """
        if active.delivered_tokens:
            return Failed(
                refusal.step, refusal.peer, refusal.reason, tokens=active.delivered_tokens
            )
        if active.may_have_run:
            return Unknown(refusal.step, refusal.peer, refusal.reason)
        return refusal

    async def acquire_upstream(self, active: ActiveRequest) -> Upstream | NotRun:
        """Choose a version and wait for a slot of one of its upstreams."""
        request = active.request
        while True:
            service = self.configuration.current.services.get(request.service)
            if service is None:
                reason = f"service {request.service!r} was removed"
                return NotRun(Step.QUEUE, self.context.daemon, reason, 404, None)
            active.version = self.traffic.choose_version(request.service, service)
            acquired = await self.slot_queues.wait_for_slot(active)
            if acquired is not None:
                return acquired

    async def run_attempt(
        self, active: ActiveRequest, upstream: Upstream
    ) -> Outcome | Interruption:
        """Run one attempt on an acquired slot, and release the slot."""
        request = active.request
        service_version = active.service_version
        active.start_attempt(upstream, self.context.now())
        self.active_requests.add(active)
        self.limiter.demands[service_version].in_flight += 1
        self.context.recorder.record(
            "dispatch", request=request.request_id, upstream=upstream.name, step=Step.DISPATCH
        )
        outcome: Outcome | Interruption | None = None
        try:
            outcome = await self.open_and_relay(active, upstream)
            return outcome
        finally:
            self.active_requests.remove(active)
            self.limiter.demands[service_version].in_flight -= 1
            self.limiter.release(upstream.name, self.record_result(active, upstream, outcome))
            self.slot_queues.assign_free_slots(service_version)

    async def open_and_relay(
        self, active: ActiveRequest, upstream: Upstream
    ) -> Outcome | Interruption:
        """Send an attempt to its upstream, relay the answer and return the attempt's outcome."""
        name = upstream.name
        attempt = self.build_attempt(active, upstream)
        self.on_step(Step.DISPATCH, active.request)
        try:
            answer = await self.client.open(attempt)
        except UpstreamConnectError as error:
            self.slot_queues.open_breaker(name)
            return NotRun(Step.DISPATCH, name, str(error))
        except UpstreamRefusedError as error:
            return NotRun(Step.HEAD, name, str(error))
        except UpstreamProtocolError as error:
            active.may_have_run = True
            self.suspects.report_crash(active, upstream, self.active_requests)
            self.limiter.announce_cold(name)
            return Unknown(Step.HEAD, name, str(error), crashed=True)
        active.may_have_run = True
        self.on_step(Step.HEAD, active.request)
        try:
            if answer.streamed:
                return await self.relay(active, upstream, answer)
            return await self.read_plain(active, upstream, answer)
        finally:
            await answer.close()

    def build_attempt(self, active: ActiveRequest, upstream: Upstream) -> Attempt:
        """Build the attempt to send, which resumes after the tokens already delivered."""
        request = active.request
        return Attempt(
            attempt_id=f"{request.request_id}.{active.attempt_count}",
            service=request.service,
            version=active.version,
            upstream=upstream,
            method=request.method,
            path=request.path,
            body=request.body,
            content_type=request.content_type,
            priority=int(request.priority),
            timeout=max(request.deadline - self.context.now(), 0.001),
            resume_from=active.delivered_tokens,
            resume_text=active.get_delivered_text(),
            idempotency_key=request.idempotency_key,
        )

    async def read_plain(
        self, active: ActiveRequest, upstream: Upstream, answer: BaseUpstreamAnswer
    ) -> Outcome:
        """Read an answer that is not streamed."""
        self.on_step(Step.STREAM, active.request)
        try:
            body = await answer.read_body(MAX_ANSWER_BYTES)
        except UpstreamProtocolError as error:
            return Unknown(Step.END, upstream.name, str(error))
        self.on_step(Step.END, active.request)
        active.first_token_at = self.context.now()
        if answer.status >= 500:
            reason = f"the service answered {answer.status}"
            return Failed(Step.END, upstream.name, reason, answer.status)
        return Answered(
            upstream.name, status=answer.status, body=body, content_type=answer.content_type
        )

    async def relay(
        self, active: ActiveRequest, upstream: Upstream, answer: BaseUpstreamAnswer
    ) -> Outcome | Interruption:
        """Relay a streamed answer until its end, the deadline or an interruption."""
        tokens_before = active.delivered_tokens
        observe = self.active_requests.build_token_observer(active, upstream)
        active.on_first_token = lambda: self.on_step(Step.STREAM, active.request)
        end = await active.relay(answer, observe)
        self.on_step(Step.END, active.request)
        if end is None:
            return Interruption(active.interrupt_reason)
        active.delivered_tokens = end.next_sequence
        if end.complete:
            return Answered(
                upstream.name, tokens=end.next_sequence, tokens_recomputed=tokens_before
            )
        if end.caller_gone:
            return Failed(Step.STREAM, "caller", end.reason, 499, end.next_sequence)
        if end.crashed:
            self.suspects.report_crash(active, upstream, self.active_requests)
            self.limiter.announce_cold(upstream.name)
        return Unknown(Step.STREAM, upstream.name, end.reason, crashed=end.crashed)

    def record_result(
        self, active: ActiveRequest, upstream: Upstream, outcome: Outcome | Interruption | None
    ) -> bool | None:
        """Record latency and success of an attempt; return whether it was slow, None if unknown.

        Only first attempts count in the trial of a version, and none that the caller ended.
        """
        if outcome is None or isinstance(outcome, Interruption | NotRun):
            return None
        now = self.context.now()
        answered = isinstance(outcome, Answered)
        latency = (active.first_token_at or now) - active.attempt_started_at
        if answered:
            self.slot_queues.service_times[active.service_version].observe(
                now - active.attempt_started_at
            )
            self.suspects.record_success(active.request)
        caller_gone = isinstance(outcome, Failed) and outcome.peer == "caller"
        if not caller_gone and active.attempt_count == 1:
            route = active.request.path
            result = RequestResult(active.version, route, not answered, latency)
            self.traffic.observe(active.request.service, result)
        return self.active_requests.is_slow(upstream.name, active) if answered else None
