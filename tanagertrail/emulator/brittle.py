"""Play callers that press against brittle upstreams, through daemons that limit what they send."""

__all__ = ["LIMITS", "BrittleResult", "BrittleSettings", "play_brittle"]

import heapq
import itertools
import math
import random
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from tanagertrail.policy.brittle import BrittleRoom, count_holders, plan_slots
from tanagertrail.policy.hashing import rank_by_hash
from tanagertrail.policy.shared_rate import FleetView
from tanagertrail.registry import Registry

STABILITY_SECONDS = 3.0  # from the first statement until the queues are gone
FALLEN_SECONDS = 3.0
COUNTED_SECONDS = 1.0  # in which rejections make an upstream fall
LOAD_FACTOR = 2.0  # requests per slot that daemons send to an upstream that is not brittle
REPORT_SECONDS = 0.8  # between two reports of the requests in flight
NEWS_SECONDS = 0.4  # until a report or a statement has reached the other daemons
TRIES = 3
CARRIERS = 3  # that are asked to carry a request for which a daemon has no room

# Plans the largest part of an upstream's slots for one daemon.
Limit = Callable[[str, int, FleetView], float]
LIMITS: Registry[Limit] = Registry("limit at brittle upstreams")


@LIMITS.register("none")
@LIMITS.register("halving")
def plan_unbounded(key: str, slots: int, fleet: FleetView) -> float:
    """Leave the limit to rejections alone."""
    return math.inf


@LIMITS.register("parts")
def plan_part(key: str, slots: int, fleet: FleetView) -> float:
    """Divide the slots among their holders."""
    count = count_holders(slots, len(fleet.serving))
    return plan_slots(rank_by_hash(key, fleet.serving)[:count], slots, fleet)


class BrittleSettings(NamedTuple):
    """What is played.

    :ivar load: requests per second of callers, as a share of what fits in the slots
    :ivar work: mean seconds of a request
    """

    limit: str = "parts"
    daemons: int = 5
    upstreams: int = 30
    slots: int = 16
    queue: int = 8
    rejection_limit: int = 3
    load: float = 1.5
    work: float = 0.5
    seconds: float = 15.0
    seed: int = 1


class BrittleResult(NamedTuple):
    """What came of it from the time at which the queues are gone.

    :ivar used: slots in use at the times of the reports, as a share of all
    :ivar served: requests answered, as a share of those sent by callers
    :ivar carried: requests that one daemon carried for another
    """

    limit: str
    daemons: int
    falls: int
    rejected: int
    used: float
    served: float
    carried: int


class EmulatedUpstream:
    """An upstream that falls after too many rejections.

    :ivar present: numbers of the requests that run or wait, oldest first
    :ivar back_at: time in seconds at which it is back after a fall
    """

    def __init__(self, number: int) -> None:
        self.number = number
        self.present: dict[int, int] = {}
        self.rejected_at: deque[float] = deque()
        self.back_at = 0.0


