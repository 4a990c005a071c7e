"""Planned stops and reloads: one, in series, overlapping, twice, and beside other faults."""

__all__ = ["stop_daemon"]

import asyncio
import random
import signal
from collections.abc import Iterable

from tanagertrail.soak.cut_faults import build_injector
from tanagertrail.soak.faults import pick_daemon, set_store_mode
from tanagertrail.soak.plan import Fault, register_fault
from tanagertrail.soak.processes import DaemonProcess
from tanagertrail.soak.upstream_link import Cut
from tanagertrail.soak.world import SoakWorld
from tanagertrail.standins.documents import BOUNDS
from tanagertrail.standins.store import StoreMode

CHANCE = 0.15
SHORTEST_SECONDS, LONGEST_SECONDS = 9.0, 10.0  # for the grace period and the start after it
SERIES = 2  # daemons, for whose stops in turn a short run has time
OVERLAP_SECONDS = 4.0  # within which stops that overlap begin
DURING_SECONDS = (0.05, 6.0)  # from the first signal to one that comes during the stop
RELOAD_SECONDS = (0.0, 0.05)  # from a reload to a stop that comes during it
FEW_REQUESTS_SECONDS = (1.0, 4.0)  # from a start to a stop with few lengths of requests known
SLOWNESS = (100.0, 600.0)  # times the usual work, which is short
SLOWER_SECONDS = (3.5, 5.5)  # from the first stop to when upstreams turn slower
SLOWER_SPREAD_SECONDS = 1.0  # within which all daemons are asked to stop
START_SECONDS = (0.05, 1.0)  # from a start to a stop that comes before the daemon is ready
STORE_MODES = (StoreMode.BUSY, StoreMode.SILENT)


async def stop_daemon(world: SoakWorld, daemon: DaemonProcess, delay: float = 0.0) -> None:
    """Have a daemon stopped by its supervisor and started again.

    :param delay: seconds until it is asked to stop
    """
    await asyncio.sleep(delay)
    if daemon.frozen or not daemon.running:
        return
    world.note_term(daemon)
    if not await daemon.stop(BOUNDS.grace):
        world.overruns.append((daemon.ports.front, world.now()))
    await daemon.restart()


async def signal_later(daemon: DaemonProcess, number: signal.Signals, delay: float) -> None:
    """Send a daemon a signal after some seconds, unless it has been started again by then."""
    process = daemon.process
    await asyncio.sleep(delay)
    if daemon.process is process:
        daemon.signal(number)


async def stop_with_signal(world: SoakWorld, fault: Fault, number: signal.Signals) -> None:
    """Stop a daemon and send it a signal meanwhile."""
    daemon = pick_daemon(world, fault)
    delay = random.Random(fault.target).uniform(*DURING_SECONDS)
    await asyncio.gather(stop_daemon(world, daemon), signal_later(daemon, number, delay))


async def stop_together(world: SoakWorld, delays: Iterable[float], first: int) -> None:
    """Stop several daemons, each after some seconds of its own.

    :param first: number of the first one
    """
    count = len(world.daemons)
    stops = (
        stop_daemon(world, world.daemons[(first + number) % count], delay)
        for number, delay in enumerate(delays)
    )
    await asyncio.gather(*stops)


@register_fault("stop", 3.0, 5.0, planned=True)
async def stop(world: SoakWorld, fault: Fault) -> None:
    """Stop a daemon."""
    await stop_daemon(world, pick_daemon(world, fault))


@register_fault("reload", 0.1, 0.2, planned=True)
async def reload(world: SoakWorld, fault: Fault) -> None:
    """Tell a daemon to read its settings again."""
    pick_daemon(world, fault).signal(signal.SIGHUP)


@register_fault(
    "stops in series", SHORTEST_SECONDS, SERIES * LONGEST_SECONDS, planned=True, chance=CHANCE
)
async def stop_in_series(world: SoakWorld, fault: Fault) -> None:
    """Stop some daemons, each when the one before it has been started again."""
    for number in range(SERIES):
        await stop_daemon(world, pick_daemon(world, fault._replace(target=fault.target + number)))


@register_fault(
    "stops that overlap", SHORTEST_SECONDS, LONGEST_SECONDS, planned=True, chance=CHANCE
)
async def stop_overlapping(world: SoakWorld, fault: Fault) -> None:
    """Stop two daemons or more, but one, within some seconds."""
    rng = random.Random(fault.target)
    most = max(len(world.daemons) - 1, 2)
    delays = [rng.uniform(0.0, OVERLAP_SECONDS) for _ in range(rng.randint(2, most))]
    await stop_together(world, delays, fault.target)


