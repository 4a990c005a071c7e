"""Registration, load and health of the upstreams, as known to one daemon."""

__all__ = ["UpstreamEntry", "UpstreamTable"]

import asyncio
import math
from collections.abc import Callable, Collection, Iterator

from tanagertrail.gateway.crash_detector import UnansweredAttempt
from tanagertrail.gateway.model import Upstream
from tanagertrail.gateway.upstream_load import StatedLoad
from tanagertrail.policy.cold_rate import ColdRateLimiter

FAILURE_RATE_WEIGHT = 0.2  # of the newest request in the moving average
FIRST_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 4.0
SILENT_SECONDS = 4.0  # for which a silent upstream is passed over, unless it is heard before
OTHER_DAEMONS = ""  # key of the sums over all other daemons


class UpstreamEntry:
    """One upstream.

    :ivar record: its registration
    :ivar first_seen_at: event-loop time in seconds at which its registration was first seen
    :ivar in_flight: requests of this daemon that it is running
    :ivar in_flight_elsewhere: requests of other daemons, maintained by the table
    :ivar sent_count: requests that this daemon sent to it
    :ivar cold_until: event-loop time in seconds until which it is cold
    :ivar cold_limiter: limiter of this daemon's share of its rate while it is cold
    :ivar backoff_until: event-loop time in seconds until which it gets no new requests
    :ivar consecutive_failures: connections in a row that were refused or broke
    :ivar failure_rate: moving average of the share of requests that failed
    :ivar heard_at: event-loop time in seconds of its last response or event
    :ivar silent_until: event-loop time in seconds until which it is passed over, unless it is
        heard before, because it was found silent
    :ivar replaced: whether its process has ended, since a later one has its id
    :ivar gone: whether it is no longer registered or its address belongs to another upstream
    :ivar unanswered_attempts: failed attempts that no later response has cleared
    :ivar crashed_at: event-loop time in seconds at which it was found to have crashed, else None
    :ivar probe_task: task that checks whether it still accepts connections
    :ivar isolated_requests: requests of this daemon there that must run isolated
    :ivar rejection_limit: rejections in a second that it survives by its newest answer, None if
        that does not say that it is brittle
    :ivar names_refused_requests: whether all its refusals so far named their request
    :ivar load: its newest statement of its load, None if it has made none
    :ivar unread_tokens: prompt tokens of this daemon's requests there before their first events
    :ivar read_rate: prompt tokens that it probably reads in a second, the typical number of its
        service while nothing was learned of it, None if nothing was learned of the service
    :ivar pace: that number as a share of the typical one
    """

    def __init__(self, record: Upstream, first_seen_at: float = 0.0) -> None:
        self.record = record
        self.first_seen_at = first_seen_at
        self.in_flight = 0
        self.in_flight_elsewhere = 0
        self.sent_count = 0
        self.cold_until = 0.0
        self.backoff_until = 0.0
        self.consecutive_failures = 0
        self.failure_rate = 0.0
        self.heard_at = -math.inf
        self.silent_until = -math.inf
        self.replaced = False
        self.gone = False
        self.unanswered_attempts: list[UnansweredAttempt] = []
        self.crashed_at: float | None = None
        self.probe_task: asyncio.Task | None = None
        self.isolated_requests = 0
        self.rejection_limit: int | None = None
        self.names_refused_requests = True
        self.cold_limiter: ColdRateLimiter | None = None
        self.load: StatedLoad | None = None
        self.unread_tokens = 0.0
        self.read_rate: float | None = None
        self.pace = 1.0

    @property
    def running(self) -> int:
        """The number of requests of all daemons that it is running, as far as known."""
        return self.in_flight + self.in_flight_elsewhere

    @property
    def has_fallen_brittle(self) -> bool:
        """Whether it has ended while it was brittle."""
        return self.rejection_limit is not None and self.crashed_at is not None

    def accepts_work(self, now: float) -> bool:
        """Return whether it may get new requests."""
        return not (self.gone or self.record.draining or now < self.backoff_until)

    def note_heard(self, now: float) -> None:
        """Record that it has sent a response or an event."""
        self.heard_at = now
        self.silent_until = -math.inf

    def note_silent(self, now: float) -> None:
        """Record that nothing of it was heard for too long."""
        self.silent_until = now + SILENT_SECONDS

    def note_response(self, failed: bool) -> None:
        """Update the failure rate after a response or a timeout, which end a series of failures."""
        self.consecutive_failures = 0
        self.failure_rate += FAILURE_RATE_WEIGHT * (float(failed) - self.failure_rate)

    def clear_failures(self) -> None:
        """Forget failures that this daemon's own links have caused."""
        self.consecutive_failures = 0
        self.failure_rate = 0.0
        self.backoff_until = 0.0
        self.silent_until = -math.inf

    def note_connection_failure(self, now: float) -> None:
        """Update the failure rate after a refused or broken connection, and back off."""
        self.consecutive_failures += 1
        self.failure_rate += FAILURE_RATE_WEIGHT * (1.0 - self.failure_rate)
        pause = FIRST_BACKOFF_SECONDS * 2 ** (self.consecutive_failures - 1)
        self.backoff_until = now + min(pause, MAX_BACKOFF_SECONDS)


