"""Detection and quarantine of requests that crash the upstreams that run them."""

__all__ = [
    "CrashReport",
    "PoisonRequestTracker",
    "Verdict",
    "compute_fingerprint",
    "compute_part_key",
]

import enum
from collections import OrderedDict
from typing import NamedTuple

import xxhash

QUARANTINE_SECONDS = 3600.0
CORRELATION_WINDOW_SECONDS = 10.0
SAME_CRASH_SECONDS = 2.0
QUARANTINE_CRASHES = 2
MIN_CORRELATED_CRASHES = 3
MAX_FINGERPRINTS = 100_000


class Verdict(enum.StrEnum):
    """Whether a request may run."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


class CrashReport(NamedTuple):
    """An upstream crashed while it was running requests.

    :ivar fingerprints: fingerprints of the requests that it was running
    :ivar at: event-loop time in seconds
    """

    upstream: str
    version: str
    failure_domain: str
    fingerprints: tuple[str, ...]
    at: float

    @property
    def crash(self) -> tuple[str, float]:
        """Return the crash's identity: its upstream and time."""
        return self.upstream, self.at


def compute_fingerprint(scope: str, body: bytes) -> str:
    """Return a hash that identifies a request when a caller sends it again.

    :param scope: what distinguishes the request besides its body
    """
    return xxhash.xxh128_hexdigest(scope.encode() + b"\x00" + body)


def compute_part_key(model: str, part_id: str) -> str:
    """Return a hash that identifies a part of a prompt in all requests to one model."""
    return xxhash.xxh64_hexdigest(f"{model}\x00{part_id}".encode())


