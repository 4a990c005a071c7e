"""Requests that this daemon has another one carry to an upstream."""

__all__ = ["CarryClient"]

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import TypeVar

from tanagertrail.errors import InvalidInputError, UpstreamProtocolError
from tanagertrail.gateway.admission import Refusal
from tanagertrail.gateway.carry_protocol import (
    CarriedResult,
    CarryOutcome,
    decode_result,
    encode_request,
    shorten_request_id,
    strip_carry_fields,
)
from tanagertrail.gateway.exchange import AttemptResult, Exchange, UpstreamAttempt
from tanagertrail.gateway.members import Member, MemberTable
from tanagertrail.gateway.pools import CONNECT_SECONDS, ConnectionPools
from tanagertrail.gateway.suspects import SuspectTracker
from tanagertrail.gateway.upstream_sender import (
    EXECUTED_RESULTS,
    UNSAFE_REUSE_SECONDS,
    UpstreamSender,
)
from tanagertrail.gateway.upstream_stream import ResponseHead, UpstreamStream
from tanagertrail.outcomes import Step
from tanagertrail.platform.header_fields import build_carried_headers, build_response_headers
from tanagertrail.policy.carrier_choice import CarrierCandidate, CarrierChooser
from tanagertrail.policy.retry_after import estimate_retry_after

MAX_CARRIERS = 3  # that one attempt asks
HOP_MARGIN_SECONDS = 0.02  # of the time left, for the way of the answer from the carrier
ALIVE_CHECK_SECONDS = 0.5
REFRESH_SECONDS = 0.1  # a look at all members of a large fleet costs as much as a request
RESULTS_WITH_HEAD = frozenset(
    {AttemptResult.DELIVERED, AttemptResult.FAILED, AttemptResult.REFUSED}
)

T = TypeVar("T")


