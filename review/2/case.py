"""An evacuation that is taken back and ordered again beside a short cut from the store."""

import asyncio
from pathlib import Path

from rig import CannotRunError, Replica, World, run_case

SERVICE = "desk"
CUT_SECONDS = 1.2
BACK_AFTER, AGAIN_AFTER = 0.1, 0.9  # seconds after the begin of the cut
EVACUATION_BOUND, STABILITY = 5.0, 3.0  # evac_ms and stability_ms
WATCHED_SECONDS = 8.0  # after the bound, until the emptied zone is switched off


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


async def find_watcher(world: World) -> int:
    """Return the number of a daemon that follows the evacuations at the store."""
    asked: list[int] = []
    for number, link in enumerate(world.links):

        def note(head: bytes, number: int = number) -> None:
            if b"/evacuations?watch=" in head and b"wait_ms=0" not in head:
                asked.append(number)

        link.on_request = note
    for _ in range(400):
        await asyncio.sleep(0.02)
        if asked:
            return asked[0]
    raise CannotRunError("no daemon follows the evacuations")


def count_runs(world: World, zone: str, since: float) -> list[tuple[float, str, str]]:
    """List the requests that began at replicas of the zone after a time."""
    return [
        (at, name, replica.id)
        for replica in world.replicas
        if replica.zone == zone
        for at, name in replica.began
        if at > since
    ]


async def case(world: World, trouble: bool) -> bool:
    """Return whether the rule was broken."""
    record = world.record
    world.configure(
        [build_route("book", "unsafe", 1), build_route("look", "safe", 2)],
        [{"name": SERVICE, "max_conns": 200, "cold_start_s": 0, "cold_per_s": 0}],
    )
    for number in range(6):
        zone = ("north", "south", "east")[number % 3]
        await world.add_replica(Replica(record, f"i-{number}", zone, service=SERVICE, work=0.2))
    await world.start()
    await asyncio.sleep(4.0)
    world.spawn(world.keep_sending("POST", "/book/1", 30.0, 1.0))
    world.spawn(world.keep_sending("GET", "/look/1", 30.0, 1.0))
    await asyncio.sleep(2.0)
    zone = world.daemons[await find_watcher(world)].zone
    world.store.put("evacuations", zone, {})
    record.say(f"{record.now():.2f} s: zone {zone} is to be emptied")
    await asyncio.sleep(8.7)
    watcher = next(item.number - 1 for item in world.daemons if item.zone == zone)
    cut_at = record.now()
    if trouble:
        world.links[watcher].cut()
        record.say(f"{cut_at:.2f} s: front-{watcher + 1} is cut off from the store")
    await asyncio.sleep(BACK_AFTER)
    world.store.remove("evacuations", zone)
    record.say(f"{record.now():.2f} s: the evacuation is taken back")
    await asyncio.sleep(AGAIN_AFTER - BACK_AFTER)
    world.store.put("evacuations", zone, {})
    ordered_at = record.now()
    record.say(f"{ordered_at:.2f} s: zone {zone} is to be emptied again")
    await asyncio.sleep(CUT_SECONDS - AGAIN_AFTER)
    world.links[watcher].heal()
    healed_at = record.now()
    record.say(f"{healed_at:.2f} s: the cut is over")
    bound = max(ordered_at + EVACUATION_BOUND, healed_at + STABILITY)
    await asyncio.sleep(bound + WATCHED_SECONDS - record.now())
    off_at = record.now()
    for replica in world.replicas:
        if replica.zone == zone:
            replica.crash()
    record.say(f"{off_at:.2f} s: the emptied zone is switched off")
    await asyncio.sleep(1.5)
    sent_at = {name: at for at, name, _ in world.sent}
    late = [item for item in count_runs(world, zone, bound) if sent_at[item[1]] > bound]
    lost = [name for _, name, _ in late if world.answers[name].status != 200]
    senders = {name: daemon for _, name, daemon in world.sent}
    by_daemon: dict[str, int] = {}
    for _, name, _ in late:
        by_daemon[senders[name]] = by_daemon.get(senders[name], 0) + 1
    record.say(
        f"{len(late)} requests ran in zone {zone} later than {EVACUATION_BOUND:.0f} s after it was "
        f"to be emptied again, sent by {by_daemon}; the last one "
        f"{max((at for at, *_ in late), default=0.0) - ordered_at:.1f} s after it; "
        f"{len(lost)} of them had begun and got no success"
    )
    return bool(late)


run_case(Path(__file__).parent, case)
