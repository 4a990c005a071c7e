"""Upstreams that say that they fall over if they have to reject too many requests."""

import asyncio
import math
from collections import Counter
from types import SimpleNamespace

from tanagertrail.daemons.releases import HOLDERS_RELEASE
from tanagertrail.gateway.brittle_upstreams import BrittleUpstreams
from tanagertrail.gateway.crash_detector import CrashDetector
from tanagertrail.gateway.model import Upstream
from tanagertrail.gateway.upstream_table import UpstreamEntry, UpstreamTable
from tanagertrail.platform.header_fields import decode_upstream_fields
from tanagertrail.policy.brittle import BrittleRoom, count_holders, plan_slots, widen_room
from tanagertrail.policy.hashing import rank_by_hash
from tanagertrail.policy.limit_statements import LimitStatement
from tanagertrail.policy.shared_rate import FleetView
from tanagertrail.standins.brittle import BrittleUpstream
from tests.gateway_utils import (
    let_daemons_know_each_other,
    open_fleet,
    open_world,
    run_in_real_time,
)
from tests.utils import with_virtual_time

FIELDS = (b"server-brittle", b"tanagertrail-server-brittle")


def build_record(name, born=1.0):
    """Build the registration of an upstream."""
    return Upstream(name, "desk", "h:1", "north", "v1", 8, False, 0.0, born, False, None)


def test_both_spellings_of_the_brittle_field_are_read():
    for field in FIELDS:
        assert decode_upstream_fields([(field, b" 3 ")]).rejection_limit.count == 3
    assert decode_upstream_fields([(b"date", b"3")]).rejection_limit is None


def test_malformed_brittle_field_is_not_taken_for_a_number_or_for_none():
    for value in (b"", b"-1", b"1.5", b"many", b"nan", b"9" * 40, b"0x1"):
        assert decode_upstream_fields([(FIELDS[0], value)]).rejection_limit.count is None, value
    mixed = decode_upstream_fields([(FIELDS[0], b"3"), (FIELDS[1], b"4")])
    assert mixed.rejection_limit.count is None


def end_registration(rejection_limit):
    """End the registration of an upstream with an unanswered request; list what is blamed."""
    watch = CrashDetector(SimpleNamespace(write=lambda event, **fields: None))
    blamed = []
    watch.on_crash = lambda entry, attempts: blamed.extend(item.fingerprint for item in attempts)
    table = UpstreamTable()
    table.on_registration_ended = watch.note_crashed
    table.put(build_record("up-a"), 0.0)
    entry = table.entries["up-a"]
    entry.rejection_limit = rejection_limit
    watch.end_attempt(entry, watch.start_attempt("request"), answered=False)
    table.put(build_record("up-a", born=2.0), 0.0)
    assert table.entries["up-a"].rejection_limit is None
    return blamed


@with_virtual_time
async def test_requests_are_not_blamed_for_the_fall_of_a_brittle_upstream():
    assert end_registration(3) == []
    assert end_registration(None) == ["request"]


def test_only_an_upstream_that_said_so_falls_as_a_brittle_one():
    entry = UpstreamEntry(build_record("up-a"))
    entry.crashed_at = 1.0
    assert not entry.has_fallen_brittle
    entry.rejection_limit = 0
    assert entry.has_fallen_brittle


async def break_off_once(brittle):
    """Let an upstream end under a request; list what counts against requests and the version."""
    async with open_world() as world:
        upstream = world.keep_one_upstream()
        await world.wait_for_upstreams(1)
        upstream.brittle = brittle
        assert (await world.fetch("/look/x")).status == 200
        judged = []
        world.node.dispatcher.trials.note_result = lambda exchange, version, attempt: judged.append(
            attempt.result.value
        )
        upstream.deadly = b"/book/y"
        assert (await world.fetch("/book/y")).status == 502
        return judged, [loss for _, loss in world.node.suspects.losses]


@run_in_real_time
async def test_version_and_requests_are_not_blamed_for_the_fall_of_a_brittle_upstream():
    assert await break_off_once("3") == ([], [])
    judged, losses = await break_off_once(None)
    assert judged == ["broken"]
    assert len(losses) == 1