class CarryClient:
    """Send requests to other daemons that carry them to upstreams.

    A hop that breaks after the request was sent proves nothing about the request, and nothing
    about an upstream.

    :ivar carriers: daemons that can carry requests, by name, as of ``refreshed_at``
    :ivar may_begin: returns whether an attempt at a request may begin
    :ivar in_flight: requests that other daemons carry for this one
    :ivar results: carried attempts that have ended, by result
    """

    def __init__(
        self,
        members: MemberTable,
        sender: UpstreamSender,
        suspects: SuspectTracker,
        rng: random.Random,
    ) -> None:
        self.members = members
        self.sender = sender
        self.suspects = suspects
        self.rng = rng
        self.pools = ConnectionPools()
        self.chooser = CarrierChooser(rng)
        self.carriers: dict[str, Member] = {}
        self.candidates: list[CarrierCandidate] = []
        self.refreshed_at = float("-inf")
        self.may_begin: Callable[[Exchange], bool] = lambda exchange: True
        self.in_flight = 0
        self.results: Counter[str] = Counter()

    def now(self) -> float:
        """Return the event-loop time in seconds."""
        return asyncio.get_running_loop().time()

    async def send_attempt(self, exchange: Exchange) -> UpstreamAttempt | Refusal:
        """Have one carrier make an attempt and relay the response if it is a success.

        A carrier that has not sent the request on is followed by another one.

        :raises CallerGoneError: if the caller has closed its connection
        """
        refusal = Refusal(
            503, "no daemon can carry the request", self.estimate_retry_after(), {"carriers": 0}
        )
        asked: list[str] = []
        while len(asked) < MAX_CARRIERS and exchange.time_left > HOP_MARGIN_SECONDS:
            if not self.may_begin(exchange):
                break
            carrier = self.choose_carrier(exchange, asked)
            if carrier is None:
                break
            asked.append(carrier.daemon)
            ended = await self.ask_carrier(exchange, carrier)
            if isinstance(ended, UpstreamAttempt):
                self.results[ended.result.value] += 1
                return ended
            self.results[ended.outcome.value] += 1
            refusal = self.build_refusal(ended, asked)
            if ended.outcome is CarryOutcome.DECLINED:
                break
            self.note_refused(carrier, ended)
        return refusal

    def note_refused(self, carrier: Member, result: CarriedResult) -> None:
        """Leave a carrier out for a while if it would refuse other requests too."""
        if result.outcome is CarryOutcome.CUT_OFF:
            self.chooser.note_unreachable(carrier.daemon, self.now())
        elif result.outcome is CarryOutcome.NOT_CARRIED:
            self.chooser.note_refused(carrier.daemon, self.now())

    def choose_carrier(self, exchange: Exchange, asked: list[str]) -> Member | None:
        """Choose the daemon that carries a request, None if there is none.

        :param asked: daemons that have refused it
        """
        now = self.now()
        self.refresh_carriers(now)
        broken = {attempt.carrier for attempt in exchange.attempts if not attempt.proves_not_run}
        return self.carriers.get(self.chooser.choose(self.candidates, asked, broken, now) or "")

    def has_carrier(self, exchange: Exchange) -> bool:
        """Return whether a daemon may be asked to carry a request now."""
        return self.choose_carrier(exchange, []) is not None

    def refresh_carriers(self, now: float) -> None:
        """Look up which daemons can carry requests, unless that was done just now."""
        if now - self.refreshed_at < REFRESH_SECONDS:
            return
        self.refreshed_at = now
        self.carriers = {member.daemon: member for member in self.members.list_carriers(now)}
        own_domain = self.members.own.failure_domain
        self.candidates = [
            CarrierCandidate(name, member.failure_domain == own_domain)
            for name, member in self.carriers.items()
        ]

    def build_refusal(self, result: CarriedResult, asked: list[str]) -> Refusal:
        """Return the refusal of a request that a carrier did not send on."""
        retry_after = result.retry_after
        if retry_after is None:
            retry_after = self.estimate_retry_after()
        return Refusal(503, result.reason, retry_after, {"carriers": len(asked), "asked": asked})

    def estimate_retry_after(self) -> float:
        """Return the ``Retry-After`` value in seconds of a request without a carrier."""
        return estimate_retry_after(None, 0.0, self.rng.random())

    async def ask_carrier(
        self, exchange: Exchange, carrier: Member
    ) -> UpstreamAttempt | CarriedResult:
        """Send a request to a carrier; a result without an attempt proves that it did not run."""
        exchange.carrier = carrier.daemon
        exchange.sent_at = self.now()
        self.in_flight += 1
        self.chooser.note_sent(carrier.daemon)
        stream = None
        try:
            stream = await self.connect(exchange, carrier)
            return await self.send_and_receive(exchange, carrier, stream)
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            if stream is not None:
                raise
            self.chooser.note_unreachable(carrier.daemon, self.now())
            reason = f"the carrier cannot be reached: {error!r}"[:100]
            return CarriedResult("", CarryOutcome.NOT_CARRIED, reason=reason)
        finally:
            self.in_flight -= 1
            self.chooser.note_ended(carrier.daemon)
            if stream is not None:
                self.pools.release(carrier.carrier, stream)

    async def connect(self, exchange: Exchange, carrier: Member) -> UpstreamStream:
        """Return a pooled connection to a carrier, or open one.

        :raises OSError: if it cannot be opened
        :raises TimeoutError: if that takes too long
        """
        pooled = self.pools.acquire(carrier.carrier)
        if pooled is not None:
            if exchange.route.idempotent or self.now() - pooled.idle_since < UNSAFE_REUSE_SECONDS:
                return pooled
            pooled.abort()
        timeout = min(CONNECT_SECONDS, max(exchange.time_left, 0.01))
        return await self.pools.open(carrier.carrier, timeout)

    async def send_and_receive(
        self, exchange: Exchange, carrier: Member, stream: UpstreamStream
    ) -> UpstreamAttempt | CarriedResult:
        """Send the request to a carrier and handle the answer."""
        step, upstream = Step.HEAD, ""
        is_reused = stream.sent_requests > 0
        try:
            self.send(exchange, stream)
            head = await self.read_while_alive(exchange, carrier, stream.read_head)
            result = decode_result(head.headers)
            head = ResponseHead(head.status, strip_carry_fields(head.headers))
            if not is_answer_to(exchange, result, is_reused):
                raise UpstreamProtocolError("the carrier answered another request")
            step, upstream = Step.STREAM, result.upstream
            if is_stream_of_events(exchange, head, result):
                await self.relay_events(exchange, carrier, stream, head)
                attempt = UpstreamAttempt(result.outcome, Step.END, upstream)
            else:
                body = await self.read_body(exchange, carrier, stream, head)
                if isinstance(result.outcome, CarryOutcome):
                    return result
                attempt = self.handle_complete_response(exchange, head, result, body)
        except TimeoutError:
            stream.abort()
            attempt = UpstreamAttempt(
                AttemptResult.TIMED_OUT, step, upstream, "no answer from the carrier in time"
            )
        except (OSError, UpstreamProtocolError, InvalidInputError) as error:
            stream.abort()
            reason = f"the carrier broke off: {error!r}"[:100]
            attempt = UpstreamAttempt(AttemptResult.BROKEN, step, upstream, reason)
        except BaseException:
            stream.abort()
            raise
        if attempt.result in EXECUTED_RESULTS:
            self.suspects.note_answered(exchange.fingerprint)
        exchange.upstream = attempt.upstream or exchange.upstream
        return attempt._replace(carrier=carrier.daemon)

    def send(self, exchange: Exchange, stream: UpstreamStream) -> None:
        """Write the request with the fields for the carrier."""
        request = exchange.request
        has_body = bool(request.body) or request.method not in (b"GET", b"HEAD")
        headers = build_carried_headers(
            strip_carry_fields(request.headers),
            seconds_left=exchange.time_left - HOP_MARGIN_SECONDS,
            last_event_id=exchange.splitter.last_id if exchange.route.streamed else None,
            body_length=len(request.body) if has_body else None,
        )
        headers.append(encode_request(exchange, self.members.own.daemon))
        stream.send_request(request.method, request.target, headers, request.body)

    async def read_while_alive(
        self, exchange: Exchange, carrier: Member, read: Callable[[], Awaitable[T]]
    ) -> T:
        """Read from a carrier until the deadline.

        A request that may be repeated does not wait for a carrier that is no longer alive.

        :raises TimeoutError: if the deadline passes
        :raises ConnectionError: if the connection breaks or the carrier is no longer alive
        """
        while True:
            try:
                async with asyncio.timeout(max(min(exchange.time_left, ALIVE_CHECK_SECONDS), 0.0)):
                    return await read()
            except TimeoutError:
                if exchange.time_left <= 0:
                    raise
            is_alive = self.members.is_alive(carrier.daemon, self.now())
            if exchange.route.idempotent and not is_alive:
                raise ConnectionResetError("the carrier is no longer alive")

    async def read_body(
        self, exchange: Exchange, carrier: Member, stream: UpstreamStream, head: ResponseHead
    ) -> bytes:
        """Read the body of a carrier's answer.

        :raises UpstreamProtocolError: if it is cut short, too long or has no length
        """
        if not head.is_framed:
            raise UpstreamProtocolError("the carrier's answer has no length")
        parts: list[bytes] = []
        body_length = 0
        read = stream.read_body_chunk
        while (chunk := await self.read_while_alive(exchange, carrier, read)) is not None:
            body_length += len(chunk)
            if body_length > self.sender.most_bytes:
                raise UpstreamProtocolError("the carrier's answer is too long")
            parts.append(chunk)
        return b"".join(parts)

    def handle_complete_response(
        self, exchange: Exchange, head: ResponseHead, result: CarriedResult, body: bytes
    ) -> UpstreamAttempt:
        """Relay a complete response if it is a success, else return what the carrier says."""
        if result.outcome is AttemptResult.DELIVERED:
            if exchange.stream.response_started:
                raise UpstreamProtocolError(f"status {head.status} within a stream")
            exchange.first_byte_at = self.now()
            exchange.stream.send_response(head.status, build_response_headers(head.headers), body)
        if result.outcome not in RESULTS_WITH_HEAD:
            return UpstreamAttempt(result.outcome, result.step, result.upstream, result.reason)
        return UpstreamAttempt(
            result.outcome, result.step, result.upstream, result.reason, head, body
        )

    async def relay_events(
        self, exchange: Exchange, carrier: Member, stream: UpstreamStream, head: ResponseHead
    ) -> None:
        """Relay the events of a carried stream as they arrive; its carrier bounds the silence.

        :raises UpstreamProtocolError: if the stream is cut short or contains malformed events
        :raises CallerGoneError: if the caller has closed its connection
        """
        splitter = exchange.splitter
        splitter.discard_partial_event()
        read = stream.read_body_chunk
        while (chunk := await self.read_while_alive(exchange, carrier, read)) is not None:
            events = splitter.feed(chunk)
            if events:
                await self.sender.forward_events(exchange, head, events)
            if splitter.error:
                raise UpstreamProtocolError(splitter.error)
        if splitter.buffer or not head.is_framed:
            raise UpstreamProtocolError("the stream has no end")
        if not exchange.stream.response_started:
            await self.sender.forward_events(exchange, head, b"")
        exchange.stream.finish_response()

    def close(self) -> None:
        """Close all idle connections."""
        self.pools.close()


def is_answer_to(exchange: Exchange, result: CarriedResult, is_reused: bool) -> bool:
    """Return whether a carrier's answer belongs to a request.

    A carrier that has not read the request does not know its id. On a connection that served
    others before, such an answer may be to one of them.
    """
    if result.outcome is CarryOutcome.NOT_CARRIED and not result.request_id:
        return not is_reused
    return result.request_id == shorten_request_id(exchange.fields.request_id)


def is_stream_of_events(exchange: Exchange, head: ResponseHead, result: CarriedResult) -> bool:
    """Return whether a carrier relays the events of a stream."""
    is_success = result.outcome is AttemptResult.DELIVERED and 200 <= head.status < 300
    return exchange.route.streamed and is_success
