"""When a caller that was refused is told to come back."""

__all__ = ["BASE_RETRY_AFTER_SECONDS", "RETRY_AFTER_JITTER", "estimate_retry_after"]

BASE_RETRY_AFTER_SECONDS = 0.3  # a place is mostly free again after the shortest requests
RETRY_AFTER_JITTER = 0.5  # of the wait, by which callers that were refused together come back apart


def estimate_retry_after(
    boot_seconds: float | None, unavailable_seconds: float, jitter: float
) -> float:
    """Return the seconds after which there is likely to be a place.

    Answers a service that loses all its upstreams at once, with nothing to be had in their place
    for a boot: callers that come back at once are refused a second time, and together they are the
    burst that meets the first upstream that is back.

    :param boot_seconds: start time of an upstream if the service has none, None if it has
        some, which are only full
    :param unavailable_seconds: seconds since the service had one
    :param jitter: number in [0, 1) that differs between callers
    """
    wait = (
        BASE_RETRY_AFTER_SECONDS
        if boot_seconds is None
        else max(boot_seconds - unavailable_seconds, BASE_RETRY_AFTER_SECONDS)
    )
    return wait * (1.0 + RETRY_AFTER_JITTER * jitter)
