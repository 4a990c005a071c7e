"""What a customer uses at one daemon, and what that tells of a surge at all daemons.

Load pattern: a customer's traffic rises to several times its usual amount at hundreds of daemons at
once, a second or more before the reports of the others show it.
"""

__all__ = ["Bucket", "CustomerUsage"]

from collections import deque

RATE_WINDOW_SECONDS = 1.0  # sliding window over which a daemon measures its current rate

# Own requests of this time are compared with the usual rate: hubs' reports lack about as much.
UNREPORTED_SECONDS = 1.5

PRIOR_REQUESTS = 1.0  # weight of the usual rate in requests; 2 noticed surges to 8 times too late

# A request counts at most as this multiple of the mean one, since large ones indicate no surge.
LARGEST_REQUEST_FACTOR = 1.5


class RecentUnits:
    """The units of each request within the last seconds.

    :ivar seconds: how long a request is kept
    """

    def __init__(self, seconds: float = RATE_WINDOW_SECONDS) -> None:
        self.seconds = seconds
        self.samples: deque[tuple[float, float]] = deque()

    def add(self, units: float, now: float) -> None:
        """Add the units of one request."""
        self.samples.append((now, units))

    def list_units(self, now: float) -> list[float]:
        """Return the units of each recent request."""
        while self.samples and self.samples[0][0] < now - self.seconds:
            self.samples.popleft()
        return [units for _, units in self.samples]


class CustomerUsage:
    """What one customer requested from this daemon, and what was admitted.

    :ivar rounding: number in [0, 1) by which a request may exceed a share that is smaller than it;
        it differs between daemons, so that all together use the share on average
    :ivar total_units: units that were admitted since the start
    :ivar request_count: requests that were admitted since the start
    """

    def __init__(self, rounding: float = 0.0) -> None:
        self.rounding = rounding
        self.total_units = 0.0
        self.request_count = 0
        self.admitted = RecentUnits()
        self.unreported = RecentUnits(UNREPORTED_SECONDS)
        self.requested = RecentUnits()

    def add(self, units: float, now: float) -> None:
        """Count admitted units."""
        self.total_units += units
        self.request_count += 1
        self.admitted.add(units, now)
        self.unreported.add(units, now)

    def measure_rate(self, now: float) -> float:
        """Return the recently admitted units per second."""
        return sum(self.admitted.list_units(now)) / RATE_WINDOW_SECONDS

    @property
    def mean_units(self) -> float:
        """The mean units of an admitted request, 0 before the first."""
        return self.total_units / self.request_count if self.request_count else 0.0

    def infer_rate(self, usual: float, now: float) -> float:
        """Infer the units per second that this daemon admits from its latest requests.

        The mean of a gamma distribution whose prior is ``PRIOR_REQUESTS`` at the usual rate: with
        hundreds of daemons one request indicates little, several within a second a surge.

        :param usual: usual units per second of one daemon
        """
        if not self.request_count or usual <= 0:
            return 0.0
        mean = self.mean_units
        units = sum(
            min(item, LARGEST_REQUEST_FACTOR * mean) for item in self.unreported.list_units(now)
        )
        prior_seconds = PRIOR_REQUESTS * mean / usual
        return (PRIOR_REQUESTS * mean + units) / (prior_seconds + UNREPORTED_SECONDS)

    def measure_surge(self, now: float) -> float:
        """Return the units per second here that indicate a surge at the other daemons too.

        A single request indicates nothing: with hundreds of daemons most have at most one at a
        time. So the largest request is left out, and refused requests count like admitted ones.
        """
        requested = self.requested.list_units(now)
        others = (sum(requested) - max(requested, default=0.0)) / RATE_WINDOW_SECONDS
        return min(self.measure_rate(now), others)


class Bucket:
    """A token bucket with a sliding window of usage.

    :ivar level: available units; negative if reports showed more usage than was predicted
    :ivar used: (time, units) entries of all daemons in the window
    :ivar total_units: sum of the units in the window
    """

    def __init__(self, updated_at: float, level: float) -> None:
        self.level = level
        self.updated_at = updated_at
        self.used: deque[tuple[float, float]] = deque()
        self.total_units = 0.0

    def take(self, units: float, now: float) -> None:
        """Take units from the bucket and record them in the window."""
        self.level -= units
        self.record_usage(units, now)

    def record_usage(self, units: float, now: float) -> None:
        """Record units in the window without taking them from the bucket."""
        self.used.append((now, units))
        self.total_units += units

    def expire(self, oldest: float) -> None:
        """Drop the entries that are older than the window."""
        while self.used and self.used[0][0] < oldest:
            self.total_units -= self.used.popleft()[1]
