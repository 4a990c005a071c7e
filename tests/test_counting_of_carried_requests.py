"""Bounds that hold over all daemons while some of them are cut off from all upstreams."""

import asyncio
from bisect import bisect_left
from collections import Counter
from contextlib import asynccontextmanager

from tanagertrail.policy.poison import Verdict
from tests.gateway_utils import build_config, cut_off_from_upstreams, open_fleet, run_in_real_time

QUOTA = {"name": "guild", "api_keys": ["key-guild"], "rate_per_s": 2, "burst": 10}


@asynccontextmanager
async def open_cut_fleet(upstreams=2):
    """Start three daemons of which two are cut off from all upstreams."""
    async with open_fleet("entry-2", "entry-3", upstreams=upstreams) as fleet:
        for node in fleet.nodes[:2]:
            cut_off_from_upstreams(node)
        yield fleet


async def configure(fleet, **changes):
    """Put a changed configuration in force at all daemons."""
    fleet.store.put("config", "main", build_config(2, **changes))
    await fleet.wait_until(
        lambda: all(node.cluster_view.config.version == 2 for node in fleet.nodes)
    )


async def fetch_all(fleet, count, path="/look/1", body=b"", fronts=(0, 1)):
    """Send requests to some daemons at once and count the replies by status."""
    calls = [fleet.fetch(path, body, fronts[number % len(fronts)]) for number in range(count)]
    return Counter(reply.status for reply in await asyncio.gather(*calls))


def list_runs(fleet):
    """Return the runs at all upstreams."""
    return [run for upstream in fleet.upstreams for run in upstream.runs]


def count_fullest_second(times):
    """Return the largest number of times within a second."""
    times = sorted(times)
    return max((bisect_left(times, at + 1.0) - n for n, at in enumerate(times)), default=0)


@run_in_real_time
async def test_quota_is_not_exceeded_or_charged_twice_by_carried_requests():
    async with open_cut_fleet() as fleet:
        await configure(fleet, tenants=[QUOTA])
        started = asyncio.get_running_loop().time()
        replies = await fetch_all(fleet, 60, fronts=(0, 1, 2))
        elapsed = asyncio.get_running_loop().time() - started
        assert set(replies) <= {200, 429}
        assert 0 < replies[200] <= 10 + 2 * (8 + elapsed)
        used = [node.quota.build_report(started)["guild"].used for node in fleet.nodes]
        assert sum(used) == replies[200] == len(list_runs(fleet))


@run_in_real_time
async def test_usage_of_a_carried_request_is_counted_once():
    async with open_cut_fleet() as fleet:
        assert await fetch_all(fleet, 12) == {200: 12}
        counts = [sum(map(Counter.total, node.usage.own_counts.values())) for node in fleet.nodes]
        assert counts == [0, 0, 12]
        assert [node.suspects.completed.total() for node in fleet.nodes] == [0, 0, 12]


@run_in_real_time
async def test_retry_of_a_carried_request_is_charged_once():
    async with open_cut_fleet() as fleet:
        for upstream in fleet.upstreams:
            upstream.faults.extend(["refuse"] * 100)
        assert await fetch_all(fleet, 30) == {503: 30}
        arrivals = sum(len(upstream.arrivals) for upstream in fleet.upstreams)
        retries = [len(node.dispatcher.get_retry_budget("desk").retries) for node in fleet.nodes]
        assert arrivals - 30 == sum(retries) > 0
        assert retries[2] == 0
        assert max(Counter(id_ for up in fleet.upstreams for id_ in up.arrivals).values()) <= 2


@run_in_real_time
async def test_cold_upstreams_are_not_overloaded_by_carried_requests():
    services = [
        {"name": "desk", "max_conns": 50, "cold_start_s": 20, "cold_per_s": 12},
    ]
    async with open_cut_fleet() as fleet:
        await configure(fleet, services=services)
        for upstream in fleet.upstreams:
            fleet.register(upstream.id, cold_left_ms=20_000)
        await fleet.wait_until(lambda: all(map(knows_cold, fleet.nodes)))
        for _ in range(12):
            await fetch_all(fleet, 9, fronts=(0, 1, 2))
            await asyncio.sleep(0.1)
        for upstream in fleet.upstreams:
            assert 0 < count_fullest_second(upstream.arrival_times) <= 12


def knows_cold(node):
    """Say whether a daemon knows that all upstreams are cold."""
    now = node.loop.time()
    return all(now < entry.cold_until for entry in node.cluster_view.upstreams.entries.values())


@run_in_real_time
async def test_named_rate_is_kept_by_carried_requests():
    async with open_cut_fleet() as fleet:
        for upstream in fleet.upstreams:
            upstream.named_rate = "4"
        await fetch_all(fleet, 12, fronts=(2,))
        await fleet.wait_until(
            lambda: all(node.rate_limits.count_in_force() == 2 for node in fleet.nodes)
        )
        known_at = asyncio.get_running_loop().time()
        for _ in range(15):
            await fetch_all(fleet, 9, fronts=(0, 1, 2))
            await asyncio.sleep(0.1)
        for upstream in fleet.upstreams:
            times = [at for at in upstream.arrival_times if at >= known_at]
            assert count_fullest_second(times) <= 1.5 * 4


