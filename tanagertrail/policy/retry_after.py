"""The time after which a refused caller is told to retry."""

__all__ = [
    "BASE_RETRY_AFTER_SECONDS",
    "MOVE_RETRY_AFTER_SECONDS",
    "RETRY_AFTER_JITTER",
    "ReturnSchedule",
    "estimate_retry_after",
    "plan_move",
]

BASE_RETRY_AFTER_SECONDS = 0.3  # a slot is usually free again after the shortest requests
MOVE_RETRY_AFTER_SECONDS = 0.1  # to look up another daemon, which has slots of its own
RETRY_AFTER_JITTER = 0.5  # of the wait, so that callers refused together retry apart
MAX_RETURN_SECONDS = 5.0  # beyond it, callers give up rather than return


def estimate_retry_after(
    boot_seconds: float | None, unavailable_seconds: float, jitter: float
) -> float:
    """Return the seconds after which a slot is likely to be free.

    If a service loses all its upstreams at once, none is available until a new one has started.
    Callers that retry before are refused again, and callers that retry together are a burst for
    the first upstream that has started.

    :param boot_seconds: start time of an upstream if the service has none, None if it only has
        no free slot
    :param unavailable_seconds: seconds since the service last had an upstream
    :param jitter: number in [0, 1) that differs between callers
    """
    wait = (
        BASE_RETRY_AFTER_SECONDS
        if boot_seconds is None
        else max(boot_seconds - unavailable_seconds, BASE_RETRY_AFTER_SECONDS)
    )
    return wait * (1.0 + RETRY_AFTER_JITTER * jitter)


def plan_move(jitter: float) -> float:
    """Choose the seconds after which a caller may ask another daemon.

    :param jitter: number in [0, 1) that differs between callers
    """
    return MOVE_RETRY_AFTER_SECONDS * (1.0 + RETRY_AFTER_JITTER * jitter)


class ReturnSchedule:
    """The order in which callers that a rate limit refused may return.

    While upstreams accept a fixed rate, callers that all returned after the same time would be
    refused again. Each is told to return when the capacity of those told before has come back.

    :ivar next_at: time in seconds up to which returning callers use the rate
    """

    def __init__(self) -> None:
        self.next_at = 0.0

    def plan_return(self, rate: float, now: float, jitter: float) -> float:
        """Return the seconds after which the next refused caller may return.

        :param rate: requests per second that this daemon's callers may send
        :param jitter: number in [0, 1) that differs between callers
        """
        return max(self.take_turn(rate, now, jitter), BASE_RETRY_AFTER_SECONDS)

    def plan_return_after(self, wait: float, rate: float, now: float, jitter: float) -> float:
        """Return the seconds after which the next caller may return if none is served for a while.

        :param wait: seconds for which no caller is served
        :param rate: requests per second that this daemon's callers may send afterwards
        :param jitter: number in [0, 1) that differs between callers
        """
        seconds = wait + self.take_turn(rate, now + wait, jitter)
        return max(seconds, BASE_RETRY_AFTER_SECONDS)

    def take_turn(self, rate: float, now: float, jitter: float) -> float:
        """Take the next place in the order and return the seconds until it."""
        interval = min(1.0 / rate, MAX_RETURN_SECONDS) if rate > 0 else MAX_RETURN_SECONDS
        self.next_at = max(self.next_at, now) + interval
        latest = now + MAX_RETURN_SECONDS * (1.0 + RETRY_AFTER_JITTER * jitter)
        self.next_at = min(self.next_at, latest)
        return self.next_at - now
