"""Header fields of requests that one daemon carries to an upstream for another."""

__all__ = [
    "CARRY_VERSION",
    "CarriedRequest",
    "CarriedResult",
    "CarryOutcome",
    "build_request_headers",
    "build_result_headers",
    "decode_begun",
    "decode_request",
    "decode_result",
    "is_resend_claimed",
    "mark_resend",
    "shorten_request_id",
    "strip_carry_fields",
]

import enum
from typing import Annotated, Literal, NamedTuple

from pydantic import Field, TypeAdapter, ValidationError

from tanagertrail.errors import InvalidInputError, Violation
from tanagertrail.gateway.exchange import AttemptResult, Exchange, UpstreamAttempt
from tanagertrail.gateway.http1 import Headers
from tanagertrail.gateway.model import Customer, Route, RouteKind
from tanagertrail.gateway.upstream_stream import Representation
from tanagertrail.outcomes import Step

CARRY_VERSION = 1
REQUEST_FIELD = b"carry-request"
RESULT_FIELD = b"carry-result"
BEGUN_FIELD = b"carry-begun"
RESEND_FIELD = b"carry-resend"
CARRY_FIELDS = frozenset({REQUEST_FIELD, RESULT_FIELD, BEGUN_FIELD, RESEND_FIELD})
MAX_FIELD_BYTES = 8192
MAX_NAME_LENGTH = 512
MAX_REASON_LENGTH = 200
MAX_EARLIER_ATTEMPTS = 16
MAX_SECONDS = 86_400.0

Name = Annotated[str, Field(max_length=MAX_NAME_LENGTH)]
Seconds = Annotated[float, Field(ge=0, le=MAX_SECONDS, allow_inf_nan=False)]
Number = Annotated[int, Field(ge=0, le=1000)]


class CarryOutcome(enum.StrEnum):
    """Answers of a carrier that made no attempt at an upstream, so that the request did not run.

    After ``NOT_CARRIED`` another carrier may take the request, and after ``CUT_OFF``, which tells
    that this one reaches no upstream either. After ``NO_SHARE`` another one may have a part left of
    a rate that is divided over the daemons. ``DECLINED`` holds for all of them.
    """

    NOT_CARRIED = "not carried"
    CUT_OFF = "cut off"
    NO_SHARE = "no share"
    DECLINED = "declined"


class EarlierAttempt(NamedTuple):
    """An attempt that was made for the request before."""

    upstream: Name
    result: AttemptResult


class CarriedRequest(NamedTuple):
    """What the origin of a carried request decided about it.

    :ivar origin: daemon whose caller sent the request
    :ivar customer: name of the customer, None if the request needs no key
    :ivar priority: priority of the request, 0 first
    :ivar attempts: largest number of upstreams that may receive the request
    :ivar continues: whether events of the stream have reached the caller
    :ivar earlier: attempts made so far, oldest first
    """

    version: Literal[1]
    origin: Name
    service: Name
    customer: Name | None
    priority: Number
    route: Name
    kind: RouteKind
    timeout: Seconds
    latency_objective: Seconds
    attempts: Number
    sticky: bool
    resumable: bool
    event_gap_objective: Seconds
    continues: bool
    earlier: Annotated[tuple[EarlierAttempt, ...], Field(max_length=MAX_EARLIER_ATTEMPTS)]

    def build_route(self) -> Route:
        """Return the route as the origin knows it."""
        return Route(
            self.route,
            "",
            "",
            self.kind,
            self.timeout,
            self.latency_objective,
            self.priority,
            (),
            self.attempts,
            self.customer is None,
            self.sticky,
            self.resumable,
            self.event_gap_objective,
        )

    def build_customer(self) -> Customer | None:
        """Return the customer, whose quota the origin has charged."""
        if self.customer is None:
            return None
        return Customer(self.customer, (), None, 0.0, 0.0, False, 0)

    def build_attempts(self) -> list[UpstreamAttempt]:
        """Return the attempts made so far."""
        return [UpstreamAttempt(item.result, Step.DISPATCH, item.upstream) for item in self.earlier]


class CarriedResult(NamedTuple):
    """How a carried request ended, or of a stream, what delivers it.

    :ivar request_id: id of the request that this answers, empty if it was not read
    :ivar outcome: result of the attempt, or why there was none
    :ivar step: step at which the attempt ended
    :ivar upstream: upstream of the attempt, empty if there was none
    :ivar retry_after: seconds after which the caller may retry, None if not stated
    """

    request_id: Name
    outcome: CarryOutcome | AttemptResult
    step: Step = Step.DISPATCH
    upstream: Name = ""
    reason: Annotated[str, Field(max_length=MAX_REASON_LENGTH)] = ""
    retry_after: Seconds | None = None


