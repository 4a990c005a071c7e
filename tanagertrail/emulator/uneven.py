"""Play the streams of a deployment whose engines are uneven and slow at times.

Each daemon decides with the gateway's own selector and learns with its own table of paces.
"""

__all__ = ["DEPLOYMENTS", "UnevenResult", "UnevenSettings", "play_uneven"]

import heapq
import itertools
import math
import random
from collections.abc import Callable
from types import SimpleNamespace
from typing import NamedTuple

from tanagertrail.emulator.engine import EngineModel, EngineShape, Job
from tanagertrail.emulator.uneven_daemon import SERVICE, UnevenDaemon
from tanagertrail.gateway.model import PromptPart, PromptShape, Upstream
from tanagertrail.platform.header_fields import CallerFields, UpstreamLoad

DOMAINS = 4
SLOW_FACTOR = 2.5
SLOW_SECONDS, SLOW_SHARE = 0.6, 0.15  # mean length of a slow phase, share of the time
SIZE_SIGMA = 0.7  # of the logarithm of a prompt's own tokens; the longest come to the bound
MAX_PROMPT_TOKENS = 54_600
FIRST_SECONDS = 5.0  # not counted, since nothing is learned and cached yet
RETRY_SECONDS = 0.2  # until a request is tried again that found no upstream
REPORT_SECONDS = 0.8  # between two reports of a daemon
REPORT_AGE_SECONDS = 0.4  # of a report when it arrives


class StreamKind(NamedTuple):
    """A kind of stream.

    :ivar rate: requests per second
    :ivar common: tokens that all prompts share
    :ivar shared: tokens that the prompts of a session share
    :ivar own: mean tokens of a prompt's own
    :ivar out: tokens of the answer
    :ivar objective: seconds within which the first event is on time
    :ivar values: credit of an answer on time and of a late one
    """

    rate: float
    common: int
    shared: int
    own: int
    out: int
    sessions: int
    objective: float
    values: tuple[float, float]


class Deployment(NamedTuple):
    """Engines and the streams that they serve."""

    shape: EngineShape
    speeds: tuple[float, ...]
    slow_share: float
    kinds: dict[str, StreamKind]


DEPLOYMENTS = {
    "A": Deployment(
        EngineShape(batch=16, step=0.00297, read_rate=101_000.0),
        (1.0,),
        0.0,
        {
            "long": StreamKind(70.7, 512, 4870, 6610, 378, 85, 1.245, (2.0, 0.29)),
            "short": StreamKind(81.7, 119, 79, 628, 288, 628, 0.269, (4.2, 0.17)),
            "tag": StreamKind(140.0, 341, 227, 1800, 27, 231, 0.422, (0.32, 0.032)),
        },
    ),
    "B": Deployment(
        EngineShape(batch=12, step=0.00355, read_rate=157_000.0),
        (0.6, 1.0, 1.6),
        SLOW_SHARE,
        {
            "long": StreamKind(71.4, 512, 4870, 6610, 378, 85, 0.545, (3.7, 0.37)),
            "short": StreamKind(53.1, 119, 79, 628, 288, 628, 0.319, (3.1, 0.31)),
            "tag": StreamKind(168.0, 341, 227, 1800, 27, 231, 0.322, (0.27, 0.027)),
        },
    ),
}


class UnevenSettings(NamedTuple):
    """What is played.

    :ivar states_load: whether engines state their load
    :ivar states_slowdown: whether they state their slowdown too
    :ivar shares: whether daemons tell each other what they learned
    """

    deployment: str = "B"
    placement: str = "expected_finish"
    daemons: int = 89
    engines: int = 45
    seconds: float = 25.0
    load: float = 1.0
    seed: int = 1
    states_load: bool = True
    states_slowdown: bool = True
    shares: bool = True


class UnevenResult(NamedTuple):
    """What came of one kind, or of the largest tenth of its prompts.

    :ivar late: share of the answers that are late
    :ivar credit: credit as a share of what all answers on time would earn
    """

    deployment: str
    placement: str
    kind: str
    requests: int
    late: float
    credit: float
    p50_ms: float
    p90_ms: float
    p99_ms: float


