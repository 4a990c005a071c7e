"""The fault matrix: every fault at every step of a request, over the real core."""

__all__ = ["FAULTS", "Cell", "CellResult", "check_cell", "format_matrix", "iter_cells", "run_cell"]

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from tanagertrail.core.requests import CallerRequest
from tanagertrail.model import FailureDomain
from tanagertrail.outcomes import Answered, NotRun, Outcome, Step, Unknown
from tanagertrail.policy.tickets import Ticket
from tanagertrail.registry import Registry
from tanagertrail.testing import DOMAINS, Cluster

ANSWER_TOKENS = 12
TIMEOUT_SECONDS = 15.0
REPAIR_SECONDS = 12.0
PAUSE_SECONDS = 3.0
CRASH_TRIES = 10
CRASH_WAIT_SECONDS = 0.003
ENTRY = "entry-1"
OTHER = "entry-2"

Fault = Callable[[Cluster], Awaitable[None]]
FAULTS: Registry[Fault] = Registry("fault")


class Cell(NamedTuple):
    """One cell of the matrix.

    :ivar kind: ``stream`` or ``call``, which may be made at most once
    """

    step: Step
    fault: str
    kind: str


@dataclass
class CellResult:
    """What came of a cell.

    :ivar outcome: outcome of the request during which the fault struck
    :ivar resent: outcome of the same request sent again through another daemon
    :ivar executions: times that upstreams ran the call
    :ivar whole: whether the caller has every token once
    """

    cell: Cell
    outcome: Outcome
    resent: Outcome
    executions: int
    started: int
    whole: bool
    overshoot: int


def find_busy(cluster: Cluster) -> list[str]:
    """Return the upstreams that run something."""
    return [name for name, engine in cluster.engines.items() if engine.in_flight]


@FAULTS.register("none")
async def strike_nothing(cluster: Cluster) -> None:
    """Do nothing, for comparison."""


@FAULTS.register("crash")
async def crash_upstream(cluster: Cluster) -> None:
    """Crash the upstreams that run something, as soon as there are any."""
    for _ in range(CRASH_TRIES):
        if busy := find_busy(cluster):
            break
        await asyncio.sleep(CRASH_WAIT_SECONDS)
    else:
        busy = ["dial-1", "desk-1"]
    for name in busy:
        cluster.engines[name].crash()


@FAULTS.register("cold")
async def turn_cold(cluster: Cluster) -> None:
    """Turn every upstream cold."""
    for engine in cluster.engines.values():
        engine.turn_cold(5.0)


@FAULTS.register("refuse")
async def refuse_work(cluster: Cluster) -> None:
    """Let one replica of each service refuse."""
    for name in ("dial-1", "desk-1"):
        cluster.engines[name].faults.refuse = True


@FAULTS.register("unreachable")
async def cut_upstreams(cluster: Cluster) -> None:
    """Cut the daemon from one replica of each service."""
    cluster.clients[ENTRY].unreachable.update(("dial-1", "desk-1"))


@FAULTS.register("lost_answer")
async def lose_answer(cluster: Cluster) -> None:
    """Lose the next answer of an upstream after it ran."""
    cluster.clients[ENTRY].faults.lose_heads = 1


@FAULTS.register("reclaim")
async def reclaim_domain(cluster: Cluster) -> None:
    """Give notice to a failure domain's worth of upstreams."""
    for name, engine in cluster.engines.items():
        if engine.upstream.failure_domain == DOMAINS[0]:
            cluster.cloud.give_notice(name, 3.0)


@FAULTS.register("domain_out")
async def take_domain_out(cluster: Cluster) -> None:
    """Take a failure domain out by ticket."""
    ticket = Ticket(failure_domains={DOMAINS[0]: FailureDomain(state="out")})
    await cluster.nodes[OTHER].commit_ticket(ticket)


@FAULTS.register("store_down")
async def stop_store(cluster: Cluster) -> None:
    """Take the object API down for some seconds."""
    cluster.store.faults.outage = True
    asyncio.get_running_loop().call_later(8.0, restore_store, cluster)


@FAULTS.register("store_slow")
async def slow_store(cluster: Cluster) -> None:
    """Slow the object API down for some seconds."""
    cluster.store.faults.latency = 0.8
    asyncio.get_running_loop().call_later(8.0, restore_store, cluster)


@FAULTS.register("store_loses_answers")
async def lose_store_answers(cluster: Cluster) -> None:
    """Lose the answers of the next writes after they took effect."""
    cluster.store.faults.lose_answers = 6


@FAULTS.register("daemon_cut")
async def cut_daemon(cluster: Cluster) -> None:
    """Cut the daemon from the store and from all others for some seconds."""
    cluster.store.faults.cut_clients.add(ENTRY)
    cluster.network.isolated.add(ENTRY)
    asyncio.get_running_loop().call_later(8.0, restore_store, cluster)


@FAULTS.register("other_killed")
async def kill_other(cluster: Cluster) -> None:
    """Kill another daemon, which may keep ledgers and hold leases."""
    if OTHER in cluster.nodes:
        await cluster.kill_node(OTHER, remove_instance=True)


