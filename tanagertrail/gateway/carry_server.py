"""Requests that this daemon carries to upstreams for daemons that do not reach them."""

__all__ = ["CarryServer"]

import asyncio
from collections.abc import Callable, Collection

from tanagertrail.errors import InvalidInputError
from tanagertrail.gateway.admission import Refusal
from tanagertrail.gateway.answer_relay import CallerGoneError
from tanagertrail.gateway.caller_close import linger
from tanagertrail.gateway.caller_guard import CallerGuard
from tanagertrail.gateway.carried_exchange import (
    build_cut_result,
    build_exchange,
    build_refused_result,
)
from tanagertrail.gateway.carry_protocol import (
    MAX_FIELD_BYTES,
    CarriedRequest,
    CarriedResult,
    CarryOutcome,
    build_result_headers,
    decode_begun,
    decode_request,
    mark_resend,
    shorten_request_id,
)
from tanagertrail.gateway.channel import Channel, read_address
from tanagertrail.gateway.dispatch import Dispatcher
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.exchange import AttemptResult, Exchange, UpstreamAttempt
from tanagertrail.gateway.http1 import CallerRequest, CallerStream, Headers
from tanagertrail.gateway.http_server import HttpServer
from tanagertrail.gateway.model import Limits
from tanagertrail.gateway.retry_rules import DEADLINE_MARGIN_SECONDS
from tanagertrail.platform.header_fields import build_response_headers, decode_caller_fields
from tanagertrail.policy.carrier_choice import compute_carry_room, compute_connection_limit

MAX_REFUSALS = 32  # connections that are told of their refusal at once; others are closed
IDLE_SECONDS = 15.0  # longer than other daemons keep a connection for their next request
MAX_UPSTREAMS = 3  # that one attempt tries while no connection can be opened
TEXT_HEADERS: Headers = [(b"content-type", b"text/plain")]
STATUSES = {AttemptResult.TIMED_OUT: 504, AttemptResult.BROKEN: 502}  # all others promise not run


