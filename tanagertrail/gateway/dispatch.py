"""The path of a caller's request: admission, choice of upstreams, answer."""

__all__ = ["Dispatcher"]

import asyncio
import random
from collections import Counter

from tanagertrail.gateway.admission import Admission, Refusal
from tanagertrail.gateway.choosing import UpstreamChooser
from tanagertrail.gateway.cluster_view import ClusterView
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.exchange import Exchange, Tried, TryResult
from tanagertrail.gateway.http1 import CallerRequest, CallerStream
from tanagertrail.gateway.members import MemberTable
from tanagertrail.gateway.metrics import GatewayMetrics
from tanagertrail.gateway.sending import CallerGoneError, UpstreamSender
from tanagertrail.gateway.suspects import SuspectBook
from tanagertrail.gateway.trials import TrialBook
from tanagertrail.gateway.upstream_table import UpstreamEntry
from tanagertrail.platform.fields import (
    build_answer_headers,
    decode_caller_fields,
)
from tanagertrail.policy.poison import Verdict
from tanagertrail.policy.repeats import RepeatBudget
from tanagertrail.policy.token_quota import QuotaLedger

ANSWER_MARGIN_SECONDS = 0.05
MOST_TRIES = 4  # upstreams that are tried where none could be reached
REPEAT_SHARE = 0.5  # of the time left that a first try may use when another may follow


