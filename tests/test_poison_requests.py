"""Requests that crash every upstream that runs them, sent through several gateway daemons."""

import asyncio

from tanagertrail.gateway.clock import read_wall_time
from tanagertrail.gateway.crash_detector import CrashDetector, UnansweredAttempt
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.model import Upstream
from tanagertrail.gateway.quarantine import QUARANTINE_KIND
from tanagertrail.gateway.suspects import SuspectTracker
from tanagertrail.gateway.upstream_table import UpstreamEntry, UpstreamTable
from tanagertrail.policy.poison import QUARANTINE_SECONDS, Verdict
from tanagertrail.standins.documents import BOUNDS
from tests.gateway_utils import open_fleet, run_in_real_time
from tests.utils import with_virtual_time

POISON = b"lume under glass"
RESEND_COUNT = 9
MAX_LOST_UPSTREAMS = 3
MAX_LATE_RUNS = 3  # runs that may begin later than the stability bound after the third loss


def build_record(name, born=1.0, draining=False):
    """Return the registration of an upstream."""
    return Upstream(name, "desk", "127.0.0.1:9", "north", "v1", 8, draining, 0.0, born, False, None)


def fail_attempt(fingerprint):
    """Return an attempt whose connection broke just now."""
    now = asyncio.get_running_loop().time()
    attempt = UnansweredAttempt(fingerprint, now)
    attempt.failed_at, attempt.broken = now, True
    return attempt


def make_upstreams_crash_on_poison(fleet):
    """Make all upstreams crash when they run a request with the poisonous body."""
    for upstream in fleet.upstreams:
        upstream.deadly = POISON


def count_crashed(fleet):
    """Count the upstreams that have crashed."""
    return sum(upstream.ended for upstream in fleet.upstreams)


def count_runs(fleet):
    """Count the requests that upstreams have begun to run."""
    return sum(len(upstream.runs) for upstream in fleet.upstreams)


async def fetch_or_none(fleet, path, body, front):
    """Send a request and return the response, None if the connection closed."""
    try:
        return await fleet.fetch(path, body, front)
    except ConnectionError:
        return None


async def resend(fleet, path, body=POISON, times=RESEND_COUNT, pause=0.1):
    """Send the same request several times, to each daemon in turn, and return the responses."""
    replies = []
    for number in range(times):
        replies.append(await fetch_or_none(fleet, path, body, number % len(fleet.front_ports)))
        await asyncio.sleep(pause)
    return replies


@run_in_real_time
async def test_request_that_crashes_upstreams_is_quarantined():
    """Resends of one request went to one upstream after another and crashed all of them."""
    async with open_fleet("entry-2", "entry-3", upstreams=16) as fleet:
        make_upstreams_crash_on_poison(fleet)
        for path in ("/talk/a/events", "/once/a/events", "/book/1", "/look/1"):
            before = count_crashed(fleet)
            replies = await resend(fleet, path)
            assert count_crashed(fleet) - before <= MAX_LOST_UPSTREAMS, path
            assert replies[-1].status == 503, path
            assert float(replies[-1].headers[b"retry-after"]) > 0, path


@run_in_real_time
async def test_simultaneous_resends_are_quarantined_within_the_stability_bound():
    async with open_fleet("entry-2", "entry-3", upstreams=16) as fleet:
        make_upstreams_crash_on_poison(fleet)
        pending_replies = [
            fetch_or_none(fleet, "/once/a/events", POISON, n % 3) for n in range(RESEND_COUNT)
        ]
        await asyncio.gather(*pending_replies)
        await asyncio.sleep(BOUNDS.stability)
        before = count_runs(fleet)
        await resend(fleet, "/once/a/events")
        assert count_runs(fleet) - before <= MAX_LATE_RUNS
        assert count_crashed(fleet) < len(fleet.upstreams)


@run_in_real_time
async def test_requests_that_ran_beside_a_poisonous_one_are_served():
    async with open_fleet("entry-2", "entry-3", upstreams=8) as fleet:
        make_upstreams_crash_on_poison(fleet)
        for upstream in fleet.upstreams:
            upstream.work = 0.05
        concurrent_requests = [fetch_or_none(fleet, f"/look/{n}", b"", n % 3) for n in range(24)]
        await asyncio.gather(resend(fleet, "/talk/a/events"), *concurrent_requests)
        replies = [await fleet.fetch(f"/look/{n}", b"", n % 3) for n in range(24)]
        assert {reply.status for reply in replies} == {200}
        assert all(len(node.suspects.poison_tracker.quarantined) == 1 for node in fleet.nodes)


@run_in_real_time
async def test_previously_answered_request_is_not_quarantined_for_other_crashes():
    async with open_fleet(upstreams=5) as fleet:
        assert (await fleet.fetch("/look/hot")).status == 200
        for upstream in fleet.upstreams:
            upstream.work = 0.2
        for _ in range(MAX_LOST_UPSTREAMS):
            pending_reply = asyncio.create_task(fetch_or_none(fleet, "/look/hot", b"", 0))
            await asyncio.sleep(0.1)
            busy = [
                item for item in fleet.upstreams if item.server.busy_channels and not item.ended
            ]
            busy[0].crash()
            await pending_reply
        assert (await fleet.fetch("/look/hot")).status == 200


@run_in_real_time
async def test_previously_answered_request_that_crashes_upstreams_is_quarantined():
    async with open_fleet("entry-2", "entry-3", upstreams=16) as fleet:
        assert (await fleet.fetch("/book/1", POISON)).status == 200
        make_upstreams_crash_on_poison(fleet)
        replies = await resend(fleet, "/book/1", pause=0.4)
        assert replies[-1].status == 503
        before = count_runs(fleet)
        await resend(fleet, "/book/1")
        assert count_runs(fleet) == before


