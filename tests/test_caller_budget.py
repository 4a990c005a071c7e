"""Who yields when what all callers hold together has reached a limit."""

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from tanagertrail.gateway.body_budget import BodyBudget, BodyClaim
from tanagertrail.gateway.caller_guard import CallerGuard
from tanagertrail.gateway.http1 import RequestRefusedError
from tanagertrail.gateway.http_server import HttpServer
from tanagertrail.policy.caller_budget import (
    BodyProgress,
    CallerBudget,
    CallerShares,
    ConnectionFacts,
    Stage,
    choose_closing,
    choose_yielding,
    derive_budget,
)
from tanagertrail.settings.gateway import CallersSection
from tests.caller_utils import CallerWorld, turn_loop, with_callers
from tests.utils import with_virtual_time

MEGABYTE = 1_000_000
LARGEST = 4_194_304
BUDGET = CallerBudget(body_bytes=32 * MEGABYTE, address_bytes=16 * MEGABYTE, min_body_rate=4096)
POST = b"POST / HTTP/1.1\r\nhost: desk.example\r\n"
sizes = st.integers(0, LARGEST)
bodies = st.builds(BodyProgress, st.sampled_from("abc"), sizes, sizes, st.floats(0, 600))


def choose(progress, excess, budget=BUDGET):
    """Return the places of the bodies that yield, and whether they are too slow."""
    held = {}
    for body in progress:
        held[body.address] = held.get(body.address, 0) + body.received
    return [tuple(item) for item in choose_yielding(progress, excess, held, budget)]


def test_open_bodies_yield_before_those_that_arrive():
    """64 callers that stop short of their end must not keep others from sending bodies."""
    stalled = [BodyProgress("a", LARGEST - 1, LARGEST, 8.0)] * 7
    quick = [BodyProgress("b", 900_000, 1_000_000, 0.1), BodyProgress("c", 100, 200, 0.01)]
    assert {place for place, _ in choose(stalled + quick, 4 * MEGABYTE)} <= set(range(7))


def test_large_bodies_yield_before_small_ones_of_the_same_rate():
    small, large = BodyProgress("a", 50_000, 100_000, 0.5), BodyProgress("b", 50_000, LARGEST, 0.5)
    assert choose([small, large], 1) == [(1, False)]


def test_of_equal_bodies_the_one_that_came_farthest_goes_on():
    """If those with most bytes yielded, a crowd of large bodies would complete none."""
    begun = BodyProgress("a", MEGABYTE, LARGEST, 0.1)
    done = BodyProgress("a", 3 * MEGABYTE, LARGEST, 0.3)
    assert choose([done, begun], 1) == [(1, False)]


def test_bodies_of_one_address_yield_before_slower_ones_of_others():
    crowd = [BodyProgress("a", 3 * MEGABYTE, LARGEST, 0.5)] * 6
    other = BodyProgress("b", 100_000, LARGEST, 0.9)
    assert all(place < 6 for place, _ in choose([*crowd, other], 4 * MEGABYTE))


def test_trickling_bodies_are_too_slow():
    trickle = BodyProgress("a", 400, LARGEST, 30.0)
    assert choose([trickle, BodyProgress("b", MEGABYTE, LARGEST, 1.0)], 100)[0] == (0, True)


@given(st.lists(bodies, max_size=12), st.integers(1, 8 * MEGABYTE))
def test_enough_is_freed_and_no_body_yields_twice(progress, excess):
    chosen = [place for place, _ in choose(progress, excess)]
    freed = sum(progress[place].received for place in chosen)
    assert len(chosen) == len(set(chosen))
    assert freed >= min(excess, sum(body.received for body in progress))


def test_limits_follow_from_the_machine_and_can_be_turned_off():
    shares = CallersSection().list_shares()
    budget = derive_budget(160 * MEGABYTE, 1638, shares, 1_048_576)
    assert budget == CallerBudget(32 * MEGABYTE, 16 * MEGABYTE, 573, 16 * MEGABYTE, 4096.0)
    off = derive_budget(160 * MEGABYTE, 1638, CallerShares(0, 0, 0, 0, 0, 0), 1_048_576)
    assert off == CallerBudget()


