"""Capacity: which refused, waiting and new requests get the places of upstreams.

Load patterns:

- Calls of a service whose upstreams do not queue but reject when they are full. Of 10,179 sends to
  4 upstreams with 6 slots, 644 were rejected. Each rejection of an ``unsafe`` call, whose route has
  one attempt, went to the caller, whose own retry came after the objective.
- Bursts of several kinds of requests that share full upstreams. Each request was refused at once,
  whatever its refusal cost its caller, although places became free before its objective.
"""

__all__ = [
    "MAX_LOAD_FACTOR",
    "MAX_SENDS",
    "MAX_WAITING",
    "MAX_WAITING_BYTES",
    "MAX_WAIT_SECONDS",
    "Aim",
    "Demand",
    "RoomMode",
    "WaitPlan",
    "Waiter",
    "WaitingList",
    "allows_another_send",
    "compute_load_limit",
    "frees_attempt",
    "plan_wait",
]

import enum
import math
from collections import Counter
from typing import Any, NamedTuple

# Sends of one request that does not run. At the measured 6 % of rejections, four in a row are
# 2 in 100,000; each one more would spend retry budget while all upstreams are full.
MAX_SENDS = 4

BAD_REQUEST_STATUS = 400  # each upstream would refuse the request again

MAX_LOAD_FACTOR = 2.0  # running requests per slot, above which an upstream would reject more
HEADROOM_FACTOR = 0.2  # requests per slot that are kept free of each less urgent priority
LEAST_LOAD_FACTOR = 1.5  # requests per slot that each priority may fill; queues begin at 1
AGEING_SECONDS = 0.5  # of waiting, for which a request counts as one priority more urgent

MAX_WAIT_SECONDS = 2.0  # a longer wait costs a caller more than to ask another daemon
MAX_WAITING = 64  # requests in one daemon, which starts some 5 in a second; a ranking takes 13 us
MAX_WAITING_BYTES = 8_388_608  # bodies held in one daemon: two of the longest, 5 % of 160 MB
ANSWER_MARGIN_SECONDS = 0.05  # kept back for the response to the caller

# Rank of a request: a step of priority weighs as much as a start so many seconds later. More would
# hardly start the least urgent kind in a lasting overload.
PRIORITY_SECONDS = 0.6

# The same for each request of its customer that waits already: 20 of them weigh as much as a wait
# of a second, so that a customer that floods a daemon stands behind the others.
CUSTOMER_SECONDS = 0.05


class RoomMode(enum.StrEnum):
    """What the gateway does for requests that meet full upstreams.

    ``RETRY`` sends refused requests elsewhere; ``WAIT`` also lets requests wait for a place.
    """

    OFF = "off"
    RETRY = "retry"
    WAIT = "wait"


def frees_attempt(mode: RoomMode, status: int | None, limited: bool, isolated: bool) -> bool:
    """Return whether a refusal by an upstream uses up none of the route's attempts.

    :param status: status of the refusal, None if it is not known
    :param limited: whether the upstream is brittle or names a rate, whose own rules hold
    :param isolated: whether the request may crash its upstream
    """
    if mode is RoomMode.OFF or status == BAD_REQUEST_STATUS:
        return False
    return not (limited or isolated)


def allows_another_send(sends: int, free_refusals: int, attempts: int) -> bool:
    """Return whether the numbers of sends allow another one.

    :param sends: sends of the request so far
    :param free_refusals: those of them that used up no attempt
    :param attempts: largest number of upstreams that may run the request
    """
    used_attempts = sends - free_refusals
    return used_attempts < attempts and sends < max(MAX_SENDS, attempts)


def compute_load_limit(priority_steps: int, waited: float = 0.0) -> float:
    """Return the running requests per slot up to which an upstream may get a request.

    Less urgent requests leave places to more urgent ones. One that has waited long counts as more
    urgent, so that a lasting load of urgent requests does not keep it out for good.

    :param priority_steps: priority of the request, 0 for the most urgent of its service
    :param waited: seconds for which it has waited for a place
    """
    steps = max(priority_steps - int(waited / AGEING_SECONDS), 0)
    return max(MAX_LOAD_FACTOR - HEADROOM_FACTOR * steps, LEAST_LOAD_FACTOR)


class Aim(enum.StrEnum):
    """What a waiting request can still meet."""

    OBJECTIVE = "objective"
    DEADLINE = "deadline"


