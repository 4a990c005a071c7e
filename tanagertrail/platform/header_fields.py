"""Header fields between callers, the gateway and upstreams."""

__all__ = [
    "CallerFields",
    "UpstreamLoad",
    "build_response_headers",
    "build_upstream_headers",
    "decode_caller_fields",
    "decode_upstream_fields",
]

from collections.abc import Iterable
from typing import NamedTuple

from tanagertrail.gateway.model import PromptPart, PromptShape

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
# Set by the gateway alone: what a caller sends in these is dropped.
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
    """What a caller's header says.

    :ivar request_id: id of this attempt of the caller
    :ivar timeout: seconds for which the caller waits, None if unsaid
    :ivar last_event_id: id after which a stream goes on, None for its start
    """

    request_id: str
    api_key: str | None
    timeout: float | None
    prompt: PromptShape | None
    last_event_id: str | None


class UpstreamLoad(NamedTuple):
    """Load that an upstream tells of itself."""

    running: int
    waiting: int
    slots: int


class UpstreamFields(NamedTuple):
    """What the header of an upstream's answer says.

    :ivar request_id: id of the request that is answered, empty if unsaid
    :ivar not_run: whether the request has not run and will not
    :ivar signed: whether the answer has the upstream's signature
    :ivar keep_for: seconds for which the upstream keeps an idle connection, None if unsaid
    :ivar cold_for: seconds for which it stays cold, None if unsaid
    """

    request_id: str
    not_run: bool
    signed: bool
    load: UpstreamLoad | None
    keep_for: float | None
    closes_connection: bool
    cold_for: float | None


def decode_text(value: bytes) -> str:
    """Decode a header value."""
    return value.decode("latin-1").strip()


def parse_non_negative_int(value: str) -> int | None:
    """Return a whole number that is not negative, None for anything else."""
    return int(value) if value.isascii() and value.isdigit() else None


def decode_caller_fields(headers: Headers) -> CallerFields:
    """Decode what the gateway needs of a caller's header; broken values count as unsaid."""
    values = {name: decode_text(value) for name, value in headers}
    timeout = parse_non_negative_int(values.get(DEADLINE_MS, ""))
    return CallerFields(
        values.get(REQUEST_ID, ""),
        values.get(API_KEY),
        None if timeout is None else timeout / 1000,
        decode_prompt(values),
        values.get(LAST_EVENT_ID),
    )


def decode_prompt(values: dict[bytes, str]) -> PromptShape | None:
    """Decode what a header says of a prompt, None if it counts no tokens."""
    token_counts = [
        parse_non_negative_int(part.strip()) for part in values.get(TOKEN_COUNT, "").split(",")
    ]
    if len(token_counts) != 2 or None in token_counts:
        return None
    parts = []
    for entry in values.get(PROMPT_PREFIX, "").split(","):
        name, _, tokens = entry.strip().rpartition(":")
        if name and tokens.isdigit():
            parts.append(PromptPart(name, int(tokens)))
    length_hint = parse_non_negative_int(values.get(LENGTH_HINT, ""))
    return PromptShape(
        values.get(MODEL, ""), token_counts[0], token_counts[1], length_hint, tuple(parts)
    )


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
    """Return the header for an upstream.

    :param headers: the caller's header, its names in lower case
    :param seconds_left: seconds that are left for the request
    :param last_event_id: id after which a stream goes on
    :param body_length: bytes of the body, None for a request without one
    """
    connection_options = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
    dropped = HOP_BY_HOP_FIELDS | GATEWAY_SET_FIELDS | connection_options
    result = [(name, value) for name, value in headers if name not in dropped]
    result.append((EXPECTED_UPSTREAM, upstream.encode()))
    result.append((DEADLINE_MS, str(max(int(seconds_left * 1000), 1)).encode()))
    if customer is not None:
        result.append((CUSTOMER, customer.encode()))
    if priority is not None:
        result.append((PRIORITY, str(priority).encode()))
    if last_event_id is not None:
        result.append((LAST_EVENT_ID, last_event_id.encode()))
    if body_length is not None:
        result.append((b"content-length", str(body_length).encode()))
    return result


def decode_upstream_fields(headers: Headers) -> UpstreamFields:
    """Decode what the gateway needs of an answer's header."""
    values = {name: decode_text(value) for name, value in headers}
    cold = parse_non_negative_int(values.get(COLD_MS, "").partition(".")[0])
    return UpstreamFields(
        values.get(REQUEST_ID, ""),
        NOT_RUN in values,
        SERVER_STAMP in values,
        decode_load(values.get(SERVER_LOAD, "")),
        decode_keep_alive_timeout(values.get(b"keep-alive", "")),
        "close" in values.get(b"connection", "").lower(),
        None if cold is None else cold / 1000,
    )


def decode_load(value: str) -> UpstreamLoad | None:
    """Decode the running, waiting and possible requests of an upstream."""
    numbers = [parse_non_negative_int(part.strip()) for part in value.split(",")]
    if len(numbers) != 3 or None in numbers:
        return None
    return UpstreamLoad(*numbers)


def decode_keep_alive_timeout(value: str) -> float | None:
    """Decode the time-out of a Keep-Alive field in seconds."""
    for part in value.split(","):
        name, _, number = part.strip().partition("=")
        if name.lower() == "timeout" and number.strip().isdigit():
            return float(number)
    return None


def build_response_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return an upstream's header as it goes to the caller, without connection fields."""
    connection_options = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
    dropped = HOP_BY_HOP_FIELDS | connection_options | {NOT_RUN}
    return [(name, value) for name, value in headers if name not in dropped]