@run_in_real_time
async def test_version_on_trial_gets_no_more_than_its_share_of_carried_requests():
    async with open_cut_fleet(upstreams=3) as fleet:
        for node in fleet.nodes:
            node.cluster_view.bounds = node.cluster_view.bounds._replace(rollout_extra=3.0)
        fleet.register("up-c", version="v2")
        order = {"service": "desk", "target": "v2", "duration_s": 60}
        fleet.store.put("rollouts", "desk", order)
        await fleet.wait_until(lambda: all(map(knows_trial, fleet.nodes)))
        for _ in range(6):
            assert await fetch_all(fleet, 15, fronts=(0, 1, 2)) == {200: 15}
        new = fleet.upstreams[2].runs
        assert 0 < len(new) <= 0.1 * 90 + 3
        budgets = [node.dispatcher.trials.get_trial("desk").budget for node in fleet.nodes]
        assert sum(budget.requests for budget in budgets) == 90
        assert [budget.exposed for budget in budgets] == [0, 0, len(new)]


def knows_trial(node):
    """Say whether a daemon knows the version on trial and its upstream."""
    entry = node.cluster_view.upstreams.entries["up-c"]
    return entry.record.version == "v2" and "desk" in node.cluster_view.rollouts


@run_in_real_time
async def test_carried_request_that_crashes_upstreams_is_quarantined_as_any_other():
    async with open_cut_fleet(upstreams=6) as fleet:
        for upstream in fleet.upstreams:
            upstream.deadly = b"poison"
        replies = []
        for number in range(8):
            replies.append((await fleet.fetch("/book/1", b"poison", number % 2)).status)
            await asyncio.sleep(0.05)
        assert sum(upstream.ended for upstream in fleet.upstreams) <= 3
        assert set(replies) <= {502, 503}
        assert replies[-1] == 503
        fingerprint = next(iter(fleet.nodes[2].suspects.poison_tracker.quarantined))
        await fleet.wait_until(
            lambda: all(
                node.suspects.judge(fingerprint) is Verdict.QUARANTINED for node in fleet.nodes
            )
        )
        assert [len(node.suspects.losses) > 0 for node in fleet.nodes] == [False, False, True]
        assert (await fleet.fetch("/book/2", b"order")).status == 200


@run_in_real_time
async def test_copies_of_a_suspect_do_not_run_beside_each_other_through_two_origins():
    async with open_cut_fleet(upstreams=3) as fleet:
        for upstream in fleet.upstreams:
            upstream.deadly = b"poison"
        assert (await fleet.fetch("/book/1", b"poison")).status == 502
        await fleet.wait_until(
            lambda: all(node.suspects.poison_tracker.crashes for node in fleet.nodes)
        )
        for upstream in fleet.upstreams:
            upstream.deadly = b""
            upstream.faults.append("hold")
        first = asyncio.create_task(fleet.fetch("/book/1", b"poison", 0))
        await fleet.wait_until(lambda: len(list_runs(fleet)) == 2)
        assert (await fleet.fetch("/book/1", b"poison", 1)).status == 503
        for upstream in fleet.upstreams:
            upstream.released.set()
        assert (await first).status == 200
        assert len(list_runs(fleet)) == 2


@run_in_real_time
async def test_load_of_upstreams_counts_a_carried_request_once():
    async with open_cut_fleet(upstreams=1) as fleet:
        fleet.upstreams[0].faults.append("hold")
        held = asyncio.create_task(fleet.fetch("/look/1"))
        await fleet.wait_until(lambda: list_runs(fleet))
        await asyncio.sleep(1.2)
        entries = [node.cluster_view.upstreams.entries["up-a"] for node in fleet.nodes]
        assert [entry.running for entry in entries] == [1, 1, 1]
        assert [entry.in_flight for entry in entries] == [0, 0, 1]
        fleet.upstreams[0].released.set()
        assert (await held).status == 200


@run_in_real_time
async def test_part_of_a_shared_rate_at_another_carrier_is_used():
    async with open_fleet("entry-2", "entry-3") as fleet:
        cut_off_from_upstreams(fleet.node)
        for upstream in fleet.upstreams:
            upstream.named_rate = "400"
        await fetch_all(fleet, 12, fronts=(2,))
        await fleet.wait_until(lambda: fleet.nodes[1].rate_limits.count_in_force() == 2)
        fleet.nodes[1].rate_limits.allows_request = lambda entry: False
        fleet.nodes[2].rate_limits.allows_request = lambda entry: True
        client = fleet.node.dispatcher.carry_client
        client.chooser.note_sent("entry-3")
        assert await fetch_all(fleet, 1, fronts=(0,)) == {200: 1}
        assert client.results == {"no share": 1, "delivered": 1}


@run_in_real_time
async def test_daemon_that_is_cut_off_holds_no_part_of_a_shared_rate():
    async with open_cut_fleet() as fleet:
        for node in fleet.nodes[:2]:
            node.links.reaches_upstreams = False
        for node in fleet.nodes[1:]:
            node.members.states["entry-1"].reaches_upstreams = False
        sending = [refresh_holders(node) for node in fleet.nodes]
        assert sending == [{"entry-2", "entry-3"}, {"entry-3"}, {"entry-2", "entry-3"}]


def refresh_holders(node):
    """Return the daemons among which a daemon divides shared rates now."""
    node.shared_rates.refreshed_at = float("-inf")
    node.shared_rates.refresh_fleet()
    return set(node.shared_rates.held_rates.fleet.serving)
