"""Bounds on what is taken from the store, other daemons and settings, and checks of them."""

__all__ = [
    "MAX_COUNT",
    "MAX_NAME_LENGTH",
    "MAX_PORT",
    "MAX_SECONDS",
    "MAX_UNIX_MILLISECONDS",
    "is_address",
    "is_name",
]

import ipaddress
import re

MAX_NAME_LENGTH = 253  # characters
MAX_COUNT = 1_000_000  # requests, tokens or connections of one upstream
MAX_PORT = 65_535
MAX_SECONDS = 366 * 86_400.0  # of a duration
MAX_UNIX_MILLISECONDS = 10**14  # of a time of day
ADDRESS = re.compile(r"([0-9.]{7,15}):([0-9]{1,5})", re.ASCII)


def is_name(text: str) -> bool:
    """Return whether a text can be a name, also in a header field or a path."""
    return 0 < len(text) <= MAX_NAME_LENGTH and text.isprintable() and text == text.strip()


def is_address(text: str) -> bool:
    """Return whether a text is the IPv4 address and port of one host."""
    match = ADDRESS.fullmatch(text)
    if match is None or not 0 < int(match[2]) <= MAX_PORT:
        return False
    try:
        host = ipaddress.IPv4Address(match[1])
    except ValueError:
        return False
    return not (host.is_unspecified or host.is_multicast or host.is_reserved)