@run_in_real_time
async def test_brittle_statement_in_a_rejection_counts_and_a_malformed_one_changes_nothing():
    async with open_world() as world:
        upstream = world.keep_one_upstream()
        await world.wait_for_upstreams(1)
        entry = world.node.cluster_view.upstreams.entries["up-a"]
        upstream.brittle = "3"
        upstream.faults.append("refuse")
        assert (await world.fetch("/look/x")).status == 503
        assert entry.rejection_limit == 3
        for value, expected in (("soon", 3), ("2", 2), (None, None)):
            upstream.brittle = value
            assert (await world.fetch("/look/x")).status == 200
            assert entry.rejection_limit == expected


async def press(fleet, front, statuses, until):
    """Send requests through one daemon, and return when it says so after a refusal."""
    while asyncio.get_running_loop().time() < until:
        reply = await fleet.fetch("/look/x", front=front)
        statuses[reply.status] += 1
        if reply.status != 200:
            await asyncio.sleep(float(reply.headers.get(b"retry-after", b"0.1")))


@run_in_real_time
async def test_callers_that_press_do_not_make_brittle_upstreams_fall():
    async with open_fleet(
        "entry-2", "entry-3", upstreams=4, upstream_type=BrittleUpstream
    ) as fleet:
        let_daemons_know_each_other(fleet)
        loop = asyncio.get_running_loop()
        statuses = Counter()
        until = loop.time() + 4.4
        for upstream in fleet.upstreams:
            upstream.work = 0.4
        async with asyncio.TaskGroup() as group:
            for number in range(108):
                group.create_task(press(fleet, number % 3, statuses, until))
            await asyncio.sleep(0.6)
            for upstream in fleet.upstreams:
                upstream.become_brittle(3, stability=0.8)
            await asyncio.sleep(0.8)
            served_before = statuses[200]
        assert sum(len(upstream.falls) for upstream in fleet.upstreams) <= 2
        assert statuses[502] == 0
        # Four upstreams run eight requests of 0.4 s at once, 240 in the 3 s that are left.
        assert statuses[200] - served_before >= 167, statuses


@run_in_real_time
async def test_room_of_one_daemon_is_not_left_unused_while_another_refuses_callers():
    async with open_fleet(
        "entry-2", "entry-3", upstreams=2, upstream_type=BrittleUpstream
    ) as fleet:
        for upstream in fleet.upstreams:
            upstream.become_brittle(3, stability=0.0)
        assert (await fleet.fetch("/book/x")).status == 200
        await fleet.wait_until(lambda: all(node.brittle.in_force for node in fleet.nodes))
        let_daemons_know_each_other(fleet)
        replies = await asyncio.gather(*(fleet.fetch("/book/x") for _ in range(16)))
        # Two upstreams run eight requests each at once; a third of these is the daemon's own part.
        assert Counter(reply.status for reply in replies) == {200: 16}
        assert sum(len(upstream.rejected_at) for upstream in fleet.upstreams) == 0


def plan_parts(daemons, slots, live_share=1.0, spreads_slots=False):
    """Plan the parts of all daemons."""
    names = frozenset(f"d{number}" for number in range(daemons))
    fleets = [FleetView(name, names, live_share, spreads_slots) for name in names]
    holders = rank_by_hash("up-a 1.0", names)[: count_holders(slots, fleets[0])]
    return [plan_slots(holders, slots, fleet) for fleet in fleets]


