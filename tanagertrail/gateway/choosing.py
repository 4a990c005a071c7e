"""Which upstream gets a request, by what is believed of all of them."""

__all__ = ["UpstreamChooser"]

import asyncio
import random

from tanagertrail.gateway.cluster_view import ClusterView
from tanagertrail.gateway.exchange import Exchange
from tanagertrail.gateway.members import MemberTable
from tanagertrail.gateway.trials import TrialBook
from tanagertrail.gateway.upstream_table import UpstreamEntry
from tanagertrail.policy.canary import VersionUse
from tanagertrail.policy.choice import PrefixIndex
from tanagertrail.policy.cold_rate import ColdAllowance
from tanagertrail.policy.hashing import score_pair
from tanagertrail.policy.hubs import ALL_HUBS
from tanagertrail.policy.placement import PLACEMENTS, Seat, Visit
from tanagertrail.policy.returns import estimate_return

PREFIX_SECONDS = 20.0
FULL_FACTOR = 2.0  # requests of an upstream, against its slots, beyond which it would reject
ROOM_FACTOR = 0.5  # requests against slots up to which a repeat would start at once


class UpstreamChooser:
    """Choose among the upstreams of a service."""

    def __init__(
        self,
        cluster_view: ClusterView,
        members: MemberTable,
        trials: TrialBook,
        rng: random.Random,
        placement: str,
    ) -> None:
        self.cluster_view = cluster_view
        self.members = members
        self.trials = trials
        self.rng = rng
        self.index = PrefixIndex(PREFIX_SECONDS)
        self.place = PLACEMENTS.get(placement)
        self.placed_at: dict[str, float] = {}

    def now(self) -> float:
        """Return the event-loop time in seconds."""
        return asyncio.get_running_loop().time()

    def pick_upstream(self, exchange: Exchange, alone: bool = False) -> UpstreamEntry | None:
        """Choose an upstream that was not tried, None if all are closed or full.

        :param alone: whether the request may end its upstream and must meet no other such one;
            all daemons send it to the same upstream
        """
        now = self.now()
        tried = {item.upstream for item in exchange.tried}
        entries = {
            entry.record.id: entry
            for entry in self.cluster_view.upstreams.iter_service(exchange.service)
            if entry.record.id not in tried
            and self.may_use(entry, now)
            and not (alone and entry.isolated)
        }
        if not entries:
            return None
        if alone:
            return entries[max(entries, key=lambda name: score_pair(exchange.fingerprint, name))]
        entries = self.prefer_trial(exchange, entries)
        seats = [self.describe_seat(entry) for entry in entries.values()]
        seat = self.place(self.describe_visit(exchange, now), seats, self.index)
        return entries[seat.upstream]

    def prefer_trial(
        self, exchange: Exchange, entries: dict[str, UpstreamEntry]
    ) -> dict[str, UpstreamEntry]:
        """Return the upstreams of a version on trial while its budget has room."""
        if exchange.tried or exchange.service not in self.cluster_view.rollouts:
            return entries
        trial = {
            name: entry
            for name, entry in entries.items()
            if self.trials.judge_version(exchange.service, entry.record.version)
            is VersionUse.BUDGETED
        }
        return trial or entries

    def may_use(self, entry: UpstreamEntry, now: float) -> bool:
        """Say whether an upstream may get new work now."""
        record = entry.record
        if not entry.is_open(now) or record.failure_domain in self.cluster_view.evacuated:
            return False
        if entry.running >= record.slots * FULL_FACTOR:
            return False
        use = self.trials.judge_version(record.service, record.version)
        if use is VersionUse.FORBIDDEN:
            return False
        if use is VersionUse.BUDGETED and not self.may_try(entry, now):
            return False
        return now >= entry.cold_until or self.has_cold_share(entry, now)

    def may_try(self, entry: UpstreamEntry, now: float) -> bool:
        """Say whether an upstream of a version on trial may get a request.

        One that has just started is slow for some seconds, which would count against its version.
        """
        service = self.cluster_view.config.services.get(entry.record.service)
        if service is not None and now < entry.known_since + service.cold_seconds:
            return False
        return self.trials.may_expose(entry.record.service, self.members.count())

    def has_cold_share(self, entry: UpstreamEntry, now: float) -> bool:
        """Say whether this daemon's share of a cold upstream's rate allows a request."""
        rate = self.find_cold_rate(entry)
        if rate <= 0:
            return True
        if entry.cold_allowance is None:
            entry.cold_allowance = ColdAllowance(now, self.rng.random())
        return entry.cold_allowance.has_room(rate, self.members.count(), now)

    def find_cold_rate(self, entry: UpstreamEntry) -> float:
        """Return the requests per second that an upstream bears when cold, 0 for any number."""
        service = self.cluster_view.config.services.get(entry.record.service)
        return service.cold_rate if service else 0.0

    def describe_seat(self, entry: UpstreamEntry) -> Seat:
        """Return what the placement needs to know of an upstream."""
        record = entry.record
        local = record.failure_domain == self.members.own.failure_domain
        return Seat(record.id, entry.running, record.slots, entry.fault_share, local)

    def describe_visit(self, exchange: Exchange, now: float) -> Visit:
        """Return what the placement needs to know of a request."""
        prompt = exchange.fields.prompt
        draw = exchange.fields.request_id if self.members.count() > ALL_HUBS else ""
        if prompt is None:
            return Visit((), (), 0, now, draw)
        parts = prompt.parts
        return Visit(
            tuple(part.id for part in parts),
            tuple(part.tokens for part in parts),
            prompt.tokens_in,
            now,
            draw,
        )

    def note_start(self, exchange: Exchange, entry: UpstreamEntry) -> None:
        """Note that an upstream gets a request."""
        now = self.now()
        self.placed_at[exchange.service] = now
        self.trials.note_sent(exchange.service, entry.record.version)
        if now < entry.cold_until and entry.cold_allowance is not None:
            entry.cold_allowance.spend()
        if exchange.fields.prompt is not None:
            parts = [part.id for part in exchange.fields.prompt.parts]
            self.index.note_stored(entry.record.id, parts, now)

    def estimate_return(self, service: str) -> float:
        """Return the seconds after which a caller that found no place may come back."""
        now = self.now()
        fleet = self.cluster_view.config.services[service].fleet if self.has_none(service) else None
        absent_for = now - self.placed_at.get(service, now)
        return estimate_return(fleet.boot if fleet else None, absent_for, self.rng.random())

    def has_none(self, service: str) -> bool:
        """Say whether a known service has no upstream that stays."""
        entries = self.cluster_view.upstreams.iter_service(service)
        staying = any(not (entry.gone or entry.record.draining) for entry in entries)
        return service in self.cluster_view.config.services and not staying

    def has_alternative(self, exchange: Exchange, entry: UpstreamEntry) -> bool:
        """Say whether another upstream has clearly more room than the one that was chosen."""
        now = self.now()
        tried = {item.upstream for item in exchange.tried}
        return any(
            other is not entry
            and other.record.id not in tried
            and other.running < other.record.slots * ROOM_FACTOR
            and self.may_use(other, now)
            for other in self.cluster_view.upstreams.iter_service(exchange.service)
        )
