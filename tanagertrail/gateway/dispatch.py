"""The path of a caller's request: admission, choice of upstreams, answer."""

__all__ = ["Dispatcher", "Refusal"]

import asyncio
import random
from typing import Any, NamedTuple

from tanagertrail.gateway.beliefs import Beliefs
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.exchange import Exchange, Tried, TryResult
from tanagertrail.gateway.http1 import CallerRequest, CallerStream
from tanagertrail.gateway.members import MemberTable
from tanagertrail.gateway.metrics import GatewayMetrics
from tanagertrail.gateway.model import Customer, Route
from tanagertrail.gateway.sending import CallerGoneError, UpstreamSender
from tanagertrail.gateway.trials import TrialBook
from tanagertrail.gateway.upstream_table import UpstreamEntry
from tanagertrail.platform.fields import (
    CallerFields,
    build_answer_headers,
    decode_caller_fields,
)
from tanagertrail.policy.canary import VersionUse
from tanagertrail.policy.choice import PrefixIndex
from tanagertrail.policy.cold_rate import ColdAllowance
from tanagertrail.policy.placement import PLACEMENTS, Seat, Visit
from tanagertrail.policy.repeats import RepeatBudget
from tanagertrail.policy.token_quota import Quota, QuotaLedger, QuotaRefusal

PREFIX_SECONDS = 20.0
FRESH_SECONDS = 3.0  # age beyond which an unknown key or route may be one that was just added
RETRY_SECONDS = 0.3  # a place is mostly free again after the shortest requests
RETRY_SPREAD = 0.5
ANSWER_MARGIN_SECONDS = 0.05
REPEAT_SHARE = 0.5  # of the time left that a first try may use when another may follow
FULL_FACTOR = 2.0  # requests of an upstream, against its slots, beyond which it would reject
ROOM_FACTOR = 0.5  # requests against slots up to which a repeat would start at once


class Refusal(NamedTuple):
    """An answer that the gateway gives by itself.

    :ivar retry_after: seconds after which the caller may come back, None for unsaid
    :ivar inputs: what decided it, for the log
    """

    status: int
    reason: str
    retry_after: float | None = None
    inputs: dict[str, Any] = {}


