"""What a daemon's tries show of a version that a service is moved to."""

import asyncio
from types import SimpleNamespace

from tanagertrail.gateway.exchange import AttemptResult, UpstreamAttempt
from tanagertrail.gateway.model import RolloutOrder
from tanagertrail.gateway.trials import RolloutTrials
from tanagertrail.outcomes import Step
from tanagertrail.policy.canary import CanaryState, decide_canary_state
from tanagertrail.standins.documents import BOUNDS
from tests.gateway_utils import build_config, open_world, real_time
from tests.utils import with_virtual_time

EVENTS = 40


def build_book():
    """Return a book of a daemon that knows of no order."""
    return RolloutTrials(SimpleNamespace(rollouts={}, bounds=BOUNDS))


def order_move(book):
    """Order that the service is moved to v2."""
    book.cluster_view.rollouts["desk"] = RolloutOrder("desk", "v2", 15.0, "running", "v2", 5, 5)


def note(book, version, first, pace=0.03, result=AttemptResult.DELIVERED, waited=0.0):
    """Note a stream whose try has just ended.

    :param first: seconds from the try to the first event
    :param pace: seconds between events
    :param waited: seconds that earlier tries took
    """
    now = asyncio.get_running_loop().time()
    sent_at = now - first - pace * (EVENTS - 1)
    exchange = SimpleNamespace(
        service="desk",
        route=SimpleNamespace(name="talk", streamed=True),
        arrived_at=sent_at - waited,
        sent_at=sent_at,
        first_byte_at=sent_at + first,
        splitter=SimpleNamespace(events=EVENTS),
    )
    book.note_result(exchange, version, UpstreamAttempt(result, Step.END, "up-a"))


def judge(book):
    """Return what is decided at the end of the move."""
    return decide_canary_state(book.get_trial("desk").counts, 13.6, 15.0, 4)


@with_virtual_time
async def test_new_version_is_held_to_what_was_seen_before_the_order():
    book = build_book()
    for _ in range(30):
        note(book, "v1", 0.07)
    order_move(book)
    for _ in range(25):
        note(book, "v2", 0.9)
    assert book.get_trial("desk").counts.new_bad == 25


@with_virtual_time
async def test_results_that_came_before_a_baseline_are_judged_by_it_later():
    """Day hasty: early results were taken as good while the old version was not yet known."""
    book = build_book()
    order_move(book)
    for _ in range(25):
        note(book, "v2", 0.9)
    assert book.get_trial("desk").counts.new == 0
    for _ in range(30):
        note(book, "v1", 0.07)
    assert book.get_trial("desk").counts.new_bad == 25


@with_virtual_time
async def test_good_version_is_completed():
    book = build_book()
    order_move(book)
    for number in range(60):
        note(book, "v1", 0.05 + number % 7 / 100, 0.03 + number % 5 / 1000)
        note(book, "v2", 0.05 + number % 7 / 100, 0.03 + number % 5 / 1000)
    assert judge(book) is CanaryState.COMPLETED


@with_virtual_time
async def test_version_that_is_slow_between_events_is_taken_back():
    """Day hasty: first events came in time, and each stream took four times as long."""
    book = build_book()
    order_move(book)
    for number in range(40):
        note(book, "v1", 0.07, 0.03 + number % 5 / 1000)
    for _ in range(20):
        note(book, "v2", 0.08, 0.12)
    assert judge(book) is CanaryState.ROLLED_BACK


@with_virtual_time
async def test_time_lost_at_a_slow_upstream_is_not_counted_against_the_next():
    """A repeat after a try that timed out made the old version look slow."""
    book = build_book()
    order_move(book)
    for _ in range(30):
        note(book, "v1", 0.07, waited=1.2)
    for _ in range(20):
        note(book, "v2", 0.9)
    assert book.get_trial("desk").counts.new_bad == 20


@real_time
async def test_upstream_on_trial_that_has_just_started_gets_no_request():
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
