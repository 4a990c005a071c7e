"""Play a load pattern against engines through daemons that know loads late."""

__all__ = ["LoadResult", "LoadSettings", "play_load"]

import heapq
import itertools
import random
from bisect import bisect_left
from typing import NamedTuple

from tanagertrail.emulator.engine import EngineModel, EngineShape, Job
from tanagertrail.emulator.patterns import KINDS, PATTERNS, Arrival, Loss, Need
from tanagertrail.policy import expected_finish as _expected_finish  # noqa: F401  fills PLACEMENTS
from tanagertrail.policy.choice import PrefixIndex
from tanagertrail.policy.hubs import MAX_FULL_MESH_DAEMONS
from tanagertrail.policy.placement import PLACEMENTS, PlacementCandidate, PlacementRequest
from tanagertrail.policy.shared_rate import NAMED_RATE_BOUND, FleetView, HeldRates

DOMAINS = 4
PREFIX_SECONDS = 20.0
LATE_SHARE = 0.1  # of the credit that a late answer earns
STABILITY_SECONDS = 3.0  # from the naming of a rate until it binds
PATIENCE_SECONDS = 8.0  # after which a caller has given up


class LoadSettings(NamedTuple):
    """What is played.

    :ivar rate: requests per second
    :ivar period: seconds between two reports of a daemon
    :ivar delay: age of a report when it arrives
    """

    pattern: str = "wave"
    placement: str = "expected_cost"
    daemons: int = 67
    engines: int = 30
    batch: int = 48
    rate: float = 350.0
    seconds: float = 20.0
    period: float = 0.8
    delay: float = 0.4
    seed: int = 1


class LoadResult(NamedTuple):
    """What came of it.

    :ivar credit: credit earned as a share of what all answers on time would earn
    :ivar again: tokens that were read though some engine had kept them, as a share of all read
    :ivar p50_ms: median time to the first token
    :ivar moved: requests whose engine was lost
    :ivar overload: fullest window of an engine in need, as a share of what its rate allows
    """

    pattern: str
    placement: str
    requests: int
    credit: float
    late: float
    unanswered: float
    p50_ms: float
    p99_ms: float
    again: float
    moved: int
    overload: float = 0.0


class DaemonView:
    """What one daemon knows: its own flights now, all others' as of their last report.

    :ivar flights: requests of this daemon, by engine
    :ivar others: requests of all others, by engine
    :ivar parts: its parts of the rates that engines name
    :ivar named_rates: rates by engine, as far as it has heard of them
    """

    def __init__(self, number: int, daemons: int) -> None:
        name = f"d{number}"
        self.parts = HeldRates(name)
        self.named_rates: dict[str, float] = {}
        names = frozenset(f"d{other}" for other in range(daemons))
        self.parts.observe_fleet(FleetView(name, names, 1.0), 0.0, 0.0)
        self.number = number
        self.domain = number % DOMAINS
        self.index = PrefixIndex(PREFIX_SECONDS)
        self.flights: dict[str, int] = {}
        self.others: dict[str, int] = {}


