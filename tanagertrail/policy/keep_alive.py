"""How long an idle connection of a caller is kept while the idle timeout changes."""

__all__ = ["MAX_STATED_SECONDS", "STATED_MARGIN_SECONDS", "KeepAlive"]

STATED_MARGIN_SECONDS = 1.0  # a request that was sent in time may still be under way
MAX_STATED_SECONDS = 86_400


class KeepAlive:
    """Idle time of one connection; all times are in seconds.

    A caller knows the timeout that it was told last, or the limit that was in force when its
    connection became idle. A shorter limit applies to it only from the next response on.

    :ivar stated: timeout that the caller was told last, None if it was told none
    :ivar idle_since: time at which the connection became idle
    :ivar longest: longest limit in force since then
    :ivar ended: whether the connection is to close as soon as it is idle
    """

    def __init__(self) -> None:
        self.stated: int | None = None
        self.idle_since = 0.0
        self.longest = 0.0
        self.ended = False

    def state_timeout(self, limit: float) -> int | None:
        """Choose the timeout to state in a response, None for a limit below a second."""
        seconds = int(min(MAX_STATED_SECONDS, max(0.0, limit)))
        self.stated = seconds or None
        return self.stated

    def begin_wait(self, limit: float, now: float) -> None:
        """Begin to wait for the next request."""
        self.idle_since = now
        self.longest = limit

    def compute_deadline(self, limit: float) -> float:
        """Compute the time at which the connection may be closed.

        :param limit: idle timeout in force
        """
        if self.ended:
            return self.idle_since
        self.longest = max(self.longest, limit)
        stated = 0.0 if self.stated is None else self.stated + STATED_MARGIN_SECONDS
        return self.idle_since + max(self.longest, stated)
