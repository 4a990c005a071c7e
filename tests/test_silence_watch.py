"""Tests for the watching of a single attempt."""

import asyncio
import math
from types import SimpleNamespace

from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.silence_watch import SilenceMonitor, SilenceWatch
from tests.utils import raises, with_virtual_time

TIME_LEFT_SECONDS = 0.5


def build_watch():
    """Return a watch of an attempt at an upstream that has started again, and its channel."""
    route = SimpleNamespace(
        name="look", latency_objective=1.0, event_gap_objective=0.4, streamed=False
    )
    exchange = SimpleNamespace(
        time_left=TIME_LEFT_SECONDS,
        route=route,
        service="desk",
        fields=SimpleNamespace(request_id="r1"),
    )
    entry = SimpleNamespace(
        replaced=True,
        gone=True,
        heard_at=float("-inf"),
        record=SimpleNamespace(id="up-a"),
        note_silent=lambda now: None,
    )
    transport = SimpleNamespace(get_extra_info=lambda name: None)
    channel = SimpleNamespace(buffer=b"", received_bytes=0, transport=transport)
    log = EventLog("entry-1", asyncio.get_running_loop().time)
    monitor = SilenceMonitor(
        log, lambda exchange: False, lambda exchange, entry, must_be_idle: False
    )
    return SilenceWatch(exchange, entry, monitor), channel


@with_virtual_time
async def test_review_in_the_turn_of_the_deadline_is_a_defect():
    watch, channel = build_watch()
    watch.first_review = 2 * TIME_LEFT_SECONDS
    loop = asyncio.get_running_loop()

    async def wait_for_answer():
        async with watch.limit(channel):
            try:
                await asyncio.sleep(1)
            finally:
                watch.first_review = 0.0
                watch.review(loop.time())

    with raises(TimeoutError):
        await wait_for_answer()


@with_virtual_time
async def test_review_is_due_again_in_the_same_instant():
    """A rest of 1e-16 s moved no clock, and reviews followed each other without end."""
    watch, channel = build_watch()
    watch.first_review = 0.3
    reviews = []
    async with watch.limit(channel):
        await asyncio.sleep(0.1)
        watch.timer.cancel()
        watch.review_after = reviews.append
        now = watch.loop.time()
        watch.progress_at = now - 0.3
        watch.first_review = math.nextafter(now - watch.progress_at, 1.0)
        watch.review(now)
    assert now + reviews[0] > now
