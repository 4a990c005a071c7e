"""Requests under which upstreams ended, counted over all daemons and kept from further ones."""

__all__ = ["LOST_UPSTREAMS", "Loss", "SuspectTracker"]

import asyncio
from collections import Counter, OrderedDict, deque
from collections.abc import Callable, Iterable
from typing import NamedTuple

from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.upstream_table import UpstreamEntry
from tanagertrail.policy.poison import (
    EXPLAINED_WINDOW_SECONDS,
    QUARANTINE_SECONDS,
    CrashReport,
    PoisonRequestTracker,
    Verdict,
)

LOST_UPSTREAMS = 3  # the users allow as many; with two, requests that ran beside are taken for it
MOST_ANSWERED = 4096  # fingerprints, about 80 s of a daemon's requests at the design size
REPORT_SECONDS = 4.0  # states pass two hubs in less
WAVE_SECONDS = 1.0  # upstreams of a failure domain are reclaimed or lost within less


class Loss(NamedTuple):
    """An upstream that ended, as one daemon tells the others.

    :ivar number: number of the loss in the daemon's incarnation
    :ivar upstream: id and start of the upstream, which name one incarnation
    :ivar fingerprints: requests of that daemon that it left unanswered
    :ivar age_ms: time since it was found
    """

    number: int
    upstream: str
    version: str
    failure_domain: str
    fingerprints: tuple[str, ...]
    age_ms: int = 0


class SuspectTracker:
    """Judge requests by the upstreams that ended under them.

    An answer clears a request: what ends an upstream ends all. For one that was answered before,
    upstreams that end at about one moment count as one, since a popular request is at many of them.
    One under which one upstream less than the limit has ended runs alone, so that those that only
    ran beside it are answered and cleared.

    :ivar answered: fingerprints that were answered, with the time of the last loss counted since
    :ivar running: requests that this daemon serves now
    :ivar heard: incarnation and last loss that each daemon told of
    :ivar on_loss: called when there is a loss to tell the other daemons
    :ivar on_quarantine: told of a fingerprint that this daemon has found to be quarantined
    """

    def __init__(self, log: EventLog) -> None:
        self.log = log
        self.register = PoisonRequestTracker(LOST_UPSTREAMS, None, EXPLAINED_WINDOW_SECONDS)
        self.answered: OrderedDict[str, float] = OrderedDict()
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
        return self.register.judge(fingerprint, self.now())

    def must_run_alone(self, fingerprint: str) -> bool:
        """Say whether the next upstream that ends under a request is the last that may."""
        if self.judge(fingerprint) is not Verdict.SUSPECT:
            return False
        return self.register.count_crashes(fingerprint) >= LOST_UPSTREAMS - 1

    def find_quarantine_left(self, fingerprint: str) -> float:
        """Return the seconds for which a quarantined request is still kept from upstreams."""
        since = self.register.quarantined.get(fingerprint, self.now())
        return max(since + QUARANTINE_SECONDS - self.now(), 0.0)

    def note_answered(self, fingerprint: str) -> None:
        """Clear a request that an upstream ran to its end."""
        self.answered[fingerprint] = float("-inf")
        self.answered.move_to_end(fingerprint)
        if len(self.answered) > MOST_ANSWERED:
            self.answered.popitem(last=False)
        self.register.note_success(fingerprint)

    def record_loss(self, entry: UpstreamEntry, fingerprints: Iterable[str]) -> None:
        """Take the end of an upstream that this daemon has found."""
        self.count += 1
        record = entry.record
        loss = Loss(
            self.count,
            f"{record.id}/{record.born}",
            record.version,
            record.failure_domain,
            tuple(fingerprints),
        )
        self.losses.append((self.now(), loss))
        self.count_loss(loss, self.now())
        self.on_loss()

    def count_loss(self, loss: Loss, at: float) -> None:
        """Count a loss against the requests that it left unanswered.

        :param at: event-loop time in seconds at which it was found
        """
        counted = tuple(item for item in loss.fingerprints if not self.is_in_wave(item, at))
        if not counted:
            return
        report = CrashReport(loss.upstream, loss.version, loss.failure_domain, counted, at)
        for fingerprint in self.register.note_crash(report):
            self.log.write(
                "request_quarantined",
                fingerprint=fingerprint,
                upstreams=sorted(name for name, _ in self.register.crashes[fingerprint]),
            )
            self.on_quarantine(fingerprint)

    def is_in_wave(self, fingerprint: str, at: float) -> bool:
        """Say whether a loss of a request that was answered before came with another one."""
        last = self.answered.get(fingerprint)
        if last is None:
            return False
        if abs(at - last) < WAVE_SECONDS:
            return True
        self.answered[fingerprint] = at
        return False

    def encode_losses(self) -> tuple:
        """Return the losses that other daemons may not have been told of."""
        now = self.now()
        while self.losses and self.losses[0][0] < now - REPORT_SECONDS:
            self.losses.popleft()
        return tuple(
            tuple(loss._replace(age_ms=int((now - at) * 1000))) for at, loss in self.losses
        )

    def merge_losses(
        self, daemon: str, incarnation: int, rows: Iterable[tuple], said_at: float
    ) -> None:
        """Take the losses that another daemon has found.

        :param said_at: event-loop time in seconds at which it told of them
        """
        last = self.heard.get(daemon, (0, 0))
        newest = last[1] if last[0] == incarnation else 0
        for loss in (Loss(*row) for row in rows):
            if loss.number > newest:
                newest = loss.number
                self.count_loss(loss, said_at - loss.age_ms / 1000)
        self.heard[daemon] = (incarnation, newest)

    def note_quarantine(self, fingerprint: str) -> None:
        """Take over a quarantine that another daemon has stored."""
        self.register.note_quarantine(fingerprint, self.now())

    def lift_quarantine(self, fingerprint: str) -> None:
        """Let a request run again."""
        if self.register.clear_request(fingerprint):
            self.log.write("quarantine_lifted", fingerprint=fingerprint)
