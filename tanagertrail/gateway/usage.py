"""Billable requests by customer and window of the wall clock."""

__all__ = ["UsageCounter", "WindowCounts"]

from collections import Counter

from tanagertrail.gateway.clock import WallClock

WindowCounts = dict[int, Counter[str]]
RETAINED_WINDOWS = 5
REPORTED_WINDOWS = 3  # the current one and those not yet in the usage report


class UsageCounter:
    """Counts of this daemon and the latest ones reported by the others.

    A request is counted once an upstream has begun to run it.

    :ivar window: length of a window in seconds
    :ivar other_counts: counts by daemon and incarnation, kept after the daemon has stopped
    :ivar oldest_kept_window: number of the window before which the others' counts were dropped
    """

    def __init__(self, window: float, wall_time: WallClock) -> None:
        self.window = window
        self.wall_time = wall_time
        self.own_counts: WindowCounts = {}
        self.other_counts: dict[tuple[str, int], WindowCounts] = {}
        self.oldest_kept_window = 0

    def current_window(self) -> int:
        """Return the number of the current window."""
        return int(self.wall_time() // self.window)

    def note_started(self, customer: str) -> None:
        """Count a request that an upstream has begun to run."""
        window = self.current_window()
        self.own_counts.setdefault(window, Counter())[customer] += 1
        for old in [number for number in self.own_counts if number < window - RETAINED_WINDOWS]:
            del self.own_counts[old]

    def encode(self) -> tuple:
        """Encode the counts of recent windows for other daemons."""
        oldest = self.current_window() - REPORTED_WINDOWS
        return tuple(
            (window, tuple(counts.items()))
            for window, counts in sorted(self.own_counts.items())
            if window > oldest
        )

    def merge(self, daemon: str, incarnation: int, rows: tuple) -> None:
        """Store the counts that another daemon reported of itself."""
        counts = {window: Counter(dict(items)) for window, items in rows}
        self.other_counts.setdefault((daemon, incarnation), {}).update(counts)
        self.forget_windows(self.current_window() - RETAINED_WINDOWS)

    def forget_windows(self, oldest: int) -> None:
        """Drop the others' counts before a window, and daemons without remaining counts."""
        if oldest <= self.oldest_kept_window:
            return
        self.oldest_kept_window = oldest
        for incarnation_key, windows in list(self.other_counts.items()):
            for old in [number for number in windows if number < oldest]:
                del windows[old]
            if not windows:
                del self.other_counts[incarnation_key]

    def sum_window(self, window: int) -> dict[str, int]:
        """Return the requests of a window by customer, over all daemons."""
        total: Counter[str] = Counter(self.own_counts.get(window, {}))
        for windows in self.other_counts.values():
            total.update(windows.get(window, {}))
        return dict(total)