class LoadPlay:
    """One play of a pattern, an event at a time in order of virtual time.

    :ivar events: (time, order, kind, payload); ``take_KIND`` takes each
    :ivar owners: daemon that sent each request
    :ivar seen: parts that some engine has read
    :ivar again: tokens of such parts that another engine had to read
    :ivar moved: requests whose engine was lost
    :ivar limited_sends: times of the requests to each engine once its rate binds, and the rate
    """

    def __init__(self, settings: LoadSettings) -> None:
        self.settings = settings
        self.rng = random.Random(settings.seed)
        self.place = PLACEMENTS.get(settings.placement)
        shape = EngineShape(batch=settings.batch)
        self.engines = {
            f"e{n}": EngineModel(f"e{n}", f"d{n % DOMAINS}", shape) for n in range(settings.engines)
        }
        self.daemons = [DaemonView(n, settings.daemons) for n in range(settings.daemons)]
        self.events: list[tuple[float, int, str, object]] = []
        self.order = itertools.count()
        self.jobs: list[tuple[Arrival, Job]] = []
        self.owners: dict[int, DaemonView] = {}
        self.seen: set[str] = set()
        self.again = 0
        self.moved = 0
        self.rates_bind_from = 0.0
        self.limited_sends: dict[str, tuple[list[float], float]] = {}

    def schedule(self, at: float, kind: str, payload: object) -> None:
        """Schedule an event."""
        heapq.heappush(self.events, (at, next(self.order), kind, payload))

    def run(self) -> LoadResult:
        """Play all events."""
        pattern = PATTERNS.get(self.settings.pattern)
        scenario = pattern(self.rng, self.settings.seconds, self.settings.rate)
        for arrival in scenario.arrivals:
            self.schedule(arrival.at, "arrival", arrival)
        for loss in scenario.losses:
            self.schedule(loss.at, "loss", loss)
        for need in scenario.needs:
            self.schedule(need.at, "need", need)
            self.schedule(need.until, "need", need)
        for daemon in self.daemons:
            self.schedule(self.rng.random() * self.settings.period, "report", daemon)
        end = self.settings.seconds + PATIENCE_SECONDS
        while self.events and self.events[0][0] < end:
            at, _, kind, payload = heapq.heappop(self.events)
            getattr(self, f"take_{kind}")(at, payload)
        return self.sum_up()

    def take_arrival(self, now: float, arrival: Arrival) -> None:
        """Place a request and hand it to its engine."""
        kind = KINDS[arrival.kind]
        number = len(self.jobs)
        parts = (
            (f"{arrival.kind}", kind.common),
            (f"{arrival.kind}-{arrival.session}", kind.shared),
            (f"own-{number}", arrival.own),
        )
        job = Job(number, parts, kind.out, now)
        self.jobs.append((arrival, job))
        self.send(now, job, self.rng.choice(self.daemons))

    def send(self, now: float, job: Job, daemon: DaemonView) -> None:
        """Choose an engine for a request and start it there."""
        draw = f"r{job.number}" if self.settings.daemons > MAX_FULL_MESH_DAEMONS else ""
        names = tuple(name for name, _ in job.parts)
        visit = PlacementRequest(
            names, tuple(tokens for _, tokens in job.parts), job.tokens, now, draw
        )
        seats = [
            PlacementCandidate(
                engine.name,
                daemon.flights.get(engine.name, 0) + daemon.others.get(engine.name, 0),
                engine.shape.batch,
                0.0,
                engine.domain == f"d{daemon.domain}",
            )
            for engine in self.engines.values()
            if not engine.lost and self.allows_request(now, daemon, engine)
        ]
        if not seats:
            return
        chosen = self.place(visit, seats, daemon.index).upstream
        engine = self.engines[chosen]
        daemon.parts.note_sent(chosen)
        if engine.named_rate is not None and now >= self.rates_bind_from:
            self.limited_sends.setdefault(chosen, ([], engine.named_rate))[0].append(now)
        daemon.index.note_stored(chosen, names, now)
        daemon.flights[chosen] = daemon.flights.get(chosen, 0) + 1
        self.owners[job.number] = daemon
        self.count_again(job, engine)
        engine.take(job)
        self.start_step(now, engine)

    def allows_request(self, now: float, daemon: DaemonView, engine: EngineModel) -> bool:
        """Return whether the rate that an engine names allows a daemon to send a request."""
        rate = daemon.named_rates.get(engine.name)
        if rate is None:
            return True
        return daemon.parts.allows_request(engine.name, rate, NAMED_RATE_BOUND, now)

    def take_need(self, now: float, need: Need) -> None:
        """Let the engines of a failure domain name a rate, or name none any more."""
        self.rates_bind_from = need.at + STABILITY_SECONDS
        for engine in self.engines.values():
            if engine.domain == f"d{need.domain}":
                engine.named_rate = need.rate if now < need.until else None

    def hear_rate(self, now: float, daemon: DaemonView, engine: EngineModel) -> None:
        """Let a daemon learn from an answer which rate its engine names, and tell the others."""
        if daemon.named_rates.get(engine.name) != engine.named_rate:
            for other in self.daemons:
                delay = 0.0 if other is daemon else self.settings.delay
                self.schedule(now + delay, "rate", (other, engine.name, engine.named_rate))

    def take_rate(self, now: float, payload: tuple) -> None:
        """Take what an engine names."""
        daemon, name, rate = payload
        if rate is None:
            daemon.named_rates.pop(name, None)
        else:
            daemon.named_rates[name] = rate

    def measure_overload(self) -> float:
        """Return the fullest window of an engine in need, as a share of what is allowed."""
        worst = 0.0
        for times, rate in self.limited_sends.values():
            most = NAMED_RATE_BOUND.factor * rate * NAMED_RATE_BOUND.window + NAMED_RATE_BOUND.extra
            for number, at in enumerate(times):
                inside = bisect_left(times, at + NAMED_RATE_BOUND.window) - number
                worst = max(worst, inside / most)
        return worst

    def count_again(self, job: Job, engine: EngineModel) -> None:
        """Count shared tokens that another engine has read and this one has to read."""
        for name, tokens in job.parts[:-1]:
            if name in self.seen and name not in engine.kept:
                self.again += tokens
            self.seen.add(name)

    def start_step(self, now: float, engine: EngineModel) -> None:
        """Start an engine's next step unless it is in one."""
        if engine.busy or engine.lost or not engine.running:
            return
        seconds, reads = engine.plan_step()
        engine.busy = True
        self.schedule(now + seconds, "step", (engine, reads))

    def take_step(self, now: float, payload: tuple) -> None:
        """Take the end of an engine's step."""
        engine, reads = payload
        engine.busy = False
        if engine.lost:
            return
        for job in engine.finish_step(reads, now):
            flights = self.owners[job.number].flights
            flights[engine.name] -= 1
            self.hear_rate(now, self.owners[job.number], engine)
        self.start_step(now, engine)

    def take_report(self, now: float, daemon: DaemonView) -> None:
        """Tell a daemon what the others have at engines, some time late."""
        totals: dict[str, int] = {}
        for other in self.daemons:
            if other is not daemon:
                for name, count in other.flights.items():
                    totals[name] = totals.get(name, 0) + count
        self.schedule(now + self.settings.delay, "news", (daemon, totals))
        self.schedule(now + self.settings.period, "report", daemon)

    def take_news(self, now: float, payload: tuple) -> None:
        """Take a report that has arrived."""
        daemon, totals = payload
        daemon.others = totals

    def take_loss(self, now: float, loss: Loss) -> None:
        """Lose engines; their requests are sent on."""
        there = [e for e in self.engines.values() if e.domain == f"d{loss.domain}" and not e.lost]
        for engine in there[: round(len(there) * loss.share)]:
            jobs = engine.lose()
            for daemon in self.daemons:
                daemon.flights.pop(engine.name, None)
            for job in jobs:
                self.moved += 1
                self.send(now, job, self.owners[job.number])

    def sum_up(self) -> LoadResult:
        """Return what came of the play."""
        earned = owed = 0.0
        late = unanswered = 0
        firsts = []
        for arrival, job in self.jobs:
            kind = KINDS[arrival.kind]
            owed += kind.worth
            if job.first_at is None:
                unanswered += 1
                continue
            first = job.first_at - job.arrived
            firsts.append(first)
            on_time = first <= kind.objective
            late += not on_time
            earned += kind.worth * (1.0 if on_time else LATE_SHARE)
        firsts.sort()
        read = sum(engine.read for engine in self.engines.values())
        count = max(len(self.jobs), 1)
        return LoadResult(
            self.settings.pattern,
            self.settings.placement,
            len(self.jobs),
            round(earned / max(owed, 1e-9), 4),
            round(late / count, 4),
            round(unanswered / count, 4),
            round(1000 * firsts[len(firsts) // 2], 1) if firsts else 0.0,
            round(1000 * firsts[int(len(firsts) * 0.99)], 1) if firsts else 0.0,
            round(self.again / max(read, 1), 4),
            self.moved,
            round(self.measure_overload(), 4),
        )


def play_load(settings: LoadSettings) -> LoadResult:
    """Play a load pattern; the same settings give the same result."""
    return LoadPlay(settings).run()
