"""Upstream concurrency limits, keeper side: a ledger of the slots that each daemon may hold.

The keeper is the daemon that currently owns an upstream's ledger; a holder is one incarnation of
a daemon that uses slots. The sum of the slots that holders may use never exceeds the upstream's
limit: an increase is recorded before it is sent, and a decrease only after the holder has
acknowledged it. A new keeper first binds every registered holder to its epoch and learns how many
slots each of them holds; until then it grants none. Safety depends on no clock and no lease
duration.
"""

__all__ = ["Allotment", "HolderReport", "SlotLedger"]

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from tanagertrail.policy.hashing import score_pair

SLOW_START_FACTOR = 2
SAMPLES_PER_SLOT = 4
MAX_COLD_SHARE = 0.25  # of the samples, for the limit to be raised


class Allotment(NamedTuple):
    """The slots of an upstream that a holder may use from now on.

    :ivar epoch: number of the keeper's tenure
    :ivar sequence: number of this allotment to this holder within the epoch
    :ivar cold_starts: number of the upstream's cold starts that the keeper knows of
    :ivar bound: current slow-start limit on the upstream's requests in flight
    :ivar free: unallotted slots, as a hint
    """

    upstream: str
    epoch: int
    sequence: int
    slots: int
    cold_starts: int
    bound: int
    free: int


class HolderReport(NamedTuple):
    """A holder's slots of an upstream, its demand and its latency samples.

    :ivar sequence: number of the last allotment applied, 0 if none of this epoch was
    :ivar held: slots allotted or in use, whichever is larger
    :ivar demand: slots that the holder needs
    :ivar good: successes at warm latency since the last report
    :ivar slow: successes at cold latency since the last report
    :ivar cold_starts: number of the upstream's cold starts that the holder knows of
    :ivar bound: the slow-start limit that the holder was last told
    """

    holder: str
    upstream: str
    epoch: int
    sequence: int
    held: int
    demand: int
    good: int = 0
    slow: int = 0
    cold_starts: int = 0
    bound: int = 0


@dataclass
class LedgerEntry:
    """One holder's entry in the ledger.

    :ivar max_held: upper bound on the slots that the holder may be using
    :ivar allotted: slots of the last allotment
    :ivar acknowledged: whether the holder has applied the last allotment
    """

    max_held: int
    allotted: int
    demand: int = 0
    sequence: int = 0
    acknowledged: bool = True


AddressedAllotment = tuple[str, Allotment]  # (holder, allotment)


