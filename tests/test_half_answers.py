"""Upstreams and carriers that end within an answer, at any byte and in any way.

``python -m tests.test_half_answers EXAMPLES SEED`` plays further examples.
"""

import asyncio
import sys
from typing import NamedTuple

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from tanagertrail.registry import Registry
from tanagertrail.testing import run_in_virtual_time
from tests.answer_utils import (
    Ending,
    MemoryConnection,
    MemoryUpstream,
    Reply,
    Script,
    Step,
    build_chunk,
    build_events,
)
from tests.carried_answer_utils import WORLDS

CI_EXAMPLES = 300
LAST_EVENT = 4
LATER_SECONDS = 3.0  # in which a request that was called not run could still run
PROMISES = (408, 421, 429, 503)  # statuses that tell a caller that the request was not run
REPEATABLE_PATHS = ("/look/1", "/talk/a/events")
PATHS = (*REPEATABLE_PATHS, "/book/1", "/once/a/events")
EVENT_TYPE = b"content-type: text/event-stream"
PLAIN_BODY = b"own answer, a little longer than a word"
INTERIM_HEADS = b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n"

Framing = Registry("framing of an answer")


class Content(NamedTuple):
    """An answer without its framing.

    :ivar parts: parts of the body, of a stream its events
    """

    status: int
    headers: tuple[bytes, ...]
    parts: tuple[bytes, ...]

    @property
    def length(self) -> bytes:
        """The field that states the length of the body."""
        return b"content-length: %d" % len(b"".join(self.parts))

    def build(self, *headers: bytes, version: bytes = b"1.1") -> bytes:
        """Build the head with further fields."""
        status = b"HTTP/" + version + b" %d Status" % self.status
        return b"\r\n".join((status, *headers, *self.headers)) + b"\r\n\r\n"


@Framing.register("length")
def frame_with_length(content: Content) -> bytes:
    return content.build(content.length) + b"".join(content.parts)


@Framing.register("length last")
def frame_with_length_last(content: Content) -> bytes:
    moved = content._replace(headers=(*content.headers, content.length))
    return moved.build() + b"".join(content.parts)


@Framing.register("same length twice")
def frame_with_length_twice(content: Content) -> bytes:
    return content.build(content.length, content.length) + b"".join(content.parts)


@Framing.register("two lengths")
def frame_with_two_lengths(content: Content) -> bytes:
    return content.build(content.length, b"content-length: 4") + b"".join(content.parts)


@Framing.register("chunks")
def frame_with_chunks(content: Content) -> bytes:
    chunks = b"".join(map(build_chunk, content.parts))
    return content.build(b"transfer-encoding: chunked") + chunks + build_chunk(b"")


@Framing.register("chunks and a trailer")
def frame_with_trailer(content: Content) -> bytes:
    head = content.build(b"transfer-encoding: chunked", b"trailer: x-sum")
    return head + b"".join(map(build_chunk, content.parts)) + b"0\r\nx-sum: 12\r\n\r\n"


@Framing.register("chunks and a length")
def frame_with_both(content: Content) -> bytes:
    head = content.build(content.length, b"transfer-encoding: chunked")
    return head + b"".join(map(build_chunk, content.parts)) + build_chunk(b"")


@Framing.register("interim heads")
def frame_behind_interim_heads(content: Content) -> bytes:
    return INTERIM_HEADS + frame_with_chunks(content)


@Framing.register("end of the connection")
def frame_with_end(content: Content) -> bytes:
    return content.build(b"connection: close") + b"".join(content.parts)


@Framing.register("end of a connection of HTTP/1.0")
def frame_with_old_end(content: Content) -> bytes:
    return content.build(version=b"1.0") + b"".join(content.parts)


class Half(NamedTuple):
    """What an upstream sends of an answer.

    :ivar cut: bytes that are left out at its end, of which 0 leaves it whole
    :ivar resumes_with: what it holds if it resumes a stream: the events that follow, none, or those
        in another media type
    :ivar piece_bytes: length of the pieces in which it is sent
    """

    framing: str
    status: int
    cut: int
    ending: Ending
    piece_bytes: int
    resumes_with: str

    @property
    def ends_by_close(self) -> bool:
        """Whether nothing but the close of its connection shows where it ends."""
        return self.framing.startswith("end of") and self.ending is not Ending.RESET

    @property
    def is_of_another_type(self) -> bool:
        """Whether it resumes a stream in another media type."""
        return self.resumes_with == "another type"


halves = st.builds(
    Half,
    st.sampled_from(list(Framing)),
    st.sampled_from([200, 200, 200, 200, 404, 500]),
    st.one_of(st.just(0), st.integers(1, 40), st.integers(1, 400)),
    st.sampled_from(Ending),
    st.sampled_from([100_000, 100_000, 1, 7]),
    st.sampled_from(["events", "events", "nothing", "another type"]),
)
first_halves = st.builds(
    Half,
    st.sampled_from(["chunks", "length", "interim heads", "end of the connection"]),
    st.just(200),
    st.integers(6, 90),
    st.sampled_from([Ending.CLOSED, Ending.RESET]),
    st.sampled_from([100_000, 7]),
    st.just("events"),
)
hop_cuts = st.one_of(
    st.none(), st.none(), st.tuples(st.integers(0, 900), st.sampled_from(Ending), st.booleans())
)


