"""Requests and prompt parts that upstreams crash on, counted over all daemons and quarantined."""

__all__ = ["QUARANTINE_THRESHOLD", "SuspectTracker"]

import asyncio
from collections import Counter, OrderedDict, deque
from collections.abc import Callable, Collection, Iterable

from tanagertrail.daemons.peer_messages import DaemonState
from tanagertrail.daemons.releases import COMPLETED_RELEASE
from tanagertrail.gateway.crash_detector import UnansweredAttempt
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.losses import (
    UpstreamLoss,
    describe_lost,
    name_part_quarantine,
    parse_part_quarantine,
)
from tanagertrail.gateway.upstream_table import UpstreamEntry
from tanagertrail.policy.crash_attribution import CrashAttributor
from tanagertrail.policy.crash_evidence import Evidence, LostRequest, PartSet
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
MAX_REPORTED_REQUESTS = 64  # of one crash by one daemon
MAX_TOLD_SUSPECTS = 256  # that a hub names to daemons that do not hear of all losses
# After a loss, until what remains suspect is stored: requests that were only lost beside another
# one are answered elsewhere in less.
KEEP_LOSS_SECONDS = 2.5
DIRECT_SETTLE_SECONDS = 0.6  # by then the other daemons have told what completed
RELAYED_SETTLE_SECONDS = 1.0
DECISION_PERIOD_SECONDS = 0.5
UNDECIDED_SECONDS = 3.0  # after a crash, in which late news may still decide on a part


