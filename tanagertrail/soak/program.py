"""Command line of the soak."""

__all__ = ["main", "run_seed"]

import asyncio
import fnmatch
import shutil
import sys
import tempfile
from collections.abc import Collection
from pathlib import Path
from typing import NamedTuple

import fire

from tanagertrail.soak import crowd_faults as _crowd_faults  # noqa: F401
from tanagertrail.soak import cut_checks as _cut_checks  # noqa: F401  fills the registry of checks
from tanagertrail.soak import cut_faults as _cut_faults  # noqa: F401
from tanagertrail.soak import faults as _faults  # noqa: F401  fills the registry of faults
from tanagertrail.soak import loss_checks as _loss_checks  # noqa: F401  and that of checks
from tanagertrail.soak import stop_faults as _stop_faults  # noqa: F401
from tanagertrail.soak import upstream_faults as _upstream_faults  # noqa: F401
from tanagertrail.soak.checks import find_broken
from tanagertrail.soak.plan import FAULTS, MEAN_GAP_SECONDS, Fault, draw_plan
from tanagertrail.soak.processes import OWN_TREE
from tanagertrail.soak.release_rig import print_upgrade, run_upgrade
from tanagertrail.soak.stop_checks import StopFigures, count_stops
from tanagertrail.soak.stop_rig import run_stops
from tanagertrail.soak.world import SoakWorld

DEFAULT_SECONDS = 20.0
DEFAULT_DAEMONS = 4
DEFAULT_UPSTREAMS = 6
DEFAULT_CALLERS = 12
PLANNED = "planned"  # names all kinds of faults that are planned work or no disruption
SETTLE_SECONDS = 1.0  # after the last call, so that what still runs is seen


class SoakResult(NamedTuple):
    """What a run showed.

    :ivar stops: how callers fared in planned stops
    :ivar broken: promises that were broken, with the check's name
    :ivar folder: where plan and logs are kept, None unless a promise was broken
    """

    seed: int
    calls: int
    served: int
    runs: int
    plan: list[Fault]
    stops: StopFigures
    broken: list[str]
    folder: Path | None


async def inject(world: SoakWorld, fault: Fault) -> None:
    """Inject one fault at its time."""
    await asyncio.sleep(max(world.started + fault.at - world.now(), 0.0))
    await FAULTS.get(fault.kind).inject(world, fault)


async def play(
    world: SoakWorld, plan: list[Fault], seconds: float, callers: int
) -> tuple[list[str], StopFigures]:
    """Play a plan before callers and return what was broken, and figures on stops."""
    await world.start()
    crowd = asyncio.create_task(world.crowd.run(callers))
    injected = [asyncio.create_task(inject(world, fault)) for fault in plan]
    await asyncio.sleep(seconds)
    results = await asyncio.gather(*injected, return_exceptions=True)
    failed = [f"the callers ended: {crowd.exception()!r}"] if crowd.done() else []
    crowd.cancel()
    await asyncio.wait([crowd])
    await asyncio.sleep(SETTLE_SECONDS)
    failed += [repr(result) for result in results if result is not None]
    ended = [
        f"{daemon.name} ended with status {daemon.tell_exit()}"
        for daemon in world.daemons
        if not daemon.running
    ]
    evidence = world.collect(plan)
    return find_broken(evidence) + failed + ended, count_stops(evidence)


async def run_seed(
    seed: int,
    seconds: float = DEFAULT_SECONDS,
    daemons: int = DEFAULT_DAEMONS,
    upstreams: int = DEFAULT_UPSTREAMS,
    callers: int = DEFAULT_CALLERS,
    kinds: Collection[str] = (),
    gap: float = MEAN_GAP_SECONDS,
) -> SoakResult:
    """Play the plan of one seed and check what it shows.

    :param kinds: the only kinds of faults to play, empty for all
    :param gap: mean seconds between faults
    """
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    plan = draw_plan(seed, seconds, kinds, gap)
    world = SoakWorld(seed, daemons, upstreams, folder)
    try:
        broken, stops = await play(world, plan, seconds, callers)
    finally:
        await world.close()
    calls = world.crowd.calls
    served = sum(call.status == 200 and call.whole for call in calls)
    if broken:
        lines = [*broken, *(str(fault) for fault in plan), *(str(call) for call in calls)]
        (folder / "evidence.txt").write_text("\n".join(lines) + "\n")
    else:
        shutil.rmtree(folder)
    kept = folder if broken else None
    return SoakResult(seed, len(calls), served, len(world.runs), plan, stops, broken, kept)


