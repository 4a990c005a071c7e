"""HTTP header fields between callers, the gateway and upstreams."""

__all__ = [
    "CallerFields",
    "NamedRate",
    "UpstreamFields",
    "UpstreamLoad",
    "build_carried_headers",
    "build_response_headers",
    "build_upstream_headers",
    "decode_caller_fields",
    "decode_upstream_fields",
]

import math
import re
from collections.abc import Iterable
from typing import NamedTuple

from tanagertrail.gateway.model import PromptPart, PromptShape
from tanagertrail.platform.statement_fields import StatedFields, decode_stated_fields

Headers = Iterable[tuple[bytes, bytes]]

REQUEST_ID = b"tanagertrail-request-id"
DEADLINE_MS = b"tanagertrail-deadline-ms"
API_KEY = b"api-key"
CUSTOMER = b"tanagertrail-tenant"
EXPECTED_UPSTREAM = b"tanagertrail-expect-instance"
PRIORITY = b"tanagertrail-request-priority"
MODEL = b"tanagertrail-model"
TOKEN_COUNT = b"tanagertrail-token-count"
LENGTH_HINT = b"tanagertrail-length-hint"
PROMPT_PREFIX = b"tanagertrail-prompt-prefix"
LAST_EVENT_ID = b"last-event-id"
NOT_RUN = b"tanagertrail-not-run"
SERVER_STAMP = b"tanagertrail-server-stamp"
SERVER_LOAD = b"tanagertrail-server-load"
UPSTREAM_ID = b"tanagertrail-instance-id"
COLD_MS = b"tanagertrail-cold-ms"
# The users' pages spell this field both ways.
RATE_LIMIT_FIELDS = (b"tanagertrail-server-limit", b"server-limit")
BRITTLE_FIELDS = (b"tanagertrail-server-brittle", b"server-brittle")

MAX_SHARED_PARTS = 32  # of one request, since callers choose how many they state
DECIMAL_NUMBER = re.compile(r"\d+(\.\d*)?|\.\d+", re.ASCII)
MAX_LOGGED_VALUE_LENGTH = 40
MAX_STATED_REQUESTS = 100_000  # an upstream that states more running or waiting is not believed
# Percent of the usual time: shorter or longer ones are no state of a machine that still answers.
MIN_SLOWDOWN, MAX_SLOWDOWN = 10, 2_000
MAX_NUMBER_DIGITS = 15  # larger numbers are no counts or milliseconds, and may not fit a float

# Fields that apply to one connection, or to the framing of the body, which the gateway does anew.
HOP_BY_HOP_FIELDS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
# Fields for all recipients, which are passed on even if a Connection field names them.
END_TO_END_FIELDS = frozenset(
    {b"host", REQUEST_ID, SERVER_STAMP, UPSTREAM_ID, MODEL, TOKEN_COUNT, PROMPT_PREFIX}
)
# Only the gateway may set these for an upstream; values from callers are dropped.
GATEWAY_SET_FIELDS = frozenset(
    {
        API_KEY,
        CUSTOMER,
        DEADLINE_MS,
        EXPECTED_UPSTREAM,
        PRIORITY,
        LAST_EVENT_ID,
        b"tanagertrail-expect-version",
        b"tanagertrail-hold",
        b"tanagertrail-pin-ms",
        b"tanagertrail-kv-backup",
        b"kv-from",
        b"kv-fetch",
        b"wait-ms",
    }
)


class CallerFields(NamedTuple):
    """Fields of a caller's request.

    :ivar request_id: id of this attempt of the caller, empty if not stated
    :ivar timeout: seconds for which the caller waits, None if not stated
    :ivar prompt: shape of the prompt, None if not stated
    :ivar model: name of the model that the caller asks for, empty if not stated
    :ivar shared_parts: ids of the prompt's parts that other requests may have too, in order
    :ivar last_event_id: id of the event after which to resume a stream, None to start it
    """

    request_id: str
    api_key: str | None
    timeout: float | None
    prompt: PromptShape | None
    last_event_id: str | None
    model: str = ""
    shared_parts: tuple[str, ...] = ()


class UpstreamLoad(NamedTuple):
    """Load that an upstream reports about itself, in requests.

    :ivar slots: largest number of requests that it runs at once
    :ivar slowdown: time that work takes there now, in percent of the usual; None if not stated
    """

    running: int
    waiting: int
    slots: int
    slowdown: int | None = None


class NamedRate(NamedTuple):
    """A request rate that an upstream names in its answer.

    :ivar rate: requests per second that it accepts from all daemons together, None if malformed
    :ivar field: name of the header field
    :ivar value: the field's value, shortened for the log
    """

    rate: float | None
    field: str
    value: str


class RejectionLimit(NamedTuple):
    """Rejections in a second that a brittle upstream says it survives.

    :ivar count: requests that it may turn away in a second, None if malformed
    :ivar value: the field's value, shortened for the log
    """

    count: int | None
    value: str


