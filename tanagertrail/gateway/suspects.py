"""Requests under which upstreams ended, counted over all daemons and kept from further ones."""

__all__ = ["LOST_UPSTREAMS", "Loss", "SuspectBook"]

import asyncio
from collections import Counter, OrderedDict, deque
from collections.abc import Callable, Iterable
from typing import NamedTuple

from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.upstream_table import UpstreamEntry
from tanagertrail.policy.poison import (
    EXPLAINED_WINDOW_SECONDS,
    MEMORY_SECONDS,
    CrashReport,
    PoisonRegister,
    Verdict,
)

LOST_UPSTREAMS = 3  # the users allow as many; with two, requests that ran beside are taken for it
MOST_ANSWERED = 4096  # fingerprints, about 80 s of a daemon's requests at the design size
REPORT_SECONDS = 4.0  # states pass two hubs in less


class Loss(NamedTuple):
    """An upstream that ended, as one daemon tells the others.

    :ivar number: number of the loss in the daemon's incarnation
    :ivar upstream: id and start of the upstream, which name one incarnation
    :ivar fingerprints: requests of that daemon that it left unanswered
    """

    number: int
    upstream: str
    version: str
    failure_domain: str
    fingerprints: tuple[str, ...]


class SuspectBook:
    """Judge requests by the upstreams that ended under them.

    A request that was ever answered here is no suspect: what ends an upstream ends all. One under
    which one upstream less than the limit has ended runs alone, so that those that only ran beside
    it are answered and cleared.

    :ivar running: requests that this daemon serves now
    :ivar heard: incarnation and last loss that each daemon told of
    :ivar on_loss: called when there is a loss to tell the other daemons
    :ivar on_quarantine: told of a fingerprint that this daemon has found to be quarantined
    """

    def __init__(self, log: EventLog) -> None:
        self.log = log
        self.register = PoisonRegister(LOST_UPSTREAMS, None, EXPLAINED_WINDOW_SECONDS)
        self.answered: OrderedDict[str, None] = OrderedDict()
        self.running: Counter[str] = Counter()
        self.losses: deque[tuple[float, Loss]] = deque()
        self.heard: dict[str, tuple[int, int]] = {}
        self.count = 0
        self.on_loss: Callable[[], None] = lambda: None
        self.on_quarantine: Callable[[str], None] = lambda fingerprint: None

    def now(self) -> float:
        """Return the event-loop time in seconds."""
        return asyncio.get_running_loop().time()

    def enter(self, fingerprint: str) -> None:
        """Note that a request is served."""
        self.running[fingerprint] += 1

    def leave(self, fingerprint: str) -> None:
        """Note that a request is no longer served."""
        self.running[fingerprint] -= 1
        if not self.running[fingerprint]:
            del self.running[fingerprint]

    def judge(self, fingerprint: str) -> Verdict:
        """Say what may be done with a request."""
        if fingerprint in self.answered:
            return Verdict.CLEAR
        return self.register.judge(fingerprint, self.now())

    def must_run_alone(self, fingerprint: str) -> bool:
        """Say whether the next upstream that ends under a request is the last that may."""
        if self.judge(fingerprint) is not Verdict.SUSPECT:
            return False
        return self.register.count_losses(fingerprint) >= LOST_UPSTREAMS - 1

    def find_quarantine_left(self, fingerprint: str) -> float:
        """Return the seconds for which a quarantined request is still kept from upstreams."""
        since = self.register.quarantined.get(fingerprint, self.now())
        return max(since + MEMORY_SECONDS - self.now(), 0.0)

    def note_answered(self, fingerprint: str) -> None:
        """Clear a request that an upstream ran to its end."""
        self.answered[fingerprint] = None
        self.answered.move_to_end(fingerprint)
        if len(self.answered) > MOST_ANSWERED:
            self.answered.popitem(last=False)
        self.register.note_success(fingerprint)

    def note_lost(self, entry: UpstreamEntry, fingerprints: Iterable[str]) -> None:
        """Take the end of an upstream that this daemon has found."""
        unanswered = tuple(item for item in fingerprints if item not in self.answered)
        if not unanswered:
            return
        self.count += 1
        record = entry.record
        loss = Loss(
            self.count,
            f"{record.id}/{record.born}",
            record.version,
            record.failure_domain,
            unanswered,
        )
        self.losses.append((self.now(), loss))
        self.count_loss(loss)
        self.on_loss()

    def count_loss(self, loss: Loss) -> None:
        """Count a loss against the requests that were never answered here."""
        unanswered = tuple(item for item in loss.fingerprints if item not in self.answered)
        if not unanswered:
            return
        report = CrashReport(
            loss.upstream, loss.version, loss.failure_domain, unanswered, self.now()
        )
        for fingerprint in self.register.note_crash(report):
            self.log.write(
                "request_quarantined",
                fingerprint=fingerprint,
                upstreams=sorted(name for name, _ in self.register.crashes[fingerprint]),
            )
            self.on_quarantine(fingerprint)

    def describe_losses(self) -> tuple:
        """Return the losses that other daemons may not have been told of."""
        while self.losses and self.losses[0][0] < self.now() - REPORT_SECONDS:
            self.losses.popleft()
        return tuple(tuple(loss) for _, loss in self.losses)

    def take_losses(self, daemon: str, incarnation: int, rows: Iterable[tuple]) -> None:
        """Take the losses that another daemon has found."""
        last = self.heard.get(daemon, (0, 0))
        newest = last[1] if last[0] == incarnation else 0
        for loss in (Loss(*row) for row in rows):
            if loss.number > newest:
                newest = loss.number
                self.count_loss(loss)
        self.heard[daemon] = (incarnation, newest)

    def note_quarantine(self, fingerprint: str) -> None:
        """Take over a quarantine that another daemon has stored."""
        self.register.note_quarantine(fingerprint, self.now())

    def lift_quarantine(self, fingerprint: str) -> None:
        """Let a request run again."""
        if self.register.lift(fingerprint):
            self.log.write("quarantine_lifted", fingerprint=fingerprint)
