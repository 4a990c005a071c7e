"""Clocks for which the event loop's clock is no substitute."""

__all__ = ["BootClock", "SteadyWallClock", "WallClock", "read_boot_time", "read_wall_time"]

import time
from collections.abc import Callable

BootClock = Callable[[], float]
WallClock = Callable[[], float]
JUMP_THRESHOLD_SECONDS = 0.25  # more than the wall clock drifts between two readings
JUMP_HOLD_SECONDS = 30.0  # after which a jump of the wall clock is accepted as a correction


def read_boot_time() -> float:
    """Return the seconds since the machine started, including time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_wall_time() -> float:
    """Return the Unix time in seconds."""
    return time.time()


class SteadyWallClock:
    """A wall clock that ignores temporary jumps.

    Customers are billed by windows of the wall clock. On an instance whose clock jumps by seconds,
    requests would be counted in the wrong window.

    :ivar offset: Unix time minus boot time in seconds, as of the last plausible reading
    :ivar jumped_at: boot time in seconds at which the current jump was first seen, None if none
    """

    def __init__(self, wall_time: WallClock, boot_time: BootClock) -> None:
        self.wall_time = wall_time
        self.boot_time = boot_time
        self.offset = wall_time() - boot_time()
        self.jumped_at: float | None = None

    def read(self) -> float:
        """Return the Unix time in seconds, ignoring a recent jump of the wall clock."""
        now = self.boot_time()
        observed_offset = self.wall_time() - now
        if abs(observed_offset - self.offset) < JUMP_THRESHOLD_SECONDS:
            self.offset = observed_offset
            self.jumped_at = None
        elif self.jumped_at is None:
            self.jumped_at = now
        elif now - self.jumped_at >= JUMP_HOLD_SECONDS:
            self.offset = observed_offset
            self.jumped_at = None
        return now + self.offset
