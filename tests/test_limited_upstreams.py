"""Fleets of daemons before upstreams that name a request rate, on loopback."""

import asyncio
import functools
import random
from bisect import bisect_left
from collections.abc import Sequence
from typing import NamedTuple
from unittest.mock import patch

from tanagertrail.gateway.members import MEMBERS_KIND
from tanagertrail.gateway.peers import PeerClient
from tests.gateway_utils import let_daemons_know_each_other, open_fleet, run_in_real_time

REQUESTS_PER_SECOND = 60
NAMED_AT_SECONDS = 1.0
BOUND_FROM_SECONDS = 4.0  # the stability bound after the naming
END_SECONDS = 10.0
WINDOW_SECONDS = 4.0
EXTRA_REQUESTS = 5  # that a window may hold beyond 1.5 times the rate
USED_SHARE = 0.6  # of the named rates that is served while callers press
DEADLINE_SECONDS = 2.0  # of callers


def compute_bound(rate: float) -> float:
    """Return the most requests that a window may hold."""
    return 1.5 * rate * WINDOW_SECONDS + EXTRA_REQUESTS


def count_fullest_window(times: Sequence[float]) -> int:
    """Return the requests in the fullest window.

    :param times: arrivals in rising order, in seconds
    """
    return max(
        (bisect_left(times, at + WINDOW_SECONDS) - n for n, at in enumerate(times)), default=0
    )


class Outcome(NamedTuple):
    """What a caller got, and after how many seconds."""

    status: int
    retry_after: str
    seconds: float


async def call(fleet, front: int) -> Outcome:
    """Send one request through a daemon."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    reply = await fleet.fetch("/look/x", front=front)
    retry_after = reply.headers.get(b"retry-after", b"").decode()
    return Outcome(reply.status, retry_after, loop.time() - started)


async def press(fleet, seconds: float) -> list[Outcome]:
    """Send requests through all daemons and return what came of them."""
    rng = random.Random(1)
    calls = []
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    while loop.time() < until:
        front = rng.randrange(len(fleet.front_ports))
        calls.append(asyncio.create_task(call(fleet, front)))
        await asyncio.sleep(rng.expovariate(REQUESTS_PER_SECOND))
    return await asyncio.gather(*calls)


async def play(
    daemons: int, rates: Sequence[str | None]
) -> tuple[dict[str, list[float]], list[Outcome]]:
    """Press a fleet whose upstreams name rates a second after the load begins.

    :param rates: rate that each upstream names, None for none
    :return: arrivals of each upstream from the time at which the bound holds, and all outcomes
    """
    names = [f"entry-{number}" for number in range(2, daemons + 1)]
    async with open_fleet(*names, upstreams=len(rates)) as fleet:
        started = asyncio.get_running_loop().time()
        load = asyncio.create_task(press(fleet, END_SECONDS))
        await asyncio.sleep(NAMED_AT_SECONDS)
        for upstream, rate in zip(fleet.upstreams, rates, strict=True):
            upstream.named_rate = rate
        outcomes = await load
        bound_from = started + BOUND_FROM_SECONDS
        times = {
            upstream.id: [at for at in upstream.arrival_times if at >= bound_from]
            for upstream in fleet.upstreams
        }
        return times, outcomes


ONE_IN_NEED = ("1.6", None, None, None)
ALL_IN_NEED = ("1.4",) * 4


@functools.cache
def play_both() -> dict[tuple, tuple[dict[str, list[float]], list[Outcome]]]:
    """Play a fleet with one upstream in need and one with all in need, beside each other."""

    async def run():
        return await asyncio.gather(play(5, ONE_IN_NEED), play(5, ALL_IN_NEED))

    return dict(zip((ONE_IN_NEED, ALL_IN_NEED), asyncio.run(run()), strict=True))


def test_one_upstream_in_need_gets_more_than_the_rate_that_it_named():
    times, outcomes = play_both()[ONE_IN_NEED]
    assert count_fullest_window(times["up-a"]) <= compute_bound(1.6)
    assert sum(item.status == 200 for item in outcomes) >= 0.99 * len(outcomes)


def test_upstreams_that_are_all_in_need_get_more_than_they_named_or_far_less():
    times, outcomes = play_both()[ALL_IN_NEED]
    for upstream, arrivals in times.items():
        assert count_fullest_window(arrivals) <= compute_bound(1.4), upstream
    served = sum(len(arrivals) for arrivals in times.values())
    assert served >= USED_SHARE * 4 * 1.4 * (END_SECONDS - BOUND_FROM_SECONDS)
    assert {item.status for item in outcomes} == {200, 503}


def test_requests_that_fit_under_no_rate_are_held_or_refused_without_a_time_to_return():
    _, outcomes = play_both()[ALL_IN_NEED]
    refused = [item for item in outcomes if item.status == 503]
    assert all(float(item.retry_after) > 0 for item in refused)
    assert max(item.seconds for item in refused) < DEADLINE_SECONDS / 2


@run_in_real_time
async def test_part_of_a_named_rate_is_left_unused_by_a_daemon_without_callers():
    rate, seconds = 6.0, 3.0
    async with open_fleet("entry-2", "entry-3", upstreams=1) as fleet:
        let_daemons_know_each_other(fleet)
        fleet.upstreams[0].named_rate = str(rate)
        await fleet.fetch("/look/x")
        await fleet.wait_until(lambda: all(node.rate_limits.statements for node in fleet.nodes))
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        calls = []
        while loop.time() < until:
            calls.append(asyncio.create_task(call(fleet, 0)))
            await asyncio.sleep(1 / REQUESTS_PER_SECOND)
        outcomes = await asyncio.gather(*calls)
        served = sum(item.status == 200 for item in outcomes)
        assert served >= USED_SHARE * rate * seconds
        arrivals = fleet.upstreams[0].arrival_times
        assert count_fullest_window(arrivals) <= compute_bound(rate)


@run_in_real_time
async def test_daemon_that_joins_is_ready_before_it_knows_the_limits_in_force():
    async with open_fleet("entry-2", upstreams=1) as fleet:
        fleet.upstreams[0].named_rate = "1.6"
        await fleet.fetch("/look/x")
        exchange = PeerClient.exchange_states

        async def exchange_late(client, name, connection):
            await asyncio.sleep(0.15)
            await exchange(client, name, connection)

        with patch.object(PeerClient, "exchange_states", exchange_late):
            joining = await fleet.add_daemon("entry-3")
            await fleet.wait_until(lambda: joining.ready)
        entry = joining.cluster_view.upstreams.entries["up-a"]
        assert joining.rate_limits.get_rate(entry) == 1.6


@run_in_real_time
async def test_daemon_waits_for_ever_for_limits_that_nobody_tells():
    """All other registered daemons are gone."""
    async with open_fleet(upstreams=1) as fleet:
        gone = fleet.node.own._replace(daemon="entry-9", address="127.0.0.1:9", front="127.0.0.1:9")
        fleet.store.put(MEMBERS_KIND, "entry-9", gone.encode())
        joining = await fleet.add_daemon("entry-2")
        fleet.node.close()
        await fleet.wait_until(lambda: joining.ready)