def parse_seeds(seeds: str) -> range:
    """Parse ``A..B``, both included."""
    first, _, last = seeds.partition("..")
    return range(int(first), int(last or first) + 1)


def list_kinds(text: str) -> list[str]:
    """List the kinds of faults that some patterns name.

    :param text: patterns separated by slashes
    :raises ValueError: if a pattern names none
    """
    kinds: set[str] = set()
    for pattern in filter(None, text.split("/")):
        if pattern == PLANNED:
            found = [name for name in FAULTS if FAULTS.get(name).planned]
        else:
            found = fnmatch.filter(FAULTS, pattern)
        if not found:
            raise ValueError(f"no kind of fault is called {pattern!r}")
        kinds.update(found)
    return sorted(kinds)


class Soak:
    """Run real daemons under faults and check what callers and upstreams see."""

    stops = staticmethod(run_stops)

    def run(
        self,
        seed: int = 1,
        seeds: str = "",
        seconds: float = DEFAULT_SECONDS,
        daemons: int = DEFAULT_DAEMONS,
        upstreams: int = DEFAULT_UPSTREAMS,
        callers: int = DEFAULT_CALLERS,
        kinds: str = "",
        gap: float = MEAN_GAP_SECONDS,
    ) -> None:
        """Play one seed, or all of ``--seeds A..B`` in turn.

        :param seconds: length of a run
        :param kinds: the only kinds of faults to play, separated by slashes, ``*`` for any text;
            ``planned`` stands for all that excuse no lost request
        :param gap: mean seconds between faults
        """
        failed = 0
        names = list_kinds(kinds)
        for number in parse_seeds(seeds or str(seed)):
            result = asyncio.run(run_seed(number, seconds, daemons, upstreams, callers, names, gap))
            failed += bool(result.broken)
            print_result(result)
        sys.exit(1 if failed else 0)

    def plan(self, seed: int = 1, seconds: float = DEFAULT_SECONDS) -> None:
        """Print the plan of a seed."""
        for fault in draw_plan(seed, seconds):
            print(f"{fault.at:7.2f} s  {fault.kind:20} {fault.seconds:5.2f} s  #{fault.target}")

    def upgrade(
        self,
        older: str,
        newer: str = str(OWN_TREE),
        course: str = "forth",
        seed: int = 1,
        daemons: int = 6,
        kinds: str = "",
    ) -> None:
        """Replace daemons of an older source tree one by one by those of a newer one.

        :param older: folder of the older sources, such as ``git archive`` writes
        :param course: ``forth``, ``back`` or ``halt``
        :param kinds: kinds of faults that come meanwhile, separated by slashes
        """
        names = [name for name in kinds.split("/") if name]
        folders = (Path(older), Path(newer))
        result = asyncio.run(run_upgrade(*folders, course, seed, daemons, kinds=names))
        print_upgrade(result)
        sys.exit(1 if result.broken or result.logs.refused or result.logs.defects else 0)


def print_result(result: SoakResult) -> None:
    """Print what a run showed."""
    verdict = "broken" if result.broken else "kept"
    print(
        f"seed {result.seed}: {verdict}; {len(result.plan)} faults, {result.calls} calls, "
        f"{result.served} served, {result.runs} runs",
        flush=True,
    )
    stops = result.stops
    if stops.stops:
        print(
            f"  {stops.stops} stops, {stops.killed} killed; sent in them {stops.sent}: "
            f"{stops.served} served, {stops.cut} cut, {stops.refused} refused, "
            f"{stops.refused_in_time} of these would have ended in time"
        )
    for text in result.broken:
        print(f"  {text}")
    if result.folder is not None:
        print(f"  logs in {result.folder}", flush=True)


def main() -> None:
    """Run the command line."""
    fire.Fire(Soak, name="tanagertrail-soak")


if __name__ == "__main__":
    main()
