"""Random sequences of answers, copies, cuts and odd bytes from upstreams.

``python -m tests.test_upstream_answers EXAMPLES SEED`` plays further ones.
"""

import asyncio
import sys
from typing import NamedTuple

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from tanagertrail.testing import run_in_virtual_time
from tests.answer_utils import (
    DEADLINE_SECONDS,
    MemoryConnection,
    MemoryUpstream,
    MemoryWorld,
    Reply,
    Script,
    Step,
    build_answer,
    build_chunk,
    build_events,
    build_refusal,
    build_stream_head,
)
from tests.carried_answer_utils import WORLDS

CI_EXAMPLES = 200
LAST_EVENT = 4
WHOLE_STREAM = build_events(1, LAST_EVENT)
PROMISES = (408, 421, 429, 503)
NAMED = b"tanagertrail-request-id: "
PATHS = ("/look/1", "/book/1", "/once/a/events", "/talk/a/events")
REPEATABLE_PATHS = ("/look/1", "/talk/a/events")
LAST_CHUNK = build_chunk(b"")
ODD_BYTES = (
    b"\r\n",
    b"x",
    b"\0\xff",
    b"HTTP/1.1 503 Service Unavailable\r\n",
    b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nodd",
    b"HTTP/1.1 200 OK\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 102 Processing\r\n" + NAMED + b"@other\r\n\r\n",
    b"HTTP/1.1 101 Switching Protocols\r\n\r\n",
    b"HTTP/1.0 200 OK\r\n\r\n",
    b"id: 3\ndata: odd\n\n",
    b"3\r\nodd\r\n",
    LAST_CHUNK,
    build_answer(b"other", request_id=b"@other"),
    build_answer(b"other", 500, request_id=b"@other"),
    build_answer(b"unnamed", request_id=None),
    build_answer(b"unsigned", signed=False),
    build_answer(b"twice", headers=[NAMED + b"@other"]),
    build_refusal(b"@other"),
)
UNNAMED_REFUSAL = build_refusal(None)


class Noise(NamedTuple):
    """Bytes beside an answer.

    :ivar place: where they stand: before, within or after it
    :ivar data: the bytes; None for a copy of an earlier answer on the connection. A refusal that
        names no request stands only on a connection that has carried another
    :ivar unnamed: whether the copy lacks the id of its request
    """

    place: str
    data: bytes | None
    unnamed: bool


class Plan(NamedTuple):
    """What an upstream does with a request.

    :ivar kind: what its own answer is
    :ivar piece_bytes: length of the pieces in which it is sent
    :ivar delay: seconds before each piece
    :ivar kept: share of the bytes that are sent before the connection ends, 1 for all
    """

    kind: str
    noise: list[Noise]
    piece_bytes: int
    delay: float
    kept: float


noises = st.builds(
    Noise,
    st.sampled_from(["before", "within", "after"]),
    st.one_of(
        st.none(),
        st.just(UNNAMED_REFUSAL),
        st.sampled_from(ODD_BYTES),
        st.binary(min_size=1, max_size=8),
    ),
    st.booleans(),
)
plans = st.builds(
    Plan,
    st.sampled_from(["answer", "answer", "answer", "refusal", "failure", "nothing"]),
    st.lists(noises, max_size=2),
    st.sampled_from([100_000, 1, 7, 40]),
    st.sampled_from([0.0, 0.001, 0.03]),
    st.sampled_from([1.0, 1.0, 1.0, 0.9, 0.5]),
)
CARRIED_WAYS = st.sampled_from(["carried", "own, then carried"])
requests = st.tuples(st.sampled_from(PATHS), st.sampled_from([0.02, 0.0, 0.6]))


