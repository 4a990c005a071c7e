"""Real daemons of an older source tree that are replaced one by one by those of a newer one."""

__all__ = ["COURSES", "UpgradeResult", "print_upgrade", "run_upgrade"]

import asyncio
import json
import shutil
import tempfile
from collections import Counter
from collections.abc import Callable, Collection, Iterator
from pathlib import Path
from typing import NamedTuple

from tanagertrail.registry import Registry
from tanagertrail.soak.checks import find_broken
from tanagertrail.soak.plan import FAULTS, Fault, draw_plan
from tanagertrail.soak.processes import OWN_TREE
from tanagertrail.soak.world import SoakWorld
from tanagertrail.standins.documents import BOUNDS

MEETING_SECONDS = 4.0  # until daemons have met and callers are served
REST_SECONDS = 3.0  # between two replacements, in which daemons meet again
SETTLE_SECONDS = 1.0
SERVED_STATUS = 200
NO_STATED_RELEASE = "older"
ERROR_LENGTH = 160
REFUSALS = ("peer_frame_refused", "peer_row_refused", "release_too_old")
REGISTRATION_REFUSAL = "member_refused"  # of releases 1 to 3, which daemons of others contact
DEFECT = "defect"
Course = Callable[[int], Iterator[tuple[int, bool]]]
COURSES: Registry[Course] = Registry("course of an upgrade")


@COURSES.register("forth")
def roll_forth(count: int) -> Iterator[tuple[int, bool]]:
    """Replace each daemon by a newer one: yield its number and whether it becomes newer."""
    yield from ((number, True) for number in range(count))


@COURSES.register("back")
def roll_back(count: int) -> Iterator[tuple[int, bool]]:
    """Replace each daemon by a newer one, and then each by an older one again."""
    yield from roll_forth(count)
    yield from ((number, False) for number in range(count))


@COURSES.register("halt")
def roll_halfway(count: int) -> Iterator[tuple[int, bool]]:
    """Replace every second daemon, replace one of them back, and stay."""
    yield from ((number, True) for number in range(0, count, 2))
    yield 0, False


class LogCounts(NamedTuple):
    """What the logs of daemons show, by the release that wrote the line.

    :ivar starts: starts of processes
    :ivar refused: frames and rows of other daemons that were refused
    :ivar unread_registrations: registrations of other daemons that were refused
    :ivar defects: exceptions that no code expects
    :ivar samples: first error of each kind
    """

    starts: Counter[str]
    refused: Counter[str]
    unread_registrations: Counter[str]
    defects: Counter[str]
    samples: list[str]


class UpgradeResult(NamedTuple):
    """What a run showed.

    :ivar broken: promises that were broken, with the check's name
    :ivar mixed_seconds: time in which daemons of both trees ran
    :ivar folder: where the logs are kept, None unless something was refused or broken
    """

    course: str
    calls: int
    served: int
    mixed_seconds: float
    logs: LogCounts
    broken: list[str]
    folder: Path | None


class OlderWorld(SoakWorld):
    """A world whose daemons start from an older source tree."""

    def __init__(self, seed: int, daemons: int, upstreams: int, folder: Path, tree: Path) -> None:
        super().__init__(seed, daemons, upstreams, folder)
        self.tree = tree

    async def add_daemons(self, store_port: int, cloud_port: int) -> None:
        """Build the daemons and the proxies around them."""
        await super().add_daemons(store_port, cloud_port)
        for daemon in self.daemons:
            daemon.tree = self.tree

    async def replace(self, number: int, tree: Path) -> None:
        """Stop a daemon as planned, and start one of another tree in its place."""
        daemon = self.daemons[number]
        daemon.tree = tree
        if daemon.running:
            self.terms.append((daemon.ports.front, self.now()))
            await daemon.stop(BOUNDS.grace)
        await daemon.restart(0.0)
        await self.await_ready(daemon)


def check_tree(tree: Path) -> Path:
    """Check that a folder holds the sources of a gateway.

    :raises FileNotFoundError: if it does not
    """
    if not (tree / "tanagertrail" / "gateway" / "node.py").is_file():
        raise FileNotFoundError(f"{tree} holds no sources of a gateway")
    return tree.resolve()


def read_events(path: Path) -> Iterator[dict]:
    """Yield the events in the log of one daemon; its processes write other lines only to fail."""
    for line in path.read_text(errors="replace").splitlines():
        try:
            yield json.loads(line)
        except ValueError:
            yield {"event": DEFECT, "error": line}


