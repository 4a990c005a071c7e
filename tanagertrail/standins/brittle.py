"""A stand-in of an upstream that falls over if it has to reject too many requests."""

__all__ = ["BrittleUpstream"]

import asyncio
import math
from collections import deque

from tanagertrail.gateway.http1 import CallerRequest, CallerStream, Headers
from tanagertrail.platform import header_fields
from tanagertrail.standins.base import BaseStandIn
from tanagertrail.standins.misbehaviour import FAULTS
from tanagertrail.standins.upstream import StandInUpstream

SLOTS = 8
QUEUE_ROOM = 4
FALLEN_SECONDS = 1.5
WORK_SECONDS = 0.2
COUNTED_SECONDS = 1.0  # in which rejections are counted


class BrittleUpstream(StandInUpstream):
    """Run a few requests at once, queue a few more and reject all others.

    :ivar queue_room: requests that may wait before it is fragile; none may afterwards
    :ivar fragile_at: event-loop time in seconds from which rejections count
    :ivar present: requests that run or wait
    :ivar rejected_at: event-loop time in seconds of each rejection
    :ivar falls: event-loop time in seconds of each fall
    """

    def __init__(self, upstream_id: str) -> None:
        super().__init__(upstream_id, WORK_SECONDS)
        self.queue_room = QUEUE_ROOM
        self.fragile_at = math.inf
        self.present = 0
        self.slots = asyncio.Semaphore(SLOTS)
        self.rejected_at: deque[float] = deque()
        self.rejected_count = 0
        self.falls: list[float] = []
        self.address = ("", 0)
        self.return_task: asyncio.Task | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        self.address = (host, port)
        await super().start(host, port)

    def close(self) -> None:
        """Stop listening, for good unless it is falling."""
        super().close()
        if self.return_task is not None:
            self.return_task.cancel()

    def become_brittle(self, rejection_limit: int, stability: float) -> None:
        """Say that it is brittle, and be it some seconds later."""
        self.brittle = str(rejection_limit)
        self.fragile_at = asyncio.get_running_loop().time() + stability

    @property
    def is_fragile(self) -> bool:
        """Whether rejections may make it fall."""
        return self.brittle is not None and asyncio.get_running_loop().time() >= self.fragile_at

    def sign(self, request: CallerRequest) -> Headers:
        """Build the header of an answer with the load."""
        running = min(self.present, SLOTS)
        load = f"{running},{self.present - running},{SLOTS}".encode()
        fields = super().sign(request)
        return [field for field in fields if field[0] != header_fields.SERVER_LOAD] + [
            (header_fields.SERVER_LOAD, load)
        ]

    async def run(self, request: CallerRequest, stream: CallerStream) -> None:
        """Run a request when a slot is free, or reject it."""
        if self.present >= SLOTS + (0 if self.is_fragile else self.queue_room):
            await FAULTS.get("refuse")(self, request, stream)
            self.count_rejection()
            return
        self.present += 1
        try:
            async with self.slots:
                await super().run(request, stream)
        finally:
            self.present -= 1

    def count_rejection(self) -> None:
        """Count a rejection, and fall over if there were too many while it is brittle."""
        now = asyncio.get_running_loop().time()
        self.rejected_count += 1
        if not self.is_fragile:
            return
        self.rejected_at.append(now)
        while self.rejected_at[0] <= now - COUNTED_SECONDS:
            self.rejected_at.popleft()
        if len(self.rejected_at) > int(self.brittle):
            self.rejected_at.clear()
            self.falls.append(now)
            self.crash()
            self.return_task = asyncio.create_task(self.return_later())

    async def return_later(self) -> None:
        """Listen again after some time."""
        await asyncio.sleep(FALLEN_SECONDS)
        BaseStandIn.__init__(self, self.id)
        self.ended = False
        await self.start(*self.address)