REQUEST_ADAPTER = TypeAdapter(CarriedRequest)
RESULT_ADAPTER = TypeAdapter(CarriedResult)
BEGUN_ADAPTER = TypeAdapter(Representation)


def build_request_headers(exchange: Exchange, origin: str) -> Headers:
    """Build the fields that describe a request to its carrier.

    A carrier of an earlier release drops the second one, since it is an option of the connection.
    """
    fields = [(REQUEST_FIELD, encode_request(exchange, origin))]
    if exchange.begun is not None:
        value = BEGUN_ADAPTER.dump_json(exchange.begun, ensure_ascii=True)
        fields += [(BEGUN_FIELD, value), (b"connection", BEGUN_FIELD)]
    return fields


def encode_request(exchange: Exchange, origin: str) -> bytes:
    """Encode what the origin decided about a request."""
    route = exchange.route
    earlier = [
        EarlierAttempt(attempt.upstream, attempt.result)
        for attempt in exchange.attempts[-MAX_EARLIER_ATTEMPTS:]
    ]
    carried = CarriedRequest(
        CARRY_VERSION,
        origin,
        exchange.service,
        exchange.customer.name if exchange.customer else None,
        exchange.priority,
        route.name,
        route.kind,
        route.timeout,
        route.latency_objective,
        route.attempts + exchange.free_refusals,
        route.sticky,
        route.resumable,
        route.event_gap_objective,
        exchange.stream.response_started,
        tuple(earlier),
    )
    return REQUEST_ADAPTER.dump_json(carried, ensure_ascii=True)


def decode_request(headers: Headers) -> CarriedRequest:
    """Decode the field that describes a request to its carrier.

    :raises InvalidInputError: if it is missing, malformed or of another version
    """
    return decode_field(headers, REQUEST_FIELD, REQUEST_ADAPTER)


def decode_begun(headers: Headers) -> Representation | None:
    """Decode the representation of the stream that a request continues, None if not stated.

    :raises InvalidInputError: if it is malformed
    """
    if all(name != BEGUN_FIELD for name, _ in headers):
        return None
    return decode_field(headers, BEGUN_FIELD, BEGUN_ADAPTER)


def build_result_headers(headers: Headers, result: CarriedResult) -> Headers:
    """Return the fields of a carrier's answer.

    :param headers: fields of the upstream's response
    """
    shortened = result._replace(reason=result.reason[:MAX_REASON_LENGTH])
    value = RESULT_ADAPTER.dump_json(shortened, ensure_ascii=True)
    return [*strip_carry_fields(headers), (RESULT_FIELD, value)]


def decode_result(headers: Headers) -> CarriedResult:
    """Decode how a carried request ended.

    :raises InvalidInputError: if the answer does not say it
    """
    return decode_field(headers, RESULT_FIELD, RESULT_ADAPTER)


def mark_resend(headers: Headers, claimed: bool) -> Headers:
    """Add to a carrier's answer whether its retry budget was charged for another attempt."""
    return [*headers, (RESEND_FIELD, b"1")] if claimed else headers


def is_resend_claimed(headers: Headers) -> bool:
    """Return whether a carrier's retry budget was charged for another attempt."""
    return any(name == RESEND_FIELD for name, _ in headers)


def decode_field(headers: Headers, name: bytes, adapter: TypeAdapter):
    """Decode the only field of a name.

    :raises InvalidInputError: if there is another number of them, or it is malformed
    """
    values = [value for field, value in headers if field == name]
    if len(values) != 1 or len(values[0]) > MAX_FIELD_BYTES:
        raise InvalidInputError([Violation(name.decode(), "must be one short field", "")])
    try:
        return adapter.validate_json(values[0])
    except ValidationError as error:
        raise InvalidInputError(
            [Violation(name.decode(), item["msg"], str(item["loc"])) for item in error.errors()]
        ) from error


def strip_carry_fields(headers: Headers) -> Headers:
    """Return the fields that are not those of carried requests."""
    return [(name, value) for name, value in headers if name not in CARRY_FIELDS]


def shorten_request_id(request_id: str) -> str:
    """Return the part of a request's id that a carrier's answer repeats."""
    return request_id[:MAX_NAME_LENGTH]