class Demand(NamedTuple):
    """A request that needs a place; times are event-loop times in seconds.

    :ivar priority_steps: its priority, 0 for the most urgent of its service
    :ivar objective_at: by when its first event, or a plain answer, is on time
    :ivar first_seconds: time from its start to that
    :ivar work_seconds: time from its start to the end of its answer
    :ivar size: bytes that are held while it waits
    :ivar since: when it began to wait
    """

    priority_steps: int
    customer: str
    objective_at: float
    deadline: float
    first_seconds: float
    work_seconds: float
    size: int
    since: float

    def find_latest_start(self, aim: Aim) -> float:
        """Return the time at which it must start to meet an aim."""
        if aim is Aim.OBJECTIVE:
            return min(self.objective_at - self.first_seconds, self.find_latest_start(Aim.DEADLINE))
        return self.deadline - self.work_seconds - ANSWER_MARGIN_SECONDS


class WaitPlan(NamedTuple):
    """The decision that a request waits.

    :ivar latest_start: event-loop time in seconds at which it must start to meet its aim
    :ivar until: event-loop time in seconds up to which it waits
    :ivar expected_wait: seconds after which it is expected to start
    :ivar ahead: waiting requests that go before it
    """

    aim: Aim
    latest_start: float
    until: float
    expected_wait: float
    ahead: int


class Waiter:
    """A waiting request.

    :ivar rank: seconds; the smallest goes next
    """

    def __init__(self, demand: Demand, plan: WaitPlan, rank: float, payload: Any) -> None:
        self.demand = demand
        self.plan = plan
        self.rank = rank
        self.payload = payload


class WaitingList:
    """The requests that wait for places of one service.

    The rank is the latest start with offsets for priority and customer. Requests that still meet
    their objective go before those that are late anyway, large ones before small ones that came
    with them, and each one before all that come so much later that their offsets do not matter.
    """

    def __init__(self) -> None:
        self.waiters: list[Waiter] = []
        self.customers: Counter[str] = Counter()
        self.size = 0

    def __len__(self) -> int:
        return len(self.waiters)

    def compute_rank(self, demand: Demand, aim: Aim) -> float:
        """Return the rank that a request would have."""
        offset = PRIORITY_SECONDS * demand.priority_steps
        offset += CUSTOMER_SECONDS * self.customers[demand.customer]
        return demand.find_latest_start(aim) + offset

    def count_before(self, rank: float) -> int:
        """Count the requests that go before one of a rank."""
        return sum(waiter.rank <= rank for waiter in self.waiters)

    def add(self, demand: Demand, plan: WaitPlan, payload: Any) -> Waiter:
        """Add a request."""
        waiter = Waiter(demand, plan, self.compute_rank(demand, plan.aim), payload)
        self.waiters.append(waiter)
        self.customers[demand.customer] += 1
        self.size += demand.size
        return waiter

    def discard(self, waiter: Waiter) -> None:
        """Remove a request if it is in the list."""
        if waiter not in self.waiters:
            return
        self.waiters.remove(waiter)
        self.customers[waiter.demand.customer] -= 1
        if not self.customers[waiter.demand.customer]:
            del self.customers[waiter.demand.customer]
        self.size -= waiter.demand.size

    def list_ranked(self) -> list[Waiter]:
        """List the requests, the next one first."""
        return sorted(self.waiters, key=lambda waiter: waiter.rank)

    def list_displaced(self, rate: float, now: float) -> list[Waiter]:
        """List the requests that are not expected to start in time because others go before them.

        :param rate: requests per second that this daemon is expected to start
        """
        displaced, position = [], 0
        for waiter in self.list_ranked():
            if now + (position + 1) / rate > waiter.plan.until:
                displaced.append(waiter)
            else:
                position += 1
        return displaced


def plan_wait(
    demand: Demand, waiting: WaitingList, rate: float, now: float
) -> WaitPlan | tuple[float, int]:
    """Decide whether a request waits.

    :param rate: requests per second that this daemon is expected to start
    :returns: the plan, or the seconds until a start is expected and the requests before it if
        that is too late
    """
    expected, ahead = math.inf, 0
    for aim in Aim:
        ahead = waiting.count_before(waiting.compute_rank(demand, aim))
        expected = (ahead + 1) / rate if rate > 0 else math.inf
        latest_start = demand.find_latest_start(aim)
        until = min(latest_start, demand.since + MAX_WAIT_SECONDS)
        if now + expected <= until:
            return WaitPlan(aim, latest_start, until, expected, ahead)
    return expected, ahead