class PoisonRequestTracker:
    """Counts the upstreams that crashed on each request, and quarantines requests.

    A crash does not count if a reclaim or a bad version explains it, that is, if many upstreams of
    one failure domain or one version crash within seconds on different requests.

    :ivar quarantine_crashes: number of crashes after which a request is quarantined
    :ivar min_correlated_crashes: number of crashes that are explained by a reclaim or a bad
        version, None to count every crash
    :ivar same_crash_seconds: time within which reports on one upstream are about the same crash
    :ivar crashes: identities of the crashes by fingerprint
    :ivar quarantined: time of quarantine by fingerprint
    :ivar restored: upstreams by fingerprint whose crashes were read from the store, which others
        may still tell
    """

    def __init__(
        self,
        quarantine_crashes: int = QUARANTINE_CRASHES,
        min_correlated_crashes: int | None = MIN_CORRELATED_CRASHES,
        same_crash_seconds: float = SAME_CRASH_SECONDS,
    ) -> None:
        self.quarantine_crashes = quarantine_crashes
        self.min_correlated_crashes = min_correlated_crashes
        self.same_crash_seconds = same_crash_seconds
        self.crashes: OrderedDict[str, set[tuple[str, float]]] = OrderedDict()
        self.quarantined: dict[str, float] = {}
        self.recent_reports: list[CrashReport] = []
        self.bad_versions: set[str] = set()
        self.reclaimed: dict[str, float] = {}
        self.restored: dict[str, set[str]] = {}

    def note_reclaim(self, upstream: str, now: float) -> None:
        """Record that an upstream's instance is being reclaimed."""
        self.reclaimed[upstream] = now

    def note_crash(self, report: CrashReport) -> list[str]:
        """Record a crash and return the fingerprints that are newly quarantined."""
        self.recent_reports = [
            item for item in self.recent_reports if item.at > report.at - CORRELATION_WINDOW_SECONDS
        ]
        report = self.merge_same_crash(report)
        if self.has_other_cause(report):
            self.discount_correlated_crashes(report)
            return []
        return self.count_crash(report)

    def restore_crash(self, report: CrashReport) -> list[str]:
        """Count a stored crash and return the fingerprints that are newly quarantined.

        An upstream's incarnation crashes once, so that one that is known is not counted again.
        """
        unknown = tuple(
            name
            for name in report.fingerprints
            if report.upstream not in {upstream for upstream, _ in self.crashes.get(name, ())}
        )
        quarantined = self.count_crash(report._replace(fingerprints=unknown))
        for name in unknown:
            self.restored.setdefault(name, set()).add(report.upstream)
        return quarantined

    def merge_same_crash(self, report: CrashReport) -> CrashReport:
        """Merge a report with those of other daemons on the same crash."""
        for index, item in enumerate(self.recent_reports):
            same = item.upstream == report.upstream
            if same and report.at - item.at < self.same_crash_seconds:
                running = tuple(sorted({*item.fingerprints, *report.fingerprints}))
                merged = item._replace(fingerprints=running)
                self.recent_reports[index] = merged
                return merged
        self.recent_reports.append(report)
        return report

    def has_other_cause(self, report: CrashReport) -> bool:
        """Return whether a reclaim or a bad version explains the crash."""
        if report.upstream in self.reclaimed or report.version in self.bad_versions:
            return True
        if self.min_correlated_crashes is None:
            return False
        return len(self.find_correlated_crashes(report)) >= self.min_correlated_crashes

    def find_correlated_crashes(self, report: CrashReport) -> list[CrashReport]:
        """Return this and the recent crashes of its domain or version with no common request."""
        own_fingerprints = set(report.fingerprints)
        return [
            item
            for item in self.recent_reports
            if (item.failure_domain == report.failure_domain or item.version == report.version)
            and (item is report or not own_fingerprints & set(item.fingerprints))
        ]

    def discount_correlated_crashes(self, report: CrashReport) -> None:
        """Discard the crashes that are correlated with a report's crash."""
        for item in self.find_correlated_crashes(report):
            for fingerprint in item.fingerprints:
                self.crashes.get(fingerprint, set()).discard(item.crash)

    def count_crash(self, report: CrashReport) -> list[str]:
        """Count a crash against each request that was running."""
        newly_quarantined = []
        for fingerprint in report.fingerprints:
            if report.upstream in self.restored.get(fingerprint, ()):
                continue
            crash_ids = self.crashes.setdefault(fingerprint, set())
            crash_ids.add(report.crash)
            self.crashes.move_to_end(fingerprint)
            if len(crash_ids) >= self.quarantine_crashes and fingerprint not in self.quarantined:
                self.quarantined[fingerprint] = report.at
                newly_quarantined.append(fingerprint)
        while len(self.crashes) > MAX_FINGERPRINTS:
            forgotten, _ = self.crashes.popitem(last=False)
            self.restored.pop(forgotten, None)
        return newly_quarantined

    def note_success(self, fingerprint: str) -> None:
        """Clear the crashes of a request that completed."""
        self.crashes.pop(fingerprint, None)

    def note_quarantine(self, fingerprint: str, now: float) -> None:
        """Apply another daemon's quarantine of a request."""
        self.quarantined.setdefault(fingerprint, now)

    def count_crashes(self, fingerprint: str) -> int:
        """Return the number of crashes that count against a request."""
        return len(self.crashes.get(fingerprint, ()))

    def clear_request(self, fingerprint: str) -> bool:
        """Clear a request's crashes and quarantine; return whether it was quarantined."""
        self.crashes.pop(fingerprint, None)
        return self.quarantined.pop(fingerprint, None) is not None

    def judge(self, fingerprint: str, now: float) -> Verdict:
        """Return whether a request may run now; expired quarantines are removed."""
        quarantined_at = self.quarantined.get(fingerprint)
        if quarantined_at is not None:
            if now - quarantined_at < QUARANTINE_SECONDS:
                return Verdict.QUARANTINED
            del self.quarantined[fingerprint]
            self.crashes.pop(fingerprint, None)
        return Verdict.SUSPECT if self.crashes.get(fingerprint) else Verdict.CLEAR
