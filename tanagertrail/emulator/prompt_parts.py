"""Play prompts with a part that crashes engines against daemons that hear of it late."""

__all__ = ["PartLoad", "PartResult", "play_parts"]

import heapq
import itertools
import random
from typing import NamedTuple

from tanagertrail.gateway.suspects import (
    DECISION_PERIOD_SECONDS,
    DIRECT_SETTLE_SECONDS,
    RELAYED_SETTLE_SECONDS,
)
from tanagertrail.policy.crash_attribution import CrashAttributor
from tanagertrail.policy.crash_evidence import LostRequest
from tanagertrail.policy.hubs import MAX_FULL_MESH_DAEMONS

SERVICE = "model"
FIRST_PART = "first"
DEADLY_PART = "deadly"
STABILITY_SECONDS = 3.0
MAX_CRASHES = 5  # after which the part is to be known within the stability bound
READ_SECONDS = (0.05, 0.3)  # from the arrival of a prompt to the first token
WRITE_SECONDS = 0.6  # mean time of the rest of an answer
DOWN_SECONDS = 2.0
END_SECONDS = 3.0  # after the last arrival


class NewsDelays(NamedTuple):
    """Longest times in seconds until news reaches who decides, and its verdict all daemons.

    :ivar loss: of a crash
    :ivar completion: of a request that completed at another daemon
    :ivar verdict: from the decision through the store to all daemons
    :ivar settle: age of a crash from which it counts
    """

    loss: float
    completion: float
    verdict: float
    settle: float


DIRECT_DELAYS = NewsDelays(0.05, 0.55, 0.2, DIRECT_SETTLE_SECONDS)
RELAYED_DELAYS = NewsDelays(0.95, 1.8, 0.4, RELAYED_SETTLE_SECONDS)


class PartLoad(NamedTuple):
    """What is played.

    :ivar sound_rate: sound requests per second over all daemons
    :ivar deadly_rate: requests with the deadly part per second, none for 0
    :ivar second_parts: number of second parts that sound requests have
    :ivar stray_crashes: crashes per second without a cause in requests
    :ivar deadly_first: whether the deadly part is the first one
    """

    daemons: int = 8
    engines: int = 6
    sound_rate: float = 75.0
    deadly_rate: float = 1.0
    seconds: float = 20.0
    second_parts: int = 40
    stray_crashes: float = 0.0
    deadly_first: bool = False
    seed: int = 1


class PartResult(NamedTuple):
    """What came of it.

    :ivar late: arrivals of the deadly part later than the bound after the fifth crash
    :ivar known_after: seconds from the fifth crash until all daemons refuse the part, negative if
        they did before, None if they never do or there are fewer crashes
    :ivar sound_held: sound parts that were quarantined alone
    :ivar first_try: share of sound requests that complete without a second attempt
    """

    crashes: int
    arrivals: int
    late: int
    known_after: float | None
    sound_held: int
    first_try: float


class Flight(NamedTuple):
    """A request at an engine."""

    number: int
    parts: frozenset[str]
    deadly: bool
    sent_at: float


