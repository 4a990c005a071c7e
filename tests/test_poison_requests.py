"""Requests that end each upstream that runs them, through several gateway daemons."""

import asyncio

from tanagertrail.gateway.clock import read_wall_time
from tanagertrail.gateway.crash_detector import CrashDetector
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.model import Upstream
from tanagertrail.gateway.quarantine import QUARANTINE_KIND
from tanagertrail.gateway.suspects import SuspectTracker
from tanagertrail.gateway.upstream_table import UpstreamEntry, UpstreamTable
from tanagertrail.policy.poison import QUARANTINE_SECONDS, Verdict
from tanagertrail.standins.documents import BOUNDS
from tests.gateway_utils import open_fleet, real_time
from tests.utils import with_virtual_time

POISON = b"lume under glass"
RESENDS = 9
MOST_LOST = 3
MOST_RETRIES = 3  # that may reach an upstream later than the stability bound after the third loss


def build_record(name, born=1.0, draining=False):
    """Return the registration of an upstream."""
    return Upstream(name, "desk", "127.0.0.1:9", "north", "v1", 8, draining, 0.0, born, False, None)


def arm(fleet):
    """Make one text deadly to all upstreams."""
    for upstream in fleet.upstreams:
        upstream.deadly = POISON


def count_ended(fleet):
    """Count the upstreams that have ended."""
    return sum(upstream.ended for upstream in fleet.upstreams)


def count_runs(fleet):
    """Count the requests that upstreams began."""
    return sum(len(upstream.runs) for upstream in fleet.upstreams)


async def ask_at(fleet, path, body, front):
    """Send a request and return its answer, None for a connection that closed."""
    try:
        return await fleet.ask(path, body, front)
    except ConnectionError:
        return None


async def send_again(fleet, path, body=POISON, times=RESENDS, pause=0.1):
    """Send a request again and again, each time to the next daemon."""
    replies = []
    for number in range(times):
        replies.append(await ask_at(fleet, path, body, number % len(fleet.fronts)))
        await asyncio.sleep(pause)
    return replies


@real_time
async def test_request_under_which_upstreams_ended_is_not_sent_on():
    """BUDGET on kumo-dial: a resend went to one upstream after the other, and all of them ended."""
    async with open_fleet("entry-2", "entry-3", upstreams=16) as fleet:
        arm(fleet)
        for path in ("/talk/a/events", "/once/a/events", "/book/1", "/look/1"):
            before = count_ended(fleet)
            replies = await send_again(fleet, path)
            assert count_ended(fleet) - before <= MOST_LOST, path
            assert replies[-1].status == 503, path
            assert float(replies[-1].headers[b"retry-after"]) > 0, path


@real_time
async def test_resends_at_one_instant_reach_nobody_after_the_stability_bound():
    async with open_fleet("entry-2", "entry-3", upstreams=16) as fleet:
        arm(fleet)
        asked = [ask_at(fleet, "/once/a/events", POISON, n % 3) for n in range(RESENDS)]
        await asyncio.gather(*asked)
        await asyncio.sleep(BOUNDS.stability)
        before = count_runs(fleet)
        await send_again(fleet, "/once/a/events")
        assert count_runs(fleet) - before <= MOST_RETRIES
        assert count_ended(fleet) < len(fleet.upstreams)


@real_time
async def test_requests_that_ran_beside_it_are_served():
    async with open_fleet("entry-2", "entry-3", upstreams=8) as fleet:
        arm(fleet)
        for upstream in fleet.upstreams:
            upstream.work = 0.05
        beside = [ask_at(fleet, f"/look/{n}", b"", n % 3) for n in range(24)]
        await asyncio.gather(send_again(fleet, "/talk/a/events"), *beside)
        replies = [await fleet.ask(f"/look/{n}", b"", n % 3) for n in range(24)]
        assert {reply.status for reply in replies} == {200}
        assert all(len(node.suspects.poison_tracker.quarantined) == 1 for node in fleet.nodes)


