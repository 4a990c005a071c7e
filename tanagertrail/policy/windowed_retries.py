"""Retry budget of a service in a sliding window, shared by all daemons."""

__all__ = ["WindowedRetryBudget"]

from collections import deque

SAFETY_FACTOR = 0.7  # used part of the budget, since daemons are not loaded evenly


class WindowedRetryBudget:
    """Limits the retries that this daemon sends for one service.

    Upstreams may refuse or fail requests in a burst. Retries stay a share of the requests in the
    window, so that they do not add a significant load.

    :ivar ratio: retries per request
    :ivar extra: retries per window beyond the ratio, over all daemons
    :ivar window: length of the window in seconds
    :ivar requests: times of the requests in the window
    :ivar retries: times of the retries in the window
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
        """Drop the times that are older than the window."""
        for times in (self.requests, self.retries):
            while times and times[0] < now - self.window:
                times.popleft()

    def spend(self, daemons: int, now: float) -> bool:
        """Take a retry from the budget; return whether one was available.

        :param daemons: number of daemons that share the extra retries
        """
        self.expire(now)
        allowed = SAFETY_FACTOR * (self.ratio * len(self.requests) + self.extra / max(daemons, 1))
        if len(self.retries) + 1 > allowed:
            return False
        self.retries.append(now)
        return True