class Dispatcher:
    """Serve callers' requests."""

    def __init__(
        self,
        beliefs: Beliefs,
        members: MemberTable,
        sender: UpstreamSender,
        quota: QuotaLedger,
        log: EventLog,
        rng: random.Random,
        placement: str = "expected_cost",
    ) -> None:
        self.beliefs = beliefs
        self.members = members
        self.sender = sender
        self.quota = quota
        self.log = log
        self.rng = rng
        self.index = PrefixIndex(PREFIX_SECONDS)
        self.place = PLACEMENTS.get(placement)
        self.budgets: dict[str, RepeatBudget] = {}
        self.in_flight = 0
        self.trials = TrialBook(beliefs)
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
        admitted = self.admit(request, fields)
        if isinstance(admitted, Refusal):
            self.refuse(stream, fields.request_id, admitted)
            return
        route, customer = admitted
        exchange = Exchange(request, stream, fields, route, customer)
        exchange.service = self.pick_service(route)
        self.find_budget(exchange.service).note_request(self.now())
        self.trials.note_request(exchange.service)
        try:
            await self.try_upstreams(exchange)
        except (CallerGoneError, asyncio.CancelledError) as error:
            self.log_end(exchange, "caller gone")
            if isinstance(error, asyncio.CancelledError):
                raise

    def admit(
        self, request: CallerRequest, fields: CallerFields
    ) -> tuple[Route, Customer | None] | Refusal:
        """Check route, key and quota."""
        config = self.beliefs.config
        if config is None or not self.beliefs.upstreams_known:
            return Refusal(503, "no configuration is known yet", self.spread_retry())
        route = config.find_route(request.host, request.path)
        fresh = self.beliefs.proof_age < FRESH_SECONDS
        if route is None:
            if fresh:
                return Refusal(404, "no such route")
            return Refusal(503, "the configuration may be old", self.spread_retry())
        if not config.customers or route.public:
            return route, None
        if not self.beliefs.may_trust_keys:
            return Refusal(503, "keys cannot be checked now", self.spread_retry())
        customer = config.keys.get(fields.key or "")
        if customer is None:
            if fresh:
                return Refusal(401, "unknown key")
            return Refusal(503, "the keys may be old", self.spread_retry())
        over = self.charge_quota(customer, fields)
        if over is not None:
            inputs = {"customer": customer.name, **over._asdict()}
            return Refusal(429, "over the quota", over.retry_after, inputs)
        return route, customer

    def charge_quota(self, customer: Customer, fields: CallerFields) -> QuotaRefusal | None:
        """Count a request against its customer's quota, or say why it is over it."""
        if customer.rate <= 0:
            return None
        units = 1.0
        if customer.counts_tokens:
            prompt = fields.prompt
            units = prompt.tokens_in + prompt.tokens_out if prompt else customer.plain_tokens
        quota = Quota(customer.rate, max(customer.burst, 1.0))
        return self.quota.admit(customer.name, units, quota, self.members.count(), self.now())

    def pick_service(self, route: Route) -> str:
        """Return one of the route's services by their weights."""
        if len(route.targets) == 1:
            return route.targets[0].service
        weights = [target.weight for target in route.targets]
        if sum(weights) <= 0:
            return route.targets[0].service
        return self.rng.choices(route.targets, weights)[0].service

    async def try_upstreams(self, exchange: Exchange) -> None:
        """Send a request to one upstream after the other until it is answered."""
        while True:
            entry = self.pick_upstream(exchange)
            if entry is None:
                break
            self.note_start(exchange, entry)
            tried = await self.sender.try_once(
                exchange, entry, self.limit_patience(exchange, entry)
            )
            exchange.tried.append(tried)
            self.trials.note_result(exchange, entry.record.version, tried)
            if self.metrics is not None:
                labels = {"service": exchange.service, "result": tried.result.value}
                self.metrics.tries.add(1, labels)
            if tried.result is TryResult.DELIVERED:
                self.log_end(exchange, "answered")
                return
            if not self.may_repeat(exchange, tried):
                break
        self.finish_unanswered(exchange)

    def pick_upstream(self, exchange: Exchange) -> UpstreamEntry | None:
        """Choose an upstream that was not tried, None if all are closed or full."""
        now = self.now()
        tried = {item.upstream for item in exchange.tried}
        entries = {
            entry.record.id: entry
            for entry in self.beliefs.upstreams.iter_service(exchange.service)
            if entry.record.id not in tried and self.may_use(entry, now)
        }
        if not entries:
            return None
        entries = self.prefer_trial(exchange, entries)
        seats = [self.describe_seat(entry) for entry in entries.values()]
        seat = self.place(self.describe_visit(exchange, now), seats, self.index)
        return entries[seat.upstream]

    def prefer_trial(
        self, exchange: Exchange, entries: dict[str, UpstreamEntry]
    ) -> dict[str, UpstreamEntry]:
        """Return the upstreams of a version on trial while its budget has room."""
        if exchange.tried or exchange.service not in self.beliefs.rollouts:
            return entries
        trial = {
            name: entry
            for name, entry in entries.items()
            if self.trials.judge_version(exchange.service, entry.record.version)
            is VersionUse.BUDGETED
        }
        return trial or entries

    def may_use(self, entry: UpstreamEntry, now: float) -> bool:
        """Say whether an upstream may get new work now."""
        record = entry.record
        if not entry.is_open(now) or record.failure_domain in self.beliefs.evacuated:
            return False
        if entry.running >= record.slots * FULL_FACTOR:
            return False
        use = self.trials.judge_version(record.service, record.version)
        if use is VersionUse.FORBIDDEN:
            return False
        if use is VersionUse.BUDGETED and not self.trials.may_expose(
            record.service, self.members.count()
        ):
            return False
        return now >= entry.cold_until or self.has_cold_share(entry, now)

    def has_cold_share(self, entry: UpstreamEntry, now: float) -> bool:
        """Say whether this daemon's share of a cold upstream's rate allows a request."""
        rate = self.find_cold_rate(entry)
        if rate <= 0:
            return True
        if entry.cold_allowance is None:
            entry.cold_allowance = ColdAllowance(now, self.rng.random())
        return entry.cold_allowance.has_room(rate, self.members.count(), now)

    def find_cold_rate(self, entry: UpstreamEntry) -> float:
        """Return the requests per second that an upstream bears when cold, 0 for any number."""
        service = self.beliefs.config.services.get(entry.record.service)
        return service.cold_rate if service else 0.0

    def describe_seat(self, entry: UpstreamEntry) -> Seat:
        """Return what the placement needs to know of an upstream."""
        record = entry.record
        local = record.failure_domain == self.members.own.failure_domain
        return Seat(record.id, entry.running, record.slots, entry.fault_share, 1.0, local)

    def describe_visit(self, exchange: Exchange, now: float) -> Visit:
        """Return what the placement needs to know of a request."""
        prompt = exchange.fields.prompt
        if prompt is None:
            return Visit((), (), 0, now)
        parts = prompt.parts
        return Visit(
            tuple(part.id for part in parts),
            tuple(part.tokens for part in parts),
            prompt.tokens_in,
            now,
        )

    def note_start(self, exchange: Exchange, entry: UpstreamEntry) -> None:
        """Note that an upstream gets a request."""
        now = self.now()
        self.trials.note_sent(exchange.service, entry.record.version)
        if now < entry.cold_until and entry.cold_allowance is not None:
            entry.cold_allowance.spend()
        if exchange.fields.prompt is not None:
            parts = [part.id for part in exchange.fields.prompt.parts]
            self.index.note_stored(entry.record.id, parts, now)

    def limit_patience(self, exchange: Exchange, entry: UpstreamEntry) -> float:
        """Return the seconds to wait for a first byte before another upstream is tried."""
        left = max(exchange.left - ANSWER_MARGIN_SECONDS, 0.0)
        may_follow = exchange.route.idempotent and exchange.sent_count + 1 < exchange.route.attempts
        if may_follow and self.has_alternative(exchange, entry):
            return left * REPEAT_SHARE
        return left

    def has_alternative(self, exchange: Exchange, entry: UpstreamEntry) -> bool:
        """Say whether another upstream has clearly more room than the one that was chosen."""
        now = self.now()
        tried = {item.upstream for item in exchange.tried}
        return any(
            other is not entry
            and other.record.id not in tried
            and other.running < other.record.slots * ROOM_FACTOR
            and self.may_use(other, now)
            for other in self.beliefs.upstreams.iter_service(exchange.service)
        )

    def may_repeat(self, exchange: Exchange, tried: Tried) -> bool:
        """Say whether another upstream may be tried, and take it from the budget."""
        if exchange.left <= ANSWER_MARGIN_SECONDS:
            return False
        if not tried.proves_not_run and not exchange.route.idempotent:
            return False
        if exchange.sent_count >= exchange.route.attempts:
            return False
        if tried.result is TryResult.NOT_SENT:
            return len(exchange.tried) < 4
        if tried.result is TryResult.FAILED and exchange.left < exchange.route.objective / 2:
            return False
        return self.find_budget(exchange.service).spend(self.members.count(), self.now())

    def find_budget(self, service: str) -> RepeatBudget:
        """Return the repeat budget of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            bounds = self.beliefs.bounds
            budget = RepeatBudget(bounds.retry_ratio, bounds.retry_extra, bounds.retry_window)
            self.budgets[service] = budget
        return budget

    def finish_unanswered(self, exchange: Exchange) -> None:
        """Give the final answer of a request that no upstream answered."""
        stream = exchange.stream
        last = exchange.tried[-1] if exchange.tried else None
        if stream.answer_begun:
            stream.channel.abort()
            self.log_end(exchange, "broken off")
        elif last is not None and last.result is TryResult.FAILED and last.head is not None:
            stream.send_whole(last.head.status, build_answer_headers(last.head.headers), last.body)
            self.log_end(exchange, "failed upstream")
        elif exchange.surely_not_run:
            reason = last.reason if last else "no upstream has a place"
            self.refuse(
                stream, exchange.fields.request_id, Refusal(503, reason, self.spread_retry())
            )
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
            config=self.beliefs.config.version if self.beliefs.config else 0,
            config_age_s=round(min(self.beliefs.proof_age, 1e6), 2),
            **refusal.inputs,
        )
        self.send_refusal(stream, refusal)

    def send_refusal(self, stream: CallerStream, refusal: Refusal) -> None:
        """Send an answer of the gateway's own."""
        if self.metrics is not None:
            self.metrics.refusals.add(1, {"status": str(refusal.status)})
        headers = [(b"content-type", b"text/plain")]
        if refusal.retry_after is not None:
            headers.append((b"retry-after", f"{refusal.retry_after:.2f}".encode()))
        stream.send_whole(refusal.status, headers, refusal.reason.encode())

    def spread_retry(self) -> float:
        """Return the seconds after which a refused caller may come back, spread by chance."""
        return RETRY_SECONDS * (1.0 + RETRY_SPREAD * self.rng.random())

    def log_end(self, exchange: Exchange, outcome: str) -> None:
        """Log how a request ended and what decided it."""
        now = self.now()
        first = exchange.first_byte_at
        self.measure_end(exchange, outcome, now)
        fields = {
            "request": exchange.fields.request_id,
            "route": exchange.route.name,
            "service": exchange.service,
            "customer": exchange.customer.name if exchange.customer else None,
            "priority": exchange.priority,
            "outcome": outcome,
            "ms": round((now - exchange.arrived) * 1000),
            "first_ms": None if first is None else round((first - exchange.arrived) * 1000),
            "tries": [
                (item.upstream, item.result, item.step, item.reason) for item in exchange.tried
            ],
            "config": self.beliefs.config.version,
            "config_age_s": round(min(self.beliefs.proof_age, 1e6), 2),
        }
        if outcome == "answered" and len(exchange.tried) == 1:
            self.log.write_routine("request", **fields)
        else:
            self.log.write("request", **fields)

    def measure_end(self, exchange: Exchange, outcome: str, now: float) -> None:
        """Count and time a request that has ended."""
        if self.metrics is None:
            return
        labels = {"route": exchange.route.name}
        self.metrics.requests.add(1, {**labels, "outcome": outcome})
        self.metrics.duration.record(now - exchange.arrived, labels)
        if exchange.first_byte_at is not None:
            self.metrics.first_byte.record(exchange.first_byte_at - exchange.arrived, labels)

    def now(self) -> float:
        """Return the event-loop time in seconds."""
        return asyncio.get_running_loop().time()
