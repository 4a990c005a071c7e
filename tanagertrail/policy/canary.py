"""Canary rollouts: how many requests a new version gets, and how the rollout ends."""

__all__ = [
    "CanaryBudget",
    "CanaryState",
    "TrialCounts",
    "VersionUse",
    "choose_version_use",
    "decide_canary_state",
    "decide_return_state",
    "is_regression",
]

import enum
from collections.abc import Container
from typing import NamedTuple, Protocol

DAEMON_SHARE_FACTOR = 0.6  # used part of the share that an unproven version may get
DAEMON_EXTRA_FACTOR = 0.4  # used part of the extra requests, which are divided over the daemons
MIN_BAD = 5
MIN_BAD_AT_END = 2  # fewer bad answers suffice at the end, when no more evidence can arrive
MIN_NEW_SAMPLES = 20  # shows 2 failures with 99 % probability if the version fails 30 % of requests
REGRESSION_FACTOR = 2.5
MIN_BASE_RATE = 0.05
DECISION_MARGIN_SECONDS = 1.5  # before the deadline, so that the report can be stored and applied


class CanaryState(enum.StrEnum):
    """State of a canary rollout, as written in its report."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class VersionUse(enum.Enum):
    """Whether an upstream may be chosen, given its version."""

    ALLOWED = "allowed"
    BUDGETED = "budgeted"
    FORBIDDEN = "forbidden"


class TrialCounts(NamedTuple):
    """Request counts of the new version and of all others since the rollout was ordered.

    A result is bad if it failed or was clearly slower than the old version on the same route.
    """

    new: int = 0
    new_bad: int = 0
    old: int = 0
    old_bad: int = 0

    def add(self, other: "TrialCounts") -> "TrialCounts":
        """Return the sum of both counts."""
        return TrialCounts(*(own + more for own, more in zip(self, other, strict=True)))


class CanaryBudget:
    """Limits the requests that one daemon sends to an unproven version.

    Requests are counted rather than chosen at random, so that even in a burst a bad version gets
    no more than a fixed part of the service's requests over all daemons.

    :ivar share: share of requests that the version may get
    :ivar extra: number of requests beyond the share, over all daemons
    :ivar requests: requests of the service at this daemon
    :ivar exposed: requests that this daemon sent to the version
    """

    def __init__(self, share: float, extra: float) -> None:
        self.share = share
        self.extra = extra
        self.requests = 0
        self.exposed = 0

    def allows_request(self, daemons: int) -> bool:
        """Return whether the next request may be sent to the version."""
        allowed = DAEMON_SHARE_FACTOR * self.share * self.requests
        allowed += DAEMON_EXTRA_FACTOR * self.extra / max(daemons, 1)
        return self.exposed + 1 <= allowed


class Order(Protocol):
    """The part of a rollout order on which the use of versions depends."""

    version: str
    ended: bool
    completed: bool
    is_return: bool


def choose_version_use(order: Order | None, version: str, withdrawn: Container[str]) -> VersionUse:
    """Return whether upstreams of a version may get requests.

    :param withdrawn: versions that were ordered before and not completed
    """
    if order is not None and version == order.version:
        if order.completed or order.is_return:
            return VersionUse.ALLOWED
        return VersionUse.FORBIDDEN if order.ended else VersionUse.BUDGETED
    is_replaced = order is not None and order.completed
    return VersionUse.FORBIDDEN if is_replaced or version in withdrawn else VersionUse.ALLOWED


def is_regression(counts: TrialCounts, min_bad: int = MIN_BAD) -> bool:
    """Return whether the new version is clearly worse than the old one."""
    if counts.new_bad < min_bad:
        return False
    base_rate = max(counts.old_bad / counts.old if counts.old else 0.0, MIN_BASE_RATE)
    return counts.new_bad / counts.new > REGRESSION_FACTOR * base_rate


def decide_canary_state(
    counts: TrialCounts, elapsed: float, seconds: float, serving_upstreams: int
) -> CanaryState:
    """Return the state that a running rollout should change to, or ``RUNNING``.

    A version with too few samples at the end is rolled back, because completing the rollout stops
    the upstreams of all other versions.

    :param elapsed: seconds since the rollout was ordered
    :param seconds: seconds within which the rollout has to end
    :param serving_upstreams: number of upstreams of the new version that take work
    """
    if is_regression(counts):
        return CanaryState.ROLLED_BACK
    if elapsed >= seconds - DECISION_MARGIN_SECONDS:
        bad = is_regression(counts, MIN_BAD_AT_END)
        has_enough_samples = counts.new >= MIN_NEW_SAMPLES and serving_upstreams > 0
        return CanaryState.COMPLETED if has_enough_samples and not bad else CanaryState.ROLLED_BACK
    return CanaryState.RUNNING


def decide_return_state(elapsed: float, seconds: float, drain: float) -> CanaryState:
    """Return the state of an order that returns to a version that is in service.

    Completing it stops the upstreams of the version that it withdraws, which get no new requests.

    :param elapsed: seconds since the order
    :param seconds: seconds within which it has to end
    :param drain: seconds in which the requests end that run at these upstreams
    """
    is_due = elapsed >= min(drain, seconds - DECISION_MARGIN_SECONDS)
    return CanaryState.COMPLETED if is_due else CanaryState.RUNNING