def test_parts_of_all_daemons_together_are_the_slots_of_an_upstream():
    for daemons in (1, 3, 5, 75, 195, 380):
        for slots in (1, 8, 48):
            assert sum(plan_parts(daemons, slots)) == slots
            assert sum(plan_parts(daemons, slots, 0.5)) == max(slots // 2, 1)


def test_slots_of_an_upstream_are_not_spread_one_by_one_over_a_large_fleet():
    for daemons, slots, most in ((10, 16, 4), (75, 16, 4), (380, 48, 12), (380, 1, 1)):
        parts = [part for part in plan_parts(daemons, slots) if part]
        assert len(parts) == most
        assert max(parts) - min(parts) <= 1


def test_slots_add_up_to_more_than_an_upstream_has_beside_daemons_of_older_releases():
    older_parts = plan_parts(30, 48, spreads_slots=True)
    assert sorted(older_parts) == [1] * 12 + [2] * 18
    assert sum(older_parts) == 48


@run_in_real_time
async def test_older_daemon_is_taken_for_one_that_leaves_slots_to_holders():
    async with open_fleet("entry-2") as fleet:
        rates = fleet.node.shared_rates
        let_daemons_know_each_other(fleet)
        assert not rates.held_rates.fleet.spreads_slots
        fleet.node.members.states["entry-2"].release = HOLDERS_RELEASE - 1
        rates.refreshed_at = float("-inf")
        rates.refresh_fleet()
        assert rates.held_rates.fleet.spreads_slots


def test_daemon_that_serves_nobody_has_no_room_at_a_brittle_upstream():
    assert plan_slots(["d1"], 8, FleetView("d9", frozenset({"d1"}), 1.0)) == 0


def test_room_does_not_grow_before_the_other_daemons_know_the_fleet():
    room = BrittleRoom()
    room.apply_part(4, settled=False)
    assert not room.allows_request(0, 0.0)
    room.apply_part(4, settled=True)
    assert room.allows_request(3, 0.0)
    room.apply_part(2, settled=False)
    assert not room.allows_request(2, 0.0)


def test_rejection_by_a_brittle_upstream_is_not_followed_by_another_request_at_once():
    room = BrittleRoom()
    room.apply_part(8, settled=True)
    pauses = []
    now = 0.0
    for _ in range(6):
        room.note_rejected(6, now)
        room.note_rejected(5, now)
        assert not room.allows_request(0, now + 0.99)
        pauses.append(room.paused_until - now)
        now = room.paused_until
    assert pauses == [1.0, 2.0, 4.0, 8.0, 8.0, 8.0]
    assert room.allows_request(0, now)
    assert not room.allows_request(1, now)
    for _ in range(60):
        room.note_answered()
    assert room.allows_request(7, now)
    assert room.pause == 0.0


def test_room_returns_to_the_usual_without_a_wave():
    assert [widen_room(2, 16, seconds) for seconds in (0.0, 1.0, 2.0)] == [2.0, 5.5, 9.0]
    assert widen_room(2, 16, 4.0) == math.inf
    assert widen_room(0, 16, 0.0) == 1


class Clock:
    """A boot clock that the test advances."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


def build_brittle(*names):
    """Build what one daemon knows of some upstreams."""
    clock = Clock()
    table = UpstreamTable()
    for name in names:
        table.put(build_record(name), 0.0)
    log = SimpleNamespace(write=lambda event, **fields: None)
    return BrittleUpstreams(table, SimpleNamespace(daemon_count=1), log, clock), clock


def test_upstream_that_has_started_again_is_brittle_like_the_others_of_its_service():
    brittle, clock = build_brittle("up-a", "up-b")
    entries = brittle.upstreams.entries
    brittle.apply("up-a", LimitStatement(1.0, 3.0, 1000.0, 1000.0), "test")
    assert brittle.is_brittle(entries["up-a"])
    assert brittle.is_brittle(entries["up-b"])
    brittle.apply("up-b", LimitStatement(1.0, None, 1000.5, 1000.6), "test")
    assert not brittle.is_brittle(entries["up-b"])
    brittle.upstreams.put(build_record("up-b", born=2.0), 0.0)
    assert brittle.is_brittle(entries["up-b"])
    brittle.apply("up-a", LimitStatement(1.0, None, 1001.0, 1001.0), "test")
    assert not brittle.is_brittle(entries["up-b"])


def test_daemon_learns_from_another_that_an_upstream_is_brittle():
    first, clock = build_brittle("up-a")
    first.apply("up-a", LimitStatement(1.0, 3.0, 999.0, 999.1), "test")
    second, _ = build_brittle("up-a")
    second.merge("entry-1", first.encode(), clock.now)
    assert second.upstreams.entries["up-a"].rejection_limit == 3
    second.apply("up-a", LimitStatement(1.0, None, 999.5, 999.6), "test")
    second.merge("entry-1", first.encode(), clock.now)
    assert second.upstreams.entries["up-a"].rejection_limit is None
