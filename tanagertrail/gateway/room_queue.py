"""Requests that wait in this daemon for a place at an upstream."""

__all__ = ["RoomQueue"]

import asyncio
import enum
import random
from collections.abc import Callable

from tanagertrail.gateway.admission import Refusal
from tanagertrail.gateway.brittle_upstreams import FIRST_SERVICE_SECONDS
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.exchange import Exchange
from tanagertrail.gateway.load_limits import Places
from tanagertrail.gateway.metrics import GatewayMetrics
from tanagertrail.gateway.stop_gate import StopGate
from tanagertrail.gateway.suspects import SuspectTracker
from tanagertrail.gateway.upstream_selector import UpstreamSelector
from tanagertrail.policy.placement import PREFILL_TOKENS_PER_SECOND
from tanagertrail.policy.retry_after import ReturnSchedule, plan_move
from tanagertrail.policy.room import (
    MAX_LOAD_FACTOR,
    MAX_WAITING,
    MAX_WAITING_BYTES,
    Demand,
    RoomMode,
    Waiter,
    WaitingList,
    WaitPlan,
    plan_wait,
)

# Between looks for places that other daemons' requests have left, new upstreams and a planned stop;
# the ends of own requests are noticed at once. A look costs some 20 us.
POLL_SECONDS = 0.02
RATE_SECONDS = 0.1  # for which an estimated rate is used: it takes 100 us for 45 upstreams
MIN_SERVICE_SECONDS = 0.001  # of a request; shorter means are not worth telling apart


class Verdict(enum.StrEnum):
    """Why a request waits no more.

    After ``TIMED_OUT`` and ``DISPLACED``, it may wait again for what it can still meet.
    """

    TIMED_OUT = "timed out"
    DISPLACED = "displaced"
    PLACE = "waited"
    EXPIRED = "wait ran out"
    YIELDED = "yielded"
    STOPPED = "refused by the stop"
    LOST = "upstreams lost"
    HOPELESS = "refused at once"


# Why a request is refused that can meet nothing more after such an end of its wait.
FAILURES = {Verdict.TIMED_OUT: Verdict.EXPIRED, Verdict.DISPLACED: Verdict.YIELDED}

REASONS = {
    Verdict.YIELDED: "requests that cost callers more to delay took the places",
    Verdict.HOPELESS: "no place is expected in time",
    Verdict.EXPIRED: "no place became free in time",
    Verdict.STOPPED: "the gateway is stopping",
}


class WaitingExchange:
    """A request that waits, and the future that ends the wait."""

    def __init__(self, exchange: Exchange) -> None:
        self.exchange = exchange
        self.ended: asyncio.Future[Verdict] = asyncio.get_running_loop().create_future()

    def end(self, verdict: Verdict) -> None:
        """End the wait."""
        if not self.ended.done():
            self.ended.set_result(verdict)


