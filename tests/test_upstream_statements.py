"""Upstreams that state in their answers that they leave or want no requests for a while."""

import asyncio

from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.model import Upstream
from tanagertrail.gateway.upstream_statements import KEEP_GONE_SECONDS, UpstreamStatements
from tanagertrail.gateway.upstream_table import UpstreamEntry, UpstreamTable
from tanagertrail.platform.header_fields import UPSTREAM_ID, decode_upstream_fields
from tanagertrail.platform.statement_fields import decode_stated_fields
from tanagertrail.policy.retry_after import ReturnSchedule
from tanagertrail.policy.statements import MAX_WAIT_SECONDS
from tests.gateway_utils import (
    cut_off_from_upstreams,
    list_tries,
    open_fleet,
    open_world,
    run_in_real_time,
)

ROUND = 36  # requests, over all daemons
MANY = 400
SETTLE_SECONDS = 0.3  # until other daemons are told


async def send_round(fleet, path, count=ROUND):
    """Send requests through all daemons at once and return the replies."""
    fronts = len(fleet.front_ports)
    return await asyncio.gather(
        *(fleet.fetch(path, b"prompt", front=number % fronts) for number in range(count))
    )


async def count_after_leaving(path, faults=(), then=None):
    """Let one of four upstreams state that it leaves, and count its requests after that.

    :param faults: faults of its answers
    :param then: changes the fleet once the daemons know
    """
    async with open_fleet("entry-2", "entry-3", upstreams=4) as fleet:
        leaving = fleet.upstreams[0]
        leaving.leaving = "1"
        leaving.faults.extend(faults)
        while not leaving.arrivals:
            await send_round(fleet, path, 3)
        await asyncio.sleep(SETTLE_SECONDS)
        if then is not None:
            await then(fleet)
        before = len(leaving.arrivals)
        replies = await send_round(fleet, path)
        assert [reply.status for reply in replies] == [200] * ROUND
        return len(leaving.arrivals) - before


@run_in_real_time
async def test_upstream_that_leaves_in_plain_answers_gets_more():
    requests = await count_after_leaving("/look/x")
    assert requests == 0, requests


@run_in_real_time
async def test_upstream_that_leaves_in_streams_gets_more():
    requests = await count_after_leaving("/talk/a/events")
    assert requests == 0, requests


@run_in_real_time
async def test_upstream_that_leaves_in_refusals_gets_more():
    requests = await count_after_leaving("/look/x", ["refuse"] * MANY)
    assert requests == 0, requests


@run_in_real_time
async def test_older_listing_makes_an_upstream_that_leaves_ready_again():
    async def list_again(fleet):
        fleet.store.remove("servers", "up-a")
        await fleet.wait_for_upstreams(3)
        fleet.register("up-a")
        await fleet.wait_for_upstreams(4)
        await asyncio.sleep(SETTLE_SECONDS)

    requests = await count_after_leaving("/look/x", then=list_again)
    assert requests == 0, requests


@run_in_real_time
async def test_daemon_that_is_cut_off_has_requests_carried_to_an_upstream_that_leaves():
    async def cut_off(fleet):
        cut_off_from_upstreams(fleet.nodes[0])

    requests = await count_after_leaving("/look/x", then=cut_off)
    assert requests == 0, requests


@run_in_real_time
async def test_upstream_gets_requests_in_the_time_for_which_it_wants_none():
    async with open_fleet("entry-2", "entry-3", upstreams=4) as fleet:
        waiting = fleet.upstreams[0]
        waiting.wait = "2"
        waiting.faults.extend(["refuse"] * MANY)
        while any(not list_tries(node)["up-a"] for node in fleet.nodes):
            await send_round(fleet, "/look/x", 12)
        before = [list_tries(node)["up-a"] for node in fleet.nodes]
        for _ in range(3):
            await asyncio.sleep(0.2)
            replies = await send_round(fleet, "/look/x")
            assert [reply.status for reply in replies] == [200] * ROUND
        after = [list_tries(node)["up-a"] for node in fleet.nodes]
        assert after == before, (before, after)


@run_in_real_time
async def test_callers_of_upstreams_that_all_want_to_wait_return_together_or_early():
    async with open_world() as world:
        for upstream in world.upstreams:
            upstream.wait = "2"
            upstream.faults.extend(["refuse"] * MANY)
        while not all(upstream.arrivals for upstream in world.upstreams):
            await world.fetch("/look/x")
        before = [len(upstream.arrivals) for upstream in world.upstreams]
        replies = await send_round(world, "/look/x", 10)
        after = [len(upstream.arrivals) for upstream in world.upstreams]
        assert after == before, (before, after)
        times = [float(reply.headers[b"retry-after"]) for reply in replies]
        assert {reply.status for reply in replies} == {503}
        assert min(times) > 1.5
        assert len(set(times)) == len(times)


