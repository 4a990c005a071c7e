"""The world of planned stops: daemons of any source tree before upstreams with timed work."""

__all__ = ["SETTLE_SECONDS", "StopPlan", "StopWorld"]

import asyncio
import zlib
from pathlib import Path
from typing import NamedTuple
from urllib.parse import parse_qs

from tanagertrail.gateway.handlers import MAIN_CONFIG
from tanagertrail.gateway.http1 import CallerRequest
from tanagertrail.platform import header_fields
from tanagertrail.platform.records import CONFIGURATION
from tanagertrail.soak.processes import DaemonProcess
from tanagertrail.soak.stop_callers import StopKind
from tanagertrail.soak.stop_counts import Planned
from tanagertrail.soak.world import READY_SECONDS, SoakUpstream, SoakWorld
from tanagertrail.standins.documents import BOUND_FIELDS, build_document
from tanagertrail.standins.misbehaviour import EVENTS, STREAM_SUFFIX

ROUTE_TIMEOUT_MS = 12_000  # longer than all deadlines, so that these alone end requests
CHECK_SECONDS = 0.1
SETTLE_SECONDS = 1.5  # after a start, for the daemons to learn of each other
MILLISECONDS = 1000.0
TAIL_EVERY = 40  # requests, of which one is longer


class StopPlan(NamedTuple):
    """What a run plays.

    :ivar tree: source tree of the daemons, empty for this one
    :ivar grace: grace period in seconds
    :ivar callers: number of callers, which share the kinds of requests evenly
    :ivar pattern: which daemons stop when, a name of :mod:`.stop_conditions`
    :ivar at: seconds from the callers' start to the first stop
    :ivar beside: what happens meanwhile, a name of the same module
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
    """An upstream that works for as long as a request says.

    :ivar slowness: factor by which it takes longer
    :ivar tail: factor by which one request of :data:`TAIL_EVERY` takes longer
    """

    slowness = 1.0
    tail = 1.0

    def choose_work(self, request: CallerRequest) -> float:
        """Choose the seconds that a plain request takes, or each event of a stream."""
        query = request.target.partition(b"?")[2].decode()
        work = float(parse_qs(query)["work"][0]) * self.slowness
        request_id = dict(request.headers)[header_fields.REQUEST_ID]
        if zlib.crc32(request_id) % TAIL_EVERY == 0:
            work *= self.tail
        return work / EVENTS if request.path.endswith(STREAM_SUFFIX) else work


class StopWorld(SoakWorld):
    """A world whose daemons have the grace period and the code of a plan.

    :ivar planned: planned work that has happened
    :ivar stopping: set once a daemon was told to stop
    :ivar ended_starting: starts of daemons that ended before they were ready
    """

    upstream_type = TimedUpstream

    def __init__(self, plan: StopPlan, folder: Path) -> None:
        super().__init__(plan.seed, plan.daemons, plan.upstreams, folder)
        self.plan = plan
        self.planned: list[Planned] = []
        self.stopping = asyncio.Event()
        self.ended_starting = 0

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
        self.stopping.set()
        place = len(self.planned)
        self.planned.append(Planned("stop", daemon.ports.front, at, self.plan.grace))
        itself = await daemon.stop(self.plan.grace)
        ended = self.planned[place]._replace(ended_at=self.now(), ended_itself=itself)
        self.planned[place] = ended

    def list_stopping(self) -> list[DaemonProcess]:
        """List the daemons that stop."""
        fronts = {item.front for item in self.planned if item.kind == "stop" and not item.ended_at}
        return [daemon for daemon in self.daemons if daemon.ports.front in fronts]

    async def restart(self, number: int) -> None:
        """Start a daemon again as a supervisor does, until it is ready.

        :raises TimeoutError: if it never is
        """
        daemon = self.daemons[number]
        await daemon.restart()
        ready = asyncio.create_task(self.await_ready(daemon))
        try:
            async with asyncio.timeout(READY_SECONDS):
                while not ready.done():
                    await asyncio.wait([ready], timeout=CHECK_SECONDS)
                    if not daemon.running:
                        self.ended_starting += 1
                        await daemon.restart()
        finally:
            ready.cancel()
        await asyncio.sleep(SETTLE_SECONDS)