class HalfUpstream(MemoryUpstream):
    """An upstream that sends parts of answers.

    :ivar halves: what it sends to the next requests; several may share one list
    :ivar answered: what it and the others have sent, in order
    """

    def __init__(self, name: str, own_halves: list[Half], answered: list[Half]) -> None:
        super().__init__(name)
        self.halves = own_halves
        self.answered = answered

    def take_script(self, connection: MemoryConnection, headers: dict[bytes, bytes]) -> Script:
        """Return the script of the next part of an answer."""
        half = self.halves.pop(0)
        if b"last-event-id" not in headers:
            half = half._replace(resumes_with="events")
        self.answered.append(half)
        own = headers[b"tanagertrail-request-id"]
        fields = (b"tanagertrail-request-id: " + own, b"tanagertrail-server-stamp: s." + own)
        fields += (b"content-type: text/plain" if half.is_of_another_type else EVENT_TYPE,)
        parts = () if half.resumes_with == "nothing" else build_parts(half.status, headers)
        content = Content(half.status, fields, parts)
        whole = Framing.get(half.framing)(content)
        sent = whole[: max(len(whole) - half.cut, 0)]
        size = max(half.piece_bytes, len(sent) // 60 + 1)
        steps = [Step(sent[at : at + size]) for at in range(0, len(sent), size)]
        self.scripts = [Script((*steps, Step(half.ending)))]
        return super().take_script(connection, headers)


def build_parts(status: int, headers: dict[bytes, bytes]) -> tuple[bytes, ...]:
    """Build the parts of the body of an answer."""
    if status != 200:
        return (b"failure",)
    if not headers[b":path"].endswith(b"/events"):
        return PLAIN_BODY[:13], PLAIN_BODY[13:]
    first = int(headers.get(b"last-event-id", b"0")) + 1
    return tuple(build_events(n, n) for n in range(first, LAST_EVENT + 1))


def check_success(path: str, reply: Reply, answered: list[Half]) -> None:
    """Check that the body of a success is whole if its framing says so."""
    expected = build_events(1, LAST_EVENT) if path.endswith("/events") else PLAIN_BODY
    assert expected.startswith(reply.body), reply.body
    if path.endswith("/events"):
        assert not reply.body or reply.body.endswith(b"\n\n"), reply.body
    if reply.whole:
        last = answered[-1]
        assert reply.body == expected or last.ends_by_close, "a false end"
        assert last.resumes_with == "events", "an end that does not belong to the stream"


def check_reply(path: str, reply: Reply, answered: list[Half]) -> None:
    """Check that a caller got a whole answer, a true refusal, or neither."""
    assert len(answered) <= 1 or path in REPEATABLE_PATHS, "it ran twice"
    if reply.status in PROMISES:
        assert not answered, f"told {reply.status} though it ran"
    elif reply.status == 200:
        check_success(path, reply, answered)
    elif reply.status in (404, 500):
        assert reply.status in [half.status for half in answered]
        assert reply.body == b"failure" or any(half.ends_by_close for half in answered)
    else:
        assert reply.status in (502, 504), reply
        assert b"tanagertrail-server-stamp" not in reply.headers


async def play(way: str, path: str, version: str, drawn: list[list[Half]], hop_cut) -> None:
    """Play a request before upstreams that send parts of answers, and check the reply."""
    world = WORLDS.get(way)(len(drawn))
    answered: list[Half] = []
    for name, own_halves in zip(list(world.upstreams), drawn, strict=True):
        world.upstreams[name] = HalfUpstream(name, own_halves, answered)
    if way != "own" and hop_cut is not None:
        world.cut_hop(*hop_cut)
    body = b"" if path == "/look/1" else b"body"
    try:
        reply = await world.fetch(path, body, version=version)
        assert not world.defects, world.defects
        await asyncio.sleep(LATER_SECONDS)
        check_reply(path, reply, answered)
    finally:
        world.close()


ways = st.sampled_from(list(WORLDS))
versions = st.sampled_from(["1.1", "1.1", "1.0"])
own_halves = st.lists(halves, min_size=2, max_size=2)
DRAWS = ways, st.sampled_from(PATHS), versions, st.tuples(own_halves, own_halves), hop_cuts
RESUMED = ways, versions, st.tuples(first_halves, halves, halves), hop_cuts


def play_drawn(way, path, version, drawn, hop_cut) -> None:
    """Play one drawn example in virtual time."""
    run_in_virtual_time(play(way, path, version, [list(own) for own in drawn], hop_cut))


def play_resumed(way, version, drawn, hop_cut) -> None:
    """Play a stream that breaks off and is resumed, wherever its attempts go."""
    shared = list(drawn)
    run_in_virtual_time(play(way, "/talk/a/events", version, [shared, shared], hop_cut))


def build_settings(examples: int) -> settings:
    """Build the settings of a run."""
    return settings(max_examples=examples, deadline=None, database=None)


@settings(build_settings(CI_EXAMPLES), derandomize=True)
@given(*DRAWS)
def test_half_an_answer_looks_whole_or_is_called_not_run(way, path, version, drawn, hop_cut):
    play_drawn(way, path, version, drawn, hop_cut)


@settings(build_settings(CI_EXAMPLES), derandomize=True)
@given(*RESUMED)
def test_half_a_resumption_looks_whole(way, version, drawn, hop_cut):
    play_resumed(way, version, drawn, hop_cut)


def main() -> None:
    """Play further examples."""
    examples, first_seed = int(sys.argv[1]), int(sys.argv[2])
    for draws, play_one in ((DRAWS, play_drawn), (RESUMED, play_resumed)):
        seed(first_seed)(build_settings(examples)(given(*draws)(play_one)))()
    print(f"2 x {examples} examples of seed {first_seed} kept all promises")


if __name__ == "__main__":
    main()
