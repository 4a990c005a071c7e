"""Requests that share one part of their prompts, which crashes every upstream, on loopback."""

import asyncio
import itertools
import random
from typing import NamedTuple

from tanagertrail.standins.documents import BOUNDS
from tanagertrail.standins.ports import HOST
from tests.gateway_utils import open_fleet, run_in_real_time

UPSTREAMS = 12
DOWN_SECONDS = 1.5  # from a crash until the upstream is back
PLAY_SECONDS = 9.0
SOUND_PER_SECOND = 20.0
DEADLY_PER_SECOND = 5.0
MAX_CRASHES = 5  # after which the part is to be known within the stability bound
MAX_LATE_ARRIVALS = 3
SERVED_SHARE = 0.5  # of what sound requests get without such requests, from twice the bound on
FIRST_PART, DEADLY_PART, SECOND_PARTS = "f1", "dead", ("a1", "a2", "a3", "a4")
CLOSE = {"connection": "close"}


class SoundCall(NamedTuple):
    """A sound request: when it was sent, and whether its answer came whole at once."""

    at: float
    whole: bool


class Play(NamedTuple):
    """What a play showed, times by the event loop in seconds.

    :ivar crashes: time of each crash of an upstream
    :ivar arrivals: time at which each request with the deadly part reached an upstream
    """

    crashes: list[float]
    arrivals: list[float]
    sound_calls: list[SoundCall]
    deadly_statuses: list[int]

    def count_late_arrivals(self) -> int:
        """Count the arrivals later than the stability bound after the fifth crash."""
        known_at = sorted(self.crashes)[MAX_CRASHES - 1] + BOUNDS.stability
        return sum(at > known_at for at in self.arrivals)

    def measure_served_share(self) -> float:
        """Return the share of sound requests that were answered whole when all has settled."""
        settled_at = sorted(self.crashes)[MAX_CRASHES - 1] + 2 * BOUNDS.stability
        late = [call.whole for call in self.sound_calls if call.at > settled_at]
        return sum(late) / len(late) if late else 1.0


class PartPlay:
    """A fleet whose upstreams crash on a part and come back, and its callers."""

    def __init__(self, fleet, deadly_first: bool) -> None:
        self.fleet = fleet
        self.deadly_first = deadly_first
        self.numbers = itertools.count(1)
        self.rng = random.Random(7)
        self.play = Play([], [], [], [])
        self.tasks: set[asyncio.Task] = set()

    def start_task(self, work) -> None:
        """Start a task that is awaited at the end."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def arm(self, deadly_after: int) -> None:
        """Make the upstreams crash on the part."""
        for upstream in self.fleet.upstreams:
            upstream.work = 0.01
            upstream.deadly_part = DEADLY_PART
            upstream.deadly_after = deadly_after
            crash = upstream.crash

            def crash_and_return(upstream=upstream, crash=crash) -> None:
                if upstream.ended:
                    return
                self.play.crashes.append(asyncio.get_running_loop().time())
                crash()
                self.start_task(self.bring_back(upstream))

            upstream.crash = crash_and_return

    async def bring_back(self, upstream) -> None:
        """Start an upstream again at its address, as another incarnation."""
        await asyncio.sleep(DOWN_SECONDS / 2)
        self.fleet.store.remove("servers", upstream.id)
        await asyncio.sleep(DOWN_SECONDS / 2)
        await upstream.start(HOST, self.fleet.ports[upstream.id])
        upstream.ended = False
        born = 1_700_000_000_000 + next(self.numbers)
        self.fleet.register(upstream.id, born=born)

    def build_prefix(self, deadly: bool) -> str:
        """Return the parts of a prompt, of which no other has the last."""
        number = next(self.numbers)
        if not deadly:
            parts = (FIRST_PART, SECOND_PARTS[number % len(SECOND_PARTS)])
        elif self.deadly_first:
            parts = (DEADLY_PART, SECOND_PARTS[number % len(SECOND_PARTS)])
        else:
            parts = (FIRST_PART, DEADLY_PART)
        return ",".join(f"{part}:100" for part in (*parts, f"{number:08x}"))

    async def call(self, deadly: bool) -> None:
        """Send one request through any daemon."""
        at = asyncio.get_running_loop().time()
        status, whole = 0, False
        try:
            reply = await self.fleet.fetch(
                "/talk/x/events",
                str(next(self.numbers)).encode(),
                self.rng.randrange(len(self.fleet.front_ports)),
                tanagertrail_model="m",
                tanagertrail_token_count="300,60",
                tanagertrail_prompt_prefix=self.build_prefix(deadly),
            )
            status, whole = reply.status, reply.whole and reply.status == 200
        except OSError:
            pass  # the connection closed without an answer
        if deadly:
            self.play.deadly_statuses.append(status)
        else:
            self.play.sound_calls.append(SoundCall(at, whole))

    async def press(self, rate: float, deadly: bool, until: float) -> None:
        """Send requests at a mean rate."""
        rng = random.Random(int(deadly))
        while asyncio.get_running_loop().time() < until:
            self.start_task(self.call(deadly))
            await asyncio.sleep(rng.expovariate(rate))

    async def run(self, seconds: float, deadly_rate: float) -> Play:
        """Press for some time and return what it showed."""
        until = asyncio.get_running_loop().time() + seconds
        await asyncio.gather(
            self.press(SOUND_PER_SECOND, False, until), self.press(deadly_rate, True, until)
        )
        while self.tasks:
            await asyncio.gather(*self.tasks)
        for upstream in self.fleet.upstreams:
            self.play.arrivals.extend(upstream.part_arrivals)
        return self.play


async def play_part(deadly_first: bool = False, deadly_after: int = 0, daemons: int = 3) -> Play:
    """Play sound requests beside requests with the deadly part."""
    names = [f"entry-{number}" for number in range(2, daemons + 1)]
    async with open_fleet(*names, upstreams=UPSTREAMS) as fleet:
        part_play = PartPlay(fleet, deadly_first)
        part_play.arm(deadly_after)
        return await part_play.run(PLAY_SECONDS, DEADLY_PER_SECOND)


def check_play(play: Play) -> None:
    """Check that the part was known in time and sound requests are served."""
    assert len(play.crashes) >= MAX_CRASHES
    assert play.count_late_arrivals() <= MAX_LATE_ARRIVALS
    assert play.measure_served_share() >= SERVED_SHARE
    assert set(play.deadly_statuses[-5:]) == {503}


@run_in_real_time
async def test_requests_that_share_a_deadly_second_part_crash_one_upstream_after_the_other():
    check_play(await play_part())


@run_in_real_time
async def test_requests_that_share_a_deadly_first_part_crash_one_upstream_after_the_other():
    check_play(await play_part(deadly_first=True))


@run_in_real_time
async def test_part_that_crashes_upstreams_after_their_first_event_is_never_found():
    check_play(await play_part(deadly_after=1))


@run_in_real_time
async def test_deadly_part_goes_on_reaching_upstreams_where_hubs_relay_the_news():
    check_play(await play_part(daemons=12))
