"""Queues of requests that wait for a slot, and the choice of the upstream that each is given."""

__all__ = ["QUARANTINE_REASON", "Probe", "SlotQueues"]

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable

from tanagertrail.core.active_requests import ActiveRequest, ActiveRequestTable
from tanagertrail.core.context import NodeContext
from tanagertrail.core.limiting import Group, Limiter
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

Probe = Callable[[Step, CallerRequest], None]

PREFER_SECONDS = 0.02  # some exchanges with an upstream's keeper, little against a first token
SUSPECT_SECONDS = 0.5  # several rounds of slots moved between daemons
PREFER_STEP_SECONDS = 0.002
QUARANTINE_REASON = "this request has crashed upstreams and is quarantined"
REDIRECT = ""
TOO_LATE = "?"


class SlotQueues:
    """Give the slots of this daemon to waiting requests in fair order.

    :ivar queues: waiting requests by service and version
    :ivar rates: time for which requests hold a slot, by service and version
    :ivar breakers: circuit breakers by upstream
    :ivar index: hints of which upstream has which prefix cached
    """

    def __init__(
        self,
        context: NodeContext,
        limiter: Limiter,
        suspects: SuspectTracker,
        flights: ActiveRequestTable,
        choice: str,
        probe: Probe,
    ) -> None:
        self.context = context
        self.limiter = limiter
        self.suspects = suspects
        self.active_requests = flights
        self.choose = CHOICES.get(choice)
        self.on_step = probe
        self.rng = random.Random(context.daemon)
        self.index = PrefixIndex()
        self.queues: dict[Group, FairQueue] = defaultdict(FairQueue)
        self.rates: dict[Group, MeanServiceTime] = defaultdict(MeanServiceTime)
        self.breakers: dict[str, CircuitBreaker] = defaultdict(CircuitBreaker)
        limiter.is_open = lambda name: self.is_open(name, context.now())
        limiter.on_slots = self.take_slots
        suspects.on_crash = self.open_breaker

    async def wait_slot(self, flight: ActiveRequest) -> Upstream | NotRun | None:
        """Wait for a slot of the flight's version; None if the version must be chosen anew."""
        request = flight.request
        group = flight.group
        fingerprint = self.suspects.find_fingerprint(request)
        await self.await_preferred(group, fingerprint, request.deadline)
        if self.suspects.judge_fingerprint(fingerprint) is Verdict.QUARANTINED:
            return NotRun(Step.QUEUE, self.context.daemon, QUARANTINE_REASON, 422, None)
        queue = self.queues[group]
        now = self.context.now()
        refusal = queue.admit(request.deadline, now, self.count_slots(group), self.rates[group])
        if refusal is not None:
            return NotRun(
                Step.ADMISSION, self.context.daemon, refusal.reason, 503, refusal.retry_after
            )
        waiter: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        flight.waiter = waiter
        item = queue.push(request.priority, request.customer, request.deadline, flight)
        self.limiter.demands[group].waiting += 1
        self.on_step(Step.QUEUE, request)
        self.pump(group)
        try:
            if not waiter.done():
                self.limiter.ask_urgently(group)
            async with asyncio.timeout_at(request.deadline):
                await waiter
        except TimeoutError:
            self.context.recorder.count("queue_timeouts")
        except asyncio.CancelledError:
            self.give_back(waiter)
            raise
        finally:
            self.leave_queue(group, item, waiter)
        if waiter.cancelled():
            wait = max(self.rates[group].seconds, 1.0)
            return NotRun(Step.QUEUE, self.context.daemon, "no slot came free in time", 503, wait)
        name = waiter.result()
        if name == TOO_LATE:
            wait = queue.estimate_wait(self.count_slots(group), self.rates[group])
            reason = "the deadline cannot be met any more"
            return NotRun(Step.QUEUE, self.context.daemon, reason, 503, max(wait, 1.0))
        return None if name == REDIRECT else self.limiter.upstreams[name]

    async def await_preferred(self, group: Group, fingerprint: str, deadline: float) -> None:
        """Wait shortly until the upstream that all daemons prefer for a request has a slot here.

        A daemon that holds no slots yet is lent those of any upstream first. If it took that one,
        identical requests that come through several daemons at once would spread over upstreams,
        and one that crashes what runs it would cost one upstream for each daemon. A request that
        is suspected of a crash waits longer, but never so long that it could not be answered.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        latest = deadline - self.rates[group].seconds
        self.limiter.demands[group].waiting += 1
        try:
            while True:
                suspect = self.suspects.judge_fingerprint(fingerprint) is Verdict.SUSPECT
                limit = SUSPECT_SECONDS if suspect else PREFER_SECONDS
                if self.holds_preferred(group, fingerprint, suspect) or loop.time() >= min(
                    began + limit, latest
                ):
                    return
                self.limiter.ask_urgently(group)
                await asyncio.sleep(PREFER_STEP_SECONDS)
        finally:
            self.limiter.demands[group].waiting -= 1

    def holds_preferred(self, group: Group, fingerprint: str, suspect: bool) -> bool:
        """Say whether the preferred upstream has a free slot here, or is busy with known work."""
        preferred = self.find_preferred(group, fingerprint)
        if preferred is None:
            return True
        entry = self.limiter.slot_holder.held.get(preferred)
        if entry is None:
            return False
        return entry.available > 0 or (entry.usable > 0 and not suspect)

    def find_preferred(self, group: Group, fingerprint: str) -> str | None:
        """Return the open upstream that all daemons find first by a request's fingerprint."""
        now = self.context.now()
        names = self.limiter.group_upstreams.get(group, ())
        open_names = [name for name in names if self.is_open(name, now)]
        return max(open_names, key=lambda name: score_pair(fingerprint, name), default=None)

    def give_back(self, waiter: asyncio.Future[str]) -> None:
        """Give back the slot that a request was given as it was cancelled."""
        given = waiter.done() and not waiter.cancelled()
        if given and waiter.result() not in (REDIRECT, TOO_LATE):
            self.limiter.release(waiter.result(), None)

    def leave_queue(self, group: Group, item: QueueItem, waiter: asyncio.Future) -> None:
        """Take a waiter out of the queue; a slot that it was given too late goes back."""
        self.queues[group].remove(item)
        self.limiter.demands[group].waiting -= 1
        if not waiter.done():
            waiter.cancel()

    def count_slots(self, group: Group) -> int:
        """Return the slots of a group that this daemon has or could have, at least one."""
        held = self.limiter.slot_holder.held
        entries = [held[n] for n in self.limiter.group_upstreams.get(group, ()) if n in held]
        return max(sum(entry.usable + entry.free_hint for entry in entries), 1)

    def take_slots(self, upstream: str) -> None:
        """Give newly allotted slots to waiting requests; shed what a cold upstream cannot bear."""
        group = self.limiter.groups.get(upstream)
        if group is not None:
            self.pump(group)
        entry = self.limiter.slot_holder.held[upstream]
        if entry.cold_starts and entry.bound <= entry.cold_slots:
            self.active_requests.shed_excess(upstream)

    def pump(self, group: Group) -> None:
        """Give free slots to waiting requests in fair order."""
        queue = self.queues[group]
        while len(queue):
            candidates = self.list_candidates(group)
            if not candidates:
                return
            item = queue.pop(self.context.now(), self.rates[group])
            if item is None:
                return
            self.assign(item.payload, candidates)

    def assign(self, flight: ActiveRequest, candidates: list[Candidate]) -> None:
        """Give a waiting request one of the candidates."""
        request = flight.request
        if flight.waiter.done():
            return
        now = self.context.now()
        if now + self.rates[flight.group].seconds > request.deadline:
            flight.waiter.set_result(TOO_LATE)
            return
        if flight.blocks is None:
            flight.blocks = tuple(split_prefix_blocks(request.service, request.body))
        pool = self.suspects.narrow(request, candidates)
        question = ChoiceRequest(flight.blocks, now, self.suspects.find_fingerprint(request))
        chosen = self.choose(question, pool, self.index, self.rng)
        self.limiter.acquire(chosen.upstream)
        self.on_step(Step.CHOICE, request)
        self.index.note_stored(chosen.upstream, flight.blocks, question.now)
        flight.waiter.set_result(chosen.upstream)

    def list_candidates(self, group: Group) -> list[Candidate]:
        """Return the upstreams of a group that have a free slot and may take work."""
        now = self.context.now()
        candidates = []
        for name in self.limiter.group_upstreams.get(group, ()):
            entry = self.limiter.slot_holder.held.get(name)
            if entry is None or entry.available == 0 or not self.is_open(name, now):
                continue
            upstream = self.limiter.upstreams[name]
            load = entry.in_flight / max(entry.usable, 1)
            local = upstream.failure_domain == self.context.failure_domain
            candidates.append(Candidate(name, load, entry.available, upstream.price, local))
        return candidates

    def is_open(self, name: str, now: float) -> bool:
        """Say whether an upstream may take new work."""
        breaker = self.breakers.get(name)
        if breaker is not None and breaker.is_open(now):
            return False
        return name not in self.limiter.excluded_upstreams

    def open_breaker(self, name: str) -> None:
        """Keep work from an upstream that was not reached; it may come back cold."""
        self.breakers[name].note_failure(self.context.now())
        self.limiter.note_cold(name)

    def close_breaker(self, name: str) -> None:
        """Give work again to an upstream that was reached."""
        breaker = self.breakers[name]
        was_open = breaker.is_open(self.context.now())
        breaker.note_success()
        group = self.limiter.groups.get(name)
        if was_open and group is not None:
            self.limiter.ask_urgently(group)
            self.pump(group)

    def redirect_version(self, service: str, version: str) -> None:
        """Let waiting requests choose anew when their version gets no more traffic."""
        queue = self.queues.get((service, version))
        if queue is None:
            return
        for item in queue.drop_where(lambda item: True):
            if not item.payload.waiter.done():
                item.payload.waiter.set_result(REDIRECT)
