"""Circuit breakers of upstreams that cannot be reached."""

__all__ = ["CircuitBreaker"]

from dataclasses import dataclass

BACKOFF_SECONDS = 8.0


@dataclass
class CircuitBreaker:
    """Keep new work from an upstream after it could not be reached.

    A load report closes the breaker; without one a request may try after ``BACKOFF_SECONDS``.

    :ivar open_until: event-loop time in seconds until which it gets no work
    """

    open_until: float = 0.0

    def note_failure(self, now: float) -> None:
        """Open the breaker."""
        self.open_until = now + BACKOFF_SECONDS

    def note_success(self) -> None:
        """Close the breaker."""
        self.open_until = 0.0

    def is_open(self, now: float) -> bool:
        """Say whether the upstream gets no work now."""
        return now < self.open_until
