"""Faults that cut daemons off from all upstreams, while callers, store and others reach them."""

__all__: list[str] = []

import asyncio
import random

from tanagertrail.soak.plan import Fault, Injector, register_fault
from tanagertrail.soak.upstream_link import Cut
from tanagertrail.soak.world import SoakWorld
from tanagertrail.standins.documents import DOMAINS

CHANCE = 0.25
SHORTEST_SECONDS, LONGEST_SECONDS = 2.0, 6.0
FLAP_SECONDS = (0.3, 0.9)


def pick_daemons(world: SoakWorld, rng: random.Random) -> list[int]:
    """Reserve one daemon, some, a whole failure domain or most, so that one is left.

    :returns: their numbers
    """
    numbers = range(len(world.daemons))
    domain = rng.randrange(len(DOMAINS))
    extents = (
        rng.sample(numbers, 1),
        rng.sample(numbers, rng.randrange(1, len(numbers))),
        [number for number in numbers if number % len(DOMAINS) == domain],
        rng.sample(numbers, len(numbers) - 1),
    )
    picked = [number for number in rng.choice(extents) if number not in world.cut_off]
    picked = picked[: len(numbers) - 1 - len(world.cut_off)]
    world.cut_off.update(picked)
    return picked


def cut(world: SoakWorld, numbers: list[int], how: Cut) -> None:
    """Cut daemons off from all upstreams."""
    for link in world.upstream_links:
        for number in numbers:
            link.cut(number, how)


async def heal(world: SoakWorld, numbers: list[int]) -> None:
    """Let daemons reach the upstreams again."""
    for link in world.upstream_links:
        for number in numbers:
            await link.heal(number)


async def call_daemons(
    world: SoakWorld, numbers: list[int], rng: random.Random, seconds: float
) -> None:
    """Have callers use daemons that the directory may leave out."""
    async with asyncio.TaskGroup() as group:
        for number in numbers:
            front = world.daemons[number].ports.front
            own_rng = random.Random(rng.random())
            group.create_task(world.crowd.keep_calling(own_rng, front, seconds))


def build_injector(how: Cut) -> Injector:
    """Build what cuts daemons off in one way for some time."""

    async def inject(world: SoakWorld, fault: Fault) -> None:
        rng = random.Random(fault.target)
        numbers = pick_daemons(world, rng)
        calling = asyncio.create_task(call_daemons(world, numbers, rng, fault.seconds))
        since = world.now()
        cut(world, numbers, how)
        await asyncio.sleep(fault.seconds)
        world.note_cut(numbers, since)
        await heal(world, numbers)
        world.cut_off.difference_update(numbers)
        await calling

    return inject


for _how in Cut:
    register_fault(
        f"upstreams cut, {_how.value}", SHORTEST_SECONDS, LONGEST_SECONDS, chance=CHANCE
    )(build_injector(_how))


@register_fault("upstreams cut, flapping", SHORTEST_SECONDS, LONGEST_SECONDS, chance=CHANCE)
async def cut_flapping(world: SoakWorld, fault: Fault) -> None:
    """Have the links of daemons to all upstreams come and go."""
    rng = random.Random(fault.target)
    numbers = pick_daemons(world, rng)
    calling = asyncio.create_task(call_daemons(world, numbers, rng, fault.seconds))
    until = world.now() + fault.seconds
    while (now := world.now()) < until:
        cut(world, numbers, rng.choice(list(Cut)))
        await asyncio.sleep(min(rng.uniform(*FLAP_SECONDS), until - now))
        world.note_cut(numbers, now)
        await heal(world, numbers)
        await asyncio.sleep(rng.uniform(*FLAP_SECONDS))
    world.cut_off.difference_update(numbers)
    await calling
