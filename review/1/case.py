"""A second roll-out order of a service, after the first one was completed."""

import asyncio
from pathlib import Path

from rig import CannotRunError, Replica, World, run_case

SERVICE = "desk"
FIRST_SECONDS, SECOND_SECONDS = 12.0, 15.0
DRAIN_AFTER = 3.0  # seconds, "some" on the pages
SHARE, SLACK = 0.1, 50  # expose_share and expose_slack


def build_route(name: str, kind: str, attempts: int) -> dict:
    """Return a route."""
    return {
        "name": name,
        "host": "desk.example",
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 2000,
        "slo_ms": 200,
        "priority": 1,
        "service": SERVICE,
        "attempts": attempts,
    }


def order(world: World, target: str, seconds: float) -> None:
    """Write a roll-out order, as the operator does: it replaces the spec of an earlier one."""
    spec = {"service": SERVICE, "target": target, "duration_s": seconds}
    world.store.put("rollouts", SERVICE, spec)
    world.record.say(f"{world.record.now():.2f} s: the operator orders {target} in {seconds} s")


def read_state(world: World, target: str) -> str:
    """Return the state that the system has written for a target."""
    status = world.store.objects["rollouts"][SERVICE]["status"] or {}
    return status.get("state", "") if status.get("target") == target else ""


async def add_version(world: World, version: str, bad_share: float = 0.0) -> None:
    """Start four replicas of a version beside the old ones."""
    for number in range(4):
        replica = Replica(
            world.record,
            f"i-{version}-{number}",
            ("north", "south")[number % 2],
            service=SERVICE,
            version=version,
            bad_share=bad_share,
        )
        await world.add_replica(replica)


async def follow(world: World, old: str, target: str, seconds: float) -> None:
    """Do as the platform does: at ``completed`` the old replicas stop, without draining."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    state = ""
    while loop.time() < end:
        await asyncio.sleep(0.01)
        if read_state(world, target) in ("", state):
            continue
        state = read_state(world, target)
        world.record.say(f"{world.record.now():.2f} s: {target} is reported as {state}")
        if state == "completed":
            for replica in world.replicas:
                if replica.version == old and not replica.ended:
                    replica.crash()
                    world.store.remove("servers", replica.id)
        elif state == "rolled_back":
            world.spawn(drain_version(world, target))


async def drain_version(world: World, version: str) -> None:
    """Do as the platform does: some seconds after ``rolled_back`` the new replicas drain."""
    await asyncio.sleep(DRAIN_AFTER)
    for replica in world.replicas:
        if replica.version == version:
            world.store.put("servers", replica.id, replica.build_entry(state="draining"))


async def case(world: World, trouble: bool) -> bool:
    """Return whether the rule was broken."""
    record = world.record
    world.configure(
        [build_route("book", "unsafe", 1), build_route("look", "safe", 2)],
        [{"name": SERVICE, "max_conns": 200, "cold_start_s": 0, "cold_per_s": 0}],
    )
    await add_version(world, "v1")
    await world.start()
    await asyncio.sleep(3.0)
    world.spawn(world.keep_sending("POST", "/book/1", 40.0, 1.0))
    world.spawn(world.keep_sending("GET", "/look/1", 40.0, 1.0))
    await asyncio.sleep(4.0)
    old = "v1"
    if trouble:
        order(world, "v2", FIRST_SECONDS)
        await add_version(world, "v2")
        await follow(world, "v1", "v2", FIRST_SECONDS)
        if read_state(world, "v2") != "completed":
            raise CannotRunError("the first roll-out was not completed")
        old = "v2"
        await asyncio.sleep(6.0)
    ordered_at = record.now()
    order(world, "v3", SECOND_SECONDS)
    await add_version(world, "v3", bad_share=0.5)
    await follow(world, old, "v3", SECOND_SECONDS)
    # What clients sent or what reached the service, whichever is more.
    sent = sum(ordered_at <= at for at, *_ in world.sent)
    arrived = sum(at >= ordered_at for replica in world.replicas for at, _ in replica.began)
    requests = max(sent, arrived)
    new = [replica for replica in world.replicas if replica.version == "v3"]
    got = sum(len(replica.began) for replica in new)
    failed = sum(
        world.answers[name].status != 200
        for at, name, _ in world.sent
        if at >= ordered_at and name in world.answers
    )
    allowed = SHARE * requests + SLACK
    record.say(
        f"{sent} requests sent from the order to its deadline, {arrived} reached the service; the "
        f"bad version v3 got {got}, "
        f"allowed {allowed:.0f}; {failed} had no success; "
        f"the state at the deadline: {read_state(world, 'v3')!r}"
    )
    return got > allowed


run_case(Path(__file__).parent, case)
