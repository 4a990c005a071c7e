"""Each daemon's share of the rate that a cold upstream bears."""

__all__ = ["ColdRateLimiter"]

SAFETY_FACTOR = 0.75  # daemons disagree for moments on how many they are
MAX_SAVED_SECONDS = 0.5


class ColdRateLimiter:
    """Requests that one daemon may send to one cold upstream.

    Answers many daemons that see an upstream return at the same moment: a share below one
    request a second is spread by a first wait that differs between daemons, since rounding each
    share up would multiply the rate by the number of daemons.
    """

    def __init__(self, now: float, phase: float) -> None:
        """Start with a part of a request.

        :param phase: part of the first request that is saved already, in [0, 1)
        """
        self.tokens = phase
        self.updated_at = now

    def refill(self, rate: float, daemons: int, now: float) -> None:
        """Save what has become allowed since the last call.

        :param rate: requests per second that the upstream bears from all daemons
        """
        share = SAFETY_FACTOR * rate / max(daemons, 1)
        capacity = max(share * MAX_SAVED_SECONDS, 1.0)
        self.tokens = min(self.tokens + share * (now - self.updated_at), capacity)
        self.updated_at = now

    def allows_request(self, rate: float, daemons: int, now: float) -> bool:
        """Say whether a request may be sent now."""
        self.refill(rate, daemons, now)
        return self.tokens >= 1.0

    def spend(self) -> None:
        """Take a request that is sent."""
        self.tokens -= 1.0
