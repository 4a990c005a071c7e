"""Recent lengths of requests, from which the length of the next one is estimated."""

__all__ = ["DurationTable", "LengthEstimate", "find_size_class"]

import math
from collections import OrderedDict, deque
from typing import NamedTuple

MAX_KINDS = 64
MAX_SAMPLES = 100  # of one kind and size class
MAX_SIZE_CLASS = 20  # sizes above about a million are one class
LENGTH_QUANTILE = 0.99
WINDOW_SECONDS = 10.0
WINDOWS = 6  # of which the longest lengths are kept, however many short ones come


class LengthEstimate(NamedTuple):
    """Estimated length of the requests of a kind.

    :ivar seconds: high quantile of the last lengths
    :ivar longest: the longest of them and of the last minute, in seconds
    :ivar samples: number of lengths that the quantile rests on
    """

    seconds: float
    longest: float
    samples: int


class LengthRecord:
    """Recent lengths of one kind and size class, in seconds.

    :ivar samples: the last lengths
    :ivar peaks: number and longest length of each recent window of time, the newest last
    """

    def __init__(self) -> None:
        self.samples: deque[float] = deque(maxlen=MAX_SAMPLES)
        self.peaks: deque[tuple[int, float]] = deque(maxlen=WINDOWS)

    def add(self, seconds: float, window: int) -> None:
        """Record a length in a window of time."""
        self.samples.append(seconds)
        if self.peaks and self.peaks[-1][0] >= window:
            last, longest = self.peaks.pop()
            self.peaks.append((last, max(longest, seconds)))
        else:
            self.peaks.append((window, seconds))

    def list_peaks(self, window: int) -> list[float]:
        """List the longest lengths of the windows that are not too old."""
        return [seconds for number, seconds in self.peaks if number > window - WINDOWS]


class DurationTable:
    """Recent lengths of requests by kind and size class.

    :ivar kinds: records by kind and size class, the kind that was seen last at the end
    """

    def __init__(self) -> None:
        self.kinds: OrderedDict[str, dict[int, LengthRecord]] = OrderedDict()

    def add(self, kind: str, size: float, seconds: float, now: float) -> None:
        """Record the length of a request that has ended.

        :param size: stated size of the answer in tokens, 0 if none is stated
        :param seconds: time from its arrival to the end of its answer
        :param now: event-loop time in seconds
        """
        classes = self.kinds.setdefault(kind, {})
        self.kinds.move_to_end(kind)
        record = classes.setdefault(find_size_class(size), LengthRecord())
        record.add(seconds, find_window(now))
        if len(self.kinds) > MAX_KINDS:
            self.kinds.popitem(last=False)

    def estimate(self, kind: str, size: float, now: float) -> LengthEstimate | None:
        """Estimate the length of a request from those of its size class and larger ones.

        Smaller ones are left out, since they would make it look shorter than it is.

        :param now: event-loop time in seconds
        :returns: None if there are none
        """
        smallest = find_size_class(size)
        records = [
            record
            for size_class, record in self.kinds.get(kind, {}).items()
            if size_class >= smallest
        ]
        lengths = sorted(seconds for record in records for seconds in record.samples)
        if not lengths:
            return None
        rank = math.ceil(LENGTH_QUANTILE * len(lengths))
        window = find_window(now)
        peaks = [seconds for record in records for seconds in record.list_peaks(window)]
        return LengthEstimate(lengths[rank - 1], max(lengths[-1], *peaks, 0.0), len(lengths))


def find_size_class(size: float) -> int:
    """Return the class of a size; each holds sizes up to twice those of the one below."""
    if not size >= 1:
        return 0
    return math.frexp(min(size, 2.0**MAX_SIZE_CLASS))[1]


def find_window(now: float) -> int:
    """Return the number of the window of time in which an event-loop time in seconds lies."""
    return math.floor(now / WINDOW_SECONDS)
