"""The time after which a refused caller is told to retry."""

__all__ = ["BASE_RETRY_AFTER_SECONDS", "RETRY_AFTER_JITTER", "estimate_retry_after"]

BASE_RETRY_AFTER_SECONDS = 0.3  # a slot is usually free again after the shortest requests
RETRY_AFTER_JITTER = 0.5  # of the wait, so that callers refused together retry apart


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
