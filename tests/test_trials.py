"""Evaluation of the version on trial during a rollout."""

import asyncio
from types import SimpleNamespace

from tanagertrail.gateway.cluster_view import ClusterView
from tanagertrail.gateway.exchange import AttemptResult, UpstreamAttempt
from tanagertrail.gateway.trials import RolloutTrials
from tanagertrail.outcomes import Step
from tanagertrail.policy.canary import CanaryState, decide_canary_state
from tanagertrail.policy.rollout_orders import RolloutOrder
from tanagertrail.standins.documents import BOUNDS
from tests.gateway_utils import build_config, open_world, run_in_real_time
from tests.utils import with_virtual_time

EVENT_COUNT = 40


def build_trials():
    """Return the trials of a daemon without rollout orders."""
    return RolloutTrials(ClusterView(BOUNDS, lambda: 0.0))


def order_rollout(book):
    """Add an order to roll out v2, given before the streams that are recorded."""
    book.cluster_view.rollouts["desk"] = RolloutOrder("desk", "v2", 15.0, "running", "v2", 5, 5)
    book.cluster_view.rollouts_seen_at["desk", 5] = 0.0


def record_stream(
    book,
    version,
    first_event_delay,
    event_gap=0.03,
    result=AttemptResult.DELIVERED,
    earlier_attempts_seconds=0.0,
):
    """Record a streamed response that has just ended.

    :param book: the trials that record it
    :param first_event_delay: seconds from the start of the attempt to the first event
    :param event_gap: seconds between events
    :param earlier_attempts_seconds: time spent in earlier attempts of the request
    """
    now = asyncio.get_running_loop().time()
    sent_at = now - first_event_delay - event_gap * (EVENT_COUNT - 1)
    exchange = SimpleNamespace(
        service="desk",
        route=SimpleNamespace(name="talk", streamed=True),
        arrived_at=sent_at - earlier_attempts_seconds,
        sent_at=sent_at,
        first_byte_at=sent_at + first_event_delay,
        splitter=SimpleNamespace(events=EVENT_COUNT),
        continues=False,
    )
    book.note_result(exchange, version, UpstreamAttempt(result, Step.END, "up-a"))


def decide_state(book):
    """Return the decision near the end of the rollout."""
    return decide_canary_state(book.get_trial("desk").counts, 13.6, 15.0, 4)


@with_virtual_time
async def test_new_version_is_compared_with_results_from_before_the_order():
    book = build_trials()
    for _ in range(30):
        record_stream(book, "v1", 0.07)
    order_rollout(book)
    for _ in range(25):
        record_stream(book, "v2", 0.9)
    assert book.get_trial("desk").counts.new_bad == 25


@with_virtual_time
async def test_results_from_before_the_baseline_are_judged_later():
    """Results of the new version counted as good while there were none of the old one."""
    book = build_trials()
    order_rollout(book)
    for _ in range(25):
        record_stream(book, "v2", 0.9)
    assert book.get_trial("desk").counts.new == 0
    for _ in range(30):
        record_stream(book, "v1", 0.07)
    assert book.get_trial("desk").counts.new_bad == 25


@with_virtual_time
async def test_good_version_is_completed():
    book = build_trials()
    order_rollout(book)
    for number in range(60):
        record_stream(book, "v1", 0.05 + number % 7 / 100, 0.03 + number % 5 / 1000)
        record_stream(book, "v2", 0.05 + number % 7 / 100, 0.03 + number % 5 / 1000)
    assert decide_state(book) is CanaryState.COMPLETED


@with_virtual_time
async def test_version_that_is_slow_between_events_is_rolled_back():
    """The first event was in time, but each stream took four times as long."""
    book = build_trials()
    order_rollout(book)
    for number in range(40):
        record_stream(book, "v1", 0.07, 0.03 + number % 5 / 1000)
    for _ in range(20):
        record_stream(book, "v2", 0.08, 0.12)
    assert decide_state(book) is CanaryState.ROLLED_BACK


@with_virtual_time
async def test_time_of_earlier_attempts_is_not_counted():
    """Retries after an attempt that timed out made the old version look slow."""
    book = build_trials()
    order_rollout(book)
    for _ in range(30):
        record_stream(book, "v1", 0.07, earlier_attempts_seconds=1.2)
    for _ in range(20):
        record_stream(book, "v2", 0.9)
    assert book.get_trial("desk").counts.new_bad == 20


@run_in_real_time
async def test_upstream_on_trial_gets_no_request_just_after_its_start():
    config = build_config(services=[{"name": "desk", "max_conns": 50, "cold_start_s": 3}])
    async with open_world(config) as world:
        selector, entries = (
            world.node.dispatcher.selector,
            world.node.cluster_view.upstreams.entries,
        )
        world.register("up-b", version="v2")
        await world.wait_until(lambda: entries["up-b"].record.version == "v2")
        order = {"service": "desk", "target": "v2", "duration_s": 10.0}
        world.store.put("rollouts", "desk", order)
        await world.wait_until(lambda: "desk" in world.node.cluster_view.rollouts)
        entry = entries["up-b"]
        assert not selector.is_eligible(entry, entry.first_seen_at + 2.9)
        assert selector.is_eligible(entry, entry.first_seen_at + 3.1)
