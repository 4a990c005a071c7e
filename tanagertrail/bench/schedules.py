"""Experiment: guarded calls under seeded schedules of faults, resends and lost daemons."""

__all__ = ["ScheduleResult", "run_schedules"]

import asyncio
import random
from dataclasses import dataclass, field
from typing import NamedTuple

from tanagertrail.core.at_most_once_calls import AtMostOnceCallHandler
from tanagertrail.core.context import NodeContext
from tanagertrail.core.members import MembershipManager
from tanagertrail.core.requests import CallerRequest
from tanagertrail.core.sharing import SharedObjects
from tanagertrail.daemons.transport import MemoryNetwork
from tanagertrail.objectapi.instances import MemoryInstanceList
from tanagertrail.objectapi.objects import MemoryObjectStore
from tanagertrail.outcomes import Answered, NotRun, Outcome, Step, Unknown
from tanagertrail.policy.membership import Member
from tanagertrail.timeline.events import Recorder

DAEMONS = ("entry-1", "entry-2", "entry-3")
RESENDS = 4
CALL_SECONDS = 0.3
GAP_SECONDS = 0.6
OUTAGE_SECONDS = 1.0
SETTLE_SECONDS = 4.0


class ScheduleResult(NamedTuple):
    """Counts over all schedules.

    :ivar doubles: calls that were made more than once
    :ivar untrue: refusals of a try that was made
    :ivar denied: made calls whose key was later refused as never made
    """

    schedules: int
    tries: int
    made: int
    doubles: int
    untrue: int
    denied: int
    answered: int
    not_run: int
    unknown: int


@dataclass
class FakeServer:
    """A request path that makes calls and returns outcomes at random.

    :ivar made: tries that were made, by request id
    """

    rng: random.Random
    made: list[str] = field(default_factory=list)

    def probe(self, step: Step, request: CallerRequest) -> None:
        """Ignore the steps."""

    async def serve(self, request: CallerRequest) -> Outcome:
        """Make the call, or not, and say what is known of it."""
        await asyncio.sleep(self.rng.random() * CALL_SECONDS)
        chance = self.rng.random()
        if chance < 0.2:
            return NotRun(Step.DISPATCH, "desk-1", "not reached")
        if chance < 0.3:
            return Unknown(Step.HEAD, "desk-1", "lost before it ran")
        self.made.append(request.request_id)
        if chance < 0.45:
            return Unknown(Step.HEAD, "desk-1", "answer lost")
        await asyncio.sleep(self.rng.random() * CALL_SECONDS)
        return Answered("desk-1", body=request.request_id.encode())


class Schedule:
    """One schedule: three daemons, one key, several tries, faults in between."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.store = MemoryObjectStore()
        self.network = MemoryNetwork()
        self.server = FakeServer(self.rng)
        self.tries: list[tuple[str, Outcome]] = []
        self.keepers = {name: self.build_keeper(name) for name in DAEMONS}

    def build_keeper(self, name: str) -> AtMostOnceCallHandler:
        """Build the call keeper of one daemon that knows the others."""
        transport = self.network.connect(name)
        context = NodeContext(name, "d", self.store.connect(name), transport, Recorder(name))
        context.incarnation = 1
        members = MembershipManager(context, SharedObjects(context), MemoryInstanceList())
        for other in DAEMONS:
            members.membership.add(Member(other, 1, "", "", "d"), 0.0)
        return AtMostOnceCallHandler(context, members, self.server)

    def build_try(self, number: int) -> CallerRequest:
        """Build one try of the call, under the same key."""
        deadline = asyncio.get_running_loop().time() + 60.0
        return CallerRequest(
            f"try-{number}",
            "desk",
            "POST",
            "/bookings",
            b"{}",
            deadline,
            idempotency_key="k",
            repeatable=False,
        )

    async def run(self) -> None:
        """Run the schedule."""
        faults = asyncio.create_task(self.inject())
        tries = []
        for number in range(RESENDS):
            name = self.rng.choice(DAEMONS)
            tries.append(asyncio.create_task(self.try_once(name, number)))
            if self.rng.random() < 0.25:
                self.lose_later(tries[-1], name)
            await asyncio.sleep(self.rng.random() * GAP_SECONDS)
        await asyncio.gather(*tries, return_exceptions=True)
        await faults
        for _ in range(round(SETTLE_SECONDS)):
            for keeper in self.keepers.values():
                await keeper.repair()
            await asyncio.sleep(1.0)
        await self.try_once(self.rng.choice(list(self.keepers)), RESENDS)

    def lose_later(self, task: asyncio.Task, name: str) -> None:
        """Lose the daemon of a try after a moment, with all that it has not written."""
        if len(self.keepers) == 1 or name not in self.keepers:
            return
        del self.keepers[name]
        loop = asyncio.get_running_loop()
        loop.call_later(self.rng.random() * CALL_SECONDS, task.cancel)
        for keeper in self.keepers.values():
            keeper.members.membership.remove(name)

    async def try_once(self, name: str, number: int) -> None:
        """Send the call through a daemon; a lost daemon's callers go to another."""
        keeper = self.keepers.get(name) or next(iter(self.keepers.values()))
        request = self.build_try(number)
        outcome = await keeper.serve(request)
        self.tries.append((request.request_id, outcome))

    async def inject(self) -> None:
        """Inject store faults at random times."""
        for _ in range(3):
            await asyncio.sleep(self.rng.random() * GAP_SECONDS)
            kind = self.rng.randrange(4)
            if kind == 0:
                self.store.faults.lose_answers += 1
            elif kind == 1:
                self.store.faults.outage = True
                await asyncio.sleep(self.rng.random() * OUTAGE_SECONDS)
                self.store.faults.outage = False
            elif kind == 2:
                self.store.faults.latency = self.rng.random() * 0.5
        self.store.faults.latency = 0.0


def add_schedule(total: list[int], schedule: Schedule) -> None:
    """Add the counts of a schedule."""
    made = set(schedule.server.made)
    last = schedule.tries[-1][1] if schedule.tries else None
    total[0] += len(schedule.tries)
    total[1] += bool(made)
    total[2] += len(schedule.server.made) > 1
    refused = {name for name, outcome in schedule.tries if isinstance(outcome, NotRun)}
    total[3] += len(refused & made)
    total[4] += bool(made) and isinstance(last, NotRun)
    for index, kind in enumerate((Answered, NotRun, Unknown)):
        total[5 + index] += sum(isinstance(outcome, kind) for _, outcome in schedule.tries)


async def run_schedules(count: int, first_seed: int = 0) -> ScheduleResult:
    """Run schedules with consecutive seeds and count what they broke."""
    total = [0] * 8
    for seed in range(first_seed, first_seed + count):
        schedule = Schedule(seed)
        await schedule.run()
        add_schedule(total, schedule)
    return ScheduleResult(count, *total)