class UpstreamTable:
    """All registered upstreams.

    :ivar on_registration_ended: called with an upstream whose registration ended, and the reason
    :ivar states_leaving: returns whether an upstream has stated that it leaves
    :ivar entries: upstreams by id
    :ivar in_flight_by_daemon: requests by upstream id, by the daemon that reported them or
        :data:`OTHER_DAEMONS`
    """

    def __init__(self) -> None:
        self.on_registration_ended: Callable[[UpstreamEntry, str], None] = lambda entry, reason: (
            None
        )
        self.states_leaving: Callable[[Upstream], bool] = lambda record: False
        self.entries: dict[str, UpstreamEntry] = {}
        self.in_flight_by_daemon: dict[str, dict[str, int]] = {}

    def put(self, record: Upstream, now: float) -> bool:
        """Add or update a registration, and return whether it changed anything.

        A changed start time means that the upstream was restarted, which makes it a new entry.
        """
        entry = self.entries.get(record.id)
        if entry is not None and entry.record.born != record.born:
            entry.replaced = record.born > entry.record.born > 0
            self.on_registration_ended(entry, "it has started again")
            entry = None
        if entry is None:
            entry = self.entries[record.id] = UpstreamEntry(record, now)
            for counts in self.in_flight_by_daemon.values():
                counts.pop(record.id, None)
        elif entry.record == record:
            return False
        entry.record = record
        if record.cold_for > 0:
            entry.cold_until = max(entry.cold_until, now + record.cold_for)
        return True

    def remove(self, upstream_id: str) -> UpstreamEntry | None:
        """Remove an upstream and return its entry, None if it is unknown."""
        entry = self.entries.pop(upstream_id, None)
        if entry is not None:
            entry.gone = True
            self.on_registration_ended(entry, "it is no longer registered")
        return entry

    def is_staying(self, entry: UpstreamEntry) -> bool:
        """Return whether an upstream is neither leaving nor gone."""
        return not (self.is_leaving(entry) or entry.gone)

    def is_leaving(self, entry: UpstreamEntry) -> bool:
        """Return whether an upstream leaves, by its registration or its own statement."""
        return entry.record.draining or self.states_leaving(entry.record)

    def iter_service(self, service: str) -> Iterator[UpstreamEntry]:
        """Yield the upstreams of a service."""
        return (entry for entry in self.entries.values() if entry.record.service == service)

    def record_in_flight(self, daemon: str, in_flight: dict[str, int]) -> None:
        """Replace the requests that another daemon has in flight at upstreams.

        The sums received while this daemon was not a hub are dropped, because they would count
        these requests a second time.
        """
        self.subtract_in_flight(OTHER_DAEMONS)
        self.subtract_in_flight(daemon)
        counts = self.in_flight_by_daemon[daemon] = {}
        for upstream_id, count in in_flight.items():
            entry = self.entries.get(upstream_id)
            if entry is not None:
                counts[upstream_id] = count
                entry.in_flight_elsewhere += count

    def subtract_in_flight(self, daemon: str) -> None:
        """Remove the requests that a daemon reported."""
        for upstream_id, count in self.in_flight_by_daemon.pop(daemon, {}).items():
            entry = self.entries.get(upstream_id)
            if entry is not None:
                entry.in_flight_elsewhere -= count

    def replace_in_flight(self, in_flight: dict[str, int]) -> None:
        """Replace all reports by the sums over all other daemons."""
        for daemon in list(self.in_flight_by_daemon):
            self.subtract_in_flight(daemon)
        self.record_in_flight(OTHER_DAEMONS, in_flight)

    def drop_dead_daemons(self, alive: Collection[str]) -> None:
        """Remove the requests that daemons which are no longer alive had reported."""
        for daemon in [
            name for name in self.in_flight_by_daemon if name not in alive and name != OTHER_DAEMONS
        ]:
            self.subtract_in_flight(daemon)
