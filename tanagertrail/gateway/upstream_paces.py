"""How fast upstreams read prompts, as this daemon has learned it."""

__all__ = ["MAX_SHARED_ROWS", "UpstreamPaces", "mark_start"]

import asyncio
import math
import random
from collections.abc import Collection, Iterable

from tanagertrail.gateway.clock import BootClock
from tanagertrail.gateway.upstream_load import StatedLoad, estimate_load
from tanagertrail.gateway.upstream_statements import UpstreamStatements
from tanagertrail.gateway.upstream_table import UpstreamEntry, UpstreamTable
from tanagertrail.platform.header_fields import UpstreamFields
from tanagertrail.policy.pace import (
    MAX_RATE,
    MAX_WEIGHT,
    MIN_RATE,
    FixedPart,
    PaceEstimate,
    ReadSample,
    apply_sample,
    find_typical_rate,
    merge_estimates,
    shrink_rate,
)

LOGGED_RATIO = 1.25  # between a pace and the one that was logged last, from which it is logged
LOAD_FIELD = "server-load"  # name of the field in the log
REFRESH_SECONDS = 0.25  # between two computations of the rates of all upstreams
NEWS_SECONDS = 2.0  # for which a change is told; two periods of exchanges by way of hubs
# Share of what was told last from which a change of the rate or of the weight is news.
RATE_NEWS, WEIGHT_NEWS = 0.1, 0.25
MAX_SHARED_ROWS = 8  # in one state: all of 45 upstreams reach a daemon within some three seconds
MAX_TURN_ROWS = 2  # in a hub's state without news, for daemons that started later
RATE_UNIT = 100.0  # tokens per second that a row counts
START_MARKS = 65_536  # that tell starts apart in a row, by their milliseconds
WEIGHTS_PER_UNIT = 8
AGES_PER_SECOND = 10


def mark_start(born: float) -> int:
    """Return a short mark of an upstream's start, which takes a third of its bytes in a row."""
    return int(born * 1000) % START_MARKS