class RandomUpstream(MemoryUpstream):
    """An upstream that carries out plans.

    :ivar plans: plans of the next requests
    :ivar failed: ids of the requests whose answer is a failure
    """

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.plans: list[Plan] = []
        self.failed: set[bytes] = set()

    def take_script(self, connection: MemoryConnection, headers: dict[bytes, bytes]) -> Script:
        """Return the script of the next plan."""
        plan = self.plans.pop(0) if self.plans else Plan("answer", [], 100_000, 0.0, 1.0)
        self.scripts = [self.build_script(plan, connection, headers)]
        return super().take_script(connection, headers)

    def build_script(
        self, plan: Plan, connection: MemoryConnection, headers: dict[bytes, bytes]
    ) -> Script:
        """Build the script of a plan."""
        parts = self.build_parts(plan.kind, headers)
        data = [self.build_noise(plan, "before", connection, headers)]
        for number, part in enumerate(parts):
            within = self.build_noise(plan, "within", connection, headers) if number == 1 else b""
            data += [within, part]
        data.append(self.build_noise(plan, "after", connection, headers))
        sent = b"".join(data)
        connection.answers.append(b"".join(parts))
        kept = sent[: int(len(sent) * plan.kept)]
        size = max(plan.piece_bytes, len(kept) // 50 + 1)
        steps = [Step(kept[at : at + size], plan.delay) for at in range(0, len(kept), size)]
        if plan.kept < 1.0:
            steps.append(Step(None, plan.delay))
        return Script(tuple(steps), plan.kind != "refusal")

    def build_parts(self, kind: str, headers: dict[bytes, bytes]) -> list[bytes]:
        """Build the parts of an own answer."""
        own = headers[b"tanagertrail-request-id"]
        if kind == "nothing":
            return []
        if kind == "refusal":
            return [build_refusal(own)]
        if kind == "failure":
            self.failed.add(own)
            return [build_answer(b"failure of " + own, 500, own)]
        if not headers[b":path"].endswith(b"/events"):
            return [build_answer(b"answer to " + own, request_id=own)]
        first = int(headers.get(b"last-event-id", b"0")) + 1
        events = [build_chunk(build_events(n, n)) for n in range(first, LAST_EVENT + 1)]
        return [build_stream_head(request_id=own), *events, build_chunk(b"")]

    def build_noise(
        self, plan: Plan, place: str, connection: MemoryConnection, headers: dict[bytes, bytes]
    ) -> bytes:
        """Build the noise of a place."""
        own = headers[b"tanagertrail-request-id"]
        copies = list(connection.answers)
        data = []
        for noise in plan.noise:
            # A stream that the upstream itself ends early cannot be told from a whole one.
            if noise.place != place or (place, noise.data) == ("within", LAST_CHUNK):
                continue
            if noise.data == UNNAMED_REFUSAL:
                data.append(UNNAMED_REFUSAL if copies else b"")
            elif noise.data is not None:
                data.append(noise.data.replace(b"@own", own))
            elif copies:
                copy = copies[len(plan.noise) % len(copies)]
                name = copy.partition(NAMED)[2].partition(b"\r\n")[0]
                data.append(copy.replace(NAMED + name + b"\r\n", b"") if noise.unnamed else copy)
        return b"".join(data)


def check_reply(world: MemoryWorld, request_id: bytes, path: str, reply: Reply) -> None:
    """Check that a caller got its own answer whole, or an honest failure."""
    assert not world.defects, world.defects
    ran = world.runs.count(request_id)
    assert ran <= 1 or path in REPEATABLE_PATHS, "it ran twice"
    assert ran <= 2, "it ran at more upstreams than its route allows"
    if reply.status in PROMISES:
        assert not ran, f"told {reply.status} though it ran"
    elif reply.status == 200:
        assert ran, "an answer to a request that did not run"
        stamp = reply.headers[b"tanagertrail-server-stamp"]
        assert stamp == b"stamp." + request_id, "the signature of another answer"
        check_body(request_id, path, reply)
    elif reply.status == 500:
        assert any(request_id in upstream.failed for upstream in world.upstreams.values())
        assert reply.body == b"failure of " + request_id
    else:
        assert reply.status in (502, 504), reply


def check_body(request_id: bytes, path: str, reply: Reply) -> None:
    """Check the body of a success."""
    if path.endswith("/events"):
        assert WHOLE_STREAM.startswith(reply.body), reply.body
        assert not reply.body or reply.body.endswith(b"\n\n"), reply.body
        assert not reply.whole or reply.body == WHOLE_STREAM, "a false end"
    else:
        assert (reply.body, reply.whole) == (b"answer to " + request_id, True)


async def play(sequence: list[tuple[str, float]], drawn: list[list[Plan]], way: str) -> None:
    """Play requests in turn before upstreams with plans, and check each reply."""
    world = WORLDS.get(way)(len(drawn))
    for name, own_plans in zip(list(world.upstreams), drawn, strict=True):
        world.upstreams[name] = RandomUpstream(name)
        world.upstreams[name].plans = list(own_plans)
    loop = world.node.loop
    for number, (path, pause) in enumerate(sequence):
        await asyncio.sleep(pause)
        started = loop.time()
        request_id = f"n{number}-"
        body = b"" if path == "/look/1" else b"body"
        reply = await world.fetch(path, body, request_id=request_id)
        assert loop.time() - started < DEADLINE_SECONDS + 0.5
        check_reply(world, request_id.encode(), path, reply)
    world.close()


DRAWS = (
    st.lists(requests, min_size=3, max_size=6),
    st.lists(st.lists(plans, min_size=2, max_size=5), min_size=1, max_size=2),
)


def play_drawn(sequence: list[tuple[str, float]], drawn: list[list[Plan]], way: str) -> None:
    """Play one drawn example in virtual time."""
    run_in_virtual_time(play(sequence, drawn, way))


@settings(max_examples=CI_EXAMPLES, derandomize=True, deadline=None, database=None)
@given(*DRAWS)
def test_random_answers_reach_the_wrong_caller_or_make_false_promises(sequence, drawn):
    play_drawn(sequence, drawn, "own")


@settings(max_examples=CI_EXAMPLES, derandomize=True, deadline=None, database=None)
@given(*DRAWS, CARRIED_WAYS)
def test_random_answers_to_carried_requests_reach_the_wrong_caller(sequence, drawn, way):
    play_drawn(sequence, drawn, way)


def main() -> None:
    """Play further examples on either way."""
    examples, first_seed = int(sys.argv[1]), int(sys.argv[2])
    for ways in (st.just("own"), CARRIED_WAYS):
        widened = settings(max_examples=examples, deadline=None, database=None)
        seed(first_seed)(widened(given(*DRAWS, ways)(play_drawn)))()
    print(f"2 x {examples} examples of seed {first_seed} kept all promises")


if __name__ == "__main__":
    main()
