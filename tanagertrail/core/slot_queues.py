"""Queues of requests that wait for a slot, and the selection of an upstream for each."""

__all__ = ["QUARANTINE_REASON", "StepObserver", "SlotQueues"]

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable

from tanagertrail.core.active_requests import ActiveRequest, ActiveRequestTable
from tanagertrail.core.context import NodeContext
from tanagertrail.core.limiting import Limiter, ServiceVersion
from tanagertrail.core.requests import CallerRequest
from tanagertrail.core.suspects import SuspectTracker
from tanagertrail.model import Upstream
from tanagertrail.outcomes import NotRun, Step
from tanagertrail.policy.choice import CHOICES, Candidate, ChoiceRequest, PrefixIndex
from tanagertrail.policy.hashing import score_pair
from tanagertrail.policy.health import CircuitBreaker
from tanagertrail.policy.poison import Verdict
from tanagertrail.policy.prefixes import split_prefix_blocks
from tanagertrail.policy.queueing import FairQueue, MeanServiceTime, QueueItem

StepObserver = Callable[[Step, CallerRequest], None]

# A few round trips to the owner of an upstream's ledger; short compared to the time to first token.
PREFERRED_WAIT_SECONDS = 0.02
SUSPECT_WAIT_SECONDS = 0.5  # enough to move slots between daemons several times
PREFERRED_POLL_SECONDS = 0.002
QUARANTINE_REASON = "this request has crashed upstreams and is quarantined"
REDIRECT = ""  # result of a waiter whose request must choose its version again
TOO_LATE = "?"  # result of a waiter whose request can no longer meet its deadline