class RoomQueue:
    """Let requests wait while all upstreams that could get them are full.

    :ivar lists: waiting requests by service
    :ivar rates: requests per second that may start, by service, and until when that is used
    :ivar is_cut_off: returns whether this daemon reaches no upstream itself
    :ivar metrics: None if metrics are not exported
    """

    def __init__(
        self,
        selector: UpstreamSelector,
        suspects: SuspectTracker,
        stop_gate: StopGate,
        log: EventLog,
        rng: random.Random,
    ) -> None:
        self.selector = selector
        self.suspects = suspects
        self.stop_gate = stop_gate
        self.log = log
        self.rng = rng
        self.lists: dict[str, WaitingList] = {}
        self.rates: dict[str, tuple[float, float]] = {}
        self.poll_timer: asyncio.TimerHandle | None = None
        self.is_cut_off: Callable[[], bool] = lambda: False
        self.metrics: GatewayMetrics | None = None

    def now(self) -> float:
        """Return the event-loop time in seconds."""
        return asyncio.get_running_loop().time()

    async def let_others_pass(self, exchange: Exchange) -> None:
        """Let a waiting request take a place that is free before a new one takes it."""
        if exchange.wait_began_at is None and exchange.service in self.lists:
            self.fill_place(exchange.service)
            await asyncio.sleep(0)

    async def wait_for_place(self, exchange: Exchange) -> bool:
        """Wait until an upstream may have a place; return whether to try again.

        Otherwise the exchange has a refusal, unless the usual one holds.
        """
        if self.selector.load_limits.mode is not RoomMode.WAIT:
            return False
        if self.suspects.must_run_isolated(exchange.fingerprint):
            return False
        failure = Verdict.HOPELESS if exchange.wait_began_at is None else Verdict.EXPIRED
        while self.selector.find_places(exchange, self.now()) is not Places.NONE:
            verdict = await self.wait_once(exchange, failure)
            if verdict in FAILURES:
                failure = FAILURES[verdict]
                continue
            self.note(exchange, verdict)
            return verdict is Verdict.PLACE
        return False

    async def wait_once(self, exchange: Exchange, failure: Verdict) -> Verdict:
        """Wait for what a request can still meet, and return why the wait ended.

        :param failure: why, if it can meet nothing
        """
        verdict = failure
        if exchange.wait_began_at is None:
            exchange.wait_began_at = self.now()
        demand = self.build_demand(exchange)
        waiting = self.lists.get(exchange.service) or WaitingList()
        rate = self.estimate_rate(exchange.service)
        plan = plan_wait(demand, waiting, rate, self.now())
        if self.stop_gate.schedule is not None:
            verdict = Verdict.STOPPED
        elif isinstance(plan, WaitPlan):
            verdict = await self.wait_in_list(exchange, waiting, demand, plan, rate)
        if verdict in REASONS:
            expected, ahead = (
                (plan.expected_wait, plan.ahead) if isinstance(plan, WaitPlan) else plan
            )
            exchange.refusal = self.build_refusal(exchange, verdict, rate, expected, ahead)
        return verdict

    async def wait_in_list(
        self,
        exchange: Exchange,
        waiting: WaitingList,
        demand: Demand,
        plan: WaitPlan,
        rate: float,
    ) -> Verdict:
        """Wait in the list of a service, which the request leaves however the wait ends.

        :param rate: requests per second that this daemon is expected to start
        """
        item = WaitingExchange(exchange)
        self.lists[exchange.service] = waiting
        waiter = waiting.add(demand, plan, item)
        for displaced in waiting.list_displaced(rate, self.now()):
            self.end_wait(exchange.service, displaced, Verdict.DISPLACED)
        self.enforce_bounds()
        self.schedule_poll()
        try:
            async with asyncio.timeout_at(plan.until):
                verdict = await item.ended
        except TimeoutError:
            return Verdict.TIMED_OUT
        finally:
            self.discard(exchange.service, waiter)
        if verdict is Verdict.PLACE:
            self.log_wait(exchange, plan)
            # Runs once this request was sent, so that its place is no longer counted as free.
            asyncio.get_running_loop().call_soon(self.fill_place, exchange.service)
        return verdict

    def discard(self, service: str, waiter: Waiter) -> None:
        """Remove a request from the list of its service, and the list once it is empty."""
        waiting = self.lists.get(service)
        if waiting is None:
            return
        waiting.discard(waiter)
        if not waiting:
            del self.lists[service]

    def enforce_bounds(self) -> None:
        """Let the requests of the highest ranks yield while too many or too large ones wait."""
        while self.count_waiting() > MAX_WAITING or self.measure_bytes() > MAX_WAITING_BYTES:
            service, waiter = max(
                (
                    (service, waiter)
                    for service, waiting in self.lists.items()
                    for waiter in waiting.waiters
                ),
                key=lambda pair: pair[1].rank,
            )
            self.end_wait(service, waiter, Verdict.YIELDED)

    def count_waiting(self) -> int:
        """Count the waiting requests."""
        return sum(map(len, list(self.lists.values())))

    def measure_bytes(self) -> int:
        """Return the bytes that are held for waiting requests."""
        return sum(waiting.size for waiting in list(self.lists.values()))

    def end_wait(self, service: str, waiter: Waiter, verdict: Verdict) -> None:
        """End the wait of a request."""
        self.discard(service, waiter)
        waiter.payload.end(verdict)

    def fill_place(self, service: str) -> None:
        """Let the first waiting request go on that an upstream may have a place for."""
        waiting = self.lists.get(service)
        if waiting is None:
            return
        now = self.now()
        known: dict[tuple[float, frozenset[str]], Places] = {}
        for waiter in waiting.list_ranked():
            exchange = waiter.payload.exchange
            limit = self.selector.load_limits.get_limit(exchange)
            key = limit, frozenset(attempt.upstream for attempt in exchange.attempts)
            if key not in known:
                known[key] = self.selector.find_places(exchange, now)
            if known[key] is Places.FREE:
                self.end_wait(service, waiter, Verdict.PLACE)
                return
            if known[key] is Places.NONE:
                self.end_wait(service, waiter, Verdict.LOST)

    def schedule_poll(self) -> None:
        """Look for places after a while, unless that is due already."""
        if self.poll_timer is None:
            loop = asyncio.get_running_loop()
            self.poll_timer = loop.call_later(POLL_SECONDS, self.poll)

    def poll(self) -> None:
        """Let waiting requests go on, or refuse them if this daemon stops."""
        self.poll_timer = None
        if self.stop_gate.schedule is not None:
            self.end_all(Verdict.STOPPED)
        elif self.is_cut_off():
            self.end_all(Verdict.PLACE)  # other daemons carry them
        for service in list(self.lists):
            self.fill_place(service)
        if self.lists:
            self.schedule_poll()

    def end_all(self, verdict: Verdict) -> None:
        """End the waits of all requests."""
        for service, waiting in list(self.lists.items()):
            for waiter in list(waiting.waiters):
                self.end_wait(service, waiter, verdict)

    def build_demand(self, exchange: Exchange) -> Demand:
        """Describe what a request needs."""
        work = self.get_service_seconds(exchange.service)
        first = work
        if exchange.route.streamed:
            prompt = exchange.fields.prompt
            tokens = prompt.input_tokens if prompt is not None else 0
            first = tokens / PREFILL_TOKENS_PER_SECOND * (1.0 + MAX_LOAD_FACTOR)
            work = max(work, first)
        objective_at = exchange.arrived_at + exchange.route.latency_objective
        if exchange.is_continuation:
            objective_at = exchange.wait_began_at + exchange.route.event_gap_objective
        return Demand(
            self.selector.load_limits.count_priority_steps(exchange),
            exchange.customer.name if exchange.customer is not None else "",
            objective_at,
            exchange.deadline,
            first,
            work,
            len(exchange.request.body),
            exchange.wait_began_at,
        )

    def get_service_seconds(self, service: str) -> float:
        """Return the mean seconds of a request of a service."""
        seconds = self.selector.brittle.service_seconds.get(service, FIRST_SERVICE_SECONDS)
        return max(seconds, MIN_SERVICE_SECONDS)

    def estimate_rate(self, service: str) -> float:
        """Estimate the requests per second that this daemon may start at full upstreams."""
        now = self.now()
        rate, used_until = self.rates.get(service, (0.0, 0.0))
        if now < used_until:
            return rate
        # The mean time includes that in the queues of upstreams, hence counts these requests too.
        running = sum(
            max(entry.running, entry.record.slots) for entry in self.selector.list_in_use(service)
        )
        daemons = max(self.selector.members.count_alive(now), 1)
        rate = running / self.get_service_seconds(service) / daemons
        self.rates[service] = rate, now + RATE_SECONDS
        return rate

    def build_refusal(
        self, exchange: Exchange, verdict: Verdict, rate: float, expected: float, ahead: int
    ) -> Refusal:
        """Build the refusal of a request that does not get a place.

        :param rate: requests per second that this daemon may start
        :param expected: seconds after which it would have started
        :param ahead: requests that would have gone before it
        """
        now = self.now()
        if verdict is Verdict.STOPPED:
            retry_after = plan_move(self.rng.random())
        else:
            schedules = self.selector.return_schedules
            schedule = schedules.setdefault(exchange.service, ReturnSchedule())
            wait = ahead / rate if rate > 0 else 0.0
            retry_after = schedule.plan_return_after(wait, rate, now, self.rng.random())
        log_fields = {
            "room": verdict,
            "priority": exchange.priority,
            "waited_s": round(now - exchange.wait_began_at, 3),
            "expected_s": round(min(expected, 1e6), 3),
            "ahead": ahead,
            "rate": round(rate, 3),
        }
        return Refusal(503, REASONS[verdict], retry_after, log_fields)

    def log_wait(self, exchange: Exchange, plan: WaitPlan) -> None:
        """Log that a request goes on after a wait."""
        now = self.now()
        self.log.write_routine(
            "waited",
            request=exchange.fields.request_id,
            service=exchange.service,
            priority=exchange.priority,
            aim=plan.aim,
            waited_s=round(now - exchange.wait_began_at, 3),
            expected_s=round(plan.expected_wait, 3),
            left_s=round(plan.latest_start - now, 3),
            ahead=plan.ahead,
            waiting=len(self.lists.get(exchange.service, ())),
        )

    def note(self, exchange: Exchange, verdict: Verdict) -> None:
        """Count the end of a wait."""
        if self.metrics is not None:
            self.metrics.room[exchange.service, verdict.value] += 1
