"""The keeper's side of upstream limits: a ledger of the slots that each daemon may hold.

The sum of what daemons may hold never exceeds what the upstream bears. A raise is entered before
it is sent; a recall is entered only after the holder has acknowledged it. A new keeper binds every
registered holder to its epoch and learns what each holds before it lends anything. No clock and no
lease duration takes part in this.
"""

__all__ = ["Allotment", "HolderReport", "SlotLedger"]

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from tanagertrail.policy.hashing import score_pair

SLOW_START_FACTOR = 2
EVIDENCE_PER_SLOT = 4
MAX_SLOW_SHARE = 0.25


class Allotment(NamedTuple):
    """What a holder may use of an upstream from now on.

    :ivar epoch: number of the keeper's tenure
    :ivar sequence: number of this allotment to this holder within the tenure
    :ivar regime: number of the upstream's cold starts that the keeper knows of
    :ivar bound: requests in flight that the upstream is trusted with
    :ivar free: slots that nobody holds, as a hint
    """

    upstream: str
    epoch: int
    sequence: int
    slots: int
    cold_starts: int
    bound: int
    free: int


class HolderReport(NamedTuple):
    """What a holder holds and wants of an upstream.

    :ivar sequence: the last allotment applied, 0 for none of this epoch
    :ivar held: slots allotted or in use, whichever is larger
    :ivar want: slots that its demand calls for
    :ivar good: successes at warm latency since the last report
    :ivar slow: successes at cold latency since the last report
    :ivar regime: number of the upstream's cold starts that the holder knows of
    :ivar bound: the bound that the holder was last told
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
    """One holder's line in the ledger.

    :ivar charge: the most that the holder may hold
    :ivar sent: slots of the last allotment
    :ivar acknowledged: whether the holder has applied the last allotment
    """

    charge: int
    sent: int
    demand: int = 0
    sequence: int = 0
    acknowledged: bool = True


Sent = tuple[str, Allotment]


class SlotLedger:
    """Lend the slots of one upstream to daemons."""

    def __init__(
        self, upstream: str, slots: int, cold_slots: int, epoch: int, unknown: Iterable[str]
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
    def total(self) -> int:
        """Return the slots that daemons may hold."""
        return sum(entry.charge for entry in self.entries.values())

    @property
    def free(self) -> int:
        """Return the slots that may be lent, none while a holder is unknown."""
        if self.unknown:
            return 0
        return max(self.bound - self.total, 0)

    def take_report(self, report: HolderReport) -> list[Sent]:
        """Take a report and return the allotments to send, by holder."""
        if report.epoch != self.epoch:
            return []
        self.take_evidence(report)
        entry = self.enter_report(report)
        sent = list(self.rebalance())
        answered = any(holder == report.holder for holder, _ in sent)
        if not answered and (not entry.acknowledged or entry.demand > entry.sent):
            sent.append((report.holder, self.describe(entry)))
        return sent

    def enter_report(self, report: HolderReport) -> LedgerEntry:
        """Enter what a holder holds and wants."""
        entry = self.entries.get(report.holder)
        if entry is None:
            entry = LedgerEntry(report.held, report.held, sequence=report.sequence)
            self.entries[report.holder] = entry
        self.unknown.discard(report.holder)
        entry.demand = report.demand
        if report.sequence == entry.sequence:
            entry.acknowledged = True
            entry.charge = report.held
        else:
            entry.charge = max(entry.charge, report.held)
        if report.sequence == entry.sequence == 0:
            entry.sent = report.held
        return entry

    def take_evidence(self, report: HolderReport) -> None:
        """Count evidence, and restart, adopt or advance the slow start by it."""
        if report.cold_starts > self.cold_starts:
            self.restart_slow_start(report.cold_starts)
        if report.cold_starts < self.cold_starts:
            return
        if report.holder not in self.entries:
            self.bound = max(self.bound, min(report.bound, self.slots))
        self.good += report.good
        self.slow += report.slow
        seen = self.good + self.slow
        if self.bound >= self.slots or seen < EVIDENCE_PER_SLOT * self.bound:
            return
        if self.slow <= MAX_SLOW_SHARE * seen:
            self.bound = min(self.bound * SLOW_START_FACTOR, self.slots)
        self.good = self.slow = 0

    def restart_slow_start(self, cold_starts: int) -> None:
        """Bound the upstream as in cold start."""
        self.cold_starts = cold_starts
        self.bound = self.cold_slots
        self.good = self.slow = 0

    def resize(self, slots: int, cold_slots: int) -> list[Sent]:
        """Take the limits of a new ticket and return the allotments to send."""
        self.slots = slots
        self.cold_slots = cold_slots
        self.bound = min(self.bound, slots)
        return list(self.rebalance())

    def remove_holder(self, holder: str) -> list[Sent]:
        """Free what a holder held that is proved to be gone."""
        self.entries.pop(holder, None)
        self.unknown.discard(holder)
        return list(self.rebalance())

    def rebalance(self) -> Iterator[Sent]:
        """Yield the allotments that move the ledger toward the fair shares."""
        shares = self.compute_shares()
        for holder, entry in self.entries.items():
            if shares[holder] < entry.sent:
                yield holder, self.send(entry, shares[holder])
        for holder, entry in self.entries.items():
            possible = min(shares[holder], entry.charge + self.free)
            if possible > entry.sent:
                entry.charge = max(entry.charge, possible)
                yield holder, self.send(entry, possible)

    def send(self, entry: LedgerEntry, slots: int) -> Allotment:
        """Build a new allotment with the next number."""
        entry.sequence += 1
        entry.sent = slots
        entry.acknowledged = False
        return self.describe(entry)

    def describe(self, entry: LedgerEntry) -> Allotment:
        """Return the last allotment of a holder, which is harmless to apply again."""
        return Allotment(
            self.upstream,
            self.epoch,
            entry.sequence,
            entry.sent,
            self.cold_starts,
            self.bound,
            self.free,
        )

    def compute_shares(self) -> dict[str, int]:
        """Divide the bound by max-min fairness over what holders want."""
        shares = dict.fromkeys(self.entries, 0)
        left = self.bound
        waiting = [name for name, entry in self.entries.items() if entry.demand > 0]
        waiting.sort(key=lambda name: score_pair(self.upstream, name))
        while left > 0 and waiting:
            portion = max(left // len(waiting), 1)
            for name in waiting[:left]:
                given = min(portion, self.entries[name].demand - shares[name])
                shares[name] += given
                left -= given
            waiting = [name for name in waiting if shares[name] < self.entries[name].demand]
        return shares
