"""A request that crashes replicas, and kills of all gateways a second after each crash."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path
from typing import NamedTuple

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig_2 import (  # noqa: E402
    BOUNDS,
    HOST,
    ZONES,
    Record,
    Replica,
    World,
    build_route,
    call,
    find_port,
    run_script,
)

from tanagertrail.standins.cloud import StandInCloud  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GATEWAYS = 3
REPLICAS = 6
DEADLY = b"deadly body"
ROUNDS = 8
KILL_AFTER_SECONDS = 1.0  # after a crash
DOWN_SECONDS = 0.5
BACK_SECONDS = 2.0  # until a crashed replica is back
WORK_SECONDS = 0.2
BOOKING_GAP_SECONDS = 0.02
IN_TOUCH_SECONDS = BOUNDS["stability_ms"] / 1000
MOST_CRASHES, MOST_RETRIES = 3, 3


class Booking(NamedTuple):
    """A booking of another client, with the seconds since the start at which it was sent."""

    request_id: str
    at: float
    status: int


class FragileReplica(Replica):
    """A replica that crashes as it begins to run the deadly request, and is back after some time.

    :ivar crashes: seconds since the start of each crash, and the request that it began to run
    """

    def __init__(self, name: str, zone: str, world: World) -> None:
        super().__init__(name, "desk", zone, WORK_SECONDS, 16)
        self.world = world
        self.deadly = DEADLY
        self.crashes: list[tuple[float, str]] = []
        self.revival: asyncio.Task | None = None

    async def appear(self) -> None:
        """Listen and write the entry of a new incarnation."""
        await self.start(HOST, self.port)
        self.ended = False
        self.born = int(time.time() * 1000)
        self.register(self.world.store)

    def crash(self) -> None:
        """End at once and come back later."""
        super().crash()
        request_id = self.runs[-1].request_id
        self.crashes.append((self.world.record.now(), request_id))
        self.world.record.note(f"{self.id} crashes on {request_id}")
        self.revival = asyncio.create_task(self.revive())

    async def revive(self) -> None:
        """Come back as a new incarnation."""
        await asyncio.sleep(BACK_SECONDS)
        await self.appear()


def build_request(request_id: str, thing: str, body: bytes) -> bytes:
    """Build a booking."""
    head = (
        f"POST /book/{thing} HTTP/1.1\r\nHost: desk.example\r\n"
        f"Tanagertrail-Request-Id: {request_id}\r\nTanagertrail-Deadline-Ms: 1500\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def book(world: World, number: int, bookings: list[Booking]) -> None:
    """Send bookings of others to one gateway, also while it is down."""
    count = 0
    while True:
        count += 1
        request_id, at = f"b-{number}-{count}", world.record.now()
        try:
            request = build_request(request_id, request_id, b"booking")
            status = (await call(world.gateways[number].front, request, 3.0)).status
        except (OSError, TimeoutError):
            status = 0
        bookings.append(Booking(request_id, at, status))
        await asyncio.sleep(BOOKING_GAP_SECONDS)


async def kill_all(world: World) -> None:
    """Kill all gateways at the same moment, and start them again."""
    world.record.note("all gateways are killed")
    for gateway in world.gateways:
        gateway.signal(signal.SIGKILL)
    for gateway in world.gateways:
        await gateway.process.wait()
    await asyncio.sleep(DOWN_SECONDS)
    for gateway in world.gateways:
        await gateway.start()
    for gateway in world.gateways:
        await gateway.await_ready()
    world.record.note("all gateways are ready again")


async def play(record: Record) -> int:
    """Send the deadly request again and again, and kill all gateways after each crash."""
    cloud, cloud_port = StandInCloud(), find_port()
    await cloud.start(HOST, cloud_port)
    world = World(record, cloud_port, GATEWAYS)
    bookings: list[Booking] = []
    sent: dict[str, float] = {}
    replicas = [
        FragileReplica(f"i-{number}", ZONES[number % len(ZONES)], world)
        for number in range(REPLICAS)
    ]
    clients: list[asyncio.Task] = []
    try:
        await world.start_store()
        route = build_route("book", "unsafe", "desk")
        document = {"version": 1, "routes": [route], "services": [{"name": "desk"}]}
        world.store.put("config", "main", document)
        for replica in replicas:
            await replica.appear()
        await world.start_gateways()
        clients = [asyncio.create_task(book(world, number, bookings)) for number in range(GATEWAYS)]
        for count in range(ROUNDS):
            await asyncio.sleep(IN_TOUCH_SECONDS + 0.5)
            request_id = f"deadly-{count}"
            sent[request_id] = record.now()
            front = world.gateways[count % GATEWAYS].front
            answer = await call(front, build_request(request_id, "deadly", DEADLY), 3.0)
            record.note(f"{request_id} sent at {sent[request_id]:.3f}: {answer.status}")
            await asyncio.sleep(KILL_AFTER_SECONDS)
            if TROUBLE:
                await kill_all(world)
    finally:
        for client in clients:
            client.cancel()
        for replica in replicas:
            if replica.revival is not None:
                replica.revival.cancel()
        await world.close()
        cloud.close()
        for replica in replicas:
            replica.close()
    return judge(record, replicas, sent, bookings)


def judge(
    record: Record,
    replicas: list[FragileReplica],
    sent: dict[str, float],
    bookings: list[Booking],
) -> int:
    """Count the retries that reached replicas later than the rule allows."""
    crashes = sorted(item for replica in replicas for item in replica.crashes)
    if len(crashes) < MOST_CRASHES:
        raise RuntimeError(f"only {len(crashes)} replicas crashed")
    third = crashes[MOST_CRASHES - 1][0]
    late = [name for _, name in crashes if sent[name] > third + IN_TOUCH_SECONDS]
    ran = {item.request_id: replica.id for replica in replicas for item in replica.runs}
    lost = [
        item
        for item in bookings
        if item.status == 502
        and item.request_id in ran
        and any(0 <= at - item.at <= WORK_SECONDS + 0.1 for at, _ in crashes)
    ]
    for item in lost:
        record.note(f"booking {item.request_id} of another client ran and got {item.status}")
    record.note(
        f"{len(crashes)} replicas crashed, {len(late)} of them in retries sent later than"
        f" {IN_TOUCH_SECONDS:.0f} s after the third crash ({MOST_RETRIES} are allowed);"
        f" {len(lost)} bookings of others that ran there were lost"
    )
    return 1 if len(late) > MOST_RETRIES else 0


if __name__ == "__main__":
    run_script(play, FOLDER)
