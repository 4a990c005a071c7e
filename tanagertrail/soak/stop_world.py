"""The world of planned stops: daemons of any source tree, and what happens beside their stops."""

__all__ = ["CONDITIONS", "PATTERNS", "StopPlan", "StopWorld"]

import asyncio
import signal
from collections.abc import Awaitable, Callable
from itertools import count
from pathlib import Path
from typing import NamedTuple
from urllib.parse import parse_qs

from tanagertrail.gateway.handlers import MAIN_CONFIG
from tanagertrail.gateway.http1 import CallerRequest
from tanagertrail.platform.records import CONFIGURATION
from tanagertrail.registry import Registry
from tanagertrail.soak.processes import DaemonProcess
from tanagertrail.soak.proxy import LinkState
from tanagertrail.soak.stop_callers import StopKind
from tanagertrail.soak.stop_counts import Planned
from tanagertrail.soak.world import SoakUpstream, SoakWorld
from tanagertrail.standins.documents import BOUND_FIELDS, build_document
from tanagertrail.standins.misbehaviour import EVENTS, STREAM_SUFFIX

ROUTE_TIMEOUT_MS = 12_000  # longer than all deadlines, so that these alone end requests
SETTLE_SECONDS = 1.5  # after a start, for the daemons to learn of each other
CONFIG_GAP_SECONDS = 1.0
SILENT_SECONDS = 1.2
RELOAD_GAP_SECONDS = 0.25
SECOND_TERM_SECONDS = 1.0
MILLISECONDS = 1000.0


class StopPlan(NamedTuple):
    """What a run plays.

    :ivar tree: source tree of the daemons, empty for this one
    :ivar grace: grace period in seconds
    :ivar callers: number of callers, which share the kinds of requests evenly
    :ivar pattern: which daemons stop when, one of :data:`PATTERNS`
    :ivar at: seconds from the callers' start to the first stop
    :ivar beside: what happens meanwhile, one of :data:`CONDITIONS`
    :ivar idle: seconds after which daemons close idle connections, 0 for the default; callers
        then pause for about as long
    """

    seed: int
    tree: str
    grace: float
    kinds: tuple[StopKind, ...]
    modes: tuple[str, ...]
    callers: int
    pattern: str
    at: float
    beside: str
    daemons: int
    upstreams: int
    idle: float


class TimedUpstream(SoakUpstream):
    """An upstream that works for as long as a request says."""

    def choose_work(self, request: CallerRequest) -> float:
        """Choose the seconds that a plain request takes, or each event of a stream."""
        query = request.target.partition(b"?")[2].decode()
        work = float(parse_qs(query)["work"][0])
        return work / EVENTS if request.path.endswith(STREAM_SUFFIX) else work


class StopWorld(SoakWorld):
    """A world whose daemons have the grace period and the code of a plan.

    :ivar planned: planned work that has happened
    """

    upstream_type = TimedUpstream

    def __init__(self, plan: StopPlan, folder: Path) -> None:
        super().__init__(plan.seed, plan.daemons, plan.upstreams, folder)
        self.plan = plan
        self.planned: list[Planned] = []

    async def add_daemons(self, store_port: int, cloud_port: int) -> None:
        """Build the daemons with the grace period and the source tree of the plan."""
        await super().add_daemons(store_port, cloud_port)
        for daemon in self.daemons:
            text = daemon.settings_path.read_text()
            former = f"grace_s = {BOUND_FIELDS['grace_s']}"
            daemon.settings_path.write_text(text.replace(former, f"grace_s = {self.plan.grace}"))
            if self.plan.tree:
                daemon.tree = Path(self.plan.tree)

    def put_config(self) -> None:
        """Store a new version whose routes have time for the longest work."""
        self.version += 3
        document = build_document(self.version, self.extra_routes, self.keys)
        for route in document["routes"]:
            route["timeout_ms"] = ROUTE_TIMEOUT_MS
        if self.plan.idle:
            document["limits"] = {"idle_timeout_ms": int(self.plan.idle * MILLISECONDS)}
        sent_at = self.now()
        self.store.put(CONFIGURATION, MAIN_CONFIG, document)
        self.planned.append(Planned("config", 0, sent_at, ended_at=self.now()))

    async def stop(self, number: int) -> None:
        """Stop a daemon as a supervisor does, and note it."""
        daemon = self.daemons[number]
        at = self.now()
        place = len(self.planned)
        self.planned.append(Planned("stop", daemon.ports.front, at, self.plan.grace))
        itself = await daemon.stop(self.plan.grace)
        ended = self.planned[place]._replace(ended_at=self.now(), ended_itself=itself)
        self.planned[place] = ended

    async def restart(self, number: int) -> None:
        """Start a daemon again and wait until it is ready."""
        await self.daemons[number].restart()
        await self.await_ready(self.daemons[number])
        await asyncio.sleep(SETTLE_SECONDS)


