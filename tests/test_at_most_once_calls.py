"""Tests of calls that must run at most once.

A call never runs twice, a refusal means that it did not run, and every daemon gives the same answer
for the same idempotency key.
"""

from tanagertrail.bench.schedules import run_schedules
from tanagertrail.outcomes import Answered, NotRun, Unknown
from tests.utils import with_cluster, with_virtual_time


@with_virtual_time
async def test_random_fault_schedules_run_no_call_twice():
    # Each schedule resends one call through several daemons while store faults are injected and
    # daemons are lost. Most schedules must run the call, or the other assertions prove little.
    result = await run_schedules(400)
    assert result.doubles == 0, result
    assert result.untrue == 0, result
    assert result.made > 200, result


@with_cluster(daemons=2)
async def test_same_key_gives_the_same_answer_through_another_daemon(cluster):
    first, second = cluster.nodes.values()
    call = cluster.build_call("/bookings", "POST", idempotency_key="k")
    original, _ = await cluster.send_request(call, first)
    resent, _ = await cluster.send_request(call._replace(request_id="again"), second)
    assert isinstance(original, Answered)
    assert original.body == resent.body


@with_cluster()
async def test_same_key_with_another_body_is_refused(cluster):
    call = cluster.build_call("/bookings", "POST", idempotency_key="k")
    await cluster.send_request(call)
    outcome, _ = await cluster.send_request(call._replace(body=b"other"))
    assert isinstance(outcome, NotRun)
    assert outcome.status == 422
    assert "Idempotency-Key" in outcome.reason


@with_cluster()
async def test_store_outage_refuses_the_call_before_it_is_sent(cluster):
    cluster.store.faults.outage = True
    call = cluster.build_call("/bookings", "POST", idempotency_key="k")
    outcome, _ = await cluster.send_request(call)
    assert isinstance(outcome, NotRun)
    assert outcome.retry_after
    assert not any(engine.executions for engine in cluster.engines.values())


@with_cluster()
async def test_call_without_a_known_result_is_not_sent_again(cluster):
    # The upstream runs the call, but its answer is lost.
    cluster.clients["entry-1"].faults.lose_heads = 1
    call = cluster.build_call("/bookings", "POST", idempotency_key="k")
    for _ in range(2):
        outcome, _ = await cluster.send_request(call)
        assert isinstance(outcome, Unknown)
    assert sum(engine.executions["k"] for engine in cluster.engines.values()) == 1
