"""When a group commit writes what has queued."""

__all__ = ["BATCHINGS", "Batching"]

from typing import NamedTuple

from tanagertrail.registry import Registry


class Batching(NamedTuple):
    """How entries are gathered into one write.

    :ivar delay: seconds to wait after the first entry before writing
    :ivar largest: most entries of one write
    """

    delay: float
    largest: int


BATCHINGS: Registry[Batching] = Registry("batching")

MAX_BATCH_ENTRIES = 500
TIMED_DELAY_SECONDS = 0.02

BATCHINGS.register("single")(Batching(0.0, 1))
BATCHINGS.register("timed")(Batching(TIMED_DELAY_SECONDS, MAX_BATCH_ENTRIES))
BATCHINGS.register("drain")(Batching(0.0, MAX_BATCH_ENTRIES))
