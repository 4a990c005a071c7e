"""Moves of a service to a new version: how many requests it gets and when the move ends."""

__all__ = [
    "CanaryBudget",
    "CanaryState",
    "TrialCounts",
    "VersionUse",
    "decide_canary_state",
    "is_regression",
]

import enum
from typing import NamedTuple

EXPOSED_SHARE = 0.6  # of the share that an unproved version may get
EXPOSED_EXTRA = 0.4  # of the requests beyond that share, divided over the daemons
LEAST_BAD = 5
LEAST_BAD_AT_END = 2  # when no more evidence can come, fewer bad answers decide
LEAST_NEW = 20  # answers; of a version that fails three in ten these show two with 99 %
WORSE_FACTOR = 2.5
LEAST_BASE_RATE = 0.05
END_SECONDS = 1.5  # before the deadline, for the report to be stored and followed


class CanaryState(enum.StrEnum):
    """Where a move stands, in the words of the report."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class VersionUse(enum.Enum):
    """What an upstream's version means for the choice of an upstream."""

    ALLOWED = "allowed"
    BUDGETED = "budgeted"
    FORBIDDEN = "forbidden"


class TrialCounts(NamedTuple):
    """Results of the new version and of all others since the order.

    :ivar bad: failed or clearly slower than the old version on the same route
    """

    new: int = 0
    new_bad: int = 0
    old: int = 0
    old_bad: int = 0

    def add(self, other: "TrialCounts") -> "TrialCounts":
        """Return the sum with other counts."""
        return TrialCounts(*(own + more for own, more in zip(self, other, strict=True)))


class CanaryBudget:
    """Requests that one daemon may send to a version that is not proved.

    Answers a bad version under a burst: what it gets is counted, never drawn by chance, so that
    the sum over all daemons stays a fixed part of the service's requests.

    :ivar share: share of requests that the version may get
    :ivar extra: requests beyond the share, over all daemons
    """

    def __init__(self, share: float, extra: float) -> None:
        self.share = share
        self.extra = extra
        self.requests = 0
        self.exposed = 0

    def allows_request(self, daemons: int) -> bool:
        """Say whether the next request may go to the version."""
        allowed = EXPOSED_SHARE * self.share * self.requests
        allowed += EXPOSED_EXTRA * self.extra / max(daemons, 1)
        return self.exposed + 1 <= allowed


def is_regression(counts: TrialCounts, least_bad: int = LEAST_BAD) -> bool:
    """Say whether the new version is bad by what all daemons saw."""
    if counts.new_bad < least_bad:
        return False
    base = max(counts.old_bad / counts.old if counts.old else 0.0, LEAST_BASE_RATE)
    return counts.new_bad / counts.new > WORSE_FACTOR * base


def decide_canary_state(
    counts: TrialCounts, elapsed: float, seconds: float, standing: int
) -> CanaryState:
    """Return the state that a running move should have.

    A version of which too little was seen by the end is taken back: to complete stops all others.

    :param elapsed: seconds since the order
    :param seconds: seconds in which the move has to end
    :param standing: upstreams of the new version that take work
    """
    if is_regression(counts):
        return CanaryState.ROLLED_BACK
    if elapsed >= seconds - END_SECONDS:
        bad = is_regression(counts, LEAST_BAD_AT_END)
        proved = counts.new >= LEAST_NEW and standing > 0
        return CanaryState.COMPLETED if proved and not bad else CanaryState.ROLLED_BACK
    return CanaryState.RUNNING
