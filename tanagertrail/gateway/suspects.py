"""Requests that upstreams crashed on, counted over all daemons and quarantined."""

__all__ = ["QUARANTINE_THRESHOLD", "UpstreamLoss", "SuspectTracker"]

import asyncio
from collections import Counter, OrderedDict, deque
from collections.abc import Callable, Iterable
from typing import NamedTuple

from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.upstream_table import UpstreamEntry
from tanagertrail.policy.poison import (
    CORRELATION_WINDOW_SECONDS,
    QUARANTINE_SECONDS,
    CrashReport,
    PoisonRequestTracker,
    Verdict,
)

# Lost upstreams after which a request is quarantined. The operators accept three; with two,
# innocent requests that ran beside a poisonous one are quarantined as well.
QUARANTINE_THRESHOLD = 3
MAX_ANSWERED_FINGERPRINTS = 4096  # about 80 s of a daemon's requests at the design size
LOSS_REPORT_SECONDS = 4.0  # a state passes through two hubs in less
SIMULTANEOUS_LOSS_SECONDS = 1.0  # a failure domain is lost or reclaimed in less


class UpstreamLoss(NamedTuple):
    """The crash of an upstream, as one daemon reports it to the others.

    :ivar number: sequence number within the incarnation of the reporting daemon
    :ivar upstream: id and start time of the upstream, which identify its incarnation
    :ivar fingerprints: requests of the reporting daemon that the upstream left unanswered
    :ivar age_ms: milliseconds since the crash was detected
    """

    number: int
    upstream: str
    version: str
    failure_domain: str
    fingerprints: tuple[str, ...]
    age_ms: int = 0


