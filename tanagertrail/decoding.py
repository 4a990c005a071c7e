"""Bounds on what is taken from the store, other daemons and settings, and checks of them."""

__all__ = [
    "MAX_COUNT",
    "MAX_DEPTH",
    "MAX_INTEGER",
    "MAX_NAME_LENGTH",
    "MAX_PORT",
    "MAX_REVISION",
    "MAX_SECONDS",
    "MAX_TEXT_LENGTH",
    "MAX_UNIX_MILLISECONDS",
    "Unreadable",
    "find_violation",
    "is_address",
    "is_encodable",
    "is_endpoint",
    "is_integer",
    "is_name",
    "is_port",
    "load_json",
    "load_leniently",
]

import functools
import ipaddress
import json
import math
import re
from collections.abc import Iterator
from typing import Any, NamedTuple

from tanagertrail.errors import DecodeError

MAX_DEPTH = 32  # nested arrays and objects
MAX_DOCUMENT_DEPTH = 100  # of a whole document, which may hold several objects
MAX_TEXT_LENGTH = 65_536  # characters
MAX_NAME_LENGTH = 253  # characters
MAX_INTEGER = 2**64 - 1  # largest that msgpack encodes
MAX_COUNT = 1_000_000  # requests, tokens or connections of one upstream
MAX_PORT = 65_535
MAX_REVISION = 10**18  # with the era of the store
MAX_SECONDS = 366 * 86_400.0  # of a duration
MAX_UNIX_MILLISECONDS = 10**14  # of a time of day
MAX_CACHED_ENDPOINTS = 4096
MAX_REASON_LENGTH = 120  # characters
# A string without its end takes the rest, so that the search stays linear.
TOKEN = re.compile(rb'"(?:[^"\\]++|\\.)*+"?|[\[\]{},]', re.DOTALL)
STRING = re.compile(rb'"(?:[^"\\]++|\\.)*+"?', re.DOTALL)
OPENING = ord("[")
BRACKET_KINDS = bytes.maketrans(b"{}", b"[]")
OTHER_BYTES = bytes(set(range(256)) - set(b"[]{}"))
KEY = re.compile(rb'\s*("(?:[^"\\]++|\\.)*+")\s*:', re.DOTALL)
NUMERIC_HOST = re.compile(r"[0-9.]+")
PORT = re.compile(r"[0-9]{1,5}")


def is_name(text: str) -> bool:
    """Return whether a text can be a name, also in a header field or a path."""
    return 0 < len(text) <= MAX_NAME_LENGTH and text.isprintable() and text == text.strip()


def is_address(text: str) -> bool:
    """Return whether a text is the IPv4 address and port of one host."""
    host, _, port = text.rpartition(":")
    return is_port(port) and is_numeric_host(host)


@functools.lru_cache(MAX_CACHED_ENDPOINTS)
def is_endpoint(text: str) -> bool:
    """Return whether a text is the address or name of one host, and a port."""
    host, _, port = text.rpartition(":")
    if not (is_port(port) and is_name(host)):
        return False
    return is_numeric_host(host) if NUMERIC_HOST.fullmatch(host) else " " not in host


def is_port(text: str) -> bool:
    """Return whether a text is the number of a port that can be connected to."""
    return PORT.fullmatch(text) is not None and 0 < int(text) <= MAX_PORT


def is_numeric_host(text: str) -> bool:
    """Return whether a text is the IPv4 address of one host."""
    try:
        host = ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return not (host.is_unspecified or host.is_multicast or host.is_reserved)


def is_integer(value: Any, lowest: int = 0, highest: int = MAX_INTEGER) -> bool:
    """Return whether a value is an integer, not a boolean, between two bounds."""
    return type(value) is int and lowest <= value <= highest


def find_violation(value: Any) -> str | None:
    """Find a bound that a decoded document exceeds, None if there is none.

    Each level of nesting is searched after the one above, since recursion may exceed its limit.
    """
    level = [value]
    for _ in range(MAX_DEPTH + 1):
        nested: list[Any] = []
        for item in level:
            kind = type(item)
            if kind is str and len(item) <= MAX_TEXT_LENGTH and item.isascii():
                continue
            if kind is dict:
                nested.extend(item)
                nested.extend(item.values())
            elif kind is list or kind is tuple:
                nested.extend(item)
            elif violation := find_scalar_violation(item):
                return violation
        if not nested:
            return None
        level = nested
    return f"nested deeper than {MAX_DEPTH}"