class SlotQueues:
    """Assigns the slots of this daemon to waiting requests in fair order.

    :ivar queues: waiting requests by service and version
    :ivar service_times: mean time for which a request holds a slot, by service and version
    :ivar breakers: circuit breakers by upstream
    :ivar prefix_index: hints which upstream has which prompt prefix in its cache
    """

    def __init__(
        self,
        context: NodeContext,
        limiter: Limiter,
        suspects: SuspectTracker,
        active_requests: ActiveRequestTable,
        choice: str,
        on_step: StepObserver,
    ) -> None:
        self.context = context
        self.limiter = limiter
        self.suspects = suspects
        self.active_requests = active_requests
        self.choose_upstream = CHOICES.get(choice)
        self.on_step = on_step
        self.rng = random.Random(context.daemon)
        self.prefix_index = PrefixIndex()
        self.queues: dict[ServiceVersion, FairQueue] = defaultdict(FairQueue)
        self.service_times: dict[ServiceVersion, MeanServiceTime] = defaultdict(MeanServiceTime)
        self.breakers: dict[str, CircuitBreaker] = defaultdict(CircuitBreaker)
        limiter.accepts_work = lambda name: self.accepts_work(name, context.now())
        limiter.on_slots_changed = self.handle_slots_changed
        suspects.on_crash = self.open_breaker

    async def wait_for_slot(self, active: ActiveRequest) -> Upstream | NotRun | None:
        """Wait for a slot of the request's version and return its upstream.

        Returns None if the version gets no more traffic, so that another must be chosen.
        """
        request = active.request
        service_version = active.service_version
        fingerprint = self.suspects.get_fingerprint(request)
        await self.wait_for_preferred(service_version, fingerprint, request.deadline)
        if self.suspects.judge_fingerprint(fingerprint) is Verdict.QUARANTINED:
            return NotRun(Step.QUEUE, self.context.daemon, QUARANTINE_REASON, 422, None)
        queue = self.queues[service_version]
        now = self.context.now()
        refusal = queue.admit(
            request.deadline,
            now,
            self.count_reachable_slots(service_version),
            self.service_times[service_version],
        )
        if refusal is not None:
            return NotRun(
                Step.ADMISSION, self.context.daemon, refusal.reason, 503, refusal.retry_after
            )
        waiter: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        active.waiter = waiter
        item = queue.push(request.priority, request.customer, request.deadline, active)
        self.limiter.demands[service_version].waiting += 1
        self.on_step(Step.QUEUE, request)
        self.assign_free_slots(service_version)
        try:
            if not waiter.done():
                self.limiter.request_slots(service_version)
            async with asyncio.timeout_at(request.deadline):
                await waiter
        except TimeoutError:
            self.context.recorder.count("queue_timeouts")
        except asyncio.CancelledError:
            self.release_assigned(waiter)
            raise
        finally:
            self.leave_queue(service_version, item, waiter)
        if waiter.cancelled():
            retry_after = max(self.service_times[service_version].seconds, 1.0)
            return NotRun(
                Step.QUEUE, self.context.daemon, "no slot came free in time", 503, retry_after
            )
        name = waiter.result()
        if name == TOO_LATE:
            retry_after = queue.estimate_wait(
                self.count_reachable_slots(service_version), self.service_times[service_version]
            )
            reason = "the deadline cannot be met any more"
            return NotRun(Step.QUEUE, self.context.daemon, reason, 503, max(retry_after, 1.0))
        return None if name == REDIRECT else self.limiter.upstreams[name]

    async def wait_for_preferred(
        self, service_version: ServiceVersion, fingerprint: str, deadline: float
    ) -> None:
        """Wait briefly until this daemon holds a slot of the upstream preferred for a request.

        A daemon that holds no slots yet may be allotted those of any upstream first. If it used
        them, identical requests that arrive at several daemons at once would spread over upstreams,
        and a request that crashes its upstream would crash one for each daemon. A request that is
        suspected of a crash waits longer, but still leaves time to run before its deadline.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        latest_end = deadline - self.service_times[service_version].seconds
        self.limiter.demands[service_version].waiting += 1
        try:
            while True:
                suspect = self.suspects.judge_fingerprint(fingerprint) is Verdict.SUSPECT
                max_wait = SUSPECT_WAIT_SECONDS if suspect else PREFERRED_WAIT_SECONDS
                if self.is_preferred_ready(
                    service_version, fingerprint, suspect
                ) or loop.time() >= min(started_at + max_wait, latest_end):
                    return
                self.limiter.request_slots(service_version)
                await asyncio.sleep(PREFERRED_POLL_SECONDS)
        finally:
            self.limiter.demands[service_version].waiting -= 1

    def is_preferred_ready(
        self, service_version: ServiceVersion, fingerprint: str, suspect: bool
    ) -> bool:
        """Return whether a request need not wait for its preferred upstream any longer.

        That is so when the upstream has a free slot here or, for a request that is not suspected,
        when this daemon holds slots of it that are all busy; or when no upstream accepts work.
        """
        preferred = self.find_preferred(service_version, fingerprint)
        if preferred is None:
            return True
        entry = self.limiter.slot_holder.held.get(preferred)
        if entry is None:
            return False
        return entry.available > 0 or (entry.usable > 0 and not suspect)

    def find_preferred(self, service_version: ServiceVersion, fingerprint: str) -> str | None:
        """Return the upstream accepting work that all daemons rank first for a fingerprint."""
        now = self.context.now()
        names = self.limiter.version_upstreams.get(service_version, ())
        accepting = [name for name in names if self.accepts_work(name, now)]
        return max(accepting, key=lambda name: score_pair(fingerprint, name), default=None)

    def release_assigned(self, waiter: asyncio.Future[str]) -> None:
        """Release the slot that was assigned to a request while it was being cancelled."""
        assigned = waiter.done() and not waiter.cancelled()
        if assigned and waiter.result() not in (REDIRECT, TOO_LATE):
            self.limiter.release(waiter.result(), None)

    def leave_queue(
        self, service_version: ServiceVersion, item: QueueItem, waiter: asyncio.Future
    ) -> None:
        """Remove a request from its queue, and cancel its waiter if no slot was assigned."""
        self.queues[service_version].remove(item)
        self.limiter.demands[service_version].waiting -= 1
        if not waiter.done():
            waiter.cancel()

    def count_reachable_slots(self, service_version: ServiceVersion) -> int:
        """Return the slots of a version that this daemon holds or may be allotted, at least one."""
        held = self.limiter.slot_holder.held
        entries = [
            held[n] for n in self.limiter.version_upstreams.get(service_version, ()) if n in held
        ]
        return max(sum(entry.usable + entry.free_hint for entry in entries), 1)

    def handle_slots_changed(self, upstream: str) -> None:
        """Assign new slots to waiting requests, and move streams in excess off a cold upstream."""
        service_version = self.limiter.version_by_upstream.get(upstream)
        if service_version is not None:
            self.assign_free_slots(service_version)
        entry = self.limiter.slot_holder.held[upstream]
        if entry.cold_starts and entry.bound <= entry.cold_slots:
            self.active_requests.move_excess(upstream)

    def assign_free_slots(self, service_version: ServiceVersion) -> None:
        """Assign free slots to waiting requests in fair order."""
        queue = self.queues[service_version]
        while len(queue):
            candidates = self.list_candidates(service_version)
            if not candidates:
                return
            item = queue.pop(self.context.now(), self.service_times[service_version])
            if item is None:
                return
            self.assign(item.payload, candidates)

    def assign(self, active: ActiveRequest, candidates: list[Candidate]) -> None:
        """Assign one of the candidates to a waiting request, unless its deadline is too close."""
        request = active.request
        if active.waiter.done():
            return
        now = self.context.now()
        if now + self.service_times[active.service_version].seconds > request.deadline:
            active.waiter.set_result(TOO_LATE)
            return
        if active.prefix_blocks is None:
            active.prefix_blocks = tuple(split_prefix_blocks(request.service, request.body))
        eligible = self.suspects.narrow_candidates(request, candidates)
        choice_request = ChoiceRequest(
            active.prefix_blocks, now, self.suspects.get_fingerprint(request)
        )
        chosen = self.choose_upstream(choice_request, eligible, self.prefix_index, self.rng)
        self.limiter.acquire(chosen.upstream)
        self.on_step(Step.CHOICE, request)
        self.prefix_index.note_stored(chosen.upstream, active.prefix_blocks, choice_request.now)
        active.waiter.set_result(chosen.upstream)

    def list_candidates(self, service_version: ServiceVersion) -> list[Candidate]:
        """Return the upstreams of a version that have a free slot and accept work."""
        now = self.context.now()
        candidates = []
        for name in self.limiter.version_upstreams.get(service_version, ()):
            entry = self.limiter.slot_holder.held.get(name)
            if entry is None or entry.available == 0 or not self.accepts_work(name, now):
                continue
            upstream = self.limiter.upstreams[name]
            load = entry.in_flight / max(entry.usable, 1)
            local = upstream.failure_domain == self.context.failure_domain
            candidates.append(Candidate(name, load, entry.available, upstream.price, local))
        return candidates

    def accepts_work(self, name: str, now: float) -> bool:
        """Return whether an upstream may be sent new work."""
        breaker = self.breakers.get(name)
        if breaker is not None and breaker.is_open(now):
            return False
        return name not in self.limiter.excluded_upstreams

    def open_breaker(self, name: str) -> None:
        """Stop sending work to an upstream that failed; it may have restarted with cold caches."""
        self.breakers[name].note_failure(self.context.now())
        self.limiter.announce_cold(name)

    def close_breaker(self, name: str) -> None:
        """Send work again to an upstream that was reached."""
        breaker = self.breakers[name]
        was_open = breaker.is_open(self.context.now())
        breaker.note_success()
        service_version = self.limiter.version_by_upstream.get(name)
        if was_open and service_version is not None:
            self.limiter.request_slots(service_version)
            self.assign_free_slots(service_version)

    def redirect_version(self, service: str, version: str) -> None:
        """Make the requests that wait for a version choose again, as it gets no more traffic."""
        queue = self.queues.get((service, version))
        if queue is None:
            return
        for item in queue.drop_where(lambda item: True):
            if not item.payload.waiter.done():
                item.payload.waiter.set_result(REDIRECT)
