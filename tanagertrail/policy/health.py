"""Circuit breakers for upstreams that cannot be reached."""

__all__ = ["CircuitBreaker"]

from dataclasses import dataclass

BACKOFF_SECONDS = 8.0


@dataclass
class CircuitBreaker:
    """Withholds new work from an upstream after it could not be reached.

    A load report closes the breaker. Without one, requests are let through again after
    ``BACKOFF_SECONDS``.

    :ivar open_until: event-loop time in seconds until which the upstream gets no work
    """

    open_until: float = 0.0

    def note_failure(self, now: float) -> None:
        """Open the breaker."""
        self.open_until = now + BACKOFF_SECONDS

    def note_success(self) -> None:
        """Close the breaker."""
        self.open_until = 0.0

    def is_open(self, now: float) -> bool:
        """Return whether the upstream currently gets no work."""
        return now < self.open_until