class UpstreamFields(NamedTuple):
    """Fields of an upstream's response.

    :ivar request_ids: ids of the requests that it responds to, more than one if it contradicts
        itself
    :ivar not_run: whether the request was not run and will not be
    :ivar signed: whether the response has the upstream's signature field
    :ivar load: load of the upstream, None if not stated
    :ivar keep_for: seconds for which the upstream keeps the connection open when idle, None if not
        stated
    :ivar closes_connection: whether the upstream closes the connection after the response
    :ivar cold_for: seconds for which the upstream stays cold, None if not stated
    :ivar rate_limit: request rate that the upstream names, None if it names none
    :ivar upstream: id of the upstream that responds, empty if not stated
    :ivar stated: what the upstream states that it wants
    :ivar rejection_limit: what a brittle upstream says it survives, None if it is not brittle
    :ivar refused_load: value of the load field if some of it is ignored, shortened for the log
    """

    request_ids: frozenset[str]
    not_run: bool
    signed: bool
    load: UpstreamLoad | None
    keep_for: float | None
    closes_connection: bool
    cold_for: float | None
    rate_limit: NamedRate | None = None
    upstream: str = ""
    stated: StatedFields = StatedFields()
    rejection_limit: RejectionLimit | None = None
    refused_load: str = ""


def decode_text(value: bytes) -> str:
    """Decode a field value."""
    return value.decode("latin-1").strip()


def parse_non_negative_int(value: str) -> int | None:
    """Parse a non-negative integer; return None for anything else and for too many digits."""
    if len(value) > MAX_NUMBER_DIGITS or not (value.isascii() and value.isdigit()):
        return None
    return int(value)


def decode_caller_fields(headers: Headers) -> CallerFields:
    """Decode the fields of a caller's request; malformed values count as not stated."""
    values = {name: decode_text(value) for name, value in headers}
    timeout = parse_non_negative_int(values.get(DEADLINE_MS, ""))
    return CallerFields(
        values.get(REQUEST_ID, ""),
        values.get(API_KEY),
        None if timeout is None else timeout / 1000,
        decode_prompt(values),
        values.get(LAST_EVENT_ID),
        values.get(MODEL, ""),
        decode_shared_parts(headers),
    )


def decode_shared_parts(headers: Headers) -> tuple[str, ...]:
    """Decode the ids of a prompt's parts but the last, which no other request has.

    Token counts don't matter, so that an id counts whatever its caller says of it.
    """
    lists = [decode_text(value) for name, value in headers if name == PROMPT_PREFIX]
    entries = [entry.strip() for entry in ",".join(lists).split(",")]
    ids = [entry.partition(":")[0].strip().lower() for entry in entries if entry]
    return tuple(dict.fromkeys(name for name in ids[:-1] if name))[:MAX_SHARED_PARTS]


def decode_prompt(values: dict[bytes, str]) -> PromptShape | None:
    """Decode the shape of a prompt, None without valid token counts."""
    token_counts = [
        parse_non_negative_int(part.strip()) for part in values.get(TOKEN_COUNT, "").split(",")
    ]
    if len(token_counts) != 2 or None in token_counts:
        return None
    parts = []
    for entry in values.get(PROMPT_PREFIX, "").split(","):
        name, _, count = entry.strip().rpartition(":")
        tokens = parse_non_negative_int(count)
        if name and tokens is not None:
            parts.append(PromptPart(name, tokens))
    length_hint = parse_non_negative_int(values.get(LENGTH_HINT, ""))
    return PromptShape(
        values.get(MODEL, ""), token_counts[0], token_counts[1], length_hint, tuple(parts)
    )


def list_connection_options(headers: Headers) -> set[bytes]:
    """List the fields that a ``Connection`` field restricts to its connection."""
    options = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
    return options - END_TO_END_FIELDS


def build_upstream_headers(
    headers: Headers,
    *,
    upstream: str,
    customer: str | None,
    seconds_left: float,
    priority: int | None,
    last_event_id: str | None,
    body_length: int | None,
) -> list[tuple[bytes, bytes]]:
    """Build the header fields of a request to an upstream.

    :param headers: fields of the caller's request, their names in lower case
    :param seconds_left: seconds until the deadline of the request
    :param last_event_id: id of the event after which to resume a stream
    :param body_length: length of the body in bytes, None for a request without one
    """
    result = build_carried_headers(
        headers, seconds_left=seconds_left, last_event_id=last_event_id, body_length=body_length
    )
    result.append((EXPECTED_UPSTREAM, upstream.encode()))
    if customer is not None:
        result.append((CUSTOMER, customer.encode()))
    if priority is not None:
        result.append((PRIORITY, str(priority).encode()))
    return result


