"""Clocks that the event loop's clock does not replace."""

__all__ = ["BootClock", "WallClock", "read_boot_time", "read_wall_time"]

import time
from collections.abc import Callable

BootClock = Callable[[], float]
WallClock = Callable[[], float]


def read_boot_time() -> float:
    """Return seconds since the start of the machine, time spent suspended included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_wall_time() -> float:
    """Return the time of day in seconds since 1970."""
    return time.time()
