"""Circuit breakers of upstreams that cannot be reached."""

__all__ = ["CircuitBreaker"]

from dataclasses import dataclass

FIRST_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 8.0
BACKOFF_FACTOR = 2.0


@dataclass
class CircuitBreaker:
    """Keep new work from an upstream for some time after it could not be reached.

    :ivar open_until: event-loop time in seconds until which it gets no work
    """

    failures: int = 0
    open_until: float = 0.0

    def note_failure(self, now: float) -> None:
        """Open the breaker, longer with each failure in a row."""
        backoff = FIRST_BACKOFF_SECONDS * BACKOFF_FACTOR**self.failures
        self.failures = min(self.failures + 1, 10)
        self.open_until = now + min(backoff, MAX_BACKOFF_SECONDS)

    def note_success(self) -> None:
        """Close the breaker."""
        self.failures = 0
        self.open_until = 0.0

    def is_open(self, now: float) -> bool:
        """Say whether the upstream gets no work now."""
        return now < self.open_until