def test_both_spellings_of_statements_are_read():
    for prefix in (b"", b"tanagertrail-"):
        fields = [(prefix + b"server-leaving", b"1"), (prefix + b"retry-after", b"2")]
        assert decode_stated_fields(fields) == (True, 2.0, ())


def test_malformed_statement_is_believed():
    for value in (b"-1", b"nan", b"inf", b"1e3", b"9" * 400, b"", b"Fri, 31 Dec 1999 23:59:59 GMT"):
        stated = decode_stated_fields([(b"server-leaving", value), (b"retry-after", value)])
        assert (stated.leaving, stated.wait, len(stated.refused)) == (False, None, 2), value
    assert decode_stated_fields([(b"server-leaving", b"1"), (b"server-leaving", b"0")]).refused
    assert decode_stated_fields([(b"retry-after", b"1"), (b"retry-after", b"2")]).refused


class Clock:
    """A boot clock that the test advances."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


def build_table(clock):
    """Return the table of one daemon and the lines that it logs."""
    log = EventLog("a", clock)
    lines = []
    log.logger.info = lines.append
    return UpstreamStatements(UpstreamTable(), log, clock), lines


def build_upstream(born=1.0):
    """Return an entry of an upstream."""
    return UpstreamEntry(
        Upstream("up-1", "desk", "h:1", "north", "v1", 8, False, 0.0, born, False, None)
    )


def hear(table, entry, status=200, **fields):
    """Let a daemon hear an answer with some fields."""
    headers = [(name.replace("_", "-").encode(), value.encode()) for name, value in fields.items()]
    table.note_answer(entry, status, decode_upstream_fields(headers))


def test_statement_of_an_ended_incarnation_binds_the_next_one():
    table, _ = build_table(Clock())
    hear(table, build_upstream(2.0), 503, server_leaving="1", retry_after="2")
    assert table.is_leaving(build_upstream(1.0).record), "an older listing"
    assert table.is_leaving(build_upstream(2.0).record)
    assert not table.is_leaving(build_upstream(3.0).record)
    assert table.count_wait_left(build_upstream(3.0)) == 0


def test_wait_is_endless_or_ends_early_or_is_read_from_other_answers():
    clock = Clock()
    table, _ = build_table(clock)
    entry = build_upstream()
    hear(table, entry, 500, retry_after="2")
    assert table.count_wait_left(entry) == 0
    hear(table, entry, 503, retry_after="2")
    clock.now += 1.5
    hear(table, entry, 503, retry_after="0.1")
    hear(table, entry, 200)
    assert table.count_wait_left(entry) == 0.5
    hear(table, entry, 503, retry_after="7200")
    assert table.count_wait_left(entry) == MAX_WAIT_SECONDS
    clock.now += MAX_WAIT_SECONDS
    assert table.count_wait_left(entry) == 0
    table.forget_ended()
    assert not table.waits


def test_wait_of_a_minute_is_cut_short():
    clock = Clock()
    table, _ = build_table(clock)
    entry = build_upstream()
    hear(table, entry, 503, retry_after="60")
    clock.now += 59.0
    assert table.count_wait_left(entry) == 1.0


def test_statement_of_another_upstream_is_believed():
    table, _ = build_table(Clock())
    entry = build_upstream()
    hear(table, entry, 503, server_leaving="1", retry_after="2", **{UPSTREAM_ID.decode(): "up-9"})
    assert not table.leaving
    assert not table.waits


def test_statements_flood_the_log():
    clock = Clock()
    table, lines = build_table(clock)
    for _ in range(100):
        hear(table, build_upstream(), server_leaving="1")
        hear(table, build_upstream(), server_leaving="soon", retry_after="never")
    assert len(lines) == 3
    assert table.refused_count == 200


def test_daemons_tell_each_other_for_ever_of_an_upstream_that_is_gone():
    clock = Clock()
    first, _ = build_table(clock)
    second, lines = build_table(clock)
    hear(first, build_upstream(), server_leaving="1")
    second.merge("a", first.encode(), clock.now)
    assert second.is_leaving(build_upstream().record)
    clock.now += KEEP_GONE_SECONDS + 1.0
    assert first.encode() == second.encode() == ()
    second.forget_ended()
    assert not second.leaving
    assert len(lines) == 1


def test_callers_return_before_the_wait_has_ended_or_together():
    schedule = ReturnSchedule()
    times = [schedule.plan_return_after(2.0, 50.0, 10.0, 0.0) for _ in range(100)]
    assert min(times) > 2.0
    assert len(set(times)) == len(times)
