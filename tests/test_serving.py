"""Tests of the request path, with the real core and simulated upstreams on virtual time."""

import asyncio

from tanagertrail.outcomes import Answered, Failed, NotRun, Step
from tests.utils import with_cluster


@with_cluster()
async def test_streamed_answer_is_whole(cluster):
    outcome, body = await cluster.ask(cluster.build_request(tokens=5))
    assert isinstance(outcome, Answered)
    assert body.count(b"data: ") == 5


@with_cluster()
async def test_unknown_service_is_not_run(cluster):
    outcome, _ = await cluster.ask(cluster.build_request("nothing"))
    assert isinstance(outcome, NotRun)
    assert outcome.status == 404
    assert outcome.retry_after is None


@with_cluster(daemons=3)
async def test_burst_keeps_within_the_limits(cluster):
    nodes = list(cluster.nodes.values())
    asked = [cluster.ask(cluster.build_request(), nodes[i % 3]) for i in range(60)]
    outcomes = [outcome for outcome, _ in await asyncio.gather(*asked)]
    assert all(isinstance(outcome, Answered) for outcome in outcomes)
    assert cluster.max_overshoot() == 0


@with_cluster()
async def test_cut_answer_is_resumed_elsewhere(cluster):
    wire = cluster.clients["entry-1"].faults
    wire.cuts, wire.cut_after = 1, 3
    outcome, body = await cluster.ask(cluster.build_request(tokens=8))
    assert isinstance(outcome, Answered)
    assert [f":{n}\n".encode() in body for n in range(8)] == [True] * 8
    assert body.count(b"data: ") == 8
    assert outcome.tokens_recomputed == 3


@with_cluster()
async def test_late_and_repeated_events_are_dropped(cluster):
    wire = cluster.clients["entry-1"].faults
    wire.duplicate = True
    wire.foreign = b'id: other.1:0\ndata: {"choices": []}\n\n'
    outcome, body = await cluster.ask(cluster.build_request(tokens=6))
    assert isinstance(outcome, Answered)
    assert body.count(b"data: ") == 6
    assert b"other.1" not in body


@with_cluster()
async def test_lost_end_is_never_a_whole_answer(cluster):
    cluster.clients["entry-1"].faults.lose_ends = 100
    outcome, _ = await cluster.ask(cluster.build_request(tokens=4))
    assert not isinstance(outcome, Answered)


@with_cluster()
async def test_non_idempotent_call_is_not_retried_after_a_crash(cluster):
    cluster.clients["entry-1"].faults.lose_heads = 1
    outcome, _ = await cluster.ask(cluster.build_call("/things", "POST"))
    assert not isinstance(outcome, Answered | NotRun)
    executed = sum(sum(engine.executions.values()) for engine in cluster.engines.values())
    assert executed == 1


@with_cluster()
async def test_full_queue_is_refused_early(cluster):
    warm = [cluster.ask(cluster.build_request(tokens=30)) for _ in range(20)]
    await asyncio.gather(*warm)
    asked = [cluster.ask(cluster.build_request(tokens=30, timeout=3.0)) for _ in range(200)]
    outcomes = [outcome for outcome, _ in await asyncio.gather(*asked)]
    refused = [item for item in outcomes if isinstance(item, NotRun)]
    early = [item for item in refused if item.step is Step.ADMISSION]
    assert len(early) > 100
    assert all(item.retry_after > 0 for item in refused)
    late = [item for item in outcomes if isinstance(item, Failed)]
    assert not late
