"""Experiment: what gateway daemons send each other, by the size of the fleet."""

__all__ = ["HubsResult", "run_hubs"]

import asyncio
import random
import time
from typing import NamedTuple

from tanagertrail.daemons.frames import encode_frame
from tanagertrail.daemons.peer_messages import DaemonState, FleetSummary
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.members import Member, MemberTable
from tanagertrail.gateway.peers import (
    EXCHANGE_PERIOD_SECONDS,
    RELAYED_PERIOD_SECONDS,
    pick_partners,
)
from tanagertrail.gateway.state_sync import StateSync, SyncDelegate
from tanagertrail.gateway.upstream_paces import MAX_SHARED_ROWS, mark_start
from tanagertrail.policy.hubs import MAX_FULL_MESH_DAEMONS, plan_topology

WARM_PERIODS = 3
MEASURED_PERIODS = 3
BUSY_UPSTREAMS = 10  # upstreams at which one daemon has requests at a moment
CUSTOMERS = 16
USAGE_WINDOWS = 3
LEARNED_UPSTREAMS = 4  # of which one daemon learns in a period: five generations a second


class HubsResult(NamedTuple):
    """Control traffic and time of a quiet fleet, per daemon and second.

    :ivar hubs: daemons that gather states
    :ivar mean_bytes: bytes that a daemon sends, mean over all
    :ivar hub_bytes: bytes that the busiest daemon sends
    :ivar hub_cpu_percent: share of a core of the busiest daemon, sockets left out
    """

    daemons: int
    upstreams: int
    hubs: int
    mean_bytes: float
    hub_bytes: float
    hub_cpu_percent: float


class QuietDaemon(SyncDelegate):
    """A daemon with the state of a busy one and no sockets."""

    def __init__(self, number: int, names: list[str], upstreams: int, tells_paces: bool) -> None:
        self.number = number
        self.rng = random.Random(number)
        self.tells_paces = tells_paces
        self.is_mesh = len(names) <= MAX_FULL_MESH_DAEMONS
        self.upstreams = upstreams
        self.counter = 0
        self.sent = 0
        self.seconds = 0.0
        self.periods = 0
        name = names[number]
        host = f"10.0.{number // 250}.{number % 250}"
        own = Member(name, 1, f"{host}:7600", f"{host}:80", "north")
        self.members = MemberTable(own, EventLog(name, asyncio.get_running_loop().time))
        for other in names:
            self.members.merge_member(
                Member(other, 1, "10.0.0.0:1", "10.0.0.0:2", "north"), 0.0, True
            )
        self.state_sync = StateSync(self, self.members, {})
        others = (other for other in names if other != name)
        self.state_sync.topology = plan_topology(name, others)

    def describe_state(self) -> DaemonState:
        """Return a state as large as a busy daemon's."""
        self.counter += 1
        first = self.number * BUSY_UPSTREAMS
        flights = tuple(
            (f"i-{(first + offset) % self.upstreams:010x}", 3) for offset in range(BUSY_UPSTREAMS)
        )
        quota = tuple((f"customer{n}", self.counter * 1000.5, 500.25) for n in range(CUSTOMERS))
        counts = tuple((f"customer{n}", 40 + n) for n in range(CUSTOMERS))
        usage = tuple((356_000_000 + window, counts) for window in range(USAGE_WINDOWS))
        return self.members.own.build_state(
            self.counter,
            serving=True,
            store_reachable=True,
            in_flight=flights,
            quota=quota,
            usage=usage,
            paces=self.draw_paces() if self.tells_paces else (),
        )

    def draw_paces(self) -> tuple:
        """Return what was learned of upstreams lately, all that fits for a hub."""
        relays = self.state_sync.topology.is_hub and not self.is_mesh
        count = MAX_SHARED_ROWS if relays else LEARNED_UPSTREAMS
        learned = self.rng.sample(range(self.upstreams), min(count, self.upstreams))
        return tuple(
            (
                f"i-{number:010x}",
                mark_start(1_796_500_000.0 + 7.3 * number),
                self.rng.randint(900, 2600),
                self.rng.randint(1, 96),
                self.rng.randint(0, 40),
            )
            for number in learned
        )

    def apply_state(self, state: DaemonState) -> None:
        """Do nothing with a state."""

    def apply_fleet_summary(self, hub: str, incarnation: int, sums: FleetSummary) -> None:
        """Do nothing with sums."""

    def record_leader_seen(self, age: float) -> None:
        """Do nothing with a sign of the lease's holder."""

    def on_store_update(self) -> None:
        """Do nothing with news."""


def run_period(daemons: dict[str, QuietDaemon]) -> None:
    """Let each daemon exchange with its partners, and count bytes and time."""
    for daemon in daemons.values():
        daemon.periods += 1
        topology = daemon.state_sync.topology
        for name in pick_partners(topology, daemon.periods):
            partner = daemons[name]
            started = time.process_time()
            question = daemon.state_sync.build_request(name)
            daemon.sent += len(encode_frame(question, 0))
            asked = time.process_time()
            answer = partner.state_sync.handle_request(question)
            partner.sent += len(encode_frame(answer, 0))
            answered = time.process_time()
            daemon.state_sync.handle_response(answer, 0.0)
            daemon.seconds += asked - started + time.process_time() - answered
            partner.seconds += answered - asked


async def run_hubs(daemons: int, upstreams: int, tells_paces: bool = True) -> HubsResult:
    """Measure a fleet of daemons that exchange their states.

    :param tells_paces: whether they tell what they learned of upstreams
    """
    names = [f"entry-{number}" for number in range(daemons)]
    fleet = {name: QuietDaemon(n, names, upstreams, tells_paces) for n, name in enumerate(names)}
    for _ in range(WARM_PERIODS):
        run_period(fleet)
    for daemon in fleet.values():
        daemon.sent, daemon.seconds = 0, 0.0
    for _ in range(MEASURED_PERIODS):
        run_period(fleet)
    period = EXCHANGE_PERIOD_SECONDS if daemons <= MAX_FULL_MESH_DAEMONS else RELAYED_PERIOD_SECONDS
    span = MEASURED_PERIODS * period
    sent = [daemon.sent / span for daemon in fleet.values()]
    seconds = max(daemon.seconds for daemon in fleet.values())
    hubs = len(next(iter(fleet.values())).state_sync.topology.hubs)
    return HubsResult(
        daemons, upstreams, hubs, sum(sent) / daemons, max(sent), 100 * seconds / span
    )
