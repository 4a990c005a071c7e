"""Parsing of callers' requests from HTTP headers and bodies."""

__all__ = [
    "ChatRequestFields",
    "InvalidRequestError",
    "parse_chat",
    "parse_priority",
    "parse_timeout",
]

import json
import math
from collections.abc import Mapping
from typing import NamedTuple

from tanagertrail.errors import InvalidInputError, Violation
from tanagertrail.model import Priority

DEFAULT_TIMEOUT_SECONDS = 60.0
MAX_TIMEOUT_SECONDS = 3600.0
MAX_IDEMPOTENCY_KEY_CHARACTERS = 200
MAX_MESSAGES = 1000

PRIORITIES_BY_HEADER: dict[str, Priority] = {
    "question": Priority.QUESTION,
    "report": Priority.REPORT,
    "tag": Priority.TAG,
}


class InvalidRequestError(InvalidInputError):
    """A caller's request has an invalid method, header, body or service."""


class ChatRequestFields(NamedTuple):
    """The fields of a chat request that decide how it is served.

    :ivar model: name of the service
    :ivar stream: whether the caller wants the answer as an event stream
    """

    model: str
    stream: bool


def build_error(field: str, rule: str, seen: object) -> InvalidRequestError:
    """Build the error for a field that breaks a rule.

    :param seen: the value of the field, shown shortened in the message
    """
    return InvalidRequestError([Violation(field, rule, repr(seen)[:80])])


def parse_chat(body: bytes) -> ChatRequestFields:
    """Validate the body of a chat request and return the fields that decide how it is served.

    :raises InvalidRequestError: if a field breaks its rule
    """
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise build_error("body", "must be JSON", str(error)) from error
    if not isinstance(document, dict):
        raise build_error("body", "must be an object", type(document).__name__)
    model = document.get("model")
    if not isinstance(model, str) or not model:
        raise build_error("model", "must be the name of a service", model)
    messages = document.get("messages")
    if not isinstance(messages, list) or not 1 <= len(messages) <= MAX_MESSAGES:
        raise build_error("messages", f"must be a list of 1 to {MAX_MESSAGES}", messages)
    for index, message in enumerate(messages):
        check_message(index, message)
    stream = document.get("stream", False)
    if not isinstance(stream, bool):
        raise build_error("stream", "must be true or false", stream)
    max_tokens = document.get("max_tokens", 1)
    if isinstance(max_tokens, bool) or not isinstance(max_tokens, int) or max_tokens < 1:
        raise build_error("max_tokens", "must be a positive number", max_tokens)
    return ChatRequestFields(model, stream)


def check_message(index: int, message: object) -> None:
    """Check the types of one message of a chat request.

    :raises InvalidRequestError: if the message breaks a rule
    """
    if not isinstance(message, dict):
        raise build_error(f"messages[{index}]", "must be an object", message)
    for field in ("role", "content"):
        if not isinstance(message.get(field), str):
            raise build_error(f"messages[{index}].{field}", "must be a string", message.get(field))


def parse_timeout(headers: Mapping[str, str]) -> float:
    """Return the request's timeout in seconds, from ``X-Timeout-Ms`` or the default.

    :raises InvalidRequestError: if the header is not a number or out of range
    """
    text = headers.get("X-Timeout-Ms")
    if text is None:
        return DEFAULT_TIMEOUT_SECONDS
    try:
        seconds = float(text) / 1000
    except ValueError as error:
        raise build_error("X-Timeout-Ms", "must be a number of milliseconds", text) from error
    if not math.isfinite(seconds) or not 0 < seconds <= MAX_TIMEOUT_SECONDS:
        rule = f"must be above 0 and at most {MAX_TIMEOUT_SECONDS * 1000:.0f}"
        raise build_error("X-Timeout-Ms", rule, text)
    return seconds


def parse_priority(headers: Mapping[str, str]) -> Priority:
    """Return the request's priority, from ``X-Priority`` or the default.

    :raises InvalidRequestError: if the priority is unknown
    """
    text = headers.get("X-Priority", "question")
    if text not in PRIORITIES_BY_HEADER:
        raise build_error("X-Priority", f"must be one of {', '.join(PRIORITIES_BY_HEADER)}", text)
    return PRIORITIES_BY_HEADER[text]


def parse_idempotency_key(headers: Mapping[str, str]) -> str:
    """Return the request's idempotency key, or an empty string if it has none.

    :raises InvalidRequestError: if the key is too long or not printable
    """
    key = headers.get("Idempotency-Key", "")
    if len(key) > MAX_IDEMPOTENCY_KEY_CHARACTERS or not key.isprintable():
        rule = f"must have at most {MAX_IDEMPOTENCY_KEY_CHARACTERS} printable characters"
        raise build_error("Idempotency-Key", rule, key)
    return key