Pattern = Callable[[StopWorld], Awaitable[None]]
PATTERNS: Registry[Pattern] = Registry("pattern of stops")
Condition = Callable[[StopWorld], Awaitable[None]]
CONDITIONS: Registry[Condition] = Registry("condition beside stops")


@PATTERNS.register("one")
async def stop_one(world: StopWorld) -> None:
    """Stop one daemon."""
    await world.stop(0)


@PATTERNS.register("series")
async def stop_in_series(world: StopWorld) -> None:
    """Stop and restart all daemons in turn."""
    for number in range(len(world.daemons)):
        await world.stop(number)
        await world.restart(number)


@PATTERNS.register("overlap")
async def stop_overlapping(world: StopWorld) -> None:
    """Stop a second daemon halfway through the grace period of the first."""
    first = asyncio.create_task(world.stop(0))
    await asyncio.sleep(world.plan.grace / 2)
    await world.stop(1)
    await first


@PATTERNS.register("all")
async def stop_all(world: StopWorld) -> None:
    """Stop all daemons at once."""
    await asyncio.gather(*(world.stop(number) for number in range(len(world.daemons))))


@CONDITIONS.register("calm")
async def keep_calm(world: StopWorld) -> None:
    """Do nothing."""


@CONDITIONS.register("config")
async def change_config(world: StopWorld) -> None:
    """Store new versions of the configuration all the while."""
    for number in count():
        world.extra_routes.append(f"new{number}")
        world.put_config()
        await asyncio.sleep(CONFIG_GAP_SECONDS)


@CONDITIONS.register("silent")
async def silence_upstreams(world: StopWorld) -> None:
    """Silence the connections to each upstream but the first in turn."""
    for number in count():
        link = world.upstream_links[1 + number % (len(world.upstream_links) - 1)]
        link.set_state(LinkState.SILENT)
        await asyncio.sleep(SILENT_SECONDS)
        link.set_state(LinkState.PASS)
        await asyncio.sleep(SILENT_SECONDS / 2)


@CONDITIONS.register("reload")
async def reload_settings(world: StopWorld) -> None:
    """Tell all daemons again and again to read their settings."""
    while True:
        for daemon in world.daemons:
            if daemon.running:
                world.planned.append(Planned("reload", daemon.ports.front, world.now()))
                daemon.signal(signal.SIGHUP)
        await asyncio.sleep(RELOAD_GAP_SECONDS)


@CONDITIONS.register("terms")
async def repeat_terms(world: StopWorld) -> None:
    """Ask each daemon that stops again and again to stop."""
    while True:
        await asyncio.sleep(SECOND_TERM_SECONDS)
        for daemon in list_stopping(world):
            daemon.signal(signal.SIGTERM)


def list_stopping(world: StopWorld) -> list[DaemonProcess]:
    """List the daemons that stop."""
    fronts = {item.front for item in world.planned if item.kind == "stop" and not item.ended_at}
    return [daemon for daemon in world.daemons if daemon.ports.front in fronts]
