"""Play planned stops of real daemons before callers, and count what these see."""

__all__ = ["play_stops", "run_stops"]

import asyncio
import shutil
import sys
import tempfile
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import Any, NamedTuple

from tanagertrail.soak.stop_callers import MODES, StopCallers, StopKind
from tanagertrail.soak.stop_conditions import CONDITIONS, PATTERNS
from tanagertrail.soak.stop_counts import Planned, StopCall, StopRow, count_rows, is_lost
from tanagertrail.soak.stop_world import SETTLE_SECONDS, StopPlan, StopWorld
from tanagertrail.standins.documents import BOUNDS


class StopResult(NamedTuple):
    """What a run showed.

    :ivar lost: calls that break the rule on lost requests, with the planned work around them
    :ivar calm_cut: calls that were cut with no stop around them
    :ivar unreached: attempts to connect that failed
    :ivar ended_starting: starts of daemons that ended before they were ready
    :ivar folder: where the calls and the daemons' logs are kept, None unless something was lost
    """

    rows: list[StopRow]
    stops: list[Planned]
    calls: int
    lost: list[tuple[StopCall, Planned]]
    calm_cut: list[StopCall]
    unreached: int
    ended_starting: int
    folder: Path | None


async def play_stops(plan: StopPlan, keep: bool = False) -> StopResult:
    """Play a plan and count what it did to callers.

    :param keep: whether to keep the logs in any case
    """
    folder = Path(tempfile.mkdtemp(prefix=f"stops-{plan.seed}-"))
    world = StopWorld(plan, folder)
    try:
        await world.start()
        await asyncio.sleep(SETTLE_SECONDS)
        pause = (0.9 * plan.idle, 1.1 * plan.idle) if plan.idle else (0.0, 0.02)
        directories = [daemon.ports.directory for daemon in world.daemons]
        callers = StopCallers(plan.seed, directories, pause)
        await play_before(world, callers)
    finally:
        await world.close()
    return sum_up(world, callers, folder, keep)


async def play_before(world: StopWorld, callers: StopCallers) -> None:
    """Play a plan's stops before callers, and let these end."""
    plan = world.plan
    targets = {"one": 1, "overlap": 2}.get(plan.pattern, plan.daemons)
    tasks = []
    for number in range(plan.callers):
        kind = plan.kinds[number % len(plan.kinds)]
        turn = number // len(plan.kinds)
        front = world.daemons[turn % targets].ports.front
        mode = plan.modes[turn // targets % len(plan.modes)]
        tasks.append(asyncio.create_task(callers.run(number, kind, mode, front)))
    await asyncio.sleep(plan.at)
    beside = asyncio.create_task(CONDITIONS.get(plan.beside)(world))
    await PATTERNS.get(plan.pattern)(world)
    await asyncio.sleep(SETTLE_SECONDS)
    callers.ending = True
    await asyncio.gather(*tasks)
    beside.cancel()
    await asyncio.wait([beside])
    if not beside.cancelled():
        beside.result()


def sum_up(world: StopWorld, callers: StopCallers, folder: Path, keep: bool) -> StopResult:
    """Count what a run showed, and keep its logs if something was lost."""
    stops = [item for item in world.planned if item.kind == "stop"]
    runs = {run.request_id: run.at for run in reversed(world.runs)}
    lost = []
    for call in callers.calls:
        around = [item for item in world.planned if is_lost(call, item, call.request_id in runs)]
        around.sort(key=lambda item: item.kind != "stop")
        lost += [(call, item) for item in around[:1]]
    calm_cut = [
        call
        for call in callers.calls
        if call.cut and call.request_id in runs and not any(stop.concerns(call) for stop in stops)
    ]
    rows = count_rows(callers.calls, stops, runs)
    kept = keep or bool(lost or calm_cut)
    if kept:
        lines = [*world.planned, *callers.calls, *world.runs]
        (folder / "evidence.txt").write_text("\n".join(map(str, lines)) + "\n")
    else:
        shutil.rmtree(folder)
    return StopResult(
        rows,
        stops,
        len(callers.calls),
        lost,
        calm_cut,
        callers.unreached,
        world.ended_starting,
        folder if kept else None,
    )


def print_stops(result: StopResult) -> None:
    """Print what a run showed."""
    names = StopRow._fields
    print("  ".join(f"{name:>6}" for name in names))
    for row in result.rows:
        cells = zip(names, row, strict=True)
        print("  ".join(f"{value!s:>{max(len(name), 6)}}" for name, value in cells))
    for stop in result.stops:
        took = stop.ended_at - stop.at
        print(f"stop of {stop.front}: ended after {took:.2f} s, by itself: {stop.ended_itself}")
    print(f"starts that ended before the daemon was ready: {result.ended_starting}")
    around = [planned.kind for _, planned in result.lost]
    counts = ", ".join(f"{around.count(kind)} {kind}" for kind in ("stop", "reload", "config"))
    modes = Counter(call.mode for call, _ in result.lost)
    print("lost by callers' use of connections:", dict(modes))
    print(f"{result.calls} calls; lost: {counts}; cut with no stop around: {len(result.calm_cut)}")
    if result.folder is not None:
        print(f"logs in {result.folder}", flush=True)


def as_list(value: Any) -> list[Any]:
    """Split an argument at its commas, unless the command line has."""
    if isinstance(value, str):
        return [part for part in value.split(",") if part]
    return list(value) if isinstance(value, Sequence) else [value]


def parse_kinds(kinds: Any, work: Any, deadline: float) -> tuple[StopKind, ...]:
    """Parse kinds of requests, each with its own work and deadline or with the common ones.

    :param work: seconds, several for a kind of request of each length
    :param deadline: seconds
    """
    chosen: list[StopKind] = []
    for name in as_list(kinds):
        route, _, own = name.partition(":")
        seconds, _, limit = own.partition(":")
        lengths = [seconds] if seconds else as_list(work)
        chosen += [StopKind(route, float(item), float(limit or deadline)) for item in lengths]
    return tuple(chosen)


def run_stops(
    seed: int = 1,
    tree: str = "",
    grace: float = BOUNDS.grace,
    work: Any = (0.02, 0.4, 1.5, 4.0),
    kinds: Any = ("stream", "once", "order", "safe"),
    deadline: float = 9.0,
    modes: Any = MODES,
    callers: int = 48,
    pattern: str = "one",
    at: float = 2.0,
    beside: str = "calm",
    daemons: int = 3,
    upstreams: int = 4,
    idle: float = 0.0,
    keep: bool = False,
) -> None:
    """Stop daemons before callers and print what became of each kind of request.

    :param tree: source tree whose daemons are run, this one's if empty
    :param work: seconds for which upstreams work on a request, separated by commas
    :param kinds: kinds of requests, separated by commas; ``order:0.022:0.6`` has its own work
        and deadline
    :param modes: how callers use connections
    :param pattern: one, series, overlap, rolling, early or all
    :param beside: what happens meanwhile
    :param keep: whether to keep the logs in any case
    """
    chosen = parse_kinds(kinds, work, deadline)
    plan = StopPlan(
        seed, tree, grace, chosen, tuple(as_list(modes)), callers, pattern, at, beside,
        daemons, upstreams, idle,
    )  # fmt: skip
    result = asyncio.run(play_stops(plan, keep))
    print_stops(result)
    sys.exit(1 if result.lost or result.calm_cut else 0)
