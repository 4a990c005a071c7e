"""Decoding of the rows in messages of other daemons, with the bounds on their values."""

__all__ = [
    "decode_liveness",
    "decode_state",
    "decode_update",
    "unpack_one",
    "unpack_state",
]

from typing import Any, TypeVar

from tanagertrail.daemons.peer_messages import (
    DaemonState,
    LivenessRecord,
    MirrorUpdate,
    unpack_rows,
)
from tanagertrail.daemons.row_checks import decode_row
from tanagertrail.decoding import MAX_COUNT, MAX_REVISION, MAX_UNIX_MILLISECONDS, is_integer
from tanagertrail.errors import FrameError
from tanagertrail.gateway.leadership import MAX_FENCING
from tanagertrail.gateway.members import Member, check_member

RENEWAL_FIELDS = 2  # number and age of the last renewal
Row = TypeVar("Row", bound=tuple)


def unpack_one(row_type: type[Row], packed: bytes) -> Row:
    """Unpack a single row.

    :raises FrameError: if it is malformed
    """
    rows = unpack_rows(packed)
    if len(rows) != 1:
        raise FrameError(f"one {row_type.__name__} must be given, not {len(rows)}")
    return decode_row(row_type, rows[0])


def unpack_state(packed: bytes) -> DaemonState:
    """Unpack a single state.

    :raises FrameError: if it is malformed
    """
    state = unpack_one(DaemonState, packed)
    check_state(state)
    return state


def decode_state(row: Any) -> DaemonState:
    """Decode the row of a state.

    :raises FrameError: if it is malformed
    """
    state = decode_row(DaemonState, row)
    check_state(state)
    return state


def check_state(state: DaemonState) -> None:
    """Check the values of a state that are used or passed on without further checks.

    :raises FrameError: if one is out of its bounds
    """
    check_member(Member.from_state(state))
    check_age(state.age_ms)
    if not is_integer(state.counter) or not is_integer(state.lease_fencing, 0, MAX_FENCING):
        raise FrameError(f"a number of {state.daemon} is out of range")
    if not all(is_integer(count, 0, MAX_COUNT) for _, count in state.in_flight):
        raise FrameError(f"a count of requests in flight of {state.daemon} is out of range")
    renewal_fields = len(state.lease_renewal)
    if renewal_fields not in (0, RENEWAL_FIELDS) or (state.lease_fencing and not renewal_fields):
        raise FrameError(f"the lease's renewal of {state.daemon} is malformed")


def check_age(age_ms: int) -> None:
    """Check the age of what another daemon tells.

    :raises FrameError: if it is negative or too high
    """
    if not is_integer(age_ms, 0, MAX_UNIX_MILLISECONDS):
        raise FrameError(f"an age of {age_ms} ms")


def decode_update(row: Any) -> MirrorUpdate:
    """Decode the row of a store update.

    :raises FrameError: if it is malformed
    """
    update = decode_row(MirrorUpdate, row)
    if not all(is_integer(item, 0, MAX_REVISION) for item in update[1:3]):
        raise FrameError(f"a revision of {update.kind} is out of range")
    return update


def decode_liveness(row: Any) -> LivenessRecord:
    """Decode the row of a liveness record.

    :raises FrameError: if it is malformed
    """
    record = decode_row(LivenessRecord, row)
    check_age(record.age_ms)
    return record
