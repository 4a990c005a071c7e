"""Demand for upstream slots, from which a daemon derives how many it requests."""

__all__ = ["SlotDemand"]

from collections import deque

HEADROOM_SLOTS = 1
DEMAND_WINDOW_SECONDS = 3.0


class SlotDemand:
    """Slots that one version of a service has needed over the last ``DEMAND_WINDOW_SECONDS``.

    :ivar in_flight: requests that hold a slot
    :ivar waiting: requests that wait for a slot
    :ivar peaks: samples (time, demand) with falling demand, so that the first is the window's peak
    """

    def __init__(self) -> None:
        self.in_flight = 0
        self.waiting = 0
        self.peaks: deque[tuple[float, int]] = deque()

    def record(self, now: float) -> None:
        """Record the current demand, and drop earlier samples that do not exceed it."""
        current = self.in_flight + self.waiting
        while self.peaks and self.peaks[-1][1] <= current:
            self.peaks.pop()
        self.peaks.append((now, current))

    def compute_needed_slots(self, now: float) -> int:
        """Return the peak demand of the window plus headroom, or 0 if there was no demand."""
        self.record(now)
        while self.peaks and self.peaks[0][0] < now - DEMAND_WINDOW_SECONDS:
            self.peaks.popleft()
        peak = self.peaks[0][1] if self.peaks else 0
        return peak + HEADROOM_SLOTS if peak else 0