class SuspectTracker:
    """Track which requests may crash upstreams.

    A response clears a request, because a poisonous request crashes every upstream. For a request
    that was answered before, losses at about the same time count as one, since a popular request
    runs on many upstreams at once. A request that is one loss short of the quarantine runs
    isolated from other such requests, so that those that only ran beside the poisonous one are
    answered and cleared.

    :ivar answered: fingerprints that were answered, with the time of the last loss counted since
    :ivar running: number of requests that this daemon is serving, by fingerprint
    :ivar losses: losses found by this daemon that are still reported, with their times
    :ivar newest_losses: incarnation and highest loss number received from each daemon
    :ivar on_loss: called when there is a loss to report to the other daemons
    :ivar on_quarantine: called with a fingerprint that this daemon has quarantined
    """

    def __init__(self, log: EventLog) -> None:
        self.log = log
        self.poison_tracker = PoisonRequestTracker(
            QUARANTINE_THRESHOLD, None, CORRELATION_WINDOW_SECONDS
        )
        self.answered: OrderedDict[str, float] = OrderedDict()
        self.running: Counter[str] = Counter()
        self.losses: deque[tuple[float, UpstreamLoss]] = deque()
        self.newest_losses: dict[str, tuple[int, int]] = {}
        self.loss_count = 0
        self.on_loss: Callable[[], None] = lambda: None
        self.on_quarantine: Callable[[str], None] = lambda fingerprint: None

    def now(self) -> float:
        """Return the event-loop time in seconds."""
        return asyncio.get_running_loop().time()

    def note_started(self, fingerprint: str) -> None:
        """Record that this daemon starts to serve a request."""
        self.running[fingerprint] += 1

    def note_finished(self, fingerprint: str) -> None:
        """Record that this daemon has finished serving a request."""
        self.running[fingerprint] -= 1
        if not self.running[fingerprint]:
            del self.running[fingerprint]

    def judge(self, fingerprint: str) -> Verdict:
        """Return whether a request is clear, suspected or quarantined."""
        return self.poison_tracker.judge(fingerprint, self.now())

    def must_run_isolated(self, fingerprint: str) -> bool:
        """Return whether one more loss would quarantine a request."""
        if self.judge(fingerprint) is not Verdict.SUSPECT:
            return False
        return self.poison_tracker.count_crashes(fingerprint) >= QUARANTINE_THRESHOLD - 1

    def get_quarantine_time_left(self, fingerprint: str) -> float:
        """Return the remaining seconds of a quarantine."""
        since = self.poison_tracker.quarantined.get(fingerprint, self.now())
        return max(since + QUARANTINE_SECONDS - self.now(), 0.0)

    def note_answered(self, fingerprint: str) -> None:
        """Clear a request that an upstream has completed."""
        self.answered[fingerprint] = float("-inf")
        self.answered.move_to_end(fingerprint)
        if len(self.answered) > MAX_ANSWERED_FINGERPRINTS:
            self.answered.popitem(last=False)
        self.poison_tracker.note_success(fingerprint)

    def record_loss(self, entry: UpstreamEntry, fingerprints: Iterable[str]) -> None:
        """Count the crash of an upstream that this daemon has detected, and report it."""
        self.loss_count += 1
        record = entry.record
        loss = UpstreamLoss(
            self.loss_count,
            f"{record.id}/{record.born}",
            record.version,
            record.failure_domain,
            tuple(fingerprints),
        )
        self.losses.append((self.now(), loss))
        self.count_loss(loss, self.now())
        self.on_loss()

    def count_loss(self, loss: UpstreamLoss, at: float) -> None:
        """Count a loss against the requests that the upstream left unanswered.

        :param at: event-loop time in seconds at which the crash was detected
        """
        counted_fingerprints = tuple(
            name for name in loss.fingerprints if not self.coincides_with_last_loss(name, at)
        )
        if not counted_fingerprints:
            return
        report = CrashReport(
            loss.upstream, loss.version, loss.failure_domain, counted_fingerprints, at
        )
        for fingerprint in self.poison_tracker.note_crash(report):
            self.log.write(
                "request_quarantined",
                fingerprint=fingerprint,
                upstreams=sorted(name for name, _ in self.poison_tracker.crashes[fingerprint]),
            )
            self.on_quarantine(fingerprint)

    def coincides_with_last_loss(self, fingerprint: str, at: float) -> bool:
        """Return whether a loss of an already answered request coincides with its last one.

        Otherwise the loss becomes the last one.
        """
        last_loss_at = self.answered.get(fingerprint)
        if last_loss_at is None:
            return False
        if abs(at - last_loss_at) < SIMULTANEOUS_LOSS_SECONDS:
            return True
        self.answered[fingerprint] = at
        return False

    def encode_losses(self) -> tuple:
        """Encode the recent losses, which other daemons may not have received yet."""
        now = self.now()
        while self.losses and self.losses[0][0] < now - LOSS_REPORT_SECONDS:
            self.losses.popleft()
        return tuple(
            tuple(loss._replace(age_ms=int((now - at) * 1000))) for at, loss in self.losses
        )

    def merge_losses(
        self, daemon: str, incarnation: int, rows: Iterable[tuple], reported_at: float
    ) -> None:
        """Count the losses that another daemon has detected, each once.

        :param reported_at: event-loop time in seconds of the report
        """
        last = self.newest_losses.get(daemon, (0, 0))
        newest = last[1] if last[0] == incarnation else 0
        for loss in (UpstreamLoss(*row) for row in rows):
            if loss.number > newest:
                newest = loss.number
                self.count_loss(loss, reported_at - loss.age_ms / 1000)
        self.newest_losses[daemon] = (incarnation, newest)

    def note_quarantine(self, fingerprint: str) -> None:
        """Apply a quarantine that is stored, usually by another daemon."""
        self.poison_tracker.note_quarantine(fingerprint, self.now())

    def lift_quarantine(self, fingerprint: str) -> None:
        """End a quarantine."""
        if self.poison_tracker.clear_request(fingerprint):
            self.log.write("quarantine_lifted", fingerprint=fingerprint)