def test_idle_connections_are_closed_before_heads_and_the_oldest_first():
    facts = [
        ConnectionFacts(Stage.BUSY, 0.0),
        ConnectionFacts(Stage.HEAD, 1.0),
        ConnectionFacts(Stage.IDLE, 3.0),
        ConnectionFacts(Stage.IDLE, 2.0),
    ]
    assert choose_closing(facts, 60) == [3, 2, 1]
    assert choose_closing(facts[:1], 60) == []


def open_claims(budget, count, refused):
    """Return claims whose refusals are recorded with their number."""
    return [
        budget.open(BodyClaim("a", LARGEST, LARGEST, lambda error, n=n: refused.append((n, error))))
        for n in range(count)
    ]


@with_virtual_time
async def test_bodies_in_progress_stay_within_the_budget():
    refused: list[tuple[int, RequestRefusedError]] = []
    budget = BodyBudget(lambda: BUDGET._replace(body_bytes=8 * MEGABYTE))
    claims = open_claims(budget, 16, refused)
    for _ in range(128):
        for claim in claims:
            budget.add(claim, bytes(32_768))
        await asyncio.sleep(0.01)
        assert budget.held <= 8 * MEGABYTE
    assert {error.status for _, error in refused} == {503}
    assert all(error.retry_after > 0 for _, error in refused)
    assert any(claim.held == LARGEST for claim in claims)
    for claim in claims:
        budget.release(claim)
    assert budget.held == 0


@with_virtual_time
async def test_one_body_of_the_largest_length_is_received_on_the_smallest_machine():
    refused: list[tuple[int, RequestRefusedError]] = []
    budget = BodyBudget(lambda: BUDGET._replace(body_bytes=1000))
    (claim,) = open_claims(budget, 1, refused)
    for _ in range(128):
        budget.add(claim, bytes(32_768))
        await asyncio.sleep(14.0)
    assert (len(claim.take_body()), refused) == (LARGEST, [])


def limit(world: CallerWorld, **limits) -> None:
    """Put limits on what callers hold in force, before any connection is open."""
    budget = CallerBudget(**limits)
    guard = CallerGuard(lambda: budget)
    world.server = HttpServer(
        world.handle, lambda: world.limits, world.log, guard, lambda: budget.connections
    )


@with_callers
async def test_yielding_body_is_refused_as_not_run_while_its_caller_waits(world):
    """The refusal reaches a caller that sends nothing more, with the time of a retry."""
    world.limits = world.limits._replace(body_bytes=50_000)
    limit(world, body_bytes=55_000)
    stalled, quick = world.connect(), world.connect()
    for transport, length in ((stalled, 40_000), (quick, 30_000)):
        transport.send(POST + b"content-length: %d\r\n\r\n" % length + bytes(30_000))
        transport.deliver()
        await turn_loop()
        await asyncio.sleep(0.5)
    assert stalled.sent.startswith(b"HTTP/1.1 503")
    assert b"retry-after: 0.25" in stalled.sent
    assert quick.sent.startswith(b"HTTP/1.1 200")


@with_callers
async def test_new_connection_takes_the_place_of_the_longest_idle(world):
    """Callers that only connect must not keep others from connecting."""
    limit(world, connections=4)
    idle = []
    for _ in range(4):
        idle.append(world.connect())
        await asyncio.sleep(1.0)
    await world.request(world.connect())
    assert [transport.closed_at is not None for transport in idle] == [True, False, False, False]
    assert world.handled == ["/0"]


@with_callers
async def test_next_request_waits_until_the_response_before_it_is_read(world):
    """A caller that pipelines and does not read made the daemon hold all its responses."""
    transport = world.connect()
    await world.request(transport)
    transport.channel.pause_writing()
    transport.send(b"GET /1 HTTP/1.1\r\nhost: a\r\n\r\nGET /2 HTTP/1.1\r\nhost: a\r\n\r\n")
    transport.deliver()
    await turn_loop()
    assert world.handled == ["/0", "/1"]
    transport.channel.resume_writing()
    await turn_loop()
    assert world.handled == ["/0", "/1", "/2"]


@with_callers
async def test_connection_that_holds_most_unread_bytes_is_reset(world):
    limit(world, unread_bytes=100_000)
    slow, slower = world.connect(), world.connect()
    slow.unsent, slower.unsent = 40_000, 70_000
    await world.request(slower)
    await world.request(slow)
    assert (slower.aborted, slow.aborted) == (True, False)
    assert world.server.guard.unread.total == 40_000
