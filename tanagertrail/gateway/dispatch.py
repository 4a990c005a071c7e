"""Request dispatch: admission, attempts at upstreams with retries, response."""

__all__ = ["Dispatcher"]

import asyncio
import random
from collections import Counter
from collections.abc import Collection

from tanagertrail.gateway.admission import Admission, Refusal
from tanagertrail.gateway.answer_relay import CallerGoneError
from tanagertrail.gateway.carry_client import CarryClient
from tanagertrail.gateway.cluster_view import ClusterView
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.exchange import AttemptResult, Exchange, UpstreamAttempt
from tanagertrail.gateway.http1 import CallerRequest, CallerStream
from tanagertrail.gateway.members import MemberTable
from tanagertrail.gateway.metrics import GatewayMetrics
from tanagertrail.gateway.retry_rules import RetryRules
from tanagertrail.gateway.room_queue import RoomQueue
from tanagertrail.gateway.silence_watch import SilenceMonitor, SilenceWatch
from tanagertrail.gateway.startup import Startup
from tanagertrail.gateway.stop_gate import StopGate
from tanagertrail.gateway.suspects import SuspectTracker
from tanagertrail.gateway.trials import RolloutTrials
from tanagertrail.gateway.upstream_links import UpstreamLinks
from tanagertrail.gateway.upstream_selector import UpstreamSelector
from tanagertrail.gateway.upstream_sender import UpstreamSender
from tanagertrail.platform.header_fields import build_response_headers, decode_caller_fields
from tanagertrail.policy.room import RoomMode
from tanagertrail.policy.token_quota import QuotaLimiter
from tanagertrail.policy.windowed_retries import WindowedRetryBudget


