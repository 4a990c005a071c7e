"""Demand for slots, by which a daemon asks for them."""

__all__ = ["SlotDemand"]

from collections import deque

HEADROOM_SLOTS = 1
DEMAND_WINDOW_SECONDS = 3.0


class SlotDemand:
    """Demand for slots of one service's version over the last seconds."""

    def __init__(self) -> None:
        self.in_flight = 0
        self.waiting = 0
        self.peaks: deque[tuple[float, int]] = deque()

    def record(self, now: float) -> None:
        """Note the demand of this moment."""
        current = self.in_flight + self.waiting
        while self.peaks and self.peaks[-1][1] <= current:
            self.peaks.pop()
        self.peaks.append((now, current))

    def compute_needed_slots(self, now: float) -> int:
        """Return the slots needed: the recent peak, and some headroom while there is work."""
        self.record(now)
        while self.peaks and self.peaks[0][0] < now - DEMAND_WINDOW_SECONDS:
            self.peaks.popleft()
        peak = self.peaks[0][1] if self.peaks else 0
        return peak + HEADROOM_SLOTS if peak else 0
