"""A budget of repeats for each service, shared by all daemons."""

__all__ = ["WindowedRetryBudget"]

from collections import deque

SAFETY_FACTOR = 0.7  # part of the bound that is used, since daemons are not loaded evenly


class WindowedRetryBudget:
    """Repeats of one service that this daemon may send.

    Answers replicas that reject or break under a burst: repeats stay a share of the requests of
    a window, so that they cannot grow into a load of their own.

    :ivar ratio: repeats for each request
    :ivar extra: repeats of a window beyond the ratio, over all daemons
    :ivar window: seconds
    """

    def __init__(self, ratio: float, extra: float, window: float) -> None:
        self.ratio = ratio
        self.extra = extra
        self.window = window
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()

    def note_request(self, now: float) -> None:
        """Count a request."""
        self.requests.append(now)
        self.expire(now)

    def expire(self, now: float) -> None:
        """Forget what lies before the window."""
        for times in (self.requests, self.retries):
            while times and times[0] < now - self.window:
                times.popleft()

    def spend(self, daemons: int, now: float) -> bool:
        """Take one repeat if there is one.

        :param daemons: daemons that share the extra
        """
        self.expire(now)
        allowed = SAFETY_FACTOR * (self.ratio * len(self.requests) + self.extra / max(daemons, 1))
        if len(self.retries) + 1 > allowed:
            return False
        self.retries.append(now)
        return True