class UnevenEngine(EngineModel):
    """An engine that is slow at times.

    :ivar slow: whether it is in a slow phase
    """

    slow = False

    def plan_step(self) -> tuple[float, list[tuple[Job, int]]]:
        """Return the seconds of the next step and what it reads of which prompt."""
        seconds, reads = super().plan_step()
        return seconds * (SLOW_FACTOR if self.slow else 1.0), reads


class Request(NamedTuple):
    """A request and how it was sent.

    :ivar daemon: the daemon that serves it
    :ivar exchange: what the daemon's selector sees of it
    """

    kind: str
    job: Job
    daemon: UnevenDaemon
    exchange: SimpleNamespace


class UnevenPlay:
    """One play, an event at a time in order of virtual time.

    :ivar requests: all requests by number
    """

    def __init__(self, settings: UnevenSettings) -> None:
        self.settings = settings
        self.rng = random.Random(settings.seed)
        self.deployment = DEPLOYMENTS[settings.deployment]
        self.now = 0.0
        self.order = itertools.count()
        self.events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self.requests: dict[int, Request] = {}
        speeds = self.deployment.speeds
        self.engines = {
            f"e{n}": self.build_engine(n, speeds[n % len(speeds)]) for n in range(settings.engines)
        }
        self.daemons = [
            UnevenDaemon(n, self.read_clock, settings.placement, settings.seed)
            for n in range(settings.daemons)
        ]
        for daemon in self.daemons:
            daemon.know(self.build_record(engine) for engine in self.engines.values())
            daemon.know_daemons(len(self.daemons))

    def read_clock(self) -> float:
        """Return the virtual time in seconds."""
        return self.now

    def build_engine(self, number: int, speed: float) -> UnevenEngine:
        """Build an engine; neighbours in number have other speeds and other domains."""
        shape = self.deployment.shape
        shape = shape._replace(
            step=shape.step / speed,
            context_step=shape.context_step / speed,
            read_rate=shape.read_rate * speed,
        )
        return UnevenEngine(f"e{number}", f"d{number // 3 % DOMAINS}", shape)

    def build_record(self, engine: EngineModel) -> Upstream:
        """Build the registration of an engine."""
        slots = engine.shape.batch
        return Upstream(
            engine.name, SERVICE, "h:1", engine.domain, "v", slots, False, 0.0, 1.0, False, None
        )

    def schedule(self, delay: float, action: Callable[..., None], *arguments: object) -> None:
        """Schedule an event."""
        heapq.heappush(self.events, (self.now + delay, next(self.order), action, arguments))

    def run(self) -> list[UnevenResult]:
        """Play all events."""
        for kind in self.deployment.kinds:
            self.schedule(self.draw_gap(kind), self.take_arrival, kind)
        for daemon in self.daemons:
            self.schedule(self.rng.random() * REPORT_SECONDS, self.take_report, daemon)
        if self.deployment.slow_share:
            for engine in self.engines.values():
                self.schedule(self.draw_phase(True), self.take_phase, engine)
        end = self.settings.seconds + 5.0
        while self.events and self.events[0][0] < end:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        return self.sum_up()

    def draw_gap(self, kind: str) -> float:
        """Draw the seconds until the next request of a kind."""
        return self.rng.expovariate(self.deployment.kinds[kind].rate * self.settings.load)

    def draw_phase(self, was_slow: bool) -> float:
        """Draw the seconds until a slow phase begins or ends."""
        share = self.deployment.slow_share
        usual = SLOW_SECONDS * (1.0 - share) / share
        return self.rng.expovariate(1.0 / (usual if was_slow else SLOW_SECONDS))

    def take_phase(self, engine: UnevenEngine) -> None:
        """Begin or end a slow phase."""
        self.schedule(self.draw_phase(engine.slow), self.take_phase, engine)
        engine.slow = not engine.slow

    def take_arrival(self, name: str) -> None:
        """Take a request from a caller."""
        if self.now < self.settings.seconds:
            self.schedule(self.draw_gap(name), self.take_arrival, name)
        kind, number = self.deployment.kinds[name], len(self.requests)
        size = self.rng.lognormvariate(-(SIZE_SIGMA**2) / 2, SIZE_SIGMA)
        own = min(max(int(kind.own * size), 1), MAX_PROMPT_TOKENS - kind.common - kind.shared)
        parts = (
            (name, kind.common),
            (f"{name}-{self.rng.randrange(kind.sessions)}", kind.shared),
            (f"own-{number}", own),
        )
        job = Job(number, parts, kind.out, self.now)
        shape = PromptShape("", job.tokens, kind.out, None, tuple(PromptPart(*p) for p in parts))
        fields = CallerFields(f"r{number}", None, None, shape, None)
        exchange = SimpleNamespace(fields=fields, service=SERVICE, attempts=(), reading=None)
        self.requests[number] = Request(name, job, self.rng.choice(self.daemons), exchange)
        self.send(self.requests[number])

    def send(self, request: Request) -> None:
        """Send a request where its daemon wants it, later if that finds no upstream."""
        entry = request.daemon.send(request.exchange, request.job.number)
        if entry is None:
            self.schedule(RETRY_SECONDS, self.send, request)
            return
        engine = self.engines[entry.record.id]
        engine.take(request.job)
        self.start_step(engine)

    def start_step(self, engine: UnevenEngine) -> None:
        """Start an engine's next step unless it is in one."""
        if engine.busy or not engine.running:
            return
        seconds, reads = engine.plan_step()
        engine.busy = True
        self.schedule(seconds, self.take_step, engine, reads)

    def take_step(self, engine: UnevenEngine, reads: list[tuple[Job, int]]) -> None:
        """Take the end of an engine's step."""
        engine.busy = False
        ended = engine.finish_step(reads, self.now)
        for job, _ in reads:
            if job.first_at == self.now:
                self.requests[job.number].daemon.note_first(job.number, self.state_load(engine))
        for job in ended:
            self.requests[job.number].daemon.note_ended(job.number)
        self.start_step(engine)

    def state_load(self, engine: UnevenEngine) -> UpstreamLoad | None:
        """Return what an engine states in an answer."""
        if not self.settings.states_load:
            return None
        slowdown = round(100 * SLOW_FACTOR) if engine.slow else 100
        running, waiting = len(engine.running), len(engine.waiting)
        stated = slowdown if self.settings.states_slowdown else None
        return UpstreamLoad(running, waiting, engine.shape.batch, stated)

    def take_report(self, daemon: UnevenDaemon) -> None:
        """Let a daemon and the others hear of each other, some time late."""
        self.schedule(REPORT_SECONDS, self.take_report, daemon)
        own = daemon.count_in_flight()
        others = {name: engine.load - own.get(name, 0) for name, engine in self.engines.items()}
        self.schedule(REPORT_AGE_SECONDS, daemon.note_others, others)
        if self.settings.shares and daemon.number:
            self.schedule(REPORT_AGE_SECONDS / 2, daemon.exchange_paces, self.daemons[0])

    def sum_up(self) -> list[UnevenResult]:
        """Return what came of each kind and of its largest tenth."""
        rows = []
        for name, kind in self.deployment.kinds.items():
            jobs = [
                item.job
                for item in self.requests.values()
                if item.kind == name and FIRST_SECONDS <= item.job.arrived < self.settings.seconds
            ]
            jobs.sort(key=lambda job: job.tokens)
            rows.append(self.sum_up_jobs(name, kind, jobs))
            largest = jobs[-max(len(jobs) // 10, 1) :]
            rows.append(self.sum_up_jobs(f"{name}, largest tenth", kind, largest))
        return rows

    def sum_up_jobs(self, name: str, kind: StreamKind, jobs: list[Job]) -> UnevenResult:
        """Return what came of some requests of a kind."""
        mean = kind.common + kind.shared + kind.own
        late, earned, owed = 0, 0.0, 0.0
        firsts = sorted((job.first_at or math.inf) - job.arrived for job in jobs)
        for job in jobs:
            size = min(0.3 + 0.7 * job.tokens / mean, 4.0)
            on_time = job.first_at is not None and job.first_at - job.arrived <= kind.objective
            late += not on_time
            owed += size * kind.values[0]
            earned += size * kind.values[0 if on_time else 1]
        p50, p90, p99 = (round(1000 * firsts[int(len(firsts) * q)], 1) for q in (0.5, 0.9, 0.99))
        return UnevenResult(
            self.settings.deployment,
            self.settings.placement,
            name,
            len(jobs),
            round(late / len(jobs), 4),
            round(earned / owed, 4),
            p50,
            p90,
            p99,
        )


def play_uneven(settings: UnevenSettings) -> list[UnevenResult]:
    """Play a deployment; the same settings give the same result."""
    return UnevenPlay(settings).run()