class BrittlePlay:
    """One play, an event at a time in order of virtual time.

    :ivar flights: requests in flight by daemon and upstream
    :ivar reported: requests in flight by daemon and upstream, as daemons last heard
    :ivar totals: sums of these by upstream
    :ivar holders: daemons that hold a part of an upstream's slots
    :ivar carried: requests that a holder carried for another daemon
    :ivar informed_at: time in seconds from which a daemon knows that the upstreams are brittle
    """

    def __init__(self, settings: BrittleSettings) -> None:
        self.settings = settings
        self.rng = random.Random(settings.seed)
        self.upstreams = [EmulatedUpstream(number) for number in range(settings.upstreams)]
        names = frozenset(f"d{number}" for number in range(settings.daemons))
        plan = LIMITS.get(settings.limit)
        self.rooms = [[BrittleRoom() for _ in self.upstreams] for _ in names]
        for daemon, rooms in enumerate(self.rooms):
            for number, room in enumerate(rooms):
                fleet = FleetView(f"d{daemon}", names, 1.0)
                room.part = plan(f"up-{number}", settings.slots, fleet)
                room.ceiling = LOAD_FACTOR * settings.slots
        self.holders = [
            daemon
            for daemon, rooms in enumerate(self.rooms)
            if any(math.isfinite(room.part) and room.part for room in rooms)
        ]
        self.carried = 0
        self.flights = [[0] * settings.upstreams for _ in names]
        self.reported = [list(counts) for counts in self.flights]
        self.totals = [0] * settings.upstreams
        self.informed_at = NEWS_SECONDS
        self.events: list[tuple[float, int, str, object]] = []
        self.order = itertools.count()
        self.falls = self.rejected = self.asked = self.answered = 0
        self.used = self.reports = 0

    def schedule(self, at: float, kind: str, payload: object = None) -> None:
        """Schedule an event."""
        heapq.heappush(self.events, (at, next(self.order), kind, payload))

    def run(self) -> BrittleResult:
        """Play all events."""
        settings = self.settings
        self.schedule(-STABILITY_SECONDS, "arrival")
        self.schedule(-STABILITY_SECONDS, "report")
        while self.events and self.events[0][0] < settings.seconds:
            now, _, kind, payload = heapq.heappop(self.events)
            getattr(self, f"take_{kind}")(now, payload)
        slots = settings.slots * settings.upstreams
        return BrittleResult(
            settings.limit,
            settings.daemons,
            self.falls,
            self.rejected,
            round(self.used / (slots * max(self.reports, 1)), 3),
            round(self.answered / max(self.asked, 1), 3),
            self.carried,
        )

    def take_arrival(self, now: float, payload: object) -> None:
        """Let a daemon send a caller's request."""
        settings = self.settings
        rate = settings.load * settings.slots * settings.upstreams / settings.work
        self.schedule(now + self.rng.expovariate(rate), "arrival")
        self.asked += now >= STABILITY_SECONDS
        daemon = self.rng.randrange(settings.daemons)
        if self.send_anywhere(now, daemon) or now < self.informed_at:
            return
        carriers = [holder for holder in self.holders if holder != daemon]
        for carrier in self.rng.sample(carriers, min(CARRIERS, len(carriers))):
            if self.send_anywhere(now, carrier):
                self.carried += 1
                return

    def send_anywhere(self, now: float, daemon: int) -> bool:
        """Let a daemon send a request to upstreams at which it has room, until one takes it."""
        tried: set[int] = set()
        for _ in range(TRIES):
            allowed = [
                upstream
                for upstream in self.upstreams
                if upstream.number not in tried and self.allows(now, daemon, upstream)
            ]
            if not allowed:
                return False
            chosen = min(allowed, key=lambda item: self.rank(daemon, item))
            tried.add(chosen.number)
            if self.send(now, daemon, chosen):
                return True
        return False

    def rank(self, daemon: int, upstream: EmulatedUpstream) -> tuple[int, float]:
        """Rank an upstream by its requests as far as a daemon knows, the lowest first."""
        return self.count_known(daemon, upstream), self.rng.random()

    def count_known(self, daemon: int, upstream: EmulatedUpstream) -> int:
        """Count the requests at an upstream as far as a daemon knows."""
        number = upstream.number
        elsewhere = self.totals[number] - self.reported[daemon][number]
        return elsewhere + self.flights[daemon][number]

    def allows(self, now: float, daemon: int, upstream: EmulatedUpstream) -> bool:
        """Return whether a daemon may send a request to an upstream."""
        if now < upstream.back_at:
            return False
        if self.settings.limit == "none" or now < self.informed_at:
            return self.count_known(daemon, upstream) < LOAD_FACTOR * self.settings.slots
        room = self.rooms[daemon][upstream.number]
        return self.count_known(daemon, upstream) < self.settings.slots and room.allows_request(
            self.flights[daemon][upstream.number], now
        )

    def send(self, now: float, daemon: int, upstream: EmulatedUpstream) -> bool:
        """Send a request and return whether the upstream took it."""
        fragile = now >= STABILITY_SECONDS
        if len(upstream.present) >= self.settings.slots + (0 if fragile else self.settings.queue):
            room = self.rooms[daemon][upstream.number]
            room.note_rejected(self.flights[daemon][upstream.number], now)
            if fragile:
                self.count_rejection(now, upstream)
            return False
        number = next(self.order)
        upstream.present[number] = daemon
        self.flights[daemon][upstream.number] += 1
        if len(upstream.present) <= self.settings.slots:
            self.start(now, upstream, number)
        return True

    def start(self, now: float, upstream: EmulatedUpstream, number: int) -> None:
        """Start a request in a slot."""
        end = now + self.rng.expovariate(1.0 / self.settings.work)
        self.schedule(end, "end", (upstream, number))

    def take_end(self, now: float, payload: tuple[EmulatedUpstream, int]) -> None:
        """Answer a request and start the one that waited longest."""
        upstream, number = payload
        daemon = upstream.present.pop(number, None)
        if daemon is None:
            return
        self.flights[daemon][upstream.number] -= 1
        self.rooms[daemon][upstream.number].note_answered()
        if now >= STABILITY_SECONDS:
            self.answered += 1
        if len(upstream.present) >= self.settings.slots:
            waiting = list(upstream.present)[self.settings.slots - 1]
            self.start(now, upstream, waiting)

    def count_rejection(self, now: float, upstream: EmulatedUpstream) -> None:
        """Count a rejection, and let the upstream fall after too many."""
        self.rejected += 1
        upstream.rejected_at.append(now)
        while upstream.rejected_at[0] <= now - COUNTED_SECONDS:
            upstream.rejected_at.popleft()
        if len(upstream.rejected_at) > self.settings.rejection_limit:
            self.falls += 1
            upstream.rejected_at.clear()
            upstream.back_at = now + FALLEN_SECONDS
            for daemon in upstream.present.values():
                self.flights[daemon][upstream.number] -= 1
            upstream.present.clear()

    def take_report(self, now: float, payload: object) -> None:
        """Report the requests in flight to all daemons."""
        if now >= STABILITY_SECONDS:
            self.reports += 1
            self.used += sum(min(len(item.present), self.settings.slots) for item in self.upstreams)
        self.schedule(now + NEWS_SECONDS, "news", [list(counts) for counts in self.flights])
        self.schedule(now + REPORT_SECONDS, "report")

    def take_news(self, now: float, counts: list[list[int]]) -> None:
        """Take a report that has arrived."""
        self.reported = counts
        self.totals = [sum(column) for column in zip(*counts, strict=True)]


def play_brittle(settings: BrittleSettings) -> BrittleResult:
    """Play callers against brittle upstreams; the same settings give the same result."""
    return BrittlePlay(settings).run()
