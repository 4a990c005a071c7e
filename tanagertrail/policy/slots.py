"""The holder's side of upstream limits: the slots of each upstream that this daemon may use."""

__all__ = ["UpstreamCapacity", "HeldSlots", "SlotHolder", "spread_demand"]

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from tanagertrail.policy.ledger import Allotment, HolderReport


@dataclass
class HeldSlots:
    """What this daemon holds of one upstream.

    :ivar block: slots of the last allotment
    :ivar regime: number of the upstream's cold starts that this daemon knows of
    :ivar block_regime: the regime in which the block was allotted
    :ivar free_hint: slots that the keeper said were free
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
        """Return the slots that may be in use, cut down after a cold turn."""
        if self.cold_starts > self.block_cold_starts:
            return self.block * self.cold_slots // self.slots
        return self.block

    @property
    def available(self) -> int:
        """Return the slots that new work may take."""
        return max(self.usable - self.in_flight, 0)

    @property
    def excess(self) -> int:
        """Return the requests in flight beyond what may be in use."""
        return max(self.in_flight - self.usable, 0)


class SlotHolder:
    """Hold the slots of one daemon."""

    def __init__(self, holder: str) -> None:
        self.holder = holder
        self.held: dict[str, HeldSlots] = {}

    def add_upstream(self, upstream: str, slots: int, cold_slots: int) -> HeldSlots:
        """Know an upstream; its limits follow the last ticket."""
        entry = self.held.get(upstream)
        if entry is None:
            entry = self.held[upstream] = HeldSlots(upstream, slots, cold_slots)
            entry.free_hint = slots
        entry.slots = slots
        entry.cold_slots = cold_slots
        return entry

    def remove_upstream(self, upstream: str) -> None:
        """Forget an upstream of which nothing is in use."""
        entry = self.held.get(upstream)
        if entry is not None and entry.in_flight == 0:
            del self.held[upstream]

    def acquire(self, upstream: str) -> bool:
        """Take a slot if one is available."""
        entry = self.held.get(upstream)
        if entry is None or entry.available == 0:
            return False
        entry.in_flight += 1
        return True

    def release(self, upstream: str) -> None:
        """Give a slot back."""
        self.held[upstream].in_flight -= 1

    def bind_epoch(self, upstream: str, epoch: int) -> bool:
        """Reject every older keeper from now on; return whether the epoch is new."""
        entry = self.held.get(upstream)
        if entry is None or epoch <= entry.epoch:
            return False
        entry.epoch = epoch
        entry.sequence = 0
        return True

    def apply_allotment(self, allotment: Allotment) -> bool:
        """Apply an allotment and return whether it is news."""
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
        """Note a cold start and return whether it is news."""
        entry = self.held.get(upstream)
        if entry is None or cold_starts <= entry.cold_starts:
            return False
        entry.cold_starts = cold_starts
        entry.bound = entry.cold_slots
        entry.good = entry.slow = 0
        return True

    def build_report(self, upstream: str) -> HolderReport:
        """Build a report with the evidence since the last one."""
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
    """One upstream over which demand may be spread, in order of preference.

    :ivar reachable: slots that the daemon has or was told it could have
    """

    upstream: str
    obtainable: int


def spread_demand(need: int, lines: Sequence[UpstreamCapacity]) -> dict[str, int]:
    """Spread a need for slots evenly over upstreams, in order of preference.

    What no upstream seems to have is asked of all, so that keepers see the unmet demand.
    """
    wants = {line.upstream: 0 for line in lines}
    left = need
    for level in iter_levels(lines):
        for line in lines:
            if left == 0:
                return wants
            if line.obtainable >= level:
                wants[line.upstream] += 1
                left -= 1
    for index, line in enumerate(lines):
        wants[line.upstream] += left // len(lines) + (index < left % len(lines))
    return wants


def iter_levels(lines: Sequence[UpstreamCapacity]) -> Iterator[int]:
    """Yield 1, 2, ... up to the largest reachable count."""
    yield from range(1, max((line.obtainable for line in lines), default=0) + 1)
