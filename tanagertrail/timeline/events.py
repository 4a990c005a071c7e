"""Events and the per-process recorder, ordered by Lamport stamps."""

__all__ = ["Event", "Recorder"]

import asyncio
import time
from collections import Counter, deque
from collections.abc import Iterator
from typing import NamedTuple

DEFAULT_CAPACITY_EVENTS = 20_000


class Event(NamedTuple):
    """One event of one daemon.

    :ivar stamp: Lamport stamp, which orders causes before effects
    :ivar at: event-loop time in seconds
    :ivar shown_at: wall-clock time in seconds, for display only
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
    """Record events and counters of one daemon in bounded memory."""

    def __init__(self, daemon: str, capacity: int = DEFAULT_CAPACITY_EVENTS) -> None:
        self.daemon = daemon
        self.events: deque[Event] = deque(maxlen=capacity)
        self.counters: Counter[str] = Counter()
        self.stamp = 0
        self.wall_clock_offset: float | None = None

    def observe_stamp(self, stamp: int) -> None:
        """Move the Lamport clock past a stamp received from another process."""
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
        """Record an event and count its kind."""
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
        """Yield the last events that match every given filter."""
        matches = [
            event
            for event in self.events
            if (not ticket or event.ticket == ticket)
            and (not request or event.request == request)
            and (not upstream or event.upstream == upstream)
        ]
        yield from matches[-limit:]
