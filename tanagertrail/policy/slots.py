"""Upstream concurrency limits, holder side: the slots that this daemon may use."""

__all__ = ["HeldSlots", "SlotHolder", "UpstreamCapacity", "spread_demand"]

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from tanagertrail.policy.ledger import Allotment, HolderReport


@dataclass
class HeldSlots:
    """This daemon's slots of one upstream.

    :ivar block: slots of the last allotment
    :ivar cold_starts: number of the upstream's cold starts that this daemon knows of
    :ivar block_cold_starts: value of ``cold_starts`` for which the block was allotted
    :ivar bound: current slow-start limit on the upstream's requests in flight
    :ivar free_hint: unallotted slots according to the keeper
    :ivar demand: slots that this daemon needs
    :ivar good: successes at warm latency since the last report
    :ivar slow: successes at cold latency since the last report
    """

    upstream: str
    slots: int
    cold_slots: int
    block: int = 0
    in_flight: int = 0
    epoch: int = 0
    sequence: int = 0
    cold_starts: int = 0
    block_cold_starts: int = 0
    bound: int = 0
    free_hint: int = 0
    demand: int = 0
    good: int = 0
    slow: int = 0

    @property
    def held(self) -> int:
        """Return the slots allotted or in use, whichever is larger."""
        return max(self.block, self.in_flight)

    @property
    def usable(self) -> int:
        """Return the slots that may be in use, reduced after a cold start."""
        if self.cold_starts > self.block_cold_starts:
            return self.block * self.cold_slots // self.slots
        return self.block

    @property
    def available(self) -> int:
        """Return the slots that new work may take."""
        return max(self.usable - self.in_flight, 0)

    @property
    def excess(self) -> int:
        """Return the number of requests in flight beyond the usable slots."""
        return max(self.in_flight - self.usable, 0)


class SlotHolder:
    """The slots of all upstreams that one daemon holds.

    :ivar holder: identity of this daemon's incarnation
    :ivar held: slots by upstream
    """

    def __init__(self, holder: str) -> None:
        self.holder = holder
        self.held: dict[str, HeldSlots] = {}

    def add_upstream(self, upstream: str, slots: int, cold_slots: int) -> HeldSlots:
        """Add an upstream, or update its limits to those of the last ticket."""
        entry = self.held.get(upstream)
        if entry is None:
            entry = self.held[upstream] = HeldSlots(upstream, slots, cold_slots)
            entry.free_hint = slots
        entry.slots = slots
        entry.cold_slots = cold_slots
        return entry

    def remove_upstream(self, upstream: str) -> None:
        """Remove an upstream unless some of its slots are in use."""
        entry = self.held.get(upstream)
        if entry is not None and entry.in_flight == 0:
            del self.held[upstream]

    def acquire(self, upstream: str) -> bool:
        """Acquire a slot; return whether one was available."""
        entry = self.held.get(upstream)
        if entry is None or entry.available == 0:
            return False
        entry.in_flight += 1
        return True

    def release(self, upstream: str) -> None:
        """Release a slot."""
        self.held[upstream].in_flight -= 1

    def bind_epoch(self, upstream: str, epoch: int) -> bool:
        """Reject all keepers of older epochs from now on; return whether the epoch is new."""
        entry = self.held.get(upstream)
        if entry is None or epoch <= entry.epoch:
            return False
        entry.epoch = epoch
        entry.sequence = 0
        return True

    def apply_allotment(self, allotment: Allotment) -> bool:
        """Apply an allotment; return whether it is newer than the last one."""
        entry = self.held.get(allotment.upstream)
        if entry is None or allotment.epoch != entry.epoch:
            return False
        entry.free_hint = allotment.free
        if allotment.sequence <= entry.sequence:
            return False
        entry.sequence = allotment.sequence
        entry.block = allotment.slots
        entry.block_cold_starts = allotment.cold_starts
        entry.bound = allotment.bound
        entry.cold_starts = max(entry.cold_starts, allotment.cold_starts)
        return True

    def note_cold(self, upstream: str, cold_starts: int) -> bool:
        """Record a cold start; return whether it was unknown."""
        entry = self.held.get(upstream)
        if entry is None or cold_starts <= entry.cold_starts:
            return False
        entry.cold_starts = cold_starts
        entry.bound = entry.cold_slots
        entry.good = entry.slow = 0
        return True

    def build_report(self, upstream: str) -> HolderReport:
        """Build a report with the latency samples since the last one."""
        entry = self.held[upstream]
        report = HolderReport(
            self.holder,
            upstream,
            entry.epoch,
            entry.sequence,
            entry.held,
            entry.demand,
            entry.good,
            entry.slow,
            entry.cold_starts,
            entry.bound,
        )
        entry.good = entry.slow = 0
        return report


class UpstreamCapacity(NamedTuple):
    """An upstream over which demand may be spread.

    :ivar obtainable: slots that the daemon has or, by the keeper's hint, could get
    """

    upstream: str
    obtainable: int


def spread_demand(needed_slots: int, capacities: Sequence[UpstreamCapacity]) -> dict[str, int]:
    """Spread a demand for slots evenly over upstreams, and return it by upstream.

    Demand beyond the obtainable slots is spread over all upstreams, so that their keepers see
    that it is unmet.

    :param capacities: upstreams in order of preference
    """
    demands = {capacity.upstream: 0 for capacity in capacities}
    remaining = needed_slots
    for slot_count in iter_slot_counts(capacities):
        for capacity in capacities:
            if remaining == 0:
                return demands
            if capacity.obtainable >= slot_count:
                demands[capacity.upstream] += 1
                remaining -= 1
    for index, capacity in enumerate(capacities):
        demands[capacity.upstream] += remaining // len(capacities) + (
            index < remaining % len(capacities)
        )
    return demands


def iter_slot_counts(capacities: Sequence[UpstreamCapacity]) -> Iterator[int]:
    """Yield 1, 2, ... up to the largest number of obtainable slots."""
    yield from range(1, max((capacity.obtainable for capacity in capacities), default=0) + 1)