@with_virtual_time
async def test_simultaneous_losses_do_not_quarantine_a_popular_request():
    now = asyncio.get_running_loop().time
    tracker = SuspectTracker(EventLog("entry-1", now))
    tracker.note_answered("popular")
    for name in ("up-a", "up-b", "up-c", "up-d"):
        tracker.record_loss(
            UpstreamEntry(build_record(name)), [fail_attempt("popular"), fail_attempt("other")]
        )
        await asyncio.sleep(0.1)
    assert tracker.judge("popular") is Verdict.SUSPECT
    assert tracker.judge("other") is Verdict.QUARANTINED
    tracker.note_answered("popular")
    assert tracker.judge("popular") is Verdict.CLEAR


@run_in_real_time
async def test_quarantine_survives_all_daemons_and_is_lifted_by_operators():
    async with open_fleet("entry-2", upstreams=8) as fleet:
        make_upstreams_crash_on_poison(fleet)
        await resend(fleet, "/book/1")
        crashed_before = count_crashed(fleet)
        await fleet.wait_until(lambda: fleet.store.objects.get(QUARANTINE_KIND))
        for node in fleet.nodes:
            node.close()
        fleet.front_ports.clear()
        node = await fleet.add_daemon("entry-3")
        await fleet.wait_until(lambda: node.ready and node.suspects.poison_tracker.quarantined)
        assert (await fleet.fetch("/book/1", POISON)).status == 503
        assert count_crashed(fleet) == crashed_before
        (name,) = fleet.store.objects[QUARANTINE_KIND]
        fleet.store.remove(QUARANTINE_KIND, name)
        await fleet.wait_until(lambda: not node.suspects.poison_tracker.quarantined)
        assert (await fleet.fetch("/book/1", POISON)).status == 502


@with_virtual_time
async def test_only_crashed_upstreams_are_reported():
    log = EventLog("entry-1", asyncio.get_running_loop().time)
    watch = CrashDetector(log)
    lost = []
    watch.on_crash = lambda entry, attempts: lost.append(
        (entry.record.id, [attempt.fingerprint for attempt in attempts])
    )
    table = UpstreamTable()
    table.on_registration_ended = watch.note_crashed
    for name in ("alive", "restarted", "leaving", "removed"):
        table.put(build_record(name), 0.0)
        entry = table.entries[name]
        watch.end_attempt(entry, watch.start_attempt(f"request at {name}"), answered=False)
    await asyncio.sleep(0.1)
    alive = table.entries["alive"]
    watch.end_attempt(alive, watch.start_attempt("another"), answered=True)
    table.remove("alive")
    table.put(build_record("restarted", born=7.0), 0.0)
    table.put(build_record("leaving", draining=True), 0.0)
    leaving = table.entries["leaving"]
    table.remove("leaving")
    watch.end_attempt(leaving, watch.start_attempt("cut as it left"), answered=False)
    table.remove("removed")
    assert lost == [("restarted", ["request at restarted"]), ("removed", ["request at removed"])]


@with_virtual_time
async def test_log_of_a_crash_does_not_say_which_parts_of_prompts_its_requests_share():
    lines = []
    log = EventLog("entry-1", asyncio.get_running_loop().time)
    log.write = lambda event, **fields: lines.append((event, fields))
    watch = CrashDetector(log)
    entry = UpstreamEntry(build_record("up-a"))
    for number in range(3):
        attempt = watch.start_attempt(f"r{number}", ("shared", f"own-{number}"))
        watch.end_attempt(entry, attempt, answered=False)
    watch.note_crashed(entry, "it refused a connection")
    ((event, fields),) = lines
    assert event == "upstream_ended"
    assert fields["parts"] == {"shared": 3, "own-0": 1, "own-1": 1, "own-2": 1}


@with_virtual_time
async def test_losses_that_are_reported_twice_count_once():
    now = asyncio.get_running_loop().time
    first, second = (
        SuspectTracker(EventLog("entry-1", now)),
        SuspectTracker(EventLog("entry-2", now)),
    )
    entry = UpstreamEntry(build_record("up-a"))
    first.record_loss(entry, [fail_attempt("f")])
    second.record_loss(entry, [fail_attempt("f")])
    for _ in range(3):
        second.merge_losses("entry-1", 1, first.encode_losses(), now())
        await asyncio.sleep(0.5)
    assert second.poison_tracker.count_crashes("f") == 1
    assert not second.must_run_isolated("f")


@run_in_real_time
async def test_expired_quarantines_are_removed_from_the_store():
    async with open_fleet() as fleet:
        now = read_wall_time()
        for name, at in (
            ("over", now - QUARANTINE_SECONDS - 1.0),
            ("lasting", now),
            ("unreadable", ""),
        ):
            fleet.store.put(QUARANTINE_KIND, name, {"daemon": "entry-1", "at": at})
        mirror = fleet.node.mirrors[QUARANTINE_KIND]
        await fleet.wait_until(lambda: len(mirror.objects) == 3)
        await fleet.node.quarantine.remove_expired()
        assert list(fleet.store.objects[QUARANTINE_KIND]) == ["lasting"]
        await fleet.wait_until(lambda: list(mirror.objects) == ["lasting"])
        assert list(fleet.node.suspects.poison_tracker.quarantined) == ["lasting"]
