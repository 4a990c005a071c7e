"""Events, ordered by Lamport timestamps, and the recorder that each process has."""

__all__ = ["Event", "Recorder"]

import asyncio
import time
from collections import Counter, deque
from collections.abc import Iterator
from typing import NamedTuple

DEFAULT_CAPACITY_EVENTS = 20_000


class Event(NamedTuple):
    """One event of one daemon.

    :ivar stamp: Lamport timestamp, which orders causes before effects
    :ivar at: event-loop time in seconds
    :ivar shown_at: wall-clock time in seconds, for display only
    :ivar kind: name of the event, also of its counter
    :ivar ticket: number of the configuration ticket that the event concerns, 0 for none
    :ivar request: id of the request or job that the event concerns
    :ivar upstream: name of the upstream that the event concerns
    :ivar step: step of the request at which the event occurred
    """

    stamp: int
    daemon: str
    at: float
    shown_at: float
    kind: str
    ticket: int = 0
    request: str = ""
    upstream: str = ""
    step: str = ""
    detail: str = ""


class Recorder:
    """Record events and counters of one daemon in bounded memory.

    :ivar events: the latest events; the oldest is dropped when the capacity is reached
    :ivar counters: number of events by kind, and of occurrences counted without an event
    :ivar stamp: current value of the Lamport clock
    :ivar wall_clock_offset: wall-clock time minus event-loop time in seconds, taken once at the
        first event
    """

    def __init__(self, daemon: str, capacity: int = DEFAULT_CAPACITY_EVENTS) -> None:
        self.daemon = daemon
        self.events: deque[Event] = deque(maxlen=capacity)
        self.counters: Counter[str] = Counter()
        self.stamp = 0
        self.wall_clock_offset: float | None = None

    def observe_stamp(self, stamp: int) -> None:
        """Advance the Lamport clock to a timestamp received from another process.

        The next event gets a greater timestamp than both.
        """
        self.stamp = max(self.stamp, stamp)

    def record(
        self,
        kind: str,
        *,
        ticket: int = 0,
        request: str = "",
        upstream: str = "",
        step: str = "",
        detail: str = "",
    ) -> Event:
        """Record an event with the next Lamport timestamp and count its kind."""
        now = asyncio.get_running_loop().time()
        if self.wall_clock_offset is None:
            self.wall_clock_offset = time.time() - now
        self.stamp += 1
        shown_at = now + self.wall_clock_offset
        event = Event(
            self.stamp,
            self.daemon,
            now,
            shown_at,
            kind,
            ticket,
            request,
            upstream,
            step,
            detail,
        )
        self.events.append(event)
        self.counters[kind] += 1
        return event

    def count(self, name: str, amount: int = 1) -> None:
        """Count an occurrence without recording an event."""
        self.counters[name] += amount

    def select(
        self, ticket: int = 0, request: str = "", upstream: str = "", limit: int = 1000
    ) -> Iterator[Event]:
        """Yield the latest events that match every given filter, oldest first.

        :param limit: maximum number of events
        """
        matches = [
            event
            for event in self.events
            if (not ticket or event.ticket == ticket)
            and (not request or event.request == request)
            and (not upstream or event.upstream == upstream)
        ]
        yield from matches[-limit:]
