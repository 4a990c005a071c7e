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

CONNECTION_FIELDS = frozenset(
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
GATEWAY_FIELDS = frozenset(
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


def parse_whole(value: str) -> int | None:
    """Return a whole number that is not negative, None for anything else."""
    return int(value) if value.isascii() and value.isdigit() else None


def decode_caller_fields(headers: Headers) -> CallerFields:
    """Decode what the gateway needs of a caller's header; broken values count as unsaid."""
    table = {name: decode_text(value) for name, value in headers}
    timeout = parse_whole(table.get(DEADLINE_MS, ""))
    return CallerFields(
        table.get(REQUEST_ID, ""),
        table.get(API_KEY),
        None if timeout is None else timeout / 1000,
        decode_prompt(table),
        table.get(LAST_EVENT_ID),
    )


def decode_prompt(table: dict[bytes, str]) -> PromptShape | None:
    """Decode what a header says of a prompt, None if it counts no tokens."""
    counts = [parse_whole(part.strip()) for part in table.get(TOKEN_COUNT, "").split(",")]
    if len(counts) != 2 or None in counts:
        return None
    parts = []
    for entry in table.get(PROMPT_PREFIX, "").split(","):
        name, _, tokens = entry.strip().rpartition(":")
        if name and tokens.isdigit():
            parts.append(PromptPart(name, int(tokens)))
    hint = parse_whole(table.get(LENGTH_HINT, ""))
    return PromptShape(table.get(MODEL, ""), counts[0], counts[1], hint, tuple(parts))


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
    named = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
    dropped = CONNECTION_FIELDS | GATEWAY_FIELDS | named
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
    table = {name: decode_text(value) for name, value in headers}
    cold = parse_whole(table.get(COLD_MS, "").partition(".")[0])
    return UpstreamFields(
        table.get(REQUEST_ID, ""),
        NOT_RUN in table,
        SERVER_STAMP in table,
        decode_load(table.get(SERVER_LOAD, "")),
        decode_keep_alive(table.get(b"keep-alive", "")),
        "close" in table.get(b"connection", "").lower(),
        None if cold is None else cold / 1000,
    )


def decode_load(value: str) -> UpstreamLoad | None:
    """Decode the running, waiting and possible requests of an upstream."""
    numbers = [parse_whole(part.strip()) for part in value.split(",")]
    if len(numbers) != 3 or None in numbers:
        return None
    return UpstreamLoad(*numbers)


def decode_keep_alive(value: str) -> float | None:
    """Decode the time-out of a Keep-Alive field in seconds."""
    for part in value.split(","):
        name, _, number = part.strip().partition("=")
        if name.lower() == "timeout" and number.strip().isdigit():
            return float(number)
    return None


def build_response_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return an upstream's header as it goes to the caller, without connection fields."""
    named = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
    dropped = CONNECTION_FIELDS | named | {NOT_RUN}
    return [(name, value) for name, value in headers if name not in dropped]
