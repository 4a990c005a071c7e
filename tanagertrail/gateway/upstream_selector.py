"""Selection of the upstream that gets a request."""

__all__ = ["UpstreamSelector"]

import asyncio
import random

from tanagertrail.gateway.admission import Refusal
from tanagertrail.gateway.brittle_upstreams import BrittleUpstreams
from tanagertrail.gateway.cluster_view import ClusterView
from tanagertrail.gateway.exchange import Exchange
from tanagertrail.gateway.load_limits import LoadLimits, Places
from tanagertrail.gateway.members import MemberTable
from tanagertrail.gateway.model import PromptShape
from tanagertrail.gateway.rate_limits import RateLimitTable
from tanagertrail.gateway.trials import RolloutTrials
from tanagertrail.gateway.upstream_load import estimate_load
from tanagertrail.gateway.upstream_statements import UpstreamStatements
from tanagertrail.gateway.upstream_table import UpstreamEntry
from tanagertrail.policy import expected_finish as _expected_finish  # noqa: F401  fills PLACEMENTS
from tanagertrail.policy.canary import VersionUse
from tanagertrail.policy.choice import PrefixIndex
from tanagertrail.policy.cold_rate import ColdRateLimiter
from tanagertrail.policy.hashing import find_preferred, score_pair
from tanagertrail.policy.hubs import MAX_FULL_MESH_DAEMONS
from tanagertrail.policy.placement import (
    PLACEMENTS,
    SAMPLERS,
    PlacementCandidate,
    PlacementRequest,
)
from tanagertrail.policy.reading import Reading, predict_reading
from tanagertrail.policy.retry_after import ReturnSchedule, estimate_retry_after
from tanagertrail.policy.room import MAX_LOAD_FACTOR

PREFIX_TTL_SECONDS = 20.0  # for which a prompt prefix is assumed to stay cached
SPARE_LOAD_FACTOR = 0.5  # running requests per slot, below which a retry would start at once


