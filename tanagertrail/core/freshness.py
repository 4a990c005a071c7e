"""Checks that this daemon's view of the cluster is current before it accepts new work."""

__all__ = ["FreshnessMonitor"]

import asyncio
from collections.abc import Callable

from tanagertrail.core.context import NodeContext
from tanagertrail.core.sharing import SharedObjects
from tanagertrail.daemons.messages import Ping, Pong
from tanagertrail.errors import PlatformError

TICK_SECONDS = 0.25
PAUSE_THRESHOLD_SECONDS = 1.5
PARTITION_SECONDS = 4.0
CONFIRM_TIMEOUT_SECONDS = 0.5


class FreshnessMonitor:
    """Detects pauses of this process and partitions from both the store and the other daemons.

    After a pause, new work waits until a neighbour or the store has responded. A daemon that has
    heard from neither for ``PARTITION_SECONDS`` accepts no new work, unless it is the only one.

    :ivar stale: whether a pause was detected and the state has not been confirmed since
    :ivar ping_number: number of the last ping sent, by which late pongs are told apart
    :ivar pong_received: set when a neighbour has responded to the last ping
    :ivar has_peers: returns whether other daemons are known
    """

    def __init__(self, context: NodeContext, shared: SharedObjects) -> None:
        self.context = context
        self.shared = shared
        self.last_tick = context.now()
        self.stale = False
        self.ping_number = 0
        self.pong_received: asyncio.Event = asyncio.Event()
        self.has_peers: Callable[[], bool] = lambda: bool(context.neighbours)
        context.register_handler(Ping, self.receive_ping)
        context.register_handler(Pong, self.receive_pong)

    async def tick(self) -> None:
        """Check for a pause; called periodically, so that a longer gap shows one."""
        self.detect_pause()

    def detect_pause(self) -> None:
        """Mark the state as stale if the process has not run for ``PAUSE_THRESHOLD_SECONDS``."""
        now = self.context.now()
        if now - self.last_tick > PAUSE_THRESHOLD_SECONDS:
            self.stale = True
            self.context.recorder.record("pause_noticed", detail=f"{now - self.last_tick:.1f} s")
        self.last_tick = now

    @property
    def partitioned(self) -> bool:
        """Whether this daemon is partitioned from the store and from all other daemons."""
        if not self.has_peers():
            return False
        return self.context.now() - self.shared.last_contact_at > PARTITION_SECONDS

    async def check(self) -> bool:
        """Return whether new work may be accepted; state that is stale is confirmed first."""
        self.detect_pause()
        if not self.stale:
            return not self.partitioned
        if not self.has_peers() or await self.confirm_state():
            self.stale = False
        return not self.stale

    async def confirm_state(self) -> bool:
        """Fetch the current state from the neighbours, or from the store if none responds."""
        self.ping_number += 1
        self.pong_received.clear()
        self.context.send_to_neighbours(
            Ping(self.context.daemon, self.ping_number, self.shared.digest)
        )
        try:
            async with asyncio.timeout(CONFIRM_TIMEOUT_SECONDS):
                await self.pong_received.wait()
            return True
        except TimeoutError:
            self.context.recorder.count("confirmations_unanswered")
        try:
            async with asyncio.timeout(CONFIRM_TIMEOUT_SECONDS):
                await self.shared.load()
            return True
        except (PlatformError, TimeoutError):
            return False

    def receive_ping(self, sender: str, ping: Ping) -> None:
        """Reply with a pong, after sending all rows if the sender's digest differs."""
        if ping.digest != self.shared.digest:
            self.shared.send_all_rows(sender)
        self.context.send(sender, Pong(self.context.daemon, ping.number))

    def receive_pong(self, sender: str, pong: Pong) -> None:
        """Handle a neighbour's response; a response to an earlier ping is ignored."""
        if pong.number == self.ping_number:
            self.shared.last_contact_at = self.context.now()
            self.pong_received.set()