class Dispatcher:
    """Serve callers' requests."""

    def __init__(
        self,
        cluster_view: ClusterView,
        members: MemberTable,
        sender: UpstreamSender,
        quota: QuotaLedger,
        suspects: SuspectBook,
        log: EventLog,
        rng: random.Random,
        placement: str = "expected_cost",
    ) -> None:
        self.cluster_view = cluster_view
        self.members = members
        self.sender = sender
        self.log = log
        self.suspects = suspects
        self.admission = Admission(cluster_view, members, quota, suspects, rng)
        self.trials = TrialBook(cluster_view)
        self.chooser = UpstreamChooser(cluster_view, members, self.trials, rng, placement)
        self.budgets: dict[str, RepeatBudget] = {}
        self.in_flight = 0
        self.read_tokens: Counter[str] = Counter()
        self.metrics: GatewayMetrics | None = None

    async def handle(self, request: CallerRequest, stream: CallerStream) -> None:
        """Answer a request."""
        self.in_flight += 1
        try:
            await self.serve(request, stream)
        finally:
            self.in_flight -= 1

    async def serve(self, request: CallerRequest, stream: CallerStream) -> None:
        """Admit a request and send it to upstreams until it is answered."""
        fields = decode_caller_fields(request.headers)
        admitted = self.admission.admit(request, fields)
        if isinstance(admitted, Refusal):
            self.refuse(stream, fields.request_id, admitted)
            return
        route, customer, fingerprint = admitted
        exchange = Exchange(request, stream, fields, route, customer, fingerprint)
        exchange.service = self.admission.pick_service(route)
        self.find_budget(exchange.service).note_request(self.now())
        self.trials.note_request(exchange.service)
        if fields.prompt is not None:
            self.read_tokens[exchange.service] += fields.prompt.tokens_in
        self.suspects.enter(fingerprint)
        try:
            await self.try_upstreams(exchange)
        except (CallerGoneError, asyncio.CancelledError) as error:
            self.log_end(exchange, "caller gone")
            if isinstance(error, asyncio.CancelledError):
                raise
        finally:
            self.suspects.leave(fingerprint)

    async def try_upstreams(self, exchange: Exchange) -> None:
        """Send a request to one upstream after the other until it is answered."""
        while True:
            alone = self.suspects.must_run_alone(exchange.fingerprint)
            entry = self.chooser.pick_upstream(exchange, alone)
            if entry is None:
                break
            exchange.upstream = entry.record.id
            exchange.sent_at = self.now()
            self.chooser.note_start(exchange, entry)
            entry.isolated += int(alone)
            try:
                tried = await self.sender.try_once(
                    exchange, entry, self.limit_patience(exchange, entry)
                )
            finally:
                entry.isolated -= int(alone)
            exchange.tried.append(tried)
            self.trials.note_result(exchange, entry.record.version, tried)
            if self.metrics is not None:
                self.metrics.attempts[exchange.service, tried.result.value] += 1
            if tried.result is TryResult.DELIVERED:
                self.log_end(exchange, "answered")
                return
            if tried.result is TryResult.BROKEN:
                await self.sender.endings.examine(entry)
            if not self.may_repeat(exchange, tried):
                break
        self.finish_unanswered(exchange)

    def limit_patience(self, exchange: Exchange, entry: UpstreamEntry) -> float:
        """Return the seconds to wait for a first byte before another upstream is tried."""
        left = max(exchange.left - ANSWER_MARGIN_SECONDS, 0.0)
        may_follow = exchange.route.idempotent and exchange.sent_count + 1 < exchange.route.attempts
        if may_follow and self.chooser.has_alternative(exchange, entry):
            return left * REPEAT_SHARE
        return left

    def may_repeat(self, exchange: Exchange, tried: Tried) -> bool:
        """Say whether another upstream may be tried, and take it from the budget."""
        if exchange.left <= ANSWER_MARGIN_SECONDS:
            return False
        if not tried.proves_not_run and not exchange.route.idempotent:
            return False
        if exchange.sent_count >= exchange.route.attempts:
            return False
        if not self.may_risk_another(exchange):
            return False
        if tried.result is TryResult.NOT_SENT:
            return len(exchange.tried) < MOST_TRIES
        if tried.result is TryResult.FAILED and exchange.left < exchange.route.objective / 2:
            return False
        return self.find_budget(exchange.service).spend(self.members.count(), self.now())

    def may_risk_another(self, exchange: Exchange) -> bool:
        """Say whether a request may be sent on by the upstreams that have ended under it."""
        fingerprint = exchange.fingerprint
        if self.suspects.judge(fingerprint) is Verdict.QUARANTINED:
            return False
        return exchange.surely_not_run or not self.suspects.must_run_alone(fingerprint)

    def find_budget(self, service: str) -> RepeatBudget:
        """Return the repeat budget of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            bounds = self.cluster_view.bounds
            budget = RepeatBudget(bounds.retry_ratio, bounds.retry_extra, bounds.retry_window)
            self.budgets[service] = budget
        return budget

    def finish_unanswered(self, exchange: Exchange) -> None:
        """Give the final answer of a request that no upstream answered."""
        stream = exchange.stream
        last = exchange.tried[-1] if exchange.tried else None
        failure = exchange.find_failure()
        if stream.answer_begun:
            stream.channel.abort()
            self.log_end(exchange, "broken off")
        elif failure is not None:
            headers = build_answer_headers(failure.head.headers)
            stream.send_whole(failure.head.status, headers, failure.body)
            self.log_end(exchange, "failed upstream")
        elif exchange.surely_not_run:
            reason = last.reason if last else "no upstream has a place"
            refusal = Refusal(503, reason, self.chooser.estimate_return(exchange.service))
            self.refuse(stream, exchange.fields.request_id, refusal)
            self.log_end(exchange, "refused")
        elif last is not None and last.result is TryResult.TIMED_OUT:
            self.send_refusal(stream, Refusal(504, "no answer in time"))
            self.log_end(exchange, "timed out")
        else:
            self.send_refusal(stream, Refusal(502, "the upstream broke off"))
            self.log_end(exchange, "broken upstream")

    def refuse(self, stream: CallerStream, request_id: str, refusal: Refusal) -> None:
        """Answer a request that has not run, and log why."""
        self.log.write_routine(
            "refused",
            request=request_id,
            status=refusal.status,
            reason=refusal.reason,
            retry_s=refusal.retry_after,
            config=self.cluster_view.config.version if self.cluster_view.config else 0,
            config_age_s=round(min(self.cluster_view.config_age, 1e6), 2),
            **refusal.inputs,
        )
        self.send_refusal(stream, refusal)

    def send_refusal(self, stream: CallerStream, refusal: Refusal) -> None:
        """Send an answer of the gateway's own."""
        if self.metrics is not None:
            self.metrics.refusals[str(refusal.status)] += 1
        headers = [(b"content-type", b"text/plain")]
        if refusal.retry_after is not None:
            headers.append((b"retry-after", f"{refusal.retry_after:.2f}".encode()))
        stream.send_whole(refusal.status, headers, refusal.reason.encode())

    def log_end(self, exchange: Exchange, outcome: str) -> None:
        """Log how a request ended and what decided it."""
        now = self.now()
        first = exchange.first_byte_at
        self.measure_end(exchange, outcome, now)
        fields = {
            "request": exchange.fields.request_id,
            "fingerprint": exchange.fingerprint,
            "route": exchange.route.name,
            "service": exchange.service,
            "customer": exchange.customer.name if exchange.customer else None,
            "priority": exchange.priority,
            "outcome": outcome,
            "ms": round((now - exchange.arrived) * 1000),
            "first_ms": None if first is None else round((first - exchange.arrived) * 1000),
            "last_upstream": exchange.upstream,
            "tries": [
                (item.upstream, item.result, item.step, item.reason) for item in exchange.tried
            ],
            "config": self.cluster_view.config.version,
            "config_age_s": round(min(self.cluster_view.config_age, 1e6), 2),
        }
        if outcome == "answered" and len(exchange.tried) == 1:
            self.log.write_routine("request", **fields)
        else:
            self.log.write("request", **fields)

    def measure_end(self, exchange: Exchange, outcome: str, now: float) -> None:
        """Count and time a request that has ended."""
        if self.metrics is None:
            return
        first = exchange.first_byte_at
        first_byte = None if first is None else first - exchange.arrived
        self.metrics.record_request(
            exchange.route.name, outcome, now - exchange.arrived, first_byte
        )

    def now(self) -> float:
        """Return the event-loop time in seconds."""
        return asyncio.get_running_loop().time()
