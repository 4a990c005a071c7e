"""A budget of repeats for each service, shared by all daemons."""

__all__ = ["WindowedRetryBudget"]

from collections import deque

SAFETY = 0.7  # part of the bound that is used, since daemons are not loaded evenly


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
        self.repeats: deque[float] = deque()

    def note_request(self, now: float) -> None:
        """Count a request."""
        self.requests.append(now)
        self.expire(now)

    def expire(self, now: float) -> None:
        """Forget what lies before the window."""
        for times in (self.requests, self.repeats):
            while times and times[0] < now - self.window:
                times.popleft()

    def spend(self, members: int, now: float) -> bool:
        """Take one repeat if there is one.

        :param members: daemons that share the extra
        """
        self.expire(now)
        allowed = SAFETY * (self.ratio * len(self.requests) + self.extra / max(members, 1))
        if len(self.repeats) + 1 > allowed:
            return False
        self.repeats.append(now)
        return True