def find_scalar_violation(value: Any) -> str | None:
    """Find a bound that a text, a number or another plain value exceeds, None if there is none."""
    if isinstance(value, str):
        if len(value) > MAX_TEXT_LENGTH:
            return f"a text of {len(value)} characters"
        return None if is_encodable(value) else "a text with half a surrogate pair"
    if isinstance(value, int):
        return None if -MAX_INTEGER <= value <= MAX_INTEGER else "a number out of range"
    if isinstance(value, float):
        return None if math.isfinite(value) else f"the number {value}"
    if isinstance(value, Unreadable):
        return value.reason
    return None if value is None or isinstance(value, bytes) else f"a {type(value).__name__}"


def is_encodable(text: str) -> bool:
    """Return whether a text can be encoded in UTF-8."""
    if text.isascii():
        return True
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


class Unreadable:
    """A part of a document that cannot be decoded.

    :ivar reason: why not
    """

    def __init__(self, reason: str) -> None:
        self.reason = reason


def load_json(data: bytes) -> Any:
    """Decode a JSON document.

    The depth is checked before, since a decoder at the limit of recursion can keep finalizers that
    the garbage collector calls from running.

    :raises DecodeError: if it is malformed, not in UTF-8, nested too deep or has too long a number
    """
    if is_nested_beyond(data, MAX_DOCUMENT_DEPTH):
        raise DecodeError(f"nested deeper than {MAX_DOCUMENT_DEPTH}")
    try:
        return json.loads(data.decode())
    except (ValueError, RecursionError) as error:
        raise DecodeError(f"{type(error).__name__}: {error}"[:MAX_REASON_LENGTH]) from error


def is_nested_beyond(data: bytes, depth: int) -> bool:
    """Return whether arrays and objects of a JSON document are nested deeper than a limit."""
    if data.count(b"[") + data.count(b"{") <= depth:
        return False
    brackets = STRING.sub(b"", data).translate(BRACKET_KINDS, OTHER_BYTES)
    level = 0
    for bracket in brackets:
        level += 1 if bracket == OPENING else -1
        if level > depth:
            return True
    return False


def load_leniently(data: bytes, levels: int) -> Any:
    """Decode a JSON document in which some members cannot be decoded.

    Such a member becomes :class:`Unreadable`, and all others are decoded.

    :param levels: nested arrays and objects whose members are told apart
    """
    try:
        return load_json(data)
    except DecodeError as error:
        reason = str(error)
    try:
        if levels and data.lstrip()[:1] == b"[":
            return [load_leniently(part, levels - 1) for part in iter_parts(data)]
        if levels and data.lstrip()[:1] == b"{":
            members = (split_member(part) for part in iter_parts(data))
            return {member.key: load_leniently(member.value, levels - 1) for member in members}
    except DecodeError:
        pass
    return Unreadable(reason)


def iter_parts(data: bytes) -> Iterator[bytes]:
    """Yield the encoded members of a JSON array or object, whatever is nested in them.

    :raises DecodeError: if it has no end
    """
    depth = start = 0
    for match in TOKEN.finditer(data):
        token = match[0]
        if token in (b"[", b"{"):
            depth += 1
            if depth == 1:
                start = match.end()
        elif token in (b"]", b"}"):
            depth -= 1
        if depth == 0 or (depth == 1 and token == b","):
            part = data[start : match.start()]
            start = match.end()
            if part.strip():
                yield part
        if depth == 0:
            return
    raise DecodeError("an array or object without its end")


class Member(NamedTuple):
    """A key of a JSON object and its encoded value."""

    key: str
    value: bytes


def split_member(part: bytes) -> Member:
    """Split a member of a JSON object into its key and its value.

    :raises DecodeError: if it has no key
    """
    match = KEY.match(part)
    if match is None:
        raise DecodeError("a member without a key")
    return Member(load_json(match[1]), part[match.end() :])
