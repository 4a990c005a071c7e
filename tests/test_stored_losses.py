"""Losses of upstreams that are stored, so that suspicions outlive a kill of all daemons."""

import asyncio
from types import SimpleNamespace

from nose2.tools import params

from tanagertrail.gateway.crash_detector import UnansweredAttempt
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.loss_store import (
    LAPSE_SECONDS,
    LOSSES_KIND,
    SLOTS,
    LossStore,
    decode_loss,
)
from tanagertrail.gateway.losses import LostRow, UpstreamLoss
from tanagertrail.gateway.suspects import KEEP_LOSS_SECONDS, SuspectTracker
from tanagertrail.policy.poison import CrashReport, Verdict
from tests.gateway_utils import run_in_real_time
from tests.test_store_eras import open_store
from tests.utils import with_virtual_time

DEADLY = "d" * 32
WALL_TIME = 1_700_000_000.0
CONTENT = {
    "at": WALL_TIME,
    "upstream": "up-a/1",
    "version": "v1",
    "failure_domain": "north",
    "requests": [DEADLY],
}


def build_tracker():
    return SuspectTracker(EventLog("entry-1", asyncio.get_running_loop().time))


def build_loss(number, upstream="up-a/1"):
    """Return a loss under the deadly request."""
    row = LostRow(DEADLY, (), 10, 0)
    return UpstreamLoss(number, upstream, "v1", "north", "desk", (row,))


def build_store(client, tracker, daemon="entry-1"):
    log = EventLog(daemon, asyncio.get_running_loop().time)
    return LossStore(client, tracker, daemon, log)


def lose(tracker, upstream, *fingerprints):
    """Record the loss of an upstream that this daemon has detected."""
    record = SimpleNamespace(
        id=upstream, born=1.0, version="v1", failure_domain="north", service="desk"
    )
    now = asyncio.get_running_loop().time()
    attempts = [UnansweredAttempt(name, now) for name in fingerprints]
    for attempt in attempts:
        attempt.failed_at = now
    tracker.record_loss(SimpleNamespace(record=record), attempts)


@run_in_real_time
async def test_losses_below_the_limit_are_forgotten_when_all_daemons_are_killed():
    """Violated BUDGET (review/5): each kill of all daemons allowed two further crashes."""
    async with open_store() as (_, client):
        first = build_store(client, build_tracker())
        for number, upstream in ((1, "up-a/1"), (2, "up-b/1")):
            await first.store_loss(build_loss(number, upstream))
        tracker = build_tracker()
        quarantined = []
        tracker.on_quarantine = quarantined.append
        await build_store(client, tracker, "entry-2").read_until_known()
        assert tracker.must_run_isolated(DEADLY)
        tracker.merge_losses("entry-3", 1, [tuple(build_loss(1, "up-b/1"))], tracker.now())
        assert tracker.judge(DEADLY) is Verdict.SUSPECT, "a crash was counted twice"
        tracker.merge_losses("entry-3", 1, [tuple(build_loss(2, "up-c/1"))], tracker.now())
        assert quarantined == [DEADLY]


@run_in_real_time
async def test_stored_losses_grow_without_bound():
    async with open_store() as (store, client):
        losses = build_store(client, build_tracker())
        for number in range(3 * SLOTS):
            await losses.store_loss(build_loss(number, f"up-{number}/1"))
        assert len(store.objects[LOSSES_KIND]) == SLOTS
        again = build_store(client, build_tracker())
        await again.store_loss(build_loss(1, "up-new/1"))
        assert store.objects[LOSSES_KIND]["entry-1-1"]["spec"]["upstream"] == "up-new/1"
        assert len(store.objects[LOSSES_KIND]) == SLOTS


@with_virtual_time
async def test_request_that_was_answered_since_is_stored_as_suspect():
    tracker = build_tracker()
    kept = []
    tracker.on_suspect = kept.append
    lose(tracker, "up-a", DEADLY, "sound")
    await asyncio.sleep(KEEP_LOSS_SECONDS / 2)
    tracker.note_answered("sound")
    await asyncio.sleep(KEEP_LOSS_SECONDS)
    assert [loss.fingerprints for loss in kept] == [(DEADLY,)]
    lose(tracker, "up-b", "sound")
    tracker.note_answered("sound")
    await asyncio.sleep(2 * KEEP_LOSS_SECONDS)
    assert len(kept) == 1


def test_stored_loss_is_read_with_its_age():
    report = decode_loss(CONTENT, WALL_TIME + 7.0, 1000.0)
    assert report == CrashReport("up-a/1", "v1", "north", (DEADLY,), 993.0)
    assert decode_loss(CONTENT, WALL_TIME - 5.0, 1000.0).at == 1000.0, "a clock was set back"


@params(
    {"at": WALL_TIME - LAPSE_SECONDS - 1},
    {"at": "then"},
    {"at": True},
    {"at": float("nan")},
    {"upstream": None},
    {"requests": DEADLY},
    {"requests": [DEADLY] * 17},
    {"requests": ["x" * 1000]},
)
def test_odd_or_old_loss_is_counted(change):
    assert decode_loss(CONTENT | change, WALL_TIME, 1000.0) is None
    assert decode_loss([CONTENT], WALL_TIME, 1000.0) is None
