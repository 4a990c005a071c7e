"""Waiting requests under the load patterns for which the ranks were chosen, without a network."""

import random
from collections import Counter
from typing import NamedTuple

from tanagertrail.policy.retry_after import ReturnSchedule, estimate_retry_after
from tanagertrail.policy.room import (
    LEAST_LOAD_FACTOR,
    MAX_LOAD_FACTOR,
    MAX_WAIT_SECONDS,
    Aim,
    Demand,
    WaitingList,
    WaitPlan,
    compute_load_limit,
    plan_wait,
)

TICK = 0.005
PLACES = 24
WORK_SECONDS = 0.4  # mean time of an answer
SECONDS = 12.0
NORMAL_RATE = PLACES / WORK_SECONDS


class Kind(NamedTuple):
    """A kind of request of deployment A."""

    name: str
    share: float
    objective: float
    deadline: float
    value: float
    late_value: float
    steps: int


KINDS = (
    Kind("long", 0.24, 1.245, 10.378, 2.0, 0.29, 2),
    Kind("short", 0.28, 0.269, 10.742, 4.2, 0.17, 0),
    Kind("tag", 0.48, 0.422, 2.64, 0.32, 0.032, 1),
)


class Request(NamedTuple):
    """A request of a caller, with its size relative to the mean of its kind.

    :ivar seen_at: when the daemon got it; its caller may have sent it before
    """

    kind: Kind
    arrived_at: float
    size: float
    customer: str
    seen_at: float

    def build_demand(self, now):
        """Describe the request to the policy."""
        return Demand(
            self.kind.steps,
            self.customer,
            self.seen_at + self.kind.objective,
            self.arrived_at + self.kind.deadline,
            0.05 * self.size,
            WORK_SECONDS * self.size,
            1000,
            now,
        )


def draw_requests(rng, rate_at, customer_at=lambda now: "guild"):
    """Draw the requests of a load pattern.

    :param rate_at: returns the requests per second at a time
    """
    requests = []
    now = 0.0
    while (now := now + rng.expovariate(rate_at(now))) < SECONDS:
        kind = rng.choices(KINDS, [kind.share for kind in KINDS])[0]
        size = rng.choice((0.4, 0.7, 0.9, 1.0, 2.0))
        requests.append(Request(kind, now, size, customer_at(now), now))
    return requests


class Play:
    """Upstreams with a number of places and one daemon before them.

    :ivar started: requests with the time of their start
    :ivar waits: seconds that each request waited
    """

    def __init__(self, waits_for_places, places_at=lambda now: PLACES):
        self.waits_for_places = waits_for_places
        self.places_at = places_at
        self.rng = random.Random(3)
        self.schedule = ReturnSchedule()
        self.ends = []
        self.waiting = WaitingList()
        self.started = []
        self.waits = []
        self.refusals = Counter()
        self.displaced = []

    def may_start(self, steps, now, waited=0.0):
        limit = compute_load_limit(steps, waited) if self.waits_for_places else MAX_LOAD_FACTOR
        return len(self.ends) < self.places_at(now) * limit / MAX_LOAD_FACTOR

    def start(self, request, now):
        self.started.append((request, now))
        self.ends.append(now + WORK_SECONDS * request.size)

    def handle(self, request, now, since):
        """Start a request or let it wait; return after how many seconds its caller returns."""
        if since == now and self.may_start(request.kind.steps, now):
            self.start(request, now)
            return None
        if not self.waits_for_places:
            return estimate_retry_after(None, 0.0, self.rng.random())
        demand, rate = request.build_demand(since), self.places_at(now) / WORK_SECONDS
        plan = plan_wait(demand, self.waiting, rate, now)
        if isinstance(plan, WaitPlan):
            self.waiting.add(demand, plan, request)
            for waiter in self.waiting.list_displaced(rate, now):
                self.waiting.discard(waiter)
                self.displaced.append(waiter)
            return None
        self.refusals[request.kind.name] += 1
        ahead = plan[1] / rate if rate else 0.0
        return self.schedule.plan_return_after(ahead, rate, now, self.rng.random())

    def run(self, requests):
        """Play the requests and the returns of refused callers."""
        coming = [(request.arrived_at, number, request) for number, request in enumerate(requests)]
        now = 0.0
        while now < SECONDS:
            now += TICK
            self.ends = [end for end in self.ends if end > now]
            self.fill(now)
            due = [item for item in coming if item[0] <= now]
            coming = [item for item in coming if item[0] > now]
            for request, since in [*self.take_ended(now), *((item[2], now) for item in due)]:
                pause = self.handle(request, now, since)
                left = request.arrived_at + request.kind.deadline - now
                if pause is not None and pause < left / 3:  # callers honour no longer pauses
                    coming.append((now + pause, 0, request._replace(seen_at=now + pause)))
        return self

    def take_ended(self, now):
        """Take the requests whose time is over or that have yielded out of the list."""
        ended = [waiter for waiter in self.waiting.waiters if waiter.plan.until <= now]
        ended, self.displaced = ended + self.displaced, []
        for waiter in ended:
            self.waiting.discard(waiter)
            self.note_wait(waiter, now)
        return [(waiter.payload, waiter.demand.since) for waiter in ended]

    def fill(self, now):
        for waiter in self.waiting.list_ranked():
            if self.may_start(waiter.demand.priority_steps, now, now - waiter.demand.since):
                self.waiting.discard(waiter)
                self.note_wait(waiter, now)
                self.start(waiter.payload, now)

    def note_wait(self, waiter, now):
        self.waits.append(now - waiter.demand.since)
        assert now <= waiter.plan.latest_start + 2 * TICK

    def compute_credit(self):
        """Compute the value of what was started, by when."""
        return sum(
            request.kind.value
            if now + 0.05 * request.size <= request.arrived_at + request.kind.objective
            else request.kind.late_value
            for request, now in self.started
        )

    def share_started(self, requests, condition=lambda request: True):
        """Return the share of the requests that started."""
        started = sum(condition(request) for request, _ in self.started)
        return started / sum(map(condition, requests))


