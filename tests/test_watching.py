"""Who follows the store, how long a call waits, and what an answer without changes proves."""

import asyncio
import random

from tanagertrail.errors import StoreUnavailableError
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.mirror import KindMirror
from tanagertrail.gateway.node import CONFIG_STALENESS_SHARE, DRAIN_STALENESS_SHARE
from tanagertrail.gateway.store_watch import KindWatch, StoreBackoff, WatchRole, WatchTiming
from tanagertrail.platform.store import Listing, WatchAnswer
from tanagertrail.testing import run_virtual
from tests.gateway_utils import QuietHandler

PACE = WatchTiming(2.0, 2.25)
SPREAD = 1.75
TELL_SECONDS = 0.8
WATCHER = WatchRole(True, False, SPREAD)
STANDBY = WatchRole(False, True, SPREAD)
OTHER = WatchRole(False, False, SPREAD)


class QuietStore:
    """A store in which nothing changes, and which counts its calls."""

    def __init__(self, latency=0.004):
        self.calls = 0
        self.waits = []
        self.latency = latency
        self.away = False

    async def list_kind(self, kind):
        self.calls += 1
        return Listing([], 1)

    async def watch_kind(self, kind, revision, wait):
        self.calls += 1
        self.waits.append(wait)
        if self.away:
            raise StoreUnavailableError("away")
        await asyncio.sleep(wait + self.latency)
        return WatchAnswer([], revision)


def build_watch(store, role, seed=1):
    """Return a daemon's watch of one kind."""
    now = asyncio.get_running_loop().time
    mirror = KindMirror("servers", QuietHandler(), now)
    log = EventLog("d", now)
    return KindWatch(store, mirror, log, random.Random(seed), PACE, lambda: role, lambda: None)


def choose_role(role, before):
    """Return a standby's role as its node finds it: it follows while nobody before it does."""

    def get_role():
        if not role.standby:
            return role
        return role._replace(follows=not any(watch.answered for watch in before))

    return get_role


async def run_fleet(stores, roles, seconds):
    """Run the watches of daemons that tell each other by way of hubs; return the oldest age."""
    watches = [build_watch(store, role) for store, role in zip(stores, roles, strict=True)]
    for place, watch in enumerate(watches):
        watch.get_role = choose_role(roles[place], watches[:place])
    tasks = [asyncio.create_task(watch.run()) for watch in watches]
    heard = [watch.mirror for watch in watches]
    oldest = 0.0
    loop = asyncio.get_running_loop()
    relayed = float("-inf")
    for _ in range(int(seconds / TELL_SECONDS)):
        await asyncio.sleep(TELL_SECONDS)
        if loop.time() > 1004.0:
            oldest = max(oldest, *(mirror.age for mirror in heard))
        # What the hubs know now reaches the others a period later.
        for mirror in heard:
            if relayed > float("-inf"):
                mirror.mark_synced(relayed)
        relayed = max(mirror.synced_at or float("-inf") for mirror in heard)
    for task in tasks:
        task.cancel()
    return oldest


def test_calm_fleet_leaves_the_store_to_its_watchers():
    """trouble-1 of the grown site: 8,929 calls, most by daemons that found their copies old."""

    async def work():
        stores = [QuietStore() for _ in range(10)]
        roles = [WATCHER, WATCHER, STANDBY] + [OTHER] * 7
        await run_fleet(stores, roles, 20.0)
        return [store.calls for store in stores]

    calls = run_virtual(work())
    assert sum(calls[2:]) <= 12, calls
    assert max(calls[:2]) <= 20 / 0.45


def test_standby_takes_over_before_the_others_step_in():
    async def work():
        stores = [QuietStore() for _ in range(10)]
        for store in stores[:2]:
            store.away = True
        roles = [WATCHER, WATCHER, STANDBY] + [OTHER] * 7
        oldest = await run_fleet(stores, roles, 20.0)
        return oldest, [store.calls for store in stores]

    oldest, calls = run_virtual(work())
    assert calls[2] >= 20
    assert sum(calls[3:]) <= 7 * 4
    assert oldest <= 3.0


def test_answer_without_changes_proves_the_end_of_the_wait():
    async def work():
        watch = build_watch(QuietStore(), WATCHER)
        await watch.advance()
        await watch.advance()
        return watch.mirror.age

    assert run_virtual(work()) < 0.01


def test_answer_before_the_end_of_the_wait_proves_only_its_start():
    class HastyStore(QuietStore):
        async def watch_kind(self, kind, revision, wait):
            await asyncio.sleep(wait / 2)
            return WatchAnswer([], revision)

    async def work():
        watch = build_watch(HastyStore(), WATCHER)
        await watch.advance()
        await watch.advance()
        return watch.mirror.age

    assert run_virtual(work()) >= 0.2


def test_late_answer_proves_no_more_than_its_wait():
    async def work():
        watch = build_watch(QuietStore(latency=1.5), WATCHER)
        await watch.advance()
        await watch.advance()
        return watch.mirror.age

    assert run_virtual(work()) >= 1.5


def test_old_copy_is_proved_by_a_call_that_does_not_wait():
    async def work():
        store = QuietStore()
        watch = build_watch(store, OTHER)
        await watch.advance()
        await asyncio.sleep(3.0)
        assert watch.must_ask()
        await watch.advance()
        return store.waits

    assert run_virtual(work()) == [0.0]


CALL_SECONDS = 0.2  # that a call takes on a busy link of 10 Mbit/s


async def measure_silence(patience, seed):
    """Return the age at which a daemon that hears nothing asks the store."""
    store = QuietStore()
    watch = build_watch(store, OTHER, seed)
    watch.pace = WatchTiming(2.0, patience)
    watch.mirror.apply_listing(Listing([], 1), watch.mirror.boot_time())
    task = asyncio.create_task(watch.run())
    while not store.calls:
        await asyncio.sleep(0.01)
    age = watch.mirror.age
    task.cancel()
    return age


def test_daemon_that_hears_nothing_asks_before_an_upstream_must_get_no_work():
    """DRAIN on tartan-plovdiv-grown trouble-3: its hub was stopped as an upstream left."""
    for drain in (2.0, 3.0):
        for seed in range(20):
            age = run_virtual(measure_silence(DRAIN_STALENESS_SHARE * drain, seed))
            assert age <= drain - CALL_SECONDS, (drain, seed)


def test_daemon_that_hears_nothing_asks_before_a_configuration_must_hold():
    for bound in (2.0, 3.0):
        for seed in range(20):
            age = run_virtual(measure_silence(CONFIG_STALENESS_SHARE * bound, seed))
            assert age <= bound - CALL_SECONDS, (bound, seed)


def test_six_watches_of_a_daemon_tried_a_store_that_was_away_by_themselves():
    """kumo-dial-large trouble-1: 9,246 calls, a good part of them to a store that refused them."""

    async def main():
        store = QuietStore()
        store.away = True
        gate = StoreBackoff(random.Random(5))
        watches = [build_watch(store, WATCHER, seed) for seed in range(6)]
        for watch in watches:
            watch.gate = gate
            watch.mirror.apply_listing(Listing([], 1), watch.mirror.boot_time())
        tasks = [asyncio.create_task(watch.run()) for watch in watches]
        await asyncio.sleep(10.0)
        tried = store.calls
        store.away = False
        await asyncio.sleep(1.3)
        ages = [watch.mirror.age for watch in watches]
        for task in tasks:
            task.cancel()
        return tried, ages

    tried, ages = run_virtual(main())
    assert tried <= 6 + 10.0 / 0.5
    assert max(ages) < 1.3, "all follow again soon after the store is back"
