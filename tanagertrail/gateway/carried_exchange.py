"""A request that another daemon sent to this one, and the answers to it."""

__all__ = ["CarriedStream", "build_cut_result", "build_exchange", "build_refused_result"]

from tanagertrail.gateway.admission import Refusal, compute_part_keys, fingerprint_request
from tanagertrail.gateway.carry_protocol import (
    CarriedRequest,
    CarriedResult,
    CarryOutcome,
    build_result_headers,
    shorten_request_id,
    strip_carry_fields,
)
from tanagertrail.gateway.channel import Channel
from tanagertrail.gateway.exchange import AttemptResult, Exchange
from tanagertrail.gateway.http1 import CallerRequest, CallerStream, Headers
from tanagertrail.gateway.upstream_stream import Representation
from tanagertrail.platform.header_fields import decode_caller_fields


class CarriedStream:
    """The connection to the origin of a carried request, whose answers say how it ended."""

    def __init__(self, stream: CallerStream) -> None:
        self.stream = stream
        self.exchange: Exchange | None = None

    @property
    def channel(self) -> Channel:
        """The connection."""
        return self.stream.channel

    @property
    def response_started(self) -> bool:
        """Whether the head of the response was sent."""
        return self.stream.response_started

    def mark_delivered(self, headers: Headers) -> Headers:
        """Return the fields of a response that the origin relays."""
        exchange = self.exchange
        request_id = shorten_request_id(exchange.fields.request_id)
        result = CarriedResult(request_id, AttemptResult.DELIVERED, upstream=exchange.upstream)
        return build_result_headers(headers, result)

    def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response of an upstream."""
        self.stream.send_response(status, self.mark_delivered(headers), body)

    def start_chunked_response(self, status: int, headers: Headers, first_chunk: bytes) -> None:
        """Send the head of a stream and its first events."""
        self.stream.start_chunked_response(status, self.mark_delivered(headers), first_chunk)

    def send_chunk(self, data: bytes) -> None:
        """Send further events."""
        self.stream.send_chunk(data)

    def finish_response(self) -> None:
        """End a stream."""
        self.stream.finish_response()


def build_exchange(
    request: CallerRequest,
    stream: CallerStream,
    carried: CarriedRequest,
    begun: Representation | None,
) -> Exchange:
    """Return a carried request in progress, with the attempts that were made before.

    :param begun: representation of the stream that it continues, None if unknown
    """
    headers = strip_carry_fields(request.headers)
    request = request._replace(headers=headers)
    fields = decode_caller_fields(headers)
    customer = carried.build_customer()
    carried_stream = CarriedStream(stream)
    exchange = Exchange(
        request,
        carried_stream,
        fields,
        carried.build_route(),
        customer,
        fingerprint_request(request, customer),
        compute_part_keys(fields),
    )
    carried_stream.exchange = exchange
    exchange.origin = carried.origin
    exchange.service = carried.service
    exchange.continues = carried.continues
    exchange.begun = begun
    exchange.attempts = carried.build_attempts()
    return exchange


def build_cut_result(request_id: str) -> CarriedResult:
    """Return the answer of a carrier that reaches no upstream."""
    reason = "the carrier is cut off from all upstreams too"
    return CarriedResult(request_id, CarryOutcome.CUT_OFF, reason=reason)


def build_refused_result(
    exchange: Exchange, outcome: CarryOutcome, refusal: Refusal
) -> CarriedResult:
    """Return the answer to a request that no upstream may get."""
    return CarriedResult(
        shorten_request_id(exchange.fields.request_id),
        outcome,
        reason=refusal.reason,
        retry_after=refusal.retry_after,
    )
