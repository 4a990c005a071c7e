"""Requests that are suspected of crashing upstreams, shared between daemons."""

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
    """Judge requests by the crashes that all daemons have seen."""

    def __init__(self, context: NodeContext) -> None:
        self.context = context
        self.register = PoisonRequestTracker()
        self.reported: dict[str, float] = {}
        self.on_crash: Callable[[str], None] = lambda upstream: None
        context.register_handler(CrashNotice, self.receive_crash)
        context.register_handler(QuarantineNotice, self.receive_quarantine)

    def judge(self, request: CallerRequest) -> Verdict:
        """Say what may be done with a request."""
        return self.judge_fingerprint(self.find_fingerprint(request))

    def judge_fingerprint(self, fingerprint: str) -> Verdict:
        """Say what may be done with the requests of a fingerprint."""
        return self.register.judge(fingerprint, self.context.now())

    def find_fingerprint(self, request: CallerRequest) -> str:
        """Return what stays the same when a caller sends a request again."""
        return compute_fingerprint(request.service, request.body)

    def narrow(self, request: CallerRequest, candidates: list[Candidate]) -> list[Candidate]:
        """Send a suspect to one upstream, the same from every daemon."""
        if self.judge(request) is not Verdict.SUSPECT:
            return candidates
        fingerprint = self.find_fingerprint(request)
        return [max(candidates, key=lambda item: score_pair(fingerprint, item.upstream))]

    def note_success(self, request: CallerRequest) -> None:
        """Clear a request that was answered in full."""
        self.register.note_success(self.find_fingerprint(request))

    def note_crash(
        self, flight: "ActiveRequest", upstream: Upstream, flights: "ActiveRequestTable"
    ) -> None:
        """Report the loss of an upstream with all that this daemon ran on it."""
        now = self.context.now()
        if now - self.reported.get(upstream.name, float("-inf")) < SAME_CRASH_SECONDS:
            return
        self.reported[upstream.name] = now
        running = {
            self.find_fingerprint(item.request)
            for item in [*flights.by_upstream[upstream.name], flight]
        }
        notice = CrashNotice(
            upstream.name,
            f"{flight.request.service}/{flight.version}",
            upstream.failure_domain,
            tuple(sorted(running)),
        )
        self.context.recorder.record("upstream_crashed", upstream=upstream.name)
        self.receive_crash(self.context.daemon, notice)
        self.context.flood(notice)

    def receive_crash(self, sender: str, notice: CrashNotice) -> None:
        """Count a crash seen by any daemon, and keep work from the upstream."""
        self.on_crash(notice.upstream)
        report = CrashReport(*notice, at=self.context.now())
        for fingerprint in self.register.note_crash(report):
            self.context.recorder.record("request_quarantined", detail=fingerprint)
            self.context.flood(QuarantineNotice(fingerprint))

    def receive_quarantine(self, sender: str, notice: QuarantineNotice) -> None:
        """Take over a quarantine."""
        self.register.note_quarantine(notice.fingerprint, self.context.now())

    def receive_reclaim(self, sender: str, notice: ReclaimNotice) -> None:
        """Discount crashes of upstreams that are being reclaimed."""
        for upstream in notice.upstreams:
            self.register.note_reclaim(upstream, self.context.now())
