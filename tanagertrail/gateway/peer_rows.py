"""Coding of the rows in messages of other daemons, in the forms of their releases."""

__all__ = [
    "decode_liveness",
    "decode_state",
    "decode_update",
    "encode_liveness",
    "encode_state",
    "unpack_one",
    "unpack_state",
]

from typing import Any, TypeVar

from tanagertrail.daemons.peer_messages import (
    DaemonState,
    FingerprintLossRows,
    LivenessRecord,
    MirrorUpdate,
    unpack_rows,
)
from tanagertrail.daemons.releases import (
    FIRST_STATED_RELEASE,
    ReleaseForm,
    find_form_by_fields,
)
from tanagertrail.daemons.row_checks import decode_growing_row, find_checker
from tanagertrail.decoding import (
    MAX_COUNT,
    MAX_REVISION,
    MAX_UNIX_MILLISECONDS,
    is_integer,
    is_name,
)
from tanagertrail.errors import FrameError, ReleaseTooOldError
from tanagertrail.gateway.leadership import MAX_FENCING
from tanagertrail.gateway.losses import extend_losses, shorten_losses
from tanagertrail.gateway.members import Member, check_member

RENEWAL_FIELDS = 2  # number and age of the last renewal
LOSSES_PLACE = DaemonState._fields.index("upstream_losses")
Row = TypeVar("Row", bound=tuple)


def unpack_one(row_type: type[Row], packed: bytes) -> Row:
    """Unpack a single row.

    :raises FrameError: if it is malformed
    """
    return decode_growing_row(row_type, unpack_only_row(row_type, packed))


def unpack_only_row(row_type: type[tuple], packed: bytes) -> Any:
    """Unpack a single row without decoding it.

    :raises FrameError: if there is another number of rows
    """
    rows = unpack_rows(packed)
    if len(rows) != 1:
        raise FrameError(f"one {row_type.__name__} must be given, not {len(rows)}")
    return rows[0]


def unpack_state(packed: bytes) -> DaemonState:
    """Unpack a single state.

    :raises FrameError: if it is malformed
    """
    return decode_state(unpack_only_row(DaemonState, packed))


def decode_state(row: Any) -> DaemonState:
    """Decode the row of a state in the form of any release.

    :raises FrameError: if it is malformed
    :raises ReleaseTooOldError: if its form is older than the oldest known one
    """
    if not isinstance(row, tuple):
        raise FrameError("a row of DaemonState must be an array")
    form = find_form_by_fields(len(row))
    if form is None:
        daemon = row[0] if row and isinstance(row[0], str) and is_name(row[0]) else ""
        raise ReleaseTooOldError(daemon, len(row))
    if form.release < FIRST_STATED_RELEASE:
        row = row[: form.state_fields]
    if not form.describes_lost:
        row = replace_losses(row, extend_loss_rows(row[LOSSES_PLACE]))
    state = decode_growing_row(DaemonState, row)
    if form.release < FIRST_STATED_RELEASE:
        state = state._replace(release=form.release)
    check_state(state)
    return state


def encode_state(state: DaemonState, form: ReleaseForm) -> tuple:
    """Encode a state as the row that daemons of a release read."""
    row = tuple(state)[: form.state_fields]
    if form.describes_lost or not state.upstream_losses:
        return row
    return replace_losses(row, shorten_losses(state.upstream_losses))


def replace_losses(row: tuple, losses: tuple) -> tuple:
    """Replace the losses in the row of a state."""
    return (*row[:LOSSES_PLACE], losses, *row[LOSSES_PLACE + 1 :])


def extend_loss_rows(rows: Any) -> tuple:
    """Check and extend the losses in a state of a release that tells no parts of prompts.

    :raises FrameError: if they are malformed
    """
    if not find_checker(FingerprintLossRows)(rows):
        raise FrameError("field upstream_losses of DaemonState is malformed")
    return extend_losses(rows)


def encode_liveness(record: LivenessRecord, form: ReleaseForm) -> tuple:
    """Encode a liveness record as the row that daemons of a release read."""
    return tuple(record)[: form.liveness_fields]


def check_state(state: DaemonState) -> None:
    """Check the values of a state that are used or passed on without further checks.

    :raises FrameError: if one is out of its bounds
    """
    check_member(Member.from_state(state))
    check_age(state.age_ms)
    if not is_integer(state.counter) or not is_integer(state.lease_fencing, 0, MAX_FENCING):
        raise FrameError(f"a number of {state.daemon} is out of range")
    if not is_integer(state.release, 1, MAX_COUNT):
        raise FrameError(f"release {state.release} of {state.daemon} is out of range")
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
    update = decode_growing_row(MirrorUpdate, row)
    if not all(is_integer(item, 0, MAX_REVISION) for item in update[1:3]):
        raise FrameError(f"a revision of {update.kind} is out of range")
    return update


def decode_liveness(row: Any) -> tuple[LivenessRecord, int]:
    """Decode the row of a liveness record, and count the fields that it tells.

    :raises FrameError: if it is malformed
    """
    record = decode_growing_row(LivenessRecord, row)
    check_age(record.age_ms)
    if not is_integer(record.release, 1, MAX_COUNT):
        raise FrameError(f"release {record.release} of {record.daemon} is out of range")
    return record, len(row)
