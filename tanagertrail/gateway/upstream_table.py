"""What one daemon believes of the upstreams: registration, load, faults."""

__all__ = ["UpstreamEntry", "UpstreamTable"]

import asyncio
from collections.abc import Callable, Collection, Iterator

from tanagertrail.gateway.crash_detector import UnansweredAttempt
from tanagertrail.gateway.model import Upstream
from tanagertrail.policy.cold_rate import ColdRateLimiter

FAULT_WEIGHT = 0.2  # weight of the newest request in the running share of faults
FIRST_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 4.0
OTHERS = ""  # key of the sum over all other daemons


class UpstreamEntry:
    """One upstream.

    :ivar known_since: event-loop time in seconds at which its registration was first seen
    :ivar in_flight: requests of this daemon that are there
    :ivar elsewhere: requests of other daemons, kept by the table
    :ivar cold_until: event-loop time in seconds until which it is cold
    :ivar cold_allowance: this daemon's share of its rate while it is cold
    :ivar closed_until: event-loop time in seconds until which it gets no new work
    :ivar strikes: connections in a row that were refused or broke
    :ivar failure_rate: running share of requests that failed
    :ivar unanswered: tries that ended without an answer, since which it has answered nothing
    :ivar ended_at: event-loop time in seconds at which it was found to have ended, else None
    :ivar examination: task that finds out whether it still takes connections
    :ivar isolated: requests of this daemon there that must run alone
    """

    def __init__(self, record: Upstream, known_since: float = 0.0) -> None:
        self.record = record
        self.known_since = known_since
        self.in_flight = 0
        self.in_flight_elsewhere = 0
        self.cold_until = 0.0
        self.backoff_until = 0.0
        self.strikes = 0
        self.failure_rate = 0.0
        self.gone = False
        self.unanswered: list[UnansweredAttempt] = []
        self.ended_at: float | None = None
        self.examination: asyncio.Task | None = None
        self.isolated_requests = 0
        self.cold_allowance: ColdRateLimiter | None = None

    @property
    def running(self) -> int:
        """Return the requests of all daemons that are believed to be there."""
        return self.in_flight + self.in_flight_elsewhere

    def accepts_work(self, now: float) -> bool:
        """Say whether it may get new work."""
        return not (self.gone or self.record.draining or now < self.backoff_until)

    def note_answer(self, failed: bool) -> None:
        """Take the result of a request that was answered."""
        self.strikes = 0
        self.failure_rate += FAULT_WEIGHT * (float(failed) - self.failure_rate)

    def note_break(self, now: float) -> None:
        """Take a connection that was refused or broke, and back off."""
        self.strikes += 1
        self.failure_rate += FAULT_WEIGHT * (1.0 - self.failure_rate)
        pause = FIRST_BACKOFF_SECONDS * 2 ** (self.strikes - 1)
        self.backoff_until = now + min(pause, MAX_BACKOFF_SECONDS)


class UpstreamTable:
    """All upstreams that are registered.

    :ivar on_registration_ended: told of an upstream that is no longer registered, and why
    :ivar flights: requests at upstreams, by the daemon that told them or :data:`OTHERS`
    """

    def __init__(self) -> None:
        self.on_registration_ended: Callable[[UpstreamEntry, str], None] = lambda entry, reason: (
            None
        )
        self.entries: dict[str, UpstreamEntry] = {}
        self.flights: dict[str, dict[str, int]] = {}

    def put(self, record: Upstream, now: float) -> bool:
        """Take a registration and return whether it changed what is believed."""
        entry = self.entries.get(record.id)
        if entry is not None and entry.record.born != record.born:
            self.on_registration_ended(entry, "it has started again")
            entry = None
        if entry is None:
            entry = self.entries[record.id] = UpstreamEntry(record, now)
            for flights in self.flights.values():
                flights.pop(record.id, None)
        elif entry.record == record:
            return False
        entry.record = record
        if record.cold_for > 0:
            entry.cold_until = max(entry.cold_until, now + record.cold_for)
        return True

    def remove(self, upstream_id: str) -> UpstreamEntry | None:
        """Forget an upstream."""
        entry = self.entries.pop(upstream_id, None)
        if entry is not None:
            entry.gone = True
            self.on_registration_ended(entry, "it is no longer registered")
        return entry

    def iter_service(self, service: str) -> Iterator[UpstreamEntry]:
        """Yield the upstreams of a service."""
        return (entry for entry in self.entries.values() if entry.record.service == service)

    def record_in_flight(self, daemon: str, flights: dict[str, int]) -> None:
        """Take the requests that another daemon has at upstreams.

        Sums that were told while this daemon was no hub would count them a second time.
        """
        self.drop_flights(OTHERS)
        self.drop_flights(daemon)
        kept = self.flights[daemon] = {}
        for upstream_id, count in flights.items():
            entry = self.entries.get(upstream_id)
            if entry is not None:
                kept[upstream_id] = count
                entry.in_flight_elsewhere += count

    def drop_flights(self, daemon: str) -> None:
        """Take off what a daemon told."""
        for upstream_id, count in self.flights.pop(daemon, {}).items():
            entry = self.entries.get(upstream_id)
            if entry is not None:
                entry.in_flight_elsewhere -= count

    def replace_in_flight(self, flights: dict[str, int]) -> None:
        """Take the requests that all other daemons have at upstreams."""
        for daemon in list(self.flights):
            self.drop_flights(daemon)
        self.record_in_flight(OTHERS, flights)

    def drop_dead_daemons(self, alive: Collection[str]) -> None:
        """Forget the requests of daemons that no longer live."""
        for daemon in [name for name in self.flights if name not in alive and name != OTHERS]:
            self.drop_flights(daemon)
