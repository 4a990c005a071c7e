"""Detection of requests that crash upstreams, shared between daemons."""

__all__ = ["SuspectTracker"]

from collections.abc import Callable
from typing import TYPE_CHECKING

from tanagertrail.core.context import NodeContext
from tanagertrail.core.requests import CallerRequest
from tanagertrail.daemons.messages import CrashNotice, QuarantineNotice, ReclaimNotice
from tanagertrail.model import Upstream
from tanagertrail.policy.choice import Candidate
from tanagertrail.policy.hashing import score_pair
from tanagertrail.policy.poison import (
    SAME_CRASH_SECONDS,
    CrashReport,
    PoisonRequestTracker,
    Verdict,
    compute_fingerprint,
)

if TYPE_CHECKING:
    from tanagertrail.core.active_requests import ActiveRequest, ActiveRequestTable


class SuspectTracker:
    """Finds requests that crash upstreams, from the crashes that all daemons have seen.

    :ivar reported_at: time of the last crash of each upstream that this daemon reported
    :ivar on_crash: called with the name of an upstream that crashed
    """

    def __init__(self, context: NodeContext) -> None:
        self.context = context
        self.poison_tracker = PoisonRequestTracker()
        self.reported_at: dict[str, float] = {}
        self.on_crash: Callable[[str], None] = lambda upstream: None
        context.register_handler(CrashNotice, self.receive_crash)
        context.register_handler(QuarantineNotice, self.receive_quarantine)

    def judge(self, request: CallerRequest) -> Verdict:
        """Return whether a request is clear, suspected or quarantined."""
        return self.judge_fingerprint(self.get_fingerprint(request))

    def judge_fingerprint(self, fingerprint: str) -> Verdict:
        """Return whether requests with a fingerprint are clear, suspected or quarantined."""
        return self.poison_tracker.judge(fingerprint, self.context.now())

    def get_fingerprint(self, request: CallerRequest) -> str:
        """Return a hash that is the same when a caller sends the request again."""
        return compute_fingerprint(request.service, request.body)

    def narrow_candidates(
        self, request: CallerRequest, candidates: list[Candidate]
    ) -> list[Candidate]:
        """Return the candidates for a request; for a suspect only one, the same on all daemons.

        Copies of a request that crashes upstreams then crash a single one.
        """
        if self.judge(request) is not Verdict.SUSPECT:
            return candidates
        fingerprint = self.get_fingerprint(request)
        return [max(candidates, key=lambda item: score_pair(fingerprint, item.upstream))]

    def record_success(self, request: CallerRequest) -> None:
        """Clear the suspicion against a request that ran to its end."""
        self.poison_tracker.note_success(self.get_fingerprint(request))

    def report_crash(
        self, active: "ActiveRequest", upstream: Upstream, active_requests: "ActiveRequestTable"
    ) -> None:
        """Notify every daemon of a crash and of the requests that this daemon ran on the upstream.

        All attempts that fail in one crash make a single report.
        """
        now = self.context.now()
        if now - self.reported_at.get(upstream.name, float("-inf")) < SAME_CRASH_SECONDS:
            return
        self.reported_at[upstream.name] = now
        fingerprints = {
            self.get_fingerprint(item.request)
            for item in [*active_requests.by_upstream[upstream.name], active]
        }
        notice = CrashNotice(
            upstream.name,
            f"{active.request.service}/{active.version}",
            upstream.failure_domain,
            tuple(sorted(fingerprints)),
        )
        self.context.recorder.record("upstream_crashed", upstream=upstream.name)
        self.receive_crash(self.context.daemon, notice)
        self.context.flood(notice)

    def receive_crash(self, sender: str, notice: CrashNotice) -> None:
        """Handle a crash seen by any daemon: call ``on_crash`` and quarantine repeated causes."""
        self.on_crash(notice.upstream)
        report = CrashReport(*notice, at=self.context.now())
        for fingerprint in self.poison_tracker.note_crash(report):
            self.context.recorder.record("request_quarantined", detail=fingerprint)
            self.context.flood(QuarantineNotice(fingerprint))

    def receive_quarantine(self, sender: str, notice: QuarantineNotice) -> None:
        """Apply a quarantine that another daemon decided."""
        self.poison_tracker.note_quarantine(notice.fingerprint, self.context.now())

    def receive_reclaim(self, sender: str, notice: ReclaimNotice) -> None:
        """Exempt upstreams that are being reclaimed, whose loss is no evidence on requests."""
        for upstream in notice.upstreams:
            self.poison_tracker.note_reclaim(upstream, self.context.now())
