"""Clocks that the event loop's clock does not replace."""

__all__ = ["BootClock", "SteadyWallClock", "WallClock", "read_boot_time", "read_wall_time"]

import time
from collections.abc import Callable

BootClock = Callable[[], float]
WallClock = Callable[[], float]
JUMP_THRESHOLD_SECONDS = 0.25  # more than the time of day drifts between two looks at it
JUMP_HOLD_SECONDS = 30.0  # after which a jump of the time of day is taken as its correction


def read_boot_time() -> float:
    """Return seconds since the start of the machine, time spent suspended included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_wall_time() -> float:
    """Return the time of day in seconds since 1970."""
    return time.time()


class SteadyWallClock:
    """The time of day without jumps that are taken back.

    Windows that customers are billed by are those of the true time of day; on an instance whose
    clock jumps by seconds, requests would count in the wrong ones.
    """

    def __init__(self, wall_time: WallClock, boot_time: BootClock) -> None:
        self.wall_time = wall_time
        self.boot_time = boot_time
        self.offset = wall_time() - boot_time()
        self.jumped_at: float | None = None

    def read(self) -> float:
        """Return the time of day in seconds since 1970."""
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
