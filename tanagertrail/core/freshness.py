"""Whether this daemon knows what is in force, checked before it takes new work."""

__all__ = ["FreshnessMonitor"]

import asyncio
from collections.abc import Callable

from tanagertrail.core.context import NodeContext
from tanagertrail.core.sharing import SharedObjects
from tanagertrail.daemons.messages import Ping, Pong
from tanagertrail.errors import PlatformError

TICK_SECONDS = 0.25
PAUSE_SECONDS = 1.5
CUT_SECONDS = 4.0
CONFIRM_SECONDS = 0.5


class FreshnessMonitor:
    """Notice pauses of this daemon and cuts from both the store and the other daemons.

    After a pause new work waits until a neighbour or the store has answered. A daemon that has
    heard from neither for ``CUT_SECONDS`` takes no new work, unless it is the only one.
    """

    def __init__(self, context: NodeContext, shared: SharedObjects) -> None:
        self.context = context
        self.shared = shared
        self.last_tick = context.now()
        self.stale = False
        self.number = 0
        self.answered: asyncio.Event = asyncio.Event()
        self.has_peers: Callable[[], bool] = lambda: bool(context.neighbours)
        context.register_handler(Ping, self.receive_ping)
        context.register_handler(Pong, self.receive_pong)

    async def tick(self) -> None:
        """Note that this daemon runs."""
        self.note_time()

    def note_time(self) -> None:
        """Note a pause since the last tick."""
        now = self.context.now()
        if now - self.last_tick > PAUSE_SECONDS:
            self.stale = True
            self.context.recorder.record("pause_noticed", detail=f"{now - self.last_tick:.1f} s")
        self.last_tick = now

    @property
    def partitioned(self) -> bool:
        """Whether this daemon is cut from the store and from all others."""
        if not self.has_peers():
            return False
        return self.context.now() - self.shared.heard_at > CUT_SECONDS

    async def check(self) -> bool:
        """Say whether new work may be taken, after a confirmation if one is needed."""
        self.note_time()
        if not self.stale:
            return not self.partitioned
        if not self.has_peers() or await self.confirm():
            self.stale = False
        return not self.stale

    async def confirm(self) -> bool:
        """Ask the neighbours, then the store, what is in force."""
        self.number += 1
        self.answered.clear()
        self.context.send_to_neighbours(Ping(self.context.daemon, self.number, self.shared.digest))
        try:
            async with asyncio.timeout(CONFIRM_SECONDS):
                await self.answered.wait()
            return True
        except TimeoutError:
            self.context.recorder.count("confirmations_unanswered")
        try:
            async with asyncio.timeout(CONFIRM_SECONDS):
                await self.shared.load()
            return True
        except (PlatformError, TimeoutError):
            return False

    def receive_ping(self, sender: str, ping: Ping) -> None:
        """Answer with this daemon's digest, after the rows that the other may lack."""
        if ping.digest != self.shared.digest:
            self.shared.send_all(sender)
        self.context.send(sender, Pong(self.context.daemon, ping.number))

    def receive_pong(self, sender: str, pong: Pong) -> None:
        """Take the answer to the last question."""
        if pong.number == self.number:
            self.shared.heard_at = self.context.now()
            self.answered.set()
