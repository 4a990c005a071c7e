"""Answers of upstreams that only the end of their connection ends."""

from tanagertrail.platform import header_fields
from tests.gateway_utils import open_world, run_in_real_time

WHOLE_STREAM = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 7))
PROMPT = {"tanagertrail_model": "m", "tanagertrail_prompt_prefix": "aa:10,bb:10,cc:1"}


def count_pooled(world):
    """Count the idle connections to upstreams that are kept for another request."""
    return sum(len(idle) for idle in world.node.pools.idle.values())


@run_in_real_time
async def test_whole_answer_without_framing_is_passed_on_as_cut_or_its_connection_used_again():
    async with open_world() as world:
        upstream = world.keep_one_upstream()
        await world.wait_for_upstreams(1)
        for fault in ("unframed", "unframed_1_0"):
            for path, expected in (
                ("/talk/a/events", WHOLE_STREAM),
                ("/once/a/events", WHOLE_STREAM),
                ("/look/1", b"answer of up-a"),
                ("/book/1", b"answer of up-a"),
            ):
                upstream.faults.append(fault)
                reply = await world.fetch(path)
                assert (reply.status, reply.body, reply.whole) == (200, expected, True), path
                assert header_fields.SERVER_STAMP in reply.headers
                framing = {b"content-length", b"transfer-encoding"} & set(reply.headers)
                assert framing, "the caller can't tell a whole answer from a cut one"
                assert count_pooled(world) == 0
        assert len(upstream.runs) == 8, "a whole answer was taken for a broken one"


@run_in_real_time
async def test_stream_without_framing_that_ends_within_an_event_is_passed_on_as_whole():
    async with open_world() as world:
        upstream = world.keep_one_upstream()
        await world.wait_for_upstreams(1)
        for fault in ("unframed_half", "unframed_reset"):
            upstream.faults.append(fault)
            reply = await world.fetch("/once/a/events")
            assert not reply.whole, fault
            assert WHOLE_STREAM.startswith(reply.body)
            await world.wait_until(
                lambda: all(
                    entry.accepts_work(world.node.loop.time())
                    for entry in world.node.cluster_view.upstreams.entries.values()
                )
            )
        assert not any(
            entry.crashed_at for entry in world.node.cluster_view.upstreams.entries.values()
        )


@run_in_real_time
async def test_stream_without_framing_that_broke_is_not_resumed_where_the_route_allows_it():
    for fault in ("unframed_half", "unframed_reset"):
        async with open_world() as world:
            for upstream in world.upstreams:
                upstream.faults.append(fault)
            world.upstreams[1].faults.clear()
            replies = [await world.fetch("/talk/a/events") for _ in range(4)]
            assert all(reply.whole and reply.body == WHOLE_STREAM for reply in replies), fault
            assert not world.upstreams[0].faults


@run_in_real_time
async def test_end_of_an_unframed_answer_clears_a_part_that_crashes_upstreams():
    """A crash may end such an answer after a whole event."""
    async with open_world() as world:
        upstream = world.keep_one_upstream()
        await world.wait_for_upstreams(1)
        completed_at = world.node.suspects.attributor.completed_at
        upstream.faults.append("unframed")
        assert (await world.fetch("/talk/a/events", **PROMPT)).whole
        assert not completed_at
        assert (await world.fetch("/talk/a/events", **PROMPT)).whole
        assert len(completed_at) == 2
        upstream.faults.append("fail")
        completed_at.clear()
        assert (await world.fetch("/look/1", **PROMPT)).status == 500
        assert not completed_at
