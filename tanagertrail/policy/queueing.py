"""Admission by deadline, and a queue that is fair over priorities and customers."""

__all__ = ["AdmissionRefusal", "FairQueue", "MeanServiceTime", "QueueItem"]

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from tanagertrail.model import Priority

PRIORITY_WEIGHTS: dict[Priority, float] = {
    Priority.REPORT_LATE: 16.0,
    Priority.QUESTION: 8.0,
    Priority.REPORT: 4.0,
    Priority.TAG: 1.0,
}
MAX_QUEUE_LENGTH = 2000
SERVICE_TIME_WEIGHT = 0.1
NEARLY_LATE_SERVICE_TIMES = 4.0
MIN_RETRY_AFTER_SECONDS = 0.5
MAX_RETRY_AFTER_SECONDS = 30.0


class AdmissionRefusal(NamedTuple):
    """Why a request is not queued, and when its caller may retry.

    :ivar retry_after: seconds after which the caller may retry
    """

    reason: str
    retry_after: float


@dataclass
class MeanServiceTime:
    """Moving average of the time for which a request occupies a slot.

    :ivar seconds: mean time in seconds, 0 before the first observation
    """

    seconds: float = 0.0

    def observe(self, seconds: float) -> None:
        """Add the time of one finished request."""
        if self.seconds == 0.0:
            self.seconds = seconds
        self.seconds += SERVICE_TIME_WEIGHT * (seconds - self.seconds)


@dataclass(order=True)
class QueueItem:
    """A queued request.

    :ivar tag: start tag of fair queueing
    :ivar order: sequence number that breaks ties between equal tags
    :ivar deadline: event-loop time in seconds
    :ivar removed: whether it was removed; such items are dropped from the heap later
    """

    tag: float
    order: int
    priority: Priority = field(compare=False)
    customer: str = field(compare=False)
    deadline: float = field(compare=False)
    payload: Any = field(compare=False)
    removed: bool = field(default=False, compare=False)


class FairQueue:
    """Start-time fair queue: each priority has a share, divided evenly over its customers.

    Tags follow P. Goyal, H. Vin, H. Cheng, "Start-time fair queueing", SIGCOMM 1996.

    :ivar finish_tags: last finish tag by priority and customer
    :ivar last_was_urgent: whether the last request taken was a nearly late report
    """

    def __init__(self, limit: int = MAX_QUEUE_LENGTH) -> None:
        self.limit = limit
        self.heap: list[QueueItem] = []
        self.finish_tags: dict[tuple[Priority, str], float] = {}
        self.virtual_time = 0.0
        self.sequence = itertools.count()
        self.length = 0
        self.last_was_urgent = False

    def __len__(self) -> int:
        return self.length

    def admit(
        self, deadline: float, now: float, slots: int, rate: MeanServiceTime
    ) -> AdmissionRefusal | None:
        """Return a refusal if a request could not be answered in time, otherwise None.

        :param slots: number of requests of this queue's service that run concurrently
        :param rate: mean service time of a request
        """
        if self.length >= self.limit:
            return AdmissionRefusal("the queue is full", self.estimate_wait(slots, rate))
        wait = self.estimate_wait(slots, rate)
        if now + wait + rate.seconds > deadline:
            retry_after = min(max(wait, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS)
            return AdmissionRefusal("the deadline cannot be met", retry_after)
        return None

    def estimate_wait(self, slots: int, rate: MeanServiceTime) -> float:
        """Estimate the seconds until a request that is queued now would start."""
        return self.length * rate.seconds / max(slots, 1)

    def push(self, priority: Priority, customer: str, deadline: float, payload: Any) -> QueueItem:
        """Queue a request behind its customer's earlier ones."""
        flow = (priority, customer)
        start = max(self.virtual_time, self.finish_tags.get(flow, 0.0))
        active_customers = self.count_active(priority, customer)
        self.finish_tags[flow] = start + active_customers / PRIORITY_WEIGHTS[priority]
        item = QueueItem(start, next(self.sequence), priority, customer, deadline, payload)
        heapq.heappush(self.heap, item)
        self.length += 1
        return item

    def count_active(self, priority: Priority, customer: str) -> int:
        """Count the customers with queued requests of a priority, including the given one."""
        active = {
            name
            for (item_priority, name), tag in self.finish_tags.items()
            if item_priority == priority and tag > self.virtual_time
        }
        return len(active | {customer})

    def remove(self, item: QueueItem) -> None:
        """Mark a request as removed, if it is not yet."""
        if not item.removed:
            item.removed = True
            self.length -= 1

    def pop(self, now: float, rate: MeanServiceTime) -> QueueItem | None:
        """Remove and return the next request, None if the queue is empty.

        This is the request with the lowest tag. At most every other time, a report that would
        otherwise be late goes first.
        """
        self.drop_removed()
        if not self.heap:
            return None
        nearly_late = None if self.last_was_urgent else self.find_nearly_late(now, rate)
        self.last_was_urgent = nearly_late is not None
        item = nearly_late or self.heap[0]
        self.virtual_time = max(self.virtual_time, self.heap[0].tag)
        self.remove(item)
        self.drop_removed()
        return item

    def find_nearly_late(self, now: float, rate: MeanServiceTime) -> QueueItem | None:
        """Return the report with the earliest deadline among those that must start soon."""
        latest_start = now + NEARLY_LATE_SERVICE_TIMES * rate.seconds
        nearly_late = [
            item
            for item in self.heap
            if not item.removed
            and item.priority in (Priority.REPORT, Priority.REPORT_LATE)
            and item.deadline - rate.seconds <= latest_start
        ]
        return min(nearly_late, key=lambda item: item.deadline, default=None)

    def drop_removed(self) -> None:
        """Drop removed requests from the head of the heap."""
        while self.heap and self.heap[0].removed:
            heapq.heappop(self.heap)

    def drop_where(self, condition: Callable[[QueueItem], bool]) -> list[QueueItem]:
        """Remove and return all requests for which a condition holds."""
        dropped = [item for item in self.heap if not item.removed and condition(item)]
        for item in dropped:
            self.remove(item)
        return dropped
