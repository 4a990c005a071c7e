"""Admission of requests by a daemon that stops: only those that end before it does.

The load pattern: callers go on using their connections, and upstreams turn slower within the stop.
"""

__all__ = [
    "Basis",
    "RequestOutlook",
    "StopDecision",
    "StopSchedule",
    "decide",
]

import enum
from typing import NamedTuple

from tanagertrail.policy.durations import LengthEstimate

STOP_MARGIN_SECONDS = 0.6  # of the grace period, left for closing
MAX_MARGIN_SHARE = 1 / 6  # of a short grace period; requests that came early may be cut in it
MAX_EXIT_SECONDS = 0.1  # of the margin, left for the process to end
CLOSING_SECONDS = 0.1  # between the expected end of an answer and the cut
EARLY_SECONDS = 2.8  # of the 3 s in which callers learn of a stop, less the signal's delay
MIN_SAMPLES = 20
MIN_EARLY_SAMPLES = 3
LENGTH_MARGIN = 1.25  # on the longest length, since the load may grow
RELAY_SECONDS = 0.05


class StopSchedule(NamedTuple):
    """The times of a planned stop.

    :ivar started_at: event-loop time in seconds at which the daemon was told to stop
    :ivar grace: seconds from then until the process is ended from outside
    """

    started_at: float
    grace: float

    @property
    def margin(self) -> float:
        """Seconds of the grace period that are left for closing."""
        return min(STOP_MARGIN_SECONDS, MAX_MARGIN_SHARE * self.grace)

    @property
    def cuts_at(self) -> float:
        """Event-loop time in seconds at which requests in progress are cut."""
        return self.started_at + self.grace - self.margin

    @property
    def lingers_for(self) -> float:
        """Seconds after the cut in which callers may read the last responses and close."""
        return self.margin - min(MAX_EXIT_SECONDS, self.margin / 2)

    @property
    def answers_end_at(self) -> float:
        """Event-loop time in seconds by which an accepted request has to end."""
        return self.cuts_at - CLOSING_SECONDS


class Basis(enum.StrEnum):
    """Evidence for the expected length of a request.

    ``LATE`` stands for a request that came late and has a deadline after the cut.
    """

    DEADLINE = "deadline"
    LENGTHS = "lengths"
    LONGEST = "longest length"
    FEW_LENGTHS = "few lengths"
    UNKNOWN = "unknown"
    LATE = "late"


class RequestOutlook(NamedTuple):
    """Known bounds on the time that a request will take.

    :ivar time_left: seconds until its deadline or its route's timeout, whichever is sooner
    :ivar estimate: what requests of its kind have lasted, None if that is unknown
    :ivar arrived_at: event-loop time in seconds at which it arrived
    """

    time_left: float
    estimate: LengthEstimate | None
    arrived_at: float


class StopDecision(NamedTuple):
    """Decision of a stopping daemon on an attempt at a request.

    :ivar seconds: longest time that the attempt is expected to take
    """

    accepted: bool
    basis: Basis
    seconds: float


def decide(schedule: StopSchedule, outlook: RequestOutlook, now: float) -> StopDecision:
    """Accept a request only if it ends before the stop cuts it.

    A caller who is refused at once loses nothing and goes to another daemon, one who is cut loses
    the answer. What others of its kind have lasted is enough only for a request that came early,
    when callers do not know of the stop. Lengths fail as a forecast where upstreams turn slower,
    so a late one needs a deadline.

    :param now: event-loop time in seconds
    """
    left = schedule.answers_end_at - now
    basis, expected = predict_length(schedule, outlook, now)
    if outlook.time_left <= min(expected, left):
        basis, expected = Basis.DEADLINE, outlook.time_left
    return StopDecision(expected <= left, basis, min(expected, outlook.time_left))


def predict_length(
    schedule: StopSchedule, outlook: RequestOutlook, now: float
) -> tuple[Basis, float]:
    """Return the longest time in seconds that a request is expected to take, and why."""
    estimate = outlook.estimate
    latest_early = schedule.started_at + EARLY_SECONDS
    if outlook.arrived_at > latest_early:
        return Basis.LATE, float("inf")
    is_early = now <= latest_early
    if estimate is None or estimate.samples < (MIN_EARLY_SAMPLES if is_early else MIN_SAMPLES):
        return Basis.UNKNOWN, float("inf")
    if estimate.samples < MIN_SAMPLES:
        return Basis.FEW_LENGTHS, LENGTH_MARGIN * estimate.longest + RELAY_SECONDS
    if is_early:
        return Basis.LENGTHS, estimate.seconds + RELAY_SECONDS
    return Basis.LONGEST, LENGTH_MARGIN * estimate.longest + RELAY_SECONDS
