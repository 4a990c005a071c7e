"""Histories of one caller's connection, in which no request before the close goes unanswered."""

import asyncio
import re

from hypothesis import event, given, settings
from hypothesis import strategies as st

from tanagertrail.gateway.http_server import LAST_ARRIVALS_SECONDS
from tanagertrail.testing import run_in_virtual_time
from tests.caller_utils import REQUEST, CallerWorld, turn_loop

PART_BYTES = 9
STOP_SECONDS = 2.0
SETTLE_SECONDS = 100.0
TURNS = st.integers(0, 4)
STEPS = st.one_of(
    st.tuples(st.just("send"), TURNS),
    st.tuples(st.just("send_with_timer"), TURNS),
    st.tuples(st.just("send_part"), TURNS),
    st.tuples(st.just("sleep"), st.sampled_from([0.0, 0.3, 1.0, 2.0, 12.0, 16.0])),
    st.tuples(st.just("turn"), TURNS),
    st.tuples(st.just("limit"), st.sampled_from([0.5, 1.0, 15.0])),
    st.tuples(st.just("work"), st.sampled_from([0.0, 0.2, 5.0])),
    st.tuples(st.just("stop"), TURNS),
    st.tuples(st.just("leave"), TURNS),
)


class History:
    """A connection on which steps are played.

    The caller begins no request once it was told of the close.

    :ivar begun: requests that were begun
    :ivar owed: requests that had come whole before the server closed
    :ivar rest: what the last request lacks
    """

    def __init__(self) -> None:
        self.world = CallerWorld()
        self.transport = self.world.connect()
        self.begun = 0
        self.owed = 0
        self.rest = b""
        self.tasks: list[asyncio.Task] = []

    async def play(self, steps) -> None:
        """Play the steps, and wait until nothing more can happen."""
        for name, value in steps:
            await getattr(self, name)(value)
        await asyncio.sleep(SETTLE_SECONDS)

    @property
    def open(self) -> bool:
        """Whether bytes of the caller still arrive before a close."""
        transport = self.transport
        return not (transport.is_peer_closed or transport.half_closed or transport.is_closing())

    @property
    def statuses(self) -> list[bytes]:
        """The statuses of the responses so far."""
        return re.findall(rb"HTTP/1\.1 (\d+) ", self.transport.sent)

    def arrive(self, turns: int, size: int | None = None) -> None:
        """Send a request or what it lacks; it is delivered some turns of the loop later."""
        if not self.open:
            return
        if not self.rest:
            if b"connection: close" in self.transport.sent.lower():
                return
            self.rest = REQUEST % self.begun
            self.begun += 1
        part, self.rest = self.rest[:size], self.rest[size:] if size else b""
        self.transport.send(part)
        self.owed += not self.rest
        self.transport.deliver_after(turns)

    async def send(self, turns: int) -> None:
        """Send a request or what it lacks."""
        self.arrive(turns)

    async def send_part(self, turns: int) -> None:
        """Send a part of a request."""
        self.arrive(turns, PART_BYTES)

    async def send_with_timer(self, turns: int) -> None:
        """Send a request in the turn of the loop in which the idle timer ends."""
        timers = [stream.idle_wait.timer for stream in self.world.server.streams]
        if timers and timers[0] is not None:
            loop = asyncio.get_running_loop()
            loop.call_at(timers[0].when(), self.arrive, turns)
            await asyncio.sleep(max(timers[0].when() - loop.time(), 0.0))

    async def sleep(self, seconds: float) -> None:
        """Let time pass."""
        await asyncio.sleep(seconds)

    async def turn(self, turns: int) -> None:
        """Let the event loop turn."""
        await turn_loop(turns)

    async def limit(self, seconds: float) -> None:
        """Change the idle timeout."""
        self.world.set_idle_limit(seconds)

    async def work(self, seconds: float) -> None:
        """Change the time that a request takes."""
        self.world.work = seconds

    async def stop(self, turns: int) -> None:
        """Begin a planned stop, and send a request as idle connections close."""
        if not self.tasks:
            loop = asyncio.get_running_loop()
            loop.call_later(LAST_ARRIVALS_SECONDS, self.arrive, turns)
            deadline = loop.time() + STOP_SECONDS
            self.tasks.append(asyncio.create_task(self.world.server.finish(deadline)))

    async def leave(self, turns: int) -> None:
        """Close the connection as the caller."""
        if self.open:
            self.transport.end()
            self.transport.deliver_after(turns)


async def play_history(steps) -> History:
    """Play a history and return it."""
    history = History()
    try:
        await history.play(steps)
    finally:
        history.world.close()
    return history


@given(st.lists(STEPS, max_size=14))
@settings(max_examples=300, derandomize=True, deadline=None, database=None)
def test_request_that_arrives_before_the_close_is_answered(steps):
    history = run_in_virtual_time(play_history(steps))
    assert not [line for line in history.world.lines if line["event"] == "defect"]
    succeeded = history.statuses.count(b"200")
    bodies = re.findall(rb"\r\n\r\n/(\d+)", history.transport.sent)
    assert bodies == [b"%d" % number for number in range(succeeded)]
    if history.transport.is_peer_closed:
        event("the caller left")
        return
    assert history.transport.closed_at is not None
    if succeeded < len(history.statuses):  # an error closes, and nothing behind it is owed
        event("an error")
        assert len(history.statuses) == succeeded + 1
        assert history.owed == succeeded or history.statuses[-1] == b"504"
    else:
        event(f"{history.owed} answered")
        assert succeeded == history.owed
