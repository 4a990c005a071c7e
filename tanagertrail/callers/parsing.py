"""Parsing of callers' requests from HTTP headers and bodies."""

__all__ = ["HeaderError", "ParsedChat", "parse_chat", "parse_priority", "parse_timeout"]

import json
import math
from collections.abc import Mapping
from typing import NamedTuple

from tanagertrail.errors import InvalidInputError, Violation
from tanagertrail.model import Priority

DEFAULT_TIMEOUT_SECONDS = 60.0
MAX_TIMEOUT_SECONDS = 3600.0
MAX_KEY_CHARACTERS = 200
MAX_MESSAGES = 1000

PRIORITIES: dict[str, Priority] = {
    "question": Priority.QUESTION,
    "report": Priority.REPORT,
    "tag": Priority.TAG,
}


class HeaderError(InvalidInputError):
    """A header or body of a caller breaks a rule."""


class ParsedChat(NamedTuple):
    """What is read from a chat request."""

    model: str
    stream: bool


def refuse(field: str, rule: str, seen: object) -> HeaderError:
    """Build the error of one broken rule."""
    return HeaderError([Violation(field, rule, repr(seen)[:80])])


def parse_chat(body: bytes) -> ParsedChat:
    """Parse the fields of a chat request that the system needs.

    :raises HeaderError: if one breaks its rule
    """
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise refuse("body", "must be JSON", str(error)) from error
    if not isinstance(document, dict):
        raise refuse("body", "must be an object", type(document).__name__)
    model = document.get("model")
    if not isinstance(model, str) or not model:
        raise refuse("model", "must be the name of a service", model)
    messages = document.get("messages")
    if not isinstance(messages, list) or not 1 <= len(messages) <= MAX_MESSAGES:
        raise refuse("messages", f"must be a list of 1 to {MAX_MESSAGES}", messages)
    for index, message in enumerate(messages):
        check_message(index, message)
    stream = document.get("stream", False)
    if not isinstance(stream, bool):
        raise refuse("stream", "must be true or false", stream)
    tokens = document.get("max_tokens", 1)
    if isinstance(tokens, bool) or not isinstance(tokens, int) or tokens < 1:
        raise refuse("max_tokens", "must be a positive number", tokens)
    return ParsedChat(model, stream)


def check_message(index: int, message: object) -> None:
    """Check one message of a chat request.

    :raises HeaderError: if it breaks a rule
    """
    if not isinstance(message, dict):
        raise refuse(f"messages[{index}]", "must be an object", message)
    for field in ("role", "content"):
        if not isinstance(message.get(field), str):
            raise refuse(f"messages[{index}].{field}", "must be a string", message.get(field))


def parse_timeout(headers: Mapping[str, str]) -> float:
    """Parse the time within which the caller wants its answer, in seconds.

    :raises HeaderError: if it is no number of milliseconds in range
    """
    text = headers.get("X-Timeout-Ms")
    if text is None:
        return DEFAULT_TIMEOUT_SECONDS
    try:
        seconds = float(text) / 1000
    except ValueError as error:
        raise refuse("X-Timeout-Ms", "must be a number of milliseconds", text) from error
    if not math.isfinite(seconds) or not 0 < seconds <= MAX_TIMEOUT_SECONDS:
        rule = f"must be above 0 and at most {MAX_TIMEOUT_SECONDS * 1000:.0f}"
        raise refuse("X-Timeout-Ms", rule, text)
    return seconds


def parse_priority(headers: Mapping[str, str]) -> Priority:
    """Parse the priority.

    :raises HeaderError: if it is unknown
    """
    text = headers.get("X-Priority", "question")
    if text not in PRIORITIES:
        raise refuse("X-Priority", f"must be one of {', '.join(PRIORITIES)}", text)
    return PRIORITIES[text]


def parse_key(headers: Mapping[str, str]) -> str:
    """Parse the idempotency key, empty for none.

    :raises HeaderError: if it is too long or not printable
    """
    key = headers.get("Idempotency-Key", "")
    if len(key) > MAX_KEY_CHARACTERS or not key.isprintable():
        rule = f"must have at most {MAX_KEY_CHARACTERS} printable characters"
        raise refuse("Idempotency-Key", rule, key)
    return key
