"""Header fields in which an upstream states what it wants."""

__all__ = ["RefusedField", "StatedFields", "decode_stated_fields"]

import math
import re
from collections.abc import Iterable
from typing import NamedTuple

# The users' pages spell fields of this kind with and without the prefix.
LEAVING_FIELDS = (b"tanagertrail-server-leaving", b"server-leaving")
WAIT_FIELDS = (b"tanagertrail-retry-after", b"retry-after")
LEAVING_VALUES = {"1": True, "0": False}
DECIMAL_NUMBER = re.compile(r"\d+(\.\d*)?|\.\d+", re.ASCII)
MAX_LOGGED_VALUE_LENGTH = 40


class RefusedField(NamedTuple):
    """A field whose value is malformed, or which contradicts another one.

    :ivar value: the values, shortened for the log
    """

    field: str
    value: str


class StatedFields(NamedTuple):
    """Statements of an upstream in one response.

    :ivar leaving: whether it leaves
    :ivar wait: seconds for which it wants no request, None if not stated
    :ivar refused: fields that state nothing because they are malformed
    """

    leaving: bool = False
    wait: float | None = None
    refused: tuple[RefusedField, ...] = ()


def decode_stated_fields(headers: Iterable[tuple[bytes, bytes]]) -> StatedFields:
    """Decode what an upstream states; a malformed value is no statement."""
    pairs = list(headers)
    refused = []
    leaving = wait = None
    if values := collect_values(pairs, LEAVING_FIELDS):
        leaving = LEAVING_VALUES.get(values[0]) if len(set(values)) == 1 else None
        if leaving is None:
            refused.append(describe_refused(LEAVING_FIELDS, values))
    if values := collect_values(pairs, WAIT_FIELDS):
        wait = parse_seconds(values[0]) if len(set(values)) == 1 else None
        if wait is None:
            refused.append(describe_refused(WAIT_FIELDS, values))
    return StatedFields(bool(leaving), wait, tuple(refused))


def collect_values(headers: list[tuple[bytes, bytes]], names: tuple[bytes, ...]) -> list[str]:
    """Collect the values of a field under all its names."""
    return [value.decode("latin-1").strip() for name, value in headers if name in names]


def parse_seconds(value: str) -> float | None:
    """Parse a finite, non-negative decimal number; return None for anything else."""
    if not DECIMAL_NUMBER.fullmatch(value):
        return None
    seconds = float(value)
    return seconds if math.isfinite(seconds) else None


def describe_refused(names: tuple[bytes, ...], values: list[str]) -> RefusedField:
    """Describe a malformed field for the log."""
    return RefusedField(names[-1].decode(), ",".join(values)[:MAX_LOGGED_VALUE_LENGTH])