@register_fault("stop of all", SHORTEST_SECONDS, LONGEST_SECONDS, planned=True, chance=CHANCE)
async def stop_all(world: SoakWorld, fault: Fault) -> None:
    """Stop all daemons at one moment."""
    await stop_together(world, [0.0] * len(world.daemons), 0)


@register_fault("stop asked twice", SHORTEST_SECONDS, LONGEST_SECONDS, planned=True, chance=CHANCE)
async def stop_twice(world: SoakWorld, fault: Fault) -> None:
    """Ask a daemon to stop, and again while it stops."""
    await stop_with_signal(world, fault, signal.SIGTERM)


@register_fault(
    "reload during a stop", SHORTEST_SECONDS, LONGEST_SECONDS, planned=True, chance=CHANCE
)
async def reload_during_stop(world: SoakWorld, fault: Fault) -> None:
    """Ask a daemon to stop, and tell it to read its settings again while it stops."""
    await stop_with_signal(world, fault, signal.SIGHUP)


@register_fault(
    "stop during a reload", SHORTEST_SECONDS, LONGEST_SECONDS, planned=True, chance=CHANCE
)
async def stop_during_reload(world: SoakWorld, fault: Fault) -> None:
    """Tell a daemon to read its settings again, and stop it meanwhile."""
    daemon = pick_daemon(world, fault)
    daemon.signal(signal.SIGHUP)
    await stop_daemon(world, daemon, random.Random(fault.target).uniform(*RELOAD_SECONDS))


@register_fault("stop before ready", SHORTEST_SECONDS, LONGEST_SECONDS, planned=True, chance=CHANCE)
async def stop_before_ready(world: SoakWorld, fault: Fault) -> None:
    """Stop a daemon, and again soon after it has been started, before it can be ready."""
    daemon = pick_daemon(world, fault)
    await stop_daemon(world, daemon)
    await stop_daemon(world, daemon, random.Random(fault.target).uniform(*START_SECONDS))


@register_fault(
    "stop soon after a start", SHORTEST_SECONDS, 2 * LONGEST_SECONDS, planned=True, chance=CHANCE
)
async def stop_soon_after_start(world: SoakWorld, fault: Fault) -> None:
    """Stop a daemon, and again when it has served few requests."""
    daemon = pick_daemon(world, fault)
    await stop_daemon(world, daemon)
    await stop_daemon(world, daemon, random.Random(fault.target).uniform(*FEW_REQUESTS_SECONDS))


@register_fault(
    "upstreams slower within a stop", SHORTEST_SECONDS, LONGEST_SECONDS, planned=True, chance=CHANCE
)
async def slow_within_stop(world: SoakWorld, fault: Fault) -> None:
    """Stop all daemons, and have upstreams turn slower in the midst, as when the load grows.

    Callers have no other daemon then, so that they come late in a stop.
    """
    rng = random.Random(fault.target)
    slower = rng.sample(world.upstreams, rng.randint(1, len(world.upstreams)))
    delays = [rng.uniform(0.0, SLOWER_SPREAD_SECONDS) for _ in world.daemons]
    stopping = asyncio.create_task(stop_together(world, delays, 0))
    await asyncio.sleep(rng.uniform(*SLOWER_SECONDS))
    for upstream in slower:
        upstream.slowness = rng.uniform(*SLOWNESS)
    await stopping
    for upstream in slower:
        upstream.slowness = 1.0


@register_fault("store away beside a stop", SHORTEST_SECONDS, LONGEST_SECONDS, chance=CHANCE)
async def stop_without_store(world: SoakWorld, fault: Fault) -> None:
    """Stop a daemon while the store answers nothing or turns all calls away."""
    delay = random.Random(fault.target).uniform(0.0, OVERLAP_SECONDS)
    mode = STORE_MODES[fault.target % len(STORE_MODES)]
    await asyncio.gather(
        set_store_mode(world, mode, fault.seconds),
        stop_daemon(world, pick_daemon(world, fault), delay),
    )


@register_fault("upstreams cut beside stops", SHORTEST_SECONDS, LONGEST_SECONDS, chance=CHANCE)
async def stop_beside_cut(world: SoakWorld, fault: Fault) -> None:
    """Stop two daemons while some are cut off from all upstreams."""
    how = list(Cut)[fault.target % len(Cut)]
    rng = random.Random(fault.target)
    delays = [rng.uniform(0.0, OVERLAP_SECONDS) for _ in range(2)]
    await asyncio.gather(
        build_injector(how)(world, fault), stop_together(world, delays, fault.target)
    )