def is_kind(name):
    """Build a condition on the kind of requests."""
    return lambda request: request.kind.name == name


def burst(now):
    """Return the requests per second of a surge between two calm spans."""
    return NORMAL_RATE * (1.8 if 3.0 <= now < 7.0 else 0.6)


def test_burst_of_several_kinds_costs_callers_less_than_refusals_at_once():
    requests = draw_requests(random.Random(1), burst)
    before, after = Play(False).run(requests), Play(True).run(requests)
    assert after.compute_credit() > 1.1 * before.compute_credit()
    shares = [after.share_started(requests, is_kind(name)) for name in ("short", "tag", "long")]
    assert shares[0] >= max(shares[1:]) - 0.05
    assert max(after.waits) <= MAX_WAIT_SECONDS + 2 * TICK


def test_large_requests_do_not_starve_in_a_lasting_overload():
    requests = draw_requests(random.Random(2), lambda now: 1.5 * NORMAL_RATE)
    play = Play(True).run(requests)
    for kind in KINDS:
        whole = play.share_started(requests, lambda item, kind=kind: item.kind is kind)
        large = play.share_started(
            requests, lambda item, kind=kind: item.kind is kind and item.size == 2.0
        )
        assert large >= 0.5 * whole, kind.name
        assert whole > 0.1, kind.name


def test_customer_that_floods_a_daemon_does_not_crowd_out_others():
    rng = random.Random(4)
    requests = draw_requests(
        rng,
        lambda now: NORMAL_RATE * (3.0 if now >= 2.0 else 0.5),
        lambda now: "flood" if now >= 2.0 and rng.random() < 5 / 6 else "guild",
    )
    play = Play(True).run(requests)
    others = play.share_started(requests, lambda item: item.customer == "guild")
    assert others > 1.5 * play.share_started(requests, lambda item: item.customer == "flood")


def test_no_wait_outlasts_its_aim_when_upstreams_are_lost_while_requests_wait():
    for left in (PLACES // 2, 0):
        places = {True: left, False: PLACES}
        requests = draw_requests(random.Random(5), burst)
        play = Play(True, lambda now, places=places: places[4.0 <= now < 6.0]).run(requests)
        assert len(play.started) > 0.4 * len(requests)
        assert max(play.waits) <= MAX_WAIT_SECONDS + 2 * TICK


def test_callers_return_apart_when_all_daemons_start_at_once():
    """Daemons that have measured nothing would let more requests wait than they can start."""
    play = Play(True, lambda now: 2)
    now = TICK
    returns = []
    for number in range(300):
        request = Request(KINDS[number % 3], now, 1.0, f"customer {number % 20}", now)
        for item, since in [(request, now), *play.take_ended(now)]:
            pause = play.handle(item, now, since)
            returns += [] if pause is None else [pause]
    rate = 2 / WORK_SECONDS
    assert len(play.waiting) <= rate * MAX_WAIT_SECONDS
    assert len(returns) + len(play.waiting) + len(play.started) == 300
    assert max(Counter(round(pause, 2) for pause in returns).values()) <= len(returns) / 20


def test_limits_keep_places_for_urgent_requests_and_change_nothing_under_light_load():
    limits = [compute_load_limit(steps) for steps in range(10)]
    assert limits[0] == MAX_LOAD_FACTOR
    assert limits == sorted(limits, reverse=True)
    assert min(limits) == LEAST_LOAD_FACTOR > 1.0
    assert compute_load_limit(2, waited=1.0) == MAX_LOAD_FACTOR


def test_request_that_is_late_anyway_goes_after_one_that_is_not():
    now = 100.0
    late = Request(KINDS[0], now - 3.0, 1.0, "guild", now - 3.0).build_demand(now)
    on_time = Request(KINDS[2], now, 1.0, "guild", now).build_demand(now)
    waiting = WaitingList()
    plan = plan_wait(late, waiting, 100.0, now)
    assert plan.aim is Aim.DEADLINE
    waiting.add(late, plan, "late")
    waiting.add(on_time, plan_wait(on_time, waiting, 100.0, now), "on time")
    assert [waiter.payload for waiter in waiting.list_ranked()] == ["on time", "late"]
    assert not isinstance(plan_wait(on_time, waiting, 0.0, now), WaitPlan)
