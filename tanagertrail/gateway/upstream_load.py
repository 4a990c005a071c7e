"""The load that an upstream states in its answers, and what it says some time later."""

__all__ = ["StatedLoad", "estimate_load"]

import math
from typing import NamedTuple

from tanagertrail.platform.header_fields import UpstreamLoad

# Requests at an upstream change many times a second; the reports of other daemons, which replace a
# statement of this age, are 0.8 s old on average.
LOAD_SECONDS = 1.0
USUAL_PERCENT = 100  # stated time of work on a machine that is not slow
SLOWDOWN_SECONDS = 0.6  # for which a machine is slow at a time, on average
MAX_SLOWDOWN_AGE = 2.0  # in seconds, after which nothing stated holds any more


class StatedLoad(NamedTuple):
    """The newest statement of an upstream's load.

    :ivar elsewhere: requests there, running or waiting, that are not this daemon's
    :ivar at: event-loop time in seconds at which it was heard
    """

    stated: UpstreamLoad
    elsewhere: int
    at: float


def estimate_load(
    load: StatedLoad | None, own: int, elsewhere: int, now: float
) -> tuple[float | None, float]:
    """Estimate the requests at an upstream and how many times as long as usual its work takes.

    The first is None without a fresh statement. The requests of others pass from the statement to
    what other daemons report as it gets older.

    :param own: requests of this daemon there now
    :param elsewhere: requests of other daemons as they reported them
    """
    if load is None or (age := now - load.at) >= MAX_SLOWDOWN_AGE:
        return None, 1.0
    running = None
    if age < LOAD_SECONDS:
        share = 1.0 - age / LOAD_SECONDS
        running = own + share * load.elsewhere + (1.0 - share) * elsewhere
    percent = load.stated.slowdown
    if percent is None or percent == USUAL_PERCENT:
        return running, 1.0
    return running, 1.0 + (percent / USUAL_PERCENT - 1.0) * math.exp(-age / SLOWDOWN_SECONDS)