class UpstreamPaces:
    """Estimates of the read rates of upstreams.

    Times of estimates are boot times, because a daemon that was suspended would take an old one for
    a new one.

    :ivar estimates: estimate by upstream id
    :ivar typical_rates: median read rate in tokens per second, by service
    :ivar fixed_parts: seconds to a first event that do not depend on the prompt, by service
    :ivar sample_count: first events from which a read rate was learned
    :ivar logged: pace by upstream id as it was logged last
    :ivar told: estimate by upstream id when it last was news
    :ivar own_news: boot time in seconds of the last news of own samples, by upstream id
    :ivar heard_news: the same of other daemons
    """

    def __init__(
        self,
        upstreams: UpstreamTable,
        statements: UpstreamStatements,
        boot_time: BootClock,
        rng: random.Random,
    ) -> None:
        self.upstreams = upstreams
        self.statements = statements
        self.boot_time = boot_time
        self.estimates: dict[str, PaceEstimate] = {}
        self.typical_rates: dict[str, float] = {}
        self.fixed_parts: dict[str, FixedPart] = {}
        self.sample_count = 0
        self.rng = rng
        self.logged: dict[str, float] = {}
        self.told: dict[str, PaceEstimate] = {}
        self.own_news: dict[str, float] = {}
        self.heard_news: dict[str, float] = {}
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
        self.note_news(upstream, self.own_news)
        self.refresh_rates()

    def note_news(self, upstream: str, news: dict[str, float]) -> None:
        """Record that an estimate has changed, unless it is much as it was told."""
        known, told = self.estimates[upstream], self.told.get(upstream)
        if told is not None and told.born == known.born:
            rate_change = abs(known.rate / told.rate - 1.0)
            if rate_change < RATE_NEWS and abs(known.weight / told.weight - 1.0) < WEIGHT_NEWS:
                return
        self.told[upstream] = known
        news[upstream] = self.boot_time()

    def encode(self, is_hub: bool, relays: bool) -> tuple:
        """Encode estimates for other daemons: those that changed lately, a hub some others too.

        A row holds the upstream, the mark of its start, the rate, the weight and the age, each in
        small units. The weight is rounded down and the age up, so that no estimate gains by being
        told.

        :param relays: whether this hub's daemons hear of others only from it
        """
        now = self.boot_time()
        news = {name for name, at in self.own_news.items() if now - at <= NEWS_SECONDS}
        if relays:
            news |= {name for name, at in self.heard_news.items() if now - at <= NEWS_SECONDS}
        rows = self.encode_some(news, MAX_SHARED_ROWS, now)
        if not is_hub:
            return rows
        room = min(MAX_SHARED_ROWS - len(rows), MAX_TURN_ROWS)
        return rows + self.encode_some(self.estimates.keys() - news, room, now)

    def encode_some(self, names: Collection[str], room: int, now: float) -> tuple:
        """Encode estimates, others each time if there are more than there is room for."""
        chosen = sorted(names)
        if len(chosen) > room:
            chosen = self.rng.sample(chosen, room)
        return tuple(self.encode_estimate(name, now) for name in chosen)

    def encode_estimate(self, upstream: str, now: float) -> tuple[str, int, int, int, int]:
        """Encode one estimate."""
        known = self.estimates[upstream]
        return (
            upstream,
            mark_start(known.born),
            round(known.rate / RATE_UNIT),
            int(known.weight * WEIGHTS_PER_UNIT),
            math.ceil((now - known.at) * AGES_PER_SECOND),
        )

    def merge(self, rows: Iterable[tuple], as_of: float) -> None:
        """Apply the estimates that another daemon knows; those of other incarnations are ignored.

        :param rows: as built by :meth:`encode`
        :param as_of: boot time in seconds at which they were encoded
        """
        changed = False
        for upstream, mark, rate, weight, age in rows:
            entry = self.upstreams.entries.get(upstream)
            is_sound = MIN_RATE <= rate * RATE_UNIT <= MAX_RATE and weight > 0 and age >= 0
            if entry is None or mark_start(entry.record.born) != mark or not is_sound:
                continue
            heard = PaceEstimate(
                entry.record.born,
                rate * RATE_UNIT,
                min(weight / WEIGHTS_PER_UNIT, MAX_WEIGHT),
                as_of - age / AGES_PER_SECOND,
            )
            known = self.estimates.get(upstream)
            if merge_estimates(known, heard) is known:
                continue
            self.estimates[upstream] = heard
            self.note_news(upstream, self.heard_news)
            changed = True
        if changed:
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
                entry.pace = entry.read_rate / typical
                self.log_change(entry, estimate, typical)

    def log_change(
        self, entry: UpstreamEntry, estimate: PaceEstimate | None, typical: float
    ) -> None:
        """Log a pace that is learned or lost, or differs much from the one in the log."""
        upstream = entry.record.id
        before = self.logged.get(upstream, 1.0)
        if 1.0 / LOGGED_RATIO < entry.pace / before < LOGGED_RATIO:
            return
        self.logged[upstream] = entry.pace
        now = self.boot_time()
        self.statements.log.write_routine(
            "pace_changed",
            upstream=upstream,
            pace=round(entry.pace, 2),
            before=round(before, 2),
            read_rate=round(entry.read_rate or typical),
            typical_rate=round(typical),
            weight=round(estimate.weigh(now), 1) if estimate else 0.0,
            age_s=round(now - estimate.at, 1) if estimate else None,
        )

    def get_estimate(self, entry: UpstreamEntry) -> PaceEstimate | None:
        """Return the estimate of an upstream's incarnation, None if there is none."""
        estimate = self.estimates.get(entry.record.id)
        return estimate if estimate is not None and estimate.born == entry.record.born else None

    def forget_ended(self, registered: Collection[str]) -> None:
        """Drop estimates of upstreams that are gone."""
        for known in (
            self.estimates,
            self.logged,
            self.told,
            self.own_news,
            self.heard_news,
        ):
            for upstream in [name for name in known if name not in registered]:
                del known[upstream]
