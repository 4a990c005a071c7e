"""What upstreams state of themselves, and for how long a statement holds."""

__all__ = [
    "MAX_WAIT_SECONDS",
    "LeavingStatement",
    "WaitStatement",
    "bound_wait",
    "merge_leaving",
    "merge_wait",
]

from typing import NamedTuple

MAX_WAIT_SECONDS = 120.0  # longer ones would keep an upstream out of use by mistake


class LeavingStatement(NamedTuple):
    """An upstream's statement that it leaves, which holds for all daemons until it ends.

    :ivar born: start time of the upstream's incarnation, as in its registration
    :ivar heard_at: boot time in seconds at which the first daemon heard it
    """

    born: float
    heard_at: float

    def holds_for(self, born: float) -> bool:
        """Return whether it holds for an incarnation; an older listing may name an earlier one."""
        return born <= self.born


class WaitStatement(NamedTuple):
    """An upstream's statement that it wants no request from this daemon for some time.

    :ivar born: start time of the upstream's incarnation, as in its registration
    :ivar until: boot time in seconds at which it ends
    """

    born: float
    until: float

    def count_seconds_left(self, born: float, now: float) -> float:
        """Return the seconds for which it still holds for an incarnation."""
        return max(self.until - now, 0.0) if born <= self.born else 0.0


def bound_wait(seconds: float) -> float:
    """Return the seconds for which a stated wait is kept."""
    return min(seconds, MAX_WAIT_SECONDS)


def merge_leaving(known: LeavingStatement | None, new: LeavingStatement) -> LeavingStatement:
    """Return the statement in force: that of the latest incarnation, as it was first heard."""
    if known is None or new.born > known.born:
        return new
    if new.born < known.born:
        return known
    return min(known, new, key=lambda statement: statement.heard_at)


def merge_wait(known: WaitStatement | None, new: WaitStatement) -> WaitStatement:
    """Return the statement in force: that of the latest incarnation which ends last."""
    return new if known is None else max(known, new)
