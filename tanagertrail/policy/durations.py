"""Recent lengths of requests, from which the length of the next one is estimated."""

__all__ = ["DurationTable", "LengthEstimate"]

import math
from collections import OrderedDict, deque
from typing import NamedTuple

MAX_KINDS = 64
MAX_SAMPLES = 100  # of one kind and size class
MAX_SIZE_CLASS = 20  # sizes above about a million are one class
LENGTH_QUANTILE = 0.99


class LengthEstimate(NamedTuple):
    """What requests of a kind have lasted.

    :ivar seconds: high quantile of their lengths
    :ivar samples: number of lengths that it rests on
    """

    seconds: float
    samples: int


class DurationTable:
    """Recent lengths of requests by kind and size class.

    :ivar kinds: lengths in seconds by kind and size class, the kind that was seen last at the end
    """

    def __init__(self) -> None:
        self.kinds: OrderedDict[str, dict[int, deque[float]]] = OrderedDict()

    def add(self, kind: str, size: float, seconds: float) -> None:
        """Record the length of a request that has ended.

        :param size: stated size of the answer in tokens, 0 if none is stated
        :param seconds: time from its arrival to the end of its answer
        """
        classes = self.kinds.setdefault(kind, {})
        self.kinds.move_to_end(kind)
        classes.setdefault(find_size_class(size), deque(maxlen=MAX_SAMPLES)).append(seconds)
        if len(self.kinds) > MAX_KINDS:
            self.kinds.popitem(last=False)

    def estimate(self, kind: str, size: float) -> LengthEstimate | None:
        """Estimate the length of a request from those of its size class and larger ones.

        Smaller ones are left out, since they would make it look shorter than it is.

        :returns: None if there are none
        """
        smallest = find_size_class(size)
        lengths = sorted(
            seconds
            for size_class, samples in self.kinds.get(kind, {}).items()
            if size_class >= smallest
            for seconds in samples
        )
        if not lengths:
            return None
        rank = math.ceil(LENGTH_QUANTILE * len(lengths))
        return LengthEstimate(lengths[rank - 1], len(lengths))


def find_size_class(size: float) -> int:
    """Return the class of a size; each holds sizes up to twice those of the one below."""
    if not size >= 1:
        return 0
    return math.frexp(min(size, 2.0**MAX_SIZE_CLASS))[1]
