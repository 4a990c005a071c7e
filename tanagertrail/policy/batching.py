"""Rules by which a group commit gathers journal entries into writes."""

__all__ = ["BATCHINGS", "BatchingRule", "compute_write_interval"]

from typing import NamedTuple

from tanagertrail.registry import Registry


class BatchingRule(NamedTuple):
    """How entries are gathered into one write.

    :ivar delay: seconds to wait after the first entry before writing
    :ivar max_entries: maximum number of entries per write
    :ivar paced: whether writes are spaced so that the fleet stays within the store's write rate
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
    """Return the seconds between writes of one journal at which the fleet keeps its write rate."""
    return max(daemons, 1) / FLEET_WRITES_PER_SECOND