class Dispatcher:
    """Serve callers' requests.

    :ivar links: whether this daemon reaches the upstreams itself
    :ivar in_flight: requests of callers in progress
    :ivar prompt_tokens_sent: prompt tokens of the requests so far, by service
    :ivar stop_gate: lengths of requests, and what a planned stop does with them
    :ivar startup: holds requests until this daemon knows enough to decide on them
    :ivar metrics: None if metrics are not exported
    """

    def __init__(
        self,
        cluster_view: ClusterView,
        members: MemberTable,
        sender: UpstreamSender,
        quota: QuotaLimiter,
        suspects: SuspectTracker,
        links: UpstreamLinks,
        log: EventLog,
        rng: random.Random,
        placement: str = "expected_cost",
        room: RoomMode = RoomMode.OFF,
    ) -> None:
        self.cluster_view = cluster_view
        self.members = members
        self.sender = sender
        self.log = log
        self.suspects = suspects
        self.links = links
        self.carry_client = CarryClient(members, sender, suspects, rng)
        self.admission = Admission(cluster_view, members, quota, suspects, rng)
        self.trials = RolloutTrials(cluster_view)
        self.stop_gate = StopGate(log, rng)
        self.admission.check_stop = self.stop_gate.check_arrival
        self.carry_client.may_begin = self.stop_gate.allows_attempt
        self.selector = UpstreamSelector(
            cluster_view,
            members,
            self.trials,
            sender.rate_limits,
            sender.statements,
            sender.brittle,
            rng,
            placement,
        )
        self.selector.load_limits.mode = room
        self.room_queue = RoomQueue(self.selector, suspects, self.stop_gate, log, rng)
        self.room_queue.is_cut_off = lambda: self.links.is_cut
        self.retry_rules = RetryRules(
            cluster_view,
            members,
            suspects,
            self.stop_gate,
            self.selector,
            self.carry_client,
        )
        self.retry_rules.is_cut_off = lambda: self.links.is_cut
        self.silences = SilenceMonitor(
            log, self.retry_rules.may_resend, self.retry_rules.claim_resend
        )
        self.silences.is_cut_off = lambda: self.links.is_cut
        self.in_flight = 0
        self.prompt_tokens_sent: Counter[str] = Counter()
        self.startup = Startup(cluster_view, members, log)
        self.metrics: GatewayMetrics | None = None

    async def handle(self, request: CallerRequest, stream: CallerStream) -> None:
        """Serve a request and count it while it is in progress."""
        self.in_flight += 1
        try:
            await self.serve(request, stream)
        finally:
            self.in_flight -= 1

    async def serve(self, request: CallerRequest, stream: CallerStream) -> None:
        """Admit a request and forward it to an upstream, or refuse it."""
        fields = decode_caller_fields(request.headers)
        arrived_at = self.now()
        admitted = await self.startup.admit(
            lambda: self.admission.admit(request, fields), fields.timeout
        )
        if isinstance(admitted, Refusal):
            self.refuse(stream, fields.request_id, admitted)
            return
        route, customer, fingerprint, parts = admitted
        waited = self.now() - arrived_at
        exchange = Exchange(request, stream, fields, route, customer, fingerprint, parts, waited)
        exchange.service = self.admission.pick_service(route)
        self.get_retry_budget(exchange.service).note_request(self.now())
        self.trials.note_request(exchange.service)
        if fields.prompt is not None:
            self.prompt_tokens_sent[exchange.service] += fields.prompt.input_tokens
        self.suspects.note_started(fingerprint)
        self.stop_gate.running.add(exchange)
        try:
            await self.try_upstreams(exchange)
        except CallerGoneError:
            self.log_outcome(exchange, "caller gone")
            stream.break_off()
        except asyncio.CancelledError:
            self.log_outcome(exchange, self.stop_gate.name_cancelled(exchange, "caller gone"))
            raise
        finally:
            self.stop_gate.running.discard(exchange)
            self.suspects.note_finished(fingerprint)

    async def try_upstreams(self, exchange: Exchange) -> None:
        """Make one attempt after another until one succeeds or retries end."""
        while (attempt := await self.make_attempt(exchange)) is not None:
            exchange.attempts.append(attempt)
            if attempt.result is AttemptResult.DELIVERED:
                self.log_outcome(exchange, "answered")
                return
            if not self.retry_rules.may_retry(exchange, attempt):
                break
        self.finish_failed(exchange)

    async def make_attempt(self, exchange: Exchange) -> UpstreamAttempt | None:
        """Send a request to an upstream, after a wait if all are full.

        It is None if no upstream may get the request.
        """
        while True:
            exchange.refusal = self.stop_gate.check_attempt(exchange)
            if exchange.refusal is not None:
                return None
            await self.room_queue.let_others_pass(exchange)
            attempt = await self.attempt_now(exchange)
            if attempt is not None or exchange.refusal is not None:
                return attempt
            if not await self.room_queue.wait_for_place(exchange):
                return None

    async def attempt_now(self, exchange: Exchange) -> UpstreamAttempt | None:
        """Send a request to an upstream, itself or through another daemon.

        Another one carries it if this one is cut off from all upstreams or has used up its part of
        what they take. It is None if no upstream may get the request.
        """
        if not self.links.uses_own_links():
            attempt = await self.have_carried(exchange)
            if attempt is not None or self.links.is_cut:
                return attempt
            exchange.refusal = None
        attempt = await self.attempt_directly(exchange)
        if attempt is not None:
            if attempt.result is AttemptResult.NOT_SENT:
                await self.links.settle()
            return attempt
        if self.selector.has_unreachable(exchange.service) and await self.links.settle():
            return await self.have_carried(exchange)
        holders = self.selector.list_holders(exchange.service)
        if holders:
            attempt = await self.have_carried(exchange, holders)
            exchange.refusal = None  # this daemon knows as well when callers may return
        return attempt

    async def have_carried(
        self, exchange: Exchange, carriers: Collection[str] | None = None
    ) -> UpstreamAttempt | None:
        """Have another daemon make an attempt; None if none did.

        :param carriers: the only daemons to ask, None for all that can carry requests
        """
        ended = await self.carry_client.send_attempt(exchange, carriers)
        if isinstance(ended, Refusal):
            exchange.refusal = ended
            return None
        self.stop_gate.note_carried(exchange, ended)
        return ended

    async def attempt_directly(self, exchange: Exchange) -> UpstreamAttempt | None:
        """Send a request to an upstream over an own connection, None if none may get it."""
        isolated = self.suspects.must_run_isolated(exchange.fingerprint)
        entry = self.selector.select_upstream(exchange, isolated)
        if entry is None:
            return None
        exchange.upstream = entry.record.id
        exchange.sent_at = self.now()
        self.selector.note_dispatch(exchange, entry)
        entry.isolated_requests += int(isolated)
        try:
            attempt = await self.sender.send_attempt(
                exchange, entry, SilenceWatch(exchange, entry, self.silences)
            )
        finally:
            entry.isolated_requests -= int(isolated)
            self.room_queue.fill_place(exchange.service)
        if self.metrics is not None:
            self.metrics.attempts[exchange.service, attempt.result.value] += 1
        try:
            if attempt.result is AttemptResult.BROKEN:
                await self.sender.crash_detector.probe(entry)
        finally:
            if self.links.reaches_upstreams and not entry.has_fallen_brittle:
                self.trials.note_result(exchange, entry.record.version, attempt)
        return attempt

    def get_retry_budget(self, service: str) -> WindowedRetryBudget:
        """Return the retry budget of a service."""
        return self.retry_rules.get_budget(service)

    def finish_failed(self, exchange: Exchange) -> None:
        """Send the final response to a request for which no attempt succeeded."""
        stream = exchange.stream
        last = exchange.attempts[-1] if exchange.attempts else None
        failure = exchange.find_last_failure()
        if stream.response_started:
            stream.break_off()
            self.log_outcome(exchange, "broken off")
        elif failure is not None:
            headers = build_response_headers(failure.head.headers)
            stream.send_response(failure.head.status, headers, failure.body)
            self.log_outcome(exchange, "failed upstream")
        elif exchange.known_not_run:
            refusal = exchange.refusal or self.selector.build_refusal(
                exchange.service, last.reason if last else ""
            )
            self.refuse(stream, exchange.fields.request_id, refusal)
            self.log_outcome(exchange, "refused")
        elif last is not None and last.result is AttemptResult.TIMED_OUT:
            self.send_refusal(stream, Refusal(504, "no answer in time"))
            self.log_outcome(exchange, "timed out")
        else:
            self.send_refusal(stream, Refusal(502, "the upstream broke off"))
            self.log_outcome(exchange, "broken upstream")

    def refuse(self, stream: CallerStream, request_id: str, refusal: Refusal) -> None:
        """Refuse a request that did not run, and log the reason."""
        self.log.write_routine(
            "refused",
            request=request_id,
            status=refusal.status,
            reason=refusal.reason,
            retry_s=refusal.retry_after,
            config=self.cluster_view.config.version if self.cluster_view.config else 0,
            config_age_s=round(min(self.cluster_view.config_age, 1e6), 2),
            **refusal.log_fields,
        )
        self.send_refusal(stream, refusal)

    def send_refusal(self, stream: CallerStream, refusal: Refusal) -> None:
        """Send an error response of the gateway."""
        if self.metrics is not None:
            self.metrics.refusals[str(refusal.status)] += 1
        headers = [(b"content-type", b"text/plain")]
        if refusal.retry_after is not None:
            headers.append((b"retry-after", f"{refusal.retry_after:.2f}".encode()))
        stream.send_response(refusal.status, headers, refusal.reason.encode())

    def log_outcome(self, exchange: Exchange, outcome: str) -> None:
        """Log the outcome of a request with its attempts.

        Requests that succeeded at the first attempt are routine lines, which are rate-limited.
        """
        now = self.now()
        first = exchange.first_byte_at
        self.stop_gate.note_ended(exchange, outcome, now - exchange.arrived_at)
        self.measure_outcome(exchange, outcome, now)
        fields = {
            "request": exchange.fields.request_id,
            "fingerprint": exchange.fingerprint,
            "parts": exchange.part_keys,
            "route": exchange.route.name,
            "service": exchange.service,
            "customer": exchange.customer.name if exchange.customer else None,
            "priority": exchange.priority,
            "outcome": outcome,
            "ms": round((now - exchange.arrived_at) * 1000),
            "first_ms": None if first is None else round((first - exchange.arrived_at) * 1000),
            "last_upstream": exchange.upstream,
            "tries": [
                (attempt.upstream, attempt.result, attempt.step, attempt.reason)
                for attempt in exchange.attempts
            ],
            "config": self.cluster_view.config.version,
            "config_age_s": round(min(self.cluster_view.config_age, 1e6), 2),
        }
        if exchange.wait_began_at is not None:
            fields["wait_began_ms"] = round((exchange.wait_began_at - exchange.arrived_at) * 1000)
        if exchange.free_refusals:
            fields["free_refusals"] = exchange.free_refusals
        if exchange.carrier:
            fields["carriers"] = [attempt.carrier for attempt in exchange.attempts]
            fields["last_carrier"] = exchange.carrier
        if outcome == "answered" and len(exchange.attempts) == 1:
            self.log.write_routine("request", **fields)
        else:
            self.log.write("request", **fields)

    def measure_outcome(self, exchange: Exchange, outcome: str, now: float) -> None:
        """Record the outcome and latency of a request in the metrics."""
        if self.metrics is None:
            return
        first = exchange.first_byte_at
        first_byte = None if first is None else first - exchange.arrived_at
        self.metrics.record_request(
            exchange.route.name, outcome, now - exchange.arrived_at, first_byte
        )

    def now(self) -> float:
        """Return the event-loop time in seconds."""
        return asyncio.get_running_loop().time()
