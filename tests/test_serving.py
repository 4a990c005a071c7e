"""Tests of the request path, with the real core and simulated upstreams on virtual time."""

import asyncio

from tanagertrail.outcomes import Answered, Failed, NotRun, Step
from tests.utils import with_cluster


@with_cluster()
async def test_streamed_answer_is_complete(cluster):
    outcome, body = await cluster.send_request(cluster.build_request(tokens=5))
    assert isinstance(outcome, Answered)
    assert body.count(b"data: ") == 5


@with_cluster()
async def test_unknown_service_is_not_run(cluster):
    outcome, _ = await cluster.send_request(cluster.build_request("nothing"))
    assert isinstance(outcome, NotRun)
    assert outcome.status == 404
    assert outcome.retry_after is None


@with_cluster(daemons=3)
async def test_burst_never_exceeds_upstream_limits(cluster):
    nodes = list(cluster.nodes.values())
    pending = [cluster.send_request(cluster.build_request(), nodes[i % 3]) for i in range(60)]
    outcomes = [outcome for outcome, _ in await asyncio.gather(*pending)]
    assert all(isinstance(outcome, Answered) for outcome in outcomes)
    assert cluster.max_overshoot() == 0


@with_cluster()
async def test_truncated_answer_is_resumed(cluster):
    faults = cluster.clients["entry-1"].faults
    faults.cuts, faults.cut_after = 1, 3
    outcome, body = await cluster.send_request(cluster.build_request(tokens=8))
    assert isinstance(outcome, Answered)
    assert [f":{n}\n".encode() in body for n in range(8)] == [True] * 8
    assert body.count(b"data: ") == 8
    assert outcome.tokens_recomputed == 3


@with_cluster()
async def test_foreign_and_duplicate_events_are_dropped(cluster):
    faults = cluster.clients["entry-1"].faults
    faults.duplicate = True
    faults.foreign = b'id: other.1:0\ndata: {"choices": []}\n\n'
    outcome, body = await cluster.send_request(cluster.build_request(tokens=6))
    assert isinstance(outcome, Answered)
    assert body.count(b"data: ") == 6
    assert b"other.1" not in body


@with_cluster()
async def test_answer_without_end_event_is_not_complete(cluster):
    cluster.clients["entry-1"].faults.lose_ends = 100
    outcome, _ = await cluster.send_request(cluster.build_request(tokens=4))
    assert not isinstance(outcome, Answered)


@with_cluster()
async def test_non_idempotent_call_is_not_retried_after_a_crash(cluster):
    cluster.clients["entry-1"].faults.lose_heads = 1
    outcome, _ = await cluster.send_request(cluster.build_call("/things", "POST"))
    assert not isinstance(outcome, Answered | NotRun)
    execution_count = sum(sum(engine.executions.values()) for engine in cluster.engines.values())
    assert execution_count == 1


@with_cluster()
async def test_requests_that_would_miss_their_deadline_are_refused_at_admission(cluster):
    warmup_requests = [cluster.send_request(cluster.build_request(tokens=30)) for _ in range(20)]
    await asyncio.gather(*warmup_requests)
    pending = [
        cluster.send_request(cluster.build_request(tokens=30, timeout=3.0)) for _ in range(200)
    ]
    outcomes = [outcome for outcome, _ in await asyncio.gather(*pending)]
    refused = [item for item in outcomes if isinstance(item, NotRun)]
    refused_at_admission = [item for item in refused if item.step is Step.ADMISSION]
    assert len(refused_at_admission) > 100
    assert all(item.retry_after > 0 for item in refused)
    failed = [item for item in outcomes if isinstance(item, Failed)]
    assert not failed