class CarryServer(HttpServer):
    """Accept requests from other daemons and make one attempt at an upstream for each.

    A carried request is never passed on to a third daemon.

    :ivar is_ready: returns whether this daemon serves requests
    :ivar list_hosts: returns the hosts of the daemons that may connect
    :ivar in_flight: requests that this daemon carries
    :ivar carried_count: requests that this daemon has carried
    :ivar refused_count: requests and connections of other daemons that were refused
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        limits: Callable[[], Limits],
        log: EventLog,
        cores: float,
        descriptors: int,
        guard: CallerGuard | None = None,
    ) -> None:
        super().__init__(self.handle, lambda: widen_limits(limits()), log, guard)
        self.dispatcher = dispatcher
        self.cores = cores
        self.descriptors = descriptors
        self.is_ready: Callable[[], bool] = lambda: True
        self.list_hosts: Callable[[], Collection[str]] = lambda: ()
        self.in_flight = 0
        self.carried_count = 0
        self.refused_count = 0
        unread = CarriedResult("", CarryOutcome.NOT_CARRIED, reason="the request was not read")
        self.refusal_headers = build_result_headers(TEXT_HEADERS, unread)

    @property
    def room(self) -> int:
        """Return the number of requests that this daemon carries at once."""
        return compute_carry_room(self.cores, self.descriptors, self.dispatcher.in_flight)

    def accept(self, channel: Channel) -> None:
        """Serve a connection of another daemon, and refuse any other one."""
        host = read_address(channel)
        most_connections = compute_connection_limit(self.descriptors)
        if len(self.tasks) >= most_connections + MAX_REFUSALS:
            self.refused_count += 1
            channel.abort()
        elif host not in self.list_hosts():
            self.refuse_connection(channel, host, "it is no host of a daemon")
        elif len(self.streams) >= most_connections:
            self.refuse_connection(channel, host, "there are too many connections")
        else:
            super().accept(channel)

    def refuse_connection(self, channel: Channel, host: str, reason: str) -> None:
        """Refuse a connection without reading from it."""
        self.refused_count += 1
        self.log.write_routine("carry_connection_refused", host=host, reason=reason)
        stream = CallerStream(channel, self.limits, lambda: True)
        stream.send_failure(503, reason, self.refusal_headers)
        task = asyncio.create_task(linger(channel))
        self.tasks.add(task)
        task.add_done_callback(lambda ended: self.on_refused(ended, channel))

    def on_refused(self, task: asyncio.Task, channel: Channel) -> None:
        """Close a refused connection."""
        self.tasks.discard(task)
        channel.close()

    async def handle(self, request: CallerRequest, stream: CallerStream) -> None:
        """Carry a request, or refuse it as not run."""
        started_at = self.dispatcher.now()
        fields = decode_caller_fields(request.headers)
        request_id = shorten_request_id(fields.request_id)
        try:
            carried = decode_request(request.headers)
            begun = decode_begun(request.headers)
        except InvalidInputError as error:
            result = CarriedResult(request_id, CarryOutcome.NOT_CARRIED, reason=str(error))
            self.refuse_carried(stream, result, "")
            return
        result = self.find_obstacle(carried, request_id)
        if result is not None:
            self.refuse_carried(stream, result, carried.origin)
            return
        exchange = build_exchange(request, stream, carried, begun)
        self.in_flight += 1
        self.dispatcher.stop_gate.running.add(exchange)
        outcome = "origin gone"
        try:
            outcome = await self.carry(exchange, stream, carried)
        except CallerGoneError:
            stream.channel.abort()
        except asyncio.CancelledError:
            outcome = self.dispatcher.stop_gate.name_cancelled(exchange, outcome)
            raise
        finally:
            self.in_flight -= 1
            self.dispatcher.stop_gate.running.discard(exchange)
            self.log_carried(exchange, carried, outcome, started_at)

    def find_obstacle(self, carried: CarriedRequest, request_id: str) -> CarriedResult | None:
        """Return the refusal of a request that this daemon cannot carry now, else None."""
        if self.dispatcher.links.is_cut:
            return build_cut_result(request_id)
        if carried.origin not in self.dispatcher.members.states:
            reason = "the origin is not known here"
        elif not self.is_ready():
            reason = "the carrier is not serving"
        elif self.in_flight >= self.room:
            reason = f"the carrier has {self.in_flight} requests of other daemons"
        else:
            return None
        return CarriedResult(request_id, CarryOutcome.NOT_CARRIED, reason=reason)

    async def carry(self, exchange: Exchange, stream: CallerStream, carried: CarriedRequest) -> str:
        """Make an attempt, answer the origin and return the outcome."""
        refusal = self.find_refusal(exchange)
        if refusal is not None:
            result = build_refused_result(exchange, CarryOutcome.DECLINED, refusal)
            self.refuse_carried(stream, result, carried.origin)
            return result.outcome
        self.carried_count += 1
        suspects = self.dispatcher.suspects
        suspects.note_started(exchange.fingerprint)
        try:
            attempt = await self.make_attempt(exchange)
        finally:
            suspects.note_finished(exchange.fingerprint)
        result = self.build_unsent_result(exchange, attempt)
        if result is not None:
            self.refuse_carried(stream, result, carried.origin)
            return result.outcome
        if attempt.result is not AttemptResult.DELIVERED:
            self.send_result(exchange, stream, attempt)
        return attempt.result

    def build_unsent_result(
        self, exchange: Exchange, attempt: UpstreamAttempt | None
    ) -> CarriedResult | None:
        """Return the refusal of a request that no upstream could get, else None."""
        is_unsent = attempt is None or attempt.result is AttemptResult.NOT_SENT
        if is_unsent and self.dispatcher.links.is_cut:
            return build_cut_result(shorten_request_id(exchange.fields.request_id))
        if attempt is not None:
            return None
        selector = self.dispatcher.selector
        is_limited = selector.has_shared_limit(exchange.service)
        outcome = CarryOutcome.NO_SHARE if is_limited else CarryOutcome.DECLINED
        return build_refused_result(exchange, outcome, selector.build_refusal(exchange.service, ""))

    def find_refusal(self, exchange: Exchange) -> Refusal | None:
        """Return a refusal if upstreams crash on the request, else None."""
        refusal = self.dispatcher.admission.check_quarantine(
            exchange.fingerprint, exchange.part_keys
        )
        if refusal is None and not self.dispatcher.retry_rules.may_risk_another_crash(exchange):
            refusal = Refusal(503, "an upstream may have crashed on this request")
        return refusal

    async def make_attempt(self, exchange: Exchange) -> UpstreamAttempt | None:
        """Try upstreams until one is reached; None if none may get the request."""
        attempt = None
        for _ in range(MAX_UPSTREAMS):
            if exchange.time_left <= DEADLINE_MARGIN_SECONDS:
                break
            if not self.dispatcher.stop_gate.allows_attempt(exchange):
                break
            latest = await self.dispatcher.attempt_directly(exchange)
            if latest is None:
                if self.dispatcher.selector.has_unreachable(exchange.service):
                    await self.dispatcher.links.settle()
                break
            attempt = latest
            exchange.attempts.append(attempt)
            if attempt.result is not AttemptResult.NOT_SENT or await self.dispatcher.links.settle():
                break
        return attempt

    def send_result(
        self, exchange: Exchange, stream: CallerStream, attempt: UpstreamAttempt
    ) -> None:
        """Tell the origin how an attempt without a success ended."""
        if stream.response_started:
            stream.channel.abort()
            return
        result = CarriedResult(
            shorten_request_id(exchange.fields.request_id),
            attempt.result,
            attempt.step,
            attempt.upstream,
            attempt.reason,
        )
        status, headers = STATUSES.get(attempt.result, 503), TEXT_HEADERS
        if attempt.head is not None:
            status, headers = attempt.head.status, build_response_headers(attempt.head.headers)
        headers = mark_resend(build_result_headers(headers, result), exchange.resend_claimed)
        stream.send_response(status, headers, attempt.body)

    def refuse_carried(self, stream: CallerStream, result: CarriedResult, origin: str) -> None:
        """Refuse a request of another daemon, which did not run."""
        self.refused_count += 1
        self.log.write_routine(
            "carry_refused",
            request=result.request_id,
            origin=origin,
            outcome=result.outcome,
            reason=result.reason[:200],
            in_flight=self.in_flight,
            room=self.room,
        )
        headers = build_result_headers(TEXT_HEADERS, result)
        stream.send_response(503, headers, result.reason.encode())

    def log_carried(
        self, exchange: Exchange, carried: CarriedRequest, outcome: str, started_at: float
    ) -> None:
        """Log a carried request with the attempts that this daemon made."""
        self.dispatcher.stop_gate.note_ended(exchange, outcome, self.dispatcher.now() - started_at)
        own_attempts = exchange.attempts[len(carried.earlier) :]
        fields = {
            "request": exchange.fields.request_id,
            "origin": carried.origin,
            "fingerprint": exchange.fingerprint,
            "service": exchange.service,
            "customer": carried.customer,
            "outcome": outcome,
            "ms": round((self.dispatcher.now() - started_at) * 1000),
            "last_upstream": exchange.upstream,
            "tries": [
                (attempt.upstream, attempt.result, attempt.step, attempt.reason)
                for attempt in own_attempts
            ],
        }
        if outcome == AttemptResult.DELIVERED:
            self.log.write_routine("carried", **fields)
        else:
            self.log.write("carried", **fields)


def widen_limits(limits: Limits) -> Limits:
    """Return the limits on requests of other daemons, which add a field to those of callers."""
    header_bytes = limits.header_bytes + 2 * MAX_FIELD_BYTES
    return limits._replace(header_bytes=header_bytes, idle_timeout=IDLE_SECONDS)
