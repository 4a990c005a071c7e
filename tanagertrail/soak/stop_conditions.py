"""Which daemons stop when, and what happens beside their stops."""

__all__ = ["CONDITIONS", "PATTERNS"]

import asyncio
import signal
from collections.abc import Awaitable, Callable
from itertools import count

from tanagertrail.gateway.channel import Channel, open_channel
from tanagertrail.registry import Registry
from tanagertrail.soak.proxy import LinkState
from tanagertrail.soak.stop_counts import Planned
from tanagertrail.soak.stop_world import StopWorld
from tanagertrail.soak.upstream_link import Cut
from tanagertrail.standins.ports import HOST
from tanagertrail.standins.store import StoreMode

CONFIG_GAP_SECONDS = 1.0
SILENT_SECONDS = 1.2
RELOAD_GAP_SECONDS = 0.25
SECOND_TERM_SECONDS = 1.0
ROLLING_SECONDS = 1.3
EARLY_STOPS = 12
EARLY_STEP_SECONDS = 0.15
QUOTA_SECONDS = 0.05
CROWD_SECONDS = 0.5
CROWD_CONNECTIONS = 300
SLOWNESS = 12.0  # times the work that a request states

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


@PATTERNS.register("again")
async def stop_just_started(world: StopWorld) -> None:
    """Stop a daemon, and again when it has just been started."""
    await world.stop(0)
    await world.restart(0)
    await world.stop(0)


@PATTERNS.register("overlap")
async def stop_overlapping(world: StopWorld) -> None:
    """Stop a second daemon halfway through the grace period of the first."""
    first = asyncio.create_task(world.stop(0))
    await asyncio.sleep(world.plan.grace / 2)
    await world.stop(1)
    await first


@PATTERNS.register("rolling")
async def stop_rolling(world: StopWorld) -> None:
    """Stop each daemon a moment after the one before, and restart each once it has ended."""

    async def stop_and_restart(number: int) -> None:
        await asyncio.sleep(ROLLING_SECONDS * number)
        await world.stop(number)
        await world.restart(number)

    await asyncio.gather(*(stop_and_restart(number) for number in range(len(world.daemons))))


@PATTERNS.register("early")
async def stop_early(world: StopWorld) -> None:
    """Stop a daemon, and again at rising times after its start."""
    await world.stop(0)
    for number in range(EARLY_STOPS):
        await world.daemons[0].restart()
        await asyncio.sleep(EARLY_STEP_SECONDS * number)
        await world.stop(0)


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
        for daemon in world.list_stopping():
            daemon.signal(signal.SIGTERM)


@CONDITIONS.register("store")
async def silence_store(world: StopWorld) -> None:
    """Have the store answer nothing."""
    world.store.mode = StoreMode.SILENT


@CONDITIONS.register("cut off")
async def cut_off_stopping(world: StopWorld) -> None:
    """Cut each daemon that stops off from all upstreams, so that others carry its requests."""
    for link in world.upstream_links:
        link.cut(0, Cut.HANG)
    await asyncio.Event().wait()


@CONDITIONS.register("slowing")
async def slow_upstreams_within_stop(world: StopWorld) -> None:
    """Slow all upstreams in the midst of the first stop, as a load that grows does."""
    await world.stopping.wait()
    await asyncio.sleep(world.plan.grace / 2)
    for upstream in world.upstreams:
        upstream.slowness = SLOWNESS


@CONDITIONS.register("tails")
async def lengthen_some_requests(world: StopWorld) -> None:
    """Have a small share of the requests take far longer than all others."""
    for upstream in world.upstreams:
        upstream.tail = SLOWNESS


@CONDITIONS.register("throttled")
async def throttle_daemons(world: StopWorld) -> None:
    """Let daemons run for half of each tenth of a second, as a processor quota does."""
    try:
        while True:
            await asyncio.sleep(QUOTA_SECONDS)
            for daemon in world.daemons:
                daemon.pause()
            await asyncio.sleep(QUOTA_SECONDS)
            for daemon in world.daemons:
                daemon.resume()
    finally:
        for daemon in world.daemons:
            daemon.resume()


@CONDITIONS.register("crowd")
async def crowd_connections(world: StopWorld) -> None:
    """Open many connections at once to daemons that stop, and leave them without a request."""
    channels: list[Channel] = []
    try:
        while True:
            opening = [
                open_channel(HOST, daemon.ports.front, CROWD_SECONDS)
                for daemon in world.list_stopping()
                for _ in range(CROWD_CONNECTIONS)
            ]
            opened = await asyncio.gather(*opening, return_exceptions=True)
            channels += [item for item in opened if isinstance(item, Channel)]
            await asyncio.sleep(CROWD_SECONDS)
            while channels:
                channels.pop().abort()
    finally:
        for channel in channels:
            channel.abort()
