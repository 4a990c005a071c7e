"""Checks that rows from other daemons have the declared types."""

__all__ = ["decode_growing_row", "decode_row", "drop_later_fields", "find_checker"]

import functools
import math
from collections.abc import Callable
from typing import Any, TypeVar, get_args, get_origin

from tanagertrail.errors import FrameError

TUPLE_TYPES = frozenset({tuple})
NUMBER_TYPES = frozenset({int, float})
PLAIN_TYPES = frozenset({int, float, str, bool, bytes})
MAX_LATER_FIELDS = 64  # that a newer release may have appended to a row or message
Checker = Callable[[Any], bool]
Row = TypeVar("Row", bound=tuple)


def is_number(value: Any) -> bool:
    """Return whether a value is a finite number, not a boolean."""
    return type(value) is int or (type(value) is float and math.isfinite(value))


@functools.cache
def find_checker(annotation: Any) -> Checker:
    """Return the function that checks values of a declared type.

    A named tuple stands for a row of its fields, and a plain ``tuple`` for any row. Integers need
    no bound of their own, since msgpack decodes only those that it can encode.
    """
    if annotation is float:
        return is_number
    if get_origin(annotation) is tuple:
        members = get_args(annotation)
        if len(members) == 2 and members[1] is Ellipsis:
            return build_array_checker(members[0])
        return build_row_checker(members)
    if hasattr(annotation, "_fields"):
        return build_row_checker(tuple(annotation.__annotations__.values()))
    return lambda value: type(value) is annotation


def build_array_checker(member: Any) -> Checker:
    """Return the function that checks arrays of any length with members of one type."""
    if get_origin(member) is tuple and PLAIN_TYPES.issuperset(get_args(member)):
        return build_table_checker(get_args(member))
    check = find_checker(member)
    return lambda value: type(value) is tuple and all(map(check, value))


def build_table_checker(members: tuple[type, ...]) -> Checker:
    """Return the function that checks arrays of rows of plain values, a column at a time.

    The hubs of a large fleet check thousands of such rows a second.
    """

    def check_table(rows: Any) -> bool:
        if type(rows) is not tuple or not TUPLE_TYPES.issuperset(map(type, rows)):
            return False
        if set(map(len, rows)) - {len(members)}:
            return False
        columns = zip(*rows, strict=True)
        return all(map(is_column, members, columns))

    return check_table


def is_column(member: type, values: tuple) -> bool:
    """Return whether all values of a column are of one plain type, and numbers are finite."""
    types = NUMBER_TYPES if member is float else {member}
    return types.issuperset(map(type, values)) and (
        member is not float or all(map(math.isfinite, values))
    )


def build_row_checker(members: tuple[Any, ...]) -> Checker:
    """Return the function that checks rows with members of declared types."""
    checkers = tuple(find_checker(member) for member in members)
    return lambda value: (
        type(value) is tuple
        and len(value) == len(checkers)
        and all(checker(item) for checker, item in zip(checkers, value, strict=True))
    )


@functools.cache
def list_checkers(row_type: type[tuple]) -> tuple[Checker, ...]:
    """Return the functions that check the fields of a named tuple."""
    return tuple(find_checker(item) for item in row_type.__annotations__.values())


def decode_row(row_type: type[Row], row: Any) -> Row:
    """Decode a row into a named tuple.

    :raises FrameError: if it has other fields, or one is of another type
    """
    if not isinstance(row, tuple):
        raise FrameError(f"a row of {row_type.__name__} must be an array")
    try:
        decoded = row_type(*row)
    except TypeError as error:
        raise FrameError(f"a row of {row_type.__name__} has {len(row)} fields") from error
    for name, checker, value in zip(
        row_type._fields, list_checkers(row_type), decoded, strict=True
    ):
        if not checker(value):
            raise FrameError(f"field {name} of {row_type.__name__} is malformed")
    return decoded


def drop_later_fields(row_type: type[tuple], row: Any) -> Any:
    """Drop the fields that a newer release has appended to a row.

    :raises FrameError: if they are too many
    """
    count = len(row_type._fields)
    if not isinstance(row, tuple) or len(row) <= count:
        return row
    if len(row) > count + MAX_LATER_FIELDS:
        raise FrameError(f"a row of {row_type.__name__} has {len(row)} fields")
    return row[:count]


def decode_growing_row(row_type: type[Row], row: Any) -> Row:
    """Decode a row to which newer releases append fields.

    :raises FrameError: if it lacks a field, or one is of another type
    """
    return decode_row(row_type, drop_later_fields(row_type, row))
