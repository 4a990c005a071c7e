"""Requests that upstreams began, by customer and window of the time of day."""

__all__ = ["UsageCounter", "WindowCounts"]

from collections import Counter

from tanagertrail.gateway.clock import WallClock

WindowCounts = dict[int, Counter[str]]
KEPT_WINDOWS = 5
TOLD_WINDOWS = 3  # the present one and those that are not yet reported


class UsageCounter:
    """Counts of this daemon and the latest that others reported.

    :ivar window: length of a window in seconds
    :ivar others: counts by daemon and incarnation, which outlive the daemon
    """

    def __init__(self, window: float, wall_time: WallClock) -> None:
        self.window = window
        self.wall_time = wall_time
        self.own: WindowCounts = {}
        self.others: dict[tuple[str, int], WindowCounts] = {}
        self.forgotten_before = 0

    def current_window(self) -> int:
        """Return the number of the present window."""
        return int(self.wall_time() // self.window)

    def note_begun(self, customer: str) -> None:
        """Count a request that an upstream began."""
        window = self.current_window()
        self.own.setdefault(window, Counter())[customer] += 1
        for old in [number for number in self.own if number < window - KEPT_WINDOWS]:
            del self.own[old]

    def encode(self) -> tuple:
        """Return the latest counts for other daemons."""
        oldest = self.current_window() - TOLD_WINDOWS
        return tuple(
            (window, tuple(counts.items()))
            for window, counts in sorted(self.own.items())
            if window > oldest
        )

    def merge(self, daemon: str, incarnation: int, rows: tuple) -> None:
        """Take the counts that another daemon reported of itself."""
        counts = {window: Counter(dict(items)) for window, items in rows}
        self.others.setdefault((daemon, incarnation), {}).update(counts)
        self.forget_windows(self.current_window() - KEPT_WINDOWS)

    def forget_windows(self, oldest: int) -> None:
        """Forget the counts before a window, and the daemons of which none are left."""
        if oldest <= self.forgotten_before:
            return
        self.forgotten_before = oldest
        for origin, known in list(self.others.items()):
            for old in [number for number in known if number < oldest]:
                del known[old]
            if not known:
                del self.others[origin]

    def sum_window(self, window: int) -> dict[str, int]:
        """Return the counts of all daemons in a window."""
        total: Counter[str] = Counter(self.own.get(window, {}))
        for known in self.others.values():
            total.update(known.get(window, {}))
        return dict(total)