class PartPlay:
    """One play, an event at a time in order of virtual time.

    :ivar flights: requests at each engine that is up, by number
    :ivar attributor: what the deciding daemon knows
    :ivar refused_at: time from which all daemons refuse the deadly part
    """

    def __init__(self, load: PartLoad) -> None:
        self.load = load
        direct = load.daemons <= MAX_FULL_MESH_DAEMONS
        self.delays = DIRECT_DELAYS if direct else RELAYED_DELAYS
        self.rng = random.Random(load.seed)
        self.order = itertools.count()
        self.events: list[tuple[float, int, str, object]] = []
        self.flights: dict[int, dict[int, Flight]] = {n: {} for n in range(load.engines)}
        self.attributor = CrashAttributor()
        self.crashes: list[float] = []
        self.arrivals: list[float] = []
        self.refused_at: float | None = None
        self.sound_held: set[str] = set()
        self.sound_count = self.sound_completed = 0

    def schedule(self, at: float, kind: str, payload: object = None) -> None:
        """Schedule an event."""
        heapq.heappush(self.events, (at, next(self.order), kind, payload))

    def schedule_at_rate(self, kind: str, rate: float, payload: object = None) -> None:
        """Schedule events at a mean rate per second."""
        at = self.rng.expovariate(rate) if rate else self.load.seconds
        while at < self.load.seconds:
            self.schedule(at, kind, payload)
            at += self.rng.expovariate(rate)

    def run(self) -> PartResult:
        """Play all events."""
        self.schedule_at_rate("arrival", self.load.sound_rate, False)
        self.schedule_at_rate("arrival", self.load.deadly_rate, True)
        self.schedule_at_rate("stray", self.load.stray_crashes)
        for number in range(int((self.load.seconds + END_SECONDS) / DECISION_PERIOD_SECONDS)):
            self.schedule(number * DECISION_PERIOD_SECONDS, "decision")
        while self.events:
            at, _, kind, payload = heapq.heappop(self.events)
            getattr(self, f"take_{kind}")(at, payload)
        return self.sum_up()

    def draw_parts(self, deadly: bool) -> frozenset[str]:
        """Draw the shared parts of a prompt."""
        second = f"second-{self.rng.randrange(self.load.second_parts)}"
        if not deadly:
            return frozenset((FIRST_PART, second))
        return frozenset((DEADLY_PART, second if self.load.deadly_first else FIRST_PART))

    def take_arrival(self, now: float, deadly: bool) -> None:
        """Send a request to an engine that is up, unless it is refused."""
        if deadly and self.refused_at is not None and now >= self.refused_at:
            return
        if not self.flights:
            return
        engine = self.rng.choice(list(self.flights))
        flight = Flight(next(self.order), self.draw_parts(deadly), deadly, now)
        self.flights[engine][flight.number] = flight
        read_at = now + self.rng.uniform(*READ_SECONDS)
        if deadly:
            self.arrivals.append(now)
            self.schedule(read_at, "crash", (engine, flight.number))
        else:
            self.sound_count += 1
            ended_at = read_at + self.rng.expovariate(1.0 / WRITE_SECONDS)
            self.schedule(ended_at, "end", (engine, flight.number))

    def take_end(self, now: float, payload: tuple[int, int]) -> None:
        """Complete a request unless its engine crashed."""
        engine, number = payload
        flight = self.flights.get(engine, {}).pop(number, None)
        if flight is None:
            return
        self.sound_completed += 1
        delay = self.rng.uniform(0.0, self.delays.completion)
        if self.rng.random() * self.load.daemons < 1.0:
            delay = 0.0
        self.schedule(now + delay, "completion", (now, flight.parts))

    def take_completion(self, now: float, payload: tuple[float, frozenset[str]]) -> None:
        """Tell the deciding daemon of a completed request."""
        at, parts = payload
        self.attributor.count_completed(SERVICE, 1, at)
        for part in parts:
            self.attributor.note_completed(part, at)

    def take_crash(self, now: float, payload: tuple[int, int]) -> None:
        """Crash an engine on a request that is still there."""
        engine, number = payload
        if number in self.flights.get(engine, {}):
            self.crashes.append(now)
            self.lose(now, engine)

    def take_stray(self, now: float, _: object) -> None:
        """Crash an engine without a cause in requests."""
        if self.flights:
            self.lose(now, self.rng.choice(list(self.flights)))

    def lose(self, now: float, engine: int) -> None:
        """Lose an engine; the daemons that had requests there report it, each at its time."""
        flights = list(self.flights.pop(engine).values())
        self.schedule(now + DOWN_SECONDS, "return", engine)
        crash = f"{engine}/{next(self.order)}"
        for flight in flights:
            heard_at = now + self.rng.uniform(0.01, self.delays.loss)
            self.schedule(heard_at, "loss", (crash, now, flight))

    def take_return(self, now: float, engine: int) -> None:
        """Start an engine again."""
        self.flights[engine] = {}

    def take_loss(self, now: float, payload: tuple[str, float, Flight]) -> None:
        """Tell the deciding daemon of a request that a crash left unanswered."""
        crash, at, flight = payload
        lost = LostRequest(f"r{flight.number}", flight.parts, flight.sent_at, at)
        self.attributor.note_crash(crash, SERVICE, at, [lost])

    def take_decision(self, now: float, _: object) -> None:
        """Let the deciding daemon quarantine parts."""
        for group, _evidence in self.attributor.quarantine_culprits(now, self.delays.settle):
            if DEADLY_PART not in group:
                self.sound_held |= group
            elif self.refused_at is None:
                self.refused_at = now + self.delays.verdict

    def sum_up(self) -> PartResult:
        """Return what came of the play."""
        known_after, late = None, 0
        if len(self.crashes) >= MAX_CRASHES:
            fifth = self.crashes[MAX_CRASHES - 1]
            late = sum(at > fifth + STABILITY_SECONDS for at in self.arrivals)
            if self.refused_at is not None:
                known_after = round(self.refused_at - fifth, 2)
        return PartResult(
            len(self.crashes),
            len(self.arrivals),
            late,
            known_after,
            len(self.sound_held),
            round(self.sound_completed / max(self.sound_count, 1), 4),
        )


def play_parts(load: PartLoad) -> PartResult:
    """Play prompts with a deadly part; the same load gives the same result."""
    return PartPlay(load).run()
