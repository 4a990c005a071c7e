"""Attribution of upstream crashes to parts that prompts have in common.

Answers the load in which requests of which no two are alike share a part that crashes every
upstream that begins to answer them, beside sound requests that share all of their other parts.
"""

__all__ = ["CrashAttributor"]

import math
from collections import Counter, OrderedDict
from collections.abc import Collection, Iterable

from tanagertrail.policy.crash_evidence import MIN_CRASHES, Crash, Evidence, LostRequest, PartSet
from tanagertrail.policy.poison import QUARANTINE_SECONDS

RISKY_CRASHES = MIN_CRASHES - 1  # from which a request with the part is not sent a second time
TIE_SECONDS = 1.5  # in which another crash may tell parts with the same evidence apart
EVIDENCE_SECONDS = 900.0
MAX_CRASHES = 256
MAX_REQUESTS_PER_CRASH = 256
MAX_COMPLETED_PARTS = 8192
MAX_SUSPECTED_PARTS = 4096
MAX_QUARANTINES = 4096
BUCKET_SECONDS = 0.5  # resolution of the counts of completed requests
BUCKET_COUNT = 120  # of the newest counts that are kept for each service


class CrashAttributor:
    """Decide which parts of prompts crash upstreams.

    A part is suspected from a crash of an upstream that left a request with it unanswered until a
    request with it completes. It is quarantined after enough crashes that are independent, each
    under a request sent when the one before was known, if the losses among requests without it
    make a coincidence improbable. Crashes that a quarantined part explains don't count against
    other parts. Parts that never came apart are quarantined together.

    :ivar crashes: recent crashes by the upstream's incarnation, oldest first
    :ivar completed_at: time at which a request with a part last completed
    :ivar suspected: failure time of the last lost request, by part that has not completed since
    :ivar quarantined: time of quarantine by parts that a refused request has all of
    :ivar completed_counts: completed requests by service and time bucket
    """

    def __init__(self) -> None:
        self.crashes: OrderedDict[str, Crash] = OrderedDict()
        self.completed_at: OrderedDict[str, float] = OrderedDict()
        self.suspected: OrderedDict[str, float] = OrderedDict()
        self.quarantined: dict[PartSet, float] = {}
        self.quarantined_by_part: dict[str, set[PartSet]] = {}
        self.completed_counts: dict[str, Counter[int]] = {}

    def note_crash(
        self, upstream: str, service: str, at: float, requests: Iterable[LostRequest]
    ) -> list[str]:
        """Record a crash, or more of its requests, and return the parts now suspected.

        :param upstream: identity of the upstream's incarnation
        :param at: event-loop time in seconds at which the crash was detected
        """
        crash = self.crashes.setdefault(upstream, Crash(upstream, service, at))
        crash.at = min(crash.at, at)
        suspected = []
        for request in requests:
            if len(crash.requests) >= MAX_REQUESTS_PER_CRASH:
                break
            crash.requests[request.fingerprint] = request
            for part in request.parts:
                if self.suspect(part, request.failed_at):
                    crash.suspect(part, request)
                    suspected.append(part)
        self.drop_old_crashes(at)
        return suspected

    def suspect(self, part: str, failed_at: float) -> bool:
        """Suspect a part unless it has completed since; return whether it is suspected."""
        if self.completed_at.get(part, float("-inf")) > failed_at:
            return False
        self.suspected[part] = max(failed_at, self.suspected.get(part, failed_at))
        self.suspected.move_to_end(part)
        if len(self.suspected) > MAX_SUSPECTED_PARTS:
            self.suspected.popitem(last=False)
        return True

    def drop_old_crashes(self, now: float) -> None:
        """Drop crashes that are too old or too many."""
        while self.crashes:
            oldest = next(iter(self.crashes.values()))
            if oldest.at > now - EVIDENCE_SECONDS and len(self.crashes) <= MAX_CRASHES:
                return
            self.crashes.popitem(last=False)

    def count_completed(self, service: str, count: int, now: float) -> None:
        """Count requests to a service that completed, here or at another daemon."""
        counts = self.completed_counts.setdefault(service, Counter())
        bucket = int(now / BUCKET_SECONDS)
        counts[bucket] += count
        if len(counts) > 2 * BUCKET_COUNT:
            for old in [key for key in counts if key <= bucket - BUCKET_COUNT]:
                del counts[old]

    def note_completed(self, part: str, at: float) -> bool:
        """Record that a request with a part completed; return whether that cleared the part.

        :param at: event-loop time in seconds of its end
        """
        known = self.completed_at.get(part)
        if known is None or at > known:
            self.completed_at[part] = at
            self.completed_at.move_to_end(part)
            if len(self.completed_at) > MAX_COMPLETED_PARTS:
                self.completed_at.popitem(last=False)
        failed_at = self.suspected.get(part)
        if failed_at is None:
            return False
        for crash in self.crashes.values():
            if part in crash.suspected and crash.suspected[part].failed_at < at:
                del crash.suspected[part]
        if at <= failed_at:
            return False
        del self.suspected[part]
        return True

    def list_refuted(self, parts: Collection[str]) -> list[tuple[PartSet, PartSet]]:
        """Return the quarantines that a completed request refutes, each with what is left of it.

        :param parts: keys of the parts of the completed request
        """
        touched = {group for part in parts for group in self.quarantined_by_part.get(part, ())}
        return [(group, group.difference(parts)) for group in touched]

    def find_quarantine(self, parts: Collection[str], now: float) -> PartSet | None:
        """Return the quarantine that a request falls under, None if there is none."""
        if not self.quarantined_by_part:
            return None
        for part in parts:
            for group in tuple(self.quarantined_by_part.get(part, ())):
                if now - self.quarantined[group] >= QUARANTINE_SECONDS:
                    self.lift(group, now)
                elif group.issubset(parts):
                    return group
        return None

    def quarantine(self, group: PartSet, now: float) -> None:
        """Refuse requests that have all of some parts."""
        if group in self.quarantined or not group or len(self.quarantined) >= MAX_QUARANTINES:
            return
        self.quarantined[group] = now
        for part in group:
            self.quarantined_by_part.setdefault(part, set()).add(group)

    def lift(self, group: PartSet, now: float) -> bool:
        """End a quarantine and clear its parts; return whether there was one."""
        if self.quarantined.pop(group, None) is None:
            return False
        for part in group:
            self.quarantined_by_part[part].discard(group)
            if not self.quarantined_by_part[part]:
                del self.quarantined_by_part[part]
            self.note_completed(part, now)
        return True

    def is_risky(self, parts: Iterable[str]) -> bool:
        """Return whether another crash could quarantine one of the parts."""
        return any(
            part in self.suspected and len(self.list_crashes(part)) >= RISKY_CRASHES
            for part in parts
        )

    def list_crashes(self, part: str, until: float = math.inf) -> list[Crash]:
        """Return the independent crashes since a request with the part last completed.

        Requests that were on their way when an upstream crashed may all have met the same cause,
        so a later crash counts only under a request that was sent after the one before it.
        """
        crashes = [
            crash
            for crash in self.crashes.values()
            if part in crash.suspected and crash.at <= until
        ]
        independent: list[Crash] = []
        for crash in sorted(crashes, key=lambda item: item.at):
            is_later = not independent or crash.suspected[part].sent_at > independent[-1].at
            if is_later and not self.is_explained(crash, part):
                independent.append(crash)
        return independent

    def is_explained(self, crash: Crash, part: str) -> bool:
        """Return whether a quarantine that does not hold the part explains a crash."""
        return any(
            part not in group and group.issubset(request.parts)
            for request in crash.requests.values()
            for name in request.parts
            for group in self.quarantined_by_part.get(name, ())
        )

    def weigh(self, part: str, until: float) -> Evidence:
        """Return the evidence on a part by crashes until a time."""
        crashes = self.list_crashes(part, until)
        seen_sound = part in self.completed_at
        if not crashes:
            return Evidence(part, (), seen_sound)
        first, last = crashes[0].at, crashes[-1].at
        service = crashes[-1].service
        span = [
            crash
            for crash in self.crashes.values()
            if crash.service == service and first <= crash.at <= last
        ]
        lost_with = [
            sum(part in request.parts for request in crash.requests.values()) for crash in span
        ]
        lost = sum(len(crash.requests) for crash in span)
        counts = self.completed_counts.get(service, {})
        buckets = range(int(first / BUCKET_SECONDS), int(last / BUCKET_SECONDS) + 1)
        completed = sum(counts.get(bucket, 0) for bucket in buckets)
        return Evidence(
            part,
            tuple(crashes),
            seen_sound,
            sum(lost_with),
            lost - sum(lost_with),
            completed,
            len(span),
            sum(count > 0 for count in lost_with),
        )

    def list_candidates(self, until: float = math.inf) -> list[Evidence]:
        """Return the evidence on parts with enough crashes until a time, the strongest first."""
        counts = Counter(part for crash in self.crashes.values() for part in crash.suspected)
        weighed = [
            self.weigh(part, until)
            for part, count in counts.items()
            if count >= MIN_CRASHES and frozenset((part,)) not in self.quarantined
        ]
        candidates = [item for item in weighed if len(item.crashes) >= MIN_CRASHES]
        return sorted(candidates, key=lambda item: item.strength, reverse=True)

    def quarantine_culprits(
        self, now: float, settle_seconds: float = 0.0
    ) -> list[tuple[PartSet, Evidence]]:
        """Quarantine the parts that crash upstreams, and return them with the evidence.

        :param settle_seconds: age from which a crash counts, because completions after it that
            other daemons saw have been heard of
        """
        culprits: list[tuple[PartSet, Evidence]] = []
        while new := self.find_strongest(now, settle_seconds):
            for group, _ in new:
                self.quarantine(group, now)
            culprits.extend(new)
        return culprits

    def find_strongest(self, now: float, settle_seconds: float) -> list[tuple[PartSet, Evidence]]:
        """Return the parts with the strongest evidence that suffices, none while it may change.

        Several are returned if no crash has told them apart for some time.
        """
        found = [
            (self.find_inseparable(item), item)
            for item in self.list_candidates(now - settle_seconds)
            if item.suffices
        ]
        found = [pair for pair in found if pair[0] not in self.quarantined]
        strongest = {group: item for group, item in found if item.strength == found[0][1].strength}
        decisive_at = max(
            (item.crashes[MIN_CRASHES - 1].at for item in strongest.values()), default=0.0
        )
        if len(strongest) > 1 and now - decisive_at < TIE_SECONDS:
            return []
        return list(strongest.items())

    def find_inseparable(self, evidence: Evidence) -> PartSet:
        """Return the suspected parts that every lost request with the part has too."""
        lost = [
            request.parts
            for crash in evidence.crashes
            for request in crash.requests.values()
            if evidence.part in request.parts
        ]
        common = frozenset.intersection(*lost)
        return frozenset(
            part for part in common if all(part in crash.suspected for crash in evidence.crashes)
        )