@FAULTS.register("keeper_paused")
async def pause_peers(cluster: Cluster) -> None:
    """Hold back all messages to the other daemons for some seconds."""
    for name in cluster.nodes:
        if name != ENTRY:
            cluster.network.pause(name)
            asyncio.get_running_loop().call_later(PAUSE_SECONDS, cluster.network.resume, name)


def restore_store(cluster: Cluster) -> None:
    """End the faults of store and network."""
    cluster.store.faults.outage = False
    cluster.store.faults.latency = 0.0
    cluster.store.faults.cut_clients.clear()
    cluster.network.heal()


def iter_cells() -> Iterator[Cell]:
    """Yield every cell; a record is written only for guarded calls."""
    for step in Step:
        for fault in FAULTS:
            if step is not Step.RECORD:
                yield Cell(step, fault, "stream")
            yield Cell(step, fault, "call")


def build_cell_request(cluster: Cluster, kind: str) -> CallerRequest:
    """Build the request of a cell."""
    if kind == "stream":
        return cluster.build_request(tokens=ANSWER_TOKENS, timeout=TIMEOUT_SECONDS)
    return cluster.build_call(
        "/bookings", "POST", idempotency_key="matrix", timeout=TIMEOUT_SECONDS
    )


async def run_cell(cell: Cell) -> CellResult:
    """Run one cell on a cluster of its own."""
    cluster = Cluster(daemons=3)
    await cluster.start()
    fault = FAULTS.get(cell.fault)
    struck: list[asyncio.Task] = []
    request = build_cell_request(cluster, cell.kind)

    def probe(step: Step, probed: CallerRequest) -> None:
        if step is cell.step and probed.request_id == request.request_id and not struck:
            struck.append(asyncio.ensure_future(fault(cluster)))

    node = cluster.nodes[ENTRY]
    node.server.on_step = probe
    if cell.step is Step.ADDRESS:
        node.members.select_addresses()
        await fault(cluster)
    outcome, body = await cluster.send_request(request, node)
    await asyncio.sleep(REPAIR_SECONDS)
    resent = await resend(cluster, cell, request)
    executions = sum(engine.executions["matrix"] for engine in cluster.engines.values())
    started = sum(engine.started[request.request_id] for engine in cluster.engines.values())
    whole = body.count(b"data: ") == ANSWER_TOKENS
    overshoot = cluster.max_overshoot() if cell.fault != "cold" else 0
    return CellResult(cell, outcome, resent, executions, started, whole, overshoot)


async def resend(cluster: Cluster, cell: Cell, request: CallerRequest) -> Outcome:
    """Send the request again through another daemon, once the fault is over."""
    node = next(item for name, item in cluster.nodes.items() if name != ENTRY)
    deadline = asyncio.get_running_loop().time() + TIMEOUT_SECONDS
    again = request._replace(request_id=f"{request.request_id}-again", deadline=deadline)
    outcome, _ = await cluster.send_request(again, node)
    return outcome


def check_cell(result: CellResult) -> list[str]:
    """Return the promises that a cell broke."""
    broken = []
    outcome = result.outcome
    if result.cell.kind == "stream":
        if isinstance(outcome, Answered) and not result.whole:
            broken.append("an answer was not whole")
        if isinstance(outcome, NotRun) and result.started:
            broken.append("a refusal was not true")
        if not isinstance(result.resent, Answered):
            broken.append("a later request was not answered")
    else:
        if result.executions > 1:
            broken.append("a call was made twice")
        if isinstance(outcome, Answered) and not result.executions:
            broken.append("an answer without a call")
        both_no = isinstance(outcome, NotRun) and isinstance(result.resent, NotRun)
        if both_no and result.executions:
            broken.append("a refusal was not true")
        if isinstance(result.resent, Answered) and not result.executions:
            broken.append("an answer without a call")
        if isinstance(outcome, Answered) and not isinstance(result.resent, Answered | Unknown):
            broken.append("a made call was denied")
    if result.overshoot > 0:
        broken.append(f"an upstream was {result.overshoot} over its limit")
    return broken


def name_outcome(result: CellResult) -> str:
    """Return the short form of a cell's outcome and of the resend's."""
    marks = "!" if check_cell(result) else ""
    first = type(result.outcome).__name__.lower()
    second = type(result.resent).__name__.lower()
    return f"{first}/{second}{marks}"


def format_matrix(results: list[CellResult], kind: str) -> str:
    """Format the matrix of one kind as a Markdown table of fault by step."""
    steps = [step for step in Step if any(r.cell[::2] == (step, kind) for r in results)]
    lines = ["| fault | " + " | ".join(steps) + " |", "|---" * (len(steps) + 1) + "|"]
    for fault in FAULTS:
        cells = {r.cell.step: r for r in results if (r.cell.fault, r.cell.kind) == (fault, kind)}
        row = [name_outcome(cells[step]) for step in steps]
        lines.append(f"| {fault} | " + " | ".join(row) + " |")
    return "\n".join(lines)