def count_logs(paths: Collection[Path]) -> LogCounts:
    """Count what the logs of daemons show."""
    counts = LogCounts(Counter(), Counter(), Counter(), Counter(), [])
    counters = dict.fromkeys(REFUSALS, counts.refused)
    counters |= {REGISTRATION_REFUSAL: counts.unread_registrations, DEFECT: counts.defects}
    seen: set[tuple[str, str]] = set()
    for path in paths:
        side = NO_STATED_RELEASE
        for item in read_events(path):
            event = item["event"]
            if event == "started":
                side = str(item.get("release", NO_STATED_RELEASE))
                counts.starts[side] += 1
            if event not in counters:
                continue
            counters[event][side] += 1
            if (side, event) not in seen:
                seen.add((side, event))
                error = str(item.get("error"))[:ERROR_LENGTH]
                counts.samples.append(f"{path.stem}, release {side}: {event}: {error}")
    return counts


async def inject(world: SoakWorld, fault: Fault) -> None:
    """Inject one fault at its time."""
    await asyncio.sleep(max(world.started + fault.at - world.now(), 0.0))
    await FAULTS.get(fault.kind).inject(world, fault)


async def play(
    world: OlderWorld, newer: Path, course: str, callers: int, kinds: Collection[str]
) -> tuple[list[str], float]:
    """Replace the daemons before callers; return what was broken and the mixed time in seconds.

    :param kinds: kinds of faults that come meanwhile
    """
    steps = list(COURSES.get(course)(len(world.daemons) or world.daemon_count))
    seconds = MEETING_SECONDS + len(steps) * 2 * REST_SECONDS
    plan = draw_plan(world.seed, seconds, kinds) if kinds else []
    await world.start()
    crowd = asyncio.create_task(world.crowd.run(callers))
    injected = [asyncio.create_task(inject(world, fault)) for fault in plan]
    await asyncio.sleep(MEETING_SECONDS)
    mixed_seconds = 0.0
    for number, is_newer in steps:
        await world.replace(number, newer if is_newer else world.tree)
        since = world.now()
        await asyncio.sleep(REST_SECONDS)
        is_mixed = len({daemon.tree for daemon in world.daemons}) > 1
        mixed_seconds += (world.now() - since) * is_mixed
    results = await asyncio.gather(*injected, return_exceptions=True)
    await asyncio.sleep(REST_SECONDS)
    failed = [f"the callers ended: {crowd.exception()!r}"] if crowd.done() else []
    crowd.cancel()
    await asyncio.wait([crowd])
    await asyncio.sleep(SETTLE_SECONDS)
    failed += [repr(result) for result in results if result is not None]
    failed += [
        f"{daemon.name} ended with status {daemon.tell_exit()}"
        for daemon in world.daemons
        if not daemon.running
    ]
    return find_broken(world.collect(plan)) + failed, mixed_seconds


async def run_upgrade(
    older: Path,
    newer: Path = OWN_TREE,
    course: str = "forth",
    seed: int = 1,
    daemons: int = 6,
    upstreams: int = 6,
    callers: int = 12,
    kinds: Collection[str] = (),
) -> UpgradeResult:
    """Replace daemons of an older tree one by one and check what callers saw.

    :param kinds: kinds of the soak's faults that come meanwhile, empty for calm
    :raises FileNotFoundError: if a folder holds no sources of a gateway
    """
    older, newer = check_tree(older), check_tree(newer)
    folder = Path(tempfile.mkdtemp(prefix=f"upgrade-{seed}-"))
    world = OlderWorld(seed, daemons, upstreams, folder, older)
    try:
        broken, mixed_seconds = await play(world, newer, course, callers, kinds)
    finally:
        await world.close()
    logs = count_logs([daemon.log_path for daemon in world.daemons])
    calls = world.crowd.calls
    served = sum(call.status == SERVED_STATUS and call.whole for call in calls)
    kept = folder if broken or logs.refused or logs.defects else None
    if kept is None:
        shutil.rmtree(folder)
    else:
        lines = [*broken, *(str(call) for call in calls)]
        (folder / "evidence.txt").write_text("\n".join(lines) + "\n")
    return UpgradeResult(course, len(calls), served, mixed_seconds, logs, broken, kept)


def print_upgrade(result: UpgradeResult) -> None:
    """Print what a run showed."""
    print(
        f"{result.course}: {result.calls} calls, {result.served} served, "
        f"{result.mixed_seconds:.0f} s mixed; starts by release {dict(result.logs.starts)}; "
        f"refused by release {dict(result.logs.refused)}, registrations "
        f"{dict(result.logs.unread_registrations)}; defects {dict(result.logs.defects)}; "
        f"{len(result.broken)} promises broken",
        flush=True,
    )
    for text in (*result.logs.samples, *result.broken):
        print(f"  {text}")
    if result.folder is not None:
        print(f"  logs in {result.folder}", flush=True)