class UpstreamSelector:
    """Select among the upstreams of a service.

    :ivar load_limits: how full upstreams may be made by a request
    :ivar prefix_index: which prompt prefixes this daemon has sent to which upstream
    :ivar choose_candidate: placement strategy
    :ivar sample_upstreams: the strategy's sampler, None if it considers all upstreams
    :ivar last_holder: shared part of the last request that was sampled for, and its holder
    :ivar last_dispatch_at: event-loop time in seconds of the last dispatch, by service
    :ivar return_schedules: when callers refused by this daemon may return, by service
    """

    def __init__(
        self,
        cluster_view: ClusterView,
        members: MemberTable,
        trials: RolloutTrials,
        rate_limits: RateLimitTable,
        statements: UpstreamStatements,
        brittle: BrittleUpstreams,
        rng: random.Random,
        placement: str,
    ) -> None:
        self.cluster_view = cluster_view
        self.members = members
        self.trials = trials
        self.rate_limits = rate_limits
        self.statements = statements
        self.brittle = brittle
        self.rng = rng
        self.prefix_index = PrefixIndex(PREFIX_TTL_SECONDS)
        self.choose_candidate = PLACEMENTS.get(placement)
        self.load_limits = LoadLimits(cluster_view)
        self.sample_upstreams = SAMPLERS.get(placement) if placement in SAMPLERS else None
        self.last_holder = ("", "")
        self.last_dispatch_at: dict[str, float] = {}
        self.return_schedules: dict[str, ReturnSchedule] = {}

    def now(self) -> float:
        """Return the event-loop time in seconds."""
        return asyncio.get_running_loop().time()

    def select_upstream(self, exchange: Exchange, isolated: bool = False) -> UpstreamEntry | None:
        """Select an upstream that was not tried yet, None if all are unavailable or full.

        :param isolated: whether the request may crash its upstream, so that it must not run
            beside another such request. All daemons select the same upstream for it.
        """
        now = self.now()
        load_limit = self.load_limits.get_limit(exchange)
        tried_upstreams = {attempt.upstream for attempt in exchange.attempts}
        entries = {
            entry.record.id: entry
            for entry in self.cluster_view.upstreams.iter_service(exchange.service)
            if entry.record.id not in tried_upstreams
            and self.is_eligible(entry, now, load_limit)
            and not (isolated and entry.isolated_requests)
        }
        if not entries:
            return None
        if isolated:
            entries = self.prefer_unlimited(entries)
            return entries[max(entries, key=lambda name: score_pair(exchange.fingerprint, name))]
        entries = self.prefer_heard(entries, now)
        entries = self.prefer_canary(exchange, entries)
        request = self.build_placement_request(exchange, now)
        described = self.sample_entries(request, entries)
        candidates = [self.build_candidate(entry, now) for entry in described]
        candidate = self.choose_candidate(request, candidates, self.prefix_index)
        return entries[candidate.upstream]

    def prefer_unlimited(self, entries: dict[str, UpstreamEntry]) -> dict[str, UpstreamEntry]:
        """Keep only upstreams without a rate limit, which all daemons may use, if there are any."""
        unlimited = {
            name: entry
            for name, entry in entries.items()
            if self.rate_limits.get_rate(entry) is None
        }
        return unlimited or entries

    def prefer_heard(
        self, entries: dict[str, UpstreamEntry], now: float
    ) -> dict[str, UpstreamEntry]:
        """Keep only upstreams that were not found silent, if there are any."""
        heard = {name: entry for name, entry in entries.items() if now >= entry.silent_until}
        return heard or entries

    def prefer_canary(
        self, exchange: Exchange, entries: dict[str, UpstreamEntry]
    ) -> dict[str, UpstreamEntry]:
        """Keep only upstreams of a version on trial, if any may get the request."""
        if exchange.attempts or exchange.service not in self.cluster_view.rollouts:
            return entries
        canary_entries = {
            name: entry
            for name, entry in entries.items()
            if self.trials.get_version_use(exchange.service, entry.record.version)
            is VersionUse.BUDGETED
        }
        return canary_entries or entries

    def find_places(self, exchange: Exchange, now: float) -> Places:
        """Find whether an upstream that a request was not sent to has a place for it.

        Upstreams that limits other than their load keep from getting it are not waited for: a
        place that becomes free there does not help.
        """
        load_limit = self.load_limits.get_limit(exchange)
        tried_upstreams = {attempt.upstream for attempt in exchange.attempts}
        places = Places.NONE
        for entry in self.cluster_view.upstreams.iter_service(exchange.service):
            if entry.record.id in tried_upstreams:
                continue
            is_full = entry.running >= entry.record.slots * load_limit
            if not is_full and self.is_eligible(entry, now, load_limit):
                return Places.FREE
            if places is Places.NONE and self.is_limited_by_load(entry, now):
                places = Places.FULL
        return places

    def is_limited_by_load(self, entry: UpstreamEntry, now: float) -> bool:
        """Return whether nothing but its load may keep requests from an upstream."""
        record = entry.record
        if not self.is_in_use(entry, now) or now < entry.cold_until:
            return False
        if self.trials.get_version_use(record.service, record.version) is VersionUse.BUDGETED:
            return False
        if self.statements.count_wait_left(entry) or self.has_own_limit(entry):
            return False
        return self.brittle.allows_request(entry)

    def is_eligible(
        self, entry: UpstreamEntry, now: float, load_limit: float = MAX_LOAD_FACTOR
    ) -> bool:
        """Return whether an upstream may get a request now.

        :param load_limit: running requests per slot up to which it may get one
        """
        record = entry.record
        if not self.is_in_use(entry, now):
            return False
        if entry.running >= record.slots * load_limit:
            return False
        use = self.trials.get_version_use(record.service, record.version)
        if use is VersionUse.BUDGETED and not self.may_receive_canary(entry, now):
            return False
        if now < entry.cold_until and not self.allows_cold_request(entry, now):
            return False
        if self.statements.count_wait_left(entry):
            return False
        return self.rate_limits.allows_request(entry) and self.brittle.allows_request(entry)

    def is_in_use(self, entry: UpstreamEntry, now: float) -> bool:
        """Return whether an upstream gets requests at all, whatever its load and limits."""
        record = entry.record
        if not entry.accepts_work(now) or record.failure_domain in self.cluster_view.evacuated:
            return False
        if self.cluster_view.upstreams.is_leaving(entry):
            return False
        use = self.trials.get_version_use(record.service, record.version)
        return use is not VersionUse.FORBIDDEN

    def has_own_limit(self, entry: UpstreamEntry) -> bool:
        """Return whether an upstream is brittle or names a rate."""
        return self.rate_limits.get_rate(entry) is not None or self.brittle.is_brittle(entry)

    def has_shared_limit(self, service: str) -> bool:
        """Return whether the daemons divide a rate of requests or the slots of one in use."""
        now = self.now()
        return any(
            now < entry.cold_until or self.has_own_limit(entry)
            for entry in self.list_in_use(service)
        )

    def list_holders(self, service: str) -> set[str]:
        """List the other daemons that may have room where this one has used up its part."""
        holders: set[str] = set()
        for entry in self.list_in_use(service):
            holders.update(self.brittle.find_holders(entry), self.rate_limits.find_holders(entry))
        return holders - {self.members.own.daemon}

    def has_unreachable(self, service: str) -> bool:
        """Return whether an upstream gets no requests because its connections failed."""
        now = self.now()
        return any(
            now < entry.backoff_until for entry in self.cluster_view.upstreams.iter_service(service)
        )

    def may_receive_canary(self, entry: UpstreamEntry, now: float) -> bool:
        """Return whether an upstream of a version on trial may get a request.

        An upstream that has just started is slow for some seconds, which would count against its
        version.
        """
        service = self.cluster_view.config.services.get(entry.record.service)
        if service is not None and now < entry.first_seen_at + service.cold_seconds:
            return False
        return self.trials.allows_canary_request(entry.record.service, self.members.count())

    def allows_cold_request(self, entry: UpstreamEntry, now: float) -> bool:
        """Return whether this daemon's share of a cold upstream's rate allows a request."""
        rate = self.get_cold_rate(entry)
        if rate <= 0:
            return True
        if entry.cold_limiter is None:
            entry.cold_limiter = ColdRateLimiter(now, self.rng.random())
        return entry.cold_limiter.allows_request(rate, self.members.count(), now)

    def get_cold_rate(self, entry: UpstreamEntry) -> float:
        """Return the request rate per second of a cold upstream, 0 for no limit."""
        service = self.cluster_view.config.services.get(entry.record.service)
        return service.cold_rate if service else 0.0

    def sample_entries(
        self, request: PlacementRequest, entries: dict[str, UpstreamEntry]
    ) -> list[UpstreamEntry]:
        """Return the upstreams to describe: a sample if the strategy needs no more of them.

        Describing all of them would take longer than the rest of the decision.
        """
        upstreams = list(entries.values())
        is_sampled = self.sample_upstreams is not None and request.sampling_key and request.parts
        if not is_sampled or all(entry.read_rate is None for entry in upstreams):
            return upstreams
        names = list(entries)
        places = self.sample_upstreams(request, names, [entry.pace for entry in upstreams])
        if request.parts[1:]:
            self.last_holder = (request.parts[-2], names[places[-1]])
        return [upstreams[place] for place in places]

    def build_candidate(self, entry: UpstreamEntry, now: float) -> PlacementCandidate:
        """Describe an upstream for the placement strategy."""
        record, own, elsewhere = entry.record, entry.in_flight, entry.in_flight_elsewhere
        running, slowdown = estimate_load(entry.load, own, elsewhere, now)
        return PlacementCandidate(
            record.id,
            own + elsewhere,
            record.slots,
            entry.failure_rate,
            record.failure_domain == self.members.own.failure_domain,
            running,
            entry.read_rate,
            entry.pace,
            slowdown,
            entry.unread_tokens,
        )

    def build_placement_request(self, exchange: Exchange, now: float) -> PlacementRequest:
        """Describe a request for the placement strategy."""
        prompt = exchange.fields.prompt
        sampling_key = (
            exchange.fields.request_id if self.members.count() > MAX_FULL_MESH_DAEMONS else ""
        )
        if prompt is None:
            return PlacementRequest((), (), 0, now, sampling_key)
        parts = prompt.parts
        return PlacementRequest(
            tuple(part.id for part in parts),
            tuple(part.tokens for part in parts),
            prompt.input_tokens,
            now,
            sampling_key,
        )

    def note_dispatch(self, exchange: Exchange, entry: UpstreamEntry) -> None:
        """Record that a request is sent to an upstream."""
        now = self.now()
        self.last_dispatch_at[exchange.service] = now
        self.trials.note_sent(exchange.service, entry.record.version)
        if now < entry.cold_until and entry.cold_limiter is not None:
            entry.cold_limiter.spend()
        self.rate_limits.note_sent(entry)
        if exchange.fields.prompt is not None:
            exchange.reading = self.predict_reading(exchange.fields.prompt, entry, now)
            parts = [part.id for part in exchange.fields.prompt.parts]
            self.prefix_index.note_stored(entry.record.id, parts, now)

    def predict_reading(self, prompt: PromptShape, entry: UpstreamEntry, now: float) -> Reading:
        """Predict how much of a prompt an upstream has to read."""
        names = [part.id for part in prompt.parts]
        cached = self.prefix_index.count_cached(entry.record.id, names, now)
        is_holder = cached < len(names) - 1 and self.is_holder(names[-2], entry)
        tokens = [part.tokens for part in prompt.parts]
        return predict_reading(prompt.input_tokens, tokens, cached, is_holder)

    def is_holder(self, part: str, entry: UpstreamEntry) -> bool:
        """Return whether all daemons prefer an upstream for a shared part."""
        if self.last_holder[0] == part:
            return self.last_holder[1] == entry.record.id
        entries = self.cluster_view.upstreams.iter_service(entry.record.service)
        return find_preferred(part, (item.record.id for item in entries)) == entry.record.id

    def build_refusal(self, service: str, reason: str) -> Refusal:
        """Build the refusal of a request for which no upstream is left.

        :param reason: why the last attempt failed, empty without an attempt
        """
        waits = self.list_waits(service)
        if waits:
            return self.build_wait_refusal(service, reason, waits)
        brittle_rate = self.brittle.estimate_rate(self.list_in_use(service))
        if brittle_rate is not None:
            schedule = self.return_schedules.setdefault(service, ReturnSchedule())
            retry_after = schedule.plan_return(brittle_rate, self.now(), self.rng.random())
            reason = reason or "the brittle upstreams have no room"
            return Refusal(503, reason, retry_after, {"brittle_rate": round(brittle_rate, 3)})
        rates = self.list_named_rates(service)
        if not rates:
            retry_after = self.estimate_retry_after(service)
            return Refusal(503, reason or "no upstream has a place", retry_after)
        rate = sum(rates) / self.members.count_alive(self.now())
        schedule = self.return_schedules.setdefault(service, ReturnSchedule())
        retry_after = schedule.plan_return(rate, self.now(), self.rng.random())
        log_fields = {
            "limited_upstreams": len(rates),
            "named_rate": round(sum(rates), 3),
            "daemons": self.rate_limits.shared_rates.daemon_count,
        }
        reason = reason or "the rates that upstreams named are used up"
        return Refusal(503, reason, retry_after, log_fields)

    def build_wait_refusal(self, service: str, reason: str, waits: dict[str, float]) -> Refusal:
        """Build the refusal of a request while all upstreams want none; callers return apart.

        :param waits: seconds for which each upstream wants no request
        """
        entries = self.cluster_view.upstreams.entries
        now = self.now()
        slots = sum(entries[name].record.slots for name in waits)
        rate = slots / self.members.count_alive(now)  # a request holds its slot for about a second
        wait = min(waits.values())
        schedule = self.return_schedules.setdefault(service, ReturnSchedule())
        retry_after = schedule.plan_return_after(wait, rate, now, self.rng.random())
        log_fields = {"waiting_upstreams": len(waits), "wait_s": round(wait, 3)}
        return Refusal(503, reason or "all upstreams ask for a wait", retry_after, log_fields)

    def list_waits(self, service: str) -> dict[str, float]:
        """Return the waits of the upstreams in use; none unless all ask for one."""
        waits = {
            entry.record.id: self.statements.count_wait_left(entry)
            for entry in self.list_in_use(service)
        }
        return waits if all(waits.values()) else {}

    def list_in_use(self, service: str) -> list[UpstreamEntry]:
        """List the upstreams of a service that get requests."""
        now = self.now()
        entries = self.cluster_view.upstreams.iter_service(service)
        return [entry for entry in entries if self.is_in_use(entry, now)]

    def list_named_rates(self, service: str) -> list[float]:
        """Return the rates that the upstreams in use name; none unless all name one."""
        rates = [self.rate_limits.get_rate(entry) for entry in self.list_in_use(service)]
        return [] if None in rates else rates

    def estimate_retry_after(self, service: str) -> float:
        """Return the ``Retry-After`` value in seconds for a request without an upstream."""
        now = self.now()
        fleet = (
            self.cluster_view.config.services[service].fleet
            if self.has_no_lasting_upstream(service)
            else None
        )
        seconds_since_dispatch = now - self.last_dispatch_at.get(service, now)
        return estimate_retry_after(
            fleet.boot_seconds if fleet else None, seconds_since_dispatch, self.rng.random()
        )

    def has_no_lasting_upstream(self, service: str) -> bool:
        """Return whether all upstreams of a configured service are leaving or gone."""
        upstreams = self.cluster_view.upstreams
        entries = upstreams.iter_service(service)
        staying = any(not (entry.gone or upstreams.is_leaving(entry)) for entry in entries)
        return service in self.cluster_view.config.services and not staying

    def has_alternative(self, exchange: Exchange, entry: UpstreamEntry, must_be_idle: bool) -> bool:
        """Return whether an untried upstream other than the selected one may get the request.

        :param must_be_idle: whether only a lightly loaded one counts
        """
        now = self.now()
        load_limit = self.load_limits.get_limit(exchange)
        tried_upstreams = {attempt.upstream for attempt in exchange.attempts}
        return any(
            other is not entry
            and other.record.id not in tried_upstreams
            and not (must_be_idle and other.running >= other.record.slots * SPARE_LOAD_FACTOR)
            and now >= other.silent_until
            and self.is_eligible(other, now, load_limit)
            for other in self.cluster_view.upstreams.iter_service(exchange.service)
        )
