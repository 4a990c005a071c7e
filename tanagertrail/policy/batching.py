"""When a group commit writes what has queued."""

__all__ = ["BATCHINGS", "BatchingRule", "compute_write_interval"]

from typing import NamedTuple

from tanagertrail.registry import Registry


class BatchingRule(NamedTuple):
    """How entries are gathered into one write.

    :ivar delay: seconds to wait after the first entry before writing
    :ivar largest: most entries of one write
    :ivar paced: whether writes of a busy fleet are spaced to keep within the store's rate
    """

    delay: float
    max_entries: int
    paced: bool = False


BATCHINGS: Registry[BatchingRule] = Registry("batching")

MAX_BATCH_ENTRIES = 500
TIMED_DELAY_SECONDS = 0.02
FLEET_WRITES_PER_SECOND = 150.0

BATCHINGS.register("single")(BatchingRule(0.0, 1))
BATCHINGS.register("timed")(BatchingRule(TIMED_DELAY_SECONDS, MAX_BATCH_ENTRIES))
BATCHINGS.register("drain")(BatchingRule(0.0, MAX_BATCH_ENTRIES))
BATCHINGS.register("paced")(BatchingRule(0.0, MAX_BATCH_ENTRIES, paced=True))


def compute_write_interval(daemons: int) -> float:
    """Return the seconds between two writes of one journal that keep the fleet in its rate."""
    return max(daemons, 1) / FLEET_WRITES_PER_SECOND
