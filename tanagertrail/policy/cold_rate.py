"""Rate limit for requests to a cold upstream, divided over the daemons."""

__all__ = ["ColdRateLimiter"]

SAFETY_FACTOR = 0.75  # daemons may briefly disagree on their number
MAX_SAVED_SECONDS = 0.5
MAX_IDLE_SECONDS = 1.0  # for which a daemon that sends nothing earns tokens


class ColdRateLimiter:
    """Token bucket for the requests that one daemon sends to one cold upstream.

    Many daemons see an upstream return at the same moment. If each rounded its share up to one
    request, the rate would be multiplied by the number of daemons. So the bucket starts with a
    fraction of a token that differs between daemons, which spreads their first requests. A daemon
    without callers earns nothing after a moment, or all would send what they saved at once when
    callers come.

    :ivar tokens: requests that may be sent now
    """

    def __init__(self, now: float, phase: float) -> None:
        """Start with a fraction of a token.

        :param phase: initial tokens in [0, 1)
        """
        self.tokens = phase
        self.updated_at = now

    def refill(self, rate: float, daemons: int, now: float) -> None:
        """Add the tokens earned since the last call.

        :param rate: requests per second that the upstream can take from all daemons
        """
        share = SAFETY_FACTOR * rate / max(daemons, 1)
        capacity = max(share * MAX_SAVED_SECONDS, 1.0)
        earning_seconds = min(now - self.updated_at, MAX_IDLE_SECONDS)
        self.tokens = min(self.tokens + share * earning_seconds, capacity)
        self.updated_at = now

    def allows_request(self, rate: float, daemons: int, now: float) -> bool:
        """Return whether a request may be sent now."""
        self.refill(rate, daemons, now)
        return self.tokens >= 1.0

    def spend(self) -> None:
        """Take a token for a request that is sent."""
        self.tokens -= 1.0