class SlotLedger:
    """Allots the slots of one upstream to holders.

    :ivar cold_slots: slow-start limit after a cold start
    :ivar unknown: registered holders whose slots are not known yet
    :ivar bound: current slow-start limit on requests in flight
    """

    def __init__(
        self,
        upstream: str,
        slots: int,
        cold_slots: int,
        epoch: int,
        unknown: Iterable[str],
    ) -> None:
        self.upstream = upstream
        self.slots = slots
        self.cold_slots = cold_slots
        self.epoch = epoch
        self.unknown = set(unknown)
        self.entries: dict[str, LedgerEntry] = {}
        self.bound = cold_slots
        self.cold_starts = 0
        self.good = 0
        self.slow = 0

    @property
    def lent(self) -> int:
        """Return the slots that holders may be using."""
        return sum(entry.max_held for entry in self.entries.values())

    @property
    def free(self) -> int:
        """Return the slots that may be allotted, 0 while a holder's slots are unknown."""
        if self.unknown:
            return 0
        return max(self.bound - self.lent, 0)

    def take_report(self, report: HolderReport) -> list[AddressedAllotment]:
        """Apply a report and return the allotments to send, with their holders."""
        if report.epoch != self.epoch:
            return []
        self.apply_latency_samples(report)
        entry = self.record_holdings(report)
        allotments = list(self.rebalance())
        reporter_addressed = any(holder == report.holder for holder, _ in allotments)
        if not reporter_addressed and (not entry.acknowledged or entry.demand > entry.allotted):
            allotments.append((report.holder, self.build_allotment(entry)))
        return allotments

    def record_holdings(self, report: HolderReport) -> LedgerEntry:
        """Record a holder's slots and demand."""
        entry = self.entries.get(report.holder)
        if entry is None:
            entry = LedgerEntry(report.held, report.held, sequence=report.sequence)
            self.entries[report.holder] = entry
        self.unknown.discard(report.holder)
        entry.demand = report.demand
        if report.sequence == entry.sequence:
            entry.acknowledged = True
            entry.max_held = report.held
        else:
            entry.max_held = max(entry.max_held, report.held)
        if report.sequence == entry.sequence == 0:
            entry.allotted = report.held
        return entry

    def apply_latency_samples(self, report: HolderReport) -> None:
        """Count latency samples, and restart, adopt or advance the slow start accordingly."""
        if report.cold_starts > self.cold_starts:
            self.restart_slow_start(report.cold_starts)
        if report.cold_starts < self.cold_starts:
            return
        if report.holder not in self.entries:
            self.bound = max(self.bound, min(report.bound, self.slots))
        self.good += report.good
        self.slow += report.slow
        samples = self.good + self.slow
        if self.bound >= self.slots or samples < SAMPLES_PER_SLOT * self.bound:
            return
        if self.slow <= MAX_COLD_SHARE * samples:
            self.bound = min(self.bound * SLOW_START_FACTOR, self.slots)
        self.good = self.slow = 0

    def restart_slow_start(self, cold_starts: int) -> None:
        """Reset the slow-start limit after a cold start."""
        self.cold_starts = cold_starts
        self.bound = self.cold_slots
        self.good = self.slow = 0

    def resize(self, slots: int, cold_slots: int) -> list[AddressedAllotment]:
        """Apply the limits of a new ticket and return the allotments to send."""
        self.slots = slots
        self.cold_slots = cold_slots
        self.bound = min(self.bound, slots)
        return list(self.rebalance())

    def remove_holder(self, holder: str) -> list[AddressedAllotment]:
        """Free the slots of a holder that is confirmed to be gone."""
        self.entries.pop(holder, None)
        self.unknown.discard(holder)
        return list(self.rebalance())

    def rebalance(self) -> Iterator[AddressedAllotment]:
        """Yield the allotments that move holders toward their fair shares."""
        shares = self.compute_shares()
        for holder, entry in self.entries.items():
            if shares[holder] < entry.allotted:
                yield holder, self.issue_allotment(entry, shares[holder])
        for holder, entry in self.entries.items():
            target = min(shares[holder], entry.max_held + self.free)
            if target > entry.allotted:
                entry.max_held = max(entry.max_held, target)
                yield holder, self.issue_allotment(entry, target)

    def issue_allotment(self, entry: LedgerEntry, slots: int) -> Allotment:
        """Record a new allotment with the next sequence number and return it."""
        entry.sequence += 1
        entry.allotted = slots
        entry.acknowledged = False
        return self.build_allotment(entry)

    def build_allotment(self, entry: LedgerEntry) -> Allotment:
        """Return the last allotment of a holder; applying it again has no effect."""
        return Allotment(
            self.upstream,
            self.epoch,
            entry.sequence,
            entry.allotted,
            self.cold_starts,
            self.bound,
            self.free,
        )

    def compute_shares(self) -> dict[str, int]:
        """Divide the slow-start limit over the holders' demands by max-min fairness."""
        shares = dict.fromkeys(self.entries, 0)
        remaining = self.bound
        unsatisfied = [name for name, entry in self.entries.items() if entry.demand > 0]
        unsatisfied.sort(key=lambda name: score_pair(self.upstream, name))
        while remaining > 0 and unsatisfied:
            equal_share = max(remaining // len(unsatisfied), 1)
            for name in unsatisfied[:remaining]:
                granted = min(equal_share, self.entries[name].demand - shares[name])
                shares[name] += granted
                remaining -= granted
            unsatisfied = [name for name in unsatisfied if shares[name] < self.entries[name].demand]
        return shares