@real_time
async def test_request_that_was_answered_before_is_no_suspect():
    async with open_fleet(upstreams=5) as fleet:
        assert (await fleet.ask("/look/hot")).status == 200
        for upstream in fleet.upstreams:
            upstream.work = 0.2
        for _ in range(MOST_LOST):
            asked = asyncio.create_task(ask_at(fleet, "/look/hot", b"", 0))
            await asyncio.sleep(0.1)
            busy = [
                item for item in fleet.upstreams if item.server.busy_channels and not item.ended
            ]
            busy[0].crash()
            await asked
        assert (await fleet.ask("/look/hot")).status == 200


@real_time
async def test_request_that_was_answered_before_it_ended_upstreams_is_not_sent_on():
    async with open_fleet("entry-2", "entry-3", upstreams=16) as fleet:
        assert (await fleet.ask("/book/1", POISON)).status == 200
        arm(fleet)
        replies = await send_again(fleet, "/book/1", pause=0.4)
        assert replies[-1].status == 503
        before = count_runs(fleet)
        await send_again(fleet, "/book/1")
        assert count_runs(fleet) == before


@with_virtual_time
async def test_wave_of_losses_does_not_quarantine_a_popular_request():
    now = asyncio.get_running_loop().time
    book = SuspectTracker(EventLog("entry-1", now))
    book.note_answered("popular")
    for name in ("up-a", "up-b", "up-c", "up-d"):
        book.record_loss(UpstreamEntry(build_record(name)), ["popular", "other"])
        await asyncio.sleep(0.1)
    assert book.judge("popular") is Verdict.SUSPECT
    assert book.judge("other") is Verdict.QUARANTINED
    book.note_answered("popular")
    assert book.judge("popular") is Verdict.CLEAR


@real_time
async def test_quarantine_outlives_all_daemons_and_is_lifted_by_operators():
    async with open_fleet("entry-2", upstreams=8) as fleet:
        arm(fleet)
        await send_again(fleet, "/book/1")
        ended = count_ended(fleet)
        await fleet.wait_until(lambda: fleet.store.objects.get(QUARANTINE_KIND))
        for node in fleet.nodes:
            node.close()
        fleet.fronts.clear()
        node = await fleet.add("entry-3")
        await fleet.wait_until(lambda: node.ready and node.suspects.poison_tracker.quarantined)
        assert (await fleet.ask("/book/1", POISON)).status == 503
        assert count_ended(fleet) == ended
        (name,) = fleet.store.objects[QUARANTINE_KIND]
        fleet.store.remove(QUARANTINE_KIND, name)
        await fleet.wait_until(lambda: not node.suspects.poison_tracker.quarantined)
        assert (await fleet.ask("/book/1", POISON)).status == 502


@with_virtual_time
async def test_only_an_upstream_that_ended_counts():
    log = EventLog("entry-1", asyncio.get_running_loop().time)
    watch = CrashDetector(log)
    lost = []
    watch.on_crash = lambda entry, fingerprints: lost.append((entry.record.id, fingerprints))
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
    assert lost == [
        ("restarted", ["request at restarted"]),
        ("removed", ["request at removed"]),
    ]


@with_virtual_time
async def test_losses_that_daemons_tell_twice_count_once():
    now = asyncio.get_running_loop().time
    first, second = (
        SuspectTracker(EventLog("entry-1", now)),
        SuspectTracker(EventLog("entry-2", now)),
    )
    entry = UpstreamEntry(build_record("up-a"))
    first.record_loss(entry, ["f"])
    second.record_loss(entry, ["f"])
    for _ in range(3):
        second.merge_losses("entry-1", 1, first.encode_losses(), now())
        await asyncio.sleep(0.5)
    assert second.poison_tracker.count_crashes("f") == 1
    assert not second.must_run_isolated("f")


@real_time
async def test_quarantines_that_are_over_are_removed_from_the_store():
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
