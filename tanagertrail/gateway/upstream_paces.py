"""How fast upstreams read prompts, as this daemon has learned it."""

__all__ = ["UpstreamPaces"]

import asyncio
from collections.abc import Collection

from tanagertrail.gateway.clock import BootClock
from tanagertrail.gateway.upstream_load import StatedLoad, estimate_load
from tanagertrail.gateway.upstream_statements import UpstreamStatements
from tanagertrail.gateway.upstream_table import UpstreamEntry, UpstreamTable
from tanagertrail.platform.header_fields import UpstreamFields
from tanagertrail.policy.pace import (
    FixedPart,
    PaceEstimate,
    ReadSample,
    apply_sample,
    find_typical_rate,
    shrink_rate,
)

LOAD_FIELD = "server-load"  # name of the field in the log
REFRESH_SECONDS = 0.25  # between two computations of the rates of all upstreams


class UpstreamPaces:
    """Estimates of the read rates of upstreams.

    Times of estimates are boot times, because a daemon that was suspended would take an old one for
    a new one.

    :ivar estimates: estimate by upstream id
    :ivar typical_rates: median read rate in tokens per second, by service
    :ivar fixed_parts: seconds to a first event that do not depend on the prompt, by service
    :ivar sample_count: first events from which a read rate was learned
    """

    def __init__(
        self, upstreams: UpstreamTable, statements: UpstreamStatements, boot_time: BootClock
    ) -> None:
        self.upstreams = upstreams
        self.statements = statements
        self.boot_time = boot_time
        self.estimates: dict[str, PaceEstimate] = {}
        self.typical_rates: dict[str, float] = {}
        self.fixed_parts: dict[str, FixedPart] = {}
        self.sample_count = 0
        self.refresh_at = float("-inf")

    def now(self) -> float:
        """Return the event-loop time in seconds."""
        return asyncio.get_running_loop().time()

    def note_answer(self, entry: UpstreamEntry, fields: UpstreamFields) -> None:
        """Keep the load that an attributed answer states; count and log what is malformed."""
        if fields.refused_load:
            self.statements.note_refused(entry, LOAD_FIELD, fields.refused_load)
        if fields.load is not None:
            others = fields.load.running + fields.load.waiting - entry.in_flight
            entry.load = StatedLoad(fields.load, max(others, 0), self.now())

    def note_first_event(
        self, entry: UpstreamEntry, tokens: float, uncertain: float, seconds: float
    ) -> None:
        """Learn from the first event of an answer.

        :param tokens: prompt tokens that the upstream probably had to read
        :param uncertain: tokens that it may or may not have cached
        :param seconds: time from the request to the event
        """
        upstream, born, service = entry.record.id, entry.record.born, entry.record.service
        _, slowdown = estimate_load(entry.load, 0, 0, self.now())
        stated = entry.load.stated if entry.load is not None else None
        full = stated is not None and (stated.waiting > 0 or stated.running > stated.slots)
        sample = ReadSample(tokens, uncertain, seconds, slowdown, full)
        fixed = self.fixed_parts.setdefault(service, FixedPart())
        typical = self.typical_rates.get(service)
        if typical is not None:
            fixed.note(sample, typical)
        known = self.estimates.get(upstream)
        learned = apply_sample(known, born, sample, fixed.seconds, self.boot_time())
        if learned is None or learned is known:
            return
        self.sample_count += 1
        self.estimates[upstream] = learned
        self.refresh_rates()

    def refresh_rates(self) -> None:
        """Set the expected read rates of all upstreams, unless that was done just now."""
        now = self.boot_time()
        if now < self.refresh_at:
            return
        self.refresh_at = now + REFRESH_SECONDS
        by_service: dict[str, list[UpstreamEntry]] = {}
        for entry in self.upstreams.entries.values():
            by_service.setdefault(entry.record.service, []).append(entry)
        for service, entries in by_service.items():
            known = [item for entry in entries if (item := self.get_estimate(entry)) is not None]
            typical = find_typical_rate(known)
            if typical is None:
                continue
            self.typical_rates[service] = typical
            for entry in entries:
                estimate = self.get_estimate(entry)
                entry.read_rate = shrink_rate(estimate, typical, now) if estimate else typical

    def get_estimate(self, entry: UpstreamEntry) -> PaceEstimate | None:
        """Return the estimate of an upstream's incarnation, None if there is none."""
        estimate = self.estimates.get(entry.record.id)
        return estimate if estimate is not None and estimate.born == entry.record.born else None

    def get_pace(self, entry: UpstreamEntry) -> float:
        """Return how fast an upstream reads relative to the others, 1.0 if nothing is known."""
        typical = self.typical_rates.get(entry.record.service)
        if typical is None or entry.read_rate is None:
            return 1.0
        return entry.read_rate / typical

    def forget_ended(self, registered: Collection[str]) -> None:
        """Drop estimates of upstreams that are gone."""
        for upstream in [name for name in self.estimates if name not in registered]:
            del self.estimates[upstream]
