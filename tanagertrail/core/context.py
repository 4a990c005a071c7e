"""State shared by the components of a daemon: identity, store, peers, recorder and messaging."""

__all__ = ["NodeContext", "PeriodicTask"]

import asyncio
from collections import OrderedDict
from collections.abc import Awaitable, Callable

import logbook

from tanagertrail.daemons.frames import KIND_BY_TYPE
from tanagertrail.daemons.messages import MESSAGES, Flood, Message
from tanagertrail.daemons.transport import BasePeerTransport
from tanagertrail.errors import TanagertrailError
from tanagertrail.objectapi.objects import BaseObjectStore
from tanagertrail.policy.membership import build_holder
from tanagertrail.timeline.events import Recorder

log = logbook.Logger(__name__)

MAX_SEEN_FLOODS = 20_000

MessageHandler = Callable[[str, Message], None]


class NodeContext:
    """Identity, peers and shared services of one daemon.

    :ivar incarnation: number of this registration, 0 before the daemon has registered
    :ivar handlers: the handler of each type of message
    :ivar neighbours: the daemons to which flooded messages are forwarded
    :ivar seen_floods: origin and number of recent floods, oldest first, to drop duplicates
    """

    def __init__(
        self,
        daemon: str,
        failure_domain: str,
        store: BaseObjectStore,
        transport: BasePeerTransport,
        recorder: Recorder,
    ) -> None:
        self.daemon = daemon
        self.failure_domain = failure_domain
        self.incarnation = 0
        self.store = store
        self.transport = transport
        self.recorder = recorder
        self.handlers: dict[type, MessageHandler] = {}
        self.neighbours: list[str] = []
        self.last_flood_number = 0
        self.seen_floods: OrderedDict[tuple[str, int], None] = OrderedDict()
        transport.set_handler(self.receive)

    @property
    def holder(self) -> str:
        """Return the identifier of this daemon's current incarnation."""
        return build_holder(self.daemon, self.incarnation)

    def now(self) -> float:
        """Return the event-loop time in seconds."""
        return asyncio.get_running_loop().time()

    def register_handler(self, message_type: type, handler: MessageHandler) -> None:
        """Register the handler of a type of message."""
        self.handlers[message_type] = handler

    def send(self, daemon: str, message: Message) -> None:
        """Send a message to a daemon."""
        self.transport.send(daemon, message, self.recorder.stamp)

    def send_to_neighbours(self, message: Message, exclude: str = "") -> None:
        """Send a message to all neighbours except ``exclude``."""
        for neighbour in self.neighbours:
            if neighbour != exclude:
                self.send(neighbour, message)

    def flood(self, message: Message) -> None:
        """Broadcast a message to every daemon by flooding it through the neighbour graph."""
        self.last_flood_number += 1
        flood = Flood(
            self.holder, self.last_flood_number, KIND_BY_TYPE[type(message)], tuple(message)
        )
        self.mark_seen(flood)
        self.send_to_neighbours(flood)

    def receive(self, sender: str, message: Message, stamp: int) -> None:
        """Handle a message from another daemon; a malformed message is counted and dropped."""
        self.recorder.observe_stamp(stamp)
        try:
            if isinstance(message, Flood):
                self.receive_flood(sender, message)
            else:
                self.dispatch(sender, message)
        except (TypeError, ValueError, KeyError, TanagertrailError) as error:
            self.recorder.count("bad_messages")
            log.warning(
                "dropped invalid message {} from {}: {!r}", type(message).__name__, sender, error
            )

    def receive_flood(self, sender: str, flood: Flood) -> None:
        """Dispatch a flooded message and forward it, unless it was seen before."""
        if (flood.origin, flood.number) in self.seen_floods:
            return
        message = MESSAGES.get(flood.kind)._make(flood.fields)
        self.mark_seen(flood)
        self.send_to_neighbours(flood, exclude=sender)
        self.dispatch(sender, message)

    def mark_seen(self, flood: Flood) -> None:
        """Remember a flood as seen, and forget the oldest beyond ``MAX_SEEN_FLOODS``."""
        self.seen_floods[(flood.origin, flood.number)] = None
        while len(self.seen_floods) > MAX_SEEN_FLOODS:
            self.seen_floods.popitem(last=False)

    def dispatch(self, sender: str, message: Message) -> None:
        """Call the handler registered for the type of a message."""
        handler = self.handlers.get(type(message))
        if handler is None:
            self.recorder.count("unhandled_messages")
            return
        handler(sender, message)


class PeriodicTask:
    """Runs a step repeatedly; an expected error of the step is counted and never fatal.

    :ivar interval: seconds between the end of one run and the start of the next
    """

    def __init__(
        self, context: NodeContext, name: str, interval: float, step: Callable[[], Awaitable[None]]
    ) -> None:
        self.context = context
        self.name = name
        self.interval = interval
        self.step = step
        self.task = asyncio.create_task(self.run(), name=name)

    async def run(self) -> None:
        """Run the step, sleep for the interval, and repeat."""
        while True:
            try:
                await self.step()
            except TanagertrailError as error:
                self.context.recorder.count(f"{self.name}_failures")
                log.debug("periodic task {} failed: {}", self.name, error)
            await asyncio.sleep(self.interval)

    def cancel(self) -> None:
        """Stop the task."""
        self.task.cancel()