class SuspectTracker:
    """Track which requests and which parts of prompts may crash upstreams.

    A quarantine has a name: the fingerprint of a whole request, or the parts of prompts. Losses,
    messages between daemons and stored quarantines serve both kinds.

    A response clears a request, because a poisonous request crashes every upstream. For a request
    that was answered before, losses at about the same time count as one, since a popular request
    runs on many upstreams at once. A request that is one loss short of the quarantine runs
    isolated from other such requests, so that those that only ran beside the poisonous one are
    answered and cleared.

    :ivar answered: fingerprints that were answered, with the time of the last loss counted since
    :ivar running: number of requests that this daemon is serving, by fingerprint
    :ivar losses: losses found by this daemon that are still reported, with their times
    :ivar newest_losses: incarnation and highest loss number received from each daemon
    :ivar attributor: decides which parts of prompts crash upstreams
    :ivar cleared: time at which a request of this daemon cleared a part, still told to others
    :ivar completed: requests of this daemon that completed, by service
    :ivar completed_elsewhere: incarnation and completed requests that each daemon last told
    :ivar hears_all_losses: returns whether this daemon hears of the losses of all daemons
    :ivar relays: returns whether this daemon is a hub of daemons that do not
    :ivar on_loss: called when there is a loss to report to the other daemons
    :ivar on_suspect: called with a loss of this daemon whose requests remain suspect
    :ivar on_quarantine: called with the name of a quarantine that this daemon imposes
    :ivar on_refuted: called with the name of a quarantine that a completed request refutes
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
        self.attributor = CrashAttributor()
        self.cleared: dict[str, float] = {}
        self.completed: Counter[str] = Counter()
        self.completed_elsewhere: dict[str, tuple[int, dict[str, int]]] = {}
        self.decision_timer: asyncio.TimerHandle | None = None
        self.hears_all_losses: Callable[[], bool] = lambda: True
        self.relays: Callable[[], bool] = lambda: False
        self.on_loss: Callable[[], None] = lambda: None
        self.on_suspect: Callable[[UpstreamLoss], None] = lambda loss: None
        self.on_quarantine: Callable[[str], None] = lambda name: None
        self.on_refuted: Callable[[str], None] = lambda name: None

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

    def find_part_quarantine(self, parts: Collection[str]) -> str | None:
        """Return the name of the quarantine that a request falls under by its parts, or None."""
        group = self.attributor.find_quarantine(parts, self.now())
        return None if group is None else name_part_quarantine(group)

    def get_quarantine_time_left(self, name: str) -> float:
        """Return the remaining seconds of a quarantine."""
        group = parse_part_quarantine(name)
        if group is None:
            since = self.poison_tracker.quarantined.get(name, self.now())
        else:
            since = self.attributor.quarantined.get(group, self.now())
        return max(since + QUARANTINE_SECONDS - self.now(), 0.0)

    def may_send_again(self, fingerprint: str, parts: Collection[str]) -> bool:
        """Return whether a request that may have crashed an upstream may be sent to another one."""
        if self.must_run_isolated(fingerprint):
            return False
        return not self.attributor.is_risky(parts)

    def note_completed(self, service: str, parts: Collection[str]) -> None:
        """Record that a request completed, which clears its parts."""
        now = self.now()
        self.completed[service] += 1
        self.attributor.count_completed(service, 1, now)
        for part in parts:
            if self.attributor.note_completed(part, now):
                self.cleared[part] = now
        for group, rest in self.attributor.list_refuted(parts):
            self.refute(group, rest)

    def refute(self, group: PartSet, rest: PartSet) -> None:
        """End a quarantine of parts that a completed request had.

        :param rest: parts that the request did not have, which stay quarantined
        """
        name = name_part_quarantine(group)
        self.attributor.lift(group, self.now())
        self.log.write("quarantine_refuted", quarantine=name, remaining=sorted(rest))
        self.on_refuted(name)
        if rest:
            self.attributor.quarantine(rest, self.now())
            self.on_quarantine(name_part_quarantine(rest))

    def note_answered(self, fingerprint: str) -> None:
        """Clear a request that an upstream has completed."""
        self.answered[fingerprint] = float("-inf")
        self.answered.move_to_end(fingerprint)
        if len(self.answered) > MAX_ANSWERED_FINGERPRINTS:
            self.answered.popitem(last=False)
        self.poison_tracker.note_success(fingerprint)

    def record_loss(self, entry: UpstreamEntry, attempts: Iterable[UnansweredAttempt]) -> None:
        """Count the crash of an upstream that this daemon has detected, and report it."""
        self.loss_count += 1
        now = self.now()
        record = entry.record
        rows = {attempt.fingerprint: describe_lost(attempt, now) for attempt in attempts}
        loss = UpstreamLoss(
            self.loss_count,
            f"{record.id}/{record.born}",
            record.version,
            record.failure_domain,
            record.service,
            tuple(rows.values())[:MAX_REPORTED_REQUESTS],
        )
        self.losses.append((now, loss))
        self.count_loss(loss, now)
        self.on_loss()
        if loss.requests:
            asyncio.get_running_loop().call_later(KEEP_LOSS_SECONDS, self.keep_loss, loss)

    def keep_loss(self, loss: UpstreamLoss) -> None:
        """Have a loss stored with those of its requests that no upstream has completed since."""
        rows = [row for row in loss.requests if self.judge(row.fingerprint) is Verdict.SUSPECT]
        if rows:
            self.on_suspect(loss._replace(requests=tuple(rows)))

    def restore_loss(self, report: CrashReport) -> None:
        """Count a loss from before this daemon's start."""
        for fingerprint in self.poison_tracker.restore_crash(report):
            self.log.write("request_quarantined", fingerprint=fingerprint, restored=True)
            self.on_quarantine(fingerprint)

    def count_loss(self, loss: UpstreamLoss, at: float) -> None:
        """Count a loss against the requests that the upstream left unanswered.

        :param at: event-loop time in seconds at which the crash was detected
        """
        if loss.service:
            self.count_part_loss(loss, at)
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

    def count_part_loss(self, loss: UpstreamLoss, at: float) -> None:
        """Count a loss against the parts of the requests, and decide on them when news is in."""
        requests = [
            LostRequest(
                row.fingerprint,
                frozenset(row.parts),
                at - row.sent_ms / 1000,
                at - row.failed_ms / 1000,
            )
            for row in loss.requests
        ]
        suspected = self.attributor.note_crash(loss.upstream, loss.service, at, requests)
        for row in loss.requests:
            for part in row.parts:
                self.tell_if_cleared(part, at - row.failed_ms / 1000)
        if suspected and self.decision_timer is None:
            self.decision_timer = asyncio.get_running_loop().call_later(
                DECISION_PERIOD_SECONDS, self.decide_on_parts
            )

    def tell_if_cleared(self, part: str, failed_at: float) -> None:
        """Tell the others of a request with a part that completed here after one was lost."""
        completed_at = self.attributor.completed_at.get(part)
        if completed_at is not None and completed_at > failed_at:
            self.cleared[part] = completed_at

    @property
    def settle_seconds(self) -> float:
        """Seconds after which this daemon has heard what completed at others."""
        return RELAYED_SETTLE_SECONDS if self.relays() else DIRECT_SETTLE_SECONDS

    def decide_on_parts(self) -> None:
        """Quarantine the parts that crash upstreams; decide again while news may come."""
        self.decision_timer = None
        if not self.hears_all_losses():
            return
        now = self.now()
        for group, evidence in self.attributor.quarantine_culprits(now, self.settle_seconds):
            self.log_part_quarantine(group, evidence)
            self.on_quarantine(name_part_quarantine(group))
        candidates = self.attributor.list_candidates()
        for evidence in candidates:
            self.log.write_routine("part_suspected", **describe_evidence(evidence))
        if any(now - item.crashes[-1].at < UNDECIDED_SECONDS for item in candidates):
            self.decision_timer = asyncio.get_running_loop().call_later(
                DECISION_PERIOD_SECONDS, self.decide_on_parts
            )

    def log_part_quarantine(self, group: PartSet, evidence: Evidence) -> None:
        """Log why requests with some parts are quarantined."""
        self.log.write(
            "parts_quarantined",
            quarantine=name_part_quarantine(group),
            **describe_evidence(evidence),
        )

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

    def encode_cleared(self) -> tuple:
        """Encode when requests of this daemon cleared suspected parts, as (part, age in ms)."""
        now = self.now()
        for part in [name for name, at in self.cleared.items() if at < now - LOSS_REPORT_SECONDS]:
            del self.cleared[part]
        return tuple((part, int((now - at) * 1000)) for part, at in self.cleared.items())

    def encode_suspected(self) -> tuple:
        """Encode the suspected parts for daemons that hear of them only from this hub."""
        if not self.relays():
            return ()
        now = self.now()
        newest = list(self.attributor.suspected.items())[-MAX_TOLD_SUSPECTS:]
        return tuple((part, int((now - at) * 1000)) for part, at in newest)

    def merge_parts(self, state: DaemonState, reported_at: float) -> None:
        """Apply what another daemon tells of parts that were cleared or are suspected.

        :param reported_at: event-loop time in seconds of the report
        """
        for part, age_ms in state.cleared_parts:
            self.attributor.note_completed(part, reported_at - age_ms / 1000)
        if not self.hears_all_losses():
            for part, age_ms in state.suspected_parts:
                failed_at = reported_at - age_ms / 1000
                if not self.attributor.suspect(part, failed_at):
                    self.tell_if_cleared(part, failed_at)
        if state.release < COMPLETED_RELEASE:
            return
        counts = dict(state.completed)
        incarnation, known = self.completed_elsewhere.get(state.daemon, (0, {}))
        if incarnation == state.incarnation:
            for service, count in counts.items():
                more = count - known.get(service, 0)
                if more > 0:
                    self.attributor.count_completed(service, more, reported_at)
        self.completed_elsewhere[state.daemon] = (state.incarnation, counts)

    def forget_daemons_except(self, alive: Collection[str]) -> None:
        """Drop the counts of daemons that are gone."""
        for daemon in [name for name in self.completed_elsewhere if name not in alive]:
            del self.completed_elsewhere[daemon]

    def merge_losses(
        self, daemon: str, incarnation: int, rows: Iterable[tuple], reported_at: float
    ) -> None:
        """Count the losses that another daemon has detected, each once.

        :param reported_at: event-loop time in seconds of the report
        """
        last = self.newest_losses.get(daemon, (0, 0))
        newest = last[1] if last[0] == incarnation else 0
        for loss in (UpstreamLoss.from_row(row) for row in rows):
            if loss.number > newest:
                newest = loss.number
                self.count_loss(loss, reported_at - loss.age_ms / 1000)
        self.newest_losses[daemon] = (incarnation, newest)

    def note_quarantine(self, name: str) -> None:
        """Apply a quarantine that is stored, usually by another daemon."""
        group = parse_part_quarantine(name)
        if group is None:
            self.poison_tracker.note_quarantine(name, self.now())
        else:
            self.attributor.quarantine(group, self.now())

    def lift_quarantine(self, name: str) -> None:
        """End a quarantine."""
        group = parse_part_quarantine(name)
        if group is None:
            lifted = self.poison_tracker.clear_request(name)
        else:
            lifted = self.attributor.lift(group, self.now())
        if lifted:
            self.log.write("quarantine_lifted", quarantine=name)


def describe_evidence(evidence: Evidence) -> dict[str, object]:
    """Return the fields of a log line on the evidence against a part."""
    return {
        "part": evidence.part,
        "upstreams": [crash.upstream for crash in evidence.crashes],
        "crashes": f"{evidence.met_crashes} of {evidence.all_crashes}",
        "lost_with": evidence.lost_with,
        "lost_without": evidence.lost_without,
        "completed_without": evidence.completed_without,
        "chance": f"{evidence.chance:.2g}",
    }
