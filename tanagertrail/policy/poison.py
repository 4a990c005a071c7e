"""Requests that crash the upstreams that run them."""

__all__ = ["CrashReport", "PoisonRequestTracker", "Verdict", "compute_fingerprint"]

import enum
from collections import OrderedDict
from typing import NamedTuple

import xxhash

QUARANTINE_SECONDS = 3600.0
EXPLAINED_WINDOW_SECONDS = 10.0
SAME_CRASH_SECONDS = 2.0
QUARANTINE_CRASHES = 2
WAVE_UPSTREAMS = 3
MAX_FINGERPRINTS = 100_000


class Verdict(enum.StrEnum):
    """What may be done with a request."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


class CrashReport(NamedTuple):
    """An upstream lost while it ran some requests.

    :ivar fingerprints: the requests that it ran
    :ivar at: event-loop time in seconds
    """

    upstream: str
    version: str
    failure_domain: str
    fingerprints: tuple[str, ...]
    at: float

    @property
    def crash(self) -> tuple[str, float]:
        """Return what identifies the crash."""
        return self.upstream, self.at


def compute_fingerprint(scope: str, body: bytes) -> str:
    """Return what stays the same when a caller sends a request again.

    :param scope: what the request is besides its body
    """
    return xxhash.xxh128_hexdigest(scope.encode() + b"\x00" + body)


class PoisonRequestTracker:
    """Count the upstreams lost to each request, and quarantine it after some.

    A crash counts only if no reclaim and no bad version explains it: many upstreams of one
    failure domain or one version lost within seconds to different requests.

    :ivar quarantine_crashes: upstreams lost to a request by which it is quarantined
    :ivar wave_upstreams: upstreams lost that are a wave, None where each crash counts
    :ivar same_crash_seconds: span in which reports on one upstream are on the same crash
    """

    def __init__(
        self,
        quarantine_crashes: int = QUARANTINE_CRASHES,
        wave_upstreams: int | None = WAVE_UPSTREAMS,
        same_crash_seconds: float = SAME_CRASH_SECONDS,
    ) -> None:
        self.quarantine_crashes = quarantine_crashes
        self.wave_upstreams = wave_upstreams
        self.same_crash_seconds = same_crash_seconds
        self.crashes: OrderedDict[str, set[tuple[str, float]]] = OrderedDict()
        self.quarantined: dict[str, float] = {}
        self.recent: list[CrashReport] = []
        self.bad_versions: set[str] = set()
        self.reclaimed: dict[str, float] = {}

    def note_reclaim(self, upstream: str, now: float) -> None:
        """Note that an upstream's instance is being reclaimed."""
        self.reclaimed[upstream] = now

    def note_crash(self, report: CrashReport) -> list[str]:
        """Take a crash and return the fingerprints that are now quarantined."""
        self.recent = [
            item for item in self.recent if item.at > report.at - EXPLAINED_WINDOW_SECONDS
        ]
        report = self.join_same_crash(report)
        if self.is_explained(report):
            self.discount_wave(report)
            return []
        return self.count_crash(report)

    def join_same_crash(self, report: CrashReport) -> CrashReport:
        """Join a report with those of other daemons on the same crash."""
        for index, item in enumerate(self.recent):
            same = item.upstream == report.upstream
            if same and report.at - item.at < self.same_crash_seconds:
                running = tuple(sorted({*item.fingerprints, *report.fingerprints}))
                joined = item._replace(fingerprints=running)
                self.recent[index] = joined
                return joined
        self.recent.append(report)
        return report

    def is_explained(self, report: CrashReport) -> bool:
        """Say whether a reclaim or a bad version explains the crash."""
        if report.upstream in self.reclaimed or report.version in self.bad_versions:
            return True
        if self.wave_upstreams is None:
            return False
        return len(self.find_wave(report)) >= self.wave_upstreams

    def find_wave(self, report: CrashReport) -> list[CrashReport]:
        """Return the recent crashes of the same domain or version that share no request."""
        shared = set(report.fingerprints)
        return [
            item
            for item in self.recent
            if (item.failure_domain == report.failure_domain or item.version == report.version)
            and (item is report or not shared & set(item.fingerprints))
        ]

    def discount_wave(self, report: CrashReport) -> None:
        """Take back the counts of the crashes that belong to a wave."""
        for item in self.find_wave(report):
            for fingerprint in item.fingerprints:
                self.crashes.get(fingerprint, set()).discard(item.crash)

    def count_crash(self, report: CrashReport) -> list[str]:
        """Count a crash against each request that ran."""
        fresh = []
        for fingerprint in report.fingerprints:
            lost = self.crashes.setdefault(fingerprint, set())
            lost.add(report.crash)
            self.crashes.move_to_end(fingerprint)
            if len(lost) >= self.quarantine_crashes and fingerprint not in self.quarantined:
                self.quarantined[fingerprint] = report.at
                fresh.append(fingerprint)
        while len(self.crashes) > MAX_FINGERPRINTS:
            self.crashes.popitem(last=False)
        return fresh

    def note_success(self, fingerprint: str) -> None:
        """Clear a request that ran to its end."""
        self.crashes.pop(fingerprint, None)

    def note_quarantine(self, fingerprint: str, now: float) -> None:
        """Take over another daemon's quarantine."""
        self.quarantined.setdefault(fingerprint, now)

    def count_crashes(self, fingerprint: str) -> int:
        """Count the upstreams that were lost to a request."""
        return len(self.crashes.get(fingerprint, ()))

    def clear_request(self, fingerprint: str) -> bool:
        """Forget what counts against a request and return whether it was quarantined."""
        self.crashes.pop(fingerprint, None)
        return self.quarantined.pop(fingerprint, None) is not None

    def judge(self, fingerprint: str, now: float) -> Verdict:
        """Say what may be done with a request now."""
        since = self.quarantined.get(fingerprint)
        if since is not None:
            if now - since < QUARANTINE_SECONDS:
                return Verdict.QUARANTINED
            del self.quarantined[fingerprint]
            self.crashes.pop(fingerprint, None)
        return Verdict.SUSPECT if self.crashes.get(fingerprint) else Verdict.CLEAR
