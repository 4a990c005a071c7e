"""Tests of the time between a daemon's start and its first served request."""

import asyncio
from types import SimpleNamespace

from tanagertrail.gateway.admission import Refusal
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.members import MEMBERS_KIND, Member, MemberTable
from tanagertrail.gateway.node import GatewayNode
from tanagertrail.gateway.startup import MAX_WAITING_REQUESTS, Startup
from tanagertrail.policy.startup import PeerStart, must_await_limits, plan_startup_wait
from tanagertrail.settings.gateway import GatewayTuning, PolicySection
from tanagertrail.standins.ports import HOST, find_port
from tests.gateway_utils import World, build_config, build_settings, run_in_real_time
from tests.utils import with_virtual_time

REFUSED = Refusal(503, "too little is known yet", 0.3)
OWN_START = 1_800_000_000_000


def build_startup(longest_wait: float) -> Startup:
    """Build the start of a daemon that knows no other."""
    member = Member("entry-1", OWN_START, "a:1", "a:2", "north")
    log = EventLog("entry-1", asyncio.get_running_loop().time, 60.0)
    view = SimpleNamespace(limits_known=False, complete=False)
    return Startup(view, MemberTable(member, log), log, longest_wait)


def add_peer(startup: Startup, name: str, incarnation: int, serving: bool) -> None:
    """Let a daemon be heard now."""
    member = Member(name, incarnation, f"{name}:1", f"{name}:2", "north")
    startup.members.merge_member(member, startup.now(), serving)


def test_a_kill_of_all_daemons_does_not_cost_the_whole_wait_for_limits():
    restarted = [PeerStart(OWN_START + shift, False) for shift in (-400, 300, 900)]
    assert must_await_limits(OWN_START, restarted[:2], 0.1)
    assert not must_await_limits(OWN_START, restarted, 0.1)


def test_limits_are_awaited_while_a_daemon_that_served_on_may_tell_them():
    restarted = [PeerStart(OWN_START, False)] * 3
    assert must_await_limits(OWN_START, [*restarted, PeerStart(OWN_START, True)], 0.1)
    # One that stops serves no more, but it knows the limits.
    assert must_await_limits(OWN_START, [*restarted, PeerStart(OWN_START - 60_000, False)], 0.1)
    assert not must_await_limits(OWN_START, [], 0.5)


def test_a_request_waits_for_a_part_of_its_time_only():
    assert plan_startup_wait(0.5, 10.0, 0, 4) == 0.5
    assert plan_startup_wait(0.5, 1.2, 0, 4) == 0.3
    assert plan_startup_wait(0.5, None, 0, 4) == 0.5
    assert plan_startup_wait(0.5, 10.0, 4, 4) == 0.0
    assert plan_startup_wait(0.5, -1.0, 0, 4) == 0.0
    assert plan_startup_wait(0.0, 10.0, 0, 4) == 0.0


@with_virtual_time
async def test_a_daemon_restarted_with_all_others_serves_once_it_has_heard_some():
    startup = build_startup(0.5)
    contacts = []
    startup.contact_silent = lambda: contacts.append(startup.now())
    add_peer(startup, "entry-2", OWN_START - 500, False)
    running = asyncio.create_task(startup.run())
    await asyncio.sleep(0.1)
    assert not startup.cluster_view.limits_known
    add_peer(startup, "entry-3", OWN_START + 100, False)
    add_peer(startup, "entry-4", OWN_START + 200, False)
    await asyncio.sleep(0.05)
    assert startup.cluster_view.limits_known
    assert not startup.known.is_set()
    startup.cluster_view.complete = True
    await running
    assert startup.known.is_set()
    assert contacts


@with_virtual_time
async def test_waiting_requests_are_bounded_and_released_together():
    startup = build_startup(0.5)
    waits = [asyncio.create_task(startup.admit(lambda: REFUSED, 10.0)) for _ in range(300)]
    await asyncio.sleep(0.1)
    assert startup.waiting == MAX_WAITING_REQUESTS
    assert sum(wait.done() for wait in waits) == 300 - MAX_WAITING_REQUESTS
    startup.known.set()
    await asyncio.gather(*waits)
    assert startup.waiting == 0


@with_virtual_time
async def test_a_caller_that_leaves_is_not_held():
    startup = build_startup(0.5)
    wait = asyncio.create_task(startup.admit(lambda: REFUSED, 10.0))
    await asyncio.sleep(0.1)
    wait.cancel()
    await asyncio.gather(wait, return_exceptions=True)
    assert startup.waiting == 0


@with_virtual_time
async def test_usage_that_cannot_be_known_yet_sends_callers_away():
    startup = build_startup(1.0)
    startup.known.set()
    decisions = [Refusal(429, "over the quota", 0.2, {}, True)] * 3 + [REFUSED]
    assert await startup.admit(lambda: decisions.pop(0), 10.0) is REFUSED
    assert not decisions
    # Not beyond the part of its time.
    began = startup.now()
    held = await startup.admit(lambda: Refusal(429, "over the quota", 0.2, {}, True), 2.0)
    assert held.status == 429
    assert startup.now() - began == 0.5


async def answer_at_a_start(startup_wait_ms: int) -> int:
    """Send a request to a daemon that awaits the limits in force; return the status.

    Another daemon is registered and cannot be reached, so that the whole wait passes.
    """
    world = World()
    try:
        await world.store.start(HOST, world.ports["store"])
        await world.cloud.start(HOST, world.ports["cloud"])
        world.store.put("config", "main", build_config())
        gone = Member("entry-9", 1, f"{HOST}:{find_port()}", f"{HOST}:{find_port()}", "north")
        world.store.put(MEMBERS_KIND, "entry-9", gone.encode())
        for upstream in world.upstreams:
            await upstream.start(HOST, world.ports[upstream.id])
            world.register(upstream.id)
        tuning = GatewayTuning(policy=PolicySection(startup_wait_ms=startup_wait_ms))
        world.node = GatewayNode(build_settings(world.ports), tuning)
        await world.node.start()
        return (await world.fetch("/look/1", tanagertrail_deadline_ms="8000")).status
    finally:
        await world.close()


@run_in_real_time
async def test_a_request_that_comes_too_early_is_served_rather_than_sent_away():
    assert await answer_at_a_start(startup_wait_ms=2000) == 200


@run_in_real_time
async def test_the_wait_at_a_start_is_off_by_default():
    assert await answer_at_a_start(GatewayTuning().policy.startup_wait_ms) == 503
