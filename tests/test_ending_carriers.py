"""Carriers that are killed, or stopped, at any step of a request.

``python -m tests.test_ending_carriers EXAMPLES SEED`` plays further examples.
"""

import asyncio
import sys
from typing import NamedTuple

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from tanagertrail.testing import run_in_virtual_time
from tests.answer_utils import (
    MemoryConnection,
    MemoryUpstream,
    Reply,
    Script,
    Step,
    build_answer,
    build_chunk,
    build_events,
    build_refusal,
    build_stream_head,
)
from tests.carried_answer_utils import CarriedWorld

CI_EXAMPLES = 300
LAST_EVENT = 4
LATER_SECONDS = 3.0  # in which a request that was called not run could still run
PROMISES = (408, 421, 429, 503)  # statuses that tell a caller that the request was not run
REPEATABLE_PATHS = ("/look/1", "/talk/a/events")
PATHS = (*REPEATABLE_PATHS, "/book/1", "/once/a/events")
WHOLE_BODIES = (b"own answer", build_events(1, LAST_EVENT))


class End(NamedTuple):
    """The end of a carrier.

    :ivar how: killed, closed (its connections end in order) or stopped
    :ivar turns: turns of the event loop after which it begins
    :ivar delay: seconds after these
    :ivar grace: seconds that a stop leaves to requests in progress
    """

    how: str
    turns: int
    delay: float
    grace: float


ends = st.builds(
    End,
    st.sampled_from(["killed", "closed", "stopped"]),
    st.integers(0, 25),
    st.sampled_from([0.0, 0.0, 0.01, 0.05, 0.2]),
    st.sampled_from([0.0, 0.1, 1.0]),
)


class SlowUpstream(MemoryUpstream):
    """An upstream that answers some time after a request has arrived.

    :ivar pause: seconds before each part of an answer
    :ivar refuses: whether it refuses the next request
    """

    pause = 0.0
    refuses = False

    def take_script(self, connection: MemoryConnection, headers: dict[bytes, bytes]) -> Script:
        """Return the script of a whole answer."""
        parts = [build_answer()]
        if headers[b":path"].endswith(b"/events"):
            first = int(headers.get(b"last-event-id", b"0")) + 1
            events = [build_chunk(build_events(n, n)) for n in range(first, LAST_EVENT + 1)]
            parts = [build_stream_head(), *events, build_chunk(b"")]
        runs, self.refuses = not self.refuses, False
        if not runs:
            parts = [build_refusal()]
        self.scripts = [Script(tuple(Step(part, self.pause) for part in parts), runs)]
        return super().take_script(connection, headers)


class EndingWorld(CarriedWorld):
    """Two carriers, of which the one that gets the request first ends."""

    def __init__(self, pause: float, refuses: bool) -> None:
        super().__init__(2)
        self.add_carrier(self.build_node("entry-3"))
        self.front.dispatcher.carry_client.chooser.note_sent("entry-3")
        for name in self.upstreams:
            self.upstreams[name] = SlowUpstream(name)
            self.upstreams[name].pause = pause
            self.upstreams[name].refuses = refuses

    async def end_carrier(self, end: End) -> None:
        """End the first carrier."""
        for _ in range(end.turns):
            await asyncio.sleep(0)
        await asyncio.sleep(end.delay)
        address = next(address for address, node in self.carriers.items() if node is self.node)
        del self.carriers[address]
        self.node.carry_server.is_ready = lambda: False
        if end.how == "stopped":
            await self.node.carry_server.finish(self.node.loop.time() + end.grace)
            return
        for channel in self.hops:
            peer = channel.transport.peer
            if end.how == "killed" and not peer.closed:
                peer.closed = True
                peer.channel.connection_lost(ConnectionResetError("reset by peer"))
        self.node.close()


def check_reply(world: EndingWorld, path: str, reply: Reply) -> None:
    """Check that a request was answered once, truly refused, or ended in an unknown state."""
    assert not world.defects, world.defects
    assert len(world.runs) <= 1 or path in REPEATABLE_PATHS, "it ran twice"
    if reply.status in PROMISES:
        assert not world.runs, f"told {reply.status} though it ran"
    elif reply.status == 200:
        assert reply.body in WHOLE_BODIES or not reply.whole, "a false end"
        assert WHOLE_BODIES[path.endswith("/events")].startswith(reply.body)
    else:
        assert reply.status in (502, 504), reply


async def play(path: str, pause: float, refuses: bool, end: End) -> None:
    """Send a request under which a carrier ends, and check the reply."""
    world = EndingWorld(pause, refuses)
    ending = asyncio.create_task(world.end_carrier(end))
    try:
        reply = await world.fetch(path, b"" if path == "/look/1" else b"body")
        await asyncio.sleep(LATER_SECONDS)
        check_reply(world, path, reply)
        if end.how == "stopped" and end.grace == 1.0 and not refuses:
            assert (reply.status, reply.whole) == (200, True), "a stop with enough grace lost it"
        await ending
    finally:
        world.close()


DRAWS = st.sampled_from(PATHS), st.sampled_from([0.0, 0.01, 0.06]), st.booleans(), ends


def play_drawn(path, pause, refuses, end) -> None:
    """Play one drawn example in virtual time."""
    run_in_virtual_time(play(path, pause, refuses, end))


@settings(max_examples=CI_EXAMPLES, derandomize=True, deadline=None, database=None)
@given(*DRAWS)
def test_end_of_a_carrier_loses_a_request_or_makes_a_false_promise(path, pause, refuses, end):
    play_drawn(path, pause, refuses, end)


def main() -> None:
    """Play further examples."""
    examples, first_seed = int(sys.argv[1]), int(sys.argv[2])
    widened = settings(max_examples=examples, deadline=None, database=None)
    seed(first_seed)(widened(given(*DRAWS)(play_drawn)))()
    print(f"{examples} examples of seed {first_seed} kept all promises")


if __name__ == "__main__":
    main()