def build_carried_headers(
    headers: Headers, *, seconds_left: float, last_event_id: str | None, body_length: int | None
) -> list[tuple[bytes, bytes]]:
    """Build the header fields of a request that another daemon carries to an upstream.

    :param headers: fields of the caller's request, their names in lower case
    :param seconds_left: seconds until the deadline of the request
    :param last_event_id: id of the event after which to resume a stream
    :param body_length: length of the body in bytes, None for a request without one
    """
    dropped = HOP_BY_HOP_FIELDS | GATEWAY_SET_FIELDS | list_connection_options(headers)
    result = [(name, value) for name, value in headers if name not in dropped]
    result.append((DEADLINE_MS, str(max(int(seconds_left * 1000), 1)).encode()))
    if last_event_id is not None:
        result.append((LAST_EVENT_ID, last_event_id.encode("latin-1")))
    if body_length is not None:
        result.append((b"content-length", str(body_length).encode()))
    return result


def decode_upstream_fields(headers: Headers) -> UpstreamFields:
    """Decode the fields of an upstream's response."""
    values = {name: decode_text(value) for name, value in headers}
    cold_ms = parse_non_negative_int(values.get(COLD_MS, "").partition(".")[0])
    load, refused_load = decode_load(values.get(SERVER_LOAD))
    return UpstreamFields(
        frozenset(decode_text(value) for name, value in headers if name == REQUEST_ID) - {""},
        NOT_RUN in values,
        SERVER_STAMP in values,
        load,
        decode_keep_alive_timeout(values.get(b"keep-alive", "")),
        "close" in values.get(b"connection", "").lower(),
        None if cold_ms is None else cold_ms / 1000,
        decode_rate_limit(headers),
        values.get(UPSTREAM_ID, ""),
        decode_stated_fields(headers),
        decode_rejection_limit(headers),
        refused_load,
    )


def decode_rejection_limit(headers: Headers) -> RejectionLimit | None:
    """Decode the rejections that a brittle upstream survives; several fields must agree."""
    stated = [decode_text(value) for name, value in headers if name in BRITTLE_FIELDS]
    if not stated:
        return None
    counts = {parse_non_negative_int(value) for value in stated}
    count = counts.pop() if len(counts) == 1 else None
    return RejectionLimit(count, ",".join(stated)[:MAX_LOGGED_VALUE_LENGTH])


def decode_rate_limit(headers: Headers) -> NamedRate | None:
    """Decode the request rate that an upstream names, None if it names none.

    Several fields must agree. A value that is no decimal number, or not finite, is malformed.
    """
    named = [(name, decode_text(value)) for name, value in headers if name in RATE_LIMIT_FIELDS]
    if not named:
        return None
    rates = {parse_decimal(value) for _, value in named}
    rate = rates.pop() if len(rates) == 1 else None
    values = ",".join(value for _, value in named)[:MAX_LOGGED_VALUE_LENGTH]
    return NamedRate(rate, named[0][0].decode(), values)


def parse_decimal(value: str) -> float | None:
    """Parse a finite, non-negative decimal number; return None for anything else."""
    if not DECIMAL_NUMBER.fullmatch(value):
        return None
    number = float(value)
    return number if math.isfinite(number) else None


def decode_load(value: str | None) -> tuple[UpstreamLoad | None, str]:
    """Decode ``running,waiting,slots[,slowdown]``, and return what is refused of it for the log.

    An odd slowdown is ignored alone; anything else that is odd makes the whole value meaningless.

    :param value: value of the field, None without one
    """
    if value is None:
        return None, ""
    shown = value[:MAX_LOGGED_VALUE_LENGTH] or "empty"
    counts, later = value.split(",")[:3], value.split(",")[3:]
    numbers = [parse_non_negative_int(part.strip()) for part in counts]
    if len(numbers) != 3 or len(later) > 1 or not all(is_load_count(item) for item in numbers):
        return None, shown
    if not numbers[2]:
        return None, shown
    if not later:
        return UpstreamLoad(*numbers), ""
    slowdown = parse_non_negative_int(later[0].strip())
    if slowdown is None or not MIN_SLOWDOWN <= slowdown <= MAX_SLOWDOWN:
        return UpstreamLoad(*numbers), shown
    return UpstreamLoad(*numbers, slowdown), ""


def is_load_count(number: int | None) -> bool:
    """Return whether a number may count the requests at an upstream."""
    return number is not None and number <= MAX_STATED_REQUESTS


def decode_keep_alive_timeout(value: str) -> float | None:
    """Decode the ``timeout`` parameter of a Keep-Alive field, in seconds."""
    for part in value.split(","):
        name, _, number = part.strip().partition("=")
        if name.lower() == "timeout":
            seconds = parse_non_negative_int(number.strip())
            return None if seconds is None else float(seconds)
    return None


def build_response_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Build the header fields of the response to a caller from those of an upstream's response.

    The upstream's signature passes through; hop-by-hop fields and the not-run mark are dropped.
    """
    dropped = HOP_BY_HOP_FIELDS | list_connection_options(headers) | {NOT_RUN}
    return [(name, value) for name, value in headers if name not in dropped]
