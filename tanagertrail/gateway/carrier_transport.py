"""The connection to a daemon that carries a request to an upstream."""

__all__ = ["CarrierTransport"]

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import AbstractAsyncContextManager, contextmanager
from typing import TypeVar

from tanagertrail.errors import InvalidInputError, UpstreamProtocolError
from tanagertrail.gateway.answer_relay import BaseAnswerTransport
from tanagertrail.gateway.carry_protocol import (
    CarriedResult,
    CarryOutcome,
    build_request_headers,
    decode_result,
    is_resend_claimed,
    shorten_request_id,
    strip_carry_fields,
)
from tanagertrail.gateway.exchange import AttemptResult, Exchange, UpstreamAttempt
from tanagertrail.gateway.members import Member, MemberTable
from tanagertrail.gateway.upstream_stream import ResponseHead, UpstreamStream
from tanagertrail.platform.header_fields import build_carried_headers

HOP_MARGIN_SECONDS = 0.02  # of the time left, for the way of the answer from the carrier
ALIVE_CHECK_SECONDS = 0.5
RESULTS_WITH_HEAD = frozenset({AttemptResult.FAILED, AttemptResult.REFUSED})

T = TypeVar("T")


class CarrierTransport(BaseAnswerTransport):
    """The connection to a carrier, whose answers bring the result of its attempt.

    A connection that breaks after the request was sent proves nothing about the request, and
    nothing about an upstream. The carrier bounds the silence of the upstream.

    :ivar result: what the carrier says of the attempt, None before its answer
    :ivar refusal: complete answer of a carrier that made no attempt, None for any other
    """

    timeout_result = AttemptResult.TIMED_OUT
    timeout_reason = "no answer from the carrier in time"

    def __init__(
        self, exchange: Exchange, stream: UpstreamStream, carrier: Member, members: MemberTable
    ) -> None:
        super().__init__(exchange, stream)
        self.carrier = carrier
        self.members = members
        self.is_reused = stream.sent_requests > 0
        self.is_suspended = False
        self.result: CarriedResult | None = None
        self.refusal: CarriedResult | None = None

    @property
    def upstream(self) -> str:
        """The upstream of the carrier's attempt, empty while unknown."""
        return self.result.upstream if self.result is not None else ""

    def send(self) -> None:
        """Write the request with the fields for the carrier."""
        exchange, request = self.exchange, self.exchange.request
        has_body = bool(request.body) or request.method not in (b"GET", b"HEAD")
        headers = build_carried_headers(
            strip_carry_fields(request.headers),
            seconds_left=exchange.time_left - HOP_MARGIN_SECONDS,
            last_event_id=exchange.splitter.last_id if exchange.route.streamed else None,
            body_length=len(request.body) if has_body else None,
        )
        headers += build_request_headers(exchange, self.members.own.daemon)
        self.stream.send_request(request.method, request.target, headers, request.body)

    def limit(self) -> AbstractAsyncContextManager[None]:
        """Limit the answer to the request's deadline."""
        return asyncio.timeout(max(self.exchange.time_left, 0.0))

    async def read_head(self) -> tuple[ResponseHead, bool]:
        """Read the head of the answer, and whether the carrier relays an upstream's success.

        :raises UpstreamProtocolError: if it belongs to another request or its body has no length
        """
        head = await self.read_while_alive(self.stream.read_head)
        try:
            result = decode_result(head.headers)
        except InvalidInputError as error:
            raise UpstreamProtocolError(str(error)) from error
        if not is_answer_to(self.exchange, result, self.is_reused):
            raise UpstreamProtocolError("the carrier answered another request")
        if not head.is_framed:
            raise UpstreamProtocolError("the carrier's answer has no length")
        self.result = result
        self.exchange.resend_claimed = is_resend_claimed(head.headers)
        head = ResponseHead(head.status, strip_carry_fields(head.headers))
        return head, result.outcome is AttemptResult.DELIVERED

    async def read_chunk(self) -> bytes | None:
        """Read the next chunk of the body, None at its end."""
        return await self.read_while_alive(self.stream.read_body_chunk)

    async def read_while_alive(self, read: Callable[[], Awaitable[T]]) -> T:
        """Read from the carrier.

        A request that may be repeated does not wait for a carrier that is no longer alive.

        :raises ConnectionError: if the connection breaks or the carrier is no longer alive
        """
        while True:
            try:
                async with asyncio.timeout(ALIVE_CHECK_SECONDS):
                    return await read()
            except TimeoutError:
                is_alive = self.members.is_alive(
                    self.carrier.daemon, asyncio.get_running_loop().time()
                )
            if self.exchange.route.idempotent and not is_alive:
                raise ConnectionResetError("the carrier is no longer alive")

    @contextmanager
    def suspended(self) -> Iterator[None]:
        """Mark that the attempt waits for its caller, also after an interruption."""
        self.is_suspended = True
        yield
        self.is_suspended = False

    def classify(self, head: ResponseHead, body: bytes) -> UpstreamAttempt:
        """Classify the answer of a carrier to an attempt without a success.

        :raises UpstreamProtocolError: if another answer may follow it
        """
        result = self.result
        if self.stream.has_unread_bytes:
            raise UpstreamProtocolError("bytes follow the carrier's answer")
        if isinstance(result.outcome, CarryOutcome):
            self.refusal = result
            return UpstreamAttempt(AttemptResult.NOT_SENT, result.step, "", result.reason)
        attempt = UpstreamAttempt(result.outcome, result.step, result.upstream, result.reason)
        if result.outcome in RESULTS_WITH_HEAD:
            return attempt._replace(head=head, body=body)
        return attempt

    def describe_break(self, error: Exception) -> str:
        """Describe why the answer broke off."""
        return f"the carrier broke off: {error!r}"[:100]


def is_answer_to(exchange: Exchange, result: CarriedResult, is_reused: bool) -> bool:
    """Return whether a carrier's answer belongs to a request.

    A carrier that has not read the request does not know its id. On a connection that served
    others before, such an answer may be to one of them.
    """
    if result.outcome is CarryOutcome.NOT_CARRIED and not result.request_id:
        return not is_reused
    return result.request_id == shorten_request_id(exchange.fields.request_id)
